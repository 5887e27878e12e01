"""One attempt of a balancer at a stand-in host: waiting there, then running."""

from __future__ import annotations

from typing import TYPE_CHECKING

from orchidgap.net.loop import Timer
from orchidgap.simulation.observations import HostAttempt

if TYPE_CHECKING:
    from orchidgap.simulation.server_connection import ServerConnection


class HostJob:
    """One attempt at its host. Times in microseconds.

    Attributes:
        connection: Where it came, and where its answer goes.
        attempt: The attempt as the invariant checker knows it.
        idempotency_key: Of a write, empty for none; for a slot server the key of the value.
        work_us: Its work on a core of speed 1.
        asking: It was sent here for this one time, where servers own slots.
        missed_cold: Its request missed at a cold host before it came here.
        outcome: What the host answers.
        duration_us: How long it takes here.
        ends_at_us: When it is done.
        timer: Runs until then.
    """

    __slots__ = (
        "asking",
        "attempt",
        "connection",
        "duration_us",
        "ends_at_us",
        "idempotency_key",
        "missed_cold",
        "outcome",
        "timer",
        "work_us",
    )

    def __init__(
        self, connection: ServerConnection, attempt: HostAttempt, idempotency_key: bytes
    ) -> None:
        """Take an attempt that has come whole."""
        self.connection = connection
        self.attempt = attempt
        self.idempotency_key = idempotency_key
        self.work_us = attempt.client_attempt.operation.work_us
        self.asking = False
        self.missed_cold = False
        self.outcome = "done"
        self.duration_us = 0
        self.ends_at_us = 0
        self.timer: Timer | None = None
