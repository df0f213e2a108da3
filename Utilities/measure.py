"""Prints one line per figure: NAME VALUE TARGET ok|short|missing.

Usage: Utilities/measure [NAME ...]; without names every figure is measured.
"""

import concurrent.futures
import json
import os
import pathlib
import statistics
import subprocess
import sys
import tempfile
import threading
import time

from local_site import (BIN, Site, SiteConfig, call, get, himal_config, put)

FAILOVER_RUNS = 20
IDLE_CONNECTIONS = 6000
HISTORIES = 100000
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def report(name, value, target, is_met):
    """Prints a figure as ok, short (target not met) or missing (no value)."""
    status = "missing" if value is None else "ok" if is_met else "short"
    shown = "-" if value is None else (
        f"{value:.3f}" if isinstance(value, float) else value)
    print(f"{name} {shown} {target} {status}", flush=True)


def report_missing(name, target):
    report(name, None, target, False)


def rss_bytes(process):
    statm = pathlib.Path(f"/proc/{process.pid}/statm").read_text().split()
    return int(statm[1]) * PAGE_BYTES


def cpu_seconds(process):
    text = pathlib.Path(f"/proc/{process.pid}/stat").read_text()
    fields = text.rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def metric(site, proxy, name):
    text = call(site.operator_port(proxy), "GET", "/metrics").body
    return sum(float(line.rsplit(" ", 1)[1]) for line in text.splitlines()
               if line.startswith(name))


def load(port, target, body, seconds=3, callers=16, headers=()):
    """Runs a load generator; returns its successful requests per second and
    its number of failures."""
    done = subprocess.run(
        [BIN / "catkinloom-fake-load", "--address", f"127.0.0.1:{port}",
         "--target", target, "--body", body, "--seconds", str(seconds),
         "--callers", str(callers)] +
        [f"--header={pair}" for pair in headers],
        capture_output=True, text=True, check=True)
    rate, _, failures = done.stdout.split()
    return float(rate), int(failures)


# Speed and cost of one daemon (issue 3).

def proxied_over_direct():
    """Throughput through one daemon relative to direct requests to one
    instance; each process has the threads of one core."""
    config = SiteConfig(groups=1, proxies=1, slots=64, connections=64,
                        connection_cost_ms=0, service_us=0)
    body = json.dumps({"statements": [get("a")]})
    ratios = []
    with Site(config, log_level="info") as site:
        primary = site.primary(0)
        replica = next(n for n in site.instances(0) if n != primary)
        for _ in range(3):
            direct, _ = load(site.instance_port(replica), "/execute", body)
            proxied, _ = load(
                site.caller_port(0), f"/v1/{site.group_name(0)}/open-list",
                body, headers=["Catkinloom-Session=new"])
            ratios.append(proxied / direct)
    value = statistics.median(ratios)
    report("proxied_over_direct", value, ">=0.5", value >= 0.5)


def statement_cpu():
    """CPU time per statement; a node's share is 1,333 statements per second,
    which leaves 750 us of one core for each."""
    with Site(SiteConfig(groups=1, proxies=1, slots=64, connections=64,
                         connection_cost_ms=0, service_us=0),
              log_level="info") as site:
        process = site.processes["proxy-1"]
        for name, statement in (("open-list", get("a")),
                                ("note", put("a", "b"))):
            before = cpu_seconds(process)
            rate, _ = load(
                site.caller_port(0), f"/v1/{site.group_name(0)}/{name}",
                json.dumps({"statements": [statement]}),
                headers=["Catkinloom-Session=new"])
            cost_per_item = (cpu_seconds(process) - before) / (rate * 3) * 1e6
            report(f"statement_cpu_{name}", cost_per_item, "<=750_us",
                   cost_per_item <= 750)


def fleet_manifest_text():
    """A manifest of 6,300 groups and 2,700 proxies, as a deployment pipeline
    generates it."""
    lines = ["format: 1", "proxies:"]
    for i in range(2700):
        lines.append(f"  - {{name: proxy-{i}, zone: z{i % 13}, "
                     f"peer: '10.0.{i // 250}.{i % 250}:7301'}}")
    lines += ["requests:", "  - {name: r, kind: read, max_age: 2s}", "groups:"]
    for i in range(6300):
        lines += [f"  - name: database-group-{i}", "    instances:"]
        lines += [f"      - {{name: database-group-{i}{letter}, zone: z1, "
                  f"address: '10.1.{i // 250}.{i % 250}:9001', slots: 3, "
                  "connections: 20}" for letter in "abc"]
    return "\n".join(lines) + "\n"


