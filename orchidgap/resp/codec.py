"""The RESP protocol, versions 2 and 3, from its public specification: read as it comes, written in one go.

A `Reader` takes views that do not last and gives whole items; it keeps only what is not whole yet, copied
once. Bounds: bytes of one item, depth, entries, length of a line. What goes beyond them, or cannot be read,
is `Broken`, told once; the connection is of no further use then.

Why not hiredis: its reader makes objects of every answer, which is what a client wants. A balancer passes an
answer on as it came, so it only needs to know where it ends (`Reader.raw`).
"""

from __future__ import annotations

from typing import NamedTuple

MOST_LINE = 1 << 16
MOST_ITEM = 1 << 20  # bytes of one item, 1 MiB: as an answer over HTTP
MOST_DEPTH = 8
BYTES_AN_ENTRY = 8  # an item has no more entries than its most bytes over this

LINES = frozenset(b"+-:_#,(")  # an item is a line
BULKS = frozenset(b"$!=")  # a length, then so many bytes
AGGREGATES = {
    ord("*"): 1,
    ord("~"): 1,
    ord(">"): 1,
    ord("%"): 2,
    ord("|"): 2,
}  # entries of each count
CRLF = b"\r\n"


class Broken(NamedTuple):
    """What is wrong with the bytes, as a value."""

    what: str


class More(NamedTuple):
    """The item is not whole yet; at least so many bytes are needed in all, as far as is known."""

    need: int


def number(line: bytes | bytearray | memoryview) -> int | None:
    """A length or integer as RESP writes it, or None.

    >>> [number(text) for text in (b"12", b"-1", b"+7", b"", b"1_0", b" 1", b"9" * 30)]
    [12, -1, 7, None, None, None, None]
    """
    text = bytes(line)
    digits = text[1:] if text[:1] in (b"-", b"+") else text
    return int(text) if digits.isdigit() and len(digits) < 20 else None


class Reader:
    """Finds items in a stream of bytes.

    >>> reader = Reader(); reader.feed(memoryview(b"+OK\\r\\n$5\\r\\nhel")); reader.raw(), reader.raw()
    (b'+OK\\r\\n', None)
    >>> reader.feed(memoryview(b"lo\\r\\n*1\\r\\n")); reader.raw(), reader.raw(), reader.waiting()
    (b'$5\\r\\nhello\\r\\n', None, 4)
    """

    __slots__ = ("at", "broken", "kept", "most", "need")

    def __init__(self, most: int = MOST_ITEM) -> None:
        self.kept = bytearray()
        self.at = 0  # what of that was given out already
        self.need = 0  # bytes behind `at` without which looking again is of no use
        self.most = most
        self.broken = ""

    def feed(self, view: memoryview | bytes) -> None:
        if self.at and self.at * 2 > len(self.kept):
            del self.kept[: self.at]
            self.at = 0
        self.kept += view

    def whole(self) -> int:
        """Where the next item ends; 0 where it is not whole, or nothing can be read any more."""
        if self.broken or len(self.kept) - self.at < max(1, self.need):
            return 0
        end = span(self.kept, self.at, self.most)
        if isinstance(end, Broken):
            self.broken = end.what
            return 0
        if isinstance(end, More):
            self.need = end.need
            return 0
        return end

    def raw(self) -> bytes | None:
        """The next item's bytes as they came; None where it is not whole, or nothing can be read any more."""
        end = self.whole()
        if not end:
            return None
        item, self.at, self.need = bytes(memoryview(self.kept)[self.at : end]), end, 0
        return item

    def command(self) -> list[bytes] | None:
        """The next command's words; an empty list for an empty line. Inline commands are a line of words."""
        if not self.broken and self.waiting() and self.kept[self.at] != ord("*"):
            return self.inline()
        end = self.whole()
        if not end:
            return None
        words = words_of(self.kept, self.at)
        if words is None:
            self.broken = "a command is an array of bulk strings"
            return None
        self.at, self.need = end, 0
        return words

    def inline(self) -> list[bytes] | None:
        end = self.kept.find(b"\n", self.at, self.at + MOST_LINE)
        if end < 0:
            if len(self.kept) - self.at >= MOST_LINE:
                self.broken = "too big inline request"
            return None
        line = bytes(memoryview(self.kept)[self.at : end])
        self.at = end + 1
        return line.split()

    def waiting(self) -> int:
        """Bytes that came and were not given out."""
        return len(self.kept) - self.at


def line_end(data: bytearray, at: int) -> int | More | Broken:
    """Where the line at `at` ends, before its CRLF."""
    end = data.find(CRLF, at, at + MOST_LINE)
    if end >= 0:
        return end
    if len(data) - at >= MOST_LINE:
        return Broken("a line without end")
    return More(0)


