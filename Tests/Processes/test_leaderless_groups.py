"""Groups whose record names a leader that does not lead."""

import contextlib
import threading
import time
import types
import unittest

from fleet_case import Caller, FleetCase, wait_until
from fleet_stand_in import SERVICE

#: Seconds until a group serves again, the bound of the deployments.
MAX_RECOVERY_S = 12
#: Seconds from an accepted promotion command until its instance crashes, less
#: than until the promotion takes effect.
CRASH_DELAY_S = 0.1
#: Seconds for which the crashed instance is down.
DOWN_S = 1
#: Seconds until a replica receives an entry of a slow leader, longer than until
#: a leader that drains has stepped down.
SLOW_COMMIT_S = 5
#: Seconds between two writes of a caller.
WRITE_INTERVAL_S = 0.02


class LeaderlessGroupTest(FleetCase):
    """Regression tests for issue 44.

    A group had no leader for good, also after a restart of all proxies, when
    the instance of its complete record answered and did not lead.
    """

    def setUp(self):
        super().setUp()
        #: Values of the acknowledged writes.
        self.acknowledged = []
        #: Held during a write through the proxy.
        self.writing = {proxy: threading.Lock() for proxy in self.proxies}
        stopping = threading.Event()
        self.writers = [threading.Thread(target=self.write_values,
                                         args=(proxy, stopping), daemon=True)
                        for proxy in self.proxies]
        for writer in self.writers:
            writer.start()
            self.addCleanup(writer.join, 10)
        self.addCleanup(stopping.set)
        wait_until(lambda: self.acknowledged)

    def write_values(self, proxy, stopping):
        number = 0
        while not stopping.is_set():
            try:
                caller = Caller(proxy, "current")
                while not stopping.is_set():
                    number += 1
                    value = f"{proxy.name}-{number}"
                    with self.writing[proxy]:
                        is_acknowledged = caller.write(value, value)
                    if not is_acknowledged:
                        break
                    self.acknowledged.append(value)
                    time.sleep(WRITE_INTERVAL_S)
                caller.close()
            except OSError:
                pass
            time.sleep(WRITE_INTERVAL_S)

    def call_on_promotion(self, action):
        """Calls action with the instance of the next accepted command, once it
        could have crashed but not led; returns a list that gets the
        instance."""
        chosen = []

        def on_accepted(candidate):
            if not chosen:
                chosen.append(candidate)
                self.fleet.loop.call_later(
                    CRASH_DELAY_S, self.fleet.loop.create_task,
                    action(candidate))
        self.fleet.on_accepted = on_accepted
        return chosen

    async def crash(self, instance):
        await instance.crash()

    def crash_and_restart_empty(self, instance):
        async def run():
            await instance.crash()
            instance.log, instance.is_leader = [], False
            self.fleet.loop.call_later(
                DOWN_S, self.fleet.loop.create_task, instance.restart_empty())
        return run()

    def drain_leader(self):
        leader = self.fleet.leader()
        leader.draining = True
        self.fleet.run(leader.register())
        return leader

    def step_leader_down_without_pending_writes(self):
        """The leader drains and steps down; all replicas have its log."""
        with contextlib.ExitStack() as stack:
            for lock in self.writing.values():
                stack.enter_context(lock)
            leader = self.drain_leader()
            wait_until(lambda: not leader.is_leader)
        return leader

    def remove(self, instance):
        self.fleet.run(instance.crash())
        self.fleet.run(self.fleet.store.delete("servers/" + instance.ident))

    def write_directly(self, instance, count):
        """Writes as a proxy does that takes the instance for the leader."""
        port = int(instance.address.rsplit(":", 1)[1])
        caller = Caller(types.SimpleNamespace(callers=port), SERVICE)
        values = [f"direct-{number}" for number in range(count)]
        acknowledged = [value for value in values
                        if caller.write(value, value)]
        caller.close()
        self.assertNotEqual(acknowledged, [])
        self.acknowledged += acknowledged

    def wait_until_served(self):
        """Waits for an acknowledged write that was not sent before."""
        count = len(self.acknowledged)
        wait_until(lambda: len(self.acknowledged) > count + 10,
                   MAX_RECOVERY_S)

    def assert_no_acknowledged_write_is_lost(self):
        leader = self.fleet.leader()
        acknowledged = list(self.acknowledged)
        kept = {value for _, _, writes in leader.log for _, value in writes}
        self.assertEqual([value for value in acknowledged
                          if value not in kept], [])

    def assert_recovers(self):
        self.wait_until_served()
        self.assert_no_acknowledged_write_is_lost()

    def test_chosen_instance_restarts_before_effect_other_one_is_promoted(
            self):
        """The leader that drains has stepped down and nobody leads."""
        chosen = self.call_on_promotion(self.crash_and_restart_empty)
        self.step_leader_down_without_pending_writes()
        wait_until(lambda: chosen and chosen[0].mode == "down")
        self.assert_recovers()

    def test_all_proxies_restart_other_instance_is_promoted(self):
        """The shape of the review's case: the proxies that start later adopt
        the same record."""
        chosen = self.call_on_promotion(self.crash_and_restart_empty)
        self.step_leader_down_without_pending_writes()
        wait_until(lambda: chosen and chosen[0].mode == "down")
        for proxy in self.proxies:
            proxy.stop()
        for proxy in self.proxies:
            proxy.start()
        self.assert_recovers()

    def test_only_former_leader_had_its_last_entry_other_one_is_promoted(self):
        """It steps down with entries that no replica received, is chosen for
        them, and loses them before it leads: they were never acknowledged."""
        former = self.fleet.leader()
        former.commit_delay_s = SLOW_COMMIT_S
        others = [instance for instance in self.fleet.instances.values()
                  if instance is not former]
        chosen = self.call_on_promotion(self.crash_and_restart_empty)
        wait_until(lambda: all(len(former.log) > len(other.log)
                               for other in others))
        self.drain_leader()
        wait_until(lambda: chosen and chosen[0].mode == "down")
        self.assertIs(chosen[0], former)
        former.commit_delay_s = 0
        self.assert_recovers()

    def test_former_leader_leaves_first_other_instance_is_promoted(self):
        """The loss of the former leader, which has stepped down, is no loss of
        commits that the chosen instance does not show."""
        chosen = self.call_on_promotion(self.crash_and_restart_empty)
        former = self.step_leader_down_without_pending_writes()
        wait_until(lambda: chosen and chosen[0].mode == "down")
        self.remove(former)
        self.assert_recovers()

    def test_chosen_instance_does_not_return_other_one_is_promoted(self):
        """It stays listed, but gets no statements whose loss would be
        noticed."""
        chosen = self.call_on_promotion(self.crash)
        self.step_leader_down_without_pending_writes()
        wait_until(lambda: chosen and chosen[0].mode == "down")
        self.assert_recovers()

    def test_leader_restarts_empty_other_instance_is_promoted(self):
        """It led, and its restart left a replica that has nothing."""
        former = self.fleet.leader()
        self.fleet.run(former.crash())
        self.wait_until_served()
        self.fleet.run(former.restart())
        leader = self.fleet.leader()
        wait_until(lambda: former.term == leader.term)
        self.fleet.run(leader.crash())
        self.fleet.run(leader.restart_empty())
        self.assert_recovers()

    def test_first_leader_restarts_empty_other_instance_is_promoted(self):
        """No record names the leader yet, only the directory did."""
        leader = self.fleet.leader()
        self.fleet.run(leader.crash())
        self.fleet.run(leader.restart_empty())
        self.assert_recovers()

    def test_former_leader_still_leads_no_acknowledged_write_is_lost(self):
        """The former leader was unresponsive and did not step down.  It leads
        on, confirms writes of proxies that do not know the record yet, and the
        chosen instance, which restarted, receives them."""
        former = self.fleet.leader()
        chosen = self.call_on_promotion(self.crash_and_restart_empty)
        former.mode = "dark"
        wait_until(lambda: chosen and chosen[0].mode == "down")
        former.mode = "up"
        wait_until(lambda: chosen[0].mode == "up", 2 * DOWN_S)
        self.assertTrue(former.is_leader)
        self.write_directly(former, 20)
        self.assert_recovers()

    def test_chosen_instance_leaves_former_leader_is_replaced(self):
        """The former leader leads on, and the chosen instance is gone."""
        former = self.fleet.leader()
        chosen = self.call_on_promotion(self.crash)
        former.mode = "dark"
        wait_until(lambda: chosen and chosen[0].mode == "down")
        former.mode = "up"
        self.remove(chosen[0])
        self.assert_recovers()


if __name__ == "__main__":
    unittest.main()
