"""One balancer of a simulation: messages go to its decisions, and its actions become lines."""

from __future__ import annotations

from orchidgap.decisions.balancer import Balancer
from orchidgap.wirehost import words
from orchidgap.wirehost.messages import Exit, Message, Start


class WirePort:
    """What the decisions ask for, as lines of the reply under way.

    Attributes:
        lines: Those since the last reply.
    """

    def __init__(self) -> None:
        """Start with no lines."""
        self.lines: list[str] = []

    def dispatch(self, request: int, host: str) -> None:
        """Send the request to a host."""
        self.lines.append(f"{words.DISPATCH} {request} {host} 0")

    def deny(self, request: int, retry_after_us: int) -> None:
        """Final answer: a retry is harmless."""
        self.lines.append(f"{words.DENY} {request} {retry_after_us}")

    def abort(self, request: int) -> None:
        """Final answer: it failed."""
        self.lines.append(f"{words.ABORT} {request}")

    def cancel(self, request: int, number: int) -> None:
        """Stop waiting for one attempt."""
        self.lines.append(f"{words.CANCEL} {request} {number}")

    def wake(self, delay_us: int, token: int) -> None:
        """Call back after the delay."""
        self.lines.append(f"{words.WAKE} {delay_us} {token}")

    def subscribe(self) -> None:
        """Ask for the host list and its changes."""
        self.lines.append(f"{words.SUBSCRIBE} 1")

    def log(self, line: str) -> None:
        """Write one line for the operators."""
        self.lines.append(f"{words.LOG} {line}")


class Instance:
    """One balancer.

    Attributes:
        port: Its actions.
        balancer: Its decisions; None before it starts and after it ends.
    """

    __slots__ = ("balancer", "port")

    def __init__(self) -> None:
        """Wait for a start."""
        self.port = WirePort()
        self.balancer: Balancer | None = None

    def start(self, message: Start, now: int) -> None:
        """Begin with these settings, in place of what it was before."""
        self.balancer = Balancer(message.settings, self.port, message.seed, now)

    def end(self) -> None:
        """Forget everything, actions too that nobody was told of."""
        self.balancer = None
        self.port.lines.clear()

    def handle(self, message: Message, now: int) -> None:
        """Act on a message; one that comes before a start is left aside."""
        if isinstance(message, Start):
            self.start(message, now)
        elif isinstance(message, Exit):
            self.end()
        elif self.balancer is not None:
            self.balancer.now = now
            if message is not None:
                message.apply_to(self.balancer)
