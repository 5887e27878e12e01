"""The connections to all hosts, whatever is spoken on them: which hosts there are, how many links may be."""

from __future__ import annotations

import socket
from collections.abc import Callable, Iterable
from typing import Any, Generic, TypeVar

from orchidgap.net.connection import Address, Fault, Reach, dial
from orchidgap.net.loop import Loop
from orchidgap.net.upstream_attempt import UpstreamAttempt

L = TypeVar("L")
P = TypeVar("P", bound="ConnectionPool[Any]")


class ConnectionPool(Generic[L]):
    """The links to one host."""

    def __init__(self, hosts: ConnectionPools[Any], address: Address) -> None:
        self.hosts, self.address = hosts, address
        self.links: dict[L, None] = {}
        self.retired = False  # draining or gone: what is under way may end, nothing else

    def send(self, attempt: UpstreamAttempt) -> None:
        raise NotImplementedError

    def retire(self) -> None:
        """Nothing new is written: a dispatch that is still connecting ends unsent."""
        raise NotImplementedError

    def add(self, link: L) -> None:
        self.links[link] = None
        self.hosts.count += 1

    def forget(self, link: L) -> None:
        if link in self.links:
            del self.links[link]
            self.hosts.count -= 1


class ConnectionPools(Generic[P]):
    """All pools, by the id of their host; `most` connections together."""

    def __init__(
        self,
        loop: Loop,
        most: int,
        connect_within: int,
        sweep: int,
        dial: Callable[[Address], socket.socket | Fault] = dial,
    ) -> None:
        self.loop, self.most, self.connect_within, self.sweep_each = (
            loop,
            most,
            connect_within,
            sweep,
        )
        self.dialer = dial
        self.pools: dict[str, P] = {}
        self.count = 0
        loop.call_later(sweep, self.swept)

    def bound(self, connect_within: int, idle_for: int) -> None:
        """New times for connections to come up, and to stay idle, in microseconds."""
        self.connect_within = connect_within

    def movable(self) -> list[tuple[Any, socket.socket, Callable[[], None]]]:
        """Links that can go to another process: what is known of each, its socket, how it is closed."""
        return []

    def adopt(self, tag: Any, sock: socket.socket) -> None:
        """A link comes from another process of this balancer, with what is known of it."""
        sock.close()

    def make(self, address: Address) -> P:
        raise NotImplementedError

    def shed(self) -> bool:
        """Close the connection that has been idle longest; whether there was one."""
        raise NotImplementedError

    def sweep(self) -> None:
        """Close what is of no use any more; called again and again."""
        raise NotImplementedError

    def swept(self) -> None:
        self.sweep()
        self.loop.call_later(self.sweep_each, self.swept)

    def follow(self, whole: bool, told: Iterable[tuple[str, str, Address]]) -> None:
        """The list, or a change to it, as (id, state, address)."""
        gone = set(self.pools) if whole else set()
        for id, state, address in told:
            gone.discard(id)
            pool = self.pools.get(id)
            if pool and (state == "gone" or pool.address != address):
                self.pools.pop(id).retire()
                pool = None
            if state == "gone":
                continue
            if pool is None:
                pool = self.pools[id] = self.make(address)
            if state == "up":
                pool.retired = False
            else:
                pool.retire()
        for id in sorted(gone):
            self.pools.pop(id).retire()

    def send(self, id: str, attempt: UpstreamAttempt) -> None:
        pool = self.pools.get(id)
        if pool is None or pool.retired:
            return self.loop.call_soon(
                attempt.settle, Fault(Reach.UNSENT, "broken", "not listed").verdict
            )
        pool.send(attempt)

    def dial(self, address: Address) -> socket.socket | Fault:
        """Idle connections make way where descriptors run short."""
        while self.count >= self.most:
            if not self.shed():
                return Fault(Reach.UNSENT, "short", "all connections in use")
        came = self.dialer(address)
        if isinstance(came, Fault) and came.cause == "short" and self.shed():
            came = self.dialer(address)
        return came
