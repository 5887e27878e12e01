"""How even a load is, and what chance alone would make of it. Measures only: nothing here decides.

Times are whole microseconds. Shares are of what a cache would have by its size.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Iterable, Mapping, Sequence
from functools import lru_cache
from itertools import accumulate
from math import exp, lgamma, log

WINDOW = 100_000  # in which a herd is looked for
BESIDE = 20  # windows on each side that tell what a cache's mean is then


def shares(counts: Mapping[str, float], sizes: Mapping[str, float]) -> dict[str, float]:
    """What each cache of `sizes` got, over its part of all by its size.

    >>> shares({"a": 30, "b": 10}, {"a": 1.0, "b": 1.0, "c": 2.0})
    {'a': 3.0, 'b': 1.0, 'c': 0.0}
    >>> shares({}, {"a": 1.0})
    {'a': 1.0}
    """
    total, heft = sum(counts.get(name, 0) for name in sizes), sum(sizes.values())
    if not total:
        return dict.fromkeys(sizes, 1.0)
    return {name: counts.get(name, 0) * heft / (total * size) for name, size in sizes.items()}


@lru_cache(maxsize=4_096)
def largest(mean: float, windows: int) -> int:
    """What the fullest of so many windows holds where arrivals are independent (Poisson): the count that is
    passed in one of them on average.

    >>> largest(3.3, 150), largest(0.0, 10), largest(1.0, 1)
    (9, 0, 1)
    """
    if mean <= 0.0:
        return 0
    beyond, count = 1.0, 0
    while True:
        beyond -= exp(count * log(mean) - mean - lgamma(count + 1))
        if beyond * windows <= 1.0 or count > 10 * mean + 100:
            return max(1, count)
        count += 1


def herd(arrivals: Collection[Iterable[int]], since: int, until: int) -> float:
    """The fullest 100 ms of any cache over what independent arrivals give: near 1 without herds. Their mean
    is the cache's, or that over two seconds before and after, or that of all caches, whichever is most: a
    cache that was away for a part of the time, or had others' reqs for a part of it, is no herd.

    >>> herd([range(0, 10_000_000, 50_000), range(0, 10_000_000, 20_000)], 0, 10_000_000) < 1
    True
    >>> herd([[5_000_000] * 40], 0, 10_000_000) > 5
    True
    >>> herd([range(8_000_000, 10_000_000, 10_000)], 0, 10_000_000) < 1
    True
    """
    windows = max(1, -(-(until - since) // WINDOW))
    rows = [[0] * windows for _ in arrivals]
    for row, times in zip(rows, arrivals):
        for at in times:
            if since <= at < until:
                row[(at - since) // WINDOW] += 1
    found, each = 0.0, sum(map(sum, rows)) / max(1, len(rows) * windows)
    for row in rows:
        whole, sums = max(each, sum(row) / windows), [0, *accumulate(row)]
        for window, count in enumerate(row):
            first, end = max(0, window - BESIDE), min(windows, window + BESIDE + 1)
            beside = (sums[end] - sums[first] - count) / max(1, end - first - 1)
            if count:
                found = max(
                    found, count / largest(round(max(whole, beside), 1), windows * len(rows))
                )
    return found


def idle(arrivals: Iterable[int], since: int, until: int) -> int:
    """The longest time in which nothing came.

    >>> idle([2, 5, 6], 0, 9), idle([], 3, 9), idle([1, 20], 3, 9)
    (3, 6, 6)
    """
    times = sorted(at for at in arrivals if since <= at < until)
    return max(
        (after - before for before, after in zip([since, *times], [*times, until])), default=0
    )


def moved(reads: Iterable[tuple[int, str, int]]) -> float:
    """Of reads as (when, cache, key): the part that came to another cache than the key's read before.

    >>> moved([(1, "a", 7), (3, "b", 7), (2, "a", 7), (4, "a", 8)])
    0.5
    """
    last: dict[int, str] = {}
    again = other = 0
    for _, name, key in sorted(reads):
        if key in last:
            again += 1
            other += last[key] != name
        last[key] = name
    return other / again if again else 0.0


def copies(kept: Iterable[Iterable[int]], asked: Iterable[int]) -> float:
    """How many caches keep a key of those asked for, on average over those that any keeps.

    >>> copies([[1, 2], [2, 3], [2]], [2, 3, 9])
    2.0
    """
    wanted = set(asked)
    counts = Counter(key for one in kept for key in set(one) & wanted)
    return sum(counts.values()) / len(counts) if counts else 0.0


def limit(loads: Sequence[float], parts: int) -> float:
    """The least that the fullest of so many contiguous ranges can hold over the mean, whatever the cuts:
    what no redraw can better, as a slot is in one range.

    >>> limit([1, 1, 1, 1], 2), limit([1, 6, 1], 2), limit([5, 1, 1, 1], 2)
    (1.0, 1.75, 1.25)
    """
    low, high = max(loads), float(sum(loads))
    mean = high / parts
    while high - low > mean * 1e-6:
        most = (low + high) / 2
        count, filled = 1, 0.0
        for load in loads:
            if filled + load > most:
                count, filled = count + 1, 0.0
            filled += load
        low, high = (low, most) if count <= parts else (most, high)
    return round(high / mean, 4)
