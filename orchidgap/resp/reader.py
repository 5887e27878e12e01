"""A reader of RESP: bytes in, whole items or commands out. Nothing here does I/O.

Views that are fed do not last; what is not whole yet is kept, copied once. What breaks the protocol
is told once, in `RespReader.error`; the connection is of no use after that.

hiredis is not used: its reader makes objects of each answer, which is what a client wants. A
balancer passes an answer on as it arrived, and only has to know where it ends.
"""

from __future__ import annotations

from orchidgap.resp.framing import (
    MAX_ITEM_BYTES,
    MAX_LINE_BYTES,
    Incomplete,
    ProtocolViolation,
    command_words,
    item_end,
)

ARRAY = ord("*")


class RespReader:
    r"""Finds items in a stream of bytes.

    Attributes:
        max_item_bytes: the largest item that is read.
        error: what broke the protocol, empty while nothing has.
        buffer: what has arrived and may not be read yet.
        position: up to where the buffer has been read.
        bytes_needed: bytes behind `position` without which looking again is of no use.

    >>> reader = RespReader(); reader.feed(memoryview(b"+OK\r\n$5\r\nhel"))
    >>> reader.read_item(), reader.read_item()
    (b'+OK\r\n', None)
    >>> reader.feed(memoryview(b"lo\r\n*1\r\n"))
    >>> reader.read_item(), reader.read_item(), reader.unread_bytes()
    (b'$5\r\nhello\r\n', None, 4)
    """

    __slots__ = ("buffer", "bytes_needed", "error", "max_item_bytes", "position")

    def __init__(self, max_item_bytes: int = MAX_ITEM_BYTES) -> None:
        """Starts with nothing received."""
        self.buffer = bytearray()
        self.position = 0
        self.bytes_needed = 0
        self.max_item_bytes = max_item_bytes
        self.error = ""

    def feed(self, view: memoryview | bytes) -> None:
        """Takes what has arrived; the view may be reused after the call."""
        if self.position and self.position * 2 > len(self.buffer):
            del self.buffer[: self.position]
            self.position = 0
        self.buffer += view

    def find_item_end(self) -> int:
        """Returns where the next item ends, 0 where it is not whole or nothing more can be read."""
        if self.error or self.unread_bytes() < max(1, self.bytes_needed):
            return 0
        end = item_end(self.buffer, self.position, self.max_item_bytes)
        if isinstance(end, ProtocolViolation):
            self.error = end.what
            return 0
        if isinstance(end, Incomplete):
            self.bytes_needed = end.bytes_needed
            return 0
        return end

    def read_item(self) -> bytes | None:
        """Returns the next item as it was sent, None where there is no whole one."""
        end = self.find_item_end()
        if not end:
            return None
        item = bytes(memoryview(self.buffer)[self.position : end])
        self.advance(end)
        return item

    def read_command(self) -> list[bytes] | None:
        """Returns the next command's words, None where there is no whole one.

        A command is an array of bulk strings, or a line of words (inline), which may be empty.
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
        """Returns the words of the next line, None where it is not whole."""
        end = self.buffer.find(b"\n", self.position, self.position + MAX_LINE_BYTES)
        if end < 0:
            if self.unread_bytes() >= MAX_LINE_BYTES:
                self.error = "too big inline request"
            return None
        line = bytes(memoryview(self.buffer)[self.position : end])
        self.position = end + 1
        return line.split()

    def advance(self, end: int) -> None:
        """The buffer has been read up to here."""
        self.position = end
        self.bytes_needed = 0

    def unread_bytes(self) -> int:
        """Bytes that have arrived and were not read."""
        return len(self.buffer) - self.position
