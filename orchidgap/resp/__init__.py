"""The cluster dialect of RESP, towards clients and towards slot servers.

`framing`, `reader`, `values` and `writers` do no I/O. `server`, with `commands`, `local_commands`,
`replies` and `session`, handles client connections. `client`, with `slot_server_connection` and
`redirects`, handles connections to slot servers. `slot_discovery` keeps the servers and their slot
map up to date, which `slot_map_client` requests.
"""

from __future__ import annotations

import socket
from collections.abc import Mapping
from typing import Any

from orchidgap.decisions.settings import ServiceSettings
from orchidgap.decisions.slot_map import SlotMap
from orchidgap.net.addresses import Address
from orchidgap.net.client_listener import ClientListener
from orchidgap.net.discovery import Dial
from orchidgap.net.handover.ports import MigratingRequest
from orchidgap.net.node import Node
from orchidgap.resp.client import SlotServerConnectionPools
from orchidgap.resp.config import RespConfig
from orchidgap.resp.redirects import Redirect
from orchidgap.resp.reply_budget import ReplyBudget
from orchidgap.resp.server import RespClientConnection
from orchidgap.resp.slot_discovery import SlotDiscovery


class Resp:
    """Creates the parts of a node that uses RESP for clients and hosts.

    Attributes:
        config: the RESP part of the configuration.
        connection_count: client connections accepted so far; numbers the next connection.
        slot_discovery: the source of hosts and slot owners; None before `make_discovery`.
    """

    def __init__(self, part: Mapping[str, Any], name: str, listen: Address) -> None:
        """Reads the RESP part of the configuration; raises what `RespConfig.read` raises."""
        self.config = RespConfig.read(part, name, listen)
        self.connection_count = 0
        self.slot_discovery: SlotDiscovery | None = None

    def make_listener(self, node: Node, max_clients: int) -> ClientListener:
        """Returns the listener for clients, with at most `max_clients` connections."""

        reply_budget = ReplyBudget(node.loop, node.memory_account)

        def make(listener: ClientListener, sock: socket.socket) -> RespClientConnection:
            self.connection_count += 1
            return RespClientConnection(
                listener, sock, self.config, self.connection_count, reply_budget
            )

        return ClientListener(node.loop, node, max_clients, make)

    def make_pools(self, node: Node, max_connections: int, dial: Dial) -> SlotServerConnectionPools:
        """Returns the connection pools for hosts, with at most `max_connections` in total."""
        return SlotServerConnectionPools(
            node.loop,
            max_connections,
            node.config.connect_timeout_us,
            self.config.secret,
            dial,
            self.on_redirect,
            self.on_map_mismatch,
        )

    def check_settings(self, settings: ServiceSettings) -> None:
        """Checks that the settings have the request classes of commands; raises ConfigError."""
        self.config.check_classes(settings)

    def migrating_requests(self, node: Node) -> list[MigratingRequest]:
        """Returns an empty list: the state of a pipelined connection is too large to migrate."""
        return []

    def accept_migrated(
        self, node: Node, items: list[Any], raw: bytes, socks: list[socket.socket]
    ) -> None:
        """Raises ValueError, as RESP requests do not migrate."""
        raise ValueError("RESP connections do not support migration")

    def make_discovery(self, node: Node, dial: Dial) -> SlotDiscovery:
        """Returns the discovery that notifies the node of hosts, and sets up the slot map."""
        slots = SlotMap(node.balancer.rng, node.loop.now)
        node.balancer.slot_map = slots
        node.balancer.limiter.hosts_are_owners = True
        self.slot_discovery = SlotDiscovery(
            node, slots, self.config.seeds, self.config.secret, dial
        )
        return self.slot_discovery

    def on_redirect(self, redirect: Redirect) -> None:
        """Passes a redirection to slot discovery."""
        if self.slot_discovery:
            self.slot_discovery.on_redirect(redirect)

    def on_map_mismatch(self) -> None:
        """Notifies slot discovery that the slot map may be out of date."""
        if self.slot_discovery:
            self.slot_discovery.on_map_mismatch()
