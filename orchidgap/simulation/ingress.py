"""The layer that spreads clients over the balancers.

It probes whether each balancer is ready, and opens no new connections to one that is not.
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
CLOSED_AFTER_US = 200_000  # time from the first failed probe to the end of new connections
PROBE_REQUEST = b"GET /up HTTP/1.1\r\nHost: front\r\nConnection: close\r\n\r\n"
READY_STATUS = 200


class HealthProbe:
    """One readiness probe of a balancer; it reports one result to the ingress."""

    def __init__(self, ingress: Ingress, balancer: str, sock: socket.socket, opening: bool) -> None:
        """Probe on a socket that is connected or, with `opening`, still connecting."""
        loop = ingress.environment.loop
        self.ingress = ingress
        self.balancer = balancer
        self.reader = ResponseReader()
        self.is_done = False
        self.conn = Connection(loop, sock, self, opening=opening)
        self.conn.send(PROBE_REQUEST)
        loop.call_later(PROBE_TIMEOUT_US, self._time_out)

    def on_connected(self) -> None:
        """Do nothing: the request is buffered and is sent automatically."""

    def on_data(self, view: memoryview) -> None:
        """Process received bytes of the answer."""
        self.reader.feed(view)
        message = self.reader.message
        if message.complete and not self.is_done:
            self._report(message.status == READY_STATUS)
            self.conn.close_gracefully()

    def on_closed(self, reason: str) -> None:
        """Report the balancer as not ready if the connection ended without an answer."""
        if not self.is_done:
            self._report(is_ready=False)

    def _report(self, is_ready: bool) -> None:
        self.is_done = True
        self.ingress.on_probe_result(self.balancer, is_ready)

    def _time_out(self) -> None:
        if not self.is_done:
            self.conn.fail("timeout")


class Ingress:
    """Probes balancers; those that are not ready for a while get no new connections.

    Attributes:
        is_active: Whether it probes: only if the plan has faults of operators.
        not_ready_since_us: When each balancer that is not ready first failed a probe.
    """

    def __init__(self, environment: Environment) -> None:
        """Probe only if the environment's plan has a fault of operators."""
        faults = environment.plan.faults
        self.environment = environment
        self.is_active = any(fault.kind in OPERATOR_FAULT_KINDS for fault in faults)
        self.not_ready_since_us: dict[str, int] = {}

    def start(self) -> None:
        """Start probing, if the ingress is active."""
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
        """Record the result of a probe; an unreachable balancer is not ready."""
        if is_ready:
            self.not_ready_since_us.pop(balancer, None)
        else:
            self.not_ready_since_us.setdefault(balancer, self.environment.loop.now)

    def is_closed(self, balancer: str) -> bool:
        """Return whether a balancer gets no new connections."""
        since_us = self.not_ready_since_us.get(balancer)
        return since_us is not None and self.environment.loop.now - since_us > CLOSED_AFTER_US
