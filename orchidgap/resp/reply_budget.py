"""What the replies of all clients together may take of the memory.

A client's replies are bounded by themselves (`outstanding_replies`). Many clients that read slowly
could still take the process over its memory. So while they hold more than a share of it together,
only those that hold hardly anything are read, one command at a time.
"""

from __future__ import annotations

from collections.abc import Collection
from typing import Protocol

from orchidgap.net.loop import Loop
from orchidgap.net.memory_pressure import BYTES_PER_MB, SHORT_BUFFER_BYTES, MemoryPressure

MAX_HELD_BYTES = 1 << 20  # limit for the replies of one client, written or expected
BUDGET_RATIO = 0.125  # of the memory limit, for the replies of all clients
RECOUNT_INTERVAL_US = 20_000


class ReplyHolder(Protocol):
    """A client connection."""

    def held_reply_bytes(self) -> int:
        """Returns the size of its replies that are expected, or that its client has not read."""


class ReplyBudget:
    """The replies of all clients of one process."""

    def __init__(self, loop: Loop, memory_pressure: MemoryPressure) -> None:
        """Starts without clients."""
        self.loop = loop
        self.memory_pressure = memory_pressure
        self._held_bytes = 0
        self._counted_at_us: int | None = None

    def permits(self, held_bytes: int, clients: Collection[ReplyHolder]) -> bool:
        """Returns whether a client that holds so much may have one more reply."""
        if held_bytes <= SHORT_BUFFER_BYTES:
            return True
        if held_bytes > MAX_HELD_BYTES:
            return False
        budget_bytes = int(self.memory_pressure.limit_mb * BYTES_PER_MB * BUDGET_RATIO)
        return self._count(clients) <= budget_bytes

    def on_accepted(self, expected_bytes: int) -> None:
        """Counts the reply to a command that was accepted, until all are counted again."""
        self._held_bytes += expected_bytes

    def _count(self, clients: Collection[ReplyHolder]) -> int:
        now_us = self.loop.now
        if self._counted_at_us is None or now_us - self._counted_at_us >= RECOUNT_INTERVAL_US:
            self._counted_at_us = now_us
            self._held_bytes = sum(client.held_reply_bytes() for client in clients)
        return self._held_bytes
