"""How even a load is, and what chance alone would make of it. Nothing is decided here.

Times are whole microseconds. A cache's load ratio is what it got over what it would have had by its
size.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Iterable, Mapping, Sequence
from functools import lru_cache
from itertools import accumulate
from math import exp, lgamma, log
from typing import NamedTuple

HERD_WINDOW_US = 100_000
NEIGHBOUR_WINDOWS = 20  # on each side of a window, by which a cache's mean at that time is judged
SEARCH_PRECISION_RATIO = 1e-6  # of the mean load


class CacheRead(NamedTuple):
    """One read that a cache was sent."""

    at_us: int
    cache: str
    key: int


def load_ratios(counts: Mapping[str, float], sizes: Mapping[str, float]) -> dict[str, float]:
    """What each cache of `sizes` got, over its part of the whole by its size.

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
    """What the fullest of so many windows holds where arrivals are independent (Poisson).

    That is the count which one of the windows exceeds on average.

    >>> expected_maximum(3.3, 150), expected_maximum(0.0, 10), expected_maximum(1.0, 1)
    (9, 0, 1)
    """
    if mean <= 0.0:
        return 0
    exceeding_probability = 1.0
    count = 0
    while True:
        exceeding_probability -= exp(count * log(mean) - mean - lgamma(count + 1))
        is_far_out = count > 10 * mean + 100  # rounding errors could keep the sum from falling
        if exceeding_probability * window_count <= 1.0 or is_far_out:
            return max(1, count)
        count += 1


def herd_ratio(arrivals: Collection[Iterable[int]], since: int, until: int) -> float:
    """The fullest window of any cache over what independent arrivals give: near 1 without herds.

    The mean for that is the cache's, or the cache's in the windows around, or that of all caches,
    whichever is most: a cache that was away for a part of the time, or had the requests of others
    for a part of it, is no herd.

    Args:
        arrivals: For each cache, when its requests arrived, in any order.
        since: The first microsecond that counts.
        until: The first that counts no more.

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
    """The longest time in which nothing arrived.

    >>> longest_idle_us([2, 5, 6], 0, 9), longest_idle_us([], 3, 9), longest_idle_us([1, 20], 3, 9)
    (3, 6, 6)
    """
    times = sorted(at for at in arrivals if since <= at < until)
    starts = [since, *times]
    ends = [*times, until]
    return max((end - start for start, end in zip(starts, ends)), default=0)


def moved_read_ratio(reads: Iterable[CacheRead]) -> float:
    """Of the repeated reads of a key, the part that came to another cache than the one before.

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
    """How many caches keep a key of those wanted, on average over the keys that any cache keeps.

    Args:
        kept: For each cache, the keys that it keeps.
        wanted: The keys that count.

    >>> mean_replica_count([[1, 2], [2, 3], [2]], [2, 3, 9])
    2.0
    """
    wanted_keys = set(wanted)
    counts = Counter(key for keys in kept for key in set(keys) & wanted_keys)
    return sum(counts.values()) / len(counts) if counts else 0.0


def best_peak_ratio(loads: Sequence[float], range_count: int) -> float:
    """The least that the fullest of so many contiguous ranges can hold over the mean.

    No table of ranges does better, as a slot is in one range. Found by bisection of what a range
    may hold.

    Args:
        loads: The load of each slot, in any unit; at least one is over 0.
        range_count: How many ranges there are.

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
    """The mean of the windows around one; `sums` are running totals, `count` is its own."""
    first = max(0, window - NEIGHBOUR_WINDOWS)
    end = min(len(sums) - 1, window + NEIGHBOUR_WINDOWS + 1)
    return (sums[end] - sums[first] - count) / max(1, end - first - 1)


def _ranges_needed(loads: Sequence[float], capacity: float) -> int:
    """How many contiguous ranges hold the loads, each filled up to `capacity`."""
    count = 1
    filled = 0.0
    for load in loads:
        if filled + load > capacity:
            count += 1
            filled = 0.0
        filled += load
    return count
