"""One HTTP/1.1 connection to a host, which is connecting, idle, or in use by one attempt."""

from __future__ import annotations

import socket
from typing import Protocol

from orchidgap.decisions.records import AttemptOutcome
from orchidgap.http1.messages import MAX_BUFFERED_BODY_BYTES, Message
from orchidgap.http1.readers import ResponseReader
from orchidgap.http1.writers import LAST_CHUNK, encode_chunk
from orchidgap.net.attempt_failure import AttemptFailure, SendProgress, connect_failure_cause
from orchidgap.net.connection import Connection
from orchidgap.net.loop import Loop, Timer
from orchidgap.net.memory_pressure import MemoryPressure
from orchidgap.net.upstream_attempt import ResponseSink, UpstreamAttempt

# How long after a response a host may still send bytes that belong to no request.
EXCESS_DATA_WINDOW_US = 5_000
MIN_LATENCY_SAMPLES = 20  # responses after which a host's shortest latency counts as known
# The failure of a connection that was idle for no longer than this is no evidence that connections
# that have been idle for longer are broken too.
SHORT_IDLE_US = 200_000
MICROSECONDS_PER_SECOND = 1e6
OUTCOMES_BY_STATUS = {200: AttemptOutcome.DONE, 404: AttemptOutcome.CACHE_MISS}


class OwningPool(Protocol):
    """The interface of the pool that a connection belongs to.

    Attributes:
        shortest_latency_us: the shortest latency of the host's responses.
        response_count: how many responses `shortest_latency_us` is based on.
    """

    shortest_latency_us: int
    response_count: int

    @property
    def loop(self) -> Loop:
        """The event loop."""

    @property
    def memory_pressure(self) -> MemoryPressure:
        """Whether memory is short."""

    @property
    def connect_timeout_us(self) -> int:
        """How long connecting may take, in microseconds."""

    def keep_idle(self, connection: HostConnection) -> None:
        """Keeps a connection whose attempt has ended for another attempt."""

    def keep_unused(self, connection: HostConnection) -> None:
        """Keeps a connection for another attempt: nothing of the last one was written."""

    def close_all_idle(self) -> None:
        """Closes all idle connections to this host."""

    def add_streaming(self, connection: HostConnection) -> None:
        """Records that the connection has begun to stream a response."""

    def remove_streaming(self, connection: HostConnection) -> None:
        """Records that the connection no longer streams a response."""

    def forget(self, connection: HostConnection) -> None:
        """Removes a closed connection."""


