"""The listener for clients, whatever they speak: who is let in, and how it is closed."""

from __future__ import annotations

import errno
import socket
from collections.abc import Callable
from contextlib import suppress

from orchidgap.net.addresses import Address
from orchidgap.net.client_connection import ClientConnection
from orchidgap.net.client_table import ClientTable
from orchidgap.net.dialing import (
    OUT_OF_RESOURCES_ERRNOS,
    backlog_length,
    open_listener,
    stop_handshakes,
)
from orchidgap.net.listener_watch import ACCEPT_PAUSE_US
from orchidgap.net.loop import READ, Loop, Timer
from orchidgap.net.receive_timestamps import enable_receive_timestamps
from orchidgap.net.request_handler import RequestHandler
from orchidgap.net.traffic_counts import ConnectionEnd

BACKLOG = 512
CLOSING_BACKLOG = 4_096  # more wait while it ends, as it lets them in more slowly
MAX_ACCEPTS_A_TURN = 64  # before others get their turn
CLOSING_ADMISSIONS = 512  # of those who wait as the listener is to close, so many are served
MAX_CLOSING_CLIENTS = 16  # beyond the most, that may still read their last answer
LAST_LOOKS = 64  # as the process ends; a shortage of descriptors ends a look
HANDSHAKE_US = 2_000  # for those under way to end, before the listener closes


