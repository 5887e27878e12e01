"""How long requests wait for an origin."""

from balancer_harness import BalancerHarness


def test_misses_wait_no_longer_than_the_response_target():
    balancer = BalancerHarness()
    requests = [balancer.send_request(key, "mark") for key in range(9)]
    balancer.advance(850_000)
    assert balancer.actions("deny", requests[8]) == [(requests[8], 1_000_000)]
    assert not balancer.actions("deny", requests[0]), "one that is out may still be answered"
