"""The interfaces between the decisions and the program around them.

The program may speak any protocol. Times are whole microseconds. Ids of requests and hosts are
passed back exactly as they were given.
"""

from __future__ import annotations

from random import Random
from typing import Protocol

from orchidgap.decisions.settings import ServiceSettings


class Port(Protocol):
    """What the decisions ask the host program to do."""

    def dispatch(self, request: int, host: str) -> None:
        """Send the request to a host; its attempts are numbered from 0 in this order."""

    def deny(self, request: int, retry_after_us: int) -> None:
        """Final answer: the client's own retry is harmless, best after this time (0: no advice)."""

    def abort(self, request: int) -> None:
        """Final answer: it failed and may have run, so that a retry could run it twice."""

    def cancel(self, request: int, number: int) -> None:
        """Stop waiting for one attempt of the request."""

    def wake(self, delay_us: int, token: int) -> None:
        """Call `on_wake` with the token after the delay."""

    def subscribe(self) -> None:
        """Ask for the host list and all later changes to it."""

    def log(self, line: str) -> None:
        """Write one line for the operators."""


class RuleContext(Protocol):
    """What every rule reads: the time, the settings and the one source of randomness.

    Attributes:
        now: The time in microseconds.
        settings: What the service is set to.
        latency_objective_us: The shortest latency objective of all request classes.
        rng: The random generator. The order of draws is part of the simulator's trace.
    """

    now: int
    settings: ServiceSettings
    latency_objective_us: int
    rng: Random
