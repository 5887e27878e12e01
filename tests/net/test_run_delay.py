"""The kernel's word on who was ready and got no core: a stopped process looks alike by its CPU time."""

import os
import signal
import subprocess
import sys
import time

import pytest

from orchidgap.net.run_delay import run_delay_us, schedstat_of, steal_us

BUSY = "import os, time\nos.sched_setaffinity(0, {%d})\nend = time.monotonic() + 20\nwhile time.monotonic() < end: pass"


@pytest.fixture
def rivals():
    """Two busy processes on one core."""
    core = min(os.sched_getaffinity(0))
    started = [subprocess.Popen([sys.executable, "-c", BUSY % core]) for _ in range(2)]
    time.sleep(0.5)
    yield started
    for process in started:
        process.kill()
        process.wait()


def test_who_waits_for_a_core_has_a_delay_and_who_is_stopped_has_none(rivals):
    path = schedstat_of(rivals[0].pid)
    before_us = run_delay_us(path)
    time.sleep(0.6)
    waited_us = run_delay_us(path) - before_us
    assert waited_us > 100_000
    rivals[0].send_signal(signal.SIGSTOP)
    time.sleep(0.05)
    stopped_us = run_delay_us(path)
    time.sleep(0.6)
    assert run_delay_us(path) == stopped_us


def test_what_the_system_does_not_tell_counts_as_no_delay(tmp_path):
    (tmp_path / "odd").write_text("1")
    assert run_delay_us(tmp_path / "odd") == run_delay_us(tmp_path / "none") == 0
    assert run_delay_us() >= 0 and steal_us() >= 0
