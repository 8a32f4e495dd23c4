"""Data path: cost that one jujubecartd adds to a call."""

import os
import time

from .deployments import Deployment, ServiceSpec
from .figures import Scope
from .fleet import Fleet
from .suite_decisions import correctness, describe

# Bound of docs/design.md, section 1.8.
ADDED_P99_MS = 1.8

# Enough slots that no call ever queues at a backend server.
ONE_VM = Deployment("single", "alfold", 1, 1, 0, 0, 64, 200,
                    (ServiceSpec("echo", "lookup", 4),))

PROBE_RATE = 20000
RATE_STEP = 1000


def measure(fleet, options, name, rate, direct=False, connections=32):
    """One run through the daemon or directly to the backend servers."""
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
    """Added latency, calls per second and core, memory per connection."""
    folder = os.path.join(options.out, "run", f"{deployment.name}-path")
    with Fleet(options.build, folder, ONE_VM, relay=False) as fleet:
        half = capacity_per_core(options, figures, deployment, fleet) / 2
        for connections in (1, 32, 256):
            added(options, figures, deployment, fleet, half, connections)
        memory(figures, deployment, fleet)


def capacity_per_core(options, figures, deployment, fleet):
    """Calls per second that one core of the daemon carries."""
    scope = Scope(figures, "path", deployment.name, "capacity", "jujubecart")
    result = measure(fleet, options, "capacity", RATE_STEP)
    # CPU time per call at a moderate rate; the load generator on the same
    # machine would distort a run at full load.
    rate = result["answered"] / max(result["daemon_cpu_s"], 1e-3)
    scope.info(calls_per_core_s=rate, samples=result["answered"])
    correctness(scope, result)
    return rate


def added(options, figures, deployment, fleet, rate, connections):
    """Latency through the daemon minus latency direct, same draws."""
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


def memory(figures, deployment, fleet):
    """Resident memory per idle connection."""
    scope = Scope(figures, "path", deployment.name, "memory", "jujubecart")
    before = fleet.processes.usage("vm-1")[1]
    opened = fleet.open_connections("vm-1", 500)
    time.sleep(0.5)
    after = fleet.processes.usage("vm-1")[1]
    scope.info(bytes_per_idle_connection=(after - before) / len(opened),
               resident_mb=after / 1e6, connections=len(opened))
    for item in opened:
        item.close()
