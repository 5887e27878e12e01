"""The event loop: sockets that are ready, timers that are due, and calls that come next."""

from __future__ import annotations

import selectors
import socket
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from heapq import heappop, heappush
from typing import Any

from orchidgap.net.run_delay import run_delay_us

READ = selectors.EVENT_READ
WRITE = selectors.EVENT_WRITE
MAX_WAIT_US = 1_000_000
IMMEDIATE_WAIT_US = 1_000  # a wait shorter than this found something that was there before
READ_BUFFER_BYTES = 1 << 16
LATE_TURN_US = 100_000  # a timer that is called so long after it was due is told of
CPU_SAMPLE_INTERVAL_US = 100_000
MAX_POSTPONED_TURNS = 3  # for which calls wait on end, as each of them was held up
STALLED_TURN_US = 50_000  # what is ready may tell otherwise than what a turn knew so long ago


def system_clock() -> Callable[[], int]:
    """Unix time in microseconds as at the start, carried on by the clock that never jumps."""
    offset_ns = time.time_ns() - time.monotonic_ns()
    return lambda: (time.monotonic_ns() + offset_ns) // 1000


def thread_cpu_us() -> int:
    """Processor time that this thread has used, in microseconds."""
    return time.thread_time_ns() // 1000


def boot_clock() -> int:
    """Microseconds that go on while the machine sleeps, and never jump."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1000


class Timer:
    """A call that is made at its time unless it is cancelled."""

    __slots__ = ("args", "callback")

    def __init__(self, callback: Callable[..., None] | None, args: tuple[Any, ...]) -> None:
        """The call, with its arguments."""
        self.callback = callback
        self.args = args

    def cancel(self) -> None:
        """Call nothing, and hold on to nothing."""
        self.callback = None
        self.args = ()


@dataclass(frozen=True, slots=True)
class LateTurn:
    """A turn that called a timer long after it was due.

    A turn that began late, with little processor time used in the window, belongs to a process that
    got no core, if its run delay is as long; else it was stopped or waited for a disk. One whose
    own calls took long was busy.

    Attributes:
        late_us: How long after it was due the timer was called.
        began_late_us: How much of that had passed when the turn began.
        calls_us: How long the turn's calls for sockets took before the timer's.
        window_us: How long ago the processor time was looked at last.
        cpu_us: Processor time that the loop's thread has used since.
        run_delay_us: How long it was ready since and did not run, by the kernel's count.
        callback: The name of what was due.
    """

    late_us: int
    began_late_us: int
    calls_us: int
    window_us: int
    cpu_us: int
    run_delay_us: int
    callback: str


class Loop:
    """Calls back for sockets that are ready and for timers that are due.

    Attributes:
        now: The time of the turn under way, in microseconds of the loop's clock.
        ready_since_us: Nothing that is ready in this turn was ready before.
        buffer: What a connection reads stands here until the next read.
        longest_turn_us: The longest turn, without its wait.
        on_late_turn: Told of a turn that was late for a timer.

    >>> loop = Loop(clock=iter(range(0, 10_000, 100)).__next__)
    >>> _ = loop.call_later(150, print, "due")
    >>> loop.call_later(20, print, "never").cancel()
    >>> loop.call_soon(print, "next")
    >>> loop.run_once(); loop.run_once(0); loop.run_once(0)
    due
    next
    """

    def __init__(
        self,
        clock: Callable[[], int] | None = None,
        on_error: Callable[[Exception], None] | None = None,
    ) -> None:
        """`on_error` is told of what escapes a call; without it the loop ends then."""
        self.clock = clock or system_clock()
        self.on_error = on_error
        self.selector = selectors.DefaultSelector()
        self.priority_callbacks: set[Callable[[int], None]] = set()  # whose turn comes first
        self.timers: list[tuple[int, int, Timer]] = []
        self.ready_callbacks: deque[tuple[Callable[..., None], tuple[Any, ...]]] = deque()
        self.postponed: list[Callable[[], None]] = []  # to the next turn
        self._postponed_turns = 0  # for how many on end what was postponed has waited on
        self.timer_count = 0
        self.running = True
        self.longest_turn_us = 0
        self.now = self.clock()
        self.last_poll_us = self.now
        self.ready_since_us = self.now
        self.buffer = memoryview(bytearray(READ_BUFFER_BYTES))
        self.on_late_turn: Callable[[LateTurn], None] | None = None
        self._cpu_sampled_at_us = self.now
        self._cpu_sample_us = thread_cpu_us()
        self._run_delay_sample_us = run_delay_us()

    def watch(
        self,
        sock: socket.socket | int,
        mask: int,
        callback: Callable[[int], None],
        first: bool = False,
    ) -> None:
        """Call back when the socket, or a descriptor, is ready; with `first`, before others."""
        self.selector.register(sock, mask, callback)
        if first:
            self.priority_callbacks.add(callback)

    def rewatch(self, sock: socket.socket, mask: int, callback: Callable[[int], None]) -> None:
        """Watch the socket for something else."""
        self.selector.modify(sock, mask, callback)

    def unwatch(self, sock: socket.socket | int) -> None:
        """Watch the socket no more."""
        key = self.selector.unregister(sock)
        self.priority_callbacks.discard(key.data)

    def call_later(self, delay_us: int, callback: Callable[..., None], *args: Any) -> Timer:
        """Call after so many microseconds."""
        return self.call_at(self.now + delay_us, callback, *args)

    def call_at(self, when_us: int, callback: Callable[..., None], *args: Any) -> Timer:
        """Call at a time of the loop's clock; those of the same time in the order they came."""
        timer = Timer(callback, args)
        self.timer_count += 1
        heappush(self.timers, (when_us, self.timer_count, timer))
        return timer

    def call_soon(self, callback: Callable[..., None], *args: Any) -> None:
        """Call after the call under way: what comes of an attempt must not run into the decision to
        send it.
        """
        self.ready_callbacks.append((callback, args))

    def call_next_turn(self, callback: Callable[[], None]) -> None:
        """Call in the next turn, once sockets whose turn comes first have been served; later where
        that turn is held up before.
        """
        self.postponed.append(callback)

    @property
    def is_stalled(self) -> bool:
        """Whether the selector was asked so long ago that what is ready now may tell otherwise."""
        return self.clock() - self.last_poll_us > STALLED_TURN_US

    @property
    def current_us(self) -> int:
        """The time of the turn under way; of the clock, where that turn has been held up."""
        time_us = self.clock()
        return time_us if time_us - self.last_poll_us > STALLED_TURN_US else self.now

    def run(self) -> None:
        """Turn until told to stop."""
        while self.running:
            self.run_once()

    def run_once(self, max_wait_us: int = MAX_WAIT_US) -> None:
        """One turn. What is ready comes before what is due: an answer that is there beats its
        time-out.
        """
        entered_us = self.clock()
        wait_us = 0 if self.ready_callbacks or self.postponed else max_wait_us
        if self.timers:
            wait_us = max(0, min(wait_us, self.timers[0][0] - entered_us))
        events = self.selector.select(wait_us / 1e6)
        now = self.clock()
        was_ready_before = now - entered_us < IMMEDIATE_WAIT_US
        self.ready_since_us = self.last_poll_us if was_ready_before else now
        if now - entered_us > STALLED_TURN_US:
            # it may have been held up since the selector answered, not while it waited
            events = self.selector.select(0)
            now = self.clock()
        self.last_poll_us = now
        self.now = now
        self._run_ready_sockets(events)
        self.now = self.clock()
        if self.on_late_turn:
            self._watch_lateness(self.on_late_turn)
        self._run_due_timers()
        for _ in range(len(self.ready_callbacks)):
            callback, args = self.ready_callbacks.popleft()
            self.run_callback(callback, *args)
        turn_us = self.clock() - self.last_poll_us
        if turn_us > self.longest_turn_us:
            self.longest_turn_us = turn_us

    def _run_ready_sockets(self, events: list[tuple[selectors.SelectorKey, int]]) -> None:
        """Call for those whose turn comes first, then what was postponed, then for all others."""
        if self.priority_callbacks and len(events) > 1:
            events.sort(key=lambda event: event[0].data not in self.priority_callbacks)
        postponed, self.postponed = self.postponed, []
        for key, mask in events:
            if postponed and key.data not in self.priority_callbacks:
                self._run_postponed(postponed)
                postponed = []
            self.run_callback(key.data, mask)
        self._run_postponed(postponed)

    def _run_due_timers(self) -> None:
        """Call what is due. In a turn that was held up only what was due as the selector was asked:
        what is ready by now comes first.
        """
        was_stalled = self.now - self.last_poll_us > STALLED_TURN_US
        due_by_us = self.last_poll_us if was_stalled else self.now
        while self.timers and self.timers[0][0] <= due_by_us:
            _, _, timer = heappop(self.timers)
            if timer.callback is not None:
                self.run_callback(timer.callback, *timer.args)

    def _run_postponed(self, callbacks: list[Callable[[], None]]) -> None:
        """Make the calls that the turn before has left, or leave them to the next one.

        What is ready by now may be what they wait for where this turn was held up too. A loop whose
        turns all take that long still makes them.
        """
        may_wait_on = self._postponed_turns < MAX_POSTPONED_TURNS
        for index, callback in enumerate(callbacks):
            if may_wait_on and self.is_stalled:
                self._postponed_turns += 1
                self.postponed[:0] = callbacks[index:]
                return
            self.run_callback(callback)
        if callbacks:
            self._postponed_turns = 0

    def _watch_lateness(self, on_late_turn: Callable[[LateTurn], None]) -> None:
        """Tell of a timer that is called long after it was due."""
        while self.timers and self.timers[0][2].callback is None:
            heappop(self.timers)
        if self.timers and self.now - self.timers[0][0] > LATE_TURN_US:
            due_us, _, timer = self.timers[0]
            late_turn = LateTurn(
                late_us=self.now - due_us,
                began_late_us=max(0, self.last_poll_us - due_us),
                calls_us=self.now - self.last_poll_us,
                window_us=self.now - self._cpu_sampled_at_us,
                cpu_us=thread_cpu_us() - self._cpu_sample_us,
                run_delay_us=run_delay_us() - self._run_delay_sample_us,
                callback=getattr(timer.callback, "__qualname__", repr(timer.callback)),
            )
            self.run_callback(on_late_turn, late_turn)
        if self.now - self._cpu_sampled_at_us >= CPU_SAMPLE_INTERVAL_US:
            self._cpu_sampled_at_us = self.now
            self._cpu_sample_us = thread_cpu_us()
            self._run_delay_sample_us = run_delay_us()

    def run_callback(self, callback: Callable[..., None], *args: Any) -> None:
        """Make one call; where it fails, all others are still made."""
        try:
            callback(*args)
        except Exception as error:  # whatever it is, only this call ends
            if self.on_error is None:
                raise
            self.on_error(error)
