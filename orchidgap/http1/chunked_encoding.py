"""Position in a body with chunked transfer coding (RFC 9112, section 7.1).

The parser does not say where in the framing it stands. `ChunkTracker` follows the same bytes,
so that another process can go on with a body from the middle.

| state | next |
| --- | --- |
| SIZE_LINE | DATA, TRAILERS after a size of 0, UNKNOWN where the size is no number |
| DATA | DATA_END when all bytes of the chunk have passed |
| DATA_END | SIZE_LINE |
| TRAILERS | stays |
| any | UNKNOWN where a line is longer than `MAX_LINE_BYTES` |
"""

from __future__ import annotations

from enum import Enum, auto

MAX_LINE_BYTES = 1 << 14  # of a chunk's size line, or of all trailers
PLACEHOLDER = b"x"  # stands for a byte of the body in `ChunkTracker.resume_text`


class ChunkState(Enum):
    """What the next byte of the body belongs to."""

    SIZE_LINE = auto()
    DATA = auto()
    DATA_END = auto()  # the line break behind a chunk's data
    TRAILERS = auto()
    UNKNOWN = auto()


class ChunkTracker:
    r"""Follows a chunked body that a parser has found valid.

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
        """Starts behind the head of a message."""
        self.state = ChunkState.SIZE_LINE
        self.bytes_remaining = 0  # of the chunk under way
        self.partial_line = b""

    def feed(self, received: bytes) -> None:
        """Follows bytes of the body, framing included."""
        position = 0
        while position < len(received) and self.state is not ChunkState.UNKNOWN:
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
        """Returns how many of so many bytes are data of the chunk."""
        size = min(self.bytes_remaining, available)
        self.bytes_remaining -= size
        if not self.bytes_remaining:
            self.state = ChunkState.DATA_END
            self.partial_line = b""
        return size

    def _feed_line(self, received: bytes, position: int) -> int:
        """Takes bytes up to the end of the line and returns the position behind them."""
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
        """Returns what brings a fresh parser to this position; None where that is unknown.

        Between a chunk's data and the end of its line the text has `PLACEHOLDER` for one byte of
        data.
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
        """Whether `resume_text` holds a byte that is not of the body."""
        return self.state is ChunkState.DATA_END
