"""Detects keys that cause more than a part of one cache's load, from few reads.

Hash ranges distribute slots but cannot divide one: no resizing helps the owner of a key that causes
more load than one cache's share. Reads of such a key are spread over several caches. Each of
hundreds of balancers sees the key a few times per minute only, so detection uses a lower bound of
its count and not its rate. This module does no I/O.
"""

from __future__ import annotations

from math import sqrt
from typing import Protocol

# A key gets one more cache for each such part of a cache's even share of all reads.
SPREAD_THRESHOLD_RATIO = 0.25
READS_PER_CACHE_BEFORE_HALVING = 24  # a key at the threshold has been read six times by then
MIN_KEPT_COUNT = 2  # keys with a lower count are removed when counts are halved
MAX_COUNTED_KEYS = 4_096
KEY_DIGEST_MASK = 0xFFFFFFFF


def key_digest(key: int) -> int:
    """Return the 32 bits that identify a key between balancers: the same in every process.

    >>> key_digest(24881), key_digest(1 << 100) == key_digest(1 << 100)
    (24881, True)
    """
    return hash(key) & KEY_DIGEST_MASK


class KeyCounts(Protocol):
    """How often each key was read, by the digest of the key."""

    def get(self, key: int, default: float, /) -> float:
        """Return the count of the key with this digest, or the default if there is none."""


class HotKeyDetector:
    """Counts reads by key and computes over how many caches to spread the reads of a key.

    >>> detector = HotKeyDetector()
    >>> for key in range(40):
    ...     _ = detector.replica_count(key, 10)
    >>> detector.replica_count(7, 10), detector.replica_count(7, 10)
    (1, 2)
    >>> [detector.replica_count(7, 10) for _ in range(6)][-1]
    6

    Attributes:
        read_counts: Reads by key, halved from time to time.
        total_reads: Reads of all keys, halved at the same times.
        peer_read_counts: Reads counted by other balancers, by the digest of the key.
        peer_total_reads: Their reads of all keys; 0 without gossip.
    """

    def __init__(self) -> None:
        """Start without counts."""
        self.read_counts: dict[int, float] = {}
        self.total_reads = 0.0
        self.peer_read_counts: KeyCounts = {}
        self.peer_total_reads = 0.0

    def set_peer_counts(self, read_counts: KeyCounts, total_reads: float) -> None:
        """Replace the counts of other balancers by newer ones."""
        self.peer_read_counts = read_counts
        self.peer_total_reads = total_reads

    def halve_counts(self, min_count: float) -> None:
        """Halve all counts, so that old reads count less, and remove keys below `min_count`."""
        self.read_counts = {
            key: count / 2 for key, count in self.read_counts.items() if count >= min_count
        }
        self.total_reads /= 2

    def replica_count(self, key: int, cache_count: int) -> int:
        """Count one more read of the key, and return over how many caches to spread its reads.

        The key's part of all reads is estimated from a lower bound of its count: one standard
        deviation of independent arrivals below it.

        Args:
            key: The key that is read.
            cache_count: The number of caches.

        Returns:
            1 for a usual key, one more for each `SPREAD_THRESHOLD_RATIO` of a cache's even share.
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
