"""Checks for balancers that reject all their requests for several seconds without a break.

Requirement: on `calm` and `roll` at most one balancer in ten may reject all of
its requests (15 or more) for 4 s without a break and without an attempt in between.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from typing import NamedTuple

from orchidgap.simulation.observations import ClientAttempt
from orchidgap.simulation.plan import Plan

# faults of plans that the rule applies to: any other may leave a balancer without usable hosts
CALM_FAULT_KINDS = frozenset(("balancer-roll", "deploy", "retune"))
REJECTION_STATUSES = (429, 503)
MIN_REJECTIONS = 15  # shorter runs of rejections do not count as a stretch
MIN_STRETCH_US = 4_000_000
MAX_REJECTING_RATIO = 0.1  # ratio of all balancers that may have such a stretch


class Process(NamedTuple):
    """One process of a balancer."""

    balancer: str
    incarnation: int


class Rejected(NamedTuple):
    """A rejected request: when it arrived, and when its client received the answer."""

    arrived_us: int
    answered_us: int


class RejectingStretch(NamedTuple):
    """An interval in which one balancer rejected all its requests and began no attempt."""

    balancer: str
    since_us: int
    until_us: int
    request_count: int

    def describe(self) -> str:
        """Return the description of the breach."""
        duration_s = (self.until_us - self.since_us) / 1e6
        return f"{self.balancer}: rejected all {self.request_count} requests for {duration_s:.1f} s"


@dataclass(slots=True)
class ProcessHistory:
    """The requests of one process, as clients and hosts saw them.

    Attributes:
        rejected: The requests that it rejected.
        served_us: When it began attempts or sent answers other than rejections.
    """

    rejected: list[Rejected] = field(default_factory=list)
    served_us: list[int] = field(default_factory=list)


def is_calm(plan: Plan) -> bool:
    """Return whether the rule applies to a plan: no faults, or planned restarts only."""
    return all(fault.kind in CALM_FAULT_KINDS for fault in plan.faults)


def rejecting_stretches(attempts: Iterable[ClientAttempt]) -> list[RejectingStretch]:
    """Return the stretches of all balancers that are long enough to count."""
    histories: dict[Process, ProcessHistory] = {}
    for attempt in attempts:
        process = Process(attempt.balancer, attempt.incarnation)
        history = histories.setdefault(process, ProcessHistory())
        history.served_us += [sent.first_byte_at_us for sent in attempt.host_attempts]
        if attempt.status in REJECTION_STATUSES:
            history.rejected.append(Rejected(attempt.arrived_at_us, attempt.answered_at_us))
        elif attempt.status > 0:
            history.served_us.append(attempt.answered_at_us)
    return [
        stretch
        for process, history in histories.items()
        for stretch in _stretches_of(process.balancer, history)
    ]


def _stretches_of(balancer: str, history: ProcessHistory) -> Iterator[RejectingStretch]:
    """Split the rejections at each sign of service, and return the long pieces."""
    served_us = sorted(history.served_us)
    pieces: dict[int, list[Rejected]] = {}
    served_count = 0
    for rejected in sorted(history.rejected, key=lambda one: one.answered_us):
        while served_count < len(served_us) and served_us[served_count] <= rejected.answered_us:
            served_count += 1
        pieces.setdefault(served_count, []).append(rejected)
    for served_before, piece in pieces.items():
        last_served_us = served_us[served_before - 1] if served_before else 0
        since_us = max(last_served_us, min(rejected.arrived_us for rejected in piece))
        until_us = piece[-1].answered_us
        if len(piece) >= MIN_REJECTIONS and until_us - since_us >= MIN_STRETCH_US:
            yield RejectingStretch(balancer, since_us, until_us, len(piece))


def excessive_rejections(
    attempts: Iterable[ClientAttempt], balancer_count: int
) -> list[RejectingStretch]:
    """Return the stretches if more than one balancer in ten had one, else none."""
    stretches = rejecting_stretches(attempts)
    rejecting = {stretch.balancer for stretch in stretches}
    return stretches if len(rejecting) > balancer_count * MAX_REJECTING_RATIO else []
