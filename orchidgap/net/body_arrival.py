"""When the client of a streamed body can have written its last byte at the earliest.

A request's time counts from that write. While its host reads slowly, reading from the client is
paused. Once the receive window is used up, what the client writes waits in its own kernel, where it
cannot be seen: the last byte is read long after it was written. That nothing is unread then proves
nothing, as the client's kernel sends what waits only once the window is open again.

So the client is taken to be held back until its window has stayed open for longer than its kernel
needs to use it. While it is held back, a body is known to be incomplete only while more of it is
missing than both kernels can hold.
"""

from __future__ import annotations

from orchidgap.net import socket_state
from orchidgap.net.body_stream import Upload

# Bytes that the kernel of a client may hold unsent: the most that Linux allows by default, and the
# segment with which it notices that.
MAX_SEND_BUFFER_BYTES = (4 << 20) + (64 << 10)
# A client's kernel uses a window that has opened within this time, also if it has to send again.
SETTLE_US = 250_000


class BodyArrival:
    """Follows the arrival of one streamed body.

    Attributes:
        incomplete_at_us: The latest time at which the client cannot have written all of the body,
            as far as is known.
    """

    def __init__(self, upload: Upload, begun_at_us: int) -> None:
        """Follow a body whose first bytes were written at `begun_at_us` at the earliest."""
        self.upload = upload
        self.source = upload.source
        self.loop = upload.source.loop
        self.begun_at_us = begun_at_us
        self.incomplete_at_us = begun_at_us
        self._blocked_at_us: int | None = None  # when the client was last seen blocked
        self._is_drained = True
        self._was_drained = True  # before the current look at the connection
        self.source.read_observer = self
        self.observe()

    def stop(self) -> None:
        """Stop following the body."""
        if self.source.read_observer is self:
            self.source.read_observer = None

    def observe(self) -> None:
        """Note whether the body is known to be incomplete now."""
        if self.upload.complete or not self.source.is_open:
            return
        unread_bytes = self.source.count_unread_bytes()
        if socket_state.is_peer_blocked(self.source.sock, unread_bytes):
            self._blocked_at_us = self.loop.clock()
        if self._is_incomplete(unread_bytes):
            self._note_incomplete()

    @property
    def is_held_back(self) -> bool:
        """Whether the client's kernel may hold bytes that it could not send."""
        blocked_at_us = self._blocked_at_us
        return blocked_at_us is not None and self.loop.now - blocked_at_us < SETTLE_US

    def before_read(self) -> None:
        """Look at the connection before it is read, which opens its window."""
        self._was_drained = self._is_drained
        self.observe()

    def after_read(self, is_drained: bool) -> None:
        """Note that the connection was read; `is_drained` is whether nothing was left unread."""
        self._is_drained = is_drained
        if is_drained and not self.is_held_back and not self.upload.complete:
            self._note_incomplete()

    def _note_incomplete(self) -> None:
        self.incomplete_at_us = max(self.incomplete_at_us, self.loop.now)

    def _is_incomplete(self, unread_bytes: int) -> bool:
        held_bytes = unread_bytes + (MAX_SEND_BUFFER_BYTES if self.is_held_back else 0)
        length = self.upload.length
        if length is None:
            return held_bytes == 0
        return length - self.upload.received_bytes > held_bytes

    def last_byte_at_us(self, received_at_us: int) -> int:
        """Return when the last byte was written, which arrived at `received_at_us`.

        It can have been written long before that if the client was held back, or if it was not read
        as soon as it could have been.
        """
        if self._was_drained and not self.is_held_back:
            return received_at_us
        return min(received_at_us, self.incomplete_at_us)
