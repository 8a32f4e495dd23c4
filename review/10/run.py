"""A tenant uses its allowance; the machine that counts it is killed."""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-2"))

from case import CouldNotRun, main  # noqa: E402
from consumer import request_once  # noqa: E402
from fleet import BOUNDS, config, route, service  # noqa: E402
from upstream import Upstream  # noqa: E402

ZONES = {"jm-south-a": "jm-south", "jm-south-b": "jm-south"}
RATE_PER_S, BURST = 40, 100
WINDOW_S = 5.0
RESTART_S = 0.3
IN_WINDOW = RATE_PER_S * WINDOW_S + BURST
LIMIT = IN_WINDOW * (1 + BOUNDS["quota-excess"]) + BOUNDS["quota-slack"]
KEY = ("Authorization", "Token key-of-the-club")


def first_version():
    club = {"api-keys": ["key-of-the-club"], "priority": 1,
            "rate-per-s": RATE_PER_S, "burst": BURST}
    return config(5, {"r1": route("club.example", "/dues/", "tillbook")},
                  {"tillbook": service()}, tenants={"club": club})


async def send(case, count, sent_at):
    """Sends requests at once, spread over the machines that run."""
    running = [machine for machine in case.machines if machine.running()]
    answers = await asyncio.gather(*[
        request_once(running[number % len(running)].front, "GET",
                     "club.example", "/dues/1", fields=[KEY])
        for number in range(count)])
    statuses = {}
    for answer in answers:
        sent_at[answer.identity] = answer.sent_at
        name = answer.status or answer.failure
        statuses[name] = statuses.get(name, 0) + 1
    case.note(f"{count} requests: {statuses}")


def giver_of(case):
    """The machine that gave the most orders to upstreams, by its log."""
    orders = {machine: machine.log.read_text().count("dispatch.granted")
              for machine in case.machines}
    return max(orders, key=orders.get)


def most_in_a_window(case, sent_at):
    """Most requests that were sent and began to run inside one window."""
    runs = [(sent_at[run["id"]], run["at"]) for upstream in case.upstreams
            for run in upstream.runs]
    return max(sum(1 for sent, ran in runs
                   if sent >= start and ran < start + WINDOW_S)
               for start, _ in runs)


async def play(case):
    store = case.store
    await case.start_upstreams(
        [Upstream(store, f"i-{number:08x}", "tillbook", "jm-south-a",
                  slots=20, work_s=0.02, queue=40) for number in range(4)])
    store.put_json("op/config", first_version())
    await case.start_machines(3, ZONES, tenants=True)
    # No window of the allowances before the first request matters.
    await asyncio.sleep(WINDOW_S + 3)
    sent_at = {}
    began = time.monotonic()
    for _ in range(4):
        await send(case, int(IN_WINDOW / 4) + 10, sent_at)
    if case.trouble:
        giver = giver_of(case)
        giver.kill()
        case.note(f"{giver.name} is killed")
        await asyncio.sleep(RESTART_S)
        giver.start()
        if not await giver.wait_ready():
            raise CouldNotRun(f"{giver.name} did not come back")
        case.note(f"{giver.name} is ready again")
    while time.monotonic() - began < WINDOW_S - 0.6:
        await send(case, 60, sent_at)
        await asyncio.sleep(0.2)
    most = most_in_a_window(case, sent_at)
    case.note(f"most requests run in {WINDOW_S:.0f} s: {most}; allowed "
              f"({RATE_PER_S} x {WINDOW_S:.0f} + {BURST}) x 1.1 + 20 = "
              f"{LIMIT:.0f}")
    return most > LIMIT


main(FOLDER, play)
