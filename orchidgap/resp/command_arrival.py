"""When the commands of a client that is not read can have been written at the earliest.

The time of a command counts from its last byte's write. Reading pauses while a client has too many
commands without a reply, and what it writes meanwhile waits in the kernels of both machines. Each
look at the connection tells how far the client can have written by then (`net/send_backlog`): what
is read beyond that was written later.
"""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

from orchidgap.net.connection import Connection
from orchidgap.net.send_backlog import SETTLE_US, SendBacklog

LOOK_INTERVAL_US = 10_000  # while reading is paused


class Look(NamedTuple):
    """One look at a connection.

    Attributes:
        at_us: when that was.
        end: the bytes that the client can have written by then at the most, counted from the start.
    """

    at_us: int
    end: int


class CommandArrival:
    """Follows the bytes of one client from when reading from it was first paused.

    Attributes:
        conn: the client's connection.
        received_bytes: bytes that were read since the start, as the connection's owner counts them.
        written_at_us: the earliest time at which the bytes up to those asked for last can have been
            written.
        looks: looks at the connection that tell about later bytes, the oldest first.
    """

    __slots__ = ("backlog", "conn", "looks", "received_bytes", "written_at_us")

    def __init__(self, conn: Connection) -> None:
        """Starts when the last bytes that have arrived were read."""
        self.conn = conn
        self.backlog = SendBacklog(conn)
        self.received_bytes = 0
        self.written_at_us = conn.received_at_us
        self.looks: deque[Look] = deque()
        conn.read_observer = self
        self.observe()

    @property
    def is_following(self) -> bool:
        """Whether the bytes are still followed; no longer once everything was read."""
        return self.conn.read_observer is self

    def observe(self) -> None:
        """Looks at the connection, unless it was looked at just now."""
        if self._has_not_looked_for(LOOK_INTERVAL_US):
            self._look()

    def _has_not_looked_for(self, duration_us: int) -> bool:
        return not self.looks or self.conn.loop.now >= self.looks[-1].at_us + duration_us

    def _look(self) -> None:
        if self.conn.is_open:
            end = self.received_bytes + self.backlog.max_bytes()
            self.looks.append(Look(self.conn.loop.now, end))

    def on_resumed(self) -> None:
        """Looks at the connection as reading goes on, and ends if nothing has waited."""
        self._look()
        if self.looks and self.looks[-1].end == self.received_bytes:
            self._stop()

    def _stop(self) -> None:
        if self.is_following:
            self.conn.read_observer = None

    def earliest_write_us(self, unhandled_bytes: int) -> int:
        """Returns when the last byte that was handled can have been written at the earliest.

        `unhandled_bytes`: how many bytes were read after it.
        """
        handled = self.received_bytes - unhandled_bytes
        while self.looks and self.looks[0].end < handled:
            self.written_at_us = max(self.written_at_us, self.looks.popleft().at_us)
        return self.written_at_us

    # --- calls of the connection

    def before_read(self) -> None:
        """Looks at the connection before it is read, which opens its window.

        What arrives after a rest, from a client that is not held back, has its own timestamps.
        """
        has_rested = self._has_not_looked_for(SETTLE_US)
        self.observe()
        if has_rested and self.conn.timestamps_enabled and not self.backlog.is_held_back:
            self._stop()

    def after_read(self, is_drained: bool) -> None:
        """Ends once everything was read of a client that is not held back."""
        if is_drained and not self.conn.read_paused and not self.backlog.is_held_back:
            self._stop()
