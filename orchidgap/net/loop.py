"""The one loop: what is ready, what is due, what comes next. It knows nothing of what it runs."""

from __future__ import annotations

import selectors
import socket
import time
from collections import deque
from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any

READ, WRITE = selectors.EVENT_READ, selectors.EVENT_WRITE
MAX_WAIT_US = 1_000_000  # of one wait
AT_ONCE = 1_000  # a wait shorter than this found something that was there before


def system_clock() -> Callable[[], int]:
    """Unix time in microseconds as at the start, carried on by the clock that never jumps."""
    offset = time.time_ns() - time.monotonic_ns()
    return lambda: (time.monotonic_ns() + offset) // 1000


def boot_clock() -> int:
    """Microseconds that go on while the machine sleeps, and never jump."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1000


class Timer:
    __slots__ = (
        "args",
        "callback",
    )

    def __init__(self, act: Callable[..., None] | None, args: tuple[Any, ...]) -> None:
        self.callback, self.args = act, args

    def cancel(self) -> None:
        self.callback, self.args = None, ()


class Loop:
    """
    >>> loop = Loop(clock=iter(range(0, 10_000, 100)).__next__)
    >>> _ = loop.call_later(150, print, "due"); loop.call_later(20, print, "never").cancel(); loop.call_soon(print, "next")
    >>> loop.run_once(); loop.run_once(0); loop.run_once(0)
    due
    next
    """

    def __init__(
        self,
        clock: Callable[[], int] | None = None,
        on_error: Callable[[Exception], None] | None = None,
    ) -> None:
        self.clock = clock or system_clock()
        self.on_error = on_error  # told of what escapes a call; without it the loop ends
        self.selector = selectors.DefaultSelector()
        self.priority_callbacks: set[Callable[[int], None]] = (
            set()
        )  # whose turn comes before all others'
        self.timers: list[tuple[int, int, Timer]] = []
        self.soon: deque[tuple[Callable[..., None], tuple[Any, ...]]] = deque()
        self.timer_count = 0
        self.running = True
        self.longest_turn_us = 0  # microseconds that one round has taken, but for its wait
        self.now = self.last_poll_us = self.ready_since_us = (
            self.clock()
        )  # since: nothing that is ready now was so before
        self.buffer = memoryview(bytearray(1 << 16))  # what is read stands here until the next read

    def watch(
        self, sock: socket.socket, mask: int, act: Callable[[int], None], first: bool = False
    ) -> None:
        self.selector.register(sock, mask, act)
        if first:
            self.priority_callbacks.add(act)

    def rewatch(self, sock: socket.socket, mask: int, act: Callable[[int], None]) -> None:
        self.selector.modify(sock, mask, act)

    def unwatch(self, sock: socket.socket) -> None:
        self.selector.unregister(sock)

    def call_later(self, delay: int, act: Callable[..., None], *args: Any) -> Timer:
        return self.call_at(self.now + delay, act, *args)

    def call_at(self, when: int, act: Callable[..., None], *args: Any) -> Timer:
        timer = Timer(act, args)
        self.timer_count += 1
        heappush(self.timers, (when, self.timer_count, timer))
        return timer

    def call_soon(self, act: Callable[..., None], *args: Any) -> None:
        """After the call under way: what comes of a dispatch must not run into the decision to send it."""
        self.soon.append((act, args))

    def run(self) -> None:
        while self.running:
            self.run_once()

    def run_once(self, longest: int = MAX_WAIT_US) -> None:
        """One round. What is ready comes before what is due: an answer that is there beats its time-out."""
        entered = self.clock()
        wait = 0 if self.soon else longest
        if self.timers:
            wait = max(0, min(wait, self.timers[0][0] - entered))
        events = self.selector.select(wait / 1e6)
        now = self.clock()
        self.ready_since_us = self.last_poll_us if now - entered < AT_ONCE else now
        self.now = self.last_poll_us = now
        if self.priority_callbacks and len(events) > 1:
            events.sort(key=lambda event: event[0].data not in self.priority_callbacks)
        for key, mask in events:
            self.run_callback(key.data, mask)
        self.now = self.clock()
        while self.timers and self.timers[0][0] <= self.now:
            timer = heappop(self.timers)[2]
            if timer.callback is not None:
                self.run_callback(timer.callback, *timer.args)
        for _ in range(len(self.soon)):
            act, args = self.soon.popleft()
            self.run_callback(act, *args)
        if (took := self.clock() - self.last_poll_us) > self.longest_turn_us:
            self.longest_turn_us = took

    def run_callback(self, act: Callable[..., None], *args: Any) -> None:
        try:
            act(*args)
        except Exception as trouble:  # one call that fails must not end all others
            if self.on_error is None:
                raise
            self.on_error(trouble)
