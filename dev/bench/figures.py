"""Collects measured values, prints one line each and writes bench.json."""

import json
import os


class Figures:
    """All measured values and plot data of one run of the benchmark."""

    def __init__(self, folder):
        self.folder = folder
        self.items = []
        self.series = []
        os.makedirs(folder, exist_ok=True)

    def add(self, suite, deployment, scenario, policy, measure, value,
            bound=None, at_least=False):
        """Adds and prints a value; its verdict is info, pass or fail.

        The bound is a maximum, or a minimum if at_least is set. Without a
        bound the verdict is info. A value that could not be measured (None)
        fails if it has a bound.
        """
        if bound is None:
            verdict = "info"
        elif value is None:
            verdict = "fail"
        else:
            verdict = "pass" if (value >= bound if at_least
                                 else value <= bound) else "fail"
        item = {"suite": suite, "deployment": deployment, "scenario": scenario,
                "policy": policy, "measure": measure, "value": value,
                "bound": bound, "verdict": verdict}
        self.items.append(item)
        print(self.line(item), flush=True)

    @staticmethod
    def line(item):
        """Formats an item as key=value pairs."""
        def text(value):
            if value is None:
                return "none"
            return f"{value:.6g}" if isinstance(value, float) else str(value)
        return " ".join(f"{key}={text(value)}" for key, value in item.items())

    def add_series(self, kind, deployment, scenario, policy, points):
        """Adds one curve for the plots of this kind in the report."""
        self.series.append({"kind": kind, "deployment": deployment,
                            "scenario": scenario, "policy": policy,
                            "points": points})

    def write(self, settings):
        """Writes bench.json; returns its path."""
        path = os.path.join(self.folder, "bench.json")
        with open(path, "w", encoding="utf-8") as output:
            json.dump({"settings": settings, "figures": self.items,
                       "series": self.series}, output, indent=1)
        return path

    def failed(self):
        """Whether any value misses its bound."""
        return any(item["verdict"] == "fail" for item in self.items)


class Scope:
    """Adds values of one suite, deployment, scenario and policy."""

    def __init__(self, figures, suite, deployment, scenario, policy):
        self.figures = figures
        self.names = (suite, deployment, scenario, policy)

    def add(self, measure, value, bound=None, at_least=False):
        """Adds a value; see Figures.add()."""
        self.figures.add(*self.names, measure, value, bound, at_least)

    def info(self, **values):
        """Adds values without bounds, as measure=value."""
        for measure, value in values.items():
            self.add(measure, value)

    def series(self, kind, points):
        """Adds one curve; see Figures.add_series()."""
        self.figures.add_series(kind, *self.names[1:], points)
