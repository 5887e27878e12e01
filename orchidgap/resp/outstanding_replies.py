"""The replies of one client connection that are not written yet, and the limits on them."""

from __future__ import annotations

from collections import deque

from orchidgap.net.memory_pressure import MemoryPressure
from orchidgap.resp.replies import Reply
from orchidgap.resp.reply_budget import MAX_HELD_BYTES

# Most commands, and parts of such, whose replies are not written yet; one more command is accepted
# below that, however many parts it has.
MAX_OUTSTANDING_PARTS = 1_024
# Initial estimate of a reply's size: few commands are accepted until replies have been measured.
FIRST_REPLY_BYTES = MAX_HELD_BYTES // 16
MAX_COMMAND_BYTES = 1 << 18  # limit for the size of the commands without an answer
# A new reply's share in the average size is 1 / this; more for the first replies, so that the
# initial estimate soon has no part in it.
REPLY_SIZE_SMOOTHING = 8


class OutstandingReplies:
    """Replies in the order of their commands.

    Attributes:
        replies: the replies.
        part_count: outstanding commands, counting each part of a split one.
        command_bytes: size of the outstanding commands that servers get and have not answered.
        smoothed_reply_bytes: moving average of the reply size.
        measured_count: how many replies are in the average, up to `REPLY_SIZE_SMOOTHING` - 1.
    """

    __slots__ = (
        "command_bytes",
        "measured_count",
        "part_count",
        "replies",
        "smoothed_reply_bytes",
    )

    def __init__(self) -> None:
        """Starts without replies."""
        self.replies: deque[Reply] = deque()
        self.part_count = 0
        self.command_bytes = 0
        self.smoothed_reply_bytes = FIRST_REPLY_BYTES
        self.measured_count = 0

    def add(self, reply: Reply) -> None:
        """Adds the reply to the command that was read last."""
        self.replies.append(reply)
        self.part_count += reply.part_count

    def replace_last(self, reply: Reply) -> None:
        """Replaces the reply that was added last."""
        self.part_count -= self.replies.pop().part_count
        self.add(reply)

    def on_forwarded(self, reply: Reply) -> None:
        """Counts a command, or a part of one, that a server gets."""
        self.command_bytes += reply.command_bytes

    def on_answered(self, reply: Reply) -> None:
        """Stops counting a command, or a part of one, that was answered."""
        self.command_bytes -= reply.command_bytes
        reply.command_bytes = 0

    def is_full(self, memory_pressure: MemoryPressure) -> bool:
        """Returns whether a limit is reached; that of `command_bytes` depends on the memory."""
        return self.part_count >= MAX_OUTSTANDING_PARTS or not memory_pressure.permits(
            self.command_bytes, MAX_COMMAND_BYTES
        )

    def expected_bytes(self) -> int:
        """Returns the expected size of all outstanding replies."""
        return len(self.replies) * self.smoothed_reply_bytes

    def take_ready(self) -> list[bytes]:
        """Removes the replies up to the first unanswered command, and returns them encoded."""
        ready = []
        while self.replies and self.replies[0].encoded is not None:
            reply = self.replies.popleft()
            self.part_count -= reply.part_count
            encoded = reply.take_encoded()
            ready.append(encoded)
            if reply.denied_for_us is None:  # a denial tells nothing of the size of answers
                self._measure(len(encoded))
        return ready

    def _measure(self, reply_bytes: int) -> None:
        """Adds a reply's size to the average."""
        if self.measured_count < REPLY_SIZE_SMOOTHING - 1:
            self.measured_count += 1
        difference = reply_bytes - self.smoothed_reply_bytes
        self.smoothed_reply_bytes += difference // (self.measured_count + 1)
