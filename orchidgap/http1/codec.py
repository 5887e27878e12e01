"""HTTP/1.1 as both sides speak it: parsed by httptools, put together here."""

from __future__ import annotations

import re
from urllib.parse import unquote_to_bytes

import httptools

MOST_HEAD = 1 << 14
MOST_BODY = 1 << 16    # of a req
MOST_ANSWER = 1 << 20  # of an answer: hosts hold values of some hundred KB, and refusing those fails the req
SECONDS = re.compile(rb"[0-9]{1,9}(\.[0-9]*)?")
PADDING = 8  # times a body's bytes that its framing may take
ONCE = frozenset((b"request-id", b"request-class", b"request-timeout", b"tenant", b"idempotency-key"))
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed", 408: "Request Timeout",
           409: "Conflict", 413: "Content Too Large", 431: "Request Header Fields Too Large",
           500: "Internal Server Error", 503: "Service Unavailable", 505: "HTTP Version Not Supported"}


class Reader:
    """One message after another, out of views that do not last: the parser copies what is kept."""

    parser: httptools.HttpRequestParser | httptools.HttpResponseParser

    def __init__(self, most: int = MOST_BODY) -> None:
        self.most = most  # bytes of a body
        self.status = 0
        self.trouble = 0  # the status that tells what is wrong with the message
        self.reset()

    def reset(self) -> None:
        """Make room for the next message."""
        self.begun = self.whole = self.headed = self.extra = self.lasts = False
        self.size = self.raw = 0
        self.target = b""
        self.fields: dict[bytes, bytes] = {}
        self.body: list[bytes] = []

    def feed(self, view: memoryview) -> None:
        if self.whole:
            self.extra = True
            return
        self.begun = True
        try:
            self.parser.feed_data(view)
        except httptools.HttpParserUpgrade:
            self.trouble = self.trouble or 400
        except httptools.HttpParserError:
            if self.whole:  # bytes behind a message that said it was the last
                self.extra = True
            else:
                self.trouble = self.trouble or 400
        self.raw += len(view)
        if not self.headed and self.raw > MOST_HEAD:
            self.trouble = self.trouble or 431
        elif self.raw > MOST_HEAD + PADDING * self.most:  # chunks of a byte, or trailers without end
            self.trouble = self.trouble or 413

    def on_message_begin(self) -> None:
        if self.whole:
            self.extra = True

    def on_url(self, url: bytes) -> None:
        if not self.whole:
            self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        if not (self.whole or self.headed):  # trailers say nothing that counts
            name = name.lower()
            if name in ONCE and name in self.fields:  # two readers could take one each
                self.trouble = self.trouble or 400
            self.fields[name] = value

    def on_headers_complete(self) -> None:
        if not self.whole:
            self.headed = True
            if self.fields.get(b"transfer-encoding", b"chunked").lower() != b"chunked":
                self.trouble = self.trouble or 400  # what it is packed in would go on as if it were the body
            length = self.fields.get(b"content-length", b"0")
            if length.isdigit() and int(length) > self.most:
                self.trouble = self.trouble or 413

    def on_body(self, part: bytes) -> None:
        if self.whole:
            return
        self.size += len(part)
        if self.size > self.most:
            self.trouble = self.trouble or 413
        else:
            self.body.append(part)

    def on_message_complete(self) -> None:
        if not self.whole:
            self.whole = True
            # asked later, the parser has forgotten: every link was then closed after one answer
            self.lasts = self.parser.should_keep_alive()


class ReqReader(Reader):
    """
    >>> reader = ReqReader()
    >>> reader.feed(memoryview(b"PUT /a/b?c HTTP/1.1\\r\\nTenant: x\\r\\nContent-Length: 2\\r\\n\\r\\nh"))
    >>> reader.whole; reader.feed(memoryview(b"i")); reader.whole, reader.target, reader.body, reader.extra
    False
    (True, b'/a/b?c', [b'h', b'i'], False)
    >>> reader = ReqReader(); reader.feed(memoryview(b"GET / HTTP/1.1\\r\\n\\r\\nGET /"))
    >>> reader.whole, reader.extra
    (True, True)
    """

    parser: httptools.HttpRequestParser

    def __init__(self, most: int = MOST_BODY) -> None:
        super().__init__(most)
        self.parser = httptools.HttpRequestParser(self)


class AnswerReader(Reader):
    """An answer that tells no length ends with its connection, so it is never known to be whole.

    >>> reader = AnswerReader()
    >>> reader.feed(memoryview(b"HTTP/1.1 100 Continue\\r\\n\\r\\nHTTP/1.1 404 No\\r\\n"))
    >>> reader.feed(memoryview(b"Content-Length: 1\\r\\n\\r\\nxHT"))
    >>> reader.status, reader.whole, reader.extra
    (404, True, True)
    """

    parser: httptools.HttpResponseParser

    def __init__(self, most: int = MOST_BODY) -> None:
        super().__init__(most)
        self.parser = httptools.HttpResponseParser(self)

    def on_message_complete(self) -> None:
        if not self.whole:
            self.status = self.parser.get_status_code()
        if 100 <= self.status < 200:
            return self.reset()
        super().on_message_complete()


def split(target: bytes) -> tuple[str, bytes]:
    """The first part of the path and, where there are more, the last.

    >>> split(b"/read/7f%33?x=/y"), split(b"/read"), split(b"http://h/read/a/b"), split(b"/")
    (('read', b'7f3'), ('read', b''), ('read', b'b'), ('', b''))
    """
    parts = [unquote_to_bytes(part) for part in (httptools.parse_url(target).path or b"").split(b"/") if part]
    return parts[0].decode(errors="replace") if parts else "", parts[-1] if len(parts) > 1 else b""


def seconds(text: bytes) -> int | None:
    """Whole microseconds, or None where the text is no time that could be waited for.

    >>> seconds(b"0.480"), seconds(b"2"), seconds(b"-1"), seconds(b"nan"), seconds(b"9" * 99), seconds(b"1_0")
    (480000, 2000000, None, None, None, None)
    """
    if not SECONDS.fullmatch(text):
        return None
    micros = float(text) * 1e6
    return round(micros) if micros <= 3.6e9 else None


def answer(status: int, length: int = 0, last: bool = False, pause: int = 0) -> bytes:
    """The head of an answer.

    >>> print(answer(503, pause=1_250_000, last=True).decode().replace("\\r", "").strip())
    HTTP/1.1 503 Service Unavailable
    Content-Length: 0
    Retry-After: 1.250
    Connection: close
    """
    lines = [f"HTTP/1.1 {status} {REASONS[status]}", f"Content-Length: {length}"]
    if pause:
        lines.append(f"Retry-After: {pause / 1e6:.3f}")
    if last:
        lines.append("Connection: close")
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


def onward(method: bytes, target: bytes, fields: dict[bytes, bytes], body: bytes) -> bytes:
    """The head of a req as it goes on to hosts, but for how long it may still take.

    >>> onward(b"GET", b"/a/b", {b"request-id": b"7", b"tenant": b"x"}, b"")
    b'GET /a/b HTTP/1.1\\r\\nHost: cache\\r\\nRequest-Id: 7\\r\\n'
    """
    lines = [b"%b %b HTTP/1.1" % (method, target), b"Host: cache"]
    for name, field in ((b"Request-Id", b"request-id"), (b"Idempotency-Key", b"idempotency-key")):
        if field in fields:
            lines.append(b"%b: %b" % (name, fields[field]))
    if body or method == b"PUT":
        lines.append(b"Content-Length: %d" % len(body))
    return b"\r\n".join(lines) + b"\r\n"
