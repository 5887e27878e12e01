"""Connections over HTTP/1.1 to the cache hosts and the origin: a pool each, and what is on its way."""

from __future__ import annotations

import socket
from collections import deque
from collections.abc import Callable, Iterable

from orchidgap.http1.codec import MOST_ANSWER, AnswerReader
from orchidgap.net.connection import Address, Connection, Fault, Reach, broken, dial
from orchidgap.net.loop import Loop, Timer
from orchidgap.net.trip import Trip

SWEEP = 1_000_000


class Link:
    """One connection to a host: opening, idle, or carrying one trip."""

    __slots__ = ("conn", "idle_since", "pool", "reader", "start", "timer", "trip")

    def __init__(self, pool: Pool, sock: socket.socket, trip: Trip) -> None:
        self.pool, self.reader = pool, AnswerReader(MOST_ANSWER)
        self.idle_since = self.start = 0
        self.trip: Trip | None = trip
        trip.link = self
        self.conn = Connection(pool.hosts.loop, sock, self, opening=True)
        hosts = pool.hosts
        self.timer: Timer | None = hosts.loop.later(hosts.connect_within, self.ended, "never came up")

    def reach(self) -> Reach:
        if self.conn.opening or self.conn.taken == self.start:
            return Reach.UNSENT
        return Reach.PARTLY if self.conn.out else Reach.WHOLE

    def drop(self, trip: Trip) -> Reach:
        """The host sees its connection close: there is no other way to tell it."""
        reach = self.reach()
        self.close()
        return reach

    def opened(self) -> None:
        if self.timer:
            self.timer.cancel()
        if self.trip:
            self.carry(self.trip)

    def carry(self, trip: Trip) -> None:
        self.trip, trip.link = trip, self
        self.start = self.conn.taken
        self.reader.reset()
        left = max(1, trip.due - self.pool.hosts.loop.now)
        self.conn.send(trip.head, b"Request-Timeout: %.3f\r\n\r\n" % (left / 1e6), trip.body)

    def received(self, view: memoryview) -> None:
        if self.trip is None:  # nobody asked: what it would answer next cannot be trusted
            return self.ended("spoke unasked")
        reader = self.reader
        reader.feed(view)
        if reader.whole:
            trip, self.trip = self.trip, None
            verdict = verdict_of(reader.status, reader.fields.get(b"not-started") == b"1")
            body = b"".join(reader.body)
            if reader.extra or self.conn.out or not reader.lasts:
                self.close()
            else:
                self.pool.rest(self)
            trip.settle(verdict, body)
        elif reader.trouble:
            self.ended("no proper answer")

    def ended(self, what: str) -> None:
        trip, self.trip = self.trip, None
        stale = trip is not None and self.idle_since > 0 and not self.reader.begun
        cause = "stale" if stale else broken(what) if self.conn.opening else "broken"
        fault = Fault(self.reach(), cause, what)
        self.close()
        while stale and self.pool.idle:  # kept for longer yet: the next try needs one that holds
            self.pool.idle[0].close()
        if trip:
            # not at once: this may be the decision's own call to send
            self.pool.hosts.loop.soon(trip.settle, fault.verdict)

    def close(self) -> None:
        if self.timer:
            self.timer.cancel()
        self.trip = None
        self.conn.close()
        self.pool.forget(self)


def verdict_of(status: int, not_started: bool) -> str:
    """
    >>> [verdict_of(status, True) for status in (200, 404, 503, 504, 500)]
    ['done', 'miss', 'full', 'full', 'error']
    >>> verdict_of(503, False), verdict_of(400, False), verdict_of(429, False)
    ('error', 'unfit', 'error')
    """
    if status in (503, 504) and not_started:
        return "full"
    if status == 400:  # its fault is in the req: any other host would say the same
        return "unfit"
    return {200: "done", 404: "miss"}.get(status, "error")


class Pool:
    """The connections to one host."""

    def __init__(self, hosts: Hosts, address: Address) -> None:
        self.hosts, self.address = hosts, address
        self.links: dict[Link, None] = {}
        self.idle: deque[Link] = deque()  # the newest last
        self.retired = False              # draining or gone: what is under way may end, nothing else

    def send(self, trip: Trip) -> None:
        while self.idle:
            link = self.idle.pop()
            if self.worn(link) or link.conn.stale():
                link.close()
                continue
            return link.carry(trip)
        self.dial(trip)

    def worn(self, link: Link) -> bool:
        """The host closes it at the limit at the latest, and what is written from then on is a reset."""
        return self.hosts.loop.now - link.idle_since > self.hosts.idle_for * 9 // 10

    def dial(self, trip: Trip) -> None:
        came = self.hosts.dial(self.address)
        if isinstance(came, Fault):
            return self.hosts.loop.soon(trip.settle, came.verdict)
        self.links[Link(self, came, trip)] = None
        self.hosts.count += 1

    def rest(self, link: Link) -> None:
        if self.retired:
            return link.close()
        link.idle_since = self.hosts.loop.now
        self.idle.append(link)

    def forget(self, link: Link) -> None:
        if link in self.links:
            del self.links[link]
            self.hosts.count -= 1
            if link in self.idle:
                self.idle.remove(link)

    def retire(self) -> None:
        """Nothing new is written: a dispatch that is still connecting ends unsent."""
        self.retired = True
        for link in list(self.links):
            if link.trip is None or link.conn.opening:
                link.ended("host drains")


class Hosts:
    """All pools, by the id of their host; `most` connections together."""

    def __init__(self, loop: Loop, most: int, connect_within: int, idle_for: int,
                 dial: Callable[[Address], socket.socket | Fault] = dial) -> None:
        self.loop, self.most, self.connect_within, self.idle_for = loop, most, connect_within, idle_for
        self.dialer = dial
        self.pools: dict[str, Pool] = {}
        self.count = 0
        loop.later(SWEEP, self.sweep)

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
                pool = self.pools[id] = Pool(self, address)
            if state == "up":
                pool.retired = False
            else:
                pool.retire()
        for id in sorted(gone):
            self.pools.pop(id).retire()

    def send(self, id: str, trip: Trip) -> None:
        pool = self.pools.get(id)
        if pool is None or pool.retired:
            return self.loop.soon(trip.settle, Fault(Reach.UNSENT, "broken", "not listed").verdict)
        pool.send(trip)

    def dial(self, address: Address) -> socket.socket | Fault:
        """Idle connections make way where descriptors run short."""
        while self.count >= self.most:
            if not self.shed():
                return Fault(Reach.UNSENT, "short", "all connections in use")
        came = self.dialer(address)
        if isinstance(came, Fault) and came.cause == "short" and self.shed():
            came = self.dialer(address)
        return came

    def shed(self) -> bool:
        """Close the connection that has been idle longest; whether there was one."""
        idle = [pool.idle[0] for pool in self.pools.values() if pool.idle]
        if idle:
            min(idle, key=lambda link: link.idle_since).close()
        return bool(idle)

    def known(self) -> int:
        return len(self.pools)

    def sweep(self) -> None:
        for pool in self.pools.values():
            while pool.idle and pool.worn(pool.idle[0]):
                pool.idle[0].close()
        self.loop.later(SWEEP, self.sweep)
