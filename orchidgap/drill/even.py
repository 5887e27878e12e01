"""How even a stretch of a drill was, by what stand-in caches and clients saw."""

from __future__ import annotations

from typing import Any

from orchidgap.decisions import spread
from orchidgap.trial.faces import Scene

LEASTS = ("least", "served")  # of what a plan may expect; the others are bounded from above


def figures(scene: Scene, since: int, until: int) -> dict[str, float]:
    """Of the caches that run at the end. `most` and `least` are shares of the even one, `idle-s` the longest
    time in which one of them got nothing, `copies` the caches that keep a key, `moved` the part of reads that
    came to another cache than the key's read before, `p99-ms` of the slowest cache."""
    caches = {id: store for id, store in scene.stores.items() if not store.is_origin and store.alive}
    reads: list[tuple[int, str, int]] = []
    took: dict[str, list[int]] = {id: [] for id in caches}
    fetches = 0
    for ask in scene.referee.asks.values():
        if ask.op.work.write or not since <= ask.came < until:
            continue
        for sent in ask.sent:
            if ask.answered_at and sent.first_at > ask.answered_at:
                continue  # it lay before a host that said nothing
            if sent.host in caches:
                reads.append((sent.first_at, sent.host, ask.op.key))
                if sent.ended_at:
                    took[sent.host].append(sent.ended_at - sent.first_at)
            elif scene.stores[sent.host].is_origin:
                fetches += 1
    times: dict[str, list[int]] = {id: [] for id in caches}
    for at, id, _ in reads:
        times[id].append(at)
    share = spread.shares({id: len(row) for id, row in times.items()}, dict.fromkeys(caches, 1.0))
    ops = [op for op in scene.referee.ops if op.counts and since <= op.born < until]
    asked = sum(not op.work.write for op in ops)
    slowest = [sorted(row)[len(row) * 99 // 100] for row in took.values() if row]
    found: dict[str, float] = {
        "most": max(share.values(), default=0.0), "least": min(share.values(), default=0.0),
        "herd": spread.herd(times.values(), since, until),
        "idle-s": max((spread.idle(row, since, until) for row in times.values()), default=0) / 1e6,
        "copies": spread.copies((store.kept for store in caches.values()), {key for _, _, key in reads}),
        "moved": spread.moved(reads), "served": scene.referee.value(ops),
        "fetches": fetches / asked if asked else 0.0, "p99-ms": max(slowest, default=0) / 1e3,
    }
    return {name: round(value, 3) for name, value in found.items()} | {"reads": asked}


def unlike(found: dict[str, float], expected: dict[str, Any]) -> list[str]:
    """What is not as it was to be, in words.

    >>> unlike({"most": 1.3, "least": 0.9}, {"most": 1.25, "least": 0.85})
    ['most 1.3, over 1.25']
    """
    return [f"{name} {found[name]:g}, {'under' if name in LEASTS else 'over'} {bound:g}"
            for name, bound in expected.items()
            if (found[name] < bound if name in LEASTS else found[name] > bound)]
