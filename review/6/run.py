"""The store forgets its history; a machine with a slow link never has the
large configuration again."""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-2"))

from case import main  # noqa: E402
from consumer import request_once  # noqa: E402
from fleet import config, route, service  # noqa: E402
from upstream import Upstream  # noqa: E402

ZONES = {"jm-south-a": "jm-south", "jm-south-b": "jm-south"}
GROWTH, GROWTHS = 1400, 3   # the dose of `big_config`, three times
LINKS_MBPS = (200, 200, 10)
UPSTREAMS = 120
VALUE_BYTES = 1048576       # `value-bytes` of the store
CONTACT_S, CONFIG_APPLY_S = 3.0, 2.5
WATCHED_S = 40.0
HOST, PATH = "shop.example", "/moved/1"


def version(number, growths, moved_to):
    routes = {"r-moved": route(HOST, "/moved/", moved_to)}
    for index in range(growths * GROWTH):
        routes[f"r-{index:07x}"] = route(f"h{index:04d}.example",
                                         f"/pre{index:04d}/ny95/", "roster")
    return config(number, routes, {"roster": service(),
                                   "clubvault": service()})


async def ask(case, machine):
    """Sends a request; returns when it was sent and which service ran it."""
    answer = await request_once(machine.front, "GET", HOST, PATH)
    runs = case.runs_of(answer.identity)
    served = runs[-1][0] if runs else "nobody"
    case.detail(f"{machine.name} {answer} run by {served}")
    return answer.sent_at, served


async def play(case):
    store = case.store
    await case.start_upstreams(
        [Upstream(store, f"i-{number:08x}",
                  "roster" if number % 2 else "clubvault", "jm-south-a",
                  slots=3, work_s=0.05) for number in range(UPSTREAMS)])
    store.put_json("op/config", version(5, 0, "roster"))
    await case.start_machines(len(LINKS_MBPS), ZONES)
    for machine, mbps in zip(case.machines, LINKS_MBPS):
        store.link_mbps[machine.store_host] = mbps
        case.note(f"{machine.name} has {mbps} Mbit/s to the store")
    await asyncio.sleep(4)
    for growth in range(1, GROWTHS + 1):
        store.put_json("op/config", version(5 + growth, growth, "roster"))
        size = len(store.items["op/config"]["value"])
        case.note(f"version {5 + growth} of {size} bytes is confirmed")
        assert size <= VALUE_BYTES
        await asyncio.sleep(5)

    def change():
        store.put_json("op/config", version(9, GROWTHS, "clubvault"))

    if case.trouble:
        case.note("the watches hear nothing for a second")
        await store.compact(change)
        case.note("the store's history is dropped")
    else:
        change()
    ended_at = time.monotonic()
    case.note("version 9 is confirmed: /moved/ goes to clubvault")
    await asyncio.sleep(CONTACT_S + CONFIG_APPLY_S)
    return await watch(case, ended_at)


async def watch(case, ended_at):
    stale, last = {}, 0.0
    while time.monotonic() < ended_at + WATCHED_S:
        for machine in case.machines:
            sent_at, served = await ask(case, machine)
            if served == "roster":
                stale[machine.name] = stale.get(machine.name, 0) + 1
                last = sent_at - ended_at
        await asyncio.sleep(0.25)
    case.note(f"requests run by the old service: {stale or 'none'}")
    if stale:
        case.note(f"the last of them {last:.1f} s after the disruption")
    return bool(stale)


main(FOLDER, play)
