"""What a handover needs of the node, and what the protocols hand over."""

from __future__ import annotations

import socket
from collections.abc import Callable, Collection, Iterable, Mapping
from typing import TYPE_CHECKING, Any, NamedTuple, Protocol

from orchidgap.net.client_listener import ClientListener
from orchidgap.net.config import BalancerConfig
from orchidgap.net.connection_pools import ConnectionPools
from orchidgap.net.endpoints import Endpoint, EndpointEntry
from orchidgap.net.event_log import EventLog

if TYPE_CHECKING:
    from orchidgap.decisions.balancer import Balancer
    from orchidgap.decisions.lifecycle import Lifecycle


class MigratingRequest(NamedTuple):
    """A request under way that goes on in another process."""

    words: list[Any]  # the message that describes it, as the protocol writes it
    raw: bytes  # follows the message in its packet
    sockets: list[socket.socket]
    detach: Callable[[], None]  # called once all of it has been sent


class HandoverNode(Protocol):
    """The node, as far as a handover reads and changes it."""

    @property
    def config(self) -> BalancerConfig:
        """What this balancer was told at start, or read since."""

    @property
    def event_log(self) -> EventLog:
        """Where events are written."""

    @property
    def lifecycle(self) -> Lifecycle:
        """The state of this process."""

    @property
    def balancer(self) -> Balancer:
        """What decides."""

    @property
    def clients(self) -> ClientListener:
        """The clients' side."""

    @property
    def pools(self) -> ConnectionPools[Any]:
        """The connections to hosts."""

    @property
    def endpoints(self) -> Mapping[str, tuple[EndpointEntry, Endpoint]]:
        """The list of hosts as it was received, by id."""

    @property
    def exchanges(self) -> Collection[int]:
        """Numbers of the requests under way."""

    @property
    def open_request_ids(self) -> Collection[bytes]:
        """Ids of the requests whose clients still wait."""

    @property
    def descriptor_limit(self) -> int:
        """Descriptors that this process may hold."""

    @property
    def has_warm_state(self) -> bool:
        """Whether what decides here can export and restore a snapshot."""

    def set_descriptor_limit(self, descriptors: int) -> None:
        """Hold no more descriptors than these."""

    def descriptors_needed(self) -> int:
        """Descriptors that it holds, or needs at once."""

    def on_list(self, whole: bool, entries: list[EndpointEntry], found: list[Endpoint]) -> None:
        """Take the list of hosts, or changes to it."""

    def check_ready(self) -> None:
        """Serve, where nothing is waited for any more."""

    def call_decisions(self, call: Callable[..., None], *args: Any) -> None:
        """Make one call of the decisions."""

    def migrating_requests(self) -> Iterable[MigratingRequest]:
        """Requests that can go on in another process, each as it stands."""

    def accept_migrated(self, words: list[Any], raw: bytes, sockets: list[socket.socket]) -> None:
        """A request that comes from another process. Raises ValueError or the like where it makes
        no sense.
        """
