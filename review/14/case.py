"""A client goes on using its open session while the proxy drains; a read that
the proxy has taken and passed on is cut without an answer."""

import asyncio
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import stand_in_2 as s  # noqa: E402

GRACE_S = 6.0
#: Seconds from SIGTERM (or the moment in its place) to each statement.
READS_AT_S = (0.4, 0.8, 1.2, 1.6, 2.1)
SETS_AT_S = (2.4, 2.75)
LONG_READ_AT_S = 3.1
#: Work of the last read.  With the proxy's one retry it is answered 2.7 s after
#: it was sent, within the route's 3 s and the grace.
LONG_READ_S = 1.7
#: Requests that were sent up to here after SIGTERM may be cut late in the grace.
EXCUSED_S = 3.0
ROUTE_TIMEOUT_S = 3.0


async def case(record, folder, proxies):
    fleet = s.Fleet(record)
    await fleet.start((("i-p", "a", 0.001), ("i-a", "b", 0.001),
                       ("i-b", "c", 0.003)))
    await fleet.set_desired_state(2, {"book": "bounded_staleness"},
                                  timeout_ms=3000, target_ms=800)
    for number, zone in enumerate("ab", 1):
        proxies.append(s.Proxy(number, zone, fleet, folder, grace_s=6))
        await proxies[-1].start()
    for proxy in proxies:
        await s.until(proxy.is_ready, 10, proxy.name + " ready")
    draining = proxies[0]
    writer = await s.Caller(proxies[1], "book").open()
    lines, _ = await writer.query("WRITE k1 v1")
    if not s.is_success(lines):
        raise s.CannotRun("no write")
    caller = await s.Caller(draining, "book").open()
    for _ in range(8):
        await caller.query("READ k1")
        await asyncio.sleep(0.4)
    start = time.monotonic()

    async def at(offset):
        await asyncio.sleep(start + offset - time.monotonic())

    async def end_after_grace():
        await at(GRACE_S)
        await draining.kill()
    if s.TROUBLE:
        draining.send_signal(signal.SIGTERM)
        ended = asyncio.ensure_future(end_after_grace())
    for offset in READS_AT_S:
        await at(offset)
        lines, _ = await caller.query("READ k1")
        if not s.is_success(lines):
            raise s.CannotRun("a read was not served")
    for offset in SETS_AT_S:
        await at(offset)
        await caller.query("SET page 2")
    await at(LONG_READ_AT_S)
    for instance in fleet.instances.values():
        instance.extra_read_s = LONG_READ_S
    sent = time.monotonic() - start
    result = s.HELD
    try:
        lines, _ = await caller.query("READ k1")
        record.write("check", f"sent {sent:.2f} s after the signal, answered "
                     f"after {time.monotonic() - start - sent:.2f} s: {lines}")
    except s.SessionEnded:
        taken = time.monotonic() - start - sent
        record.write("check", f"sent {sent:.2f} s after the signal, cut without "
                     f"an answer after {taken:.2f} s")
        if sent > EXCUSED_S and taken < ROUTE_TIMEOUT_S:
            result = s.BROKEN
    if s.TROUBLE:
        await ended
    return result


if __name__ == "__main__":
    s.main(case, __file__)
