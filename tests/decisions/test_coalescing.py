"""One fetch of a key at a time."""

from balancer_harness import BalancerHarness


def test_a_miss_is_fetched_once_and_followers_ask_the_cache():
    balancer = BalancerHarness()
    lead, follower = balancer.send_request(5), balancer.send_request(5)
    host = balancer.attempted_hosts(lead)[0]
    balancer.finish_attempt(lead, "miss")
    balancer.finish_attempt(follower, "miss")
    late = balancer.send_request(5)
    assert (
        balancer.attempted_hosts(lead) == [host, "o"]
        and balancer.attempted_hosts(follower) == [host]
        and balancer.attempted_hosts(late) == []
    )
    balancer.finish_attempt(lead, "done", 1)
    assert balancer.attempted_hosts(follower) == [host, host] and balancer.attempted_hosts(
        late
    ) == [host]


def test_an_origin_that_lacks_the_key_ends_the_request():
    balancer = BalancerHarness()
    lead, follower = balancer.send_request(5), balancer.send_request(5)
    for request in (lead, follower):
        balancer.finish_attempt(request, "miss")
    balancer.finish_attempt(lead, "miss", 1)
    assert balancer.actions("deny", lead) and balancer.attempted_hosts(follower)[-1] == "o"
    balancer.finish_attempt(follower, "miss", 1)
    assert balancer.actions("deny", follower) and not balancer.coalescing.fetches


def test_a_follower_fetches_where_the_leader_fails():
    balancer = BalancerHarness()
    lead, follower = balancer.send_request(5), balancer.send_request(5)
    balancer.finish_attempt(lead, "miss")
    balancer.finish_attempt(follower, "miss")
    balancer.on_client_disconnect(lead)
    assert balancer.attempted_hosts(follower)[-1] == "o"


def test_a_request_whose_copies_both_miss_is_fetched_once_and_waits_for_that():
    balancer = BalancerHarness(**{"ceilings.may-duplicate": "true"})
    lead, request = balancer.send_request(1), balancer.send_request(1)
    balancer.advance(50_000)
    balancer.owner_of_key(1)
    balancer.advance(450_000)
    assert len(balancer.attempted_hosts(lead)) == len(balancer.attempted_hosts(request)) == 2
    for one, number in ((lead, 0), (request, 0), (request, 1), (lead, 1)):
        balancer.finish_attempt(one, "miss", number)
    assert (
        balancer.attempted_hosts(lead)[2:] == ["o"]
        and not balancer.attempted_hosts(request)[2:]
        and not balancer.actions("deny")
    )
    balancer.finish_attempt(lead, "done", 2)
    assert len(balancer.attempted_hosts(request)) == 3
