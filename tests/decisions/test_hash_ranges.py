"""The ranges: whole whatever comes, and moved by joiners and leavers as little as can be."""

from random import Random

import pytest
from balancer_harness import BalancerHarness, range_sizes, weighted_balancer

from orchidgap.decisions.hash_ranges import SLOT_COUNT


def test_ranges_stay_whole_whatever_comes():
    chance, balancer, here = Random(3), BalancerHarness(6), {f"c{i}" for i in range(6)}
    for step in range(300):
        id = f"c{chance.randrange(30)}"
        if id in here and len(here) > 1:
            balancer.list_hosts([id], state=chance.choice(("gone", "draining")))
            here.discard(id)
        else:
            balancer.list_hosts([id])
            here.add(id)
        if step % 7 == 0:
            for host in balancer.placement.ring:
                host.attempt_count = 100 + chance.randrange(300)
            balancer.placement.all_caches.attempt_count = 100 * len(here)
            balancer.advance(5_500_000)
        ring = balancer.placement.ring
        assert [host.id for host in ring] == sorted(here)
        assert (
            balancer.placement.ranges.range_ends[-1]
            == SLOT_COUNT
            == sum(host.range_size for host in ring)
        )
        assert all(host.range_size >= 0 for host in ring)


def test_a_change_moves_neighbours_only():
    for ids, state, after in (
        (["c2"], "gone", {"c0": 4096, "c1": 6144, "c3": 6144}),
        (["c0"], "draining", {"c1": 8192, "c2": 4096, "c3": 4096}),
        (["c25"], "up", {"c0": 4096, "c1": 4096, "c2": 2731, "c25": 2730, "c3": 2731}),
        (["c4"], "up", {"c0": 4096, "c1": 4096, "c2": 4096, "c3": 2048, "c4": 2048}),
    ):
        balancer = BalancerHarness(4)
        balancer.hosts["c2"].attempt_count = 9
        balancer.list_hosts(ids, state=state)
        assert range_sizes(balancer) == after


def test_a_cache_that_leaves_and_comes_back_has_its_range_again_at_every_balancer():
    """Half of the busier neighbour's range was three quarters of its own, and another half at each balancer."""
    for id in ("c0", "c2", "c6"):
        balancer = BalancerHarness(7)
        before = range_sizes(balancer)
        for host in balancer.placement.ring:
            host.attempt_count = balancer.rng.randrange(99)
        balancer.list_hosts([id], state="gone")
        balancer.list_hosts([id])
        for other, size in range_sizes(balancer).items():
            assert (
                abs(size - before[other]) <= 1
                or id in ("c0", "c6")
                and size >= before[other] * 2 // 3
            )


@pytest.mark.parametrize(
    ("ratings", "weights", "after"),
    [
        ([1.0, 1.0, 1.0, 1.0], "rough", [4096, 4096, 4096, 4096]),
        ([1.0, 1.0, 2.0, 4.0], "rough", [2048, 2048, 4096, 8192]),
        ([1.0, 1.0, 2.0, 4.0], "nominal", [2048, 2048, 4096, 8192]),
        ([1.0, 1.0, 2.0, 4.0], "live", [4096, 4096, 4096, 4096]),  # cuts would swing with them
        ([1.0, 1.0, 2.0, 4.0], "off", [4096, 4096, 4096, 4096]),
        ([0.0, 0.0, 0.0, 0.0], "rough", [4096, 4096, 4096, 4096]),
    ],
)  # a list that tells nonsense
def test_even_shares_are_by_size(ratings, weights, after):
    assert list(range_sizes(weighted_balancer(ratings, weights)).values()) == pytest.approx(
        after, abs=1
    )
