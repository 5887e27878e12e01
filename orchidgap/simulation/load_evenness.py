"""How even a stretch of a trial or a drill was, by what stand-in caches and clients saw."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Any

from orchidgap.decisions import load_skew
from orchidgap.simulation.environment import Environment
from orchidgap.simulation.observations import ClientAttempt, HostAttempt, Operation
from orchidgap.simulation.plan import EvennessBounds, milliseconds_to_us
from orchidgap.simulation.verdict import service_ratio

LEASTS = ("least", "served")  # of what a plan may expect; the others are bounded from above


class PhaseRecorder:
    """The stretches of one run, one after another; each has a name."""

    def __init__(self, environment: Environment, expect: tuple[EvennessBounds, ...]) -> None:
        self.environment, self.expect = environment, expect
        self.found: dict[str, dict[str, float]] = {}  # figures by name
        self.times: dict[str, tuple[int, int]] = {}  # since when, until when
        self.runs: tuple[str, int] = "", 0  # the one that does, since when

    def begin(self, name: str) -> None:
        """The one before ends, and is looked at while its caches are as they were."""
        old, since = self.runs
        self.runs = name, self.environment.loop.now
        if old:
            self.times[old] = since, self.environment.loop.now
            self.found[old] = figures(self.environment, *self.times[old])

    def judge(self, breach: Callable[[str, int, str], None]) -> dict[str, dict[str, float]]:
        """At the end: what was still out when a stretch ended counts as it came out."""
        self.begin("")
        for name, (since, until) in self.times.items():
            self.found[name]["served"] = round(served(self.environment, since, until), 3)
            for one in self.expect:
                if one.phase == name:
                    for text in unlike(self.found[name], one.figures()):
                        breach("uneven", until, f"{name}: {text}")
        return self.found


def asked(environment: Environment, since: int, until: int) -> list[Operation]:
    return [
        op
        for op in environment.referee.operations
        if op.counted and since <= op.created_at_us < until
    ]


def served(environment: Environment, since: int, until: int) -> float:
    """Value in time, of all that may not yet come in time."""
    now = environment.loop.now
    return service_ratio(
        op
        for op in asked(environment, since, until)
        if op.completed_at_us
        or now - op.created_at_us > milliseconds_to_us(op.request_class.latency_objective_ms)
    )


def dispatches(
    environment: Environment, since: int, until: int
) -> Iterator[tuple[ClientAttempt, HostAttempt]]:
    """Reads that hosts were sent."""
    for ask in environment.referee.client_attempts.values():
        if not ask.operation.request_class.write and since <= ask.arrived_at_us < until:
            for sent in ask.host_attempts:
                # what came after the answer lay before a host that said nothing
                if not ask.answered_at_us or sent.first_byte_at_us <= ask.answered_at_us:
                    yield ask, sent


def figures(environment: Environment, since: int, until: int) -> dict[str, float]:
    """Of the caches that run at the end. `most` and `least` are shares of the even one, `idle-s` the longest
    time in which one of them got nothing, `copies` the caches that keep a key, `moved` the part of reads that
    came to another cache than the key's read before, `p99-ms` of the slowest cache."""
    caches = {
        id: store
        for id, store in environment.servers.items()
        if not store.is_origin and store.alive
    }
    reads: list[load_skew.CacheRead] = []
    took: dict[str, list[int]] = {id: [] for id in caches}
    fetches = 0
    for ask, sent in dispatches(environment, since, until):
        if sent.host in caches:
            reads.append(load_skew.CacheRead(sent.first_byte_at_us, sent.host, ask.operation.key))
            if sent.ended_at_us:
                took[sent.host].append(sent.ended_at_us - sent.first_byte_at_us)
        elif environment.servers[sent.host].is_origin:
            fetches += 1
    times: dict[str, list[int]] = {id: [] for id in caches}
    for at, id, _ in reads:
        times[id].append(at)
    share = load_skew.load_ratios(
        {id: len(row) for id, row in times.items()}, dict.fromkeys(caches, 1.0)
    )
    count = sum(not op.request_class.write for op in asked(environment, since, until))
    slowest = [sorted(row)[len(row) * 99 // 100] for row in took.values() if row]
    found: dict[str, float] = {
        "most": max(share.values(), default=0.0),
        "least": min(share.values(), default=0.0),
        "herd": load_skew.herd_ratio(times.values(), since, until),
        "idle-s": max(
            (load_skew.longest_idle_us(row, since, until) for row in times.values()), default=0
        )
        / 1e6,
        "copies": load_skew.mean_replica_count(
            (store.kept for store in caches.values()), {key for _, _, key in reads}
        ),
        "moved": load_skew.moved_read_ratio(reads),
        "fetches": fetches / count if count else 0.0,
        "p99-ms": max(slowest, default=0) / 1e3,
    }
    return {name: round(value, 3) for name, value in found.items()} | {"reads": count}


def by_second(environment: Environment) -> dict[str, list[int]]:
    """Reads that each cache was sent, by second from the start: what a heat map is drawn from."""
    caches = [id for id, store in environment.servers.items() if not store.is_origin]
    seconds = max(
        1,
        min(
            int(environment.plan.duration_s),
            (environment.loop.now - environment.start) // 1_000_000,
        ),
    )
    found = {id: [0] * seconds for id in caches}
    for _, sent in dispatches(environment, environment.start, environment.loop.now):
        second = (sent.first_byte_at_us - environment.start) // 1_000_000
        if sent.host in found and second < seconds:
            found[sent.host][second] += 1
    return found


def unlike(found: dict[str, float], expected: dict[str, Any]) -> list[str]:
    """What is not as it was to be, in words.

    >>> unlike({"most": 1.3, "least": 0.9}, {"most": 1.25, "least": 0.85})
    ['most 1.3, over 1.25']
    """
    return [
        f"{name} {found[name]:g}, {'under' if name in LEASTS else 'over'} {bound:g}"
        for name, bound in expected.items()
        if (found[name] < bound if name in LEASTS else found[name] > bound)
    ]
