"""Packets and descriptors between two processes of one balancer."""

from __future__ import annotations

import errno
import os
import socket
from collections import deque
from collections.abc import Callable, Sequence
from contextlib import suppress

import orjson

from orchidgap.net.dialing import OUT_OF_RESOURCES_ERRNOS
from orchidgap.net.handover.messages import Message, from_wire, to_wire
from orchidgap.net.loop import READ, WRITE, Loop

MAX_PACKET_BYTES = 1 << 18
MAX_DESCRIPTORS_PER_PACKET = 24
MAX_QUEUED_PACKETS = 256  # beyond this the other process counts as not reading
MAX_PACKETS_PER_TURN = 24  # so that other sockets are also served in this turn
MAX_REASON_LENGTH = 120
# Errors after which a packet cannot be sent now, and perhaps never, but the channel stays open.
TRANSIENT_ERRNOS = OUT_OF_RESOURCES_ERRNOS | {errno.ETOOMANYREFS, errno.EMSGSIZE}


class PacketChannel:
    """One end of a packet socket.

    `on_message` receives a message, the raw bytes that follow it and its descriptors, which are
    closed after the call. It raises ValueError, TypeError, LookupError or AttributeError for an
    invalid message, which ends the channel. `on_end` is called once with the reason when the
    channel ends, but not after `close`.
    """

    def __init__(
        self,
        loop: Loop,
        sock: socket.socket,
        on_message: Callable[[Message, bytes, list[int]], None],
        on_end: Callable[[str], None],
    ) -> None:
        """Use a connected packet socket."""
        self.loop = loop
        self.sock = sock
        self.on_message = on_message
        self.on_end = on_end
        self.queue: deque[bytes] = deque()  # packets to send, in this order
        self.mask = READ
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4 * MAX_PACKET_BYTES)
        loop.watch(sock, READ, self.on_ready)

    @property
    def is_open(self) -> bool:
        """Whether the channel has neither been closed nor failed."""
        return self.sock.fileno() >= 0

    def send(self, message: Message) -> None:
        """Queue a message, and send it as soon as the other process has read those before it."""
        self.queue.append(orjson.dumps(to_wire(message)))
        self.flush()

    def flush(self) -> None:
        """Send as many queued packets as the kernel accepts now."""
        try:
            while self.queue:
                self.sock.send(self.queue[0])
                self.queue.popleft()
        except BlockingIOError:
            pass
        except OSError as error:
            return self.fail(error.strerror or "broken")
        if len(self.queue) > MAX_QUEUED_PACKETS:
            return self.fail("send queue full: the other process does not read")
        mask = READ | (WRITE if self.queue else 0)
        if mask != self.mask:
            self.mask = mask
            self.loop.rewatch(self.sock, mask, self.on_ready)
        return None

    def send_with_sockets(
        self, message: Message, sockets: Sequence[socket.socket], raw: bytes = b""
    ) -> bool:
        """Send a message with descriptors now or not at all, and return whether it was sent."""
        if self.queue or not self.is_open:
            return False
        packet = [orjson.dumps(to_wire(message)), b"\n", raw]
        try:
            socket.send_fds(self.sock, packet, [sock.fileno() for sock in sockets])
        except BlockingIOError:
            return False
        except OSError as error:
            if error.errno not in TRANSIENT_ERRNOS:
                self.fail(error.strerror or "broken")
            return False
        return True

    def on_ready(self, mask: int) -> None:
        """Handle a socket that can be read or written."""
        if mask & WRITE:
            self.flush()
        for _ in range(MAX_PACKETS_PER_TURN):
            if not self.is_open or not self.receive():
                return

    def receive(self) -> bool:
        """Read one packet, and return whether there may be more."""
        fds: list[int] = []
        try:
            packet, fds, flags, _ = socket.recv_fds(
                self.sock, MAX_PACKET_BYTES, MAX_DESCRIPTORS_PER_PACKET, socket.MSG_CMSG_CLOEXEC
            )
        except BlockingIOError:
            return False
        except OSError as error:
            self.fail(error.strerror or "broken")
            return False
        if not packet:
            self.fail("closed")
            return False
        try:
            self.dispatch(packet, flags, fds)
        except (ValueError, TypeError, LookupError, AttributeError) as error:
            self.fail(f"invalid message: {error}"[:MAX_REASON_LENGTH])
            return False
        finally:
            for fd in fds:
                with suppress(OSError):
                    os.close(fd)
        return True

    def dispatch(self, packet: bytes, flags: int, fds: list[int]) -> None:
        """Decode a packet and pass its message on.

        Raises ValueError, TypeError, LookupError or AttributeError for an invalid packet.
        """
        line, _, raw = packet.partition(b"\n")
        items = orjson.loads(line)
        is_truncated = flags & (socket.MSG_TRUNC | socket.MSG_CTRUNC)
        if is_truncated or not isinstance(items, list) or not items:
            raise ValueError("packet truncated or not a non-empty list")
        self.on_message(from_wire(items), raw, fds)

    def fail(self, why: str) -> None:
        """Close the channel, and call `on_end` with the reason."""
        if self.is_open:
            self.close()
            self.on_end(why)

    def close(self) -> None:
        """Close the channel without calling `on_end`."""
        if self.is_open:
            self.loop.unwatch(self.sock)
            self.sock.close()
