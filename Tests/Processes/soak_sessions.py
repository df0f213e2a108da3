"""A randomized soak of session proxies as real processes.

Faults are injected from outside the proxies: by signals to their processes,
by relays on the loopback address in front of proxies, instances and the store,
and by the simulated services.  Callers check the responses during the run.
After it the responses are compared with the leader's log:

- an acknowledged write is in the log exactly once;
- a write refused with a code that guarantees no effect is not in the log;
- a session reads its own writes, and a current read is never stale.  The value
  of a write with unknown outcome may be read at any time: the write may run
  after a newer one was acknowledged (seed 22: an instance became unresponsive
  before it read a statement from its connection);
- no write of a rolled-back transaction is in the log;
- a success has an instance's signature for its own request, and as many rows
  as it must have;
- an instance executes only what a caller sent, with the arguments, shape,
  transaction and session values of that caller;
- the platform receives no promotion command with a lower token than an earlier
  one, and no token from two proxies, if it does not check tokens (--unfenced);
- all this also if instances send responses twice (--repeating), or if leaders
  that a complete record names crash before they lead, and may restart without
  their log (--voiding);
- every proxy serves writes within MAX_RECOVERY_S of the last fault.

Usage: soak_sessions.py [--seconds S] [--proxies N] [--unfenced] [--repeating]
                        [--voiding] [--keep DIR] SEED [SEED ...]
"""

import argparse
import asyncio
import json
import pathlib
import random
import shutil
import signal
import sys
import tempfile
import threading
import time

from fleet_case import Caller, Fleet, Proxy, ROUTES, is_own_statement, \
    is_signed, wait_until
from fleet_stand_in import ExecutedStatement, PROMOTION_DELAY_S, Repetition, \
    is_callers_statement
from loopback_relay import TARGET_TO_CLIENT, CLIENT_TO_TARGET, Relay

#: Seconds from the end of the last fault until every proxy must serve writes;
#: the recovery bound of the deployments.
MAX_RECOVERY_S = 12
#: Longest time in seconds for which a promotion command is held back; the
#: platform may execute one without a response seconds later.
MAX_HOLD_S = 6
#: Key of the failover record of the group.
FAILOVER_RECORD = "catkinloom/failover/core"
#: Key of the membership record of the group.
MEMBERSHIP_RECORD = "catkinloom/members/core"
#: Error codes that guarantee that the statement had no effect.
NO_EFFECT_CODES = ("BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGNODE",
                   "CONNLIMIT", "NOSUCHDB", "MALFORMED")
#: Shape of the prepared statements; its words also begin statements.
SHAPE = "q0 READ vb0"
#: Number of entries that a replica may still have to receive.
MAX_LAG_ENTRIES = 10
#: Seconds between two checks whether a replica has the leader's log.
POLL_INTERVAL_S = 0.05
#: Seconds that a caller waits for a response.
RESPONSE_TIMEOUT_S = 4


class Observations:
    """Outcomes reported to all callers, and failed checks.

    The sets hold written values; sent holds statements by name, and failures
    one text per failed check.
    """

    def __init__(self):
        self.lock = threading.Lock()
        self.acknowledged, self.refused = set(), set()
        self.unknown, self.failures = set(), []
        self.sent = {}
        self.reads = 0

    def record_outcome(self, value, lines):
        """Records the response to a write or commit of a value.

        Returns whether it was acknowledged.
        """
        last = lines[-1] if lines else ""
        with self.lock:
            if last.startswith("COMPLETE i-"):
                self.acknowledged.add(value)
                return True
            is_refused = last.startswith("ERROR ") and \
                last.split(" ")[1] in NO_EFFECT_CODES
            (self.refused if is_refused else self.unknown).add(value)
        return False

    def record_failure(self, text):
        with self.lock:
            self.failures.append(text)


