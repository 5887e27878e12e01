"""Pools of HTTP/1.1 connections to the cache hosts and the origin, one pool for each host."""

from __future__ import annotations

import socket
from collections import deque
from collections.abc import Callable
from typing import Any

from orchidgap.decisions.connection_demand import ConnectionDemand
from orchidgap.http1.host_connection import HostConnection
from orchidgap.net import connection_pools
from orchidgap.net.addresses import Address
from orchidgap.net.attempt_failure import AttemptFailure
from orchidgap.net.dialing import dial
from orchidgap.net.loop import Loop
from orchidgap.net.memory_pressure import MemoryPressure
from orchidgap.net.upstream_attempt import UpstreamAttempt

SWEEP_INTERVAL_US = 1_000_000
STREAM_STALL_TIMEOUT_US = 10_000_000  # longest time between two parts of a streamed response


class HostConnectionPool(connection_pools.ConnectionPool[HostConnection]):
    """The connections to one host, one attempt at a time on each.

    Attributes:
        idle: connections without an attempt, the most recently used one last.
        demand: how many connections were recently needed at the same time.
        shortest_latency_us: the shortest latency of the host's responses.
        response_count: how many responses `shortest_latency_us` is based on.
    """

    pools: HostConnectionPools

    def __init__(self, pools: HostConnectionPools, address: Address) -> None:
        """Creates a pool without connections."""
        super().__init__(pools, address)
        self.idle: deque[HostConnection] = deque()
        self.demand = ConnectionDemand(pools.loop.now)
        self.shortest_latency_us = 0
        self.response_count = 0

    @property
    def loop(self) -> Loop:
        """The event loop."""
        return self.pools.loop

    @property
    def memory_pressure(self) -> MemoryPressure:
        """Whether memory is short."""
        return self.pools.memory_pressure

    @property
    def connect_timeout_us(self) -> int:
        """How long connecting may take, in microseconds."""
        return self.pools.connect_timeout_us

    def send(self, attempt: UpstreamAttempt) -> None:
        """Sends an attempt on the most recently used connection that is usable, or on a new one."""
        in_use = len(self.connections) - len(self.idle) + 1
        self.demand.record(self.pools.loop.now, in_use)
        while self.idle:
            connection = self.idle.pop()
            if self.is_near_idle_timeout(connection) or connection.conn.is_stale():
                connection.close()
                continue
            connection.start_attempt(attempt)
            return
        self.dial(attempt)

    def is_near_idle_timeout(self, connection: HostConnection) -> bool:
        """Whether the host may soon close the connection: a request written then would be reset."""
        idle_us = self.pools.loop.now - connection.idle_since_us
        return idle_us > self.pools.idle_timeout_us * 9 // 10

    def dial(self, attempt: UpstreamAttempt) -> None:
        """Sends an attempt on a new connection."""
        sock = self.pools.dial(self.address)
        if isinstance(sock, AttemptFailure):
            self.pools.loop.call_soon(attempt.settle, sock.outcome)
            return
        self.add(HostConnection(self, sock, attempt))

    def keep_idle(self, connection: HostConnection) -> None:
        """Keeps a connection whose attempt has ended for another attempt."""
        if self.retired:
            connection.close()
            return
        connection.idle_since_us = self.pools.loop.now
        self.idle.append(connection)

    def keep_unused(self, connection: HostConnection) -> None:
        """Keeps a connection for another attempt: nothing of the last one was written."""
        self.idle.append(connection)

    def close_all_idle(self) -> None:
        """Closes all idle connections."""
        while self.idle:
            self.idle[0].close()

    def add_streaming(self, connection: HostConnection) -> None:
        """Records that the connection has begun to stream a response."""
        self.pools.streaming_connections[connection] = None

    def remove_streaming(self, connection: HostConnection) -> None:
        """Records that the connection no longer streams a response."""
        self.pools.streaming_connections.pop(connection, None)

    def forget(self, connection: HostConnection) -> None:
        """Removes a closed connection."""
        super().forget(connection)
        if connection in self.idle:
            self.idle.remove(connection)

    def close_unneeded(self) -> None:
        """Closes idle connections that exceed the demand.

        A host accepts a limited number of connections, and other balancers may need them.
        """
        if not self.idle:
            return
        needed = self.demand.worth_keeping(self.pools.loop.now)
        while self.idle:
            oldest = self.idle[0]
            if len(self.connections) <= needed and not self.is_near_idle_timeout(oldest):
                return
            oldest.close()

    def retire(self) -> None:
        """Stops sending, as the host drains or was removed; attempts in progress may finish."""
        self.retired = True
        for connection in list(self.connections):
            if connection.is_unused:
                connection.on_closed("host is draining")


