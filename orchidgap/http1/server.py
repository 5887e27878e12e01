"""Connections from clients over HTTP/1.1: read into reqs, answered once each, in their order."""

from __future__ import annotations

import socket

import httptools

from orchidgap.http1 import codec
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
        self.reader = codec.ReqReader()
        self.pending_request: PendingRequest | None = None
        self.flow: Upload | None = None  # the body of the req under way, while it comes
        self.marked = 0  # how far the req had come when its time began anew
        self.giving = self.last = self.chunked = False  # of an answer that flows
        self.source: Connection | None = None
        super().__init__(clients, sock)

    @property
    def received_at_us(self) -> int:
        return self.reader.message.came

    @property
    def request_begun(self) -> bool:
        return self.reader.begun

    def received(self, view: memoryview) -> None:
        reader = self.reader
        if not reader.begun and self in self.listener.idle:
            del self.listener.idle[self]
            self.listener.await_request(self)
        reader.feed(view)
        reader.into.came = self.conn.received_at_us
        if reader.behind:
            for message in (reader.message, *reader.behind):
                message.came = message.came or self.conn.received_at_us
            if len(reader.behind) >= AHEAD:
                self.conn.pause_reading(True)
        self.step()

    def step(self) -> None:
        """As far as the oldest req has come: take it, or more of its body."""
        message = self.reader.message
        if self.flow:
            self.flow_on()
        elif self.pending_request or self.giving:
            return  # those behind wait for its answer
        elif message.trouble:
            self.reject(message.trouble)
        elif message.whole:
            self.listener.awaiting_request.pop(self, None)
            self.take()
        elif message.headed and message.large:
            self.take()
        elif message.headed:
            if message.fields.pop(b"expect", b"") and message.version == "1.1" and not message.size:
                self.conn.send(codec.CONTINUE)
            self.progress()

    def next(self) -> None:
        """The req behind the one that was answered."""
        if self.conn.is_open and not self.conn.closing:
            self.step()

    def progress(self) -> None:
        """Patience goes by what comes, not by the whole time."""
        message = self.reader.message
        if not self.marked or message.size - self.marked >= STEP:
            self.marked = max(1, message.size)
            self.listener.await_request(self)

    def flow_on(self) -> None:
        message, flow = self.reader.message, self.flow
        assert flow
        if message.trouble:  # what is cut off here never runs
            return self.on_stalled(message.trouble)
        if parts := message.take():
            flow.add(parts, message.whole)
        elif message.whole:
            flow.add([], True)
        if message.whole:
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
            first, key = codec.split(message.target)
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
        left = codec.seconds(fields.get(b"request-timeout", b""))
        id = fields.get(b"request-id", b"")
        if not left or not id:
            return self.reject(400)
        if door.is_request_open(
            id
        ):  # one answer would go to the wrong one, and hosts refuse the other
            return self.reject(409)
        tenant = fields.get(b"tenant", b"").decode(errors="replace")
        if message.whole:
            body = b"".join(message.take())
            head = codec.onward(method, message.target, fields, len(body))
            return door.handle_request(
                self, id, rule_set, left, method == b"PUT", key, tenant, head, body
            )
        if fields.pop(b"expect", b"") and message.version == "1.1" and not message.size:
            self.conn.send(codec.CONTINUE)
        self.flow = Upload(self.conn, message.length, codec.KEPT)
        self.flow.add(message.take(), False)
        self.marked = max(1, message.size)
        self.listener.await_request(self)
        head = codec.onward(method, message.target, fields, message.length)
        door.handle_request(
            self, id, rule_set, left, method == b"PUT", key, tenant, head, b"", flow=self.flow
        )

    # --- its answer

    def leaves(self) -> bool:
        """Whether the answer to the oldest req is the last here. A req that has come behind it is taken: it
        would be lost with the connection, and has its answer first."""
        behind = self.reader.behind
        return self.listener.closes_after_response and not (
            behind and behind[0].whole and not behind[0].trouble
        )

    def answer(
        self, status: int, body: bytes = b"", pause: int = 0, length: int | None = None
    ) -> None:
        message, self.pending_request = self.reader.message, None
        last = self.leaves() or not (message.whole and message.lasts)
        head = codec.answer(
            status, len(body) if length is None else length, last, pause, message.version
        )
        self.conn.send(head, b"" if message.method == b"HEAD" else body)
        self.done(last)

    def begin(self, length: int | None, source: Connection) -> None:
        message = self.reader.message
        self.giving, self.source = True, source
        self.chunked = length is None and message.version == "1.1"
        self.last = (
            self.leaves()
            or not (message.whole and message.lasts)
            or length is None
            and not self.chunked
        )
        self.conn.on_drained = self.read_on
        self.conn.send(codec.answer(200, length, self.last, 0, message.version))

    def give(self, parts: list[bytes]) -> None:
        if parts and self.conn.is_open:
            self.conn.send(*(codec.chunk(parts) if self.chunked else parts))
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
        self.reader.begun = True
        self.conn.on_drained = self.read_on
        if out:
            self.conn.send(out)
        if self.conn.write_buffer:
            source.pause_reading(True)

    def go_on_flowing(self, asked: PendingRequest, flow: Upload) -> None:
        """It comes from elsewhere, in the middle of a req's body."""
        self.pending_request, self.flow, self.marked = asked, flow, self.reader.message.size
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
            self.conn.send(codec.LAST_CHUNK)
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
        reader.next()
        self.marked = 0
        if self.conn.read_paused and len(reader.behind) < AHEAD:
            self.conn.pause_reading(False)
        if reader.begun:
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
            self.conn.send(codec.answer(status, last=True))
            self.finish()

    def is_quiet(self) -> bool:
        return not (self.pending_request or self.giving) and super().is_quiet()

    def on_disconnect(self) -> None:
        asked, self.pending_request = self.pending_request, None
        if asked:
            asked.on_client_gone()
