"""Connections from clients over HTTP/1.1: bytes become requests, each answered once, in order.

One request of a connection is handled at a time. Pipelined ones wait in the reader; a connection
with too many of them is read no further.
"""

from __future__ import annotations

import socket

from orchidgap.http1.messages import MAX_BUFFERED_BODY_BYTES, Message
from orchidgap.http1.readers import RequestReader
from orchidgap.http1.request_checks import (
    InvalidRequestError,
    RequestFields,
    check_fields,
    check_start_line,
)
from orchidgap.http1.writers import (
    CONTINUE,
    LAST_CHUNK,
    encode_chunk,
    forwarded_head,
    response_head,
)
from orchidgap.net.body_stream import Upload
from orchidgap.net.client_connection import ClientConnection
from orchidgap.net.client_listener import ClientListener
from orchidgap.net.connection import Connection
from orchidgap.net.request_handler import PendingRequest
from orchidgap.net.traffic_counts import ConnectionEnd

BODY_PROGRESS_BYTES = 1 << 14  # of a body that has to arrive within the time for one request
MAX_PIPELINED = 8  # requests that may wait behind one
SERVICE_UNAVAILABLE = 503
READINESS_TARGET = ("up", b"")  # `GET /up` asks whether this balancer serves


class Http1ClientConnection(ClientConnection):
    """One connection from a client.

    Attributes:
        reader: the messages that arrive on it.
        pending_request: the request that is handled, None between requests.
        upload: the body of that request while it arrives, where it is streamed.
        body_size_at_progress: bytes of the body that had arrived when the time for the rest began
            anew.
        streaming: a response is being streamed.
        closes_after_stream: the connection ends with that response.
        chunked: the body of that response is chunked.
        stream_source: the host's connection that the response comes from.
        turn_at_us: when the request behind the last answer came to be the oldest.
    """

    is_transferable = True
    __slots__ = (
        "body_size_at_progress",
        "chunked",
        "closes_after_stream",
        "pending_request",
        "reader",
        "stream_source",
        "streaming",
        "turn_at_us",
        "upload",
    )

    def __init__(self, clients: ClientListener, sock: socket.socket) -> None:
        """Takes an accepted socket."""
        self.reader = RequestReader()
        self.pending_request: PendingRequest | None = None
        self.upload: Upload | None = None
        self.body_size_at_progress = 0
        self.streaming = False
        self.closes_after_stream = False
        self.chunked = False
        self.stream_source: Connection | None = None
        self.turn_at_us = 0
        super().__init__(clients, sock)

    @property
    def received_at_us(self) -> int:
        """When the last byte of the oldest request arrived, by the loop's clock; 0 until it is
        known.
        """
        return self.reader.message.received_at_us

    @property
    def request_begun(self) -> bool:
        """Whether part of a request has arrived."""
        return self.reader.started

    @property
    def requests_begun(self) -> int:
        """How many requests were read, in part at least."""
        return self.requests_read + len(self.reader.pipelined)

    # --- requests

    def received(self, view: memoryview) -> None:
        """Takes bytes from the client."""
        reader = self.reader
        if not reader.started and self in self.listener.idle:
            del self.listener.idle[self]
            self.listener.await_request(self)
        if not reader.started:
            self.requests_read += 1
        reader.feed(view)
        reader.incoming.received_at_us = self.conn.received_at_us
        if reader.pipelined:
            for message in (reader.message, *reader.pipelined):
                message.received_at_us = message.received_at_us or self.conn.received_at_us
            if len(reader.pipelined) >= MAX_PIPELINED:
                self.conn.pause_reading(True)
        self.process_message()

    def process_message(self) -> None:
        """Goes as far as the oldest request has arrived: handles it, or more of its body."""
        message = self.reader.message
        if self.upload:
            self.feed_upload()
        elif self.pending_request or self.streaming:
            return  # pipelined requests wait for the answer
        elif message.error_status:
            self.reject(message.error_status)
        elif message.complete:
            self.listener.awaiting_request.pop(self, None)
            self.accept_request()
        elif message.head_complete and message.exceeds_buffer:
            self.accept_request()
        elif message.head_complete:
            self.send_continue(message)
            self.on_body_progress()

    def process_next(self) -> None:
        """Goes on with the request behind the one that was answered."""
        if self.conn.is_open and not self.conn.closing:
            self.process_message()

    def send_continue(self, message: Message) -> None:
        """Sends an interim response to a client that waits for it before it sends a body."""
        expects = message.fields.pop(b"expect", b"")
        if expects and message.version == "1.1" and not message.body_size:
            self.conn.send(CONTINUE)

    def on_body_progress(self) -> None:
        """Starts the time for the rest of a request anew as its body arrives.

        A large body may take longer than one request's time as long as it goes on.
        """
        size = self.reader.message.body_size
        if (
            not self.body_size_at_progress
            or size - self.body_size_at_progress >= BODY_PROGRESS_BYTES
        ):
            self.body_size_at_progress = max(1, size)
            self.listener.await_request(self)

    def feed_upload(self) -> None:
        """Passes on what has arrived of a streamed body."""
        message = self.reader.message
        upload = self.upload
        assert upload
        if message.error_status:  # a body that is cut off here never executes at its host
            self.on_stalled(message.error_status)
            return
        if parts := message.take_body():
            upload.add(parts, message.complete)
        elif message.complete:
            upload.add([], True)
        if message.complete:
            self.listener.awaiting_request.pop(self, None)
            self.upload = None
            if self.pending_request:
                self.pending_request.on_body_complete()
        elif self.conn.read_paused:  # the client waits for the host, not the reverse
            self.listener.awaiting_request.pop(self, None)
        else:
            self.on_body_progress()

    def on_stalled(self, status: int = 408) -> None:
        """A request that began does not go on."""
        pending = self.pending_request
        self.pending_request = None
        if pending:
            pending.on_client_disconnect()
        self.reject(status)

    def accept_request(self) -> None:
        """Hands the oldest request to the handler, or answers it here where it is not valid."""
        if self.has_disconnected():  # while it waited for those before it
            return
        message = self.reader.message
        try:
            path_class, key = check_start_line(message)
            if (path_class, key) == READINESS_TARGET and message.method != b"PUT":
                self.listener.counts.readiness_checks += 1
                self.answer(200 if self.listener.handler.is_ready() else 503)
                return
            fields = check_fields(message, path_class, key, self.listener.handler)
        except InvalidRequestError as error:
            self.reject(error.status)
            return
        if message.complete:
            body = b"".join(message.take_body())
            self.hand_over(message, fields, len(body), body, None)
            return
        self.send_continue(message)
        self.upload = Upload(self.conn, message.content_length, MAX_BUFFERED_BODY_BYTES)
        self.upload.add(message.take_body(), False)
        self.body_size_at_progress = max(1, message.body_size)
        self.listener.await_request(self)
        self.hand_over(message, fields, message.content_length, b"", self.upload)

    def hand_over(
        self,
        message: Message,
        fields: RequestFields,
        content_length: int | None,
        body: bytes,
        upload: Upload | None,
    ) -> None:
        """Has the handler answer a valid request."""
        head = forwarded_head(message.method, message.target, message.fields, content_length)
        self.listener.handler.handle_request(
            self,
            fields.request_id,
            fields.request_class,
            fields.timeout_us,
            message.method == b"PUT",
            fields.key,
            fields.tenant,
            head,
            body,
            upload=upload,
            is_client_retry=fields.is_client_retry,
        )

    # --- responses

    def closes_after_answer(self) -> bool:
        """Whether the connection ends with the answer to the oldest request.

        A request that has arrived whole behind it is answered first: it would be lost with the
        connection.
        """
        if not self.listener.closes_after_response:
            return False
        pipelined = self.reader.pipelined
        if not pipelined:
            return True
        return not pipelined[0].complete or bool(pipelined[0].error_status)

    def answer(
        self, status: int, body: bytes = b"", retry_after_us: int = 0, length: int | None = None
    ) -> None:
        """Sends the whole answer to the oldest request.

        Args:
            status: the status code.
            body: its body; not sent to HEAD.
            pause: value of Retry-After in microseconds, 0 for none.
            length: Content-Length where it is not that of the body.
        """
        message = self.reader.message
        self.pending_request = None
        close = self.closes_after_answer() or not (message.complete and message.keep_alive)
        content_length = len(body) if length is None else length
        head = response_head(status, content_length, close, retry_after_us, message.version)
        self.conn.send(head, b"" if message.method == b"HEAD" else body)
        self.on_answered(close)

    def begin(self, length: int | None, source: Connection) -> None:
        """Starts a streamed response of this length, where that is known."""
        message = self.reader.message
        self.streaming = True
        self.stream_source = source
        self.chunked = length is None and message.version == "1.1"
        ends_with_connection = length is None and not self.chunked
        request_allows_more = message.complete and message.keep_alive
        self.closes_after_stream = (
            self.closes_after_answer() or not request_allows_more or ends_with_connection
        )
        self.conn.on_drained = self.resume_source
        self.conn.send(response_head(200, length, self.closes_after_stream, 0, message.version))

    def give(self, parts: list[bytes]) -> None:
        """Sends more of a streamed body; its source is paused while the client does not read."""
        if parts and self.conn.is_open:
            self.conn.send(*(encode_chunk(parts) if self.chunked else parts))
            if self.stream_source and self.conn.write_buffer:
                self.stream_source.pause_reading(True)

    def resume_source(self) -> None:
        """The client has read what was sent."""
        if self.stream_source and self.stream_source.is_open:
            self.stream_source.pause_reading(False)

    def end(self, whole: bool) -> None:
        """Ends a streamed response; the connection is reset where it is not whole, so that this
        shows.
        """
        self.streaming = False
        self.stream_source = None
        self.pending_request = None
        self.conn.on_drained = None
        if not whole:
            self.conn.reset()
            self.close(ConnectionEnd.TRUNCATED)
            return
        if self.chunked:
            self.conn.send(LAST_CHUNK)
        # a drain may have begun since the head was sent
        self.on_answered(self.closes_after_stream or self.closes_after_answer())

    def on_answered(self, close: bool) -> None:
        """Goes on after the answer to the oldest request."""
        reader = self.reader
        self.upload = None
        self.requests_answered += 1
        if not self.conn.is_open:
            return
        if close:
            self.listener.awaiting_request.pop(self, None)
            self.conn.pause_reading(False)
            self.finish()
            return
        reader.advance()
        self.body_size_at_progress = 0
        if self.conn.read_paused and len(reader.pipelined) < MAX_PIPELINED:
            self.conn.pause_reading(False)
        if reader.started:
            self.requests_read += 1
            self.turn_at_us = self.listener.loop.now
            self.listener.await_request(self)
            self.listener.loop.call_soon(self.process_next)
        else:
            self.listener.idle[self] = None
            self.listener.trim_idle()

    def reject(self, status: int) -> None:
        """Answers what is not a valid request, and ends the connection."""
        self.listener.awaiting_request.pop(self, None)
        self.upload = None
        if self.conn.is_open and not self.conn.closing:
            self.listener.counts.rejections[status] += 1
            self.requests_answered += self.reader.started
            self.conn.pause_reading(False)
            retry_after_us = 0
            if status == SERVICE_UNAVAILABLE:
                retry_after_us = self.listener.handler.rejection_retry_after_us()
            self.conn.send(response_head(status, close=True, retry_after_us=retry_after_us))
            self.finish()

    def is_idle(self) -> bool:
        """Whether nothing is owed to this client, and nothing of it waits to be read."""
        return not (self.pending_request or self.streaming) and super().is_idle()

    def on_disconnect(self) -> None:
        """The client has gone: its request is of no use any more."""
        pending = self.pending_request
        self.pending_request = None
        if pending:
            pending.on_client_disconnect()

    # --- migration between two processes of one balancer

    def detach(self) -> None:
        """The connection goes on in another process: nothing more is done with it here."""
        self.pending_request = None
        self.upload = None
        self.stream_source = None
        self.streaming = False
        self.close(ConnectionEnd.MIGRATED)

    def attach_response(
        self, pending: PendingRequest, source: Connection, chunked: bool, close: bool, unsent: bytes
    ) -> None:
        """Goes on with a streamed response from another process.

        Args:
            pending: the request.
            source: the host's connection.
            chunked: the body is chunked.
            close: the connection ends with the response.
            unsent: bytes that were still to be written there.
        """
        self.pending_request = pending
        self.streaming = True
        self.stream_source = source
        self.chunked = chunked
        self.closes_after_stream = close
        self.reader.started = True
        self.conn.on_drained = self.resume_source
        if unsent:
            self.conn.send(unsent)
        if self.conn.write_buffer:
            source.pause_reading(True)

    def attach_upload(self, pending: PendingRequest, upload: Upload) -> None:
        """Goes on with a streamed request body from another process."""
        self.pending_request = pending
        self.upload = upload
        self.body_size_at_progress = self.reader.message.body_size
        self.listener.await_request(self)
