"""The adaptive limit on attempts in flight at one host, which depends on the host's latency.

The limit increases with answers while it is used, and decreases while answers are slow. Unlike a
limit on the rate, one on attempts in flight cannot overload a host further when it gets slower. The
limits of hundreds of balancers add up, so a limit may fall below 1: it is then the probability
that a request is sent while none is in flight.
"""

from __future__ import annotations

from orchidgap.decisions.ports import RuleContext
from orchidgap.decisions.records import HostState

INITIAL_LIMIT_ATTEMPTS = 24.0  # sum of the initial limits of all balancers for one host
MIN_INITIAL_LIMIT_ATTEMPTS = 2.0  # lower bound of one balancer's initial limit
MAX_INITIAL_LIMIT_ATTEMPTS = 8.0  # upper bound of one balancer's initial limit
LIMIT_FLOOR_ATTEMPTS = 4  # sum of the lowest limits of all balancers for one cache
# Factor by which an origin's limit may be higher, and recover faster, than a cache's, as there is
# one origin for many caches.
ORIGIN_LIMIT_FACTOR = 2

CACHE_SLOW_RATIO = 0.25  # a cache's answers are slow above this part of the latency objective
ORIGIN_SLOW_RATIO = 0.6  # the same for an origin's answers
CACHE_MIN_DECREASE_RATIO = 0.5  # slow answers multiply a cache's limit by at least this
ORIGIN_MIN_DECREASE_RATIO = 0.2  # the same for an origin's limit
MAX_DECREASE_RATIO = 0.9  # slow answers multiply a limit by at most this
LATENCY_LIFETIME_US = 5_000_000  # an older smoothed latency is ignored
# If servers own their slots, answers are not slow up to this many times the server's minimum
# latency: only the excess over the minimum is due to load.
OWNER_SLOW_RATIO = 1.5
# The length of a window of minimum latencies. Each window takes over the minimum of the one before,
# so a minimum latency is never increased before `reset`.
MIN_LATENCY_WINDOW_US = 10_000_000
SMOOTHING_DIVISOR = 8  # the weight of a new latency is one over this

# How many latency objectives (for a cache, also how many capacity checks) it takes until a limit
# that fell to 0 is 1 again.
RECOVERY_OBJECTIVES = 24
ORIGIN_RECOVERY_DIVISOR = 3  # an origin's limit recovers this many times slower by time alone


