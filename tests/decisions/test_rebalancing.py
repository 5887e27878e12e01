"""When hash ranges are resized, and by which loads."""

import pytest
from balancer_harness import BalancerHarness, range_sizes, weighted_balancer


def test_ranges_moved_by_lost_caches_return_to_even_while_counts_are_low():
    """Guards against uneven ranges after a rollout that replaces half of the caches.

    The largest range was two and a half times the smallest one for minutes.
    """
    balancer = BalancerHarness(9)
    for id in ("c3", "c4", "c5", "c7"):
        balancer.list_hosts([id], state="gone")
    for id in ("c4", "c3", "c7", "c5"):
        balancer.list_hosts([id])
    moved = range_sizes(balancer)
    assert max(moved.values()) > 1.8 * min(moved.values())
    balancer.advance(9_000_000)
    assert range_sizes(balancer) == moved, "the list may change again"
    balancer.advance(15_000_000)
    evened = range_sizes(balancer)
    assert max(evened.values()) < 1.2 * min(evened.values())
    balancer.advance(60_000_000)
    assert range_sizes(balancer) == evened


def test_ranges_set_by_counts_are_not_evened_out():
    balancer = BalancerHarness(4)
    for host, count in zip(balancer.placement.ring, (200, 100, 50, 50), strict=True):
        host.attempt_count = count
    balancer.placement.all_caches.attempt_count = 400
    balancer.advance(6_000_000)
    balancer.list_hosts(["c3"], state="gone")
    resized = range_sizes(balancer)
    assert len(set(resized.values())) > 1
    balancer.advance(60_000_000)
    assert range_sizes(balancer) == resized


@pytest.mark.parametrize(
    ("attempts", "after"),
    [
        ([100, 100, 100, 100], [4096, 4096, 4096, 4096]),
        ([200, 100, 50, 50], [2048, 4096, 5120, 5120]),
        ([399, 1, 0, 0], [1024, 5109, 5126, 5126]),
    ],
)  # the last case raises a range to the minimum of a quarter, and rescales the others
def test_ranges_are_resized_by_attempt_counts_once_the_interval_is_over(attempts, after):
    balancer = BalancerHarness(4)
    for host, count in zip(balancer.placement.ring, attempts, strict=True):
        host.attempt_count = count
    balancer.placement.all_caches.attempt_count = 400
    balancer.advance(4_000_000)
    assert set(range_sizes(balancer).values()) == {4096}, "not before the interval is over"
    balancer.advance(2_000_000)
    assert list(range_sizes(balancer).values()) == pytest.approx(after, abs=4)


def test_rebalance_prefers_reports_and_uses_the_mean_for_cold_or_unreported_caches():
    balancer = BalancerHarness(4)
    balancer.list_hosts(["c3"], started_at_us=99_000_000)  # cold
    for host in balancer.placement.ring:
        host.attempt_count = 100
    balancer.placement.all_caches.attempt_count = 400
    for id, rate in (("c0", 30.0), ("c1", 10.0), ("c2", 20.0)):
        balancer.on_load_report(id, rate)
    balancer.on_load_report("nobody", 1.0)
    balancer.advance(6_000_000)
    assert list(range_sizes(balancer).values()) == pytest.approx([3072, 5120, 4096, 4096], abs=4)


def test_a_rebalance_keeps_ranges_whose_loads_match_their_weights():
    balancer = weighted_balancer([1.0, 3.0])
    for host, count in zip(balancer.placement.ring, (100, 300), strict=True):
        host.attempt_count = count
    balancer.placement.all_caches.attempt_count = 400
    balancer.advance(6_000_000)
    assert list(range_sizes(balancer).values()) == pytest.approx([4096, 12288], abs=2)


def test_a_request_refused_at_both_checks_of_its_owner_counts_as_four_attempts():
    balancer = BalancerHarness()
    owner = balancer.hosts[balancer.owner_of_key(1)]
    owner.concurrency_limit, before = 0.0, owner.attempt_count
    owner.limit_decreased_at_us = balancer.now
    balancer.send_request(1)
    assert owner.attempt_count == before + 4 and owner.id not in balancer.attempted_hosts(
        balancer.last_request_id
    )
