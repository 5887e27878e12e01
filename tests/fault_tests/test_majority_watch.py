"""A balancer that denies all requests while control is reachable is a fault.

A fault test once served nothing for ten seconds and still got the verdict kept, which did not show whether control
was reachable.
"""

import os
import signal
import subprocess
import sys
from types import SimpleNamespace

from orchidgap.fault_tests.majority_watch import MajorityWatch, process_state

SECOND_US = 1_000_000


def request_at(second, status, balancer="b0"):
    return SimpleNamespace(balancer=balancer, arrived_at_us=second * SECOND_US, status=status)


def updated_watch(*updates):
    watch = MajorityWatch(grace_us=8 * SECOND_US)
    for second, reaching in updates:
        watch.update(reaching.split(), second * SECOND_US)
    return watch


def test_only_the_time_in_which_no_balancer_reached_a_majority_counts():
    watch = updated_watch((1, "b0 b1"), (2, "b1"), (3, ""), (4, ""), (6, "b0"), (9, "b0"))
    assert watch.without_majority_us == 3 * SECOND_US


def test_a_balancer_that_denies_all_though_it_reaches_control_is_reported():
    watch = updated_watch((0, "b0 b1"), (30, "b0 b1"))
    denied = [request_at(second, 503) for second in range(1, 20)]
    assert watch.withheld(denied) == [
        "b0: all 11 requests denied, 8 s and more after it reached a majority of control"
    ]
    assert watch.withheld([*denied, request_at(12, 200)]) == [], "it serves"
    assert watch.withheld(denied[:12]) == [], "too few to be evidence"


def test_an_interruption_restarts_the_grace_time():
    watch = updated_watch((0, "b0"), (6, ""), (7, "b0"), (14, "b0"))
    assert watch.withheld([request_at(second, 503) for second in range(1, 14)]) == []


def test_the_state_of_a_stopped_and_of_an_ended_process_is_read():
    with subprocess.Popen([sys.executable, "-c", "import time; time.sleep(60)"]) as process:
        process.send_signal(signal.SIGSTOP)
        os.waitid(os.P_PID, process.pid, os.WSTOPPED)
        assert process_state(process.pid) == "T"
        process.kill()
    assert process_state(process.pid) == ""
