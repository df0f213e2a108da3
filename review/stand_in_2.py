"""Stand-ins for the scripts in review/6, review/8 and review/9: the coordination store,
the database instances, the promotion API and callers, as the users' pages
describe them, and the proxies under test as separate processes.

Everything but the proxies runs in one asyncio loop.  What was sent, answered
and run is written to record.txt in the folder of the case.
"""

import asyncio
import base64
import collections
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
HELD, BROKEN, NOT_RUN = 0, 1, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
MAX_MESSAGE_BYTES = 2 ** 20


class Record:
    """record.txt: one line an event, with seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", buffering=1, encoding="utf-8",
                         errors="backslashreplace")
        self.start = time.monotonic()

    def write(self, who, text):
        self.file.write(f"{time.monotonic() - self.start:9.3f} {who:10} {text}\n")

    def now(self):
        return time.monotonic() - self.start


class Store:
    """The platform's metadata store (kv form)."""

    def __init__(self, record, min_ttl_ms=1000):
        self.record = record
        self.items, self.events, self.leases = {}, [], {}
        self.revision = 1
        self.next_lease = 7000
        self.min_ttl_ms = min_ttl_ms
        self.changed = asyncio.Condition()

    async def notify(self):
        async with self.changed:
            self.changed.notify_all()

    async def put(self, key, value, lease=0):
        self.revision += 1
        old = self.items.get(key)
        item = {"key": key, "value": base64.b64encode(value).decode(),
                "revision": self.revision,
                "created": old["created"] if old else self.revision,
                "lease": lease}
        self.items[key] = item
        self.events.append(item)
        if not key.startswith("servers/"):
            text = value.decode(errors="replace")
            self.record.write("store", f"put {key} r{self.revision} {text[:300]}")
        await self.notify()

    async def delete(self, key):
        if self.items.pop(key, None) is None:
            return
        self.revision += 1
        self.events.append({"key": key, "revision": self.revision,
                            "deleted": True})
        self.record.write("store", f"delete {key} r{self.revision}")
        await self.notify()

    async def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [k for k, i in self.items.items() if i["lease"] == lease]:
            await self.delete(key)

    async def expire_leases(self):
        while True:
            await asyncio.sleep(0.1)
            now = time.monotonic()
            for lease in [l for l, (_, until) in self.leases.items()
                          if until < now]:
                await self.end_lease(lease)

    async def handle(self, method, path, query, body):
        if path == "/kv-key":
            item = self.items.get(query["key"])
            return (200, {**item, "as_of": self.revision}) if item else (404, {})
        if path == "/kv-range":
            keys = [k for k in sorted(self.items)
                    if k.startswith(query["prefix"])
                    and k > query.get("after", "")]
            return 200, {"items": [self.items[k] for k in keys[:500]],
                         "has_more": len(keys) > 500, "as_of": self.revision}
        if path == "/kv-watch":
            return await self.watch(query)
        if path == "/kv-txn":
            return await self.transact(body)
        if path == "/kv-lease":
            ttl = max(body["ttl_ms"], self.min_ttl_ms)
            self.next_lease += 1
            self.leases[self.next_lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"lease": self.next_lease, "ttl_ms": ttl}
        if path.startswith("/kv-keep/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][0]
            self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"lease": lease, "ttl_ms": ttl}
        if path.startswith("/kv-lease-end/") and method == "DELETE":
            await self.end_lease(int(path.rsplit("/", 1)[1]))
            return 200, {}
        return 404, {}

    async def watch(self, query):
        after, prefix = int(query["after"]), query["prefix"]

        def found():
            return [e for e in self.events
                    if e["revision"] > after and e["key"].startswith(prefix)]
        try:
            async with self.changed:
                await asyncio.wait_for(
                    self.changed.wait_for(lambda: bool(found())),
                    int(query["wait_ms"]) / 1000)
        except asyncio.TimeoutError:
            pass
        return 200, {"events": found(), "as_of": self.revision}

    async def transact(self, body):
        now = []
        failed = False
        for row in body["expected_rev"]:
            item = self.items.get(row["key"])
            failed = failed or (item["revision"] if item else 0) != row["revision"]
            if item:
                now.append(item)
        if failed:
            return 412, {"items": now}
        if any(p.get("lease", 0) and p["lease"] not in self.leases
               for p in body["puts"]):
            return 404, {}
        for put in body["puts"]:
            await self.put(put["key"], base64.b64decode(put["value"]),
                           put.get("lease", 0))
        for key in body["deletes"]:
            await self.delete(key)
        return 200, {"revision": self.revision}


