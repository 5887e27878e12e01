"""The actions of the decisions, carried out on the network: the `ports.Port` of a node."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from orchidgap.decisions.records import AttemptOutcome
from orchidgap.net.connection_pools import ConnectionPools
from orchidgap.net.discovery import HostDiscovery
from orchidgap.net.event_log import EventLog
from orchidgap.net.exchange import Exchange
from orchidgap.net.loop import Loop
from orchidgap.net.rejection_log import RejectionLog
from orchidgap.net.upstream_attempt import UpstreamAttempt

if TYPE_CHECKING:
    from orchidgap.decisions.balancer import Balancer


class DecisionsPort:
    """The part of a node that the decisions call."""

    loop: Loop
    event_log: EventLog
    balancer: Balancer
    discovery: HostDiscovery
    pools: ConnectionPools[Any]
    exchanges: dict[int, Exchange]
    rejection_log: RejectionLog
    response_hold_us: int  # how long an answer of unknown length may be held

    def call_decisions(
        self, call: Callable[..., None], *args: Any, exchange: Exchange | None = None
    ) -> None:
        """Make one call of the decisions."""
        raise NotImplementedError

    def dispatch(self, request: int, host: str) -> None:
        """Send an attempt of a request to a host."""
        exchange = self.exchanges[request]
        # The last byte of a streamed body has not arrived yet, so the deadline of the exchange is
        # only a placeholder; no host should wait for longer than the client does.
        deadline_us = min(exchange.deadline_us, self.loop.now + exchange.timeout_us)
        attempts = exchange.attempts
        attempt = UpstreamAttempt(
            exchange.head, exchange.body, deadline_us, exchange, len(attempts), host
        )
        attempt.client_timeout_us = exchange.timeout_us
        attempt.upload = exchange.upload
        attempt.response_hold_us = self.response_hold_us
        if attempts:
            last = attempts[-1]
            attempt.asking = last.redirect_once and last.redirect_host == host
        attempts.append(attempt)
        if exchange.closed or self.loop.now >= exchange.deadline_us:
            self.loop.call_soon(attempt.settle, AttemptOutcome.NEVER_SENT)
        else:
            self.pools.send(host, attempt)

    def deny(self, request: int, retry_after_us: int) -> None:
        """Answer with 503, and have the client retry after `retry_after_us`."""
        if request in self.exchanges:
            self.exchanges[request].answer(503, retry_after_us=retry_after_us)
        self.rejection_log.on_rejected(self.loop.now)

    def abort(self, request: int) -> None:
        """Answer with 500, as the request has failed."""
        if request in self.exchanges:
            self.exchanges[request].answer(500)
        self.rejection_log.on_rejected(self.loop.now)

    def cancel(self, request: int, number: int) -> None:
        """Cancel an attempt in flight."""
        if request in self.exchanges:
            exchange = self.exchanges[request]
            exchange.cancel_attempt(exchange.attempts[number])

    def wake(self, delay_us: int, token: int) -> None:
        """Call the decisions after a delay in microseconds."""
        self.loop.call_later(delay_us, self.on_timer, token)

    def on_timer(self, token: int) -> None:
        """Call the decisions at the time that `wake` set."""
        self.call_decisions(self.balancer.on_wake, token)

    def subscribe(self) -> None:
        """Request the list of hosts."""
        self.discovery.fetch()

    def log(self, line: str) -> None:
        """Log a line of the decisions."""
        self.event_log("mode", what=line)
