"""One attempt of a balancer at a simulated host, queued or running there."""

from __future__ import annotations

from typing import TYPE_CHECKING

from orchidgap.net.loop import Timer
from orchidgap.simulation.observations import HostAttempt

if TYPE_CHECKING:
    from orchidgap.simulation.server_connection import ServerConnection


class HostJob:
    """One attempt at its host. Times in microseconds.

    Attributes:
        connection: The connection of its request and answer.
        attempt: The attempt's record in the invariant checker.
        idempotency_key: The key of a write, empty for none; for a slot server the value's key.
        work_us: Its work on a core of speed 1.
        asking: Whether `ASKING` preceded it, where servers own slots.
        missed_cold: Whether its request missed at a cold cache before it reached this host.
        outcome: The outcome that the host answers.
        duration_us: How long it occupies a core here.
        ends_at_us: When its work is done.
        timer: Fires at `ends_at_us`.
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
        """Start with an attempt whose request is complete."""
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