Commit = collections.namedtuple("Commit", "term index ident writes")


class Instance:
    """A database instance: its log, its role, its connections."""

    def __init__(self, fleet, ident, zone, delay_s):
        self.fleet, self.ident, self.zone = fleet, ident, zone
        #: Time of an entry from a leader to this instance.
        self.delay_s = delay_s
        self.leads, self.term, self.paused_term = False, 1, 0
        self.log = []
        self.state = "ready"
        #: "up", or "down": nothing listens at its address.
        self.mode = "up"
        #: Receives nothing from its leader.
        self.is_deaf = False
        #: Partitioned from the store.
        self.cut_from_store = False
        #: Names of the proxies that it is partitioned from.
        self.cut_from = set()
        self.extra_read_s = 0.0
        self.born = 0
        self.sequence = 0
        self.beats = 0
        self.signatures = 0
        self.busy = 0
        self.writers = set()
        self.address = None
        self.server = None
        self.changed = asyncio.Event()
        self.slots = asyncio.Semaphore(fleet.slots)

    def note(self, text):
        self.fleet.record.write(self.ident, text)

    def end(self):
        return (self.log[-1].term, self.log[-1].index) if self.log else (1, 0)

    def position(self):
        return "%d.%d" % self.end()

    async def start(self):
        host, port = (self.address or "127.0.0.1:0").rsplit(":", 1)
        self.server = await asyncio.start_server(
            self.serve, host, int(port), limit=2 * MAX_MESSAGE_BYTES)
        self.address = "%s:%d" % (
            host, self.server.sockets[0].getsockname()[1])
        self.mode, self.born = "up", int(time.time() * 1000)
        self.sequence = 0
        self.note(f"starts at {self.address} leads={self.leads} "
                  f"term={self.term} log={self.position()}")
        await self.report()

    def crash(self):
        self.mode = "down"
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        self.note(f"crashes leads={self.leads} log={self.position()}")

    async def report(self):
        if self.mode != "up" or self.cut_from_store:
            return
        self.sequence += 1
        entry = {"service": self.fleet.service, "address": self.address,
                 "zone": self.zone, "version": "1.0",
                 "slots": self.fleet.slots, "state": self.state,
                 "cold_remaining_ms": 0, "seq": self.sequence,
                 "db_role": "primary" if self.leads else "replica",
                 "born": self.born}
        self.fleet.heard[self.ident] = time.monotonic()
        key = "servers/" + self.ident
        old = self.fleet.store.items.get(key)
        if old:
            known = json.loads(base64.b64decode(old["value"]))
            known.pop("seq")
            if known == {k: v for k, v in entry.items() if k != "seq"}:
                return
        await self.fleet.store.put(key, json.dumps(entry).encode())

    async def beat(self):
        while True:
            self.beats += 1
            await self.report()
            await asyncio.sleep(self.fleet.heartbeat_s)

    # Replication

    def receive(self, leader, length):
        """Takes over the leader's first entries; True if it has them now."""
        can = self.mode == "up" and leader.mode == "up" and not self.is_deaf \
            and leader.leads and not self.leads \
            and leader.term >= self.term and self.paused_term <= leader.term \
            and not self.fleet.is_split(self, leader)
        if not can:
            return False
        self.term = leader.term
        entries = leader.log[:length]
        if self.log[:length] != entries or \
                len(self.log) > len(leader.log):
            self.log = list(entries)
        return True

    async def follow(self):
        """Receives what the leader has, delay_s after it was written there."""
        while True:
            leader = self.fleet.leader_for(self)
            if leader is None or leader is self:
                await asyncio.sleep(0.01)
                continue
            length = len(leader.log)
            await asyncio.sleep(self.delay_s)
            if self.receive(leader, length) and self.log:
                leader.acknowledge(self, len(self.log))

    def acknowledge(self, replica, length):
        self.received[replica.ident] = length
        self.changed.set()

    @property
    def received(self):
        return self.__dict__.setdefault("_received", {})

    async def commit(self, ident, writes):
        """Appends an entry; returns its index once a replica has it.

        Raises ConnectionAbortedError if the instance stops leading before: it
        can't tell whether the entry is kept.
        """
        term = self.term
        index = self.log[-1].index + 1 if self.log else 1
        self.log.append(Commit(term, index, ident, tuple(writes)))
        length = len(self.log)
        while self.fleet.sync and not any(
                n >= length for n in self.received.values()):
            if self.mode != "up" or not self.leads or self.term != term:
                raise ConnectionAbortedError("lost the lead")
            self.changed.clear()
            try:
                await asyncio.wait_for(self.changed.wait(), 0.05)
            except asyncio.TimeoutError:
                pass
        if self.mode != "up" or not self.leads or self.term != term:
            raise ConnectionAbortedError("lost the lead")
        self.note(f"confirms commit {term}.{index} of {ident}")
        return index

    # Connections

    async def serve(self, reader, writer):
        self.writers.add(writer)
        conn = {"who": "", "open": False, "tx": None, "plain": False,
                "failed": False, "values": {}, "prepared": {}}
        try:
            while True:
                line = (await reader.readuntil(b"\r\n"))[:-2].decode(
                    errors="surrogateescape")
                if line.startswith("STARTUP "):
                    conn["who"] = line.split(" ")[2]
                while conn["who"] in self.cut_from:
                    await asyncio.sleep(0.05)
                answer = await self.answer(line, conn)
                while conn["who"] in self.cut_from:
                    await asyncio.sleep(0.05)
                writer.write(answer.encode(errors="surrogateescape"))
                await writer.drain()
                if answer.startswith(("ERROR WRONGNODE", "ERROR CONNLIMIT")):
                    return
        except (ConnectionError, asyncio.IncompleteReadError,
                asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def ready(self, conn):
        state = "E" if conn["failed"] else \
            "I" if conn["tx"] is None else "T"
        return f"READY {state} {self.position()}\r\n"

    def fail(self, conn, code, text=None):
        if conn["tx"] is not None:
            conn["failed"] = True
        return f"ERROR {code} {text or self.ident}\r\n" + self.ready(conn)

    def sign(self, ident):
        self.signatures += 1
        return f"COMPLETE {self.ident}.{self.born}.{self.signatures}.{ident}\r\n"

    async def answer(self, line, conn):
        words = line.split(" ")
        if words[0] == "STARTUP":
            if words[1] != self.fleet.service or \
                    len(words) > 3 and words[3] != self.ident:
                return f"ERROR WRONGNODE {self.ident}\r\n"
            if len(self.writers) > self.fleet.max_conns:
                return f"ERROR CONNLIMIT {self.ident}\r\n"
            return self.ready(conn)
        if words[0] != "QUERY":
            raise ConnectionAbortedError(line)
        return await self.query(words[1], words[2:], conn)

    async def query(self, ident, text, conn):
        if text[0] == "WAITFOR":
            term, index = text[1].split(".")
            if self.end() < (int(term), int(index)):
                return self.fail(conn, "LAGGING")
            text = text[2:]
        verb, rest = text[0], " ".join(text[1:])
        if conn["failed"] and verb not in ("ROLLBACK", "COMMIT"):
            return self.fail(conn, "MALFORMED", "transaction failed")
        if verb in ("STATUS", "PAUSE", "RESUME", "STEPDOWN"):
            return await self.command(verb, text, conn)
        if verb in ("ROLLBACK", "COMMIT"):
            return await self.end_transaction(verb, ident, conn)
        if verb == "BEGIN":
            if not self.leads and rest != "READ":
                return self.fail(conn, "READONLY")
            conn["tx"], conn["plain"] = [], rest != "READ"
            return "COMPLETE -\r\n" + self.ready(conn)
        if verb in ("SET", "PREPARE", "DEALLOC", "RESET"):
            return self.change_session(verb, text, conn)
        if verb == "EXECUTE":
            if text[1] not in conn["prepared"]:
                return self.fail(conn, "NOSUCHSTMT", text[1])
            verb, _ = conn["prepared"][text[1]]
            text = [verb] + text[2:]
            rest = " ".join(text[1:])
        if verb not in ("READ", "WRITE"):
            return self.fail(conn, "MALFORMED", verb)
        lost_lead = conn["tx"] is not None and conn["plain"] and not self.leads
        if lost_lead or verb == "WRITE" and (
                not self.leads or conn["tx"] is not None and not conn["plain"]):
            return self.fail(conn, "READONLY")
        async with self.slots:
            self.busy += 1
            try:
                return await self.run(verb, ident, text, rest, conn)
            finally:
                self.busy -= 1

    async def run(self, verb, ident, text, rest, conn):
        await asyncio.sleep(self.fleet.work_s)
        if verb == "READ":
            await asyncio.sleep(self.extra_read_s)
            value = "-"
            for commit in self.log:
                for item, data in commit.writes:
                    value = data if item == rest else value
            self.note(f"runs READ {rest} of {ident} at {self.position()} "
                      f"leads={self.leads}")
            return f"DATAROW {value}\r\n" + self.sign(ident) + self.ready(conn)
        write = (text[1], " ".join(text[2:]))
        if conn["tx"] is not None:
            conn["tx"].append(write)
        else:
            await self.commit(ident, [write])
        return self.sign(ident) + self.ready(conn)

    async def end_transaction(self, verb, ident, conn):
        writes, plain = conn["tx"], conn["plain"]
        was_failed = conn["failed"]
        conn["tx"], conn["failed"] = None, False
        if verb == "ROLLBACK":
            return "COMPLETE -\r\n" + self.ready(conn)
        if was_failed:
            return self.fail(conn, "ABORTED")
        if writes and plain:
            if not self.leads:
                return self.fail(conn, "READONLY")
            async with self.slots:
                await self.commit(ident, writes)
        return self.sign(ident) + self.ready(conn)

    def change_session(self, verb, text, conn):
        if verb == "SET":
            conn["values"][text[1]] = " ".join(text[2:])
        elif verb == "PREPARE":
            conn["prepared"][text[1]] = (text[2], " ".join(text[3:]))
        elif verb == "DEALLOC":
            if conn["prepared"].pop(text[1], None) is None:
                return self.fail(conn, "NOSUCHSTMT", text[1])
        else:
            conn["values"], conn["prepared"] = {}, {}
        return "COMPLETE -\r\n" + self.ready(conn)

    async def command(self, verb, text, conn):
        if verb == "PAUSE" and not self.leads and int(text[1]) > self.term:
            self.paused_term = max(self.paused_term, int(text[1]))
        elif verb == "RESUME":
            self.paused_term = 0
        elif verb == "STEPDOWN" and self.leads and int(text[1]) > self.term:
            self.leads = False
            await self.report()
        if verb != "STATUS":
            self.note(f"gets {' '.join(text)} from {conn['who']}; "
                      f"leads={self.leads} paused={self.paused_term}")
        role = "primary" if self.leads else "replica"
        return (f"DATAROW {role} {self.term} {self.position()} "
                f"{self.paused_term} 0 {self.busy} {len(self.writers)}\r\n"
                "COMPLETE -\r\n" + self.ready(conn))


class Fleet:
    """The platform: store, promotion API and the instances of one service."""

    def __init__(self, record, service="ledger-db", slots=5, max_conns=60,
                 sync=1, promote_s=0.6, heartbeat_s=1.2, work_s=0.002):
        self.record, self.service = record, service
        self.slots, self.max_conns, self.sync = slots, max_conns, sync
        self.promote_s, self.heartbeat_s = promote_s, heartbeat_s
        self.work_s = work_s
        self.store = Store(record)
        self.instances, self.heard = {}, {}
        self.seen_token = 0
        #: Pairs of ids that are partitioned from each other.
        self.split = set()
        #: Called with the instance when a promotion takes effect.
        self.on_promoted = lambda instance, before: None
        #: Called when a promotion command is accepted.
        self.on_accepted = lambda instance: None
        self.tasks = []
        self.address = None

    def spawn(self, coroutine):
        self.tasks.append(asyncio.ensure_future(coroutine))

    async def start(self, members):
        """members: (id, zone, seconds of an entry's way to it)."""
        server = await asyncio.start_server(
            self.serve_http, "127.0.0.1", 0, limit=2 * MAX_MESSAGE_BYTES)
        self.address = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]
        self.spawn(self.store.expire_leases())
        self.spawn(self.expire_entries())
        for number, (ident, zone, delay_s) in enumerate(members):
            instance = Instance(self, ident, zone, delay_s)
            instance.leads = number == 0
            await self.add(instance)

    async def add(self, instance):
        self.instances[instance.ident] = instance
        await instance.start()
        self.spawn(instance.beat())
        self.spawn(instance.follow())

    async def set_desired_state(self, version, routes, timeout_ms=1000,
                                target_ms=200, max_staleness_ms=1500):
        body = {"version": version, "routes": [
            {"name": "r-" + name, "database": name, "type": kind,
             "timeout_ms": timeout_ms, "target_latency_ms": target_ms,
             "priority": 1, "service": self.service,
             "max_staleness_ms": max_staleness_ms}
            for name, kind in routes.items()],
            "services": [{"name": self.service, "max_conns": self.max_conns,
                          "sync_replicas": self.sync}],
            "limits": {"tx_idle_ms": 3000}}
        await self.store.put("op/config", json.dumps(body).encode())

    async def expire_entries(self):
        """Removes entries after three heartbeat intervals of silence."""
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            for ident, heard in list(self.heard.items()):
                if now - heard > 3 * self.heartbeat_s:
                    del self.heard[ident]
                    await self.store.delete("servers/" + ident)

    def is_split(self, one, other):
        return (one.ident, other.ident) in self.split or \
            (other.ident, one.ident) in self.split

    def leader_for(self, instance):
        """The leader of the newest term that the instance can receive from."""
        leaders = [i for i in self.instances.values()
                   if i.leads and i.mode == "up"
                   and not self.is_split(i, instance)]
        return max(leaders, key=lambda i: i.term) if leaders else None

    def leader(self):
        leaders = [i for i in self.instances.values()
                   if i.leads and i.mode == "up"]
        return max(leaders, key=lambda i: i.term) if leaders else None

    async def failover(self, headers, body):
        holder = headers["x-catkinloom-lease-holder"]
        token = int(headers["x-catkinloom-fencing-token"])
        chosen = self.instances.get(body["id"])
        text = f"failover to {body['id']} by {holder} token {token}"
        if token < self.seen_token or chosen is None or chosen.mode != "up":
            self.seen_token = max(token, self.seen_token)
            self.record.write("platform", text + ": 409")
            return 409, {}
        self.seen_token = token
        self.record.write("platform", text + ": 200")
        if not chosen.leads:
            self.spawn(self.take_effect(chosen))
            self.on_accepted(chosen)
        return 200, {}

    async def take_effect(self, chosen):
        born = chosen.born
        await asyncio.sleep(self.promote_s)
        if chosen.mode != "up" or chosen.born != born:
            self.record.write("platform", f"promotion of {chosen.ident} void: "
                              "it has ended meanwhile")
            return
        before = {i.ident: list(i.log) for i in self.instances.values()}
        term = max(i.term for i in self.instances.values()) + 1
        for other in self.instances.values():
            was_leading, other.leads = other.leads, False
            other.paused_term = 0
            if was_leading:
                await other.report()
        chosen.leads, chosen.term = True, term
        chosen.received.clear()
        for other in self.instances.values():
            # Replicas that were ahead are rolled back.
            if other is not chosen and other.mode == "up" and \
                    len(other.log) > len(chosen.log):
                other.log = list(chosen.log)
        self.record.write("platform", f"promotion of {chosen.ident} takes "
                          f"effect: term {term}, log {chosen.position()}")
        await chosen.report()
        self.on_promoted(chosen, before)

    async def serve_http(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                first, *rows = head.strip().split("\r\n")
                headers = {k.lower(): v.strip() for k, v in
                           (row.split(":", 1) for row in rows)}
                raw = await reader.readexactly(
                    int(headers.get("content-length", 0)))
                method, target, _ = first.split(" ")
                url = urllib.parse.urlsplit(target)
                query = dict(urllib.parse.parse_qsl(url.query))
                body = json.loads(raw) if raw else {}
                if url.path == "/failover":
                    status, answer = await self.failover(headers, body)
                else:
                    status, answer = await self.store.handle(
                        method, url.path, query, body)
                data = json.dumps(answer).encode()
                writer.write((f"HTTP/1.1 {status} X\r\nContent-Type: "
                              "application/json\r\nContent-Length: "
                              f"{len(data)}\r\n\r\n").encode() + data)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError,
                asyncio.CancelledError):
            pass
        finally:
            writer.close()


