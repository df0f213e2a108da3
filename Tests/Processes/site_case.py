"""Test fixture: proxies, upstreams and platform as local processes."""

import pathlib
import sys
import threading
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] /
                       "Utilities"))

from local_site import Site, SiteConfig, call, get, put  # noqa: E402,F401


class SiteCase(unittest.TestCase):
    """Starts a site before each test and stops it afterwards."""

    config = SiteConfig(groups=1, proxies=3)

    def setUp(self):
        self.site = Site(self.config)
        self.site.__enter__()
        self.addCleanup(self.site.stop)

    def count_log_entries(self, key, group=0):
        """Counts the entries with a key in the log of the current primary."""
        return [entry["idempotency_key"]
                for entry in self.primary_log(group)].count(key)

    def primary_log(self, group=0):
        """Returns the primary's log.

        Waits until all running proxies report the same primary.
        """
        entries = []

        def read_primary_log():
            names = {self.site.primary(group, p) for p in self.live_proxies()}
            if len(names) != 1 or "" in names:
                return False
            try:
                entries[:] = self.site.log_entries(names.pop())
            except ValueError:
                return False
            return True

        self.site.wait_until(
            read_primary_log,
            "all proxies report one primary and its log is readable")
        return entries

    def live_proxies(self):
        return [proxy for proxy in range(self.config.proxies)
                if self.site.processes[f"proxy-{proxy + 1}"].poll() is None
                and f"proxy-{proxy + 1}" not in self.site.frozen]

    def log_fault_until_done(self, proxy, key):
        """Sends a write with one idempotency key until its outcome is `done`.

        Returns the last response.
        """
        responses = []

        def file():
            responses.append(self.site.log_fault(proxy, 0, key,
                                               deadline_ms=10000))
            return responses[-1].outcome == "done"

        self.site.wait_until(file, f"{key} is acknowledged", timeout=60.0)
        return responses[-1]

    def run_in_background(self, function):
        """Runs a function in a thread.

        Returns the thread and a list that receives the function's result.
        """
        results = []
        thread = threading.Thread(target=lambda: results.append(function()))
        thread.start()
        self.addCleanup(thread.join)
        return thread, results
