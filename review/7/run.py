"""A machine stands still for a moment while the configuration changes."""

import asyncio
import signal
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
ROUTES = 1400           # the dose of `big_config`
FREEZE_S = 4.0          # `node_freeze`, 5 s by default
CHANGES, CHANGE_GAP_S = 3, 0.8
LINKS_MBPS = (200, 200, 10)
CONTACT_S, CONFIG_APPLY_S = 3.0, 2.5
WATCHED_S = 20.0
HOST, PATH = "shop.example", "/moved/1"


def version(number, moved_to):
    routes = {"r-moved": route(HOST, "/moved/", moved_to)}
    for index in range(ROUTES):
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
                  "roster" if number < 4 else "clubvault", "jm-south-a",
                  slots=3, work_s=0.05) for number in range(8)])
    store.put_json("op/config", version(5, "roster"))
    case.note(f"configuration of {len(store.items['op/config']['value'])} "
              f"bytes with {ROUTES} routes")
    await case.start_machines(3, ZONES)
    for machine, mbps in zip(case.machines, LINKS_MBPS):
        store.link_mbps[machine.store_host] = mbps
    await asyncio.sleep(4)
    frozen = case.machines[2]
    if case.trouble:
        frozen.signal(signal.SIGSTOP)
        case.note(f"{frozen.name} stands still for {FREEZE_S} s")
    stopped_at = time.monotonic()
    await asyncio.sleep(0.4)
    for change in range(1, CHANGES + 1):
        moved_to = "clubvault" if change == CHANGES else "roster"
        store.put_json("op/config", version(5 + change, moved_to))
        case.note(f"version {5 + change} is confirmed: /moved/ goes to "
                  f"{moved_to}")
        await asyncio.sleep(CHANGE_GAP_S)
    confirmed_at = time.monotonic()
    await asyncio.sleep(stopped_at + FREEZE_S - time.monotonic())
    if case.trouble:
        frozen.signal(signal.SIGCONT)
        case.note(f"{frozen.name} runs on")
    bound_from = max(confirmed_at + CONFIG_APPLY_S,
                     stopped_at + FREEZE_S + CONTACT_S)
    await asyncio.sleep(bound_from + 0.5 - time.monotonic())
    return await watch(case, frozen)


async def watch(case, frozen):
    """Asks all machines, which are in touch now."""
    case.note("all machines are in touch")
    stale, last = {}, 0.0
    until = time.monotonic() + WATCHED_S
    while time.monotonic() < until:
        for machine in case.machines:
            sent_at, served = await ask(case, machine)
            if served == "roster":
                stale[machine.name] = stale.get(machine.name, 0) + 1
                last = sent_at
        await asyncio.sleep(0.2)
    case.note(f"requests run by the old service: {stale or 'none'}")
    if stale:
        case.note(f"the last of them {last - until + WATCHED_S:.1f} s after "
                  f"{frozen.name} was in touch again")
    return bool(stale)


main(FOLDER, play)
