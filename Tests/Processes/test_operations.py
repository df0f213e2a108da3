"""Manifest updates, platform outages, drain, invalid input, command line."""

import json
import socket
import threading
import time
import unittest

from site_case import SiteCase, call, get, put


class ManifestTest(SiteCase):

    def versions(self, proxies=(0, 1, 2)):
        return [self.site.status(p).get("manifest_version")
                for p in proxies]

    def test_accepted_manifest_takes_effect_on_all_proxies(self):
        self.assertIn("version 2 is in force", self.site.submit("extra"))
        self.assertEqual(self.versions(), [2, 2, 2])

    def test_concurrent_submissions_one_accepted_others_get_conflict(self):
        file = self.site.write_manifest("extra")
        outcomes = []

        def submit(proxy):
            result = self.site.tool("manifest", "submit", file, "--expect", 1,
                                    proxy=proxy)
            outcomes.append((result.returncode, result.stderr))

        threads = [threading.Thread(target=submit, args=(p,))
                   for p in range(3)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertEqual([code for code, _ in outcomes].count(0), 1, outcomes)
        for code, text in outcomes:
            if code != 0:
                self.assertIn("manifest_conflict", text)
        self.site.wait_until(lambda: self.versions() == [2, 2, 2],
                             "all proxies report manifest version 2")

    def test_response_lost_after_acceptance_creates_one_version(self):
        self.site.admin("platform", lose_answers=1)
        self.site.write_manifest("extra")
        result = self.site.tool("manifest", "submit",
                                self.site.path / "manifest.yaml")
        # The lost response was that to a part of the manifest or to its head.
        # The operator may have to submit the manifest again, but this creates
        # no second version.
        if result.returncode != 0:
            self.site.submit("extra")
        self.site.wait_until(lambda: len(set(self.versions())) == 1,
                             "all proxies report the same manifest version")
        self.assertEqual(self.versions()[0], 2)

    def test_proxy_restarted_in_outage_gets_newest_manifest_from_peers(self):
        self.site.submit("extra")
        self.site.admin("platform", outage=True)
        self.site.kill("proxy-2")
        self.site.start_proxy(1)
        self.site.wait_until(
            lambda: self.versions([1]) == [2],
            "the restarted proxy reports manifest version 2")
        response = self.site.request(1, 0, "extra", [get("a")])
        self.assertEqual(response.outcome, "done")

    def test_invalid_manifest_is_refused_and_current_one_stays(self):
        file = self.site.path / "bad.yaml"
        file.write_text(self.site.manifest_text().replace("slots: 3",
                                                          "slotz: 3", 1))
        result = self.site.tool("manifest", "submit", file)
        self.assertEqual(result.returncode, 1)
        self.assertRegex(result.stderr,
                         r"bad.yaml:\d+:\d+: Unknown key 'slotz'. "
                         r"Did you mean 'slots'\?")
        self.assertEqual(self.versions(), [1, 1, 1])


class OutageTest(SiteCase):

    def test_platform_outage_requests_continue(self):
        self.site.admin("platform", outage=True)
        for i in range(6):
            self.assertEqual(
                self.site.log_fault(i % 3, 0, f"k{i}").outcome, "done")

    def test_malformed_platform_responses_are_treated_as_outage(self):
        self.site.admin("platform", garbage=True)
        time.sleep(1.5)
        for proxy in range(3):
            self.assertEqual(
                self.site.log_fault(proxy, 0, f"k{proxy}").outcome, "done")
        file = self.site.write_manifest("extra")
        result = self.site.tool("manifest", "submit", file)
        self.assertEqual(result.returncode, 1)
        self.assertIn("platform_unavailable", result.stderr)


class DrainTest(SiteCase):

    def test_drain_requests_in_flight_complete(self):
        self.site.admin(self.site.primary(0), service_us=150000)
        outcomes = []

        def work(worker):
            response = self.site.log_fault(0, 0, f"k{worker}",
                                           deadline_ms=10000)
            outcomes.append(response.outcome)

        threads = [threading.Thread(target=work, args=(i,))
                   for i in range(8)]
        for thread in threads:
            thread.start()
        time.sleep(0.1)
        self.site.terminate("proxy-1")
        self.site.wait_until(
            lambda: call(self.site.operator_port(0), "GET",
                         "/health").status == 503,
            "the health check reports the drain with status 503")
        for thread in threads:
            thread.join()
        self.site.processes["proxy-1"].wait(timeout=30)
        self.assertEqual(outcomes, ["done"] * 8)
        self.assertEqual(self.site.processes["proxy-1"].returncode, 0)
        self.assertIn("requests_cut=0", self.site.log("proxy-1"))


class BadInputTest(SiteCase):

    def send_raw(self, data, wait=10.0):
        """Sends bytes unchanged and returns the response as text."""
        connection = socket.create_connection(
            ("127.0.0.1", self.site.caller_port(0)), timeout=wait)
        with connection:
            connection.sendall(data)
            response = b""
            try:
                while chunk := connection.recv(4096):
                    response += chunk
            except OSError:
                pass
            return response.decode()

    def assert_still_serves(self):
        self.assertEqual(
            self.site.request(0, 0, "note", [put("a", "b")]).outcome, "done")

    def test_malformed_request_is_refused(self):
        self.assertIn("bad_request", self.send_raw(b"NONSENSE\r\n\r\n"))
        self.assert_still_serves()

    def test_header_too_large_is_refused(self):
        data = b"GET /v1/a/b HTTP/1.1\r\nX: " + b"x" * 20000 + b"\r\n\r\n"
        self.assertIn("request_too_large", self.send_raw(data))
        self.assert_still_serves()

    def test_body_too_large_is_refused(self):
        data = (b"POST /v1/a/b HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n")
        self.assertIn("request_too_large", self.send_raw(data))
        self.assert_still_serves()

    def test_incomplete_header_is_refused_after_timeout(self):
        self.assertIn("header_timeout",
                      self.send_raw(b"POST /v1/a/b HT", 20.0))
        self.assert_still_serves()

    def test_unknown_names_are_refused(self):
        path = f"/v1/{self.site.group_name(0)}/reed"
        refused = call(self.site.caller_port(0), "POST", path, "{}")
        self.assertEqual((refused.status, refused.error),
                         (404, "unknown_request"))
        self.assertIn("Did you mean 'read'?", refused.body)
        refused = call(self.site.caller_port(0), "POST", "/v1/nix/read", "{}")
        self.assertEqual((refused.status, refused.error),
                         (404, "unknown_group"))

    def test_malformed_or_far_ahead_tokens_are_refused(self):
        name = self.site.group_name(0)
        malformed = self.site.request(0, 0, "read", [get("a")], session="%%%")
        self.assertEqual(malformed.error, "bad_session_token")
        for token in (f"{name}=1.99999999", f"{name}=99999.1"):
            for request in ("read", "open-list"):
                far_ahead = self.site.request(0, 0, request, [get("a")],
                                              session=token)
                self.assertEqual(far_ahead.error, "session_ahead")
                self.assertEqual(far_ahead.outcome, "not-run")
        self.assert_still_serves()

    def test_statement_refused_by_upstream_is_not_run(self):
        refused = self.site.request(0, 0, "note", [{"op": "drop"}])
        self.assertEqual((refused.error, refused.outcome),
                         ("upstream_refused", "not-run"))


class ToolTest(SiteCase):

    def test_mistyped_command_gets_suggestion(self):
        result = self.site.tool("manifst", "submit")
        self.assertEqual(result.returncode, 2)
        self.assertIn("Did you mean 'manifest submit'?", result.stderr)

    def test_commands_print_table_and_json(self):
        for words in (["status"], ["groups"], ["manifest", "status"],
                      ["explain", "--group", self.site.group_name(0),
                       "--request", "open-list", "--session", "new"]):
            table = self.site.tool(*words)
            self.assertEqual(table.returncode, 0, table.stderr)
            document = self.site.tool(*words, "--json")
            self.assertTrue(json.loads(document.stdout))
        explained = self.site.tool(
            "explain", "--group", self.site.group_name(0), "--request",
            "open-list", "--session", "new", "--json")
        self.assertEqual(json.loads(explained.stdout)["action"], "replica")

    def test_request_command_prints_outcome(self):
        result = self.site.tool(
            "request", "--caller-port",
            f"127.0.0.1:{self.site.caller_port(0)}", "--group",
            self.site.group_name(0), "--request", "log-fault", "--key", "k",
            "--body", json.dumps({"statements": [put("a", "b")]}), "--json")
        self.assertEqual(result.returncode, 0, result.stderr)
        self.assertEqual(json.loads(result.stdout)["outcome"], "done")

    def test_unreachable_daemon_has_its_own_exit_code(self):
        self.site.kill("proxy-1")
        self.assertEqual(self.site.tool("status").returncode, 3)

    def test_drain_command_stops_the_daemon(self):
        self.assertEqual(self.site.tool("drain").returncode, 0)
        self.assertEqual(self.site.processes["proxy-1"].wait(timeout=30), 0)

    def test_metrics_are_served(self):
        self.site.log_fault(0, 0, "k")
        text = call(self.site.operator_port(0), "GET", "/metrics").body
        self.assertIn('catkinloom_requests_total{outcome="done"} 1', text)


if __name__ == "__main__":
    unittest.main()
