"""Estimates how many connections to a host should be kept open.

A host accepts a limited number of connections from all balancers together, so each balancer keeps
only as many as it needed recently. No I/O; times are whole microseconds.
"""

from __future__ import annotations

WINDOW_US = 1_000_000


class ConnectionDemand:
    """The highest number of connections to one host in use at once, over the last two windows.

    >>> demand = ConnectionDemand(0)
    >>> for now, in_use in ((10, 1), (20, 3), (30, 2)):
    ...     demand.record(now, in_use)
    >>> [demand.worth_keeping(now) for now in (500_000, 1_500_000, 2_500_000, 9_000_000)]
    [3, 3, 1, 1]
    """

    __slots__ = ("_current_peak", "_previous_peak", "_window_start_us")

    def __init__(self, now: int) -> None:
        """Start the first window at `now`, with no connections in use."""
        self._window_start_us = now
        self._current_peak = 0
        self._previous_peak = 0

    def record(self, now: int, in_use: int) -> None:
        """Record how many connections are in use now."""
        if now - self._window_start_us >= WINDOW_US:
            self._start_window(now)
        if in_use > self._current_peak:
            self._current_peak = in_use

    def worth_keeping(self, now: int) -> int:
        """Return how many connections to keep, idle and in use together: at least one.

        This is the highest number that was in use in the current and the previous window.
        """
        self._start_window(now)
        return max(1, self._current_peak, self._previous_peak)

    def _start_window(self, now: int) -> None:
        """Start the window that contains `now`, unless it is the current one."""
        windows_passed = (now - self._window_start_us) // WINDOW_US
        if windows_passed <= 0:
            return
        self._previous_peak = self._current_peak if windows_passed == 1 else 0
        self._current_peak = 0
        self._window_start_us += windows_passed * WINDOW_US
