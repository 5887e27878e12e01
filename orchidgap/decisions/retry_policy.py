"""Decides when a request may have another attempt, and when its client may retry a denied one.

An attempt was possibly executed unless its outcome proves that it was not
(`records.NEVER_EXECUTED`). Then its `RepeatSafety` determines where the request may be repeated:

| repeat safety     | after a possibly executed attempt, the next one may go to             |
| ----------------- | --------------------------------------------------------------------- |
| IDEMPOTENT        | any host                                                              |
| DEDUPLICATED      | hosts that deduplicate its key, while they remember it                |
| NON_IDEMPOTENT    | none                                                                  |

A host's retry budget limits retries to a fraction of its answers: retries spend it and answers
earn it. All conditions of a further attempt, including those that the stages check:

| condition                                                    | checked by                       |
| ------------------------------------------------------------ | -------------------------------- |
| no final answer; nothing in flight, unless it may be hedged  | `RetryPolicy.allows`             |
| attempts are left, and one more is safe (the table above)    | `allows_attempt_after`           |
| a retry: after one of `RETRYABLE_OUTCOMES`, or a cancel      | `on_attempt_done` of the stages  |
| a retry at a cache: the next cache has retry budget          | `Placement._retry`               |
| a hedged request: the attempt is overdue, its host answers   | `Dispatch.is_lost`               |
| a hedged request: the host accepts it and has retry budget   | `Dispatch._hedge`                |

The attempt that follows a miss or a redirection is not a retry and spends no budget. A retry at an
origin, or after a reused connection broke, spends none either.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from orchidgap.decisions.records import (
    Attempt,
    AttemptOutcome,
    HostState,
    Request,
    possibly_executed,
)
from orchidgap.decisions.repeat_safety import Idempotency, RepeatSafety, repeat_safety
from orchidgap.decisions.settings import RequestClass, ServiceSettings

# Outcomes after which another attempt may succeed.
RETRYABLE_OUTCOMES = frozenset(
    (
        AttemptOutcome.QUEUE_FULL,
        AttemptOutcome.UNCONNECTED,
        AttemptOutcome.CONNECTION_REFUSED,
        AttemptOutcome.SERVER_ERROR,
        AttemptOutcome.CONNECTION_RESET,
        AttemptOutcome.STALE_CONNECTION,
    )
)
# A host's retry budget, counted in attempts.
INITIAL_RETRY_BUDGET = 2.0
MAX_RETRY_BUDGET = 10.0
RETRY_BUDGET_PER_ANSWER = 0.2
RETRY_COST = 1.0


@dataclass(frozen=True, slots=True)
class RetryPolicy:
    """The rules on further attempts of a request: retries after a failure and hedged requests.

    Args:
        may_hedge: Whether two attempts of one request may be in flight at the same time.
        max_retry_after_us: The longest Retry-After in microseconds that clients respect; 0 if
            they are sent none.
    """

    may_hedge: bool
    max_retry_after_us: int

    @classmethod
    def from_settings(cls, settings: ServiceSettings) -> RetryPolicy:
        """Return the policy that these settings describe."""
        return cls(settings.may_hedge, settings.max_retry_after_us)

    @property
    def unexecuted_retry_after_us(self) -> int:
        """The Retry-After in microseconds of a request that was never executed.

        It is half of the longest time that clients respect, so that they retry spread over time
        while their requests still matter.
        """
        return self.max_retry_after_us // 2

    def allows(self, request: Request, host: HostState, now_us: int) -> bool:
        """Return whether the request may have one more attempt, at this host, now.

        The host's retry budget is not checked: requests queued for an origin spend none.
        """
        if request.answered:
            return False
        if request.in_flight and not self.may_hedge:
            return False
        return allows_attempt_after(
            request.attempts,
            host,
            request.request_class,
            request.idempotency,
            request.max_attempts + request.redirects,
            now_us,
        )

    def retry_after_us(
        self, request: Request, request_class: RequestClass, now_us: int
    ) -> int | None:
        """Return the Retry-After of a denied request; None if a retry may do harm.

        A retry of a possibly executed request must arrive while its idempotency key is remembered:
        later it would be executed again, so the request is then not denied but aborted.

        Args:
            request: The request to reject.
            request_class: Its class, or another one for shadow evaluation.
            now_us: The current time in microseconds.
        """
        retry_after_us = self.unexecuted_retry_after_us
        safety = repeat_safety(request_class, request.idempotency)
        executed = _unrepeatable_attempts(request.attempts, safety)
        if not executed:
            return retry_after_us
        if not may_client_retry(request_class, safety):
            return None
        if safety is RepeatSafety.DEDUPLICATED:
            elapsed_us = now_us - executed[0].started_at_us
            remembered_us = request_class.deduplication_window_us - elapsed_us
            if remembered_us <= 0:
                return None
            retry_after_us = min(retry_after_us, remembered_us // 2)
        return retry_after_us


def allows_attempt_after(
    attempts: Sequence[Attempt],
    host: HostState,
    request_class: RequestClass,
    idempotency: Idempotency,
    max_attempts: int,
    now_us: int,
) -> bool:
    """Return whether one more attempt, at this host, is safe after the given ones.

    Args:
        attempts: The earlier attempts of the request, in their order.
        host: The host of the next attempt.
        request_class: The class; with `idempotency` it determines whether a repeat does harm.
        idempotency: What the request itself tells of repeats.
        max_attempts: How many attempts the request may have, including redirected ones.
        now_us: The current time in microseconds.
    """
    if len(attempts) >= max_attempts:
        return False
    safety = repeat_safety(request_class, idempotency)
    executed = _unrepeatable_attempts(attempts, safety)
    if not executed:
        return True
    key_is_remembered = (
        safety is RepeatSafety.DEDUPLICATED
        and now_us - executed[0].started_at_us < request_class.deduplication_window_us
    )
    if not key_is_remembered:
        return False
    scope = request_class.deduplication_scope
    return all(_deduplicate_together(attempt.host, host, scope) for attempt in executed)


def latest_start_us(request: Request, number: int) -> int:
    """Return the latest time to write the attempt of this number to its host, in microseconds.

    A repeat of a possibly executed attempt must reach its host before the idempotency key expires
    there, and the connection for it may be opened late.
    """
    if request.repeat_safety is not RepeatSafety.DEDUPLICATED:
        return request.deadline_us
    executed = possibly_executed(request.attempts[:number])
    if not executed:
        return request.deadline_us
    window_us = request.request_class.deduplication_window_us
    key_expires_at_us = executed[0].started_at_us + window_us
    return min(request.deadline_us, key_expires_at_us)


def may_client_retry(request_class: RequestClass, safety: RepeatSafety) -> bool:
    """Return whether a client may retry a possibly executed request, which may reach any host.

    If hosts deduplicate the request, this holds only while they remember its key.
    """
    if safety is RepeatSafety.DEDUPLICATED:
        return request_class.deduplication_scope == "all"
    return safety is RepeatSafety.IDEMPOTENT


def has_retry_budget(host: HostState) -> bool:
    """Return whether the host's retry budget is enough for another attempt."""
    return host.retry_budget >= RETRY_COST


def earn_retry_budget(host: HostState) -> None:
    """Add to the retry budget of a host that has answered."""
    host.retry_budget = min(MAX_RETRY_BUDGET, host.retry_budget + RETRY_BUDGET_PER_ANSWER)


def forfeit_retry_budget(host: HostState) -> None:
    """Deduct the cost of a retry for a failed answer of the host, down to 0 at most."""
    host.retry_budget = max(0.0, host.retry_budget - RETRY_COST)


def _unrepeatable_attempts(attempts: Sequence[Attempt], safety: RepeatSafety) -> Sequence[Attempt]:
    """Return the possibly executed attempts that limit repeats; an idempotent request has none."""
    return () if safety is RepeatSafety.IDEMPOTENT else possibly_executed(attempts)


def _deduplicate_together(first: HostState, second: HostState, scope: str) -> bool:
    """Return whether the hosts share deduplication records; scope is all, zone or cell."""
    if scope == "zone":
        return first.zone == second.zone
    if scope == "cell":
        return first.cell == second.cell
    return True
