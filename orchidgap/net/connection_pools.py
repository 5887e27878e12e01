"""The connections to all hosts, whatever is spoken on them: which hosts there are, how many may
be.
"""

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
    """An idle connection that can go to another process."""

    tag: Any  # what is known of it, as the protocol writes it
    sock: socket.socket
    close: Callable[[], None]  # called once it has been sent


class ConnectionPool(Generic[ConnectionT]):
    """The connections to one host."""

    def __init__(self, pools: ConnectionPools[Any], address: Address) -> None:
        """Begin with no connection."""
        self.pools = pools
        self.address = address
        self.connections: dict[ConnectionT, None] = {}
        self.retired = False  # draining or gone: what is under way may end, nothing else begins

    def send(self, attempt: UpstreamAttempt) -> None:
        """Send an attempt on a connection that is idle, or on a new one."""
        raise NotImplementedError

    def retire(self) -> None:
        """Write nothing new: an attempt whose connection is still coming up ends unsent."""
        raise NotImplementedError

    def add(self, connection: ConnectionT) -> None:
        """Count a connection that was dialled."""
        self.connections[connection] = None
        self.pools.connection_count += 1

    def forget(self, connection: ConnectionT) -> None:
        """It was closed."""
        if connection in self.connections:
            del self.connections[connection]
            self.pools.connection_count -= 1


class ConnectionPools(Generic[PoolT]):
    """All pools, by the id of their host; `max_connections` together."""

    def __init__(
        self,
        loop: Loop,
        max_connections: int,
        connect_timeout_us: int,
        sweep_interval_us: int,
        dial: Dial = dial,
    ) -> None:
        """Begin with no host."""
        self.loop = loop
        self.max_connections = max_connections
        self.connect_timeout_us = connect_timeout_us
        self.sweep_interval_us = sweep_interval_us
        self.dial_address = dial
        self.by_host: dict[str, PoolT] = {}
        self.connection_count = 0
        loop.call_later(sweep_interval_us, self.run_sweep)

    # --- what each protocol does in its own way

    def make_pool(self, address: Address) -> PoolT:
        """A pool for a host at this address."""
        raise NotImplementedError

    def close_idle(self) -> bool:
        """Close the connection that has been idle longest; whether there was one."""
        raise NotImplementedError

    def sweep(self) -> None:
        """Close what is of no use any more; called again and again."""
        raise NotImplementedError

    def transferable(self) -> list[TransferableConnection]:
        """Idle connections that can go to another process."""
        return []

    def adopt_connection(self, tag: Any, sock: socket.socket) -> None:
        """Take over an idle connection from another process, with what is known of it."""
        sock.close()

    def set_timeouts(self, connect_timeout_us: int, idle_timeout_us: int) -> None:
        """Set the times for connections to come up, and to stay idle."""
        self.connect_timeout_us = connect_timeout_us

    # --- what is the same for all

    def run_sweep(self) -> None:
        """Sweep, and do so again later."""
        self.sweep()
        self.loop.call_later(self.sweep_interval_us, self.run_sweep)

    def apply_endpoints(self, whole: bool, found: Iterable[Endpoint]) -> None:
        """Follow the list, or a change to it."""
        absent = set(self.by_host) if whole else set()
        for host, state, address in found:
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

    def send(self, host: str, attempt: UpstreamAttempt) -> None:
        """Send an attempt to a host, in the next turn if this one was held up.

        The host may drain by now, and discovery may have told so while this process stood still.
        """
        if self.loop.is_stalled:
            PostponedSend(self.loop, attempt, partial(self.send_now, host))
        else:
            self.send_now(host, attempt)

    def send_now(self, host: str, attempt: UpstreamAttempt) -> None:
        """Send an attempt to a host; one that is not listed, or drains, is sent nothing."""
        pool = self.by_host.get(host)
        if pool is None or pool.retired:
            failure = AttemptFailure(SendProgress.UNSENT, "broken", "not listed")
            self.loop.call_soon(attempt.settle, failure.outcome)
        else:
            pool.send(attempt)

    def dial(self, address: Address) -> socket.socket | AttemptFailure:
        """A socket on its way to a host. Idle connections make way where descriptors run short."""
        while self.connection_count >= self.max_connections:
            if not self.close_idle():
                return AttemptFailure(SendProgress.UNSENT, "short", "all connections in use")
        dialled = self.dial_address(address)
        is_short = isinstance(dialled, AttemptFailure) and dialled.cause == "short"
        if is_short and self.close_idle():
            dialled = self.dial_address(address)
        return dialled