class CallerThread(threading.Thread):
    """A caller that alone writes its item, with increasing values."""

    def __init__(self, number, soak):
        super().__init__(daemon=True)
        self.number, self.soak = number, soak
        self.random = random.Random(f"{soak.seed}-{number}")
        self.written, self.statements = 0, 0
        #: Session values, whether SHAPE is prepared, and the name of BEGIN.
        self.values, self.is_prepared, self.begin = {}, False, None
        #: Last READY line, and the last write with its response; both are
        #: printed when a check fails.
        self.ready, self.last_write = "", ()
        #: Number of the newest value known to be acknowledged.
        self.newest_acknowledged = -1

    def run(self):
        try:
            while not self.soak.stopping:
                try:
                    self.session()
                except OSError:
                    time.sleep(0.05)
        except Exception as error:
            self.soak.observations.record_failure(
                f"caller {self.number} ended: {error!r}")
            raise

    def session(self):
        database = self.random.choice(("current", "own"))
        caller = Caller(self.soak.random_endpoint(self.random), database,
                        timeout=RESPONSE_TIMEOUT_S)
        try:
            if not caller.startup_response.startswith("READY"):
                return
            self.prepare(caller)
            # A read-your-writes session starts without writes of its own.
            newest_acknowledged = \
                self.newest_acknowledged if database == "current" else -1
            for _ in range(self.random.randint(1, 40)):
                if self.soak.stopping:
                    return
                newest_acknowledged = self.operation(caller, database,
                                                     newest_acknowledged)
                time.sleep(self.random.uniform(0, 0.03))
        finally:
            caller.close()

    def prepare(self, caller):
        self.values, self.begin = {}, None
        self.execute(caller, f"SET who {self.number}")
        self.values = {"who": str(self.number)}
        self.execute(caller, f"PREPARE s1 READ {SHAPE}")
        self.execute(caller, f"PREPARE s2 WRITE {SHAPE}")
        self.is_prepared = True

    def operation(self, caller, database, newest_acknowledged):
        step = self.random.random()
        if step < 0.3:
            return max(newest_acknowledged, self.write(caller))
        if step < 0.45:
            return max(newest_acknowledged, self.transaction(caller))
        self.read(caller, database,
                  self.newest_acknowledged if database == "current"
                  else newest_acknowledged)
        return newest_acknowledged

    def value(self):
        self.written += 1
        return f"{self.number}-{self.written}"

    def exchange(self, caller, text):
        """Sends a statement and checks that the response is its own.

        Every second read or write is sent as a prepared statement.
        """
        self.statements += 1
        name = f"d{self.number}s{self.statements}"
        verb, _, arguments = text.partition(" ")
        is_access = verb in ("READ", "WRITE")
        shape = SHAPE if is_access and self.is_prepared and \
            self.statements % 2 else None
        if shape:
            text = f"EXECUTE {'s1' if verb == 'READ' else 's2'} {arguments}"
        self.soak.observations.sent[name] = ExecutedStatement(
            name, verb, shape, arguments, self.begin, self.values)
        lines, ready = caller.execute(text, name)
        self.ready = ready
        if lines and lines[-1].startswith("COMPLETE"):
            is_own = is_signed(lines[-1], name) \
                if is_access or verb == "COMMIT" else lines[-1] == "COMPLETE -"
            if not is_own or len(lines) != (2 if verb == "READ" else 1):
                self.soak.observations.record_failure(
                    f"{name} {text} got the response of another request: "
                    f"{lines}")
        return lines, ready

    def execute(self, caller, text):
        lines, ready = self.exchange(caller, text)
        if not ready:
            raise ConnectionError("session ended")
        return lines

    def write(self, caller):
        value = self.value()
        return self.execute_write(caller, f"WRITE item{self.number} {value}",
                                  value)

    def execute_write(self, caller, text, value):
        """Executes a write or commit of a value and records the response.

        Returns the value's number if it was acknowledged, otherwise -1.
        """
        lines = []
        try:
            lines, ready = self.exchange(caller, text)
            self.last_write = (value, lines, ready)
        finally:
            is_acknowledged = self.soak.observations.record_outcome(
                value, lines)
        if not ready:
            raise ConnectionError("session ended")
        if is_acknowledged:
            self.newest_acknowledged = self.written
        return self.written if is_acknowledged else -1

    def transaction(self, caller):
        value = self.value()
        if not self.execute(caller, "BEGIN")[-1].startswith("COMPLETE"):
            return -1
        self.begin = f"d{self.number}s{self.statements}"
        try:
            return self.finish_transaction(caller, value)
        finally:
            self.begin = None

    def finish_transaction(self, caller, value):
        for item in (f"item{self.number}", f"twin{self.number}"):
            if not self.execute(
                    caller, f"WRITE {item} {value}")[-1].startswith(
                        "COMPLETE"):
                self.execute(caller, "ROLLBACK")
                self.soak.observations.refused.add(value)
                return -1
        if self.random.random() < 0.2:
            self.execute(caller, "ROLLBACK")
            self.soak.observations.refused.add(value)
            return -1
        return self.execute_write(caller, "COMMIT", value)

    def read(self, caller, database, newest_acknowledged):
        lines = self.execute(caller, f"READ item{self.number}")
        if not lines[0].startswith("DATAROW"):
            return
        self.soak.observations.reads += 1
        seen = lines[0].split(" ", 1)[1]
        index = -1
        if seen != "-":
            writer, _, number = seen.partition("-")
            if writer != str(self.number):
                self.soak.observations.record_failure(
                    f"caller {self.number} read a row of another: {lines}")
                return
            index = int(number)
        if index < newest_acknowledged and \
                seen not in self.soak.observations.unknown:
            self.soak.observations.record_failure(
                f"{time.strftime('%H:%M:%S')} {database} read of "
                f"caller {self.number} returned {seen} after write "
                f"{newest_acknowledged} was acknowledged; response "
                f"{lines[-1]}, {self.ready}; last write {self.last_write}")


