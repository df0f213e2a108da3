"""What the process tests share: a fixture with a running site."""

import pathlib
import sys
import threading
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] /
                       "Utilities"))

from local_site import Site, SiteShape, call, get, put  # noqa: E402,F401


class SiteCase(unittest.TestCase):
    """Starts a site before each test and stops it after."""

    shape = SiteShape(groups=1, proxies=3)

    def setUp(self):
        self.site = Site(self.shape)
        self.site.__enter__()
        self.addCleanup(self.site.stop)

    def runs_of(self, key, group=0):
        """How often the surviving log holds a key, read at the primary."""
        name = self.site.primary(group, self.live_proxy())
        return [entry["idempotency_key"]
                for entry in self.site.log_entries(name)].count(key)

    def live_proxy(self):
        for proxy in range(self.shape.proxies):
            process = self.site.processes[f"proxy-{proxy + 1}"]
            if process.poll() is None and \
                    f"proxy-{proxy + 1}" not in self.site.frozen:
                return proxy
        raise AssertionError("no live proxy")

    def in_background(self, work):
        """Runs work in a thread; the result is in the returned list."""
        results = []
        thread = threading.Thread(target=lambda: results.append(work()))
        thread.start()
        self.addCleanup(thread.join)
        return thread, results
