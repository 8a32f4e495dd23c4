"""Load balancing: steady load, overload, stragglers, server faults."""

import os
import random

from .deployments import capacity
from .figures import Scope
from .fleet import Fleet

# Labels in the report with the policies of the daemon; all but the first are
# baselines.
POLICIES = {"jujubecart": "dispatcher", "two-choices": "two-choices",
            "least-reported": "least-reported", "round-robin": "round-robin",
            "random": "random"}

# Bounds from docs/design.md, section 1.8, by load in percent: p99 and p50 as
# factors of the ideal; minimum share of the gap between the p99 of two-choices
# and the ideal that must be closed.
P99_BOUND = {75: 1.15, 90: 1.25}
GAP_BOUND = {75: 0.60, 90: 0.70}
P50_BOUND = 1.5


def answers(result, *names):
    """Number of requests that ended with one of these answers."""
    return sum(result["answers"].get(name, 0) for name in names)


def correctness(scope, result):
    """Reports the counts that must be 0 in every scenario."""
    record = result["record"]
    scope.add("duplicate_orders", record["duplicate_orders"], 0)
    scope.add("false_not_run", record["false_not_run"], 0)
    scope.add("complete_without_run", record["complete_without_run"], 0)
    scope.add("wrong_responses", answers(result, "wrong"), 0)
    scope.add("unanswered", result["due"] - result["answered"], 0)


def describe(scope, result):
    """Reports values that tell whether a run is meaningful, and plots."""
    latency = result["latency"]
    scope.info(samples=latency["count"], mean_ms=latency.get("mean_ms"),
               load_lateness_p99_ms=result["lateness"].get("p99_ms"),
               load_cpu_s=result["cpu_s"])
    scope.info(**{f"answers_{name}": count
                  for name, count in sorted(result["answers"].items())})
    if "p999_ms" in latency:
        scope.info(p999_ms=latency["p999_ms"])
    scope.series("distribution", result["distribution"])
    scope.series("windows", [[item["at_ms"], item.get("p50_ms"),
                              item.get("p99_ms")]
                             for item in result["windows"]])


def attempts(before, after):
    """Differences between two results of Fleet.backend_stats().

    Returns the requests that arrived at all backend servers, and the health
    probes by (service, second).
    """
    arrivals = sum(after[key]["arrivals"] - before[key]["arrivals"]
                   for key in after)
    probes = {}
    for key, item in after.items():
        known = dict(map(tuple, before[key]["probes"]))
        for second, count in item["probes"]:
            service_second = (item["service"], second)
            probes[service_second] = probes.get(service_second, 0) + count \
                - known.get(second, 0)
    return arrivals, probes


