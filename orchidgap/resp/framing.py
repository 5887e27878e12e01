"""Where an item of RESP ends in a buffer, and bounds on what one may hold.

RESP 2 and 3 by their public specification. An item is looked at without recursion, so that depth is
bounded and so is the work for each byte; bounds guard against items that would fill the memory.
"""

from __future__ import annotations

from typing import NamedTuple

CRLF = b"\r\n"
MAX_LINE_BYTES = 1 << 16
MAX_ITEM_BYTES = 1 << 20  # as a response over HTTP
MAX_DEPTH = 8
MIN_BYTES_PER_ENTRY = 8  # an item has no more entries than its bytes over this
MAX_INTEGER_DIGITS = 19

LINE_TYPES = frozenset(b"+-:_#,(")  # the item is a line
BULK_TYPES = frozenset(b"$!=")  # a length, then so many bytes
# Entries for each count; `|` are attributes, which stand before the item they belong to.
ENTRIES_PER_COUNT = {ord("*"): 1, ord("~"): 1, ord(">"): 1, ord("%"): 2, ord("|"): 2}
BULK_STRING = ord("$")
ATTRIBUTES = ord("|")


class ProtocolViolation(NamedTuple):
    """The bytes are not RESP, or go beyond a bound.

    Attributes:
        what: the reason, in the words that a client is told.
    """

    what: str


class Incomplete(NamedTuple):
    """The item has not arrived whole.

    Attributes:
        bytes_needed: bytes that it has at least, as far as is known.
    """

    bytes_needed: int


ItemEnd = int | Incomplete | ProtocolViolation


def parse_integer(line: bytes | bytearray | memoryview) -> int | None:
    """Returns a length or integer as RESP writes it, or None.

    >>> [parse_integer(text) for text in (b"12", b"-1", b"+7", b"", b"1_0", b" 1", b"9" * 30)]
    [12, -1, 7, None, None, None, None]
    """
    text = bytes(line)
    digits = text[1:] if text[:1] in (b"-", b"+") else text
    is_integer = digits.isdigit() and len(digits) <= MAX_INTEGER_DIGITS
    return int(text) if is_integer else None


def line_end(data: bytearray, start: int) -> ItemEnd:
    """Returns where the line at `start` ends, before its line break."""
    end = data.find(CRLF, start, start + MAX_LINE_BYTES)
    if end >= 0:
        return end
    if len(data) - start >= MAX_LINE_BYTES:
        return ProtocolViolation("a line without end")
    return Incomplete(0)


def item_end(data: bytearray, start: int, max_bytes: int) -> ItemEnd:
    """Returns where the item at `start` ends; it may have `max_bytes`."""
    position = start
    open_aggregates = OpenAggregates(max_bytes // MIN_BYTES_PER_ENTRY)
    while open_aggregates.entries_left:
        if position >= len(data):
            return Incomplete(position - start + 1)
        kind = data[position]
        end = line_end(data, position + 1)
        if not isinstance(end, int):
            return end
        head = data[position + 1 : end]
        position = end + len(CRLF)
        violation = open_aggregates.take_entry(kind, head)
        if violation:
            return violation
        if kind in BULK_TYPES:
            end = end_of_bulk(data, head, position, start, max_bytes)
            if not isinstance(end, int):
                return end
            position = end
        if position - start > max_bytes:
            return ProtocolViolation(f"an item of more than {max_bytes} bytes")
        open_aggregates.close_complete()
    return position


class OpenAggregates:
    """The aggregates that an item is in, and how many entries each still has to come.

    Attributes:
        max_entries: entries of all aggregates together.
        entries_left: of each open aggregate; the first one is the item itself.
        entry_count: entries so far.
    """

    __slots__ = ("entries_left", "entry_count", "max_entries")

    def __init__(self, max_entries: int) -> None:
        """Starts before the item."""
        self.max_entries = max_entries
        self.entries_left = [1]
        self.entry_count = 0

    def take_entry(self, kind: int, head: bytearray) -> ProtocolViolation | None:
        """Takes an entry of this type, and opens it where it is an aggregate."""
        self.entries_left[-1] -= 1
        if kind in LINE_TYPES or kind in BULK_TYPES:
            return None
        if kind not in ENTRIES_PER_COUNT:
            return ProtocolViolation(f"no type of RESP: {chr(kind)!r}")
        count = parse_integer(head)
        if count is None or count < -1:
            return ProtocolViolation("invalid multibulk length")
        entries = max(0, count) * ENTRIES_PER_COUNT[kind]
        self.entry_count += entries
        if self.entry_count > self.max_entries:
            return ProtocolViolation(f"more than {self.max_entries} entries")
        if kind == ATTRIBUTES:  # the item that they belong to is still to come
            self.entries_left[-1] += 1
        if entries:
            if len(self.entries_left) >= MAX_DEPTH:
                return ProtocolViolation(f"deeper than {MAX_DEPTH}")
            self.entries_left.append(entries)
        return None

    def close_complete(self) -> None:
        """Closes the aggregates of which all entries have come."""
        while self.entries_left and self.entries_left[-1] == 0:
            self.entries_left.pop()


def end_of_bulk(
    data: bytearray, head: bytearray, position: int, start: int, max_bytes: int
) -> ItemEnd:
    """Returns where a bulk string ends.

    Args:
        data: the buffer.
        head: the length as it was sent.
        position: where the string begins.
        start: where the whole item began.
        max_bytes: what the whole item may have.
    """
    size = parse_integer(head)
    if size is None or size < -1:
        return ProtocolViolation("invalid bulk length")
    if size < 0:  # a null
        return position
    end = position + size + len(CRLF)
    if end - start > max_bytes:
        return ProtocolViolation(f"an item of more than {max_bytes} bytes")
    if len(data) < end:
        return Incomplete(end - start)
    if data[position + size : end] != CRLF:
        return ProtocolViolation("a bulk string that does not end where it says")
    return end


def split_array(text: bytes) -> list[bytes]:
    r"""Returns the entries of a whole array as they were sent.

    >>> split_array(b"*2\r\n$1\r\na\r\n$-1\r\n")
    [b'$1\r\na\r\n', b'$-1\r\n']
    """
    data = bytearray(text)
    items = []
    position = data.index(CRLF) + len(CRLF)
    while position < len(data):
        end = item_end(data, position, len(data))
        if not isinstance(end, int):
            break
        items.append(bytes(data[position:end]))
        position = end
    return items


def command_words(data: bytearray, start: int) -> list[bytes] | None:
    """Returns the words of a whole array of bulk strings, None where it holds something else."""
    end = data.index(CRLF, start)
    count = parse_integer(data[start + 1 : end])
    position = end + len(CRLF)
    words = []
    for _ in range(max(0, count or 0)):
        if data[position] != BULK_STRING:
            return None
        end = data.index(CRLF, position)
        size = parse_integer(data[position + 1 : end])
        if size is None or size < 0:
            return None
        position = end + len(CRLF)
        words.append(bytes(memoryview(data)[position : position + size]))
        position += size + len(CRLF)
    return words
