"""A reader of RESP that turns bytes into complete items or commands. It does no I/O.

The views passed to `feed` are valid only during the call, so their bytes are copied once into a
buffer. The first protocol violation is stored in `RespReader.error`; nothing more can be read from
the connection after that.

hiredis is not used because its reader builds an object for each answer, as a client needs it. A
balancer forwards answers unchanged and only has to know where each one ends.
"""

from __future__ import annotations

from orchidgap.resp.framing import (
    MAX_ITEM_BYTES,
    MAX_LINE_BYTES,
    Incomplete,
    ItemScanner,
    ProtocolViolation,
    command_words,
)

ARRAY = ord("*")
# Bytes that were read are dropped from the buffer when there are more of them: dropping them after
# each of many small items would copy the rest every time.
MAX_READ_BYTES_KEPT = 1 << 16


class RespReader:
    r"""Finds items in a stream of bytes.

    Attributes:
        max_item_bytes: the largest item that is read.
        error: the protocol violation, empty if there was none.
        buffer: the bytes that have arrived, including some that were already read.
        position: offset of the first unread byte in the buffer.
        bytes_needed: unread bytes required before scanning for the next item again.
        scanner: the scan of the next item while that is incomplete; None before it.

    >>> reader = RespReader(); reader.feed(memoryview(b"+OK\r\n$5\r\nhel"))
    >>> reader.read_item(), reader.read_item()
    (b'+OK\r\n', None)
    >>> reader.feed(memoryview(b"lo\r\n*1\r\n"))
    >>> reader.read_item(), reader.read_item(), reader.unread_bytes()
    (b'$5\r\nhello\r\n', None, 4)
    """

    __slots__ = ("buffer", "bytes_needed", "error", "max_item_bytes", "position", "scanner")

    def __init__(self, max_item_bytes: int = MAX_ITEM_BYTES) -> None:
        """Starts with nothing received."""
        self.buffer = bytearray()
        self.position = 0
        self.bytes_needed = 0
        self.scanner: ItemScanner | None = None
        self.max_item_bytes = max_item_bytes
        self.error = ""

    def feed(self, view: memoryview | bytes) -> None:
        """Appends received bytes; the view may be reused after the call."""
        if self.position and self.position * 2 > len(self.buffer):
            del self.buffer[: self.position]
            self.position = 0
        self.buffer += view

    def find_item_end(self) -> int:
        """Returns the end of the next item, or 0 if it is incomplete or there was an error."""
        if self.error or self.unread_bytes() < max(1, self.bytes_needed):
            return 0
        scanner = self.scanner or ItemScanner(self.max_item_bytes)
        end = scanner.scan(self.buffer, self.position)
        if isinstance(end, ProtocolViolation):
            self.error = end.reason
            return 0
        if isinstance(end, Incomplete):
            self.bytes_needed = end.bytes_needed
            self.scanner = scanner
            return 0
        return end

    def read_item(self) -> bytes | None:
        """Returns the next item as encoded bytes, or None if it is incomplete."""
        end = self.find_item_end()
        if not end:
            return None
        item = bytes(memoryview(self.buffer)[self.position : end])
        self.advance(end)
        return item

    def read_command(self) -> list[bytes] | None:
        """Returns the next command's words, or None if it is incomplete.

        A command is an array of bulk strings or an inline command, which is a line of words and may
        be empty.
        """
        is_inline = self.unread_bytes() > 0 and self.buffer[self.position] != ARRAY
        if is_inline and not self.error:
            return self.read_inline_command()
        end = self.find_item_end()
        if not end:
            return None
        words = command_words(self.buffer, self.position)
        if words is None:
            self.error = "a command is an array of bulk strings"
            return None
        self.advance(end)
        return words

    def read_inline_command(self) -> list[bytes] | None:
        """Returns the words of the next line, or None if it is incomplete."""
        end = self.buffer.find(b"\n", self.position, self.position + MAX_LINE_BYTES)
        if end < 0:
            if self.unread_bytes() >= MAX_LINE_BYTES:
                self.error = "too big inline request"
            return None
        line = bytes(memoryview(self.buffer)[self.position : end])
        self.advance(end + 1)
        return line.split()

    def advance(self, end: int) -> None:
        """Marks the buffer as read up to `end`, and releases what a large item has occupied."""
        self.position = end
        self.bytes_needed = 0
        self.scanner = None
        if end == len(self.buffer) or end > MAX_READ_BYTES_KEPT:
            del self.buffer[:end]
            self.position = 0

    def discard(self) -> None:
        """Drops all bytes that have arrived, as nothing more is read."""
        self.buffer = bytearray()
        self.position = 0
        self.bytes_needed = 0
        self.scanner = None

    def unread_bytes(self) -> int:
        """Returns the number of bytes that have arrived and were not read."""
        return len(self.buffer) - self.position
