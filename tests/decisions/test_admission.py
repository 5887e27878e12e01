"""Which requests are rejected under overload."""

from balancer_harness import BalancerHarness


def test_overload_sheds_the_tenant_over_its_share():
    balancer = BalancerHarness()
    balancer.admission.admitted |= {"big": 80.0, "small": 20.0}
    balancer.hosts["o"].smoothed_latency_us = 10 * balancer.latency_objective_us  # overload
    for _ in range(3):
        balancer.admission.admitted |= {"big": 80.0, "small": 20.0}
        balancer.admission.tick()
    assert (
        balancer.admission.shed_ratios["big"] > 0.3 and not balancer.admission.shed_ratios["small"]
    )
    big = [balancer.send_request(key, tenant="big") for key in range(400)]
    small = [balancer.send_request(key, tenant="small") for key in range(20)]
    denied = {request for request, _ in balancer.actions("deny")}
    assert len(denied & set(big)) > 100 and not denied & set(small)
    assert "overload on" in balancer.actions("log")[0][0]


def test_one_of_several_balancers_sheds_no_tenant():
    balancer = BalancerHarness(instances="100")
    for key in range(200):
        balancer.owner_of_key(key)  # this balancer serves one tenant alone
    balancer.admission.overloaded = True
    balancer.hosts["o"].smoothed_latency_us = 10 * balancer.latency_objective_us
    balancer.admission.tick()
    assert not any(balancer.admission.shed_ratios.values())


def test_all_requests_are_rejected_while_the_oldest_has_waited_too_long():
    balancer = BalancerHarness(1)
    balancer.hosts["o"].concurrency_limit = 1.0
    for key in range(9):
        balancer.send_request(key)
    balancer.advance(450_000)
    request = balancer.send_request(77)
    assert balancer.actions("deny", request) and not balancer.attempted_hosts(request)
