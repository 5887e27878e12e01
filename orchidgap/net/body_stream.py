"""Bodies too large to be buffered: they pass from connection to connection, with back-pressure."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from orchidgap.net.connection import Connection


class UploadSink(Protocol):
    """A connection to a host, as far as a body flows to it."""

    conn: Connection

    def put(self, parts: list[bytes], last: bool) -> None:
        """Write these parts of the body, framed as its head said."""


class Upload:
    """A request's body on its way to a host.

    What came first is kept until it goes on, so another attempt can follow one that never got that
    far.

    Attributes:
        length: What the head says; None where it does not.
        received_bytes: That have come.
        sent_parts: Of the parts kept, those that the sink has been given.
        complete: All of it has come.
        discarded: Part of it is kept no more, so that no other attempt can have it.
        on_discarded: Called once when that becomes so.
    """

    __slots__ = (
        "complete",
        "discarded",
        "kept_bytes",
        "length",
        "on_discarded",
        "parts",
        "received_bytes",
        "sent_parts",
        "sink",
        "source",
    )

    def __init__(self, source: Connection, length: int | None, kept_bytes: int) -> None:
        """Take a body from a connection; of that, keep so many bytes for another attempt."""
        self.source = source
        self.length = length
        self.kept_bytes = kept_bytes
        self.on_discarded: Callable[[], None] | None = None
        self.parts: list[bytes] = []
        self.received_bytes = 0
        self.sent_parts = 0
        self.complete = False
        self.discarded = False
        self.sink: UploadSink | None = None

    def add(self, parts: list[bytes], whole: bool) -> None:
        """More of it has come; whether that was the last."""
        self.parts += parts
        self.received_bytes += sum(map(len, parts))
        self.complete = whole
        self.push()

    def send_to(self, sink: UploadSink) -> None:
        """Send it from its first byte on; only while none of it is discarded."""
        self.sink = sink
        self.sent_parts = 0
        self.push()

    def detach(self, sink: UploadSink) -> None:
        """This sink takes no more of it."""
        if self.sink is sink:
            self.sink = None
            self.update_backpressure()

    def push(self) -> None:
        """Give the sink what it has not been given."""
        sink = self.sink
        if sink and (self.sent_parts < len(self.parts) or self.complete):
            parts = self.parts[self.sent_parts :]
            self.sent_parts = len(self.parts)
            if self.received_bytes > self.kept_bytes and not self.discarded:
                self.discarded = True
                if self.on_discarded:
                    self.on_discarded()
            if self.discarded:
                self.parts = []
                self.sent_parts = 0
            sink.put(parts, self.complete)
        self.update_backpressure()

    def update_backpressure(self) -> None:
        """Read on only where what was read has gone on."""
        if not self.source.is_open:
            return
        if self.sink:
            must_wait = bool(self.sink.conn.write_buffer)
        else:
            must_wait = not self.discarded and self.received_bytes >= self.kept_bytes
        self.source.pause_reading(must_wait and not self.complete)
