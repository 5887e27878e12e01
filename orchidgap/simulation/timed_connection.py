"""A simulated part's connection, whose received data has the kernel's times.

The arrival time of data then does not depend on when this process reads it. The kernel stamps data
with the time of the last segment in it. A FIN of the other side is a segment too: it is merged with
unread data, which then has the time of the FIN. `TCP_INFO` gives the age of the last segment with
data, which is used to correct that.
"""

from __future__ import annotations

import socket
import struct

from orchidgap.net.connection import Connection

TCP_INFO_LAST_DATA = struct.Struct("52xI")  # tcpi_last_data_recv, in milliseconds
# the kernel measures that age in ticks of at most this length
MAX_TICK_US = 10_000


def last_data_age_us(sock: socket.socket) -> int:
    """Return how long ago the last segment with data arrived, with the precision of a kernel tick.

    Args:
        sock: A TCP socket that has received data.

    Returns:
        The age in microseconds, 0 if the system does not provide it.
    """
    try:
        facts = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_LAST_DATA.size)
        (age_ms,) = TCP_INFO_LAST_DATA.unpack(facts)
    except (OSError, struct.error):
        return 0
    return int(age_ms) * 1000


class TimedConnection(Connection):
    """A connection with the arrival time of the data that it read, also if a FIN followed."""

    __slots__ = ()

    def receive(self) -> int:
        """Read into the loop's buffer, and set the arrival time of the last data."""
        count = super().receive()
        if count and self.timestamps_enabled:
            data_arrived_us = self.loop.clock() - last_data_age_us(self.sock)
            if data_arrived_us < self.received_at_us - MAX_TICK_US:
                self.received_at_us = data_arrived_us
        return count
