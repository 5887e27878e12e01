"""What hosts report of their load, and the lower limit of a cache that holds far more than others.

What a host holds comes from all balancers: a few answers of one's own say less of it.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from math import inf

from orchidgap.decisions.concurrency_limit import ConcurrencyLimiter
from orchidgap.decisions.ports import RuleContext
from orchidgap.decisions.records import HostState
from orchidgap.decisions.settings import ServiceSettings

REPORT_LIFETIME_US = 10_000_000  # after which a report says nothing
FAIR_RATIO = 3  # times the median, and
FAIR_MARGIN_ATTEMPTS = 2  # so that chance is no reason
MIN_DECREASE_RATIO = 0.1  # what a cut leaves of a limit at least


def are_judged(settings: ServiceSettings) -> bool:
    """Whether hosts tell what they hold, so that they can be judged by it."""
    return "concurrent" in settings.reported_fields


def fair_in_flight(reports: Sequence[float]) -> float:
    """How many attempts a cache of weight 1 may hold beside others: well over what the median does.

    Args:
        reports: What caches hold over their weights, in ascending order.

    Returns:
        Attempts in flight from all balancers; infinity where nothing was reported.
    """
    if not reports:
        return inf
    return FAIR_RATIO * reports[len(reports) // 2] + FAIR_MARGIN_ATTEMPTS


class LoadReports:
    """Judges each report by what is fair beside the others.

    Attributes:
        fair_in_flight: Attempts that a cache of weight 1 may hold.
    """

    def __init__(self, context: RuleContext, limiter: ConcurrencyLimiter) -> None:
        """Take the time from the context; cut limits of the limiter."""
        self.context = context
        self.limiter = limiter
        self.fair_in_flight = inf

    def refresh(self, caches: Iterable[HostState]) -> None:
        """Set what is fair by the recent reports of these caches."""
        oldest_us = self.context.now - REPORT_LIFETIME_US
        self.fair_in_flight = fair_in_flight(
            sorted(
                cache.reported_in_flight / cache.weight
                for cache in caches
                if cache.reported_at_us > oldest_us
            )
        )

    def record(self, cache: HostState, in_flight: float) -> None:
        """A cache told how many attempts it holds; one that holds too many is cut in proportion."""
        cache.reported_in_flight = in_flight
        cache.reported_at_us = self.context.now
        fair = self.fair_in_flight * cache.weight
        if in_flight > fair:
            self.limiter.decrease_limit(cache, max(MIN_DECREASE_RATIO, fair / in_flight))
