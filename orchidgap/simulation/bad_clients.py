"""Simulated clients that send invalid requests: each must get an error or a close in time."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING

from orchidgap.http1.readers import ResponseReader
from orchidgap.net.attempt_failure import AttemptFailure
from orchidgap.net.connection import Connection

if TYPE_CHECKING:
    from orchidgap.simulation.clients import Clients

ERROR_TIMEOUT_US = 3_000_000
CHUNK_BYTES = 4_096  # size of each write
# ratio of these clients that close their connection soon after they have sent the request
EARLY_CLOSE_RATIO = 0.2
EARLY_CLOSE_DELAY_US = 20_000
FIRST_ERROR_STATUS = 400

BAD_REQUESTS = (
    b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03",
    b"GET /view/k1 HTTP/1.1\r\nno colon here\r\n\r\n",
    b"GET /view/k1 HTTP/1.1\r\nX: " + b"x" * 40_000,
    b"POST /view/k1 HTTP/1.1\r\nContent-Length: 0\r\n\r\n",
    b"GET /view/k1 HTTP/1.1\r\nRequest-Timeout: 1\r\n\r\n",
    b"GET /view/k1 HTTP/1.1\r\nRequest-Id: b1\r\nRequest-Timeout: nan\r\n\r\n",
    b"GET /view/k1 HTTP/1.1\r\nRequest-Id: b2\r\nRequest-Timeout: 1\r\nContent-Length: -3\r\n\r\n",
    b"PUT /signup/k1 HTTP/1.1\r\nRequest-Id: b3\r\nRequest-Timeout: 1\r\n"
    b"Content-Length: 60000000\r\n\r\n" + b"x" * 9_000,
    b"PUT /signup/k1 HTTP/1.1\r\nRequest-Id: b4\r\nRequest-Timeout: 1\r\nContent-Length: 4\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
    b"GET /view/k2 HTTP/1.1\r\nRequest-Id: b5\r\nRequest-Timeout: 1\r\n\r\n",
    b"GET /nosuch/k1 HTTP/1.1\r\nRequest-Id: b6\r\nRequest-Timeout: 1\r\n\r\n",
    b"GET /view/k1 HTTP/1.1\r\nRequest-Id: b7\r\nRequest-Ti",
    b"",
)


class BadClient:
    """One connection with one invalid request.

    Attributes:
        text: The bytes that it sends.
        is_finished: The request was answered, or the connection is closed.
    """

    def __init__(
        self, clients: Clients, sock: socket.socket, text: bytes, closes_early: bool, opening: bool
    ) -> None:
        """Send the text, and close the connection soon after if `closes_early`."""
        self.clients = clients
        self.text = text
        self.reader = ResponseReader()
        self.is_finished = False
        self.conn = Connection(clients.loop, sock, self, opening=opening)
        clients.environment.invariant_checker.bad_requests += 1
        for start in range(0, len(text), CHUNK_BYTES):
            if self.conn.is_open:
                self.conn.send(text[start : start + CHUNK_BYTES])
        if closes_early:
            self.is_finished = True
            clients.loop.call_later(EARLY_CLOSE_DELAY_US, self.conn.close)
        clients.loop.call_later(ERROR_TIMEOUT_US, self.check_timeout)

    def on_connected(self) -> None:
        """Do nothing: the connection sends the queued bytes when it is established."""

    def on_data(self, view: memoryview) -> None:
        """Read the answer, which must be an error."""
        self.reader.feed(view)
        message = self.reader.message
        if not message.complete:
            return
        if not self.is_finished and message.status < FIRST_ERROR_STATUS:
            invariant_checker = self.clients.environment.invariant_checker
            invariant_checker.bad_served += 1
            description = f"an invalid request was answered {message.status}: {self.text[:40]!r}"
            invariant_checker.record_breach("lost", self.clients.loop.now, description)
        self.is_finished = True

    def check_timeout(self) -> None:
        """Check that the request got an error or a close, and close the connection."""
        if not self.is_finished and self.conn.is_open:
            self.clients.environment.invariant_checker.bad_ignored += 1
        self.conn.close()

    def on_closed(self, reason: str) -> None:
        """Note that the connection was closed."""
        self.is_finished = True


def send_bad_requests(clients: Clients, until_us: int, interval_us: int) -> None:
    """Send invalid requests until a time, at a mean interval in microseconds."""
    if clients.loop.now >= until_us:
        return
    environment = clients.environment
    rng = clients.rng
    balancer = clients.choose_balancer()
    if balancer:
        sock = environment.network.dial(environment.address_of(balancer))
        if not isinstance(sock, AttemptFailure):
            text = rng.choice(BAD_REQUESTS)
            closes_early = rng.random() < EARLY_CLOSE_RATIO
            BadClient(clients, sock, text, closes_early, not environment.network.virtual)
    delay_us = max(1, round(rng.expovariate(1.0) * interval_us))
    clients.loop.call_later(delay_us, send_bad_requests, clients, until_us, interval_us)
