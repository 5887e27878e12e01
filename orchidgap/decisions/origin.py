"""The fourth stage: sends writes and misses to an origin, within its adaptive concurrency limit.

The origin has capacity for a small part of all reads only. A request that finds it at its limit is
queued, writes before reads, if it is likely to be served in time; otherwise it is denied at once,
which is better than a denial after a wait. While all caches are cold, misses are not queued: too
many occur at the same time.
"""

from __future__ import annotations

from orchidgap.decisions.pipeline import PipelineContext, Stage
from orchidgap.decisions.records import Attempt, HostState, Request
from orchidgap.decisions.rejections import RejectionReason
from orchidgap.decisions.retry_policy import RETRYABLE_OUTCOMES

# An origin serves reads in place of caches only while the ratio of its latency to its slow
# threshold is below this.
SPARE_SLOWNESS_RATIO = 0.45


class Origin(Stage):
    """Selects the origin with the fewest attempts in flight.

    Attributes:
        hosts: The ready origins.
    """

    queue_timeout = RejectionReason.ORIGIN_QUEUE_TIMEOUT

    def __init__(self, context: PipelineContext) -> None:
        """Start without origins."""
        super().__init__(context)
        self.hosts: list[HostState] = []

    def forward(self, request: Request, host: HostState | None = None) -> None:
        """Pass the request down with its cache or an available origin; else queue or reject it."""
        chosen = host or self.choose_host(request)
        if chosen:
            self.next_stage.forward(request, chosen)
        elif self._is_unsendable(request):
            self.context.reject_if_idle(request, self._unsendable_reason())
        elif self._is_served_in_time(request):
            self.enqueue(request, first=request.is_write)
        else:
            self.context.reject(request, self._refusal_reason())

    def choose_host(self, request: Request) -> HostState | None:
        """Return the least loaded origin of those that may execute the request, if any."""
        context = self.context
        ready = [
            host
            for host in self.hosts
            if context.now >= host.ejected_until_us
            and context.limiter.has_capacity(host)
            and context.may_retry(request, host)
        ]
        return min(ready, key=lambda host: host.total_in_flight) if ready else None

    def has_spare_capacity(self) -> bool:
        """Return whether an origin can serve a read for caches and keep half of its capacity."""
        if self.queue:
            return False
        context = self.context
        return any(
            host.total_in_flight * 2 < host.concurrency_limit - 1
            and context.now >= host.ejected_until_us
            and context.limiter.slowness(host) < SPARE_SLOWNESS_RATIO
            for host in self.hosts
        )

    def is_idle(self) -> bool:
        """Return whether no request is queued or in flight at origins, and one has capacity.

        The smoothed latency is ignored, as it may be outdated: one request measures it again.
        """
        if self.queue or any(host.total_in_flight for host in self.hosts):
            return False
        now = self.context.now
        return any(
            now >= host.ejected_until_us and host.concurrency_limit > 1.0 for host in self.hosts
        )

    def forward_if_spare_capacity(self, request: Request) -> None:
        """Pass a miss down if an origin has spare capacity, else reject it at once.

        This is for a time when all caches have just started and lack nearly all keys: their
        misses, if queued up to the limit, would overload the origin until it answers none in time.
        """
        may_send = self.has_spare_capacity() or self.is_idle() or self._may_probe()
        chosen = self.choose_host(request) if may_send else None
        if chosen:
            self.next_stage.forward(request, chosen)
        elif self._is_unsendable(request):
            self.context.reject_if_idle(request, self._unsendable_reason())
        else:
            self.context.reject(request, self._refusal_reason())

    def _may_probe(self) -> bool:
        """Return whether a miss may be sent as a probe under limits of at most 1 in total.

        The last answers must have been quick or be outdated: the probability that such a limit
        admits a request would not be enough to prevent overload of an origin.
        """
        now = self.context.now
        oldest_us = now - self.context.latency_objective_us
        return self._limit() <= 1.0 and all(
            host.latency_recorded_at_us < oldest_us
            or self.context.limiter.slowness(host) < SPARE_SLOWNESS_RATIO
            for host in self.hosts
        )

    def drain_queue(self) -> None:
        """Forward queued requests; reject those that no origin may execute any more."""
        while self.queue and self.hosts:
            request = self.queue[0]
            if request.answered or not self._is_unsendable(request):
                break
            self.context.reject_if_idle(self.queue.popleft(), self._unsendable_reason())
        super().drain_queue()

    def on_attempt_done(self, request: Request, attempt: Attempt) -> None:
        """Retry a failure of an origin; pass other outcomes up."""
        self.drain_queue()
        failed_here = attempt.outcome in RETRYABLE_OUTCOMES and attempt.host.is_origin
        if failed_here and not (request.answered or self._is_unsendable(request)):
            self.forward(request)
            return
        self.previous_stage.on_attempt_done(request, attempt)

    def _is_unsendable(self, request: Request) -> bool:
        """Return whether no origin may execute the request, however long it waits.

        That is so if it was possibly executed at one that does not deduplicate it, or does not
        any more.
        """
        return not any(self.context.may_retry(request, host) for host in self.hosts)

    def _unsendable_reason(self) -> RejectionReason:
        return RejectionReason.NOT_REPEATABLE if self.hosts else RejectionReason.NO_ORIGIN

    def _refusal_reason(self) -> RejectionReason:
        """Return why no origin accepts a request that would also wait too long in the queue."""
        if all(self.context.now < host.ejected_until_us for host in self.hosts):
            return RejectionReason.ORIGIN_EJECTED
        if self._limit() < 1.0:
            return RejectionReason.ORIGIN_LIMIT
        return RejectionReason.ORIGIN_WAIT

    def _limit(self) -> float:
        return sum(host.concurrency_limit for host in self.hosts)

    def _is_served_in_time(self, request: Request) -> bool:
        """Return whether the request is likely to be served before its deadline and objective.

        A write waits for one answer, a read also for all requests queued before it.
        """
        limit = self._limit()
        if limit < 1.0:
            return False
        latency_us = max((host.smoothed_latency_us for host in self.hosts), default=0)
        queued_before = 0 if request.is_write else len(self.queue)
        objective_us = request.received_at_us + request.request_class.latency_objective_us
        expected_us = self.context.now + latency_us * (1 + queued_before / limit)
        return expected_us <= min(request.deadline_us, objective_us)
