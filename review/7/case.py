"""LOST: a planned stop throws away an answer that waits behind a longer request."""

import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "stand"))

from stand import (TROUBLE, Backend, CannotRun, Fleet, main, manifest, new_id, open_to,  # noqa: E402
                   read_reply, request_bytes, rule)

GRACE_S = 6.0
CALM_S = 4.0  # more than StableWindow
LIMIT_MS = 12000  # of the requester, and the route's Timeout
LONG_S = 8.0
SHORT_S = 0.3


async def stop_front(fleet, record):
    """SIGTERM, and SIGKILL after Grace, as the provider stops a process."""
    process = fleet.front(0)
    record.add("provider: SIGTERM to front-0")
    process.signal(signal.SIGTERM)
    end = record.now() + GRACE_S
    while process.popen.poll() is None and record.now() < end:
        await asyncio.sleep(0.02)
    record.add(f"provider: front-0 has ended: {process.popen.poll()}")
    process.signal(signal.SIGKILL)


async def case(record):
    fleet = Fleet(record, fronts=2)
    try:
        await fleet.start(manifest(
            1, [rule("r-tally", "safe", "/tally/", "registre", f"{LIMIT_MS}ms", "1200ms")],
            {"registre": {}}))
        backends = [Backend(fleet, f"i-reg{i}", "registre", 100 + i, slots=6,
                            work_s=lambda path: LONG_S if "/long" in path else SHORT_S)
                    for i in range(4)]
        for backend in backends:
            await backend.start()
        await fleet.wait_ready()
        await asyncio.sleep(CALM_S)

        long_id, short_id = new_id(), new_id()
        reader, writer = await open_to(fleet.fronts[0], 1)
        writer.write(request_bytes("GET", "/tally/long", long_id, LIMIT_MS)
                     + request_bytes("GET", "/tally/short", short_id, LIMIT_MS))
        sent = record.now()
        record.add(f"requester: sends {long_id} /tally/long and behind it {short_id} /tally/short")
        await asyncio.sleep(1.0)  # the second one has run long since
        ran = [backend for backend in backends for run in backend.runs if run[1] == short_id]
        if len(ran) != 1 or ran[0].running > 1:
            raise CannotRun("the second request has not run to its end")
        record.add(f"{ran[0].name}: has run {short_id} and answered it")
        stopping = asyncio.create_task(stop_front(fleet, record)) if TROUBLE else None

        answered = []
        while len(answered) < 2:
            reply = await read_reply(reader)
            if reply is None or not reply.whole:
                record.add(f"requester: the connection ends {record.now() - sent:.3f} s after the "
                           "requests were sent")
                break
            answered.append(reply.headers.get("kumquatdeal-request-id", ""))
            record.add(f"requester: gets {reply.status} for {answered[-1]}")
        if stopping:
            await stopping
        for backend in backends:
            for at, ran_id, path in backend.runs:
                record.add(f"{backend.name}: ran {ran_id} {path} from {at:.3f} on")
        # The long one is excused: its backend was still at work in the last sixth of Grace.
        return short_id in answered
    finally:
        fleet.stop()


main(case)
