"""The layer before the balancers.

It asks each whether it serves, and sends no new client to one that does not.
"""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING

from orchidgap.http1.readers import ResponseReader
from orchidgap.net.attempt_failure import AttemptFailure
from orchidgap.net.connection import Connection
from orchidgap.simulation.plan import OPERATOR_FAULT_KINDS

if TYPE_CHECKING:
    from orchidgap.simulation.environment import Environment

PROBE_INTERVAL_US = 100_000
PROBE_TIMEOUT_US = 1_000_000
CLOSED_AFTER_US = 200_000  # new connections still come for so long after the first refusal
PROBE_REQUEST = b"GET /up HTTP/1.1\r\nHost: front\r\nConnection: close\r\n\r\n"
READY_STATUS = 200


class HealthProbe:
    """One question to a balancer whether it serves; tells the ingress the answer, once."""

    def __init__(self, ingress: Ingress, balancer: str, sock: socket.socket, opening: bool) -> None:
        """Ask on a socket that is connected or, with `opening`, on its way."""
        loop = ingress.environment.loop
        self.ingress = ingress
        self.balancer = balancer
        self.reader = ResponseReader()
        self.settled = False
        self.conn = Connection(loop, sock, self, opening=opening)
        self.conn.send(PROBE_REQUEST)
        loop.call_later(PROBE_TIMEOUT_US, self._time_out)

    def opened(self) -> None:
        """The connection has come up; the question goes out by itself."""

    def received(self, view: memoryview) -> None:
        """Take bytes of the answer."""
        self.reader.feed(view)
        message = self.reader.message
        if message.complete and not self.settled:
            self._settle(message.status == READY_STATUS)
            self.conn.close_gracefully()

    def ended(self, what: str) -> None:
        """The connection ended; without an answer that counts as a no."""
        if not self.settled:
            self._settle(is_ready=False)

    def _settle(self, is_ready: bool) -> None:
        self.settled = True
        self.ingress.on_probe_result(self.balancer, is_ready)

    def _time_out(self) -> None:
        if not self.settled:
            self.conn.fail("late")


class Ingress:
    """Deals out connections: none to a balancer that has said for a while that it does not serve.

    Attributes:
        is_active: Whether it probes at all: only where a plan has operators.
        not_ready_since_us: Since when each balancer that is not ready has said so.
    """

    def __init__(self, environment: Environment) -> None:
        """Probe in an environment whose plan has a fault of the operators."""
        faults = environment.plan.faults
        self.environment = environment
        self.is_active = any(fault.kind in OPERATOR_FAULT_KINDS for fault in faults)
        self.not_ready_since_us: dict[str, int] = {}

    def start(self) -> None:
        """Begin to probe, where it probes at all."""
        if self.is_active:
            self._probe_all()

    def _probe_all(self) -> None:
        environment = self.environment
        for name, balancer in environment.balancers.items():
            if not balancer.alive or not balancer.ready_at:
                continue
            dialled = environment.network.dial(balancer.address)
            if isinstance(dialled, AttemptFailure):
                self.on_probe_result(name, is_ready=False)
            else:
                HealthProbe(self, name, dialled, not environment.network.virtual)
        environment.loop.call_later(PROBE_INTERVAL_US, self._probe_all)

    def on_probe_result(self, balancer: str, is_ready: bool) -> None:
        """A balancer said whether it serves, or could not be asked."""
        if is_ready:
            self.not_ready_since_us.pop(balancer, None)
        else:
            self.not_ready_since_us.setdefault(balancer, self.environment.loop.now)

    def is_closed(self, balancer: str) -> bool:
        """Return whether no new connection goes to a balancer."""
        since_us = self.not_ready_since_us.get(balancer)
        return since_us is not None and self.environment.loop.now - since_us > CLOSED_AFTER_US
