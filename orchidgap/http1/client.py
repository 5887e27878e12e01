"""Connections over HTTP/1.1 to the cache hosts and the origin: a pool each, and what is on its way."""

from __future__ import annotations

import socket
from collections import deque
from collections.abc import Callable
from typing import Any

from orchidgap.decisions.connection_demand import ConnectionDemand
from orchidgap.http1.readers import ResponseReader
from orchidgap.http1.writers import LAST_CHUNK, encode_chunk
from orchidgap.net import connection_pools
from orchidgap.net.addresses import Address
from orchidgap.net.attempt_failure import AttemptFailure, SendProgress, connect_failure_cause
from orchidgap.net.connection import Connection
from orchidgap.net.dialing import dial
from orchidgap.net.loop import Loop, Timer
from orchidgap.net.upstream_attempt import ResponseSink, UpstreamAttempt

SWEEP = 1_000_000
SETTLE = 5_000  # for so long after an answer a host may say more, that belongs to nobody
KNOWN = 20  # answers of a host, after which it is known how quick it can be
SHORT = (
    200_000  # a link that breaks after it was idle for less says nothing of those idle for longer
)
STALL = 10_000_000  # for a host to give more of an answer that flows


class Link:
    """One connection to a host: opening, idle, or carrying one attempt."""

    __slots__ = (
        "attempt",
        "chunked",
        "conn",
        "heard_at",
        "idle_since",
        "pool",
        "reader",
        "start",
        "start_idle",
        "taker",
        "timer",
        "wrote_at",
    )

    def __init__(self, pool: Pool, sock: socket.socket, attempt: UpstreamAttempt | None) -> None:
        self.pool, self.reader = pool, ResponseReader()
        self.idle_since = self.start = self.heard_at = self.wrote_at = 0
        self.start_idle = 0  # how long it had been idle when its attempt began
        self.chunked = False  # the body under way goes in chunks
        self.taker: ResponseSink | None = None  # of the answer, once it flows
        self.attempt = attempt
        self.conn = Connection(pool.pools.loop, sock, self, opening=attempt is not None)
        self.timer: Timer | None = None
        if attempt:
            attempt.carrier = self
            self.timer = pool.pools.loop.call_later(
                pool.pools.connect_timeout_us, self.ended, "never came up"
            )

    def reach(self) -> SendProgress:
        if self.conn.connecting or self.conn.bytes_written == self.start:
            return SendProgress.UNSENT
        flows = self.attempt and self.attempt.upload and not self.attempt.upload.complete
        return SendProgress.PARTIAL if self.conn.write_buffer or flows else SendProgress.COMPLETE

    def drop(self, attempt: UpstreamAttempt) -> SendProgress:
        """The host sees its connection close: there is no other way to tell it."""
        reach = self.reach()
        self.close()
        return reach

    def opened(self) -> None:
        if self.timer:
            self.timer.cancel()
            self.timer = None
        if self.attempt:
            self.carry(self.attempt)

    def carry(self, attempt: UpstreamAttempt) -> None:
        if not attempt.owner.may_send(attempt.number):
            return self.spare(attempt)
        self.attempt, attempt.carrier = attempt, self
        now = self.pool.pools.loop.now
        self.start, self.heard_at, self.wrote_at = self.conn.bytes_written, now, now
        self.start_idle = now - self.idle_since if self.idle_since else 0
        bare = attempt.head.startswith(b"HEAD ")
        if bare or self.reader.bodiless:
            self.reader.new_parser(bare)
        else:
            self.reader.reset()
        left = max(1, attempt.deadline_us - self.pool.pools.loop.now)
        self.conn.send(attempt.head, b"Request-Timeout: %.3f\r\n\r\n" % (left / 1e6), attempt.body)
        if attempt.upload and self.conn.is_open:
            self.chunked = attempt.upload.length is None
            self.conn.on_drained = attempt.upload.update_backpressure
            attempt.upload.send_to(self)

    def spare(self, attempt: UpstreamAttempt) -> None:
        """Nobody wants it any more, and nothing of it was written."""
        self.attempt = attempt.carrier = None
        self.idle_since = self.idle_since or self.pool.pools.loop.now
        self.pool.idle.append(self)
        self.pool.pools.loop.call_soon(
            attempt.settle, AttemptFailure(SendProgress.UNSENT, "cancelled").outcome
        )

    def put(self, parts: list[bytes], last: bool) -> None:
        if self.chunked:
            parts = encode_chunk(parts) + ([LAST_CHUNK] if last else [])
        if parts and self.conn.is_open:
            self.conn.send(*parts)

    def received(self, view: memoryview) -> None:
        if self.attempt is None:  # nobody asked: what it would answer next cannot be trusted
            return self.ended("spoke unasked")
        reader, message = self.reader, self.reader.message
        self.heard_at = self.pool.pools.loop.now
        if not reader.started and self.too_soon():
            return self.ended("said before it can have been asked")
        reader.feed(view)
        if message.error_status:
            self.ended("no proper answer")
        elif self.taker:
            self.taker.give(message.take_body())
            if message.complete:
                self.done("done")
        elif message.complete:
            self.done(verdict_of(message.status, message.fields.get(b"not-started") == b"1"))
        elif message.head_complete and message.status != 200:
            if message.exceeds_buffer:  # what it says matters, not all of its words
                self.done(verdict_of(message.status, message.fields.get(b"not-started") == b"1"))
        elif message.exceeds_buffer:
            self.begin(self.attempt)
        elif message.head_complete and message.content_length is None and not self.timer:
            self.timer = self.pool.pools.loop.call_later(
                self.attempt.response_hold_us, self.begin, self.attempt
            )

    def too_soon(self) -> bool:
        """Whether what comes cannot be the answer to this req: it comes right behind the last answer, and
        sooner than this host ever answered. What it said behind its last answer crossed the req."""
        took, pool = self.heard_at - self.wrote_at, self.pool
        known = pool.answers >= KNOWN
        if (
            self.idle_since
            and self.start_idle + took < SETTLE
            and known
            and took < pool.quickest * 4 // 5
        ):
            return True
        pool.quickest = min(pool.quickest, took) if pool.answers else took
        pool.answers += 1
        return False

    def begin(self, attempt: UpstreamAttempt) -> None:
        """The answer is too large to be kept, or too slow to see how large it is: it flows from here on."""
        if self.attempt is not attempt or self.taker or self.reader.message.complete:
            return
        self.forget_timer()
        taker = attempt.owner.start_streaming(attempt.number)
        if taker is None:
            return self.ended("not wanted")
        self.taker = taker
        self.pool.pools.flows[self] = None
        taker.begin(self.reader.message.content_length, self.conn)
        if self.taker:
            taker.give(self.reader.message.take_body())

    def done(self, verdict: str) -> None:
        """The answer is there, or what matters of it."""
        attempt, reader, message = self.attempt, self.reader, self.reader.message
        assert attempt
        body = b"".join(message.body_parts) if message.complete else b""
        attempt.load_report = message.fields.get(b"server-load", b"")
        if reader.bodiless:
            attempt.length = message.content_length
        lasts = (
            message.complete
            and message.keep_alive
            and not (
                reader.has_excess_data
                or self.conn.write_buffer
                or attempt.upload
                and not attempt.upload.complete
            )
        )
        self.clear()
        if lasts:
            self.pool.rest(self)
        else:
            self.close()
        attempt.settle(verdict, body)

    def clear(self) -> None:
        """It carries nothing any more."""
        attempt, self.attempt = self.attempt, None
        if self.taker:
            self.taker = None
            self.pool.pools.flows.pop(self, None)
            self.conn.pause_reading(False)
        if self.timer:
            self.forget_timer()
        if attempt and attempt.upload:
            self.conn.on_drained = None
            attempt.upload.detach(self)

    def let_go(self) -> None:
        """It goes on in another process: nothing comes of its attempt here."""
        if self.attempt:
            self.attempt.settled, self.attempt.carrier = True, None
            self.attempt.upload = None
        self.close()

    def forget_timer(self) -> None:
        if self.timer:
            self.timer.cancel()
            self.timer = None

    def ended(self, what: str) -> None:
        attempt = self.attempt
        if (
            attempt
            and what == "closed"
            and self.reader.started
            and self.reader.on_connection_closed()
        ):
            if self.taker:
                self.taker.give(self.reader.message.take_body())
                return self.done("done")
            return self.done(verdict_of(self.reader.message.status, False))
        stale = attempt is not None and self.idle_since > 0 and not self.reader.started
        cause = (
            "stale" if stale else connect_failure_cause(what) if self.conn.connecting else "broken"
        )
        fault = AttemptFailure(self.reach(), cause, what)
        self.close()
        if (
            stale and self.start_idle > SHORT
        ):  # those kept for longer yet: the next try needs one that holds
            while self.pool.idle:
                self.pool.idle[0].close()
        if attempt:
            # not at once: this may be the decision's own call to send
            self.pool.pools.loop.call_soon(attempt.settle, fault.outcome)

    def close(self) -> None:
        self.clear()
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


