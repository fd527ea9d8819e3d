"""DRAIN: a retry reaches a backend of a service that the newest manifest no longer has."""

import asyncio
import json
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "stand"))

from stand import (TROUBLE, Backend, CannotRun, Fleet, ask, call, main, manifest, new_id,  # noqa: E402
                   rule)

DRAIN_S = 2.0  # the bound of the site
CALM_S = 4.0  # more than StableWindow, so that all machines are in touch
WORK_S = 4.5  # of the one long lookup
FIRST_LEAVES_S = 2.3  # "for Drain after the confirmation and a little longer"
SECOND_LEAVES_S = 6.0  # "at times many seconds"


async def drain(backend, lasts_s):
    """Reports `draining`, serves on, deregisters and exits."""
    record = backend.record
    backend.state = "draining"
    if not await backend.report():
        raise CannotRun("a drain was not confirmed")
    backend.confirmed = record.now()
    record.add(f"{backend.name}: draining is confirmed")
    await asyncio.sleep(lasts_s)
    body = json.dumps({"born": backend.born}).encode()
    node = random.choice(backend.fleet.cores)
    await call(node, "DELETE", "/kumquat/v1/targets/" + backend.name, body, 1)
    record.add(f"{backend.name}: has deregistered and exits")
    await backend.stop()


async def case(record):
    fleet = Fleet(record, fronts=2)
    try:
        before = rule("r-look", "safe", "/look/", "old", "6000ms", "1200ms")
        after = rule("r-look", "safe", "/look/", "new", "6000ms", "1200ms")
        services = {"old": {}, "new": {}}
        await fleet.start(manifest(1, [before], services))
        old = [Backend(fleet, f"i-old{i}", "old", 100 + i, work_s=WORK_S) for i in range(2)]
        new = [Backend(fleet, f"i-new{i}", "new", 110 + i, work_s=0.1) for i in range(2)]
        for backend in old + new:
            await backend.start()
        await fleet.wait_ready()
        await asyncio.sleep(CALM_S)

        request_id = new_id()
        record.add(f"requester: sends {request_id}, GET /look/1, time limit 6000 ms")
        answer = asyncio.create_task(ask(fleet.fronts[0], "GET", "/look/1", 6000, b"", request_id))
        await asyncio.sleep(0.3)
        first = next((backend for backend in old if backend.runs), None)
        if first is None:
            raise CannotRun("the lookup reached no backend")
        second = next(backend for backend in old if backend is not first)

        # Planned work: the route moves to `new`; `old` is taken out of the manifest and emptied.
        left = {"new": {}} if TROUBLE else services
        record.add(f"operator: manifest 2 routes to new and has the services {sorted(left)}")
        await fleet.put(manifest(2, [after], left))
        await asyncio.sleep(0.2)
        drains = [asyncio.create_task(drain(first, FIRST_LEAVES_S)),
                  asyncio.create_task(drain(second, SECOND_LEAVES_S))]
        _, reply = await answer
        record.add(f"requester: {request_id} is answered {reply.status if reply else 'not at all'}")
        await asyncio.gather(*drains)

        held = True
        for backend in old + new:
            for at, ran, path in backend.runs:
                record.add(f"{backend.name}: ran {ran} {path} from {at:.3f} on")
                confirmed = getattr(backend, "confirmed", None)
                if confirmed is not None and at > confirmed + DRAIN_S:
                    record.add(f"{backend.name}: {at - confirmed:.3f} s after its drain was confirmed")
                    held = False
        return held
    finally:
        fleet.stop()


main(case)
