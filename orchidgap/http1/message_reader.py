"""The base of the readers, which turn bytes of HTTP/1.1 into `Message` objects with httptools.

Nothing here does I/O. A reader is fed views of a buffer that is reused after the call; the parser
copies what is kept. A malformed or too large message only sets `Message.error_status`: the caller
answers with that status or closes the connection.
"""

from __future__ import annotations

import httptools

from orchidgap.errors import OrchidgapError
from orchidgap.http1.chunked_encoding import ChunkTracker
from orchidgap.http1.messages import (
    MAX_BODY_BYTES,
    MAX_BUFFERED_BODY_BYTES,
    MAX_HEAD_BYTES,
    MAX_HEAD_FIELDS,
    MAX_TARGET_BYTES,
    Message,
)

BAD_REQUEST = 400
CONTENT_TOO_LARGE = 413
HEAD_TOO_LARGE = 431
MAX_FRAMING_RATIO = 8  # bytes of framing for each byte of a body
MAX_BODY_READ_BYTES = 1 << 14
RESPONSE_READ_BYTES = 1 << 14
# A body that came in more parts than this in one read has small chunks, each of which is costly.
MAX_BODY_PARTS = 16
SMALL_CHUNKS_READ_BYTES = 1 << 11
# Fields that must not be repeated: two recipients of one message could each use another of the
# values (request smuggling).
SINGLE_VALUE_FIELDS = frozenset(
    (
        b"request-id",
        b"request-class",
        b"request-timeout",
        b"tenant",
        b"idempotency-key",
        b"host",
        b"transfer-encoding",
    )
)
# Further fields that this program reads. All others are dropped as they arrive: each one kept takes
# many times its size on the wire.
USED_FIELDS = SINGLE_VALUE_FIELDS | {
    b"client-retry",
    b"connection",
    b"content-length",
    b"expect",
    b"not-started",
    b"retry-after",
    b"server-load",
}


class RejectedHeadError(OrchidgapError):
    """Raised within the parser, which then parses nothing more of the head."""


