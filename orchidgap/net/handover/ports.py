"""What a handover needs of the node, and what the protocols hand over."""

from __future__ import annotations

import socket
from collections.abc import Callable, Collection, Mapping
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
    def config(self) -> BalancerConfig: ...

    @property
    def event_log(self) -> EventLog: ...

    @property
    def lifecycle(self) -> Lifecycle: ...

    @property
    def balancer(self) -> Balancer: ...

    @property
    def clients(self) -> ClientListener: ...

    @property
    def pools(self) -> ConnectionPools[Any]: ...

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
    def descriptor_limit(self) -> int: ...

    @property
    def has_warm_state(self) -> bool:
        """Whether what decides here can export and restore a snapshot."""

    def set_descriptor_limit(self, descriptors: int) -> None: ...

    def descriptors_needed(self) -> int: ...

    def on_list(self, whole: bool, entries: list[EndpointEntry], found: list[Endpoint]) -> None: ...

    def check_ready(self) -> None: ...

    def call_decisions(self, call: Callable[..., None], *args: Any) -> None: ...

    def migrating_requests(self) -> Collection[MigratingRequest] | Any:
        """An iterable of the requests that can go on in another process, each as it stands."""

    def accept_migrated(self, words: list[Any], raw: bytes, sockets: list[socket.socket]) -> None:
        """A request that comes from another process. Raises ValueError or the like where it makes no sense."""
