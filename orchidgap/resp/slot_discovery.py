"""Discovery of slot servers: combines their own slot map with discovery's host list."""

from __future__ import annotations

from orchidgap.decisions.host_list import ListScope
from orchidgap.decisions.listed_addresses import ListedAddresses, ListedHost
from orchidgap.decisions.records import HostStatus
from orchidgap.decisions.slot_map import SlotMap, SlotRange
from orchidgap.http1.discovery import DiscoveryClient
from orchidgap.net.addresses import Address, format_address, parse_address
from orchidgap.net.discovery import Dial
from orchidgap.net.endpoints import NO_ADDRESS, Endpoint, EndpointEntry
from orchidgap.net.node import Node
from orchidgap.resp.redirects import Redirect
from orchidgap.resp.slot_map_client import SlotMapClient

READY = HostStatus.READY
ORIGIN_KIND = "origin"
SLOT_SERVER_KIND = "slots"


def server_endpoint(address: Address, state: HostStatus) -> tuple[EndpointEntry, Endpoint]:
    """Returns the entries of a server for the node; its id is its address."""
    name = format_address(address)
    entry = EndpointEntry(name, state.value, 0, "", SLOT_SERVER_KIND, name, 1.0)
    return entry, Endpoint(name, state.value, address)


class SlotDiscovery:
    """Discovery for a node whose hosts are slot servers.

    A server's name is its address as text.

    Attributes:
        node: the node that is notified of servers.
        slots: the slot map.
        seeds: the configured servers, by name.
        servers: all servers from the slot map, seeds, redirections and discovery, by name.
        listed: the states of the addresses that discovery has listed, now or before.
        reported_states: the states last reported to the node, by server name.
        map_client: requests the slot map from the servers.
    """

    def __init__(
        self,
        node: Node,
        slots: SlotMap,
        seeds: list[Address],
        secret: tuple[bytes, ...],
        dial: Dial,
    ) -> None:
        """Starts with the seeds as the only servers."""
        self.node = node
        self.slots = slots
        self.loop = node.loop
        self.seeds = {format_address(address): address for address in seeds}
        self.servers = dict(self.seeds)
        self.listed = ListedAddresses()
        self.reported_states: dict[str, HostStatus] = {}
        self.discovery: DiscoveryClient | None = None
        _, port = node.config.discovery
        if port:
            self.discovery = DiscoveryClient(
                node.loop,
                node.config.discovery,
                node.balancer.rng,
                self,
                node.event_log,
                dial,
            )
        self.map_client = SlotMapClient(node.loop, slots, secret, dial, self)

    # --- servers

    def fetch(self) -> None:
        """Starts fetching the host list and the slot map."""
        self.report_servers()
        if self.discovery:
            self.discovery.fetch()
        else:
            self.node.end_list_wait()
        self.map_client.refresh()

    def recall_list(self, entries: list[EndpointEntry], endpoints: list[Endpoint]) -> None:
        """Uses the list of the configuration until another one arrives."""
        self.on_recalled_list(entries, endpoints)

    def unused_endpoints(self) -> list[tuple[EndpointEntry, Endpoint]]:
        """Returns the addresses with a state that are no servers, so far as the map is known."""
        return [
            server_endpoint(address, state)
            for address, state in self.listed.states().items()
            if format_address(address) not in self.servers
        ]

    def restore_list(self, entries: list[EndpointEntry], endpoints: list[Endpoint]) -> bool:
        """Uses the servers of an older process until a whole list has arrived; returns whether.

        Their ids are addresses. Those that are not ready may be no servers of the slot map.
        """
        if self.discovery and self.discovery.has_list:
            return False
        for name, state, address in endpoints:
            if state == READY:
                self.servers.setdefault(name, address)
        self.listed.restore_states({address: HostStatus(state) for _, state, address in endpoints})
        self.report_servers()
        self.node.end_list_wait()
        return True

    def set_address(self, address: Address) -> None:
        """Switches to another discovery address."""
        if self.discovery:
            self.discovery.set_address(address)

    def on_list(
        self, is_whole: bool, entries: list[EndpointEntry], endpoints: list[Endpoint]
    ) -> None:
        """Applies a host list from discovery to the servers' states.

        Servers are matched by address, as discovery's ids differ from the cluster's.
        """
        self.record_list(is_whole, entries, endpoints)
        self.report_servers()
        self.node.end_list_wait()

    def on_recalled_list(self, entries: list[EndpointEntry], endpoints: list[Endpoint]) -> None:
        """Applies the host list that this balancer had before this process started."""
        self.record_list(True, entries, endpoints)
        self.report_servers()

    def record_list(
        self, is_whole: bool, entries: list[EndpointEntry], endpoints: list[Endpoint]
    ) -> None:
        """Records the states of servers in a list, and those that it lists as ready.

        Origins are no slot servers.
        """
        listed = [
            ListedHost(
                entry.host,
                HostStatus(entry.state),
                None if address == NO_ADDRESS else address,
                entry.started_at_us,
            )
            for entry, (_, _, address) in zip(entries, endpoints)
            if entry.kind != ORIGIN_KIND
        ]
        self.listed.apply_list(listed, is_whole=is_whole)
        for server in listed:
            if server.state is READY and server.address:
                self.servers.setdefault(format_address(server.address), server.address)

    def state(self, address: Address) -> HostStatus:
        """Returns the state of the server at an address.

        One that was never listed counts as ready, as discovery need not know slot servers. While
        the slot map names one that has gone, it counts as draining: commands for its slots do not
        wait for another owner, and commands in flight there may finish.
        """
        return self.listed.state(address) or READY

    def report_servers(self) -> None:
        """Reports the servers and their states to the node if they have changed."""
        states = {name: self.state(address) for name, address in sorted(self.servers.items())}
        if states == self.reported_states:
            return
        self.reported_states = states
        not_ready = sum(state != READY for state in states.values())
        self.node.event_log("servers", count=len(states), not_ready=not_ready)
        rows = [server_endpoint(self.servers[name], state) for name, state in states.items()]
        entries = [entry for entry, _ in rows]
        endpoints = [endpoint for _, endpoint in rows]
        self.node.apply_list(ListScope.WHOLE, entries, endpoints)

    def on_redirect(self, redirect: Redirect) -> None:
        """Adds the target of a redirection, and updates the map (MOVED) or requests it (ASK)."""
        name = format_address(redirect.address)
        if name not in self.servers:
            self.servers[name] = redirect.address
            self.report_servers()
        if redirect.once:
            self.slots.request_refresh(self.loop.now)
        else:
            self.slots.set_owner(redirect.slot, name, self.loop.now)

    def on_map_mismatch(self) -> None:
        """Requests a new slot map, as the current one may be out of date."""
        self.slots.request_refresh(self.loop.now)

    # --- slot map

    def map_sources(self) -> dict[str, Address]:
        """Returns the servers to request the map from: seeds first, as others may be outdated.

        Those that are not ready get no requests, unless there are no others.
        """
        names = sorted(self.servers, key=lambda name: (name not in self.seeds, name))
        ready = [name for name in names if self.state(self.servers[name]) is READY]
        return {name: self.servers[name] for name in ready or names}

    def on_map(self, ranges: list[SlotRange], names: list[str]) -> None:
        """Replaces the slot map and the list of servers."""
        unknown_before = self.slots.unknown_slot_count()
        failures_before = self.slots.refresh_failures
        self.slots.replace(ranges, self.loop.now)
        listed_seeds = {
            name: address
            for name, address in self.seeds.items()
            if self.listed.state(address) is READY
        }
        self.servers = {name: parse_address(name) for name in names} | listed_seeds
        unknown = self.slots.unknown_slot_count()
        if unknown != unknown_before or failures_before or self.slots.conflicting_slot_count:
            self.log_map(ranges, unknown)
        self.report_servers()
        self.node.call_decisions(self.node.balancer.drain_queues)

    def log_map(self, ranges: list[SlotRange], unknown_slots: int) -> None:
        """Logs how complete the slot map is."""
        owners = len({entry.owner for entry in ranges})
        conflicts = self.slots.conflicting_slot_count
        self.node.event_log("slots", owners=owners, holes=unknown_slots, clashes=conflicts)

    def on_map_failed(self) -> None:
        """Adds the seeds if none of the servers that were reported is left."""
        if not any(name in self.servers for name in self.reported_states):
            self.servers |= self.seeds
