"""A balancer's heartbeats to control: what one has brought so far, and when the next one is due.

Times are whole microseconds.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from orchidgap.control.messages import LeaseAnswer
from orchidgap.net.loop import Loop, Timer

CALL_TIMEOUT_US = 500_000
FIRST_INTERVAL_US = 100_000  # until control has said how often
MAX_DOUBLINGS = 4  # of an interval, while heartbeats fail
MAX_BACKOFF_US = 2_000_000
BACKOFF_JITTER = (0.75, 1.25)
INTERVAL_JITTER = (0.8, 1.0)


@dataclass(eq=False)
class Heartbeat:
    """One heartbeat to all control processes, and what they answered.

    Attributes:
        sent_at_us: When it was sent; a lease counts from then.
        answers: In the order they came, None for a call that failed.
        state_known: The chosen state could be told from the answers so far.
        done: Answers that come from now on change nothing.
    """

    sent_at_us: int
    answers: list[LeaseAnswer | None] = field(default_factory=list)
    state_known: bool = False
    done: bool = False


class HeartbeatSchedule:
    """When the next heartbeat is sent. Each call replaces the time that was set before.

    Attributes:
        interval_us: Between heartbeats that succeed; control says how long.
        failures: How many heartbeats in a row brought nothing.
    """

    def __init__(self, loop: Loop, rng: Random, send: Callable[[], None]) -> None:
        """Make a schedule with nothing due; `send` sends a heartbeat."""
        self.loop = loop
        self.rng = rng
        self.send = send
        self.interval_us = FIRST_INTERVAL_US
        self.failures = 0
        self.timer: Timer | None = None

    def send_after(self, delay_us: int) -> None:
        """Send the next one after this time."""
        if self.timer:
            self.timer.cancel()
        self.timer = self.loop.call_later(delay_us, self.send)

    def send_after_interval(self, spent_us: int) -> None:
        """Send the next one an interval after the last, which was sent `spent_us` ago."""
        interval_us = round(self.interval_us * self.rng.uniform(*INTERVAL_JITTER))
        self.send_after(max(0, interval_us - spent_us))

    def send_after_backoff(self) -> None:
        """Count a failure, and wait longer after each one, with jitter.

        Hundreds of balancers that start together would keep control too busy to answer any of them.
        """
        self.failures += 1
        doublings = min(self.failures - 1, MAX_DOUBLINGS)
        backoff_us = min(MAX_BACKOFF_US, CALL_TIMEOUT_US << doublings)
        self.send_after(round(backoff_us * self.rng.uniform(*BACKOFF_JITTER)))

    def retry_soon(self) -> None:
        """Send the next one after a short time, which grows with the failures."""
        self.send_after(FIRST_INTERVAL_US << min(self.failures, MAX_DOUBLINGS))
