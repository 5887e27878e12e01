"""When a request may have another attempt, and when its client may retry if it gets none.

An attempt may have run unless its outcome proves that it did not (`records.NEVER_EXECUTED`).
What the request's class says of running twice decides then:

| class             | after an attempt that may have run, the next one may go to            |
| ----------------- | --------------------------------------------------------------------- |
| idempotent        | any host                                                              |
| idempotency_keyed | hosts that drop repeats of the key, as long as they remember it       |
| neither           | none                                                                  |

A host's retry budget keeps retries a share of what it gets done: retries spend it and answers
earn it. All conditions of a further attempt, with those that the stages check:

| condition                                                    | checked by                       |
| ------------------------------------------------------------ | -------------------------------- |
| no final answer; nothing in flight, unless it may be hedged  | `RetryPolicy.allows`             |
| attempts are left, and one more is safe (the table above)    | `allows_attempt_after`           |
| a retry: after one of `RETRYABLE_OUTCOMES`, or a cancel      | `on_attempt_done` of the stages  |
| a retry at a cache: the next cache has retry budget          | `Placement._retry`               |
| a hedged request: the attempt is late, its host answers      | `Dispatch.is_lost`               |
| a hedged request: the host accepts it and has retry budget   | `Dispatch._hedge`                |

After a miss or a redirection the next attempt is no retry, and spends no budget. Nor does a retry
at an origin, or one after a kept connection broke.
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
from orchidgap.decisions.settings import RequestClass, ServiceSettings

# Outcomes after which another attempt can do better.
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
# Of a host's retry budget, which is counted in attempts.
INITIAL_RETRY_BUDGET = 2.0
MAX_RETRY_BUDGET = 10.0
RETRY_BUDGET_PER_ANSWER = 0.2
RETRY_COST = 1.0


@dataclass(frozen=True, slots=True)
class RetryPolicy:
    """The rules on further attempts of a request: retries after a failure and hedged requests.

    Args:
        may_hedge: Whether two attempts of one request may be in flight at a time.
        max_retry_after_us: The longest time in microseconds that clients respect when they are
            told to stay away; 0 where they are told none.
    """

    may_hedge: bool
    max_retry_after_us: int

    @classmethod
    def from_settings(cls, settings: ServiceSettings) -> RetryPolicy:
        """Return the policy that these settings describe."""
        return cls(settings.may_hedge, settings.max_retry_after_us)

    @property
    def unexecuted_retry_after_us(self) -> int:
        """How long a client should stay away whose request was never executed.

        Half of the longest time that clients respect, so that they come back spread out while it
        matters.
        """
        return self.max_retry_after_us // 2

    def allows(self, request: Request, host: HostState, now_us: int) -> bool:
        """Whether the request may have one more attempt, at this host, now.

        The host's retry budget is not looked at: what waits for an origin spends none.
        """
        if request.answered:
            return False
        if request.in_flight and not self.may_hedge:
            return False
        return allows_attempt_after(
            request.attempts,
            host,
            request.request_class,
            request.max_attempts + request.redirects,
            now_us,
        )

    def retry_after_us(
        self, request: Request, request_class: RequestClass, now_us: int
    ) -> int | None:
        """How long a client that is denied should stay away; None where its retry may do harm.

        A retry of what may have run must come while its idempotency key is remembered, as it would
        run again later.

        Args:
            request: The request that is given up.
            request_class: Its class, or the one that shadow evaluation asks about.
            now_us: The time in microseconds.
        """
        retry_after_us = self.unexecuted_retry_after_us
        executed = _unrepeatable_attempts(request.attempts, request_class)
        if not executed:
            return retry_after_us
        every_host_deduplicates = (
            request_class.idempotency_keyed and request_class.deduplication_scope == "all"
        )
        if not every_host_deduplicates:
            return None
        remembered_us = request_class.deduplication_window_us - (now_us - executed[0].started_at_us)
        return min(retry_after_us, max(0, remembered_us) // 2)


def allows_attempt_after(
    attempts: Sequence[Attempt],
    host: HostState,
    request_class: RequestClass,
    max_attempts: int,
    now_us: int,
) -> bool:
    """Whether one more attempt, at this host, is safe after these.

    Args:
        attempts: The earlier attempts of the request, in their order.
        host: Where the next one would go.
        request_class: Says what a second execution would do.
        max_attempts: How many the request may have, with those that were redirected.
        now_us: The time in microseconds.
    """
    if len(attempts) >= max_attempts:
        return False
    executed = _unrepeatable_attempts(attempts, request_class)
    if not executed:
        return True
    key_is_remembered = (
        request_class.idempotency_keyed
        and now_us - executed[0].started_at_us < request_class.deduplication_window_us
    )
    if not key_is_remembered:
        return False
    scope = request_class.deduplication_scope
    return all(_deduplicate_together(attempt.host, host, scope) for attempt in executed)


def latest_start_us(request: Request, number: int) -> int:
    """Until when the attempt of this number may be written to its host, in microseconds.

    A repeat of what may have run has to be at its host before the idempotency key is forgotten
    there, and the connection for it can come up late.
    """
    request_class = request.request_class
    if not request_class.idempotency_keyed:
        return request.deadline_us
    executed = possibly_executed(request.attempts[:number])
    if not executed:
        return request.deadline_us
    forgotten_at_us = executed[0].started_at_us + request_class.deduplication_window_us
    return min(request.deadline_us, forgotten_at_us)


def has_retry_budget(host: HostState) -> bool:
    """Whether the host's answers have paid for another attempt."""
    return host.retry_budget >= RETRY_COST


def earn_retry_budget(host: HostState) -> None:
    """An answer came from the host."""
    host.retry_budget = min(MAX_RETRY_BUDGET, host.retry_budget + RETRY_BUDGET_PER_ANSWER)


def forfeit_retry_budget(host: HostState) -> None:
    """An answer of the host was spoilt: it pays as for a retry, as far as it can."""
    host.retry_budget = max(0.0, host.retry_budget - RETRY_COST)


def _unrepeatable_attempts(
    attempts: Sequence[Attempt], request_class: RequestClass
) -> Sequence[Attempt]:
    """Those that a further attempt could execute a second time, where that does harm."""
    return () if request_class.idempotent else possibly_executed(attempts)


def _deduplicate_together(first: HostState, second: HostState, scope: str) -> bool:
    """Whether both hosts drop repeats of the same idempotency keys; scope: all, zone or cell."""
    if scope == "zone":
        return first.zone == second.zone
    if scope == "cell":
        return first.cell == second.cell
    return True
