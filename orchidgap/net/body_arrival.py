"""When the client of a streamed body can have written its last byte at the earliest.

A request's time counts from that write. While its host reads slowly, reading from the client is
paused, and bytes that it has written wait in the kernels of both machines: the last one is read
long after it was written. A body is known to be incomplete only while nothing of it is unread, or
while more of it is missing than both kernels can hold.
"""

from __future__ import annotations

import socket

from orchidgap.net.body_stream import Upload

# Bytes that the kernel of a client may hold unsent: the most that Linux allows by default.
MAX_SEND_BUFFER_BYTES = 4 << 20


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
        self.incomplete_at_us = begun_at_us

    def observe(self, now_us: int) -> None:
        """Note whether the body is known to be incomplete now."""
        self.incomplete_at_us = max(self.incomplete_at_us, self.source.drained_at_us)
        if not self.upload.complete and self._is_incomplete():
            self.incomplete_at_us = max(self.incomplete_at_us, now_us)

    def _is_incomplete(self) -> bool:
        unread_bytes = self.source.count_unread_bytes()
        if unread_bytes == 0:
            return True
        length = self.upload.length
        if length is None:
            return False
        is_remote = self.source.sock.family != socket.AF_UNIX
        held_bytes = unread_bytes + (MAX_SEND_BUFFER_BYTES if is_remote else 0)
        return length - self.upload.received_bytes > held_bytes

    def last_byte_at_us(self, received_at_us: int) -> int:
        """Return when the last byte was written, which arrived at `received_at_us`.

        It can have been written long before that if it was not read as soon as it could have been.
        """
        if not self.source.was_behind:
            return received_at_us
        return min(received_at_us, self.incomplete_at_us)
