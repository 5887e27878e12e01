"""The door to clients, whatever they speak: a listener, who is let in, who makes way."""

from __future__ import annotations

import errno
import socket
from collections.abc import Callable
from typing import Protocol

from orchidgap.decisions.lifecycle import Lifecycle
from orchidgap.net.body_stream import Upload
from orchidgap.net.connection import SHORT, Address, Connection, open_listener
from orchidgap.net.loop import READ, Loop, Timer

PATIENCE = 2_500_000  # for a req to come whole, since its connection or its first byte came
SETTLED = 500_000  # after which who has asked nothing yet is the first to make way
SWEEP = 250_000
FRESH = 250_000  # whoever came so lately is about to ask
RESPITE = 50_000  # before accepting again where descriptors have run out
BACKLOG = 512
AT_A_TIME = 64  # connections let in before others get their turn
TURNED_AWAY = 16  # connections beyond the most that may still read their last answer


class PendingRequest(Protocol):
    """A req as the door keeps it."""

    def hangup(self) -> None:
        """Its client has gone away."""

    def body_came(self) -> None:
        """The last byte of a body that flows is there; `came` says since when."""


class Responder(Protocol):
    """Whoever is owed the answer to one req; the codes are 200, 400, 500 and 503, whatever is spoken."""

    asked: PendingRequest | None

    @property
    def came(self) -> int:
        """When its last byte came, in microseconds of the loop's clock."""

    def gone(self) -> bool:
        """Whether its client has closed; it is let go then, though not within this call."""

    def answer(
        self, status: int, body: bytes = b"", pause: int = 0, length: int | None = None
    ) -> None:
        """The whole answer. `length` is what its head tells where it has no body."""


class RequestHandler(Protocol):
    life: Lifecycle

    def ready(self) -> bool: ...

    def knows(self, rule_set: str) -> bool: ...

    def holds(self, id: bytes) -> bool:
        """Whether a req of this id is open."""

    def shed(self) -> bool:
        """Close an idle connection elsewhere; whether there was one."""

    def take(
        self,
        caller: Responder,
        id: bytes,
        rule_set: str,
        left: int,
        write: bool,
        key: bytes,
        tenant: str,
        head: bytes,
        body: bytes,
        slot: int = -1,
        flow: Upload | None = None,
    ) -> None:
        """Sets `caller.asked`, and has `caller.answer` called once. `left` is in microseconds; a slot below 0
        is drawn from the key. A body that flows is not in `body`; `asked.body_came` is called at its end."""


class ClientConnection:
    """A connection from a client, as far as all protocols have the same need of it."""

    __slots__ = ("clients", "conn", "since")
    movable = False  # whether all that is known of it, while it asks nothing, is its socket

    def __init__(self, clients: ClientListener, sock: socket.socket) -> None:
        self.clients = clients
        self.since = clients.loop.now  # it came, or began with a req, or was refused
        self.conn = Connection(clients.loop, sock, self, stamped=True)

    @property
    def begun(self) -> bool:
        """Whether part of a req has come."""
        raise NotImplementedError

    def received(self, view: memoryview) -> None:
        raise NotImplementedError

    def refuse(self, status: int) -> None:
        """A plain word on why nothing more is taken from it: 408 for silence, 503 for no room."""
        raise NotImplementedError

    def stalled(self) -> None:
        """It began, and does not go on."""
        self.refuse(408)

    def hangup(self) -> None:
        """It has gone: what it asked for is of no use any more."""
        raise NotImplementedError

    def gone(self) -> bool:
        """Asked where something would begin for it. Its end is read as all it sends is, and so not while
        nothing is read, nor before what it sent ahead of it."""
        if not self.conn.gone():
            return False
        self.clients.loop.call_soon(
            self.conn.end, "closed"
        )  # not at once: this may be a decision's own call
        return True

    def opened(self) -> None:
        pass

    def part(self) -> None:
        """It may still read its last answer, but keeps no other client out by that. What it sends from now on
        is dropped: its connection has ended on this side, so it asks elsewhere."""
        if self.conn.open and not self.conn.closing:
            self.since = self.clients.loop.now
            self.clients.idle.pop(self, None)
            self.clients.unasked.pop(self, None)
            self.clients.parting[self] = None
            self.conn.finish()

    def quiet(self) -> bool:
        """No answer waits to be read by it, and nothing of it to be read here."""
        return not self.conn.out and not self.conn.stale()

    def ended(self, what: str) -> None:
        self.close()
        self.hangup()

    def close(self) -> None:
        self.conn.close()
        for among in (
            self.clients.idle,
            self.clients.unasked,
            self.clients.parting,
            self.clients.open,
        ):
            among.pop(self, None)


