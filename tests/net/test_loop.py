"""The loop's reports of late timers, with the figures that distinguish a busy process from a
stalled one.
"""

import contextlib
import os

from orchidgap.net.loop import (
    COSTLY_CALL_US,
    MAX_CALLS_US,
    MAX_POSTPONED_TURNS,
    READ,
    STALLED_TURN_US,
    Loop,
)


class FakeClock:
    def __init__(self):
        self.now_us = 0

    def __call__(self):
        return self.now_us


def loop_with_reports():
    clock = FakeClock()
    loop = Loop(clock)
    reports = []
    loop.on_late_turn = reports.append
    return clock, loop, reports


def ignore():
    pass


def test_a_turn_that_began_late_is_reported():
    # A process that had been stopped answered late, and its log did not show the stop.
    clock, loop, reports = loop_with_reports()
    loop.call_later(50_000, ignore)
    clock.now_us = 250_000
    loop.run_once(0)
    assert [(turn.late_us, turn.began_late_us, turn.calls_us) for turn in reports] == [
        (200_000, 200_000, 0)
    ]
    assert reports[0].callback == "ignore"
    assert reports[0].window_us == 250_000
    assert reports[0].cpu_us >= 0


def test_a_turn_whose_callbacks_took_long_is_reported():
    # A timer runs after the callbacks of all sockets that were ready before it.
    clock, loop, reports = loop_with_reports()
    reader, writer = os.pipe()
    with open(reader, "rb") as source, open(writer, "wb") as sink:

        def run_long(mask):
            clock.now_us += 150_000

        loop.watch(source, READ, run_long)
        loop.call_later(0, ignore)
        sink.write(b"x")
        sink.flush()
        loop.run_once(0)
    assert [(turn.began_late_us, turn.calls_us) for turn in reports] == [(0, 150_000)]


def test_a_turn_within_the_limit_and_a_cancelled_timer_are_not_reported():
    clock, loop, reports = loop_with_reports()
    loop.call_later(0, ignore).cancel()
    loop.call_later(100_000, ignore)
    clock.now_us = 200_000
    loop.run_once(0)
    assert not reports


def test_a_timer_runs_after_events_that_arrived_during_a_stop_in_select():
    # A selector whose timeout expires during a stop returns without polling again: a request was
    # sent to a draining host.
    clock, loop, _ = loop_with_reports()
    calls = []
    reader, writer = os.pipe()
    with open(reader, "rb") as source, open(writer, "wb") as sink:
        loop.watch(source, READ, lambda mask: calls.append("socket"))
        loop.call_later(10_000, calls.append, "timer")
        select = loop.selector.select

        def stall_in_select(*wait):
            loop.selector.select = select
            clock.now_us += 600_000
            sink.write(b"x")
            sink.flush()
            return []

        loop.selector.select = stall_in_select
        loop.run_once()
    assert calls == ["socket", "timer"]


def test_postponed_calls_run_after_priority_callbacks_and_before_all_others():
    # An attempt that is postponed until the host list is read must not be sent before that.
    _, loop, _ = loop_with_reports()
    calls = []
    pipes = [os.pipe() for _ in range(2)]
    for (reader, writer), name in zip(pipes, ("other", "first")):
        loop.watch(reader, READ, lambda mask, name=name: calls.append(name), name == "first")
        os.write(writer, b"x")
    loop.call_next_turn(lambda: calls.append("postponed"))
    loop.call_next_turn(lambda: loop.call_next_turn(lambda: calls.append("in the turn after")))
    loop.run_once(0)
    assert calls == ["first", "postponed", "other"]
    loop.run_once()
    assert calls[3:] == ["first", "in the turn after", "other"]
    for pipe in pipes:
        for descriptor in pipe:
            os.close(descriptor)


def test_a_turn_with_postponed_calls_does_not_wait(monkeypatch):
    # Without other events, the loop waited for the selector's longest timeout.
    _, loop, _ = loop_with_reports()
    waits_s = []
    monkeypatch.setattr(loop.selector, "select", lambda wait_s: waits_s.append(wait_s) or [])
    calls = []
    loop.call_next_turn(lambda: calls.append("postponed"))
    loop.run_once()
    assert waits_s[0] == 0
    assert calls == ["postponed"]


