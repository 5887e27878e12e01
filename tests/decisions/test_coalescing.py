"""One fetch of a key at a time."""

from desk import Desk


def test_a_miss_is_fetched_once_and_followers_ask_the_cache():
    desk = Desk()
    lead, follower = desk.put(5), desk.put(5)
    host = desk.sent(lead)[0]
    desk.outcome(lead, "miss")
    desk.outcome(follower, "miss")
    late = desk.put(5)
    assert (
        desk.sent(lead) == [host, "o"] and desk.sent(follower) == [host] and desk.sent(late) == []
    )
    desk.outcome(lead, "done", 1)
    assert desk.sent(follower) == [host, host] and desk.sent(late) == [host]


def test_an_origin_that_lacks_the_key_ends_the_req():
    desk = Desk()
    lead, follower = desk.put(5), desk.put(5)
    for req in (lead, follower):
        desk.outcome(req, "miss")
    desk.outcome(lead, "miss", 1)
    assert desk.did("deny", lead) and desk.sent(follower)[-1] == "o"
    desk.outcome(follower, "miss", 1)
    assert desk.did("deny", follower) and not desk.coalescing.fetches


def test_a_follower_fetches_where_the_leader_fails():
    desk = Desk()
    lead, follower = desk.put(5), desk.put(5)
    desk.outcome(lead, "miss")
    desk.outcome(follower, "miss")
    desk.on_client_gone(lead)
    assert desk.sent(follower)[-1] == "o"


def test_a_req_whose_copies_both_miss_is_fetched_once_and_waits_for_that():
    desk = Desk(**{"ceilings.may-duplicate": "true"})
    lead, req = desk.put(1), desk.put(1)
    desk.wait(50_000)
    desk.owner(1)
    desk.wait(450_000)
    assert len(desk.sent(lead)) == len(desk.sent(req)) == 2
    for one, number in ((lead, 0), (req, 0), (req, 1), (lead, 1)):
        desk.outcome(one, "miss", number)
    assert desk.sent(lead)[2:] == ["o"] and not desk.sent(req)[2:] and not desk.did("deny")
    desk.outcome(lead, "done", 2)
    assert len(desk.sent(req)) == 3
