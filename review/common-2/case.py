"""Frame of a case: a fleet with stand-ins, its record and its exit status."""

import asyncio
import os
import sys
import tempfile
import time
from pathlib import Path

from fleet import Machine
from store import Store

BROKEN, HELD, NOT_RUN = 1, 0, 2


class CouldNotRun(Exception):
    """The case cannot be judged, for example as a machine didn't start."""


class Case:
    """Starts what a case needs, and ends all of it."""

    def __init__(self, folder):
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.started = time.monotonic()
        self._record = (Path(folder) / "record.txt").open("w")
        self._folder = tempfile.TemporaryDirectory(prefix="jujubecart-")
        self.store = Store()
        self.upstreams, self.machines = [], []

    def note(self, text):
        """Writes a line with the time since the start."""
        line = f"{time.monotonic() - self.started:8.3f} {text}"
        self._record.write(line + "\n")
        self._record.flush()
        print(line, flush=True)

    def detail(self, text):
        """Writes a line into the record only."""
        self._record.write(
            f"{time.monotonic() - self.started:8.3f} {text}\n")

    async def start_upstreams(self, upstreams):
        self.upstreams += upstreams
        for upstream in upstreams:
            await upstream.start()

    async def start_machines(self, count, zones, tenants=False):
        """Starts machines in the zones in turn, and waits for all of them."""
        names = list(zones)
        added = []
        for _ in range(count):
            number = len(self.machines)
            store = await self.store.listen(f"127.0.{100 + number}.1")
            machine = Machine(Path(self._folder.name), number,
                              names[number % len(names)], store, zones,
                              tenants)
            self.machines.append(machine)
            added.append(machine)
            machine.start()
        for machine in added:
            if not await machine.wait_ready():
                raise CouldNotRun(f"{machine.name} is not ready")
            self.note(f"{machine.name} is ready at {machine.front}")

    def runs_of(self, identity):
        """The runs of a request, with the service of their upstream."""
        return [(upstream.service, run) for upstream in self.upstreams
                for run in upstream.runs if run["id"] == identity]

    def end(self):
        for machine in self.machines:
            machine.end()
        self._record.close()
        self._folder.cleanup()


def main(folder, play):
    """Plays a case: play(case) returns whether the rule was broken."""
    async def run():
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        case = Case(folder)
        try:
            broken = await play(case)
            case.note("the rule was BROKEN" if broken else "the rule held")
            return BROKEN if broken else HELD
        except (CouldNotRun, OSError) as failure:
            case.note(f"could not run: {failure}")
            return NOT_RUN
        finally:
            case.end()

    status = asyncio.run(run())
    sys.stdout.flush()
    os._exit(status)
