"""Rolling replacement: restarts every entry VM in turn under load."""

import os
import threading
import time

from .deployments import capacity
from .figures import Scope
from .fleet import Fleet
from .suite_decisions import answers, correctness, describe

# Time for callers and the platform's load balancer to use the new VM before
# the next one is stopped.
PAUSE_S = 0.3


def replace_all(fleet, statuses):
    """Stops each VM with SIGTERM and restarts it, one after the other.

    Appends the exit status of each to statuses.
    """
    for vm in list(fleet.vms):
        statuses.append(fleet.processes.stop(vm, timeout=15.0))
        fleet.start_vm(vm)
        fleet.wait_ready([vm])
        time.sleep(PAUSE_S)


def run_rolling(options, figures, deployment):
    """Replaces all entry VMs at 75% load; no response may be cut off."""
    lookup = deployment.services[0]
    order = next(spec for spec in deployment.services if spec.kind == "order")
    rates = {lookup.name: capacity(deployment, lookup) * 0.75,
             order.name: capacity(deployment, order) * 0.1}
    length_ms = max(int(options.seconds * 1000), 1500 * deployment.vms)
    folder = os.path.join(options.out, "run", f"{deployment.name}-rolling")
    statuses = []
    with Fleet(options.build, folder, deployment,
               services=(lookup, order)) as fleet:
        baseline = fleet.load(fleet.experiment(
            "without", options.seed, length_ms, rates))
        replacing = threading.Thread(target=replace_all,
                                     args=(fleet, statuses), daemon=True)
        path = fleet.experiment("rolling", options.seed, length_ms, rates)
        replacing.start()
        result = fleet.load(path)
        replacing.join(timeout=60.0)
    scope = Scope(figures, "rolling", deployment.name, "rolling75",
                  "jujubecart")
    scope.add("replaced", len(statuses), deployment.vms, True)
    scope.add("exit_status_not_0", sum(item != 0 for item in statuses), 0)
    scope.add("cut_off", answers(result, "cut", "silent", "unknown"), 0)
    name = lookup.name
    scope.add("p99_ms", result["services"][name]["latency"].get("p99_ms"),
              1.5 * baseline["services"][name]["latency"]["p99_ms"])
    correctness(scope, result)
    describe(scope, result)
