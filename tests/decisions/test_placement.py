"""Which cache serves a key, and when the origin serves it instead."""

import pytest
from balancer_harness import BalancerHarness


@pytest.mark.parametrize("outcome", ["stale", "reset", "refused", "full", "error"])
def test_the_last_attempt_of_a_read_goes_to_an_origin_with_capacity(outcome):
    balancer = BalancerHarness()
    balancer.settings = balancer.settings._replace(max_attempts=2)
    request = balancer.send_request(5)
    balancer.finish_attempt(request, outcome)
    assert balancer.attempted_hosts(request)[1:] == ["o"], "a miss could not be followed by a fetch"
    balancer.finish_attempt(request, "done", 1)
    balancer.hosts["o"].concurrency_limit = 1.0
    busy = balancer.send_request(7, "once")
    request = balancer.send_request(5)
    balancer.finish_attempt(request, "stale")
    assert (
        len(balancer.attempted_hosts(request)) == 2
        and balancer.attempted_hosts(request)[1] != "o"
        and balancer.attempted_hosts(busy) == ["o"]
    ), "the origin has no spare capacity"


def test_a_read_with_a_single_attempt_goes_to_an_origin_with_capacity():
    balancer = BalancerHarness()
    balancer.settings = balancer.settings._replace(max_attempts=1)
    first = balancer.send_request(5)
    assert balancer.attempted_hosts(first) == ["o"]
    balancer.hosts["o"].concurrency_limit = 2.0
    assert balancer.attempted_hosts(balancer.send_request(6)) != ["o"]


def test_a_read_that_no_cache_accepts_goes_to_an_origin_with_capacity():
    """Found by `orchidgap hunt`: with silent caches all reads were denied at an idle origin."""
    balancer = BalancerHarness(2)
    for host in balancer.placement.ring:
        host.ejected_until_us = balancer.now + 10_000_000
    first, second = balancer.send_request(5), balancer.send_request(5)
    assert balancer.attempted_hosts(first) == ["o"] and not balancer.attempted_hosts(second), (
        "one fetch of a key at a time"
    )
    balancer.hosts["o"].concurrency_limit = 4.0
    other, more = balancer.send_request(6), balancer.send_request(7)
    assert (
        balancer.attempted_hosts(other) == ["o"]
        and not balancer.attempted_hosts(more)
        and balancer.actions("deny", more)
    ), "half of its capacity is reserved for misses"
    balancer.finish_attempt(first, "done")
    assert balancer.attempted_hosts(second) == ["o"]


def test_through_mode_without_tenants():
    balancer = BalancerHarness(customers__count="0", **{"family-info.mode": "through"})
    request = balancer.send_request(3, "once")
    assert balancer.attempted_hosts(request)[0].startswith("c")


def test_a_draining_or_gone_host_gets_no_new_requests():
    for scope, state, ids in (
        ("changes", "draining", ["c0", "c1"]),
        ("changes", "gone", ["c0", "c1"]),
        ("whole", "up", ["c2", "c3", "o"]),
    ):
        balancer = BalancerHarness()
        balancer.list_hosts(ids, scope, state)
        assert {balancer.owner_of_key(key) for key in range(200)} == {"c2", "c3"}
