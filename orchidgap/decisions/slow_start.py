"""Limits the attempts at a cold cache, which has just started.

A cold cache can serve a fraction of its capacity. The fraction rises linearly from the one in the
settings; caches guarantee that they warm up no slower. Each balancer sends it a share of the
attempts that it sends itself, so all balancers together stay below the present capacity without
coordination.

While all ready caches are cold, that share would decrease to 0: each attempt would lead to a
fraction of another one. Then requests that no cache accepts count as sent too. The count is limited
to the rate at which caches answered this balancer while one of them was warm; otherwise retries of
clients would increase the load of cold caches. A balancer that does not know that rate counts all
requests except those that clients mark as retries.
"""

from __future__ import annotations

from orchidgap.decisions.hash_ranges import HashRanges
from orchidgap.decisions.ports import RuleContext
from orchidgap.decisions.records import HostState, Request

RATE_DECAY_RATIO = 0.95  # part of the counts behind the known rate kept at each tick
MIN_RATE_ANSWERS = 8.0  # decayed count of answers below which the rate is unknown
MAX_BURST_US = 1_000_000  # time at the known rate whose requests may count at once


class SlowStart:
    """Admits attempts at cold caches at random.

    Attributes:
        placements: Attempts that this balancer has sent to caches; while all ready caches are cold,
            requests that count as sent.
        answers: Answers of caches without misses. Requests that clients retry were not answered.
        max_total_weight: The largest total weight that the ready caches have had.
    """

    def __init__(self, context: RuleContext, ranges: HashRanges) -> None:
        """Use the time, settings and randomness of the context, and the ring of `ranges`."""
        self.context = context
        self.ranges = ranges
        self.placements = 0
        self.answers = 0
        self.max_total_weight = 0.0
        # When the first of the ready caches becomes warm; None: to be computed again.
        self._first_warm_at_us: int | None = 0
        # Answers and time while a ready cache was warm, both decaying at each tick.
        self._counted_answers = 0.0
        self._counted_us = 0.0
        self._answers_at_tick = 0
        self._ticked_at_us = context.now
        # How many more requests may count as sent now, while all caches are cold.
        self._allowance = 0.0
        self._allowance_at_us = context.now

    def begin(self, host: HostState, started_at_us: int) -> None:
        """Start slow start for a host: it is cold for `slow_start_us` after `started_at_us`."""
        host.warm_at_us = started_at_us + self.context.settings.slow_start_us
        host.placements_at_last_draw = self.placements
        self._first_warm_at_us = None

    def on_ring_changed(self) -> None:
        """Update the state after a change of the ready caches."""
        self.max_total_weight = max(self.max_total_weight, self.ranges.total_weight)
        self._first_warm_at_us = None

    def all_are_cold(self) -> bool:
        """Return whether there are ready caches and none of them is warm."""
        if self._first_warm_at_us is None:
            warm_at_us = (host.warm_at_us for host in self.ranges.ring)
            self._first_warm_at_us = min(warm_at_us, default=0)
        return self.context.now < self._first_warm_at_us

    def tick(self) -> None:
        """Count the answers of caches since the last tick if a ready cache is warm."""
        answered = self.answers - self._answers_at_tick
        elapsed_us = self.context.now - self._ticked_at_us
        self._answers_at_tick = self.answers
        self._ticked_at_us = self.context.now
        if self.ranges.ring and not self.all_are_cold():
            self._counted_answers = self._counted_answers * RATE_DECAY_RATIO + answered
            self._counted_us = self._counted_us * RATE_DECAY_RATIO + elapsed_us
            self._allowance = 0.0
            self._allowance_at_us = self.context.now

    def capacity_fraction(self, host: HostState) -> float:
        """Return the fraction of its capacity that a cold host has now."""
        settings = self.context.settings
        time_to_warm_us = host.warm_at_us - self.context.now
        initial_reduction = 1.0 - settings.slow_start_fraction
        return 1.0 - initial_reduction * time_to_warm_us / settings.slow_start_us

    def admits(self, host: HostState) -> bool:
        """Return at random whether a cold host accepts an attempt.

        The probability is its share, by weight, of the placements since its last draw, times its
        present fraction of capacity. While another cache is warm, denied requests do not count,
        and unused probability is never accumulated: both would overload a cold cache. While all
        caches are cold, the share is a part of the largest total weight known, as the first caches
        to return must not get the share of the others.

        Args:
            host: A cold host.
        """
        total_weight = self.ranges.total_weight
        if self.all_are_cold():
            total_weight = max(total_weight, self.max_total_weight)
        placed = self.placements - host.placements_at_last_draw
        probability = placed * self.capacity_fraction(host) * host.weight / total_weight
        host.placements_at_last_draw = self.placements
        return self.context.rng.random() < probability

    def on_placed(self, request: Request) -> None:
        """Count an attempt of the request that is sent to a cache."""
        if not self.all_are_cold() or self._counts_as_sent(request):
            self.placements += 1

    def on_not_placed(self, request: Request) -> None:
        """Count a request that no cache accepted as sent, if all caches are cold."""
        if self.all_are_cold() and self._counts_as_sent(request):
            self.placements += 1

    def _counts_as_sent(self, request: Request) -> bool:
        """Return whether the request counts as sent: up to the known rate, or always without one.

        A request that is marked as a retry of the client never counts.
        """
        if request.is_client_retry:
            return False
        if self._counted_answers < MIN_RATE_ANSWERS:
            return True
        now = self.context.now
        rate_per_us = self._counted_answers / self._counted_us
        earned = rate_per_us * (now - self._allowance_at_us)
        max_allowance = max(1.0, rate_per_us * MAX_BURST_US)
        self._allowance = min(max_allowance, self._allowance + earned)
        self._allowance_at_us = now
        if self._allowance < 1.0:
            return False
        self._allowance -= 1.0
        return True
