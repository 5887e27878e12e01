"""How limits fall, where they stop, and how they recover."""

import pytest
from desk import Desk


@pytest.mark.parametrize(
    ("lag", "instances", "limit"),
    [
        (300_000, 1, 4.0),
        (300_000, 2, 2.0),
        (300_000, 4, 1.0),
        (700_000, 1, 1.0),
        (700_000, 2, 1.0),
        (700_000, 8, 0.5),
    ],
)
def test_few_balancers_leave_a_cache_four_dispatches_together_unless_it_is_slow_beyond_use(
    lag, instances, limit
):
    desk = Desk(instances=str(instances))
    owner = desk.owner(1)
    for _ in range(60):  # each as slow, one at a time: no crowd makes it so
        req = desk.put(1)
        if desk.sent(req) == [owner]:
            desk.now += lag
            desk.outcome(req, "done")
        else:
            desk.on_client_gone(req)
            desk.now += lag
    assert desk.hosts[owner].concurrency_limit == pytest.approx(limit, abs=0.2)


def test_the_origin_limit_starts_fast_and_falls_with_its_answers():
    desk = Desk()
    reqs = [desk.put(key, "mark") for key in range(12)]
    origin = desk.hosts["o"]
    assert origin.in_flight == 8 and len(desk.origin.queue) == 4
    desk.wait(100_000)
    for req in reqs[:8]:
        desk.outcome(req, "done")
    assert origin.concurrency_limit > 10 and not desk.origin.queue
    desk.wait(700_000)
    before = origin.concurrency_limit
    for req in reqs[8:]:
        desk.outcome(req, "full")
    assert 2 <= origin.concurrency_limit < before * 0.71


def test_hundreds_of_limits_fall_below_one_and_recover_with_time():
    desk = Desk(instances="400")
    origin = desk.hosts["o"]
    for _ in range(8):
        req = desk.put(1, "mark")
        desk.wait(900_000)
        if desk.sent(req):
            desk.outcome(req, "timeout", over=True)
    assert origin.concurrency_limit < 0.3
    went = sum(
        bool(desk.sent(desk.put(key, "once"))) and not desk.on_client_gone(desk.number)
        for key in range(20)
    )
    assert went < 12 and desk.did("deny")
    desk.wait(3 * 24 * desk.latency_objective_us)
    assert desk.limiter.admission_probability(origin) == 1.0


def test_a_limit_below_one_recovers_by_use_and_time():
    desk = Desk(1)
    host = desk.hosts["c0"]
    host.concurrency_limit, host.limit_decreased_at_us = 0.0, desk.now
    desk.wait(24 * desk.latency_objective_us)
    assert desk.limiter.admission_probability(host) == 0.0, "nobody wanted it"
    for _ in range(12):
        desk.limiter.has_capacity(host)
    assert desk.limiter.admission_probability(host) == pytest.approx(0.5)


def test_an_origins_limit_below_one_comes_back_by_good_answers():
    desk = Desk(4, instances="200")
    origin = desk.hosts["o"]
    desk.wait(1_000_000)
    origin.concurrency_limit, origin.limit_decreased_at_us = 0.1, desk.now
    desk.wait(24 * desk.latency_objective_us)
    assert desk.limiter.admission_probability(origin) == pytest.approx(0.1 + 1 / 3), (
        "little by time"
    )
    origin.limit_decreased_at_us = desk.now
    desk.limiter.record_latency(origin, 50_000)
    assert origin.concurrency_limit == pytest.approx(0.2)
