"""Machines that are stopped in turn reset connections of requests that still
wait for a slot."""

import asyncio
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common"))
from standins import (  # noqa: E402
    GRACE_S, LOSS_SLACK_S, Consumer, Upstream, run_case)

SERVERS = 3
WORK_S = 0.64
TIMEOUT_S = 6.0
ORDER_TIMEOUT_S = 2.0
ORDER_WORK_S = 0.21
PER_S = 45
# Every fourth request is a lookup, the others are orders.
LOOKUP_EVERY = 4
BEFORE_S = 12
GAP_S = 10
RESTART_S = 0.5
ROUTES = {"r-archive": {
    "host": "archive.example", "path-prefix": "/archive/", "kind": "safe",
    "timeout": "6000ms", "target-latency": "1500ms", "priority": 2,
    "service": "prooflog", "max-attempts": 2}, "r-order": {
    "host": "orders.example", "path-prefix": "/order/", "kind": "unsafe",
    "timeout": "2000ms", "target-latency": "500ms", "priority": 1,
    "service": "prooflog", "max-attempts": 2}}


class Prooflog(Upstream):
    def work(self, request):
        return WORK_S if request.method == "GET" else ORDER_WORK_S


class Rotation:
    """The platform's choice of machines: one question a second; after two
    misses a machine gets no new connections until it answers 200 again."""

    def __init__(self, entries):
        self.entries = entries
        self.misses = {entry.name: 0 for entry in entries}
        self.next = 0

    async def ask(self):
        while True:
            for entry in self.entries:
                good = await entry.is_ready()
                self.misses[entry.name] = 0 if good else self.misses[entry.name] + 1
            await asyncio.sleep(1)

    def choose(self):
        while True:
            self.next += 1
            entry = self.entries[self.next % len(self.entries)]
            if self.misses[entry.name] < 2:
                return entry


async def case(deployment, record, trouble):
    for number in range(SERVERS):
        deployment.add_upstream(Prooflog, f"i-{number:08x}", "prooflog", 3, WORK_S)
    await deployment.start(3, ROUTES, ["prooflog"])
    rotation = Rotation(deployment.entries)
    asking = asyncio.ensure_future(rotation.ask())
    consumer = Consumer(record)
    results = []
    stops = {}

    async def request(number):
        entry = rotation.choose()
        sent = record.now()
        if number % LOOKUP_EVERY == 0:
            timeout = TIMEOUT_S
            request_id, answer = await consumer.send(
                entry, "GET", "archive.example", "/archive/2f", 12000)
        else:
            timeout = ORDER_TIMEOUT_S
            request_id, answer = await consumer.send(
                entry, "POST", "orders.example", "/order/2f", 4000, b"sheet 12")
        results.append((request_id, entry, sent, record.now(), answer, timeout))

    tasks = []

    async def traffic(seconds):
        for _ in range(seconds * PER_S):
            tasks.append(asyncio.ensure_future(request(len(tasks))))
            await asyncio.sleep(1 / PER_S)

    async def stop_and_start(entry):
        stops[entry.name] = record.now()
        entry.send_signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(entry.process.wait(), GRACE_S)
        except asyncio.TimeoutError:
            await entry.end()
        await asyncio.sleep(RESTART_S)
        await entry.start()

    await traffic(BEFORE_S)
    restarts = []
    for entry in deployment.entries:
        if trouble:
            restarts.append(asyncio.ensure_future(stop_and_start(entry)))
        await traffic(GAP_S)
    await asyncio.gather(*tasks, *restarts)
    asking.cancel()
    run = set()
    for upstream in deployment.upstreams:
        run |= set(upstream.runs)
    record.add("summary", requests=len(results),
               served=sum(1 for each in results if each[4] and each[4].status == 200),
               refused=sum(1 for each in results if each[4] and each[4].status == 503),
               unanswered=sum(1 for each in results if each[4] is None))
    broken = []
    for request_id, entry, sent, ended, answer, timeout in results:
        at = stops.get(entry.name)
        if answer is not None or at is None or ended < at:
            continue
        # Not counted: no time left, or an upstream was at work on it.
        if ended - sent >= timeout or request_id in run:
            continue
        if ended - sent > LOSS_SLACK_S and ended <= at + GRACE_S + 1:
            broken.append(
                f"request {request_id}, sent {sent - at:+.3f} s after SIGTERM and "
                f"never passed on, lost its connection at {ended - at:+.3f} s "
                "without an answer")
    return broken


run_case(HERE, case)
