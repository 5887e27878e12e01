"""HTTP/1.1 as both sides speak it: parsed by httptools, put together here."""

from __future__ import annotations

import re
from collections import deque
from urllib.parse import unquote_to_bytes

import httptools

from orchidgap.http1.chunked_encoding import Chunks

MOST_HEAD = 1 << 14
KEPT = 1 << 16  # bytes of a body that is kept whole; a larger one flows
MOST_BODY = 40 << 20  # of one that flows
SECONDS = re.compile(rb"[0-9]{1,9}(\.[0-9]*)?")
PADDING = 8  # times a body's bytes that its framing may take
ONCE = frozenset(
    (
        b"request-id",
        b"request-class",
        b"request-timeout",
        b"tenant",
        b"idempotency-key",
        b"host",
        b"transfer-encoding",
    )
)
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


class Message:
    """One message as far as it has come. `parts` are those of its body that nobody has taken yet."""

    # what most messages never set costs them nothing
    headed = whole = False
    lasts = False  # its connection may carry another after it
    status = 0
    trouble = 0  # the status that tells what is wrong with it
    method = target = b""
    version = ""
    length: int | None = None  # of its body, as its head tells; None where it does not
    came = 0  # when its last byte did, in microseconds, 0 until it is known
    size = raw = 0  # bytes of its body, and of all of it
    text: bytes | None = b""  # its head so far, where it comes in pieces; None: not known
    chunks: Chunks | None = None  # where its body stands, if that comes in chunks

    def __init__(self) -> None:
        self.fields: dict[bytes, bytes] = {}
        self.parts: list[bytes] = []

    def take(self) -> list[bytes]:
        """What has come of its body since it was last taken."""
        parts, self.parts = self.parts, []
        return parts

    @property
    def body(self) -> bytes:
        return b"".join(self.parts)

    @property
    def large(self) -> bool:
        """Whether its body is known to be more than is kept whole."""
        return self.size > KEPT or self.length is not None and self.length > KEPT


class Reader:
    """One message after another, out of views that do not last: the parser copies what is kept."""

    parser: httptools.HttpRequestParser | httptools.HttpResponseParser

    def __init__(self, most: int = MOST_BODY) -> None:
        self.most = most  # bytes of a body
        self.message = self.into = (
            Message()
        )  # the oldest that is not done with; the one that comes in
        self.begun = False  # anything has come of the oldest
        self.extra = False  # more has come than may
        self.heads = 0  # that ended since the oldest began, interim ones too

    def feed(self, view: memoryview) -> None:
        self.begun = True
        before = self.into
        headed = before.headed
        before.raw += len(view)
        try:
            self.parser.feed_data(view)
        except httptools.HttpParserUpgrade:
            self.fail(400)
        except httptools.HttpParserError:
            if self.into.whole:
                self.beyond()
            else:
                self.fail(400)
        into = self.into
        if into is before and into.whole:
            return
        if into is not before or not into.headed:
            self.keep_head(view, into is before)
        elif into.chunks:
            self.keep_count(view, headed)
        if not into.headed and into.raw > MOST_HEAD:
            self.fail(431)
        elif (
            into.raw > MOST_HEAD + KEPT + PADDING * into.size
        ):  # extensions, or trailers, without end
            self.fail(413)

    def keep_head(self, view: memoryview, alone: bool) -> None:
        """Of a head in pieces; one that shares its first piece with another message is not known."""
        into = self.into
        into.chunks = None
        into.text = into.text + bytes(view) if alone and into.text is not None else None

    def keep_count(self, view: memoryview, headed: bool) -> None:
        """Where its chunks stand, from the end of its head on."""
        into = self.into
        assert into.chunks
        if headed:
            return into.chunks.feed(bytes(view))
        if into.text is None:
            into.chunks = None
            return
        text = (into.text + bytes(view)).lstrip(b"\r\n")
        place = 0
        for _ in range(self.heads):
            place = text.index(b"\r\n\r\n", place) + 4
        into.text = None
        into.chunks.feed(text[place:])

    def beyond(self) -> None:
        """What came behind a whole message is none."""
        self.extra = True

    def fail(self, status: int) -> None:
        self.into.trouble = self.into.trouble or status

    def on_url(self, url: bytes) -> None:
        self.into.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        if self.into.headed:  # trailers say nothing that counts
            return
        name, fields = name.lower(), self.into.fields
        if name in fields and name in ONCE:  # two readers could take one each
            self.fail(400)
        fields[name] = value.strip(b" \t")  # the parser leaves the blanks behind a value

    def on_headers_complete(self) -> None:
        into = self.into
        into.headed = True
        self.heads += 1
        into.version = self.parser.get_http_version()
        packed = into.fields.get(b"transfer-encoding")
        if packed is not None and (packed.lower() != b"chunked" or into.version != "1.1"):
            self.fail(400)  # what it is packed in would go on as if it were the body
        elif packed is not None:
            into.chunks = Chunks()
        length = into.fields.get(b"content-length")
        if length is not None:
            if length.isdigit():
                into.length = int(length)
            if into.length is None or into.length > self.most:
                self.fail(413)

    def on_body(self, part: bytes) -> None:
        into = self.into
        into.size += len(part)
        if into.size > self.most:
            self.fail(413)
        elif not into.trouble:
            into.parts.append(part)

    def on_message_complete(self) -> None:
        into = self.into
        into.whole = True
        # asked later, the parser has forgotten: every link was then closed after one answer
        into.lasts = self.parser.should_keep_alive()


