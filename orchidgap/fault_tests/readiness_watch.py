"""Checks how soon balancers are ready, from the start of a process to its first list and accept.

The requirement: no balancer takes more than 30 s, and nine in ten restarted balancers are ready
within 10 s, or within 6 s if the run ends sooner. Time that a balancer could not use is subtracted:
while the plan paused it, while it could not reach a majority of control, and while it was runnable
but got no core, as counted by the kernel.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import NamedTuple

READY_WITHIN_US = 10_000_000
# time limit if the run ends within `READY_WITHIN_US` of the start
READY_WITHIN_SHORT_RUN_US = 6_000_000
MAX_READY_US = 30_000_000
MAX_LATE_RATIO = 0.1  # fraction of all restarts that may be late


@dataclass(slots=True)
class ProcessStart:
    """One start of a balancer's process; times in microseconds, 0 until they are known.

    Attributes:
        balancer: The balancer's name.
        began_us: When the process was started.
        ready_us: When the process was detected to be ready.
        ended_us: When the process ended or its shutdown was requested.
        is_restart: Whether another process had run under the name before.
    """

    balancer: str
    began_us: int
    ready_us: int = 0
    ended_us: int = 0
    is_restart: bool = False


class ReadinessReport(NamedTuple):
    """The result of checking all starts of a run.

    Attributes:
        restarts: The number of restarts that could be checked.
        late: The number of these that were not ready in time.
        breaches: Descriptions of the broken requirements.
    """

    restarts: int
    late: int
    breaches: list[str]


UsableTime = Callable[[str, int, int], int]
"""Returns how much of the time between two times a balancer could use, in microseconds.

The arguments are the balancer's name and the two times.
"""


def check_starts(
    starts: Iterable[ProcessStart], end_us: int, tolerance_us: int, usable_us: UsableTime
) -> ReadinessReport:
    """Check all starts of a run that ended at `end_us`.

    A process that ended before its time limit without being ready is not counted.
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
            breaches.append(f"{text}, more than {MAX_READY_US // 1_000_000} s")
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
    """Return the time within which a restarted balancer has to be ready.

    >>> time_limit_us(ProcessStart("b0", 0), 12_000_000), time_limit_us(ProcessStart("b0", 0), 9)
    (10000000, 6000000)
    """
    is_short = end_us - start.began_us < READY_WITHIN_US
    return READY_WITHIN_SHORT_RUN_US if is_short else READY_WITHIN_US


def overlap_us(intervals: Iterable[tuple[int, int]], since_us: int, until_us: int) -> int:
    """Return how much of the time between two times lies in disjoint intervals.

    >>> overlap_us([(0, 10), (20, 30)], 5, 22)
    7
    """
    return sum(
        max(0, min(last_us, until_us) - max(first_us, since_us)) for first_us, last_us in intervals
    )
