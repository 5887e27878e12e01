"""Measures of how evenly load is spread, compared with what random arrivals would give.

These are statistics only; no decision depends on them. Times are whole microseconds. The load ratio
of a cache is its load divided by its fair share, which is proportional to its size.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Iterable, Mapping, Sequence
from functools import lru_cache
from itertools import accumulate
from math import exp, lgamma, log
from typing import NamedTuple

HERD_WINDOW_US = 100_000  # length of the windows in which `herd_ratio` counts arrivals
NEIGHBOUR_WINDOWS = 20  # windows on each side of a window that give the cache's mean at that time
SEARCH_PRECISION_RATIO = 1e-6  # precision of the bisection, relative to the mean load


class CacheRead(NamedTuple):
    """One read that was sent to a cache."""

    at_us: int
    cache: str
    key: int


def load_ratios(counts: Mapping[str, float], sizes: Mapping[str, float]) -> dict[str, float]:
    """Returns the load ratio of each cache in `sizes`; counts of other caches are ignored.

    >>> load_ratios({"a": 30, "b": 10}, {"a": 1.0, "b": 1.0, "c": 2.0})
    {'a': 3.0, 'b': 1.0, 'c': 0.0}
    >>> load_ratios({}, {"a": 1.0})
    {'a': 1.0}
    """
    total = sum(counts.get(name, 0) for name in sizes)
    total_size = sum(sizes.values())
    if not total:
        return dict.fromkeys(sizes, 1.0)
    return {name: counts.get(name, 0) * total_size / (total * size) for name, size in sizes.items()}


@lru_cache(maxsize=4_096)
def expected_maximum(mean: float, window_count: int) -> int:
    """Returns the expected highest count among the windows if arrivals are independent (Poisson).

    This is the count that, on average, at most one of the windows exceeds.

    >>> expected_maximum(3.3, 150), expected_maximum(0.0, 10), expected_maximum(1.0, 1)
    (9, 0, 1)
    """
    if mean <= 0.0:
        return 0
    exceeding_probability = 1.0
    count = 0
    while True:
        exceeding_probability -= exp(count * log(mean) - mean - lgamma(count + 1))
        # Rounding errors could keep the probability from falling far enough.
        is_past_tail = count > 10 * mean + 100
        if exceeding_probability * window_count <= 1.0 or is_past_tail:
            return max(1, count)
        count += 1


def herd_ratio(arrivals: Collection[Iterable[int]], since: int, until: int) -> float:
    """Returns the highest ratio of a window's count to the maximum expected without herds.

    The result is near 1 if there are no herds. The expected maximum is computed from the highest of
    three means: that of the cache over the whole time, that of the cache in the neighbouring
    windows, and that of all caches. So a cache that was down for some of the time, or that served
    the requests of other caches for some of it, is not taken for a herd.

    Args:
        arrivals: For each cache, the arrival times of its requests, in any order.
        since: The start of the measured time, inclusive.
        until: The end of the measured time, exclusive.

    >>> herd_ratio([range(0, 10_000_000, 50_000), range(0, 10_000_000, 20_000)], 0, 10_000_000) < 1
    True
    >>> herd_ratio([[5_000_000] * 40], 0, 10_000_000) > 5
    True
    >>> herd_ratio([range(8_000_000, 10_000_000, 10_000)], 0, 10_000_000) < 1
    True
    """
    window_count = max(1, -(-(until - since) // HERD_WINDOW_US))
    rows = [_window_counts(times, since, until, window_count) for times in arrivals]
    mean_of_all = sum(map(sum, rows)) / max(1, len(rows) * window_count)
    highest_ratio = 0.0
    for row in rows:
        usual_mean = max(mean_of_all, sum(row) / window_count)
        sums = [0, *accumulate(row)]
        for window, count in enumerate(row):
            if count:
                mean = max(usual_mean, _neighbours_mean(sums, window, count))
                expected = expected_maximum(round(mean, 1), window_count * len(rows))
                highest_ratio = max(highest_ratio, count / expected)
    return highest_ratio


def longest_idle_us(arrivals: Iterable[int], since: int, until: int) -> int:
    """Returns the longest time between `since` and `until` without an arrival.

    >>> longest_idle_us([2, 5, 6], 0, 9), longest_idle_us([], 3, 9), longest_idle_us([1, 20], 3, 9)
    (3, 6, 6)
    """
    times = sorted(at for at in arrivals if since <= at < until)
    starts = [since, *times]
    ends = [*times, until]
    return max((end - start for start, end in zip(starts, ends)), default=0)


def moved_read_ratio(reads: Iterable[CacheRead]) -> float:
    """Returns the fraction of repeated reads that went to another cache than the key's last read.

    >>> reads = [CacheRead(1, "a", 7), CacheRead(3, "b", 7), CacheRead(2, "a", 7)]
    >>> moved_read_ratio([*reads, CacheRead(4, "a", 8)])
    0.5
    """
    last_cache: dict[int, str] = {}
    repeated = 0
    moved = 0
    for read in sorted(reads):
        if read.key in last_cache:
            repeated += 1
            moved += last_cache[read.key] != read.cache
        last_cache[read.key] = read.cache
    return moved / repeated if repeated else 0.0


def mean_replica_count(kept: Iterable[Iterable[int]], wanted: Iterable[int]) -> float:
    """Returns how many caches hold a wanted key, on average over the keys that any cache holds.

    Args:
        kept: For each cache, the keys that it holds.
        wanted: The keys to consider.

    >>> mean_replica_count([[1, 2], [2, 3], [2]], [2, 3, 9])
    2.0
    """
    wanted_keys = set(wanted)
    counts = Counter(key for keys in kept for key in set(keys) & wanted_keys)
    return sum(counts.values()) / len(counts) if counts else 0.0


def best_peak_ratio(loads: Sequence[float], range_count: int) -> float:
    """Returns the lowest possible ratio of the fullest range's load to the mean load of a range.

    This is a lower bound for every table of contiguous ranges, as a slot belongs to exactly one
    range. It is found by bisection on the capacity of a range.

    Args:
        loads: The load of each slot, in any unit; at least one is greater than 0.
        range_count: The number of ranges.

    >>> [best_peak_ratio(loads, 2) for loads in ([1, 1, 1, 1], [1, 6, 1], [5, 1, 1, 1])]
    [1.0, 1.75, 1.25]
    """
    low = max(loads)
    high = float(sum(loads))
    mean = high / range_count
    while high - low > mean * SEARCH_PRECISION_RATIO:
        capacity = (low + high) / 2
        if _ranges_needed(loads, capacity) <= range_count:
            high = capacity
        else:
            low = capacity
    return round(high / mean, 4)


def _window_counts(times: Iterable[int], since: int, until: int, window_count: int) -> list[int]:
    counts = [0] * window_count
    for at in times:
        if since <= at < until:
            counts[(at - since) // HERD_WINDOW_US] += 1
    return counts


def _neighbours_mean(sums: Sequence[int], window: int, count: int) -> float:
    """Returns the mean count of the windows next to `window`, without its own `count`.

    The `sums` are running totals of the counts, starting with 0.
    """
    first = max(0, window - NEIGHBOUR_WINDOWS)
    end = min(len(sums) - 1, window + NEIGHBOUR_WINDOWS + 1)
    return (sums[end] - sums[first] - count) / max(1, end - first - 1)


def _ranges_needed(loads: Sequence[float], capacity: float) -> int:
    """Returns the number of contiguous ranges that hold the loads, each filled up to `capacity`."""
    count = 1
    filled = 0.0
    for load in loads:
        if filled + load > capacity:
            count += 1
            filled = 0.0
        filled += load
    return count
