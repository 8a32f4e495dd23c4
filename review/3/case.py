"""A machine that is alone sends orders to an upstream whose entry was removed
more than `drain` ago."""

import asyncio
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common"))
from standins import CONTACT_S, DRAIN_S, Consumer, Upstream, run_case  # noqa: E402

SERVERS = 24
WORK_S = 0.21
PER_S = 60
# An upstream serves for `drain` and a little longer.
EXIT_AFTER_S = DRAIN_S + 0.25
LOSS_AT_S = 4
FIRST_REMOVAL_S = 12
# One upstream at a time of 24 to 11; the site's scale_in takes 0.13 away at once.
REMOVALS = 14
GAP_S = 4.65
SECONDS = FIRST_REMOVAL_S + REMOVALS * GAP_S
ROUTES = {"r-order": {
    "host": "orders.example", "path-prefix": "/order/", "kind": "unsafe",
    "timeout": "2000ms", "target-latency": "500ms", "priority": 1,
    "service": "orders", "max-attempts": 2}}


class LeavingUpstream(Upstream):
    """Once its entry is removed it serves on for a time and then exits, as
    upstreams do that never report `draining`."""

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

    async def leave(self, store):
        store.remove(f"servers/{self.id}")
        self.removed_at = self.record.now()
        self.record.add("entry-removed", upstream=self.id)
        await asyncio.sleep(EXIT_AFTER_S)
        self.exit()


async def case(deployment, record, trouble):
    for number in range(SERVERS):
        deployment.add_upstream(LeavingUpstream, f"i-{number:08x}", "orders", 3, WORK_S)
    await deployment.start(2, ROUTES, ["orders"])
    staying, lost = deployment.entries
    consumer = Consumer(record)
    tasks = []
    leaves = []
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
            leaves.append(asyncio.ensure_future(leaving.leave(deployment.store)))
            for each in deployment.upstreams:
                each.recent = 0
        tasks.append(asyncio.ensure_future(consumer.send(
            staying, "POST", "orders.example", "/order/2f", 4000, b"sheet 12")))
        await asyncio.sleep(1 / PER_S)
    results = await asyncio.gather(*tasks)
    await asyncio.gather(*leaves)
    record.add("summary", orders=len(results),
               served=sum(1 for _, answer in results if answer and answer.status == 200),
               failed=sum(1 for _, answer in results if answer and answer.status == 502))
    assert FIRST_REMOVAL_S - LOSS_AT_S > 2 * CONTACT_S
    statuses = {request_id: answer.status if answer else "no answer"
                for request_id, answer in results}
    return [f"order {request_id} reached {upstream.id} {after:.3f} s after its "
            f"entry had been removed and got {statuses[request_id]}"
            for upstream in deployment.upstreams
            for request_id, after in upstream.late]


run_case(HERE, case)
