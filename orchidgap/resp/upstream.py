"""Connections to slot servers: a few pipelined links to each, and what their answers say."""

from __future__ import annotations

import socket
from collections import deque
from collections.abc import Callable
from typing import NamedTuple

from orchidgap.decisions.records import AttemptOutcome
from orchidgap.net import connection_pools
from orchidgap.net.addresses import Address, format_address, parse_address
from orchidgap.net.attempt_failure import AttemptFailure, SendProgress, connect_failure_cause
from orchidgap.net.connection import Connection
from orchidgap.net.loop import Loop, Timer
from orchidgap.net.upstream_attempt import UpstreamAttempt
from orchidgap.resp import codec

LINKS = 2  # to one host; a command goes on the one with fewer under way
STUCK = 1_500_000  # a link that answers nothing for so long, while something waits, is of no use
SWEEP = 500_000
NOT_NOW = (b"-TRYAGAIN", b"-CLUSTERDOWN", b"-LOADING", b"-MASTERDOWN", b"-READONLY", b"-BUSY ")
ASKING = codec.command(b"ASKING")


class Redirect(NamedTuple):
    slot: int
    address: Address
    ask: bool


def redirect(text: bytes) -> Redirect | None:
    """What a server says of a slot that it does not serve; None for any other answer.

    >>> redirect(b"-MOVED 3999 127.0.0.1:6381\\r\\n"), redirect(b"-ASK 7 127.0.0.1:80\\r\\n").ask
    (Redirect(slot=3999, address=('127.0.0.1', 6381), ask=False), True)
    >>> [redirect(text) for text in (b"-ERR\\r\\n", b"-MOVED x y\\r\\n", b"-MOVED 99999 127.0.0.1:1\\r\\n")]
    [None, None, None]
    """
    if not text.startswith((b"-MOVED ", b"-ASK ")):
        return None
    parts = text[1:-2].split()
    slot = codec.number(parts[1]) if len(parts) == 3 else None
    if slot is None or not 0 <= slot < 1 << 14:
        return None
    try:
        return Redirect(slot, parse_address(parts[2].decode()), parts[0] == b"ASK")
    except (ValueError, UnicodeDecodeError):
        return None


class Due:
    """One answer that a link waits for: of an attempt, of one given up, or of the ASKING before one."""

    __slots__ = ("attempt", "ends", "starts")

    def __init__(self, attempt: UpstreamAttempt | None, starts: int, ends: int) -> None:
        self.attempt, self.starts, self.ends = attempt, starts, ends