class ReqReader(Reader):
    """Reqs in the order they came; `next` goes on to the one behind. Who feeds it bounds what waits.

    >>> reader = ReqReader()
    >>> reader.feed(memoryview(b"PUT /a/b?c HTTP/1.1\\r\\nTenant: x\\r\\nContent-Length: 2\\r\\n\\r\\nh"))
    >>> reader.message.whole; reader.feed(memoryview(b"iGET / HTTP/1.1\\r\\n\\r\\nGE"))
    False
    >>> reader.message.whole, reader.message.method, reader.message.target, reader.message.parts
    (True, b'PUT', b'/a/b?c', [b'h', b'i'])
    >>> reader.next(); reader.message.target, reader.message.whole, len(reader.behind)
    (b'/', True, 1)
    >>> reader.next(); reader.message.headed, reader.begun, len(reader.behind)
    (False, True, 0)
    """

    parser: httptools.HttpRequestParser

    def __init__(self, most: int = MOST_BODY) -> None:
        super().__init__(most)
        self.parser = httptools.HttpRequestParser(self)
        self.behind: deque[Message] = deque()  # sent before the answer to the oldest

    def on_message_begin(self) -> None:
        if self.into.whole:
            self.into = Message()
            self.behind.append(self.into)

    def on_headers_complete(self) -> None:
        self.into.method = self.parser.get_method()
        super().on_headers_complete()
        if self.into.length is None and b"transfer-encoding" not in self.into.fields:
            self.into.length = 0

    def beyond(self) -> None:
        if self.into.lasts:  # else it said itself that nothing follows
            self.into = Message()
            self.behind.append(self.into)
            self.fail(400)

    def next(self) -> None:
        """The oldest is done with."""
        self.heads = 0
        if self.behind:
            self.message = self.behind.popleft()
        else:
            self.begun = False
            self.message = self.into = Message()


