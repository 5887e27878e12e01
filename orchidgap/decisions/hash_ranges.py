"""The division of the hash space into one contiguous range per cache, and its resizing by load.

From "Deduplicator: When Computation Reuse Meets Load Balancing at the Network Edge" (Al Azad and
Mastorakis), section IV-A and equations 1 and 2. Differences from the paper are described in
`docs/design.md`. This module does not depend on time, settings or requests.
"""

from __future__ import annotations

from binascii import crc_hqx
from bisect import bisect_right
from collections.abc import Sequence
from itertools import accumulate

from orchidgap.decisions.records import HostState

SLOT_COUNT = 1 << 14  # b = 14 in the paper's terms; as many slots as a RESP cluster has
MIN_SIZE_RATIO = 0.25  # minimum size of a cache's range, as a part of its even share


def slot_of_key(key: int) -> int:
    """Return the slot of a key: CRC16 of its decimal digits, as in a RESP cluster.

    >>> slot_of_key(1), slot_of_key(12)
    (9842, 8373)
    """
    return crc_hqx(b"%d" % key, 0) & (SLOT_COUNT - 1)


class HashRanges:
    """The hash range of each cache, which determines the owner of each slot.

    Attributes:
        ring: The ready caches in the order of their ids, which is the order of their ranges.
        range_ends: The end of each range: the first slot of the next one.
        total_weight: The sum of the weights of all caches in the ring.
        by_weight: Whether even shares are proportional to the caches' weights.
    """

    def __init__(self, by_weight: bool) -> None:
        """Start without caches."""
        self.by_weight = by_weight
        self.ring: list[HostState] = []
        self.range_ends: list[int] = []
        self.total_weight = 1.0

    def owner_index(self, slot: int) -> int:
        """Return the ring index of a slot's owner."""
        return bisect_right(self.range_ends, slot)

    def even_share(self, host: HostState) -> float:
        """Return the host's even share of the hash space, in slots."""
        return self._even_share(host, self.by_weight)

    def even_range_ends(self, by_weight: bool) -> list[int]:
        """Return the ends that ranges would have at even shares, by weight or all the same."""
        shares = (self._even_share(host, by_weight) for host in self.ring)
        return [round(end) for end in accumulate(shares)]

    def _even_share(self, host: HostState, by_weight: bool) -> float:
        if by_weight:
            return SLOT_COUNT * host.weight / self.total_weight
        return SLOT_COUNT / len(self.ring)

    def refresh(self) -> None:
        """Recompute range ends and total weight after changes of range sizes or weights."""
        self.range_ends = list(accumulate(host.range_size for host in self.ring))
        self.total_weight = sum(host.weight for host in self.ring) or 1.0

    def set_ring(self, ready: Sequence[HostState]) -> None:
        """Apply a new host list; `ready` holds all ready caches in the order of their ids."""
        ready_ids = {host.id for host in ready}
        lost = [index for index, host in enumerate(self.ring) if host.id not in ready_ids]
        for index in reversed(lost):
            self._remove(index)
        if not self.ring:
            self.ring += ready
            self.refresh()
            self.resize([self.even_share(host) for host in self.ring])
        # Both lists are in the order of ids, so no search is needed when hundreds of caches join.
        for index, host in enumerate(ready):
            if self.ring[index : index + 1] != [host]:
                self._insert(index, host)
        self.refresh()

    def _remove(self, index: int) -> None:
        """Remove a cache, and give half of its range to each neighbour."""
        ring = self.ring
        lost = ring.pop(index)
        if ring:
            left = ring[max(index - 1, 0)]
            right = ring[min(index, len(ring) - 1)]
            left.range_size += lost.range_size // 2
            right.range_size += lost.range_size - lost.range_size // 2

    def _insert(self, index: int, joiner: HostState) -> None:
        """Insert a cache with the same part of both neighbours' ranges.

        A cache that leaves and rejoins therefore gets the same range again.
        """
        neighbours = self.ring[max(index - 1, 0) : index + 1]
        total_share = sum(map(self.even_share, (joiner, *neighbours)))
        ratio = self.even_share(joiner) / total_share
        joiner.range_size = 0
        for neighbour in neighbours:
            moved = round(neighbour.range_size * ratio)
            joiner.range_size += moved
            neighbour.range_size -= moved
        self.ring.insert(index, joiner)

    def rebalance(self, loads: Sequence[float]) -> None:
        """Resize all ranges half way towards the sizes of the paper's formula.

        H_i = 2 share_i - 2^b load_i / sum(load). The formula starts from the even share each time,
        so a range that was reduced would grow back at once; half steps dampen that. A range with d
        times the mean load settles at 2/(1+d) of the even share.

        Args:
            loads: The load of each cache of the ring, in any unit; their sum is greater than 0.
        """
        total = sum(loads)
        sizes = [
            2 * self.even_share(host) - SLOT_COUNT * load / total
            for host, load in zip(self.ring, loads)
        ]
        self.resize([(host.range_size + size) / 2 for host, size in zip(self.ring, sizes)])

    def move_towards_even(self) -> None:
        """Resize all ranges half way towards their even shares."""
        self.resize([(host.range_size + self.even_share(host)) / 2 for host in self.ring])

    def resize(self, sizes: list[float]) -> None:
        """Set the ranges to these sizes in slots, rescaled to fill the hash space.

        Sizes below `MIN_SIZE_RATIO` of a cache's even share are raised to that minimum, and the
        others are rescaled.
        """
        floors = [self.even_share(host) * MIN_SIZE_RATIO for host in self.ring]
        raised: set[int] = set()
        while too_small := {
            i for i, size in enumerate(sizes) if size < floors[i] and i not in raised
        }:
            raised |= too_small
            remaining = sum(size for i, size in enumerate(sizes) if i not in raised)
            scale = (SLOT_COUNT - sum(floors[i] for i in raised)) / remaining
            sizes = [floors[i] if i in raised else size * scale for i, size in enumerate(sizes)]
        ends = [round(end * SLOT_COUNT / sum(sizes)) for end in accumulate(sizes)]
        for host, start, end in zip(self.ring, [0] + ends, ends):
            host.range_size = end - start
        self.refresh()