class Link:
    """One connection to a host. Answers come in the order of what was written."""

    __slots__ = ("conn", "dues", "heard_at", "pool", "reader", "timer", "written")

    def __init__(self, pool: Pool, sock: socket.socket) -> None:
        self.pool, self.reader = pool, codec.Reader()
        self.dues: deque[Due] = deque()
        self.written = 0  # bytes handed to the connection so far
        hosts = pool.pools
        self.heard_at = hosts.loop.now
        self.conn = Connection(hosts.loop, sock, self, opening=True)
        self.timer: Timer | None = hosts.loop.call_later(
            hosts.connect_timeout_us, self.ended, "never came up"
        )
        if hosts.secret:
            self.write(None, codec.command(b"AUTH", *hosts.secret))

    def write(self, attempt: UpstreamAttempt | None, *parts: bytes) -> None:
        size = sum(map(len, parts))
        if not self.dues:
            self.heard_at = self.pool.pools.loop.now
        self.dues.append(Due(attempt, self.written, self.written + size))
        self.written += size
        self.conn.send(*parts)

    def carry(self, attempt: UpstreamAttempt) -> None:
        attempt.carrier = self
        if attempt.asking:  # on the same link, with nothing in between
            self.write(None, ASKING)
        if self.conn.is_open:
            self.write(attempt, attempt.head)
        else:
            self.pool.pools.loop.call_soon(
                attempt.settle, AttemptFailure(SendProgress.UNSENT, "broken").outcome
            )

    def drop(self, attempt: UpstreamAttempt) -> SendProgress:
        """Its answer, should it come, belongs to nobody; the others on this link go on."""
        for due in self.dues:
            if due.attempt is attempt:
                due.attempt = None
                # what waits to be written goes out all the same, so it may yet run
                return (
                    SendProgress.UNSENT
                    if self.conn.connecting and self.forget(due)
                    else SendProgress.COMPLETE
                )
        return SendProgress.COMPLETE

    def forget(self, due: Due) -> bool:
        """While it is still connecting nothing was written: what waits last can be taken back."""
        if self.dues and self.dues[-1] is due:
            size = due.ends - due.starts
            del self.conn.write_buffer[len(self.conn.write_buffer) - size :]
            self.written -= size
            self.dues.pop()
            return True
        return False

    def reach(self, due: Due) -> SendProgress:
        taken = self.conn.bytes_written
        return (
            SendProgress.COMPLETE
            if taken >= due.ends
            else SendProgress.PARTIAL
            if taken > due.starts
            else SendProgress.UNSENT
        )

    def opened(self) -> None:
        if self.timer:
            self.timer.cancel()
            self.timer = None

    def received(self, view: memoryview) -> None:
        self.reader.feed(view)
        self.heard_at = self.pool.pools.loop.now
        while (text := self.reader.raw()) is not None:
            if text[:1] == b">":
                continue  # pushed unasked: no answer to anything
            if not self.dues:
                return self.ended("spoke unasked")  # what it would answer next cannot be trusted
            due = self.dues.popleft()
            if due.attempt:
                self.told(due.attempt, text)
            if not self.conn.is_open:
                return
        if self.reader.broken:
            self.ended("no proper answer")

    def told(self, attempt: UpstreamAttempt, text: bytes) -> None:
        hosts = self.pool.pools
        if sent_on := redirect(text):
            hosts.redirected(sent_on)
            attempt.redirect_host, attempt.redirect_once = (
                format_address(sent_on.address),
                sent_on.ask,
            )
            return attempt.settle(AttemptOutcome.REDIRECTED, text)
        if text.startswith(NOT_NOW):
            hosts.doubted()
            return attempt.settle(AttemptOutcome.QUEUE_FULL, text)
        attempt.settle(AttemptOutcome.DONE, text)

    def ended(self, what: str) -> None:
        """What had been written whole may have run; the rest never did."""
        opening, dues = self.conn.connecting, list(self.dues)
        self.dues.clear()
        faults = [
            (
                due.attempt,
                AttemptFailure(
                    self.reach(due), connect_failure_cause(what) if opening else "broken", what
                ),
            )
            for due in dues
        ]
        self.close()
        self.pool.pools.doubted()
        for attempt, fault in faults:
            if attempt:
                self.pool.pools.loop.call_soon(attempt.settle, fault.outcome)

    def close(self) -> None:
        if self.timer:
            self.timer.cancel()
            self.timer = None
        self.conn.close()
        self.pool.forget(self)


class Pool(connection_pools.ConnectionPool[Link]):
    """The links to one host, many commands on each."""

    pools: Hosts

    def send(self, attempt: UpstreamAttempt) -> None:
        link = min(self.connections, key=lambda at: len(at.dues), default=None)
        if link is None or link.dues and len(self.connections) < LINKS:
            came = self.pools.dial(self.address)
            if isinstance(came, AttemptFailure):
                if link is None:
                    return self.pools.loop.call_soon(attempt.settle, came.outcome)
            else:
                link = Link(self, came)
                self.add(link)
        assert link
        link.carry(attempt)

    def retire(self) -> None:
        self.retired = True
        for link in list(self.connections):
            if not link.dues or link.conn.connecting:
                link.ended("host drains")


class Hosts(connection_pools.ConnectionPools[Pool]):
    """The id of a host is its address as text."""

    def __init__(
        self,
        loop: Loop,
        most: int,
        connect_within: int,
        secret: tuple[bytes, ...],
        dial: Callable[[Address], socket.socket | AttemptFailure],
        redirected: Callable[[Redirect], None],
        doubted: Callable[[], None],
    ) -> None:
        super().__init__(loop, most, connect_within, SWEEP, dial)
        self.secret, self.redirected, self.doubted = secret, redirected, doubted

    def make_pool(self, address: Address) -> Pool:
        return Pool(self, address)

    def close_idle(self) -> bool:
        idle = [
            link for pool in self.by_host.values() for link in pool.connections if not link.dues
        ]
        if idle:
            min(idle, key=lambda link: link.heard_at).close()
        return bool(idle)

    def sweep(self) -> None:
        for pool in list(self.by_host.values()):
            for link in list(pool.connections):
                if link.dues and not link.conn.connecting and self.loop.now - link.heard_at > STUCK:
                    link.ended("silence")
