"""How far the peer of a connection can have written ahead of what was read from it.

While reading from a peer is paused, its receive window is used up, and what it writes after that
waits in its own kernel, where it cannot be seen. That nothing is unread then proves nothing, as the
peer's kernel sends what waits only once the window is open again. So the peer is taken to be held
back until its window has stayed open for longer than its kernel needs to use it.
"""

from __future__ import annotations

from orchidgap.net import socket_state
from orchidgap.net.connection import Connection

# Bytes that the kernel of a peer may hold unsent: the most that Linux allows by default, and the
# segment with which it notices that.
MAX_SEND_BUFFER_BYTES = (4 << 20) + (64 << 10)
# A peer's kernel uses a window that has opened within this time, also if it has to send again.
SETTLE_US = 250_000


class SendBacklog:
    """What the peer of one connection may have written and was not read."""

    __slots__ = ("_blocked_at_us", "_conn", "_loop")

    def __init__(self, conn: Connection) -> None:
        """Follow a connection whose peer is not known to be held back."""
        self._conn = conn
        self._loop = conn.loop
        self._blocked_at_us: int | None = None  # when the peer was last seen blocked

    @property
    def is_held_back(self) -> bool:
        """Whether the peer's kernel may hold bytes that it could not send."""
        blocked_at_us = self._blocked_at_us
        return blocked_at_us is not None and self._loop.now - blocked_at_us < SETTLE_US

    def max_bytes(self) -> int:
        """Return the most bytes that the peer can have written beyond those that were read.

        Looks at the connection, which has to be done before it is read: that opens its window.
        """
        unread_bytes = self._conn.count_unread_bytes()
        if socket_state.is_peer_blocked(self._conn.sock, unread_bytes):
            self._blocked_at_us = self._loop.clock()
        return unread_bytes + (MAX_SEND_BUFFER_BYTES if self.is_held_back else 0)
