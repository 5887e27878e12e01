"""Late attempts: hedged, cancelled for the origin, or counted as slow."""

import pytest
from desk import Desk


@pytest.mark.parametrize(
    ("rule_set", "allowed", "answers", "again"),
    [
        ("read", "true", True, True),
        ("read", "true", False, False),
        ("read", "false", True, False),
        ("mark", "true", True, True),
        ("once", "true", True, False),
    ],
)
def test_a_dispatch_that_a_quick_host_has_lost_is_sent_again_and_says_nothing_of_the_host(
    rule_set, allowed, answers, again
):
    desk = Desk(**{"ceilings.may-duplicate": allowed})
    for key in (1, 2):
        desk.outcome(desk.put(key, rule_set), "done")
    lost = desk.put(1, rule_set)
    [host] = desk.sent(lost)
    desk.wait(50_000)
    if answers:
        desk.outcome(desk.put(1, rule_set), "done")
    before = desk.hosts[host].concurrency_limit
    desk.wait(450_000)
    assert desk.sent(lost) == [host] * (1 + again)
    assert (desk.hosts[host].smoothed_latency_us < 100_000) == (answers or host == "o")
    if again:
        desk.outcome(lost, "done", 1)
        assert desk.did("cancel", lost) == [(lost, 0)]
    else:
        desk.outcome(lost, "timeout")
    assert (desk.hosts[host].concurrency_limit >= before) == answers


@pytest.mark.parametrize("state", ["gone", "draining"])
def test_a_lost_dispatch_is_not_sent_again_to_a_host_that_has_left(state):
    desk = Desk(**{"ceilings.may-duplicate": "true"})
    lost = desk.put(1)
    [host] = desk.sent(lost)
    desk.wait(50_000)
    desk.owner(1)
    desk.list([host], state=state)
    desk.wait(450_000)
    assert desk.sent(lost) == [host]


def test_a_dispatch_that_is_still_out_counts_as_slow():
    desk = Desk(instances="400")
    host = desk.hosts[desk.sent(desk.put(1))[0]]
    desk.wait(490_000)
    assert host.smoothed_latency_us == 480_000 and host.concurrency_limit < 2.0


CALLS_OFF = {"ceilings__may-duplicate": "false"}


@pytest.mark.parametrize(
    ("pairs", "rule_set", "sent", "why"),
    [
        (CALLS_OFF, "read", 2, "to the origin"),
        ({"ceilings__may-duplicate": "true"}, "read", 2, "its host is silent"),
        (CALLS_OFF | {"ceilings__may-cancel": "false"}, "read", 1, "nothing can be called off"),
        (CALLS_OFF | {"ceilings__most-dispatches": "1"}, "read", 1, "there is no further dispatch"),
        (CALLS_OFF | {"family-info__mode": "through"}, "once", 1, "it may have run"),
    ],
)
def test_a_late_read_is_called_off_for_the_origin(pairs, rule_set, sent, why):
    desk = Desk(4, **pairs)
    req = desk.put(rule_set=rule_set)
    desk.wait(500_000)
    cancelled = desk.did("cancel", req)
    assert len(cancelled) == sent - 1, why
    if cancelled:
        desk.outcome(req, "cancelled")
    assert desk.sent(req)[1:] == ["o"] * (sent - 1), why
    assert not desk.did("deny", req) and not desk.did("abort", req)


def test_where_copies_are_allowed_none_is_called_off_at_a_host_that_answers_late():
    desk = Desk(4, **{"ceilings__may-duplicate": "true"})
    req = desk.put()
    host = desk.hosts[desk.sent(req)[0]]
    host.last_response_at_us, host.smoothed_latency_us = desk.now + 1, 100_000
    desk.wait(500_000)
    assert not desk.did("cancel", req) and len(desk.sent(req)) == 1


def test_no_read_is_called_off_for_a_slow_origin_or_without_credit():
    for spoil in (
        lambda desk: setattr(desk.hosts["o"], "smoothed_latency_us", 300_000),
        lambda desk: setattr(desk.placement.all_caches, "retry_budget", 0.9),
    ):
        desk = Desk(4, **CALLS_OFF)
        spoil(desk)
        req = desk.put()
        desk.wait(500_000)
        assert not desk.did("cancel", req)


def test_a_read_called_off_finds_the_origin_busy_after_all():
    desk = Desk(4, **CALLS_OFF)
    req = desk.put()
    desk.wait(500_000)
    desk.hosts["o"].ejected_until_us = desk.now + 1_000_000
    desk.outcome(req, "cancelled")
    assert len(desk.sent(req)) == 2 and desk.sent(req)[1] not in ("o", desk.sent(req)[0])
