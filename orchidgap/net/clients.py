"""Connections from clients: accepted, read into reqs, answered once each."""

from __future__ import annotations

import errno
import socket
from typing import Protocol

import httptools

from orchidgap.net import http
from orchidgap.net.connection import SHORT, Address, Connection
from orchidgap.net.loop import READ, Loop, Timer

PATIENCE = 2_500_000    # for a req to come whole, since its connection or its first byte came
SETTLED = 500_000       # after which who has asked nothing yet is the first to make way
SWEEP = 250_000
RESPITE = 50_000        # before accepting again where descriptors have run out
BACKLOG = 512
AT_A_TIME = 64          # connections let in before others get their turn
TURNED_AWAY = 16        # connections beyond the most that may still read their last answer


class Asked(Protocol):
    """A req as the door keeps it."""

    def hangup(self) -> None:
        """Its client has gone away."""


class Door(Protocol):
    def ready(self) -> bool: ...

    def knows(self, rule_set: str) -> bool: ...

    def holds(self, id: bytes) -> bool:
        """Whether a req of this id is open."""

    def shed(self) -> bool:
        """Close an idle connection elsewhere; whether there was one."""

    def take(self, client: Client, id: bytes, rule_set: str, left: int, write: bool, key: bytes, tenant: str,
             head: bytes, body: bytes) -> None:
        """Sets `client.asked`, and has `client.answer` called once."""


class Client:
    """One connection from a client; it carries one req at a time."""

    __slots__ = ("asked", "clients", "conn", "reader", "since")

    def __init__(self, clients: Clients, sock: socket.socket) -> None:
        self.clients, self.reader = clients, http.ReqReader()
        self.asked: Asked | None = None
        self.since = clients.loop.now  # it came, or began with a req, or was refused
        self.conn = Connection(clients.loop, sock, self, stamped=True)

    def opened(self) -> None:
        pass

    def received(self, view: memoryview) -> None:
        reader = self.reader
        if not reader.begun and self in self.clients.idle:
            del self.clients.idle[self]
            self.clients.await_req(self)
        reader.feed(view)
        if self.asked:
            return  # sent before the answer: told when that is out
        if reader.headed and not reader.whole and reader.fields.pop(b"expect", b""):
            self.conn.send(http.CONTINUE)
        if reader.trouble:
            self.refuse(reader.trouble)
        elif reader.whole:
            self.clients.unasked.pop(self, None)
            self.take()

    def take(self) -> None:
        reader, door, fields = self.reader, self.clients.door, self.reader.fields
        try:
            first, key = http.split(reader.target)
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
        left = http.seconds(fields.get(b"request-timeout", b""))
        id = fields.get(b"request-id", b"")
        if not left or not id:
            return self.refuse(400)
        if door.holds(id):  # one answer would go to the wrong one, and hosts refuse the other
            return self.refuse(409)
        body = b"".join(reader.body)
        head = http.onward(method, reader.target, fields, body)
        tenant = fields.get(b"tenant", b"").decode(errors="replace")
        door.take(self, id, rule_set, left, method == b"PUT", key, tenant, head, body)

    def answer(self, status: int, body: bytes = b"", pause: int = 0) -> None:
        reader, self.asked = self.reader, None
        last = not reader.extra and (self.clients.leaving or not reader.lasts)
        self.conn.send(http.answer(status, len(body), last, pause), body)
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
            self.conn.send(http.answer(status, last=True))
            self.part()

    def part(self) -> None:
        """It may still read its last answer, but keeps no other client out by that."""
        if self.conn.open:
            self.since = self.clients.loop.now
            self.clients.parting[self] = None
            self.conn.finish()

    def quiet(self) -> bool:
        """No answer waits to be read by it, and nothing of it to be read here."""
        return not self.conn.out and not self.conn.stale()

    def ended(self, what: str) -> None:
        self.close()
        if self.asked:
            self.asked.hangup()

    def close(self) -> None:
        self.conn.close()
        for among in (self.clients.idle, self.clients.unasked, self.clients.parting, self.clients.open):
            among.pop(self, None)


class Clients:
    """The listener and all that it has let in, `most` at a time."""

    def __init__(self, loop: Loop, door: Door, most: int) -> None:
        self.loop, self.door, self.most = loop, door, most
        self.open: dict[Client, None] = {}
        self.idle: dict[Client, None] = {}     # of these: served, and asking nothing; the longest first
        self.unasked: dict[Client, None] = {}  # yet to bring a whole req; the longest first
        self.parting: dict[Client, None] = {}  # with their last answer; the longest first
        self.listener: socket.socket | None = None
        self.resting: Timer | None = None
        self.leaving = False
        loop.later(SWEEP, self.sweep)

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

    def accept(self, mask: int = READ, many: int = AT_A_TIME) -> None:
        for _ in range(many):
            if not self.listener:
                return
            if len(self.open) >= self.most + TURNED_AWAY and not self.hurry():
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
            self.let_in(sock)

    def let_in(self, sock: socket.socket) -> None:
        crowded = len(self.open) - len(self.parting) >= self.most and not self.shed()
        client = Client(self, sock)
        self.open[client] = None
        if crowded:  # left in the backlog, what it asks would count as taken and never be answered
            return client.refuse(503)
        self.await_req(client)
        client.conn.ready(READ)  # what it asks has mostly come with it

    def await_req(self, client: Client) -> None:
        client.since = self.loop.now
        self.unasked[client] = None

    def shed(self) -> bool:
        """Close a connection that nobody needs; whether there was one. Silence must not keep others out."""
        gone = next(filter(Client.quiet, self.unasked), None)
        if not gone or self.loop.now - gone.since < SETTLED:
            gone = next(filter(Client.quiet, self.idle), None) or gone
        if gone:
            gone.close()
        return gone is not None

    def trim(self) -> None:
        """Where more than half of the most are open, let the longest idle go, but for an eighth. Clients too
        hold only so many: those that ask once and stay would leave none long before there is no room here."""
        while len(self.idle) > self.most // 8 and len(self.open) > self.most // 2:
            client = next(iter(self.idle))
            if not client.quiet():
                return
            client.close()

    def hurry(self) -> bool:
        """Close the connection that has had its last answer for longest; whether there was one."""
        client = next(iter(self.parting), None)
        if client and self.loop.now - client.since >= RESPITE:
            client.close()
            return True
        return False

    def sweep(self) -> None:
        """Nobody may begin and never end; one that said nothing at all is closed without a word."""
        while (client := next(iter(self.unasked), None)) and self.loop.now - client.since >= PATIENCE:
            client.refuse(408) if client.reader.begun else client.close()
        self.loop.later(SWEEP, self.sweep)

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
            self.accept(many=BACKLOG)
            listener, self.listener = self.listener, None
            if self.resting:
                self.resting.cancel()
            else:
                self.loop.unwatch(listener)
            listener.close()
        for client in [*self.idle, *self.unasked]:
            client.conn.ready(READ)  # a req that has come is still answered
            if client in self.idle or client in self.unasked and not client.reader.begun:
                client.part() if client.conn.out else client.close()
