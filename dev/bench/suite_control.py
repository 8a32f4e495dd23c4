"""Control plane: time until all VMs apply an accepted ticket, and its cost."""

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

# Fleet sizes in VMs; services and backend servers of the design scale.
FLEETS = (14, 64, 200)
SERVICES, SERVERS = 34, 930
# Bounds from docs/design.md, sections 1.4 and 1.8: time until a ticket is in
# force on all VMs by fleet size, cores and memory (MB) per VM, time after a
# paused VM resumes.
IN_FORCE_MS = {14: 2000.0, 64: 8000.0, 200: 8000.0}
CORE_SHARE, MEMORY_MB = 0.016, 256.0
RESUME_MS = 2000.0
TICKETS = 12
TICKET_INTERVAL_S = 0.5

APPLIED = re.compile(r"time=(\S+) .*event=config\.applied.* revision=(\d+)")


def split_evenly(total, parts):
    """Splits a number into parts that differ by one at most."""
    return [total // parts + (index < total % parts) for index in range(parts)]


def services():
    """SERVICES lookup services with SERVERS backend servers in total."""
    return tuple(ServiceSpec(f"service-{index + 1}", "lookup", count)
                 for index, count in enumerate(
                     split_evenly(SERVERS, SERVICES)))


def applied_times(fleet, vm):
    """Maps each revision to the Unix time in ms when a VM first applied it.

    The times come from the log of the VM.
    """
    result = {}
    for stamp, revision in APPLIED.findall(fleet.processes.log(vm)):
        moment = datetime.datetime.fromisoformat(stamp.replace("Z", "+00:00"))
        result.setdefault(int(revision), moment.timestamp() * 1000.0)
    return result


def in_force_at(fleet, revision, vms, timeout):
    """Unix time in ms when the last VM had applied a revision or a later one.

    None if a VM has not applied it within the timeout, in seconds.
    """
    end = time.monotonic() + timeout
    while time.monotonic() < end:
        times = [[at for number, at in applied_times(fleet, vm).items()
                  if number >= revision] for vm in vms]
        if all(times):
            return max(min(item) for item in times)
        time.sleep(0.1)
    return None


def percentile(values, share):
    """Nearest-rank percentile; share is between 0 and 1."""
    ranked = sorted(values)
    return ranked[min(len(ranked) - 1, int(share * len(ranked)))]


class Control:
    """Measurements on a running fleet of one size."""

    def __init__(self, fleet, scope, size):
        self.fleet = fleet
        self.scope = scope
        self.size = size
        self.specs = list(fleet.services)

    def submit_change(self, index):
        """Changes one service by a ticket.

        Returns its revision and the Unix time in ms when it was accepted.
        """
        spec = self.specs[index % len(self.specs)]
        vm = self.fleet.vms[index % len(self.fleet.vms)]
        change = self.fleet.service(spec, default_deadline_ms=2000 + index)
        # Uses the revision of the last ticket, not the one in the status of
        # this VM, which may be older.
        self.fleet.submit({spec.name: change}, vm)
        return self.fleet.revision, time.time() * 1000.0

    def measure_dissemination(self):
        """Submits TICKETS tickets; measures when the last VM applies each.

        Also reports the cost meanwhile; returns store calls per second.
        """
        before = [self.fleet.processes.usage(vm) for vm in self.fleet.vms]
        store = self.store_calls()
        start = time.monotonic()
        accepted = []
        for index in range(TICKETS):
            accepted.append(self.submit_change(index))
            time.sleep(TICKET_INTERVAL_S)
        delays = []
        for revision, accepted_at in accepted:
            done = in_force_at(self.fleet, revision, self.fleet.vms, 12.0)
            delays.append(max(done - accepted_at, 0.0) if done else None)
        elapsed = time.monotonic() - start
        late = [item for item in delays if item is None]
        worst = None if late else percentile(delays, 0.99)
        self.scope.add("in_force_p99_ms", worst, IN_FORCE_MS[self.size])
        self.scope.info(tickets=len(delays), not_in_force=len(late))
        self.report_cost(before, elapsed)
        calls = (self.store_calls() - store) / elapsed
        self.scope.info(store_calls_per_s=calls)
        return calls

    def report_cost(self, before, elapsed):
        """Reports CPU share (mean, worst node) and memory (worst node) of the VMs."""
        after = [self.fleet.processes.usage(vm) for vm in self.fleet.vms]
        shares = [(late[0] - early[0]) / elapsed
                  for early, late in zip(before, after)]
        self.scope.add("core_share_per_node",
                       sum(shares) / len(shares), CORE_SHARE)
        self.scope.info(core_share_worst=max(shares))
        self.scope.add("memory_mb_worst",
                       max(item[1] for item in after) / 1e6, MEMORY_MB)

    def store_calls(self):
        """Calls that the store has received; a pending watch counts as one."""
        stats = json.loads(request(f"http://{self.fleet.store}/stats")[1])
        return sum(stats[key]
                   for key in ("reads", "writes", "watches"))

    def measure_paused_vms(self):
        """Pauses a fifth of the VMs while a ticket is accepted.

        Measures the time from resuming them until all have applied it.
        """
        paused_vms = self.fleet.vms[-(self.size // 5):]
        for vm in paused_vms:
            os.kill(self.fleet.processes.pid(vm), signal.SIGSTOP)
        revision, _ = self.submit_change(0)
        time.sleep(3.0)
        resumed = time.time() * 1000.0
        for vm in paused_vms:
            os.kill(self.fleet.processes.pid(vm), signal.SIGCONT)
        done = in_force_at(self.fleet, revision, paused_vms, 12.0)
        self.scope.add("paused_in_force_ms",
                       max(done - resumed, 0.0) if done else None, RESUME_MS)

    def measure_store_outage(self):
        """Lets the store fail right after it accepted a ticket.

        The VMs that know it must pass it on to the others.
        """
        revision, accepted_at = self.submit_change(1)
        self.set_store_outage("close")
        done = in_force_at(self.fleet, revision, self.fleet.vms, 12.0)
        self.scope.add("store_down_in_force_ms",
                       max(done - accepted_at, 0.0) if done else None,
                       IN_FORCE_MS[self.size])
        self.set_store_outage("none")

    def set_store_outage(self, mode):
        """Sets how the fake store fails: none, reject, close or silent."""
        status, text = request(f"http://{self.fleet.store}/control",
                               {"outage": mode})
        if status != 200:
            raise StartError(f"store control: {status} {text}")


def run_control(options, figures, deployment):
    """Tickets to 14, 64 and 200 VMs: time to apply, cost, store calls."""
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
            calls[size] = suite.measure_dissemination()
            suite.measure_paused_vms()
            suite.measure_store_outage()
    scope = Scope(figures, "control", deployment.name, "growth", "jujubecart")
    small, big = min(FLEETS), max(FLEETS)
    # Store calls may grow with the square root of the fleet size at most.
    scope.add("store_calls_growth", calls[big] / calls[small],
              (big / small) ** 0.5)
    scope.series("store_calls", sorted(calls.items()))
