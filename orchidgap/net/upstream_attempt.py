"""An attempt on the network: one send of a request to one host, over any protocol."""

from __future__ import annotations

from typing import Protocol

from orchidgap.decisions.records import AttemptOutcome
from orchidgap.net.attempt_failure import AttemptFailure, SendProgress
from orchidgap.net.body_stream import Upload
from orchidgap.net.connection import Connection

MAX_LOAD_REPORT_BYTES = 256  # longer reports are truncated
MAX_LOAD_VALUE = 1e9  # larger and equal values are ignored


def parse_load_report(text: bytes) -> dict[str, float]:
    """Parse the figures of a load report; values that are not plausible numbers are left out.

    >>> parse_load_report(b"concurrent=3, mean_ms=12.5")
    {'concurrent': 3.0, 'mean_ms': 12.5}
    >>> parse_load_report(b"concurrent=nan,tps=-1,x,=,mean_ms=1e99,concurrent=2")
    {'concurrent': 2.0}
    """
    found = {}
    for pair in text[:MAX_LOAD_REPORT_BYTES].decode(errors="replace").split(","):
        name, _, value = pair.partition("=")
        try:
            number = float(value)
        except ValueError:
            continue
        if 0 <= number < MAX_LOAD_VALUE:
            found[name.strip()] = number
    return found


class Carrier(Protocol):
    """A connection to a host that carries attempts."""

    def drop(self, attempt: UpstreamAttempt) -> SendProgress:
        """Stop carrying the attempt, and return how much of it was sent."""


class ResponseSink(Protocol):
    """Passes a streamed answer on to its client."""

    def begin_response(self, length: int | None, source: Connection) -> None:
        """Begin the answer, whose status is 200; `length` is that of its body, None if unknown."""

    def send_body(self, parts: list[bytes]) -> None:
        """Send more of the body; reading from the source is paused until it has been written."""

    def end_response(self, whole: bool) -> None:
        """End the answer; if `whole` is false, the client must be able to detect the truncation."""


class AttemptOwner(Protocol):
    """The owner of attempts, which identifies each by its number among its own."""

    def may_send(self, number: int) -> bool:
        """Whether the attempt may still be sent; called immediately before its first byte is sent.

        The connection may have been established long after the decision to send.
        """

    def on_settled(self, number: int, outcome: AttemptOutcome, body: bytes) -> None:
        """Handle the outcome of the attempt."""

    def start_streaming(self, number: int) -> ResponseSink | None:
        """Return the receiver of the streamed answer, or None if it is no longer needed."""


class UpstreamAttempt:
    """One attempt on the network. It has exactly one outcome.

    Attributes:
        deadline_us: When its client gives up, by the loop's clock; an estimate while the body is
            still arriving.
        client_timeout_us: The client's timeout, counted from the request's last byte.
        upload: The body, if it is streamed.
        response_hold_us: How long an answer of unknown length may be held.
        load_report: The load report that the host sent with the answer.
        length: The body length that the answer to a HEAD request declares; None for other answers.
        carrier: The connection that carries the attempt.
        asking: Whether an ASK reply of another host redirected it to this host (RESP).
        redirect_host: The host that its own host redirected it to (RESP).
        redirect_once: Whether that redirection is valid for this request only.
    """

    __slots__ = (
        "asking",
        "body",
        "carrier",
        "client_timeout_us",
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
        deadline_us: int,
        owner: AttemptOwner,
        number: int = 0,
        host: str = "",
    ) -> None:
        """Create an attempt for the host of this id, which is not on a connection yet."""
        self.head = head
        self.body = body
        self.deadline_us = deadline_us
        self.client_timeout_us = 0
        self.owner = owner
        self.number = number
        self.host = host
        self.upload: Upload | None = None
        self.response_hold_us = 0
        self.load_report = b""
        self.length: int | None = None
        self.carrier: Carrier | None = None
        self.settled = False
        self.asking = False
        self.redirect_host = ""
        self.redirect_once = False

    def time_left_us(self, now_us: int) -> int:
        """The time its client waits from `now_us`: its whole timeout until the body is complete."""
        if self.upload and not self.upload.complete:
            return self.client_timeout_us
        return self.deadline_us - now_us

    def settle(self, outcome: AttemptOutcome, body: bytes = b"") -> None:
        """Report the outcome to the owner; only the first call has an effect."""
        if not self.settled:
            self.settled = True
            self.carrier = None
            self.owner.on_settled(self.number, outcome, body)

    def abandon(self, cause: str) -> AttemptFailure:
        """Stop the attempt for this cause, and return the resulting failure."""
        carrier = self.carrier
        self.carrier = None
        progress = SendProgress.UNSENT if carrier is None else carrier.drop(self)
        return AttemptFailure(progress, cause)