def manifest_check():
    with tempfile.NamedTemporaryFile("w", suffix=".yaml") as file:
        file.write(fleet_manifest_text())
        file.flush()
        times = []
        for _ in range(5):
            started = time.monotonic()
            subprocess.run([BIN / "catkinloom", "manifest", "check",
                            file.name], check=True, capture_output=True)
            times.append(time.monotonic() - started)
    value = statistics.median(times)
    report("manifest_check_6300", value, "<=0.5_s", value <= 0.5)


def memory():
    with Site(SiteConfig(), log_level="info") as site:
        time.sleep(2)
        process = site.processes["proxy-1"]
        idle = rss_bytes(process)
        report("daemon_idle_rss", idle / 1e6, "<64_MB", idle < 64e6)
        holder = subprocess.Popen(
            [BIN / "catkinloom-fake-load", "--address",
             f"127.0.0.1:{site.caller_port(0)}", "--idle",
             str(IDLE_CONNECTIONS), "--seconds", "4"],
            stdout=subprocess.PIPE, text=True)
        open_connections = int(holder.stdout.readline())
        time.sleep(1)
        cost_per_item = (rss_bytes(process) - idle) / \
            max(open_connections, 1) / 1024
        holder.wait()
        report("idle_connection_rss", cost_per_item, "<=16_KB",
               cost_per_item <= 16 and open_connections == IDLE_CONNECTIONS)


# Failover, sessions, outcomes, connections and overload (issue 4).

def failover():
    gaps = []
    lost = 0
    stale = 0
    for _ in range(FAILOVER_RUNS):
        with Site(SiteConfig(groups=3), log_level="info") as site:
            outcome_by_key = write_through_failover(site, gaps)
            log = site.log_entries(site.primary(0, 1))
            keys = [entry["idempotency_key"] for entry in log]
            lost += sum(1 for key, outcome in outcome_by_key.items()
                        if outcome == "done" and keys.count(key) != 1)
            stale += sum(1 for key, outcome in outcome_by_key.items()
                         if outcome == "done" and key not in keys)
    median = statistics.median(gaps)
    report("failover_gap_median", median, "<=1.5_s", median <= 1.5)
    report("failover_gap_worst", max(gaps), "<=4_s", max(gaps) <= 4)
    report("stale_primary_acks", stale, "0", stale == 0)
    report("acknowledged_writes_lost", lost, "0", lost == 0)


def write_through_failover(site, gaps, outage=False):
    """Writes continuously while the primary is killed.

    Appends the longest time without an acknowledged write to gaps; returns the
    outcome of each key.
    """
    outcome_by_key = {}
    done_at = []
    stop = threading.Event()

    def work(worker):
        count = 0
        while not stop.is_set():
            key = f"w{worker}-{count}"
            count += 1
            outcome = site.log_fault(worker % 4, 0, key,
                                     deadline_ms=8000).outcome
            outcome_by_key[key] = outcome
            if outcome == "done":
                done_at.append(time.monotonic())

    threads = [threading.Thread(target=work, args=(i,)) for i in range(4)]
    for thread in threads:
        thread.start()
    time.sleep(0.5)
    if outage:
        site.admin("platform", outage=True)
    primary = site.primary(0)
    killed = time.monotonic()
    site.kill(primary)
    site.wait_until(lambda: any(t > killed + 0.05 for t in done_at),
                    "a write is acknowledged after the kill")
    time.sleep(0.3)
    stop.set()
    for thread in threads:
        thread.join()
    # A write that the old primary had confirmed may be answered just after the
    # kill.  The gap ends with the first write that a new primary acknowledged,
    # so it is the longest interval, not the first one.
    times = sorted(done_at)
    gaps.append(max(later - earlier for earlier, later in
                    zip([killed] + times, times) if later > killed))
    return outcome_by_key


def failover_in_outage():
    gaps = []
    for _ in range(5):
        with Site(SiteConfig(groups=1), log_level="info") as site:
            write_through_failover(site, gaps, outage=True)
    value = statistics.median(gaps)
    report("failover_gap_platform_down_median", value, "<=1.5_s",
           value <= 1.5)


def histories():
    done = subprocess.run([BIN / "catkinloom-histories", str(HISTORIES), "101"],
                          capture_output=True, text=True, check=False)
    counts = dict(pair.split("=") for pair in done.stdout.split())
    stale = int(counts["stale_reads"])
    report("read_your_writes_violations", stale, "0", stale == 0)


def replica_share():
    done = subprocess.run([BIN / "catkinloom-measure-replica-share"],
                          capture_output=True, text=True, check=True)
    best, _, violations, _ = done.stdout.split()
    report("replica_read_share_of_best", float(best), ">=0.98",
           float(best) >= 0.98)
    report("age_violations", int(violations), "0", violations == "0")


