"""The store returns from an older copy of its data."""

import threading
import time
import unittest

from fleet_case import Caller, FleetCase, ROUTES, wait_until

#: Seconds from the confirmation of a change until it must be in force, of a
#: proxy without a setting for it.
MAX_CHANGE_S = 3
#: Seconds until a group serves again, the bound of the deployments.
MAX_RECOVERY_S = 12
#: Key of the failover record of the group.
FAILOVER_RECORD = "catkinloom/failover/core"
#: Calls of a proxy to the store per second: a proxy of the largest deployment's
#: share of the 2,000 that the store takes.
MAX_CALLS_PER_S = 2000 / 38
#: Seconds over which the calls are counted.
MEASURED_S = 3
#: Number of writes by write_entries().
WRITES = 20
#: Seconds after a change until each proxy waits for the next one.
WATCH_DELAY_S = 0.3


class RestoredStoreTest(FleetCase):
    def write_entries(self):
        for _ in range(WRITES):
            self.fleet.run(self.fleet.instances["i-3"].register())

    def restore_store(self, copy):
        self.fleet.run(self.fleet.store.restore(copy))

    def test_change_after_restore_is_in_force_in_time(self):
        """Regression test for issue 28.

        A watch went on from a revision of the former history, so that a change
        with a lower one was not seen until the next listing, a minute later.
        """
        copy = self.fleet.store.copy()
        self.write_entries()
        self.fleet.set_desired_state(5, {**ROUTES, "first": "primary"})
        for proxy in range(len(self.proxies)):
            wait_until(lambda p=proxy: self.is_served("first", p))
        time.sleep(WATCH_DELAY_S)
        self.restore_store(copy)
        self.fleet.set_desired_state(5, {**ROUTES, "first": "primary"})
        self.fleet.set_desired_state(7, {**ROUTES, "second": "primary"})
        # The revisions pass those from before the restore, so that the store
        # accepts a watch from one of them.
        self.write_entries()
        self.write_entries()
        for proxy in range(len(self.proxies)):
            wait_until(lambda p=proxy: self.is_served("second", p),
                       MAX_CHANGE_S)

    def test_older_state_after_restore_does_not_replace_newer_one(self):
        """The restored copy holds an older version than the one in force."""
        copy = self.fleet.store.copy()
        self.fleet.set_desired_state(5, {**ROUTES, "first": "primary"})
        wait_until(lambda: self.is_served("first"))
        self.restore_store(copy)
        self.write_entries()
        wait_until(lambda: self.proxies[0].metric_value(
            "catkinloom_store_generation") == 2)
        self.assertTrue(self.is_served("first"))

    def test_leader_lost_before_restore_is_replaced(self):
        """Regression test for issue 28.

        The claim to replace the leader was gone, every proxy went on from its
        revision, and the group had no leader to the end of the day.
        """
        copy = self.fleet.store.copy()
        self.write_entries()
        self.write_in_background()
        self.fleet.run(self.fleet.instances["i-1"].crash())
        wait_until(lambda: FAILOVER_RECORD in self.fleet.store.items,
                   interval_s=0.002)
        self.restore_store(copy)
        self.assertEqual(self.fleet.promotions, [])
        wait_until(self.fleet.leader_is_up, MAX_RECOVERY_S)

    def test_tokens_after_restore_are_newer_than_before(self):
        """Revisions are given out again, fencing tokens must not be."""
        copy = self.fleet.store.copy()
        self.write_entries()
        self.write_in_background()
        self.fleet.run(self.fleet.instances["i-1"].crash())
        wait_until(self.fleet.leader_is_up)
        _, token, leader = self.fleet.promotions[-1]
        self.fleet.run(self.fleet.instances["i-1"].restart())
        wait_until(lambda: self.is_up_to_date("i-1"))
        self.restore_store(copy)
        for instance in self.fleet.instances.values():
            self.fleet.run(instance.register())
        self.fleet.run(self.fleet.instances[leader].crash())
        wait_until(self.fleet.leader_is_up, MAX_RECOVERY_S)
        self.assertGreater(self.fleet.promotions[-1][1], token)

    def test_group_without_leader_after_restore_store_is_not_flooded(self):
        """Regression test for issue 28.

        Statements that waited for evidence asked the store again as soon as it
        had answered, 140 times a second.
        """
        copy = self.fleet.store.copy()
        for _ in range(3):
            self.write_in_background()
        for ident in ("i-1", "i-2"):
            self.fleet.run(self.fleet.instances[ident].crash())
        self.restore_store(copy)
        time.sleep(1)
        calls = "catkinloom_store_calls_total"
        before = self.proxies[1].metric_value(calls)
        time.sleep(MEASURED_S)
        made = self.proxies[1].metric_value(calls) - before
        self.assertLess(made / MEASURED_S, MAX_CALLS_PER_S)

    def is_up_to_date(self, ident):
        return self.fleet.instances[ident].log == self.fleet.leader().log

    def write_in_background(self):
        """Starts writes: a leader is only found to be lost if it has work."""
        stopping = threading.Event()

        def write():
            while not stopping.is_set():
                try:
                    caller = Caller(self.proxies[1], "current")
                    caller.read("x")
                    caller.write("x", "1")
                    caller.close()
                except OSError:
                    pass
                stopping.wait(0.02)
        thread = threading.Thread(target=write)
        thread.start()
        self.addCleanup(thread.join)
        self.addCleanup(stopping.set)


if __name__ == "__main__":
    unittest.main()
