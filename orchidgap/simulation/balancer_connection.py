"""A simulated client's end of an HTTP/1.1 connection to a balancer."""

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
    awaits_unread_record,
    classify_request_end,
)
from orchidgap.simulation.timed_connection import TimedConnection

# time to wait for an answer after the client timeout or the answer's last byte so far
OVERDUE_US = 3_000_000
# a connection that took longer than this to open is not used for a first request
MAX_UNUSED_US = 2_000_000
PIECE_BYTES = 16_384  # size of the writes of a large body
# time for a stalled balancer process to record the bytes that it found unread after it had shut
# down its side of a connection
UNREAD_RECORD_TIMEOUT_US = 1_000_000
UNREAD_RECORD_POLL_US = 50_000
CLOSED = "closed"
STATUS_UNKNOWN_CLASS = 404
STATUS_FAILED = 500


class ConnectionOwner(Protocol):
    """The interface of the clients that their connections use."""

    environment: Environment
    plan: Plan
    loop: Loop
    rng: Random
    idle: dict[str, list[BalancerConnection]]
    connections: dict[str, dict[BalancerConnection, None]]

    def send_attempt(
        self, attempt: ClientAttempt, message: tuple[bytes, ...], balancer: str, fresh: bool = False
    ) -> None:
        """Send a request on an idle connection, or on a new one with `fresh`."""

    def resend(self, attempt: ClientAttempt, message: tuple[bytes, ...], balancer: str) -> None:
        """Resend a request that raced a close, on a new connection and with its remaining time."""

    def on_outcome(self, attempt: ClientAttempt, status: int, retry_after_us: int) -> None:
        """Handle the end of an attempt; `status` is 0 if it has no answer."""

    def on_refused(self, attempt: ClientAttempt, balancer: str) -> None:
        """Handle a refused connection."""

    def on_unknown_class(self, attempt: ClientAttempt) -> None:
        """Report that the balancer does not know the attempt's request class."""

    def on_overdue(self, connection: BalancerConnection, attempt: ClientAttempt) -> None:
        """Stop waiting for an answer."""


def is_up(sock: socket.socket) -> bool:
    """Return whether the connection is already established.

    >>> client_end, balancer_end = socket.socketpair()
    >>> with client_end, balancer_end, socket.socket() as unconnected:
    ...     is_up(client_end), is_up(unconnected)
    (True, False)
    """
    try:
        sock.getpeername()
    except OSError:
        return False
    return True


