"""Whether balancers could reach a majority of control, as seen from outside.

Without one no balancer gets a lease, and those that deny without a quorum have to deny all. Where a
balancer has reached one for long and denies all the same, it withholds its service: a fault.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path

from orchidgap.simulation.observations import ClientAttempt

STOPPED_STATE = "T"
MIN_DENIALS = 5  # that make a case
STATUS_OK = 200
STATUS_DENIED = 503


def process_state(process_id: int) -> str:
    """Return the letter that the system has for a process's state, empty where it has ended."""
    try:
        text = Path(f"/proc/{process_id}/stat").read_text()
    except OSError:
        return ""
    return text.rpartition(")")[2].split()[0]


@dataclass(slots=True)
class Interval:
    """A time in which one balancer reached a majority without a break, in microseconds."""

    since_us: int
    until_us: int


@dataclass(slots=True)
class MajorityWatch:
    """Notes which balancers reach a majority, look by look.

    Attributes:
        grace_us: How long a balancer may deny after it has come to reach one.
        without_majority_us: How long none did.
        intervals: When each did, by its name.
    """

    grace_us: int
    without_majority_us: int = 0
    intervals: dict[str, list[Interval]] = field(default_factory=dict)
    _updated_at_us: int = 0
    _reaching: frozenset[str] | None = None  # as of the last look

    def update(self, reaching: Iterable[str], now_us: int) -> None:
        """Take in who reaches a majority now; called again and again."""
        before = self._reaching
        if before is not None and not before:
            self.without_majority_us += now_us - self._updated_at_us
        self._reaching = frozenset(reaching)
        self._updated_at_us = now_us
        for name in self._reaching:
            known = self.intervals.setdefault(name, [])
            if before and name in before:
                known[-1].until_us = now_us
            else:
                known.append(Interval(now_us, now_us))

    def withheld(self, attempts: Iterable[ClientAttempt]) -> list[str]:
        """Return, in words, which balancers denied all though they had reached a majority."""
        answers: dict[tuple[str, int], list[int]] = {}
        for attempt in attempts:
            for index, interval in enumerate(self.intervals.get(attempt.balancer, [])):
                earliest_us = interval.since_us + self.grace_us
                if attempt.status and earliest_us < attempt.arrived_at_us < interval.until_us:
                    answers.setdefault((attempt.balancer, index), []).append(attempt.status)
        grace_s = self.grace_us / 1e6
        return [
            f"{name}: all {len(statuses)} requests denied, {grace_s:g} s and more after it had "
            "come to reach a majority of control"
            for (name, _), statuses in answers.items()
            if STATUS_OK not in statuses and statuses.count(STATUS_DENIED) >= MIN_DENIALS
        ]
