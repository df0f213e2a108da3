"""Automatic failover when a primary crashes, freezes or is isolated."""

import time
import unittest

from site_case import SiteCase, get


class FailoverTest(SiteCase):

    def test_primary_killed_acknowledged_writes_survive_once(self):
        keys = [f"k{i}" for i in range(20)]
        for key in keys:
            self.assertEqual(self.site.log_fault(0, 0, key).outcome, "done")
        self.site.kill(self.site.primary(0))
        self.log_fault_until_done(1, "after")
        for key in keys + ["after"]:
            self.assertEqual(self.count_log_entries(key), 1, key)

    def test_primary_killed_in_platform_outage_is_replaced(self):
        self.site.admin("platform", outage=True)
        self.site.kill(self.site.primary(0))
        self.log_fault_until_done(1, "after")
        self.assertEqual(self.count_log_entries("after"), 1)

    def test_primary_frozen_across_promotion_loses_no_acknowledged_write(self):
        old_primary = self.site.primary(0)
        self.site.freeze(old_primary)
        first = self.site.log_fault(0, 0, "first", deadline_ms=20000)
        second = self.log_fault_until_done(1, "second")
        self.assertNotEqual(second.upstream, old_primary)
        self.site.thaw(old_primary)
        self.site.wait_until(
            lambda: len(self.site.log_entries(old_primary)) ==
            len(self.site.log_entries(second.upstream)),
            "both instances have logs of the same length")
        self.assertEqual(self.count_log_entries("second"), 1)
        if first.outcome == "done":
            self.assertEqual(self.count_log_entries("first"), 1)

    def test_isolated_primary_loses_no_acknowledged_write(self):
        old_primary = self.site.primary(0)
        self.site.admin(old_primary, isolate=True)
        response = self.site.log_fault(0, 0, "cut", deadline_ms=20000)
        later = self.log_fault_until_done(1, "later")
        self.assertNotEqual(later.upstream, old_primary)
        if response.outcome == "done":
            self.assertEqual(self.count_log_entries("cut"), 1)
        read = self.site.request(2, 0, "read", [get("fault/later")])
        self.assertIn("stuck barrier arm", read.body)

    def test_proxy_frozen_across_promotion_reports_true_outcome(self):
        # The old primary is executing the write when the proxy freezes; the
        # proxy resumes after another instance has become primary.
        old_primary = self.site.primary(0)
        self.site.admin(old_primary, isolate=True, service_us=300000)
        thread, results = self.run_in_background(
            lambda: self.site.log_fault(0, 0, "w", deadline_ms=20000))
        time.sleep(0.1)
        self.site.freeze("proxy-1")
        self.log_fault_until_done(1, "later")
        self.site.thaw("proxy-1")
        thread.join()
        if results[0].outcome == "done":
            self.assertEqual(self.count_log_entries("w"), 1)
        if results[0].outcome == "not-run":
            self.assertEqual(self.count_log_entries("w"), 0)

    def test_majority_lost_writes_stop_until_it_returns(self):
        first = self.site.primary(0)
        self.site.kill(first)
        second = self.log_fault_until_done(0, "a").upstream
        self.site.kill(second)
        # One of three instances is no majority, so no write may be
        # acknowledged.
        without_majority = self.site.log_fault(0, 0, "b", deadline_ms=1500)
        self.assertNotEqual(without_majority.outcome, "done")
        self.site.start_instance(first)
        # The first primary restarts with its own journal.  The write that the
        # second primary acknowledged is in the log of the instance that was
        # never killed.
        self.log_fault_until_done(1, "c")
        self.assertEqual(self.count_log_entries("a"), 1)
        self.assertEqual(self.count_log_entries("c"), 1)

    # Issue 34: one unreadable row of the list of VMs hid all others.
    def test_leaving_primary_listed_beside_odd_rows_hands_over(self):
        old_primary = self.site.primary(0)
        self.site.admin("platform",
                        vms=[{"name": 5, "state": "leaving"}, [], {},
                             {"name": old_primary, "state": "leaving"}])
        self.site.wait_until(
            lambda: self.site.primary(0) not in ("", old_primary),
            "another instance is primary")

    def test_leaving_primary_hands_over_and_receives_no_requests(self):
        old_primary = self.site.primary(0)
        self.site.admin("platform",
                        vms=[{"name": old_primary, "state": "leaving"}])
        self.site.wait_until(
            lambda: self.site.primary(0) not in ("", old_primary),
            "another instance is primary")
        executed = self.site.admin(old_primary)["executions"]
        for i in range(10):
            response = self.log_fault_until_done(i % 3, f"k{i}")
            self.assertNotEqual(response.upstream, old_primary)
        self.assertEqual(self.site.admin(old_primary)["executions"], executed)


if __name__ == "__main__":
    unittest.main()
