"""Demo on a site with the sizes of the Delta deployment.

Writes a fault report, reads it through another proxy in the same session,
kills the primary and checks that every write was executed exactly once.
"""

import sys
import time

from local_site import Site, get


def step(text):
    print(f"- {text}", flush=True)


def main():
    with Site() as site:
        step("started the platform, 3 groups of 3 instances, 4 proxies")
        print(site.tool("manifest", "status").stdout)
        first = site.log_fault(0, 0, "fault-1")
        step(f"wrote fault-1 through proxy-1: {first.outcome}, on "
             f"{first.upstream}, session {first.session}")
        read = site.request(1, 0, "open-list", [get("fault/fault-1")],
                            session=first.session)
        step(f"read fault-1 through proxy-2 from {read.upstream}: {read.body}")
        primary = site.primary(0)
        step(f"killed the primary {primary} with SIGKILL")
        killed_at = time.monotonic()
        site.kill(primary)
        second = site.log_fault(2, 0, "fault-2", session=first.session,
                                deadline_ms=10000)
        gap = time.monotonic() - killed_at
        step(f"wrote fault-2 through proxy-3: {second.outcome}, on "
             f"{second.upstream}, session {second.session}")
        step(f"failover gap: {gap:.2f} s")
        again = site.log_fault(3, 0, "fault-1")
        step(f"wrote fault-1 again with the same key through proxy-4: "
             f"{again.outcome}")
        both = site.request(1, 0, "read",
                            [get("fault/fault-1"), get("fault/fault-2")],
                            session=second.session)
        step(f"read both through proxy-2: {both.body}")
        runs = [entry["idempotency_key"]
                for entry in site.log_entries(second.upstream)]
        step(f"executions in the log: fault-1 {runs.count('fault-1')}, "
             f"fault-2 {runs.count('fault-2')}")
        print(site.tool("groups").stdout)
        is_expected = (
            first.outcome == second.outcome == "done"
            and runs.count("fault-1") == runs.count("fault-2") == 1
            and both.body.count("stuck barrier arm") == 2)
        step("demo passed" if is_expected
             else "demo FAILED: see the steps above")
        return 0 if is_expected else 1


if __name__ == "__main__":
    sys.exit(main())
