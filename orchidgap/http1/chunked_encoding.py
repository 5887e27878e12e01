"""Counts along with a body that comes in chunks: where it stands in its framing."""

from __future__ import annotations

from enum import Enum

MOST_LINE = 1 << 14  # bytes of a chunk's first line, or of the trailers, that are kept count of


class At(Enum):
    LINE = "the line that tells a chunk's size"
    DATA = "a chunk"
    END = "the end of a chunk's line"
    TRAILERS = "behind the last chunk"
    LOST = "where it cannot be told"


class Chunks:
    """Counts along with a body that comes in chunks, which a parser has found sound.

    >>> chunks = Chunks(); chunks.feed(b"5;x=y\\r\\nab"); chunks.text()
    b'3\\r\\n'
    >>> chunks.feed(b"cde\\r"); chunks.text()
    b'1\\r\\nx\\r'
    >>> chunks.feed(b"\\n1"); chunks.text()
    b'1'
    >>> chunks.feed(b"\\r\\nf\\r\\n0\\r\\nT: "); chunks.text()
    b'0\\r\\nT: '
    """

    __slots__ = ("at", "left", "line")

    def __init__(self) -> None:
        self.at, self.left, self.line = At.LINE, 0, b""

    def feed(self, text: bytes) -> None:
        place, size = 0, len(text)
        while place < size and self.at is not At.LOST:
            if self.at is At.DATA:
                part = min(self.left, size - place)
                self.left -= part
                place += part
                if not self.left:
                    self.at, self.line = At.END, b""
                continue
            if self.at is At.TRAILERS:
                self.line += text[place:]
                place = size
            else:
                end = text.find(b"\n", place)
                self.line += text[place:] if end < 0 else text[place:end]
                place = size if end < 0 else end + 1
                if end >= 0:
                    self.ended()
            if len(self.line) > MOST_LINE:
                self.at = At.LOST

    def ended(self) -> None:
        """A line did."""
        line, self.line = self.line, b""
        if self.at is At.END:
            self.at = At.LINE
            return
        try:
            self.left = int(line.partition(b";")[0].strip(), 16)
        except ValueError:
            self.at = At.LOST
            return
        self.at = At.DATA if self.left else At.TRAILERS

    def text(self) -> bytes | None:
        """What a parser that awaits a chunk is to be fed to stand here; None where that cannot be told.

        Where a chunk's data are over and its line is not, that begins with one byte of a chunk, `x`.
        """
        if self.at is At.LINE:
            return self.line
        if self.at is At.DATA:
            return b"%x\r\n" % self.left
        if self.at is At.END:
            return b"1\r\nx" + self.line
        return b"0\r\n" + self.line if self.at is At.TRAILERS else None

    @property
    def padded(self) -> bool:
        """Whether the text begins with a byte that is not of the body."""
        return self.at is At.END
