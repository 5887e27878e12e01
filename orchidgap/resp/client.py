"""Pools of pipelined connections to slot servers, with a few connections for each server."""

from __future__ import annotations

import socket
from collections.abc import Callable

from orchidgap.net import connection_pools
from orchidgap.net.addresses import Address
from orchidgap.net.attempt_failure import AttemptFailure
from orchidgap.net.loop import Loop
from orchidgap.net.upstream_attempt import UpstreamAttempt
from orchidgap.resp.redirects import Redirect
from orchidgap.resp.slot_server_connection import SlotServerConnection

MAX_CONNECTIONS_PER_SERVER = 2
ANSWER_TIMEOUT_US = 1_500_000  # longest time without bytes while an answer is outstanding
SWEEP_INTERVAL_US = 500_000


class SlotServerConnectionPool(connection_pools.ConnectionPool[SlotServerConnection]):
    """The connections to one server; each carries many commands at once."""

    pools: SlotServerConnectionPools

    @property
    def loop(self) -> Loop:
        """The event loop of the pool."""
        return self.pools.loop

    @property
    def connect_timeout_us(self) -> int:
        """The limit for establishing a connection, in microseconds."""
        return self.pools.connect_timeout_us

    @property
    def secret(self) -> tuple[bytes, ...]:
        """Arguments of AUTH; empty if the servers require no authentication."""
        return self.pools.secret

    @property
    def on_redirect(self) -> Callable[[Redirect], None]:
        """The callback for each redirection."""
        return self.pools.on_redirect

    @property
    def on_map_mismatch(self) -> Callable[[], None]:
        """The callback for signs that the slot map is out of date."""
        return self.pools.on_map_mismatch

    def send(self, attempt: UpstreamAttempt) -> None:
        """Sends an attempt on the connection with the lowest load, or on a new connection.

        A new connection is opened while all connections are busy and the server's limit allows it.
        """
        connection = min(self.connections, key=lambda each: each.load, default=None)
        is_busy = connection is not None and connection.load > 0
        may_dial = len(self.connections) < MAX_CONNECTIONS_PER_SERVER
        if connection is None or (is_busy and may_dial):
            sock = self.pools.dial(self.address)
            if not isinstance(sock, AttemptFailure):
                connection = SlotServerConnection(self, sock)
                self.add(connection)
            elif connection is None:
                self.pools.loop.call_soon(attempt.settle, sock.outcome)
                return
        connection.start_attempt(attempt)

    def retire(self) -> None:
        """Stops sending, as the server is draining or gone; commands in flight may finish."""
        self.retired = True
        for connection in list(self.connections):
            if not connection.load or not connection.is_up:
                connection.on_closed("host is draining")


class SlotServerConnectionPools(connection_pools.ConnectionPools[SlotServerConnectionPool]):
    """The pools of all servers; a host's id is its address as text."""

    def __init__(
        self,
        loop: Loop,
        max_connections: int,
        connect_timeout_us: int,
        secret: tuple[bytes, ...],
        dial: Callable[[Address], socket.socket | AttemptFailure],
        on_redirect: Callable[[Redirect], None],
        on_map_mismatch: Callable[[], None],
    ) -> None:
        """Starts with an empty list of servers.

        Args:
            loop: the event loop.
            max_connections: limit on connections to all servers together.
            connect_timeout_us: limit for establishing a connection, in microseconds.
            secret: arguments of AUTH; empty if the servers require no authentication.
            dial: opens connections.
            on_redirect: called with each redirection.
            on_map_mismatch: called when the slot map seems to be out of date.
        """
        super().__init__(loop, max_connections, connect_timeout_us, SWEEP_INTERVAL_US, dial)
        self.secret = secret
        self.on_redirect = on_redirect
        self.on_map_mismatch = on_map_mismatch

    def make_pool(self, address: Address) -> SlotServerConnectionPool:
        """Returns a pool for a server that was added to the host list."""
        return SlotServerConnectionPool(self, address)

    def close_idle(self) -> bool:
        """Closes the connection that has been idle longest and returns whether one was idle."""
        idle = [
            connection
            for pool in self.by_host.values()
            for connection in pool.connections
            if not connection.load
        ]
        if idle:
            min(idle, key=lambda connection: connection.received_at_us).close()
        return bool(idle)

    def sweep(self) -> None:
        """Closes connections whose answers are overdue; called at intervals."""
        for pool in list(self.by_host.values()):
            for connection in list(pool.connections):
                silent_us = self.loop.now - connection.received_at_us
                is_connected = not connection.conn.connecting
                if connection.expected and is_connected and silent_us > ANSWER_TIMEOUT_US:
                    connection.on_closed("answer timeout")
