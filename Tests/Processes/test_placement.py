"""Forwarding by proxies that do not serve a group themselves."""

import unittest

from site_case import SiteCase, SiteConfig, call, get


class ForwardTest(SiteCase):

    config = SiteConfig(groups=2, proxies=7)

    def setUp(self):
        super().setUp()
        name = self.site.group_name(0)
        self.serving = [p for p in range(7) if name in
                        [row["name"] for row in self.site.groups(p)]]
        self.others = [p for p in range(7) if p not in self.serving]

    def test_group_is_served_by_five_proxies(self):
        self.assertEqual(len(self.serving), 5)

    def test_request_at_other_proxy_is_forwarded_with_its_session(self):
        logged = self.site.log_fault(self.others[0], 0, "k")
        self.assertEqual(logged.outcome, "done")
        read = self.site.request(self.others[1], 0, "open-list",
                                 [get("fault/k")], session=logged.session)
        self.assertIn("stuck barrier arm", read.body)
        again = self.site.log_fault(self.serving[0], 0, "k")
        self.assertEqual(again.outcome, "done")
        log = self.site.log_entries(self.site.primary(0, self.serving[0]))
        self.assertEqual([entry["idempotency_key"]
                          for entry in log].count("k"), 1)

    def test_session_in_cookie_is_forwarded(self):
        name = self.site.group_name(0)
        for proxy in (self.serving[0], self.others[0]):
            response = call(self.site.caller_port(proxy), "POST",
                          f"/v1/{name}/open-list", '{"statements":[]}',
                          {"Cookie": f"catkinloom-session={name}=1.99999"})
            self.assertEqual(response.error, "session_ahead")
            self.assertIn("1.99999", response.session or "")

    def test_serving_proxies_killed_request_reaches_the_remaining_one(self):
        for proxy in self.serving[:4]:
            self.site.kill(f"proxy-{proxy + 1}")
        outcomes = [self.site.request(self.others[0], 0, "read",
                                      [get("a")], deadline_ms=8000).outcome
                    for _ in range(4)]
        self.assertEqual(outcomes[-1], "done")

    def test_refusals_are_forwarded_unchanged(self):
        missing = self.site.request(self.others[0], 0, "log-fault",
                                    [get("a")])
        self.assertEqual(missing.error, "idempotency_key_required")
        self.assertEqual(missing.outcome, "not-run")


if __name__ == "__main__":
    unittest.main()
