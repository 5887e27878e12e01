"""The entry points: one final answer whatever comes."""

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
            ):  # the client timeout ends what is out
                balancer.finish_attempt(request, "timeout", number, over=False)
            balancer.on_client_gone(request)
            assert (
                len(balancer.actions("deny", request) + balancer.actions("abort", request)) == 1
            ), (outcomes, request_class)
            assert not balancer.requests and not balancer.coalescing.fetches


def test_a_failed_subscription_is_asked_for_again_at_random():
    balancer = BalancerHarness(**{"registry-mode": "subscribe"})
    balancer.advance(1_100_000)
    assert len(balancer.actions("subscribe")) == 1
    for calls in (2, 3, 4):
        balancer.on_hosts("failed", [])
        balancer.advance(3_000_000)
        assert len(balancer.actions("subscribe")) == calls
    assert len(balancer.placement.ring) == 4, "the old list still holds"


def test_odd_but_legal_events():
    balancer = BalancerHarness(0)
    request = balancer.send_request()
    assert balancer.attempted_hosts(request) == ["o"]
    balancer.list_hosts([], "whole")
    assert balancer.actions("deny", balancer.send_request(None)) and balancer.actions(
        "deny", balancer.send_request(4, "mark")
    )
    balancer.on_client_gone(99)
    balancer.finish_attempt(99, "done")
    balancer.on_wake(12345)
    balancer.list_hosts(["c0"], state="gone")
