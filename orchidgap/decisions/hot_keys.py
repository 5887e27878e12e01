"""Which keys are asked for more than a part of one cache's load, judged by few reads.

Hash ranges can share out slots, but not one slot: a key that is asked for more than its cache's
share is left to its owner by every table of ranges. Reads of such a key are spread over several
caches. Hundreds of balancers see it a few times a minute each, so it is judged by the lower bound
of its count and not by its rate. Free of I/O.
"""

from __future__ import annotations

from math import sqrt
from typing import Protocol

SPREAD_THRESHOLD_RATIO = 0.25  # of a cache's even share; each such part is worth one more cache
READS_PER_CACHE_BEFORE_HALVING = 24  # a key at the threshold was read six times by then
MIN_KEPT_COUNT = 2  # what was counted less often is forgotten when counts are halved
MAX_COUNTED_KEYS = 4_096
KEY_DIGEST_MASK = 0xFFFFFFFF


def key_digest(key: int) -> int:
    """The 32 bits by which balancers name a key to each other: the same in every process.

    >>> key_digest(24881), key_digest(1 << 100) == key_digest(1 << 100)
    (24881, True)
    """
    return hash(key) & KEY_DIGEST_MASK


class KeyCounts(Protocol):
    """How often keys were read."""

    def get(self, key: int, default: float, /) -> float:
        """Return the count of the key with this digest, or the default where there is none."""


class HotKeyDetector:
    """Counts reads by key and tells over how many caches a key's reads are to be spread.

    >>> detector = HotKeyDetector()
    >>> for key in range(40):
    ...     _ = detector.replica_count(key, 10)
    >>> detector.replica_count(7, 10), detector.replica_count(7, 10)
    (1, 2)
    >>> [detector.replica_count(7, 10) for _ in range(6)][-1]
    6

    Attributes:
        read_counts: Reads by key, halved from time to time.
        total_reads: Of all keys, halved with them.
        peer_read_counts: What other balancers counted, by the digest of the key.
        peer_total_reads: Their reads of all keys; 0 where there is no gossip.
    """

    def __init__(self) -> None:
        """Start with nothing counted."""
        self.read_counts: dict[int, float] = {}
        self.total_reads = 0.0
        self.peer_read_counts: KeyCounts = {}
        self.peer_total_reads = 0.0

    def set_peer_counts(self, read_counts: KeyCounts, total_reads: float) -> None:
        """Take what other balancers counted, in place of what they said before."""
        self.peer_read_counts = read_counts
        self.peer_total_reads = total_reads

    def halve_counts(self, min_count: float) -> None:
        """Halve all counts, so that old reads count less, and forget keys under `min_count`."""
        self.read_counts = {
            key: count / 2 for key, count in self.read_counts.items() if count >= min_count
        }
        self.total_reads /= 2

    def replica_count(self, key: int, cache_count: int) -> int:
        """Count one more read of the key.

        The key's part of all reads is judged by the lower bound of its count, one standard
        deviation of independent arrivals below it.

        Args:
            key: What is read.
            cache_count: How many caches there are.

        Returns:
            Over how many of them the key's reads are to be spread: 1 for a usual key, one more
            for each `SPREAD_THRESHOLD_RATIO` of a cache's even share.
        """
        has_enough_reads = self.total_reads >= READS_PER_CACHE_BEFORE_HALVING * cache_count
        if has_enough_reads or len(self.read_counts) >= MAX_COUNTED_KEYS:
            self.halve_counts(MIN_KEPT_COUNT)
        self.total_reads += 1
        count = self.read_counts.get(key, 0.0) + 1
        self.read_counts[key] = count
        if self.peer_total_reads:
            count += self.peer_read_counts.get(key_digest(key), 0.0)
        all_reads = self.total_reads + self.peer_total_reads
        even_shares = (count - sqrt(count)) / all_reads * cache_count
        return max(1, min(cache_count, 1 + int(even_shares / SPREAD_THRESHOLD_RATIO)))
