"""The network of a simulation on the virtual clock: connections are socket pairs.

It has the methods of `loopback_network.LoopbackNetwork`, so that simulated peers run on both.
"""

from __future__ import annotations

import os
import socket
from collections.abc import Callable
from contextlib import suppress
from weakref import WeakKeyDictionary

from orchidgap.net.addresses import Address
from orchidgap.net.attempt_failure import AttemptFailure, SendProgress
from orchidgap.simulation.balancer_loop import BalancerLoop
from orchidgap.simulation.listening_queue import ListeningQueue
from orchidgap.simulation.virtual_clock import VirtualClockLoop
from orchidgap.simulation.virtual_socket import connected_pair

DEFAULT_ROUND_TRIP_US = 400
SILENT_CONNECTION_TIMEOUT_US = 60_000_000
UNREAD_BYTE = b"?"  # closing a socket with an unread byte causes an error at its peer, as a reset

# called with a connection and the name of the balancer that dialled it ("" for a client)
AcceptCallback = Callable[[socket.socket, str], None]


class VirtualNetwork:
    """Listeners by address, and which of them cannot be reached.

    `cut` contains pairs of a balancer's name and an address that it cannot reach, `silent` the
    addresses that no balancer can reach. `round_trip` returns, for a balancer's name and an
    address, the time in microseconds until a connection is established.
    """

    virtual = True

    def __init__(self) -> None:
        """Start with no listeners, on a new virtual clock."""
        self.loop: VirtualClockLoop = VirtualClockLoop()
        self.listeners: dict[Address, AcceptCallback | ListeningQueue] = {}
        self.silent: dict[Address, bool] = {}
        self.cut: dict[tuple[str, Address], bool] = {}
        self.balancer_ends: WeakKeyDictionary[socket.socket, socket.socket] = WeakKeyDictionary()
        self.client_connections: WeakKeyDictionary[socket.socket, int] = WeakKeyDictionary()
        self.round_trip: Callable[[str, Address], int] = lambda name, address: DEFAULT_ROUND_TRIP_US

    def listen(self, address: Address, accept: AcceptCallback) -> None:
        """Call `accept` with each connection to an address."""
        self.listeners[address] = accept

    def unlisten(self, address: Address) -> None:
        """Refuse connections to an address from now on."""
        listener = self.listeners.pop(address, None)
        if isinstance(listener, ListeningQueue):
            listener.close()

    def set_silent(self, address: Address, silent: bool) -> None:
        """Set whether connections to an address are neither established nor refused."""
        self.silent[address] = silent

    def dial(self, address: Address) -> socket.socket | AttemptFailure:
        """Connect a client at once; clients simulate their network latency themselves."""
        listener = self.listeners.get(address)
        if listener is None or (isinstance(listener, ListeningQueue) and not listener.open):
            return AttemptFailure(SendProgress.UNSENT, "broken", "Connection refused")
        near, far = connected_pair()
        self.client_connections[near] = socket_number(far)
        if isinstance(listener, ListeningQueue):
            listener.connect(far)
        else:
            listener(far, "")
        return near

    def connection_number(self, near: socket.socket) -> int:
        """Return the number that identifies a client's connection at both ends."""
        return self.client_connections[near]

    def dial_from(
        self, loop: BalancerLoop, name: str, address: Address
    ) -> socket.socket | AttemptFailure:
        """Connect the balancer `name`.

        The connection is established or refused a round trip later, or never.
        """
        near, far = connected_pair()
        if self.silent.get(address) or self.cut.get((name, address)):
            loop.opening[near] = None
            self.loop.call_later(SILENT_CONNECTION_TIMEOUT_US, far.close)
            return near
        opens_at_us = self.loop.time + max(1, self.round_trip(name, address))
        loop.opening[near] = opens_at_us
        self.balancer_ends[far] = near
        listener = self.listeners.get(address)
        if listener is None or isinstance(listener, ListeningQueue):
            near.send(UNREAD_BYTE)
            self.loop.call_at(opens_at_us - 1, far.close)
        else:
            self.loop.call_at(opens_at_us - 1, self.accept, address, far, name)
        return near

    def reset(self, far: socket.socket) -> None:
        """Make the balancer's end fail with an error when the host closes its end, `far`."""
        near = self.balancer_ends.get(far)
        if near and near.fileno() >= 0:
            with suppress(OSError):
                near.send(UNREAD_BYTE)

    def accept(self, address: Address, far: socket.socket, name: str) -> None:
        """Pass the host its end of a connection, or close it if the host no longer listens."""
        listener = self.listeners.get(address)
        if listener is None or isinstance(listener, ListeningQueue):
            far.close()
        else:
            listener(far, name)


def socket_number(sock: socket.socket) -> int:
    """Return a unique number of a socket, which stays if another process receives the socket."""
    return os.fstat(sock.fileno()).st_ino
