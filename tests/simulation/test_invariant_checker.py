"""The invariant checker finds every planted defect under its rule, and no breach without a defect."""

import pytest
from planted import PLANTED

from orchidgap.decisions.balancer import Balancer
from orchidgap.simulation.invariant_checker import RULES
from orchidgap.simulation.plan_file import validate_plan
from orchidgap.simulation.simulation import Simulation


@pytest.mark.parametrize(
    ("defect", "plan", "rule"), PLANTED, ids=lambda what: getattr(what, "__name__", "")
)
def test_each_planted_defect_is_caught_under_its_rule(defect, plan, rule):
    simulation = Simulation(validate_plan(plan), policy_factory=defect)
    verdict = simulation.play()
    assert verdict["verdict"] == "broken" and verdict[rule], (
        verdict,
        simulation.invariant_checker.breaches[:3],
    )


@pytest.mark.parametrize(
    "plan",
    [
        plan
        for i, (_, plan, _) in enumerate(PLANTED)
        if plan not in [other for _, other, _ in PLANTED[:i]]
    ],
    ids=lambda plan: "",
)
def test_the_balancer_without_defects_keeps_the_rules_with_the_same_plans(plan):
    simulation = Simulation(validate_plan(plan), policy_factory=Balancer)
    verdict = simulation.play()
    assert not any(verdict[rule] for rule in RULES) and not verdict["faults"], (
        simulation.invariant_checker.breaches[:3]
    )
    assert verdict["reqs"] > 50 and verdict["service"] > 0.1
