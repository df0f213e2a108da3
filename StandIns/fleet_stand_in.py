"""Simulates the external services of session proxies for tests: the
coordination store, the instances of one database group, and the promotion API
with its fencing token, which it can also leave unchecked.

Runs in a thread of the test process.  A test injects faults by calling methods
and setting attributes.  Not simulated: rate limits, costs, queueing for
statement slots, and VMs that freeze.
"""

import asyncio
import base64
import itertools
import json
import random
import threading
import urllib.parse
from typing import NamedTuple, Optional

#: Seconds until a replica receives a new entry.
REPLICATION_DELAY_S = 0.004
#: Seconds from an accepted promotion request until the instance leads.
PROMOTION_DELAY_S = 0.3
SERVICE = "core"
#: Maximum size of a message of callers and instances.
MAX_MESSAGE_BYTES = 2 ** 20


class Store:
    """Coordination store: keys with revisions, leases and watches."""

    def __init__(self):
        self.items = {}
        self.revision = 1
        self.events = []
        self.leases = {}
        #: Number of the store's history, sent with every response.
        self.era = 1
        self.changed = asyncio.Condition()
        #: Called with key and value of each write before it is answered.
        self.on_write = lambda key, value: None
        #: "up", "busy" (responds 503), "silent" (closes a connection after 5 s
        #: without a response) or "mute" (does so after 60 s).
        self.mode = "up"
        #: Number of transactions that run and whose response is not sent.
        self.lose_answers = 0
        #: Maximum number of items of a page; None lists all in one.
        self.page_items = None
        #: Watches that arrive get no response, and their connections stay open.
        self.ignores_watches = False

    def copy(self):
        """Returns a copy of the data for restore()."""
        return dict(self.items), self.revision, list(self.events), \
            dict(self.leases)

    async def restore(self, copy):
        """Returns to an older copy of the data, in a new era."""
        items, self.revision, events, leases = copy
        self.items, self.events = dict(items), list(events)
        self.leases = dict(leases)
        self.era += 1
        await self.notify_watchers()

    async def write(self, key, value, lease=0):
        self.revision += 1
        created = self.items[key]["created"] if key in self.items else None
        item = {"key": key, "value": base64.b64encode(value).decode(),
                "revision": self.revision,
                "created": created or self.revision, "lease": lease}
        self.items[key] = item
        self.events.append(item)
        self.on_write(key, value)
        await self.notify_watchers()

    async def delete(self, key):
        if self.items.pop(key, None) is None:
            return
        self.revision += 1
        self.events.append(
            {"key": key, "revision": self.revision, "deleted": True})
        await self.notify_watchers()

    async def notify_watchers(self):
        async with self.changed:
            self.changed.notify_all()

    async def revoke_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [k for k, i in self.items.items() if i["lease"] == lease]:
            await self.delete(key)

    async def handle(self, method, path, query, body):
        if path == "/kv-range":
            items = [self.items[k] for k in sorted(self.items)
                     if k.startswith(query["prefix"])
                     and k > query.get("after", "")]
            page = items[:self.page_items]
            return 200, {"items": page, "has_more": len(page) < len(items),
                         "as_of": self.revision}
        if path == "/kv-watch":
            return await self.watch(query)
        if path == "/kv-txn":
            return await self.run_transaction(body)
        if path == "/kv-lease":
            lease = 1000 + self.revision + len(self.leases)
            self.leases[lease] = body["ttl_ms"]
            return 200, {"lease": lease, "ttl_ms": body["ttl_ms"]}
        if path.startswith("/kv-keep/"):
            lease = int(path.rsplit("/", 1)[1])
            return (200, {"ttl_ms": 1}) if lease in self.leases else (404, {})
        if path.startswith("/kv-lease-end/") and method == "DELETE":
            await self.revoke_lease(int(path.rsplit("/", 1)[1]))
            return 200, {}
        return 404, {}

    async def watch(self, query):
        after = int(query["after"])
        if after > self.revision:
            return 410, {}

        def matching_events():
            return [e for e in self.events if e["revision"] > after
                    and e["key"].startswith(query["prefix"])]
        try:
            async with self.changed:
                await asyncio.wait_for(
                    self.changed.wait_for(lambda: bool(matching_events())),
                    int(query["wait_ms"]) / 1000)
        except asyncio.TimeoutError:
            pass
        return 200, {"events": matching_events(), "as_of": self.revision}

    async def run_transaction(self, body):
        for row in body["expected_rev"]:
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                return 412, {"items": [item] if item else []}
        for put in body["puts"]:
            lease = put.get("lease", 0)
            if lease and lease not in self.leases:
                return 404, {}
            await self.write(put["key"], base64.b64decode(put["value"]), lease)
        for key in body["deletes"]:
            await self.delete(key)
        return 200, {"revision": self.revision}


