"""Connections from clients: accepted, read into reqs, answered once each."""

from __future__ import annotations

import errno
import socket
from typing import Protocol

import httptools

from orchidgap.net import http
from orchidgap.net.connection import SHORT, Address, Connection
from orchidgap.net.loop import READ, Loop, Timer

PATIENCE = 10_000_000   # for a req that has begun to come whole
RESPITE = 50_000        # before accepting again where descriptors have run out
BACKLOG = 512
TURNED_AWAY = 16        # connections beyond the most that are told so at a time


class Asked(Protocol):
    """A req as the door keeps it."""

    def hangup(self) -> None:
        """Its client has gone away."""


class Door(Protocol):
    def ready(self) -> bool: ...

    def knows(self, rule_set: str) -> bool: ...

    def shed(self) -> bool:
        """Close an idle connection elsewhere; whether there was one."""

    def take(self, client: Client, rule_set: str, left: int, write: bool, key: bytes, tenant: str,
             head: bytes, body: bytes) -> None:
        """Sets `client.asked`, and has `client.answer` called once."""


class Client:
    """One connection from a client; it carries one req at a time."""

    __slots__ = ("asked", "clients", "conn", "patience", "reader")

    def __init__(self, clients: Clients, sock: socket.socket) -> None:
        self.clients, self.reader = clients, http.ReqReader()
        self.asked: Asked | None = None
        self.patience: Timer | None = None
        self.conn = Connection(clients.loop, sock, self, stamped=True)

    def opened(self) -> None:
        pass

    def received(self, view: memoryview) -> None:
        reader = self.reader
        if not reader.begun:
            self.clients.idle.pop(self, None)
        reader.feed(view)
        if self.asked:
            return  # sent before the answer: told when that is out
        if reader.headed and not reader.whole and reader.fields.pop(b"expect", b""):
            self.conn.send(http.CONTINUE)
        if reader.trouble:
            self.refuse(reader.trouble)
        elif reader.whole:
            self.rest_patience()
            self.take()
        elif not self.patience:  # most reqs come whole at once and need no timer
            self.patience = self.clients.loop.later(PATIENCE, self.refuse, 408)

    def take(self) -> None:
        reader, door, fields = self.reader, self.clients.door, self.reader.fields
        try:
            first, key = http.split(reader.target)
        except httptools.HttpParserInvalidURLError:
            return self.refuse(400)
        method = reader.parser.get_method()
        if method not in (b"GET", b"PUT"):
            return self.refuse(405)
        if (method, first, key) == (b"GET", "up", b""):
            return self.answer(200 if door.ready() else 503)
        rule_set = fields.get(b"request-class", first.encode()).decode(errors="replace")
        if not door.knows(rule_set):
            return self.refuse(404)
        left = http.seconds(fields.get(b"request-timeout", b""))
        if left is None or not fields.get(b"request-id"):
            return self.refuse(400)
        body = b"".join(reader.body)
        head = http.onward(method, reader.target, fields, body)
        tenant = fields.get(b"tenant", b"").decode(errors="replace")
        door.take(self, rule_set, left, method == b"PUT", key, tenant, head, body)

    def answer(self, status: int, body: bytes = b"", pause: int = 0) -> None:
        reader, self.asked = self.reader, None
        last = not reader.extra and (self.clients.leaving or not reader.lasts)
        self.conn.send(http.answer(status, len(body), last, pause), body)
        if reader.extra:
            self.refuse(400)  # it did not wait for its answer
        elif last:
            self.conn.finish()
        elif self.conn.open:
            reader.reset()
            self.clients.idle[self] = None

    def refuse(self, status: int) -> None:
        self.rest_patience()
        if self.conn.open:
            self.conn.send(http.answer(status, last=True))
            self.conn.finish()

    def rest_patience(self) -> None:
        if self.patience:
            self.patience.cancel()
            self.patience = None

    def ended(self, what: str) -> None:
        self.close()
        if self.asked:
            self.asked.hangup()

    def close(self) -> None:
        self.rest_patience()
        self.conn.close()
        self.clients.idle.pop(self, None)
        self.clients.open.pop(self, None)


class Clients:
    """The listener and all that it has let in, `most` at a time."""

    def __init__(self, loop: Loop, door: Door, most: int) -> None:
        self.loop, self.door, self.most = loop, door, most
        self.open: dict[Client, None] = {}
        self.idle: dict[Client, None] = {}  # the longest idle first
        self.listener: socket.socket | None = None
        self.resting: Timer | None = None
        self.leaving = False

    def listen(self, address: Address) -> None:
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
        try:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            listener.bind(address)
            listener.listen(BACKLOG)
        except OSError:
            listener.close()
            raise
        self.listener = listener
        self.loop.watch(listener, READ, self.accept)

    def accept(self, mask: int = READ) -> None:
        while self.listener:
            crowded = len(self.open) >= self.most and not self.shed()
            if len(self.open) >= self.most + TURNED_AWAY:
                return self.rest()
            try:
                sock, _ = self.listener.accept()
            except BlockingIOError:
                return
            except OSError as error:
                if error.errno == errno.ECONNABORTED:  # gone before it was let in
                    continue
                # to try again at once would spin: the connection still waits
                made_way = error.errno in SHORT and (self.shed() or self.door.shed())
                return None if made_way else self.rest()
            self.let_in(sock, crowded)

    def let_in(self, sock: socket.socket, crowded: bool = False) -> None:
        client = Client(self, sock)
        self.open[client] = None
        if crowded:  # left in the backlog, what it asks would count as taken and never be answered
            return client.refuse(503)
        self.idle[client] = None
        client.conn.ready(READ)  # what it asks has mostly come with it

    def shed(self) -> bool:
        """Close the connection that has been idle longest; whether there was one."""
        for client in self.idle:
            if not client.conn.out:  # else its answer would be cut
                client.close()
                return True
        return False

    def rest(self) -> None:
        if self.listener and not self.resting:
            self.loop.unwatch(self.listener)
            self.resting = self.loop.later(RESPITE, self.resume)

    def resume(self) -> None:
        self.resting = None
        if self.listener:
            self.loop.watch(self.listener, READ, self.accept)
            self.accept()

    def leave(self) -> None:
        """From now on each answer is the last on its connection."""
        self.leaving = True

    def shut(self) -> None:
        """Let nobody in any more, and let those go who ask nothing."""
        if self.listener:
            self.accept()
            listener, self.listener = self.listener, None
            if self.resting:
                self.resting.cancel()
            else:
                self.loop.unwatch(listener)
            listener.close()
        for client in list(self.idle):
            client.conn.ready(READ)  # a req that has come is still answered
            if client in self.idle:
                client.conn.finish() if client.conn.out else client.close()
