"""Kernel timestamps of the bytes that are read from a socket (Linux, SO_TIMESTAMPNS)."""

from __future__ import annotations

import socket
import struct
from collections.abc import Iterable

SO_TIMESTAMPNS = 35
TIMESTAMP = struct.Struct("qq")  # seconds, nanoseconds
ANCILLARY_BYTES = socket.CMSG_SPACE(TIMESTAMP.size)  # the buffer size that a timestamp needs
MAX_TIMESTAMP_AGE_US = 60_000_000  # a higher age means that the system clock was set


def enable_receive_timestamps(sock: socket.socket) -> bool:
    """Have the kernel timestamp received bytes; return whether that was accepted.

    The kernel takes timestamps only while some open socket on the machine has them enabled, and
    starts shortly after the first one has: bytes that arrived before have no timestamp. An accepted
    connection inherits the option from its listener.

    >>> with socket.create_server(("127.0.0.1", 0)) as listener:
    ...     enabled = enable_receive_timestamps(listener)
    ...     with socket.create_connection(listener.getsockname()):
    ...         accepted, _ = listener.accept()
    ...         with accepted:
    ...             enabled, accepted.getsockopt(socket.SOL_SOCKET, SO_TIMESTAMPNS)
    (True, 1)
    """
    try:
        sock.setsockopt(socket.SOL_SOCKET, SO_TIMESTAMPNS, 1)
    except OSError:
        return False
    return True


def receive_age_us(ancillary_data: Iterable[tuple[int, int, bytes]], now_ns: int) -> int | None:
    """Return how long ago the kernel received the bytes that were read, or None if not known.

    Args:
        ancillary_data: What `recvmsg` returned with the bytes: level, type and data of each item.
        now_ns: The time of the system's clock.

    >>> note = (socket.SOL_SOCKET, SO_TIMESTAMPNS, TIMESTAMP.pack(7, 1000))
    >>> receive_age_us([note], 7_000_251_000)
    250
    >>> late = [(socket.SOL_SOCKET, SO_TIMESTAMPNS, TIMESTAMP.pack(7, 0))]
    >>> receive_age_us([], 7), receive_age_us(late, 6_999_999_999)
    (None, None)
    """
    for level, kind, data in ancillary_data:
        if (level, kind, len(data)) == (socket.SOL_SOCKET, SO_TIMESTAMPNS, TIMESTAMP.size):
            seconds, nanoseconds = TIMESTAMP.unpack(data)
            age_us: int = (now_ns - seconds * 1_000_000_000 - nanoseconds) // 1000
            return age_us if 0 <= age_us < MAX_TIMESTAMP_AGE_US else None
    return None
