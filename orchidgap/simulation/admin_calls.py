"""Simulated operators at a balancer's admin address.

Some send a command that must be answered; others connect and send nothing.
"""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import TYPE_CHECKING

from orchidgap.admin import protocol
from orchidgap.net.attempt_failure import AttemptFailure
from orchidgap.net.connection import Connection

if TYPE_CHECKING:
    from orchidgap.simulation.environment import Environment

ANSWER_TIMEOUT_US = 1_000_000
SILENT_CALL_DURATION_US = 4_000_000


def dial_admin(environment: Environment, balancer: str, command: str) -> socket.socket | None:
    """Connect to a balancer's admin address; a refused connection is a breach and returns None."""
    environment.invariant_checker.operator_calls += 1
    address = environment.balancers[balancer].admin_address
    dialled: socket.socket | AttemptFailure = environment.network.dial(address)
    if not isinstance(dialled, AttemptFailure):
        return dialled
    record_failed_call(environment, f"{command} at {balancer}: connection refused")
    return None


def record_failed_call(environment: Environment, text: str) -> None:
    """Record the breach of a call without a valid answer."""
    environment.invariant_checker.record_breach("late", environment.loop.now, f"call {text}")


class AdminCall:
    """One command at a balancer's admin address; one line must be answered within a second."""

    def __init__(
        self,
        environment: Environment,
        balancer: str,
        command: str,
        sock: socket.socket,
        on_reply: Callable[[str], None],
    ) -> None:
        """Send the command; `on_reply` is called with the line without its line end."""
        loop = environment.loop
        self.environment = environment
        self.balancer = balancer
        self.command = command
        self.on_reply = on_reply
        self.line = b""
        self.is_finished = False
        self.conn = Connection(loop, sock, self, opening=not environment.network.virtual)
        self.conn.send(protocol.encode_command(command))
        loop.call_later(ANSWER_TIMEOUT_US, self._time_out)

    def on_connected(self) -> None:
        """Do nothing: the connection sends the queued command when it is established."""

    def on_data(self, view: memoryview) -> None:
        """Read bytes of the line."""
        self.line += bytes(view)
        if self.is_finished or not self.line.endswith(protocol.LINE_END):
            return
        self.is_finished = True
        reply = self.line.decode(errors="replace").strip()
        self.environment.loop.call_soon(self.on_reply, reply)
        self.conn.close_gracefully()

    def on_closed(self, reason: str) -> None:
        """Record a breach if the connection ended without an answer."""
        if not self.is_finished:
            self._fail("its connection ended")

    def _time_out(self) -> None:
        if not self.is_finished:
            self._fail("no answer in time")
            self.conn.close()

    def _fail(self, why: str) -> None:
        self.is_finished = True
        record_failed_call(self.environment, f"{self.command} at {self.balancer}: {why}")


class SilentCaller:
    """A connection to a balancer's admin address on which nothing is sent."""

    def __init__(self, environment: Environment, sock: socket.socket) -> None:
        """Keep the connection open for some seconds."""
        loop = environment.loop
        self.conn = Connection(loop, sock, self, opening=not environment.network.virtual)
        loop.call_later(SILENT_CALL_DURATION_US, self.conn.close)

    def on_connected(self) -> None:
        """Do nothing: nothing is sent."""

    def on_data(self, view: memoryview) -> None:
        """Ignore what the balancer sends."""

    def on_closed(self, reason: str) -> None:
        """Do nothing: the balancer may close the connection."""


def call(environment: Environment, balancer: str, command: str, *accepted: str) -> None:
    """Send a command; its answer must begin with one of `accepted`, by default success."""

    def on_reply(reply: str) -> None:
        environment.invariant_checker.record_event(
            environment.loop.now, f"{balancer}: {command}: {reply}"
        )
        if not reply.startswith(accepted or (protocol.SUCCEEDED,)):
            record_failed_call(environment, f"{command} at {balancer}: {reply!r}")

    sock = dial_admin(environment, balancer, command)
    if sock is not None:
        AdminCall(environment, balancer, command, sock, on_reply)


def open_silent_call(environment: Environment, balancer: str) -> None:
    """Connect to a balancer's admin address and send nothing."""
    sock = dial_admin(environment, balancer, command="")
    if sock is not None:
        SilentCaller(environment, sock)
