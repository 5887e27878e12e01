"""The listener for operators' calls. It only calls the node, and has descriptors of its own."""

from __future__ import annotations

import socket
from collections.abc import Callable

from orchidgap.net.addresses import Address
from orchidgap.net.connection import Connection
from orchidgap.net.dialing import open_listener
from orchidgap.net.loop import READ, Loop

MOST = 12  # calls at once; the descriptors are set aside by the node
MOST_LINE = 256  # bytes of a call
PATIENCE = 10_000_000  # for a call to come whole, where nobody else waits to be let in
BACKLOG = 512

Act = Callable[[], tuple[bool, str]]  # whether it was done, and one plain word on it


class Call:
    """One connection with one call on it."""

    __slots__ = ("conn", "door", "line", "since")

    def __init__(self, door: Operators, sock: socket.socket) -> None:
        self.door, self.line, self.since = door, b"", door.loop.now
        self.conn = Connection(door.loop, sock, self)

    def opened(self) -> None:
        pass

    def received(self, view: memoryview) -> None:
        self.line += bytes(view[: MOST_LINE + 1])
        line, end, _ = self.line.partition(b"\n")
        if end and len(line) <= MOST_LINE:
            self.answer(*self.door.call(line))
        elif len(self.line) > MOST_LINE:
            self.answer(False, "the call is too long")

    def answer(self, done: bool, words: str) -> None:
        self.door.waiting.pop(self, None)
        self.conn.send(f"{'SUCCESS' if done else 'FAILURE'} {words}\n".encode())
        self.conn.close_gracefully()

    def ended(self, what: str) -> None:
        self.door.waiting.pop(self, None)
        self.door.open.pop(self, None)

    def close(self) -> None:
        self.conn.close()
        self.ended("closed")


class Operators:
    """Takes the acts by the names they are called by."""

    def __init__(self, loop: Loop, acts: dict[str, Act]) -> None:
        self.loop, self.acts = loop, acts
        self.open: dict[Call, None] = {}
        self.waiting: dict[
            Call, None
        ] = {}  # of these: yet to bring a whole call; the longest first
        self.listener: socket.socket | None = None

    def listen(self, address: Address) -> None:
        """Raises OSError where the address cannot be had."""
        self.listener = open_listener(address, BACKLOG)
        self.loop.watch(self.listener, READ, self.accept, first=True)

    def accept(self, mask: int = READ) -> None:
        while self.listener:
            try:
                sock, _ = self.listener.accept()
            except BlockingIOError:
                return
            except (
                OSError
            ):  # gone before it was let in, or no descriptor left: the oldest makes way
                if not self.shed():
                    return
                continue
            self.let_in(sock)

    def let_in(self, sock: socket.socket) -> None:
        if len(self.open) >= MOST:
            self.shed()
        call = Call(self, sock)
        self.open[call] = self.waiting[call] = None
        self.loop.call_later(PATIENCE, self.expire, call)
        call.conn.on_ready(READ)  # the call has mostly come with it

    def shed(self) -> bool:
        """Close who has been silent longest, else who reads its answer; whether there was one."""
        call = next(iter(self.waiting), None) or next(iter(self.open), None)
        if call:
            call.close()
        return call is not None

    def expire(self, call: Call) -> None:
        if call in self.waiting:
            call.answer(False, "no whole call came")

    def call(self, line: bytes) -> tuple[bool, str]:
        """One call, without its end of line."""
        name = line.strip().decode("ascii", errors="replace")
        act = self.acts.get(name)
        if act is None:
            shown = "".join(letter if " " <= letter <= "~" else "?" for letter in name[:32])
            return False, f"no such call: {shown!r}; known are {', '.join(self.acts)}"
        return act()