class ConcurrencyLimiter:
    """Updates the concurrency limits, which are stored in `HostState`.

    Attributes:
        hosts_are_owners: Whether no other host can serve a host's requests. It is then no use to
            limit a host that is slow but not slower than without load, so its answers count as
            slow only if they also exceed `OWNER_SLOW_RATIO` times its minimum latency.
    """

    def __init__(self, context: RuleContext) -> None:
        """Use the time, settings and randomness of the context."""
        self.context = context
        self.hosts_are_owners = False

    def reset(self, host: HostState) -> None:
        """Set the initial limit of a host that is new or has restarted.

        The initial limit is low, so that all balancers together do not overload the host; it
        increases quickly.
        """
        balancer_count = self.context.settings.balancer_count
        initial_limit = INITIAL_LIMIT_ATTEMPTS / balancer_count
        host.concurrency_limit = min(
            MAX_INITIAL_LIMIT_ATTEMPTS, max(MIN_INITIAL_LIMIT_ATTEMPTS, initial_limit)
        )
        host.limit_floor = _limit_factor(host) * LIMIT_FLOOR_ATTEMPTS / balancer_count
        host.limit_decreased_at_us = 0
        host.smoothed_latency_us = 0
        host.min_latency_us = 0
        host.previous_min_latency_us = 0

    def has_capacity(self, host: HostState) -> bool:
        """Return whether the host's limit admits one more attempt, at random if it is below 1.

        Each call with a limit below 1 counts as a capacity check.
        """
        if host.concurrency_limit >= 1.0:
            return host.in_flight + host.in_flight_elsewhere < host.concurrency_limit
        host.capacity_checks += 1
        if host.total_in_flight:
            return False
        return self.context.rng.random() < self.admission_probability(host)

    def admission_probability(self, host: HostState) -> float:
        """Return the probability to send a request to a host with a limit below 1.

        It applies while no attempt is in flight there. It recovers with time, because few attempts
        mean few answers that could increase the limit; for a cache, only as far as capacity was
        also checked. An origin's limit recovers mainly by good answers (`record_latency`): attempts
        of all balancers that time alone admits would prevent its queue from draining.
        """
        since_decrease_us = self.context.now - host.limit_decreased_at_us
        objectives = since_decrease_us / self.context.latency_objective_us
        if host.is_origin:
            recovered = objectives / ORIGIN_RECOVERY_DIVISOR
        else:
            recovered = min(objectives, host.capacity_checks)
        return min(1.0, host.concurrency_limit + recovered / RECOVERY_OBJECTIVES)

    def slowness(self, host: HostState) -> float:
        """Return the smoothed latency over the host's slow threshold; above 1 its limit falls."""
        slow_ratio = ORIGIN_SLOW_RATIO if host.is_origin else CACHE_SLOW_RATIO
        slow_us = self.context.latency_objective_us * slow_ratio
        if self.hosts_are_owners:
            slow_us = max(slow_us, OWNER_SLOW_RATIO * host.min_latency_us)
        return host.smoothed_latency_us / slow_us

    def _update_min_latency(self, host: HostState, latency_us: int) -> None:
        """Update the minimum latency, and start a new window if the current one is over."""
        now = self.context.now
        if now - host.min_latency_window_start_us >= MIN_LATENCY_WINDOW_US:
            host.previous_min_latency_us = host.min_latency_us
            host.min_latency_us = latency_us
            host.min_latency_window_start_us = now
        candidates_us = [host.min_latency_us, host.previous_min_latency_us, latency_us]
        host.min_latency_us = min(candidate_us for candidate_us in candidates_us if candidate_us)

    def record_latency(self, host: HostState, latency_us: int, is_answer: bool = True) -> None:
        """Update the host's smoothed latency by that of one attempt, and adjust its limit.

        The limit decreases while answers are slow. Otherwise it increases while it is used: by one
        per answer until its first decrease, then by one per round trip. While it is below 1, a good
        answer of an origin doubles it.

        Args:
            host: The host of the attempt.
            latency_us: The latency of an answer, or the time that an attempt has waited so far.
            is_answer: Whether it is the latency of an answer.
        """
        now = self.context.now
        is_recent = now - host.latency_recorded_at_us < LATENCY_LIFETIME_US
        previous_us = (is_recent and host.smoothed_latency_us) or latency_us
        host.smoothed_latency_us = previous_us + (latency_us - previous_us) // SMOOTHING_DIVISOR
        host.latency_recorded_at_us = now
        if self.hosts_are_owners and is_answer:
            self._update_min_latency(host, max(1, latency_us))
        slowness = self.slowness(host)
        if slowness > 1.0:
            min_ratio = ORIGIN_MIN_DECREASE_RATIO if host.is_origin else CACHE_MIN_DECREASE_RATIO
            self.decrease_limit(host, max(min_ratio, min(MAX_DECREASE_RATIO, 1 / slowness)))
        elif host.concurrency_limit < 1.0:
            host.concurrency_limit = self.admission_probability(host) * _limit_factor(host)
            host.capacity_checks = 0
        elif host.in_flight + host.in_flight_elsewhere >= host.concurrency_limit // 2:
            was_decreased = host.limit_decreased_at_us
            host.concurrency_limit += 1 / host.concurrency_limit if was_decreased else 1.0

    def decrease_limit(self, host: HostState, ratio: float) -> None:
        """Multiply the limit by this ratio, at most once per smoothed latency.

        The decrease starts from the attempts in flight if these are below the limit, as an unused
        limit is no measure of capacity. The limit does not fall below its floor: `limit_floor`, or
        one attempt (two at an origin) if answers take half of the latency objective.
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
