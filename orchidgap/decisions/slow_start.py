"""How much a cache gets that has just started, and is cold.

A cold cache serves a part of its capacity. The part rises linearly from the fraction in the
settings, which is the slowest rise that caches promise. Each balancer sends it a share of what it
sent itself, so all together stay below the present capacity without any agreement.
"""

from __future__ import annotations

from orchidgap.decisions.ports import RuleContext
from orchidgap.decisions.records import HostState


class SlowStart:
    """Lets cold caches take attempts by chance.

    Attributes:
        placements: Attempts that this balancer has sent to caches.
    """

    def __init__(self, context: RuleContext) -> None:
        """Take time, settings and randomness from the context."""
        self.context = context
        self.placements = 0

    def begin(self, host: HostState, started_at_us: int) -> None:
        """The host's process started at this time: it is cold until the stated warm-up is over."""
        host.warm_at_us = started_at_us + self.context.settings.slow_start_us
        host.placements_at_last_draw = self.placements

    def capacity_fraction(self, host: HostState) -> float:
        """The part of its capacity that a cold host has now."""
        settings = self.context.settings
        time_to_warm_us = host.warm_at_us - self.context.now
        missing = 1.0 - settings.slow_start_fraction
        return 1.0 - missing * time_to_warm_us / settings.slow_start_us

    def admits(self, host: HostState, total_weight: float) -> bool:
        """Whether a cold host takes an attempt, by chance.

        The chance is its share, by weight, of what was placed since its last chance, times its
        present capacity. What was asked and denied does not count, and no chance is saved up:
        both would overload a cold cache.

        Args:
            host: One that is cold.
            total_weight: Of all ready caches.
        """
        placed = self.placements - host.placements_at_last_draw
        chance = placed * self.capacity_fraction(host) * host.weight / total_weight
        host.placements_at_last_draw = self.placements
        return self.context.rng.random() < chance
