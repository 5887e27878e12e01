"""The two grounds of a trial, with one face: a virtual clock over socket pairs, or real sockets.

A ground has a `loop` for the stand-ins, `listen` and `dial`. On the virtual one each balancer has a `Share`
of the one loop, so that it can be killed with all its sockets and timers, or stand still.
"""

from __future__ import annotations

import os
import selectors
import socket
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from heapq import heappop
from pathlib import Path
from typing import Any
from weakref import WeakKeyDictionary

from orchidgap.net.addresses import Address
from orchidgap.net.attempt_failure import AttemptFailure, SendProgress
from orchidgap.net.connection import LINGER_RESET
from orchidgap.net.dialing import dial
from orchidgap.net.loop import MAX_WAIT_US, READ, Loop, Timer

START = 1_700_000_000_000_000  # Unix time in microseconds that virtual time begins at
STILL = 200_000  # rounds without time going on: something asks itself for more, for ever
BACKLOG = 512

Accept = Callable[[socket.socket, str], None]  # a connection, and who dialled where that is known


class TimeStandsStill(RuntimeError):
    """The loop has had work for so long without time going on that it never will."""


class Ordered(selectors.EpollSelector):
    """What is ready comes in the order it was first watched in, whatever the kernel's order is."""

    def __init__(self) -> None:
        super().__init__()
        self.order: dict[int, int] = {}
        self.count = 0

    def register(self, fileobj: Any, events: int, data: Any = None) -> selectors.SelectorKey:
        key = super().register(fileobj, events, data)
        self.count += 1
        self.order[key.fd] = self.count
        return key

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        ready = super().select(timeout)
        if len(ready) > 1:
            ready.sort(key=lambda item: self.order[item[0].fd])
        return ready


class World(Loop):
    """A loop on a clock that only goes on when nothing is left to be done.

    >>> world = World(); start = world.now
    >>> _ = world.call_later(3_000_000, lambda: print("due", world.now - start))
    >>> world.run_until(start + 4_000_000)
    due 3000000
    >>> world.now - start
    4000000
    >>> def again():
    ...     world.call_soon(again)
    >>> again(); world.run_until(world.now + 1)
    Traceback (most recent call last):
        ...
    orchidgap.simulation.virtual_network.TimeStandsStill: 200000 rounds at 4000000 us
    """

    def __init__(self) -> None:
        self.time = START
        super().__init__(clock=lambda: self.time)
        self.selector.close()
        self.selector: selectors.DefaultSelector = Ordered()  # type: ignore[assignment]  # epoll, as on Linux
        self.still = 0

    def run_once(self, longest: int = MAX_WAIT_US) -> None:
        self.now = self.last_poll_us = self.ready_since_us = self.time
        worked = False
        for key, mask in self.selector.select(0):
            worked = True
            self.run_callback(key.data, mask)
        while self.timers and self.timers[0][0] <= self.time:
            timer = heappop(self.timers)[2]
            if timer.callback is not None:
                worked = True
                self.run_callback(timer.callback, *timer.args)
        for _ in range(len(self.soon)):
            worked = True
            act, args = self.soon.popleft()
            self.run_callback(act, *args)
        if worked:
            self.still += 1
            if self.still >= STILL:
                raise TimeStandsStill(f"{STILL} rounds at {self.time - START} us")
        else:
            while self.timers and self.timers[0][2].callback is None:
                heappop(self.timers)
            self.time = min(
                self.time + longest, self.timers[0][0] if self.timers else self.time + longest
            )
            self.still = 0

    def run_until(self, end: int) -> None:
        """End is in microseconds of this clock; all that is due before it has happened when this returns."""
        while self.time < end:
            self.run_once(end - self.time)
        self.now = self.time


class Queue:
    """A listener's backlog on the virtual ground, with the face of a listening socket."""

    def __init__(self, loop: Loop) -> None:
        self.loop = loop
        self.waiting: deque[socket.socket] = deque()
        self.act: Callable[[int], None] | None = None
        self.open = True

    def bring(self, sock: socket.socket) -> None:
        if not self.open or len(self.waiting) >= BACKLOG:
            return sock.close()
        self.waiting.append(sock)
        self.wake()

    def wake(self) -> None:
        if self.act and self.waiting:
            self.loop.call_soon(self.act, READ)

    def accept(self) -> tuple[socket.socket, Any]:
        if not self.waiting:
            raise BlockingIOError
        return self.waiting.popleft(), None

    def close(self) -> None:
        self.open = False
        while self.waiting:
            self.waiting.popleft().close()


