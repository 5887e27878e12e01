"""The listening socket that a process inherits from its parent process."""

from __future__ import annotations

import socket

from orchidgap.errors import ConfigError
from orchidgap.net.receive_timestamps import enable_receive_timestamps

ENVIRONMENT_VARIABLE = "GW_PASSED_SOCKET"


def inherited_listener(number: str) -> socket.socket:
    """Return the listening socket with this descriptor number, with receive timestamps enabled.

    Raises ConfigError where the descriptor is not a listening TCP socket.
    """
    try:
        listener = socket.socket(fileno=int(number))
    except (ValueError, OverflowError, OSError) as error:
        raise ConfigError(
            f"{ENVIRONMENT_VARIABLE} is {number!r}, which is no open socket: {error}"
        ) from None
    try:
        listens = listener.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)
    except OSError:
        listens = 0
    if not listens or (listener.family, listener.type) != (socket.AF_INET, socket.SOCK_STREAM):
        listener.detach()
        raise ConfigError(f"{ENVIRONMENT_VARIABLE} is {number}, which is no listening TCP socket")
    listener.setblocking(False)
    enable_receive_timestamps(listener)
    return listener
