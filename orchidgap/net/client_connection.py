"""A client's connection, whatever it speaks: how it is rejected, let go and counted."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING

from orchidgap.net.connection import Connection
from orchidgap.net.loop import READ
from orchidgap.net.traffic_counts import CLOSED_HERE, ConnectionEnd

if TYPE_CHECKING:
    from orchidgap.net.client_listener import ClientListener


class ClientConnection:
    """A connection from a client, as far as all protocols have the same need of it."""

    __slots__ = ("conn", "listener", "requests_answered", "requests_read", "since_us")
    is_transferable = False  # whether all that is known of it, while it asks nothing, is its socket

    def __init__(self, listener: ClientListener, sock: socket.socket) -> None:
        """Begin to read from a socket that was accepted."""
        self.listener = listener
        # it came, or began with a request, or was rejected; the turn may have begun long before
        self.since_us = listener.loop.clock()
        self.requests_read = 0  # that were begun to be read, but for those that wait behind one
        self.requests_answered = 0
        self.conn = Connection(listener.loop, sock, self, stamped=True)

    # --- what each protocol does in its own way

    @property
    def request_begun(self) -> bool:
        """Whether part of a request has come."""
        raise NotImplementedError

    @property
    def requests_begun(self) -> int:
        """How many requests were read, in part at least."""
        raise NotImplementedError

    def received(self, view: memoryview) -> None:
        """Bytes came; the view is gone after the call."""
        raise NotImplementedError

    def reject(self, status: int) -> None:
        """Say why nothing more is taken from it: 408 for silence, 503 for no room."""
        raise NotImplementedError

    def on_disconnect(self) -> None:
        """It has gone: what it asked for is of no use any more."""
        raise NotImplementedError

    # --- what is the same for all

    def opened(self) -> None:
        """Nothing: it was open when it was accepted."""

    def on_stalled(self) -> None:
        """A request began, and does not go on."""
        self.reject(408)

    def has_disconnected(self) -> bool:
        """Whether it has gone; asked where something would begin for it.

        Its end is read as all that it sends is, and so not while reading is paused, nor before what
        it sent ahead of that. It is let go after the call under way, which may be a decision's own.
        """
        if not self.conn.peer_has_closed():
            return False
        self.listener.loop.call_soon(self.conn.fail, "closed")
        return True

    def finish(self, read_up_to_us: int = 0) -> None:
        """Let it read its last answer, but keep no other client out by that.

        What it sends from now on is dropped: its connection has ended on this side, so it asks
        elsewhere.

        Args:
            read_up_to_us: Before which time all that had come was read, 0 where that is not known.
        """
        if self.conn.is_open and not self.conn.closing:
            self._tell_closing(ConnectionEnd.FINISHED, read_up_to_us)
            self.since_us = self.listener.loop.clock()
            self.listener.idle.pop(self, None)
            self.listener.awaiting_request.pop(self, None)
            self.listener.closing[self] = None
            self.conn.close_gracefully()
            self._tell_shut()

    def reject_at_once(self) -> None:
        """Answer what it asks, or is about to, with 503, and read what it has sent."""
        self.reject(503)
        self.conn.discard_received()

    def is_idle(self) -> bool:
        """Whether it has nothing to read, and nothing of it is to be read here."""
        return not self.conn.write_buffer and not self.conn.is_stale()

    def ended(self, what: str) -> None:
        """It has gone."""
        if self.conn.closing:
            end = ConnectionEnd.FINISHED
        else:
            end = ConnectionEnd.CLIENT_CLOSED if what == "closed" else ConnectionEnd.BROKEN
        self.close(end)
        self.on_disconnect()

    def let_go(self, end: ConnectionEnd) -> bool:
        """Close it, as it asks nothing, unless it does by now; return whether it was closed.

        What it sent is read in place of the close, which would reset it unread.
        """
        read_up_to_us = self.listener.loop.clock()
        if self.conn.has_unread_bytes():
            self.conn.on_ready(READ)
            return False
        self.close(end, read_up_to_us)
        return True

    def close(self, end: ConnectionEnd, read_up_to_us: int = 0) -> None:
        """Close it without a word.

        Args:
            end: Why.
            read_up_to_us: Before which time all that had come was read, 0 where that is not known.
        """
        if self in self.listener.open_clients:
            if self.conn.is_open and not self.conn.closing:
                self._tell_closing(end, read_up_to_us)
            counts = self.listener.counts
            counts.on_connection_end(end)
            if end in CLOSED_HERE and self.conn.has_unread_bytes():
                counts.closed_with_unread_bytes += 1
        self.conn.close()
        self.listener.forget(self)

    def _tell_closing(self, end: ConnectionEnd, read_up_to_us: int = 0) -> None:
        if self.listener.on_closing:
            self.listener.on_closing(self, end, read_up_to_us)

    def _tell_shut(self) -> None:
        """Tell of a request that came before the shutdown and is not going to be read."""
        is_shut = self.conn.is_open and not self.conn.write_buffer
        if is_shut and self.listener.on_shut_unread and self.conn.has_unread_bytes():
            self.listener.on_shut_unread(self)
