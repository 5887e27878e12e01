"""The listener for operators' commands.

Its descriptors are reserved, so that operators can connect when clients use all others. At the
limit, a new connection replaces the one that has been silent longest, so silent connections cannot
block operators.
"""

from __future__ import annotations

import socket
from collections.abc import Callable, Mapping

from orchidgap.admin.protocol import (
    LINE_END,
    MAX_COMMAND_BYTES,
    OPERATOR_COMMANDS,
    CommandResult,
    decode_command,
    encode_result,
    unknown_command,
)
from orchidgap.net.addresses import Address
from orchidgap.net.connection import Connection
from orchidgap.net.dialing import open_listener
from orchidgap.net.listener_watch import ListenerWatch
from orchidgap.net.loop import READ, Loop

MAX_CONNECTIONS = 12
COMMAND_TIMEOUT_US = 10_000_000  # time in which a command has to arrive completely
LISTEN_BACKLOG = 512

Command = Callable[[], tuple[bool, str]]  # returns whether it succeeded, and a short message


class AdminConnection:
    """One connection, which carries one command.

    Attributes:
        connection: The socket with its buffers.
    """

    __slots__ = ("_received", "_server", "connection")

    def __init__(self, server: AdminServer, sock: socket.socket) -> None:
        """Wait for a command on the socket."""
        self._server = server
        self._received = b""
        self.connection = Connection(server.loop, sock, self)

    def on_connected(self) -> None:
        """Do nothing: accepted connections are established already."""

    def on_data(self, view: memoryview) -> None:
        """Collect received bytes, and run the command once it is complete."""
        self._received += bytes(view[: MAX_COMMAND_BYTES + 1])
        line, line_end, _ = self._received.partition(LINE_END)
        if line_end and len(line) <= MAX_COMMAND_BYTES:
            self.answer(self._server.run_command(line))
        elif len(self._received) > MAX_COMMAND_BYTES:
            self.answer(CommandResult(False, "the call is too long"))

    def answer(self, result: CommandResult) -> None:
        """Send the result, and close the connection after it."""
        self._server.waiting.pop(self, None)
        self.connection.send(encode_result(result))
        self.connection.close_gracefully()

    def on_closed(self, reason: str) -> None:
        """Forget the connection, as it has ended."""
        self._server.waiting.pop(self, None)
        self._server.connections.pop(self, None)

    def close(self) -> None:
        """Close without an answer."""
        self.connection.close()
        self.on_closed("closed")


class AdminServer:
    """Runs commands by name.

    Attributes:
        loop: The event loop.
        connections: All open connections, the oldest first.
        waiting: The connections whose command has not arrived completely, the oldest first.
    """

    def __init__(self, loop: Loop, commands: Mapping[str, Command]) -> None:
        """Create a server for these commands, by name; it does not listen yet."""
        self.loop = loop
        self.connections: dict[AdminConnection, None] = {}
        self.waiting: dict[AdminConnection, None] = {}
        self._commands = commands
        self._listener_watch: ListenerWatch | None = None

    @property
    def listener(self) -> socket.socket | None:
        """The listening socket; None while the server does not listen."""
        return self._listener_watch.listener if self._listener_watch else None

    def listen(self, address: Address) -> None:
        """Open the listener.

        Raises:
            OSError: The address is not available.
        """
        listener = open_listener(address, LISTEN_BACKLOG)
        self._listener_watch = ListenerWatch(self.loop, listener, self._accept_all, priority=True)

    def close(self) -> None:
        """Answer the commands that wait in the backlog, and stop listening."""
        if self._listener_watch is None:
            return
        self._accept_all()
        self._listener_watch.close()
        self._listener_watch = None

    def accept(self, sock: socket.socket) -> None:
        """Serve an accepted connection."""
        if len(self.connections) >= MAX_CONNECTIONS:
            self._close_oldest()
        connection = AdminConnection(self, sock)
        self.connections[connection] = None
        self.waiting[connection] = None
        self.loop.call_later(COMMAND_TIMEOUT_US, self._expire, connection)
        connection.connection.on_ready(READ)  # the command has usually arrived already

    def run_command(self, line: bytes) -> CommandResult:
        """Run the command that a line requests; the line is given without its line end."""
        name = decode_command(line)
        command = self._commands.get(name)
        if command is None:
            return unknown_command(name, OPERATOR_COMMANDS)
        return CommandResult(*command())

    def _accept_all(self, mask: int = READ) -> None:
        while watch := self._listener_watch:
            try:
                sock, _ = watch.listener.accept()
            except BlockingIOError:
                return
            except ConnectionAbortedError:  # closed before it was accepted
                continue
            except OSError:  # no descriptor is left
                if not self._close_oldest():
                    watch.pause_watching()
                    return
                continue
            self.accept(sock)

    def _close_oldest(self) -> bool:
        """Close the connection that has awaited its command longest, or else the oldest one.

        Returns:
            Whether there was a connection to close.
        """
        oldest = next(iter(self.waiting), None) or next(iter(self.connections), None)
        if oldest is None:
            return False
        oldest.close()
        return True

    def _expire(self, connection: AdminConnection) -> None:
        if connection in self.waiting:
            connection.answer(CommandResult(False, "no whole call came"))
