"""A client's connection of any protocol: how it is rejected, closed and counted."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING

from orchidgap.net.connection import Connection
from orchidgap.net.loop import READ
from orchidgap.net.traffic_counts import CLOSED_HERE, ConnectionEnd

if TYPE_CHECKING:
    from orchidgap.net.client_listener import ClientListener


class ClientConnection:
    """The part of a client's connection that all protocols share."""

    __slots__ = ("conn", "listener", "requests_answered", "requests_read", "since_us")
    is_transferable = False  # whether an idle connection has no state besides its socket

    def __init__(self, listener: ClientListener, sock: socket.socket) -> None:
        """Start reading from a socket that was accepted."""
        self.listener = listener
        # When the connection was accepted, began a request, made progress with a body or was sent
        # its last answer, whichever was last. Read from the clock, as the turn may have begun long
        # before.
        self.since_us = listener.loop.clock()
        # requests read so far; `begun_request_count` adds those that a protocol does not count here
        self.requests_read = 0
        self.requests_answered = 0
        self.conn = Connection(listener.loop, sock, self, with_timestamps=True, deferrable=True)

    @property
    def booked_bytes(self) -> int:
        """What the connection has booked in the memory account; 0 for protocols that book none."""
        return 0

    # --- implemented by each protocol

    @property
    def request_begun(self) -> bool:
        """Whether part of a request has arrived."""
        raise NotImplementedError

    @property
    def begun_request_count(self) -> int:
        """The number of requests that were read at least in part."""
        raise NotImplementedError

    def on_data(self, view: memoryview) -> None:
        """Handle bytes that were read; the view is valid during the call only."""
        raise NotImplementedError

    def reject(self, status: int) -> None:
        """Answer with a status and close: 408 after a timeout, 503 for lack of capacity."""
        raise NotImplementedError

    def on_disconnect(self) -> None:
        """Handle that the client has disconnected, so that its requests need no answer."""
        raise NotImplementedError

    def end_when_answered(self) -> None:
        """End the connection as soon as what was read is answered; called repeatedly in a drain.

        Nothing to do for a protocol whose every answer is the last one in a drain.
        """

    def deny_waiting(self) -> None:
        """Answer the requests that were read and not passed to the handler, as the process ends.

        Nothing to do for a protocol that passes one request of a connection at a time.
        """

    # --- the same for all protocols

    def on_connected(self) -> None:
        """Do nothing: an accepted connection is established already."""

    def on_stalled(self) -> None:
        """Reject the client, as its request has not arrived completely in time."""
        self.reject(408)

    def has_disconnected(self) -> bool:
        """Whether the client has closed the connection; checked before work is started for it.

        The end of the stream is otherwise noticed by reading, and so neither while reading is
        paused nor before the bytes ahead of it are read. The connection is closed after the current
        callback, which may be a call of the decisions.
        """
        if not self.conn.peer_has_closed():
            return False
        self.listener.loop.call_soon(self.conn.fail, "closed")
        return True

    def finish(self, read_up_to_us: int = 0) -> None:
        """Let the client read its last answer, without occupying the place of another client.

        Bytes that it sends from now on are discarded: it sees the end of the connection, and is
        expected to send its next request elsewhere.

        Args:
            read_up_to_us: All bytes that arrived before this time have been read; 0 if not known.
        """
        if self.conn.is_open and not self.conn.closing:
            self._notify_closing(ConnectionEnd.FINISHED, read_up_to_us)
            self.since_us = self.listener.loop.clock()
            self.listener.idle.pop(self, None)
            self.listener.awaiting_request.pop(self, None)
            self.listener.closing[self] = None
            self.conn.close_gracefully()
            self._notify_half_closed_unread()

    def reject_at_once(self) -> None:
        """Answer its current or next request with 503, and read and discard what it has sent."""
        self.reject(503)
        self.conn.discard_received()

    def is_idle(self) -> bool:
        """Whether no bytes are waiting to be sent or read, and the client has not closed."""
        return not self.conn.write_buffer and not self.conn.is_stale()

    def on_closed(self, reason: str) -> None:
        """Handle the end of the connection: count it and release its requests."""
        if self.conn.closing:
            end = ConnectionEnd.FINISHED
        else:
            end = ConnectionEnd.CLIENT_CLOSED if reason == "closed" else ConnectionEnd.BROKEN
        self.close(end)
        self.on_disconnect()

    def close_unless_unread(self, end: ConnectionEnd) -> bool:
        """Close the connection unless unread bytes have arrived; return whether it was closed.

        Unread bytes are read instead, as closing would reset the connection.
        """
        read_up_to_us = self.listener.loop.clock()
        if self.conn.has_unread_bytes():
            self.conn.on_ready(READ)
            return False
        self.close(end, read_up_to_us)
        return True

    def close(self, end: ConnectionEnd, read_up_to_us: int = 0) -> None:
        """Close the connection without an answer.

        Args:
            end: How the connection ended, for the counts.
            read_up_to_us: All bytes that arrived before this time have been read; 0 if not known.
        """
        if self in self.listener.open_clients:
            if self.conn.is_open and not self.conn.closing:
                self._notify_closing(end, read_up_to_us)
            counts = self.listener.counts
            counts.on_connection_end(end)
            if end in CLOSED_HERE and self.conn.has_unread_bytes():
                counts.closed_with_unread_bytes += 1
        self.conn.close()
        self.listener.forget(self)

    def _notify_closing(self, end: ConnectionEnd, read_up_to_us: int = 0) -> None:
        if self.listener.on_closing:
            self.listener.on_closing(self, end, read_up_to_us)

    def _notify_half_closed_unread(self) -> None:
        """Report bytes that arrived before the sending side was shut down and are not processed."""
        is_half_closed = self.conn.is_open and not self.conn.write_buffer
        if is_half_closed and self.listener.on_half_closed_unread and self.conn.has_unread_bytes():
            self.listener.on_half_closed_unread(self)
