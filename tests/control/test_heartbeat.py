"""The schedule of a balancer's heartbeats."""

from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from orchidgap.control.heartbeat import (
    BACKOFF_JITTER,
    CALL_TIMEOUT_US,
    FIRST_INTERVAL_US,
    INTERVAL_JITTER,
    MAX_BACKOFF_US,
    HeartbeatSchedule,
)
from orchidgap.simulation.virtual_clock import VirtualClockLoop


class Recorder:
    """A schedule whose heartbeats only record the time."""

    def __init__(self, seed=1):
        self.loop = VirtualClockLoop()
        self.started_at_us = self.loop.now
        self.sent_at_us = []
        self.schedule = HeartbeatSchedule(self.loop, Random(seed), self.send)

    def send(self):
        self.sent_at_us.append(self.loop.now - self.started_at_us)

    def next_after_us(self):
        """The delay until the next heartbeat."""
        count, now_us = len(self.sent_at_us), self.loop.now
        self.loop.run_until(now_us + 60_000_000)
        assert len(self.sent_at_us) == count + 1
        return self.sent_at_us[-1] - (now_us - self.started_at_us)


def test_only_the_last_time_set_applies():
    """An answer arrives after the backoff was set. There must not be two heartbeats."""
    recorder = Recorder()
    recorder.schedule.send_after_backoff()
    recorder.schedule.send_after_interval(0)
    recorder.schedule.send_after(7_000)
    assert recorder.next_after_us() == 7_000


@given(st.integers(0, 100))
def test_failures_increase_the_backoff_up_to_a_limit(seed):
    recorder = Recorder(seed)
    for failure in range(8):
        recorder.schedule.send_after_backoff()
        assert recorder.schedule.failures == failure + 1
        backoff_us = min(MAX_BACKOFF_US, CALL_TIMEOUT_US * 2**failure)
        low, high = (round(backoff_us * factor) for factor in BACKOFF_JITTER)
        assert low <= recorder.next_after_us() <= high


@given(st.integers(0, 100), st.integers(0, 3_000_000))
def test_an_interval_starts_at_the_previous_heartbeat(seed, elapsed_us):
    recorder = Recorder(seed)
    recorder.schedule.interval_us = 1_000_000
    recorder.schedule.send_after_interval(elapsed_us)
    low, high = (max(0, round(1_000_000 * factor) - elapsed_us) for factor in INTERVAL_JITTER)
    assert low <= recorder.next_after_us() <= high


@pytest.mark.parametrize(("failures", "delay_us"), [(0, 100_000), (3, 800_000), (9, 1_600_000)])
def test_a_heartbeat_without_a_result_is_repeated_soon(failures, delay_us):
    assert FIRST_INTERVAL_US == 100_000
    recorder = Recorder()
    recorder.schedule.failures = failures
    recorder.schedule.retry_soon()
    assert recorder.next_after_us() == delay_us
    assert recorder.schedule.failures == failures
