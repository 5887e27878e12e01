"""The connections to all hosts, over any protocol: one pool for each host, and a common limit."""

from __future__ import annotations

import socket
from collections.abc import Callable, Iterable
from functools import partial
from typing import Any, Generic, NamedTuple, TypeVar

from orchidgap.net.addresses import Address
from orchidgap.net.attempt_failure import AttemptFailure, SendProgress
from orchidgap.net.dialing import dial
from orchidgap.net.discovery import Dial
from orchidgap.net.endpoints import Endpoint
from orchidgap.net.loop import Loop
from orchidgap.net.postponed_send import PostponedSend
from orchidgap.net.upstream_attempt import UpstreamAttempt

ConnectionT = TypeVar("ConnectionT")
PoolT = TypeVar("PoolT", bound="ConnectionPool[Any]")


class TransferableConnection(NamedTuple):
    """An idle connection that can be transferred to another process."""

    tag: Any  # the connection's state, in the protocol's own form
    sock: socket.socket
    close: Callable[[], None]  # called once it has been sent


class ConnectionPool(Generic[ConnectionT]):
    """The connections to one host."""

    def __init__(self, pools: ConnectionPools[Any], address: Address) -> None:
        """Create a pool without connections."""
        self.pools = pools
        self.address = address
        self.connections: dict[ConnectionT, None] = {}
        # whether the host drains or is gone: open attempts may finish, and no new ones are sent
        self.retired = False

    def send(self, attempt: UpstreamAttempt) -> None:
        """Send an attempt on an idle connection, or on a new one."""
        raise NotImplementedError

    def retire(self) -> None:
        """Send no new attempts; an attempt whose connection is not established yet ends unsent."""
        raise NotImplementedError

    def add(self, connection: ConnectionT) -> None:
        """Add a connection that was dialled, and count it."""
        self.connections[connection] = None
        self.pools.connection_count += 1

    def forget(self, connection: ConnectionT) -> None:
        """Remove a connection that was closed."""
        if connection in self.connections:
            del self.connections[connection]
            self.pools.connection_count -= 1


class ConnectionPools(Generic[PoolT]):
    """All pools, by the id of their host, with at most `max_connections` in total."""

    def __init__(
        self,
        loop: Loop,
        max_connections: int,
        connect_timeout_us: int,
        sweep_interval_us: int,
        dial: Dial = dial,
    ) -> None:
        """Create the pools of no hosts, and start the periodic sweep."""
        self.loop = loop
        self.max_connections = max_connections
        self.connect_timeout_us = connect_timeout_us
        self.sweep_interval_us = sweep_interval_us
        self.dial_address = dial
        self.by_host: dict[str, PoolT] = {}
        self.connection_count = 0
        loop.call_later(sweep_interval_us, self.run_sweep)

    # --- implemented by each protocol

    def make_pool(self, address: Address) -> PoolT:
        """Create a pool for a host at this address."""
        raise NotImplementedError

    def close_idle(self) -> bool:
        """Close the connection that has been idle longest; return whether there was one."""
        raise NotImplementedError

    def sweep(self) -> None:
        """Close connections that are no longer usable; called periodically."""
        raise NotImplementedError

    def transferable(self) -> list[TransferableConnection]:
        """Return the idle connections that can be transferred to another process."""
        return []

    def host_of(self, tag: Any) -> str:
        """Return the id of the host that an idle connection from another process leads to."""
        return ""

    def adopt_connection(self, tag: Any, sock: socket.socket) -> None:
        """Adopt an idle connection from another process; `tag` is its state."""
        sock.close()

    def set_timeouts(self, connect_timeout_us: int, idle_timeout_us: int) -> None:
        """Set the connect timeout, and how long connections may be idle."""
        self.connect_timeout_us = connect_timeout_us

    # --- the same for all protocols

    def run_sweep(self) -> None:
        """Sweep, and schedule the next sweep."""
        self.sweep()
        self.loop.call_later(self.sweep_interval_us, self.run_sweep)

    def apply_endpoints(self, whole: bool, endpoints: Iterable[Endpoint]) -> None:
        """Apply the host list, or changes to it if `whole` is false."""
        absent = set(self.by_host) if whole else set()
        for host, state, address in endpoints:
            absent.discard(host)
            pool = self.by_host.get(host)
            if pool and (state == "gone" or pool.address != address):
                self.by_host.pop(host).retire()
                pool = None
            if state == "gone":
                continue
            if pool is None:
                pool = self.by_host[host] = self.make_pool(address)
            if state == "up":
                pool.retired = False
            else:
                pool.retire()
        for host in sorted(absent):
            self.by_host.pop(host).retire()

    def drop_process(self, host: str) -> None:
        """Send nothing more on the connections to a host, as a newer process has its place.

        The older one may still be ending at the same address, with connections that work.
        """
        pool = self.by_host.pop(host, None)
        if pool:
            pool.retire()

    def send(self, host: str, attempt: UpstreamAttempt) -> None:
        """Send an attempt to a host; in the next turn if this one is stalled.

        The host may be draining by now, and a list with that state may have arrived while the
        process was stalled.
        """
        if self.loop.is_stalled:
            PostponedSend(self.loop, attempt, partial(self.send_now, host))
        else:
            self.send_now(host, attempt)

    def send_now(self, host: str, attempt: UpstreamAttempt) -> None:
        """Send an attempt to a host, unless the host is not listed or drains."""
        pool = self.by_host.get(host)
        if pool is None or pool.retired:
            failure = AttemptFailure(SendProgress.UNSENT, "broken", "not listed")
            self.loop.call_soon(attempt.settle, failure.outcome)
        else:
            pool.send(attempt)

    def dial(self, address: Address) -> socket.socket | AttemptFailure:
        """Start a connection to a host, closing idle connections if descriptors run short."""
        while self.connection_count >= self.max_connections:
            if not self.close_idle():
                return AttemptFailure(SendProgress.UNSENT, "short", "all connections in use")
        dialled = self.dial_address(address)
        is_short = isinstance(dialled, AttemptFailure) and dialled.cause == "short"
        if is_short and self.close_idle():
            dialled = self.dial_address(address)
        return dialled
