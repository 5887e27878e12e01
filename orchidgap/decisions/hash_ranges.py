"""The hash space in one contiguous range a cache, and the formula that resizes ranges by load.

From "Deduplicator: When Computation Reuse Meets Load Balancing at the Network Edge" (Al Azad and
Mastorakis), section IV-A and equations 1 and 2. Where this departs from the paper is described in
`docs/design.md`. Nothing here knows of time, settings or requests.
"""

from __future__ import annotations

from binascii import crc_hqx
from bisect import bisect_right
from collections.abc import Sequence
from itertools import accumulate

from orchidgap.decisions.records import HostState

SLOT_COUNT = 1 << 14  # b = 14: the slots of the RESP cluster
MIN_SIZE_RATIO = 0.25  # of a cache's even share: no range gets smaller


def slot_of_key(key: int) -> int:
    """The slot of a key: CRC16 of its decimal digits, as in the RESP cluster.

    >>> slot_of_key(1), slot_of_key(12)
    (9842, 8373)
    """
    return crc_hqx(b"%d" % key, 0) & (SLOT_COUNT - 1)


class HashRanges:
    """Who owns which slots.

    Attributes:
        ring: The ready caches in the order of their ids, which is that of their ranges.
        range_ends: Where each range ends: the first slot of the next one.
        total_weight: Of all caches of the ring.
        by_weight: Whether even shares go by the caches' weights.
    """

    def __init__(self, by_weight: bool) -> None:
        """Start with no caches."""
        self.by_weight = by_weight
        self.ring: list[HostState] = []
        self.range_ends: list[int] = []
        self.total_weight = 1.0

    def owner_index(self, slot: int) -> int:
        """The owner of a slot, as an index of the ring."""
        return bisect_right(self.range_ends, slot)

    def even_share(self, host: HostState) -> float:
        """The host's even share of the space, in slots."""
        return self._even_share(host, self.by_weight)

    def even_range_ends(self, by_weight: bool) -> list[int]:
        """Where ranges would end if all caches had their even shares, by weight or not."""
        shares = (self._even_share(host, by_weight) for host in self.ring)
        return [round(end) for end in accumulate(shares)]

    def _even_share(self, host: HostState, by_weight: bool) -> float:
        if by_weight:
            return SLOT_COUNT * host.weight / self.total_weight
        return SLOT_COUNT / len(self.ring)

    def refresh(self) -> None:
        """Sizes or weights of the ring's hosts have changed: count ends and total anew."""
        self.range_ends = list(accumulate(host.range_size for host in self.ring))
        self.total_weight = sum(host.weight for host in self.ring) or 1.0

    def set_ring(self, ready: Sequence[HostState]) -> None:
        """Follow a change of the list; `ready` holds all ready caches in the order of their ids."""
        ready_ids = {host.id for host in ready}
        lost = [index for index, host in enumerate(self.ring) if host.id not in ready_ids]
        for index in reversed(lost):
            self._remove(index)
        if not self.ring:
            self.ring += ready
            self.refresh()
            self.resize([self.even_share(host) for host in self.ring])
        # Both are in the order of ids, so nothing is searched for: fleets grow by hundreds.
        for index, host in enumerate(ready):
            if self.ring[index : index + 1] != [host]:
                self._insert(index, host)
        self.refresh()

    def _remove(self, index: int) -> None:
        """A lost range is halved between its neighbours."""
        ring = self.ring
        lost = ring.pop(index)
        if ring:
            left = ring[max(index - 1, 0)]
            right = ring[min(index, len(ring) - 1)]
            left.range_size += lost.range_size // 2
            right.range_size += lost.range_size - lost.range_size // 2

    def _insert(self, index: int, joiner: HostState) -> None:
        """A joiner takes its share of both neighbours' ranges: one that left gets its own again."""
        neighbours = self.ring[max(index - 1, 0) : index + 1]
        share_of_all = sum(map(self.even_share, (joiner, *neighbours)))
        part = self.even_share(joiner) / share_of_all
        joiner.range_size = 0
        for neighbour in neighbours:
            given = round(neighbour.range_size * part)
            joiner.range_size += given
            neighbour.range_size -= given
        self.ring.insert(index, joiner)

    def rebalance(self, loads: Sequence[float]) -> None:
        """Resize all ranges half way towards the paper's formula.

        H_i = 2 share_i - 2^b load_i / sum(load). Half way, as the formula starts anew from the
        even share, so a shrunk range springs back. A range that is asked d times the mean
        settles at 2/(1+d) of it.

        Args:
            loads: What each cache of the ring is asked for, in any unit; their sum is over 0.
        """
        total = sum(loads)
        sizes = [
            2 * self.even_share(host) - SLOT_COUNT * load / total
            for host, load in zip(self.ring, loads)
        ]
        self.resize([(host.range_size + size) / 2 for host, size in zip(self.ring, sizes)])

    def move_towards_even(self) -> None:
        """Resize all ranges half way to their even shares."""
        self.resize([(host.range_size + self.even_share(host)) / 2 for host in self.ring])

    def resize(self, sizes: list[float]) -> None:
        """Give the caches ranges of these sizes, in slots, rescaled to fill the space.

        Sizes under `MIN_SIZE_RATIO` of a cache's even share are raised to it and the rest rescaled.
        """
        floors = [self.even_share(host) * MIN_SIZE_RATIO for host in self.ring]
        raised: set[int] = set()
        while low := {i for i, size in enumerate(sizes) if size < floors[i] and i not in raised}:
            raised |= low
            rest = sum(size for i, size in enumerate(sizes) if i not in raised)
            scale = (SLOT_COUNT - sum(floors[i] for i in raised)) / rest
            sizes = [floors[i] if i in raised else size * scale for i, size in enumerate(sizes)]
        ends = [round(end * SLOT_COUNT / sum(sizes)) for end in accumulate(sizes)]
        for host, start, end in zip(self.ring, [0] + ends, ends):
            host.range_size = end - start
        self.refresh()
