"""Bodies too large to be kept: they pass from one connection to another, bounded, with back-pressure."""

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
    """A req's body on its way to a host.

    What came first is kept until it goes on, so another dispatch can follow one that never got that far.
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

    def __init__(self, source: Connection, length: int | None, keep: int) -> None:
        self.source, self.length = source, length
        self.kept_bytes = keep  # bytes that are kept for another dispatch
        self.on_discarded: Callable[[], None] | None = None  # told once, when no other can have it
        self.parts: list[bytes] = []
        self.received_bytes = 0  # bytes that have come
        self.sent_parts = 0  # of the parts, those that the sink has been given
        self.complete = self.discarded = False
        self.sink: UploadSink | None = None

    def add(self, parts: list[bytes], whole: bool) -> None:
        """More of it has come; whether that was the last."""
        self.parts += parts
        self.received_bytes += sum(map(len, parts))
        self.complete = whole
        self.push()

    def send_to(self, sink: UploadSink) -> None:
        """From its first byte on; only while it is not gone."""
        self.sink, self.sent_parts = sink, 0
        self.push()

    def detach(self, sink: UploadSink) -> None:
        """This sink takes no more of it."""
        if self.sink is sink:
            self.sink = None
            self.update_backpressure()

    def push(self) -> None:
        sink = self.sink
        if sink and (self.sent_parts < len(self.parts) or self.complete):
            parts, self.sent_parts = self.parts[self.sent_parts :], len(self.parts)
            if self.received_bytes > self.kept_bytes and not self.discarded:
                self.discarded = True
                if self.on_discarded:
                    self.on_discarded()
            if self.discarded:
                self.parts, self.sent_parts = [], 0
            sink.put(parts, self.complete)
        self.update_backpressure()

    def update_backpressure(self) -> None:
        """Read on only where what was read has gone on."""
        if self.source.is_open:
            waits = (
                bool(self.sink.conn.write_buffer)
                if self.sink
                else not self.discarded and self.received_bytes >= self.kept_bytes
            )
            self.source.pause_reading(waits and not self.complete)
