"""Clients that close their connection early: attempts that begin for them later are checked."""

from types import SimpleNamespace

import pytest

from orchidgap.errors import ScenarioError
from orchidgap.simulation.departure_checker import MAX_START_AFTER_CLOSE_US, DepartureChecker
from orchidgap.simulation.lateness import LatenessChecker
from orchidgap.simulation.observations import HostAttempt
from orchidgap.simulation.plan import Plan
from orchidgap.simulation.plan_file import parse_plan

TOLERANCE_US = 50_000
LEFT_AT_US = 1_000_000
LATEST_US = LEFT_AT_US + MAX_START_AFTER_CLOSE_US


def checker_of(breaches, tolerance_us=0):
    def record(rule, at_us, text):
        breaches.append(rule)

    lateness = LatenessChecker(Plan("x"), tolerance_us, record)
    return DepartureChecker(tolerance_us, lateness, record)


def attempt_at(first_byte_at_us, left_at_us=LEFT_AT_US):
    client = SimpleNamespace(balancer="b0", left_at_us=left_at_us)
    return HostAttempt(client, "c00", "", first_byte_at_us)


@pytest.mark.parametrize(
    ("first_byte_at_us", "found"), [(LATEST_US, []), (LATEST_US + 1, ["lost"])]
)
def test_an_attempt_may_begin_for_a_tenth_of_a_second_after_the_close(first_byte_at_us, found):
    """The bound is the required one, 0.1 s, and not a microsecond more."""
    breaches = []
    checker_of(breaches).on_host_attempt(attempt_at(first_byte_at_us), [], "q1")
    assert breaches == found


def test_an_attempt_of_a_client_that_has_not_closed_is_not_checked():
    """Without a close there is no limit to exceed."""
    breaches = []
    checker_of(breaches).on_host_attempt(attempt_at(9_000_000, left_at_us=0), [], "q1")
    assert breaches == []


@pytest.mark.parametrize(("delay_us", "found"), [(10, []), (9, ["lost"])])
def test_on_sockets_only_a_run_delay_as_long_as_the_excess_excuses(delay_us, found):
    """A balancer is excused if it was without a core for the whole excess, but not for less."""
    breaches = []
    checker = checker_of(breaches, TOLERANCE_US)
    checker.lateness.run_delay_us = lambda balancer, since_us, until_us: delay_us
    checker.on_host_attempt(attempt_at(LATEST_US + TOLERANCE_US + 10), [], "q1")
    assert breaches == [], "the kernel's run delay is not read yet"
    checker.check_all()
    assert breaches == found


def test_a_resp_plan_in_which_clients_leave_is_rejected():
    """RESP clients never close early: the plan would seem to have been simulated."""
    with pytest.raises(ScenarioError, match="no client leaves"):
        parse_plan('name = "x"\ndialect = "resp"\n[callers]\nleave = 0.1')
