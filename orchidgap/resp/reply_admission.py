"""Whether a client's next command is accepted, waits or is denied for lack of memory.

| room for the reply | the client holds      | the command                                     |
| ------------------ | --------------------- | ----------------------------------------------- |
| yes                | anything              | is accepted                                     |
| no                 | replies of its own    | waits until it has read enough of them          |
| no                 | nothing, for a moment | waits for others                                |
| no                 | nothing, for longer   | is denied: nothing was done, and it may be sent |
|                    |                       | again                                           |

Times are in microseconds.
"""

from __future__ import annotations

from enum import Enum, auto

from orchidgap.net.memory_account import MemoryBooking
from orchidgap.resp.reply_budget import ReplyBudget, Waiter

WAIT_DIVISOR = 4  # the part of a command's time that it waits for others to read their replies


class Admission(Enum):
    """What happens with the next command."""

    ACCEPTED = auto()
    WAITS = auto()
    DENIED = auto()


class ReplyAdmission:
    """Decides on the commands of one client.

    Attributes:
        client: the client.
        budget: what the replies of all clients may take.
        booking: what this client has booked.
        max_wait_us: how long a client that holds nothing waits for others.
        waits_since_us: since when it has waited for them; None if it does not.
    """

    __slots__ = ("booking", "budget", "client", "max_wait_us", "waits_since_us")

    def __init__(self, client: Waiter, budget: ReplyBudget, timeout_us: int) -> None:
        """Starts for a new client, whose commands have to be answered within `timeout_us`."""
        self.client = client
        self.budget = budget
        self.booking = MemoryBooking(budget.account)
        self.max_wait_us = timeout_us // WAIT_DIVISOR
        self.waits_since_us: int | None = None

    def decide(
        self, held_bytes: int, reply_bytes: int, now_us: int, may_wait: bool = True
    ) -> Admission:
        """Returns what happens with the next command.

        Args:
            held_bytes: the size of the client's replies that are expected, or that it has not read.
            reply_bytes: the expected size of the command's reply.
            now_us: the current time.
            may_wait: whether a client that holds nothing waits for others before it is denied.
        """
        if self.budget.permits(held_bytes, reply_bytes, self.booking, self.client):
            if self.waits_since_us is not None:
                self.stop_waiting()
            return Admission.ACCEPTED
        if held_bytes:
            self.stop_waiting()
            return Admission.WAITS
        if self.waits_since_us is None:
            self.waits_since_us = now_us
            self.budget.waiting[self.client] = None
        if may_wait and now_us - self.waits_since_us < self.max_wait_us:
            return Admission.WAITS
        self.budget.waiting.pop(self.client, None)  # later commands are denied without a wait
        return Admission.DENIED

    @property
    def is_waiting(self) -> bool:
        """Whether the client is in the queue for room."""
        return self.client in self.budget.waiting

    def stop_waiting(self) -> None:
        """Leaves the queue for room; a later wait begins anew."""
        self.waits_since_us = None
        self.budget.waiting.pop(self.client, None)

    def book(self, held_bytes: int) -> None:
        """Books what the client holds now."""
        returned = held_bytes < self.booking.booked_bytes
        self.booking.book(held_bytes)
        if returned:
            self.budget.on_returned()

    def close(self) -> None:
        """Returns what the client holds, as it has disconnected."""
        self.stop_waiting()
        self.book(0)
