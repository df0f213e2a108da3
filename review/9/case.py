"""A replica without a directory entry goes on confirming the leader's commits,
and another replica is promoted without them."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import stand_in_2 as s  # noqa: E402

#: Lengths as `fleetbench kinds` gives them for srv_cut and primary_cut.
STORE_CUT_S = 5.0
PRIMARY_CUT_S = 5.0
#: Time between the two cuts from the store, less than a heartbeat interval.
STORE_CUT_GAP_S = 0.3


async def case(record, folder, proxies):
    fleet = s.Fleet(record, slots=3, max_conns=22, promote_s=1.0)
    await fleet.start((("i-p", "a", 0.001), ("i-a", "b", 0.001),
                       ("i-b", "c", 0.003)))
    await fleet.set_desired_state(2, {"book": "primary"})
    for number, zone in enumerate("abc", 1):
        proxies.append(s.Proxy(number, zone, fleet, folder))
        await proxies[-1].start()
    for proxy in proxies:
        await s.until(proxy.is_ready, 10, proxy.name + " ready")
    writer = s.Writer()
    lost = []

    def on_promoted(chosen, before):
        has = s.data_of(chosen.log)
        missing = [d for d in writer.acknowledged if d not in has]
        if missing:
            lost.append(chosen.ident)
            record.write("check", f"LOST: {len(missing)} acknowledged writes "
                         f"are not in the log of {chosen.ident}, which is "
                         f"promoted: {missing[:5]}")
    fleet.on_promoted = on_promoted
    clients = [asyncio.ensure_future(writer.run(
        lambda n=n: proxies[n % len(proxies)], f"w{n}")) for n in range(6)]
    await asyncio.sleep(4)
    if s.TROUBLE:
        replica, primary = fleet.instances["i-a"], fleet.instances["i-p"]

        async def cut_twice_from_store():
            for _ in range(2):
                replica.cut_from_store = True
                record.write("trouble", "i-a is partitioned from the store")
                await asyncio.sleep(STORE_CUT_S)
                replica.cut_from_store = False
                record.write("trouble", "i-a reaches the store again")
                await asyncio.sleep(STORE_CUT_GAP_S)
        # Both cuts begin between two heartbeats.
        beats = replica.beats
        await s.until(lambda: replica.beats > beats, 3, "heartbeat of i-a")
        await asyncio.sleep(0.05)
        fleet.spawn(cut_twice_from_store())
        await asyncio.sleep(7)
        primary.cut_from = {proxies[0].name}
        record.write("trouble", f"i-p is partitioned from {proxies[0].name}")
        await asyncio.sleep(PRIMARY_CUT_S)
        primary.cut_from = set()
        record.write("trouble", "i-p reaches all again")
    await asyncio.sleep(4)
    writer.stopped = True
    await asyncio.gather(*clients)
    record.write("check", f"acknowledged {len(writer.acknowledged)}, "
                 f"answers {dict(writer.answers)}")
    if len(writer.acknowledged) < 50:
        raise s.CannotRun("too few writes were acknowledged")
    return s.BROKEN if lost else s.HELD


if __name__ == "__main__":
    s.main(case, __file__)