class ExecutedStatement(NamedTuple):
    """A statement that an instance executed."""

    ident: str
    #: BEGIN, READ, WRITE or COMMIT; for a prepared statement its mode.
    verb: str
    #: Shape of a prepared statement, otherwise None.
    shape: Optional[str]
    #: The text after the verb, or after the name of a prepared statement.
    arguments: str
    #: Id of the BEGIN of the transaction that was open on the connection.
    transaction: Optional[str]
    values: dict


def is_callers_statement(ident, _response):
    return ident not in ("", "-")


class Repetition:
    """Chooses responses that an instance sends a second time.

    The copy follows in the same segment, or after a delay that may end while
    the connection is idle, or before or after a later response.
    """

    SAME_SEGMENT_SHARE = 0.25

    def __init__(self, seed, share, is_affected=is_callers_statement,
                 delays_s=(0, 0.3)):
        """is_affected gets the id of the statement, which is empty for STARTUP,
        and the response."""
        self.random = random.Random(seed)
        self.share, self.is_affected = share, is_affected
        self.delays_s = delays_s
        #: Id and response of each one that was chosen.
        self.chosen = []

    def delay_of(self, ident, response):
        """Returns the seconds until the copy, or None for no copy."""
        if not self.is_affected(ident, response) or \
                self.random.random() >= self.share:
            return None
        self.chosen.append((ident, response))
        return 0 if self.random.random() < self.SAME_SEGMENT_SHARE else \
            self.random.uniform(*self.delays_s)


