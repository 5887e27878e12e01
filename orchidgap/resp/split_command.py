"""A command whose keys are in several slots: its parts, which are forwarded one after another."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from typing import NamedTuple

from orchidgap.resp.commands import Command
from orchidgap.resp.replies import JoinedReply, Reply, ReplyQueue


class CommandPart(NamedTuple):
    """The part of a split command for one slot.

    Attributes:
        reply: the reply to the part.
        words: the words of the part, which is a command of its own.
        slot: the slot of all its keys.
    """

    reply: Reply
    words: list[bytes]
    slot: int


class SplitCommand:
    """The parts of one command that are not forwarded yet, in the order of their first keys.

    Attributes:
        command: what the command is.
        joined: the reply to the whole command.
    """

    __slots__ = ("_keys", "_name", "_remaining", "command", "joined")

    def __init__(
        self,
        queue: ReplyQueue,
        command: Command,
        name: bytes,
        keys: list[bytes],
        positions_by_slot: dict[int, list[int]],
    ) -> None:
        """Starts with all parts.

        Args:
            queue: the client connection.
            command: what the command is.
            name: its name, as the client wrote it.
            keys: its keys.
            positions_by_slot: the positions of the keys of each slot.
        """
        self.command = command
        self.joined = JoinedReply(queue, command.join, list(positions_by_slot.values()))
        self._name = name
        self._keys = keys
        slots: Iterable[tuple[int, list[int]]] = positions_by_slot.items()
        self._remaining = deque(zip(self.joined.parts, slots))

    def take_next(self) -> CommandPart | None:
        """Removes and returns the next part; None if there is no more."""
        if not self._remaining:
            return None
        reply, (slot, positions) = self._remaining.popleft()
        words = [self._name, *(self._keys[position] for position in positions)]
        return CommandPart(reply, words, slot)

    def take_replies(self) -> list[Reply]:
        """Removes all remaining parts and returns their replies."""
        replies = [reply for reply, _ in self._remaining]
        self._remaining.clear()
        return replies
