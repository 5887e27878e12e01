"""The client of control's RPC: short JSON calls over HTTP/1.1, on the event loop."""

from __future__ import annotations

import socket
from collections.abc import Callable

import orjson

from orchidgap.control.messages import WireObject
from orchidgap.control.messages.base import AnswerT, RequestT, RpcMethod
from orchidgap.http1.readers import ResponseReader
from orchidgap.net.addresses import Address
from orchidgap.net.attempt_failure import AttemptFailure
from orchidgap.net.connection import Connection
from orchidgap.net.dialing import dial
from orchidgap.net.loop import Loop, Timer

MAX_CONNECTIONS = 4  # to one address, each with one call at a time
MAX_ANSWER_BYTES = 1 << 22
MAX_WAIT_US = 10_000  # longest wait in one turn of the loop while a call is in progress

OnBody = Callable[[bytes | None], None]
"""Receives the body of an answer, None if there was no valid answer."""


class RpcClientConnection:
    """One connection, which carries one call at a time."""

    def __init__(self, client: RpcClient, sock: socket.socket) -> None:
        """Take over a socket that is connected or connecting."""
        self.client = client
        self.on_body: OnBody | None = None  # callback of the call in progress
        self.timer: Timer | None = None
        self.reader = ResponseReader(MAX_ANSWER_BYTES)
        self.conn = Connection(client.loop, sock, self, opening=True)

    def send(self, verb: str, path: str, body: bytes, on_body: OnBody) -> None:
        """Send a call; `on_body` is called once."""
        self.on_body = on_body
        self.reader.reset()
        self.timer = self.client.loop.call_later(self.client.timeout_us, self.on_closed, "timeout")
        self.conn.send(
            b"%b %b HTTP/1.1\r\nHost: control\r\nContent-Length: %d\r\n\r\n%b"
            % (verb.encode(), path.encode(), len(body), body)
        )

    def on_connected(self) -> None:
        """Do nothing: the connection buffers bytes that are sent before it is open."""

    def on_data(self, view: memoryview) -> None:
        """Process received bytes of an answer."""
        self.reader.feed(view)
        message = self.reader.message
        if message.error_status or self.on_body is None:
            self.on_closed("malformed or unexpected answer")
        elif message.complete:
            self._end_call(message.body if message.status == 200 else None, message.keep_alive)

    def on_closed(self, reason: str) -> None:
        """Abandon the connection and the call in progress."""
        if self in self.client.idle:
            self.client.idle.remove(self)
        self._end_call(None, reusable=False)

    def close(self) -> None:
        """Close the connection without a callback."""
        self.conn.close()
        self.client.connections.pop(self, None)

    def _end_call(self, body: bytes | None, reusable: bool) -> None:
        on_body, self.on_body = self.on_body, None
        if self.timer:
            self.timer.cancel()
        if reusable:
            self.client.idle.append(self)
        else:
            self.close()
        if on_body:
            on_body(body)


class RpcClient:
    """Sends calls to one address.

    A call without an answer in time counts as failed, although the server may have processed it.

    Attributes:
        loop: The event loop.
        address: The address of the server.
        timeout_us: The time limit of a call.
        connections: All open connections.
        idle: The connections without a call in progress.
    """

    def __init__(self, loop: Loop, address: Address, timeout_us: int) -> None:
        """Create a client; it connects at the first call."""
        self.loop = loop
        self.address = address
        self.timeout_us = timeout_us
        self.connections: dict[RpcClientConnection, None] = {}
        self.idle: list[RpcClientConnection] = []

    def call(
        self,
        method: RpcMethod[RequestT, AnswerT],
        request: RequestT,
        on_answer: Callable[[AnswerT | None], None],
    ) -> None:
        """Call a method.

        Args:
            method: The method to call.
            request: The request.
            on_answer: Called once, after this function has returned; with None if there was no
                valid answer.
        """

        def on_body(body: bytes | None) -> None:
            on_answer(None if body is None else _read_answer(method, body))

        self._send("PUT", method.path, orjson.dumps(request.to_wire()), on_body)

    def call_and_wait(
        self, method: RpcMethod[RequestT, AnswerT], request: RequestT
    ) -> AnswerT | None:
        """Call a method from outside the event loop; runs the loop until the answer arrives."""
        answers: list[AnswerT | None] = []
        self.call(method, request, answers.append)
        while not answers:
            self.loop.run_once(MAX_WAIT_US)
        return answers[0]

    def probe(self, path: str, on_answer: Callable[[bool], None]) -> None:
        """Send a GET request; `on_answer` receives whether the status was 200."""
        self._send("GET", path, b"", lambda body: on_answer(body is not None))

    def close(self) -> None:
        """Close all connections without calling back for calls in progress."""
        for connection in list(self.connections):
            connection.on_body = None
            connection.close()
        self.idle.clear()

    def _send(self, verb: str, path: str, body: bytes, on_body: OnBody) -> None:
        while self.idle:
            connection = self.idle.pop()
            if connection.conn.is_open and not connection.conn.is_stale():
                connection.send(verb, path, body, on_body)
                return
            connection.close()
        if len(self.connections) >= MAX_CONNECTIONS:
            self.loop.call_soon(on_body, None)
            return
        sock = dial(self.address)
        if isinstance(sock, AttemptFailure):
            self.loop.call_soon(on_body, None)
            return
        connection = RpcClientConnection(self, sock)
        self.connections[connection] = None
        connection.send(verb, path, body, on_body)


def _read_answer(method: RpcMethod[RequestT, AnswerT], body: bytes) -> AnswerT | None:
    try:
        wire: WireObject | None = orjson.loads(body)
        return None if wire is None else method.answer_type.from_wire(wire)
    except (KeyError, TypeError, ValueError):
        return None
