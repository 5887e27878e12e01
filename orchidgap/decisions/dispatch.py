"""The last stage: sends attempts, watches late ones, and keeps hosts' records by outcomes."""

from __future__ import annotations

from orchidgap.decisions.origin import Origin
from orchidgap.decisions.outlier_ejection import (
    EJECTION_DECREASE_RATIO,
    HOST_FAILURES,
    SPOILT_OUTCOMES,
    ejection_time_us,
    should_eject,
)
from orchidgap.decisions.pipeline import PipelineContext, Stage
from orchidgap.decisions.placement import Placement
from orchidgap.decisions.records import Attempt, AttemptOutcome, HostState, Request
from orchidgap.decisions.rejections import RejectionReason
from orchidgap.decisions.retry_policy import (
    RETRY_COST,
    earn_retry_budget,
    forfeit_retry_budget,
    has_retry_budget,
)
from orchidgap.decisions.settings import ServiceSettings

# An attempt is late after this part of the latency objective, at a server that owns its slots after
# the whole; there and at an origin after so many of its latencies at least.
LATE_TENTHS = 6
ORIGIN_LATE_LATENCIES = 4
LOST_LATENCIES = 6  # of a host that answers others: who is out that long was lost on the way
SILENT_DECREASE_RATIO = 0.2  # what is left of a late host's limit where requests are not hedged

# The host served its part of the request.
ANSWERS = frozenset((AttemptOutcome.DONE, AttemptOutcome.CACHE_MISS, AttemptOutcome.REDIRECTED))


