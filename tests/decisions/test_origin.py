"""How long requests are queued for an origin."""

from balancer_harness import BalancerHarness


def test_requests_wait_for_the_origin_no_longer_than_their_latency_objective():
    balancer = BalancerHarness()
    requests = [balancer.send_request(key, "mark") for key in range(9)]
    balancer.advance(850_000)
    assert balancer.actions("deny", requests[8]) == [(requests[8], 1_000_000)]
    assert not balancer.actions("deny", requests[0]), "one in flight may still be answered"