class Soak:
    """A run with one seed."""

    def __init__(self, seed, seconds, proxies, folder, fenced=True,
                 repeating=False, voiding=False, losing=False):
        self.seed, self.seconds, self.fenced = seed, seconds, fenced
        self.random = random.Random(seed)
        self.observations = Observations()
        self.stopping = False
        self.version = 2
        #: The instance with an injected fault, or None; only one at a time.
        self.faulted_instance = None
        self.number_of_returns = 0
        #: A named leader is down, or does not have the whole log yet.
        self.is_voiding = False
        self.fleet = Fleet()
        self.relays = []
        for instance in self.fleet.instances.values():
            instance.advertised = self.relay(instance.address).address
            self.fleet.run(instance.register())
        self.fleet.set_desired_state(self.version, ROUTES)
        self.fleet.checks_tokens = fenced
        self.store_relays = [self.relay(self.fleet.store_address)
                       for _ in range(proxies)]
        self.api_relays = self.store_relays if fenced else [
            self.relay(self.fleet.store_address) for _ in range(proxies)]
        self.proxies = [Proxy(f"p-{n + 1}", "abc"[n % 3],
                              self.store_relays[n].address, folder,
                              self.api_relays[n].address, fenced)
                        for n in range(proxies)]
        self.caller_relays = []
        for proxy in self.proxies:
            proxy.start()
            caller_relay = self.relay(f"127.0.0.1:{proxy.callers}")
            self.caller_relays.append(caller_relay)
        self.faults = (
            (3, self.kill), (2, self.freeze), (2, self.stop_and_start),
            (1, self.reload), (2, self.kill_all), (2, self.store_out),
            (2, self.store_out_for_one), (1, self.store_loses_answers),
            (2, self.network), (2, self.crash_instance),
            (2, self.darken_instance), (2, self.cut_instance),
            (1, self.lose_answers), (1, self.hand_over),
            (2, self.change_version), (1, self.lose_promotion))
        if not fenced:
            self.faults += (
                (2, self.isolate_next_holder), (2, self.hold_commands),
                (1, self.execute_commands_late), (2, self.crash_leader))
        if repeating:
            self.faults += ((8, self.repeat_responses), (2, self.refuse))
        if voiding:
            self.faults += ((8, self.void_promotion), (6, self.hand_over))
        if losing:
            self.faults += ((12, self.lose_confirming_replica),)

    def relay(self, target):
        relay = self.fleet.run(Relay(target).start())
        self.relays.append(relay)
        return relay

    def random_endpoint(self, rng):
        """Chooses the relay of a proxy.

        Returns an object with the port that Caller connects to.
        """
        caller_relay = rng.choice(self.caller_relays)

        class Endpoint:
            callers = int(caller_relay.address.rsplit(":", 1)[1])
        return Endpoint

    def schedule(self, seconds, action, *arguments):
        timer = threading.Timer(seconds, action, arguments)
        timer.daemon = True
        timer.start()
        self.timers.append(timer)

    # Faults; each schedules its own end.

    def kill(self):
        proxy = self.random.choice(self.proxies)
        self.restart(proxy, self.random.uniform(0.1, 1.0))

    def kill_all(self):
        pause = self.random.uniform(0.1, 0.8)
        for proxy in self.proxies:
            self.restart(proxy, pause)

    def restart(self, proxy, pause):
        proxy.stop()
        self.schedule(pause, self.start_if_stopped, proxy)

    def start_if_stopped(self, proxy):
        if proxy.process.poll() is not None:
            proxy.start()

    def freeze(self):
        proxy = self.random.choice(self.proxies)
        process = proxy.process
        if process.poll() is None:
            process.send_signal(signal.SIGSTOP)
            self.schedule(self.random.uniform(0.3, 3.0), process.send_signal,
                          signal.SIGCONT)

    def stop_and_start(self):
        proxy = self.random.choice(self.proxies)
        if proxy.process.poll() is None:
            proxy.process.send_signal(signal.SIGTERM)
            self.schedule(6.0, self.restart, proxy, 0.1)

    def reload(self):
        proxy = self.random.choice(self.proxies)
        if proxy.process.poll() is None:
            proxy.process.send_signal(signal.SIGHUP)

    def store_out(self):
        self.fleet.store.mode = self.random.choice(("busy", "silent"))
        self.schedule(self.random.uniform(0.3, 4.0), setattr, self.fleet.store,
                      "mode", "up")

    def store_out_for_one(self):
        relay = self.random.choice(self.store_relays)
        self.inject_relay_fault(relay)

    def store_loses_answers(self):
        self.fleet.store.lose_answers += self.random.randint(1, 3)

    def network(self):
        self.inject_relay_fault(self.random.choice(self.relays))

    def inject_relay_fault(self, relay):
        kind = self.random.choice(("delay", "reset", "silent", "one way",
                                   "refuse"))
        if kind == "delay":
            relay.delay_s = self.random.uniform(0.01, 0.3)
        elif kind == "silent":
            relay.blocked_directions.update(
                (CLIENT_TO_TARGET, TARGET_TO_CLIENT))
        elif kind == "one way":
            relay.blocked_directions.add(
                self.random.choice((CLIENT_TO_TARGET, TARGET_TO_CLIENT)))
        else:
            relay.refuses_connections = kind == "refuse"
            self.fleet.loop.call_soon_threadsafe(relay.reset)
        self.schedule(self.random.uniform(0.3, 3.0), relay.clear_faults)

    def acquire_instance(self):
        if self.faulted_instance is None and not self.is_voiding:
            leader = self.fleet.leader()
            self.faulted_instance = \
                leader if leader and self.random.random() < 0.6 \
                else self.random.choice(list(self.fleet.instances.values()))
            return self.faulted_instance
        return None

    def release_instance(self, action):
        action()
        self.faulted_instance = None

    def crash_instance(self):
        instance = self.acquire_instance()
        if instance:
            self.fleet.run(instance.crash())
            self.schedule(self.random.uniform(0.5, 4.0), self.release_instance,
                          lambda: self.fleet.run(instance.restart()))

    def darken_instance(self):
        instance = self.acquire_instance()
        if instance:
            instance.mode = "dark"
            self.schedule(self.random.uniform(0.5, 4.0), self.release_instance,
                          lambda: setattr(instance, "mode", "up"))

    def cut_instance(self):
        instance = self.acquire_instance()
        if instance:
            instance.cut_from_group = True
            self.schedule(self.random.uniform(0.5, 4.0), self.release_instance,
                          lambda: setattr(instance, "cut_from_group", False))

    def hand_over(self):
        instance = self.acquire_instance()
        if instance:
            instance.draining = True
            self.fleet.run(instance.register())

            def cancel_drain():
                instance.draining = False
                self.fleet.run(instance.register())
            self.schedule(self.random.uniform(2.0, 4.0), self.release_instance,
                          cancel_drain)

    def lose_answers(self):
        leader = self.fleet.leader()
        if leader:
            leader.lose_answers += self.random.randint(1, 3)

    # Faults of instances that send responses twice.

    def repeat_responses(self):
        instance = self.random.choice(list(self.fleet.instances.values()))
        instance.repetition = Repetition(
            self.random.random(), self.random.uniform(0.02, 0.5),
            self.random.choice((
                is_callers_statement, lambda _ident, _response: True,
                lambda _ident, response: response.startswith("ERROR "))))
        self.schedule(self.random.uniform(1, 6), setattr, instance,
                      "repetition", None)

    def refuse(self):
        instance = self.random.choice(list(self.fleet.instances.values()))
        instance.busy_share = self.random.uniform(0.02, 0.3)
        self.schedule(self.random.uniform(1, 4), setattr, instance,
                      "busy_share", 0)

    # Fault of instances that are being promoted.

    def void_promotion(self):
        """Crashes the next leader that a complete record names, before it leads.

        Only if both others have its log, since it may lose its own.
        """
        delay_s = self.random.uniform(0, PROMOTION_DELAY_S / 2)
        down_s = self.random.uniform(0.5, 4.0)
        loses_log = self.random.random() < 0.7

        def crash(key, value):
            if key != FAILOVER_RECORD:
                return
            record = json.loads(value)
            named = self.fleet.instances.get(record["leader"])
            if record["contested"] or not named or named.is_leader or \
                    not self.is_dispensable(named):
                return
            self.fleet.store.on_write = lambda key, value: None
            self.is_voiding = True
            self.fleet.loop.create_task(
                self.crash_named(named, delay_s, down_s, loses_log))
        self.fleet.store.on_write = crash

    def is_dispensable(self, instance):
        others = [other for other in self.fleet.instances.values()
                  if other is not instance]
        return (not self.faulted_instance or self.faulted_instance.draining) \
            and all(other.mode == "up" and other.log == instance.log
                    for other in others)

    async def crash_named(self, named, delay_s, down_s, loses_log):
        await asyncio.sleep(delay_s)
        await named.crash()
        await asyncio.sleep(down_s)
        await (named.restart_empty() if loses_log else named.restart())
        for _ in range(int(MAX_RECOVERY_S / POLL_INTERVAL_S)):
            leader = self.fleet.leader()
            if leader and leader is not named and leader.log == named.log:
                break
            await asyncio.sleep(POLL_INTERVAL_S)
        self.is_voiding = False

    def lose_confirming_replica(self):
        """One replica lags and the other one, which confirms, is lost; then
        the leader is unresponsive and all proxies restart.

        The lost replica returns with its log, under another name.
        """
        leader = self.fleet.leader()
        replicas = [instance for instance in self.fleet.instances.values()
                    if instance is not leader]
        is_usable = leader and \
            MEMBERSHIP_RECORD in self.fleet.store.items and all(
            instance.mode == "up" and
            len(leader.log) - len(instance.log) < MAX_LAG_ENTRIES
            for instance in (leader, *replicas))
        if self.faulted_instance or self.is_voiding or not is_usable:
            return
        self.random.shuffle(replicas)
        lagging, lost = replicas
        self.faulted_instance = lost
        lagging.replication_blocked = True
        lost_at = self.random.uniform(0.2, 1.0)
        dark_at = lost_at + self.random.uniform(0, 2.0)
        light_at = dark_at + self.random.uniform(4.0, 7.0)
        back_at = dark_at + self.random.uniform(3.0, 8.0)
        self.schedule(lost_at, self.remove_instance, lost)
        self.schedule(dark_at, setattr, leader, "mode", "dark")
        self.schedule(dark_at, self.kill_all)
        self.schedule(light_at, setattr, leader, "mode", "up")
        self.schedule(back_at, self.return_instance, lost)
        self.schedule(max(light_at, back_at), self.release_instance,
                      lambda: setattr(lagging, "replication_blocked", False))

    def remove_instance(self, instance):
        self.fleet.run(instance.crash())
        self.fleet.run(self.fleet.store.delete("servers/" + instance.ident))

    def return_instance(self, instance):
        self.number_of_returns += 1
        self.fleet.run(self.fleet.return_as(
            instance, f"i-{10 + self.number_of_returns}"))

    # Faults of a platform that does not check tokens.

    def isolate_next_holder(self):
        """Holds back what the next proxy that names an instance in the failover
        record sends, and cuts it off from the store or kills it, or neither."""
        seconds = self.random.uniform(1, MAX_HOLD_S)
        kind = self.random.choice(("cut", "kill", "none"))

        def isolate(key, value):
            if key != FAILOVER_RECORD:
                return
            record = json.loads(value)
            if not record["contested"] or not record["may_lead"]:
                return
            self.fleet.store.on_write = lambda key, value: None
            number = int(record["holder"].rsplit("-", 1)[1]) - 1
            relays = [self.api_relays[number]]
            if kind == "cut":
                relays.append(self.store_relays[number])
            self.fleet.loop.call_later(0.05, self.isolate, kind, number, relays)
            for relay in relays:
                self.fleet.loop.call_later(seconds, relay.clear_faults)
            self.api_relays[number].blocked_directions.add(CLIENT_TO_TARGET)
        self.fleet.store.on_write = isolate

    def isolate(self, kind, number, relays):
        for relay in relays:
            relay.blocked_directions.update(
                (CLIENT_TO_TARGET, TARGET_TO_CLIENT))
        if kind == "kill" and self.proxies[number].process.poll() is None:
            self.proxies[number].process.kill()
            self.schedule(0.3, self.start_if_stopped, self.proxies[number])

    def hold_commands(self):
        relay = self.random.choice(self.api_relays)
        relay.blocked_directions.add(CLIENT_TO_TARGET)
        self.schedule(self.random.uniform(0.5, MAX_HOLD_S),
                      relay.clear_faults)

    def execute_commands_late(self):
        self.fleet.promotion_hold_s = self.random.uniform(1, MAX_HOLD_S)
        self.schedule(self.random.uniform(1, 4), setattr, self.fleet,
                      "promotion_hold_s", 0)

    def crash_leader(self):
        leader = self.fleet.leader()
        if self.faulted_instance is None and leader and leader.mode == "up":
            self.faulted_instance = leader
            self.fleet.run(leader.crash())
            self.schedule(self.random.uniform(2.0, 8.0), self.release_instance,
                          lambda: self.fleet.run(leader.restart()))

    def lose_promotion(self):
        self.fleet.promotion_responses_to_drop += 1

    def change_version(self):
        self.version += self.random.randint(1, 3)
        self.fleet.set_desired_state(
            self.version, ROUTES,
            timeout_ms=self.random.choice((800, 1000, 1500)))

    def run(self):
        self.timers = []
        weighted_faults = [action for weight, action in self.faults
                           for _ in range(weight)]
        caller_threads = [CallerThread(number, self) for number in range(8)]
        for proxy in self.proxies:
            wait_until(proxy.is_ready)
        for caller_thread in caller_threads:
            caller_thread.start()
        start_time = time.monotonic()
        while time.monotonic() < start_time + self.seconds:
            time.sleep(self.random.uniform(0.1, 1.2))
            action = self.random.choice(weighted_faults)
            print(f"{time.monotonic() - start_time:7.2f} {action.__name__}",
                  flush=True)
            action()
        for timer in list(self.timers):
            timer.join()
        # A timer that restarts a proxy schedules a second timer.
        for timer in list(self.timers):
            timer.join()
        self.check_recovery()
        self.stopping = True
        for caller_thread in caller_threads:
            caller_thread.join(RESPONSE_TIMEOUT_S * 4)
        self.compare_with_log()

    # Removes all faults and checks that every proxy serves writes.
    def check_recovery(self):
        self.fleet.store.mode, self.fleet.store.lose_answers = "up", 0
        self.fleet.promotion_responses_to_drop = 0
        self.fleet.promotion_hold_s = 0
        self.fleet.store.on_write = lambda key, value: None
        for relay in self.relays:
            relay.clear_faults()
        # A named leader that crashed just before restarts by itself.
        wait_until(lambda: all(instance.mode == "up" for instance
                               in self.fleet.instances.values()))
        for number, proxy in enumerate(self.proxies):
            caller_thread = CallerThread(100 + number, self)

            def write_acknowledged(proxy=proxy, caller_thread=caller_thread):
                try:
                    caller = Caller(proxy, "current",
                                    timeout=RESPONSE_TIMEOUT_S)
                    done = caller_thread.write(caller) >= 0
                    caller.close()
                    return done
                except OSError:
                    return False
            try:
                wait_until(write_acknowledged, MAX_RECOVERY_S)
            except AssertionError:
                self.observations.record_failure(
                    f"{proxy.name} acknowledged no write within "
                    f"{MAX_RECOVERY_S} s of the last fault")

    def check_tokens(self):
        arrivals = list(self.fleet.promotion_arrivals)
        for earlier, later in zip(arrivals, arrivals[1:]):
            is_shared = earlier[1] == later[1] and earlier[0] != later[0]
            if later[1] < earlier[1] or is_shared:
                self.observations.record_failure(
                    f"the platform received {later} after {earlier}")

    def check_executed_statements(self):
        for instance in self.fleet.instances.values():
            for executed in instance.statements:
                sent = self.observations.sent.get(executed.ident)
                if sent != executed and not is_own_statement(executed):
                    self.observations.record_failure(
                        f"{instance.ident} executed {executed}, sent {sent}")

    def compare_with_log(self):
        self.check_executed_statements()
        if not self.fenced:
            self.check_tokens()
        leader = self.fleet.leader()
        if not leader:
            self.observations.record_failure("no instance leads at the end")
            return
        log = [value for _, _, writes in leader.log
               for item, value in writes if item.startswith("item")]
        for value in sorted(self.observations.acknowledged):
            if log.count(value) != 1:
                self.observations.record_failure(
                    f"acknowledged write {value} is in the log "
                    f"{log.count(value)} times, expected 1")
        for value in sorted(self.observations.refused & set(log)):
            self.observations.record_failure(
                f"refused write {value} is in the log")
        for value in sorted(self.observations.unknown):
            if log.count(value) > 1:
                self.observations.record_failure(
                    f"write {value} with unknown outcome is in the log more "
                    f"than once")
        if not self.observations.acknowledged or not self.observations.reads:
            self.observations.record_failure(
                "no write was acknowledged or no read returned a value")

    def stop(self):
        self.stopping = True
        for timer in self.timers:
            timer.cancel()
        for proxy in self.proxies:
            proxy.stop()
        self.fleet.stop()


