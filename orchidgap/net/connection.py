"""A connection: a socket with callbacks and bounded buffers, and how far what was sent on it came."""

from __future__ import annotations

import errno
import os
import select
import socket
import struct
import time
from collections.abc import Callable, Iterable
from contextlib import suppress
from enum import IntEnum
from typing import NamedTuple, Protocol

from orchidgap.net.loop import READ, WRITE, Loop, Timer

LINGER = 1_000_000  # for the other side to close once it has our last words
LEFTOVER = 8_000_000  # and at most, while it still sends what nobody reads
MOST_LEFT = 1 << 26  # bytes of that
UNREAD = 10_000_000  # for the other side to read on in what is written
MOST_OUT = 1 << 21  # bytes waiting to be written: the largest answer, and what is said behind it
UNDER_WAY = frozenset((0, errno.EINPROGRESS, errno.EINTR))
SO_TIMESTAMPNS = 35  # Linux: the kernel tells when what is read came in
STAMP = struct.Struct("qq")
RESET = struct.pack("ii", 1, 0)
OLDEST = 60_000_000  # a stamp older than this tells of a clock that was set
REFUSED = frozenset(map(os.strerror, (errno.ECONNREFUSED, errno.ECONNRESET)))
SHORT = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM))


class Reach(IntEnum):
    """How far a dispatch came."""

    UNSENT = 0
    PARTLY = 1
    WHOLE = 2


class Fault(NamedTuple):
    """An error as a value. Only a dispatch whose last byte was written can have run.

    >>> for cause in ("broken", "refused", "stale", "overdue", "cancelled", "short"):
    ...     print([Fault(reach, cause).verdict for reach in Reach])
    ['unconnected', 'unconnected', 'reset']
    ['refused', 'unconnected', 'reset']
    ['unconnected', 'unconnected', 'stale']
    ['moot', 'moot', 'timeout']
    ['moot', 'moot', 'cancelled']
    ['moot', 'moot', 'reset']
    """

    reach: Reach
    cause: (
        str  # broken, refused, stale (it had been kept), overdue, cancelled, short (of descriptors)
    )
    what: str = ""

    @property
    def verdict(self) -> str:
        if self.reach is Reach.WHOLE:
            return {"overdue": "timeout", "cancelled": "cancelled", "stale": "stale"}.get(
                self.cause, "reset"
            )
        if self.cause == "refused" and self.reach is Reach.UNSENT:
            return "refused"
        # what this balancer itself lacks says nothing against the host
        return "unconnected" if self.cause in ("broken", "refused", "stale") else "moot"


Address = tuple[str, int]


def broken(what: str) -> str:
    """The cause, by what is said of a connection that did not come up: refused means no process there.

    >>> broken(os.strerror(errno.ECONNREFUSED)), broken("never came up")
    ('refused', 'broken')
    """
    return "refused" if what in REFUSED else "broken"


def dial(address: Address) -> socket.socket | Fault:
    """A socket on its way to the address."""
    try:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
    except OSError as error:
        cause = "short" if error.errno in SHORT else "broken"
        return Fault(Reach.UNSENT, cause, error.strerror or "no socket")
    try:
        number = sock.connect_ex(address)
    except OSError:  # the address is no address
        number = errno.EINVAL
    if number in UNDER_WAY:
        return sock
    sock.close()
    return Fault(Reach.UNSENT, broken(os.strerror(number)), os.strerror(number))


def age(notes: Iterable[tuple[int, int, bytes]], now: int) -> int | None:
    """How long ago (in microseconds) the kernel took in what was read, if it says so; now is in nanoseconds.

    >>> age([(socket.SOL_SOCKET, SO_TIMESTAMPNS, STAMP.pack(7, 1000))], 7_000_251_000)
    250
    >>> age([], 7), age([(socket.SOL_SOCKET, SO_TIMESTAMPNS, STAMP.pack(7, 0))], 6_999_999_999)
    (None, None)
    """
    for level, kind, note in notes:
        if (level, kind, len(note)) == (socket.SOL_SOCKET, SO_TIMESTAMPNS, STAMP.size):
            whole, part = STAMP.unpack(note)
            micros = (now - whole * 1_000_000_000 - part) // 1000
            return micros if 0 <= micros < OLDEST else None
    return None


def open_listener(address: Address, backlog: int) -> socket.socket:
    """A socket that listens there. Raises OSError."""
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(address)
        listener.listen(backlog)
    except OSError:
        listener.close()
        raise
    return listener


class Owner(Protocol):
    def opened(self) -> None: ...

    def received(self, view: memoryview) -> None:
        """The view is gone after the call."""

    def ended(self, what: str) -> None:
        """Once, and not after `close`."""