class Pool(connection_pools.ConnectionPool[Link]):
    """The connections to one host, one dispatch at a time on each."""

    pools: Hosts

    def __init__(self, hosts: Hosts, address: Address) -> None:
        super().__init__(hosts, address)
        self.idle: deque[Link] = deque()  # the newest last
        self.demand = ConnectionDemand(hosts.loop.now)
        self.quickest = self.answers = 0  # the least time in which one came back, and of how many

    def send(self, attempt: UpstreamAttempt) -> None:
        self.demand.record(self.pools.loop.now, len(self.links) - len(self.idle) + 1)
        while self.idle:
            link = self.idle.pop()
            if self.worn(link) or link.conn.is_stale():
                link.close()
                continue
            return link.carry(attempt)
        self.dial(attempt)

    def worn(self, link: Link) -> bool:
        """The host closes it at the limit at the latest, and what is written from then on is a reset."""
        return self.pools.loop.now - link.idle_since > self.pools.idle_for * 9 // 10

    def dial(self, attempt: UpstreamAttempt) -> None:
        came = self.pools.dial(self.address)
        if isinstance(came, AttemptFailure):
            return self.pools.loop.call_soon(attempt.settle, came.outcome)
        self.add(Link(self, came, attempt))

    def rest(self, link: Link) -> None:
        if self.retired:
            return link.close()
        link.idle_since = self.pools.loop.now
        self.idle.append(link)

    def forget(self, link: Link) -> None:
        super().forget(link)
        if link in self.idle:
            self.idle.remove(link)

    def trim(self) -> None:
        """The host holds only so many, and other balancers may need them."""
        keep = self.demand.worth_keeping(self.pools.loop.now)
        while self.idle and (len(self.links) > keep or self.worn(self.idle[0])):
            self.idle[0].close()

    def retire(self) -> None:
        self.retired = True
        for link in list(self.links):
            if link.attempt is None or link.conn.connecting:
                link.ended("host drains")


