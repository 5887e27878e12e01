"""Hot keys are detected by few reads and spread over neighbours until they cool; other keys are not."""

from binascii import crc_hqx
from collections import Counter
from random import Random

import pytest
from balancer_harness import BalancerHarness
from hypothesis import given
from hypothesis import strategies as st

from orchidgap.decisions.hash_ranges import SLOT_COUNT
from orchidgap.decisions.hot_keys import (
    MAX_COUNTED_KEYS,
    READS_PER_CACHE_BEFORE_HALVING,
    HotKeyDetector,
)


@pytest.mark.parametrize(
    ("part", "caches", "reads", "least", "most"),
    [
        (0.43, 12, 30, 5, 12),  # found within seconds at two requests a second
        (0.04, 40, 200, 2, 12),
        (0.04, 40, 50, 2, 12),  # within half a minute
        (0.04, 12, 2 * READS_PER_CACHE_BEFORE_HALVING * 12, 2, 3),
        (0.005, 12, 2 * READS_PER_CACHE_BEFORE_HALVING * 12, 1, 1),
    ],
)  # in the last case the key causes 0.06 of a cache's load
def test_a_key_is_spread_by_its_part_of_the_load_of_a_cache(part, caches, reads, least, most):
    found = []
    for seed in range(20):
        detector, rng = HotKeyDetector(), Random(seed)
        for _ in range(reads):
            detector.replica_count(0 if rng.random() < part else rng.randrange(1, 9_999), caches)
        found.append(detector.replica_count(0, caches))
    assert least <= sorted(found)[10] <= most


@given(st.lists(st.integers(0, 30), max_size=3_000), st.integers(1, 20))
def test_counts_are_bounded_and_no_key_is_spread_over_more_caches_than_exist(keys, caches):
    detector = HotKeyDetector()
    for key in keys:
        assert 1 <= detector.replica_count(key, caches) <= caches
        assert (
            sum(detector.read_counts.values()) <= detector.total_reads + 1e-6
            and len(detector.read_counts) <= MAX_COUNTED_KEYS
        )


def test_the_count_of_a_key_that_is_no_longer_hot_is_removed():
    """Guards against copies of a key that stay in caches for a day after it was hot for an hour."""
    detector, rng = HotKeyDetector(), Random(1)
    for _ in range(200):
        detector.replica_count(0 if rng.random() < 0.4 else rng.randrange(1, 999), 12)
    assert detector.replica_count(0, 12) > 1
    for _ in range(8 * READS_PER_CACHE_BEFORE_HALVING * 12):
        detector.replica_count(rng.randrange(1, 999), 12)
    assert 0 not in detector.read_counts


def caches_read(balancer, key, count):
    """Send reads of the key one after another, and return how many each cache got."""
    reads = Counter()
    for _ in range(count):
        request = balancer.send_request(key)
        reads[balancer.attempted_hosts(request)[0]] += 1
        balancer.finish_attempt(request, "done")
    return reads


def test_reads_of_a_hot_key_go_to_two_neighbours_on_each_side_and_other_keys_to_owners():
    balancer = BalancerHarness(9)
    owner = int(balancer.owner_of_key(1)[1:])
    reads = caches_read(balancer, 1, 300)
    assert set(reads) == {f"c{(owner + step) % 9}" for step in (-2, -1, 0, 1, 2)}
    assert all(count > 30 for count in reads.values())
    assert len(caches_read(balancer, 2, 2)) == 1


def test_reads_of_a_hot_key_skip_an_ejected_neighbour():
    """A neighbour of a hot key's owner fails; until it returns, the others get the key's reads."""
    balancer = BalancerHarness(9)
    owner = int(balancer.owner_of_key(1)[1:])
    caches_read(balancer, 1, 50)
    balancer.hosts[f"c{(owner + 1) % 9}"].ejected_until_us = balancer.now + 1_000_000
    reads = caches_read(balancer, 1, 200)
    assert f"c{(owner + 1) % 9}" not in reads and sum(reads.values()) == 200


def test_the_substitute_for_a_cache_is_on_the_side_of_the_keys_half_of_its_range():
    """Guards against overload of the left neighbour: hundreds of balancers lose a cache at once."""
    balancer = BalancerHarness(5)
    sides = Counter()
    c2 = balancer.hosts["c2"]
    start, end = balancer.placement.ranges.range_ends[1:3]
    for key in range(400):
        c2.ejected_until_us = 0
        request = balancer.send_request(key)
        balancer.finish_attempt(request, "done")
        if balancer.attempted_hosts(request) == ["c2"]:
            c2.ejected_until_us = balancer.now + 1_000_000
            slot = crc_hqx(b"%d" % key, 0) & (SLOT_COUNT - 1)
            assert start <= slot < end
            side = "c1" if slot < start + (end - start) // 2 else "c3"
            request = balancer.send_request(key)
            balancer.finish_attempt(request, "done")
            assert balancer.attempted_hosts(request) == [side]
            sides[side] += 1
    assert min(sides["c1"], sides["c3"]) > 10
