"""Decides when the hash ranges are resized, and by which loads.

| state      | event that resizes the ranges                                          | next       |
| ---------- | ---------------------------------------------------------------------- | ---------- |
| even       | the host list changes                                                  | moved      |
| moved      | the list is unchanged: half way back to even, `EVEN_OUT_STEPS` times   | even       |
| any        | enough attempts were counted: half way to the paper's formula, by load | rebalanced |
| rebalanced | the host list changes: as in `HashRanges.set_ring`                     | rebalanced |

Ranges are not computed from few counts: by chance each balancer would compute other ranges, and
keys would be cached twice. Even shares are the same at all balancers.
"""

from __future__ import annotations

from orchidgap.decisions.hash_ranges import HashRanges
from orchidgap.decisions.ports import RuleContext
from orchidgap.decisions.records import HostState

REBALANCE_INTERVAL_US = 5_000_000  # minimum time between two rebalances
REBALANCE_MIN_ATTEMPTS = 100  # minimum mean of attempts per cache since the last rebalance
# Time without changes of the host list before ranges return to even shares.
UNCHANGED_LIST_US = 2 * REBALANCE_INTERVAL_US
EVEN_OUT_STEPS = 3  # resizes after the last change of the list, each half way to even shares


class Rebalancer:
    """Resizes the hash ranges at intervals.

    Attributes:
        ranges: The ranges to resize.
        all_caches: The record with the count of attempts at all caches together.
        rebalanced_at_us: When ranges were last set by loads or evened out, at first the start time.
        is_rebalanced: Whether ranges were ever set by loads; they are not evened out after that.
    """

    def __init__(self, context: RuleContext, ranges: HashRanges, all_caches: HostState) -> None:
        """Start with even ranges at the current time of the context."""
        self.context = context
        self.ranges = ranges
        self.all_caches = all_caches
        self.rebalanced_at_us = context.now
        self.is_rebalanced = False
        self._list_changed_at_us = context.now
        self._even_out_steps_left = 0

    def on_list_changed(self) -> None:
        """Restart evening out after caches have joined or left."""
        if not self.is_rebalanced:
            self._even_out_steps_left = EVEN_OUT_STEPS
            self._list_changed_at_us = self.context.now

    def mark_rebalanced(self) -> None:
        """Record that the ranges were set by loads."""
        self.is_rebalanced = True
        self.rebalanced_at_us = self.context.now

    def restart_counts(self) -> None:
        """Reset the counts of attempts at caches."""
        for host in self.ranges.ring:
            host.attempt_count = 0
            host.counted_since_us = self.context.now
        self.all_caches.attempt_count = 0

    def tick(self) -> None:
        """Resize all ranges if that is due."""
        ring = self.ranges.ring
        since_last_us = self.context.now - self.rebalanced_at_us
        if not ring or since_last_us < REBALANCE_INTERVAL_US:
            return
        if self.all_caches.attempt_count < REBALANCE_MIN_ATTEMPTS * len(ring):
            self._move_towards_even()
            return
        loads = self._loads()
        if sum(loads):
            self.ranges.rebalance(loads)
        self.restart_counts()
        self.mark_rebalanced()

    def _move_towards_even(self) -> None:
        list_unchanged_us = self.context.now - self._list_changed_at_us
        if (
            self.is_rebalanced
            or not self._even_out_steps_left
            or list_unchanged_us < UNCHANGED_LIST_US
        ):
            return
        self._even_out_steps_left -= 1
        self.rebalanced_at_us = self.context.now
        self.ranges.move_towards_even()

    def _loads(self) -> list[float]:
        """Return the load of each cache of the ring.

        If more than half of all caches are warm and have reported, a cache's load is its reported
        requests per second. Else it is this balancer's attempts there over the time that they were
        counted, which is shorter for a cache that joined later. Caches that are cold or have not
        reported get the mean load.
        """
        now = self.context.now
        ring = self.ranges.ring
        warm = [host for host in ring if now >= host.warm_at_us]
        reporting = [host for host in warm if host.reported_request_rate >= 0]
        known: dict[HostState, float]
        if len(reporting) * 2 > len(ring):
            known = {host: host.reported_request_rate for host in reporting}
        else:
            known = {host: host.attempt_count / (now - host.counted_since_us) for host in warm}
        even_share = self.ranges.even_share
        mean = sum(known.values()) / sum(even_share(host) for host in known) if known else 0.0
        return [known.get(host, mean * even_share(host)) for host in ring]
