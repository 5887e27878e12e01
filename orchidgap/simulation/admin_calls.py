"""Stand-in operators at a balancer's admin address.

Some calls are owed an answer; other callers say nothing.
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

ANSWER_OWED_WITHIN_US = 1_000_000
SILENT_CALLER_STAYS_US = 4_000_000


def dial_admin(environment: Environment, balancer: str, command: str) -> socket.socket | None:
    """Connect to a balancer's admin address; a refusal breaks the rules, and gives None."""
    environment.invariant_checker.operator_calls += 1
    address = environment.balancers[balancer].admin_address
    dialled: socket.socket | AttemptFailure = environment.network.dial(address)
    if not isinstance(dialled, AttemptFailure):
        return dialled
    record_bad_call(environment, f"{command} at {balancer}: nobody lets it in")
    return None


def record_bad_call(environment: Environment, text: str) -> None:
    """Record that a call did not get what it is owed."""
    environment.invariant_checker.record_breach("late", environment.loop.now, f"call {text}")


class AdminCall:
    """One command at a balancer's admin address; one line is owed within a second."""

    def __init__(
        self,
        environment: Environment,
        balancer: str,
        command: str,
        sock: socket.socket,
        on_reply: Callable[[str], None],
    ) -> None:
        """Send the command; `on_reply` is called with the line, without its end."""
        loop = environment.loop
        self.environment = environment
        self.balancer = balancer
        self.command = command
        self.on_reply = on_reply
        self.line = b""
        self.settled = False
        self.conn = Connection(loop, sock, self, opening=not environment.network.virtual)
        self.conn.send(protocol.encode_command(command))
        loop.call_later(ANSWER_OWED_WITHIN_US, self._time_out)

    def opened(self) -> None:
        """The connection has come up; the command goes out by itself."""

    def received(self, view: memoryview) -> None:
        """Take bytes of the line."""
        self.line += bytes(view)
        if self.settled or not self.line.endswith(protocol.LINE_END):
            return
        self.settled = True
        reply = self.line.decode(errors="replace").strip()
        self.environment.loop.call_soon(self.on_reply, reply)
        self.conn.close_gracefully()

    def ended(self, what: str) -> None:
        """The connection ended; without an answer that breaks the rules."""
        if not self.settled:
            self._fail("its connection ended")

    def _time_out(self) -> None:
        if not self.settled:
            self._fail("no answer in time")
            self.conn.close()

    def _fail(self, why: str) -> None:
        self.settled = True
        record_bad_call(self.environment, f"{self.command} at {self.balancer}: {why}")


class SilentCaller:
    """A connection to a balancer's admin address on which nothing is ever said."""

    def __init__(self, environment: Environment, sock: socket.socket) -> None:
        """Stay for some seconds."""
        loop = environment.loop
        self.conn = Connection(loop, sock, self, opening=not environment.network.virtual)
        loop.call_later(SILENT_CALLER_STAYS_US, self.conn.close)

    def opened(self) -> None:
        """The connection has come up; nothing is said."""

    def received(self, view: memoryview) -> None:
        """The balancer may say what it likes."""

    def ended(self, what: str) -> None:
        """The balancer may close it."""


def call(environment: Environment, balancer: str, command: str, *accepted: str) -> None:
    """Send a command that is owed a line with one of these beginnings; without any, success."""

    def on_reply(reply: str) -> None:
        environment.invariant_checker.record_event(
            environment.loop.now, f"{balancer}: {command}: {reply}"
        )
        if not reply.startswith(accepted or (protocol.SUCCEEDED,)):
            record_bad_call(environment, f"{command} at {balancer}: {reply!r}")

    sock = dial_admin(environment, balancer, command)
    if sock is not None:
        AdminCall(environment, balancer, command, sock, on_reply)


def call_and_say_nothing(environment: Environment, balancer: str) -> None:
    """Connect to a balancer's admin address and say nothing."""
    sock = dial_admin(environment, balancer, command="")
    if sock is not None:
        SilentCaller(environment, sock)
