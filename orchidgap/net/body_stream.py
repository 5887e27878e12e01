"""Bodies too large to be kept: they pass from one connection to another, bounded, with back-pressure."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from orchidgap.net.connection import Connection


class Sink(Protocol):
    """A connection to a host, as far as a body flows to it."""

    conn: Connection

    def put(self, parts: list[bytes], last: bool) -> None:
        """Write these parts of the body, framed as its head said."""


class Upload:
    """A req's body on its way to a host.

    What came first is kept until it goes on, so another dispatch can follow one that never got that far.
    """

    __slots__ = (
        "gone",
        "keep",
        "length",
        "on_gone",
        "parts",
        "sent",
        "sink",
        "size",
        "source",
        "whole",
    )

    def __init__(self, source: Connection, length: int | None, keep: int) -> None:
        self.source, self.length = source, length
        self.keep = keep  # bytes that are kept for another dispatch
        self.on_gone: Callable[[], None] | None = None  # told once, when no other can have it
        self.parts: list[bytes] = []
        self.size = 0  # bytes that have come
        self.sent = 0  # of the parts, those that the sink has been given
        self.whole = self.gone = False
        self.sink: Sink | None = None

    def add(self, parts: list[bytes], whole: bool) -> None:
        """More of it has come; whether that was the last."""
        self.parts += parts
        self.size += sum(map(len, parts))
        self.whole = whole
        self.push()

    def to(self, sink: Sink) -> None:
        """From its first byte on; only while it is not gone."""
        self.sink, self.sent = sink, 0
        self.push()

    def leave(self, sink: Sink) -> None:
        """This sink takes no more of it."""
        if self.sink is sink:
            self.sink = None
            self.pace()

    def push(self) -> None:
        sink = self.sink
        if sink and (self.sent < len(self.parts) or self.whole):
            parts, self.sent = self.parts[self.sent :], len(self.parts)
            if self.size > self.keep and not self.gone:
                self.gone = True
                if self.on_gone:
                    self.on_gone()
            if self.gone:
                self.parts, self.sent = [], 0
            sink.put(parts, self.whole)
        self.pace()

    def pace(self) -> None:
        """Read on only where what was read has gone on."""
        if self.source.open:
            waits = (
                bool(self.sink.conn.out) if self.sink else not self.gone and self.size >= self.keep
            )
            self.source.hold(waits and not self.whole)
