"""Connections from clients over HTTP/1.1: read into reqs, answered once each, in their order."""

from __future__ import annotations

import socket

import httptools

from orchidgap.http1.messages import MAX_BUFFERED_BODY_BYTES
from orchidgap.http1.readers import RequestReader
from orchidgap.http1.writers import (
    CONTINUE,
    LAST_CHUNK,
    encode_chunk,
    forwarded_head,
    parse_seconds,
    response_head,
    split_target,
)
from orchidgap.net.body_stream import Upload
from orchidgap.net.client_listener import ClientConnection, ClientListener
from orchidgap.net.connection import Connection
from orchidgap.net.request_handler import PendingRequest

STEP = 1 << 14  # bytes of a body that count as going on
AHEAD = 8  # reqs that may wait behind one before nothing more is read


class Client(ClientConnection):
    """One connection from a client; one of its reqs is under way at a time."""

    is_transferable = True
    __slots__ = (
        "chunked",
        "flow",
        "giving",
        "last",
        "marked",
        "pending_request",
        "reader",
        "source",
    )

    def __init__(self, clients: ClientListener, sock: socket.socket) -> None:
        self.reader = RequestReader()
        self.pending_request: PendingRequest | None = None
        self.flow: Upload | None = None  # the body of the req under way, while it comes
        self.marked = 0  # how far the req had come when its time began anew
        self.giving = self.last = self.chunked = False  # of an answer that flows
        self.source: Connection | None = None
        super().__init__(clients, sock)

    @property
    def received_at_us(self) -> int:
        return self.reader.message.received_at_us

    @property
    def request_begun(self) -> bool:
        return self.reader.started

    def received(self, view: memoryview) -> None:
        reader = self.reader
        if not reader.started and self in self.listener.idle:
            del self.listener.idle[self]
            self.listener.await_request(self)
        reader.feed(view)
        reader.incoming.received_at_us = self.conn.received_at_us
        if reader.pipelined:
            for message in (reader.message, *reader.pipelined):
                message.received_at_us = message.received_at_us or self.conn.received_at_us
            if len(reader.pipelined) >= AHEAD:
                self.conn.pause_reading(True)
        self.step()

    def step(self) -> None:
        """As far as the oldest req has come: take it, or more of its body."""
        message = self.reader.message
        if self.flow:
            self.flow_on()
        elif self.pending_request or self.giving:
            return  # those behind wait for its answer
        elif message.error_status:
            self.reject(message.error_status)
        elif message.complete:
            self.listener.awaiting_request.pop(self, None)
            self.take()
        elif message.head_complete and message.exceeds_buffer:
            self.take()
        elif message.head_complete:
            if (
                message.fields.pop(b"expect", b"")
                and message.version == "1.1"
                and not message.body_size
            ):
                self.conn.send(CONTINUE)
            self.progress()

    def next(self) -> None:
        """The req behind the one that was answered."""
        if self.conn.is_open and not self.conn.closing:
            self.step()

    def progress(self) -> None:
        """Patience goes by what comes, not by the whole time."""
        message = self.reader.message
        if not self.marked or message.body_size - self.marked >= STEP:
            self.marked = max(1, message.body_size)
            self.listener.await_request(self)

    def flow_on(self) -> None:
        message, flow = self.reader.message, self.flow
        assert flow
        if message.error_status:  # what is cut off here never runs
            return self.on_stalled(message.error_status)
        if parts := message.take_body():
            flow.add(parts, message.complete)
        elif message.complete:
            flow.add([], True)
        if message.complete:
            self.listener.awaiting_request.pop(self, None)
            self.flow = None
            if self.pending_request:
                self.pending_request.on_body_complete()
        elif self.conn.read_paused:  # it is held up here
            self.listener.awaiting_request.pop(self, None)
        else:
            self.progress()

    def on_stalled(self, status: int = 408) -> None:
        asked, self.pending_request = self.pending_request, None
        if asked:
            asked.on_client_gone()
        self.reject(status)

    def go_on(self) -> None:
        """What had been read has gone on to its host."""
        if self.flow:
            self.flow.update_backpressure()
            if not self.conn.read_paused and self not in self.listener.awaiting_request:
                self.listener.await_request(self)

    def take(self) -> None:
        if self.has_disconnected():  # while it waited to be let in, or for those before it
            return
        message, door, fields = (
            self.reader.message,
            self.listener.handler,
            self.reader.message.fields,
        )
        try:
            first, key = split_target(message.target)
        except httptools.HttpParserInvalidURLError:
            return self.reject(400)
        method = message.method
        if message.version not in ("1.0", "1.1"):
            return self.reject(505)
        if method not in (b"GET", b"PUT", b"HEAD"):
            return self.reject(405)
        if (first, key) == ("up", b"") and method != b"PUT":
            return self.answer(200 if door.is_ready() else 503)
        rule_set = fields.get(b"request-class", first.encode()).decode(errors="replace")
        if not door.knows_request_class(rule_set):
            return self.reject(404)
        left = parse_seconds(fields.get(b"request-timeout", b""))
        id = fields.get(b"request-id", b"")
        if not left or not id:
            return self.reject(400)
        if door.is_request_open(
            id
        ):  # one answer would go to the wrong one, and hosts refuse the other
            return self.reject(409)
        tenant = fields.get(b"tenant", b"").decode(errors="replace")
        if message.complete:
            body = b"".join(message.take_body())
            head = forwarded_head(method, message.target, fields, len(body))
            return door.handle_request(
                self, id, rule_set, left, method == b"PUT", key, tenant, head, body
            )
        if fields.pop(b"expect", b"") and message.version == "1.1" and not message.body_size:
            self.conn.send(CONTINUE)
        self.flow = Upload(self.conn, message.content_length, MAX_BUFFERED_BODY_BYTES)
        self.flow.add(message.take_body(), False)
        self.marked = max(1, message.body_size)
        self.listener.await_request(self)
        head = forwarded_head(method, message.target, fields, message.content_length)
        door.handle_request(
            self, id, rule_set, left, method == b"PUT", key, tenant, head, b"", upload=self.flow
        )

    # --- its answer

    def leaves(self) -> bool:
        """Whether the answer to the oldest req is the last here. A req that has come behind it is taken: it
        would be lost with the connection, and has its answer first."""
        behind = self.reader.pipelined
        return self.listener.closes_after_response and not (
            behind and behind[0].complete and not behind[0].error_status
        )

    def answer(
        self, status: int, body: bytes = b"", retry_after_us: int = 0, length: int | None = None
    ) -> None:
        message, self.pending_request = self.reader.message, None
        last = self.leaves() or not (message.complete and message.keep_alive)
        head = response_head(
            status, len(body) if length is None else length, last, retry_after_us, message.version
        )
        self.conn.send(head, b"" if message.method == b"HEAD" else body)
        self.done(last)

    def begin(self, length: int | None, source: Connection) -> None:
        message = self.reader.message
        self.giving, self.source = True, source
        self.chunked = length is None and message.version == "1.1"
        self.last = (
            self.leaves()
            or not (message.complete and message.keep_alive)
            or length is None
            and not self.chunked
        )
        self.conn.on_drained = self.read_on
        self.conn.send(response_head(200, length, self.last, 0, message.version))

    def give(self, parts: list[bytes]) -> None:
        if parts and self.conn.is_open:
            self.conn.send(*(encode_chunk(parts) if self.chunked else parts))
            if self.source and self.conn.write_buffer:
                self.source.pause_reading(True)

    # --- between two processes of this balancer

    def let_go(self) -> None:
        """It goes on elsewhere: nothing more is done with it here."""
        self.pending_request = self.flow = self.source = None
        self.giving = False
        self.close()

    def go_on_giving(
        self, asked: PendingRequest, source: Connection, chunked: bool, last: bool, out: bytes
    ) -> None:
        """It comes from elsewhere, in the middle of an answer of which this was still to be written."""
        self.pending_request, self.giving, self.source, self.chunked, self.last = (
            asked,
            True,
            source,
            chunked,
            last,
        )
        self.reader.started = True
        self.conn.on_drained = self.read_on
        if out:
            self.conn.send(out)
        if self.conn.write_buffer:
            source.pause_reading(True)

    def go_on_flowing(self, asked: PendingRequest, flow: Upload) -> None:
        """It comes from elsewhere, in the middle of a req's body."""
        self.pending_request, self.flow, self.marked = asked, flow, self.reader.message.body_size
        self.listener.await_request(self)

    def read_on(self) -> None:
        if self.source and self.source.is_open:
            self.source.pause_reading(False)

    def end(self, whole: bool) -> None:
        self.giving, self.source, self.pending_request, self.conn.on_drained = (
            False,
            None,
            None,
            None,
        )
        if not whole:
            self.conn.reset()
            return self.close()
        if self.chunked:
            self.conn.send(LAST_CHUNK)
        self.done(self.last or self.leaves())  # a drain may have begun since its head went out

    def done(self, last: bool) -> None:
        """The oldest req has its answer."""
        reader = self.reader
        self.flow = None
        if not self.conn.is_open:
            return
        if last:
            self.listener.awaiting_request.pop(self, None)
            self.conn.pause_reading(False)
            return self.finish()
        reader.advance()
        self.marked = 0
        if self.conn.read_paused and len(reader.pipelined) < AHEAD:
            self.conn.pause_reading(False)
        if reader.started:
            self.listener.await_request(self)
            self.listener.loop.call_soon(self.next)
        else:
            self.listener.idle[self] = None
            self.listener.trim_idle()

    def reject(self, status: int) -> None:
        self.listener.awaiting_request.pop(self, None)
        self.flow = None
        if self.conn.is_open and not self.conn.closing:
            self.conn.pause_reading(False)
            self.conn.send(response_head(status, close=True))
            self.finish()

    def is_quiet(self) -> bool:
        return not (self.pending_request or self.giving) and super().is_quiet()

    def on_disconnect(self) -> None:
        asked, self.pending_request = self.pending_request, None
        if asked:
            asked.on_client_gone()
