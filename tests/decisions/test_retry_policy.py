"""What may be tried again, where, and until when."""

import pytest
from desk import Desk


@pytest.mark.parametrize(
    ("rule_set", "verdict", "again", "final"),
    [
        ("once", "timeout", False, "abort"),
        ("once", "error", False, "abort"),
        ("once", "full", True, None),
        ("mark", "error", True, None),
        ("mark", "timeout", False, "deny"),
        ("once", "unconnected", True, None),
    ],
)
def test_effects(rule_set, verdict, again, final):
    desk = Desk()
    req = desk.put(3, rule_set)
    assert desk.sent(req) == ["o"]
    desk.outcome(req, verdict)
    desk.wait(300_000)
    assert len(desk.sent(req)) == 1 + again
    assert (not final) or desk.did(final, req)


@pytest.mark.parametrize(("rule_set", "again"), [("read", True), ("mark", True), ("once", False)])
def test_a_link_that_was_kept_too_long_costs_its_host_nothing(rule_set, again):
    desk = Desk()
    for _ in range(12):
        req = desk.put(1, rule_set)
        [host] = desk.sent(req)
        before = desk.hosts[host].retry_budget, desk.hosts[host].concurrency_limit
        desk.outcome(req, "stale")
        assert (desk.hosts[host].retry_budget, desk.hosts[host].concurrency_limit) == before
        assert desk.sent(req) == [host] * (1 + again)
        desk.outcome(req, "done", 1)
    assert len(desk.did("abort")) == (0 if again else 12)


def test_a_uniqued_req_is_not_repeated_past_its_window():
    desk = Desk()
    req = desk.put(3, "mark")
    desk.wait(1_100_000)
    desk.outcome(req, "error")
    assert desk.sent(req) == ["o"] and desk.did("deny", req)


def test_a_req_that_came_too_late_is_not_tried_again():
    desk = Desk()
    req = desk.put(9, left=0)
    desk.outcome(req, "moot")
    assert len(desk.sent(req)) == 1 and desk.did("deny", req)


def test_a_further_dispatch_goes_only_where_there_is_credit():
    for credit, dispatches in ((1.0, 2), (0.9, 1)):
        desk = Desk(2)
        for host in desk.placement.ring:
            host.retry_budget = credit
        req = desk.put(1)
        desk.outcome(req, "error")
        assert len(desk.sent(req)) == dispatches and bool(desk.did("deny", req)) == (
            dispatches == 1
        )


def test_a_repeat_leaves_neither_its_group_nor_its_window():
    """Found by a trial: with two origins, a repeat went to the other one, which does not know its mark."""
    for group, goes in (("cell", False), ("all", True)):
        desk = Desk(**{"rule-sets.1.group": group})
        desk.on_hosts("changes", [("o2", "up", 0, "z", "origin", "2", 1.0)])
        req = desk.put(rule_set="mark")
        [first] = desk.sent(req)
        desk.hosts[first].ejected_until_us = desk.now + 10_000_000
        desk.outcome(req, "reset")
        assert (len(desk.sent(req)) == 2) is goes
        desk.wait(900_000)
        assert desk.did("abort", req) or goes, (
            "it may have run, and a retry may meet the other origin"
        )


def test_a_repeat_that_waited_past_its_window_is_given_up_and_holds_up_nobody():
    desk = Desk(**{"rule-sets.1.repeat-window": "100000"})
    req = desk.put(rule_set="mark")
    desk.hosts["o"].ejected_until_us = desk.now + 400_000
    desk.outcome(req, "reset")
    assert not desk.did("deny", req), "it waits for the origin"
    other = desk.put(2, rule_set="once")
    desk.wait(500_000)
    desk.drain_queues()
    assert len(desk.sent(req)) == 1 and desk.did("deny", req) and desk.sent(other) == ["o"]
