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
OUT_OF_RESOURCES_ERRNOS = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM))


class SendProgress(IntEnum):
    """How far a dispatch came."""

    UNSENT = 0
    PARTIAL = 1
    COMPLETE = 2


class AttemptFailure(NamedTuple):
    """An error as a value. Only a dispatch whose last byte was written can have run.

    >>> for cause in ("broken", "refused", "stale", "overdue", "cancelled", "short"):
    ...     print([AttemptFailure(progress, cause).outcome for progress in SendProgress])
    ['unconnected', 'unconnected', 'reset']
    ['refused', 'unconnected', 'reset']
    ['unconnected', 'unconnected', 'stale']
    ['moot', 'moot', 'timeout']
    ['moot', 'moot', 'cancelled']
    ['moot', 'moot', 'reset']
    """

    progress: SendProgress
    cause: (
        str  # broken, refused, stale (it had been kept), overdue, cancelled, short (of descriptors)
    )
    detail: str = ""

    @property
    def outcome(self) -> str:
        if self.progress is SendProgress.COMPLETE:
            return {"overdue": "timeout", "cancelled": "cancelled", "stale": "stale"}.get(
                self.cause, "reset"
            )
        if self.cause == "refused" and self.progress is SendProgress.UNSENT:
            return "refused"
        # what this balancer itself lacks says nothing against the host
        return "unconnected" if self.cause in ("broken", "refused", "stale") else "moot"


Address = tuple[str, int]


def connect_failure_cause(what: str) -> str:
    """The cause, by what is said of a connection that did not come up: refused means no process there.

    >>> connect_failure_cause(os.strerror(errno.ECONNREFUSED)), connect_failure_cause("never came up")
    ('refused', 'broken')
    """
    return "refused" if what in REFUSED else "broken"


def dial(address: Address) -> socket.socket | AttemptFailure:
    """A socket on its way to the address."""
    try:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
    except OSError as error:
        cause = "short" if error.errno in OUT_OF_RESOURCES_ERRNOS else "broken"
        return AttemptFailure(SendProgress.UNSENT, cause, error.strerror or "no socket")
    try:
        number = sock.connect_ex(address)
    except OSError:  # the address is no address
        number = errno.EINVAL
    if number in UNDER_WAY:
        return sock
    sock.close()
    return AttemptFailure(
        SendProgress.UNSENT, connect_failure_cause(os.strerror(number)), os.strerror(number)
    )


