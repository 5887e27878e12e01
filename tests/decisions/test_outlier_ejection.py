"""Which failures eject a host, and for how long."""

import pytest
from balancer_harness import BalancerHarness


@pytest.mark.parametrize("outcome", ["error", "reset"])
def test_a_failed_answer_among_many_changes_neither_the_limit_nor_the_range_of_a_host(outcome):
    balancer = BalancerHarness()
    # All requests are for one key, which would be detected as hot.
    balancer.placement.hot_keys.replica_count = lambda key, cache_count: 1
    owner = balancer.owner_of_key(1)
    for _ in range(40):
        assert balancer.owner_of_key(1) == owner
    host = balancer.hosts[owner]
    before = host.concurrency_limit, host.retry_budget
    balancer.finish_attempt(balancer.send_request(1), outcome, answered=True)
    assert (host.concurrency_limit, host.retry_budget) == (
        before[0],
        before[1] - 1.0,
    ) and balancer.owner_of_key(1) == owner
    for _ in range(10):  # all fail: the host is ejected, and gets requests again later
        balancer.finish_attempt(balancer.send_request(1), outcome, answered=True)
    assert balancer.owner_of_key(1) != owner and host.concurrency_limit < before[0]
    balancer.advance(600_000)
    assert balancer.owner_of_key(1) == owner


def test_a_host_that_accepts_no_connection_is_ejected_for_a_while():
    balancer = BalancerHarness()
    request = balancer.send_request(1)
    owner = balancer.attempted_hosts(request)[0]
    balancer.finish_attempt(request, "unconnected")
    assert balancer.attempted_hosts(request)[1] != owner and owner not in balancer.attempted_hosts(
        balancer.send_request(1)
    )
    assert not balancer.placement.accepts(balancer.hosts[owner])
    balancer.advance(600_000)
    assert balancer.placement.accepts(balancer.hosts[owner])
