"""A simulated host's end of an HTTP/1.1 connection from a balancer."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING

from orchidgap.http1.messages import Message
from orchidgap.http1.readers import RequestReader
from orchidgap.http1.writers import parse_seconds
from orchidgap.simulation.host_job import HostJob
from orchidgap.simulation.lateness import SentTimeout
from orchidgap.simulation.observations import (
    LARGE_BODY_BYTES,
    ClientAttempt,
    HostAttempt,
    body_fingerprint,
)
from orchidgap.simulation.timed_connection import TimedConnection

if TYPE_CHECKING:
    from orchidgap.simulation.servers import SimulatedHost

PIECE_BYTES = 16_384  # size of the writes of a large answer
PROBE_TARGETS = (b"/alive", b"/metrics/load")
MISS = b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\nCache-Result: miss\r\n\r\n"
INVALID = b"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"
BODY_HEADS = {
    "length": b"Content-Length: %d",
    "chunks": b"Transfer-Encoding: chunked",
    "close": b"Connection: close",
}


def changed_parts(message: Message, sent: ClientAttempt) -> list[str]:
    """Return the names of the parts of a request that differ from what its client sent."""
    idempotency_key = message.fields.get(b"idempotency-key", b"")
    is_changed = {
        "method or target": message.method + b" " + message.target != sent.start_line,
        "idempotency key": idempotency_key != sent.idempotency_key,
        "body": body_fingerprint(message.body) != body_fingerprint(sent.body),
    }
    return [part for part, changed in is_changed.items() if changed]


class ServerConnection:
    """One connection, with at most one request at a time.

    Attributes:
        host: The host.
        balancer: The name of the balancer that opened the connection.
        reader: Parses requests.
        job: The request in progress, None between requests.
        first_byte_at_us: When the first byte of a request arrived.
        idle_since_us: When the connection was accepted or its last answer written.
        streaming: The attempt whose large answer is being written.
        unsent_body: The part of that answer that is not written yet.
        body_form: How the end of that answer is marked, a key of `BODY_HEADS`.
        is_beyond_limit: The host's connections are at their limit: it rejects a request and closes.
        conn: The socket with its buffers.
    """

    __slots__ = (
        "balancer",
        "body_form",
        "conn",
        "first_byte_at_us",
        "host",
        "idle_since_us",
        "is_beyond_limit",
        "job",
        "reader",
        "streaming",
        "unsent_body",
    )

    def __init__(self, host: SimulatedHost, sock: socket.socket, balancer: str) -> None:
        """Use an accepted socket."""
        self.host = host
        self.balancer = balancer
        self.reader = RequestReader()
        self.job: HostJob | None = None
        self.first_byte_at_us = 0
        self.idle_since_us = host.loop.now
        self.streaming: HostAttempt | None = None
        self.unsent_body = b""
        self.body_form = ""
        self.is_beyond_limit = False
        self.conn = TimedConnection(host.loop, sock, self, with_timestamps=True)

    # --- requests

    def on_connected(self) -> None:
        """Do nothing: the connection was open when it was accepted."""

    def on_data(self, view: memoryview) -> None:
        """Process received bytes of a request."""
        reader = self.reader
        if not reader.started:
            # the kernel's receive time, as this process may have been stalled before the read
            self.first_byte_at_us = self.conn.received_at_us
        reader.feed(view)
        if self.job:
            return  # a second request during the first is not processed
        if reader.message.error_status:
            self.host.loop.call_later(self.host.one_way_us(self.balancer), self.close)
        elif reader.message.complete:
            self._on_request()

    def _on_request(self) -> None:
        """Process a complete request: answer a probe, or record an attempt and start its job."""
        host = self.host
        message = self.reader.message
        invariant_checker = host.environment.invariant_checker
        now_us = self.conn.received_at_us
        request_id = message.fields.get(b"request-id", b"")
        if message.target in PROBE_TARGETS or not request_id:
            self.write_answer(MISS)
            return
        attempt = invariant_checker.on_host_attempt(
            request_id, host.id, host.deduplication_group(), self.first_byte_at_us, now_us
        )
        if attempt is None:
            self.write_answer(INVALID)
            return
        if message.body_size > LARGE_BODY_BYTES:
            invariant_checker.large_bodies += 1
        for part in changed_parts(message, attempt.client_attempt):
            text = f"{request_id.decode()}: {part} differs from what its client sent"
            invariant_checker.record_breach("lost", now_us, text)
        self._check_sent_timeout(attempt, message)
        self._check_departure(attempt)
        self.job = HostJob(self, attempt, message.fields.get(b"idempotency-key", b""))
        host.loop.call_later(host.one_way_us(self.balancer), host.receive, self.job)

    def _check_sent_timeout(self, attempt: HostAttempt, message: Message) -> None:
        """Check the `Request-Timeout` of an attempt against its client's remaining time.

        Attempts are not checked if the balancer was paused or a relay delayed its data since the
        request arrived, as they then arrive later than they were written. Resent requests are not
        checked either: their timeout is the remaining time when the client dialled again, which may
        be long before it wrote the request.
        """
        sent = attempt.client_attempt
        sent_timeout_us = parse_seconds(message.fields.get(b"request-timeout", b""))
        if sent_timeout_us is None or sent.was_resent:
            return
        environment = self.host.environment
        stopped_until_us = environment.last_pause_end_us(sent.balancer)
        faulty_until_us = environment.link_faulty_until_us(sent.balancer, self.host.id)
        if max(stopped_until_us, faulty_until_us) > sent.arrived_at_us:
            return
        who = f"{sent.id.decode()} from {sent.balancer} to {self.host.id}"
        sent_timeout = SentTimeout(sent, attempt.first_byte_at_us, sent_timeout_us, who)
        environment.invariant_checker.lateness.on_sent_timeout(sent_timeout)

    def _check_departure(self, attempt: HostAttempt) -> None:
        """Check that an attempt was not sent after its client had closed its connection."""
        environment = self.host.environment
        sent = attempt.client_attempt
        pauses = environment.balancers[sent.balancer].pauses
        who = f"{sent.id.decode()} from {sent.balancer} to {self.host.id}"
        environment.invariant_checker.departures.on_host_attempt(attempt, pauses, who)

    # --- answers

    def write_answer(self, *parts: bytes) -> None:
        """Write the rest of an answer, if there is any, and wait for the next request."""
        self.reader.advance()
        self.idle_since_us = self.host.loop.now
        if parts:
            self.conn.send(*parts)

    def start_large_answer(self, attempt: HostAttempt, body: bytes, bytes_per_s: int) -> None:
        """Write a large answer, limited to `bytes_per_s` unless that is 0.

        How its end is marked is drawn from the ways that HTTP has.
        """
        self.body_form = self.host.environment.rng.choice(tuple(BODY_HEADS))
        head = BODY_HEADS[self.body_form]
        if self.body_form == "length":
            head = head % len(body)
        self.streaming = attempt
        self.unsent_body = body
        attempt.streaming = True
        self.conn.on_drained = lambda: self._write_more(bytes_per_s)
        self.conn.send(b"HTTP/1.1 200 OK\r\n%b\r\nCache-Result: hit\r\n\r\n" % head)
        if not self.conn.write_buffer:
            self._write_more(bytes_per_s)

    def _write_more(self, bytes_per_s: int) -> None:
        while self.unsent_body and self._can_write():
            piece = self.unsent_body[:PIECE_BYTES]
            self.unsent_body = self.unsent_body[PIECE_BYTES:]
            if self.body_form == "chunks":
                self.conn.send(b"%x\r\n" % len(piece), piece, b"\r\n")
            else:
                self.conn.send(piece)
            if bytes_per_s and self.unsent_body:
                delay_us = len(piece) * 1_000_000 // bytes_per_s
                if self.streaming:
                    self.streaming.writing_paused_us += delay_us
                self.host.loop.call_later(delay_us, self._write_more, bytes_per_s)
                return
        if self.streaming and not self.unsent_body and self._can_write():
            self._end_large_answer(self.streaming)

    def _can_write(self) -> bool:
        return self.conn.is_open and not self.conn.write_buffer

    def _end_large_answer(self, attempt: HostAttempt) -> None:
        self.streaming = None
        self.conn.on_drained = None
        attempt.streaming = False
        if self.body_form == "close":
            self.close()
        elif self.body_form == "chunks":
            self.write_answer(LAST_CHUNK)
        else:
            self.write_answer()

    # --- its end

    def on_closed(self, reason: str) -> None:
        """Record that an attempt in progress was dropped: the connection was closed or broke."""
        if self.job:
            invariant_checker = self.host.environment.invariant_checker
            invariant_checker.on_attempt_dropped(self.job.attempt, self.host.loop.now)
        self.host.connections.pop(self, None)

    def close(self) -> None:
        """Close the connection from the host's side; an unfinished answer is cut off."""
        if self.streaming:
            self.streaming.streaming = False
            self.streaming.was_broken_off = True
        if self.conn.is_open:
            self.conn.close()
            self.on_closed("")
