"""Sockets of the virtual network, which count calls that may have made a socket ready.

Both ends of each connection are in this process: only its own calls can make an end ready.
"""

from __future__ import annotations

import socket
from typing import Any


class SocketActivity:
    """Counts the calls that may have made a socket ready.

    Attributes:
        count: The number of calls so far on all virtual sockets of the process.
    """

    __slots__ = ("count",)

    def __init__(self) -> None:
        """Start at zero."""
        self.count = 0


ACTIVITY = SocketActivity()


class VirtualSocket(socket.socket):
    """An end of a connection. Counts each call that may make either end ready.

    Reads count too, as they free buffer space for the other end's writes.
    """

    __slots__ = ()

    def send(self, *arguments: Any) -> int:
        """Write, as `socket.send` does."""
        ACTIVITY.count += 1
        return super().send(*arguments)

    def sendall(self, *arguments: Any) -> None:
        """Write all, as `socket.sendall` does."""
        ACTIVITY.count += 1
        super().sendall(*arguments)

    def sendmsg(self, *arguments: Any) -> int:
        """Write several buffers, as `socket.sendmsg` does."""
        ACTIVITY.count += 1
        return super().sendmsg(*arguments)

    def recv(self, *arguments: Any) -> bytes:
        """Read, as `socket.recv` does."""
        ACTIVITY.count += 1
        return super().recv(*arguments)

    def recv_into(self, *arguments: Any) -> int:
        """Read into a buffer, as `socket.recv_into` does."""
        ACTIVITY.count += 1
        return super().recv_into(*arguments)

    def shutdown(self, how: int) -> None:
        """End one direction, as `socket.shutdown` does."""
        ACTIVITY.count += 1
        super().shutdown(how)

    def close(self) -> None:
        """Close the socket, as `socket.close` does."""
        ACTIVITY.count += 1
        super().close()

    def detach(self) -> int:
        """Detach the descriptor, as `socket.detach` does; its new owner may make an end ready."""
        ACTIVITY.count += 1
        return super().detach()


def connected_pair() -> tuple[VirtualSocket, VirtualSocket]:
    """Return the two non-blocking ends of a new connection."""
    near, far = (
        VirtualSocket(socket.AF_UNIX, socket.SOCK_STREAM, 0, end.detach())
        for end in socket.socketpair(socket.AF_UNIX, socket.SOCK_STREAM)
    )
    near.setblocking(False)
    far.setblocking(False)
    return near, far
