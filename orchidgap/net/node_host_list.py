"""A node's list of hosts: told by discovery, recalled from the configuration, or handed over.

`HostDiscovery` decides which list counts. The node applies it to the connection pools and to the
decisions, and is ready once it has one.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from orchidgap.decisions.host_list import ListScope
from orchidgap.decisions.lifecycle import LifecycleEvent
from orchidgap.net.connection_pools import ConnectionPools
from orchidgap.net.discovery import HostDiscovery
from orchidgap.net.endpoints import Endpoint, EndpointEntry

if TYPE_CHECKING:
    from orchidgap.decisions.balancer import Balancer
    from orchidgap.net.handover.absent import NoHandover
    from orchidgap.net.handover.coordinator import Handover


class NodeHostList:
    """The part of a node that receives and applies the host list.

    Attributes:
        endpoints: The host list as received, by host.
        list_received: Whether discovery has told a list, or the wait for it is over.
    """

    endpoints: dict[str, tuple[EndpointEntry, Endpoint]]
    list_received: bool
    balancer: Balancer
    discovery: HostDiscovery
    handover: Handover | NoHandover
    pools: ConnectionPools[Any]
    call_decisions: Callable[..., None]
    transition: Callable[[LifecycleEvent], None]

    def on_list(self, whole: bool, entries: list[EndpointEntry], endpoints: list[Endpoint]) -> None:
        """Apply the list of hosts, or changes to it, as discovery has told it."""
        self.apply_list(ListScope.WHOLE if whole else ListScope.CHANGES, entries, endpoints)
        self.end_list_wait()

    def on_recalled_list(self, entries: list[EndpointEntry], endpoints: list[Endpoint]) -> None:
        """Apply a list that was told before this process started."""
        self.apply_list(ListScope.RECALLED, entries, endpoints)

    def apply_list(
        self, scope: ListScope, entries: list[EndpointEntry], endpoints: list[Endpoint]
    ) -> None:
        """Apply a list of hosts, which may not be the one that is awaited from discovery."""
        self.apply_endpoints(scope is not ListScope.CHANGES, entries, endpoints)
        self.call_decisions(self.balancer.on_hosts, scope, entries)

    def end_list_wait(self) -> None:
        """Stop waiting for discovery's list, which has arrived or is overdue.

        If it is overdue, the configuration's list is used.
        """
        self.list_received = True
        self.check_ready()

    def apply_endpoints(
        self, whole: bool, entries: list[EndpointEntry], endpoints: list[Endpoint]
    ) -> None:
        """Store the list for a successor process, and apply it to the connection pools."""
        for entry in entries:
            known = self.endpoints.get(entry.host)
            if known and entry.started_at_us > known[0].started_at_us:
                self.pools.drop_process(entry.host)
        self.pools.apply_endpoints(whole, endpoints)
        if whole:
            self.endpoints.clear()
        for entry, endpoint in zip(entries, endpoints):
            host, state = entry[:2]
            self.endpoints[host] = entry, endpoint
            if state == "gone":
                del self.endpoints[host]

    def check_ready(self) -> None:
        """Become ready once a host list and the state of a predecessor, if any, have arrived."""
        if self.endpoints and self.list_received and not self.handover.awaiting_snapshot:
            self.transition(LifecycleEvent.READY)

    # --- handover

    def export_list(self) -> list[tuple[EndpointEntry, Endpoint]]:
        """Return the host list for a successor process."""
        return [*self.endpoints.values(), *self.discovery.unused_endpoints()]

    def restore_list(self, entries: list[EndpointEntry], endpoints: list[Endpoint]) -> bool:
        """Use the host list of another process, unless it may be outdated; return whether."""
        return self.discovery.restore_list(entries, endpoints)
