"""A machine that is alone sends requests to an upstream whose entry was
removed more than `drain` ago."""

import asyncio
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common"))
from standins import CONTACT_S, DRAIN_S, Consumer, Upstream, run_case  # noqa: E402

SERVERS = 20
WORK_S = 0.16
PER_S = 70
LOSS_AT_S = 4
FIRST_REMOVAL_S = 14
# One upstream at a time of 20 to 9; the site's scale_in takes 0.13 away at once.
REMOVALS = 12
GAP_S = 4.65
SECONDS = FIRST_REMOVAL_S + REMOVALS * GAP_S
ROUTES = {"r-browse": {
    "host": "maps.example", "path-prefix": "/browse/", "kind": "safe",
    "timeout": "1500ms", "target-latency": "400ms", "priority": 2,
    "service": "catalogue", "max-attempts": 2}}


class LeavingUpstream(Upstream):
    """Once its entry is removed it serves on, as upstreams do that never
    report `draining`."""

    removed_at = None

    def __init__(self, *args, **options):
        super().__init__(*args, **options)
        self.late = []
        self.recent = 0

    def turns_away(self, request):
        self.recent += 1
        if self.removed_at is not None:
            after = self.record.now() - self.removed_at
            if after > DRAIN_S:
                self.late.append((request.id, after))
        return None


async def case(deployment, record, trouble):
    for number in range(SERVERS):
        deployment.add_upstream(LeavingUpstream, f"i-{number:08x}", "catalogue", 3, WORK_S)
    await deployment.start(2, ROUTES, ["catalogue"])
    staying, lost = deployment.entries
    consumer = Consumer(record)
    tasks = []
    start = record.now()
    removals = [FIRST_REMOVAL_S + GAP_S * number for number in range(REMOVALS)]
    is_lost = False
    while (elapsed := record.now() - start) < SECONDS:
        if trouble and not is_lost and elapsed >= LOSS_AT_S:
            is_lost = True
            lost.send_signal(signal.SIGKILL)
        if removals and elapsed >= removals[0]:
            removals.pop(0)
            leaving = max((each for each in deployment.upstreams
                           if each.removed_at is None), key=lambda each: each.recent)
            deployment.store.remove(f"servers/{leaving.id}")
            leaving.removed_at = record.now()
            record.add("entry-removed", upstream=leaving.id)
            for each in deployment.upstreams:
                each.recent = 0
        tasks.append(asyncio.ensure_future(consumer.send(
            staying, "GET", "maps.example", "/browse/2f", 3000)))
        await asyncio.sleep(1 / PER_S)
    results = await asyncio.gather(*tasks)
    record.add("summary", lookups=len(results),
               served=sum(1 for _, answer in results if answer and answer.status == 200))
    assert FIRST_REMOVAL_S - LOSS_AT_S > 2 * CONTACT_S
    return [f"request {request_id} reached {upstream.id} {after:.3f} s after its "
            "entry had been removed"
            for upstream in deployment.upstreams
            for request_id, after in upstream.late]


run_case(HERE, case)
