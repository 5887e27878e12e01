"""Connections from clients over HTTP/1.1: read into reqs, answered once each."""

from __future__ import annotations

import socket

import httptools

from orchidgap.http1 import codec
from orchidgap.net.doorway import Asked, Caller, Clients


class Client(Caller):
    """One connection from a client; it carries one req at a time."""

    __slots__ = ("asked", "reader")

    def __init__(self, clients: Clients, sock: socket.socket) -> None:
        self.reader = codec.ReqReader()
        self.asked: Asked | None = None
        super().__init__(clients, sock)

    @property
    def came(self) -> int:
        return self.conn.came

    @property
    def begun(self) -> bool:
        return self.reader.begun

    def received(self, view: memoryview) -> None:
        reader = self.reader
        if not reader.begun and self in self.clients.idle:
            del self.clients.idle[self]
            self.clients.await_req(self)
        reader.feed(view)
        if self.asked:
            return  # sent before the answer: told when that is out
        if reader.headed and not reader.whole and reader.fields.pop(b"expect", b""):
            self.conn.send(codec.CONTINUE)
        if reader.trouble:
            self.refuse(reader.trouble)
        elif reader.whole:
            self.clients.unasked.pop(self, None)
            self.take()

    def take(self) -> None:
        reader, door, fields = self.reader, self.clients.door, self.reader.fields
        try:
            first, key = codec.split(reader.target)
        except httptools.HttpParserInvalidURLError:
            return self.refuse(400)
        method = reader.parser.get_method()
        if reader.parser.get_http_version() not in ("1.0", "1.1"):
            return self.refuse(505)
        if method not in (b"GET", b"PUT"):
            return self.refuse(405)
        if (method, first, key) == (b"GET", "up", b""):
            return self.answer(200 if door.ready() else 503)
        rule_set = fields.get(b"request-class", first.encode()).decode(errors="replace")
        if not door.knows(rule_set):
            return self.refuse(404)
        left = codec.seconds(fields.get(b"request-timeout", b""))
        id = fields.get(b"request-id", b"")
        if not left or not id:
            return self.refuse(400)
        if door.holds(id):  # one answer would go to the wrong one, and hosts refuse the other
            return self.refuse(409)
        body = b"".join(reader.body)
        head = codec.onward(method, reader.target, fields, body)
        tenant = fields.get(b"tenant", b"").decode(errors="replace")
        door.take(self, id, rule_set, left, method == b"PUT", key, tenant, head, body)

    def answer(self, status: int, body: bytes = b"", pause: int = 0) -> None:
        reader, self.asked = self.reader, None
        last = not reader.extra and (self.clients.last or not reader.lasts)
        self.conn.send(codec.answer(status, len(body), last, pause), body)
        if reader.extra:
            self.refuse(400)  # it did not wait for its answer
        elif last:
            self.part()
        elif self.conn.open:
            reader.reset()
            self.clients.idle[self] = None
            self.clients.trim()

    def refuse(self, status: int) -> None:
        self.clients.unasked.pop(self, None)
        if self.conn.open and not self.conn.closing:
            self.conn.send(codec.answer(status, last=True))
            self.part()

    def hangup(self) -> None:
        if self.asked:
            self.asked.hangup()
