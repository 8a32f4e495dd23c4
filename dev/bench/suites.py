"""The suites by name; scripts/bench --list prints their docstrings."""

from .suite_control import run_control
from .suite_decisions import Decisions
from .suite_path import run_path
from .suite_rolling import run_rolling


def run_decisions(options, figures, deployment):
    """Latency and invariants under steady load and faults, and baselines."""
    Decisions(options, figures, deployment).run_scenarios(options.scenario)


SUITES = {"path": run_path, "decisions": run_decisions,
          "control": run_control, "rolling": run_rolling}
