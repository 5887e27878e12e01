"""One pipelined connection to a slot server, which answers commands in the order written."""

from __future__ import annotations

import socket
from collections import deque
from collections.abc import Callable
from typing import Protocol

from orchidgap.decisions.records import AttemptOutcome
from orchidgap.net.addresses import format_address
from orchidgap.net.attempt_failure import AttemptFailure, SendProgress, connect_failure_cause
from orchidgap.net.connection import Connection
from orchidgap.net.loop import Loop, Timer
from orchidgap.net.upstream_attempt import UpstreamAttempt
from orchidgap.resp.reader import RespReader
from orchidgap.resp.redirects import Redirect, parse_redirect
from orchidgap.resp.writers import encode_command

# Error replies that guarantee that the command was not executed.
NOT_EXECUTED_ERRORS = (
    b"-TRYAGAIN",
    b"-CLUSTERDOWN",
    b"-LOADING",
    b"-MASTERDOWN",
    b"-READONLY",
    b"-BUSY ",
)
ASKING = encode_command(b"ASKING")
PUSH = b">"


class SlotServerPool(Protocol):
    """The part of a pool that its connections use."""

    @property
    def loop(self) -> Loop:
        """The event loop of the pool."""

    @property
    def connect_timeout_us(self) -> int:
        """The limit for establishing a connection, in microseconds."""

    @property
    def secret(self) -> tuple[bytes, ...]:
        """Arguments of AUTH; empty if the servers require no authentication."""

    @property
    def on_redirect(self) -> Callable[[Redirect], None]:
        """The callback for each redirection."""

    @property
    def on_map_mismatch(self) -> Callable[[], None]:
        """The callback for signs that the slot map is out of date."""

    def forget(self, connection: SlotServerConnection) -> None:
        """Removes a closed connection."""


class ExpectedAnswer:
    """One outstanding answer of a connection.

    Attributes:
        attempt: the attempt that the answer is for; None if the attempt was abandoned or the
            command belongs to no attempt (AUTH, ASKING).
        start: offset of the command's first byte in the connection's output.
        end: offset after the command's last byte.
    """

    __slots__ = ("attempt", "end", "start")

    def __init__(self, attempt: UpstreamAttempt | None, start: int, end: int) -> None:
        """Stores the attempt and the byte range of its command."""
        self.attempt = attempt
        self.start = start
        self.end = end


