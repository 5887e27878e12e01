"""Tracks which balancers can reach a majority of control, as observed from outside.

Without a majority no balancer gets a lease, and those that deny without a quorum have to deny all
requests. A balancer that has reached a majority for long and still denies all requests is faulty.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path

from orchidgap.simulation.observations import ClientAttempt

STOPPED_STATE = "T"
MIN_DENIALS = 5  # fewer denials are no evidence of a fault
STATUS_OK = 200
STATUS_DENIED = 503


def process_state(process_id: int) -> str:
    """Return the system's letter for the state of a process, empty if it has ended."""
    try:
        text = Path(f"/proc/{process_id}/stat").read_text()
    except OSError:
        return ""
    return text.rpartition(")")[2].split()[0]


@dataclass(slots=True)
class Interval:
    """An interval in which one balancer continuously reached a majority, in microseconds."""

    since_us: int
    until_us: int


@dataclass(slots=True)
class MajorityWatch:
    """Records which balancers reach a majority, from periodic updates.

    Attributes:
        grace_us: How long a balancer may deny all requests after it reaches a majority.
        without_majority_us: For how long no balancer reached a majority.
        intervals: The intervals in which each balancer reached a majority, by its name.
    """

    grace_us: int
    without_majority_us: int = 0
    intervals: dict[str, list[Interval]] = field(default_factory=dict)
    _updated_at_us: int = 0
    _reaching: frozenset[str] | None = None  # balancers that reached one at the last update

    def update(self, reaching: Iterable[str], now_us: int) -> None:
        """Record which balancers reach a majority now; called periodically."""
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
        """Return descriptions of balancers that denied all requests while reaching a majority."""
        answers: dict[tuple[str, int], list[int]] = {}
        for attempt in attempts:
            for index, interval in enumerate(self.intervals.get(attempt.balancer, [])):
                earliest_us = interval.since_us + self.grace_us
                if attempt.status and earliest_us < attempt.arrived_at_us < interval.until_us:
                    answers.setdefault((attempt.balancer, index), []).append(attempt.status)
        grace_s = self.grace_us / 1e6
        return [
            f"{name}: all {len(statuses)} requests denied, {grace_s:g} s and more after it "
            "reached a majority of control"
            for (name, _), statuses in answers.items()
            if STATUS_OK not in statuses and statuses.count(STATUS_DENIED) >= MIN_DENIALS
        ]
