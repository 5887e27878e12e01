"""Stand-in clients that give up before their answer has come."""

from __future__ import annotations

from random import Random

from orchidgap.net.loop import Loop
from orchidgap.simulation.balancer_connection import BalancerConnection
from orchidgap.simulation.observations import ClientAttempt
from orchidgap.simulation.plan import ClientModel, milliseconds_to_us

LEAST_STAY_MS = 1.0


class ClientDepartures:
    """Draws which clients give up early; some of them close their connection as they do.

    Nothing is drawn where the plan asks for none, so that its trace stays the same.
    """

    def __init__(self, loop: Loop, rng: Random, settings: ClientModel) -> None:
        """Draw from the simulation's own generator."""
        self.loop = loop
        self.rng = rng
        self.settings = settings

    def draw_patience(self, attempt: ClientAttempt) -> None:
        """Some clients give up before their time, and leave their connection open."""
        ratio = self.settings.impatient_ratio
        if ratio and self.rng.random() < ratio:
            timeout_us = milliseconds_to_us(attempt.operation.request_class.client_timeout_ms)
            self.loop.call_later(self.rng.randrange(1, timeout_us), self.give_up, attempt)

    def give_up(self, attempt: ClientAttempt) -> None:
        """The client waits no longer; its connection stays open."""
        if not attempt.status:
            attempt.abandoned = True
            attempt.operation.counted = False

    def draw_close(self, attempt: ClientAttempt, connection: BalancerConnection) -> None:
        """Some clients close their connection before their time.

        How long they stay is drawn evenly on a logarithmic scale, so that they leave in every phase
        of a request: while it waits, while an attempt is in flight, and between two attempts.
        """
        ratio = self.settings.leaving_ratio
        if not ratio or attempt.was_resent or self.rng.random() >= ratio:
            return
        longest_ms = attempt.operation.request_class.client_timeout_ms
        stay_ms = LEAST_STAY_MS * (longest_ms / LEAST_STAY_MS) ** self.rng.random()
        self.loop.call_later(milliseconds_to_us(stay_ms), self.leave, attempt, connection)

    def leave(self, attempt: ClientAttempt, connection: BalancerConnection) -> None:
        """Close the connection, unless the request has ended or goes on elsewhere."""
        if connection.attempt is not attempt:
            return
        self.give_up(attempt)
        attempt.left_at_us = self.loop.clock()
        connection.abandon()
