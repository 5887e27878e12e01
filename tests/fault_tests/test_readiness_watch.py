"""Restarted balancers have to be ready in time: nine in ten within 10 s, and none later than 30 s."""

import pytest

from orchidgap.fault_tests.readiness_watch import ProcessStart, check_starts

SECOND_US = 1_000_000
END_US = 100 * SECOND_US


def all_of_it(balancer, since_us, until_us):
    return until_us - since_us


def restart(ready_s=0.0, ended_s=0.0, began_s=0.0):
    return ProcessStart(
        "b0",
        round(began_s * SECOND_US),
        round(ready_s * SECOND_US),
        round(ended_s * SECOND_US),
        True,
    )


def check(*starts, end_us=END_US, tolerance_us=0, usable_us=all_of_it):
    return check_starts(starts, end_us, tolerance_us, usable_us)


@pytest.mark.parametrize(("late_count", "found"), [(1, 0), (2, 1)])
def test_one_restart_in_ten_may_be_late(late_count, found):
    """The requirement is that nine in ten are ready within 10 s."""
    starts = [restart(10.1)] * late_count + [restart(10.0)] * (10 - late_count)
    report = check(*starts)
    assert (report.restarts, report.late, len(report.breaches)) == (10, late_count, found)


def test_the_only_restart_may_not_be_late():
    """With fewer than ten restarts, a tenth of them is less than one."""
    assert check(restart(10.1)).breaches == ["1 of 1 restarts too slow: b0 ready after 10.1 s"]


def test_a_restart_shortly_before_the_end_of_the_run_has_six_seconds():
    """Otherwise a short run would never check a balancer that does not become ready."""
    assert check(restart(began_s=93)).late == 1
    assert check(restart(began_s=93, ready_s=99.1)).late == 1
    assert check(restart(began_s=94.1)) == (0, 0, []), "its time limit has not passed"


def test_a_restart_that_ends_before_its_time_limit_is_not_counted():
    """A balancer that is killed as it starts is neither ready nor late."""
    assert check(restart(ended_s=9)) == (0, 0, [])
    assert check(restart(ended_s=11)).late == 1


def test_no_balancer_takes_over_thirty_seconds():
    """The limit also applies to the first start, which is not a restart."""
    first = ProcessStart("b0", 0, 31 * SECOND_US)
    assert check(first) == (0, 0, ["b0 ready after 31.0 s, more than 30 s"])
    assert check(ProcessStart("b0", 0, 30 * SECOND_US)).breaches == []


def test_only_time_that_the_balancer_could_use_counts():
    """Time without control or without a core does not make a start slow."""
    assert check(restart(12), usable_us=lambda *times: 9 * SECOND_US).late == 0
    assert check(restart(10.1), tolerance_us=SECOND_US // 4).late == 0
