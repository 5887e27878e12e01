"""Counts that balancers share by gossip, for a common table of hash ranges and common hot keys.

Each balancer sees only a part of all requests. If a deployment enables gossip, it reports its
attempts at each cache since the ranges were set, its reads, and its hottest keys. A report replaces
the previous one of the same process, so nothing is counted twice; if a report is lost or delayed,
the only effect is that older counts are used. A table of ranges has a version. Two balancers with
different tables agree on one by these rules:

| received table, compared with the own table      | table to use                   |
| ------------------------------------------------ | ------------------------------ |
| for a different set of caches                    | the own                        |
| a lower version                                  | the own                        |
| a higher version (higher number, or a greater    | the received                   |
| balancer name with the same number)              |                                |
| the same version, but different sizes (caches    | the one with the higher digest |
| were lost in a different order)                  |                                |

Times are whole microseconds. No I/O.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from enum import Enum
from heapq import nlargest
from operator import itemgetter
from random import Random
from typing import NamedTuple
from zlib import crc32

from orchidgap.decisions.hot_keys import key_digest
from orchidgap.decisions.placement import Placement
from orchidgap.decisions.rebalancing import REBALANCE_MIN_ATTEMPTS

REPORT_LIFETIME_US = 15_000_000  # the balancer of an older report is dead or unreachable
# Each rebalancing moves the bounds of all ranges, and keys near the bounds are fetched again.
DEFAULT_REBALANCE_INTERVAL_US = 60_000_000
HOT_KEY_HALVING_US = 30_000_000  # long enough for all balancers together to count enough reads
MIN_HOT_KEY_COUNT = 0.75  # keys with a lower count are dropped when counts are halved
MAX_REPORTS = 512
MAX_SINGLE_LOOKUPS = 16  # key lookups between two ticks; after that the sums of all keys are built
MAX_REPORTED_KEYS = 24
NEVER_US = -1  # differs from every time of a balancer's clock
# At each tick, a balancer that could rebalance does so with probability 1 / (this * number of
# balancers): two that rebalance at the same time would set different tables.
REBALANCE_CHANCE_DIVISOR = 4


class TableVersion(NamedTuple):
    """The version of a table of ranges. Versions are ordered by number, then by name."""

    number: int
    balancer: str  # name of the balancer that set the table


class RangeTable(NamedTuple):
    """A table of ranges as a balancer sends it to others."""

    ring_digest: int  # identifies the set of caches
    version: TableVersion
    range_sizes: Sequence[int]  # sizes in slots, in the order of the caches' ids


class CountsReport(NamedTuple):
    """The counts of one balancer."""

    balancer: str
    incarnation: int  # start time of its process, by its own clock
    sequence: int  # number of the report within that incarnation
    as_of_us: int  # time of the counts, by the clock of the balancer that stores the report
    ring_digest: int  # identifies the set of caches
    table_version: TableVersion  # the table in use while the attempts were counted
    attempt_counts: Sequence[int]  # attempts at each of those caches since that table was set
    read_count: float
    hot_key_counts: Mapping[int, float]  # read counts of its hottest keys, by key digest


class ReportOutcome(Enum):
    """What was done with a received report."""

    KEPT = "kept"  # stored as the last report of its balancer
    OWN = "own"  # dropped: the report is this balancer's own
    OLD = "old"  # dropped: the stored report of its balancer is the same one or a later one
    TOO_MANY = "too many"  # dropped: `MAX_REPORTS` are stored and none of them has expired


def sequence_digest(values: Sequence[object]) -> int:
    """Returns an order-dependent digest of the values, the same in every process.

    >>> sequence_digest(["c1", "c2"]) == sequence_digest(["c1", "c2"])
    True
    >>> sequence_digest(["c1", "c2"]) == sequence_digest(["c2", "c1"])
    False
    """
    return crc32(repr(tuple(values)).encode())


class SummedKeyCounts:
    """Counts of keys, summed over several reports.

    A balancer that gets few requests between two ticks looks up few keys. So the first lookups sum
    the counts of a single key, and the sums of all keys are built only after many lookups.

    >>> counts = SummedKeyCounts([{7: 1.5}, {7: 2.0, 8: 1.0}])
    >>> counts.get(7, 0.0), counts.get(8, 0.0), counts.get(9, 0.0)
    (3.5, 1.0, 0.0)
    """

    def __init__(self, parts: Sequence[Mapping[int, float]]) -> None:
        """Stores the counts to sum; nothing is summed yet."""
        self._parts = parts
        self._single_lookups = 0
        self._sums: dict[int, float] | None = None

    def get(self, key: int, default: float, /) -> float:
        """Returns the sum for the key, or the default if no part has it."""
        if self._sums is None:
            self._single_lookups += 1
            if self._single_lookups <= MAX_SINGLE_LOOKUPS:
                return self._sum_of(key, default)
            self._sums = self._sum_all()
        return self._sums.get(key, default)

    def _sum_of(self, key: int, default: float) -> float:
        found = [part[key] for part in self._parts if key in part]
        if not found:
            return default
        total = 0.0
        for count in found:  # added in the same order as in `_sum_all`, for the same rounding
            total += count
        return total

    def _sum_all(self) -> dict[int, float]:
        sums: dict[int, float] = {}
        for part in self._parts:
            for key, count in part.items():
                sums[key] = sums.get(key, 0.0) + count
        return sums


class GossipCounts:
    """The gossip state of one balancer.

    Ranges are computed by the placement's own formula, from the counts of all balancers.

    Attributes:
        name: This balancer's name.
        placement: The placement whose ranges and hot keys are updated.
        reports: The last report of each other balancer, by its name.
        table_version: The version of the current ranges.
        rebalance_count: How often this balancer set the table.
    """

    def __init__(
        self,
        name: str,
        incarnation: int,
        placement: Placement,
        rng: Random,
        now: int,
        rebalance_interval_us: int = DEFAULT_REBALANCE_INTERVAL_US,
    ) -> None:
        """Starts at `now` with no reports.

        Args:
            name: This balancer's name.
            incarnation: The start time of its process, later than that of the previous process.
            placement: The placement whose ranges and hot keys are updated.
            rng: Decides at random whether this balancer sets the table when it is due.
            now: The current time.
            rebalance_interval_us: The least time between two changes of the table.
        """
        self.name = name
        self.placement = placement
        self.reports: dict[str, CountsReport] = {}
        self.table_version = TableVersion(0, "")
        self.rebalance_count = 0
        self._incarnation = incarnation
        self._sequence = 0
        self._rng = rng
        self._rebalance_interval_us = rebalance_interval_us
        self._rebalanced_at_us = placement.rebalancer.rebalanced_at_us
        self._halved_at_us = now
        self._digested_ids: list[str] = []
        self._ring_digest = sequence_digest(self._digested_ids)
        self._live_reports: list[CountsReport] = []
        self._live_reports_as_of_us = NEVER_US

    def ring_digest(self) -> int:
        """Returns a digest of the ids of the caches that this balancer has ranges for."""
        ids = [host.id for host in self.placement.ring]
        if ids != self._digested_ids:
            self._digested_ids = ids
            self._ring_digest = sequence_digest(ids)
        return self._ring_digest

    def range_sizes(self) -> list[int]:
        """Returns the sizes of all ranges in slots, in the order of the caches' ids."""
        return [host.range_size for host in self.placement.ring]

    def table(self) -> RangeTable:
        """Returns this balancer's table."""
        return RangeTable(self.ring_digest(), self.table_version, self.range_sizes())

    def make_report(self, now: int) -> CountsReport:
        """Returns the next report of this balancer."""
        self._sequence += 1
        hot_keys = self.placement.hot_keys
        hottest = nlargest(MAX_REPORTED_KEYS, hot_keys.read_counts.items(), key=itemgetter(1))
        return CountsReport(
            balancer=self.name,
            incarnation=self._incarnation,
            sequence=self._sequence,
            as_of_us=now,
            ring_digest=self.ring_digest(),
            table_version=self.table_version,
            attempt_counts=[host.attempt_count for host in self.placement.ring],
            read_count=hot_keys.total_reads,
            hot_key_counts={key_digest(key): count for key, count in hottest},
        )

    def receive_report(self, report: CountsReport) -> ReportOutcome:
        """Stores another balancer's report if it is later than the stored one."""
        if report.balancer == self.name:
            return ReportOutcome.OWN
        known = self.reports.get(report.balancer)
        if known:
            is_later = (report.incarnation, report.sequence) > (known.incarnation, known.sequence)
            if not is_later:
                return ReportOutcome.OLD
        elif len(self.reports) >= MAX_REPORTS:
            oldest = min(self.reports.values(), key=lambda each: each.as_of_us)
            if oldest.as_of_us > report.as_of_us - REPORT_LIFETIME_US:
                return ReportOutcome.TOO_MANY
            del self.reports[oldest.balancer]
        self.reports[report.balancer] = report
        self._live_reports_as_of_us = NEVER_US
        return ReportOutcome.KEPT

    def live_reports(self, now: int) -> Sequence[CountsReport]:
        """Returns the reports that have not expired.

        The result is cached until the time changes or a report arrives. Expired reports stay
        stored, so that a replay of an old datagram is recognised and does not count.
        """
        if now != self._live_reports_as_of_us:
            oldest_us = now - REPORT_LIFETIME_US
            self._live_reports = [
                report for report in self.reports.values() if report.as_of_us > oldest_us
            ]
            self._live_reports_as_of_us = now
        return self._live_reports

    def receive_table(self, table: RangeTable, now: int) -> bool:
        """Adopts another balancer's table if it supersedes the own one; returns whether it did.

        Raises:
            ValueError: The table supersedes the own one, but its sizes are not valid.
        """
        if not self._supersedes_own_table(table):
            return False
        placement = self.placement
        ring = placement.ring
        sizes = table.range_sizes
        fills_space = len(sizes) == len(ring) and sum(sizes) == sum(self.range_sizes())
        if not fills_space or min(sizes) < 0:
            raise ValueError("range sizes do not match the ring of caches")
        for host, size in zip(ring, sizes):
            host.range_size = size
        placement.ranges.refresh()
        if table.version > self.table_version:
            self._restart_counts(now)
            placement.rebalancer.is_rebalanced = True
        self.table_version = table.version
        self._rebalanced_at_us = now
        placement.rebalancer.rebalanced_at_us = now
        return True

    def tick(self, now: int) -> bool:
        """Updates the shared hot keys and sets a new table if due; returns whether one was set.

        A table is due once all balancers together have counted enough attempts since the last one.
        A balancer that has no live reports decides as it would without gossip.
        """
        reports = self.live_reports(now)
        self._share_hot_keys(reports)
        if not reports:
            return False
        self._halve_hot_keys(now)
        if self._has_rebalanced_locally():
            self._publish_table()
            return True
        if now - self._rebalanced_at_us < self._rebalance_interval_us or not self.placement.ring:
            return False
        attempt_counts = self._attempt_counts_of_all(reports)
        if sum(attempt_counts) < REBALANCE_MIN_ATTEMPTS * len(attempt_counts):
            return False
        is_chosen = self._rng.random() * REBALANCE_CHANCE_DIVISOR * (1 + len(reports)) < 1
        if not is_chosen:
            return False  # another balancer is chosen, or this one at a later tick
        self._rebalance(attempt_counts, now)
        self._publish_table()
        return True

    def _supersedes_own_table(self, table: RangeTable) -> bool:
        """Returns whether a received table is to be used, by the rules in the module docstring."""
        if table.ring_digest != self.ring_digest() or not self.placement.ring:
            return False
        if table.version != self.table_version:
            return table.version > self.table_version
        if list(table.range_sizes) == self.range_sizes():
            return False
        return sequence_digest(table.range_sizes) > sequence_digest(self.range_sizes())

    def _restart_counts(self, now: int) -> None:
        for host in self.placement.ring:
            host.attempt_count = 0
            host.counted_since_us = now
        self.placement.all_caches.attempt_count = 0

    def _share_hot_keys(self, reports: Sequence[CountsReport]) -> None:
        counts = SummedKeyCounts([report.hot_key_counts for report in reports])
        total_reads = sum(report.read_count for report in reports)
        self.placement.hot_keys.set_peer_counts(counts, total_reads)

    def _halve_hot_keys(self, now: int) -> None:
        if now - self._halved_at_us >= HOT_KEY_HALVING_US:
            self.placement.hot_keys.halve_counts(MIN_HOT_KEY_COUNT)
            self._halved_at_us = now

    def _has_rebalanced_locally(self) -> bool:
        """Returns whether the placement has rebalanced by its own counts since the last check."""
        rebalancer = self.placement.rebalancer
        if rebalancer.rebalanced_at_us == self._rebalanced_at_us:
            return False
        self._rebalanced_at_us = rebalancer.rebalanced_at_us
        return rebalancer.is_rebalanced

    def _attempt_counts_of_all(self, reports: Sequence[CountsReport]) -> list[int]:
        """Returns the attempts at each cache by all balancers that use the same table."""
        ring = self.placement.ring
        own = (self.ring_digest(), self.table_version, len(ring))
        comparable = [
            report.attempt_counts
            for report in reports
            if (report.ring_digest, report.table_version, len(report.attempt_counts)) == own
        ]
        return [
            host.attempt_count + sum(counts[index] for counts in comparable)
            for index, host in enumerate(ring)
        ]

    def _rebalance(self, attempt_counts: Sequence[int], now: int) -> None:
        """Sets the ranges by these counts, which share one start time for all caches."""
        placement = self.placement
        for host, count in zip(placement.ring, attempt_counts):
            host.attempt_count = count
            host.counted_since_us = now - self._rebalance_interval_us
        placement.all_caches.attempt_count = sum(attempt_counts)
        placement.tick()

    def _publish_table(self) -> None:
        """Gives the current ranges a new version, which other balancers adopt."""
        self.table_version = TableVersion(self.table_version.number + 1, self.name)
        self._rebalanced_at_us = self.placement.rebalancer.rebalanced_at_us
        self.rebalance_count += 1