USED_PORTS = set()


def free_port(host):
    """A free port below the range of outgoing connections."""
    while True:
        port = random.randint(15000, 31000)
        if port in USED_PORTS:
            continue
        with socket.socket() as probe:
            try:
                probe.bind((host, port))
            except OSError:
                continue
        USED_PORTS.add(port)
        return port


def render(template, fields):
    """Fills in the template of the settings as DEPLOY.md describes it, as far
    as deploy/settings.yaml.template uses it."""
    def value(name):
        found = fields
        for part in name.split("."):
            found = found.get(part) if isinstance(found, dict) else None
        return found

    def section(match):
        kind, name, inner = match.group(1), match.group(2), match.group(3)
        found = value(name)
        if kind == "^":
            return "" if found else inner
        return inner.replace("{{.}}", str(found)) if found else ""
    text = re.sub(r"\{\{([#^])([\w.]+)\}\}\n?(.*?)\{\{/\2\}\}\n?", section,
                  template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda m: str(value(m.group(1))), text)


class Proxy:
    """A proxy: the program of the deploy file, as a process of its own."""

    def __init__(self, number, zone, fleet, folder, grace_s=6):
        self.name, self.zone = f"edge-{number}", zone
        self.record = fleet.record
        host = f"127.0.{os.getpid() % 200 + 1}.{number}"
        self.front = (host, free_port(host))
        self.ready = (host, free_port(host))
        fields = {
            "node": self.name, "zone": zone, "ip": host,
            "listen_addrs": {"front": "%s:%d" % self.front,
                             "ready": "%s:%d" % self.ready},
            "platform": {"address": fleet.address},
            "cloud_api": {"address": fleet.address},
            "bounds": {"fencing_enforced": True, "grace_s": grace_s,
                       "config_apply_ms": 3000}}
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = next(iter(deploy["roles"].values()))
        self.command = role["run"].split(" ")
        self.settings = folder / (self.name + ".yaml")
        self.settings.write_text(
            render((ROOT / role["template"]).read_text(), fields))
        self.log = folder / (self.name + ".log")
        self.process = None

    async def start(self):
        environment = {"PATH": os.environ["PATH"], "LANG": "C.UTF-8",
                       "HOME": os.environ.get("HOME", "/"),
                       "CATKINLOOM_CONFIG": str(self.settings)}
        with self.log.open("a") as output:
            self.process = await asyncio.create_subprocess_exec(
                *self.command, cwd=ROOT, env=environment,
                stdout=output, stderr=output)
        self.record.write(self.name, f"starts, process {self.process.pid}")

    def send_signal(self, number):
        self.record.write(self.name, "gets " + signal.Signals(number).name)
        os.kill(self.process.pid, number)

    async def kill(self):
        if self.process and self.process.returncode is None:
            self.send_signal(signal.SIGKILL)
        if self.process:
            await self.process.wait()

    async def is_ready(self):
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(*self.ready), 1)
            writer.write(b"GET /ready HTTP/1.1\r\nHost: r\r\n"
                         b"Connection: close\r\n\r\n")
            status = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            return b" 200 " in status
        except (OSError, asyncio.TimeoutError):
            return False


