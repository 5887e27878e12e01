"""Two processes of one balancer, while a new version takes the place of an old one."""

from __future__ import annotations

import socket

from orchidgap.net.start import BadStart


def inherited(number: str) -> socket.socket:
    """The listening socket that this process was given, by its descriptor's number. Raises BadStart."""
    try:
        listener = socket.socket(fileno=int(number))
    except (ValueError, OverflowError, OSError) as trouble:
        raise BadStart(f"GW_PASSED_SOCKET is {number!r}, which is no open socket: {trouble}") from None
    try:
        listens = listener.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)
    except OSError:
        listens = 0
    if not listens or (listener.family, listener.type) != (socket.AF_INET, socket.SOCK_STREAM):
        listener.detach()
        raise BadStart(f"GW_PASSED_SOCKET is {number}, which is no listening TCP socket")
    listener.setblocking(False)
    return listener
