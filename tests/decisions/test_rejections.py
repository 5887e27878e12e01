"""The reasons of rejections: without them logs did not show which rule had denied thousands."""

import pytest
from balancer_harness import BalancerHarness

from orchidgap.decisions.rejections import RejectionReason

LONG_TIME_US = 10_000_000


def rejection_counts(balancer):
    """Return the counts by reason; their sum has to be the number of denials and aborts."""
    answers = balancer.actions("deny") + balancer.actions("abort")
    assert balancer.rejections.total() == len(answers)
    return dict(balancer.rejections)


def without_spare_origin_capacity():
    balancer = BalancerHarness(2)
    balancer.hosts["o"].concurrency_limit = 1.0
    return balancer


def eject_cache(balancer, cache):
    cache.ejected_until_us = balancer.now + LONG_TIME_US


def make_cold(balancer, cache):
    cache.warm_at_us = balancer.now + LONG_TIME_US


def close(_, cache):
    cache.concurrency_limit = 0.0


@pytest.mark.parametrize(
    ("close_cache", "reason"),
    [
        (eject_cache, RejectionReason.CACHE_EJECTED),
        (make_cold, RejectionReason.SLOW_START),
        (close, RejectionReason.CACHE_LIMIT),
    ],
)
def test_a_read_that_no_cache_accepts_is_counted_by_the_reason_of_its_own_cache(
    close_cache, reason
):
    balancer = without_spare_origin_capacity()
    for cache in balancer.placement.ring:
        close_cache(balancer, cache)
        cache.limit_decreased_at_us = balancer.now
    balancer.send_request(5)
    assert rejection_counts(balancer) == {reason: 1}


def test_a_missing_cache_or_origin_is_the_reason():
    balancer = without_spare_origin_capacity()
    balancer.list_hosts(["c0", "c1"], state="gone")
    balancer.send_request(5)
    assert rejection_counts(balancer) == {RejectionReason.NO_CACHE: 1}
    balancer.list_hosts(["o"], state="gone")
    balancer.send_request(5, "mark")
    assert rejection_counts(balancer)[RejectionReason.NO_ORIGIN] == 1


def test_a_write_is_counted_by_the_reason_of_the_origin():
    balancer = BalancerHarness()
    origin = balancer.hosts["o"]
    origin.concurrency_limit = 0.0
    origin.limit_decreased_at_us = balancer.now
    balancer.send_request(5, "mark")
    assert rejection_counts(balancer) == {RejectionReason.ORIGIN_LIMIT: 1}
    origin.ejected_until_us = balancer.now + LONG_TIME_US
    balancer.send_request(5, "mark")
    assert rejection_counts(balancer)[RejectionReason.ORIGIN_EJECTED] == 1
    origin.ejected_until_us = 0
    origin.concurrency_limit = 1.0
    origin.smoothed_latency_us = 900_000
    balancer.send_request(5, "mark")
    balancer.send_request(6, "mark")
    assert rejection_counts(balancer)[RejectionReason.ORIGIN_WAIT] == 1


def test_a_queue_timeout_is_counted_by_the_last_queue():
    balancer = BalancerHarness()
    balancer.hosts["o"].concurrency_limit = 1.0
    for key in range(3):
        balancer.send_request(key, "mark")
    balancer.advance(850_000)
    assert rejection_counts(balancer) == {RejectionReason.ORIGIN_QUEUE_TIMEOUT: 2}


def test_a_failed_attempt_is_counted_by_the_reason_why_it_was_not_retried():
    balancer = without_spare_origin_capacity()
    for cache in balancer.placement.ring:
        cache.retry_budget = 0.0
    request = balancer.send_request(5)
    balancer.finish_attempt(request, "unconnected")
    assert rejection_counts(balancer) == {RejectionReason.RETRY_BUDGET: 1}
    request = balancer.send_request(5)
    balancer.finish_attempt(request, "timeout")
    assert rejection_counts(balancer)[RejectionReason.ATTEMPT_TIMED_OUT] == 1
