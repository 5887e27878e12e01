"""Which failures eject a host, and for how long."""

import pytest
from desk import Desk


@pytest.mark.parametrize("verdict", ["error", "reset"])
def test_a_spoilt_answer_among_many_costs_a_host_neither_its_limit_nor_its_range(verdict):
    desk = Desk()
    # one key is all that is asked for, so it would be hot
    desk.placement.hot_keys.replica_count = lambda key, cache_count: 1
    owner = desk.owner(1)
    for _ in range(40):
        assert desk.owner(1) == owner
    host = desk.hosts[owner]
    before = host.concurrency_limit, host.retry_budget
    desk.outcome(desk.put(1), verdict, over=True)
    assert (host.concurrency_limit, host.retry_budget) == (
        before[0],
        before[1] - 1.0,
    ) and desk.owner(1) == owner
    for _ in range(10):  # all fail: it rests, and is asked again later
        desk.outcome(desk.put(1), verdict, over=True)
    assert desk.owner(1) != owner and host.concurrency_limit < before[0]
    desk.wait(600_000)
    assert desk.owner(1) == owner


def test_a_host_that_refuses_connections_rests_for_a_while():
    desk = Desk()
    req = desk.put(1)
    owner = desk.sent(req)[0]
    desk.outcome(req, "unconnected")
    assert desk.sent(req)[1] != owner and owner not in desk.sent(desk.put(1))
    assert not desk.placement.accepts(desk.hosts[owner])
    desk.wait(600_000)
    assert desk.placement.accepts(desk.hosts[owner])
