"""A log line for each client's connection that this process closes; used by fault tests only.

A client whose request raced with the close of its connection cannot know whether that request was
read. The line states what this process read and answered on the connection, and when it began to
close it. A second line reports a request that arrived between the process's last check for unread
bytes and the shutdown of the sending side: its client sees an orderly end, as if the request had
arrived before the check.
"""

from __future__ import annotations

import os
import time
from contextlib import suppress
from typing import TYPE_CHECKING

from orchidgap.net.event_log import EventLog
from orchidgap.net.traffic_counts import ConnectionEnd

if TYPE_CHECKING:
    from orchidgap.net.client_connection import ClientConnection
    from orchidgap.net.client_listener import ClientListener

CONNECTION_LOG_VARIABLE = "ORCHIDGAP_CONNECTION_LOG"  # any non-empty value enables the lines
CONNECTION_CLOSED = "connection closed"
CONNECTION_HALF_CLOSED_UNREAD = "connection shut unread"


def monotonic_us() -> int:
    """Return the machine's monotonic time in microseconds, which all its processes share."""
    return time.monotonic_ns() // 1000


class ConnectionLog:
    """Writes the lines to an event log."""

    def __init__(self, event_log: EventLog) -> None:
        """Write the lines to this log."""
        self.event_log = event_log

    def on_closing(self, client: ClientConnection, end: ConnectionEnd, read_up_to_us: int) -> None:
        """Write the state of a connection before it, or its sending side, is closed.

        The logged time precedes the last check for unread bytes: a request that was written before
        that time was read, or is among the unread bytes.
        """
        closed_us = monotonic_us()
        if read_up_to_us:
            closed_us -= client.listener.loop.clock() - read_up_to_us
        facts = {
            "end": end.value,
            "read": client.begun_request_count,
            "answered": client.requests_answered,
            "looked": read_up_to_us > 0,
            "unread": not read_up_to_us and client.conn.has_unread_bytes(),
            "closed_us": closed_us,
        }
        with suppress(OSError):  # reset by the client, which therefore needs no line
            self.event_log(CONNECTION_CLOSED, peer=client.conn.sock.getpeername(), **facts)

    def on_half_closed_unread(self, client: ClientConnection) -> None:
        """Write that a connection's sending side was shut down with unread bytes.

        The logged time is that of a check after the shutdown: the bytes were written before it.
        """
        with suppress(OSError):
            peer = client.conn.sock.getpeername()
            self.event_log(CONNECTION_HALF_CLOSED_UNREAD, peer=peer, shut_us=monotonic_us())


def log_connections_if_enabled(listener: ClientListener, event_log: EventLog) -> None:
    """Log the ends of the listener's connections if the environment enables it."""
    if os.environ.get(CONNECTION_LOG_VARIABLE):
        connection_log = ConnectionLog(event_log)
        listener.on_closing = connection_log.on_closing
        listener.on_half_closed_unread = connection_log.on_half_closed_unread
