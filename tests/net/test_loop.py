"""The loop tells of timers that it calls late, with what tells a busy process from one that got no core."""

import os

from orchidgap.net.loop import READ, Loop


class StandInClock:
    def __init__(self):
        self.now_us = 0

    def __call__(self):
        return self.now_us


def loop_with_reports():
    clock = StandInClock()
    loop = Loop(clock)
    reports = []
    loop.on_late_turn = reports.append
    return clock, loop, reports


def ignore():
    pass


def test_a_turn_that_began_late_is_told():
    # A process that is stopped answers late; its log said nothing of it.
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


def test_a_turn_whose_calls_took_long_is_told():
    # A timer waits for all calls of sockets that were ready before it.
    clock, loop, reports = loop_with_reports()
    reader, writer = os.pipe()
    with open(reader, "rb") as source, open(writer, "wb") as sink:

        def take_long(mask):
            clock.now_us += 150_000

        loop.watch(source, READ, take_long)
        loop.call_later(0, ignore)
        sink.write(b"x")
        sink.flush()
        loop.run_once(0)
    assert [(turn.began_late_us, turn.calls_us) for turn in reports] == [(0, 150_000)]


def test_a_turn_within_the_limit_and_a_cancelled_timer_are_not_told():
    clock, loop, reports = loop_with_reports()
    loop.call_later(0, ignore).cancel()
    loop.call_later(100_000, ignore)
    clock.now_us = 200_000
    loop.run_once(0)
    assert not reports