class SessionEnded(Exception):
    """The proxy closed the connection, or didn't answer in time."""


class Caller:
    """One session of a client."""

    count = 0

    def __init__(self, proxy, database):
        self.proxy, self.database = proxy, database
        Caller.count += 1
        self.name = f"c{Caller.count}"
        self.sent = 0
        self.reader = self.writer = None

    async def open(self):
        try:
            self.reader, self.writer = await asyncio.wait_for(
                asyncio.open_connection(*self.proxy.front,
                                        limit=2 * MAX_MESSAGE_BYTES), 2)
            self.writer.write(f"STARTUP {self.database} u1\r\n".encode())
            first = await asyncio.wait_for(self.reader.readline(), 2)
        except (OSError, asyncio.TimeoutError) as error:
            raise SessionEnded(str(error) or "no answer") from error
        if not first.startswith(b"READY I"):
            raise SessionEnded(first.decode().strip() or "closed")
        return self

    async def query(self, text, timeout_s=10.0):
        """Returns the lines before READY, and the READY line."""
        self.sent += 1
        ident = f"{self.name}x{self.sent}"
        record = self.proxy.record
        record.write(self.name, f"to {self.proxy.name}: {ident} {text}")
        lines = []
        try:
            self.writer.write(f"QUERY {ident} {text}\r\n".encode())
            while True:
                line = await asyncio.wait_for(self.reader.readuntil(b"\r\n"),
                                              timeout_s)
                line = line[:-2].decode()
                if line.startswith("READY"):
                    record.write(self.name, f"{ident}: {' | '.join(lines)} | "
                                 f"{line}")
                    return lines, line
                lines.append(line)
        except (OSError, asyncio.IncompleteReadError,
                asyncio.TimeoutError) as error:
            record.write(self.name, f"{ident}: {' | '.join(lines)} "
                         f"no complete answer ({type(error).__name__})")
            raise SessionEnded(ident) from error

    def close(self):
        if self.writer:
            self.writer.close()