def receive_age_us(notes: Iterable[tuple[int, int, bytes]], now: int) -> int | None:
    """How long ago (in microseconds) the kernel took in what was read, if it says so; now is in nanoseconds.

    >>> receive_age_us([(socket.SOL_SOCKET, SO_TIMESTAMPNS, STAMP.pack(7, 1000))], 7_000_251_000)
    250
    >>> receive_age_us([], 7), receive_age_us([(socket.SOL_SOCKET, SO_TIMESTAMPNS, STAMP.pack(7, 0))], 6_999_999_999)
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


class ConnectionOwner(Protocol):
    def opened(self) -> None: ...

    def received(self, view: memoryview) -> None:
        """The view is gone after the call."""

    def ended(self, what: str) -> None:
        """Once, and not after `close`."""


class Connection:
    __slots__ = (
        "bytes_written",
        "close_by_us",
        "closing",
        "connecting",
        "discarded_bytes",
        "idle_timer",
        "last_progress_us",
        "loop",
        "mask",
        "on_drained",
        "owner",
        "read_paused",
        "received_at_us",
        "sock",
        "timestamps_enabled",
        "write_buffer",
    )

    def __init__(
        self,
        loop: Loop,
        sock: socket.socket,
        owner: ConnectionOwner,
        opening: bool = False,
        stamped: bool = False,
    ) -> None:
        self.loop, self.sock, self.owner, self.connecting = loop, sock, owner, opening
        self.write_buffer = bytearray()
        self.bytes_written = 0  # bytes that the kernel has taken so far
        self.on_drained: Callable[[], None] | None = (
            None  # told when all that was to be written has been taken
        )
        self.discarded_bytes = 0  # bytes that came while it was closing
        self.closing = False  # nothing more is sent, what still comes is dropped
        self.read_paused = (
            False  # nothing more is read for now: there is no room for what would come of it
        )
        self.idle_timer: Timer | None = None  # ends it unless the other side reads, or closes
        self.last_progress_us = self.close_by_us = (
            0  # when it last did; when it ends whatever it does
        )
        self.timestamps_enabled, self.received_at_us = (
            False,
            0,
        )  # when what was read last came in, as far as that is known
        sock.setblocking(False)
        if sock.family == socket.AF_INET:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            if stamped:
                with suppress(OSError):
                    sock.setsockopt(socket.SOL_SOCKET, SO_TIMESTAMPNS, 1)
                    self.timestamps_enabled = True
        self.mask = WRITE if opening else READ
        loop.watch(sock, self.mask, self.on_ready)

    @property
    def is_open(self) -> bool:
        return self.sock.fileno() >= 0

    def on_ready(self, mask: int) -> None:
        """Whatever goes wrong in here ends this connection and no other."""
        try:
            if self.is_open and self.connecting:
                error = self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
                if error:
                    return self.fail(os.strerror(error))
                self.connecting = False
                self.update_watch()
                self.owner.opened()
            if self.is_open and mask & WRITE and self.write_buffer:
                self.flush()
            if self.is_open and mask & READ:
                self.read()
        except Exception as trouble:
            if self.loop.on_error:
                self.loop.on_error(trouble)
            self.fail(f"fault: {type(trouble).__name__}")

    def read(self) -> None:
        try:
            count = self.receive()
        except BlockingIOError:
            return
        except OSError as error:
            return self.fail(error.strerror or "broken")
        if not count:
            return self.fail("closed")
        if not self.closing:
            return self.owner.received(self.loop.buffer[:count])
        self.last_progress_us = self.loop.now
        self.discarded_bytes += count
        if self.discarded_bytes > MOST_LEFT:
            self.fail("not read")

    def receive(self) -> int:
        """Without a stamp, what is there now may have come at any time since the loop last looked."""
        self.received_at_us = self.loop.ready_since_us
        if not self.timestamps_enabled:
            return self.sock.recv_into(self.loop.buffer)
        count, notes, _, _ = self.sock.recvmsg_into(
            [self.loop.buffer], socket.CMSG_SPACE(STAMP.size)
        )
        ago = receive_age_us(notes, time.time_ns())
        if ago is not None:
            self.received_at_us = self.loop.clock() - ago
        return count

    def send(self, *parts: bytes) -> None:
        """Write what the kernel takes now and keep the rest."""
        count = 0
        if not self.write_buffer and not self.connecting:
            try:
                count = self.sock.sendmsg(parts)
            except BlockingIOError:
                pass
            except OSError as error:
                return self.fail(error.strerror or "broken")
            self.bytes_written += count
        rest = sum(map(len, parts)) - count
        if rest:
            self.write_buffer += b"".join(parts)[-rest:]
            if not self.idle_timer:
                self.start_idle_timer(UNREAD)
            self.update_watch()
        elif count:
            self.last_progress_us = self.loop.now
        if len(self.write_buffer) > MOST_OUT:
            self.fail("not read")

    def flush(self) -> None:
        try:
            while self.write_buffer:
                count = self.sock.send(self.write_buffer)
                self.bytes_written += count
                self.last_progress_us = self.loop.now
                del self.write_buffer[:count]
        except BlockingIOError:
            pass
        except OSError as error:
            return self.fail(error.strerror or "broken")
        if not self.write_buffer:
            self.stop_idle_timer()
            if self.closing:
                self.half_close()
            elif self.on_drained:
                self.on_drained()
        self.update_watch()

    def start_idle_timer(self, delay: int, most: int = 0) -> None:
        """Unless the other side moves; and after `most` whatever it does."""
        self.stop_idle_timer()
        self.last_progress_us = self.loop.now
        self.close_by_us = self.last_progress_us + most if most else 0
        self.idle_timer = self.loop.call_later(delay, self.on_idle_timer, delay)

    def on_idle_timer(self, delay: int) -> None:
        still = self.last_progress_us + delay - self.loop.now
        if still <= 0 or self.close_by_us and self.loop.now >= self.close_by_us:
            return self.fail("not read")
        if self.close_by_us:
            still = min(still, self.close_by_us - self.loop.now)
        self.idle_timer = self.loop.call_later(still, self.on_idle_timer, delay)

    def stop_idle_timer(self) -> None:
        if self.idle_timer:
            self.idle_timer.cancel()
            self.idle_timer = None

    def update_watch(self) -> None:
        mask = (0 if self.read_paused else READ) | (WRITE if self.write_buffer else 0)
        if not self.is_open or mask == self.mask:
            return
        was, self.mask = self.mask, mask
        if not mask:
            self.loop.unwatch(self.sock)
        elif not was:
            self.loop.watch(self.sock, mask, self.on_ready)
        else:
            self.loop.rewatch(self.sock, mask, self.on_ready)

    def pause_reading(self, on: bool) -> None:
        """Read nothing more, or go on: the other side is held up by its own buffers."""
        if on != self.read_paused:
            self.read_paused = on
            if not self.connecting:
                self.update_watch()

    def peer_has_closed(self) -> bool:
        """Whether the other side has closed, also where what it sent before that is not read yet."""
        if not self.is_open:
            return True
        poll = select.poll()
        poll.register(self.sock, select.POLLRDHUP)
        return bool(poll.poll(0))

    def is_stale(self) -> bool:
        """Whether an idle connection was closed, or spoken on, since the last look."""
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            pass
        return True

    def close_gracefully(self) -> None:
        """Close once all is written and read: closing on unread bytes would reset our last words away."""
        if self.is_open and not self.closing:
            self.closing = True
            if not self.write_buffer:
                self.half_close()

    def half_close(self) -> None:
        self.start_idle_timer(LINGER, LEFTOVER)
        try:
            self.sock.shutdown(socket.SHUT_WR)
        except OSError as error:
            self.fail(error.strerror or "broken")

    def fail(self, what: str) -> None:
        if self.is_open:
            self.close()
            self.owner.ended(what)

    def reset(self) -> None:
        """Close so that the other side can tell that what it got is not all."""
        if self.is_open:
            with suppress(OSError):
                self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            self.close()

    def close(self) -> None:
        if self.is_open:
            self.stop_idle_timer()
            if self.mask:
                self.loop.unwatch(self.sock)
            self.sock.close()