class ClientListener:
    """The listener and all that it has let in, `most` at a time."""

    def __init__(
        self,
        loop: Loop,
        door: RequestHandler,
        most: int,
        make: Callable[[ClientListener, socket.socket], ClientConnection],
    ) -> None:
        self.loop, self.door, self.most, self.make = loop, door, most, make
        self.open: dict[ClientConnection, None] = {}
        self.idle: dict[
            ClientConnection, None
        ] = {}  # of these: served, and asking nothing; the longest first
        self.unasked: dict[
            ClientConnection, None
        ] = {}  # yet to bring a whole req; the longest first
        self.parting: dict[ClientConnection, None] = {}  # with their last answer; the longest first
        self.listener: socket.socket | None = None
        self.resting: Timer | None = None
        self.away = False  # another process lets clients in
        loop.call_later(SWEEP, self.sweep)

    def listen(self, address: Address) -> None:
        self.inherit(open_listener(address, BACKLOG))

    def inherit(self, listener: socket.socket) -> None:
        """A socket that listens already; another process may hold it too."""
        self.listener = listener
        self.loop.watch(listener, READ, self.accept)

    def look_away(self) -> None:
        """Leave the listener to another process, for as long as that goes on."""
        if self.listener and not self.away:
            self.away = True
            if not self.resting:
                self.loop.unwatch(self.listener)

    def look_back(self) -> None:
        if self.listener and self.away:
            self.away = False
            if not self.resting:
                self.loop.watch(self.listener, READ, self.accept)

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
        client = self.make(self, sock)
        self.open[client] = None
        if crowded:  # left in the backlog, what it asks would count as taken and never be answered
            return client.refuse(503)
        self.await_req(client)
        client.conn.ready(READ)  # what it asks has mostly come with it

    def adopt(self, sock: socket.socket) -> None:
        """A connection on which nothing is under way comes from another process of this balancer."""
        if len(self.open) - len(self.parting) >= self.most and not self.shed():
            return sock.close()
        client = self.make(self, sock)
        self.open[client] = self.idle[client] = None
        client.conn.ready(READ)

    def movable(self) -> list[ClientConnection]:
        """Those that can go to another process as they are."""
        return [
            client
            for client in (*self.idle, *self.unasked)
            if client.movable and not (client.begun or client.conn.out or client.conn.closing)
        ]

    def await_req(self, client: ClientConnection) -> None:
        """Its time to bring a whole req begins, or begins anew."""
        client.since = self.loop.now
        if client in self.unasked:  # they stand in the order of their times
            del self.unasked[client]
        self.unasked[client] = None

    def shed(self) -> bool:
        """Close a connection that nobody needs; whether there was one. Silence must not keep others out."""
        gone = next((client for client in self.unasked if client.quiet()), None)
        if not gone or self.loop.now - gone.since < SETTLED:
            gone = next((client for client in self.idle if client.quiet()), None) or gone
        if gone:
            gone.close()
        return gone is not None

    def trim(self) -> None:
        """Where more than half of the most are open, let the longest idle go, but for an eighth. Clients too
        hold only so many: those that ask once and stay would leave none long before there is no room here."""
        while (
            not self.door.life.successor_accepts  # which takes them as they are
            and len(self.idle) > self.most // 8
            and len(self.open) - len(self.parting) > self.most // 2
        ):
            client = next(iter(self.idle))
            if not client.quiet():
                return
            client.part()  # see release

    def hurry(self) -> bool:
        """Close the connection that has had its last answer for longest; whether there was one."""
        client = next(iter(self.parting), None)
        if client and self.loop.now - client.since >= RESPITE:
            client.close()
            return True
        return False

    def sweep(self) -> None:
        """Nobody may begin and never end; one that said nothing at all is closed without a word."""
        while (
            client := next(iter(self.unasked), None)
        ) and self.loop.now - client.since >= PATIENCE:
            client.stalled() if client.begun else client.close()
        self.loop.call_later(SWEEP, self.sweep)

    def rest(self) -> None:
        if self.listener and not self.resting and not self.away:
            self.loop.unwatch(self.listener)
            self.resting = self.loop.call_later(RESPITE, self.resume)

    def resume(self) -> None:
        self.resting = None
        if self.listener and not self.away:
            self.loop.watch(self.listener, READ, self.accept)
            self.accept()

    @property
    def last(self) -> bool:
        """Whether an answer is the last on its connection."""
        return self.door.life.closes_after_answer

    def shut(self) -> None:
        """Let nobody in any more."""
        if self.listener:
            if not self.away:
                self.accept(many=BACKLOG)
                if not self.resting:
                    self.loop.unwatch(self.listener)
            if self.resting:
                self.resting.cancel()
            listener, self.listener = self.listener, None
            listener.close()

    def release(self) -> None:
        """Let those go who ask nothing; who has just come is about to."""
        fresh = self.loop.now - FRESH
        for client in [*self.idle, *self.unasked]:
            client.conn.ready(READ)  # a req that has come is still answered
            if client in self.idle:
                client.part()  # a close would reset it, and the answer with it, if its next req came just now
            elif client in self.unasked and not client.begun and client.since <= fresh:
                client.close()