class Instance:
    """One instance of the group; its connections use the line protocol."""

    def __init__(self, fleet, ident, zone):
        self.fleet, self.ident, self.zone = fleet, ident, zone
        self.is_leader, self.term, self.paused_term = False, 1, 0
        self.log = []
        self.draining = False
        #: "up", "dark" (connections stay open and get no response) or "down".
        self.mode = "up"
        #: Number of statements that run and whose response is not sent.
        self.lose_answers = 0
        self.commit_delay_s = 0
        self.read_delay_s = 0
        #: Exchanges no entries with other instances; proxies reach it.
        self.cut_from_group = False
        #: Receives no entries from its leader.
        self.replication_blocked = False
        #: Further connections are refused with CONNLIMIT.
        self.max_connections = 1000
        #: Name, kind and session values of each read and write that ran.
        self.executions = []
        #: Each BEGIN, READ, WRITE and COMMIT that ran, as ExecutedStatement.
        self.statements = []
        self.signature_numbers = itertools.count(1)
        #: Chooses the responses that are sent twice; None for none.
        self.repetition = None
        #: Share of the reads and writes that are refused with BUSY.
        self.busy_share = 0
        self.busy_random = random.Random(ident)
        self.writers = set()
        #: Start time of its incarnation.
        self.born = 1700000000000
        self.address = None
        #: Address in its directory entry; None for its own address.
        self.advertised = None
        self.server = None

    def position(self):
        return f"{self.log[-1][0]}.{self.log[-1][1]}" if self.log else \
            f"{1 if not self.log else self.term}.0"

    def end_position(self):
        return (self.log[-1][0], self.log[-1][1]) if self.log else (1, 0)

    def value_of(self, item):
        for _, _, writes in reversed(self.log):
            for key, value in reversed(writes):
                if key == item:
                    return value
        return "-"

    async def start(self):
        self.server = await asyncio.start_server(
            self.serve, "127.0.0.1", 0, limit=MAX_MESSAGE_BYTES)
        self.address = "127.0.0.1:%d" % \
            self.server.sockets[0].getsockname()[1]
        await self.register()

    async def register(self):
        entry = {"service": SERVICE,
                 "address": self.advertised or self.address,
                 "zone": self.zone, "slots": 3,
                 "state": "draining" if self.draining else "ready",
                 "db_role": "primary" if self.is_leader else "replica",
                 "seq": 1, "born": self.born}
        await self.fleet.store.write("servers/" + self.ident,
                                     json.dumps(entry).encode())

    async def commit(self, writes):
        """Appends an entry and returns True once a replica has received it.

        If the instance stops leading meanwhile, the connection is closed
        without a response: a replica may or may not have the entry.
        """
        index = self.log[-1][1] + 1 if self.log else 1
        entry = (self.term, index, writes)
        self.log.append(entry)
        await asyncio.sleep(REPLICATION_DELAY_S + self.commit_delay_s)
        confirmed = False
        while not confirmed:
            if not self.is_leader or self.mode != "up" or \
                    self.term != entry[0]:
                raise ConnectionAbortedError(
                    "instance stopped leading during a commit")
            for other in self.fleet.instances.values():
                if other is not self and other.replicate_from(self):
                    confirmed = True
            if not confirmed:
                await asyncio.sleep(0.02)
        return True

    def replicate_from(self, leader):
        is_disconnected = self.cut_from_group or leader.cut_from_group or \
            self.replication_blocked
        if is_disconnected or self.mode != "up" or \
                self.paused_term > leader.term or \
                self.is_leader or leader.term < self.term:
            return False
        self.term = leader.term
        self.log = list(leader.log)
        return True

    async def serve(self, reader, writer):
        self.writers.add(writer)
        state = {"open": False, "tx": None, "begin": None, "values": {},
                 "prepared": {}}
        try:
            while True:
                line = (await reader.readuntil(b"\r\n"))[:-2].decode(
                    errors="surrogateescape")
                while self.mode == "dark":
                    await asyncio.sleep(0.05)
                answer = await self.answer(line, state)
                words = line.split(" ")
                if self.lose_answers > 0 and words[0] == "QUERY" and \
                        words[1] != "-":
                    self.lose_answers -= 1
                    await asyncio.sleep(30)
                    return
                while self.mode == "dark":
                    await asyncio.sleep(0.05)
                ident = words[1] if words[0] == "QUERY" else ""
                self.send(writer, ident, answer)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError,
                asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def send(self, writer, ident, response):
        delay_s = self.repetition.delay_of(ident, response) \
            if self.repetition else None
        data = response.encode(errors="surrogateescape")
        writer.write(data * (2 if delay_s == 0 else 1))
        if delay_s:
            asyncio.get_running_loop().call_later(
                delay_s, self.send_copy, writer, response)

    def send_copy(self, writer, response):
        if self.mode == "up" and not writer.is_closing():
            writer.write(response.encode(errors="surrogateescape"))

    def ready_line(self, state):
        return f"READY {'T' if state['tx'] is not None else 'I'} " \
               f"{self.position()}\r\n"

    async def answer(self, line, state):
        words = line.split(" ")
        if words[0] == "STARTUP":
            if words[1] != SERVICE or (len(words) > 3
                                       and words[3] != self.ident):
                return f"ERROR WRONGNODE {self.ident}\r\n"
            if len(self.writers) > self.max_connections:
                return f"ERROR CONNLIMIT {self.ident}\r\n"
            return self.ready_line(state)
        ident, text = words[1], words[2:]
        return await self.statement(ident, text, state)

    def record(self, ident, verb, shape, arguments, state):
        self.statements.append(ExecutedStatement(
            ident, verb, shape, arguments, state.get("begin"),
            dict(state["values"])))
        if verb in ("READ", "WRITE"):
            self.executions.append((ident, verb, dict(state["values"])))

    async def statement(self, ident, text, state, shape=None):
        if text[0] == "WAITFOR":
            term, index = text[1].split(".")
            if self.end_position() < (int(term), int(index)):
                return f"ERROR LAGGING {self.ident}\r\n" + \
                    self.ready_line(state)
            text = text[2:]
        verb, arguments = text[0], " ".join(text[1:])
        if verb in ("STATUS", "PAUSE", "RESUME", "STEPDOWN"):
            return self.handle_command(verb, text, state)
        if verb == "SET":
            state["values"][text[1]] = " ".join(text[2:])
        elif verb == "PREPARE":
            if len(text) < 4 or text[2] not in ("READ", "WRITE"):
                return f"ERROR MALFORMED {self.ident}\r\n" + \
                    self.ready_line(state)
            state["prepared"][text[1]] = (text[2], " ".join(text[3:]))
        elif verb == "DEALLOC":
            if state["prepared"].pop(arguments, None) is None:
                return f"ERROR NOSUCHSTMT {arguments}\r\n" + \
                    self.ready_line(state)
        elif verb == "RESET":
            state["values"], state["prepared"] = {}, {}
        elif verb == "BEGIN":
            if not self.is_leader and text[1:] != ["READ"]:
                return f"ERROR READONLY {self.ident}\r\n" + \
                    self.ready_line(state)
            self.record(ident, verb, shape, arguments, state)
            state["tx"], state["begin"] = [], ident
        elif verb == "ROLLBACK":
            state["tx"], state["begin"] = None, None
        elif verb == "COMMIT":
            self.record(ident, verb, shape, arguments, state)
            writes, state["tx"], state["begin"] = state["tx"], None, None
            if writes and not (self.is_leader and await self.commit(writes)):
                return f"ERROR READONLY {self.ident}\r\n" + \
                    self.ready_line(state)
            return self.complete_response(ident, state)
        elif verb == "EXECUTE":
            mode, shape = state["prepared"].get(text[1], (None, None))
            if mode is None:
                return f"ERROR NOSUCHSTMT {text[1]}\r\n" + \
                    self.ready_line(state)
            return await self.statement(ident, [mode] + text[2:], state, shape)
        elif verb in ("READ", "WRITE") and \
                self.busy_random.random() < self.busy_share:
            return f"ERROR BUSY {self.ident}\r\n" + self.ready_line(state)
        elif verb == "READ":
            self.record(ident, verb, shape, arguments, state)
            await asyncio.sleep(self.read_delay_s)
            return f"DATAROW {self.value_of(arguments)}\r\n" + \
                self.complete_response(ident, state)
        elif verb == "WRITE":
            if not self.is_leader:
                return f"ERROR READONLY {self.ident}\r\n" + \
                    self.ready_line(state)
            self.record(ident, verb, shape, arguments, state)
            write = (text[1], " ".join(text[2:]))
            if state["tx"] is not None:
                state["tx"].append(write)
            elif not await self.commit([write]):
                return f"ERROR READONLY {self.ident}\r\n" + \
                    self.ready_line(state)
            return self.complete_response(ident, state)
        return "COMPLETE -\r\n" + self.ready_line(state)

    def complete_response(self, ident, state):
        signature = f"{self.ident}.{ident}.{next(self.signature_numbers)}"
        return f"COMPLETE {signature}\r\n" + self.ready_line(state)

    def handle_command(self, verb, text, state):
        if verb == "PAUSE":
            self.paused_term = max(self.paused_term, int(text[1]))
        elif verb == "RESUME":
            self.paused_term = 0
        elif verb == "STEPDOWN" and int(text[1]) > self.term and \
                self.is_leader:
            self.is_leader = False
            asyncio.ensure_future(self.register())
        role = "primary" if self.is_leader else "replica"
        return f"DATAROW {role} {self.term} {self.position()} " \
               f"{self.paused_term} " \
               f"0 0 {len(self.writers)}\r\nCOMPLETE -\r\n" + \
            self.ready_line(state)

    async def restart(self):
        """Starts listening again at its former address, with its log."""
        host, port = self.address.rsplit(":", 1)
        self.mode, self.draining = "up", False
        self.server = await asyncio.start_server(
            self.serve, host, int(port), limit=MAX_MESSAGE_BYTES)
        await self.register()

    async def restart_empty(self):
        """Starts anew under its id and address, as a replica that knows nothing
        of before."""
        self.log, self.term, self.paused_term = [], 1, 0
        self.is_leader = False
        self.born += 1
        await self.restart()

    async def crash(self):
        """Resets all connections and stops listening."""
        self.mode = "down"
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


