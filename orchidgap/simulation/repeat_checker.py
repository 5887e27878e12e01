"""Judges attempts and rejections by which an effect could come twice."""

from __future__ import annotations

from orchidgap.simulation.lateness import RecordBreach
from orchidgap.simulation.observations import ClientAttempt, HostAttempt
from orchidgap.simulation.plan import BalancerLimits, milliseconds_to_us

NEVER_EXECUTED = frozenset(("full", "miss", "moved"))
TWICE = "twice"


class RepeatChecker:
    """Judges at once what hosts and clients saw."""

    def __init__(
        self, limits: BalancerLimits, tolerance_us: int, record_breach: RecordBreach
    ) -> None:
        """Judge by the plan's limits, its times longer by the tolerance in microseconds."""
        self.limits = limits
        self.tolerance_us = tolerance_us
        self.record_breach = record_breach

    def on_host_attempt(self, sent: HostAttempt, at_us: int, who: str) -> None:
        """An attempt is at its host; those before it are known already."""
        self._check_repeat(sent, at_us, who)
        self._check_attempt_count(sent.client_attempt, at_us, who)

    def _check_repeat(self, sent: HostAttempt, at_us: int, who: str) -> None:
        """What may have run before may run again only where its repeat is dropped."""
        request_class = sent.client_attempt.operation.request_class
        earlier = possibly_executed(sent.client_attempt)
        if not earlier:
            return
        if request_class.effect == "non-replayable":
            self.record_breach(
                TWICE, at_us, f"{who}: sent again, though {earlier[0].host} may have run it"
            )
        if request_class.effect == "uniqued":
            window_us = milliseconds_to_us(request_class.deduplication_window_ms)
            elapsed_us = sent.first_byte_at_us - earlier[0].first_byte_at_us
            if elapsed_us > window_us + self.tolerance_us:
                self.record_breach(
                    TWICE, at_us, f"{who}: sent again past the time in which repeats are dropped"
                )
            if any(other.group != sent.group for other in earlier):
                self.record_breach(
                    TWICE, at_us, f"{who}: sent again outside the group that drops repeats"
                )

    def _check_attempt_count(self, attempt: ClientAttempt, at_us: int, who: str) -> None:
        in_flight = any(sent.in_flight for sent in attempt.host_attempts)
        if not self.limits.may_hedge and in_flight:
            self.record_breach(TWICE, at_us, f"{who}: a second copy while one is out")
        count = sum(sent.outcome != "moved" for sent in attempt.host_attempts)
        if count >= (attempt.max_attempts or self.limits.max_attempts):
            number = len(attempt.host_attempts) + 1
            self.record_breach(TWICE, at_us, f"{who}: dispatch {number}, more than may be")

    def on_rejection(self, attempt: ClientAttempt, at_us: int, who: str) -> None:
        """A client was denied: a retry of its own has to be harmless."""
        request_class = attempt.operation.request_class
        earlier = possibly_executed(attempt)
        if earlier and request_class.effect == "non-replayable":
            host = earlier[0].host
            self.record_breach(TWICE, at_us, f"{who}: denied, though {host} may have run it")
        is_scoped = request_class.deduplication_scope != "all"
        if earlier and request_class.effect == "uniqued" and is_scoped:
            self.record_breach(
                TWICE, at_us, f"{who}: denied, though a retry may leave the group that drops it"
            )


def possibly_executed(attempt: ClientAttempt) -> list[HostAttempt]:
    """Return the attempts of a request that a host may have run, by its own answers."""
    return [sent for sent in attempt.host_attempts if sent.outcome not in NEVER_EXECUTED]