class Connection:
    __slots__ = (
        "came",
        "closing",
        "drained",
        "dropped",
        "holds",
        "loop",
        "mask",
        "moved",
        "opening",
        "out",
        "owner",
        "sock",
        "stamped",
        "taken",
        "timer",
        "until",
    )

    def __init__(
        self,
        loop: Loop,
        sock: socket.socket,
        owner: Owner,
        opening: bool = False,
        stamped: bool = False,
    ) -> None:
        self.loop, self.sock, self.owner, self.opening = loop, sock, owner, opening
        self.out = bytearray()
        self.taken = 0  # bytes that the kernel has taken so far
        self.drained: Callable[[], None] | None = (
            None  # told when all that was to be written has been taken
        )
        self.dropped = 0  # bytes that came while it was closing
        self.closing = False  # nothing more is sent, what still comes is dropped
        self.holds = (
            False  # nothing more is read for now: there is no room for what would come of it
        )
        self.timer: Timer | None = None  # ends it unless the other side reads, or closes
        self.moved = self.until = 0  # when it last did; when it ends whatever it does
        self.stamped, self.came = (
            False,
            0,
        )  # when what was read last came in, as far as that is known
        sock.setblocking(False)
        if sock.family == socket.AF_INET:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            if stamped:
                with suppress(OSError):
                    sock.setsockopt(socket.SOL_SOCKET, SO_TIMESTAMPNS, 1)
                    self.stamped = True
        self.mask = WRITE if opening else READ
        loop.watch(sock, self.mask, self.ready)

    @property
    def open(self) -> bool:
        return self.sock.fileno() >= 0

    def ready(self, mask: int) -> None:
        """Whatever goes wrong in here ends this connection and no other."""
        try:
            if self.open and self.opening:
                error = self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
                if error:
                    return self.end(os.strerror(error))
                self.opening = False
                self.rewatch()
                self.owner.opened()
            if self.open and mask & WRITE and self.out:
                self.flush()
            if self.open and mask & READ:
                self.read()
        except Exception as trouble:
            if self.loop.on_error:
                self.loop.on_error(trouble)
            self.end(f"fault: {type(trouble).__name__}")

    def read(self) -> None:
        try:
            count = self.receive()
        except BlockingIOError:
            return
        except OSError as error:
            return self.end(error.strerror or "broken")
        if not count:
            return self.end("closed")
        if not self.closing:
            return self.owner.received(self.loop.buffer[:count])
        self.moved = self.loop.now
        self.dropped += count
        if self.dropped > MOST_LEFT:
            self.end("not read")

    def receive(self) -> int:
        """Without a stamp, what is there now may have come at any time since the loop last looked."""
        self.came = self.loop.since
        if not self.stamped:
            return self.sock.recv_into(self.loop.buffer)
        count, notes, _, _ = self.sock.recvmsg_into(
            [self.loop.buffer], socket.CMSG_SPACE(STAMP.size)
        )
        ago = age(notes, time.time_ns())
        if ago is not None:
            self.came = self.loop.clock() - ago
        return count

    def send(self, *parts: bytes) -> None:
        """Write what the kernel takes now and keep the rest."""
        count = 0
        if not self.out and not self.opening:
            try:
                count = self.sock.sendmsg(parts)
            except BlockingIOError:
                pass
            except OSError as error:
                return self.end(error.strerror or "broken")
            self.taken += count
        rest = sum(map(len, parts)) - count
        if rest:
            self.out += b"".join(parts)[-rest:]
            if not self.timer:
                self.end_in(UNREAD)
            self.rewatch()
        elif count:
            self.moved = self.loop.now
        if len(self.out) > MOST_OUT:
            self.end("not read")

    def flush(self) -> None:
        try:
            while self.out:
                count = self.sock.send(self.out)
                self.taken += count
                self.moved = self.loop.now
                del self.out[:count]
        except BlockingIOError:
            pass
        except OSError as error:
            return self.end(error.strerror or "broken")
        if not self.out:
            self.rest()
            if self.closing:
                self.hush()
            elif self.drained:
                self.drained()
        self.rewatch()

    def end_in(self, delay: int, most: int = 0) -> None:
        """Unless the other side moves; and after `most` whatever it does."""
        self.rest()
        self.moved = self.loop.now
        self.until = self.moved + most if most else 0
        self.timer = self.loop.call_later(delay, self.look, delay)

    def look(self, delay: int) -> None:
        still = self.moved + delay - self.loop.now
        if still <= 0 or self.until and self.loop.now >= self.until:
            return self.end("not read")
        if self.until:
            still = min(still, self.until - self.loop.now)
        self.timer = self.loop.call_later(still, self.look, delay)

    def rest(self) -> None:
        if self.timer:
            self.timer.cancel()
            self.timer = None

    def rewatch(self) -> None:
        mask = (0 if self.holds else READ) | (WRITE if self.out else 0)
        if not self.open or mask == self.mask:
            return
        was, self.mask = self.mask, mask
        if not mask:
            self.loop.unwatch(self.sock)
        elif not was:
            self.loop.watch(self.sock, mask, self.ready)
        else:
            self.loop.rewatch(self.sock, mask, self.ready)

    def hold(self, on: bool) -> None:
        """Read nothing more, or go on: the other side is held up by its own buffers."""
        if on != self.holds:
            self.holds = on
            if not self.opening:
                self.rewatch()

    def gone(self) -> bool:
        """Whether the other side has closed, also where what it sent before that is not read yet."""
        if not self.open:
            return True
        poll = select.poll()
        poll.register(self.sock, select.POLLRDHUP)
        return bool(poll.poll(0))

    def stale(self) -> bool:
        """Whether an idle connection was closed, or spoken on, since the last look."""
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            pass
        return True

    def finish(self) -> None:
        """Close once all is written and read: closing on unread bytes would reset our last words away."""
        if self.open and not self.closing:
            self.closing = True
            if not self.out:
                self.hush()

    def hush(self) -> None:
        self.end_in(LINGER, LEFTOVER)
        try:
            self.sock.shutdown(socket.SHUT_WR)
        except OSError as error:
            self.end(error.strerror or "broken")

    def end(self, what: str) -> None:
        if self.open:
            self.close()
            self.owner.ended(what)

    def reset(self) -> None:
        """Close so that the other side can tell that what it got is not all."""
        if self.open:
            with suppress(OSError):
                self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            self.close()

    def close(self) -> None:
        if self.open:
            self.rest()
            if self.mask:
                self.loop.unwatch(self.sock)
            self.sock.close()
