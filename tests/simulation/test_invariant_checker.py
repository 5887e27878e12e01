"""The invariant checker finds every planted defect under its rule, and none in the program as it is."""

import pytest
from planted import PLANTED

from orchidgap.decisions.balancer import Balancer
from orchidgap.simulation.invariant_checker import RULES
from orchidgap.simulation.plan_file import validate_plan
from orchidgap.simulation.simulation import Simulation


@pytest.mark.parametrize(
    ("defect", "day", "rule"), PLANTED, ids=lambda what: getattr(what, "__name__", "")
)
def test_each_planted_defect_is_caught_under_its_rule(defect, day, rule):
    simulation = Simulation(validate_plan(day), decider=defect)
    verdict = simulation.play()
    assert verdict["verdict"] == "broken" and verdict[rule], (
        verdict,
        simulation.invariant_checker.breaches[:3],
    )


@pytest.mark.parametrize(
    "day",
    [
        day
        for i, (_, day, _) in enumerate(PLANTED)
        if day not in [other for _, other, _ in PLANTED[:i]]
    ],
    ids=lambda day: "",
)
def test_the_program_as_it_is_keeps_the_rules_on_the_same_days(day):
    simulation = Simulation(validate_plan(day), decider=Balancer)
    verdict = simulation.play()
    assert not any(verdict[rule] for rule in RULES) and not verdict["faults"], (
        simulation.invariant_checker.breaches[:3]
    )
    assert verdict["reqs"] > 50 and verdict["service"] > 0.1
