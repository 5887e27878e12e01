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


class CommandScheduler:
    """The commands of one connection that are not answered yet, and which of them are forwarded.

    Attributes:
        loop: the event loop.
        slot_owner: returns the server that owns a slot, or an empty text if it is not known.
        is_closed: the client has disconnected, and nothing more is forwarded.
        command_count: commands so far.
        in_flight_by_slot: replies of unanswered commands, by slot, in order; includes commands that
            are not forwarded yet.
        delayed_by_owner: replies of commands that are delayed while an earlier one waits for the
            same server, by server.
        waiting_by_owner: the reply of the last forwarded command that had to wait, by server.
    """

    __slots__ = (
        "command_count",
        "delayed_by_owner",
        "in_flight_by_slot",
        "is_closed",
        "loop",
        "slot_owner",
        "waiting_by_owner",
    )

    def __init__(self, loop: Loop, slot_owner: Callable[[int], str]) -> None:
        """Starts without commands."""
        self.loop = loop
        self.slot_owner = slot_owner
        self.is_closed = False
        self.in_flight_by_slot: dict[int, list[Reply]] = {}
        self.delayed_by_owner: dict[str, deque[Reply]] = {}
        self.waiting_by_owner: dict[str, Reply] = {}
        self.command_count = 0

    def close(self) -> None:
        """Forgets all commands, as the client has disconnected."""
        self.is_closed = True
        self.in_flight_by_slot = {}
        self.delayed_by_owner = {}
        self.waiting_by_owner = {}

    def add(self, reply: Reply) -> None:
        """Forwards a command as soon as earlier ones permit it; see `Reply.forward`."""
        reply.position = self.command_count
        self.command_count += 1
        in_flight = self.in_flight_by_slot.setdefault(reply.slot, [])
        in_flight.append(reply)
        self._forward_if_allowed(in_flight, reply)

    def on_answered(self, reply: Reply) -> None:
        """Schedules the forwarding of commands that the answered one has blocked."""
        in_flight = self.in_flight_by_slot.get(reply.slot, [])
        if reply in in_flight:
            in_flight.remove(reply)
        if in_flight:
            self.loop.call_soon(self._forward_next, reply.slot)
        else:
            self.in_flight_by_slot.pop(reply.slot, None)
        self._forget_waiting(reply)
        if self.delayed_by_owner:
            self.loop.call_soon(self._forward_delayed)

    def _forget_waiting(self, reply: Reply) -> None:
        """Forgets an answered reply as the one that waits for its server; it may hold much."""
        for owner, waiting in self.waiting_by_owner.items():
            if waiting is reply:
                del self.waiting_by_owner[owner]
                return

    def _forward_if_allowed(self, in_flight: list[Reply], reply: Reply) -> None:
        """Forwards a command, unless an earlier one for its slot has to be answered first."""
        earlier = in_flight[: in_flight.index(reply)]
        all_are_reads = not reply.is_write and not any(other.is_write for other in earlier)
        if reply.forward and not reply.is_delayed and (not earlier or all_are_reads):
            self._forward_or_delay(reply)

    def _forward_or_delay(self, reply: Reply) -> None:
        """Forwards a command, or delays it if an earlier one waits for the same server."""
        owner = self.slot_owner(reply.slot)
        delayed = self.delayed_by_owner.get(owner)
        if delayed or self._has_waiting(owner):
            reply.is_delayed = True
            # one that waited for an earlier command of its slot is older than some that are delayed
            insort(self.delayed_by_owner.setdefault(owner, deque()), reply, key=position_of)
            return
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
                delayed = self.delayed_by_owner.pop(owner, None)
                if not delayed:
                    break
                reply = delayed.popleft()
                reply.is_delayed = False
                reply.unblocked_at_us = self.loop.now
                self._forward_or_delay(reply)
                if delayed and not self.is_closed:
                    self.delayed_by_owner.setdefault(owner, deque()).extend(delayed)

    def _forward_next(self, slot: int) -> None:
        """Forwards the commands for a slot that no earlier command blocks any more."""
        for reply in self.in_flight_by_slot.get(slot, ()):
            if reply.forward:
                reply.unblocked_at_us = self.loop.now
        for reply in list(self.in_flight_by_slot.get(slot, ())):
            if reply in self.in_flight_by_slot.get(slot, ()):
                self._forward_if_allowed(self.in_flight_by_slot[slot], reply)


def position_of(reply: Reply) -> int:
    """Returns the position of a command among those of its connection."""
    return reply.position
