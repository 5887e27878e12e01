"""The entry points of the decisions, called by the host program, and the state shared by stages.

A host program creates one `Balancer`, sets `now` (whole microseconds) before each call, and calls
the `on_` methods when events occur. The balancer acts through its `Port`. A request passes down
the pipeline Admission, Coalescing, Placement, Origin, Dispatch; the outcomes of its attempts pass
up it. The rules are in those modules and the modules that they use.
"""

from __future__ import annotations

from collections.abc import Iterable
from random import Random

from orchidgap.decisions.admission import Admission
from orchidgap.decisions.coalescing import Coalescing
from orchidgap.decisions.concurrency_limit import ConcurrencyLimiter
from orchidgap.decisions.dispatch import Dispatch
from orchidgap.decisions.hash_ranges import SLOT_COUNT, slot_of_key
from orchidgap.decisions.host_list import (
    HostEntry,
    ListScope,
    max_retry_delay_us,
    merge_host_list,
)
from orchidgap.decisions.load_reports import reports_in_flight
from orchidgap.decisions.origin import Origin
from orchidgap.decisions.pipeline import connect_stages
from orchidgap.decisions.placement import Placement
from orchidgap.decisions.ports import Port
from orchidgap.decisions.records import AttemptOutcome, HostState, HostStatus, Request
from orchidgap.decisions.rejections import RejectionReason
from orchidgap.decisions.repeat_safety import Idempotency
from orchidgap.decisions.request_table import RequestTable
from orchidgap.decisions.retry_policy import INITIAL_RETRY_BUDGET, forfeit_retry_budget
from orchidgap.decisions.settings import ServiceSettings
from orchidgap.decisions.slot_map import SlotMap

TICK_INTERVAL_US = 500_000
EARLY_EXPIRY_US = 20_000  # a queued request is rejected this long before its client's deadline


