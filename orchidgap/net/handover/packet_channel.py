"""Packets between two processes of one balancer, with the descriptors that go with them."""

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
MAX_DESCRIPTORS = 24  # in a packet
MAX_QUEUED_PACKETS = 256  # for a process that does not read
MAX_PACKETS_A_TURN = 24  # before others get theirs
MAX_REASON_LENGTH = 120
# not now, and perhaps not at all; the channel goes on
TRANSIENT_ERRNOS = OUT_OF_RESOURCES_ERRNOS | {errno.ETOOMANYREFS, errno.EMSGSIZE}


class PacketChannel:
    """One end of a socket of packets.

    `on_message` is given a message, the raw bytes behind it and descriptors that are closed after
    the call. It raises ValueError, TypeError, LookupError or AttributeError for what makes no
    sense, which ends the channel. `on_end` is told why the channel ended, once, and not after
    `close`.
    """

    def __init__(
        self,
        loop: Loop,
        sock: socket.socket,
        on_message: Callable[[Message, bytes, list[int]], None],
        on_end: Callable[[str], None],
    ) -> None:
        """Speak on a socket of packets that is connected."""
        self.loop = loop
        self.sock = sock
        self.on_message = on_message
        self.on_end = on_end
        self.queue: deque[bytes] = deque()  # to be sent, in this order
        self.mask = READ
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4 * MAX_PACKET_BYTES)
        loop.watch(sock, READ, self.on_ready)

    @property
    def is_open(self) -> bool:
        """Whether it was neither closed nor ended."""
        return self.sock.fileno() >= 0

    def send(self, message: Message) -> None:
        """Send a message behind those before it, as soon as the other process reads."""
        self.queue.append(orjson.dumps(to_wire(message)))
        self.flush()

    def flush(self) -> None:
        """Send what the kernel takes now."""
        try:
            while self.queue:
                self.sock.send(self.queue[0])
                self.queue.popleft()
        except BlockingIOError:
            pass
        except OSError as error:
            return self.fail(error.strerror or "broken")
        if len(self.queue) > MAX_QUEUED_PACKETS:
            return self.fail("does not read")
        mask = READ | (WRITE if self.queue else 0)
        if mask != self.mask:
            self.mask = mask
            self.loop.rewatch(self.sock, mask, self.on_ready)
        return None

    def send_with_sockets(
        self, message: Message, sockets: Sequence[socket.socket], raw: bytes = b""
    ) -> bool:
        """Send a message with descriptors at once, or not at all; returns whether it was sent."""
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
        """The socket can be read or written."""
        if mask & WRITE:
            self.flush()
        for _ in range(MAX_PACKETS_A_TURN):
            if not self.is_open or not self.receive():
                return

    def receive(self) -> bool:
        """Read one packet; returns whether there may be more."""
        fds: list[int] = []
        try:
            packet, fds, flags, _ = socket.recv_fds(
                self.sock, MAX_PACKET_BYTES, MAX_DESCRIPTORS, socket.MSG_CMSG_CLOEXEC
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
            self.fail(f"odd message: {error}"[:MAX_REASON_LENGTH])
            return False
        finally:
            for fd in fds:
                with suppress(OSError):
                    os.close(fd)
        return True

    def dispatch(self, packet: bytes, flags: int, fds: list[int]) -> None:
        """Decode a packet and pass its message on. Raises ValueError and the like where it is
        none.
        """
        line, _, raw = packet.partition(b"\n")
        words = orjson.loads(line)
        is_cut_off = flags & (socket.MSG_TRUNC | socket.MSG_CTRUNC)
        if is_cut_off or not isinstance(words, list) or not words:
            raise ValueError("cut off")
        self.on_message(from_wire(words), raw, fds)

    def fail(self, why: str) -> None:
        """End the channel and tell the owner why."""
        if self.is_open:
            self.close()
            self.on_end(why)

    def close(self) -> None:
        """Close without a word to the owner."""
        if self.is_open:
            self.loop.unwatch(self.sock)
            self.sock.close()
