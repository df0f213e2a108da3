"""The instance that is to lead crashes before its promotion takes effect; the
group is without a leader from then on, also after a restart of all proxies."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import stand_in_2 as s  # noqa: E402

CRASH_S = 3.0
DOWN_S = 1.3
DRAIN_S = 7.0
RECOVERY_S = 12.0
OBSERVED_S = 20.0


class Traffic:
    """Counts requests and those that are served."""

    def __init__(self):
        self.sent = self.served = 0
        self.stopped = False

    async def run(self, proxies, number):
        caller, count = None, 0
        while not self.stopped:
            count += 1
            self.sent += 1
            text = f"WRITE k{count} v{number}-{count}" if count % 3 == 0 \
                else f"READ k{count}"
            try:
                if caller is None:
                    caller = await s.Caller(
                        proxies[(number + count) % len(proxies)],
                        "book").open()
                lines, _ = await caller.query(text)
                self.served += 1 if s.is_success(lines) else 0
            except s.SessionEnded:
                if caller:
                    caller.close()
                caller = None
            await asyncio.sleep(0.1)
        if caller:
            caller.close()

    def share(self, since):
        sent, served = self.sent - since[0], self.served - since[1]
        return served / max(sent, 1), sent

    def mark(self):
        return self.sent, self.served


async def case(record, folder, proxies):
    fleet = s.Fleet(record)
    await fleet.start((("i-p", "a", 0.001), ("i-a", "b", 0.001),
                       ("i-b", "c", 0.003)))
    await fleet.set_desired_state(2, {"book": "primary"})
    for number, zone in enumerate("ab", 1):
        proxies.append(s.Proxy(number, zone, fleet, folder))
        await proxies[-1].start()
    for proxy in proxies:
        await s.until(proxy.is_ready, 10, proxy.name + " ready")
    traffic = Traffic()
    clients = [asyncio.ensure_future(traffic.run(proxies, n))
               for n in range(8)]
    accepted = asyncio.Event()

    async def crash_and_restart(chosen):
        await asyncio.sleep(0.2)
        chosen.crash()
        chosen.log, chosen.term, chosen.paused_term = [], 1, 0
        await asyncio.sleep(CRASH_S)
        await chosen.start()

    def on_accepted(chosen):
        if s.TROUBLE and not accepted.is_set():
            record.write("trouble", f"{chosen.ident} crashes for {CRASH_S} s")
            fleet.spawn(crash_and_restart(chosen))
        accepted.set()
    fleet.on_accepted = on_accepted
    await asyncio.sleep(5)
    # Planned work: the primary is replaced.  The new instance starts first.
    await fleet.add(s.Instance(fleet, "i-n", "a", 0.001))
    await asyncio.sleep(2)
    old = fleet.instances["i-p"]
    old.state = "draining"
    await old.report()
    record.write("plan", "i-p is draining")
    await asyncio.wait_for(accepted.wait(), 10)
    before = traffic.share((0, 0))
    await asyncio.sleep(0.5)
    record.write("trouble", f"all proxies are killed; served before {before}")
    for proxy in proxies:
        await proxy.kill()
    await asyncio.sleep(DOWN_S)
    for proxy in proxies:
        await proxy.start()
    await asyncio.sleep(DRAIN_S)
    old.crash()
    await fleet.store.delete("servers/i-p")
    record.write("plan", "i-p has left")
    await asyncio.sleep(RECOVERY_S - DRAIN_S + 0.5)
    mark = traffic.mark()
    await asyncio.sleep(OBSERVED_S)
    after = traffic.share(mark)
    traffic.stopped = True
    await asyncio.gather(*clients)
    leader = fleet.leader()
    record.write("check", f"served before the final fault: {before[0]:.2f} of "
                 f"{before[1]}; later than {RECOVERY_S} s after it: "
                 f"{after[0]:.2f} of {after[1]}; leader: "
                 f"{leader.ident if leader else 'none'}")
    if before[0] < 0.25 or after[1] < 40:
        raise s.CannotRun("no traffic to judge")
    return s.BROKEN if after[0] < 0.25 else s.HELD


if __name__ == "__main__":
    s.main(case, __file__)
