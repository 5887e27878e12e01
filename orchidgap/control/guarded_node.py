"""A node that accepts requests only while the balancer has permission to serve.

The permission is checked for each request. A process that was stopped for longer than its lease
therefore detects the expired lease before it accepts another request.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, Protocol

from orchidgap.decisions.repeat_safety import Idempotency
from orchidgap.net.body_stream import Upload
from orchidgap.net.config import BalancerConfig
from orchidgap.net.node import Node
from orchidgap.net.request_handler import Responder
from orchidgap.net.traffic_counts import RequestEnd

SERVICE_UNAVAILABLE = 503


class ServingGuard(Protocol):
    """Decides whether the balancer may serve at the moment."""

    def may_serve(self) -> bool:
        """Return whether the balancer may accept a request at this moment."""
        ...

    def retry_after_us(self) -> int:
        """Return the delay in microseconds after which a denied client may retry."""
        ...


class LeaseGuardedNode(Node):
    """A node that accepts a request only if its guard permits it."""

    guard: ServingGuard

    def is_ready(self) -> bool:
        """Return whether the node accepts requests."""
        return self.guard.may_serve() and super().is_ready()

    def knows_request_class(self, name: str) -> bool:
        """Return whether the request class exists; without permission to serve, always return True.

        Without permission the node must not answer 404 according to a policy that may no longer be
        in force.
        """
        return not self.guard.may_serve() or super().knows_request_class(name)

    def handle_request(
        self,
        responder: Responder,
        request_id: bytes,
        request_class: str,
        timeout_us: int,
        is_write: bool,
        key: bytes,
        tenant: str,
        head: bytes,
        body: bytes,
        slot: int = -1,
        upload: Upload | None = None,
        is_client_retry: bool = False,
        idempotency: Idempotency = Idempotency.UNKEYED,
    ) -> None:
        """Accept a request, or answer 503 with a time for a retry."""
        # Since the call of `knows_request_class` the balancer may have regained its permission,
        # under a policy that does not have the request class.
        known = request_class in self.config.settings.request_classes
        if not self.guard.may_serve() or not known:
            self.traffic_counts.requests_arrived += 1
            self.traffic_counts.on_request_end(RequestEnd.NOT_PERMITTED)
            responder.answer(SERVICE_UNAVAILABLE, retry_after_us=self.guard.retry_after_us())
            return
        super().handle_request(
            responder,
            request_id,
            request_class,
            timeout_us,
            is_write,
            key,
            tenant,
            head,
            body,
            slot,
            upload,
            is_client_retry,
            idempotency,
        )

    def put_policy_into_force(
        self, settings: Mapping[str, Any], config: BalancerConfig, accepting: bool
    ) -> None:
        """Apply these settings from now on (see `Balancer.on_settings` for open requests).

        `LeaseKeeper.adopt` calls this once the answers of a majority show that a newer version has
        been decided.

        Args:
            settings: The policy's settings, which also apply when the file is reloaded.
            config: The balancer's configuration with these settings.
            accepting: Whether the listener is open. If it is not, nothing depends on the previous
                settings yet, and settings that take effect only at startup are applied as well.
        """
        self.settings = settings
        if accepting:
            self.apply_config(config)
            return
        self.config = config
        self.pools.set_timeouts(config.connect_timeout_us, config.idle_timeout_us)
        self.call_decisions(self.balancer.on_settings, config.settings)
