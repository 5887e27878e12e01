"""A listener that the loop watches, with pauses while the system has no descriptors left."""

from __future__ import annotations

import socket
from collections.abc import Callable

from orchidgap.net.loop import READ, Loop, Timer

ACCEPT_PAUSE_US = 50_000  # pause before accepting again after descriptors ran out


class ListenerWatch:
    """Calls back while connections wait at a listener, except during pauses.

    A connection that cannot be accepted leaves the listener ready: without a pause the loop would
    spin.

    Attributes:
        listener: The listener, which `close` closes too.
    """

    def __init__(
        self,
        loop: Loop,
        listener: socket.socket,
        on_pending_connection: Callable[[int], None],
        priority: bool = False,
    ) -> None:
        """Start watching; with `priority` the callback runs before those of other sockets."""
        self.loop = loop
        self.listener = listener
        self.on_pending_connection = on_pending_connection
        self.priority = priority
        self.pause_timer: Timer | None = None
        loop.watch(listener, READ, on_pending_connection, priority)

    def pause_watching(self) -> None:
        """Stop watching for `ACCEPT_PAUSE_US`, in which a descriptor may be released."""
        if not self.pause_timer:
            self.loop.unwatch(self.listener)
            self.pause_timer = self.loop.call_later(ACCEPT_PAUSE_US, self._resume)

    def close(self) -> None:
        """Stop watching, and close the listener."""
        if self.pause_timer:
            self.pause_timer.cancel()
        else:
            self.loop.unwatch(self.listener)
        self.listener.close()

    def _resume(self) -> None:
        self.pause_timer = None
        self.loop.watch(self.listener, READ, self.on_pending_connection, self.priority)
