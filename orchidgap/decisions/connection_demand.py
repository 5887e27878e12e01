"""How many connections to a host are worth keeping. A host holds only so many, from all balancers together.

Nothing here does I/O. Times are whole microseconds.
"""

from __future__ import annotations

WINDOW = (
    1_000_000  # what was needed at once is remembered for one such stretch, and the one under way
)


class Need:
    """What one host's connections were needed for lately.

    >>> need = Need(0)
    >>> for now, busy in ((10, 1), (20, 3), (30, 2)): need.saw(now, busy)
    >>> need.keep(500_000), need.keep(1_500_000), need.keep(2_500_000), need.keep(9_000_000)
    (3, 3, 1, 1)
    """

    __slots__ = ("before", "since", "top")

    def __init__(self, now: int) -> None:
        self.since, self.top, self.before = now, 0, 0

    def roll(self, now: int) -> None:
        if (past := (now - self.since) // WINDOW) > 0:
            self.before = self.top if past == 1 else 0
            self.top, self.since = 0, self.since + past * WINDOW

    def saw(self, now: int, busy: int) -> None:
        """So many were in use at once."""
        if now - self.since >= WINDOW:
            self.roll(now)
        if busy > self.top:
            self.top = busy

    def keep(self, now: int) -> int:
        """So many are worth keeping, idle ones and those in use: one is always, as the next req needs it."""
        self.roll(now)
        return max(1, self.top, self.before)
