"""At most one fetch of a key at a time."""

from balancer_harness import BalancerHarness


def test_a_miss_is_fetched_once_and_followers_go_to_the_cache():
    balancer = BalancerHarness()
    leader, follower = balancer.send_request(5), balancer.send_request(5)
    host = balancer.attempted_hosts(leader)[0]
    balancer.finish_attempt(leader, "miss")
    balancer.finish_attempt(follower, "miss")
    late = balancer.send_request(5)
    assert (
        balancer.attempted_hosts(leader) == [host, "o"]
        and balancer.attempted_hosts(follower) == [host]
        and balancer.attempted_hosts(late) == []
    )
    balancer.finish_attempt(leader, "done", 1)
    assert balancer.attempted_hosts(follower) == [host, host] and balancer.attempted_hosts(
        late
    ) == [host]


def test_an_origin_that_lacks_the_key_ends_the_request():
    balancer = BalancerHarness()
    leader, follower = balancer.send_request(5), balancer.send_request(5)
    for request in (leader, follower):
        balancer.finish_attempt(request, "miss")
    balancer.finish_attempt(leader, "miss", 1)
    assert balancer.actions("deny", leader) and balancer.attempted_hosts(follower)[-1] == "o"
    balancer.finish_attempt(follower, "miss", 1)
    assert balancer.actions("deny", follower) and not balancer.coalescing.fetches


def test_a_follower_fetches_if_the_leader_fails():
    balancer = BalancerHarness()
    leader, follower = balancer.send_request(5), balancer.send_request(5)
    balancer.finish_attempt(leader, "miss")
    balancer.finish_attempt(follower, "miss")
    balancer.on_client_disconnect(leader)
    assert balancer.attempted_hosts(follower)[-1] == "o"


def test_a_hedged_request_whose_attempts_both_miss_waits_for_one_fetch():
    balancer = BalancerHarness(**{"ceilings.may-duplicate": "true"})
    leader, request = balancer.send_request(1), balancer.send_request(1)
    balancer.advance(50_000)
    balancer.owner_of_key(1)
    balancer.advance(450_000)
    assert len(balancer.attempted_hosts(leader)) == len(balancer.attempted_hosts(request)) == 2
    for one, number in ((leader, 0), (request, 0), (request, 1), (leader, 1)):
        balancer.finish_attempt(one, "miss", number)
    assert (
        balancer.attempted_hosts(leader)[2:] == ["o"]
        and not balancer.attempted_hosts(request)[2:]
        and not balancer.actions("deny")
    )
    balancer.finish_attempt(leader, "done", 2)
    assert len(balancer.attempted_hosts(request)) == 3
