"""Reports the denials of a fault test: by reason, by balancer and by time since the last faults.

Balancers log the reasons (event `rejections`); clients record when they were denied and whether
hosts had capacity then. Both are joined by time: the denials with capacity between two lines of a
balancer's log are divided among the reasons of the later line, in proportion to their counts.
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections import Counter, defaultdict
from collections.abc import Iterable, Sequence
from contextlib import suppress
from pathlib import Path
from typing import NamedTuple

import orjson

from orchidgap.simulation.invariant_checker import Rejection

LOG_DELAY_S = 0.02  # a client may receive a denial this long after the log line that counts it
UNKNOWN_REASON = "not logged"
# Upper bounds of the classes of time since the last fault of a kind.
AGE_CLASSES_S = (0.5, 1.0, 2.0, 4.0, 8.0)
LIST_CHANGE_PREFIX = "list:"
FAULT_TEST_PREFIX = "the"  # first word of "the fault test itself was ... late"
PUSHED_WORD = "pushed"


class LoggedReasons(NamedTuple):
    """One line of a balancer's log with the reasons of denials.

    Attributes:
        at_s: When it was logged, in seconds since the start of the test.
        reasons: The number of requests rejected since the previous line, by reason.
    """

    at_s: float
    reasons: dict[str, int]


class DenialCount(NamedTuple):
    """The number of denials, and of those that happened while hosts had capacity."""

    denied: float = 0
    with_capacity: float = 0

    def plus(self, denied: float, with_capacity: float) -> DenialCount:
        """Return the sum of both counts."""
        return DenialCount(self.denied + denied, self.with_capacity + with_capacity)


def describe_denials(
    rejections: Sequence[Rejection],
    events: Iterable[tuple[float, str]],
    folder: Path,
    started_at_us: int,
) -> str:
    """Return three tables as text; empty if there were no denials.

    Args:
        rejections: The denials that clients received, with times of the test's clock.
        events: The faults with their seconds since the start.
        folder: The folder with the logs of all balancers.
        started_at_us: When the test began on its clock, which is Unix time.
    """
    if not rejections:
        return ""
    logs = {
        path.stem: read_reasons(path, started_at_us / 1e6) for path in sorted(folder.glob("b*.log"))
    }
    tables = {
        "reason": count_by_reason(rejections, logs, started_at_us),
        "balancer": _count_by_balancer(rejections),
        "since the last": count_by_age(rejections, events, started_at_us),
    }
    return "\n".join(_table(title, counts) for title, counts in tables.items())


def read_reasons(path: Path, start_s: float) -> list[LoggedReasons]:
    """Return the reasons in one balancer's log, the oldest first."""
    lines = []
    for raw in path.read_bytes().splitlines():
        with suppress(ValueError, KeyError, TypeError):
            facts = orjson.loads(raw)
            if facts["event"] == "rejections":
                lines.append(LoggedReasons(float(facts["at"]) - start_s, facts["reasons"]))
    return lines


def count_by_reason(
    rejections: Iterable[Rejection],
    logs: dict[str, list[LoggedReasons]],
    started_at_us: int,
) -> dict[str, DenialCount]:
    """Return the logged denials by reason, and clients' denials with capacity by these reasons."""
    counts: defaultdict[str, DenialCount] = defaultdict(DenialCount)
    for lines in logs.values():
        for line in lines:
            for reason, count in line.reasons.items():
                counts[reason] = counts[reason].plus(count, 0)
    for rejection in rejections:
        if not rejection.had_capacity:
            continue
        lines = logs.get(rejection.balancer, [])
        seen_s = (rejection.at_us - started_at_us) / 1e6
        index = bisect_left(lines, seen_s - LOG_DELAY_S, key=lambda line: line.at_s)
        reasons = lines[index].reasons if index < len(lines) else {UNKNOWN_REASON: 1}
        total = sum(reasons.values())
        for reason, count in reasons.items():
            counts[reason] = counts[reason].plus(0, count / total)
    return dict(counts)


def count_by_age(
    rejections: Iterable[Rejection], events: Iterable[tuple[float, str]], started_at_us: int
) -> dict[str, DenialCount]:
    """Return the denials by the kind of fault and the time since the last fault of that kind."""
    times: defaultdict[str, list[float]] = defaultdict(list)
    for at_s, text in sorted(events):
        times[fault_kind(text)].append(at_s)
    counts: defaultdict[str, DenialCount] = defaultdict(DenialCount)
    for rejection in rejections:
        seen_s = (rejection.at_us - started_at_us) / 1e6
        for kind, starts in times.items():
            index = bisect_right(starts, seen_s)
            if index:
                name = f"{kind}, {_age_class(seen_s - starts[index - 1])}"
                counts[name] = counts[name].plus(1, rejection.had_capacity)
    return dict(sorted(counts.items()))


def fault_kind(text: str) -> str:
    """Return the kind of fault that an event describes.

    >>> [fault_kind(text) for text in ("stop b7 for 519 ms", "list: c04 Gone", "kill b5, SIGHUP")]
    ['stop', 'list: Gone', 'kill']
    """
    words = text.split()
    if words[0] == LIST_CHANGE_PREFIX:
        return f"{LIST_CHANGE_PREFIX} {words[-1]}"
    if words[0] == FAULT_TEST_PREFIX:
        return "late test"
    if PUSHED_WORD in words:
        return "host pushed over"
    return words[0]


def _age_class(age_s: float) -> str:
    index = bisect_right(AGE_CLASSES_S, age_s)
    if index == len(AGE_CLASSES_S):
        return f"{AGE_CLASSES_S[-1]:g} s or more"
    return f"under {AGE_CLASSES_S[index]:g} s"


def _count_by_balancer(rejections: Iterable[Rejection]) -> dict[str, DenialCount]:
    denied = Counter[str]()
    with_capacity = Counter[str]()
    for rejection in rejections:
        denied[rejection.balancer] += 1
        with_capacity[rejection.balancer] += rejection.had_capacity
    return {name: DenialCount(denied[name], with_capacity[name]) for name in sorted(denied)}


def _table(title: str, counts: dict[str, DenialCount]) -> str:
    lines = [f"{title:40} {'denied':>8} {'with room':>10}"]
    lines += [
        f"{name:40} {count.denied:8.0f} {count.with_capacity:10.0f}"
        for name, count in counts.items()
    ]
    return "\n".join(lines) + "\n"
