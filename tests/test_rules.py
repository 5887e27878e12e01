from random import Random

import pytest
from desk import Desk

from orchidgap.rules import SPACE


def sizes(desk):
    return {host.id: host.size for host in desk.placement.ring}


def test_ranges_stay_whole_whatever_comes():
    chance, desk, here = Random(3), Desk(6), {f"c{i}" for i in range(6)}
    for step in range(300):
        id = f"c{chance.randrange(30)}"
        if id in here and len(here) > 1:
            desk.list([id], state=chance.choice(("gone", "draining")))
            here.discard(id)
        else:
            desk.list([id])
            here.add(id)
        if step % 7 == 0:
            for host in desk.placement.ring:
                host.sends = 100 + chance.randrange(300)
            desk.placement.fleet.sends = 100 * len(here)
            desk.wait(5_500_000)
        ring = desk.placement.ring
        assert [host.id for host in ring] == sorted(here)
        assert desk.placement.cuts[-1] == SPACE == sum(host.size for host in ring)
        assert all(host.size >= 0 for host in ring)


def test_a_change_moves_neighbours_only():
    for ids, state, after in (
            (["c2"], "gone", {"c0": 4096, "c1": 6144, "c3": 6144}),
            (["c0"], "draining", {"c1": 8192, "c2": 4096, "c3": 4096}),
            (["c25"], "up", {"c0": 4096, "c1": 4096, "c2": 2048, "c25": 2048, "c3": 4096})):
        desk = Desk(4)
        desk.hosts["c2"].sends = 9
        desk.list(ids, state=state)
        assert sizes(desk) == after


@pytest.mark.parametrize(("sends", "after"), [
    ([100, 100, 100, 100], [4096, 4096, 4096, 4096]),
    ([200, 100, 50, 50], [2048, 4096, 5120, 5120]),
    ([399, 1, 0, 0], [1024, 5109, 5126, 5126])])  # at the floor of a quarter; the rest rescaled
def test_redraw(sends, after):
    desk = Desk(4)
    for host, count in zip(desk.placement.ring, sends, strict=True):
        host.sends = count
    desk.placement.fleet.sends = 400
    desk.wait(4_000_000)
    assert set(sizes(desk).values()) == {4096}, "not before its time"
    desk.wait(2_000_000)
    assert list(sizes(desk).values()) == pytest.approx(after, abs=4)


def test_redraw_prefers_reports_and_takes_unheard_and_cold_at_the_mean():
    desk = Desk(4)
    desk.list(["c3"], since=99_000_000)  # cold
    for host in desk.placement.ring:
        host.sends = 100
    desk.placement.fleet.sends = 400
    for id, rate in (("c0", 30.0), ("c1", 10.0), ("c2", 20.0)):
        desk.on_report(id, rate)
    desk.on_report("nobody", 1.0)
    desk.wait(6_000_000)
    assert list(sizes(desk).values()) == pytest.approx([3072, 5120, 4096, 4096], abs=4)


def test_a_miss_is_fetched_once_and_followers_ask_the_cache():
    desk = Desk()
    lead, follower = desk.put(5), desk.put(5)
    host = desk.sent(lead)[0]
    desk.outcome(lead, "miss")
    desk.outcome(follower, "miss")
    late = desk.put(5)
    assert desk.sent(lead) == [host, "o"] and desk.sent(follower) == [host] and desk.sent(late) == []
    desk.outcome(lead, "done", 1)
    assert desk.sent(follower) == [host, host] and desk.sent(late) == [host]


def test_a_follower_fetches_where_the_leader_fails():
    desk = Desk()
    lead, follower = desk.put(5), desk.put(5)
    desk.outcome(lead, "miss")
    desk.outcome(follower, "miss")
    desk.on_hangup(lead)
    assert desk.sent(follower)[-1] == "o"


@pytest.mark.parametrize(("rule_set", "verdict", "again", "final"), [
    ("once", "timeout", False, "abort"), ("once", "error", False, "abort"), ("once", "full", True, None),
    ("mark", "error", True, None), ("mark", "timeout", False, "deny"), ("once", "unconnected", True, None)])
def test_effects(rule_set, verdict, again, final):
    desk = Desk()
    req = desk.put(3, rule_set)
    assert desk.sent(req) == ["o"]
    desk.outcome(req, verdict)
    desk.wait(300_000)
    assert len(desk.sent(req)) == 1 + again
    assert (not final) or desk.did(final, req)


def test_a_uniqued_req_is_not_repeated_past_its_window():
    desk = Desk()
    req = desk.put(3, "mark")
    desk.wait(1_100_000)
    desk.outcome(req, "error")
    assert desk.sent(req) == ["o"] and desk.did("deny", req)


def test_exactly_one_final_answer():
    for verdicts in (["timeout"], ["moot"], ["full", "error", "reset", "unconnected"], ["miss", "timeout"],
                     ["error", "miss", "full", "error"]):
        for rule_set in ("read", "mark", "once"):
            desk = Desk()
            req = desk.put(9, rule_set)
            for number, verdict in enumerate(verdicts):
                desk.outcome(req, verdict, number)
                desk.wait(100_000)
            desk.wait(1_500_000)
            for number in range(len(desk.sent(req))):  # the client timeout ends what is out
                desk.outcome(req, "timeout", number, over=False)
            desk.on_hangup(req)
            assert len(desk.did("deny", req) + desk.did("abort", req)) == 1, (verdicts, rule_set)
            assert not desk.reqs and not desk.merging.fetches