def is_success(lines):
    return bool(lines) and lines[-1].startswith("COMPLETE ") and \
        lines[-1] != "COMPLETE -"


class Writer:
    """Clients that write one item after the other, each with one session.

    What was acknowledged stands in acknowledged: data by time.
    """

    def __init__(self, database="book", interval_s=0.01):
        self.database, self.interval_s = database, interval_s
        self.acknowledged = {}
        self.answers = collections.Counter()
        self.number = 0
        self.stopped = False

    async def run(self, proxies, who):
        caller = None
        while not self.stopped:
            try:
                if caller is None:
                    caller = await Caller(proxies(), self.database).open()
                self.number += 1
                data = f"{who}-{self.number}"
                lines, _ = await caller.query(f"WRITE k{self.number % 50} "
                                              f"{data}")
                if is_success(lines):
                    self.acknowledged[data] = time.monotonic()
                    self.answers["done"] += 1
                else:
                    self.answers[lines[-1] if lines else "-"] += 1
                    await asyncio.sleep(0.05)
            except SessionEnded:
                self.answers["ended"] += 1
                if caller:
                    caller.close()
                caller = None
                await asyncio.sleep(0.05)
            await asyncio.sleep(self.interval_s)
        if caller:
            caller.close()


def data_of(log):
    return {data for commit in log for _, data in commit.writes}


