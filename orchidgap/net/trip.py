"""A dispatch on the network, whatever carries it."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from orchidgap.net.connection import Connection, Fault, Reach
from orchidgap.net.flow import Upload


class Carrier(Protocol):
    """A connection to a host that carries dispatches."""

    def drop(self, trip: Trip) -> Reach:
        """Carry it no further; how far it came."""


class Taker(Protocol):
    """Who takes an answer that flows."""

    def begin(self, length: int | None, source: Connection) -> None:
        """The answer is 200, and its body follows, of this length where that is known."""

    def give(self, parts: list[bytes]) -> None:
        """More of the body. The source is held while what was given has not gone on."""

    def end(self, whole: bool) -> None:
        """There is no more; if what was given is not all of it, that must show."""


class Trip:
    """One dispatch on the network. Exactly one thing comes of it."""

    __slots__ = ("ask", "asking", "back", "bare", "begin", "body", "due", "flow", "head", "hold", "host",
                 "length", "link", "settled", "to")

    def __init__(self, head: bytes, body: bytes, due: int, back: Callable[[str, bytes], None],
                 flow: Upload | None = None, begin: Callable[[], Taker | None] | None = None) -> None:
        self.head, self.body, self.due, self.back = head, body, due, back
        self.host = ""                 # the id of where it goes
        self.flow = flow               # its body, where that is not kept whole
        self.begin = begin             # asked for who takes an answer that flows; None: nobody does
        self.hold = 0                  # how long an answer of unknown length may be held
        self.bare = False              # its answer has no body, whatever its head says
        self.length: int | None = None  # of the body that a bare answer tells of
        self.link: Carrier | None = None
        self.settled = False
        self.asking = False            # it goes where an ASK sent it
        self.to, self.ask = "", False  # where its host sent it on to, and whether only this one time

    def settle(self, verdict: str, body: bytes = b"") -> None:
        if not self.settled:
            self.settled = True
            self.link = None
            self.back(verdict, body)

    def stop(self, cause: str) -> Fault:
        """Give it up where it stands."""
        link, self.link = self.link, None
        return Fault(Reach.UNSENT if link is None else link.drop(self), cause)
