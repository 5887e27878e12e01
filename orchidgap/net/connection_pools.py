"""The connections to all hosts, whatever is spoken on them: which hosts there are, how many links may be."""

from __future__ import annotations

import socket
from collections.abc import Callable, Iterable
from typing import Any, Generic, TypeVar

from orchidgap.net.connection import Address, AttemptFailure, SendProgress, dial
from orchidgap.net.loop import Loop
from orchidgap.net.upstream_attempt import UpstreamAttempt

L = TypeVar("L")
P = TypeVar("P", bound="ConnectionPool[Any]")


class ConnectionPool(Generic[L]):
    """The links to one host."""

    def __init__(self, hosts: ConnectionPools[Any], address: Address) -> None:
        self.pools, self.address = hosts, address
        self.links: dict[L, None] = {}
        self.retired = False  # draining or gone: what is under way may end, nothing else

    def send(self, attempt: UpstreamAttempt) -> None:
        raise NotImplementedError

    def retire(self) -> None:
        """Nothing new is written: a dispatch that is still connecting ends unsent."""
        raise NotImplementedError

    def add(self, link: L) -> None:
        self.links[link] = None
        self.pools.connection_count += 1

    def forget(self, link: L) -> None:
        if link in self.links:
            del self.links[link]
            self.pools.connection_count -= 1


class ConnectionPools(Generic[P]):
    """All pools, by the id of their host; `most` connections together."""

    def __init__(
        self,
        loop: Loop,
        most: int,
        connect_within: int,
        sweep: int,
        dial: Callable[[Address], socket.socket | AttemptFailure] = dial,
    ) -> None:
        self.loop, self.max_connections, self.connect_timeout_us, self.sweep_interval_us = (
            loop,
            most,
            connect_within,
            sweep,
        )
        self.dial_address = dial
        self.by_host: dict[str, P] = {}
        self.connection_count = 0
        loop.call_later(sweep, self.run_sweep)

    def set_timeouts(self, connect_within: int, idle_for: int) -> None:
        """New times for connections to come up, and to stay idle, in microseconds."""
        self.connect_timeout_us = connect_within

    def transferable(self) -> list[tuple[Any, socket.socket, Callable[[], None]]]:
        """Links that can go to another process: what is known of each, its socket, how it is closed."""
        return []

    def adopt_connection(self, tag: Any, sock: socket.socket) -> None:
        """A link comes from another process of this balancer, with what is known of it."""
        sock.close()

    def make_pool(self, address: Address) -> P:
        raise NotImplementedError

    def close_idle(self) -> bool:
        """Close the connection that has been idle longest; whether there was one."""
        raise NotImplementedError

    def sweep(self) -> None:
        """Close what is of no use any more; called again and again."""
        raise NotImplementedError

    def run_sweep(self) -> None:
        self.sweep()
        self.loop.call_later(self.sweep_interval_us, self.run_sweep)

    def apply_endpoints(self, whole: bool, told: Iterable[tuple[str, str, Address]]) -> None:
        """The list, or a change to it, as (id, state, address)."""
        gone = set(self.by_host) if whole else set()
        for id, state, address in told:
            gone.discard(id)
            pool = self.by_host.get(id)
            if pool and (state == "gone" or pool.address != address):
                self.by_host.pop(id).retire()
                pool = None
            if state == "gone":
                continue
            if pool is None:
                pool = self.by_host[id] = self.make_pool(address)
            if state == "up":
                pool.retired = False
            else:
                pool.retire()
        for id in sorted(gone):
            self.by_host.pop(id).retire()

    def send(self, id: str, attempt: UpstreamAttempt) -> None:
        pool = self.by_host.get(id)
        if pool is None or pool.retired:
            return self.loop.call_soon(
                attempt.settle, AttemptFailure(SendProgress.UNSENT, "broken", "not listed").outcome
            )
        pool.send(attempt)

    def dial(self, address: Address) -> socket.socket | AttemptFailure:
        """Idle connections make way where descriptors run short."""
        while self.connection_count >= self.max_connections:
            if not self.close_idle():
                return AttemptFailure(SendProgress.UNSENT, "short", "all connections in use")
        came = self.dial_address(address)
        if isinstance(came, AttemptFailure) and came.cause == "short" and self.close_idle():
            came = self.dial_address(address)
        return came
