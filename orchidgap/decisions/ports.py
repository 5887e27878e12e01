"""The interfaces between the decisions and the host program, which may use any protocol.

Times are whole microseconds. The ids of requests and hosts are passed back unchanged.
"""

from __future__ import annotations

from random import Random
from typing import Protocol

from orchidgap.decisions.settings import ServiceSettings


class Port(Protocol):
    """The operations that the decisions request of the host program."""

    def dispatch(self, request: int, host: str) -> None:
        """Send the request to a host; its attempts are numbered from 0 in the order of calls."""

    def deny(self, request: int, retry_after_us: int) -> None:
        """Send the final answer that a retry is harmless, best after this time (0: no advice)."""

    def abort(self, request: int) -> None:
        """Send the final answer that it failed and was possibly executed: a retry may repeat it."""

    def cancel(self, request: int, number: int) -> None:
        """Stop waiting for one attempt of the request."""

    def wake(self, delay_us: int, token: int) -> None:
        """Call `on_wake` with the token after the delay."""

    def subscribe(self) -> None:
        """Subscribe to the host list and all later changes to it."""

    def log(self, line: str) -> None:
        """Write one line for the operators."""


class RuleContext(Protocol):
    """The context of every rule: the time, the settings and the only source of randomness.

    Attributes:
        now: The current time in microseconds.
        settings: The service's settings.
        latency_objective_us: The shortest latency objective of all request classes.
        rng: The random generator. The order of draws is part of the simulator's trace.
    """

    now: int
    settings: ServiceSettings
    latency_objective_us: int
    rng: Random
