"""Checks the attempts that a balancer begins for clients that have closed their connection.

Requirement: a client that closes its connection has left, and an attempt, the
first or a retry, that begins more than 0.1 s after the close is a breach (`lost`).
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING, NamedTuple

from orchidgap.simulation.lateness import LatenessChecker, RecordBreach
from orchidgap.simulation.observations import HostAttempt

if TYPE_CHECKING:
    from orchidgap.simulation.balancer_instance import Pause

# latest start of an attempt after its client's close, by requirement
MAX_START_AFTER_CLOSE_US = 100_000
LOST = "lost"


class AttemptAfterClose(NamedTuple):
    """An attempt that began too long after its client closed the connection.

    Attributes:
        sent: The attempt, as its host saw it.
        closed_at_us: When its client closed the connection or, if its balancer was stopped at that
            moment, when the balancer resumed.
        who: The request, its balancer and its host, for the description of a breach.
    """

    sent: HostAttempt
    closed_at_us: int
    who: str


class DepartureChecker:
    """Checks attempts against the close of their client's connection.

    On real sockets the check runs at the end, when all run delays have been read from the kernel.
    """

    def __init__(
        self, tolerance_us: int, lateness: LatenessChecker, record_breach: RecordBreach
    ) -> None:
        """Check against the limit, extended by the tolerance (0 on the virtual clock)."""
        self.max_start_us = MAX_START_AFTER_CLOSE_US + tolerance_us
        self.is_deferred = tolerance_us > 0
        self.lateness = lateness
        self.record_breach = record_breach
        self._late_attempts: list[AttemptAfterClose] = []

    def on_host_attempt(self, sent: HostAttempt, pauses: Iterable[Pause], who: str) -> None:
        """Check an attempt that reached its host; `pauses` are those of its balancer."""
        left_at_us = sent.client_attempt.left_at_us
        if not left_at_us:
            return
        closed_at_us = visible_close_us(left_at_us, pauses)
        if sent.first_byte_at_us <= closed_at_us + self.max_start_us:
            return
        late = AttemptAfterClose(sent, closed_at_us, who)
        if self.is_deferred:
            self._late_attempts.append(late)
        else:
            self._report(late)

    def check_all(self) -> None:
        """Run the deferred checks, at the end of the run."""
        late_attempts = self._late_attempts
        self._late_attempts = []
        for late in late_attempts:
            began_at_us = late.sent.first_byte_at_us
            excess_us = began_at_us - late.closed_at_us - self.max_start_us
            balancer = late.sent.client_attempt.balancer
            if not self.lateness.is_run_delay(balancer, late.closed_at_us, began_at_us, excess_us):
                self._report(late)

    def _report(self, late: AttemptAfterClose) -> None:
        began_at_us = late.sent.first_byte_at_us
        late_ms = (began_at_us - late.closed_at_us) / 1e3
        text = f"{late.who}: began {late_ms:.0f} ms after its client closed its connection"
        self.record_breach(LOST, began_at_us, text)


def visible_close_us(left_at_us: int, pauses: Iterable[Pause]) -> int:
    """Return when a balancer could first see a close: after the stop, if the plan stopped it.

    Only a stop that begins while an attempt may still begin counts.

    >>> from orchidgap.simulation.balancer_instance import Pause
    >>> pauses = [Pause(0, 4_000), Pause(6_000, 900_000), Pause(2_000_000, 3_000_000)]
    >>> visible_close_us(5_000, pauses)
    900000
    """
    visible_us = left_at_us
    for pause in pauses:
        if pause.end_us > left_at_us and pause.start_us <= left_at_us + MAX_START_AFTER_CLOSE_US:
            visible_us = max(visible_us, pause.end_us)
    return visible_us
