"""The timers of the decisions, which share one pending wake-up of the host program."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush

from orchidgap.decisions.ports import Port

WAKE_TOLERANCE_US = 10_000  # how late a timer may run, so that fewer wake-ups are requested


class TimerQueue:
    """Makes delayed calls, ordered by due time and then by creation.

    Attributes:
        port: The host program, which schedules the wake-ups.
        now: The time in microseconds; the host program sets it before each of its calls.
        entries: A heap of (due time, number, action, arguments).
        wake_at_us: The time of the wake-up requested last, which is also its token; 0: none.
    """

    def __init__(self, port: Port, now: int) -> None:
        """Start without timers; `now` is the current time in microseconds."""
        self.port = port
        self.now = now
        self.entries: list[tuple[int, int, Callable[..., None], tuple[object, ...]]] = []
        self.wake_at_us = 0
        self._entry_count = 0

    def call_later(self, delay_us: int, action: Callable[..., None], *arguments: object) -> None:
        """Call the action with these arguments after the delay."""
        self._entry_count += 1
        heappush(self.entries, (self.now + delay_us, self._entry_count, action, arguments))
        self._request_wake()

    def on_wake(self, token: int) -> None:
        """Handle a wake-up: make all calls that are due."""
        if token == self.wake_at_us:
            self.wake_at_us = 0
        while self.entries and self.entries[0][0] <= self.now:
            _, _, action, arguments = heappop(self.entries)
            action(*arguments)
        self._request_wake()

    def _request_wake(self) -> None:
        """Request a wake-up, unless the pending one is early enough."""
        entries = self.entries
        if entries and (not self.wake_at_us or entries[0][0] < self.wake_at_us - WAKE_TOLERANCE_US):
            self.wake_at_us = max(self.now, entries[0][0]) + WAKE_TOLERANCE_US
            self.port.wake(self.wake_at_us - self.now, self.wake_at_us)