class SlotServerConnection:
    """A connection with its outstanding answers.

    Attributes:
        pool: the pool of its host.
        expected: outstanding answers, in the order in which they will arrive.
        unstarted: attempts to write once the connection is established, in order.
        is_up: the connection is established, and attempts are written at once.
        bytes_queued: bytes passed to `conn` so far, whether written or buffered.
        received_at_us: when bytes last arrived, or when a command was written with no answer
            outstanding, whichever is later.
    """

    __slots__ = (
        "bytes_queued",
        "conn",
        "expected",
        "is_up",
        "loop",
        "pool",
        "reader",
        "received_at_us",
        "timer",
        "unstarted",
    )

    def __init__(self, pool: SlotServerPool, sock: socket.socket) -> None:
        """Starts on a socket that is still connecting."""
        self.pool = pool
        self.loop = pool.loop
        self.reader = RespReader()
        self.expected: deque[ExpectedAnswer] = deque()
        self.unstarted: list[UpstreamAttempt] = []
        self.is_up = False
        self.bytes_queued = 0
        self.received_at_us = self.loop.now
        self.conn = Connection(self.loop, sock, self, opening=True)
        self.timer: Timer | None = self.loop.call_later(
            pool.connect_timeout_us, self.on_closed, "connect timeout"
        )
        if pool.secret:
            self.write(None, encode_command(b"AUTH", *pool.secret))

    # --- commands

    def write(self, attempt: UpstreamAttempt | None, command: bytes) -> None:
        """Writes a command and records that its answer is outstanding."""
        if not self.expected:
            self.received_at_us = self.loop.now
        start = self.bytes_queued
        self.bytes_queued += len(command)
        self.expected.append(ExpectedAnswer(attempt, start, self.bytes_queued))
        self.conn.send(command)

    @property
    def load(self) -> int:
        """The number of outstanding answers and unwritten attempts."""
        return len(self.expected) + len(self.unstarted)

    def start_attempt(self, attempt: UpstreamAttempt) -> None:
        """Writes an attempt, or queues it until the connection is established."""
        attempt.carrier = self
        if self.is_up:
            self.write_attempt(attempt)
        else:
            self.unstarted.append(attempt)

    def write_attempt(self, attempt: UpstreamAttempt) -> None:
        """Writes an attempt, unless its owner has cancelled it."""
        if not attempt.owner.may_send(attempt.number):
            self.settle_unsent(attempt, "cancelled")
            return
        if attempt.asking:  # ASKING applies only to the next command on the same connection
            self.write(None, ASKING)
        if self.conn.is_open:
            self.write(attempt, attempt.head)
        else:
            self.settle_unsent(attempt, "broken")

    def settle_unsent(self, attempt: UpstreamAttempt, cause: str) -> None:
        """Notifies an attempt, after the current call has returned, that nothing was written."""
        attempt.carrier = None
        failure = AttemptFailure(SendProgress.UNSENT, cause)
        self.loop.call_soon(attempt.settle, failure.outcome)

    def drop(self, attempt: UpstreamAttempt) -> SendProgress:
        """Abandons an attempt and returns how much of it was written.

        Its answer is discarded if it arrives; other commands on the connection are not affected.
        Bytes in the write buffer are still written, so the command may still execute.
        """
        if attempt in self.unstarted:
            self.unstarted.remove(attempt)
            return SendProgress.UNSENT
        for answer in self.expected:
            if answer.attempt is attempt:
                answer.attempt = None
                break
        return SendProgress.COMPLETE

    def send_progress(self, answer: ExpectedAnswer) -> SendProgress:
        """Returns how much of a command has been written to the socket."""
        if self.conn.bytes_written >= answer.end:
            return SendProgress.COMPLETE
        if self.conn.bytes_written > answer.start:
            return SendProgress.PARTIAL
        return SendProgress.UNSENT

    def on_connected(self) -> None:
        """Starts writing once the connection is established."""
        self.cancel_timer()
        if self.loop.is_stalled:
            # The server may be draining by now, and the host list that reports it may be unread.
            self.loop.call_next_turn(self.start)
        else:
            self.start()

    def start(self) -> None:
        """Writes the attempts that were queued until the connection was established."""
        self.is_up = True
        waiting = self.unstarted
        self.unstarted = []
        for attempt in waiting:
            self.write_attempt(attempt)

    def cancel_timer(self) -> None:
        """Cancels the connect timer, if it is running."""
        if self.timer:
            self.timer.cancel()
            self.timer = None

    # --- answers

    def on_data(self, view: memoryview) -> None:
        """Reads answers from the server's bytes and settles their attempts."""
        self.reader.feed(view)
        self.received_at_us = self.loop.now
        while (item := self.reader.read_item()) is not None:
            if item[:1] == PUSH:  # a push message answers no command
                continue
            if not self.expected:
                # Later answers could no longer be matched to their commands.
                self.on_closed("unexpected answer")
                return
            answer = self.expected.popleft()
            if answer.attempt:
                self.settle(answer.attempt, item)
            if not self.conn.is_open:
                return
        if self.reader.error:
            self.on_closed("malformed answer")

    def settle(self, attempt: UpstreamAttempt, item: bytes) -> None:
        """Passes an answer to its attempt; reports redirections and refusals to the pool."""
        if redirect := parse_redirect(item):
            self.pool.on_redirect(redirect)
            attempt.redirect_host = format_address(redirect.address)
            attempt.redirect_once = redirect.once
            attempt.settle(AttemptOutcome.REDIRECTED, item)
        elif item.startswith(NOT_EXECUTED_ERRORS):
            self.pool.on_map_mismatch()
            attempt.settle(AttemptOutcome.QUEUE_FULL, item)
        else:
            attempt.settle(AttemptOutcome.DONE, item)

    # --- closing

    def on_closed(self, reason: str) -> None:
        """Closes the connection and fails its attempts.

        A command that was written in full may have executed; any other did not execute.
        """
        cause = connect_failure_cause(reason) if self.conn.connecting else "broken"
        failures = [
            (answer.attempt, AttemptFailure(self.send_progress(answer), cause, reason))
            for answer in self.expected
        ]
        failures += [
            (attempt, AttemptFailure(SendProgress.UNSENT, cause, reason))
            for attempt in self.unstarted
        ]
        self.expected.clear()
        self.unstarted.clear()
        self.close()
        self.pool.on_map_mismatch()
        for attempt, failure in failures:
            if attempt:
                self.loop.call_soon(attempt.settle, failure.outcome)

    def close(self) -> None:
        """Closes the connection without notifying its attempts."""
        self.cancel_timer()
        self.conn.close()
        self.pool.forget(self)
