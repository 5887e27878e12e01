"""Shadow evaluation: counts the decisions that other settings would have taken differently.

The balancer decides by its own settings; the other settings have no effect on requests. Each
decision is compared on its own, in the state at the time when it is taken. Later effects of a
different decision are not simulated.
"""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Iterable
from enum import StrEnum

from orchidgap.decisions.balancer import Balancer
from orchidgap.decisions.dispatch import Dispatch
from orchidgap.decisions.host_list import HostEntry, ListScope
from orchidgap.decisions.load_reports import fair_in_flight, reports_in_flight
from orchidgap.decisions.ports import Port
from orchidgap.decisions.records import Attempt, Request
from orchidgap.decisions.retry_policy import RetryPolicy, allows_attempt_after
from orchidgap.decisions.settings import RequestClass, ServiceSettings

LOG_INTERVAL_US = 60_000_000  # least time between two log lines with the counts


class Difference(StrEnum):
    """A kind of decision that is compared. The values are the names in logs and for operators."""

    OWNER = "owner"  # which cache owns the slot
    HEDGE = "copy"  # whether a second attempt is sent while another one is in flight
    RETRY = "repeat"  # whether an attempt follows one that has ended
    CANCELLATION = "call-off"  # whether an overdue attempt is cancelled
    ANSWER = "answer"  # whether a request is denied or aborted
    RETRY_AFTER = "pause"  # the Retry-After time that a denied client gets
    LIMIT = "limit"  # whether a host's limit is decreased because of its load report


class ShadowPort:
    """A port that compares each decision and then passes it on to the real port."""

    def __init__(self, balancer: ShadowBalancer, port: Port) -> None:
        """Wrap the port of this balancer."""
        self.balancer = balancer
        self.port = port
        self.cancel = port.cancel
        self.wake = port.wake
        self.subscribe = port.subscribe
        self.log = port.log

    def dispatch(self, request: int, host: str) -> None:
        """See `Port.dispatch`."""
        self.balancer.compare_attempt(self.balancer.requests[request])
        self.port.dispatch(request, host)

    def deny(self, request: int, retry_after_us: int) -> None:
        """See `Port.deny`."""
        self.balancer.compare_rejection(self.balancer.requests[request], retry_after_us)
        self.port.deny(request, retry_after_us)

    def abort(self, request: int) -> None:
        """See `Port.abort`."""
        self.balancer.compare_rejection(self.balancer.requests[request], None)
        self.port.abort(request)


class ShadowDispatch(Dispatch):
    """A dispatch that also compares the cancellation of overdue attempts."""

    context: ShadowBalancer

    def on_attempt_overdue(self, attempt: Attempt) -> None:
        """See `Dispatch.on_attempt_overdue`."""
        is_compared = not (attempt.outcome or attempt.host.is_origin or self.is_lost(attempt))
        if is_compared:
            cancels = self.should_cancel(attempt, self.context.settings)
            other_cancels = self.should_cancel(attempt, self.context.other_settings)
            self.context.count_if(Difference.CANCELLATION, cancels != other_cancels)
        super().on_attempt_overdue(attempt)