class MessageReader:
    """Reads one message after another.

    Attributes:
        max_body_bytes: a larger body is rejected with 413.
        message: the oldest message that has not been finished with.
        incoming: the message that is arriving; not `message` where messages are pipelined.
        started: bytes of `message` have arrived.
        has_excess_data: more bytes have arrived than the peer may send.
        has_small_chunks: the last bytes of a body came in many parts, or none have come.
        head_count: number of heads that ended since `message` began, interim responses included.
    """

    parser: httptools.HttpRequestParser | httptools.HttpResponseParser
    head_read_bytes = RESPONSE_READ_BYTES

    def __init__(self, max_body_bytes: int = MAX_BODY_BYTES) -> None:
        """Limits bodies to `max_body_bytes`."""
        self.max_body_bytes = max_body_bytes
        self.has_small_chunks = True
        self.reset()

    def reset(self) -> None:
        """Prepares for the next message on the same connection."""
        self.message = Message()
        self.incoming = self.message
        self.started = False
        self.has_excess_data = False
        self.head_count = 0

    def feed(self, view: memoryview) -> None:
        """Parses bytes that have arrived; the view may be reused after the call."""
        self.started = True
        before = self.incoming
        head_was_complete = before.head_complete
        before.wire_size += len(view)
        try:
            self.parser.feed_data(view)
        except httptools.HttpParserUpgrade:
            self.reject(BAD_REQUEST)
        except httptools.HttpParserError:
            if self.incoming.complete:
                self.on_excess_data()
            else:
                self.reject(BAD_REQUEST)
        incoming = self.incoming
        self.join_small_parts(incoming)
        same_message = incoming is before
        if same_message and incoming.complete:
            return
        if not same_message or not incoming.head_complete:
            self.record_head(view, same_message)
        elif incoming.chunk_tracker:
            self.record_chunks(view, head_was_complete)
        self.limit_framing(incoming)

    def read_size(self) -> int:
        """Returns how many bytes to read next, so that handling them takes a bounded time."""
        incoming = self.incoming
        if incoming.complete or not incoming.head_complete:
            return self.head_read_bytes
        if incoming.content_length is not None:
            bytes_remaining = incoming.content_length - incoming.body_size
            return max(1, min(bytes_remaining, MAX_BODY_READ_BYTES))
        return SMALL_CHUNKS_READ_BYTES if self.has_small_chunks else MAX_BODY_READ_BYTES

    @property
    def reads_small_chunks(self) -> bool:
        """Whether a chunked body is arriving in small chunks."""
        is_chunked = self.incoming.head_complete and self.incoming.chunk_tracker is not None
        return is_chunked and not self.incoming.complete and self.has_small_chunks

    def join_small_parts(self, incoming: Message) -> None:
        """Joins the parts of a body that came in many, as each part takes memory of its own."""
        self.has_small_chunks = not 0 < len(incoming.body_parts) <= MAX_BODY_PARTS
        if len(incoming.body_parts) > MAX_BODY_PARTS:
            incoming.body_parts = [b"".join(incoming.body_parts)]

    def limit_framing(self, incoming: Message) -> None:
        """Rejects an endless head, and endless chunk extensions or trailers."""
        if incoming.wire_size <= MAX_HEAD_BYTES:
            return
        if not incoming.head_complete:
            target_size = len(incoming.target)
            fields_size = incoming.wire_size - target_size
            if target_size > MAX_TARGET_BYTES or fields_size > MAX_HEAD_BYTES:
                self.reject(HEAD_TOO_LARGE)
        body_allowance = MAX_BUFFERED_BODY_BYTES + MAX_FRAMING_RATIO * incoming.body_size
        if incoming.head_complete and incoming.wire_size > MAX_HEAD_BYTES + body_allowance:
            self.reject(CONTENT_TOO_LARGE)

    def record_head(self, view: memoryview, same_message: bool) -> None:
        """Keeps the bytes of a head that arrives in pieces.

        They are unknown where the first piece also contained the end of another message.
        """
        incoming = self.incoming
        incoming.chunk_tracker = None
        if same_message and incoming.head_bytes is not None:
            incoming.head_bytes += bytes(view)
        else:
            incoming.head_bytes = None

    def record_chunks(self, view: memoryview, head_was_complete: bool) -> None:
        """Tracks the position in a chunked body, from the end of the head on."""
        incoming = self.incoming
        assert incoming.chunk_tracker
        if head_was_complete:
            incoming.chunk_tracker.feed(bytes(view))
            return
        if incoming.head_bytes is None:
            incoming.chunk_tracker = None
            return
        received = (incoming.head_bytes + bytes(view)).lstrip(b"\r\n")
        body_start = 0
        for _ in range(self.head_count):
            body_start = received.index(b"\r\n\r\n", body_start) + 4
        incoming.head_bytes = None
        incoming.chunk_tracker.feed(received[body_start:])

    def on_excess_data(self) -> None:
        """Handles bytes after a complete message that are not a message."""
        self.has_excess_data = True

    def reject(self, status: int) -> None:
        """Marks the incoming message as invalid; the first status is kept."""
        self.incoming.error_status = self.incoming.error_status or status

    # --- called by the parser

    def on_url(self, url: bytes) -> None:
        """Appends a part of the request target."""
        self.incoming.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Stores a header field that is used; others and trailers are ignored.

        Raises RejectedHeadError where the head has too many fields.
        """
        incoming = self.incoming
        if incoming.head_complete:
            return
        incoming.field_count += 1
        if incoming.field_count > MAX_HEAD_FIELDS:
            self.reject(HEAD_TOO_LARGE)
            raise RejectedHeadError("too many header fields")
        name = name.lower()
        if name not in USED_FIELDS:
            return
        if name in incoming.fields and name in SINGLE_VALUE_FIELDS:
            self.reject(BAD_REQUEST)
        incoming.fields[name] = value.strip(b" \t")  # the parser keeps whitespace after a value

    def on_headers_complete(self) -> None:
        """Checks how the body is framed."""
        incoming = self.incoming
        incoming.head_complete = True
        self.head_count += 1
        incoming.version = self.parser.get_http_version()
        encoding = incoming.fields.get(b"transfer-encoding")
        if encoding is not None:
            if encoding.lower() == b"chunked" and incoming.version == "1.1":
                incoming.chunk_tracker = ChunkTracker()
            else:  # a body in another encoding would be forwarded as if it were not encoded
                self.reject(BAD_REQUEST)
        length = incoming.fields.get(b"content-length")
        if length is None:
            return
        if length.isdigit():
            incoming.content_length = int(length)
        if incoming.content_length is None or incoming.content_length > self.max_body_bytes:
            self.reject(CONTENT_TOO_LARGE)

    def on_body(self, part: bytes) -> None:
        """Stores a part of the body."""
        incoming = self.incoming
        incoming.body_size += len(part)
        if incoming.body_size > self.max_body_bytes:
            self.reject(CONTENT_TOO_LARGE)
        elif not incoming.error_status:
            incoming.body_parts.append(part)

    def on_message_complete(self) -> None:
        """Marks the incoming message as complete."""
        incoming = self.incoming
        incoming.complete = True
        # The parser overwrites this with the next message.
        incoming.keep_alive = self.parser.should_keep_alive()
