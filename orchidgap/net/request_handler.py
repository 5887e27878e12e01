"""What the clients' side of a protocol and the node ask of each other, one request at a time."""

from __future__ import annotations

from typing import Protocol

from orchidgap.decisions.lifecycle import Lifecycle
from orchidgap.net.body_stream import Upload
from orchidgap.net.traffic_counts import TrafficCounts


class PendingRequest(Protocol):
    """A request that was handed to the node and has no answer yet."""

    @property
    def has_begun(self) -> bool:
        """Whether it is answered or an attempt of it was sent; else it waits for a host."""

    def on_client_disconnect(self) -> None:
        """Its client has gone away."""

    def on_body_complete(self) -> None:
        """The last byte of a body that flows is there; the responder's `received_at_us` says since
        when.
        """


class Responder(Protocol):
    """Whoever is owed the answer to one request."""

    pending_request: PendingRequest | None

    @property
    def received_at_us(self) -> int:
        """When the request's last byte came, on the loop's clock."""

    @property
    def turn_at_us(self) -> int:
        """When what its client had sent before let it go, on the loop's clock; 0 for at once."""

    def has_disconnected(self) -> bool:
        """Whether its client has closed; it is let go then, though not within this call."""

    def answer(
        self, status: int, body: bytes = b"", retry_after_us: int = 0, length: int | None = None
    ) -> None:
        """Send the whole answer.

        The status is 200, 400, 500 or 503, whatever is spoken; `retry_after_us`
        is how long the client is asked to wait before it comes back, in microseconds; `length` is
        what the head tells where it has no body.
        """


class RequestHandler(Protocol):
    """The node, as the clients' side of a protocol sees it."""

    lifecycle: Lifecycle
    traffic_counts: TrafficCounts

    def is_ready(self) -> bool:
        """Whether the balancer says that it serves."""

    def knows_request_class(self, name: str) -> bool:
        """Whether there is a request class of this name."""

    def is_request_open(self, request_id: bytes) -> bool:
        """Whether a request of this id is open."""

    def slot_owner(self, slot: int) -> str:
        """The id of the server that owns the slot; empty where that is not known."""

    def rejection_retry_after_us(self) -> int:
        """How long a client for whom there is no room should stay away; 0 to tell it nothing."""

    def close_idle_connection(self) -> bool:
        """Close an idle connection to a host; whether there was one."""

    def handle_request(
        self,
        responder: Responder,
        request_id: bytes,
        request_class: str,
        time_remaining_us: int,
        is_write: bool,
        key: bytes,
        tenant: str,
        head: bytes,
        body: bytes,
        slot: int = -1,
        upload: Upload | None = None,
        is_client_retry: bool = False,
    ) -> None:
        """Take a request. Sets `responder.pending_request`; `responder.answer` is called once.

        `time_remaining_us` is how long the client waits; a slot below 0 is taken from the key. A
        body that flows is not in `body`; `pending_request.on_body_complete` is called at its end.
        """