class ShadowBalancer(Balancer):
    """A balancer that decides by its own settings and compares each decision with other settings.

    Attributes:
        other_settings: The settings to compare with.
        differences: The number of decisions that they would have taken differently, by kind.
        attempts_compared: The number of attempts that were compared.
    """

    dispatch_type = ShadowDispatch

    def __init__(
        self,
        other_settings: ServiceSettings,
        settings: ServiceSettings,
        port: Port,
        seed: int,
        now: int,
    ) -> None:
        """Start as a `Balancer` with `settings`; decisions are compared with `other_settings`."""
        self.other_settings = other_settings
        self.other_retry_policy = RetryPolicy.from_settings(other_settings)
        self.differences = dict.fromkeys(Difference, 0)
        self.attempts_compared = 0
        self._logged_at_us = now
        self._logged_summary = ""
        # The ends of even ranges, by the own and by the other settings' weights.
        self._even_range_ends: list[int] = []
        self._other_even_range_ends: list[int] = []
        self._reported_in_flight: dict[str, float] = {}  # by host id, divided by the host's weight
        super().__init__(settings, ShadowPort(self, port), seed, now)

    def summary(self) -> str:
        """Return all counts in one line."""
        counts = (f"{kind} {count}" for kind, count in self.differences.items())
        return ", ".join([f"{self.attempts_compared} dispatches", *counts])

    def count_if(self, kind: Difference, differs: bool) -> None:
        """Count a decision of this kind if the other settings would take it differently."""
        self.differences[kind] += differs

    def compare_attempt(self, request: Request) -> None:
        """Compare the last attempt of a request, which is about to be sent."""
        attempt = request.attempts[-1]
        earlier = request.attempts[:-1]
        self.attempts_compared += 1
        uses_hash_ranges = (
            self._even_range_ends and not self.slot_map and not attempt.host.is_origin
        )
        if not earlier and uses_hash_ranges:
            owner = bisect_right(self._even_range_ends, request.slot)
            other_owner = bisect_right(self._other_even_range_ends, request.slot)
            self.count_if(Difference.OWNER, owner != other_owner)
        is_hedge = any(not other.outcome for other in earlier)
        if is_hedge:
            self.count_if(Difference.HEDGE, not self.other_settings.may_hedge)
        elif earlier:
            allowed = allows_attempt_after(
                earlier,
                attempt.host,
                self._other_request_class(request),
                request.idempotency,
                self.other_settings.max_attempts + request.redirects,
                self.now,
            )
            self.count_if(Difference.RETRY, not allowed)

    def compare_rejection(self, request: Request, retry_after_us: int | None) -> None:
        """Compare a final answer that is about to be sent.

        Args:
            request: The request that is denied or aborted.
            retry_after_us: The time in the denial; None if the request is aborted.
        """
        other_retry_after_us = self.other_retry_policy.retry_after_us(
            request, request.request_class, self.now
        )
        if retry_after_us is None or other_retry_after_us is None:
            self.count_if(Difference.ANSWER, retry_after_us != other_retry_after_us)
        else:
            self.count_if(Difference.RETRY_AFTER, retry_after_us != other_retry_after_us)

    def on_hosts(self, scope: ListScope, entries: Iterable[HostEntry]) -> None:
        """See `Balancer.on_hosts`."""
        super().on_hosts(scope, entries)
        self._reported_in_flight = {
            host_id: in_flight
            for host_id, in_flight in self._reported_in_flight.items()
            if host_id in self.hosts
        }
        ranges = self.placement.ranges
        self._even_range_ends = ranges.even_range_ends(self.settings.uses_listed_weights)
        self._other_even_range_ends = ranges.even_range_ends(
            self.other_settings.uses_listed_weights
        )

    def on_load_report(
        self, host_id: str, request_rate: float | None, in_flight: float | None = None
    ) -> None:
        """See `Balancer.on_load_report`."""
        host = self.hosts.get(host_id)
        if in_flight is not None and host and not host.is_origin:
            self._reported_in_flight[host_id] = in_flight / host.weight
            fair = host.weight * fair_in_flight(sorted(self._reported_in_flight.values()))
            uses_reports = reports_in_flight(self.settings)
            other_uses_reports = reports_in_flight(self.other_settings)
            self.count_if(Difference.LIMIT, in_flight > fair and uses_reports != other_uses_reports)
        super().on_load_report(host_id, request_rate, in_flight)

    def _tick(self) -> None:
        super()._tick()
        if self.now - self._logged_at_us >= LOG_INTERVAL_US:
            summary = self.summary()
            if summary != self._logged_summary:
                self._logged_at_us = self.now
                self._logged_summary = summary
                self.port.log(f"watched so far: {summary}")

    def _other_request_class(self, request: Request) -> RequestClass:
        """Return the class with the same name in the other settings.

        A request that arrived under earlier settings keeps its own class.
        """
        for name, request_class in self.settings.request_classes.items():
            if request_class is request.request_class:
                return self.other_settings.request_classes.get(name, request_class)
        return request.request_class
