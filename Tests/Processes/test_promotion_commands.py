"""Promotion commands that arrive late, on a platform that checks no tokens."""

import base64
import json
import signal
import threading
import time
import unittest

from fleet_case import Caller, FleetCase, wait_until
from loopback_relay import CLIENT_TO_TARGET, Relay, TARGET_TO_CLIENT

#: Key of the failover record of the group.
FAILOVER_RECORD = "catkinloom/failover/core"
#: Seconds until a group serves again, the bound of the deployments.
MAX_RECOVERY_S = 12
#: Seconds after which a command without a response is no longer executed; see
#: promotions.fenced in docs/CONFIGURATION.md.
MAX_COMMAND_AGE_S = 10
#: Seconds for which a command is held back: longer than another proxy waits
#: before it takes over an attempt, shorter than MAX_COMMAND_AGE_S.
HOLD_S = 7
#: Seconds from the write of a record until its writer is isolated; it has sent
#: its command by then.
ISOLATION_DELAY_S = 0.1
#: Seconds for which the platform rejects commands.
OVERLOAD_S = 4
#: Seconds between two writes of a caller.
WRITE_INTERVAL_S = 0.02


class PromotionCommandCase(FleetCase):
    """Each proxy reaches the store and the promotion API through relays."""

    PROXIES = (("p-1", "a"), ("p-2", "b"), ("p-3", "c"))
    FENCED = False

    def setUp(self):
        #: Relays by the name of their proxy.
        self.store_relays, self.api_relays = {}, {}
        super().setUp()
        for proxy in range(len(self.proxies)):
            self.write_in_background(proxy)

    def relay(self, relays, name):
        relays[name] = self.fleet.run(Relay(self.fleet.store_address).start())
        return relays[name].address

    def store_address(self, name):
        return self.relay(self.store_relays, name)

    def promotion_address(self, name):
        return self.relay(self.api_relays, name)

    def proxy(self, name):
        return next(proxy for proxy in self.proxies if proxy.name == name)

    def write_in_background(self, proxy):
        """Starts writes: a leader is only found to be lost if it has work."""
        stopping = threading.Event()

        def write():
            while not stopping.is_set():
                try:
                    caller = Caller(self.proxies[proxy], "current")
                    while not stopping.is_set() and caller.write("x", "1"):
                        time.sleep(WRITE_INTERVAL_S)
                    caller.close()
                except OSError:
                    pass
                time.sleep(WRITE_INTERVAL_S)
        thread = threading.Thread(target=write, daemon=True)
        thread.start()
        self.addCleanup(thread.join, 10)
        self.addCleanup(stopping.set)

    def on_next_command(self, action):
        """Calls action with the name of the next proxy that writes the instance
        to promote into the failover record, before the write is answered.

        Returns a list that gets that name.
        """
        holders = []

        def inspect(key, value):
            if key != FAILOVER_RECORD or holders:
                return
            record = json.loads(value)
            if record["contested"] and record["may_lead"]:
                holders.append(record["holder"])
                action(record["holder"])
        self.fleet.store.on_write = inspect
        return holders

    def hold_commands(self, holder):
        self.api_relays[holder].blocked_directions.add(CLIENT_TO_TARGET)

    def crash_leader(self):
        leader = self.fleet.leader()
        self.fleet.run(leader.crash())
        return leader

    def crash_leader_and_hold_for(self, seconds, action):
        """Crashes the leader and runs action with the name of the proxy that is
        about to command the promotion of another one.

        Returns that name, seconds after the action.
        """
        holders = self.on_next_command(action)
        self.crash_leader()
        wait_until(lambda: holders)
        time.sleep(seconds)
        return holders[0]

    def assert_tokens_never_fall(self):
        arrivals = list(self.fleet.promotion_arrivals)
        tokens = [token for _, token, _ in arrivals]
        self.assertEqual(tokens, sorted(tokens), arrivals)
        holders = {}
        for holder, token, _ in arrivals:
            self.assertEqual(holders.setdefault(token, holder), holder,
                             arrivals)


