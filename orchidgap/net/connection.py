"""A connection: a socket with callbacks, a bounded write buffer and an idle timer."""

from __future__ import annotations

import os
import socket
import struct
import time
from collections.abc import Callable
from contextlib import suppress
from typing import Protocol

from orchidgap.net import socket_state
from orchidgap.net.loop import READ, READ_BUFFER_BYTES, WRITE, Loop, Timer
from orchidgap.net.receive_timestamps import (
    ANCILLARY_BYTES,
    enable_receive_timestamps,
    receive_age_us,
)

LINGER_US = 1_000_000  # idle time that the peer has to close after our half-close
MAX_LINGER_US = 8_000_000  # total time for that while the peer still sends (bytes are discarded)
MAX_DISCARDED_BYTES = 1 << 26  # most bytes discarded while closing
UNREAD_TIMEOUT_US = 10_000_000  # time in which the peer has to read some of what is buffered
MAX_WRITE_BUFFER_BYTES = 1 << 21  # enough for the largest answer and what is written after it
# Additional reads of an urgent connection in one turn, before other connections: enough for the
# longest host list.
MAX_URGENT_READS = 64
MAX_SEND_PARTS = 512  # the system refuses one write of more than 1,024
MAX_READING_US = 1_000  # a connection whose bytes take longer to handle goes on in the next turn
LINGER_RESET = struct.pack("ii", 1, 0)


class ConnectionOwner(Protocol):
    """Receives the events of a connection."""

    def on_connected(self) -> None:
        """Called when a connection that was dialled is established."""

    def on_data(self, view: memoryview) -> None:
        """Called with bytes that were read; the view is valid during the call only."""

    def on_closed(self, reason: str) -> None:
        """Called when the connection has ended, with the system's reason as `reason`.

        Called at most once, and never after `Connection.close`.
        """


class ReadObserver(Protocol):
    """Looks at a connection before and after it is read."""

    def before_read(self) -> None:
        """Called before bytes that have arrived are read."""

    def after_read(self, is_drained: bool) -> None:
        """Called after reading; `is_drained` is whether all bytes that had arrived were read."""