def run_seed(seed, seconds, proxies, keep, fenced=True, repeating=False,
             voiding=False, losing=False):
    """Runs one seed; returns the texts of the failed checks."""
    with tempfile.TemporaryDirectory() as folder:
        soak = Soak(seed, seconds, proxies, pathlib.Path(folder), fenced,
                    repeating, voiding, losing)
        try:
            soak.run()
        finally:
            soak.stop()
            if keep:
                shutil.copytree(folder, pathlib.Path(keep) / str(seed),
                                dirs_exist_ok=True)
                checks = pathlib.Path(keep) / str(seed) / "failed-checks.txt"
                checks.write_text("\n".join(soak.observations.failures))
        observations = soak.observations
        print(f"seed {seed}: {len(observations.acknowledged)} writes "
              f"acknowledged, {len(observations.refused)} refused, "
              f"{len(observations.unknown)} unknown, "
              f"{observations.reads} reads, "
              f"{len(soak.fleet.promotions)} promotions, "
              f"{len(observations.failures)} failed checks", flush=True)
        for text in observations.failures[:20]:
            print("  failed check:", text, flush=True)
        return observations.failures


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("seeds", nargs="+", type=int)
    parser.add_argument("--seconds", type=float, default=20)
    parser.add_argument("--proxies", type=int, default=3)
    parser.add_argument("--unfenced", action="store_true",
                        help="the platform does not check fencing tokens")
    parser.add_argument("--repeating", action="store_true",
                        help="instances send some responses twice")
    parser.add_argument("--voiding", action="store_true",
                        help="named leaders crash before they lead")
    parser.add_argument("--losing", action="store_true",
                        help="replicas that confirm commits are lost before "
                             "all proxies restart")
    parser.add_argument("--keep",
                        help="directory in which the proxies' logs are kept")
    options = parser.parse_args()
    failures = [seed for seed in options.seeds
                if run_seed(seed, options.seconds, options.proxies,
                            options.keep, not options.unfenced,
                            options.repeating, options.voiding,
                            options.losing)]
    print(f"{len(options.seeds) - len(failures)} passed, "
          f"{len(failures)} failed")
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
