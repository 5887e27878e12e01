"""The interfaces between the clients' side of a protocol and the node, for single requests."""

from __future__ import annotations

from typing import Protocol

from orchidgap.decisions.lifecycle import Lifecycle
from orchidgap.decisions.repeat_safety import Idempotency
from orchidgap.net.body_stream import Upload
from orchidgap.net.memory_pressure import MemoryPressure
from orchidgap.net.traffic_counts import TrafficCounts


class PendingRequest(Protocol):
    """A request that was passed to the node and is not answered yet."""

    @property
    def has_begun(self) -> bool:
        """Whether it was answered or an attempt was sent; otherwise it is queued for a host."""

    def on_client_disconnect(self) -> None:
        """Handle that the client has disconnected."""

    def on_body_complete(self) -> None:
        """Handle the last byte of a streamed body, which arrived at `Responder.received_at_us`."""


class Responder(Protocol):
    """Receives the answer to one request."""

    pending_request: PendingRequest | None

    @property
    def received_at_us(self) -> int:
        """When the request's last byte arrived, by the loop's clock."""

    @property
    def unblocked_at_us(self) -> int:
        """When earlier requests of its client stopped blocking it, by the loop's clock.

        It is 0 if the request was not blocked.
        """

    def has_disconnected(self) -> bool:
        """Whether its client has closed; the connection is then closed, after this call."""

    def may_have_disconnected(self) -> bool:
        """Whether its client may have closed behind so many bytes that the close is not seen."""

    def answer(
        self, status: int, body: bytes = b"", retry_after_us: int = 0, length: int | None = None
    ) -> None:
        """Send the complete answer.

        Args:
            status: 200, 400, 500 or 503, for any protocol.
            body: The body.
            retry_after_us: The delay in microseconds after which the client should retry.
            length: The length that the head declares if there is no body.
        """


class RequestHandler(Protocol):
    """The part of the node that the clients' side of a protocol uses."""

    lifecycle: Lifecycle
    memory_pressure: MemoryPressure
    traffic_counts: TrafficCounts

    def is_ready(self) -> bool:
        """Whether the balancer reports that it is ready."""

    def knows_request_class(self, name: str) -> bool:
        """Whether there is a request class of this name."""

    def is_request_open(self, request_id: bytes) -> bool:
        """Whether a request of this id is open."""

    def slot_owner(self, slot: int) -> str:
        """Return the id of the server that owns the slot, or an empty text if it is not known."""

    def rejection_retry_after_us(self) -> int:
        """Return the Retry-After of clients rejected for lack of capacity; 0 to send none."""

    def close_idle_connection(self) -> bool:
        """Close an idle connection to a host; return whether there was one."""

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
        """Handle a new request.

        Sets `responder.pending_request`; `responder.answer` is called once.

        `timeout_us` is how long the client waits, counted from the request's last byte. A slot
        below 0 is derived from the key. `idempotency` is `KEYED` only if the idempotency key is
        part of what is sent to hosts. A streamed body is not in `body`, and
        `pending_request.on_body_complete` is called at its end.
        """
