"""Run delay: the time in which a process was ready to run but was not scheduled.

CPU time alone does not distinguish it from a process that was stopped.
"""

import os
import signal
import subprocess
import sys
import time

import pytest

from orchidgap.net.run_delay import run_delay_us, schedstat_of, steal_us

BUSY_LOOP = "import os, time\nos.sched_setaffinity(0, {%d})\nend = time.monotonic() + 20\nwhile time.monotonic() < end: pass"


@pytest.fixture
def competing_processes():
    """Start two busy processes on one core."""
    core = min(os.sched_getaffinity(0))
    started = [subprocess.Popen([sys.executable, "-c", BUSY_LOOP % core]) for _ in range(2)]
    time.sleep(0.5)
    yield started
    for process in started:
        process.kill()
        process.wait()


def test_a_process_that_waits_for_a_core_has_a_delay_and_a_stopped_one_has_none(
    competing_processes,
):
    path = schedstat_of(competing_processes[0].pid)
    before_us = run_delay_us(path)
    time.sleep(0.6)
    waited_us = run_delay_us(path) - before_us
    assert waited_us > 100_000
    competing_processes[0].send_signal(signal.SIGSTOP)
    time.sleep(0.05)
    stopped_us = run_delay_us(path)
    time.sleep(0.6)
    assert run_delay_us(path) == stopped_us


def test_a_missing_or_malformed_schedstat_counts_as_no_delay(tmp_path):
    (tmp_path / "odd").write_text("1")
    assert run_delay_us(tmp_path / "odd") == run_delay_us(tmp_path / "none") == 0
    assert run_delay_us() >= 0 and steal_us() >= 0