class HostConnectionPools(connection_pools.ConnectionPools[HostConnectionPool]):
    """The pools of all hosts.

    Attributes:
        idle_timeout_us: how long a connection may be idle before its host closes it.
        memory_pressure: whether memory is short.
        streaming_connections: connections that stream a response, in the order in which they began.
    """

    def __init__(
        self,
        loop: Loop,
        max_connections: int,
        connect_timeout_us: int,
        idle_timeout_us: int,
        dial: Callable[[Address], socket.socket | AttemptFailure] = dial,
        memory_pressure: MemoryPressure | None = None,
    ) -> None:
        """Creates pools without hosts; both timeouts are in microseconds."""
        super().__init__(loop, max_connections, connect_timeout_us, SWEEP_INTERVAL_US, dial)
        self.idle_timeout_us = idle_timeout_us
        self.memory_pressure = memory_pressure or MemoryPressure(loop, 0)
        self.streaming_connections: dict[HostConnection, None] = {}

    def set_timeouts(self, connect_timeout_us: int, idle_timeout_us: int) -> None:
        """Applies new settings: the connect timeout and the idle timeout, in microseconds."""
        super().set_timeouts(connect_timeout_us, idle_timeout_us)
        self.idle_timeout_us = idle_timeout_us

    def transferable(self) -> list[connection_pools.TransferableConnection]:
        """Returns the idle connections that can be handed over to another process."""
        return [
            connection_pools.TransferableConnection(
                (host, *pool.address, connection.idle_since_us),
                connection.conn.sock,
                connection.close,
            )
            for host, pool in self.by_host.items()
            if not pool.retired
            for connection in pool.idle
            if not pool.is_near_idle_timeout(connection) and not connection.conn.write_buffer
        ]

    def host_of(self, tag: Any) -> str:
        """Returns the id of the host in a connection's tag from `transferable`."""
        return str(tag[0])

    def adopt_connection(self, tag: Any, sock: socket.socket) -> None:
        """Adopts an idle connection from another process, with its tag from `transferable`."""
        host, address, port, idle_since_us = tag
        pool = self.by_host.get(host)
        is_full = self.connection_count >= self.max_connections
        if pool is None or pool.retired or pool.address != (address, port) or is_full:
            sock.close()
            return
        connection = HostConnection(pool, sock, None)
        connection.idle_since_us = min(int(idle_since_us), self.loop.now)
        pool.add(connection)
        pool.idle.append(connection)

    def make_pool(self, address: Address) -> HostConnectionPool:
        """Returns a pool for a host that was added to the host list."""
        return HostConnectionPool(self, address)

    def close_idle(self) -> bool:
        """Closes the connection that has been idle longest, and returns whether there was one."""
        oldest = [pool.idle[0] for pool in self.by_host.values() if pool.idle]
        if oldest:
            min(oldest, key=lambda connection: connection.idle_since_us).close()
        return bool(oldest)

    def sweep(self) -> None:
        """Closes unneeded connections and those whose response has stalled; called at intervals."""
        for pool in self.by_host.values():
            pool.close_unneeded()
        now = self.loop.now
        for connection in list(self.streaming_connections):
            if connection.conn.read_paused:  # the client is slow, not the host
                connection.received_at_us = now
            elif now - connection.received_at_us > STREAM_STALL_TIMEOUT_US:
                connection.on_closed("response stalled")
