"""Draws plans and mixes of troubles, finds breaches and losses, and shrinks them to plans that replay.

Every run comes from a number alone: run 17 of a plan is the same run on any machine.
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
WORST = 8  # of the runs with the largest losses, that the baselines play too
KEPT_LOSS = 0.6  # of a loss that a smaller plan must still show
SHRINKS = 60  # plays that one shrinking may take
SIZES = {
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


def drawn(plan: Plan, number: int) -> Plan:
    """Run `number` of a hunt: another fleet, another load, one to five troubles."""
    rng = Random(f"{plan.seed} {number}")
    kinds = FAULT_KINDS + (
        OPERATOR_FAULT_KINDS
        if any(trouble.kind in OPERATOR_FAULT_KINDS for trouble in plan.faults)
        else ()
    )
    troubles = [
        trouble_of(rng, plan.duration_s, kinds) for _ in range(rng.choice((1, 1, 2, 2, 3, 4, 5)))
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
        faults=tuple(sorted(troubles, key=lambda trouble: trouble.start_s)),
    )


def trouble_of(rng: Random, seconds: float, kinds: tuple[str, ...] = FAULT_KINDS) -> Fault:
    kind = rng.choice(kinds)
    low, high = SIZES.get(kind, (0, 0))
    return Fault(
        kind,
        round(rng.uniform(0.05, 0.6) * seconds, 1),
        round(rng.uniform(0.05, 0.4) * seconds, 1),
        round(rng.uniform(0.1, 0.6), 2),
        "",
        round(rng.uniform(low, high), 2),
    )


def verdict_of(job: tuple[Plan, str]) -> dict[str, Any]:
    """One play, in a process of its own; a play that fails is a finding too."""
    plan, policy = job
    try:
        return play(plan, policy=policy)[0]
    except Exception as trouble:
        return {
            "verdict": "failed",
            "what": f"{type(trouble).__name__}: {trouble}",
            "service": 0.0,
            "reqs": 0,
            "trace": "",
            "faults": 0,
        } | dict.fromkeys(RULES, 0)


def sort_of(verdict: dict[str, Any]) -> str:
    """What is wrong with it: the rules broken, in a word that a smaller plan must still earn."""
    if verdict["verdict"] == "failed":
        return f"failed {verdict['what'].partition(':')[0]}"
    return " ".join([rule for rule in RULES if verdict[rule]] + ["fault"] * bool(verdict["faults"]))


def hunt(
    plan: Plan,
    runs: int,
    jobs: int,
    first: int = 0,
    seen: Callable[[int, dict[str, Any]], None] | None = None,
) -> dict[str, Any]:
    """Plays the runs, then the baselines on the worst; what was found, the worst first."""
    found: list[tuple[int, dict[str, Any]]] = []
    numbers = range(first, first + runs)
    with ProcessPoolExecutor(jobs) as pool:
        for number, verdict in zip(
            numbers, pool.map(verdict_of, ((drawn(plan, n), "orchidgap") for n in numbers))
        ):
            found.append((number, verdict))
            if seen:
                seen(number, verdict)
        broken = [(number, verdict) for number, verdict in found if verdict["verdict"] != "kept"]
        worst = sorted(
            (item for item in found if item[1]["verdict"] == "kept"),
            key=lambda item: item[1]["service"],
        )
        rows = []
        for number, verdict in worst[:WORST]:
            others = dict(
                zip(
                    BASELINES,
                    pool.map(verdict_of, ((drawn(plan, number), name) for name in BASELINES)),
                )
            )
            keeps = {
                name: other["service"]
                for name, other in others.items()
                if other["verdict"] == "kept"
            }
            best = max(
                keeps.items(), key=lambda item: item[1], default=("none kept the rules", 0.0)
            )
            rows.append(
                {
                    "run": number,
                    "service": verdict["service"],
                    "best": best[0],
                    "best_service": best[1],
                    "loss": round(best[1] - verdict["service"], 4),
                }
            )
    rows.sort(key=lambda row: -row["loss"])
    return {
        "runs": runs,
        "broken": broken,
        "losses": rows,
        "mean": sum(verdict["service"] for _, verdict in found) / max(1, runs),
    }


def smaller(plan: Plan) -> Iterator[Plan]:
    """Plans that are one step smaller, the largest steps first."""
    replace = msgspec.structs.replace
    for i in range(len(plan.faults)):
        yield replace(plan, faults=plan.faults[:i] + plan.faults[i + 1 :])
    last = max((trouble.start_s for trouble in plan.faults), default=0.0)
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


def shrink(plan: Plan, still: Callable[[Plan], bool], most: int = SHRINKS) -> tuple[Plan, int]:
    """The smallest plan found that still shows it, and how many plays that took."""
    plays, again = 0, True
    while again and plays < most:
        again = False
        for candidate in smaller(plan):
            if plays >= most:
                break
            plays += 1
            if still(candidate):
                plan, again = candidate, True
                break
    return plan, plays


def breaks_as(sort: str) -> Callable[[Plan], bool]:
    """Whether a plan still earns one of the words."""
    words = sort.split()
    return lambda plan: any(
        word in sort_of(verdict_of((plan, "orchidgap"))).split() for word in words
    )


def loses_as(best: str, loss: float) -> Callable[[Plan], bool]:
    """Whether a plan still shows most of that loss against the same baseline."""

    def still(plan: Plan) -> bool:
        ours, other = verdict_of((plan, "orchidgap")), verdict_of((plan, best))
        return bool(
            other["verdict"] == "kept" and other["service"] - ours["service"] >= KEPT_LOSS * loss
        )

    return still


def named(plan: Plan, name: str, about: str) -> Plan:
    return validate_plan(
        msgspec.to_builtins(msgspec.structs.replace(plan, name=name, description=about))
    )
