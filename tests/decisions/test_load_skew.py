"""Tests of the evenness measures against simple counts and against independent arrivals."""

from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from orchidgap.decisions.load_skew import (
    CacheRead,
    best_peak_ratio,
    herd_ratio,
    load_ratios,
    mean_replica_count,
    moved_read_ratio,
)


@given(st.lists(st.floats(0, 9), min_size=1, max_size=40), st.integers(1, 12))
def test_best_peak_ratio_is_a_lower_bound_for_any_ranges(loads, parts):
    loads = [load + 0.01 for load in loads]
    best = best_peak_ratio(loads, parts)
    even = [loads[i * len(loads) // parts : (i + 1) * len(loads) // parts] for i in range(parts)]
    assert best + 1e-3 >= 1.0
    assert best <= max(map(sum, even)) * parts / sum(loads) + 1e-3
    assert best >= max(loads) * parts / sum(loads) - 1e-3


@settings(deadline=None)  # on a busy machine an example may exceed the default deadline
@given(st.integers(0, 99))
def test_herd_ratio_detects_simultaneous_but_not_independent_arrivals(seed):
    """Peaks that are due to chance must not be reported as a herd, and a real herd must be detected."""
    rng = Random(seed)
    rows = [[rng.randrange(30_000_000) for _ in range(1_000)] for _ in range(12)]
    assert herd_ratio(rows, 0, 30_000_000) < 1.5
    rows[3] += [7_000_000 + i for i in range(30)]
    assert herd_ratio(rows, 0, 30_000_000) > 2.0


def test_load_ratios_are_relative_to_size_and_cover_only_the_caches_given():
    ratios = load_ratios({"a": 10, "b": 20, "gone": 70}, {"a": 1.0, "b": 2.0})
    assert ratios == {"a": 1.0, "b": 1.0}


def test_mean_replica_count_and_moved_read_ratio():
    assert mean_replica_count([[1], [1, 2], [9]], [1, 2]) == 1.5
    assert mean_replica_count([], [1]) == 0.0
    assert moved_read_ratio([]) == 0.0
    reads = [CacheRead(1, "a", 1), CacheRead(2, "a", 1), CacheRead(3, "b", 1)]
    assert moved_read_ratio(reads) == 0.5
