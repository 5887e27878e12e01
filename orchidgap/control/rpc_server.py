"""The server of control's RPC: short JSON calls over HTTP/1.1, on the event loop."""

from __future__ import annotations

import socket
from collections.abc import Callable

import httptools
import orjson

from orchidgap.control.messages import ErrorAnswer, WireObject
from orchidgap.control.messages.base import AnswerT, RequestT, RpcMethod
from orchidgap.http1.messages import Message
from orchidgap.http1.readers import RequestReader
from orchidgap.http1.writers import response_head
from orchidgap.net.addresses import Address
from orchidgap.net.connection import Connection
from orchidgap.net.dialing import open_listener
from orchidgap.net.listener_watch import ListenerWatch
from orchidgap.net.loop import Loop

MAX_REQUEST_BYTES = 1 << 22
MAX_PIPELINED = 4  # requests that may be queued on one connection
MAX_CONNECTIONS = 4_096
MAX_ACCEPTED_AT_ONCE = 64
BACKLOG = 512
IDLE_TIMEOUT_US = 60_000_000
MAX_REASON_CHARS = 200

OnWireAnswer = Callable[[WireObject | None], None]
"""Receives the answer of a call, None if the process cannot answer at the moment."""

WireHandler = Callable[[WireObject, OnWireAnswer], None]


class UnknownCallError(Exception):
    """A call with an unknown path, or a request that is not a JSON object.

    Attributes:
        status: The HTTP status of the answer.
        path: The path that was called.
    """

    def __init__(self, status: int, path: str) -> None:
        """Create the error with its HTTP status and path."""
        super().__init__(f"no such call: {path}")
        self.status = status
        self.path = path


class RpcServerConnection:
    """One connection to the server; each call is answered before the next one starts."""

    def __init__(self, server: RpcServer, sock: socket.socket) -> None:
        """Take over a connected socket."""
        self.server = server
        self.last_active_us = server.loop.now
        self.reader = RequestReader(MAX_REQUEST_BYTES)
        self.answering = False  # whether a call is in progress
        self.conn = Connection(server.loop, sock, self)

    def on_connected(self) -> None:
        """Do nothing: an accepted socket is already connected."""

    def on_data(self, view: memoryview) -> None:
        """Process received bytes of a request."""
        self.last_active_us = self.server.loop.now
        self.reader.feed(view)
        if len(self.reader.pipelined) > MAX_PIPELINED:
            self.server.drop(self)
            return
        self._begin_call()

    def on_closed(self, reason: str) -> None:
        """Remove the connection, which has ended."""
        self.server.connections.pop(self, None)

    def _begin_call(self) -> None:
        message = self.reader.message
        if self.answering or not self.conn.is_open:
            return
        if message.error_status:
            self._refuse(message.error_status, "malformed")
        elif message.complete:
            self.answering = True
            self._dispatch(message)

    def _dispatch(self, message: Message) -> None:
        try:
            path = (httptools.parse_url(message.target).path or b"").decode()
            wire = orjson.loads(message.body) if message.body_size else {}
            self.server.dispatch(path, wire, self._on_answer)
        except UnknownCallError as error:
            self._refuse(error.status, str(error))
        except (ValueError, KeyError, TypeError, httptools.HttpParserInvalidURLError) as error:
            self._refuse(400, f"bad call: {error!r}"[:MAX_REASON_CHARS])

    def _on_answer(self, answer: WireObject | None) -> None:
        self._send(503 if answer is None else 200, answer)

    def _refuse(self, status: int, reason: str) -> None:
        self._send(status, ErrorAnswer(reason=reason).to_wire())

    def _send(self, status: int, answer: WireObject | None) -> None:
        if not self.conn.is_open:
            return
        message = self.reader.message
        reusable = message.complete and message.keep_alive and not message.error_status
        body = orjson.dumps(answer)
        version = message.version or "1.1"
        head = response_head(status, len(body), close=not reusable, version=version)
        self.conn.send(head + body)
        if not reusable:
            self.conn.close_gracefully()
            return
        self.answering = False
        self.reader.advance()
        self.server.loop.call_soon(self._begin_call)


class RpcServer:
    """Dispatches calls to handlers by path.

    Attributes:
        loop: The event loop.
        connections: All open connections.
    """

    def __init__(self, loop: Loop) -> None:
        """Create a server without handlers that does not listen yet."""
        self.loop = loop
        self.connections: dict[RpcServerConnection, None] = {}
        self._handlers: dict[str, WireHandler] = {}
        self._listener_watch: ListenerWatch | None = None
        self._close_idle()

    def add_handler(
        self,
        method: RpcMethod[RequestT, AnswerT],
        handler: Callable[[RequestT, Callable[[AnswerT | None], None]], None],
    ) -> None:
        """Register the handler of a method.

        Args:
            method: The method.
            handler: Receives the request and a callback for the answer, to be called once, with
                None if the process cannot answer at the moment.
        """

        def handle(wire: WireObject, on_wire_answer: OnWireAnswer) -> None:
            def on_answer(answer: AnswerT | None) -> None:
                on_wire_answer(None if answer is None else answer.to_wire())

            handler(method.request_type.from_wire(wire), on_answer)

        self._handlers[method.path] = handle

    def dispatch(self, path: str, wire: object, on_answer: OnWireAnswer) -> None:
        """Pass a call to its handler.

        Args:
            path: The path of the call.
            wire: The request, parsed from JSON.
            on_answer: Called once with the answer, possibly after this function has returned.

        Raises:
            UnknownCallError: The path is unknown, or the request is not a JSON object.
            KeyError, TypeError, ValueError: The request is invalid.
        """
        handler = self._handlers.get(path)
        if handler is None:
            raise UnknownCallError(404, path)
        if not isinstance(wire, dict):
            raise UnknownCallError(400, path)
        handler(wire, on_answer)

    def listen(self, address: Address) -> None:
        """Start to accept connections.

        Raises:
            OSError: The address is not available.
        """
        listener = open_listener(address, BACKLOG)
        self._listener_watch = ListenerWatch(self.loop, listener, self._accept)

    @property
    def listener(self) -> socket.socket | None:
        """The listening socket, None before `listen`."""
        return self._listener_watch.listener if self._listener_watch else None

    def drop(self, connection: RpcServerConnection) -> None:
        """Close a connection immediately."""
        connection.conn.close()
        self.connections.pop(connection, None)

    def _accept(self, mask: int) -> None:
        watch = self._listener_watch
        assert watch
        for _ in range(MAX_ACCEPTED_AT_ONCE):
            try:
                sock, _ = watch.listener.accept()
            except BlockingIOError:
                return
            except ConnectionAbortedError:  # closed by the client before it was accepted
                continue
            except OSError:  # no file descriptor is available
                watch.pause_watching()
                return
            if len(self.connections) >= MAX_CONNECTIONS:
                self.drop(min(self.connections, key=lambda oldest: oldest.last_active_us))
            self.connections[RpcServerConnection(self, sock)] = None

    def _close_idle(self) -> None:
        active_since_us = self.loop.now - IDLE_TIMEOUT_US
        for connection in list(self.connections):
            if connection.last_active_us < active_since_us:
                self.drop(connection)
        self.loop.call_later(IDLE_TIMEOUT_US // 4, self._close_idle)