async def until(condition, seconds, what):
    """Waits for a condition, which may be a coroutine function."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        found = condition()
        if asyncio.iscoroutine(found):
            found = await found
        if found:
            return
        await asyncio.sleep(0.02)
    raise CannotRun(f"{what}: not within {seconds} s")


class CannotRun(Exception):
    """The case can't be judged."""


def main(case, file):
    """Runs a case: case(record, folder, proxies) returns HELD or BROKEN.

    proxies is a list; the processes in it are ended at the end.
    """
    folder = pathlib.Path(file).resolve().parent
    record = Record(folder / "record.txt")
    record.write("case", f"{folder.name} TROUBLE={int(TROUBLE)}")
    work = pathlib.Path(tempfile.mkdtemp(prefix="case-"))
    proxies = []

    async def run():
        task = asyncio.current_task()
        asyncio.get_running_loop().add_signal_handler(
            signal.SIGTERM, task.cancel)
        try:
            return await asyncio.wait_for(case(record, work, proxies), 112)
        except CannotRun as error:
            record.write("case", f"could not run: {error}")
            return NOT_RUN
        except asyncio.TimeoutError:
            record.write("case", "could not run: over time")
            return NOT_RUN
        finally:
            for proxy in proxies:
                await proxy.kill()
    result = NOT_RUN
    try:
        result = asyncio.run(run())
    finally:
        for proxy in proxies:
            if os.environ.get("KEEP_LOGS") and proxy.log.exists():
                shutil.copy(proxy.log, os.environ["KEEP_LOGS"])
        shutil.rmtree(work, ignore_errors=True)
        record.write("case", {HELD: "rule held", BROKEN: "rule broken",
                              NOT_RUN: "not run"}[result])
    print({HELD: "held", BROKEN: "broken", NOT_RUN: "not run"}[result])
    sys.exit(result)
