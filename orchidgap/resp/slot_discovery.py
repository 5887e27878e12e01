"""Discovery of slot owners: combines the servers' own slot map with the discovery host list."""

from __future__ import annotations

from orchidgap.decisions.host_list import ListScope
from orchidgap.decisions.listed_addresses import ListedAddresses, ListedHost
from orchidgap.decisions.records import HostStatus
from orchidgap.decisions.slot_map import SlotMap, SlotRange
from orchidgap.http1.discovery import DiscoveryClient
from orchidgap.net.addresses import Address, format_address, parse_address
from orchidgap.net.attempt_failure import AttemptFailure
from orchidgap.net.connection import Connection
from orchidgap.net.discovery import Dial
from orchidgap.net.endpoints import NO_ADDRESS, Endpoint, EndpointEntry
from orchidgap.net.loop import Timer
from orchidgap.net.node import Node
from orchidgap.resp.reader import RespReader
from orchidgap.resp.redirects import Redirect
from orchidgap.resp.values import Item, decode_item
from orchidgap.resp.writers import encode_command

CHECK_INTERVAL_US = 100_000
MAX_MAP_BYTES = 1 << 22  # sufficient if each of the 16,384 slots is a range of its own
ANSWER_TIMEOUT_US = 1_000_000  # limit for a server to return its slot map
CLUSTER_SLOTS = encode_command(b"CLUSTER", b"SLOTS")
READY = HostStatus.READY
ORIGIN_KIND = "origin"
SLOT_SERVER_KIND = "slots"


def parse_cluster_slots(item: Item) -> tuple[list[SlotRange], list[str]]:
    """Returns the ranges in an answer to CLUSTER SLOTS, and the addresses of all servers in it.

    Raises ValueError if the answer has any other form.

    >>> ranges, names = parse_cluster_slots(
    ...     [[0, 9, [b"127.0.0.1", 7000, b"id"], [b"127.0.0.1", 7001, b"id2"]],
    ...      [10, 12, [b"", 7002]]])
    >>> ranges
    [SlotRange(first=0, last=9, owner='127.0.0.1:7000')]
    >>> names
    ['127.0.0.1:7000', '127.0.0.1:7001']
    """
    if not isinstance(item, list):
        raise ValueError("the answer is not a list of slot ranges")  # noqa: TRY004 - invalid input
    ranges = []
    names = dict[str, None]()
    for row in item:
        if not isinstance(row, list) or len(row) < 3:
            raise ValueError("an entry is not a slot range")
        first, last, *servers = row
        if not isinstance(first, int) or not isinstance(last, int):
            raise ValueError("an entry is not a slot range")  # noqa: TRY004 - invalid input
        valid_names = [name for server in servers if (name := server_name(server)) is not None]
        names |= dict.fromkeys(valid_names)
        if valid_names:
            ranges.append(SlotRange(first, last, valid_names[0]))
    return ranges, list(names)


