"""When the client of a streamed body can have written its last byte at the earliest.

A request's time counts from that write. While its host reads slowly, reading from the client is
paused, and the last byte is read long after it was written. A body is known to be incomplete only
while more of it is missing than the client can have written ahead (`send_backlog`).
"""

from __future__ import annotations

from orchidgap.net.body_stream import Upload
from orchidgap.net.send_backlog import SendBacklog


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
        self.backlog = SendBacklog(self.source)
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
        if self._is_incomplete(self.backlog.max_bytes()):
            self._note_incomplete()

    def before_read(self) -> None:
        """Look at the connection before it is read, which opens its window."""
        self._was_drained = self._is_drained
        self.observe()

    def after_read(self, is_drained: bool) -> None:
        """Note that the connection was read; `is_drained` is whether nothing was left unread."""
        self._is_drained = is_drained
        if is_drained and not self.backlog.is_held_back and not self.upload.complete:
            self._note_incomplete()

    def _note_incomplete(self) -> None:
        self.incomplete_at_us = max(self.incomplete_at_us, self.loop.now)

    def _is_incomplete(self, ahead_bytes: int) -> bool:
        length = self.upload.length
        if length is None:
            return ahead_bytes == 0
        return length - self.upload.received_bytes > ahead_bytes

    def last_byte_at_us(self, received_at_us: int) -> int:
        """Return when the last byte was written, which arrived at `received_at_us`.

        It can have been written long before that if the client was held back, or if it was not read
        as soon as it could have been.
        """
        if self._was_drained and not self.backlog.is_held_back:
            return received_at_us
        return min(received_at_us, self.incomplete_at_us)
