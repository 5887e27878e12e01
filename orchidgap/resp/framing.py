"""Finds the end of a RESP item in a buffer, and limits the size of items.

Follows the public specification of RESP 2 and 3. Items are scanned without recursion, so that both
the depth and the work for each byte are bounded. The limits guard against items that would exhaust
memory.
"""

from __future__ import annotations

from typing import NamedTuple

CRLF = b"\r\n"
MAX_LINE_BYTES = 1 << 16
MAX_ITEM_BYTES = 1 << 20  # the same as the limit for an HTTP response
MAX_DEPTH = 8
MIN_BYTES_PER_ENTRY = 8  # an item may have at most (its maximum bytes / this) entries
MAX_INTEGER_DIGITS = 19

LINE_TYPES = frozenset(b"+-:_#,(")  # the whole item is one line
BULK_TYPES = frozenset(b"$!=")  # a length, then that many bytes
# Entries per unit of the count. `|` starts attributes, which precede the item they belong to.
ENTRIES_PER_COUNT = {ord("*"): 1, ord("~"): 1, ord(">"): 1, ord("%"): 2, ord("|"): 2}
BULK_STRING = ord("$")
ATTRIBUTES = ord("|")


class ProtocolViolation(NamedTuple):
    """The bytes are not RESP, or exceed a limit.

    Attributes:
        reason: the reason, as sent to the client in the error reply.
    """

    reason: str


class Incomplete(NamedTuple):
    """The item has not arrived in full.

    Attributes:
        bytes_needed: a lower bound on the size of the item, from the bytes scanned so far.
    """

    bytes_needed: int


ItemEnd = int | Incomplete | ProtocolViolation


def parse_integer(line: bytes | bytearray | memoryview) -> int | None:
    """Returns the value of a RESP length or integer, or None if it is malformed.

    >>> [parse_integer(text) for text in (b"12", b"-1", b"+7", b"", b"1_0", b" 1", b"9" * 30)]
    [12, -1, 7, None, None, None, None]
    """
    text = bytes(line)
    digits = text[1:] if text[:1] in (b"-", b"+") else text
    is_integer = digits.isdigit() and len(digits) <= MAX_INTEGER_DIGITS
    return int(text) if is_integer else None


def line_end(data: bytearray, start: int) -> ItemEnd:
    """Returns the end of the line at `start`, excluding its line break."""
    end = data.find(CRLF, start, start + MAX_LINE_BYTES)
    if end >= 0:
        return end
    if len(data) - start >= MAX_LINE_BYTES:
        return ProtocolViolation("a line without end")
    return Incomplete(0)


def item_end(data: bytearray, start: int, max_bytes: int) -> ItemEnd:
    """Returns the end of the item at `start`, which may be at most `max_bytes` long."""
    return ItemScanner(max_bytes).scan(data, start)


class ItemScanner:
    r"""Finds the end of one item whose bytes arrive in pieces; each entry is scanned once.

    Attributes:
        max_bytes: maximum size of the item.
        scanned_bytes: size of the entries that were scanned, from the start of the item.
        open_aggregates: the aggregates that miss entries.

    >>> scanner = ItemScanner(100)
    >>> scanner.scan(bytearray(b"*2\r\n$1\r\na\r\n$"), 0), scanner.scanned_bytes
    (Incomplete(bytes_needed=0), 11)
    >>> scanner.scan(bytearray(b"*2\r\n$1\r\na\r\n$1\r\nb\r\n"), 0)
    18
    """

    __slots__ = ("max_bytes", "open_aggregates", "scanned_bytes")

    def __init__(self, max_bytes: int) -> None:
        """Starts before the first byte of the item."""
        self.max_bytes = max_bytes
        self.scanned_bytes = 0
        self.open_aggregates = OpenAggregates(max_bytes // MIN_BYTES_PER_ENTRY)

    def scan(self, data: bytearray, start: int) -> ItemEnd:
        """Returns the end of the item at `start`.

        If it is incomplete, the next call continues; the item may have moved in the buffer by then.
        """
        position = start + self.scanned_bytes
        while self.open_aggregates.entries_left:
            end = self.scan_entry(data, position, start)
            if not isinstance(end, int):
                return end
            position = end
            self.scanned_bytes = position - start
            if self.scanned_bytes > self.max_bytes:
                return ProtocolViolation(f"an item of more than {self.max_bytes} bytes")
            self.open_aggregates.close_complete()
        return position

    def scan_entry(self, data: bytearray, position: int, start: int) -> ItemEnd:
        """Returns the end of one entry, for an aggregate that of its head, and counts it."""
        if position >= len(data):
            return Incomplete(position - start + 1)
        kind = data[position]
        line = line_end(data, position + 1)
        if not isinstance(line, int):
            return line
        head = data[position + 1 : line]
        end: ItemEnd = line + len(CRLF)
        if kind in BULK_TYPES:
            end = end_of_bulk(data, head, line + len(CRLF), start, self.max_bytes)
            if not isinstance(end, int):
                return end
        return self.open_aggregates.add_entry(kind, head) or end


class OpenAggregates:
    """The stack of incomplete aggregates while an item is scanned.

    Attributes:
        max_entries: limit on the entries of all aggregates together.
        entries_left: missing entries of each incomplete aggregate, outermost first; the first
            element counts the item itself.
        entry_count: entries declared by all aggregates so far.
    """

    __slots__ = ("entries_left", "entry_count", "max_entries")

    def __init__(self, max_entries: int) -> None:
        """Starts before the first byte of the item."""
        self.max_entries = max_entries
        self.entries_left = [1]
        self.entry_count = 0

    def add_entry(self, kind: int, head: bytearray) -> ProtocolViolation | None:
        """Counts an entry of this type, and pushes it on the stack if it is an aggregate."""
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
        if kind == ATTRIBUTES:  # attributes do not count as an entry: their item follows
            self.entries_left[-1] += 1
        if entries:
            if len(self.entries_left) >= MAX_DEPTH:
                return ProtocolViolation(f"deeper than {MAX_DEPTH}")
            self.entries_left.append(entries)
        return None

    def close_complete(self) -> None:
        """Removes the aggregates that have all their entries from the stack."""
        while self.entries_left and self.entries_left[-1] == 0:
            self.entries_left.pop()


def end_of_bulk(
    data: bytearray, head: bytearray, position: int, start: int, max_bytes: int
) -> ItemEnd:
    """Returns the end of a bulk string.

    Args:
        data: the buffer.
        head: the length field as received.
        position: offset of the string's first byte.
        start: offset of the outermost item.
        max_bytes: maximum size of the outermost item.
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
    r"""Returns the encoded entries of a complete array.

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
    """Returns the words of a complete array of bulk strings, or None if it has other entries."""
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
