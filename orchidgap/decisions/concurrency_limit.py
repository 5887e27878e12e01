"""How many attempts may be in flight at one host: a limit that follows its latency.

The limit grows by answers while it is used, and falls while answers are slow. A limit on what is
in flight cannot flood a host, however slow it gets. The limits of hundreds of balancers add up,
so a limit goes below 1: it is then the probability that a lone request goes.
"""

from __future__ import annotations

from orchidgap.decisions.ports import RuleContext
from orchidgap.decisions.records import HostState

INITIAL_LIMIT_ATTEMPTS = 24.0  # at one host, from all balancers together
MIN_INITIAL_LIMIT_ATTEMPTS = 2.0
MAX_INITIAL_LIMIT_ATTEMPTS = 8.0
LIMIT_FLOOR_ATTEMPTS = 4  # at one cache, from all balancers together
ORIGIN_LIMIT_FACTOR = 2  # there is one origin for many caches

CACHE_SLOW_RATIO = 0.25  # of the latency objective, above which a cache's answers are slow
ORIGIN_SLOW_RATIO = 0.6
CACHE_MIN_DECREASE_RATIO = 0.5  # what one decrease leaves of a limit at least
ORIGIN_MIN_DECREASE_RATIO = 0.2
MAX_DECREASE_RATIO = 0.9  # what it leaves at most
LATENCY_MEMORY_US = 5_000_000  # a smoothed latency that is older says nothing
# of a server's least latency, above which its answers are slow: load has made them so
OWN_SLOW_RATIO = 1.5
LEAST_LATENCY_STRETCH_US = 10_000_000  # a least latency counts for one to two of these
SMOOTHING_DIVISOR = 8  # a new latency weighs one in so many

# Latency objectives, and requests that wanted the host, until a limit that fell to 0 is 1 again.
RECOVERY_OBJECTIVES = 24
ORIGIN_RECOVERY_DIVISOR = 3  # by time alone an origin's limit recovers so much slower


