"""Encoders for RESP commands and reply items. They do no I/O."""

from __future__ import annotations


def encode_command(*words: bytes | int) -> bytes:
    r"""Returns a command as an array of bulk strings.

    >>> encode_command(b"TTL", b"k"), encode_command(b"INCRBY", b"k", 5)[-7:]
    (b'*2\r\n$3\r\nTTL\r\n$1\r\nk\r\n', b'$1\r\n5\r\n')
    """
    parts = [b"*%d\r\n" % len(words)]
    for word in words:
        text = word if isinstance(word, bytes) else b"%d" % word
        parts.append(b"$%d\r\n%b\r\n" % (len(text), text))
    return b"".join(parts)


def encode_bulk(text: bytes | None, resp3: bool = False) -> bytes:
    """Returns a bulk string, or the null of the protocol version."""
    if text is None:
        return b"_\r\n" if resp3 else b"$-1\r\n"
    return b"$%d\r\n%b\r\n" % (len(text), text)


def encode_integer(number: int) -> bytes:
    """Returns an integer item."""
    return b":%d\r\n" % number


def encode_error(text: str) -> bytes:
    """Returns an error reply with line breaks replaced, as they would start another reply."""
    return b"-%b\r\n" % text.replace("\r", " ").replace("\n", " ").encode()


def encode_array(items: list[bytes]) -> bytes:
    """Returns an array of encoded items."""
    return b"*%d\r\n" % len(items) + b"".join(items)


def encode_map(pairs: list[tuple[bytes, bytes]], resp3: bool) -> bytes:
    """Returns a map of encoded items in RESP 3, a flat array in RESP 2."""
    head = b"%%%d\r\n" % len(pairs) if resp3 else b"*%d\r\n" % (2 * len(pairs))
    return head + b"".join(key + value for key, value in pairs)
