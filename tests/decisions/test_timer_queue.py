"""Timers run in order, with one pending wake-up at a time."""

from balancer_harness import RecordingPort
from hypothesis import given
from hypothesis import strategies as st

from orchidgap.decisions.timer_queue import WAKE_TOLERANCE_US, TimerQueue


def run_wake_ups(queue, until):
    """Deliver each wake-up at the time it was requested for, until this time."""
    while queue.wake_at_us and queue.wake_at_us <= until:
        queue.now = queue.wake_at_us
        queue.on_wake(queue.wake_at_us)
    queue.now = until


@given(st.lists(st.integers(0, 200_000), max_size=30))
def test_calls_are_made_once_in_order_and_within_the_tolerance(delays):
    queue, made = TimerQueue(RecordingPort(), 1_000), []
    for number, delay in enumerate(delays):
        queue.call_later(delay, lambda *call: made.append((queue.now, *call)), delay, number)
    run_wake_ups(queue, 1_000_000)
    assert [(delay, number) for _, delay, number in made] == sorted(
        (delay, number) for number, delay in enumerate(delays)
    )
    assert all(0 <= now - 1_000 - delay <= 2 * WAKE_TOLERANCE_US for now, delay, _ in made)
    assert not queue.entries and not queue.wake_at_us


def test_only_an_earlier_timer_requests_an_earlier_wake_up():
    queue = TimerQueue(RecordingPort(), 0)
    queue.call_later(500_000, print)
    queue.call_later(500_000, print)
    queue.call_later(501_000, print)
    assert queue.port.actions == [("wake", 510_000, 510_000)]
    queue.call_later(100_000, print)
    assert queue.port.actions[1:] == [("wake", 110_000, 110_000)]


def test_a_wake_up_with_a_replaced_token_makes_due_calls_and_keeps_the_pending_one():
    queue, made = TimerQueue(RecordingPort(), 0), []
    queue.call_later(500_000, made.append, "late")
    queue.call_later(100_000, made.append, "soon")
    queue.now = 100_000
    queue.on_wake(510_000)
    assert made == ["soon"] and queue.wake_at_us == 110_000
