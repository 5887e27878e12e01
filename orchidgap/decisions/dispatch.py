"""The last stage: sends attempts, handles overdue ones, and records outcomes by host."""

from __future__ import annotations

from orchidgap.decisions.origin import Origin
from orchidgap.decisions.outlier_ejection import (
    EJECTION_DECREASE_RATIO,
    FAILED_ANSWER_OUTCOMES,
    HOST_FAILURES,
    ejection_time_us,
    should_eject,
)
from orchidgap.decisions.pipeline import PipelineContext, Stage
from orchidgap.decisions.placement import Placement
from orchidgap.decisions.records import Attempt, AttemptOutcome, HostState, Request
from orchidgap.decisions.rejections import RejectionReason
from orchidgap.decisions.repeat_safety import RepeatSafety
from orchidgap.decisions.retry_policy import (
    RETRY_COST,
    earn_retry_budget,
    forfeit_retry_budget,
    has_retry_budget,
)
from orchidgap.decisions.settings import ServiceSettings

# An attempt is overdue after this many tenths of the latency objective, at a server that owns its
# slots after the whole objective. There and at an origin it is overdue no earlier than after this
# many times the host's smoothed latency.
OVERDUE_TENTHS = 6
MIN_OVERDUE_LATENCIES = 4
# An attempt in flight for this many times the latency of a host that answers others was lost in
# transit.
LOST_ATTEMPT_LATENCIES = 6
OVERDUE_DECREASE_RATIO = 0.2  # an overdue attempt multiplies a limit by this if hedging is off

# The host answered the attempt as intended.
ANSWERS = frozenset((AttemptOutcome.DONE, AttemptOutcome.CACHE_MISS, AttemptOutcome.REDIRECTED))


class Dispatch(Stage):
    """Sends requests to the hosts that the stages above have selected."""

    def __init__(self, context: PipelineContext, placement: Placement, origin: Origin) -> None:
        """Use the state of these two stages to decide on overdue attempts."""
        super().__init__(context)
        self.placement = placement
        self.origin = origin

    def forward(self, request: Request, host: HostState | None = None) -> None:
        """Send an attempt to the host, or reject a request that has used up its attempts."""
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
        """Count the attempt as in flight at its host, and start its timer.

        This is delayed while a slow client still sends the body: the host would seem slow, and the
        attempt would take up its concurrency limit.
        """
        context = self.context
        host = attempt.host
        attempt.started_at_us = context.now
        host.in_flight += 1
        overdue_after_us = context.latency_objective_us * OVERDUE_TENTHS // 10
        if context.limiter.hosts_are_owners:
            overdue_after_us = context.latency_objective_us
        if host.is_origin or context.limiter.hosts_are_owners:
            overdue_after_us = max(
                overdue_after_us, MIN_OVERDUE_LATENCIES * host.smoothed_latency_us
            )
        context.call_later(overdue_after_us, self.on_attempt_overdue, attempt)

    def on_attempt_overdue(self, attempt: Attempt) -> None:
        """Hedge an overdue attempt that was lost, or record it as slow and perhaps cancel it.

        The timeout of the attempt would be noticed a second too late. An attempt at an origin is
        not cancelled: its answer is awaited.
        """
        if attempt.outcome:
            return
        host = attempt.host
        if self.is_lost(attempt):
            self._hedge(attempt)
        elif not host.is_origin:
            self._record_latency(host, self.context.now - attempt.started_at_us, False)
            if not self.context.settings.may_hedge:
                # This balancer gets few answers of the host, and none while the host is silent.
                self.context.limiter.decrease_limit(host, OVERDUE_DECREASE_RATIO)
            if self.should_cancel(attempt, self.context.settings):
                self._cancel(attempt)

    def is_lost(self, attempt: Attempt) -> bool:
        """Return whether an attempt was lost: the host is quick and answered others since."""
        host = attempt.host
        time_in_flight_us = self.context.now - attempt.started_at_us
        return (
            host.last_response_at_us > attempt.started_at_us
            and LOST_ATTEMPT_LATENCIES * host.smoothed_latency_us < time_in_flight_us
        )

    def should_cancel(self, attempt: Attempt, settings: ServiceSettings) -> bool:
        """Return whether to cancel an overdue read at its cache, for an origin with capacity.

        The host must have been silent since the attempt, unless hedging is off. The read goes to
        the origin because a neighbour lacks the key and would be overloaded in turn. It is paid for
        by the retry budget of all caches together.

        Args:
            attempt: An overdue attempt at a cache.
            settings: They determine what is allowed: those in force, or others for shadow
                evaluation.
        """
        request = attempt.request
        host_is_silent = attempt.host.last_response_at_us <= attempt.started_at_us
        may_cancel = settings.may_cancel and (host_is_silent or not settings.may_hedge)
        has_attempts_left = request.attempts_used < request.max_attempts
        may_continue = not request.answered and has_attempts_left
        return (
            may_cancel
            and request.repeat_safety is RepeatSafety.IDEMPOTENT
            and may_continue
            and has_retry_budget(self.placement.all_caches)
            and self.origin.has_spare_capacity()
        )

    def on_attempt_done(self, request: Request, attempt: Attempt) -> None:
        """Update the host's state, and pass the outcome up."""
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
        # A miss is answered at once: its time is no measure of the latency of answers.
        has_latency = outcome == AttemptOutcome.DONE or (
            outcome == AttemptOutcome.TIMED_OUT and not self.is_lost(attempt)
        )
        if has_latency:
            is_answer = outcome == AttemptOutcome.DONE
            self._record_latency(host, now - attempt.started_at_us, is_answer)
        elif outcome in HOST_FAILURES:
            self._on_host_failure(host, outcome)
        self.previous_stage.on_attempt_done(request, attempt)

    def _hedge(self, attempt: Attempt) -> None:
        """Repeat a lost attempt at the same host: a neighbour would lack the key."""
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
        if outcome in FAILED_ANSWER_OUTCOMES:
            forfeit_retry_budget(host)
        if outcome == AttemptOutcome.QUEUE_FULL:
            host.attempt_count += 1  # the attempt counts twice for the rebalance
        servers_own_slots = context.slot_map is not None
        if outcome == AttemptOutcome.CONNECTION_REFUSED and not (
            host.is_origin or servers_own_slots
        ):
            # No process listens there: the next one will be cold, and may start before the list
            # contains its start.
            self.placement.slow_start.begin(host, context.now)
        if should_eject(host, outcome):
            context.limiter.decrease_limit(host, EJECTION_DECREASE_RATIO)
            ejection_us = ejection_time_us(host, outcome)
            host.ejected_until_us = context.now + ejection_us
            context.call_later(ejection_us, context.drain_queues)
