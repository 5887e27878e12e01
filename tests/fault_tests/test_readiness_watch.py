"""Restarted balancers have to be ready in time: nine in ten within 10 s, none after 30 s."""

import pytest

from orchidgap.fault_tests.readiness_watch import ProcessStart, check_starts

S = 1_000_000
END_US = 100 * S


def all_of_it(balancer, since_us, until_us):
    return until_us - since_us


def restart(ready_s=0.0, ended_s=0.0, began_s=0.0):
    return ProcessStart("b0", round(began_s * S), round(ready_s * S), round(ended_s * S), True)


def check(*starts, end_us=END_US, tolerance_us=0, usable_us=all_of_it):
    return check_starts(starts, end_us, tolerance_us, usable_us)


@pytest.mark.parametrize(("late_count", "found"), [(1, 0), (2, 1)])
def test_one_restart_in_ten_may_be_late(late_count, found):
    """The page has nine in ten ready within 10 s."""
    starts = [restart(10.1)] * late_count + [restart(10.0)] * (10 - late_count)
    report = check(*starts)
    assert (report.restarts, report.late, len(report.breaches)) == (10, late_count, found)


def test_the_only_restart_may_not_be_late():
    """Of fewer than ten restarts none is the tenth."""
    assert check(restart(10.1)).breaches == ["1 of 1 restarts too slow: b0 ready after 10.1 s"]


def test_a_run_that_ends_within_ten_seconds_leaves_six():
    """What is not ready by then would otherwise be judged in no short run."""
    assert check(restart(began_s=93)).late == 1
    assert check(restart(began_s=93, ready_s=99.1)).late == 1
    assert check(restart(began_s=94.1)) == (0, 0, []), "its time is not over"


def test_a_restart_that_ends_before_its_time_tells_nothing():
    """A balancer that is killed as it starts is neither ready nor late."""
    assert check(restart(ended_s=9)) == (0, 0, [])
    assert check(restart(ended_s=11)).late == 1


def test_no_balancer_takes_over_thirty_seconds():
    """That binds on the first start too, which is no restart."""
    first = ProcessStart("b0", 0, 31 * S)
    assert check(first) == (0, 0, ["b0 ready after 31.0 s, 30 s may be"])
    assert check(ProcessStart("b0", 0, 30 * S)).breaches == []


def test_only_what_it_could_use_counts():
    """The time without control or without a core is no slow start."""
    assert check(restart(12), usable_us=lambda *times: 9 * S).late == 0
    assert check(restart(10.1), tolerance_us=S // 4).late == 0