class HostConnection:
    """A connection and the attempt that uses it.

    Attributes:
        pool: the pool of the connection's host.
        attempt: the attempt that uses the connection, None while it is idle.
        reader: reads the responses.
        conn: the socket with its buffers.
        idle_since_us: when the last attempt on it ended, by the loop's clock; 0 before that.
        idle_before_us: how long it had been idle when the current attempt began.
        bytes_written_at_start: bytes written before the current attempt began.
        written_at_us: when the current attempt was written.
        received_at_us: when bytes last arrived from the host, or the current attempt began.
        chunked: the request body that is being streamed is chunked.
        response_sink: receives the response while it is streamed.
        start_is_postponed: the connection is established, and its attempt is postponed to the next
            turn.
        timer: limits connecting, or the wait for the rest of a response without a length.
    """

    __slots__ = (
        "attempt",
        "bytes_written_at_start",
        "chunked",
        "conn",
        "idle_before_us",
        "idle_since_us",
        "loop",
        "pool",
        "reader",
        "received_at_us",
        "response_sink",
        "start_is_postponed",
        "timer",
        "written_at_us",
    )

    def __init__(
        self, pool: OwningPool, sock: socket.socket, attempt: UpstreamAttempt | None
    ) -> None:
        """Uses a socket: one that is connecting for an attempt, or a connected one for None."""
        self.pool = pool
        self.loop = pool.loop
        self.reader = ResponseReader()
        self.idle_since_us = 0
        self.idle_before_us = 0
        self.bytes_written_at_start = 0
        self.written_at_us = 0
        self.received_at_us = 0
        self.chunked = False
        self.start_is_postponed = False
        self.response_sink: ResponseSink | None = None
        self.attempt = attempt
        self.conn = Connection(self.loop, sock, self, opening=attempt is not None)
        self.conn.max_read_bytes = self.reader.read_size()
        self.timer: Timer | None = None
        if attempt:
            attempt.carrier = self
            timeout_us = pool.connect_timeout_us
            self.timer = self.loop.call_later(timeout_us, self.on_closed, "connect timeout")

    # --- requests

    def on_connected(self) -> None:
        """Starts the attempt, as the connection is established."""
        self.cancel_timer()
        if self.attempt and self.loop.is_stalled:
            # The host may be draining by now, and the list with that state may not have been read.
            self.start_is_postponed = True
            self.loop.call_next_turn(self.start_postponed)
        elif self.attempt:
            self.start_attempt(self.attempt)

    def start_postponed(self) -> None:
        """Starts a postponed attempt, one turn after the connection was established."""
        self.start_is_postponed = False
        if self.attempt:
            self.start_attempt(self.attempt)

    @property
    def is_unused(self) -> bool:
        """Whether no attempt has started on it, so that it can be closed without waiting."""
        return self.attempt is None or self.conn.connecting or self.start_is_postponed

    def start_attempt(self, attempt: UpstreamAttempt) -> None:
        """Writes an attempt, unless it is no longer needed.

        The connection may have been established long after the decision to send.
        """
        if not attempt.owner.may_send(attempt.number):
            self.release_unsent(attempt)
            return
        self.attempt = attempt
        attempt.carrier = self
        now = self.loop.now
        self.bytes_written_at_start = self.conn.bytes_written
        self.received_at_us = now
        self.written_at_us = now
        self.idle_before_us = now - self.idle_since_us if self.idle_since_us else 0
        bodiless = attempt.head.startswith(b"HEAD ")
        if bodiless or self.reader.bodiless:
            self.reader.new_parser(bodiless)
        else:
            self.reader.reset()
        # The clock itself is read, as this turn may have been stalled.
        timeout_us = max(1, attempt.time_left_us(self.loop.clock()))
        timeout_s = timeout_us / MICROSECONDS_PER_SECOND
        end_of_head = b"Request-Timeout: %.3f\r\n\r\n" % timeout_s
        self.conn.send(attempt.head, end_of_head, attempt.body)
        if attempt.upload and self.conn.is_open:
            self.chunked = attempt.upload.length is None
            self.conn.on_drained = attempt.upload.update_backpressure
            attempt.upload.send_to(self)

    def release_unsent(self, attempt: UpstreamAttempt) -> None:
        """Releases an attempt that is no longer needed, and of which nothing was written."""
        self.attempt = None
        attempt.carrier = None
        self.idle_since_us = self.idle_since_us or self.loop.now
        self.pool.keep_unused(self)
        failure = AttemptFailure(SendProgress.UNSENT, "cancelled")
        self.loop.call_soon(attempt.settle, failure.outcome)

    def send_body(self, parts: list[bytes], is_last: bool) -> None:
        """Writes parts of a streamed request body; `is_last` is whether it ends with them."""
        if self.chunked:
            parts = encode_chunk(parts) + ([LAST_CHUNK] if is_last else [])
        if parts and self.conn.is_open:
            self.conn.send(*parts)

    def send_progress(self) -> SendProgress:
        """Returns how much of the attempt has been written."""
        if self.conn.connecting or self.conn.bytes_written == self.bytes_written_at_start:
            return SendProgress.UNSENT
        upload = self.attempt.upload if self.attempt else None
        body_to_come = upload is not None and not upload.complete
        if self.conn.write_buffer or body_to_come:
            return SendProgress.PARTIAL
        return SendProgress.COMPLETE

    def drop(self, attempt: UpstreamAttempt) -> SendProgress:
        """Abandons the attempt, and returns how much of it was written.

        Closes the connection, as HTTP/1.1 has no other way to cancel a request.
        """
        progress = self.send_progress()
        self.close()
        return progress

    # --- responses

    def on_data(self, view: memoryview) -> None:
        """Handles bytes from the host."""
        if self.attempt is None or self.start_is_postponed:
            # The next response on this connection could belong to another request.
            self.on_closed("data without a request")
            return
        self.received_at_us = self.loop.now
        if not self.reader.started and self.precedes_request():
            self.on_closed("data too early to answer the request")
            return
        self.reader.feed(view)
        self.conn.max_read_bytes = self.reader.read_size()
        # Otherwise an answer that has arrived comes before the timers that are due.
        self.conn.set_deferrable(self.reader.reads_small_chunks)
        message = self.reader.message
        if message.error_status:
            self.on_closed("malformed response")
        elif self.response_sink:
            self.response_sink.send_body(message.take_body())
            if message.complete:
                self.finish_attempt(AttemptOutcome.DONE)
        elif message.complete:
            self.finish_attempt(outcome_of_response(message))
        elif message.head_complete:
            self.on_partial_response(self.attempt, message)

    def on_partial_response(self, attempt: UpstreamAttempt, message: Message) -> None:
        """Decides whether to wait for the rest of a response, or to stream it."""
        if message.status != 200:
            if message.is_larger_than(MAX_BUFFERED_BODY_BYTES):
                # only the status matters: the body is not read to its end
                self.finish_attempt(outcome_of_response(message))
        elif message.exceeds_buffer(self.pool.memory_pressure):
            self.start_streaming(attempt)
        elif message.content_length is None and not self.timer:
            hold_us = attempt.response_hold_us
            self.timer = self.loop.call_later(hold_us, self.start_streaming, attempt)

    def precedes_request(self) -> bool:
        """Whether the bytes that arrived cannot be the answer to the attempt.

        This is the case if they arrive directly after the last response, and sooner than this host
        ever answered: the host sent excess data after its last response, and the request was
        written before that data arrived. Used as the answer, it would reach the wrong client.
        """
        latency_us = self.received_at_us - self.written_at_us
        pool = self.pool
        latency_is_known = pool.response_count >= MIN_LATENCY_SAMPLES
        follows_response = (
            self.idle_since_us > 0 and self.idle_before_us + latency_us < EXCESS_DATA_WINDOW_US
        )
        if follows_response and latency_is_known and latency_us < pool.shortest_latency_us * 4 // 5:
            return True
        if pool.response_count:
            pool.shortest_latency_us = min(pool.shortest_latency_us, latency_us)
        else:
            pool.shortest_latency_us = latency_us
        pool.response_count += 1
        return False

    def start_streaming(self, attempt: UpstreamAttempt) -> None:
        """Streams the response from here on: it is too large to buffer, or its length is unknown.

        A response without a length is buffered only for the hold time of its attempt.
        """
        if self.attempt is not attempt or self.response_sink or self.reader.message.complete:
            return
        self.cancel_timer()
        sink = attempt.owner.start_streaming(attempt.number)
        if sink is None:
            self.on_closed("response no longer needed")
            return
        self.response_sink = sink
        self.pool.add_streaming(self)
        sink.begin_response(self.reader.message.content_length, self.conn)
        if self.response_sink:
            sink.send_body(self.reader.message.take_body())

    def finish_attempt(self, outcome: AttemptOutcome) -> None:
        """Settles the attempt: its response has arrived, or the part of it that matters."""
        attempt = self.attempt
        assert attempt
        message = self.reader.message
        body = b"".join(message.body_parts) if message.complete else b""
        attempt.load_report = message.fields.get(b"server-load", b"")
        if self.reader.bodiless:
            attempt.length = message.content_length
        reusable = self.is_reusable(attempt)
        self.release_attempt()
        if reusable:
            self.pool.keep_idle(self)
        else:
            self.close()
        attempt.settle(outcome, body)

    def is_reusable(self, attempt: UpstreamAttempt) -> bool:
        """Whether another attempt may follow: request and response are complete."""
        message = self.reader.message
        response_is_over = message.complete and message.keep_alive
        upload_is_over = attempt.upload is None or attempt.upload.complete
        nothing_is_left = not (self.reader.has_excess_data or self.conn.write_buffer)
        return response_is_over and upload_is_over and nothing_is_left

    def release_attempt(self) -> None:
        """Detaches the attempt from the connection."""
        attempt = self.attempt
        self.attempt = None
        if self.response_sink:
            self.response_sink = None
            self.pool.remove_streaming(self)
            self.conn.pause_reading(False)
        self.cancel_timer()
        if attempt and attempt.upload:
            self.conn.on_drained = None
            attempt.upload.detach(self)

    def cancel_timer(self) -> None:
        """Cancels the timer, if one is set."""
        if self.timer:
            self.timer.cancel()
            self.timer = None

    # --- the end of the connection

    def on_closed(self, reason: str) -> None:
        """Closes a connection that has failed or was closed by the host, for this `reason`."""
        attempt = self.attempt
        response_started = self.reader.started
        closed_in_order = reason == "closed"
        if attempt and closed_in_order and response_started and self.reader.on_connection_closed():
            self.finish_with_connection()
            return
        # A host that closed an idle connection has not failed.
        stale = attempt is not None and self.idle_since_us > 0 and not response_started
        cause = "broken"
        if stale:
            cause = "stale"
        elif self.conn.connecting:
            cause = connect_failure_cause(reason)
        failure = AttemptFailure(self.send_progress(), cause, reason)
        self.close()
        if stale and self.idle_before_us > SHORT_IDLE_US:
            # Connections that have been idle for longer are probably closed as well, and the next
            # attempt needs a working one.
            self.pool.close_all_idle()
        if attempt:
            # Deferred, as this may run within the decisions' own call to send.
            self.loop.call_soon(attempt.settle, failure.outcome)

    def finish_with_connection(self) -> None:
        """Finishes a response without a length, which ends with its connection."""
        message = self.reader.message
        if self.response_sink:
            self.response_sink.send_body(message.take_body())
            self.finish_attempt(AttemptOutcome.DONE)
        else:
            self.finish_attempt(outcome_of_status(message.status, False))

    def detach(self) -> None:
        """Closes the connection here without an outcome: another process continues it."""
        if self.attempt:
            self.attempt.settled = True
            self.attempt.carrier = None
            self.attempt.upload = None
        self.close()

    def close(self) -> None:
        """Closes the connection without settling its attempt."""
        self.release_attempt()
        self.conn.close()
        self.pool.forget(self)


def outcome_of_response(message: Message) -> AttemptOutcome:
    """Returns the outcome of an attempt by its response."""
    not_started = message.fields.get(b"not-started") == b"1"
    return outcome_of_status(message.status, not_started)


def outcome_of_status(status: int, not_started: bool) -> AttemptOutcome:
    """Returns the outcome of an attempt by the status of its response.

    `not_started`: the host guarantees that the request was never executed (`Not-Started: 1`).

    >>> [outcome_of_status(status, True).value for status in (200, 404, 503, 504, 500)]
    ['done', 'miss', 'full', 'full', 'error']
    >>> [outcome_of_status(status, False).value for status in (503, 400, 429)]
    ['error', 'unfit', 'error']
    """
    if status in (503, 504) and not_started:
        return AttemptOutcome.QUEUE_FULL
    if status == 400:  # the request itself is invalid: any other host would reject it too
        return AttemptOutcome.INVALID_REQUEST
    return OUTCOMES_BY_STATUS.get(status, AttemptOutcome.SERVER_ERROR)
