"""Listening sockets of the virtual network: queues of connections to be accepted."""

from __future__ import annotations

import socket
from collections import deque
from collections.abc import Callable
from typing import Any

from orchidgap.net.loop import READ, Loop

LISTEN_BACKLOG = 512


class ListeningQueue:
    """A listener's backlog, with the methods of a listening socket that a node calls."""

    def __init__(self, loop: Loop) -> None:
        """Start empty; callbacks run on `loop`."""
        self.loop = loop
        self.waiting: deque[socket.socket] = deque()
        self.callback: Callable[[int], None] | None = None
        self.open = True

    def connect(self, sock: socket.socket) -> None:
        """Add a connection, or close it if the backlog is full or the listener is closed."""
        if not self.open or len(self.waiting) >= LISTEN_BACKLOG:
            return sock.close()
        self.waiting.append(sock)
        return self.wake()

    def wake(self) -> None:
        """Schedule the callback of the listener if connections are queued."""
        if self.callback and self.waiting:
            self.loop.call_soon(self.callback, READ)

    def accept(self) -> tuple[socket.socket, Any]:
        """Return the oldest connection; raise BlockingIOError if none is queued."""
        if not self.waiting:
            raise BlockingIOError
        return self.waiting.popleft(), None

    def close(self) -> None:
        """Close the listener and all queued connections."""
        self.open = False
        while self.waiting:
            self.waiting.popleft().close()


class SharedListener(ListeningQueue):
    """A backlog from which sibling processes accept, each through a handle."""

    def __init__(self, loop: Loop) -> None:
        """Start without handles."""
        super().__init__(loop)
        self.handles: list[ListenerHandle] = []

    def wake(self) -> None:
        """Notify all processes; the first to accept gets the connection."""
        for handle in self.handles:
            handle.wake()


class ListenerHandle(ListeningQueue):
    """One process's handle of a shared listener; closing it leaves the listener open."""

    def __init__(self, listener: SharedListener) -> None:
        """Register the handle with its listener."""
        super().__init__(listener.loop)
        self.listener = listener
        self.waiting = listener.waiting
        listener.handles.append(self)

    def close(self) -> None:
        """Close the handle; queued connections remain for the other handles, if any."""
        self.open = False
        if self in self.listener.handles:
            self.listener.handles.remove(self)
        if not self.listener.handles:
            self.listener.close()
