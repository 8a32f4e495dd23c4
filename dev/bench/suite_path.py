"""Data path: cost that one jujubecartd, without other VMs, adds to a call, and
its memory per connection."""

import os
import time

from .deployments import Deployment, ServiceSpec
from .figures import Scope
from .fleet import Fleet
from .suite_decisions import correctness, describe

# Maximum of added p99 latency from docs/design.md, section 1.8.
ADDED_P99_MS = 1.8

# 64 slots for each backend server, so that no call waits there for a slot.
ONE_VM = Deployment("single", "alfold", 1, 1, 0, 0, 64, 200,
                    (ServiceSpec("echo", "lookup", 4),))

# Calls per second.
PROBE_RATE = 20000
CAPACITY_RUN_RATE = 1000


def measure(fleet, options, name, rate, direct=False, connections=32):
    """Runs load through the daemon, or directly to the backend servers.

    The run takes half of --seconds. Returns the results of the load generator,
    with the CPU seconds that the daemon used in daemon_cpu_s.
    """
    path = fleet.experiment(name, options.seed, int(options.seconds * 500),
                            {"echo": rate}, warmup_ms=500)
    plan = fleet.processes.read(path)
    plan["connections_per_entry"] = connections
    if direct:
        plan["entries"] = [{"id": server, "address": address} for
                           server, address in
                           fleet.backends["servers"].items()]
        plan["connections_per_entry"] = max(
            1, connections // len(plan["entries"]))
    before = fleet.processes.usage("vm-1")[0]
    result = fleet.load(fleet.processes.file(f"{name}.json", plan))
    result["daemon_cpu_s"] = fleet.processes.usage("vm-1")[0] - before
    return result


def run_path(options, figures, deployment):
    """Added latency, calls/s per core and memory per connection of one VM."""
    folder = os.path.join(options.out, "run", f"{deployment.name}-path")
    with Fleet(options.build, folder, ONE_VM, relay=False) as fleet:
        half_rate = capacity_per_core(options, figures, deployment, fleet) / 2
        for connections in (1, 32, 256):
            report_added_latency(options, figures, deployment, fleet,
                                 half_rate, connections)
        report_memory(figures, deployment, fleet)


def capacity_per_core(options, figures, deployment, fleet):
    """Estimates the calls per second that one core of the daemon handles."""
    scope = Scope(figures, "path", deployment.name, "capacity", "jujubecart")
    result = measure(fleet, options, "capacity", CAPACITY_RUN_RATE)
    # Extrapolated from the CPU time per call at a moderate rate: at full load
    # the load generator on the same machine would distort the result.
    rate = result["answered"] / max(result["daemon_cpu_s"], 1e-3)
    scope.info(calls_per_core_s=rate, samples=result["answered"])
    correctness(scope, result)
    return rate


def report_added_latency(options, figures, deployment, fleet, rate,
                         connections):
    """Reports the latency through the daemon minus the latency without it.

    Both runs use the same seed, thus the same arrivals and service times.
    """
    scenario = f"connections{connections}"
    scope = Scope(figures, "path", deployment.name, scenario, "jujubecart")
    direct = measure(fleet, options, f"direct{connections}", rate, True,
                     connections)
    through = measure(fleet, options, f"through{connections}", rate, False,
                      connections)
    for measure_name in ("p50_ms", "p99_ms"):
        value = through["latency"][measure_name] - \
            direct["latency"][measure_name]
        scope.add(f"added_{measure_name}", value,
                  ADDED_P99_MS if measure_name == "p99_ms" else None)
    scope.info(calls_per_s=rate,
               direct_p99_ms=direct["latency"]["p99_ms"],
               daemon_cores=through["daemon_cpu_s"] /
               (options.seconds / 2))
    correctness(scope, through)
    describe(scope, through)


def report_memory(figures, deployment, fleet):
    """Reports the cost of an idle connection in resident memory."""
    scope = Scope(figures, "path", deployment.name, "memory", "jujubecart")
    before = fleet.processes.usage("vm-1")[1]
    opened = fleet.open_connections("vm-1", 500)
    time.sleep(0.5)
    after = fleet.processes.usage("vm-1")[1]
    scope.info(bytes_per_idle_connection=(after - before) / len(opened),
               resident_mb=after / 1e6, connections=len(opened))
    for item in opened:
        item.close()
