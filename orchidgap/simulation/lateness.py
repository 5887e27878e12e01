"""Judges times: answers within the client timeout, denials at once, and what hosts are told."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import NamedTuple

from orchidgap.simulation.observations import ClientAttempt
from orchidgap.simulation.plan import Plan, milliseconds_to_us

# a rejection so long after the last that could be awaited was held back
HELD_BACK_US = 60_000
# by so much more than is left to the client an attempt may tell its host
TOLD_TIME_SLACK_US = 150_000
LATE = "late"

RecordBreach = Callable[[str, int, str], None]
"""Is told the rule, the time in microseconds and what was seen."""


class FailedAnswer(NamedTuple):
    """A final answer other than 200, as its client saw it.

    Attributes:
        attempt: Of which client.
        status: What it was answered.
        at_us: When the answer's last byte came.
        who: The client and its balancer, for a breach's text.
    """

    attempt: ClientAttempt
    status: int
    at_us: int
    who: str


class LateAnswer(NamedTuple):
    """An answer that came later than its client waited, as its client saw it.

    Attributes:
        attempt: Of which client.
        at_us: When the answer's last byte came.
        deadline_us: Until when the client waited.
        who: The client and its balancer, for a breach's text.
    """

    attempt: ClientAttempt
    at_us: int
    deadline_us: int
    who: str


class ToldTime(NamedTuple):
    """How long a host was told that its balancer waits, as the host saw it.

    Attributes:
        attempt: Of which client.
        at_us: When the first byte came to the host.
        sent_timeout_us: The time that it was told.
        who: The request, its balancer and its host, for a breach's text.
    """

    attempt: ClientAttempt
    at_us: int
    sent_timeout_us: int
    who: str


class LatenessChecker:
    """Judges at once on the virtual clock; on real sockets once all that was seen has been read.

    Attributes:
        run_delay_us: Returns how long a balancer was ready and got no core between two times, by
            the kernel's count.
        excused_by_run_delay: Answers and attempts that were too late by no more than that, and
            times told that were too long by no more.
    """

    def __init__(self, plan: Plan, tolerance_us: int, record_breach: RecordBreach) -> None:
        """Judge by the plan's limits, each longer by the tolerance, 0 on the virtual clock."""
        connect_timeout_us = milliseconds_to_us(plan.network.connect_timeout_ms)
        self.max_connect_us = plan.limits.max_attempts * connect_timeout_us + HELD_BACK_US
        self.tolerance_us = tolerance_us
        self.record_breach = record_breach
        self.run_delay_us: Callable[[str, int, int], int] = lambda balancer, since, until: 0
        self.excused_by_run_delay = 0
        self._deferred: list[Callable[[], None]] = []  # judgements, until the end

    def on_told_time(self, told: ToldTime) -> None:
        """An attempt told its host how long its balancer waits: at most what its client does."""
        if self._overstated_us(told) > 0:
            self._check(partial(self._check_told_time, told))

    def record_late_answer(self, late: LateAnswer) -> None:
        """An answer came after its client timeout and the tolerance."""
        self._check(partial(self._check_late, late))

    def on_failed(self, failed: FailedAnswer) -> None:
        """A request was given up; a host may have yet to read the attempt that it waited for."""
        self._check(partial(self._check_waiting, failed))

    def check_all(self) -> None:
        """Judge what could only be judged with all attempts known; called at the end."""
        deferred = self._deferred
        self._deferred = []
        for check in deferred:
            check()

    def _check(self, check: Callable[[], None]) -> None:
        """Judge at once, or at the end where not all may have been read yet."""
        if self.tolerance_us:
            self._deferred.append(check)
        else:
            check()

    def _overstated_us(self, told: ToldTime) -> int:
        left_us = max(0, told.attempt.deadline_us - told.at_us)
        return told.sent_timeout_us - left_us - TOLD_TIME_SLACK_US - self.tolerance_us

    def _check_told_time(self, told: ToldTime) -> None:
        excess_us = self._overstated_us(told)
        if self._got_no_core(told.attempt, told.at_us, excess_us):
            return
        over_ms = (excess_us + self.tolerance_us + TOLD_TIME_SLACK_US) / 1e3
        text = f"{told.who}: told {over_ms:.0f} ms more than was left to its client"
        self.record_breach(LATE, told.at_us, text)

    def _check_late(self, late: LateAnswer) -> None:
        """An answer that came after its client timeout, and by how much."""
        late_us = late.at_us - late.deadline_us
        if self._got_no_core(late.attempt, late.at_us, late_us - self.tolerance_us):
            return
        text = f"{late.who}: answered {late_us / 1e3:.1f} ms after its client timeout"
        self.record_breach(LATE, late.at_us, text)

    def _check_waiting(self, failed: FailedAnswer) -> None:
        """A request that was given up is answered at once.

        An attempt that ended after the answer was in flight when it was given.
        """
        attempt = failed.attempt
        objective_us = milliseconds_to_us(attempt.operation.request_class.latency_objective_ms)
        idle_since_us = max(attempt.last_attempt_ended_us, attempt.arrived_at_us + objective_us)
        waited_us = failed.at_us - idle_since_us
        allowed_us = self.max_connect_us + self.tolerance_us
        in_flight = any(sent.in_flight for sent in attempt.host_attempts)
        if in_flight or waited_us <= allowed_us:
            return
        if self._got_no_core(attempt, failed.at_us, waited_us - allowed_us):
            return
        held_ms = waited_us / 1e3
        text = f"{failed.who}: given up, and {failed.status} held back for {held_ms:.0f} ms"
        self.record_breach(LATE, failed.at_us, text)

    def _got_no_core(self, attempt: ClientAttempt, until_us: int, excess_us: int) -> bool:
        """Return whether its balancer was ready and not run for all that a time was exceeded.

        That is the kernel's word, and excuses no more than the time that it names.
        """
        return self.is_run_delay(attempt.balancer, attempt.arrived_at_us, until_us, excess_us)

    def is_run_delay(self, balancer: str, since_us: int, until_us: int, excess_us: int) -> bool:
        """Return whether a balancer was ready and not run for so long between two times."""
        delay_us = self.run_delay_us(balancer, since_us, until_us)
        is_excused = delay_us >= excess_us
        self.excused_by_run_delay += is_excused
        return is_excused
