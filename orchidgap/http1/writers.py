"""Encoding of HTTP/1.1 heads and chunks, and parsing of the values in a head.

Nothing here does I/O.
"""

from __future__ import annotations

import re
from urllib.parse import unquote_to_bytes

import httptools

SECONDS_PATTERN = re.compile(rb"[0-9]{1,9}(\.[0-9]*)?")
MICROSECONDS_PER_SECOND = 1e6
MAX_TIMEOUT_US = 3.6e9  # one hour
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"
REASONS = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    409: "Conflict",
    413: "Content Too Large",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    503: "Service Unavailable",
    505: "HTTP Version Not Supported",
}
# Fields of a client's request that are forwarded unchanged, with their name on the wire.
FORWARDED_FIELDS = ((b"request-id", b"Request-Id"), (b"idempotency-key", b"Idempotency-Key"))


def split_target(target: bytes) -> tuple[str, bytes]:
    """Returns the first segment of the path, and the last one if there are several.

    The first segment is the request class, the last one the key. Raises
    httptools.HttpParserInvalidURLError.

    >>> split_target(b"/read/7f%33?x=/y"), split_target(b"/read")
    (('read', b'7f3'), ('read', b''))
    >>> split_target(b"http://h/read/a/b"), split_target(b"/")
    (('read', b'b'), ('', b''))
    """
    path = httptools.parse_url(target).path or b""
    parts = [unquote_to_bytes(part) for part in path.split(b"/") if part]
    first = parts[0].decode(errors="replace") if parts else ""
    key = parts[-1] if len(parts) > 1 else b""
    return first, key


def parse_seconds(text: bytes) -> int | None:
    """Parses seconds into whole microseconds; None where the text is not a valid timeout.

    >>> [parse_seconds(text) for text in (b"0.480", b"2", b"-1", b"nan", b"9" * 99, b"1_0")]
    [480000, 2000000, None, None, None, None]
    """
    if not SECONDS_PATTERN.fullmatch(text):
        return None
    time_us = float(text) * MICROSECONDS_PER_SECOND
    return round(time_us) if time_us <= MAX_TIMEOUT_US else None


def response_head(
    status: int,
    content_length: int | None = 0,
    close: bool = False,
    retry_after_us: int = 0,
    version: str = "1.1",
) -> bytes:
    r"""Returns the head of a response.

    Args:
        status: one of `REASONS`.
        content_length: bytes of the body. None: the body is chunked, or ends with the connection
            where the client does not support chunks.
        close: the connection is closed after this response.
        retry_after_us: value of Retry-After in microseconds, 0 for none.
        version: the HTTP version of the request.

    >>> head = response_head(503, retry_after_us=1_250_000, close=True)
    >>> print(head.decode().replace("\r", "").strip())
    HTTP/1.1 503 Service Unavailable
    Content-Length: 0
    Retry-After: 1.250
    Connection: close
    >>> response_head(200, None)
    b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
    >>> response_head(200, 7, version="1.0")
    b'HTTP/1.1 200 OK\r\nContent-Length: 7\r\nConnection: keep-alive\r\n\r\n'
    """
    lines = [f"HTTP/1.1 {status} {REASONS[status]}"]
    if content_length is not None:
        lines.append(f"Content-Length: {content_length}")
    elif version == "1.1":
        lines.append("Transfer-Encoding: chunked")
    if retry_after_us:
        lines.append(f"Retry-After: {retry_after_us / MICROSECONDS_PER_SECOND:.3f}")
    if close:
        lines.append("Connection: close")
    elif version == "1.0":
        lines.append("Connection: keep-alive")
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


def encode_chunk(parts: list[bytes]) -> list[bytes]:
    r"""Returns the parts framed as one chunk, or an empty list where they contain no bytes.

    An empty chunk would end the body.

    >>> encode_chunk([b"ab", b"c"]), encode_chunk([])
    ([b'3\r\n', b'ab', b'c', b'\r\n'], [])
    """
    size = sum(map(len, parts))
    return [b"%x\r\n" % size, *parts, b"\r\n"] if size else []


def forwarded_head(
    method: bytes, target: bytes, fields: dict[bytes, bytes], content_length: int | None
) -> bytes:
    r"""Returns the head of a request to a host, up to but not including its timeout field.

    `content_length` is in bytes; None: the body is chunked.

    >>> forwarded_head(b"GET", b"/a/b", {b"request-id": b"7", b"tenant": b"x"}, 0)
    b'GET /a/b HTTP/1.1\r\nHost: cache\r\nRequest-Id: 7\r\n'
    """
    lines = [b"%b %b HTTP/1.1" % (method, target), b"Host: cache"]
    for field, name in FORWARDED_FIELDS:
        if field in fields:
            lines.append(b"%b: %b" % (name, fields[field]))
    if content_length is None:
        lines.append(b"Transfer-Encoding: chunked")
    elif content_length or method == b"PUT":
        lines.append(b"Content-Length: %d" % content_length)
    return b"\r\n".join(lines) + b"\r\n"
