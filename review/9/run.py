"""The configuration raises the limits while consumers keep connections."""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-2"))

from case import CouldNotRun, main  # noqa: E402
from consumer import Connection  # noqa: E402
from fleet import config, route, service  # noqa: E402
from upstream import Upstream  # noqa: E402

ZONES = {"lalitpur": "kathmandu", "bhaktapur": "kathmandu"}
CONTACT_S, CONFIG_APPLY_S = 3.0, 2.0
CONNECTIONS = 24
ALLOWED, ALLOWED_SHARE = 5, 1 / 500
IDLE_TIMEOUT_S = 15.0
LIMITS = {"max-header-bytes": 4096, "max-body-bytes": 65536,
          "header-timeout": "3000ms", "idle-timeout": "15000ms"}
RAISED = dict(LIMITS, **{"max-header-bytes": 16384,
                         "max-body-bytes": 262144})


def version(number, limits):
    return config(number, {"r1": route("maps.example", "/print/", "orders",
                                       kind="unsafe")},
                  {"orders": service()}, limits=limits)


async def order(case, link, size, cookie=""):
    fields = [("Cookie", cookie)] if cookie else []
    answer = await link.request("POST", "maps.example", "/print/1",
                                b"x" * size, fields=fields)
    case.detail(f"{link.address} {size} bytes, {answer}")
    return answer.status


async def send_all(case, links):
    """Sends one request on each connection, all within the raised limits."""
    denied = 0
    for number, link in enumerate(links):
        if number % 2:
            status = await order(case, link, 100000)
        else:
            status = await order(case, link, 1000, "c" * 8000)
        denied += status in (413, 431)
    return denied


async def open_all(case):
    links = [Connection(case.machines[number % 3].front)
             for number in range(CONNECTIONS)]
    for link in links:
        await link.open()
    return links


async def play(case):
    store = case.store
    await case.start_upstreams(
        [Upstream(store, f"i-{number:08x}", "orders", "lalitpur", slots=3,
                  work_s=0.05) for number in range(6)])
    # Without the disruption, the higher limits hold from the beginning.
    store.put_json("op/config", version(5, LIMITS if case.trouble else RAISED))
    await case.start_machines(3, ZONES)
    await asyncio.sleep(CONTACT_S)
    kept = await open_all(case)
    for link in kept:
        if await order(case, link, 1000) != 200:
            raise CouldNotRun("a first request was not served")
    used_at = time.monotonic()
    case.note(f"{CONNECTIONS} connections are open and have had an answer")
    if case.trouble:
        store.put_json("op/config", version(7, RAISED))
        case.note("version 7, with higher limits, is confirmed")
    await asyncio.sleep(CONTACT_S + CONFIG_APPLY_S)
    idle_s = time.monotonic() - used_at
    if idle_s > 0.8 * IDLE_TIMEOUT_S:
        raise CouldNotRun("the connections were idle for too long")
    denied = await send_all(case, kept)
    case.note(f"kept connections, idle for {idle_s:.1f} s: {denied} of "
              f"{CONNECTIONS} requests ended with 413 or 431")
    fresh = await send_all(case, await open_all(case))
    case.note(f"new connections, same requests: {fresh} of {CONNECTIONS}")
    return denied > ALLOWED + 3 * CONNECTIONS * ALLOWED_SHARE


main(FOLDER, play)