class Shared(Queue):
    """A backlog that several processes have a hold on."""

    def __init__(self, loop: Loop) -> None:
        super().__init__(loop)
        self.faces: list[Face] = []

    def wake(self) -> None:
        for face in self.faces:
            face.wake()


class Face(Queue):
    """One process's hold on it: closing it is no end for the others."""

    def __init__(self, whole: Shared) -> None:
        super().__init__(whole.loop)
        self.whole, self.waiting = whole, whole.waiting
        whole.faces.append(self)

    def close(self) -> None:
        self.open = False
        if self in self.whole.faces:
            self.whole.faces.remove(self)


class Share(Loop):
    """One balancer's part of the world's loop: its own sockets and timers, that end with it."""

    def __init__(self, world: World, trouble: Callable[[Exception], None]) -> None:
        self.world, self.on_error = world, trouble
        self.clock = world.clock
        self.buffer = world.buffer
        self.now = self.last_poll_us = self.ready_since_us = world.time
        self.running, self.dead = True, False
        self.longest_turn_us = 0  # in virtual time no turn takes any
        self.stands_until = 0
        self.socks: dict[Any, tuple[int, Callable[[int], None]]] = {}
        self.opening: dict[socket.socket, int | None] = {}  # dialled: when it is up; None for never

    def enter(self, act: Callable[..., None], *args: Any) -> None:
        if not self.dead:
            if self.stands_until > self.world.time:
                self.world.call_at(self.stands_until, self.enter, act, *args)
                return
            self.now, self.last_poll_us = self.world.time, self.world.time
            self.ready_since_us = min(self.world.time, self.stands_until or self.world.time)
            self.run_callback(act, *args)

    def fire(self, timer: Timer) -> None:
        if timer.callback is not None:
            if self.stands_until > self.world.time:
                self.world.call_at(self.stands_until, self.fire, timer)
                return
            self.enter(timer.callback, *timer.args)

    def call_at(self, when: int, act: Callable[..., None], *args: Any) -> Timer:
        timer = Timer(act, args)
        self.world.call_at(when, self.fire, timer)
        return timer

    def call_soon(self, act: Callable[..., None], *args: Any) -> None:
        self.world.call_soon(self.enter, act, *args)

    def watch(self, sock: Any, mask: int, act: Callable[[int], None], first: bool = False) -> None:
        self.socks[sock] = (mask, act)
        if isinstance(sock, Queue):
            sock.act = lambda ready: self.enter(act, ready)
            return sock.wake()
        when = self.opening.pop(sock, 0)
        if when is None:
            return
        if when > self.world.time:
            self.opening[sock] = None
            self.world.call_at(when, self.come_up, sock)
            return
        if self.stands_until <= self.world.time:
            self.world.watch(sock, mask, lambda ready: self.enter(act, ready))

    def come_up(self, sock: socket.socket) -> None:
        if sock in self.opening and sock in self.socks:
            del self.opening[sock]
            mask, act = self.socks[sock]
            self.watch(sock, mask, act)

    def rewatch(self, sock: Any, mask: int, act: Callable[[int], None]) -> None:
        self.socks[sock] = (mask, act)
        if sock not in self.opening:
            self.world.rewatch(sock, mask, lambda ready: self.enter(act, ready))

    def unwatch(self, sock: Any) -> None:
        del self.socks[sock]
        if isinstance(sock, Queue):
            sock.act = None
        elif sock in self.opening:
            del self.opening[sock]
        elif sock.fileno() in self.world.selector.get_map():
            self.world.unwatch(sock)

    def stand(self, until: int) -> None:
        """As a process that is stopped: nothing of it runs, its sockets stay open."""
        self.stands_until = until
        there = [
            sock for sock in self.socks if not isinstance(sock, Queue) and sock not in self.opening
        ]
        for sock in there:
            self.world.unwatch(sock)
        self.world.call_at(until, self.go_on, there)

    def go_on(self, there: list[socket.socket]) -> None:
        for sock in there if not self.dead else ():
            if sock in self.socks:
                self.watch(sock, *self.socks[sock])

    def kill(self) -> None:
        """At once, with all it held: the system closes what it had open."""
        self.dead = True
        for sock in list(self.socks):
            if not isinstance(sock, Queue) and sock not in self.opening and sock.fileno() >= 0:
                with suppress(KeyError, ValueError):
                    self.world.unwatch(sock)
            sock.close()
        self.socks.clear()
        self.opening.clear()


