"""The entry points: exactly one final answer after any events."""

from balancer_harness import BalancerHarness


def test_exactly_one_final_answer():
    for outcomes in (
        ["timeout"],
        ["moot"],
        ["full", "error", "reset", "unconnected"],
        ["miss", "timeout"],
        ["error", "miss", "full", "error"],
    ):
        for request_class in ("read", "mark", "once"):
            balancer = BalancerHarness()
            request = balancer.send_request(9, request_class)
            for number, outcome in enumerate(outcomes):
                balancer.finish_attempt(request, outcome, number)
                balancer.advance(100_000)
            balancer.advance(1_500_000)
            for number in range(
                len(balancer.attempted_hosts(request))
            ):  # the client timeout ends the attempts in flight
                balancer.finish_attempt(request, "timeout", number, answered=False)
            balancer.on_client_disconnect(request)
            assert (
                len(balancer.actions("deny", request) + balancer.actions("abort", request)) == 1
            ), (outcomes, request_class)
            assert not balancer.requests and not balancer.coalescing.fetches


def test_a_failed_subscription_is_retried_after_a_random_delay():
    balancer = BalancerHarness(**{"registry-mode": "subscribe"})
    balancer.advance(1_100_000)
    assert len(balancer.actions("subscribe")) == 1
    for calls in (2, 3, 4):
        balancer.on_hosts("failed", [])
        balancer.advance(3_000_000)
        assert len(balancer.actions("subscribe")) == calls
    assert len(balancer.placement.ring) == 4, "the old list stays in use"


def test_unusual_but_legal_events():
    balancer = BalancerHarness(0)
    request = balancer.send_request()
    assert balancer.attempted_hosts(request) == ["o"]
    balancer.list_hosts([], "whole")
    assert balancer.actions("deny", balancer.send_request(None)) and balancer.actions(
        "deny", balancer.send_request(4, "mark")
    )
    balancer.on_client_disconnect(99)
    balancer.finish_attempt(99, "done")
    balancer.on_wake(12345)
    balancer.list_hosts(["c0"], state="gone")


def test_the_objective_of_a_request_that_was_handled_late_counts_from_its_arrival():
    # A request that waited in a stalled process was denied later by the time of the stall.
    balancer = BalancerHarness(caches=0)
    origin = balancer.hosts["o"]
    origin.concurrency_limit = 1.0
    balancer.send_request(1, "mark")
    assert balancer.attempted_hosts(1) == ["o"]
    balancer.on_request(2, 1_500_000, True, "mark", 2, "small", waited_us=500_000)
    assert balancer.placement.oldest_wait_us() == balancer.origin.oldest_wait_us() == 0
    balancer.advance(290_000)
    assert balancer.actions("deny", 2) == []
    balancer.advance(20_000)
    assert len(balancer.actions("deny", 2)) == 1


def test_the_objective_of_a_streamed_body_counts_from_its_last_byte():
    balancer = BalancerHarness()
    balancer.on_request(1, 3_600_000_000, True, "mark", 1, "small", -1, True)
    balancer.on_body_complete(1, 1_900_000, 100_000)
    assert balancer.requests[1].received_at_us == balancer.now - 100_000
