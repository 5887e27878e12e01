"""Simulated clients that give up before their answer has arrived."""

from __future__ import annotations

from random import Random

from orchidgap.net.loop import Loop
from orchidgap.simulation.balancer_connection import BalancerConnection
from orchidgap.simulation.observations import ClientAttempt
from orchidgap.simulation.plan import ClientModel, milliseconds_to_us

MIN_WAIT_MS = 1.0  # shortest time after which a client closes its connection


class ClientDepartures:
    """Draws which clients give up early; some of them also close their connection.

    Nothing is drawn if the plan has no such clients, so that the traces of such plans stay the
    same.
    """

    def __init__(self, loop: Loop, rng: Random, settings: ClientModel) -> None:
        """Draw from the simulation's random generator."""
        self.loop = loop
        self.rng = rng
        self.settings = settings

    def draw_patience(self, attempt: ClientAttempt) -> None:
        """Draw whether the client gives up before its timeout, keeping the connection open."""
        ratio = self.settings.impatient_ratio
        if ratio and self.rng.random() < ratio:
            timeout_us = milliseconds_to_us(attempt.operation.request_class.client_timeout_ms)
            self.loop.call_later(self.rng.randrange(1, timeout_us), self.give_up, attempt)

    def give_up(self, attempt: ClientAttempt) -> None:
        """Stop waiting for an answer; the connection stays open."""
        if not attempt.status:
            attempt.abandoned = True
            attempt.operation.counted = False

    def draw_close(self, attempt: ClientAttempt, connection: BalancerConnection) -> None:
        """Draw whether the client closes its connection before its timeout.

        The time until then is drawn uniformly on a logarithmic scale, so that clients leave in
        every phase of a request: while it is queued, while an attempt is in flight, and between two
        attempts.
        """
        ratio = self.settings.leaving_ratio
        if not ratio or attempt.was_resent or self.rng.random() >= ratio:
            return
        longest_ms = attempt.operation.request_class.client_timeout_ms
        wait_ms = MIN_WAIT_MS * (longest_ms / MIN_WAIT_MS) ** self.rng.random()
        self.loop.call_later(milliseconds_to_us(wait_ms), self.leave, attempt, connection)

    def leave(self, attempt: ClientAttempt, connection: BalancerConnection) -> None:
        """Close the connection, unless the request has ended or moved to another one."""
        if connection.attempt is not attempt:
            return
        self.give_up(attempt)
        attempt.left_at_us = self.loop.clock()
        connection.abandon()