def test_a_req_that_came_too_late_is_not_tried_again():
    desk = Desk()
    req = desk.put(9, left=0)
    desk.outcome(req, "moot")
    assert len(desk.sent(req)) == 1 and desk.did("deny", req)


def test_nothing_new_to_a_draining_or_gone_host():
    for scope, state, ids in (("changes", "draining", ["c0", "c1"]), ("changes", "gone", ["c0", "c1"]),
                              ("whole", "up", ["c2", "c3", "o"])):
        desk = Desk()
        desk.list(ids, scope, state)
        assert {desk.owner(key) for key in range(200)} == {"c2", "c3"}


def test_a_cold_host_gets_its_budget_and_no_more():
    desk = Desk(4)
    desk.list(["c1"], since=desk.now)  # restarted: 0.2 of its capacity for now
    hosts = [desk.owner(key) for key in range(400)]
    assert 10 <= hosts.count("c1") <= 22
    desk.wait(11_000_000)
    assert [desk.owner(key) for key in range(400)].count("c1") > 70


def test_a_since_still_within_warm_up_counts_from_the_first_list_on():
    desk = Desk(0)
    desk.list(["c0"], "recalled", since=desk.now - 5_000_000)
    assert desk.hosts["c0"].warm_at == desk.now + 5_000_000


def test_the_origin_limit_starts_fast_and_falls_with_its_answers():
    desk = Desk()
    reqs = [desk.put(key, "mark") for key in range(12)]
    origin = desk.hosts["o"]
    assert origin.out == 8 and len(desk.origin.writes) == 4
    desk.wait(100_000)
    for req in reqs[:8]:
        desk.outcome(req, "done")
    assert origin.limit > 10 and not desk.origin.writes
    desk.wait(700_000)
    before = origin.limit
    for req in reqs[8:]:
        desk.outcome(req, "full")
    assert 2 <= origin.limit < before * 0.71


def test_misses_wait_no_longer_than_the_response_target():
    desk = Desk()
    reqs = [desk.put(key, "mark") for key in range(9)]
    desk.wait(850_000)
    assert desk.did("deny", reqs[8]) == [(reqs[8], 1_000_000)]
    assert not desk.did("deny", reqs[0]), "one that is out may still be answered"


def test_overload_sheds_the_tenant_over_its_share():
    desk = Desk()
    desk.admission.shed = 0.5
    big = [desk.put(key, "mark", tenant="big") for key in range(400)]
    small = [desk.put(key, "mark", tenant="small") for key in range(20)]
    denied = {req for req, _ in desk.did("deny")}
    assert len(denied & set(big)) > 100 and not denied & set(small)


def test_all_are_turned_away_while_the_oldest_has_waited_long():
    desk = Desk()
    for key in range(9):
        desk.put(key, "mark")
    desk.wait(500_000)
    req = desk.put(77)
    assert desk.did("deny", req) and not desk.sent(req)
    desk.wait(500_000)
    assert "overload on: waited 500 ms" in desk.did("log")[0][0]


def test_a_crowd_shows_in_the_sum_of_all_caches():
    desk = Desk(8, instances="8")
    desk.placement.fleet.limit = 12.0
    for _ in range(3):  # one late answer from each cache: no single host has enough of them to tell
        reqs = [desk.put(key) for key in range(8)]
        desk.wait(700_000)
        for req in reqs:
            for number in range(len(desk.sent(req))):
                desk.outcome(req, "done", number)
    assert desk.placement.fleet.limit < 8
    assert sum(len(desk.sent(desk.put(key))) for key in range(20)) < 8 and desk.placement.held


def test_a_light_balancer_keeps_a_limit_of_two_on_the_origin():
    desk = Desk()
    for _ in range(20):
        req = desk.put(1, "mark")
        desk.wait(700_000)
        desk.outcome(req, "done")
    assert desk.hosts["o"].limit == 2


def test_a_silent_host_is_shunned_and_tried_with_a_single_req():
    desk = Desk()
    owner = desk.sent(desk.put(1))[0]
    desk.put(1)
    desk.wait(310_000)
    assert desk.hosts[owner].shun_until > desk.now and owner not in desk.sent(desk.put(1))
    desk.wait(1_000_000)
    for req in (1, 2):
        desk.outcome(req, "timeout", over=True)
    assert [owner in desk.sent(desk.put(1)) for _ in range(3)] == [True, False, False]
    desk.outcome(4, "done")
    assert desk.hosts[owner].strikes == 0


def test_slow_work_alone_is_no_silence():
    desk = Desk()
    slow, quick = desk.put(1), desk.put(1)
    owner = desk.sent(slow)[0]
    desk.wait(100_000)
    desk.outcome(quick, "done")
    desk.put(1)
    desk.wait(250_000)
    assert owner in desk.sent(desk.put(1))


def test_a_further_dispatch_goes_only_where_there_is_credit():
    for credit, dispatches in ((1.0, 2), (0.9, 1)):
        desk = Desk(2)
        for host in desk.placement.ring:
            host.credit = credit
        req = desk.put(1)
        desk.outcome(req, "error")
        assert len(desk.sent(req)) == dispatches and bool(desk.did("deny", req)) == (dispatches == 1)


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
    assert desk.did("deny", req)
    desk.list([], "whole")
    assert desk.did("deny", desk.put(None)) and desk.did("deny", desk.put(4, "mark"))
    desk.on_hangup(99)
    desk.outcome(99, "done")
    desk.on_wake(12345)
    desk.list(["c0"], state="gone")


def test_through_mode_without_tenants():
    desk = Desk(customers__count="0", **{"family-info.mode": "through"})
    req = desk.put(3, "once")
    assert desk.sent(req)[0].startswith("c")