def test_postponed_calls_run_even_if_every_turn_stalls_before_them():
    # When priority callbacks took long in every turn, a postponed attempt was never sent.
    clock, loop, _ = loop_with_reports()
    reader, writer = os.pipe()

    def work(mask):
        clock.now_us += 2 * STALLED_TURN_US

    loop.watch(reader, READ, work, priority=True)
    os.write(writer, b"x")
    calls = []
    for name in ("one", "two"):
        loop.call_next_turn(lambda name=name: calls.append(name))
    for _ in range(MAX_POSTPONED_TURNS):
        loop.run_once(0)
        assert calls == []
    loop.run_once(0)
    assert calls == ["one", "two"]
    loop.call_next_turn(lambda: calls.append("three"))
    loop.run_once(0)
    assert calls == ["one", "two"], "a new call is postponed again"
    loop.unwatch(reader)
    loop.run_once(0)
    assert calls == ["one", "two", "three"]
    os.close(reader)
    os.close(writer)


def test_a_turn_is_stalled_once_its_selector_was_polled_long_ago():
    clock, loop, _ = loop_with_reports()
    loop.run_once(0)
    clock.now_us += STALLED_TURN_US
    assert not loop.is_stalled
    clock.now_us += 1
    assert loop.is_stalled


class ReadyDescriptors:
    """Descriptors that are always ready; records the calls, each of which takes its own time."""

    def __init__(self, durations_us, deferrable=True):
        self.calls, self.clock = [], FakeClock()
        self.loop = Loop(self.clock)
        self.files = contextlib.ExitStack()
        for name, duration_us in durations_us.items():
            reader, writer = os.pipe()
            os.write(writer, b"x")
            self.files.callback(os.close, reader)
            self.files.callback(os.close, writer)
            self.loop.watch(reader, READ, self.callback(name, duration_us), deferrable=deferrable)

    def callback(self, name, duration_us):
        def on_ready(mask):
            self.calls.append(name)
            self.clock.now_us += duration_us

        return on_ready

    def run_turn(self):
        """Run a turn and return whom it called."""
        self.calls.clear()
        self.loop.run_once(0)
        return list(self.calls)


def test_costly_sockets_take_bounded_time_and_come_after_all_others():
    # Forty uploads in small chunks took 4.7 s of one turn, and nobody else was served.
    costly = {f"upload {number}": 2_000 for number in range(40)}
    sockets = ReadyDescriptors({**costly, "reader": COSTLY_CALL_US // 5})
    with sockets.files:
        first_turns = [sockets.run_turn() for _ in range(9)]
        assert {name for calls in first_turns for name in calls} == {*costly, "reader"}
        later_turns = [sockets.run_turn() for _ in range(8)]
    for calls in later_turns:
        assert calls[0] == "reader" and 1 < len(calls) <= 6
    called = [name for calls in later_turns for name in calls[1:]]
    assert sorted(called) == sorted(costly), "each of them once in eight turns"


def test_sockets_that_had_no_time_in_one_turn_are_first_in_the_next():
    # Those at the end of the list would otherwise never be called.
    names = [f"client {number}" for number in range(100)]
    sockets = ReadyDescriptors(dict.fromkeys(names, COSTLY_CALL_US - 1))
    with sockets.files:
        turns = [sockets.run_turn() for _ in range(3)]
    most = MAX_CALLS_US // (COSTLY_CALL_US - 1) + 1
    assert all(len(calls) == most for calls in turns)
    assert {name for calls in turns for name in calls} == set(names)


def test_a_socket_that_may_not_be_deferred_is_called_in_each_turn():
    # A listener whose callback accepts many connections was called once in many turns.
    durations_us = {"listener": 10_000, "signals": 10_000, "operators": 10_000}
    sockets = ReadyDescriptors(durations_us, deferrable=False)
    with sockets.files:
        assert [sorted(sockets.run_turn()) for _ in range(3)] == [sorted(durations_us)] * 3


def test_a_descriptor_that_is_reused_is_not_taken_for_the_costly_one():
    # The number of a closed descriptor belongs to the next socket that is opened.
    sockets = ReadyDescriptors({"costly": 2_000})
    with sockets.files:
        sockets.run_turn()
        [descriptor] = sockets.loop.costly_descriptors
        sockets.loop.unwatch(descriptor)
    assert not sockets.loop.costly_descriptors and not sockets.loop.deferrable_descriptors