class ConcurrencyLimiter:
    """Keeps the limits, which stand in `HostState`.

    Attributes:
        hosts_are_owners: No other host can serve in a host's place. Then nothing is won by leaving
            one alone that is slow but no slower than without load: its answers count as slow by
            its own least latency too.
    """

    def __init__(self, context: RuleContext) -> None:
        """Take time, settings and randomness from the context."""
        self.context = context
        self.hosts_are_owners = False

    def reset(self, host: HostState) -> None:
        """Set the limit of a host that has just started, or is new.

        The start is low, so that all balancers together do not crowd it; it is left fast.
        """
        balancer_count = self.context.settings.balancer_count
        initial_limit = INITIAL_LIMIT_ATTEMPTS / balancer_count
        host.concurrency_limit = min(
            MAX_INITIAL_LIMIT_ATTEMPTS, max(MIN_INITIAL_LIMIT_ATTEMPTS, initial_limit)
        )
        host.limit_floor = _limit_factor(host) * LIMIT_FLOOR_ATTEMPTS / balancer_count
        host.limit_decreased_at_us = 0
        host.smoothed_latency_us = 0
        host.least_latency_us = 0
        host.least_latency_before_us = 0

    def has_capacity(self, host: HostState) -> bool:
        """Whether the host's limit lets one more attempt go; by chance where it is below 1."""
        if host.concurrency_limit >= 1.0:
            return host.in_flight + host.in_flight_elsewhere < host.concurrency_limit
        host.capacity_checks += 1
        if host.total_in_flight:
            return False
        return self.context.rng.random() < self.admission_probability(host)

    def admission_probability(self, host: HostState) -> float:
        """The probability that a lone request goes to a host whose limit is below 1.

        It recovers with time, a cache's only as far as it was wanted too: where little is sent,
        few answers come that could raise it. An origin's recovers by good answers
        (`record_latency`): what time alone lets through from all balancers would keep it from
        emptying.
        """
        since_decrease_us = self.context.now - host.limit_decreased_at_us
        objectives = since_decrease_us / self.context.latency_objective_us
        if host.is_origin:
            recovered = objectives / ORIGIN_RECOVERY_DIVISOR
        else:
            recovered = min(objectives, host.capacity_checks)
        return min(1.0, host.concurrency_limit + recovered / RECOVERY_OBJECTIVES)

    def slowness(self, host: HostState) -> float:
        """The smoothed latency over what counts as slow there: above 1 the limit falls."""
        slow_ratio = ORIGIN_SLOW_RATIO if host.is_origin else CACHE_SLOW_RATIO
        slow_us = self.context.latency_objective_us * slow_ratio
        if self.hosts_are_owners:
            slow_us = max(slow_us, OWN_SLOW_RATIO * host.least_latency_us)
        return host.smoothed_latency_us / slow_us

    def _note_least_latency(self, host: HostState, latency_us: int) -> None:
        """Keep the least latency of this stretch of time and the last one."""
        now = self.context.now
        if now - host.least_latency_since_us >= LEAST_LATENCY_STRETCH_US:
            host.least_latency_before_us = host.least_latency_us
            host.least_latency_us = latency_us
            host.least_latency_since_us = now
        known_us = [host.least_latency_us, host.least_latency_before_us, latency_us]
        host.least_latency_us = min(one_us for one_us in known_us if one_us)

    def record_latency(self, host: HostState, latency_us: int, is_answer: bool = True) -> None:
        """Smooth the host's latency by that of one attempt, and move its limit by the result.

        The limit falls while answers are slow. Else it grows where it is used: by one an answer
        until it was first decreased, then by one a round trip; and doubles by a good answer of
        an origin while it is below 1.

        Args:
            host: Whose latency it is.
            latency_us: Of an answer, or how long an attempt has waited for one so far.
            is_answer: Whether it is that of an answer.
        """
        now = self.context.now
        is_recent = now - host.latency_recorded_at_us < LATENCY_MEMORY_US
        previous_us = (is_recent and host.smoothed_latency_us) or latency_us
        host.smoothed_latency_us = previous_us + (latency_us - previous_us) // SMOOTHING_DIVISOR
        host.latency_recorded_at_us = now
        if self.hosts_are_owners and is_answer:
            self._note_least_latency(host, max(1, latency_us))
        slowness = self.slowness(host)
        if slowness > 1.0:
            least = ORIGIN_MIN_DECREASE_RATIO if host.is_origin else CACHE_MIN_DECREASE_RATIO
            self.decrease_limit(host, max(least, min(MAX_DECREASE_RATIO, 1 / slowness)))
        elif host.concurrency_limit < 1.0:
            host.concurrency_limit = self.admission_probability(host) * _limit_factor(host)
            host.capacity_checks = 0
        elif host.in_flight + host.in_flight_elsewhere >= host.concurrency_limit // 2:
            was_decreased = host.limit_decreased_at_us
            host.concurrency_limit += 1 / host.concurrency_limit if was_decreased else 1.0

    def decrease_limit(self, host: HostState, ratio: float) -> None:
        """Cut the limit to this part, once in the time that an answer takes.

        What is cut is no more than what was in flight, as a limit that is not used says nothing.
        It stays over its floor: `limit_floor`, or one attempt (two at an origin) where answers
        take half of the latency objective.
        """
        context = self.context
        since_decrease_us = context.now - host.limit_decreased_at_us
        if since_decrease_us <= host.smoothed_latency_us:
            return
        limit = max(host.concurrency_limit, self.admission_probability(host))
        floor = host.limit_floor
        if host.smoothed_latency_us >= context.latency_objective_us // 2:
            floor = min(floor, _limit_factor(host))
        used_limit = min(limit, _limit_factor(host) * (host.total_in_flight + 1))
        host.concurrency_limit = max(floor, used_limit * ratio)
        host.limit_decreased_at_us = context.now
        host.capacity_checks = 0


def _limit_factor(host: HostState) -> int:
    return ORIGIN_LIMIT_FACTOR if host.is_origin else 1
