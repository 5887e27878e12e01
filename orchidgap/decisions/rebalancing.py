"""When the hash ranges are resized, and by which loads.

| state      | what moves the ranges                                               | next       |
| ---------- | ------------------------------------------------------------------- | ---------- |
| even       | a change of the list                                                | moved      |
| moved      | a quiet list: half way back to even, `EVEN_OUT_STEPS` times          | even       |
| any        | enough attempts counted: half way to the paper's formula, by loads  | rebalanced |
| rebalanced | a change of the list: as `HashRanges.set_ring` describes            | rebalanced |

Few counts draw no table: each balancer would draw another one by chance, and keys would be kept
twice. Even shares are the same for all.
"""

from __future__ import annotations

from orchidgap.decisions.hash_ranges import HashRanges
from orchidgap.decisions.ports import RuleContext
from orchidgap.decisions.records import HostState

REBALANCE_INTERVAL_US = 5_000_000  # at least, between two
REBALANCE_MIN_ATTEMPTS = 100  # for each cache, counted since the last one
QUIET_LIST_US = 2 * REBALANCE_INTERVAL_US  # without a change, until ranges go back to even
EVEN_OUT_STEPS = 3  # half way each, after the last change of the list


class Rebalancer:
    """Resizes ranges in time.

    Attributes:
        ranges: What it resizes.
        all_caches: Counts the attempts at all caches together.
        rebalanced_at_us: When ranges were last resized.
        is_rebalanced: Whether loads have ever set the ranges: they are not evened beside that.
    """

    def __init__(self, context: RuleContext, ranges: HashRanges, all_caches: HostState) -> None:
        """Start with even ranges at the context's time."""
        self.context = context
        self.ranges = ranges
        self.all_caches = all_caches
        self.rebalanced_at_us = context.now
        self.is_rebalanced = False
        self._list_changed_at_us = context.now
        self._even_out_steps_left = 0

    def on_list_changed(self) -> None:
        """Caches have joined or left."""
        if not self.is_rebalanced:
            self._even_out_steps_left = EVEN_OUT_STEPS
            self._list_changed_at_us = self.context.now

    def mark_rebalanced(self) -> None:
        """Loads have set the ranges."""
        self.is_rebalanced = True
        self.rebalanced_at_us = self.context.now

    def restart_counts(self) -> None:
        """Attempts at caches are counted from now on."""
        for host in self.ranges.ring:
            host.attempt_count = 0
            host.counted_since_us = self.context.now
        self.all_caches.attempt_count = 0

    def tick(self) -> None:
        """Resize all ranges where that is due."""
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
        list_quiet_us = self.context.now - self._list_changed_at_us
        if self.is_rebalanced or not self._even_out_steps_left or list_quiet_us < QUIET_LIST_US:
            return
        self._even_out_steps_left -= 1
        self.rebalanced_at_us = self.context.now
        self.ranges.move_towards_even()

    def _loads(self) -> list[float]:
        """What each cache of the ring is asked for.

        Its reported requests a second where more than half of all caches are warm and were
        heard, else this balancer's own attempts there over the time that they were counted, as a
        joiner had less. Caches that are cold or unheard count as the mean.
        """
        now = self.context.now
        ring = self.ranges.ring
        warm = [host for host in ring if now >= host.warm_at_us]
        heard = [host for host in warm if host.reported_request_rate >= 0]
        known: dict[HostState, float]
        if len(heard) * 2 > len(ring):
            known = {host: host.reported_request_rate for host in heard}
        else:
            known = {host: host.attempt_count / (now - host.counted_since_us) for host in warm}
        even_share = self.ranges.even_share
        mean = sum(known.values()) / sum(even_share(host) for host in known) if known else 0.0
        return [known.get(host, mean * even_share(host)) for host in ring]