def outcomes():
    """Writes under kills, stalled connections and lost responses."""
    duplicates = 0
    false_not_run = 0
    for _ in range(3):
        with Site(SiteConfig(groups=1), log_level="info") as site:
            gaps = []
            site.admin(site.primary(0), lose_answers=3, silence=True)
            outcome_by_key = write_through_failover(site, gaps)
            site.kill("proxy-4")
            keys = [entry["idempotency_key"] for entry in
                    site.log_entries(site.primary(0))]
            duplicates += sum(1 for key in outcome_by_key
                              if keys.count(key) > 1)
            false_not_run += sum(1 for key, outcome in outcome_by_key.items()
                                 if outcome == "not-run" and key in keys)
    report("not_repeatable_duplicates", duplicates, "0", duplicates == 0)
    report("false_not_run", false_not_run, "0", false_not_run == 0)


def connections():
    exceeded = 0
    with Site(SiteConfig(groups=1), log_level="info") as site:
        name = site.group_name(0)
        body = json.dumps({"statements": [put("a", "b")]})
        with concurrent.futures.ThreadPoolExecutor() as pool:
            runs = [pool.submit(load, site.caller_port(p),
                                f"/v1/{name}/note", body, 4, 32)
                    for p in range(4)]
            time.sleep(1)
            site.kill("proxy-4")
            site.start_proxy(3)
            site.freeze("proxy-3")
            time.sleep(1)
            site.thaw("proxy-3")
            concurrent.futures.wait(runs)
        for instance in site.instances(0):
            exceeded += site.admin(instance)["refused_connections"]
        opened = metric(site, 0, "catkinloom_upstream_connections_opened")
        reused = metric(site, 0, "catkinloom_upstream_connections_reused")
        saturated_rate, _ = load(site.caller_port(0), f"/v1/{name}/note", body,
                                 3, 32)
    report("connection_limit_exceeded", exceeded, "0", exceeded == 0)
    value = reused / (reused + opened)
    report("connection_reuse", value, ">=0.99", value >= 0.99)
    # 3 slots at 2 ms per statement serve 1,500 statements per second.
    share = saturated_rate / 1500
    report("hot_group_slots", share, ">=0.8", share >= 0.8)
    report_missing("share_recovery", "<=5_s")


def overload():
    """Throughput with 300 callers relative to 6, and with 6 again afterwards;
    the group has 3 slots of 10 ms per statement."""
    with Site(SiteConfig(groups=1, service_us=10000),
              log_level="info") as site:
        name = site.group_name(0)
        body = json.dumps({"statements": [put("a", "b")]})
        target = f"/v1/{name}/note"
        deadline = ["Catkinloom-Deadline-Ms=300"]
        peak, _ = load(site.caller_port(0), target, body, 4, 6, deadline)
        before = site.admin(site.primary(0))["executions"]
        over, failed = load(site.caller_port(0), target, body, 4, 300,
                            deadline)
        sent = site.admin(site.primary(0))["executions"] - before
        after, after_failed = load(site.caller_port(0), target, body, 2, 6,
                                   deadline)
    value = over / peak
    report("overload_goodput", value, ">=0.9", value >= 0.9)
    report("overload_recovery_share", after / peak, ">=0.9",
           after / peak >= 0.9 and after_failed == 0)
    amplification = sent / max(over * 4 + failed, 1)
    report("retry_amplification", amplification, "<=1.2",
           amplification <= 1.2)


def drain():
    cut = 0
    with Site(SiteConfig(groups=1, service_us=50000),
              log_level="info") as site:
        results = []
        threads = [threading.Thread(target=lambda k=i: results.append(
            site.log_fault(0, 0, f"k{k}", deadline_ms=10000).outcome))
            for i in range(20)]
        for thread in threads:
            thread.start()
        time.sleep(0.1)
        site.terminate("proxy-1")
        for thread in threads:
            thread.join()
        cut = sum(1 for outcome in results if outcome != "done")
    report("drain_cut", cut, "0", cut == 0)


def leaving():
    with Site(SiteConfig(groups=1), log_level="info") as site:
        old = site.primary(0)
        started = time.monotonic()
        site.admin("platform", vms=[{"name": old, "state": "leaving"}])
        last = started
        while time.monotonic() < started + 5:
            answer = site.request(0, 0, "note", [put("a", "b")])
            if answer.upstream == old:
                last = time.monotonic()
    value = last - started
    report("leaving_last_new_work", value, "<=3_s", value <= 3)


