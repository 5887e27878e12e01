"""Decodes RESP items to Python values, for slot maps and tests; answers are not decoded."""

from __future__ import annotations

from orchidgap.resp.framing import (
    CRLF,
    ENTRIES_PER_COUNT,
    MAX_ITEM_BYTES,
    item_end,
    parse_integer,
)

Item = None | bool | int | float | bytes | list["Item"] | dict[object, "Item"] | Exception
VERBATIM_PREFIX_BYTES = 4  # three letters for the format and a colon


class ErrorReply(Exception):  # noqa: N818 - the field's own term
    """An error reply as a value in a decoded item."""


def decode_item(raw: bytes) -> Item:
    r"""Returns one complete item as plain values.

    Raises ValueError if the bytes are not exactly one complete item.

    >>> decode_item(b"*3\r\n:1\r\n$-1\r\n%1\r\n+a\r\n#t\r\n")
    [1, None, {b'a': True}]
    >>> decode_item(b",1.5\r\n"), decode_item(b"_\r\n")
    (1.5, None)
    >>> decode_item(b"-MOVED 3999 127.0.0.1:6381\r\n")
    ErrorReply('MOVED 3999 127.0.0.1:6381')
    """
    data = bytearray(raw)
    end = item_end(data, 0, max(MAX_ITEM_BYTES, len(raw)))
    if end != len(raw):
        raise ValueError("not exactly one complete RESP item")
    item, _ = decode_at(data, 0)
    return item


def decode_at(data: bytearray, start: int) -> tuple[Item, int]:
    """Returns the item at `start`, which has to be valid, and the offset of its end."""
    kind = chr(data[start])
    line_end = data.index(CRLF, start)
    line = bytes(data[start + 1 : line_end])
    position = line_end + len(CRLF)
    if kind in "+-:(_#,":
        return decode_line(kind, line), position
    size = parse_integer(line)
    if size is None or size < 0:
        return None, position
    if kind in "$!=":
        body = bytes(data[position : position + size])
        return decode_bulk(kind, body), position + size + len(CRLF)
    if kind == "|":  # attributes are skipped: they do not change the value of the item that follows
        for _ in range(2 * size):
            _, position = decode_at(data, position)
        return decode_at(data, position)
    items: list[Item] = []
    for _ in range(size * ENTRIES_PER_COUNT[ord(kind)]):
        item, position = decode_at(data, position)
        items.append(item)
    return (decode_map(items) if kind == "%" else items), position


def decode_line(kind: str, line: bytes) -> Item:
    """Returns the value of an item that consists of one line."""
    if kind == "+":
        return line
    if kind == "-":
        return ErrorReply(line.decode(errors="replace"))
    if kind in ":(":
        return parse_integer(line)
    if kind == "#":
        return line == b"t"
    if kind == ",":
        return float(line)
    return None


def decode_bulk(kind: str, body: bytes) -> Item:
    """Returns the value of a bulk string, bulk error or verbatim string."""
    if kind == "!":
        return ErrorReply(body.decode(errors="replace"))
    return body[VERBATIM_PREFIX_BYTES:] if kind == "=" else body


def decode_map(items: list[Item]) -> dict[object, Item]:
    """Returns alternating keys and values as a dictionary, with unhashable keys as `repr` text."""
    pairs: dict[object, Item] = {}
    for key, value in zip(items[::2], items[1::2]):
        is_hashable = isinstance(key, (bytes, int, bool, float))
        pairs[key if is_hashable else repr(key)] = value
    return pairs
