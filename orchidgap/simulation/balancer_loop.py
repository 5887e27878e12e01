"""The event loop of one balancer on the virtual clock."""

from __future__ import annotations

import socket
from collections.abc import Callable
from contextlib import suppress
from typing import Any

from orchidgap.net.loop import Loop, Timer
from orchidgap.simulation.listening_queue import ListeningQueue
from orchidgap.simulation.virtual_clock import VirtualClockLoop


class BalancerTimer(Timer):
    """A balancer's timer, which the shared loop fires.

    Attributes:
        action: The balancer's callback, None once it is cancelled or done.
        action_args: The callback's arguments.
    """

    __slots__ = ("action", "action_args")

    def __init__(
        self,
        fire: Callable[[BalancerTimer], None],
        action: Callable[..., None],
        action_args: tuple[Any, ...],
    ) -> None:
        """Call `fire` with the timer when it is due."""
        super().__init__(fire, (self,))
        self.action: Callable[..., None] | None = action
        self.action_args = action_args

    def cancel(self) -> None:
        """Cancel the timer and drop its references."""
        self.callback = None
        self.args = ()
        self.action = None
        self.action_args = ()


class BalancerLoop(Loop):
    """A balancer's sockets and timers on the simulation's shared loop.

    All of them are closed when the balancer is killed, and inactive while it is paused. `on_error`
    is called with an exception that a callback raised.
    """

    def __init__(
        self, shared_loop: VirtualClockLoop, on_error: Callable[[Exception], None]
    ) -> None:
        """Start on the shared loop, at its current time."""
        # the base class would open a selector of its own, so its attributes are set here instead
        self.shared_loop = shared_loop
        self.on_error = on_error
        self.clock = shared_loop.clock
        self.buffer = shared_loop.buffer
        self.now = self.last_poll_us = self.ready_since_us = shared_loop.time
        self.running = True
        self.killed = False
        self.longest_turn_us = 0  # turns take no time on the virtual clock
        self.paused_until_us = 0
        # the event mask and the callback of each watched socket or listening queue
        self.watched: dict[Any, tuple[int, Callable[[int], None]]] = {}
        # when each connection being opened is established; None for never or already scheduled
        self.opening: dict[socket.socket, int | None] = {}

    @property
    def is_paused(self) -> bool:
        """Whether the process is stopped now."""
        return self.paused_until_us > self.shared_loop.time

    def enter(self, callback: Callable[..., None], *args: Any) -> None:
        """Run a callback of this balancer: after a pause if it is paused, not if it is killed."""
        if self.killed:
            return
        now = self.shared_loop.time
        resumed_us = self.paused_until_us
        if resumed_us > now:
            self.shared_loop.call_at(resumed_us, self.enter, callback, *args)
            return
        self.now = now
        self.last_poll_us = now
        self.ready_since_us = resumed_us or now
        try:
            callback(*args)
        except Exception as error:  # as in `run_callback`, only this callback ends
            if self.on_error is None:
                raise
            self.on_error(error)

    def fire(self, timer: BalancerTimer) -> None:
        """Run a timer that is due, after the pause if the process is paused."""
        if self.paused_until_us > self.shared_loop.time:
            self.shared_loop.schedule(self.paused_until_us, timer)
            return
        action = timer.action
        action_args = timer.action_args
        timer.cancel()  # drops its reference to itself
        if action:
            self.enter(action, *action_args)

    def call_at(self, when_us: int, callback: Callable[..., None], *args: Any) -> Timer:
        """Schedule a callback at a time of the clock."""
        timer = BalancerTimer(self.fire, callback, args)
        self.shared_loop.schedule(when_us, timer)
        return timer

    def call_soon(self, callback: Callable[..., None], *args: Any) -> None:
        """Schedule a callback for the next round of the shared loop."""
        self.shared_loop.call_soon(self.enter, callback, *args)

    def call_next_turn(self, callback: Callable[[], None]) -> None:
        """Schedule a callback for the next round, as turns take no time on the virtual clock."""
        self.call_soon(callback)

    def watch(
        self,
        sock: Any,
        mask: int,
        callback: Callable[[int], None],
        priority: bool = False,
        deferrable: bool = False,
    ) -> None:
        """Watch a socket or a listening queue; a connection only once it is established."""
        self.watched[sock] = (mask, callback)
        if isinstance(sock, ListeningQueue):
            sock.callback = lambda ready: self.enter(callback, ready)
            sock.wake()
            return
        opens_at_us = self.opening.pop(sock, 0)
        if opens_at_us is None:
            return
        if opens_at_us > self.shared_loop.time:
            self.opening[sock] = None
            self.shared_loop.call_at(opens_at_us, self.finish_opening, sock)
            return
        if not self.is_paused:
            self.shared_loop.watch(sock, mask, lambda ready: self.enter(callback, ready))

    def finish_opening(self, sock: socket.socket) -> None:
        """Begin to watch a connection that is now established, unless it was unwatched."""
        if sock in self.opening and sock in self.watched:
            del self.opening[sock]
            mask, callback = self.watched[sock]
            self.watch(sock, mask, callback)

    def rewatch(self, sock: Any, mask: int, callback: Callable[[int], None]) -> None:
        """Watch a socket for other events than before."""
        self.watched[sock] = (mask, callback)
        if sock not in self.opening:
            self.shared_loop.rewatch(sock, mask, lambda ready: self.enter(callback, ready))

    def set_deferrable(self, sock: Any, deferrable: bool) -> None:
        """Do nothing: callbacks take no time on the virtual clock, so none is deferred."""

    def unwatch(self, sock: Any) -> None:
        """Stop watching a socket without closing it."""
        del self.watched[sock]
        if isinstance(sock, ListeningQueue):
            sock.callback = None
        elif sock in self.opening:
            del self.opening[sock]
        elif sock.fileno() in self.shared_loop.selector.get_map():
            self.shared_loop.unwatch(sock)

    def is_connection(self, sock: Any) -> bool:
        """Return whether it is an established connection."""
        return not isinstance(sock, ListeningQueue) and sock not in self.opening

    def pause(self, until_us: int) -> None:
        """Run nothing until then, like a stopped process; its sockets stay open."""
        self.paused_until_us = until_us
        connections = [sock for sock in self.watched if self.is_connection(sock)]
        for sock in connections:
            self.shared_loop.unwatch(sock)
        self.shared_loop.call_at(until_us, self.resume, connections)

    def resume(self, connections: list[socket.socket]) -> None:
        """Watch the sockets again that were watched when the pause began."""
        if self.killed:
            return
        for sock in connections:
            if sock in self.watched:
                mask, callback = self.watched[sock]
                self.watch(sock, mask, callback)

    def kill(self) -> None:
        """Close all sockets at once, as the kernel does when a process ends."""
        self.killed = True
        for sock in list(self.watched):
            if self.is_connection(sock) and sock.fileno() >= 0:
                with suppress(KeyError, ValueError):
                    self.shared_loop.unwatch(sock)
            sock.close()
        self.watched.clear()
        self.opening.clear()
