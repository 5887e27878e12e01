"""Checks attempts and rejections that could cause an effect to be executed twice."""

from __future__ import annotations

from orchidgap.simulation.lateness import RecordBreach
from orchidgap.simulation.observations import ClientAttempt, HostAttempt
from orchidgap.simulation.plan import BalancerLimits, milliseconds_to_us

NEVER_EXECUTED = frozenset(("full", "miss", "moved"))
TWICE = "twice"


class RepeatChecker:
    """Checks at once what hosts and clients saw."""

    def __init__(
        self, limits: BalancerLimits, tolerance_us: int, record_breach: RecordBreach
    ) -> None:
        """Check against the plan's limits, extended by the tolerance in microseconds."""
        self.limits = limits
        self.tolerance_us = tolerance_us
        self.record_breach = record_breach

    def on_host_attempt(self, sent: HostAttempt, at_us: int, who: str) -> None:
        """Check an attempt that reached its host; earlier attempts are recorded already."""
        self._check_repeat(sent, at_us, who)
        self._check_attempt_count(sent.client_attempt, at_us, who)

    def _check_repeat(self, sent: HostAttempt, at_us: int, who: str) -> None:
        """Check that a possibly executed request is repeated only where hosts drop the repeat."""
        request_class = sent.client_attempt.operation.request_class
        earlier = possibly_executed(sent.client_attempt)
        if not earlier:
            return
        if request_class.effect == "non-replayable":
            self.record_breach(
                TWICE, at_us, f"{who}: sent again, though {earlier[0].host} may have executed it"
            )
        if request_class.effect == "uniqued":
            window_us = milliseconds_to_us(request_class.deduplication_window_ms)
            elapsed_us = sent.first_byte_at_us - earlier[0].first_byte_at_us
            if elapsed_us > window_us + self.tolerance_us:
                self.record_breach(
                    TWICE, at_us, f"{who}: sent again after the deduplication window"
                )
            if any(other.group != sent.group for other in earlier):
                self.record_breach(
                    TWICE, at_us, f"{who}: sent again outside of its deduplication group"
                )

    def _check_attempt_count(self, attempt: ClientAttempt, at_us: int, who: str) -> None:
        in_flight = any(sent.in_flight for sent in attempt.host_attempts)
        if not self.limits.may_hedge and in_flight:
            self.record_breach(
                TWICE,
                at_us,
                f"{who}: sent while another attempt is in flight, though hedging is off",
            )
        count = sum(sent.outcome != "moved" for sent in attempt.host_attempts)
        if count >= (attempt.max_attempts or self.limits.max_attempts):
            number = len(attempt.host_attempts) + 1
            self.record_breach(
                TWICE, at_us, f"{who}: attempt {number} exceeds the maximum number of attempts"
            )

    def on_rejection(self, attempt: ClientAttempt, at_us: int, who: str) -> None:
        """Check that a retry by a client that was denied is harmless."""
        request_class = attempt.operation.request_class
        earlier = possibly_executed(attempt)
        if earlier and request_class.effect == "non-replayable":
            host = earlier[0].host
            self.record_breach(TWICE, at_us, f"{who}: denied, though {host} may have executed it")
        is_scoped = request_class.deduplication_scope != "all"
        if earlier and request_class.effect == "uniqued" and is_scoped:
            self.record_breach(
                TWICE, at_us, f"{who}: denied, though a retry may reach another deduplication group"
            )


def possibly_executed(attempt: ClientAttempt) -> list[HostAttempt]:
    """Return the attempts of a request that their hosts may have executed, by their answers."""
    return [sent for sent in attempt.host_attempts if sent.outcome not in NEVER_EXECUTED]
