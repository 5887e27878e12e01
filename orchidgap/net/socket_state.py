"""What the kernel tells of the other end of a connection, and of bytes that were not read."""

from __future__ import annotations

import fcntl
import select
import socket
import struct
import termios

SO_MEMINFO = 55
MEMINFO = struct.Struct("II")  # memory of received bytes, and the most that it may be
BYTE_COUNT = struct.Struct("i")
# `struct tcp_info` up to `tcpi_rcv_wnd`, of which these fields are read: `tcpi_rcv_ssthresh`,
# `tcpi_advmss` and, since Linux 6.2, `tcpi_rcv_wnd`.
TCP_INFO_BYTES = 236
WINDOW_LIMIT = struct.Struct("64xI")
SEGMENT_SIZE = struct.Struct("84xI")
OFFERED_WINDOW = struct.Struct("232xI")


def peer_has_closed(sock: socket.socket) -> bool:
    """Whether the peer has closed, even if bytes that it sent before are still unread."""
    poll = select.poll()
    poll.register(sock, select.POLLRDHUP)
    return bool(poll.poll(0))


def may_hide_close(sock: socket.socket) -> bool:
    """Whether the peer may have closed behind bytes that its kernel could not deliver yet.

    Its end of the stream comes after these. They wait there only while the receive buffer here is
    so full that the kernel may accept no more.
    """
    if sock.family == socket.AF_UNIX:
        return False
    try:
        packed = sock.getsockopt(socket.SOL_SOCKET, SO_MEMINFO, MEMINFO.size)
        received, capacity = MEMINFO.unpack(packed)
    except (OSError, struct.error):
        return False
    is_half_full: bool = received * 2 >= capacity
    return is_half_full


def is_readable(sock: socket.socket) -> bool:
    """Whether a read would return at once: with bytes, the end of the stream, or an error."""
    try:
        sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return False
    except OSError:
        pass
    return True


def has_unread_bytes(sock: socket.socket) -> bool:
    """Whether received bytes have not been read yet; closing now would reset the connection."""
    try:
        return bool(sock.recv(1, socket.MSG_PEEK))
    except OSError:
        return False


def count_unread_bytes(sock: socket.socket) -> int:
    """Return how many bytes have arrived and were not read; 0 if that is not known."""
    try:
        packed = fcntl.ioctl(sock, termios.FIONREAD, bytes(BYTE_COUNT.size))
    except OSError:
        return 0
    count: int = BYTE_COUNT.unpack(packed)[0]
    return count


def is_peer_blocked(sock: socket.socket, unread_bytes: int) -> bool:
    """Whether the peer's kernel may be unable to send, as the receive window is nearly used up.

    The window that the kernel tells is that of its last acknowledgement, which may be older than
    all `unread_bytes`. A peer waits until a whole segment fits, or half of the largest window that
    it was offered. What the kernel does not tell counts as blocked.
    """
    if sock.family == socket.AF_UNIX:
        return False  # all that was written has arrived
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
        [limit_bytes] = WINDOW_LIMIT.unpack_from(info)
        [segment_bytes] = SEGMENT_SIZE.unpack_from(info)
        offered_bytes = limit_bytes
        if len(info) >= OFFERED_WINDOW.size:
            [offered_bytes] = OFFERED_WINDOW.unpack_from(info)
    except (OSError, struct.error):
        return True
    needed_bytes = min(segment_bytes, max(limit_bytes, offered_bytes) // 2)
    is_blocked: bool = offered_bytes - unread_bytes < needed_bytes
    return is_blocked