class Dispatch(Stage):
    """Sends requests to the hosts that the stages above have chosen."""

    def __init__(self, context: PipelineContext, placement: Placement, origin: Origin) -> None:
        """Decide on late attempts by what the two stages know of other hosts."""
        super().__init__(context)
        self.placement = placement
        self.origin = origin

    def forward(self, request: Request, host: HostState | None = None) -> None:
        """Send an attempt to the host; rejects the request where it has used up its attempts."""
        if host is None or request.attempts_used >= request.max_attempts:
            self.context.reject_if_idle(request, RejectionReason.NOT_REPEATABLE)
            return
        attempt = Attempt(request, host, self.context.now)
        request.redirect_target = None
        request.attempts.append(attempt)
        request.in_flight += 1
        request.queued = False
        host.attempt_count += 1
        if not host.is_origin:
            self.placement.slow_start.on_placed(request)
            self.placement.all_caches.attempt_count += 1
        if not request.body_streaming:
            self.start(attempt)
        self.context.port.dispatch(request.id, host.id)

    def start(self, attempt: Attempt) -> None:
        """From now on the attempt counts at its host, and its time runs.

        Not while a slow client still sends the body: it would look like a slow host, and use up
        its limit.
        """
        context = self.context
        host = attempt.host
        attempt.started_at_us = context.now
        host.in_flight += 1
        late_after_us = context.latency_objective_us * LATE_TENTHS // 10
        if context.limiter.hosts_are_owners:
            late_after_us = context.latency_objective_us
        if host.is_origin or context.limiter.hosts_are_owners:
            late_after_us = max(late_after_us, ORIGIN_LATE_LATENCIES * host.smoothed_latency_us)
        context.call_later(late_after_us, self.on_attempt_overdue, attempt)

    def on_attempt_overdue(self, attempt: Attempt) -> None:
        """Hedge an attempt that is still in flight, or count it as slow and maybe cancel it.

        The host's time-out would tell a second too late. An origin is waited for.
        """
        if attempt.outcome:
            return
        host = attempt.host
        if self.is_lost(attempt):
            self._hedge(attempt)
        elif not host.is_origin:
            self._record_latency(host, self.context.now - attempt.started_at_us, False)
            if not self.context.settings.may_hedge:
                # Few of its answers come here, and none while it is silent.
                self.context.limiter.decrease_limit(host, SILENT_DECREASE_RATIO)
            if self.should_cancel(attempt, self.context.settings):
                self._cancel(attempt)

    def is_lost(self, attempt: Attempt) -> bool:
        """Whether silence says nothing of the host: it is quick, and has answered others since."""
        host = attempt.host
        time_in_flight_us = self.context.now - attempt.started_at_us
        return (
            host.last_response_at_us > attempt.started_at_us
            and LOST_LATENCIES * host.smoothed_latency_us < time_in_flight_us
        )

    def should_cancel(self, attempt: Attempt, settings: ServiceSettings) -> bool:
        """Whether a late read is given up at its cache, for an origin with time.

        At a host that has been silent since; where no second attempt may be in flight, at any. A
        neighbour lacks the key, and crowds in its turn. All caches together must have earned it.

        Args:
            attempt: A late one at a cache.
            settings: Say what is allowed: those that count, or others that shadow evaluation
                asks about.
        """
        request = attempt.request
        host_is_silent = attempt.host.last_response_at_us <= attempt.started_at_us
        may_cancel = settings.may_cancel and (host_is_silent or not settings.may_hedge)
        has_attempts_left = request.attempts_used < request.max_attempts
        may_go_on = not request.answered and has_attempts_left
        return (
            may_cancel
            and request.request_class.idempotent
            and may_go_on
            and has_retry_budget(self.placement.all_caches)
            and self.origin.has_spare_capacity()
        )

    def on_attempt_done(self, request: Request, attempt: Attempt) -> None:
        """Keep the host's record, and pass the outcome up."""
        host = attempt.host
        outcome = attempt.outcome
        now = self.context.now
        if outcome in ANSWERS:
            host.ejected_until_us = 0
            host.last_response_at_us = now
            earn_retry_budget(host)
            earn_retry_budget(self.placement.all_caches)
        if outcome == AttemptOutcome.DONE and not host.is_origin:
            self.placement.slow_start.answers += 1
        # A miss is told at once: it says nothing of how long an answer takes.
        tells_latency = outcome == AttemptOutcome.DONE or (
            outcome == AttemptOutcome.TIMED_OUT and not self.is_lost(attempt)
        )
        if tells_latency:
            is_answer = outcome == AttemptOutcome.DONE
            self._record_latency(host, now - attempt.started_at_us, is_answer)
        elif outcome in HOST_FAILURES:
            self._on_host_failure(host, outcome)
        self.previous_stage.on_attempt_done(request, attempt)

    def _hedge(self, attempt: Attempt) -> None:
        """Send a lost attempt once more to the same host: a neighbour would lack the key."""
        request = attempt.request
        host = attempt.host
        is_listed = host in self.placement.ring or host in self.origin.hosts
        if (
            is_listed
            and has_retry_budget(host)
            and self.placement.accepts(host)
            and self.context.may_retry(request, host)
        ):
            host.retry_budget -= RETRY_COST
            self.forward(request, host)

    def _cancel(self, attempt: Attempt) -> None:
        request = attempt.request
        self.placement.all_caches.retry_budget -= RETRY_COST
        request.attempt_cancelled = True
        self.context.port.cancel(request.id, request.attempts.index(attempt))

    def _record_latency(self, host: HostState, latency_us: int, is_answer: bool) -> None:
        limiter = self.context.limiter
        limiter.record_latency(host, latency_us, is_answer)
        if not host.is_origin:
            limiter.record_latency(self.placement.all_caches, latency_us, is_answer)

    def _on_host_failure(self, host: HostState, outcome: AttemptOutcome) -> None:
        context = self.context
        if outcome in SPOILT_OUTCOMES:
            forfeit_retry_budget(host)
        if outcome == AttemptOutcome.QUEUE_FULL:
            host.attempt_count += 1  # twice, for the rebalance
        servers_own_slots = context.slot_map is not None
        if outcome == AttemptOutcome.CONNECTION_REFUSED and not (
            host.is_origin or servers_own_slots
        ):
            # Nobody listens: the next process will be cold, and may be there before the list tells.
            self.placement.slow_start.begin(host, context.now)
        if should_eject(host, outcome):
            context.limiter.decrease_limit(host, EJECTION_DECREASE_RATIO)
            ejection_us = ejection_time_us(host, outcome)
            host.ejected_until_us = context.now + ejection_us
            context.call_later(ejection_us, context.drain_queues)
