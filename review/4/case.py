"""An upstream that wants quiet gets requests that already waited."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common"))
from standins import Consumer, Upstream, run_case  # noqa: E402

SERVERS = 3
WORK_S = 0.64
PER_S = 11
BURST_X = 1.7
BURST_S = 3
BURST_AT_S = 8
QUIET_S = 4
QUIET_AT_S = BURST_AT_S + 2.5
SECONDS = 18
SETTLE_S = 0.5
ALLOWED = 2
ROUTES = {"r-archive": {
    "host": "archive.example", "path-prefix": "/archive/", "kind": "safe",
    "timeout": "6000ms", "target-latency": "1500ms", "priority": 2,
    "service": "prooflog", "max-attempts": 2}}


class QuietUpstream(Upstream):
    """Turns away one request of each machine with Retry-After. What reaches it
    later is served if a slot is free."""

    wants_quiet = False

    def __init__(self, *args, **options):
        super().__init__(*args, **options)
        self.quiet_since = {}
        self.reached = []

    def turns_away(self, request):
        now = self.record.now()
        since = self.quiet_since.get(request.machine)
        if since is None:
            if not self.wants_quiet:
                return None
            self.quiet_since[request.machine] = now
            return f"Retry-After: {QUIET_S}\r\n"
        if SETTLE_S <= now - since <= QUIET_S:
            self.reached.append((request.machine, request.id, now - since))
        return None


async def case(deployment, record, trouble):
    quiet = deployment.add_upstream(QuietUpstream, "i-00000000", "prooflog", 3, WORK_S)
    for number in range(1, SERVERS):
        deployment.add_upstream(Upstream, f"i-{number:08x}", "prooflog", 3, WORK_S)
    await deployment.start(3, ROUTES, ["prooflog"])
    consumer = Consumer(record)
    tasks = []
    # All consumers are in one zone, so the platform connects them to its
    # machine; the others decide about slots.
    entry = deployment.entries[0]
    start = record.now()
    while (elapsed := record.now() - start) < SECONDS:
        quiet.wants_quiet = trouble and elapsed >= QUIET_AT_S
        burst = BURST_AT_S <= elapsed < BURST_AT_S + BURST_S
        tasks.append(asyncio.ensure_future(consumer.send(
            entry, "GET", "archive.example", "/archive/2f", 12000)))
        await asyncio.sleep(1 / (PER_S * (BURST_X if burst else 1)))
    results = await asyncio.gather(*tasks)
    record.add("summary", lookups=len(results),
               served=sum(1 for _, answer in results if answer and answer.status == 200),
               refused=sum(1 for _, answer in results if answer and answer.status == 503))
    counts = {}
    for machine, _, _ in quiet.reached:
        counts[machine] = counts.get(machine, 0) + 1
    return [f"{counts[machine]} requests from {machine} reached the upstream "
            f"between {SETTLE_S} s and {QUIET_S} s after its 503 with Retry-After: "
            + ", ".join(f"{each[1]} at {each[2]:.2f} s" for each in quiet.reached
                        if each[0] == machine)
            for machine in sorted(counts) if counts[machine] > ALLOWED]


run_case(HERE, case)
