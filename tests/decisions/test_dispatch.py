"""Overdue attempts: hedged, cancelled for the origin, or counted as slow."""

import pytest
from balancer_harness import BalancerHarness


@pytest.mark.parametrize(
    ("request_class", "allowed", "answers", "is_hedged"),
    [
        ("read", "true", True, True),
        ("read", "true", False, False),
        ("read", "false", True, False),
        ("mark", "true", True, True),
        ("once", "true", True, False),
    ],
)
def test_an_attempt_that_a_quick_host_has_lost_is_hedged_and_does_not_count_as_slow(
    request_class, allowed, answers, is_hedged
):
    balancer = BalancerHarness(**{"ceilings.may-duplicate": allowed})
    for key in (1, 2):
        balancer.finish_attempt(balancer.send_request(key, request_class), "done")
    lost = balancer.send_request(1, request_class)
    [host] = balancer.attempted_hosts(lost)
    balancer.advance(50_000)
    if answers:
        balancer.finish_attempt(balancer.send_request(1, request_class), "done")
    before = balancer.hosts[host].concurrency_limit
    balancer.advance(450_000)
    assert balancer.attempted_hosts(lost) == [host] * (1 + is_hedged)
    assert (balancer.hosts[host].smoothed_latency_us < 100_000) == (answers or host == "o")
    if is_hedged:
        balancer.finish_attempt(lost, "done", 1)
        assert balancer.actions("cancel", lost) == [(lost, 0)]
    else:
        balancer.finish_attempt(lost, "timeout")
    assert (balancer.hosts[host].concurrency_limit >= before) == answers


@pytest.mark.parametrize("state", ["gone", "draining"])
def test_a_lost_attempt_is_not_hedged_at_a_host_that_has_left(state):
    balancer = BalancerHarness(**{"ceilings.may-duplicate": "true"})
    lost = balancer.send_request(1)
    [host] = balancer.attempted_hosts(lost)
    balancer.advance(50_000)
    balancer.owner_of_key(1)
    balancer.list_hosts([host], state=state)
    balancer.advance(450_000)
    assert balancer.attempted_hosts(lost) == [host]


def test_an_overdue_attempt_counts_as_slow():
    balancer = BalancerHarness(instances="400")
    host = balancer.hosts[balancer.attempted_hosts(balancer.send_request(1))[0]]
    balancer.advance(490_000)
    assert host.smoothed_latency_us == 480_000 and host.concurrency_limit < 2.0


NO_HEDGING = {"ceilings__may-duplicate": "false"}


@pytest.mark.parametrize(
    ("pairs", "request_class", "sent", "why"),
    [
        (NO_HEDGING, "read", 2, "it goes to the origin"),
        ({"ceilings__may-duplicate": "true"}, "read", 2, "its host is silent"),
        (NO_HEDGING | {"ceilings__may-cancel": "false"}, "read", 1, "nothing can be cancelled"),
        (NO_HEDGING | {"ceilings__most-dispatches": "1"}, "read", 1, "no attempt is left"),
        (NO_HEDGING | {"family-info__mode": "through"}, "once", 1, "it was possibly executed"),
    ],
)
def test_an_overdue_read_is_cancelled_for_the_origin(pairs, request_class, sent, why):
    balancer = BalancerHarness(4, **pairs)
    request = balancer.send_request(request_class=request_class)
    balancer.advance(500_000)
    cancelled = balancer.actions("cancel", request)
    assert len(cancelled) == sent - 1, why
    if cancelled:
        balancer.finish_attempt(request, "cancelled")
    assert balancer.attempted_hosts(request)[1:] == ["o"] * (sent - 1), why
    assert not balancer.actions("deny", request) and not balancer.actions("abort", request)


def test_with_hedging_no_attempt_is_cancelled_at_a_host_that_has_answered_since():
    balancer = BalancerHarness(4, **{"ceilings__may-duplicate": "true"})
    request = balancer.send_request()
    host = balancer.hosts[balancer.attempted_hosts(request)[0]]
    host.last_response_at_us, host.smoothed_latency_us = balancer.now + 1, 100_000
    balancer.advance(500_000)
    assert not balancer.actions("cancel", request) and len(balancer.attempted_hosts(request)) == 1


def test_no_read_is_cancelled_for_a_slow_origin_or_without_retry_budget():
    for prevent in (
        lambda balancer: setattr(balancer.hosts["o"], "smoothed_latency_us", 300_000),
        lambda balancer: setattr(balancer.placement.all_caches, "retry_budget", 0.9),
    ):
        balancer = BalancerHarness(4, **NO_HEDGING)
        prevent(balancer)
        request = balancer.send_request()
        balancer.advance(500_000)
        assert not balancer.actions("cancel", request)


def test_a_cancelled_read_goes_to_another_cache_if_the_origin_was_ejected():
    balancer = BalancerHarness(4, **NO_HEDGING)
    request = balancer.send_request()
    balancer.advance(500_000)
    balancer.hosts["o"].ejected_until_us = balancer.now + 1_000_000
    balancer.finish_attempt(request, "cancelled")
    assert len(balancer.attempted_hosts(request)) == 2 and balancer.attempted_hosts(request)[
        1
    ] not in ("o", balancer.attempted_hosts(request)[0])
