"""Timers of the decisions, all on one wake-up of the host program at a time."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush

from orchidgap.decisions.ports import Port

WAKE_TOLERANCE_US = 10_000  # by which a timer may be late, so that fewer wake-ups are asked for


class TimerQueue:
    """Calls that are due later, in the order of their times and then of their making.

    Attributes:
        port: Whom wake-ups are asked of.
        now: The time in microseconds; the host program sets it before each of its calls.
        entries: A heap of (due, number, action, arguments).
        wake_at_us: When the wake-up that was asked for last comes, which is its token; 0 for none.
    """

    def __init__(self, port: Port, now: int) -> None:
        """Start with no timers at the time `now`, in microseconds."""
        self.port = port
        self.now = now
        self.entries: list[tuple[int, int, Callable[..., None], tuple[object, ...]]] = []
        self.wake_at_us = 0
        self._entry_count = 0

    def call_later(self, delay_us: int, action: Callable[..., None], *arguments: object) -> None:
        """Call the action with these arguments once the delay is over."""
        self._entry_count += 1
        heappush(self.entries, (self.now + delay_us, self._entry_count, action, arguments))
        self._request_wake()

    def on_wake(self, token: int) -> None:
        """A wake-up came: make the calls that are due."""
        if token == self.wake_at_us:
            self.wake_at_us = 0
        while self.entries and self.entries[0][0] <= self.now:
            _, _, action, arguments = heappop(self.entries)
            action(*arguments)
        self._request_wake()

    def _request_wake(self) -> None:
        """Ask for a wake-up, unless one is under way that comes early enough."""
        entries = self.entries
        if entries and (not self.wake_at_us or entries[0][0] < self.wake_at_us - WAKE_TOLERANCE_US):
            self.wake_at_us = max(self.now, entries[0][0]) + WAKE_TOLERANCE_US
            self.port.wake(self.wake_at_us - self.now, self.wake_at_us)
