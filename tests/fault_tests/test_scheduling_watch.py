"""Lateness is excused only as far as the kernel counts time in which the balancer was runnable but got no core."""

import os

import pytest

from orchidgap.fault_tests.scheduling_watch import DelaySamples, SchedulingWatch
from orchidgap.simulation.invariant_checker import InvariantChecker
from orchidgap.simulation.observations import ClientAttempt, Operation
from orchidgap.simulation.plan_file import validate_plan


def test_a_delay_is_measured_within_the_interval_and_is_no_longer_than_it():
    samples = DelaySamples([0, 100, 200, 300], [0, 0, 80, 80])
    assert samples.between(100, 200) == 80
    assert samples.between(150, 190) == 40
    assert samples.between(200, 300) == 0
    assert samples.between(250, 900) == 0
    assert DelaySamples().between(0, 100) == 0


def test_a_restarted_process_has_samples_of_its_own():
    watch = SchedulingWatch()
    watch.sample({"b0": os.getpid()}, 1_000)
    watch.sample({"b0": os.getppid()}, 2_000)
    watch.sample({"b0": os.getppid()}, 3_000)
    assert [process_id for process_id, _ in watch.samples["b0"]] == [os.getpid(), os.getppid()]
    assert 0 <= watch.delay_us("b0", 0, 3_000) <= 3_000
    assert watch.delay_us("none", 0, 3_000) == 0
    assert watch.describe(0, 3_000).startswith("runnable but not run, ms: b0 ")


def checker_of_answer(delay_us, status, at_us):
    plan = validate_plan({"name": "j"})
    checker = InvariantChecker(plan, 0, tolerance_us=50_000)
    checker.lateness.run_delay_us = lambda balancer, since, until: delay_us
    operation = Operation(0, plan.request_classes()[0], "north", 1, 1, 0)
    attempt = ClientAttempt(b"q1", operation, "b0", 1, 0, 1_500_000)
    checker.on_client_attempt(attempt)
    checker.on_answer(attempt, status, b"", at_us)
    checker.lateness.check_all()
    return checker


@pytest.mark.parametrize(
    ("delay_us", "late", "excused"),
    [(0, 2, 0), (140_000, 2, 0), (150_000, 1, 1), (2_000_000, 0, 2)],
)
def test_lateness_is_excused_up_to_the_run_delay_that_the_kernel_counts(delay_us, late, excused):
    # the answer is 150 ms too late beyond the tolerance, and the failure was withheld for longer than that
    checker = checker_of_answer(delay_us, 500, 1_700_000)
    assert (checker.breach_counts["late"], checker.lateness.excused_by_run_delay) == (late, excused)
