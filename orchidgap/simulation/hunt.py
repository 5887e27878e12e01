"""Draws random plans and faults, finds breaches and losses, and shrinks the plans that show them.

Each run is determined by its number: run 17 of a plan is the same run on any machine.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor
from random import Random
from typing import Any

import msgspec

from orchidgap.simulation.invariant_checker import RULES
from orchidgap.simulation.plan import FAULT_KINDS, OPERATOR_FAULT_KINDS, Fault, Plan
from orchidgap.simulation.plan_file import validate_plan
from orchidgap.simulation.runner import play

BASELINES = ("random", "ring", "bounded-ring", "least-out")
# number of runs, those with the lowest service, that the baselines play too
BASELINE_RUNS = 8
KEPT_LOSS_RATIO = 0.6  # part of a loss that a smaller plan must still show
MAX_SHRINK_PLAYS = 60  # simulations per plan that is shrunk
MAGNITUDE_RANGES = {
    "stall": (0.2, 1.2),
    "slow": (2, 8),
    "scan": (0.05, 0.4),
    "hot-key": (0.1, 0.5),
    "hot-tenant": (2, 6),
    "lopsided": (0.4, 0.9),
    "discovery-late": (1, 8),
    "spoilt": (0.05, 0.6),
    "bad-clients": (5, 80),
    "slow-origin": (2, 8),
    "load": (1.5, 4.5),
}


def draw_plan(plan: Plan, number: int) -> Plan:
    """Return the plan of run `number`: a random fleet and load, and one to five faults."""
    rng = Random(f"{plan.seed} {number}")
    kinds = FAULT_KINDS + (
        OPERATOR_FAULT_KINDS
        if any(fault.kind in OPERATOR_FAULT_KINDS for fault in plan.faults)
        else ()
    )
    faults = [
        draw_fault(rng, plan.duration_s, kinds) for _ in range(rng.choice((1, 1, 2, 2, 3, 4, 5)))
    ]
    return msgspec.structs.replace(
        plan,
        seed=rng.randrange(1 << 31),
        balancer_count=rng.randrange(1, max(2, plan.balancer_count * 2)),
        cache_count=rng.randrange(max(1, plan.cache_count // 2), plan.cache_count + 3),
        request_rate=round(plan.request_rate * rng.uniform(0.4, 1.3), 1),
        cache=msgspec.structs.replace(
            plan.cache, zones=rng.choice((1, 1, 2, 3)), error_ratio=rng.choice((0.0, 0.0, 0.01))
        ),
        clients=msgspec.structs.replace(
            plan.clients,
            max_retries=rng.randrange(3),
            impatient_ratio=rng.choice((0.0, 0.0, 0.03)),
            load_shape=rng.choice(("steady", "ramp", "wave")),
        ),
        limits=msgspec.structs.replace(
            plan.limits, may_hedge=rng.random() < 0.7, may_cancel=rng.random() < 0.8
        ),
        faults=tuple(sorted(faults, key=lambda fault: fault.start_s)),
    )


def draw_fault(rng: Random, seconds: float, kinds: tuple[str, ...] = FAULT_KINDS) -> Fault:
    """Return a fault of random kind, time and magnitude in a run of `seconds`."""
    kind = rng.choice(kinds)
    low, high = MAGNITUDE_RANGES.get(kind, (0, 0))
    return Fault(
        kind,
        round(rng.uniform(0.05, 0.6) * seconds, 1),
        round(rng.uniform(0.05, 0.4) * seconds, 1),
        round(rng.uniform(0.1, 0.6), 2),
        "",
        round(rng.uniform(low, high), 2),
    )


def play_verdict(job: tuple[Plan, str]) -> dict[str, Any]:
    """Simulate a plan with a policy and return its verdict.

    A simulation that raises an exception is a finding too, with the verdict `failed`.
    """
    plan, policy = job
    try:
        return play(plan, policy=policy)[0]
    except Exception as error:  # noqa: BLE001  # any failure is a finding
        return {
            "verdict": "failed",
            "what": f"{type(error).__name__}: {error}",
            "service": 0.0,
            "reqs": 0,
            "trace": "",
            "faults": 0,
        } | dict.fromkeys(RULES, 0)


def failure_kind(verdict: dict[str, Any]) -> str:
    """Return the words for what is wrong in a verdict: broken rules, or `fault`; "" for nothing.

    A smaller plan must still show one of these words.
    """
    if verdict["verdict"] == "failed":
        return f"failed {verdict['what'].partition(':')[0]}"
    return " ".join([rule for rule in RULES if verdict[rule]] + ["fault"] * bool(verdict["faults"]))


def hunt(
    plan: Plan,
    runs: int,
    jobs: int,
    first: int = 0,
    on_verdict: Callable[[int, dict[str, Any]], None] | None = None,
) -> dict[str, Any]:
    """Simulate the runs, then the baselines on the runs with the lowest service.

    Args:
        plan: The plan that the drawn plans vary.
        runs: The number of runs.
        jobs: The number of processes that simulate in parallel.
        first: The number of the first run.
        on_verdict: Called with each run's number and verdict, in order.

    Returns:
        The broken runs, the mean service, and the losses to baselines, the largest first.
    """
    found: list[tuple[int, dict[str, Any]]] = []
    numbers = range(first, first + runs)
    with ProcessPoolExecutor(jobs) as pool:
        plays = ((draw_plan(plan, number), "orchidgap") for number in numbers)
        for number, verdict in zip(numbers, pool.map(play_verdict, plays)):
            found.append((number, verdict))
            if on_verdict:
                on_verdict(number, verdict)
        kept = (item for item in found if item[1]["verdict"] == "kept")
        worst = sorted(kept, key=lambda item: item[1]["service"])
        rows = [
            _compare_with_baselines(pool, plan, number, verdict)
            for number, verdict in worst[:BASELINE_RUNS]
        ]
    rows.sort(key=lambda row: -row["loss"])
    return {
        "runs": runs,
        "broken": [item for item in found if item[1]["verdict"] != "kept"],
        "losses": rows,
        "mean": sum(verdict["service"] for _, verdict in found) / max(1, runs),
    }


def _compare_with_baselines(
    pool: ProcessPoolExecutor, plan: Plan, number: int, verdict: dict[str, Any]
) -> dict[str, Any]:
    """Return a run's loss of service to the best baseline that kept the rules."""
    plays = ((draw_plan(plan, number), name) for name in BASELINES)
    verdicts = dict(zip(BASELINES, pool.map(play_verdict, plays)))
    services = {
        name: other["service"] for name, other in verdicts.items() if other["verdict"] == "kept"
    }
    none_kept = ("none kept the rules", 0.0)
    best, best_service = max(services.items(), key=lambda item: item[1], default=none_kept)
    return {
        "run": number,
        "service": verdict["service"],
        "best": best,
        "best_service": best_service,
        "loss": round(best_service - verdict["service"], 4),
    }


