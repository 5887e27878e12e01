"""Judges how soon balancers are ready: from the start of a process to its first list and accept.

The standing page: none takes over 30 s, and nine in ten restarted balancers are ready within 10 s,
or within 6 s if the run ends sooner. What a balancer could not use is taken off: the time in which
the plan had stopped it, or it reached no majority of control, and what it was ready to run and got
no core, by the kernel's count.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import NamedTuple

READY_WITHIN_US = 10_000_000
READY_WITHIN_SHORT_RUN_US = 6_000_000  # where the run ends within the longer time
MAX_READY_US = 30_000_000
MAX_LATE_RATIO = 0.1  # of all restarted balancers


@dataclass(slots=True)
class ProcessStart:
    """One start of a balancer's process; times in microseconds, 0 until they are known.

    Attributes:
        balancer: Its name.
        began_us: When it was started.
        ready_us: When it was seen to be ready.
        ended_us: When it ended, or was told to.
        is_restart: Another process had run under the name before.
    """

    balancer: str
    began_us: int
    ready_us: int = 0
    ended_us: int = 0
    is_restart: bool = False


class ReadinessReport(NamedTuple):
    """What became of all starts of a run.

    Attributes:
        restarts: How many restarts could be judged.
        late: How many of these were not ready in time.
        breaches: What broke the page's rules, in words.
    """

    restarts: int
    late: int
    breaches: list[str]


UsableTime = Callable[[str, int, int], int]
"""Returns how much of the time between two times a balancer could use, in microseconds."""


def check_starts(
    starts: Iterable[ProcessStart], end_us: int, tolerance_us: int, usable_us: UsableTime
) -> ReadinessReport:
    """Judge all starts of a run that ended at a time.

    A process that was not ready, and that ended before its time was over, tells nothing.
    """
    restarts = 0
    late: list[str] = []
    breaches: list[str] = []
    for start in starts:
        until_us = start.ready_us or start.ended_us or end_us
        waited_us = usable_us(start.balancer, start.began_us, until_us) - tolerance_us
        text = f"{start.balancer} {'ready' if start.ready_us else 'not ready'} after "
        text += f"{(until_us - start.began_us) / 1e6:.1f} s"
        if waited_us > MAX_READY_US:
            breaches.append(f"{text}, {MAX_READY_US // 1_000_000} s may be")
        if not start.is_restart:
            continue
        is_late = waited_us > time_limit_us(start, end_us)
        restarts += is_late or start.ready_us > 0
        if is_late:
            late.append(text)
    if len(late) > restarts * MAX_LATE_RATIO:
        breaches.append(f"{len(late)} of {restarts} restarts too slow: {', '.join(late)}")
    return ReadinessReport(restarts, len(late), breaches)


def time_limit_us(start: ProcessStart, end_us: int) -> int:
    """Return within which time a restarted balancer has to be ready.

    >>> time_limit_us(ProcessStart("b0", 0), 12_000_000), time_limit_us(ProcessStart("b0", 0), 9)
    (10000000, 6000000)
    """
    is_short = end_us - start.began_us < READY_WITHIN_US
    return READY_WITHIN_SHORT_RUN_US if is_short else READY_WITHIN_US


def overlap_us(intervals: Iterable[tuple[int, int]], since_us: int, until_us: int) -> int:
    """Return how much of the time between two times lies in intervals that do not meet.

    >>> overlap_us([(0, 10), (20, 30)], 5, 22)
    7
    """
    return sum(
        max(0, min(last_us, until_us) - max(first_us, since_us)) for first_us, last_us in intervals
    )