class ClientListener(ClientTable):
    """The listener, and the clients that it has let in.

    Attributes:
        on_closing: Told of each connection before it is closed here, or shut for sending, why, and
            before which time all that had come was read, 0 where that is not known.
        on_shut_unread: Told of each connection that has been shut for sending over bytes that are
            not read yet, and will be dropped.
    """

    def __init__(
        self,
        loop: Loop,
        handler: RequestHandler,
        max_clients: int,
        make_client: Callable[[ClientListener, socket.socket], ClientConnection],
    ) -> None:
        """Let nobody in yet; `make_client` speaks the protocol on a socket that was accepted."""
        super().__init__(loop, handler, max_clients)
        self.make_client = make_client
        self.listening_socket: socket.socket | None = None
        self.accept_pause: Timer | None = None
        self.owns_listener = False  # no other process holds it
        self.accepts_elsewhere = False  # another process lets clients in
        self.is_leaving = False  # the process was told to end
        self.on_closing: Callable[[ClientConnection, ConnectionEnd, int], None] | None = None
        self.on_shut_unread: Callable[[ClientConnection], None] | None = None
        # when the system was told to begin no more handshakes
        self.handshakes_stopped_at_us: int | None = None
        # while the listener closes: how many of those who wait may still be served
        self.admissions_left: int | None = None

    # --- the listening socket

    @property
    def is_listening(self) -> bool:
        """Whether this process holds a listener."""
        return self.listening_socket is not None

    def listen(self, address: Address) -> None:
        """Listen at the address. Raises OSError.

        The listener asks for timestamps, so that what comes before a first client was accepted, or
        after the last one has gone, has them as well.
        """
        self.owns_listener = True
        listener = open_listener(address, BACKLOG)
        enable_receive_timestamps(listener)
        self.use_listening_socket(listener)

    def use_listening_socket(self, listener: socket.socket) -> None:
        """Accept from a socket that listens already; another process may hold it too."""
        self.listening_socket = listener
        self.loop.watch(listener, READ, self.accept)

    def leave_listener(self) -> None:
        """Leave the listener to another process, for as long as that goes on."""
        if self.listening_socket and not self.accepts_elsewhere:
            self.accepts_elsewhere = True
            if not self.accept_pause:
                self.loop.unwatch(self.listening_socket)

    def return_to_listener(self) -> None:
        """Accept again, as no other process does."""
        if self.listening_socket and self.accepts_elsewhere:
            self.accepts_elsewhere = False
            if not self.accept_pause:
                self.loop.watch(self.listening_socket, READ, self.accept)

    def pause_accepting(self) -> None:
        """Accept nobody for a moment, in which somebody may go."""
        if self.listening_socket and not self.accept_pause and not self.accepts_elsewhere:
            self.loop.unwatch(self.listening_socket)
            self.accept_pause = self.loop.call_later(ACCEPT_PAUSE_US, self.resume_accepting)

    def resume_accepting(self) -> None:
        """The pause is over."""
        self.accept_pause = None
        if self.listening_socket and not self.accepts_elsewhere:
            self.loop.watch(self.listening_socket, READ, self.accept)
            self.accept()

    def begin_leaving(self) -> None:
        """The process is told to end: who waits and finds no room is rejected from now on.

        The system holds more who wait: where the backlog is full, it drops the last step of a
        handshake that the client takes for done, and what that wrote would be reset as the listener
        closes.
        """
        self.is_leaving = True
        if self.listening_socket and self.owns_listener:
            with suppress(OSError):
                self.listening_socket.listen(CLOSING_BACKLOG)

    def close_listener(self) -> None:
        """Let nobody in any more, once nobody waits in the backlog.

        A close over connections that wait there would reset them, and what was asked on them. Until
        the backlog is seen empty the listener stays open, and whoever calls asks again. Those who
        waited at the first call are served where there is room; all others are rejected.
        """
        if not self.listening_socket:
            return
        if self.accepts_elsewhere:
            self.drop_listener()
            return
        if self.admissions_left is None:
            self.admissions_left = CLOSING_ADMISSIONS
        if not self.accept_waiting() or not self.listening_socket:
            return
        # a listener that another process holds too is left as it is: its close resets nobody
        if self.owns_listener and self.handshakes_stopped_at_us is None:
            self.stop_new_handshakes(self.listening_socket)
        elif self.handshakes_are_over:
            self.drop_listener()

    def stop_new_handshakes(self, listener: socket.socket) -> None:
        """Have the system begin no more handshakes, and close once those under way are over."""
        stop_handshakes(listener)
        self.handshakes_stopped_at_us = self.loop.clock()  # the turn may have begun long before
        self.loop.call_at(self.handshakes_stopped_at_us + HANDSHAKE_US, self.close_listener)

    @property
    def handshakes_are_over(self) -> bool:
        """Whether nobody can come up any more, as far as this process has a say in it."""
        if self.handshakes_stopped_at_us is None:
            return not self.owns_listener
        return self.loop.now - self.handshakes_stopped_at_us >= HANDSHAKE_US

    def abandon_listener(self) -> None:
        """Close it as the process ends: reject who waits, and count whom that cannot reach."""
        if self.listening_socket and not self.accepts_elsewhere:
            self.is_leaving = True
            self.admissions_left = 0
            if self.owns_listener:
                stop_handshakes(self.listening_socket)
            if not any(self.accept_waiting(CLOSING_BACKLOG) for _ in range(LAST_LOOKS)):
                self.counts.closed_over_backlog += backlog_length(self.listening_socket)
        self.drop_listener()
        for client in [*self.idle, *self.awaiting_request]:
            if client.conn.has_unread_bytes():
                client.reject_at_once()

    def drop_listener(self) -> None:
        """Close this process's descriptor of the listener."""
        if not self.listening_socket:
            return
        if self.accept_pause:
            self.accept_pause.cancel()
            self.accept_pause = None
        elif not self.accepts_elsewhere:
            self.loop.unwatch(self.listening_socket)
        listening_socket = self.listening_socket
        self.listening_socket = None
        listening_socket.close()

    # --- who is let in

    def accept(self, mask: int = READ) -> None:
        """Let in who waits."""
        self.accept_waiting()

    def accept_waiting(self, most: int = MAX_ACCEPTS_A_TURN) -> bool:
        """Let in who waits, so many at most; return whether the backlog was seen empty."""
        for _ in range(most):
            if not self.listening_socket:
                return True
            if not self.is_leaving and not self.has_descriptor_for_client():
                self.pause_accepting()
                return False
            try:
                sock, _ = self.listening_socket.accept()
            except BlockingIOError:
                return True
            except OSError as error:
                if error.errno == errno.ECONNABORTED:  # gone before it was let in
                    continue
                self.make_room_after(error)
                return False
            if self.is_leaving:
                self.admit_while_leaving(sock)
            else:
                self.admit(sock)
        return False

    def has_descriptor_for_client(self) -> bool:
        """Whether one more client may be open, if only to be told that there is no room."""
        has_descriptor = len(self.open_clients) < self.max_clients + MAX_CLOSING_CLIENTS
        return has_descriptor or self.close_oldest_closing()

    def make_room_after(self, error: OSError) -> None:
        """Have somebody make way where the system has no descriptor left.

        To try again at once would spin: the connection still waits.
        """
        is_short = error.errno in OUT_OF_RESOURCES_ERRNOS
        if not (is_short and self.free_descriptor()):
            self.pause_accepting()

    def free_descriptor(self) -> bool:
        """Close a connection that can be spared; whether there was one."""
        return (
            self.close_unneeded()
            or self.handler.close_idle_connection()
            or self.close_oldest_closing()
        )

    def admit(self, sock: socket.socket) -> None:
        """Let a client in. One for whom there is no room is told so: left in the backlog, what it
        asks would count as accepted and never be answered.
        """
        if self.has_capacity():
            self.serve(sock)
        else:
            self.open(sock).reject(503)

    def admit_while_leaving(self, sock: socket.socket) -> None:
        """Let a client in as the process ends, or reject it at once.

        One that is rejected holds no descriptor beyond the most.
        """
        has_descriptor = self.has_descriptor_for_client()
        if self.admissions_left != 0 and has_descriptor and self.has_capacity():
            if self.admissions_left:
                self.admissions_left -= 1
            self.serve(sock)
            return
        client = self.open(sock)
        client.reject_at_once()
        if client.conn.is_open and not has_descriptor:
            client.close(ConnectionEnd.FINISHED)

    def open(self, sock: socket.socket) -> ClientConnection:
        """Count a connection that was accepted among the clients."""
        client = self.make_client(self, sock)
        self.open_clients[client] = None
        self.counts.connections_accepted += 1
        return client

    def serve(self, sock: socket.socket) -> None:
        """Wait for what a new client asks."""
        client = self.open(sock)
        self.await_request(client)
        client.conn.on_ready(READ)  # what it asks has mostly come with it

    def adopt_connection(self, sock: socket.socket) -> None:
        """Take over a connection on which nothing is under way from another process."""
        has_capacity = self.has_capacity()
        read_up_to_us = self.loop.clock()
        client = self.make_client(self, sock)
        self.open_clients[client] = None
        self.counts.connections_adopted += 1
        if not has_capacity and client.conn.has_unread_bytes():
            client.reject_at_once()
            return
        self.idle[client] = None
        if not has_capacity:
            client.finish(read_up_to_us)
            return
        client.conn.on_ready(READ)
