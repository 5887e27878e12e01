"""What the replies of all clients together may take of the memory.

A client's replies are bounded by themselves (`outstanding_replies`). Many clients that read slowly,
or that all have a first large reply, could still take the process over its memory. So one more
command is accepted only while there is room for its reply:

| what the client would hold | limit for what all clients hold           |
| -------------------------- | ----------------------------------------- |
| at most 16 KB              | the memory account's                      |
| more                       | half of that, and an eighth of the memory |
| more than 1 MB             | not accepted                              |

So clients with small replies are served while others take long to read large ones. Clients that
hold nothing wait for room in a queue, and nobody else gets more while it is not empty.
"""

from __future__ import annotations

from typing import Protocol

from orchidgap.net.loop import Loop
from orchidgap.net.memory_account import MIN_LIMIT_BYTES, MemoryAccount, MemoryBooking
from orchidgap.net.memory_pressure import BYTES_PER_MB, SHORT_BUFFER_BYTES

MAX_HELD_BYTES = 1 << 20  # limit for the replies of one client, written or expected
BUDGET_RATIO = 0.125  # of the memory limit, for the replies of all clients
LARGE_SHARE_DIVISOR = 2  # the part of the account for clients that hold more than little


class Waiter(Protocol):
    """A client that holds nothing, and waits for room for a reply."""

    def try_again(self) -> bool:
        """Handles its commands if there is room; returns whether it waits no longer."""


class ReplyBudget:
    """The replies of all clients of one process.

    Attributes:
        loop: the event loop.
        account: the account in which clients book what they hold.
        waiting: the clients that wait for room, the longest waiting first.
    """

    def __init__(self, loop: Loop, account: MemoryAccount) -> None:
        """Starts without clients."""
        self.loop = loop
        self.account = account
        self.waiting: dict[Waiter, None] = {}
        self._is_retry_due = False

    def permits(
        self, held_bytes: int, reply_bytes: int, booking: MemoryBooking, waiter: Waiter
    ) -> bool:
        """Returns whether a client may have one more reply.

        Args:
            held_bytes: the size of the client's replies that are expected, or that it has not read.
            reply_bytes: the expected size of the next reply.
            booking: what the client has booked.
            waiter: the client, which may be among those that wait.
        """
        if held_bytes > MAX_HELD_BYTES:
            return False
        needed_bytes = held_bytes + min(reply_bytes, MAX_HELD_BYTES)
        if not self.waiting and self.account.booked_bytes + needed_bytes <= MIN_LIMIT_BYTES:
            return True  # no limit is lower
        total_bytes = booking.booked_by_others() + needed_bytes
        limit_bytes = self.account.limit_bytes
        if needed_bytes <= SHORT_BUFFER_BYTES:
            return total_bytes <= limit_bytes
        is_next = not self.waiting or waiter in self.waiting
        return is_next and total_bytes <= self._large_limit_bytes(limit_bytes)

    def on_returned(self) -> None:
        """Lets clients that wait try again soon, as one holds less."""
        if self.waiting and not self._is_retry_due:
            self._is_retry_due = True
            self.loop.call_soon(self._retry)

    def _retry(self) -> None:
        self._is_retry_due = False
        for waiter in list(self.waiting):
            if not waiter.try_again():
                return

    def _large_limit_bytes(self, limit_bytes: int) -> int:
        memory_bytes = self.account.memory_pressure.limit_mb * BYTES_PER_MB
        share_bytes = limit_bytes // LARGE_SHARE_DIVISOR
        return max(MIN_LIMIT_BYTES, min(share_bytes, int(memory_bytes * BUDGET_RATIO)))
