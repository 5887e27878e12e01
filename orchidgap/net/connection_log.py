"""A log line for each client's connection that this process closes: for fault tests alone.

A client whose request met the end of its connection can't tell whether that request was read. The
line tells what this process read and answered on the connection, and when it began to close it. A
second line tells of a request that came between the process's last look and its shutdown: its
client sees an end in order, as if the request had come before the look.
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

CONNECTION_LOG_VARIABLE = "ORCHIDGAP_CONNECTION_LOG"  # any text in it switches the lines on
CONNECTION_CLOSED = "connection closed"
CONNECTION_SHUT_UNREAD = "connection shut unread"


def monotonic_us() -> int:
    """Microseconds of the clock that all processes of a machine read, and that never jumps."""
    return time.monotonic_ns() // 1000


class ConnectionLog:
    """Writes the lines."""

    def __init__(self, event_log: EventLog) -> None:
        """Write to this log."""
        self.event_log = event_log

    def on_closing(self, client: ClientConnection, end: ConnectionEnd, read_up_to_us: int) -> None:
        """Write what is known of a connection that is about to be closed, or shut for sending.

        The time is that before the last look for unread bytes: a request that was written before it
        was read, or is among them.
        """
        closed_us = monotonic_us()
        if read_up_to_us:
            closed_us -= client.listener.loop.clock() - read_up_to_us
        facts = {
            "end": end.value,
            "read": client.requests_begun,
            "answered": client.requests_answered,
            "looked": read_up_to_us > 0,
            "unread": not read_up_to_us and client.conn.has_unread_bytes(),
            "closed_us": closed_us,
        }
        with suppress(OSError):  # its client has reset it: who would ask for this line has gone
            self.event_log(CONNECTION_CLOSED, peer=client.conn.sock.getpeername(), **facts)

    def on_shut_unread(self, client: ClientConnection) -> None:
        """Write that a connection was shut for sending over bytes that were not read.

        The time is that of a look behind the shutdown: what was found had been written before.
        """
        with suppress(OSError):
            peer = client.conn.sock.getpeername()
            self.event_log(CONNECTION_SHUT_UNREAD, peer=peer, shut_us=monotonic_us())


def log_connections_if_asked(listener: ClientListener, event_log: EventLog) -> None:
    """Log the ends of the listener's connections if the environment asks for it."""
    if os.environ.get(CONNECTION_LOG_VARIABLE):
        connection_log = ConnectionLog(event_log)
        listener.on_closing = connection_log.on_closing
        listener.on_shut_unread = connection_log.on_shut_unread
