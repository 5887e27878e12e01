"""What the buffers of all connections hold, and how much they may hold together.

Each holder books what it holds whenever that changes, in bytes. The limit leaves out what the
process used before it had clients, and a margin for what is not booked: objects, copies while data
is moved, fragmentation. The resident size (`memory_pressure`) remains the second line.
"""

from __future__ import annotations

from orchidgap.net.memory_pressure import BYTES_PER_MB, MemoryPressure

MARGIN_RATIO = 0.125  # of the memory limit
MIN_LIMIT_BYTES = 1 << 21  # so that some clients are served however small the memory is


class MemoryAccount:
    """The account of one process.

    Attributes:
        memory_pressure: The memory limit, and what the process used at its start.
        booked_bytes: What all holders have booked.
    """

    def __init__(self, memory_pressure: MemoryPressure) -> None:
        """Start with nothing booked."""
        self.memory_pressure = memory_pressure
        self.booked_bytes = 0

    @property
    def limit_bytes(self) -> int:
        """The most that should be booked."""
        memory_bytes = self.memory_pressure.limit_mb * BYTES_PER_MB
        margin_bytes = int(memory_bytes * MARGIN_RATIO)
        left_bytes = memory_bytes - margin_bytes - self.memory_pressure.initial_bytes
        return max(MIN_LIMIT_BYTES, left_bytes)


class MemoryBooking:
    """What one holder has booked in an account.

    >>> from orchidgap.net.loop import Loop
    >>> account = MemoryAccount(MemoryPressure(Loop(), 64))
    >>> one, other = MemoryBooking(account), MemoryBooking(account)
    >>> one.book(1_000); other.book(500); one.book(200)
    >>> account.booked_bytes, one.booked_by_others()
    (700, 500)
    >>> one.book(0); other.book(0); account.booked_bytes
    0
    """

    __slots__ = ("account", "booked_bytes")

    def __init__(self, account: MemoryAccount) -> None:
        """Start with nothing booked."""
        self.account = account
        self.booked_bytes = 0

    def book(self, held_bytes: int) -> None:
        """Replace what the holder has booked by what it holds now; 0 returns everything."""
        self.account.booked_bytes += held_bytes - self.booked_bytes
        self.booked_bytes = held_bytes

    def booked_by_others(self) -> int:
        """Return what all other holders have booked."""
        return self.account.booked_bytes - self.booked_bytes
