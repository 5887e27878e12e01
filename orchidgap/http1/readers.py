"""Readers of requests and of responses; see `message_reader`."""

from __future__ import annotations

from collections import deque

import httptools

from orchidgap.http1.message_reader import (
    BAD_REQUEST,
    MessageReader,
)
from orchidgap.http1.messages import (
    MAX_BODY_BYTES,
    Message,
)

# Where a head may begin, this much is read at once: it may contain a request in each 18 bytes.
REQUEST_READ_BYTES = 1 << 10
MAX_PIPELINED = 8  # requests that may be queued after the current one
MAX_PIPELINED_BODY_BYTES = 1 << 14  # of their bodies together, before reading is paused


class RequestReader(MessageReader):
    r"""Reads requests, pipelined ones included, in the order in which they arrive.

    The caller stops reading while there are enough pipelined requests.

    >>> reader = RequestReader()
    >>> reader.feed(memoryview(b"PUT /a/b?c HTTP/1.1\r\nTenant: x\r\nContent-Length: 2\r\n\r\nh"))
    >>> reader.message.complete; reader.feed(memoryview(b"iGET / HTTP/1.1\r\n\r\nGE"))
    False
    >>> message = reader.message
    >>> message.complete, message.method, message.target, message.body_parts
    (True, b'PUT', b'/a/b?c', [b'h', b'i'])
    >>> reader.advance(); reader.message.target, reader.message.complete, len(reader.pipelined)
    (b'/', True, 1)
    >>> reader.advance(); reader.message.head_complete, reader.started, len(reader.pipelined)
    (False, True, 0)
    """

    parser: httptools.HttpRequestParser
    head_read_bytes = REQUEST_READ_BYTES

    def __init__(self, max_body_bytes: int = MAX_BODY_BYTES) -> None:
        """Limits bodies to `max_body_bytes`."""
        super().__init__(max_body_bytes)
        self.parser = httptools.HttpRequestParser(self)
        self.pipelined: deque[Message] = deque()  # requests sent before `message` was answered

    def on_message_begin(self) -> None:
        """Begins a pipelined request where the one before it is complete."""
        if self.incoming.complete:
            self.start_pipelined()

    def start_pipelined(self) -> None:
        """Begins a further request, to which all following bytes belong."""
        self.incoming = Message()
        self.pipelined.append(self.incoming)

    def on_headers_complete(self) -> None:
        """Sets the length of a request without framing fields to 0: it has no body."""
        incoming = self.incoming
        incoming.method = self.parser.get_method()
        super().on_headers_complete()
        if incoming.content_length is None and b"transfer-encoding" not in incoming.fields:
            incoming.content_length = 0

    def on_excess_data(self) -> None:
        """Rejects bytes that are not a request, after one that does not close the connection."""
        if self.incoming.keep_alive:
            self.start_pipelined()
            self.reject(BAD_REQUEST)

    def has_enough(self) -> bool:
        """Whether as much is queued after the oldest message as may be; the rest is not read."""
        if len(self.pipelined) >= MAX_PIPELINED:
            return True
        body_bytes = sum(message.body_size for message in self.pipelined)
        has_error = bool(self.pipelined) and self.pipelined[-1].error_status > 0
        return has_error or body_bytes >= MAX_PIPELINED_BODY_BYTES

    def discard(self) -> None:
        """Drops all messages, as the connection reads no more."""
        self.message = Message()
        self.incoming = self.message
        self.pipelined.clear()

    def advance(self) -> None:
        """Moves on to the next request, as the oldest is finished."""
        self.head_count = 0
        if self.pipelined:
            self.message = self.pipelined.popleft()
            return
        self.started = False
        self.message = Message()
        self.incoming = self.message


class ResponseReader(MessageReader):
    r"""Reads one response at a time.

    A response without a length ends with its connection, which `on_connection_closed` reports.

    >>> reader = ResponseReader()
    >>> reader.feed(memoryview(b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 404 No\r\n"))
    >>> reader.feed(memoryview(b"Content-Length: 1\r\n\r\nxHT"))
    >>> reader.message.status, reader.message.complete, reader.has_excess_data
    (404, True, True)
    >>> reader = ResponseReader(); reader.feed(memoryview(b"HTTP/1.1 200 OK\r\n\r\nto the end"))
    >>> message = reader.message
    >>> message.complete, reader.on_connection_closed(), message.complete, message.body
    (False, True, True, b'to the end')
    >>> message.keep_alive
    False
    """

    parser: httptools.HttpResponseParser

    def __init__(self, max_body_bytes: int = MAX_BODY_BYTES) -> None:
        """Limits bodies to `max_body_bytes`."""
        super().__init__(max_body_bytes)
        self.new_parser(False)

    def new_parser(self, bodiless: bool) -> None:
        """Resets the reader with a new parser.

        A bodiless response (to HEAD) has no body, even where its head has a length.
        """
        self.bodiless = bodiless
        self.parser = httptools.HttpResponseParser(self)
        self.reset()

    def feed(self, view: memoryview) -> None:
        """Parses bytes that have arrived; those after a complete response are excess data."""
        if self.incoming.complete:
            self.has_excess_data = True
        else:
            super().feed(view)

    def on_message_begin(self) -> None:
        """Treats a message after a complete response as excess data."""
        if self.incoming.complete:
            self.has_excess_data = True
            self.incoming = Message()  # parsed, but not used

    def on_headers_complete(self) -> None:
        """Marks a bodiless response as complete with its head."""
        incoming = self.incoming
        incoming.status = self.parser.get_status_code()
        super().on_headers_complete()
        if self.bodiless and not is_interim(incoming.status):
            incoming.complete = True
            incoming.keep_alive = self.parser.should_keep_alive()

    def on_body(self, part: bytes) -> None:
        """Stores a part of the body; in a bodiless response it is excess data."""
        if self.bodiless:
            self.has_excess_data = True
        else:
            super().on_body(part)

    def on_message_complete(self) -> None:
        """Completes the response; an interim one is replaced in place by the one after it."""
        incoming = self.incoming
        if not incoming.complete:
            super().on_message_complete()
        if is_interim(incoming.status) and not self.has_excess_data:
            head_bytes = incoming.head_bytes
            wire_size = incoming.wire_size
            incoming.__dict__.clear()
            incoming.__init__()  # type: ignore[misc]
            incoming.head_bytes = head_bytes
            incoming.wire_size = wire_size

    def on_connection_closed(self) -> bool:
        """Returns whether the response is complete, given that the peer closed without an error."""
        incoming = self.incoming
        ends_with_connection = (
            incoming.content_length is None and b"transfer-encoding" not in incoming.fields
        )
        if incoming.head_complete and not incoming.error_status and ends_with_connection:
            incoming.complete = True
        return incoming.complete


def is_interim(status: int) -> bool:
    """Whether a response with this status is followed by a final response.

    >>> is_interim(100), is_interim(200)
    (True, False)
    """
    return 100 <= status < 200
