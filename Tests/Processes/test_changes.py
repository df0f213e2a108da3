"""Changes of the desired state through faults between a proxy and the store."""

import time
import unittest

from fleet_case import FleetCase, ROUTES, wait_until
from loopback_relay import Relay

#: Seconds from the confirmation of a change until it must be in force.
MAX_CHANGE_S = 5
#: The same bound of a proxy without a setting for it.
DEFAULT_MAX_CHANGE_S = 3
#: Bandwidth of the narrowest links of the deployments, 10 Mbit/s.
NARROW_LINK_BYTES_PER_S = 1250000
#: Routes of a desired state that is close to the store's limit of 1 MiB.
LARGE_STATE_ROUTES = 6000
#: Seconds from an instance's report that it drains until it gets no new work;
#: the strictest bound of the deployments.
MAX_DRAIN_S = 7


class IgnoredWatchTest(FleetCase):
    """A watch gets no response while all other calls to the store succeed."""

    PROXIES = (("p-1", "b"),)

    def ignore_next_watches(self):
        """Makes the proxy send new watches, which get no response."""
        self.fleet.store.ignores_watches = True
        self.fleet.set_desired_state(5, ROUTES)
        self.fleet.run(self.fleet.instances["i-2"].register())
        time.sleep(0.5)
        self.fleet.store.ignores_watches = False

    def test_change_after_ignored_watch_is_in_force_in_time(self):
        """Regression test for issue 28.

        A watch without a response was noticed after more than ten seconds.
        """
        self.ignore_next_watches()
        self.fleet.set_desired_state(7, {**ROUTES, "added": "primary"})
        wait_until(lambda: self.is_served("added"), DEFAULT_MAX_CHANGE_S)

    def test_leaving_instance_after_ignored_watch_gets_no_work_in_time(self):
        """Regression test for issue 28: the same for the directory."""
        caller = self.caller("aged")
        leaving = self.fleet.instances["i-2"]
        self.ignore_next_watches()
        leaving.draining = True
        self.fleet.run(leaving.register())
        time.sleep(MAX_DRAIN_S)
        leaving.executions.clear()
        for _ in range(30):
            caller.read("x")
        self.assertEqual(leaving.executions, [])


class ChangeTest(FleetCase):
    """One proxy reaches the store through a relay."""

    PROXIES = (("p-1", "a"),)

    def store_address(self, _name):
        self.relay = self.fleet.run(Relay(self.fleet.store_address).start())
        return self.relay.address

    def set_large_state(self, version, routes):
        added = {f"idle-{number}": "primary"
                 for number in range(LARGE_STATE_ROUTES)}
        self.fleet.set_desired_state(version, {**added, **routes})

    def test_large_state_after_reset_on_narrow_link_is_in_force_in_time(self):
        """Regression test for issue 28.

        A listing that took longer than a call's time-out was repeated without
        end, so that no later version came into force.
        """
        self.relay.bytes_per_s = NARROW_LINK_BYTES_PER_S
        self.set_large_state(5, {**ROUTES, "first": "primary"})
        wait_until(lambda: self.is_served("first"), MAX_CHANGE_S)
        self.relay.reset()
        time.sleep(1)
        self.set_large_state(7, {**ROUTES, "second": "primary"})
        wait_until(lambda: self.is_served("second"), MAX_CHANGE_S)

    def test_large_state_at_start_on_narrow_link_is_served(self):
        """Regression test for issue 28: the same at the start of a process."""
        self.relay.bytes_per_s = NARROW_LINK_BYTES_PER_S
        self.set_large_state(5, {**ROUTES, "first": "primary"})
        self.proxies[0].stop()
        self.proxies[0].start()
        wait_until(self.proxies[0].is_ready, MAX_CHANGE_S)
        self.assertTrue(self.is_served("first"))

    def test_large_state_after_store_errors_is_transferred_once(self):
        """Regression test for issue 28.

        Each watch that was abandoned after an error of the store still received
        the next change, so that many copies of it shared the narrow link.
        """
        self.relay.bytes_per_s = NARROW_LINK_BYTES_PER_S
        self.set_large_state(5, {**ROUTES, "first": "primary"})
        wait_until(lambda: self.is_served("first"), MAX_CHANGE_S)
        caller = self.caller("current")
        for mode in ("busy", "up") * 7:
            self.fleet.store.mode = mode
            end = time.monotonic() + 0.5
            while time.monotonic() < end:
                caller.read("x")
        self.set_large_state(7, {**ROUTES, "second": "primary"})
        wait_until(lambda: self.is_served("second"), MAX_CHANGE_S)

    def test_large_states_in_quick_succession_last_one_is_in_force_in_time(
            self):
        """Regression test for issue 28.

        A watch transfers every version since the last one, so that a proxy on a
        narrow link fell behind more with each change.
        """
        self.relay.bytes_per_s = NARROW_LINK_BYTES_PER_S
        for number in range(9):
            self.set_large_state(5 + number,
                                 {**ROUTES, f"added-{number}": "primary"})
            time.sleep(0.3)
        wait_until(lambda: self.is_served("added-8"), MAX_CHANGE_S)


if __name__ == "__main__":
    unittest.main()