class Balancer(RequestTable):
    """Decides how each request is handled; it is the `PipelineContext` of its stages.

    Attributes:
        latency_objective_us: The shortest latency objective of all request classes.
        rng: The only source of randomness.
        limiter: The concurrency limits of all hosts.
        slot_map: The owners of slots, set by the host program if servers own their slots.
        dispatch_type: The class of the last stage.
    """

    dispatch_type: type[Dispatch] = Dispatch

    def __init__(self, settings: ServiceSettings, port: Port, seed: int, now: int) -> None:
        """Start without hosts.

        Args:
            settings: The service's settings.
            port: The host program.
            seed: The seed of the random generator.
            now: The current time in microseconds.
        """
        super().__init__(settings, port, now)
        self.rng = Random(seed)
        self.latency_objective_us = settings.latency_objective_us
        self.limiter = ConcurrencyLimiter(self)
        self.slot_map: SlotMap | None = None
        self._subscribe_failures = 0  # consecutive failed subscriptions
        self.origin = Origin(self)
        self.placement = Placement(self, self.origin)
        self.admission = Admission(self, self.placement, self.origin)
        self.coalescing = Coalescing(self)
        self.dispatch = self.dispatch_type(self, self.placement, self.origin)
        self.attempt_listener = self.dispatch
        connect_stages(self.admission, self.coalescing, self.placement, self.origin, self.dispatch)
        self.call_later(TICK_INTERVAL_US, self._tick)
        if settings.subscribes:
            self._subscribe_within(settings.subscribe_within_us // 10)

    # Events that the host program reports.

    def on_request(
        self,
        request_id: int,
        time_remaining_us: int,
        is_write: bool,
        request_class: str,
        key: int | None,
        tenant: str,
        slot: int = -1,
        body_streaming: bool = False,
        waited_us: int = 0,
        is_client_retry: bool = False,
        idempotency: Idempotency = Idempotency.UNKEYED,
    ) -> None:
        """Handle a new request.

        Args:
            request_id: A number that no other request has.
            time_remaining_us: Time until its client stops waiting.
            is_write: Whether it is a write.
            request_class: The name of its class in the settings.
            key: The requested key; None if it has none, and a slot is chosen at random.
            tenant: The name of the tenant that sent it.
            slot: The key's slot if the protocol defines one; negative to hash the key.
            body_streaming: Whether part of its body has yet to arrive.
            waited_us: Time since its last byte arrived. A process that was stalled handles it
                late, but its latency objective counts from its arrival.
            is_client_retry: Whether its client marked it as a retry.
            idempotency: What it tells of repeats; without an idempotency key or by its protocol it
                may be less safe to repeat than its class.
        """
        if slot < 0:
            slot = self.rng.randrange(SLOT_COUNT) if key is None else slot_of_key(key)
        request = Request(
            request_id,
            self.settings.request_classes[request_class],
            tenant,
            key,
            slot,
            is_write,
            self.now - waited_us,
            self.now + time_remaining_us,
            self.settings.max_attempts,
            idempotency,
            handled_at_us=self.now,
            body_streaming=body_streaming,
            is_client_retry=is_client_retry,
        )
        self.requests[request_id] = request
        self.admission.forward(request)

    def on_body_complete(self, request_id: int, time_remaining_us: int, waited_us: int = 0) -> None:
        """Start the request's time: the last byte of its body arrived `waited_us` ago."""
        request = self.requests.get(request_id)
        if request is None:
            return
        request.body_streaming = False
        request.received_at_us = self.now - waited_us
        request.handled_at_us = self.now
        request.deadline_us = self.now + time_remaining_us
        for attempt in request.attempts:
            if not attempt.outcome:
                self.dispatch.start(attempt)

    def on_redirected(self, request_id: int, number: int, target_id: str) -> None:
        """Handle a redirection to another host; the attempt was not executed."""
        request = self.requests.get(request_id)
        if request is not None:
            request.redirects += 1
            request.redirect_target = self.hosts.get(target_id)
            self.on_outcome(request_id, number, AttemptOutcome.REDIRECTED, False)

    def on_response_truncated(self, host_id: str) -> None:
        """Handle an answer that broke off after a part of it was sent to the client."""
        host = self.hosts.get(host_id)
        if host is not None:
            forfeit_retry_budget(host)

    def on_load_report(
        self, host_id: str, request_rate: float | None, in_flight: float | None = None
    ) -> None:
        """Record a load report: requests per second, attempts in flight at the host, or both."""
        host = self.hosts.get(host_id)
        if host is None:
            return
        if request_rate is not None:
            host.reported_request_rate = request_rate
        if in_flight is not None and reports_in_flight(self.settings) and not host.is_origin:
            self.placement.load_reports.record(host, in_flight)

    def on_settings(self, settings: ServiceSettings) -> None:
        """Apply new settings at once; open requests keep their class and maximum of attempts.

        Hedging, cancellation and Retry-After times follow the new settings for open requests too.
        """
        super().on_settings(settings)
        self.latency_objective_us = settings.latency_objective_us
        self.placement.ranges.by_weight = settings.uses_listed_weights
        self.admission.update_tenants()
        self.drain_queues()

    def on_hosts(self, scope: ListScope, entries: Iterable[HostEntry]) -> None:
        """Apply a host list from discovery, or retry after a failed subscription.

        Args:
            scope: Which hosts the list covers, or that the subscription failed.
            entries: The listed hosts.
        """
        if scope == ListScope.FAILED:
            self._subscribe_failures += 1
            within_us = self.settings.subscribe_within_us
            self._subscribe_within(max_retry_delay_us(self._subscribe_failures, within_us))
            return
        self._subscribe_failures = 0
        self.hosts = merge_host_list(
            self.hosts,
            entries,
            is_whole=scope != ListScope.CHANGES,
            origin_kind=self.settings.origin_kind,
            on_started=self._on_host_started,
        )
        ready = [host for host in self.hosts.values() if host.state == HostStatus.READY]
        self.origin.hosts = [host for host in ready if host.is_origin]
        self.placement.update_ring([host for host in ready if not host.is_origin])
        self.drain_queues()

    # Operations shared by the stages.

    def slot_owner(self, request: Request) -> HostState | None:
        """Return the host that the last redirection named, else the owner in the slot map."""
        if request.redirect_target:
            return request.redirect_target
        owner_id = self.slot_map.owner(request.slot) if self.slot_map else None
        return self.hosts.get(owner_id) if owner_id else None

    def drain_queues(self) -> None:
        """Forward requests queued for caches and origins, as far as hosts have capacity."""
        self.placement.drain_queue()
        self.origin.drain_queue()

    def start_queue_timer(self, request: Request, reason: RejectionReason) -> None:
        """Mark the request as queued, and reject it when its latency objective expires.

        It is rejected `EARLY_EXPIRY_US` before its client's deadline if that is earlier, and in
        either case only if none of its attempts is in flight then.
        """
        request.queued = True
        request.queue_timeout = reason
        objective_us = request.received_at_us + request.request_class.latency_objective_us
        expires_at_us = min(objective_us, request.deadline_us - EARLY_EXPIRY_US)
        self.call_later(expires_at_us - self.now, self._on_queue_timeout, request)

    def _on_queue_timeout(self, request: Request) -> None:
        self.reject_if_idle(request, request.queue_timeout)

    def close_request(self, request: Request) -> None:
        """Close an answered request: cancel its attempts in flight, and end its fetch."""
        if request.answered:
            return
        super().close_request(request)
        for number, attempt in enumerate(request.attempts):
            if not attempt.outcome and self.settings.may_cancel:
                self.port.cancel(request.id, number)
        filled = any(attempt.outcome == AttemptOutcome.DONE for attempt in request.attempts)
        self.coalescing.on_request_closed(request, filled)

    def _tick(self) -> None:
        self.admission.tick()
        self.placement.tick()
        self.drain_queues()
        self.call_later(TICK_INTERVAL_US, self._tick)

    def _subscribe_within(self, delay_us: int) -> None:
        """Subscribe after a random delay: balancers that start together must not do so at once."""
        self.call_later(self.rng.randrange(delay_us + 1), self.port.subscribe)

    def _on_host_started(self, host: HostState, started_at_us: int) -> None:
        """Reset the host's state: nothing known of its previous process applies to the new one."""
        host.started_at_us = started_at_us
        self.limiter.reset(host)
        host.attempt_count = 0
        host.counted_since_us = self.now
        host.reported_request_rate = -1.0
        host.ejected_until_us = 0
        host.retry_budget = INITIAL_RETRY_BUDGET
        self.placement.slow_start.begin(host, started_at_us)
        if host.is_origin or not started_at_us:
            host.warm_at_us = 0
