"""Connections from clients over HTTP/1.1: reads requests, and answers each once and in order.

One request of a connection is handled at a time. Pipelined requests are queued in the reader;
reading from a connection is paused while it has too many of them.
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

MIN_BODY_PROGRESS_BYTES = 1 << 14  # body bytes that have to arrive within `REQUEST_TIMEOUT_US`
SERVICE_UNAVAILABLE = 503
READINESS_TARGET = ("up", b"")  # `GET /up` is the readiness check


class Http1ClientConnection(ClientConnection):
    """One connection from a client.

    Attributes:
        reader: reads the requests.
        pending_request: the request that is being handled, None between requests.
        upload: the body of that request while it arrives, where it is streamed.
        body_size_at_progress: bytes of the body that had arrived when the timeout for the rest was
            last restarted.
        streaming: a response is being streamed.
        closes_after_stream: the connection is closed after that response.
        chunked: the body of that response is chunked.
        memory_pressure: whether memory is short.
        stream_source: the host's connection that the response is read from.
        unblocked_at_us: when a request was last unblocked by the answer to the one before it; 0 if
            none was.
    """

    is_transferable = True
    __slots__ = (
        "body_size_at_progress",
        "chunked",
        "closes_after_stream",
        "memory_pressure",
        "pending_request",
        "reader",
        "stream_source",
        "streaming",
        "unblocked_at_us",
        "upload",
    )

    def __init__(self, clients: ClientListener, sock: socket.socket) -> None:
        """Uses an accepted socket."""
        self.reader = RequestReader()
        self.pending_request: PendingRequest | None = None
        self.upload: Upload | None = None
        self.body_size_at_progress = 0
        self.streaming = False
        self.closes_after_stream = False
        self.chunked = False
        self.stream_source: Connection | None = None
        self.unblocked_at_us = 0
        self.memory_pressure = clients.handler.memory_pressure
        super().__init__(clients, sock)
        self.conn.max_read_bytes = self.reader.read_size()

    @property
    def received_at_us(self) -> int:
        """When the last byte of the oldest request arrived, by the loop's clock; 0 if unknown."""
        return self.reader.message.received_at_us

    @property
    def request_begun(self) -> bool:
        """Whether part of a request has arrived."""
        return self.reader.started

    @property
    def begun_request_count(self) -> int:
        """How many requests were read at least in part."""
        return self.requests_read + len(self.reader.pipelined)

    def may_have_disconnected(self) -> bool:
        """Whether the client may have closed behind bytes that are not read.

        Not while its body is being read: a host executes no request without its last byte.
        """
        return self.upload is None and self.conn.may_hide_close()

    # --- requests

    def on_data(self, view: memoryview) -> None:
        """Handles bytes from the client."""
        reader = self.reader
        if not reader.started and self in self.listener.idle:
            del self.listener.idle[self]
            self.listener.await_request(self)
        if not reader.started:
            self.requests_read += 1
        reader.feed(view)
        self.conn.max_read_bytes = reader.read_size()
        self.conn.at_message_end = reader.incoming.complete
        reader.incoming.received_at_us = self.conn.received_at_us
        if reader.pipelined:
            for message in (reader.message, *reader.pipelined):
                message.received_at_us = message.received_at_us or self.conn.received_at_us
            if reader.has_enough():
                self.conn.pause_reading(True)
        self.process_message()

    def process_message(self) -> None:
        """Processes as much of the oldest request as has arrived."""
        message = self.reader.message
        if self.upload:
            self.feed_upload()
        elif self.pending_request or self.streaming:
            return  # pipelined requests are processed after the answer
        elif message.error_status:
            self.reject(message.error_status)
        elif message.complete:
            self.listener.awaiting_request.pop(self, None)
            self.accept_request()
        elif message.head_complete and message.exceeds_buffer(self.memory_pressure):
            self.accept_request()
        elif message.head_complete:
            self.send_continue(message)
            self.on_body_progress()

    def process_when_drained(self) -> None:
        """Goes on with the queued requests, as the client has read the answers before them."""
        self.conn.on_drained = None
        self.unblock_next()

    def unblock_next(self) -> None:
        """Has the request after the one that was answered processed after the current callback."""
        self.unblocked_at_us = self.listener.loop.now
        self.listener.await_request(self)
        self.listener.loop.call_soon(self.process_next)

    def deny_waiting(self) -> None:
        """Answers the requests that wait until their client has read earlier answers."""
        waits_for_client = self.conn.on_drained == self.process_when_drained
        while waits_for_client and self.conn.is_open and self.reader.message.complete:
            self.answer(SERVICE_UNAVAILABLE)

    def process_next(self) -> None:
        """Processes the request after the one that was answered."""
        if self.conn.is_open and not self.conn.closing:
            self.process_message()

    def send_continue(self, message: Message) -> None:
        """Sends an interim response to a client that expects one before it sends the body."""
        expects = message.fields.pop(b"expect", b"")
        if expects and message.version == "1.1" and not message.body_size:
            self.conn.send(CONTINUE)

    def on_body_progress(self) -> None:
        """Restarts the timeout for the rest of a request as its body arrives.

        A large body may take longer than the time for one request, as long as it makes progress.
        """
        size = self.reader.message.body_size
        if (
            not self.body_size_at_progress
            or size - self.body_size_at_progress >= MIN_BODY_PROGRESS_BYTES
        ):
            self.body_size_at_progress = max(1, size)
            self.listener.await_request(self)

    def feed_upload(self) -> None:
        """Forwards the part of a streamed body that has arrived."""
        message = self.reader.message
        upload = self.upload
        assert upload
        if message.error_status:  # a host never executes a request with a truncated body
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
        elif self.conn.read_paused:  # the host is slow, not the client
            self.listener.awaiting_request.pop(self, None)
        else:
            self.on_body_progress()

    def on_stalled(self, status: int = 408) -> None:
        """Rejects a request whose remaining bytes do not arrive in time, or are invalid."""
        pending = self.pending_request
        self.pending_request = None
        if pending:
            pending.on_client_disconnect()
        self.reject(status)

    def accept_request(self) -> None:
        """Passes the oldest request to the handler, or rejects it where it is invalid."""
        if self.has_disconnected():  # possible while the requests before it were handled
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
            self.pass_to_handler(message, fields, len(body), body, None)
            return
        self.send_continue(message)
        kept_bytes = self.memory_pressure.buffer_bytes(MAX_BUFFERED_BODY_BYTES)
        self.upload = Upload(self.conn, message.content_length, kept_bytes)
        self.upload.add(message.take_body(), False)
        self.body_size_at_progress = max(1, message.body_size)
        self.listener.await_request(self)
        self.pass_to_handler(message, fields, message.content_length, b"", self.upload)

    def pass_to_handler(
        self,
        message: Message,
        fields: RequestFields,
        content_length: int | None,
        body: bytes,
        upload: Upload | None,
    ) -> None:
        """Passes a valid request to the handler."""
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
            idempotency=fields.idempotency,
        )

    # --- responses

    def closes_after_answer(self) -> bool:
        """Whether the connection is closed after the answer to the oldest request.

        It stays open while the next request has arrived completely, as that would be lost with it.
        """
        if not self.listener.closes_after_answer:
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
            body: its body, which is not sent in response to HEAD.
            retry_after_us: value of Retry-After in microseconds, 0 for none.
            length: Content-Length where it is not the length of `body`.
        """
        message = self.reader.message
        self.pending_request = None
        close = self.closes_after_answer() or not (message.complete and message.keep_alive)
        content_length = len(body) if length is None else length
        head = response_head(status, content_length, close, retry_after_us, message.version)
        self.conn.send(head, b"" if message.method == b"HEAD" else body)
        self.on_answered(close)

    def begin_response(self, length: int | None, source: Connection) -> None:
        """Starts a streamed response; its length is None where it is unknown."""
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

    def send_body(self, parts: list[bytes]) -> None:
        """Sends parts of a streamed body; pauses the source while the client does not read."""
        if parts and self.conn.is_open:
            self.conn.send(*(encode_chunk(parts) if self.chunked else parts))
            if self.stream_source and self.conn.write_buffer:
                self.stream_source.pause_reading(True)

    def resume_source(self) -> None:
        """Resumes reading from the host, as all data for the client has been written."""
        if self.stream_source and self.stream_source.is_open:
            self.stream_source.pause_reading(False)

    def end_response(self, whole: bool) -> None:
        """Ends a streamed response.

        Resets the connection where the response is incomplete, so that the client can detect this.
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
        # A drain may have begun since the head was sent.
        self.on_answered(self.closes_after_stream or self.closes_after_answer())

    def on_answered(self, close: bool) -> None:
        """Closes the connection, or moves on to the next request, after an answer."""
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
        if self.conn.read_paused and not reader.has_enough():
            self.conn.pause_reading(False)
        if reader.started:
            self.requests_read += 1
            if self.conn.write_buffer:  # its answers would pile up here
                self.conn.on_drained = self.process_when_drained
            else:
                self.unblock_next()
        else:
            self.listener.idle[self] = None
            self.listener.trim_idle()

    def reject(self, status: int) -> None:
        """Answers an invalid request, and closes the connection."""
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

    def finish(self, read_up_to_us: int = 0) -> None:
        """Lets the client read its last answer; drops what it has sent, as nothing more is read."""
        super().finish(read_up_to_us)
        self.discard_requests()

    def close(self, end: ConnectionEnd, read_up_to_us: int = 0) -> None:
        """Closes the connection, and drops what the client has sent."""
        super().close(end, read_up_to_us)
        self.discard_requests()

    def discard_requests(self) -> None:
        """Drops the requests that have arrived; they still count as read."""
        self.requests_read += len(self.reader.pipelined)
        self.reader.discard()

    def is_idle(self) -> bool:
        """Whether no request is in progress, and no bytes of the client are unread."""
        return not (self.pending_request or self.streaming) and super().is_idle()

    def on_disconnect(self) -> None:
        """Cancels the request in progress, as the client has disconnected."""
        pending = self.pending_request
        self.pending_request = None
        if pending:
            pending.on_client_disconnect()

    # --- migration between two processes of one balancer

    def detach(self) -> None:
        """Closes the connection here, as another process continues it."""
        self.pending_request = None
        self.upload = None
        self.stream_source = None
        self.streaming = False
        self.close(ConnectionEnd.MIGRATED)

    def attach_response(
        self, pending: PendingRequest, source: Connection, chunked: bool, close: bool, unsent: bytes
    ) -> None:
        """Continues a streamed response from another process.

        Args:
            pending: the request.
            source: the host's connection.
            chunked: the body is chunked.
            close: the connection is closed after the response.
            unsent: bytes that the other process has not written yet.
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
        """Continues a streamed request body from another process."""
        self.pending_request = pending
        self.upload = upload
        self.body_size_at_progress = self.reader.message.body_size
        self.listener.await_request(self)