class Connection:
    """One connection. Its owner receives its events and closes it."""

    __slots__ = (
        "at_message_end",
        "bytes_written",
        "close_by_us",
        "closing",
        "connecting",
        "deferrable",
        "discarded_bytes",
        "idle_timer",
        "last_progress_us",
        "loop",
        "mask",
        "max_read_bytes",
        "on_drained",
        "owner",
        "read_observer",
        "read_paused",
        "received_at_us",
        "sock",
        "timestamps_enabled",
        "urgent",
        "write_buffer",
    )

    def __init__(
        self,
        loop: Loop,
        sock: socket.socket,
        owner: ConnectionOwner,
        opening: bool = False,
        with_timestamps: bool = False,
        urgent: bool = False,
        deferrable: bool = False,
    ) -> None:
        """Watch the socket.

        Args:
            loop: The event loop that calls back.
            sock: The socket; it is made non-blocking.
            owner: Receives the connection's events.
            opening: Whether the connection was dialled and is not established yet.
            with_timestamps: Whether to have the kernel timestamp received bytes.
            urgent: Whether to read it before other connections that are ready in the same turn.
            deferrable: Whether it may wait for a later turn if others take long.
        """
        self.loop = loop
        self.sock = sock
        self.owner = owner
        self.connecting = opening
        self.write_buffer = bytearray()
        self.bytes_written = 0  # bytes that the kernel has accepted
        # called when the kernel has accepted the whole write buffer
        self.on_drained: Callable[[], None] | None = None
        self.discarded_bytes = 0  # bytes received while closing
        self.closing = False  # nothing more is sent, and received bytes are discarded
        self.read_paused = False  # there is no buffer space for more input
        self.max_read_bytes = READ_BUFFER_BYTES  # for one read; the rest stays in the kernel
        self.at_message_end = False  # no more is expected to have arrived than was read
        # closes the connection unless the peer makes progress: reads, sends or closes
        self.idle_timer: Timer | None = None
        self.last_progress_us = 0  # when the peer last made progress
        self.close_by_us = 0  # when the connection is closed regardless of progress; 0 for never
        self.timestamps_enabled = False
        self.urgent = urgent
        self.deferrable = deferrable
        self.received_at_us = 0  # when the bytes read last arrived, as far as that is known
        self.read_observer: ReadObserver | None = None
        sock.setblocking(False)
        if sock.family == socket.AF_INET:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            if with_timestamps:
                self.timestamps_enabled = enable_receive_timestamps(sock)
        self.mask = WRITE if opening else READ
        loop.watch(sock, self.mask, self.on_ready, urgent, deferrable)

    @property
    def is_open(self) -> bool:
        """Whether the connection has neither been closed nor ended."""
        return self.sock.fileno() >= 0

    # --- events of the loop

    def on_ready(self, mask: int) -> None:
        """Read from or write to the ready socket; an exception ends this connection only."""
        try:
            if self.connecting and self.is_open:
                error = self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
                if error:
                    return self.fail(os.strerror(error))
                self.connecting = False
                self.update_watch()
                self.owner.on_connected()
            if mask & WRITE and self.write_buffer and self.is_open:
                self.flush()
            if mask & READ and self.is_open:
                self.read_some()
                if self.urgent:
                    self.read_remaining()
        except Exception as error:  # noqa: BLE001  # must not affect other connections
            if self.loop.on_error:
                self.loop.on_error(error)
            self.fail(f"fault: {type(error).__name__}")
        return None

    def read_some(self) -> None:
        """Read as much as the loop's buffer holds; less if handling it takes long."""
        if self.read_observer:
            self.read_observer.before_read()
        is_drained = self.read_until_drained()
        if self.read_observer:
            self.read_observer.after_read(is_drained)

    def read_until_drained(self) -> bool:
        """Read within the bounds of one turn; return whether nothing was left unread."""
        bytes_left = READ_BUFFER_BYTES
        begun_us = 0
        while bytes_left > 0:
            size = self.max_read_bytes
            count = self.read()
            bytes_left -= count
            if count < size:
                return True
            if self.at_message_end or self.closing or self.read_paused or not self.is_open:
                return False
            now_us = self.loop.clock()
            begun_us = begun_us or now_us
            if now_us - begun_us >= MAX_READING_US:
                return False
        return False

    def read(self) -> int:
        """Read once and pass the bytes to the owner, or discard them while closing.

        Returns:
            The number of bytes.
        """
        try:
            count = self.receive()
        except BlockingIOError:
            return 0
        except OSError as error:
            self.fail(error.strerror or "broken")
            return 0
        if not count:
            self.fail("closed")
        elif not self.closing:
            self.owner.on_data(self.loop.buffer[:count])
        else:
            self.last_progress_us = self.loop.now
            self.discarded_bytes += count
            if self.discarded_bytes > MAX_DISCARDED_BYTES:
                self.fail("not read")
        return count

    def read_remaining(self) -> None:
        """Read what exceeds one read, so that the rest is handled before other connections too."""
        for _ in range(MAX_URGENT_READS):
            if not self.is_open or self.read_paused or not self.has_unread_bytes():
                return
            self.read()

    def discard_received(self) -> None:
        """Read and discard the bytes that have arrived on a closing connection.

        Ends after `MAX_READING_US` even if the peer goes on sending.
        """
        begun_us = self.loop.clock()
        while self.is_open and self.closing and self.read():
            if self.loop.clock() - begun_us >= MAX_READING_US:
                return

    def receive(self) -> int:
        """Read into the loop's buffer, set `received_at_us` and return the number of bytes.

        Without a kernel timestamp the bytes may have arrived at any time since the loop's previous
        poll, so the earliest such time is assumed.
        """
        self.received_at_us = self.loop.ready_since_us
        buffer = self.loop.buffer if self.closing else self.loop.buffer[: self.max_read_bytes]
        if not self.timestamps_enabled:
            return self.sock.recv_into(buffer)
        count, ancillary_data, _, _ = self.sock.recvmsg_into([buffer], ANCILLARY_BYTES)
        # the loop's clock is read first: a delay before the second clock is read makes the
        # arrival time earlier, never later
        read_at_us = self.loop.clock()
        age_us = receive_age_us(ancillary_data, time.time_ns())
        if age_us is not None:
            self.received_at_us = read_at_us - age_us
        return count

    # --- writing

    def send(self, *parts: bytes) -> None:
        """Write what the kernel accepts now and buffer the rest."""
        count = 0
        if len(parts) > MAX_SEND_PARTS:
            parts = (b"".join(parts),)
        if not self.write_buffer and not self.connecting:
            try:
                count = self.sock.sendmsg(parts)
            except BlockingIOError:
                pass
            except OSError as error:
                self.fail(error.strerror or "broken")
                return
            self.bytes_written += count
        rest = sum(map(len, parts)) - count
        if rest:
            self.write_buffer += b"".join(parts)[-rest:]
            if not self.idle_timer:
                self.start_idle_timer(UNREAD_TIMEOUT_US)
            self.update_watch()
        elif count:
            self.last_progress_us = self.loop.now
        # a peer that sends requests without reading the answers would grow the buffer without bound
        if len(self.write_buffer) > MAX_WRITE_BUFFER_BYTES:
            self.fail("not read")

    def flush(self) -> None:
        """Write as much of the write buffer as the kernel accepts."""
        try:
            while self.write_buffer:
                count = self.sock.send(self.write_buffer)
                self.bytes_written += count
                self.last_progress_us = self.loop.now
                del self.write_buffer[:count]
        except BlockingIOError:
            pass
        except OSError as error:
            self.fail(error.strerror or "broken")
            return
        if not self.write_buffer:
            self.stop_idle_timer()
            if self.closing:
                self.half_close()
            elif self.on_drained:
                self.on_drained()
        self.update_watch()

    # --- the idle timer

    def start_idle_timer(self, timeout_us: int, max_us: int = 0) -> None:
        """Close the connection after `timeout_us` without progress of the peer.

        With `max_us` above 0, close it after that time regardless of progress.
        """
        self.stop_idle_timer()
        self.last_progress_us = self.loop.now
        self.close_by_us = self.last_progress_us + max_us if max_us else 0
        self.idle_timer = self.loop.call_later(timeout_us, self.on_idle_timer, timeout_us)

    def on_idle_timer(self, timeout_us: int) -> None:
        """Close the connection, or start the timer again if the peer has made progress since."""
        remaining_us = self.last_progress_us + timeout_us - self.loop.now
        is_overdue = self.close_by_us > 0 and self.loop.now >= self.close_by_us
        if remaining_us <= 0 or is_overdue:
            self.fail("not read")
            return
        if self.close_by_us:
            remaining_us = min(remaining_us, self.close_by_us - self.loop.now)
        self.idle_timer = self.loop.call_later(remaining_us, self.on_idle_timer, timeout_us)

    def stop_idle_timer(self) -> None:
        """Cancel the idle timer, so that the connection may be idle without a limit."""
        if self.idle_timer:
            self.idle_timer.cancel()
            self.idle_timer = None

    # --- watching in the loop

    def update_watch(self) -> None:
        """Watch for reading unless that is paused, and for writing while bytes are buffered."""
        mask = (0 if self.read_paused else READ) | (WRITE if self.write_buffer else 0)
        if not self.is_open or mask == self.mask:
            return
        previous = self.mask
        self.mask = mask
        if not mask:
            self.loop.unwatch(self.sock)
        elif not previous:
            self.loop.watch(self.sock, mask, self.on_ready, self.urgent, self.deferrable)
        else:
            self.loop.rewatch(self.sock, mask, self.on_ready)

    def pause_reading(self, on: bool) -> None:
        """Pause or resume reading; while paused, the peer is blocked once its buffers are full."""
        if on != self.read_paused:
            self.read_paused = on
            if not self.connecting:
                self.update_watch()

    def set_deferrable(self, deferrable: bool) -> None:
        """Change whether the connection may wait for a later turn if others take long."""
        if deferrable == self.deferrable:
            return
        self.deferrable = deferrable
        if self.is_open and self.mask:
            self.loop.set_deferrable(self.sock, deferrable)

    # --- the state of the peer

    def peer_has_closed(self) -> bool:
        """Whether the peer has closed, even if bytes that it sent before are still unread."""
        return not self.is_open or socket_state.peer_has_closed(self.sock)

    def may_hide_close(self) -> bool:
        """Whether the peer may have closed behind bytes that the kernel could not deliver yet."""
        return self.is_open and socket_state.may_hide_close(self.sock)

    def is_stale(self) -> bool:
        """Whether an idle connection was closed by the peer or has unexpected bytes to read.

        Such bytes would be taken for the answer to the next request.
        """
        return socket_state.is_readable(self.sock)

    def has_unread_bytes(self) -> bool:
        """Whether received bytes have not been read yet; closing now would reset the connection."""
        return self.is_open and socket_state.has_unread_bytes(self.sock)

    def count_unread_bytes(self) -> int:
        """Return how many bytes have arrived and were not read; 0 if the connection has ended."""
        return socket_state.count_unread_bytes(self.sock) if self.is_open else 0

    # --- its end

    def close_gracefully(self) -> None:
        """Close once everything is written and the peer has closed.

        Closing with unread bytes would send a reset, and the peer could lose our last bytes.
        """
        if self.is_open and not self.closing:
            self.closing = True
            if not self.write_buffer:
                self.half_close()

    def half_close(self) -> None:
        """Shut down sending, and close if the peer does not do so within a bounded time."""
        self.start_idle_timer(LINGER_US, MAX_LINGER_US)
        try:
            self.sock.shutdown(socket.SHUT_WR)
        except OSError as error:
            self.fail(error.strerror or "broken")

    def fail(self, what: str) -> None:
        """Close, and notify the owner of the reason."""
        if self.is_open:
            self.close()
            self.owner.on_closed(what)

    def reset(self) -> None:
        """Close with a reset, so that the peer can detect that the answer is truncated."""
        if self.is_open:
            with suppress(OSError):
                self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
            self.close()

    def close(self) -> None:
        """Close without notifying the owner."""
        if self.is_open:
            self.stop_idle_timer()
            if self.mask:
                self.loop.unwatch(self.sock)
            self.sock.close()
            self.on_drained = None
            self.read_observer = None
