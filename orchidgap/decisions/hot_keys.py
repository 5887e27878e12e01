"""Which keys are asked for more than a fair part of a cache, by the few reads that one balancer sees.

The paper's ranges can share out slots, not one slot: a key past its cache's share is left to its owner by
every cut. Hundreds of balancers see such a key a few times a minute each, so it is told by a count's lower
bound and not by its rate.
"""

from __future__ import annotations

from collections.abc import Mapping
from math import sqrt

FAIR = 0.25  # of a cache's even share, from which on a key is spread
SPAN = 24  # reads a cache until counts are halved: then what is just fair was seen six times
MOST = 4_096  # keys counted


def mark(key: int) -> int:
    """A key as balancers tell each other of it: the same in every process.

    >>> mark(24881), mark(1 << 100) == mark(1 << 100)
    (24881, True)
    """
    return hash(key) & 0xFFFFFFFF


class HotKeyDetector:
    """
    >>> heat = HotKeyDetector()
    >>> for key in range(40):
    ...     _ = heat.copies(key, 10)
    >>> heat.copies(7, 10), heat.copies(7, 10), [heat.copies(7, 10) for _ in range(6)][-1]
    (1, 2, 6)
    """

    def __init__(self) -> None:
        self.counts: dict[int, float] = {}
        self.total = 0.0
        # what other balancers counted, by the keys' marks (`mark`), and their reads in all
        self.others: Mapping[int, float] = {}
        self.beside = 0.0

    def halve(self, least: float) -> None:
        """What was counted less often is forgotten."""
        self.counts = {one: count / 2 for one, count in self.counts.items() if count >= least}
        self.total /= 2

    def copies(self, key: int, caches: int) -> int:
        """One more read of the key: over how many of so many caches its reads are to be spread."""
        if self.total >= SPAN * caches or len(self.counts) >= MOST:
            self.halve(2)
        self.total += 1
        count = self.counts[key] = self.counts.get(key, 0.0) + 1
        if self.beside:
            count += self.others.get(mark(key), 0.0)
        part = (
            (count - sqrt(count)) / (self.total + self.beside) * caches
        )  # of a cache's share, at the least
        return max(1, min(caches, 1 + int(part / FAIR)))
