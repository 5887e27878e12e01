"""The network of a simulation on real sockets: loopback addresses and the system's clock."""

from __future__ import annotations

import os
import socket
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from typing import NamedTuple

from orchidgap.net.addresses import Address
from orchidgap.net.attempt_failure import AttemptFailure
from orchidgap.net.connection import LINGER_RESET
from orchidgap.net.dialing import dial
from orchidgap.net.loop import READ, Loop
from orchidgap.simulation.listening_queue import LISTEN_BACKLOG
from orchidgap.simulation.virtual_network import AcceptCallback

MAX_ACCEPTS_PER_TURN = 64


class LoopbackListener(NamedTuple):
    """A listening socket and the callback that accepts its connections."""

    sock: socket.socket
    on_readable: Callable[[int], None]


class LoopbackNetwork:
    """Listeners by address.

    `on_listener_change` is called with the address of each listener that opens (True) or closes.
    """

    virtual = False

    def __init__(self) -> None:
        """Start with no listeners, on a new loop."""
        self.loop: Loop = Loop()
        self.listeners: dict[Address, LoopbackListener] = {}
        self.on_listener_change: Callable[[Address, bool], None] = lambda address, is_open: None

    def listen(self, address: Address, accept: AcceptCallback) -> None:
        """Listen at an address and call `accept` with each connection. Raises OSError."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(address)
        sock.listen(LISTEN_BACKLOG)

        def on_readable(mask: int) -> None:
            for _ in range(MAX_ACCEPTS_PER_TURN):
                try:
                    connection, _ = sock.accept()
                except OSError:
                    return
                accept(connection, "")

        self.listeners[address] = LoopbackListener(sock, on_readable)
        self.loop.watch(sock, READ, on_readable)
        self.on_listener_change(address, True)

    def unlisten(self, address: Address) -> None:
        """Close the listener at an address, if there is one."""
        if address in self.listeners:
            listener = self.listeners.pop(address)
            with suppress(KeyError):
                self.loop.unwatch(listener.sock)
            listener.sock.close()
            self.on_listener_change(address, False)

    def reset(self, far: socket.socket) -> None:
        """Make a connection's other end see a reset when this end, `far`, is closed."""
        with suppress(OSError):
            far.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)

    def set_silent(self, address: Address, silent: bool) -> None:
        """Do nothing: the kernel completes handshakes whatever the listening process does.

        A silent host continues to accept connections and read requests, so that the checker is
        notified of them, and does not answer. When it returns it resets all connections.
        """

    @staticmethod
    def connection_number(near: socket.socket) -> int:
        """Return the number that identifies a client's connection at both ends: its port."""
        port: int = near.getsockname()[1]
        return port

    def dial(self, address: Address) -> socket.socket | AttemptFailure:
        """Connect to an address, as the balancer does."""
        return dial(address)


def cpu_seconds_of(pid: int) -> float:
    """Return the seconds of CPU that a process has used so far.

    Raises:
        OSError: There is no such process.
    """
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    user_ticks = int(fields[11])
    system_ticks = int(fields[12])
    return (user_ticks + system_ticks) / os.sysconf("SC_CLK_TCK")