def server_name(server: Item) -> str | None:
    """Returns the address of a server as text, or None if it is not an IP address and port.

    A host name would need a DNS lookup, and an empty host identifies no server.
    """
    if not isinstance(server, list) or len(server) < 2:
        return None
    host, port = server[:2]
    if not isinstance(host, bytes) or not isinstance(port, int):
        return None
    name = f"{host.decode(errors='replace')}:{port}"
    try:
        parse_address(name)
    except ValueError:
        return None
    return name


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
        secret: arguments of AUTH; empty if the servers require no authentication.
        seeds: the configured servers, by name.
        servers: all servers from the slot map, seeds, redirections and discovery, by name.
        listed: the states of the addresses that discovery has listed, now or before.
        reported_states: the states last reported to the node, by server name.
        refresh_count: slot map requests so far; selects the server for the next one (round robin).
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
        self.secret = secret
        self.dial = dial
        self.loop = node.loop
        self.seeds = {format_address(address): address for address in seeds}
        self.servers = dict(self.seeds)
        self.listed = ListedAddresses()
        self.reported_states: dict[str, HostStatus] = {}
        self.refresh_count = 0
        self.conn: Connection | None = None
        self.reader = RespReader(MAX_MAP_BYTES)
        self.timer: Timer | None = None
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
        self.loop.call_later(CHECK_INTERVAL_US, self.run_periodic_refresh)

    # --- servers

    def fetch(self) -> None:
        """Starts fetching the host list and the slot map."""
        self.report_servers()
        if self.discovery:
            self.discovery.fetch()
        else:
            self.node.end_list_wait()
        self.refresh_map()

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
        """Records the states in a list, and the servers that it lists as ready."""
        listed = [
            ListedHost(
                entry.host,
                HostStatus(entry.state),
                None if address == NO_ADDRESS else address,
                entry.started_at_us,
            )
            for entry, (_, _, address) in zip(entries, endpoints)
        ]
        self.listed.apply_list(listed, is_whole=is_whole)
        for entry, (_, state, address) in zip(entries, endpoints):
            if state == READY and entry.kind != ORIGIN_KIND:
                self.servers.setdefault(format_address(address), address)

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

    def run_periodic_refresh(self) -> None:
        """Refreshes the slot map if that is due; called at intervals."""
        self.refresh_map()
        self.loop.call_later(CHECK_INTERVAL_US, self.run_periodic_refresh)

    def map_sources(self) -> list[str]:
        """Returns the servers to request the map from: seeds first, as others may be outdated.

        Those that are not ready get no requests, unless there are no others.
        """
        names = sorted(self.servers, key=lambda name: (name not in self.seeds, name))
        ready = [name for name in names if self.state(self.servers[name]) is READY]
        return ready or names

    def refresh_map(self) -> None:
        """Requests the slot map from one server if a refresh is due and none is in progress."""
        if self.conn is not None or not self.servers:
            return
        if not self.slots.start_refresh_if_due(self.loop.now):
            return
        names = self.map_sources()
        name = names[self.refresh_count % len(names)]
        self.refresh_count += 1
        sock = self.dial(self.servers[name])
        if isinstance(sock, AttemptFailure):
            self.slots.on_refresh_failed(self.loop.now)
            return
        self.reader = RespReader(MAX_MAP_BYTES)
        self.conn = Connection(self.loop, sock, self, opening=True)
        self.timer = self.loop.call_later(ANSWER_TIMEOUT_US, self.on_closed, "answer timeout")
        if self.secret:
            self.conn.send(encode_command(b"AUTH", *self.secret))
        self.conn.send(CLUSTER_SLOTS)

    def on_connected(self) -> None:
        """Does nothing when the connection is established: the request is already buffered."""

    def on_data(self, view: memoryview) -> None:
        """Reads answers from the server's bytes."""
        self.reader.feed(view)
        while self.conn and (item := self.reader.read_item()) is not None:
            is_answer_to_auth = item[:1] == b"+"
            if not is_answer_to_auth:
                self.on_map(item)
        if self.conn and self.reader.error:
            self.on_closed("malformed answer")

    def on_map(self, item: bytes) -> None:
        """Replaces the slot map and the list of servers by an answer to CLUSTER SLOTS."""
        try:
            ranges, names = parse_cluster_slots(decode_item(item))
        except (ValueError, IndexError, RecursionError):
            ranges = []
        if not ranges:
            self.on_closed("no slot map in the answer")
            return
        unknown_before = self.slots.unknown_slot_count()
        failures_before = self.slots.refresh_failures
        self.close_connection()
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

    def on_closed(self, reason: str) -> None:
        """Handles a failed request; the current slot map stays in use."""
        self.close_connection()
        self.slots.on_refresh_failed(self.loop.now)
        if not any(name in self.servers for name in self.reported_states):
            self.servers |= self.seeds

    def close_connection(self) -> None:
        """Closes the connection of the request in progress, if there is one."""
        if self.timer:
            self.timer.cancel()
            self.timer = None
        if self.conn:
            self.conn.close()
            self.conn = None
