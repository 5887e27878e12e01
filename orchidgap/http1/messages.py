"""An HTTP/1.1 message that may be incomplete, and the limits on its size."""

from __future__ import annotations

from orchidgap.http1.chunked_encoding import ChunkTracker
from orchidgap.net.memory_pressure import SHORT_BUFFER_BYTES, MemoryPressure

MAX_TARGET_BYTES = 1 << 14
MAX_HEAD_BYTES = 1 << 14  # without the target of a request
MAX_BUFFERED_BODY_BYTES = 1 << 16  # a larger body is streamed
MAX_BODY_BYTES = 40 << 20  # a larger body is rejected, even if it is streamed
MAX_HEAD_FIELDS = 128  # a head with more header fields is rejected, however short they are


class Message:
    """The part of a request or response that has arrived so far.

    The defaults are class attributes: most messages never set them, and setting them for each
    message would cost time on the hot path.

    Attributes:
        head_complete: all header fields have arrived.
        complete: the last byte of the body has arrived.
        keep_alive: the connection may carry another message after this one.
        status: status code of a response, 0 for a request.
        error_status: status code for the error in the message, 0 while it is valid.
        method: method of a request.
        target: request target as received.
        version: HTTP version, such as `1.1`.
        content_length: length of the body in bytes by the head, None where the head has none.
        received_at_us: when the last byte arrived, in microseconds of the loop's clock; 0 while
            this is unknown.
        body_size: bytes of the body that have arrived.
        wire_size: bytes of the whole message that have arrived, framing included.
        head_bytes: the part of the head that has arrived, where the head arrives in pieces; None
            where it is unknown.
        chunk_tracker: position in the framing of a chunked body, None for other bodies.
        fields: header fields that this program reads, by lower-case name.
        field_count: all header fields that have arrived.
        body_parts: parts of the body that `take_body` has not returned yet.
    """

    head_complete = False
    complete = False
    keep_alive = False
    status = 0
    error_status = 0
    method = b""
    target = b""
    version = ""
    content_length: int | None = None
    received_at_us = 0
    body_size = 0
    wire_size = 0
    field_count = 0
    head_bytes: bytes | None = b""
    chunk_tracker: ChunkTracker | None = None

    def __init__(self) -> None:
        """Creates a message of which nothing has arrived."""
        self.fields: dict[bytes, bytes] = {}
        self.body_parts: list[bytes] = []

    def take_body(self) -> list[bytes]:
        """Removes and returns the parts of the body that arrived since the last call."""
        parts = self.body_parts
        self.body_parts = []
        return parts

    @property
    def body(self) -> bytes:
        """The parts of the body that `take_body` has not returned yet, joined."""
        return b"".join(self.body_parts)

    def exceeds_buffer(self, memory_pressure: MemoryPressure) -> bool:
        """Whether the body is known to be too large to be buffered whole, as memory is now."""
        if not self.is_larger_than(SHORT_BUFFER_BYTES):  # fits in any case: memory is not looked at
            return False
        return self.is_larger_than(memory_pressure.buffer_bytes(MAX_BUFFERED_BODY_BYTES))

    def is_larger_than(self, size: int) -> bool:
        """Whether the body is known to have more bytes than `size`."""
        if self.body_size > size:
            return True
        return self.content_length is not None and self.content_length > size
