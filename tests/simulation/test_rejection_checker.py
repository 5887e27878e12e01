"""With calm plans at most one balancer in ten may reject all its requests for 4 s without a break."""

from types import SimpleNamespace

import pytest

from orchidgap.simulation.plan_file import validate_plan
from orchidgap.simulation.rejection_checker import (
    excessive_rejections,
    is_calm,
    rejecting_stretches,
)

SECOND_US = 1_000_000


def request_at(second, status=503, balancer="b0", sent_at=None, incarnation=1):
    attempts = [SimpleNamespace(first_byte_at_us=round(sent_at * SECOND_US))] if sent_at else []
    at_us = round(second * SECOND_US)
    return SimpleNamespace(
        balancer=balancer,
        incarnation=incarnation,
        status=status,
        arrived_at_us=at_us,
        answered_at_us=at_us,
        host_attempts=attempts,
    )


def rejected(count=15, seconds=4.0, **more):
    return [request_at(1 + seconds * number / (count - 1), **more) for number in range(count)]


def test_fifteen_rejections_over_four_seconds_count_and_fewer_or_shorter_ones_do_not():
    """Both bounds are the required ones."""
    (stretch,) = rejecting_stretches(rejected())
    assert stretch == ("b0", SECOND_US, 5 * SECOND_US, 15)
    assert rejecting_stretches(rejected(count=14)) == []
    assert rejecting_stretches(rejected(seconds=3.9)) == []


@pytest.mark.parametrize(
    "sign", [request_at(3, 200), request_at(3, 500), request_at(2.9, 0, sent_at=3)]
)
def test_any_sign_of_service_in_between_ends_a_stretch(sign):
    """An attempt without an answer is a sign of service too."""
    assert rejecting_stretches([*rejected(), sign]) == []
    assert len(rejecting_stretches([*rejected(count=60, seconds=9), sign])) == 1


def test_a_restart_begins_a_new_stretch():
    """Rejections of two processes of a balancer do not form one stretch."""
    both = rejected(seconds=3) + [request_at(5, incarnation=2)]
    assert rejecting_stretches(both) == []


@pytest.mark.parametrize(("balancer_count", "found"), [(9, 1), (10, 0)])
def test_one_balancer_in_ten_may_reject_all(balancer_count, found):
    """With fewer than ten balancers, none may."""
    assert len(excessive_rejections(rejected(), balancer_count)) == found


def test_two_balancers_in_ten_may_not_reject_all():
    """Balancers are counted, not stretches."""
    both = rejected() + rejected(balancer="b1")
    twice = rejected() + [request_at(6, 200)] + [request_at(7 + i / 3) for i in range(15)]
    assert len(excessive_rejections(both, 10)) == 2
    assert len(rejecting_stretches(twice)) == 2
    assert excessive_rejections(twice, 10) == []


@pytest.mark.parametrize(("kind", "calm"), [("balancer-roll", True), ("crash", False)])
def test_only_plans_without_other_faults_are_checked(kind, calm):
    """With hosts missing, a balancer may have no host to send requests to."""
    plan = validate_plan({"name": "x", "trouble": [{"kind": kind, "at-s": 1}]})
    assert is_calm(plan) == calm