def span(data: bytearray, start: int, most: int) -> int | More | Broken:
    """Where the item at `start` ends, without recursion: depth is bounded, and so is the work a byte."""
    at, left, entries = start, [1], 0
    while left:
        if at >= len(data):
            return More(at - start + 1)
        kind = data[at]
        end = line_end(data, at + 1)
        if not isinstance(end, int):
            return end
        left[-1] -= 1
        if kind in LINES:
            at = end + 2
        elif kind in BULKS:
            size = number(data[at + 1 : end])
            if size is None or size < -1:
                return Broken("invalid bulk length")
            at = end + 2
            if size >= 0:
                if at + size + 2 - start > most:
                    return Broken(f"an item of more than {most} bytes")
                if len(data) < at + size + 2:
                    return More(at + size + 2 - start)
                if data[at + size : at + size + 2] != CRLF:
                    return Broken("a bulk string that does not end where it says")
                at += size + 2
        elif kind in AGGREGATES:
            count = number(data[at + 1 : end])
            if count is None or count < -1:
                return Broken("invalid multibulk length")
            entries += max(0, count) * AGGREGATES[kind]
            if entries > most // BYTES_AN_ENTRY:
                return Broken(f"more than {most // BYTES_AN_ENTRY} entries")
            at = end + 2
            if kind == ord("|"):  # attributes stand before the item that they belong to
                left[-1] += 1
            if count > 0:
                if len(left) >= MOST_DEPTH:
                    return Broken(f"deeper than {MOST_DEPTH}")
                left.append(count * AGGREGATES[kind])
        else:
            return Broken(f"no type of RESP: {chr(kind)!r}")
        if at - start > most:
            return Broken(f"an item of more than {most} bytes")
        while left and left[-1] == 0:
            left.pop()
    return at


def words_of(data: bytearray, at: int) -> list[bytes] | None:
    """The words of a whole array of bulk strings; None where something else stands in it."""
    end = data.index(CRLF, at)
    count = number(data[at + 1 : end])
    at, words = end + 2, []
    for _ in range(max(0, count or 0)):
        if data[at] != ord("$"):
            return None
        end = data.index(CRLF, at)
        size = number(data[at + 1 : end])
        if size is None or size < 0:
            return None
        words.append(bytes(memoryview(data)[end + 2 : end + 2 + size]))
        at = end + 2 + size + 2
    return words


Item = None | bool | int | float | bytes | list["Item"] | dict[object, "Item"] | Exception


class Failure(Exception):
    """An error reply, as a value inside a read item."""


def read(raw: bytes) -> Item:
    """One whole item as plain values, for maps of slots and for tests. Raises ValueError for what is none.

    >>> read(b"*3\\r\\n:1\\r\\n$-1\\r\\n%1\\r\\n+a\\r\\n#t\\r\\n"), read(b",1.5\\r\\n"), read(b"_\\r\\n")
    ([1, None, {b'a': True}], 1.5, None)
    >>> read(b"-MOVED 3999 127.0.0.1:6381\\r\\n")
    Failure('MOVED 3999 127.0.0.1:6381')
    """
    data = bytearray(raw)
    end = span(data, 0, max(MOST_ITEM, len(raw)))
    if end != len(raw):
        raise ValueError("not one whole item")
    return parsed(data, 0)[0]


def parsed(data: bytearray, at: int) -> tuple[Item, int]:
    kind, end = chr(data[at]), data.index(CRLF, at)
    line, at = bytes(data[at + 1 : end]), end + 2
    if kind == "+":
        return line, at
    if kind == "-":
        return Failure(line.decode(errors="replace")), at
    if kind in ":(":
        return number(line), at
    if kind == "_":
        return None, at
    if kind == "#":
        return line == b"t", at
    if kind == ",":
        return float(line), at
    size = number(line)
    if size is None or size < 0:
        return None, at
    if kind in "$!=":
        body = bytes(data[at : at + size])
        if kind == "!":
            return Failure(body.decode(errors="replace")), at + size + 2
        return body[4:] if kind == "=" else body, at + size + 2
    if kind == "|":
        for _ in range(2 * size):
            _, at = parsed(data, at)
        return parsed(data, at)
    items: list[Item] = []
    for _ in range(size * AGGREGATES[ord(kind)]):
        item, at = parsed(data, at)
        items.append(item)
    if kind != "%":
        return items, at
    pairs: dict[object, Item] = {}
    for key, value in zip(items[::2], items[1::2]):
        pairs[key if isinstance(key, (bytes, int, bool, float)) else repr(key)] = value
    return pairs, at


def command(*words: bytes | int) -> bytes:
    """
    >>> command(b"TTL", b"k"), command(b"INCRBY", b"k", 5)[-7:]
    (b'*2\\r\\n$3\\r\\nTTL\\r\\n$1\\r\\nk\\r\\n', b'$1\\r\\n5\\r\\n')
    """
    parts = [b"*%d\r\n" % len(words)]
    for word in words:
        text = word if isinstance(word, bytes) else b"%d" % word
        parts.append(b"$%d\r\n%b\r\n" % (len(text), text))
    return b"".join(parts)


def bulk(text: bytes | None, resp3: bool = False) -> bytes:
    if text is None:
        return b"_\r\n" if resp3 else b"$-1\r\n"
    return b"$%d\r\n%b\r\n" % (len(text), text)


def error(text: str) -> bytes:
    """An error reply; line ends in the text would be read as more replies."""
    return b"-%b\r\n" % text.replace("\r", " ").replace("\n", " ").encode()


def array(items: list[bytes]) -> bytes:
    """An array of items that are written already."""
    return b"*%d\r\n" % len(items) + b"".join(items)


def mapping(pairs: list[tuple[bytes, bytes]], resp3: bool) -> bytes:
    """A map in RESP3; in RESP2 a flat array."""
    head = b"%%%d\r\n" % len(pairs) if resp3 else b"*%d\r\n" % (2 * len(pairs))
    return head + b"".join(key + value for key, value in pairs)
