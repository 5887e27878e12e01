"""How limits decrease, their minimum, and how they recover."""

import pytest
from balancer_harness import BalancerHarness


@pytest.mark.parametrize(
    ("latency_us", "instances", "limit"),
    [
        (300_000, 1, 4.0),
        (300_000, 2, 2.0),
        (300_000, 4, 1.0),
        (700_000, 1, 1.0),
        (700_000, 2, 1.0),
        (700_000, 8, 0.5),
    ],
)
def test_few_balancers_keep_a_total_limit_of_four_attempts_unless_a_cache_is_very_slow(
    latency_us, instances, limit
):
    balancer = BalancerHarness(instances=str(instances))
    owner = balancer.owner_of_key(1)
    for _ in range(60):  # one at a time: the latency is not caused by load
        request = balancer.send_request(1)
        if balancer.attempted_hosts(request) == [owner]:
            balancer.now += latency_us
            balancer.finish_attempt(request, "done")
        else:
            balancer.on_client_disconnect(request)
            balancer.now += latency_us
    assert balancer.hosts[owner].concurrency_limit == pytest.approx(limit, abs=0.2)


def test_the_origin_limit_increases_quickly_at_first_and_decreases_after_rejections():
    balancer = BalancerHarness()
    requests = [balancer.send_request(key, "mark") for key in range(12)]
    origin = balancer.hosts["o"]
    assert origin.in_flight == 8 and len(balancer.origin.queue) == 4
    balancer.advance(100_000)
    for request in requests[:8]:
        balancer.finish_attempt(request, "done")
    assert origin.concurrency_limit > 10 and not balancer.origin.queue
    balancer.advance(700_000)
    limit_before = origin.concurrency_limit
    for request in requests[8:]:
        balancer.finish_attempt(request, "full")
    assert 2 <= origin.concurrency_limit < limit_before * 0.71


def test_hundreds_of_limits_fall_below_one_and_recover_with_time():
    balancer = BalancerHarness(instances="400")
    origin = balancer.hosts["o"]
    for _ in range(8):
        request = balancer.send_request(1, "mark")
        balancer.advance(900_000)
        if balancer.attempted_hosts(request):
            balancer.finish_attempt(request, "timeout", answered=True)
    assert origin.concurrency_limit < 0.3
    sent = sum(
        bool(balancer.attempted_hosts(balancer.send_request(key, "once")))
        and not balancer.on_client_disconnect(balancer.last_request_id)
        for key in range(20)
    )
    assert sent < 12 and balancer.actions("deny")
    balancer.advance(3 * 24 * balancer.latency_objective_us)
    assert balancer.limiter.admission_probability(origin) == 1.0


def test_a_limit_below_one_recovers_with_capacity_checks_and_time():
    balancer = BalancerHarness(1)
    host = balancer.hosts["c0"]
    host.concurrency_limit, host.limit_decreased_at_us = 0.0, balancer.now
    balancer.advance(24 * balancer.latency_objective_us)
    assert balancer.limiter.admission_probability(host) == 0.0, "there was no capacity check"
    for _ in range(12):
        balancer.limiter.has_capacity(host)
    assert balancer.limiter.admission_probability(host) == pytest.approx(0.5)


def test_an_origins_limit_below_one_recovers_by_good_answers():
    balancer = BalancerHarness(4, instances="200")
    origin = balancer.hosts["o"]
    balancer.advance(1_000_000)
    origin.concurrency_limit, origin.limit_decreased_at_us = 0.1, balancer.now
    balancer.advance(24 * balancer.latency_objective_us)
    assert balancer.limiter.admission_probability(origin) == pytest.approx(0.1 + 1 / 3), (
        "time alone recovers little"
    )
    origin.limit_decreased_at_us = balancer.now
    balancer.limiter.record_latency(origin, 50_000)
    assert origin.concurrency_limit == pytest.approx(0.2)