class Decisions:
    """The scenarios of the suite on one deployment."""

    def __init__(self, options, figures, deployment):
        self.options = options
        self.figures = figures
        self.deployment = deployment
        # The load on the first lookup service varies; orders are sent at a
        # constant low rate, 10% of the capacity of their service.
        self.lookup = deployment.services[0]
        self.order = next(spec for spec in deployment.services
                          if spec.kind == "order")
        self.services = (self.lookup, self.order)
        self.length_ms = int(options.seconds * 1000)
        self.steady = {}

    def scope(self, scenario, policy="jujubecart"):
        """Scope for the values of a scenario."""
        return Scope(self.figures, "decisions", self.deployment.name, scenario,
                     policy)

    def fleet(self, scenario, policy="dispatcher"):
        """Fleet with a folder of its own; to be started by `with`."""
        folder = os.path.join(self.options.out, "run",
                              f"{self.deployment.name}-{scenario}-{policy}")
        return Fleet(self.options.build, folder, self.deployment, policy,
                     services=self.services)

    def rates(self, percent):
        """Calls per second of both services; percent applies to lookups."""
        return {self.lookup.name:
                capacity(self.deployment, self.lookup) * percent / 100.0,
                self.order.name:
                capacity(self.deployment, self.order) * 0.1}

    def run(self, fleet, name, percent, length_ms=None, **more):
        """Runs one experiment.

        Returns its result and the backend counters before and after it.
        """
        path = fleet.experiment(name, self.options.seed,
                                length_ms or self.length_ms,
                                self.rates(percent), **more)
        before = fleet.backend_stats()
        result = fleet.load(path)
        return result, before, fleet.backend_stats()

    def run_scenarios(self, only=None):
        """Runs all scenarios, or only those named.

        Any name that starts with "steady" runs all steady loads.
        """
        if not only or any(name.startswith("steady") for name in only):
            self.run_steady()
        for name in ("overload", "straggler", "failfast", "drain", "silent"):
            if not only or name in only:
                getattr(self, name)()

    def run_steady(self):
        """Runs loads of 50%, 75% and 90% under each policy."""
        for label, policy in POLICIES.items():
            with self.fleet("steady", policy) as fleet:
                for percent in (50, 75, 90):
                    result, before, after = self.run(
                        fleet, f"steady{percent}", percent)
                    self.steady[label, percent] = result
                    self.report_attempts(label, percent, result, before, after)
        for label in POLICIES:
            for percent in (50, 75, 90):
                self.compare_steady(label, percent)

    def report_attempts(self, label, percent, result, before, after):
        """Reports the cost of a decision: attempts and health probes per call."""
        scope = self.scope(f"steady{percent}", label)
        bounded = label == "jujubecart"
        arrivals, probes = attempts(before, after)
        calls = max(result["due"], 1)
        scope.add("attempts_per_call", arrivals / calls,
                  1.1 if bounded else None)
        scope.add("probes_per_call", sum(probes.values()) / calls,
                  0.05 if bounded and percent == 75 else None)
        # Seconds with more probes than measure_per_s, which Fleet.service()
        # sets to 10, allows for a service.
        scope.add("probe_budget_overruns",
                  sum(count > 10 for count in probes.values()),
                  0 if bounded else None)

    def compare_steady(self, label, percent):
        """Reports latency compared with the ideal for the same arrivals.

        The ideal is one central queue per service with the same service times.
        """
        scope = self.scope(f"steady{percent}", label)
        result = self.steady[label, percent]
        name = self.lookup.name
        latency = result["services"][name]["latency"]
        ideal = result["ideal"]["services"][name]
        bounded = label == "jujubecart"
        factor = P99_BOUND.get(percent) if bounded else None
        scope.add("p99_ms", latency.get("p99_ms"),
                  factor * ideal["p99_ms"] if factor else None)
        scope.add("p50_ms", latency.get("p50_ms"),
                  P50_BOUND * ideal["p50_ms"]
                  if bounded and percent == 75 else None)
        if bounded:
            two_choices = self.steady["two-choices", percent]
            other_p99 = two_choices["services"][name]["latency"]["p99_ms"]
            gap = other_p99 - ideal["p99_ms"]
            closed = (other_p99 - latency["p99_ms"]) / gap if gap > 0 else None
            scope.add("gap_closed", closed, GAP_BOUND.get(percent), True)
            correctness(scope, result)
            ideal_scope = self.scope(f"steady{percent}", "ideal")
            ideal_scope.info(p99_ms=ideal["p99_ms"], p50_ms=ideal["p50_ms"])
            ideal_scope.series("distribution", result["ideal"]["distribution"])
        describe(scope, result)

    def overload(self):
        """120% load: goodput near capacity; 50% after: no more rejections."""
        length = self.length_ms
        shape = [{"at_ms": 0, "factor": 1.2}, {"at_ms": length, "factor": 0.5}]
        segments = [{"name": "over", "from_ms": 1000, "to_ms": length},
                    {"name": "after", "from_ms": length + 2000,
                     "to_ms": length + 4000}]
        with self.fleet("overload") as fleet:
            result, _, _ = self.run(fleet, "overload", 100, length + 4000,
                                    shape=shape, segments=segments)
        scope = self.scope("overload120")
        over = result["segments"]["over"]["services"][self.lookup.name]
        goodput = over["latency"]["count"] / ((length - 1000) / 1000.0)
        scope.add("goodput_share",
                  goodput / capacity(self.deployment, self.lookup), 0.95, True)
        scope.add("rejection_p50_ms", over["rejection_latency"].get("p50_ms"),
                  20.0)
        after = result["segments"]["after"]
        scope.add("rejections_2s_after",
                  sum(count for name, count in after["answers"].items()
                      if name != "complete"), 0)
        correctness(scope, result)
        describe(scope, result)

    def straggler(self):
        """Each second one server is 10 times slower for 100 to 800 ms."""
        generator = random.Random(self.options.seed)
        with self.fleet("straggler") as fleet:
            baseline, _, _ = self.run(fleet, "without", 75)
            faults = [fleet.fault(at, generator.choice(
                fleet.server_ids(self.lookup)), "slow", factor=10,
                length_ms=generator.randint(100, 800))
                for at in range(1000, self.length_ms, 1000)]
            result, _, _ = self.run(fleet, "straggler", 75, faults=faults)
        scope = self.scope("straggler")
        name = self.lookup.name
        scope.add("p99_ms", result["services"][name]["latency"].get("p99_ms"),
                  1.5 * baseline["services"][name]["latency"]["p99_ms"])
        correctness(scope, result)
        describe(scope, result)

    def failfast(self):
        """One server rejects every request and must soon get few of them."""
        with self.fleet("failfast") as fleet:
            server = fleet.server_ids(self.lookup)[0]
            result, before, after = self.run(
                fleet, "failfast", 75,
                faults=[fleet.fault(2000, server, "failfast")],
                segments=[{"name": "after", "from_ms": 2300,
                           "to_ms": self.length_ms}])
        scope = self.scope("failfast")
        late = after[server]["failfast_arrivals_after_300ms"]
        calls = sum(result["segments"]["after"]["services"][self.lookup.name]
                    ["answers"].values())
        scope.add("calls_share_after_300ms", late / max(calls, 1), 0.01)
        lookups = result["services"][self.lookup.name]["answers"]
        failed = sum(count for key, count in lookups.items()
                     if key != "complete")
        scope.add("lookup_error_share", failed / max(sum(lookups.values()), 1),
                  0.001)
        scope.info(arrivals_rejected=after[server]["rejected"]
                   - before[server]["rejected"])
        correctness(scope, result)
        describe(scope, result)

    def drain(self):
        """One server of each service drains and must get no new requests."""
        length = max(self.length_ms, 7000)
        with self.fleet("drain") as fleet:
            servers = [fleet.server_ids(spec)[0] for spec in self.services]
            result, _, after = self.run(
                fleet, "drain", 75, length,
                faults=[fleet.fault(2000, server, "drain")
                        for server in servers])
        scope = self.scope("drain")
        scope.add("new_work_after_3s", sum(
            after[server]["after_drain_3s"] for server in servers), 0)
        scope.add("cut_off", answers(result, "cut", "silent", "unknown"), 0)
        scope.info(last_arrival_ms=max(
            after[server]["last_arrival_after_drain_ms"]
            for server in servers))
        correctness(scope, result)
        describe(scope, result)

    def silent(self):
        """Open connections of one server of each service go silent."""
        length = max(self.length_ms, 11000)
        with self.fleet("silent") as fleet:
            servers = [fleet.server_ids(spec)[0] for spec in self.services]
            result, _, _ = self.run(
                fleet, "silent", 75, length,
                faults=[fleet.fault(2000, server, "silent")
                        for server in servers])
        scope = self.scope("silent")
        lookups = result["services"][self.lookup.name]
        total = sum(lookups["answers"].values())
        late = total - lookups["latency"]["count"]
        # p99.9 within the deadline means that at most one call in a thousand
        # gets no complete response. Fewer than 10,000 calls cannot show this
        # and fail.
        scope.add("lookups_without_response_share",
                  late / total if total >= 10000 else None, 0.001)
        correctness(scope, result)
        describe(scope, result)


