"""One pipelined connection to a slot server. Answers come in the order of what was written."""

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

# Errors that promise that the command was not executed.
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
    """What a connection needs of the pool that it belongs to."""

    @property
    def loop(self) -> Loop:
        """The loop that events come from."""

    @property
    def connect_timeout_us(self) -> int:
        """How long a connection may take to come up, in microseconds."""

    @property
    def secret(self) -> tuple[bytes, ...]:
        """Words for AUTH, none where the servers ask for none."""

    @property
    def on_redirect(self) -> Callable[[Redirect], None]:
        """Called with each redirection."""

    @property
    def on_doubt(self) -> Callable[[], None]:
        """Called where something does not fit the map of slots."""

    def forget(self, connection: SlotServerConnection) -> None:
        """The connection is closed."""


class ExpectedAnswer:
    """One answer that a connection waits for.

    Attributes:
        attempt: whose it is; None for one given up, and for what was sent beside attempts.
        start: bytes written on the connection before the command.
        end: bytes written with it.
    """

    __slots__ = ("attempt", "end", "start")

    def __init__(self, attempt: UpstreamAttempt | None, start: int, end: int) -> None:
        """Takes the attempt and where its command stands."""
        self.attempt = attempt
        self.start = start
        self.end = end


class SlotServerConnection:
    """A connection and the answers that it waits for.

    Attributes:
        pool: the pool of its host.
        expected: answers in the order they come.
        unstarted: attempts to be written once it is up, in their order.
        is_up: it has come up, and attempts are written as they come.
        bytes_queued: bytes handed to the connection so far.
        received_at_us: when something last arrived, or the oldest command was written.
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
        """Takes a socket that is connecting."""
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
            pool.connect_timeout_us, self.ended, "never came up"
        )
        if pool.secret:
            self.write(None, encode_command(b"AUTH", *pool.secret))

    # --- commands

    def write(self, attempt: UpstreamAttempt | None, command: bytes) -> None:
        """Writes a command and expects its answer."""
        if not self.expected:
            self.received_at_us = self.loop.now
        start = self.bytes_queued
        self.bytes_queued += len(command)
        self.expected.append(ExpectedAnswer(attempt, start, self.bytes_queued))
        self.conn.send(command)

    @property
    def load(self) -> int:
        """How many answers it waits for, or will."""
        return len(self.expected) + len(self.unstarted)

    def start_attempt(self, attempt: UpstreamAttempt) -> None:
        """Writes an attempt, or keeps it until the connection has come up."""
        attempt.carrier = self
        if self.is_up:
            self.write_attempt(attempt)
        else:
            self.unstarted.append(attempt)

    def write_attempt(self, attempt: UpstreamAttempt) -> None:
        """Writes an attempt, unless it is no longer wanted."""
        if not attempt.owner.may_send(attempt.number):
            self.settle_unsent(attempt, "cancelled")
            return
        if attempt.asking:  # on the same connection, with nothing in between
            self.write(None, ASKING)
        if self.conn.is_open:
            self.write(attempt, attempt.head)
        else:
            self.settle_unsent(attempt, "broken")

    def settle_unsent(self, attempt: UpstreamAttempt, cause: str) -> None:
        """Tells the owner of an attempt, after the call under way, that nothing was written."""
        attempt.carrier = None
        failure = AttemptFailure(SendProgress.UNSENT, cause)
        self.loop.call_soon(attempt.settle, failure.outcome)

    def drop(self, attempt: UpstreamAttempt) -> SendProgress:
        """Gives an attempt up and returns how much of it was written.

        Its answer, should it come, belongs to nobody; the others on this connection go on. What
        waits to be written is written all the same, so the command may yet execute.
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
        """How much of a command has been written."""
        if self.conn.bytes_written >= answer.end:
            return SendProgress.COMPLETE
        if self.conn.bytes_written > answer.start:
            return SendProgress.PARTIAL
        return SendProgress.UNSENT

    def opened(self) -> None:
        """The connection has come up."""
        self.cancel_timer()
        if self.loop.is_stalled:
            # the server may drain by now, and the list that tells it may wait to be read
            self.loop.call_next_turn(self.start)
        else:
            self.start()

    def start(self) -> None:
        """Writes the attempts that waited for the connection."""
        self.is_up = True
        waiting = self.unstarted
        self.unstarted = []
        for attempt in waiting:
            self.write_attempt(attempt)

    def cancel_timer(self) -> None:
        """Stops the timer, if one runs."""
        if self.timer:
            self.timer.cancel()
            self.timer = None

    # --- answers

    def received(self, view: memoryview) -> None:
        """Takes bytes from the server."""
        self.reader.feed(view)
        self.received_at_us = self.loop.now
        while (item := self.reader.read_item()) is not None:
            if item[:1] == PUSH:  # it answers nothing
                continue
            if not self.expected:
                # What this server would answer next could not be trusted.
                self.ended("spoke unasked")
                return
            answer = self.expected.popleft()
            if answer.attempt:
                self.settle(answer.attempt, item)
            if not self.conn.is_open:
                return
        if self.reader.error:
            self.ended("no proper answer")

    def settle(self, attempt: UpstreamAttempt, item: bytes) -> None:
        """Tells an attempt its answer."""
        if redirect := parse_redirect(item):
            self.pool.on_redirect(redirect)
            attempt.redirect_host = format_address(redirect.address)
            attempt.redirect_once = redirect.once
            attempt.settle(AttemptOutcome.REDIRECTED, item)
        elif item.startswith(NOT_EXECUTED_ERRORS):
            self.pool.on_doubt()
            attempt.settle(AttemptOutcome.QUEUE_FULL, item)
        else:
            attempt.settle(AttemptOutcome.DONE, item)

    # --- the end

    def ended(self, what: str) -> None:
        """The connection has ended: what was written whole may have executed, the rest never
        did.
        """
        cause = connect_failure_cause(what) if self.conn.connecting else "broken"
        failures = [
            (answer.attempt, AttemptFailure(self.send_progress(answer), cause, what))
            for answer in self.expected
        ]
        failures += [
            (attempt, AttemptFailure(SendProgress.UNSENT, cause, what))
            for attempt in self.unstarted
        ]
        self.expected.clear()
        self.unstarted.clear()
        self.close()
        self.pool.on_doubt()
        for attempt, failure in failures:
            if attempt:
                self.loop.call_soon(attempt.settle, failure.outcome)

    def close(self) -> None:
        """Closes the connection; nothing is told."""
        self.cancel_timer()
        self.conn.close()
        self.pool.forget(self)