class Pairs:
    """The virtual ground: every connection is a socket pair, every listener an entry here."""

    virtual = True

    def __init__(self) -> None:
        self.loop: World = World()
        self.doors: dict[Address, Accept | Queue] = {}
        self.silent: dict[Address, bool] = {}
        self.cut: dict[
            tuple[str, Address], bool
        ] = {}  # a balancer's name, and what it cannot reach
        self.nears: WeakKeyDictionary[socket.socket, socket.socket] = (
            WeakKeyDictionary()
        )  # by a host's end
        self.round_trip: Callable[[str, Address], int] = lambda who, address: 400

    def listen(self, address: Address, accept: Accept) -> None:
        self.doors[address] = accept

    def unlisten(self, address: Address) -> None:
        door = self.doors.pop(address, None)
        if isinstance(door, Queue):
            door.close()

    def hush(self, address: Address, silent: bool) -> None:
        self.silent[address] = silent

    def dial(self, address: Address) -> socket.socket | AttemptFailure:
        """A client's call, which takes its way into account itself."""
        door = self.doors.get(address)
        if door is None:
            return AttemptFailure(SendProgress.UNSENT, "broken", "Connection refused")
        near, far = pair()
        door.bring(far) if isinstance(door, Queue) else door(far, "")
        return near

    def dial_from(self, share: Share, who: str, address: Address) -> socket.socket | AttemptFailure:
        """A balancer's call: it is up a round trip later, or refused then, or never."""
        near, far = pair()
        if self.silent.get(address) or self.cut.get((who, address)):
            share.opening[near] = None
            self.loop.call_later(60_000_000, far.close)
            return near
        up = self.loop.time + max(1, self.round_trip(who, address))
        share.opening[near] = up
        self.nears[far] = near
        door = self.doors.get(address)
        if door is None or isinstance(door, Queue):
            near.send(b"?")
            self.loop.call_at(
                up - 1, far.close
            )  # on unread bytes: the near end is told of an error
        else:
            self.loop.call_at(up - 1, self.enter, address, far, who)
        return near

    def reset(self, far: socket.socket) -> None:
        """What a host's process leaves behind as it dies: closed on an unread byte, its end is an error."""
        near = self.nears.get(far)
        if near and near.fileno() >= 0:
            with suppress(OSError):
                near.send(b"?")

    def enter(self, address: Address, far: socket.socket, who: str) -> None:
        door = self.doors.get(address)
        if door is None or isinstance(door, Queue):
            far.close()
        else:
            door(far, who)


def pair() -> tuple[socket.socket, socket.socket]:
    near, far = socket.socketpair()
    near.setblocking(False)
    far.setblocking(False)
    return near, far


class Wires:
    """The real ground: sockets on loopback and the system's clock."""

    virtual = False

    def __init__(self) -> None:
        self.loop: Loop = Loop()
        self.doors: dict[Address, tuple[socket.socket, Callable[[int], None]]] = {}
        self.heeds: Callable[[Address, bool], None] = lambda address, there: (
            None
        )  # a door opens or closes

    def listen(self, address: Address, accept: Accept) -> None:
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(address)
        listener.listen(BACKLOG)

        def ready(mask: int) -> None:
            for _ in range(64):
                try:
                    sock, _ = listener.accept()
                except OSError:
                    return
                accept(sock, "")

        self.doors[address] = listener, ready
        self.loop.watch(listener, READ, ready)
        self.heeds(address, True)

    def unlisten(self, address: Address) -> None:
        if address in self.doors:
            listener, _ = self.doors.pop(address)
            with suppress(KeyError):
                self.loop.unwatch(listener)
            listener.close()
            self.heeds(address, False)

    def reset(self, far: socket.socket) -> None:
        with suppress(OSError):
            far.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)

    def hush(self, address: Address, silent: bool) -> None:
        """The system still lets some connections in; nobody reads what comes on them."""
        listener, ready = self.doors[address]
        with suppress(KeyError):
            self.loop.unwatch(listener)
        if not silent:
            with suppress(
                OSError
            ):  # what was let in meanwhile the machine, back again, knows nothing of
                while True:
                    listener.accept()[0].close()
            self.loop.watch(listener, READ, ready)

    def dial(self, address: Address) -> socket.socket | AttemptFailure:
        return dial(address)


def cpu_of(pid: int) -> float:
    """Seconds of CPU that a process has used so far. Raises OSError where there is none."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")
