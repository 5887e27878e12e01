"""One balancer of a simulation: applies messages to its decisions and encodes its actions."""

from __future__ import annotations

from orchidgap.decisions.balancer import Balancer
from orchidgap.wirehost import words
from orchidgap.wirehost.messages import Exit, Message, Start


class WirePort:
    """The port of the decisions, which encodes each action as a line of the next reply.

    Attributes:
        lines: The lines since the last reply.
    """

    def __init__(self) -> None:
        """Start without lines."""
        self.lines: list[str] = []

    def dispatch(self, request: int, host: str) -> None:
        """Send the request to a host."""
        self.lines.append(f"{words.DISPATCH} {request} {host} 0")

    def deny(self, request: int, retry_after_us: int) -> None:
        """Answer finally that the request had no effect, so that a retry is harmless."""
        self.lines.append(f"{words.DENY} {request} {retry_after_us}")

    def abort(self, request: int) -> None:
        """Answer finally that the request failed."""
        self.lines.append(f"{words.ABORT} {request}")

    def cancel(self, request: int, number: int) -> None:
        """Stop waiting for one attempt."""
        self.lines.append(f"{words.CANCEL} {request} {number}")

    def wake(self, delay_us: int, token: int) -> None:
        """Request a wake-up after the delay."""
        self.lines.append(f"{words.WAKE} {delay_us} {token}")

    def subscribe(self) -> None:
        """Subscribe to the host list and its changes."""
        self.lines.append(f"{words.SUBSCRIBE} 1")

    def log(self, line: str) -> None:
        """Write one line to the operators' log."""
        self.lines.append(f"{words.LOG} {line}")


class Instance:
    """One balancer.

    Attributes:
        port: The port that collects the balancer's actions.
        balancer: The decisions; None before the start and after the end.
    """

    __slots__ = ("balancer", "port")

    def __init__(self) -> None:
        """Begin without a balancer, until a `Start` message."""
        self.port = WirePort()
        self.balancer: Balancer | None = None

    def start(self, message: Start, now: int) -> None:
        """Create a balancer with these settings, replacing any earlier one."""
        self.balancer = Balancer(message.settings, self.port, message.seed, now)

    def end(self) -> None:
        """Discard the balancer, and its actions that are not in a reply yet."""
        self.balancer = None
        self.port.lines.clear()

    def handle(self, message: Message, now: int) -> None:
        """Apply a message; messages before a start are ignored."""
        if isinstance(message, Start):
            self.start(message, now)
        elif isinstance(message, Exit):
            self.end()
        elif self.balancer is not None:
            self.balancer.now = now
            if message is not None:
                message.apply_to(self.balancer)
