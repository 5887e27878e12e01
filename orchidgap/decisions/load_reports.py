"""Evaluates load reports of hosts, and reduces the limit of caches with far more load than others.

The reported attempts in flight are those of all balancers, so they show the load of a host better
than the few answers that one balancer receives.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from math import inf

from orchidgap.decisions.concurrency_limit import ConcurrencyLimiter
from orchidgap.decisions.ports import RuleContext
from orchidgap.decisions.records import HostState
from orchidgap.decisions.settings import ServiceSettings

REPORT_LIFETIME_US = 10_000_000  # older reports are ignored
FAIR_RATIO = 3  # a fair load is at most this many times the median, plus the margin below
FAIR_MARGIN_ATTEMPTS = 2  # so that random variation does not exceed a fair load
MIN_DECREASE_RATIO = 0.1  # a load report multiplies a limit by at least this


def reports_in_flight(settings: ServiceSettings) -> bool:
    """Return whether hosts report their attempts in flight, so that limits may depend on it."""
    return "concurrent" in settings.reported_fields


def fair_in_flight(reports: Sequence[float]) -> float:
    """Return how many attempts a cache of weight 1 may have in flight: well above the median.

    Args:
        reports: The attempts in flight of caches over their weights, in ascending order.

    Returns:
        Attempts in flight from all balancers; infinity if nothing was reported.
    """
    if not reports:
        return inf
    return FAIR_RATIO * reports[len(reports) // 2] + FAIR_MARGIN_ATTEMPTS


class LoadReports:
    """Compares each report with a fair load, which is derived from all reports.

    Attributes:
        fair_in_flight: Attempts that a cache of weight 1 may have in flight.
    """

    def __init__(self, context: RuleContext, limiter: ConcurrencyLimiter) -> None:
        """Use the time of the context, and the limiter to decrease limits."""
        self.context = context
        self.limiter = limiter
        self.fair_in_flight = inf

    def refresh(self, caches: Iterable[HostState]) -> None:
        """Recompute the fair load from the recent reports of these caches."""
        oldest_us = self.context.now - REPORT_LIFETIME_US
        self.fair_in_flight = fair_in_flight(
            sorted(
                cache.reported_in_flight / cache.weight
                for cache in caches
                if cache.reported_at_us > oldest_us
            )
        )

    def record(self, cache: HostState, in_flight: float) -> None:
        """Record a cache's attempts in flight; decrease its limit in proportion if too many."""
        cache.reported_in_flight = in_flight
        cache.reported_at_us = self.context.now
        fair = self.fair_in_flight * cache.weight
        if in_flight > fair:
            self.limiter.decrease_limit(cache, max(MIN_DECREASE_RATIO, fair / in_flight))
