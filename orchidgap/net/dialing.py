"""Functions that open sockets: connections to an address, and listeners."""

from __future__ import annotations

import errno
import os
import socket
import struct
from array import array
from contextlib import suppress

from orchidgap.net.addresses import Address
from orchidgap.net.attempt_failure import AttemptFailure, SendProgress, connect_failure_cause

CONNECTING_ERRNOS = frozenset((0, errno.EINPROGRESS, errno.EINTR))
# Linux: the field of a listener's TCP_INFO that holds the number of connections in its backlog
TCP_INFO_WAITING = struct.Struct("24xI")
OUT_OF_RESOURCES_ERRNOS = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM))
# Linux: a classic BPF program that the kernel runs on each segment for a listener. The fields of an
# instruction are the code, the jumps if true and if false, and the operand. The program drops
# segments that begin a handshake (SYN without ACK) and passes all others.
SO_ATTACH_FILTER = 26
FILTER_INSTRUCTION = struct.Struct("HBBI")
FILTER_PROGRAM = struct.Struct("HP")  # the number of instructions and their address
TCP_FLAGS_OFFSET = 13
SYN = 0x02
ACK = 0x10
DROP_HANDSHAKES = (
    (0x30, 0, 0, TCP_FLAGS_OFFSET),  # load the byte of flags
    (0x54, 0, 0, SYN | ACK),  # mask it with SYN and ACK
    (0x15, 0, 1, SYN),  # if only SYN is set continue, otherwise skip one instruction
    (0x06, 0, 0, 0),  # return: drop
    (0x06, 0, 0, 0xFFFFFFFF),  # return: pass
)


def dial(address: Address) -> socket.socket | AttemptFailure:
    """Start a connection to the address; return its socket, or why it could not be started."""
    try:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
    except OSError as error:
        cause = "short" if error.errno in OUT_OF_RESOURCES_ERRNOS else "broken"
        return AttemptFailure(SendProgress.UNSENT, cause, error.strerror or "no socket")
    try:
        number = sock.connect_ex(address)
    except OSError:  # the address is malformed
        number = errno.EINVAL
    if number in CONNECTING_ERRNOS:
        return sock
    sock.close()
    detail = os.strerror(number)
    return AttemptFailure(SendProgress.UNSENT, connect_failure_cause(detail), detail)


def open_listener(address: Address, backlog: int) -> socket.socket:
    """Open a socket that listens at the address. Raises OSError."""
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(address)
        listener.listen(backlog)
    except OSError:
        listener.close()
        raise
    return listener


def stop_handshakes(listener: socket.socket) -> None:
    """Have the kernel begin no more handshakes at a listener, if the kernel supports that.

    Connections in the backlog or in a handshake are still established. A client that dials from now
    on receives no reply until the listener is closed, and is refused then.

    >>> with socket.create_server(("127.0.0.1", 0)) as listener, socket.socket() as client:
    ...     stop_handshakes(listener)
    ...     client.setblocking(False)
    ...     client.connect_ex(listener.getsockname()) == errno.EINPROGRESS
    True
    """
    program = array("B", b"".join(FILTER_INSTRUCTION.pack(*each) for each in DROP_HANDSHAKES))
    address, _ = program.buffer_info()
    with suppress(OSError):
        listener.setsockopt(
            socket.SOL_SOCKET, SO_ATTACH_FILTER, FILTER_PROGRAM.pack(len(DROP_HANDSHAKES), address)
        )


def backlog_length(listener: socket.socket) -> int:
    """Return the number of connections that wait to be accepted; 0 if not known.

    >>> with socket.create_server(("127.0.0.1", 0)) as listener:
    ...     with socket.create_connection(listener.getsockname()):
    ...         backlog_length(listener)
    1
    """
    try:
        tcp_info = listener.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_WAITING.size)
        (waiting,) = TCP_INFO_WAITING.unpack(tcp_info)
    except (OSError, struct.error):
        return 0
    return int(waiting)
