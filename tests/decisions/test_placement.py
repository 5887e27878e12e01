"""Which cache gets a key, and when the origin gets it in place of all."""

import pytest
from desk import Desk


@pytest.mark.parametrize("verdict", ["stale", "reset", "refused", "full", "error"])
def test_the_last_dispatch_of_a_read_goes_where_no_miss_can_come_of_it(verdict):
    desk = Desk()
    desk.settings = desk.settings._replace(max_attempts=2)
    req = desk.put(5)
    desk.outcome(req, verdict)
    assert desk.sent(req)[1:] == ["o"], "a miss could not be followed by a fetch"
    desk.outcome(req, "done", 1)
    desk.hosts["o"].concurrency_limit = 1.0
    busy = desk.put(7, "once")
    req = desk.put(5)
    desk.outcome(req, "stale")
    assert len(desk.sent(req)) == 2 and desk.sent(req)[1] != "o" and desk.sent(busy) == ["o"], (
        "the origin has no time"
    )


def test_where_one_dispatch_is_all_the_origin_is_asked_while_it_has_time():
    desk = Desk()
    desk.settings = desk.settings._replace(max_attempts=1)
    first = desk.put(5)
    assert desk.sent(first) == ["o"]
    desk.hosts["o"].concurrency_limit = 2.0
    assert desk.sent(desk.put(6)) != ["o"]


def test_a_read_that_no_cache_takes_goes_to_an_origin_that_has_time():
    """Found by a hunt: with the caches silent, all reads were denied before an idle origin."""
    desk = Desk(2)
    for host in desk.placement.ring:
        host.ejected_until_us = desk.now + 10_000_000
    first, second = desk.put(5), desk.put(5)
    assert desk.sent(first) == ["o"] and not desk.sent(second), "one fetch of a key at a time"
    desk.hosts["o"].concurrency_limit = 4.0
    other, more = desk.put(6), desk.put(7)
    assert desk.sent(other) == ["o"] and not desk.sent(more) and desk.did("deny", more), (
        "half its room is for misses"
    )
    desk.outcome(first, "done")
    assert desk.sent(second) == ["o"]


def test_through_mode_without_tenants():
    desk = Desk(customers__count="0", **{"family-info.mode": "through"})
    req = desk.put(3, "once")
    assert desk.sent(req)[0].startswith("c")


def test_nothing_new_to_a_draining_or_gone_host():
    for scope, state, ids in (
        ("changes", "draining", ["c0", "c1"]),
        ("changes", "gone", ["c0", "c1"]),
        ("whole", "up", ["c2", "c3", "o"]),
    ):
        desk = Desk()
        desk.list(ids, scope, state)
        assert {desk.owner(key) for key in range(200)} == {"c2", "c3"}
