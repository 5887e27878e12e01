"""An attempt on the network, whatever carries it: what the decisions call a dispatch."""

from __future__ import annotations

from typing import Protocol

from orchidgap.net.body_stream import Upload
from orchidgap.net.connection import AttemptFailure, Connection, SendProgress

MOST_LOAD = 256  # bytes of a load report that are looked at


def parse_load_report(text: bytes) -> dict[str, float]:
    """A load report; what is no number that could be meant is left out.

    >>> parse_load_report(b"concurrent=3, mean_ms=12.5"), parse_load_report(b"concurrent=nan,tps=-1,x,=,mean_ms=1e99,concurrent=2")
    ({'concurrent': 3.0, 'mean_ms': 12.5}, {'concurrent': 2.0})
    """
    found = {}
    for pair in text[:MOST_LOAD].decode(errors="replace").split(","):
        name, _, value = pair.partition("=")
        try:
            number = float(value)
        except ValueError:
            continue
        if 0 <= number < 1e9:
            found[name.strip()] = number
    return found


class Carrier(Protocol):
    """A connection to a host that carries dispatches."""

    def drop(self, attempt: UpstreamAttempt) -> SendProgress:
        """Carry it no further; how far it came."""


class ResponseSink(Protocol):
    """Who takes an answer that flows."""

    def begin(self, length: int | None, source: Connection) -> None:
        """The answer is 200, and its body follows, of this length where that is known."""

    def give(self, parts: list[bytes]) -> None:
        """More of the body. The source is held while what was given has not gone on."""

    def end(self, whole: bool) -> None:
        """There is no more; if what was given is not all of it, that must show."""


class AttemptOwner(Protocol):
    """Whose dispatch it is."""

    def may_send(self, number: int) -> bool:
        """Whether that dispatch may still begin. Asked in the moment before its first byte is written: a
        connection can have come up long after the decision to send."""

    def on_settled(self, number: int, verdict: str, body: bytes) -> None:
        """What came of that dispatch of its own."""

    def start_streaming(self, number: int) -> ResponseSink | None:
        """Who takes its answer, which flows; None: nobody wants it any more."""


class UpstreamAttempt:
    """One attempt on the network. Exactly one thing comes of it."""

    __slots__ = (
        "asking",
        "body",
        "carrier",
        "deadline_us",
        "head",
        "host",
        "length",
        "load_report",
        "number",
        "owner",
        "redirect_host",
        "redirect_once",
        "response_hold_us",
        "settled",
        "upload",
    )

    def __init__(
        self,
        head: bytes,
        body: bytes,
        due: int,
        sender: AttemptOwner,
        number: int = 0,
        host: str = "",
    ) -> None:
        self.head, self.body, self.deadline_us, self.owner, self.number = (
            head,
            body,
            due,
            sender,
            number,
        )
        self.host = host  # the id of where it goes
        self.upload: Upload | None = None  # its body, where that is not kept whole
        self.response_hold_us = 0  # how long an answer of unknown length may be held
        self.load_report = b""  # what its host told of itself with the answer
        self.length: int | None = None  # of the body that an answer without one tells of
        self.carrier: Carrier | None = None
        self.settled = False
        self.asking = False  # it goes where an ASK sent it
        self.redirect_host, self.redirect_once = (
            "",
            False,
        )  # where its host sent it on to, and whether only this one time

    def settle(self, verdict: str, body: bytes = b"") -> None:
        if not self.settled:
            self.settled = True
            self.carrier = None
            self.owner.on_settled(self.number, verdict, body)

    def abandon(self, cause: str) -> AttemptFailure:
        """Give it up where it stands."""
        link, self.carrier = self.carrier, None
        return AttemptFailure(SendProgress.UNSENT if link is None else link.drop(self), cause)
