"""A stand-in client's end of a connection to a balancer, over HTTP/1.1."""

from __future__ import annotations

import socket
from random import Random
from typing import Protocol

from orchidgap.http1.messages import Message
from orchidgap.http1.readers import ResponseReader
from orchidgap.http1.writers import parse_seconds
from orchidgap.net.loop import Loop, Timer
from orchidgap.simulation.environment import Environment
from orchidgap.simulation.observations import LARGE_BODY_BYTES, NO_PROCESS, ClientAttempt
from orchidgap.simulation.plan import Plan, milliseconds_to_us
from orchidgap.simulation.request_end import (
    CloseRecord,
    ConnectionEndFacts,
    RequestEnd,
    awaits_shut_note,
    classify_request_end,
)
from orchidgap.simulation.timed_connection import TimedConnection

# after its client timeout, or the last byte of its answer, no more is waited for
OVERDUE_US = 3_000_000
# a connection that was dialled so long ago is not used for a first request
MAX_UNUSED_US = 2_000_000
PIECE_BYTES = 16_384  # of a large body that are written at once
# for a balancer's process that stood still behind its shutdown to note what it found unread
SHUT_NOTE_TIMEOUT_US = 1_000_000
SHUT_NOTE_CHECK_US = 50_000
CLOSED = "closed"
STATUS_UNKNOWN_CLASS = 404
STATUS_FAILED = 500


class ConnectionOwner(Protocol):
    """The clients, as far as their connections use them."""

    environment: Environment
    plan: Plan
    loop: Loop
    rng: Random
    idle: dict[str, list[BalancerConnection]]
    connections: dict[str, dict[BalancerConnection, None]]

    def send_attempt(
        self, attempt: ClientAttempt, message: tuple[bytes, ...], balancer: str, fresh: bool = False
    ) -> None:
        """Send a request on an idle connection or, with `fresh` always, on a new one."""

    def resend(self, attempt: ClientAttempt, message: tuple[bytes, ...], balancer: str) -> None:
        """Send what crossed an end once more, on a new connection, with the time that is left."""

    def on_outcome(self, attempt: ClientAttempt, status: int, retry_after_us: int) -> None:
        """An attempt has ended, with this answer, or with none for 0."""

    def on_refused(self, attempt: ClientAttempt, balancer: str) -> None:
        """Nothing was accepted."""

    def on_unknown_class(self, attempt: ClientAttempt) -> None:
        """Its balancer does not know its class."""

    def on_overdue(self, connection: BalancerConnection, attempt: ClientAttempt) -> None:
        """An answer is waited for no longer."""


def is_up(sock: socket.socket) -> bool:
    """Return whether the other side is connected already.

    >>> near, far = socket.socketpair()
    >>> with near, far, socket.socket() as alone:
    ...     is_up(near), is_up(alone)
    (True, False)
    """
    try:
        sock.getpeername()
    except OSError:
        return False
    return True