class Hosts(connection_pools.ConnectionPools[Pool]):
    def __init__(
        self,
        loop: Loop,
        most: int,
        connect_within: int,
        idle_for: int,
        dial: Callable[[Address], socket.socket | AttemptFailure] = dial,
    ) -> None:
        super().__init__(loop, most, connect_within, SWEEP, dial)
        self.idle_for = idle_for
        self.flows: dict[Link, None] = {}  # links whose answers flow

    def set_timeouts(self, connect_within: int, idle_for: int) -> None:
        super().set_timeouts(connect_within, idle_for)
        self.idle_for = idle_for

    def transferable(self) -> list[tuple[Any, socket.socket, Callable[[], None]]]:
        return [
            ((id, *pool.address, link.idle_since), link.conn.sock, link.close)
            for id, pool in self.by_host.items()
            if not pool.retired
            for link in pool.idle
            if not pool.worn(link) and not link.conn.write_buffer
        ]

    def adopt_connection(self, tag: Any, sock: socket.socket) -> None:
        id, host, port, idle_since = tag
        pool = self.by_host.get(id)
        if (
            pool is None
            or pool.retired
            or pool.address != (host, port)
            or self.connection_count >= self.max_connections
        ):
            return sock.close()
        link = Link(pool, sock, None)
        link.idle_since = min(int(idle_since), self.loop.now)
        pool.add(link)
        pool.idle.append(link)

    def make_pool(self, address: Address) -> Pool:
        return Pool(self, address)

    def close_idle(self) -> bool:
        idle = [pool.idle[0] for pool in self.by_host.values() if pool.idle]
        if idle:
            min(idle, key=lambda link: link.idle_since).close()
        return bool(idle)

    def sweep(self) -> None:
        for pool in self.by_host.values():
            pool.trim()
        for link in list(self.flows):
            if link.conn.read_paused:  # it waits for the client
                link.heard_at = self.loop.now
            elif self.loop.now - link.heard_at > STALL:
                link.ended("silence")
