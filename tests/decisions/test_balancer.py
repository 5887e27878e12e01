"""The entry points: one final answer whatever comes."""

from desk import Desk


def test_exactly_one_final_answer():
    for verdicts in (
        ["timeout"],
        ["moot"],
        ["full", "error", "reset", "unconnected"],
        ["miss", "timeout"],
        ["error", "miss", "full", "error"],
    ):
        for rule_set in ("read", "mark", "once"):
            desk = Desk()
            req = desk.put(9, rule_set)
            for number, verdict in enumerate(verdicts):
                desk.outcome(req, verdict, number)
                desk.wait(100_000)
            desk.wait(1_500_000)
            for number in range(len(desk.sent(req))):  # the client timeout ends what is out
                desk.outcome(req, "timeout", number, over=False)
            desk.on_client_gone(req)
            assert len(desk.did("deny", req) + desk.did("abort", req)) == 1, (verdicts, rule_set)
            assert not desk.requests and not desk.coalescing.fetches


def test_a_failed_subscription_is_asked_for_again_at_random():
    desk = Desk(**{"registry-mode": "subscribe"})
    desk.wait(1_100_000)
    assert len(desk.did("subscribe")) == 1
    for calls in (2, 3, 4):
        desk.on_hosts("failed", [])
        desk.wait(3_000_000)
        assert len(desk.did("subscribe")) == calls
    assert len(desk.placement.ring) == 4, "the old list still holds"


def test_odd_but_legal_events():
    desk = Desk(0)
    req = desk.put()
    assert desk.sent(req) == ["o"]
    desk.list([], "whole")
    assert desk.did("deny", desk.put(None)) and desk.did("deny", desk.put(4, "mark"))
    desk.on_client_gone(99)
    desk.outcome(99, "done")
    desk.on_wake(12345)
    desk.list(["c0"], state="gone")