class Fleet:
    """The store, the instances and the promotion API."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever,
                                       daemon=True)
        self.thread.start()
        self.instances = {}
        #: False simulates a platform that accepts any fencing token.
        self.checks_tokens = True
        self.fencing_token = 0
        #: True simulates a platform that has reached its rate limit.
        self.rejects_commands = False
        #: Seconds for which a command is kept before it is executed.
        self.promotion_hold_s = 0
        #: Holder, token and instance of each promotion command, in order of
        #: arrival, and of those that were executed.
        self.promotion_arrivals = []
        self.promotions = []
        self.promotion_responses_to_drop = 0
        #: Called with the instance of each accepted command.
        self.on_accepted = lambda candidate: None
        self.store_address = self.run(self.start())

    def run(self, coroutine):
        return asyncio.run_coroutine_threadsafe(
            coroutine, self.loop).result(20)

    async def start(self):
        self.store = Store()
        server = await asyncio.start_server(self.serve_http, "127.0.0.1", 0)
        for number, zone in enumerate(("a", "b", "c"), 1):
            instance = Instance(self, f"i-{number}", zone)
            instance.is_leader = number == 1
            self.instances[instance.ident] = instance
            await instance.start()
        return "127.0.0.1:%d" % server.sockets[0].getsockname()[1]

    def set_desired_state(self, version, routes, timeout_ms=1000):
        """Writes a desired state; routes maps a database to its route type."""
        body = {"version": version, "routes": [
            {"name": f"r-{name}", "database": name, "type": kind,
             "timeout_ms": timeout_ms, "target_latency_ms": 200,
             "priority": 1, "service": SERVICE, "max_staleness_ms": 1500}
            for name, kind in routes.items()],
            "services": [{"name": SERVICE, "max_conns": 22,
                          "sync_replicas": 1}],
            "limits": {"tx_idle_ms": 3000}}
        self.run(self.store.write("op/config", json.dumps(body).encode()))

    def leader(self):
        leaders = [i for i in self.instances.values() if i.is_leader]
        return max(leaders, key=lambda i: i.term) if leaders else None

    async def return_as(self, lost, ident):
        """Replaces a crashed instance by one with its log under a new name."""
        del self.instances[lost.ident]
        await self.store.delete("servers/" + lost.ident)
        instance = Instance(self, ident, lost.zone)
        instance.log, instance.term = list(lost.log), lost.term
        instance.is_leader = lost.is_leader
        instance.address, instance.advertised = lost.address, lost.advertised
        self.instances[ident] = instance
        await instance.restart()

    def leader_is_up(self):
        leader = self.leader()
        return leader is not None and leader.mode == "up"

    async def promote(self, headers, body):
        if self.rejects_commands:
            return 429, {}
        if self.promotion_hold_s:
            await asyncio.sleep(self.promotion_hold_s)
        token = int(headers["x-catkinloom-fencing-token"])
        command = (headers["x-catkinloom-lease-holder"], token, body["id"])
        self.promotion_arrivals.append(command)
        if self.checks_tokens and token < self.fencing_token:
            return 409, {}
        self.fencing_token = token
        candidate = self.instances[body["id"]]
        if candidate.mode != "up":
            return 409, {}
        self.promotions.append(command)
        self.on_accepted(candidate)
        asyncio.ensure_future(self.complete_promotion(candidate))
        return 200, {}

    async def complete_promotion(self, candidate):
        """Has no effect if the candidate crashed or restarted meanwhile."""
        born = candidate.born
        await asyncio.sleep(PROMOTION_DELAY_S)
        has_ended = candidate.mode == "down" or candidate.born != born
        if candidate.is_leader or has_ended:
            return
        term = max(i.term for i in self.instances.values()) + 1
        for other in self.instances.values():
            other.is_leader = False
            other.paused_term = 0
        candidate.is_leader, candidate.term = True, term
        for other in self.instances.values():
            if other is not candidate and other.mode == "up" and \
                    not other.replication_blocked:
                other.term = term
                other.log = list(candidate.log)
        await candidate.register()

    async def serve_http(self, reader, writer):
        try:
            while True:
                request = (await reader.readuntil(b"\r\n\r\n")).decode()
                head, *rows = request.strip().split("\r\n")
                headers = {k.lower(): v.strip() for k, v in
                           (row.split(":", 1) for row in rows)}
                length = int(headers.get("content-length", 0))
                raw = await reader.readexactly(length)
                method, target, _ = head.split(" ")
                url = urllib.parse.urlsplit(target)
                query = dict(urllib.parse.parse_qsl(
                    url.query, keep_blank_values=True))
                body = json.loads(raw) if raw else {}
                if not await self.answer_http(writer, method, url.path, query,
                                              headers, body):
                    return
        except (ConnectionError, asyncio.IncompleteReadError,
                asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer_http(self, writer, method, path, query, headers, body):
        if path == "/failover":
            status, answer = await self.promote(headers, body)
            if self.promotion_responses_to_drop > 0:
                self.promotion_responses_to_drop -= 1
                await asyncio.sleep(5)
                return False
        elif self.store.mode == "silent":
            await asyncio.sleep(5)
            return False
        elif self.store.mode == "mute" or \
                self.store.ignores_watches and path == "/kv-watch":
            # The connection stays open, and no request on it gets a response.
            await asyncio.sleep(60)
            return False
        elif self.store.mode == "busy":
            status, answer = 503, {}
        else:
            status, answer = await self.store.handle(method, path, query, body)
            if self.store.lose_answers > 0 and path == "/kv-txn":
                self.store.lose_answers -= 1
                await asyncio.sleep(5)
                return False
        raw = json.dumps(answer).encode()
        writer.write((f"HTTP/1.1 {status} X\r\nContent-Type: application/json"
                      f"\r\nStore-Era: {self.store.era}"
                      f"\r\nContent-Length: {len(raw)}\r\n\r\n").encode()
                     + raw)
        await writer.drain()
        return True

    async def end_tasks(self):
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def stop(self):
        self.run(self.end_tasks())
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join(5)
        self.loop.close()
