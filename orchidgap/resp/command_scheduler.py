"""The order in which the commands of one client connection are forwarded to servers.

Commands for different slots are in flight at the same time. Commands for one slot keep their order,
and only reads may be in flight together. While a command waits for a server without capacity, later
ones for the same server are delayed.
"""

from __future__ import annotations

from bisect import insort
from collections import deque
from collections.abc import Callable

from orchidgap.net.loop import Loop
from orchidgap.resp.replies import Reply
from orchidgap.resp.slot_queue import SlotQueue


class CommandScheduler:
    """The commands of one connection that are not answered yet, and which of them are forwarded.

    Attributes:
        loop: the event loop.
        slot_owner: returns the server that owns a slot, or an empty text if it is not known.
        is_closed: the client has disconnected, and nothing more is forwarded.
        queues: replies of unanswered commands, by slot.
        delayed_by_owner: replies of commands that are delayed while an earlier one waits for the
            same server, by server, in the order of the connection.
        waiting_by_owner: the reply of the last forwarded command that had to wait, by server.
    """

    __slots__ = (
        "delayed_by_owner",
        "is_closed",
        "loop",
        "queues",
        "slot_owner",
        "waiting_by_owner",
    )

    def __init__(self, loop: Loop, slot_owner: Callable[[int], str]) -> None:
        """Starts without commands."""
        self.loop = loop
        self.slot_owner = slot_owner
        self.is_closed = False
        self.queues: dict[int, SlotQueue] = {}
        self.delayed_by_owner: dict[str, deque[Reply]] = {}
        self.waiting_by_owner: dict[str, Reply] = {}

    def close(self) -> None:
        """Forgets all commands, as the client has disconnected."""
        self.is_closed = True
        self.queues = {}
        self.delayed_by_owner = {}
        self.waiting_by_owner = {}

    def add(self, reply: Reply) -> None:
        """Forwards a command as soon as earlier ones permit it; see `Reply.forward`."""
        queue = self.queues.get(reply.slot)
        if queue is None:
            queue = self.queues[reply.slot] = SlotQueue()
        if queue.add(reply):
            self._forward_or_delay(reply)

    def on_answered(self, reply: Reply) -> None:
        """Schedules the forwarding of commands that the answered one has blocked."""
        queue = self.queues.get(reply.slot)
        if queue:
            queue.remove(reply)
            if queue.waiting:
                self.loop.call_soon(self._forward_next, reply.slot)
            elif not queue.admitted:
                del self.queues[reply.slot]
        self._forget_waiting(reply)
        if self.delayed_by_owner:
            self.loop.call_soon(self._forward_delayed)

    def _forget_waiting(self, reply: Reply) -> None:
        """Forgets an answered reply as the one that waits for its server; it may hold much."""
        for owner, waiting in self.waiting_by_owner.items():
            if waiting is reply:
                del self.waiting_by_owner[owner]
                return

    def _forward_or_delay(self, reply: Reply) -> None:
        """Forwards a command, or delays it if an earlier one waits for the same server."""
        owner = self.slot_owner(reply.slot)
        if self.delayed_by_owner.get(owner) or self._has_waiting(owner):
            # one that waited for an earlier command of its slot is older than some that are delayed
            insort(self.delayed_by_owner.setdefault(owner, deque()), reply, key=position_of)
        else:
            self._forward(reply, owner)

    def _forward(self, reply: Reply, owner: str) -> None:
        """Forwards a command now, unless it has been answered."""
        forward = reply.forward
        reply.forward = None
        if forward:
            forward()
        if reply.awaits_host:
            self.waiting_by_owner[owner] = reply

    def _has_waiting(self, owner: str) -> bool:
        """Returns whether a forwarded command waits for capacity at this server."""
        reply = self.waiting_by_owner.get(owner)
        return reply is not None and reply.awaits_host

    def _forward_delayed(self) -> None:
        """Forwards delayed commands for servers that no earlier command waits for any more."""
        for owner in list(self.delayed_by_owner):
            while not self.is_closed and not self._has_waiting(owner):
                delayed = self.delayed_by_owner.get(owner)
                if not delayed:
                    self.delayed_by_owner.pop(owner, None)
                    break
                self._end_delay(delayed.popleft(), owner)

    def _end_delay(self, reply: Reply, owner: str) -> None:
        """Forwards a command that was delayed; its slot may have moved to another server."""
        reply.unblocked_at_us = self.loop.now
        if self.slot_owner(reply.slot) == owner:
            self._forward(reply, owner)
        else:
            self._forward_or_delay(reply)

    def _forward_next(self, slot: int) -> None:
        """Forwards the commands for a slot that no earlier command blocks any more."""
        queue = self.queues.get(slot)
        while queue and (reply := queue.admit_next()):
            reply.unblocked_at_us = self.loop.now
            self._forward_or_delay(reply)


def position_of(reply: Reply) -> int:
    """Returns the position of a command among those of its connection."""
    return reply.position
