"""Bodies too large to be buffered: they are streamed between connections with back-pressure."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from orchidgap.net.connection import Connection


class UploadSink(Protocol):
    """A connection to a host to which a body is streamed."""

    conn: Connection

    def send_body(self, parts: list[bytes], is_last: bool) -> None:
        """Write these parts of the body, in the framing that its head declares.

        `is_last` is whether the body ends with them.
        """


class Upload:
    """A request's body that is being streamed to a host.

    The body is kept until more than `kept_bytes_limit` of it have arrived and were passed to the
    sink, so that a new attempt can replace one that failed before that.

    Attributes:
        length: The length that the head declares; None if it declares none.
        kept_bytes_limit: The most bytes that are kept for another attempt.
        received_bytes: The number of bytes received.
        sent_parts: The number of kept parts that were passed to the sink.
        complete: Whether the whole body has arrived.
        discarded: Whether part of it was discarded, so that no other attempt can send it.
        on_discarded: Called once when `discarded` becomes true.
    """

    __slots__ = (
        "complete",
        "discarded",
        "kept_bytes_limit",
        "length",
        "on_discarded",
        "parts",
        "received_bytes",
        "sent_parts",
        "sink",
        "source",
    )

    def __init__(self, source: Connection, length: int | None, kept_bytes_limit: int) -> None:
        """Receive a body from a connection; keep up to `kept_bytes_limit` for another attempt."""
        self.source = source
        self.length = length
        self.kept_bytes_limit = kept_bytes_limit
        self.on_discarded: Callable[[], None] | None = None
        self.parts: list[bytes] = []
        self.received_bytes = 0
        self.sent_parts = 0
        self.complete = False
        self.discarded = False
        self.sink: UploadSink | None = None

    def add(self, parts: list[bytes], is_last: bool) -> None:
        """Add received parts of the body; `is_last` is whether the body ends with them."""
        self.parts += parts
        self.received_bytes += sum(map(len, parts))
        self.complete = is_last
        self.push()

    def send_to(self, sink: UploadSink) -> None:
        """Send the body from its first byte to the sink; only valid while `discarded` is false."""
        self.sink = sink
        self.sent_parts = 0
        self.push()

    def detach(self, sink: UploadSink) -> None:
        """Stop sending to this sink."""
        if self.sink is sink:
            self.sink = None
            self.update_backpressure()

    def push(self) -> None:
        """Pass the parts that were not sent yet to the sink."""
        sink = self.sink
        if sink and (self.sent_parts < len(self.parts) or self.complete):
            parts = self.parts[self.sent_parts :]
            self.sent_parts = len(self.parts)
            if self.received_bytes > self.kept_bytes_limit and not self.discarded:
                self.discarded = True
                if self.on_discarded:
                    self.on_discarded()
            if self.discarded:
                self.parts = []
                self.sent_parts = 0
            sink.send_body(parts, self.complete)
        self.update_backpressure()

    def update_backpressure(self) -> None:
        """Pause reading from the client until the bytes that were read have been sent on.

        Without a sink, reading pauses once `kept_bytes_limit` have been received.
        """
        if not self.source.is_open:
            return
        if self.sink:
            must_wait = bool(self.sink.conn.write_buffer)
        else:
            must_wait = not self.discarded and self.received_bytes >= self.kept_bytes_limit
        self.source.pause_reading(must_wait and not self.complete)