class BalancerConnection:
    """One connection, with at most one request at a time.

    Attributes:
        clients: The clients that it belongs to.
        balancer: The balancer's name.
        incarnation: The balancer's incarnation that accepted the connection.
        attempt: The request in progress, None between requests.
        message: The encoded request in progress.
        number: The network's number of the connection, the same at both ends.
        dialled_at_us: Start of the loop turn that opened it, so no later than the actual dial.
        write_began_us: When the first byte of the request in progress was about to be written.
        request_count: Requests that were started on it.
        unsent_body: The part of a large request body that is not written yet.
        bytes_per_s: The rate of a slow client, 0 for no limit.
        last_byte_at_us: When the last byte of an answer was received.
        was_closed_at_write: The balancer had closed its end when the request was written.
        was_up_at_dial: The connection was established within the call that dialled it.
        overdue_timer: Ends the wait for an answer; cancelled when the answer is complete.
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
        """Use a socket that is connected or, with `opening`, still connecting."""
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
        self.dialled_at_us = clients.loop.now  # this process may have stalled after the dial
        self.write_began_us = 0
        self.was_up_at_dial = is_up(sock)
        self.overdue_timer: Timer | None = None
        self.conn = TimedConnection(clients.loop, sock, self, opening=opening, with_timestamps=True)
        clients.connections[balancer][self] = None

    # --- writing a request

    def start(self, attempt: ClientAttempt, message: tuple[bytes, ...]) -> None:
        """Write a request: its head and, if it has one, its body."""
        self.attempt = attempt
        self.message = message
        attempt.write_started_us = self.clients.loop.clock()
        self.write_began_us = attempt.write_started_us
        attempt.arrived_at_us = 0
        self.request_count += 1
        self._draw_rate()
        if len(message) > 1 and len(message[1]) > LARGE_BODY_BYTES:
            self._start_large(attempt, message)
            return
        self.conn.send(*message)
        if self.attempt is attempt and not self.conn.connecting:
            self.on_request_written()

    def _draw_rate(self) -> None:
        bodies = self.clients.plan.large_bodies
        is_slow = (
            bool(bodies.slow_reader_ratio) and self.clients.rng.random() < bodies.slow_reader_ratio
        )
        self.bytes_per_s = round(bodies.slow_rate_kb * 1_000) if is_slow else 0

    def _start_large(self, attempt: ClientAttempt, message: tuple[bytes, ...]) -> None:
        self.unsent_body = message[1]
        self.conn.on_drained = self.send_more_body
        self.conn.send(message[0])
        is_in_progress = self.attempt is attempt
        if is_in_progress and not self.conn.connecting and not self.conn.write_buffer:
            self.send_more_body()

    def send_more_body(self) -> None:
        """Write more pieces of a large body."""
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

    def on_connected(self) -> None:
        """Use the established connection, unless that took longer than `MAX_UNUSED_US`.

        That happens when this process was stalled: the balancer may have closed the idle connection
        in the meantime.
        """
        attempt = self.attempt
        self.update_incarnation(attempt)
        if attempt and self.clients.loop.clock() - attempt.write_started_us > MAX_UNUSED_US:
            self.close()
            self.clients.send_attempt(attempt, self.message, self.balancer, fresh=True)
            return
        self.write_began_us = self.clients.loop.clock()  # buffered data is written after this call
        if self.unsent_body:
            self.send_more_body()
        elif attempt:
            self.on_request_written()

    def update_incarnation(self, attempt: ClientAttempt | None) -> None:
        """Set the incarnation that accepted the connection; it may be a later one than was dialled.

        The kernel retransmits a dropped SYN after a second, and the balancer may have been
        restarted by then.
        """
        if self.was_up_at_dial:
            return
        self.incarnation = self.clients.environment.incarnation_of(self.balancer)
        if attempt:
            attempt.incarnation = self.incarnation

    def on_request_written(self) -> None:
        """Start the timeout of a request whose last byte has been written."""
        attempt = self.attempt
        if attempt is None:
            return
        clients = self.clients
        # queried right after the write: a close that arrives later did not race this request
        self.was_closed_at_write = self.conn.peer_has_closed()
        # the loop's time may be much earlier, as the turn may have started long before this write
        now_us = clients.loop.clock()
        timeout_us = milliseconds_to_us(attempt.operation.request_class.client_timeout_ms)
        attempt.arrived_at_us = now_us
        if not attempt.was_resent:  # a resent request keeps its deadline
            attempt.deadline_us = now_us + timeout_us
        overdue_in_us = max(0, attempt.deadline_us - now_us) + OVERDUE_US
        attempt.max_attempts = clients.environment.max_attempts_at(now_us)
        clients.environment.invariant_checker.on_client_attempt(attempt)
        self.overdue_timer = clients.loop.call_later(
            overdue_in_us, clients.on_overdue, self, attempt
        )

    # --- reading an answer

    def on_data(self, view: memoryview) -> None:
        """Process received bytes of an answer."""
        reader = self.reader
        # the kernel's receive time, as this process may have been stalled before the read
        received_at_us = self.conn.received_at_us
        if self.attempt is None:
            self.clients.environment.invariant_checker.on_extra_bytes(None, received_at_us)
            self.close()
            return
        reader.feed(view)
        self.last_byte_at_us = received_at_us
        if not self.attempt.first_answer_byte_us:
            self.attempt.first_answer_byte_us = received_at_us
        if self.unsent_body:  # answered before the whole request was sent: drop the rest
            self.unsent_body = b""
            self.conn.on_drained = None
            self.on_request_written()
        if self.bytes_per_s and not reader.message.complete:
            self._pause_reading(len(view))
        if reader.message.complete:
            self._on_answer(self.attempt, reader.message, received_at_us)
        elif reader.message.error_status:
            self.conn.fail("invalid HTTP answer")

    def _pause_reading(self, byte_count: int) -> None:
        self.conn.pause_reading(True)
        delay_us = byte_count * 1_000_000 // self.bytes_per_s
        if self.attempt:
            self.attempt.reading_paused_us += delay_us
        self.clients.loop.call_later(delay_us, self.conn.pause_reading, False)

    def _on_answer(self, attempt: ClientAttempt, message: Message, received_at_us: int) -> None:
        """Process a complete answer."""
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

    def on_closed(self, reason: str) -> None:
        """Classify the request in progress when the connection ends for this `reason`."""
        clients = self.clients
        attempt = self.attempt
        self.attempt = None
        self._forget()
        if attempt is None or attempt.status or attempt.abandoned:
            return
        facts = self._facts_of_end(attempt, reason)
        if awaits_unread_record(facts):
            attempt.incarnation = NO_PROCESS  # a later end of the process is no excuse
            self._await_unread_record(attempt, facts, clients.loop.now + UNREAD_RECORD_TIMEOUT_US)
        else:
            self._handle_request_end(attempt, facts)

    def _await_unread_record(
        self, attempt: ClientAttempt, facts: ConnectionEndFacts, wait_until_us: int
    ) -> None:
        """Classify the request once the balancer has recorded unread bytes, or after a timeout."""
        loop = self.clients.loop
        facts = facts._replace(
            close_record=self._close_record(), was_seen_by_host=bool(attempt.host_attempts)
        )
        if awaits_unread_record(facts) and loop.now < wait_until_us:
            loop.call_later(
                UNREAD_RECORD_POLL_US, self._await_unread_record, attempt, facts, wait_until_us
            )
        else:
            self._handle_request_end(attempt, facts)

    def _handle_request_end(self, attempt: ClientAttempt, facts: ConnectionEndFacts) -> None:
        """Resend the request if its connection's end permits, else report it to the checker."""
        clients = self.clients
        end = classify_request_end(facts)
        if end is RequestEnd.RACED_CLOSE and attempt.was_resent:
            end = RequestEnd.LOST if attempt.arrived_at_us else RequestEnd.NOT_ACCEPTED
        if end is RequestEnd.PROCESS_KILLED:
            attempt.abandoned = True
            clients.on_outcome(attempt, 0, 0)
        elif end is RequestEnd.RACED_CLOSE:
            clients.resend(attempt, self.message, self.balancer)
        elif end is RequestEnd.NOT_ACCEPTED:
            self._on_not_accepted(attempt)
        else:
            self._report_end(attempt, end)
            clients.on_outcome(attempt, STATUS_FAILED, 0)

    def _facts_of_end(self, attempt: ClientAttempt, what: str) -> ConnectionEndFacts:
        """Return the known facts about the request and the end of its connection."""
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
        """Return the balancer's record of how it closed this connection, if there is one."""
        environment = self.clients.environment
        return environment.close_record(self.balancer, self.number, self.dialled_at_us)

    def _send_on_new_connection(self, attempt: ClientAttempt) -> None:
        """Send a request that was not fully written on a new connection."""
        self.clients.environment.invariant_checker.failed_connections += 1
        self.clients.send_attempt(attempt, self.message, self.balancer, fresh=True)

    def _on_not_accepted(self, attempt: ClientAttempt) -> None:
        """Handle a connection that failed or ended before the request was fully written."""
        if self.request_count > 1:
            self._send_on_new_connection(attempt)
            return
        invariant_checker = self.clients.environment.invariant_checker
        invariant_checker.failed_connections += 1
        if self.conn.connecting or attempt.was_resent:
            self.clients.on_refused(attempt, self.balancer)
            return
        invariant_checker.cut_while_written += 1
        self.clients.on_outcome(attempt, STATUS_FAILED, 0)

    def _report_end(self, attempt: ClientAttempt, end: RequestEnd) -> None:
        """Report a request whose connection ended before its answer was complete."""
        now_us = self.clients.loop.now
        invariant_checker = self.clients.environment.invariant_checker
        if end is RequestEnd.TRUNCATED:
            invariant_checker.on_truncated_answer(attempt, now_us)
        elif self.reader.started:
            invariant_checker.on_unreadable_answer(attempt, now_us)
        else:
            invariant_checker.on_connection_lost(attempt, now_us)

    def abandon(self) -> None:
        """Close it during a request, as a client does that gives up."""
        self.attempt = None
        if self.overdue_timer:
            self.overdue_timer.cancel()
        self.close()

    def close(self) -> None:
        """Close it without any notification."""
        self._forget()
        self.conn.close()

    def _forget(self) -> None:
        self.clients.connections[self.balancer].pop(self, None)
        idle = self.clients.idle[self.balancer]
        if self in idle:
            idle.remove(self)
