"""A proxy that was told to end, and the statements that it still takes."""

import signal
import time
import unittest

from fleet_case import FleetCase, ROUTES, wait_until

#: Seconds from SIGTERM to SIGKILL, the default of a proxy.
GRACE_S = 6
#: Seconds after SIGTERM at which a session is used, so that it stays open.
USED_AT_S = (0.4, 0.8, 1.2, 1.6, 2.1, 2.4, 2.75)
#: Seconds after SIGTERM at which the statement under test is sent.
SENT_AT_S = 3.1
#: Seconds that it takes, longer than the proxy still has.
LONG_S = 8
#: Milliseconds that the routes allow for a statement.
TIMEOUT_MS = 9000


class SessionDrainTest(FleetCase):
    """Regression tests for review/14.

    A statement was taken after SIGTERM, or before it, and the process ended
    while it was under way: its caller got neither a response nor an error.
    """

    PROXIES = (("p-1", "a"),)

    def setUp(self):
        super().setUp()
        self.fleet.set_desired_state(3, ROUTES, TIMEOUT_MS)
        self.proxy = self.proxies[0]
        wait_until(lambda: "version=3" in self.proxy.log.read_text())
        self.session = self.caller("aged")
        self.writer = self.caller("current")
        self.assertTrue(self.writer.write("item", "1"))
        self.assertEqual(self.session.read("item"), "1")
        for caller in (self.session, self.writer):
            caller.socket.settimeout(GRACE_S + 1)

    def terminate(self):
        self.start = time.monotonic()
        self.proxy.process.send_signal(signal.SIGTERM)

    def at(self, offset_s):
        time.sleep(max(0, self.start + offset_s - time.monotonic()))

    def use_until_sent(self, *callers):
        """Keeps sessions open until the statement under test is sent."""
        for offset_s in USED_AT_S:
            self.at(offset_s)
            for caller in callers:
                caller.execute("SET page 2")
        self.at(SENT_AT_S)

    def assert_answered(self, response, *errors):
        """The response is one of the errors, and complete."""
        lines, ready = response
        self.assertTrue(ready.startswith("READY"), response)
        self.assertIn(lines[-1].split(" ")[1] if lines else "", errors)
        self.assertLess(time.monotonic() - self.start, GRACE_S)

    def make_slow(self):
        for instance in self.fleet.instances.values():
            instance.read_delay_s = instance.commit_delay_s = LONG_S

    def test_read_taken_after_signal_is_answered_before_end(self):
        self.terminate()
        self.use_until_sent(self.session)
        self.make_slow()
        self.assert_answered(self.session.execute("READ item"),
                             "TIMEOUT", "FAILED")

    def test_read_that_ends_in_time_succeeds(self):
        self.terminate()
        self.use_until_sent(self.session)
        for instance in self.fleet.instances.values():
            instance.read_delay_s = 1
        lines, _ = self.session.execute("READ item")
        self.assertEqual(lines[0], "DATAROW 1")

    def test_write_taken_after_signal_is_answered_before_end(self):
        self.terminate()
        self.use_until_sent(self.writer)
        self.make_slow()
        self.assert_answered(self.writer.execute("WRITE item 2"),
                             "TIMEOUT", "INDOUBT")

    def test_read_taken_before_signal_is_answered_before_end(self):
        self.make_slow()
        self.session.send("QUERY q1 READ item")
        time.sleep(0.2)
        self.terminate()
        self.assert_answered(self.response(self.session), "TIMEOUT", "FAILED")

    def test_write_taken_before_signal_is_answered_before_end(self):
        self.make_slow()
        self.writer.send("QUERY q1 WRITE item 2")
        time.sleep(0.2)
        self.terminate()
        self.assert_answered(self.response(self.writer), "TIMEOUT", "INDOUBT")

    def test_transaction_statement_under_way_is_answered_before_end(self):
        self.writer.execute("BEGIN")
        self.make_slow()
        self.terminate()
        self.at(1)
        self.assert_answered(self.writer.execute("READ item"), "ABORTED")

    def test_transaction_that_would_be_cut_is_refused(self):
        self.terminate()
        self.use_until_sent(self.writer)
        lines, ready = self.writer.execute("BEGIN")
        self.assertEqual((lines[0].split(" ")[:2], ready),
                         (["ERROR", "BUSY"], "READY I -"))

    def test_statement_without_connection_is_refused_before_end(self):
        """It was never sent to an instance, which is a promise."""
        for instance in self.fleet.instances.values():
            instance.max_connections = 0
            for connection in list(instance.writers):
                self.fleet.loop.call_soon_threadsafe(connection.close)
        wait_until(lambda: not any(instance.writers for instance
                                   in self.fleet.instances.values()))
        self.terminate()
        self.at(0.2)
        self.assert_answered(self.session.execute("READ item"), "BUSY")

    @staticmethod
    def response(caller):
        lines = []
        while line := caller.line():
            if line.startswith("READY"):
                return lines, line
            lines.append(line)
        return lines, ""


if __name__ == "__main__":
    unittest.main()
