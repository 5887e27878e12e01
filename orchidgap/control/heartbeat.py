"""A balancer's heartbeats to control: the answers to the current one, and the time of the next.

Times are integer microseconds.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from orchidgap.control.messages import LeaseAnswer
from orchidgap.net.loop import Loop, Timer

CALL_TIMEOUT_US = 500_000
FIRST_INTERVAL_US = 100_000  # until the first answer specifies an interval
MAX_DOUBLINGS = 4  # maximum doublings of the delay while heartbeats fail
MAX_BACKOFF_US = 2_000_000
BACKOFF_JITTER = (0.75, 1.25)  # bounds of the random factor of a backoff
INTERVAL_JITTER = (0.8, 1.0)  # bounds of the random factor of an interval


@dataclass(eq=False)
class Heartbeat:
    """One heartbeat to all control processes, and their answers.

    Attributes:
        sent_at_us: The time at which the heartbeat was sent; a lease starts at this time.
        answers: The answers in order of arrival, None for a call that failed.
        state_known: Whether the answers so far determine the chosen state.
        done: Whether further answers are ignored.
    """

    sent_at_us: int
    answers: list[LeaseAnswer | None] = field(default_factory=list)
    state_known: bool = False
    done: bool = False


class HeartbeatSchedule:
    """Schedules the next heartbeat. Each call replaces the time set by the previous call.

    Attributes:
        interval_us: The interval between successful heartbeats, as specified by control.
        failures: The number of consecutive heartbeats that failed.
    """

    def __init__(self, loop: Loop, rng: Random, send: Callable[[], None]) -> None:
        """Create a schedule without a pending heartbeat; `send` sends a heartbeat."""
        self.loop = loop
        self.rng = rng
        self.send = send
        self.interval_us = FIRST_INTERVAL_US
        self.failures = 0
        self.timer: Timer | None = None

    def send_after(self, delay_us: int) -> None:
        """Send the next heartbeat after this delay."""
        if self.timer:
            self.timer.cancel()
        self.timer = self.loop.call_later(delay_us, self.send)

    def send_after_interval(self, elapsed_us: int) -> None:
        """Send the next heartbeat one interval after the last, which was sent `elapsed_us` ago."""
        interval_us = round(self.interval_us * self.rng.uniform(*INTERVAL_JITTER))
        self.send_after(max(0, interval_us - elapsed_us))

    def send_after_backoff(self) -> None:
        """Count a failure and send the next heartbeat after an exponential backoff with jitter.

        Without it, hundreds of balancers that start together would overload control so that it
        could not answer any of them.
        """
        self.failures += 1
        doublings = min(self.failures - 1, MAX_DOUBLINGS)
        backoff_us = min(MAX_BACKOFF_US, CALL_TIMEOUT_US << doublings)
        self.send_after(round(backoff_us * self.rng.uniform(*BACKOFF_JITTER)))

    def retry_soon(self) -> None:
        """Send the next heartbeat after a short delay, which grows with the number of failures."""
        self.send_after(FIRST_INTERVAL_US << min(self.failures, MAX_DOUBLINGS))