class AnswerReader(Reader):
    """One answer at a time. `ended` tells it that the other side has closed: where nothing else tells an
    answer's end, that is its end.

    >>> reader = AnswerReader()
    >>> reader.feed(memoryview(b"HTTP/1.1 100 Continue\\r\\n\\r\\nHTTP/1.1 404 No\\r\\n"))
    >>> reader.feed(memoryview(b"Content-Length: 1\\r\\n\\r\\nxHT"))
    >>> reader.message.status, reader.message.whole, reader.extra
    (404, True, True)
    >>> reader = AnswerReader(); reader.feed(memoryview(b"HTTP/1.1 200 OK\\r\\n\\r\\nto the end"))
    >>> reader.message.whole, reader.ended(), reader.message.whole, reader.message.body, reader.message.lasts
    (False, True, True, b'to the end', False)
    """

    parser: httptools.HttpResponseParser

    def __init__(self, most: int = MOST_BODY) -> None:
        super().__init__(most)
        self.renew(False)

    def renew(self, bare: bool) -> None:
        """Make room for the next answer; a bare one has no body, whatever its head says."""
        self.bare = bare
        self.parser = httptools.HttpResponseParser(self)
        self.reset()

    def reset(self) -> None:
        self.message = self.into = Message()
        self.begun = self.extra = False
        self.heads = 0

    def feed(self, view: memoryview) -> None:
        if self.into.whole:
            self.extra = True
        else:
            super().feed(view)

    def on_message_begin(self) -> None:
        if self.into.whole:
            self.extra = True
            self.into = Message()  # it is of no use to anyone

    def on_headers_complete(self) -> None:
        into = self.into
        into.status = self.parser.get_status_code()
        super().on_headers_complete()
        if self.bare and not 100 <= into.status < 200:
            into.whole, into.lasts = True, self.parser.should_keep_alive()

    def on_body(self, part: bytes) -> None:
        if self.bare:
            self.extra = True
        else:
            super().on_body(part)

    def on_message_complete(self) -> None:
        if not self.into.whole:
            super().on_message_complete()
        if 100 <= self.into.status < 200 and not self.extra:
            text, raw = self.into.text, self.into.raw
            self.into.__dict__.clear()  # the answer itself is still to come, in the same place
            self.into.__init__()  # type: ignore[misc]
            self.into.text, self.into.raw = text, raw

    def ended(self) -> bool:
        """Whether the end of the connection made the answer whole."""
        into = self.into
        if (
            into.headed
            and not into.whole
            and not into.trouble
            and into.length is None
            and b"transfer-encoding" not in into.fields
        ):
            into.whole = True
        return into.whole


def split(target: bytes) -> tuple[str, bytes]:
    """The first part of the path and, where there are more, the last.

    >>> split(b"/read/7f%33?x=/y"), split(b"/read"), split(b"http://h/read/a/b"), split(b"/")
    (('read', b'7f3'), ('read', b''), ('read', b'b'), ('', b''))
    """
    parts = [
        unquote_to_bytes(part)
        for part in (httptools.parse_url(target).path or b"").split(b"/")
        if part
    ]
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


def answer(
    status: int, length: int | None = 0, last: bool = False, pause: int = 0, version: str = "1.1"
) -> bytes:
    """The head of an answer. Without a length its body comes in chunks, or to the end of the connection where
    the client knows no chunks.

    >>> print(answer(503, pause=1_250_000, last=True).decode().replace("\\r", "").strip())
    HTTP/1.1 503 Service Unavailable
    Content-Length: 0
    Retry-After: 1.250
    Connection: close
    >>> answer(200, None), answer(200, 7, version="1.0")
    (b'HTTP/1.1 200 OK\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\n', \
b'HTTP/1.1 200 OK\\r\\nContent-Length: 7\\r\\nConnection: keep-alive\\r\\n\\r\\n')
    """
    lines = [f"HTTP/1.1 {status} {REASONS[status]}"]
    if length is not None:
        lines.append(f"Content-Length: {length}")
    elif version == "1.1":
        lines.append("Transfer-Encoding: chunked")
    if pause:
        lines.append(f"Retry-After: {pause / 1e6:.3f}")
    if last:
        lines.append("Connection: close")
    elif version == "1.0":
        lines.append("Connection: keep-alive")
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


def chunk(parts: list[bytes]) -> list[bytes]:
    """
    >>> chunk([b"ab", b"c"]), chunk([])
    ([b'3\\r\\n', b'ab', b'c', b'\\r\\n'], [])
    """
    size = sum(map(len, parts))
    return [b"%x\r\n" % size, *parts, b"\r\n"] if size else []


def onward(method: bytes, target: bytes, fields: dict[bytes, bytes], length: int | None) -> bytes:
    """The head of a req as it goes on to hosts, but for how long it may still take. Without a length its body
    goes on in chunks.

    >>> onward(b"GET", b"/a/b", {b"request-id": b"7", b"tenant": b"x"}, 0)
    b'GET /a/b HTTP/1.1\\r\\nHost: cache\\r\\nRequest-Id: 7\\r\\n'
    """
    lines = [b"%b %b HTTP/1.1" % (method, target), b"Host: cache"]
    for name, field in ((b"Request-Id", b"request-id"), (b"Idempotency-Key", b"idempotency-key")):
        if field in fields:
            lines.append(b"%b: %b" % (name, fields[field]))
    if length is None:
        lines.append(b"Transfer-Encoding: chunked")
    elif length or method == b"PUT":
        lines.append(b"Content-Length: %d" % length)
    return b"\r\n".join(lines) + b"\r\n"
