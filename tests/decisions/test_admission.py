"""Who is turned away under overload."""

from desk import Desk


def test_overload_sheds_the_tenant_over_its_share():
    desk = Desk()
    desk.admission.admitted |= {"big": 80.0, "small": 20.0}
    desk.hosts["o"].smoothed_latency_us = 10 * desk.latency_objective_us  # overload
    for _ in range(3):
        desk.admission.admitted |= {"big": 80.0, "small": 20.0}
        desk.admission.tick()
    assert desk.admission.shed_ratios["big"] > 0.3 and not desk.admission.shed_ratios["small"]
    big = [desk.put(key, tenant="big") for key in range(400)]
    small = [desk.put(key, tenant="small") for key in range(20)]
    denied = {req for req, _ in desk.did("deny")}
    assert len(denied & set(big)) > 100 and not denied & set(small)
    assert "overload on" in desk.did("log")[0][0]


def test_a_balancer_that_knows_only_itself_sheds_nobody():
    desk = Desk(instances="100")
    for key in range(200):
        desk.owner(key)  # one tenant alone comes here
    desk.admission.overloaded = True
    desk.hosts["o"].smoothed_latency_us = 10 * desk.latency_objective_us
    desk.admission.tick()
    assert not any(desk.admission.shed_ratios.values())


def test_all_are_turned_away_while_the_oldest_has_waited_long():
    desk = Desk(1)
    desk.hosts["o"].concurrency_limit = 1.0
    for key in range(9):
        desk.put(key)
    desk.wait(450_000)
    req = desk.put(77)
    assert desk.did("deny", req) and not desk.sent(req)
