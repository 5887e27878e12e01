"""The interface of the node that a handover uses, and the requests that protocols hand over."""

from __future__ import annotations

import socket
from collections.abc import Callable, Collection, Iterable, Mapping
from typing import TYPE_CHECKING, Any, NamedTuple, Protocol

from orchidgap.net.client_listener import ClientListener
from orchidgap.net.config import BalancerConfig
from orchidgap.net.connection_pools import ConnectionPools
from orchidgap.net.endpoints import Endpoint, EndpointEntry
from orchidgap.net.event_log import EventLog
from orchidgap.net.sent_request_ids import SentRequestIds

if TYPE_CHECKING:
    from orchidgap.decisions.balancer import Balancer
    from orchidgap.decisions.lifecycle import Lifecycle


class MigratingRequest(NamedTuple):
    """A request in progress that another process continues."""

    items: list[Any]  # the message that describes the request, in the format of its protocol
    raw: bytes  # bytes that follow the message in its packet
    sockets: list[socket.socket]
    detach: Callable[[], None]  # called once the message has been sent


class HandoverNode(Protocol):
    """The parts of a node that a handover reads and changes."""

    @property
    def config(self) -> BalancerConfig:
        """The configuration, as read at start or reloaded since."""

    @property
    def event_log(self) -> EventLog:
        """The log of events."""

    @property
    def lifecycle(self) -> Lifecycle:
        """The state of this process."""

    @property
    def balancer(self) -> Balancer:
        """The decisions of this balancer."""

    @property
    def clients(self) -> ClientListener:
        """The listener, with the connections of clients."""

    @property
    def pools(self) -> ConnectionPools[Any]:
        """The connections to hosts."""

    @property
    def endpoints(self) -> Mapping[str, tuple[EndpointEntry, Endpoint]]:
        """The host list as it was received, by host id."""

    @property
    def exchanges(self) -> Collection[int]:
        """Numbers of the requests in progress."""

    @property
    def open_request_ids(self) -> Collection[bytes]:
        """Ids of the requests that have not been answered."""

    @property
    def sent_request_ids(self) -> SentRequestIds:
        """Ids of the requests that must not be executed again."""

    @property
    def descriptor_limit(self) -> int:
        """How many descriptors this process may use."""

    @property
    def has_warm_state(self) -> bool:
        """Whether the decisions can export and restore a snapshot."""

    def set_descriptor_limit(self, descriptors: int) -> None:
        """Use at most this many descriptors."""

    def descriptors_needed(self) -> int:
        """How many descriptors the node uses or needs immediately."""

    def export_list(self) -> list[tuple[EndpointEntry, Endpoint]]:
        """Return the host list for a successor process."""

    def restore_list(self, entries: list[EndpointEntry], endpoints: list[Endpoint]) -> bool:
        """Use the host list of another process, unless it may be outdated; return whether."""

    def check_ready(self) -> None:
        """Begin to serve, unless something is still awaited."""

    def call_decisions(self, call: Callable[..., None], *args: Any) -> None:
        """Call a function of the decisions."""

    def migrating_requests(self) -> Iterable[MigratingRequest]:
        """The requests that another process can continue, each in its current state."""

    def accept_migrated(self, items: list[Any], raw: bytes, sockets: list[socket.socket]) -> None:
        """Continue a request from another process.

        Raises ValueError, TypeError, LookupError or AttributeError for an invalid message.
        """
