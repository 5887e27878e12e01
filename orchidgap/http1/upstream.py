"""Connections over HTTP/1.1 to the cache hosts and the origin: a pool each, and what is on its way."""

from __future__ import annotations

import socket
from collections import deque
from collections.abc import Callable

from orchidgap.http1.codec import MOST_ANSWER, AnswerReader
from orchidgap.net import pools
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


class Pool(pools.Pool[Link]):
    """The connections to one host, one dispatch at a time on each."""

    hosts: Hosts

    def __init__(self, hosts: Hosts, address: Address) -> None:
        super().__init__(hosts, address)
        self.idle: deque[Link] = deque()  # the newest last

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
        self.add(Link(self, came, trip))

    def rest(self, link: Link) -> None:
        if self.retired:
            return link.close()
        link.idle_since = self.hosts.loop.now
        self.idle.append(link)

    def forget(self, link: Link) -> None:
        super().forget(link)
        if link in self.idle:
            self.idle.remove(link)

    def retire(self) -> None:
        self.retired = True
        for link in list(self.links):
            if link.trip is None or link.conn.opening:
                link.ended("host drains")


class Hosts(pools.Pools[Pool]):
    def __init__(self, loop: Loop, most: int, connect_within: int, idle_for: int,
                 dial: Callable[[Address], socket.socket | Fault] = dial) -> None:
        super().__init__(loop, most, connect_within, SWEEP, dial)
        self.idle_for = idle_for

    def bound(self, connect_within: int, idle_for: int) -> None:
        super().bound(connect_within, idle_for)
        self.idle_for = idle_for

    def make(self, address: Address) -> Pool:
        return Pool(self, address)

    def shed(self) -> bool:
        idle = [pool.idle[0] for pool in self.pools.values() if pool.idle]
        if idle:
            min(idle, key=lambda link: link.idle_since).close()
        return bool(idle)

    def sweep(self) -> None:
        for pool in self.pools.values():
            while pool.idle and pool.worn(pool.idle[0]):
                pool.idle[0].close()
