"""What balancers tell each other of what they counted, where a deployment lets them talk: one table of ranges
and the hot keys of all, though each sees little.

A balancer tells a `Row`: what it sent to each cache since its table was drawn, its reads, its hottest keys. A
row takes the place of the one before from the same process, so nothing is counted twice, and one that is
lost or late does no harm but for its age. A table has a version; of two tables one counts at both:

    | its own table, beside one that is heard of        | it takes    |
    | ------------------------------------------------- | ----------- |
    | other caches than its own                         | nothing     |
    | a lower version                                   | nothing     |
    | a higher version (drawn later, or by a later name) | the other's |
    | the same version (losses came in another order)   | that with the higher digest |

Times are whole microseconds. Nothing here does I/O.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from heapq import nlargest
from random import Random
from typing import NamedTuple
from zlib import crc32

from orchidgap.decisions.hot_keys import key_digest
from orchidgap.decisions.placement import Placement
from orchidgap.decisions.rebalancing import REBALANCE_MIN_ATTEMPTS

AGE = 15_000_000  # after which a row counts no more: its balancer is dead, or cannot be heard
GAP = 60_000_000  # between two draws: each moves the cuts of all ranges, and their keys are fetched anew
FADE = 30_000_000  # until what was read counts half: all together have read enough by then
MOST_ROWS = 512
MOST_KEYS = 24  # told in a row
EAGER = 4  # one in so many of those that could draw does, at each look

Version = tuple[int, str]  # a count, and who drew it


class Row(NamedTuple):
    life: int  # when its process started
    number: int  # of the row, in that life
    since: int  # when it was as it is, by the clock of whoever keeps it
    ring: int  # which caches are meant
    version: Version
    sends: Sequence[int]  # to each of them, in their order
    reads: float
    keys: Mapping[int, float]  # the hottest ones, by their marks


def digest(words: Sequence[object]) -> int:
    """
    >>> digest(["c1", "c2"]) == digest(["c1", "c2"]) != digest(["c2", "c1"])
    True
    """
    return crc32(repr(tuple(words)).encode())


class Pool:
    """One balancer's part in it. `Placement` draws by its formula as ever, by the counts of all."""

    def __init__(
        self, name: str, life: int, placement: Placement, rng: Random, now: int, gap: int = GAP
    ) -> None:
        self.name, self.life, self.placement, self.rng, self.gap = name, life, placement, rng, gap
        self.rows: dict[str, Row] = {}
        self.version: Version = (0, "")
        self.number = 0
        # when the table became what it is, and when what was read last faded
        self.drawn_at, self.faded_at = placement.rebalancer.rebalanced_at_us, now
        self.draws = 0

    def ring(self) -> int:
        return digest([host.id for host in self.placement.ring])

    def sizes(self) -> list[int]:
        return [host.range_size for host in self.placement.ring]

    def own(self, now: int) -> Row:
        """What is told of itself; each has a number of its own."""
        self.number += 1
        heat, ring = self.placement.hot_keys, self.placement.ring
        keys = nlargest(MOST_KEYS, heat.read_counts.items(), key=lambda item: item[1])
        return Row(
            self.life,
            self.number,
            now,
            self.ring(),
            self.version,
            [host.attempt_count for host in ring],
            heat.total_reads,
            {key_digest(key): count for key, count in keys},
        )

    def hear(self, name: str, row: Row) -> str:
        """A row that came; why it is not taken, empty where it is: `own`, `old` or `many`."""
        if name == self.name:
            return "own"
        known = self.rows.get(name)
        if known and (row.life, row.number) <= (known.life, known.number):
            return "old"
        if not known and len(self.rows) >= MOST_ROWS:
            oldest = min(self.rows, key=lambda other: self.rows[other].since)
            if self.rows[oldest].since > row.since - AGE:
                return "many"
            del self.rows[oldest]
        self.rows[name] = row
        return ""

    def live(self, now: int) -> list[tuple[str, Row]]:
        """Rows that count. Older ones stay known, or what was sent once could be sent again."""
        return [(name, row) for name, row in self.rows.items() if now - row.since < AGE]

    def meets(self, ring: int, version: Version, sizes: Sequence[int], now: int) -> bool:
        """Another's table; whether it is taken. Raises ValueError for one that cannot be."""
        placement = self.placement
        if ring != self.ring() or not placement.ring or version < self.version:
            return False
        if version == self.version and digest(sizes) <= digest(self.sizes()):
            return False
        if len(sizes) != len(placement.ring) or sum(sizes) != sum(self.sizes()) or min(sizes) < 0:
            raise ValueError("a table that does not go with its caches")
        for host, size in zip(placement.ring, sizes):
            host.range_size = size
        placement.ranges.refresh()
        if version > self.version:
            for host in placement.ring:
                host.attempt_count, host.counted_since_us = 0, now
            placement.all_caches.attempt_count = 0
            placement.rebalancer.is_rebalanced = True  # drawn by counts: not to be evened
        self.version, self.drawn_at = version, now
        placement.rebalancer.rebalanced_at_us = now
        return True

    def tick(self, now: int) -> bool:
        """Once in a while: hot keys of all are told to whoever looks for them, and a table is drawn where all
        together have counted enough; whether it was."""
        placement, live = self.placement, self.live(now)
        heat, ring = placement.hot_keys, placement.ring
        others: dict[int, float] = {}
        for _, row in live:
            for key, count in row.keys.items():
                others[key] = others.get(key, 0.0) + count
        heat.peer_read_counts, heat.peer_total_reads = others, sum(row.reads for _, row in live)
        if not live:
            return False  # by itself it decides as it would without
        if now - self.faded_at >= FADE:
            heat.halve_counts(0.75)
            self.faded_at = now
        if placement.rebalancer.rebalanced_at_us != self.drawn_at:
            self.drawn_at = placement.rebalancer.rebalanced_at_us
            if placement.rebalancer.is_rebalanced:  # it has seen so much by itself that it drew
                return self.drew()
        if now - self.drawn_at < self.gap or not ring:
            return False
        meant = self.ring()
        there = [
            row.sends
            for _, row in live
            if (row.ring, row.version, len(row.sends)) == (meant, self.version, len(ring))
        ]
        counts = [
            host.attempt_count + sum(sends[i] for sends in there) for i, host in enumerate(ring)
        ]
        if sum(counts) < REBALANCE_MIN_ATTEMPTS * len(ring):
            return False
        if self.rng.random() * EAGER * (1 + len(live)) >= 1:
            return False  # another one does, or this one the next time
        for host, count in zip(ring, counts):
            host.attempt_count, host.counted_since_us = (
                count,
                now - self.gap,
            )  # all for the same time
        placement.all_caches.attempt_count = sum(counts)
        placement.tick()
        return self.drew()

    def drew(self) -> bool:
        self.version, self.drawn_at = (
            (self.version[0] + 1, self.name),
            self.placement.rebalancer.rebalanced_at_us,
        )
        self.draws += 1
        return True
