"""Checks times: late answers, delayed rejections, and timeouts that attempts carry to hosts."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import NamedTuple

from orchidgap.simulation.observations import ClientAttempt
from orchidgap.simulation.plan import Plan, milliseconds_to_us

# a rejection is delayed if it comes later than this after the last attempt that may be awaited
MAX_REJECTION_DELAY_US = 60_000
# the timeout that an attempt carries may exceed the client's remaining time by this much
SENT_TIMEOUT_TOLERANCE_US = 150_000
LATE = "late"

RecordBreach = Callable[[str, int, str], None]
"""Called with the rule, the time in microseconds and a description."""


class FailedAnswer(NamedTuple):
    """A final answer other than 200, as its client saw it.

    Attributes:
        attempt: The client attempt that was answered.
        status: The status of the answer.
        at_us: When the answer's last byte arrived.
        who: The client and its balancer, for the description of a breach.
    """

    attempt: ClientAttempt
    status: int
    at_us: int
    who: str


class LateAnswer(NamedTuple):
    """An answer that arrived after its client had stopped waiting, as the client saw it.

    Attributes:
        attempt: The client attempt that was answered.
        at_us: When the answer's last byte arrived.
        deadline_us: Until when the client waited.
        who: The client and its balancer, for the description of a breach.
    """

    attempt: ClientAttempt
    at_us: int
    deadline_us: int
    who: str


class SentTimeout(NamedTuple):
    """The timeout that an attempt carried to its host, as the host saw it.

    Attributes:
        attempt: The client attempt that the balancer forwarded.
        at_us: When the first byte arrived at the host.
        sent_timeout_us: The timeout that the host received.
        who: The request, its balancer and its host, for the description of a breach.
    """

    attempt: ClientAttempt
    at_us: int
    sent_timeout_us: int
    who: str


class LatenessChecker:
    """Checks at once on the virtual clock; on real sockets when all received bytes have been read.

    Attributes:
        run_delay_us: Returns how long a balancer was runnable without a core between two times, as
            counted by the kernel.
        excused_by_run_delay: The number of late answers, late attempts and overstated timeouts
            whose excess was no longer than this run delay.
    """

    def __init__(self, plan: Plan, tolerance_us: int, record_breach: RecordBreach) -> None:
        """Check against the plan's limits, extended by the tolerance (0 on the virtual clock)."""
        connect_timeout_us = milliseconds_to_us(plan.network.connect_timeout_ms)
        self.max_connect_and_reject_us = (
            plan.limits.max_attempts * connect_timeout_us + MAX_REJECTION_DELAY_US
        )
        self.tolerance_us = tolerance_us
        self.record_breach = record_breach
        self.run_delay_us: Callable[[str, int, int], int] = lambda balancer, since, until: 0
        self.excused_by_run_delay = 0
        self._deferred: list[Callable[[], None]] = []  # checks that wait for the end of the run

    def on_sent_timeout(self, sent: SentTimeout) -> None:
        """Check that an attempt's timeout is no longer than its client's remaining time."""
        if self._overstated_us(sent) > 0:
            self._check(partial(self._check_sent_timeout, sent))

    def record_late_answer(self, late: LateAnswer) -> None:
        """Check an answer that arrived after its client timeout and the tolerance."""
        self._check(partial(self._check_late, late))

    def on_failed(self, failed: FailedAnswer) -> None:
        """Check a request that failed.

        Its last attempt may be unknown until its host reads it.
        """
        self._check(partial(self._check_waiting, failed))

    def check_all(self) -> None:
        """Run the deferred checks at the end, when all attempts are known."""
        deferred = self._deferred
        self._deferred = []
        for check in deferred:
            check()

    def _check(self, check: Callable[[], None]) -> None:
        """Run a check at once, or at the end if unread bytes may still change its result."""
        if self.tolerance_us:
            self._deferred.append(check)
        else:
            check()

    def _overstated_us(self, sent: SentTimeout) -> int:
        left_us = max(0, sent.attempt.deadline_us - sent.at_us)
        return sent.sent_timeout_us - left_us - SENT_TIMEOUT_TOLERANCE_US - self.tolerance_us

    def _check_sent_timeout(self, sent: SentTimeout) -> None:
        excess_us = self._overstated_us(sent)
        if self._has_run_delay(sent.attempt, sent.at_us, excess_us):
            return
        over_ms = (excess_us + self.tolerance_us + SENT_TIMEOUT_TOLERANCE_US) / 1e3
        text = f"{sent.who}: timeout {over_ms:.0f} ms longer than its client waits"
        self.record_breach(LATE, sent.at_us, text)

    def _check_late(self, late: LateAnswer) -> None:
        """Record the breach of a late answer, unless the run delay excuses it."""
        late_us = late.at_us - late.deadline_us
        if self._has_run_delay(late.attempt, late.at_us, late_us - self.tolerance_us):
            return
        text = f"{late.who}: answered {late_us / 1e3:.1f} ms after its client timeout"
        self.record_breach(LATE, late.at_us, text)

    def _check_waiting(self, failed: FailedAnswer) -> None:
        """Check that a failed request is answered at once.

        An attempt that ended after the answer was in flight when the answer was sent.
        """
        attempt = failed.attempt
        objective_us = milliseconds_to_us(attempt.operation.request_class.latency_objective_ms)
        idle_since_us = max(attempt.last_attempt_ended_us, attempt.arrived_at_us + objective_us)
        waited_us = failed.at_us - idle_since_us
        allowed_us = self.max_connect_and_reject_us + self.tolerance_us
        in_flight = any(sent.in_flight for sent in attempt.host_attempts)
        if in_flight or waited_us <= allowed_us:
            return
        if self._has_run_delay(attempt, failed.at_us, waited_us - allowed_us):
            return
        held_ms = waited_us / 1e3
        text = f"{failed.who}: failed, and its {failed.status} was held back for {held_ms:.0f} ms"
        self.record_breach(LATE, failed.at_us, text)

    def _has_run_delay(self, attempt: ClientAttempt, until_us: int, excess_us: int) -> bool:
        """Return whether its balancer was runnable without a core for at least the excess.

        The kernel counts this run delay; it excuses no excess that is longer than the delay.
        """
        return self.is_run_delay(attempt.balancer, attempt.arrived_at_us, until_us, excess_us)

    def is_run_delay(self, balancer: str, since_us: int, until_us: int, excess_us: int) -> bool:
        """Return whether a balancer's run delay between two times covers the excess."""
        delay_us = self.run_delay_us(balancer, since_us, until_us)
        is_excused = delay_us >= excess_us
        self.excused_by_run_delay += is_excused
        return is_excused
