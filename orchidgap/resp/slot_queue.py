"""The unanswered commands of one connection for one slot: which of them may be forwarded."""

from __future__ import annotations

from collections import deque

from orchidgap.resp.replies import Reply


class SlotQueue:
    """Commands for one slot, in their order. Only reads may be in flight together.

    Attributes:
        admitted: replies of commands that may be forwarded or were: one write, or reads.
        waiting: replies of commands that have to wait for earlier ones, in order.
    """

    __slots__ = ("admitted", "waiting")

    def __init__(self) -> None:
        """Starts without commands."""
        self.admitted: set[Reply] = set()
        self.waiting: deque[Reply] = deque()

    def add(self, reply: Reply) -> bool:
        """Adds a command; returns whether it may be forwarded."""
        if self.waiting or not self._has_room(reply):
            self.waiting.append(reply)
            return False
        self.admitted.add(reply)
        return True

    def admit_next(self) -> Reply | None:
        """Returns the next command that may be forwarded now, None if there is none."""
        if not self.waiting or not self._has_room(self.waiting[0]):
            return None
        reply = self.waiting.popleft()
        self.admitted.add(reply)
        return reply

    def remove(self, reply: Reply) -> None:
        """Removes a command that was answered, which may be one that had to wait."""
        if reply in self.admitted:
            self.admitted.remove(reply)
        elif reply in self.waiting:
            self.waiting.remove(reply)

    def _has_room(self, reply: Reply) -> bool:
        """Returns whether nothing that is admitted has to be answered before this command."""
        if not self.admitted:
            return True
        other = next(iter(self.admitted))  # all are reads, or it is the only one
        return not reply.is_write and not other.is_write
