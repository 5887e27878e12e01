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
from orchidgap.simulation.plan import KINDS, OPS_KINDS, Plan, Trouble, checked
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
    kinds = KINDS + (
        OPS_KINDS if any(trouble.kind in OPS_KINDS for trouble in plan.trouble) else ()
    )
    troubles = [
        trouble_of(rng, plan.seconds, kinds) for _ in range(rng.choice((1, 1, 2, 2, 3, 4, 5)))
    ]
    return msgspec.structs.replace(
        plan,
        seed=rng.randrange(1 << 31),
        balancers=rng.randrange(1, max(2, plan.balancers * 2)),
        caches=rng.randrange(max(1, plan.caches // 2), plan.caches + 3),
        rate=round(plan.rate * rng.uniform(0.4, 1.3), 1),
        cache=msgspec.structs.replace(
            plan.cache, zones=rng.choice((1, 1, 2, 3)), errors=rng.choice((0.0, 0.0, 0.01))
        ),
        callers=msgspec.structs.replace(
            plan.callers,
            retries=rng.randrange(3),
            impatient=rng.choice((0.0, 0.0, 0.03)),
            shape=rng.choice(("steady", "ramp", "wave")),
        ),
        ceilings=msgspec.structs.replace(
            plan.ceilings, may_double=rng.random() < 0.7, may_cancel=rng.random() < 0.8
        ),
        trouble=tuple(sorted(troubles, key=lambda trouble: trouble.at_s)),
    )


def trouble_of(rng: Random, seconds: float, kinds: tuple[str, ...] = KINDS) -> Trouble:
    kind = rng.choice(kinds)
    low, high = SIZES.get(kind, (0, 0))
    return Trouble(
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
    for i in range(len(plan.trouble)):
        yield replace(plan, trouble=plan.trouble[:i] + plan.trouble[i + 1 :])
    last = max((trouble.at_s for trouble in plan.trouble), default=0.0)
    for seconds in (round(plan.seconds / 2, 1), round(plan.seconds * 0.8, 1)):
        if seconds > max(2.0, last):
            yield replace(plan, seconds=seconds)
    if plan.balancers > 1:
        yield replace(plan, balancers=1)
        yield replace(plan, balancers=plan.balancers - 1)
    if plan.caches > 1:
        yield replace(plan, caches=max(1, plan.caches // 2))
        yield replace(plan, caches=plan.caches - 1)
    if plan.rate > 10:
        yield replace(plan, rate=round(plan.rate / 2, 1))
    if plan.callers.impatient or plan.callers.shape != "steady":
        yield replace(plan, callers=replace(plan.callers, impatient=0.0, shape="steady"))
    if plan.cache.errors or plan.cache.zones > 1:
        yield replace(plan, cache=replace(plan.cache, errors=0.0, zones=1))


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
    return checked(msgspec.to_builtins(msgspec.structs.replace(plan, name=name, about=about)))
