"""Runs a plan once and writes the data of its report."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec

from orchidgap.errors import ScenarioError
from orchidgap.simulation.balancer_instance import VirtualBalancer
from orchidgap.simulation.baselines import POLICY_NAMES
from orchidgap.simulation.load_evenness import reads_by_second
from orchidgap.simulation.plan import Plan
from orchidgap.simulation.plan_file import format_plan, validate_plan
from orchidgap.simulation.simulation import Simulation

MAX_LOG_RECORDS_KEPT = 2_000

# plan of the command `orchidgap try`
TRY_PLAN = validate_plan(
    {
        "name": "try",
        "about": "Three caches, one of which dies half way.",
        "seconds": 10.0,
        "balancers": 1,
        "caches": 3,
        "rate": 60.0,
        "trouble": [{"kind": "crash", "at-s": 5.0, "for-s": 3.0, "target": "c01"}],
    }
)


def simulation_of(
    plan: Plan, seed: int | None = None, real: bool = False, policy: str = "orchidgap"
) -> Simulation:
    """Return a simulation of a plan without running it; with `real` it runs on loopback.

    Raises:
        ScenarioError: the policy is unknown, or cannot run on loopback.
    """
    if policy not in POLICY_NAMES:
        raise ScenarioError(f"no policy {policy!r}: one of {', '.join(POLICY_NAMES)}")
    if policy == "oracle" and real:
        raise ScenarioError(
            "the oracle reads the simulated hosts' state, which a separate process cannot"
        )
    return Simulation(plan, seed, real, policy)


def play(
    plan: Plan,
    seed: int | None = None,
    real: bool = False,
    policy: str = "orchidgap",
    tick: Callable[[float], None] | None = None,
) -> tuple[dict[str, Any], Simulation]:
    """Run a plan; return the verdict and the finished simulation.

    `tick` is called once per simulated second with the seconds since the start. Raises
    ScenarioError.
    """
    simulation = simulation_of(plan, seed, real, policy)
    return simulation.play(tick), simulation


def log_rows(simulation: Simulation) -> list[list[Any]]:
    """Return the balancers' first log records: name, seconds, event, and its `what` or fields."""
    rows = [
        [balancer.name, record.at_s, record.event, str(record.facts.get("what", record.facts))]
        for balancer in simulation.balancers.values()
        if isinstance(balancer, VirtualBalancer)
        for record in balancer.log.records
    ]
    return rows[:MAX_LOG_RECORDS_KEPT]


def report_document(simulation: Simulation, verdict: dict[str, Any]) -> dict[str, Any]:
    """Return the data of a report as plain values; the keys are those of `trial.json`."""
    checker = simulation.invariant_checker
    return {
        "plan": format_plan(simulation.plan),
        "seed": simulation.seed,
        "policy": simulation.policy,
        "real": not simulation.network.virtual,
        "verdict": verdict,
        "seconds": {str(second): row for second, row in sorted(checker.value_by_second.items())},
        "waits": {
            str(second): sorted(row) for second, row in sorted(checker.latencies_by_second.items())
        },
        "denials": {
            str(second): count for second, count in sorted(checker.rejections_by_second.items())
        },
        "series": [[at_us / 1e6, rows] for at_us, rows in checker.series],
        "reads": reads_by_second(simulation),
        "events": checker.events,
        "breaches": checker.breaches,
        "modes": log_rows(simulation),
    }


def write_recording(folder: Path, simulation: Simulation, verdict: dict[str, Any]) -> None:
    """Write `trial.json` and `plan.toml` into a folder. Raises OSError."""
    folder.mkdir(parents=True, exist_ok=True)
    document = msgspec.json.encode(report_document(simulation, verdict))
    (folder / "trial.json").write_bytes(document)
    (folder / "plan.toml").write_text(format_plan(simulation.plan))
