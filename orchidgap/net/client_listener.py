"""The door to clients, whatever they speak: a listener, who is let in, who makes way."""

from __future__ import annotations

import errno
import socket
from collections.abc import Callable
from typing import Protocol

from orchidgap.decisions.lifecycle import Lifecycle
from orchidgap.net.body_stream import Upload
from orchidgap.net.connection import OUT_OF_RESOURCES_ERRNOS, Address, Connection, open_listener
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

    def on_client_gone(self) -> None:
        """Its client has gone away."""

    def on_body_complete(self) -> None:
        """The last byte of a body that flows is there; `came` says since when."""


class Responder(Protocol):
    """Whoever is owed the answer to one req; the codes are 200, 400, 500 and 503, whatever is spoken."""

    pending_request: PendingRequest | None

    @property
    def received_at_us(self) -> int:
        """When its last byte came, in microseconds of the loop's clock."""

    def has_disconnected(self) -> bool:
        """Whether its client has closed; it is let go then, though not within this call."""

    def answer(
        self, status: int, body: bytes = b"", pause: int = 0, length: int | None = None
    ) -> None:
        """The whole answer. `length` is what its head tells where it has no body."""


class RequestHandler(Protocol):
    lifecycle: Lifecycle

    def is_ready(self) -> bool: ...

    def knows_request_class(self, rule_set: str) -> bool: ...

    def is_request_open(self, id: bytes) -> bool:
        """Whether a req of this id is open."""

    def close_idle_connection(self) -> bool:
        """Close an idle connection elsewhere; whether there was one."""

    def handle_request(
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
        is drawn from the key. A body that flows is not in `body`; `asked.on_body_complete` is called at its end."""


class ClientConnection:
    """A connection from a client, as far as all protocols have the same need of it."""

    __slots__ = (
        "conn",
        "listener",
        "since_us",
    )
    is_transferable = False  # whether all that is known of it, while it asks nothing, is its socket

    def __init__(self, clients: ClientListener, sock: socket.socket) -> None:
        self.listener = clients
        self.since_us = clients.loop.now  # it came, or began with a req, or was refused
        self.conn = Connection(clients.loop, sock, self, stamped=True)

    @property
    def request_begun(self) -> bool:
        """Whether part of a req has come."""
        raise NotImplementedError

    def received(self, view: memoryview) -> None:
        raise NotImplementedError

    def reject(self, status: int) -> None:
        """A plain word on why nothing more is taken from it: 408 for silence, 503 for no room."""
        raise NotImplementedError

    def on_stalled(self) -> None:
        """It began, and does not go on."""
        self.reject(408)

    def on_disconnect(self) -> None:
        """It has gone: what it asked for is of no use any more."""
        raise NotImplementedError

    def has_disconnected(self) -> bool:
        """Asked where something would begin for it. Its end is read as all it sends is, and so not while
        nothing is read, nor before what it sent ahead of it."""
        if not self.conn.peer_has_closed():
            return False
        self.listener.loop.call_soon(
            self.conn.fail, "closed"
        )  # not at once: this may be a decision's own call
        return True

    def opened(self) -> None:
        pass

    def finish(self) -> None:
        """It may still read its last answer, but keeps no other client out by that. What it sends from now on
        is dropped: its connection has ended on this side, so it asks elsewhere."""
        if self.conn.is_open and not self.conn.closing:
            self.since_us = self.listener.loop.now
            self.listener.idle.pop(self, None)
            self.listener.awaiting_request.pop(self, None)
            self.listener.closing[self] = None
            self.conn.close_gracefully()

    def is_quiet(self) -> bool:
        """No answer waits to be read by it, and nothing of it to be read here."""
        return not self.conn.write_buffer and not self.conn.is_stale()

    def ended(self, what: str) -> None:
        self.close()
        self.on_disconnect()

    def close(self) -> None:
        self.conn.close()
        for among in (
            self.listener.idle,
            self.listener.awaiting_request,
            self.listener.closing,
            self.listener.open_clients,
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
        self.loop, self.handler, self.max_clients, self.make_client = loop, door, most, make
        self.open_clients: dict[ClientConnection, None] = {}
        self.idle: dict[
            ClientConnection, None
        ] = {}  # of these: served, and asking nothing; the longest first
        self.awaiting_request: dict[
            ClientConnection, None
        ] = {}  # yet to bring a whole req; the longest first
        self.closing: dict[ClientConnection, None] = {}  # with their last answer; the longest first
        self.listening_socket: socket.socket | None = None
        self.accept_pause: Timer | None = None
        self.accepts_elsewhere = False  # another process lets clients in
        loop.call_later(SWEEP, self.close_stalled)

    def listen(self, address: Address) -> None:
        self.use_listening_socket(open_listener(address, BACKLOG))

    def use_listening_socket(self, listener: socket.socket) -> None:
        """A socket that listens already; another process may hold it too."""
        self.listening_socket = listener
        self.loop.watch(listener, READ, self.accept)

    def leave_listener(self) -> None:
        """Leave the listener to another process, for as long as that goes on."""
        if self.listening_socket and not self.accepts_elsewhere:
            self.accepts_elsewhere = True
            if not self.accept_pause:
                self.loop.unwatch(self.listening_socket)

    def return_to_listener(self) -> None:
        if self.listening_socket and self.accepts_elsewhere:
            self.accepts_elsewhere = False
            if not self.accept_pause:
                self.loop.watch(self.listening_socket, READ, self.accept)

    def accept(self, mask: int = READ, many: int = AT_A_TIME) -> None:
        for _ in range(many):
            if not self.listening_socket:
                return
            if (
                len(self.open_clients) >= self.max_clients + TURNED_AWAY
                and not self.close_oldest_closing()
            ):
                return self.pause_accepting()
            try:
                sock, _ = self.listening_socket.accept()
            except BlockingIOError:
                return
            except OSError as error:
                if error.errno == errno.ECONNABORTED:  # gone before it was let in
                    continue
                # to try again at once would spin: the connection still waits
                made_way = error.errno in OUT_OF_RESOURCES_ERRNOS and (
                    self.close_unneeded() or self.handler.close_idle_connection()
                )
                return None if made_way else self.pause_accepting()
            self.admit(sock)

    def admit(self, sock: socket.socket) -> None:
        crowded = (
            len(self.open_clients) - len(self.closing) >= self.max_clients
            and not self.close_unneeded()
        )
        client = self.make_client(self, sock)
        self.open_clients[client] = None
        if crowded:  # left in the backlog, what it asks would count as taken and never be answered
            return client.reject(503)
        self.await_request(client)
        client.conn.on_ready(READ)  # what it asks has mostly come with it

    def adopt_connection(self, sock: socket.socket) -> None:
        """A connection on which nothing is under way comes from another process of this balancer."""
        if (
            len(self.open_clients) - len(self.closing) >= self.max_clients
            and not self.close_unneeded()
        ):
            return sock.close()
        client = self.make_client(self, sock)
        self.open_clients[client] = self.idle[client] = None
        client.conn.on_ready(READ)

    def transferable(self) -> list[ClientConnection]:
        """Those that can go to another process as they are."""
        return [
            client
            for client in (*self.idle, *self.awaiting_request)
            if client.is_transferable
            and not (client.request_begun or client.conn.write_buffer or client.conn.closing)
        ]

    def await_request(self, client: ClientConnection) -> None:
        """Its time to bring a whole req begins, or begins anew."""
        client.since_us = self.loop.now
        if client in self.awaiting_request:  # they stand in the order of their times
            del self.awaiting_request[client]
        self.awaiting_request[client] = None

    def close_unneeded(self) -> bool:
        """Close a connection that nobody needs; whether there was one. Silence must not keep others out."""
        gone = next((client for client in self.awaiting_request if client.is_quiet()), None)
        if not gone or self.loop.now - gone.since_us < SETTLED:
            gone = next((client for client in self.idle if client.is_quiet()), None) or gone
        if gone:
            gone.close()
        return gone is not None

    def trim_idle(self) -> None:
        """Where more than half of the most are open, let the longest idle go, but for an eighth. Clients too
        hold only so many: those that ask once and stay would leave none long before there is no room here."""
        while (
            not self.handler.lifecycle.successor_accepts  # which takes them as they are
            and len(self.idle) > self.max_clients // 8
            and len(self.open_clients) - len(self.closing) > self.max_clients // 2
        ):
            client = next(iter(self.idle))
            if not client.is_quiet():
                return
            client.finish()  # see release

    def close_oldest_closing(self) -> bool:
        """Close the connection that has had its last answer for longest; whether there was one."""
        client = next(iter(self.closing), None)
        if client and self.loop.now - client.since_us >= RESPITE:
            client.close()
            return True
        return False

    def close_stalled(self) -> None:
        """Nobody may begin and never end; one that said nothing at all is closed without a word."""
        while (
            client := next(iter(self.awaiting_request), None)
        ) and self.loop.now - client.since_us >= PATIENCE:
            client.on_stalled() if client.request_begun else client.close()
        self.loop.call_later(SWEEP, self.close_stalled)

    def pause_accepting(self) -> None:
        if self.listening_socket and not self.accept_pause and not self.accepts_elsewhere:
            self.loop.unwatch(self.listening_socket)
            self.accept_pause = self.loop.call_later(RESPITE, self.resume_accepting)

    def resume_accepting(self) -> None:
        self.accept_pause = None
        if self.listening_socket and not self.accepts_elsewhere:
            self.loop.watch(self.listening_socket, READ, self.accept)
            self.accept()

    @property
    def closes_after_response(self) -> bool:
        """Whether an answer is the last on its connection."""
        return self.handler.lifecycle.closes_after_answer

    def close_listener(self) -> None:
        """Let nobody in any more."""
        if self.listening_socket:
            if not self.accepts_elsewhere:
                self.accept(many=BACKLOG)
                if not self.accept_pause:
                    self.loop.unwatch(self.listening_socket)
            if self.accept_pause:
                self.accept_pause.cancel()
            listener, self.listening_socket = self.listening_socket, None
            listener.close()

    def release_idle(self) -> None:
        """Let those go who ask nothing; who has just come is about to."""
        fresh = self.loop.now - FRESH
        for client in [*self.idle, *self.awaiting_request]:
            client.conn.on_ready(READ)  # a req that has come is still answered
            if client in self.idle:
                client.finish()  # a close would reset it, and the answer with it, if its next req came just now
            elif (
                client in self.awaiting_request
                and not client.request_begun
                and client.since_us <= fresh
            ):
                client.close()