class BalancerConnection:
    """One connection; it carries one request at a time.

    Attributes:
        clients: Whose it is.
        balancer: The balancer's name.
        incarnation: Which of its processes was connected to.
        attempt: The request under way, None between requests.
        message: What was written for it.
        number: By which the network knows the connection, at both of its ends.
        dialled_at_us: When it was dialled, at the earliest: when the turn began that did it.
        write_began_us: When the first byte of the request under way was about to be written.
        request_count: Requests that it has carried.
        unsent_body: Of a large request, what is yet to be written.
        bytes_per_s: The pace of a slow client, 0 for as fast as it goes.
        last_byte_at_us: When the last byte of an answer came.
        was_closed_at_write: The balancer's end had been shut when the request was written.
        was_up_at_dial: It came up in the call that dialled it.
        overdue_timer: Ends the wait for an answer; cancelled once that has come.
        conn: The socket with its buffers.
    """

    __slots__ = (
        "attempt",
        "balancer",
        "bytes_per_s",
        "clients",
        "conn",
        "dialled_at_us",
        "incarnation",
        "last_byte_at_us",
        "message",
        "number",
        "overdue_timer",
        "reader",
        "request_count",
        "unsent_body",
        "was_closed_at_write",
        "was_up_at_dial",
        "write_began_us",
    )

    def __init__(
        self, clients: ConnectionOwner, balancer: str, sock: socket.socket, opening: bool
    ) -> None:
        """Take a socket that is connected, or is on its way."""
        self.clients = clients
        self.balancer = balancer
        self.incarnation = clients.environment.incarnation_of(balancer)
        self.reader = ResponseReader()
        self.attempt: ClientAttempt | None = None
        self.message: tuple[bytes, ...] = ()
        self.request_count = 0
        self.unsent_body = b""
        self.bytes_per_s = 0
        self.last_byte_at_us = 0
        self.was_closed_at_write = False
        self.number = clients.environment.network.connection_number(sock)
        self.dialled_at_us = clients.loop.now  # this process may have stood still since the dial
        self.write_began_us = 0
        self.was_up_at_dial = is_up(sock)
        self.overdue_timer: Timer | None = None
        self.conn = TimedConnection(clients.loop, sock, self, opening=opening, with_timestamps=True)
        clients.connections[balancer][self] = None

    # --- writing a request

    def start(self, attempt: ClientAttempt, message: tuple[bytes, ...]) -> None:
        """Write a request: its head, and its body if it has one."""
        self.attempt = attempt
        self.message = message
        attempt.write_started_us = self.clients.loop.clock()
        self.write_began_us = attempt.write_started_us
        attempt.arrived_at_us = 0
        self.request_count += 1
        self._draw_pace()
        if len(message) > 1 and len(message[1]) > LARGE_BODY_BYTES:
            self._start_large(attempt, message)
            return
        self.conn.send(*message)
        if self.attempt is attempt and not self.conn.connecting:
            self.on_request_written()

    def _draw_pace(self) -> None:
        bodies = self.clients.plan.large_bodies
        is_slow = (
            bool(bodies.slow_reader_ratio) and self.clients.rng.random() < bodies.slow_reader_ratio
        )
        self.bytes_per_s = round(bodies.slow_rate_kb * 1_000) if is_slow else 0

    def _start_large(self, attempt: ClientAttempt, message: tuple[bytes, ...]) -> None:
        self.unsent_body = message[1]
        self.conn.on_drained = self.send_more_body
        self.conn.send(message[0])
        is_under_way = self.attempt is attempt
        if is_under_way and not self.conn.connecting and not self.conn.write_buffer:
            self.send_more_body()

    def send_more_body(self) -> None:
        """Write the next pieces of a large body."""
        while self.unsent_body and self._can_write():
            piece = self.unsent_body[:PIECE_BYTES]
            self.unsent_body = self.unsent_body[PIECE_BYTES:]
            was_last = not self.unsent_body
            self.conn.send(piece)
            if was_last:
                break
            if self.bytes_per_s:
                delay_us = len(piece) * 1_000_000 // self.bytes_per_s
                self.clients.loop.call_later(delay_us, self.send_more_body)
                return
        is_written = not self.unsent_body and not self.conn.write_buffer
        if is_written and self.attempt and not self.attempt.arrived_at_us:
            self.conn.on_drained = None
            self.on_request_written()

    def _can_write(self) -> bool:
        return self.conn.is_open and not self.conn.write_buffer and self.attempt is not None

    def opened(self) -> None:
        """The connection has come up, and is used unless it has stood unused for long.

        That is so where this process stood still: a balancer may have closed it for silence.
        """
        attempt = self.attempt
        self.find_process(attempt)
        if attempt and self.clients.loop.clock() - attempt.write_started_us > MAX_UNUSED_US:
            self.close()
            self.clients.send_attempt(attempt, self.message, self.balancer, fresh=True)
            return
        self.write_began_us = self.clients.loop.clock()  # what was kept is written behind this call
        if self.unsent_body:
            self.send_more_body()
        elif attempt:
            self.on_request_written()

    def find_process(self, attempt: ClientAttempt | None) -> None:
        """Take note of the process that has it: one that came up late may have met the next one.

        The system repeats a first step that was dropped a second later.
        """
        if self.was_up_at_dial:
            return
        self.incarnation = self.clients.environment.incarnation_of(self.balancer)
        if attempt:
            attempt.incarnation = self.incarnation

    def on_request_written(self) -> None:
        """The last byte of the request is written: its time runs."""
        attempt = self.attempt
        if attempt is None:
            return
        clients = self.clients
        # asked of the kernel in the moment of the write: an end that comes later crossed nothing
        self.was_closed_at_write = self.conn.peer_has_closed()
        # the turn may have begun long before this write
        now_us = clients.loop.clock()
        timeout_us = milliseconds_to_us(attempt.operation.request_class.client_timeout_ms)
        attempt.arrived_at_us = now_us
        if not attempt.was_resent:  # its time goes on
            attempt.deadline_us = now_us + timeout_us
        overdue_in_us = max(0, attempt.deadline_us - now_us) + OVERDUE_US
        attempt.max_attempts = clients.environment.max_attempts_at(now_us)
        clients.environment.invariant_checker.on_client_attempt(attempt)
        self.overdue_timer = clients.loop.call_later(
            overdue_in_us, clients.on_overdue, self, attempt
        )

    # --- reading an answer

    def received(self, view: memoryview) -> None:
        """Take in a part of the answer."""
        reader = self.reader
        # the kernel's time: this process may have stood still before it read
        received_at_us = self.conn.received_at_us
        if self.attempt is None:
            self.clients.environment.invariant_checker.on_extra_bytes(None, received_at_us)
            self.close()
            return
        reader.feed(view)
        self.last_byte_at_us = received_at_us
        if not self.attempt.first_answer_byte_us:
            self.attempt.first_answer_byte_us = received_at_us
        if self.unsent_body:  # answered before all was sent: the rest does not matter any more
            self.unsent_body = b""
            self.conn.on_drained = None
            self.on_request_written()
        if self.bytes_per_s and not reader.message.complete:
            self._pause_reading(len(view))
        if reader.message.complete:
            self._on_answer(self.attempt, reader.message, received_at_us)
        elif reader.message.error_status:
            self.conn.fail("no proper answer")

    def _pause_reading(self, byte_count: int) -> None:
        self.conn.pause_reading(True)
        delay_us = byte_count * 1_000_000 // self.bytes_per_s
        if self.attempt:
            self.attempt.reading_paused_us += delay_us
        self.clients.loop.call_later(delay_us, self.conn.pause_reading, False)

    def _on_answer(self, attempt: ClientAttempt, message: Message, received_at_us: int) -> None:
        """The answer is whole."""
        self.attempt = None
        if self.overdue_timer:
            self.overdue_timer.cancel()
        clients = self.clients
        invariant_checker = clients.environment.invariant_checker
        if message.body_size > LARGE_BODY_BYTES:
            invariant_checker.large_bodies += 1
        status = message.status
        retry_after_us = parse_seconds(message.fields.get(b"retry-after", b"")) or 0
        has_excess_data = self.reader.has_excess_data
        stays_open = message.keep_alive and not has_excess_data
        invariant_checker.on_answer(attempt, status, message.body, received_at_us)
        if status == STATUS_UNKNOWN_CLASS:
            clients.on_unknown_class(attempt)
        if has_excess_data:
            invariant_checker.on_extra_bytes(attempt, received_at_us)
        self.reader.reset()
        if stays_open:
            clients.idle[self.balancer].append(self)
        else:
            self.conn.close_gracefully()
        delay_us = clients.environment.client_one_way_us()
        clients.loop.call_later(delay_us, clients.on_outcome, attempt, status, retry_after_us)

    # --- its end

    def ended(self, what: str) -> None:
        """The connection has ended; a request under way is sent again, or judged."""
        clients = self.clients
        attempt = self.attempt
        self.attempt = None
        self._forget()
        if attempt is None or attempt.status or attempt.abandoned:
            return
        facts = self._facts_of_end(attempt, what)
        if awaits_shut_note(facts):
            attempt.incarnation = NO_PROCESS  # a later end of the process excuses nothing
            self._await_shut_note(attempt, facts, clients.loop.now + SHUT_NOTE_TIMEOUT_US)
        else:
            self._handle_request_end(attempt, facts)

    def _await_shut_note(
        self, attempt: ClientAttempt, facts: ConnectionEndFacts, wait_until_us: int
    ) -> None:
        """Judge once the balancer's process has noted what it found unread, or has had the time."""
        loop = self.clients.loop
        facts = facts._replace(
            close_record=self._close_record(), was_seen_by_host=bool(attempt.host_attempts)
        )
        if awaits_shut_note(facts) and loop.now < wait_until_us:
            loop.call_later(
                SHUT_NOTE_CHECK_US, self._await_shut_note, attempt, facts, wait_until_us
            )
        else:
            self._handle_request_end(attempt, facts)

    def _handle_request_end(self, attempt: ClientAttempt, facts: ConnectionEndFacts) -> None:
        """Send again what its connection's end excuses, and tell the checker of the rest."""
        clients = self.clients
        end = classify_request_end(facts)
        if end is RequestEnd.RACED_CLOSE and attempt.was_resent:
            end = RequestEnd.LOST if attempt.arrived_at_us else RequestEnd.NOT_TAKEN
        if end is RequestEnd.PROCESS_KILLED:
            attempt.abandoned = True
            clients.on_outcome(attempt, 0, 0)
        elif end is RequestEnd.RACED_CLOSE:
            clients.resend(attempt, self.message, self.balancer)
        elif end is RequestEnd.NOT_TAKEN:
            self._on_not_taken(attempt)
        else:
            self._report_end(attempt, end)
            clients.on_outcome(attempt, STATUS_FAILED, 0)

    def _facts_of_end(self, attempt: ClientAttempt, what: str) -> ConnectionEndFacts:
        """Return what is known of the request and the end of its connection."""
        reader = self.reader
        was_reset = what != CLOSED
        answer_has_no_end = reader.started and not was_reset and reader.on_connection_closed()
        return ConnectionEndFacts(
            process_end=self.clients.environment.process_end(self.balancer, self.incarnation),
            was_written=attempt.arrived_at_us > 0,
            write_began_us=self.write_began_us,
            written_at_us=attempt.arrived_at_us,
            earlier_requests=self.request_count - 1,
            was_reset=was_reset,
            was_closed_at_write=self.was_closed_at_write,
            close_record=self._close_record(),
            was_seen_by_host=bool(attempt.host_attempts),
            answer_begun=reader.started,
            answer_is_malformed=reader.message.error_status > 0,
            answer_has_no_end=answer_has_no_end,
        )

    def _close_record(self) -> CloseRecord | None:
        """Return what the balancer's process noted as it closed this connection."""
        environment = self.clients.environment
        return environment.close_record(self.balancer, self.number, self.dialled_at_us)

    def _send_again(self, attempt: ClientAttempt) -> None:
        """Send what was never written whole on a new connection."""
        self.clients.environment.invariant_checker.failed_connections += 1
        self.clients.send_attempt(attempt, self.message, self.balancer, fresh=True)

    def _on_not_taken(self, attempt: ClientAttempt) -> None:
        """The connection ended, or never came up, before the request was written whole."""
        if self.request_count > 1:
            self._send_again(attempt)
            return
        invariant_checker = self.clients.environment.invariant_checker
        invariant_checker.failed_connections += 1
        if self.conn.connecting or attempt.was_resent:
            self.clients.on_refused(attempt, self.balancer)
            return
        invariant_checker.cut_while_written += 1
        self.clients.on_outcome(attempt, STATUS_FAILED, 0)

    def _report_end(self, attempt: ClientAttempt, end: RequestEnd) -> None:
        """Tell the checker of a request whose connection ended under it."""
        now_us = self.clients.loop.now
        invariant_checker = self.clients.environment.invariant_checker
        if end is RequestEnd.TRUNCATED:
            invariant_checker.on_truncated_answer(attempt, now_us)
        elif self.reader.started:
            invariant_checker.on_unreadable_answer(attempt, now_us)
        else:
            invariant_checker.on_connection_lost(attempt, now_us)

    def abandon(self) -> None:
        """Close it under its request: the client waits no longer."""
        self.attempt = None
        if self.overdue_timer:
            self.overdue_timer.cancel()
        self.close()

    def close(self) -> None:
        """Close it; nobody is told."""
        self._forget()
        self.conn.close()

    def _forget(self) -> None:
        self.clients.connections[self.balancer].pop(self, None)
        idle = self.clients.idle[self.balancer]
        if self in idle:
            idle.remove(self)
