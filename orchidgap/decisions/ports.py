"""The interface that the decisions act through. Any protocol may stand behind it.

Times are whole microseconds. Req and host ids are passed back exactly as they were given.
"""

from __future__ import annotations

from typing import Protocol


class Port(Protocol):
    def dispatch(self, request: int, host: str) -> None:
        """Send the req to a host; its dispatches are numbered from 0 in this order."""

    def deny(self, request: int, retry_after_us: int) -> None:
        """Final answer: turned away, a retry is harmless, best after `pause` (0 for no advice)."""

    def abort(self, request: int) -> None:
        """Final answer: it failed, and nothing is promised about its effect."""

    def cancel(self, request: int, number: int) -> None:
        """Stop waiting for one dispatch of the req."""

    def wake(self, delay_us: int, token: int) -> None:
        """Ask for the token back after the delay."""

    def subscribe(self) -> None:
        """Ask for the host list and all later changes to it."""

    def log(self, line: str) -> None:
        """One line for the operators."""
