"""Position in a body with chunked transfer coding (RFC 9112, section 7.1).

The parser does not expose its position in the framing. `ChunkTracker` follows the same bytes, so
that another process can continue a body from the middle.

| state | next |
| --- | --- |
| SIZE_LINE | DATA; TRAILERS after a size of 0; UNKNOWN where the size is not a number |
| DATA | DATA_END after the last byte of the chunk |
| DATA_END | SIZE_LINE |
| TRAILERS | no other state |
| any | UNKNOWN where a line is longer than `MAX_LINE_BYTES` |
"""

from __future__ import annotations

import re
from enum import Enum, auto

MAX_LINE_BYTES = 1 << 14  # for a chunk's size line, or for all trailers together
SIZE_LINE_PATTERN = re.compile(rb"([0-9a-fA-F]{1,8})(?:;[^\r\n]*)?\r\n")
LINE_END = b"\r\n"
PLACEHOLDER = b"x"  # represents one byte of the body in `ChunkTracker.resume_text`


class ChunkState(Enum):
    """The part of the framing that the next byte of the body belongs to."""

    SIZE_LINE = auto()
    DATA = auto()
    DATA_END = auto()  # the line break after a chunk's data
    TRAILERS = auto()
    UNKNOWN = auto()


class ChunkTracker:
    r"""Tracks the position in a chunked body that a parser has found valid.

    Attributes:
        state: what the next byte belongs to.
        bytes_remaining: bytes of the current chunk's data that have not arrived yet.
        partial_line: the part of the current line, or of the trailers, that has arrived.

    >>> tracker = ChunkTracker()
    >>> tracker.feed(b"5;x=y\r\nab"); tracker.resume_text()
    b'3\r\n'
    >>> tracker.feed(b"cde\r"); tracker.resume_text()
    b'1\r\nx\r'
    >>> tracker.feed(b"\n1"); tracker.resume_text()
    b'1'
    >>> tracker.feed(b"\r\nf\r\n0\r\nT: "); tracker.resume_text()
    b'0\r\nT: '
    """

    __slots__ = ("bytes_remaining", "partial_line", "state")

    def __init__(self) -> None:
        """Starts after the head of a message."""
        self.state = ChunkState.SIZE_LINE
        self.bytes_remaining = 0
        self.partial_line = b""

    def feed(self, received: bytes) -> None:
        """Updates the position by received bytes of the body, framing included."""
        position = 0
        while position < len(received) and self.state is not ChunkState.UNKNOWN:
            if self.state is ChunkState.SIZE_LINE and not self.partial_line:
                position = skip_whole_chunks(received, position)
                if position == len(received):
                    return
            if self.state is ChunkState.DATA:
                position += self._skip_data(len(received) - position)
                continue
            if self.state is ChunkState.TRAILERS:
                self.partial_line += received[position:]
                position = len(received)
            else:
                position = self._feed_line(received, position)
            if len(self.partial_line) > MAX_LINE_BYTES:
                self.state = ChunkState.UNKNOWN

    def _skip_data(self, available: int) -> int:
        """Skips data of the chunk, and returns how many of the available bytes that was."""
        size = min(self.bytes_remaining, available)
        self.bytes_remaining -= size
        if not self.bytes_remaining:
            self.state = ChunkState.DATA_END
            self.partial_line = b""
        return size

    def _feed_line(self, received: bytes, position: int) -> int:
        """Reads up to the end of the line, and returns the position after it."""
        line_end = received.find(b"\n", position)
        if line_end < 0:
            self.partial_line += received[position:]
            return len(received)
        self.partial_line += received[position:line_end]
        self._on_line()
        return line_end + 1

    def _on_line(self) -> None:
        line = self.partial_line
        self.partial_line = b""
        if self.state is ChunkState.DATA_END:
            self.state = ChunkState.SIZE_LINE
            return
        size, _, _ = line.partition(b";")
        try:
            self.bytes_remaining = int(size.strip(), 16)
        except ValueError:
            self.state = ChunkState.UNKNOWN
            return
        self.state = ChunkState.DATA if self.bytes_remaining else ChunkState.TRAILERS

    def resume_text(self) -> bytes | None:
        """Returns the framing that brings a new parser to this position; None where it is unknown.

        Between a chunk's data and the line break after it, the text contains `PLACEHOLDER` as one
        byte of data.
        """
        if self.state is ChunkState.SIZE_LINE:
            return self.partial_line
        if self.state is ChunkState.DATA:
            return b"%x\r\n" % self.bytes_remaining
        if self.state is ChunkState.DATA_END:
            return b"1\r\n" + PLACEHOLDER + self.partial_line
        if self.state is ChunkState.TRAILERS:
            return b"0\r\n" + self.partial_line
        return None

    @property
    def has_placeholder(self) -> bool:
        """Whether `resume_text` contains a byte that is not part of the body."""
        return self.state is ChunkState.DATA_END


def skip_whole_chunks(received: bytes, position: int) -> int:
    r"""Returns the position after all chunks that have arrived whole, from one's size line on.

    >>> skip_whole_chunks(b"1\r\nx\r\n2;y=z\r\nab\r\n3\r\nabc\r", 0)
    17
    >>> skip_whole_chunks(b"0\r\n\r\n", 0)
    0
    """
    while match := SIZE_LINE_PATTERN.match(received, position):
        size = int(match[1], 16)
        data_end = match.end() + size
        if not size or not received.startswith(LINE_END, data_end):
            break
        position = data_end + len(LINE_END)
    return position