def smaller_plans(plan: Plan) -> Iterator[Plan]:
    """Yield plans that are one step smaller, the largest steps first."""
    replace = msgspec.structs.replace
    for i in range(len(plan.faults)):
        yield replace(plan, faults=plan.faults[:i] + plan.faults[i + 1 :])
    last = max((fault.start_s for fault in plan.faults), default=0.0)
    for seconds in (round(plan.duration_s / 2, 1), round(plan.duration_s * 0.8, 1)):
        if seconds > max(2.0, last):
            yield replace(plan, duration_s=seconds)
    if plan.balancer_count > 1:
        yield replace(plan, balancer_count=1)
        yield replace(plan, balancer_count=plan.balancer_count - 1)
    if plan.cache_count > 1:
        yield replace(plan, cache_count=max(1, plan.cache_count // 2))
        yield replace(plan, cache_count=plan.cache_count - 1)
    if plan.request_rate > 10:
        yield replace(plan, request_rate=round(plan.request_rate / 2, 1))
    if plan.clients.impatient_ratio or plan.clients.load_shape != "steady":
        yield replace(plan, clients=replace(plan.clients, impatient_ratio=0.0, load_shape="steady"))
    if plan.cache.error_ratio or plan.cache.zones > 1:
        yield replace(plan, cache=replace(plan.cache, error_ratio=0.0, zones=1))


def shrink_plan(
    plan: Plan, still_shows: Callable[[Plan], bool], max_plays: int = MAX_SHRINK_PLAYS
) -> tuple[Plan, int]:
    """Return the smallest plan found that still shows the finding, and the number of plays."""
    plays, has_shrunk = 0, True
    while has_shrunk and plays < max_plays:
        has_shrunk = False
        for candidate in smaller_plans(plan):
            if plays >= max_plays:
                break
            plays += 1
            if still_shows(candidate):
                plan, has_shrunk = candidate, True
                break
    return plan, plays


def breaks_like(kind: str) -> Callable[[Plan], bool]:
    """Return a predicate for plans: whether a plan shows a word of a failure kind."""
    words = kind.split()
    return lambda plan: any(
        word in failure_kind(play_verdict((plan, "orchidgap"))).split() for word in words
    )


def loses_like(best: str, loss: float) -> Callable[[Plan], bool]:
    """Return a predicate for plans: whether a plan shows most of a loss to a baseline."""

    def still_shows(plan: Plan) -> bool:
        ours, other = play_verdict((plan, "orchidgap")), play_verdict((plan, best))
        return bool(
            other["verdict"] == "kept"
            and other["service"] - ours["service"] >= KEPT_LOSS_RATIO * loss
        )

    return still_shows


def name_plan(plan: Plan, name: str, description: str) -> Plan:
    """Return the plan with another name and description; raise ScenarioError if invalid."""
    return validate_plan(
        msgspec.to_builtins(msgspec.structs.replace(plan, name=name, description=description))
    )
