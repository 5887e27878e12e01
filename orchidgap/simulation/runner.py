"""Plays a plan once and keeps what the report needs."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec

from orchidgap.simulation.baselines import NAMES
from orchidgap.simulation.load_evenness import by_second
from orchidgap.simulation.plan import BadPlan, Plan, checked, written
from orchidgap.simulation.simulation import Scene, VirtualPost

TRY = checked(
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


def scene_of(
    plan: Plan, seed: int | None = None, real: bool = False, policy: str = "orchidgap"
) -> Scene:
    """Raises BadPlan where that policy or ground is not to be had."""
    if policy not in NAMES:
        raise BadPlan(f"no policy {policy!r}: one of {', '.join(NAMES)}")
    if policy == "oracle" and real:
        raise BadPlan("the oracle sees the stand-ins' state, which a process of its own cannot")
    return Scene(plan, seed, real, policy)


def play(
    plan: Plan,
    seed: int | None = None,
    real: bool = False,
    policy: str = "orchidgap",
    tick: Callable[[float], None] | None = None,
) -> tuple[dict[str, Any], Scene]:
    """One trial: its verdict and what is left of it to look at."""
    scene = scene_of(plan, seed, real, policy)
    return scene.play(tick), scene


def kept(scene: Scene, verdict: dict[str, Any]) -> dict[str, Any]:
    """What a report is drawn from, as plain values."""
    referee = scene.referee
    return {
        "plan": written(scene.plan),
        "seed": scene.seed,
        "policy": scene.policy,
        "real": not scene.ground.virtual,
        "verdict": verdict,
        "seconds": {str(second): row for second, row in sorted(referee.seconds.items())},
        "waits": {str(second): sorted(row) for second, row in sorted(referee.waits.items())},
        "denials": {str(second): count for second, count in sorted(referee.denials.items())},
        "series": [[at / 1e6, rows] for at, rows in referee.series],
        "reads": by_second(scene),
        "events": referee.events,
        "breaches": referee.breaches,
        "modes": [
            [post.name, at, event, str(facts.get("what", facts))]
            for post in scene.posts.values()
            if isinstance(post, VirtualPost)
            for at, event, facts in post.log.lines
        ][:2_000],
    }


def keep(folder: Path, scene: Scene, verdict: dict[str, Any]) -> None:
    folder.mkdir(parents=True, exist_ok=True)
    (folder / "trial.json").write_bytes(msgspec.json.encode(kept(scene, verdict)))
    (folder / "plan.toml").write_text(written(scene.plan))
