"""The listener for clients of any protocol: which are accepted, and how it is closed."""

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

BACKLOG = 512  # connections that may wait to be accepted
CLOSING_BACKLOG = 4_096  # the same during shutdown, when connections are accepted more slowly
MAX_ACCEPTS_PER_TURN = 64  # more are left to the next turn, so that other sockets are not delayed
MAX_ACCEPTING_US = 5_000  # in one turn of a process that is not leaving, for the same reason
CLOSING_ADMISSIONS = 512  # most connections of the backlog that are served as the listener closes
MAX_CLOSING_CLIENTS = 16  # connections above `max_clients` that may still read their last answer
# Rounds of accepting as the process ends; a round ends early when descriptors run out.
FINAL_ACCEPT_ROUNDS = 64
HANDSHAKE_US = 2_000  # time in which handshakes in progress may finish before the listener closes


class ClientListener(ClientTable):
    """The listener, and the clients that it has accepted.

    Attributes:
        on_closing: Called before this process closes a connection or shuts down its sending side,
            with the connection, the reason, and the time before which all bytes that had arrived
            were read (0 if not known).
        on_half_closed_unread: Called with each connection whose sending side was shut down while
            received bytes were still unread; these are discarded.
    """

    def __init__(
        self,
        loop: Loop,
        handler: RequestHandler,
        max_clients: int,
        make_client: Callable[[ClientListener, socket.socket], ClientConnection],
    ) -> None:
        """Create a listener that accepts nothing yet.

        Args:
            loop: The event loop.
            handler: Handles the requests of the clients.
            max_clients: The most clients that are served at a time.
            make_client: Creates the protocol's connection on an accepted socket.
        """
        super().__init__(loop, handler, max_clients)
        self.make_client = make_client
        self.listening_socket: socket.socket | None = None
        self.accept_pause: Timer | None = None
        self.owns_listener = False  # whether no other process holds the listening socket
        self.accepts_elsewhere = False  # whether another process accepts the clients
        self.is_leaving = False  # whether the process is shutting down
        self.on_closing: Callable[[ClientConnection, ConnectionEnd, int], None] | None = None
        self.on_half_closed_unread: Callable[[ClientConnection], None] | None = None
        # when the kernel was configured to begin no more handshakes
        self.handshakes_stopped_at_us: int | None = None
        # while the listener closes: how many connections of the backlog may still be served
        self.admissions_left: int | None = None

    # --- the listening socket

    @property
    def is_listening(self) -> bool:
        """Whether this process holds a listening socket."""
        return self.listening_socket is not None

    def listen(self, address: Address) -> None:
        """Listen at the address. Raises OSError.

        Timestamps are enabled on the listener, so that bytes that arrive before the first client is
        accepted, or while no client is connected, are timestamped too.
        """
        self.owns_listener = True
        listener = open_listener(address, BACKLOG)
        enable_receive_timestamps(listener)
        self.use_listening_socket(listener)

    def use_listening_socket(self, listener: socket.socket) -> None:
        """Accept from a socket that is listening already; another process may hold it too."""
        self.listening_socket = listener
        self.loop.watch(listener, READ, self.accept)

    def leave_listener(self) -> None:
        """Stop accepting while another process accepts from the shared listener."""
        if self.listening_socket and not self.accepts_elsewhere:
            self.accepts_elsewhere = True
            if not self.accept_pause:
                self.loop.unwatch(self.listening_socket)

    def return_to_listener(self) -> None:
        """Accept again, as no other process does any more."""
        if self.listening_socket and self.accepts_elsewhere:
            self.accepts_elsewhere = False
            if not self.accept_pause:
                self.loop.watch(self.listening_socket, READ, self.accept)

    def pause_accepting(self) -> None:
        """Accept nothing for `ACCEPT_PAUSE_US`, in which a connection may close."""
        if self.listening_socket and not self.accept_pause and not self.accepts_elsewhere:
            self.loop.unwatch(self.listening_socket)
            self.accept_pause = self.loop.call_later(ACCEPT_PAUSE_US, self.resume_accepting)

    def resume_accepting(self) -> None:
        """Accept again at the end of a pause."""
        self.accept_pause = None
        if self.listening_socket and not self.accepts_elsewhere:
            self.loop.watch(self.listening_socket, READ, self.accept)
            self.accept()

    def begin_leaving(self) -> None:
        """Begin the shutdown: waiting connections are rejected from now on if there is no capacity.

        The backlog is enlarged: when it is full, the kernel drops the last segment of a handshake
        that the client considers complete, and the client's request would be reset when the
        listener closes.
        """
        self.is_leaving = True
        if self.listening_socket and self.owns_listener:
            with suppress(OSError):
                self.listening_socket.listen(CLOSING_BACKLOG)

    def close_listener(self) -> None:
        """Close the listener once its backlog is empty; to be called repeatedly until it is closed.

        Closing with connections in the backlog would reset them and their requests, so the listener
        stays open until the backlog has been seen empty. The connections that were waiting at the
        first call (`CLOSING_ADMISSIONS` at most) are served if there is capacity; all others are
        rejected.
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
        # a listener that another process holds too needs no preparation: closing it resets nothing
        if self.owns_listener and self.handshakes_stopped_at_us is None:
            self.stop_new_handshakes(self.listening_socket)
        elif self.handshakes_finished:
            self.drop_listener()

    def stop_new_handshakes(self, listener: socket.socket) -> None:
        """Stop new handshakes, and close the listener after those in progress have finished."""
        stop_handshakes(listener)
        self.handshakes_stopped_at_us = self.loop.clock()  # the turn may have begun long before
        self.loop.call_at(self.handshakes_stopped_at_us + HANDSHAKE_US, self.close_listener)

    @property
    def handshakes_finished(self) -> bool:
        """Whether no more connections can be established, as far as this process controls that."""
        if self.handshakes_stopped_at_us is None:
            return not self.owns_listener
        return self.loop.now - self.handshakes_stopped_at_us >= HANDSHAKE_US

    def abandon_listener(self) -> None:
        """Close the listener as the process ends.

        Waiting connections are rejected; those that cannot be accepted for that are counted.
        """
        if self.listening_socket and not self.accepts_elsewhere:
            self.is_leaving = True
            self.admissions_left = 0
            if self.owns_listener:
                stop_handshakes(self.listening_socket)
            if not any(self.accept_waiting(CLOSING_BACKLOG) for _ in range(FINAL_ACCEPT_ROUNDS)):
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

    # --- accepting

    def accept(self, mask: int = READ) -> None:
        """Accept the connections that are waiting; called by the loop."""
        self.accept_waiting()

    def accept_waiting(self, max_accepts: int = MAX_ACCEPTS_PER_TURN) -> bool:
        """Accept waiting connections, `max_accepts` of them at most.

        Returns:
            Whether the backlog was seen empty.
        """
        begun_us = self.loop.clock()
        for _ in range(max_accepts):
            if not self.listening_socket:
                return True
            if not self.is_leaving and self.loop.clock() - begun_us >= MAX_ACCEPTING_US:
                return False
            if not self.is_leaving and not self.has_descriptor_for_client():
                self.pause_accepting()
                return False
            try:
                sock, _ = self.listening_socket.accept()
            except BlockingIOError:
                return True
            except OSError as error:
                if error.errno == errno.ECONNABORTED:  # closed before it was accepted
                    continue
                self.recover_from_accept_error(error)
                return False
            if self.is_leaving:
                self.admit_while_leaving(sock)
            else:
                self.admit(sock)
        return False

    def has_descriptor_for_client(self) -> bool:
        """Whether one more client may be open, even if only to be rejected.

        At the limit, the oldest closing connection is closed for it.
        """
        has_descriptor = len(self.open_clients) < self.max_clients + MAX_CLOSING_CLIENTS
        return has_descriptor or self.close_oldest_closing()

    def recover_from_accept_error(self, error: OSError) -> None:
        """Free a descriptor if the system has none left, otherwise pause accepting.

        The connection is still waiting, so retrying at once would be a busy loop.
        """
        is_short = error.errno in OUT_OF_RESOURCES_ERRNOS
        if not (is_short and self.free_descriptor()):
            self.pause_accepting()

    def free_descriptor(self) -> bool:
        """Close a connection that is not in use; return whether there was one."""
        return (
            self.close_unneeded()
            or self.handler.close_idle_connection()
            or self.close_oldest_closing()
        )

    def admit(self, sock: socket.socket) -> None:
        """Serve a client, or reject it with 503 if there is no capacity.

        If it were left in the backlog instead, the kernel would accept its request and nothing
        would answer it.
        """
        if self.has_capacity():
            self.serve(sock)
        else:
            self.open(sock).reject(503)

    def admit_while_leaving(self, sock: socket.socket) -> None:
        """Serve a client during shutdown, or reject it at once.

        A rejected client does not keep a descriptor above the limit.
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
        """Add an accepted connection to the open clients, and count it."""
        client = self.make_client(self, sock)
        self.open_clients[client] = None
        self.counts.connections_accepted += 1
        return client

    def serve(self, sock: socket.socket) -> None:
        """Serve a new client, and read its first request."""
        client = self.open(sock)
        self.await_request(client)
        client.conn.on_ready(READ)  # the request has usually arrived already

    def adopt_connection(self, sock: socket.socket) -> None:
        """Adopt a connection without a request in progress from another process."""
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
