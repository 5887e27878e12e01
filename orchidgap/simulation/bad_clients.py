"""Stand-in clients that send what cannot be served: each is owed an error or a close, in time."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING

from orchidgap.http1.readers import ResponseReader
from orchidgap.net.attempt_failure import AttemptFailure
from orchidgap.net.connection import Connection

if TYPE_CHECKING:
    from orchidgap.simulation.clients import Clients

ERROR_OWED_WITHIN_US = 3_000_000
PIECE_BYTES = 4_096  # that are written at once
LEAVER_RATIO = 0.2  # of them that close at once
LEAVES_AFTER_US = 20_000
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
    """One connection with one such request.

    Attributes:
        text: What it sends.
        settled: It was answered, or has gone.
    """

    def __init__(
        self, clients: Clients, sock: socket.socket, text: bytes, leaves: bool, opening: bool
    ) -> None:
        """Send the text; one that `leaves` closes soon after."""
        self.clients = clients
        self.text = text
        self.reader = ResponseReader()
        self.settled = False
        self.conn = Connection(clients.loop, sock, self, opening=opening)
        clients.environment.invariant_checker.bad_requests += 1
        for start in range(0, len(text), PIECE_BYTES):
            if self.conn.is_open:
                self.conn.send(text[start : start + PIECE_BYTES])
        if leaves:
            self.settled = True
            clients.loop.call_later(LEAVES_AFTER_US, self.conn.close)
        clients.loop.call_later(ERROR_OWED_WITHIN_US, self.on_due)

    def opened(self) -> None:
        """Nothing: what is sent before waits in the connection."""

    def received(self, view: memoryview) -> None:
        """Take in the answer, which must be an error."""
        self.reader.feed(view)
        message = self.reader.message
        if not message.complete:
            return
        if not self.settled and message.status < FIRST_ERROR_STATUS:
            invariant_checker = self.clients.environment.invariant_checker
            invariant_checker.bad_served += 1
            what = f"a bad client was answered {message.status}: {self.text[:40]!r}"
            invariant_checker.record_breach("lost", self.clients.loop.now, what)
        self.settled = True

    def on_due(self) -> None:
        """By now it should have its error, or be closed."""
        if not self.settled and self.conn.is_open:
            self.clients.environment.invariant_checker.bad_ignored += 1
        self.conn.close()

    def ended(self, what: str) -> None:
        """Its connection was closed."""
        self.settled = True


def send_bad_requests(clients: Clients, until_us: int, interval_us: int) -> None:
    """Send one every so many microseconds in the mean, until then."""
    if clients.loop.now >= until_us:
        return
    environment = clients.environment
    rng = clients.rng
    balancer = clients.choose_balancer()
    if balancer:
        sock = environment.network.dial(environment.address_of(balancer))
        if not isinstance(sock, AttemptFailure):
            text = rng.choice(BAD_REQUESTS)
            leaves = rng.random() < LEAVER_RATIO
            BadClient(clients, sock, text, leaves, not environment.network.virtual)
    delay_us = max(1, round(rng.expovariate(1.0) * interval_us))
    clients.loop.call_later(delay_us, send_bad_requests, clients, until_us, interval_us)