class LateCommandTest(PromotionCommandCase):
    """Regression tests for issue 34.

    The platform saw a lower fencing token after a higher one.
    """

    def assert_recovers_with_tokens_in_order(self):
        wait_until(self.fleet.leader_is_up, MAX_RECOVERY_S)
        # What was still held back has arrived by then.
        time.sleep(1)
        self.assert_tokens_never_fall()

    def test_commands_held_back_arrive_in_order(self):
        """A proxy repeated its unanswered command under newer tokens, and the
        platform received them in another order."""
        holder = self.crash_leader_and_hold_for(HOLD_S, self.hold_commands)
        self.api_relays[holder].clear_faults()
        self.assert_recovers_with_tokens_in_order()

    def test_command_of_isolated_proxy_arrives_after_no_newer_one(self):
        """A proxy was cut off from the store and the platform just after it had
        sent a command; another one took over before the command arrived."""
        def isolate(holder):
            self.hold_commands(holder)
            self.fleet.loop.call_later(ISOLATION_DELAY_S, cut_store, holder)

        def cut_store(holder):
            self.store_relays[holder].blocked_directions.update(
                (CLIENT_TO_TARGET, TARGET_TO_CLIENT))
        holder = self.crash_leader_and_hold_for(HOLD_S, isolate)
        self.api_relays[holder].clear_faults()
        self.store_relays[holder].clear_faults()
        self.assert_recovers_with_tokens_in_order()

    def test_command_of_suspended_proxy_arrives_after_no_newer_one(self):
        """A proxy was suspended while it connected to the platform; it sent its
        command when it ran again, after another one had taken over."""
        def suspend_while_connecting(holder):
            self.fleet.loop.call_later(
                ISOLATION_DELAY_S,
                self.proxy(holder).process.send_signal, signal.SIGSTOP)
        for relay in self.api_relays.values():
            self.fleet.run(relay.stop_accepting())
        holders = self.on_next_command(suspend_while_connecting)
        self.crash_leader()
        wait_until(lambda: holders)
        time.sleep(2 * ISOLATION_DELAY_S)
        for relay in self.api_relays.values():
            self.fleet.run(relay.resume_accepting())
        time.sleep(HOLD_S)
        self.proxy(holders[0]).process.send_signal(signal.SIGCONT)
        self.assert_recovers_with_tokens_in_order()

    def test_command_of_killed_proxy_arrives_after_no_newer_one(self):
        """A proxy was killed and restarted under its name just after it had
        sent a command, and sent a newer one at once."""
        def kill(holder):
            self.hold_commands(holder)
            self.fleet.loop.call_later(ISOLATION_DELAY_S,
                                       self.proxy(holder).process.kill)
        holders = self.on_next_command(kill)
        self.crash_leader()
        wait_until(lambda: holders)
        proxy = self.proxy(holders[0])
        proxy.process.wait(5)
        # The new process reaches the platform; only what the former one sent is
        # held back.
        self.api_relays[proxy.name].blocks_new_connections = False
        proxy.start()
        time.sleep(HOLD_S)
        self.api_relays[proxy.name].clear_faults()
        self.assert_recovers_with_tokens_in_order()


class RecoveryTest(PromotionCommandCase):
    """Regression tests for issue 34.

    A group had no leader as long as an instance was down whose promotion had
    been commanded without a response.
    """

    def test_commanded_instance_lost_other_one_is_promoted(self):
        """Each proxy that took the attempt over began the lifetime of the
        unanswered command anew."""
        self.fleet.promotion_responses_to_drop = 1
        first = self.crash_leader()
        wait_until(self.fleet.leader_is_up)
        self.fleet.run(first.restart())
        wait_until(lambda: first.log == self.fleet.leader().log)
        self.crash_leader()
        wait_until(self.fleet.leader_is_up, MAX_COMMAND_AGE_S + MAX_RECOVERY_S)
        self.assert_tokens_never_fall()

    def test_record_written_without_response_does_not_delay_promotion(self):
        """The writer of a record that named a command waited for the lifetime of
        that command, which it had never sent."""
        def lose_response(_holder):
            self.fleet.store.lose_answers = 1
        self.on_next_command(lose_response)
        self.crash_leader()
        self.assertLess(wait_until(self.fleet.leader_is_up, MAX_RECOVERY_S),
                        MAX_COMMAND_AGE_S)
        self.assert_tokens_never_fall()

    def test_platform_overloaded_leader_is_promoted_after_it(self):
        """The platform rejects commands beyond its rate."""
        self.fleet.rejects_commands = True
        self.crash_leader()
        time.sleep(OVERLOAD_S)
        self.assertEqual(self.fleet.promotions, [])
        self.fleet.rejects_commands = False
        wait_until(self.fleet.leader_is_up, MAX_RECOVERY_S)
        self.assert_tokens_never_fall()

    def test_holder_without_platform_leaves_promotion_to_another(self):
        """A proxy that reaches the store but not the platform kept the record
        for itself, again and again."""
        refused = self.on_next_command(
            lambda holder: self.api_relays[holder].server.close())
        self.crash_leader()
        wait_until(self.fleet.leader_is_up, MAX_RECOVERY_S)
        self.assertNotEqual(self.fleet.promotions[-1][0], refused[0])
        self.assert_tokens_never_fall()


class CommandedLeaderTest(PromotionCommandCase):
    def test_command_executed_without_response_is_not_repeated(self):
        """A proxy that takes over finds that the instance of the former holder's
        command leads, and completes the record without a command."""
        holders = self.on_next_command(
            lambda holder: self.api_relays[holder].blocked_directions.add(
                TARGET_TO_CLIENT))
        self.crash_leader()
        wait_until(lambda: self.fleet.promotions)
        self.proxy(holders[0]).process.kill()
        wait_until(self.is_record_complete, MAX_RECOVERY_S)
        self.assertEqual({holder for holder, _, _
                          in self.fleet.promotion_arrivals}, {holders[0]})

    def is_record_complete(self):
        item = self.fleet.store.items[FAILOVER_RECORD]
        record = json.loads(base64.b64decode(item["value"]))
        return not record["contested"]


if __name__ == "__main__":
    unittest.main()
