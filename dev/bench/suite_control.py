"""Control plane: ticket accepted to in force everywhere, and its cost."""

import dataclasses
import datetime
import json
import os
import re
import signal
import time

from .deployments import ServiceSpec
from .figures import Scope
from .fleet import Fleet, request
from .processes import StartError

FLEETS = (14, 64, 200)
SERVICES, SERVERS = 34, 930
# Bounds of docs/design.md, sections 1.4 and 1.8.
IN_FORCE_MS = {14: 2000.0, 64: 8000.0, 200: 8000.0}
CORE_SHARE, MEMORY_MB = 0.016, 256.0
RESUME_MS = 2000.0
TICKETS = 12
TICKET_INTERVAL_S = 0.5

APPLIED = re.compile(r"time=(\S+) .*event=config\.applied.* revision=(\d+)")


def spread(total, parts):
    """Splits a number into nearly equal parts."""
    return [total // parts + (index < total % parts) for index in range(parts)]


def services():
    """The services of the design scale."""
    return tuple(ServiceSpec(f"service-{index + 1}", "lookup", count)
                 for index, count in enumerate(spread(SERVERS, SERVICES)))


def applied_times(fleet, vm):
    """Wall clock time in ms at which a VM put each revision in force."""
    result = {}
    for stamp, revision in APPLIED.findall(fleet.processes.log(vm)):
        moment = datetime.datetime.fromisoformat(stamp.replace("Z", "+00:00"))
        result.setdefault(int(revision), moment.timestamp() * 1000.0)
    return result


def in_force_at(fleet, revision, vms, timeout):
    """When the last VM had a revision or a later one; None if not in time."""
    end = time.monotonic() + timeout
    while time.monotonic() < end:
        times = [[at for number, at in applied_times(fleet, vm).items()
                  if number >= revision] for vm in vms]
        if all(times):
            return max(min(item) for item in times)
        time.sleep(0.1)
    return None


def percentile(values, share):
    """Nearest-rank percentile."""
    ranked = sorted(values)
    return ranked[min(len(ranked) - 1, int(share * len(ranked)))]


class Control:
    """Figures of one fleet size."""

    def __init__(self, fleet, scope, size):
        self.fleet = fleet
        self.scope = scope
        self.size = size
        self.specs = list(fleet.services)

    def ticket(self, index):
        """Changes one service; returns when it was accepted."""
        spec = self.specs[index % len(self.specs)]
        vm = self.fleet.vms[index % len(self.fleet.vms)]
        change = self.fleet.service(spec, default_deadline_ms=2000 + index)
        # The status of this VM may lag, so the known revision is used.
        self.fleet.submit({spec.name: change}, vm)
        return self.fleet.revision, time.time() * 1000.0

    def dissemination(self):
        """Tickets one after the other; the slowest VM counts."""
        before = [self.fleet.processes.usage(vm) for vm in self.fleet.vms]
        store = self.store_calls()
        begun = time.monotonic()
        accepted = []
        for index in range(TICKETS):
            accepted.append(self.ticket(index))
            time.sleep(TICKET_INTERVAL_S)
        delays = []
        for revision, moment in accepted:
            done = in_force_at(self.fleet, revision, self.fleet.vms, 12.0)
            delays.append(max(done - moment, 0.0) if done else None)
        elapsed = time.monotonic() - begun
        late = [item for item in delays if item is None]
        worst = None if late else percentile(delays, 0.99)
        self.scope.add("in_force_p99_ms", worst, IN_FORCE_MS[self.size])
        self.scope.info(tickets=len(delays), not_in_force=len(late))
        self.cost(before, elapsed)
        calls = (self.store_calls() - store) / elapsed
        self.scope.info(store_calls_per_s=calls)
        return calls

    def cost(self, before, elapsed):
        """CPU and memory of the node that needs most."""
        after = [self.fleet.processes.usage(vm) for vm in self.fleet.vms]
        shares = [(late[0] - early[0]) / elapsed
                  for early, late in zip(before, after)]
        self.scope.add("core_share_per_node",
                       sum(shares) / len(shares), CORE_SHARE)
        self.scope.info(core_share_worst=max(shares))
        self.scope.add("memory_mb_worst",
                       max(item[1] for item in after) / 1e6, MEMORY_MB)

    def store_calls(self):
        """Calls that the store has counted; a pending watch is one."""
        stats = json.loads(request(f"http://{self.fleet.store}/stats")[1])
        return sum(stats[key]
                   for key in ("reads", "writes", "watches"))

    def paused(self):
        """A fifth of the VMs is paused while a ticket is accepted."""
        asleep = self.fleet.vms[-(self.size // 5):]
        for vm in asleep:
            os.kill(self.fleet.processes.pid(vm), signal.SIGSTOP)
        revision, _ = self.ticket(0)
        time.sleep(3.0)
        resumed = time.time() * 1000.0
        for vm in asleep:
            os.kill(self.fleet.processes.pid(vm), signal.SIGCONT)
        done = in_force_at(self.fleet, revision, asleep, 12.0)
        self.scope.add("paused_in_force_ms",
                       max(done - resumed, 0.0) if done else None, RESUME_MS)

    def store_down(self):
        """The store fails right after a ticket was accepted."""
        revision, moment = self.ticket(1)
        self.store_mode("close")
        done = in_force_at(self.fleet, revision, self.fleet.vms, 12.0)
        self.scope.add("store_down_in_force_ms",
                       max(done - moment, 0.0) if done else None,
                       IN_FORCE_MS[self.size])
        self.store_mode("none")

    def store_mode(self, mode):
        """Sets the outage mode of the fake store."""
        status, text = request(f"http://{self.fleet.store}/control",
                               {"outage": mode})
        if status != 200:
            raise StartError(f"store control: {status} {text}")


def run_control(options, figures, deployment):
    """Tickets to 14, 64 and 200 VMs; store calls must grow slowly."""
    calls = {}
    large = dataclasses.replace(deployment, vms=max(FLEETS))
    for size in FLEETS:
        scope = Scope(figures, "control", deployment.name, f"fleet{size}",
                      "jujubecart")
        folder = os.path.join(options.out, "run",
                              f"{deployment.name}-control{size}")
        with Fleet(options.build, folder, large, vms=size, relay=False,
                   services=services()) as fleet:
            suite = Control(fleet, scope, size)
            calls[size] = suite.dissemination()
            suite.paused()
            suite.store_down()
    scope = Scope(figures, "control", deployment.name, "growth", "jujubecart")
    small, big = min(FLEETS), max(FLEETS)
    scope.add("store_calls_growth", calls[big] / calls[small],
              (big / small) ** 0.5)
    scope.series("store_calls", sorted(calls.items()))