def manifests():
    reverts = 0
    times = []
    with Site(SiteConfig(groups=3), log_level="info") as site:
        for round_number in range(8):
            seen = [site.status(p)["manifest_version"] for p in range(4)]
            started = time.monotonic()
            file = site.write_manifest(f"extra-{round_number}")
            call(site.operator_port(round_number % 4), "POST", "/manifest",
                 file.read_text())
            expected_version = round_number + 2
            site.wait_until(lambda: all(
                site.status(p)["manifest_version"] >= expected_version
                for p in range(4)), "the manifest is in force on every proxy")
            times.append(time.monotonic() - started)
            now = [site.status(p)["manifest_version"] for p in range(4)]
            reverts += sum(1 for a, b in zip(seen, now) if b < a)
        site.admin("platform", outage=True)
        for proxy in range(4):
            site.kill(f"proxy-{proxy + 1}")
            site.start_proxy(proxy)
            site.wait_until(lambda: site.status(proxy).get(
                "manifest_version", 0) > 0, "a restarted proxy has a manifest")
            reverts += int(
                site.status(proxy)["manifest_version"] < expected_version)
    report("manifest_in_force", max(times), "<=2_s", max(times) <= 2)
    report("manifest_reverts", reverts, "0", reverts == 0)


def platform_calls():
    with Site(SiteConfig(), log_level="info") as site:
        time.sleep(2)
        before = metric(site, 0, "catkinloom_platform_calls")
        time.sleep(10)
        value = (metric(site, 0, "catkinloom_platform_calls") - before) / 10
        report("platform_calls_per_node", value, "<=2_per_s", value <= 2)
        site.admin("platform", outage=True)
        time.sleep(2)
        before = metric(site, 0, "catkinloom_platform_calls")
        time.sleep(10)
        value = (metric(site, 0, "catkinloom_platform_calls") - before) / 10
        report("platform_calls_in_outage", value, "<=2_per_s", value <= 2)


def decisions():
    done = subprocess.run([BIN / "catkinloom-measure-decision-cost"],
                          capture_output=True, text=True, check=True)
    rows = [line.split() for line in done.stdout.splitlines()]
    worst = max(int(row[1]) for row in rows)
    report("decision_cost", worst / 1000, "<1_us", worst < 1000)
    allocations = sum(int(row[2]) for row in rows)
    report("decision_allocations", allocations, "0", allocations == 0)
    growth = int(rows[-1][1]) / int(rows[0][1])
    report("decision_cost_growth", growth, "<=2", growth <= 2)


# Control cost with several numbers of groups (issue 5).  docs/CAPACITY.md
# takes its slopes from these lines.

FLEET_TIMING = ("timing: {probe_interval: 10s, heartbeat: 2s, "
                "peer_timeout: 9s, vm_list_interval: 10s}\n")


def measure_control_cost(groups, extra):
    """CPU share, control bytes per second and memory of one idle daemon."""
    with Site(himal_config(groups=groups, proxies=4, daemon_extra=extra),
              log_level="info") as site:
        process = site.processes["proxy-1"]
        time.sleep(2)
        cpu = cpu_seconds(process)
        sent = metric(site, 0, "catkinloom_control_bytes")
        time.sleep(12)
        cpu = (cpu_seconds(process) - cpu) / 12
        sent = (metric(site, 0, "catkinloom_control_bytes") - sent) / 12
        rss = rss_bytes(process)
        name = "fleet" if extra else "today"
        print(f"# timing={name} groups={groups} control_cpu={cpu:.4f} "
              f"control_bytes={sent:.0f} rss={rss}", flush=True)
        return cpu, sent, rss


def control():
    """A node of the fleet serves 12 groups; see docs/CAPACITY.md."""
    for groups in (3, 6, 12):
        measure_control_cost(groups, "")
    for groups in (3, 6, 12):
        cpu, sent, rss = measure_control_cost(groups, FLEET_TIMING)
    report("control_cpu", cpu * 100, "<=3.7_percent", cpu <= 0.037)
    report("control_rss", rss / 1e6, "<=128_MB", rss <= 128e6)
    report("control_bytes", sent / 1000, "<=2_KB_per_s", sent <= 2000)


def failover_fleet_timing():
    gaps = []
    for _ in range(5):
        with Site(SiteConfig(groups=1, daemon_extra=FLEET_TIMING),
                  log_level="info") as site:
            write_through_failover(site, gaps)
    report("failover_gap_fleet_timing_worst", max(gaps), "<=19_s",
           max(gaps) <= 19)


FIGURES = [proxied_over_direct, statement_cpu, manifest_check, memory,
           failover, failover_in_outage, histories, replica_share, outcomes,
           connections, overload, drain, leaving, manifests, platform_calls,
           decisions, control, failover_fleet_timing]


def main():
    chosen = [figure for figure in FIGURES
              if not sys.argv[1:] or figure.__name__ in sys.argv[1:]]
    for figure in chosen:
        figure()


if __name__ == "__main__":
    main()
