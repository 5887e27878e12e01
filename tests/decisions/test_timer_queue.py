"""Timers run in order, on one wake-up at a time."""

from balancer_harness import RecordingPort
from hypothesis import given
from hypothesis import strategies as st

from orchidgap.decisions.timer_queue import WAKE_TOLERANCE_US, TimerQueue


def play(queue, until):
    """Each wake-up comes when it was asked for."""
    while queue.wake_at_us and queue.wake_at_us <= until:
        queue.now = queue.wake_at_us
        queue.on_wake(queue.wake_at_us)
    queue.now = until


@given(st.lists(st.integers(0, 200_000), max_size=30))
def test_calls_are_made_in_order_once_and_hardly_late(delays):
    queue, made = TimerQueue(RecordingPort(), 1_000), []
    for number, delay in enumerate(delays):
        queue.call_later(delay, lambda *call: made.append((queue.now, *call)), delay, number)
    play(queue, 1_000_000)
    assert [(delay, number) for _, delay, number in made] == sorted(
        (delay, number) for number, delay in enumerate(delays)
    )
    assert all(0 <= now - 1_000 - delay <= 2 * WAKE_TOLERANCE_US for now, delay, _ in made)
    assert not queue.entries and not queue.wake_at_us


def test_an_earlier_timer_asks_for_an_earlier_wake_up_and_a_later_one_does_not():
    queue = TimerQueue(RecordingPort(), 0)
    queue.call_later(500_000, print)
    queue.call_later(500_000, print)
    queue.call_later(501_000, print)
    assert queue.port.actions == [("wake", 510_000, 510_000)]
    queue.call_later(100_000, print)
    assert queue.port.actions[1:] == [("wake", 110_000, 110_000)]


def test_a_token_that_was_replaced_makes_what_is_due_and_keeps_the_wake_up():
    queue, made = TimerQueue(RecordingPort(), 0), []
    queue.call_later(500_000, made.append, "late")
    queue.call_later(100_000, made.append, "soon")
    queue.now = 100_000
    queue.on_wake(510_000)
    assert made == ["soon"] and queue.wake_at_us == 110_000
