"""A dispatch on the network, whatever carries it."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from orchidgap.net.connection import Fault, Reach


class Carrier(Protocol):
    """A connection to a host that carries dispatches."""

    def drop(self, trip: Trip) -> Reach:
        """Carry it no further; how far it came."""


class Trip:
    """One dispatch on the network. Exactly one thing comes of it."""

    __slots__ = ("ask", "asking", "back", "body", "due", "head", "link", "settled", "to")

    def __init__(self, head: bytes, body: bytes, due: int, back: Callable[[str, bytes], None]) -> None:
        self.head, self.body, self.due, self.back = head, body, due, back
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
