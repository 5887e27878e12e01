"""An attempt that is sent in the next turn, as the turn that decided on it was stalled."""

from __future__ import annotations

from collections.abc import Callable

from orchidgap.net.attempt_failure import SendProgress
from orchidgap.net.loop import Loop
from orchidgap.net.upstream_attempt import UpstreamAttempt


class PostponedSend:
    """Carries an attempt until a host list that may have arrived during the stall has been read."""

    def __init__(
        self, loop: Loop, attempt: UpstreamAttempt, send: Callable[[UpstreamAttempt], None]
    ) -> None:
        """Call `send` with the attempt in the next turn, unless the attempt is dropped before."""
        self.attempt: UpstreamAttempt | None = attempt
        self.send = send
        attempt.carrier = self
        loop.call_next_turn(self.send_now)

    def send_now(self) -> None:
        """Send the attempt, unless it was dropped."""
        attempt = self.attempt
        if attempt is None:
            return
        self.attempt = None
        attempt.carrier = None
        self.send(attempt)

    def drop(self, attempt: UpstreamAttempt) -> SendProgress:
        """Drop the attempt; no byte of it was written."""
        self.attempt = None
        return SendProgress.UNSENT
