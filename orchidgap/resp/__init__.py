"""The cluster dialect of RESP, on both sides of the balancer.

`framing`, `reader`, `values` and `writers` are free of I/O. `server`, with `commands`,
`local_commands`, `replies` and `session`, has the connections of clients; `client`, with
`slot_server_connection` and `redirects`, those to servers; `slot_discovery` the map of slots.
"""

from __future__ import annotations

import socket
from collections.abc import Mapping
from typing import Any

from orchidgap.decisions.slot_map import SlotMap
from orchidgap.net.addresses import Address
from orchidgap.net.client_listener import ClientListener
from orchidgap.net.discovery import Dial
from orchidgap.net.handover.ports import MigratingRequest
from orchidgap.net.node import Node
from orchidgap.resp.client import SlotServerConnectionPools
from orchidgap.resp.config import RespConfig
from orchidgap.resp.redirects import Redirect
from orchidgap.resp.server import RespClientConnection
from orchidgap.resp.slot_discovery import SlotDiscovery


class Resp:
    """The parts of a node that speaks RESP to clients and hosts.

    Attributes:
        config: the configuration's part.
        connection_count: client connections so far, which number them.
        slot_discovery: who tells of slots, once the node has asked for it.
    """

    def __init__(self, part: Mapping[str, Any], name: str, listen: Address) -> None:
        """Reads the configuration's part, see `RespConfig.read`, which tells what is raised."""
        self.config = RespConfig.read(part, name, listen)
        self.connection_count = 0
        self.slot_discovery: SlotDiscovery | None = None

    def make_listener(self, node: Node, max_clients: int) -> ClientListener:
        """Returns the clients' side, with so many connections at most."""

        def make(listener: ClientListener, sock: socket.socket) -> RespClientConnection:
            self.connection_count += 1
            return RespClientConnection(listener, sock, self.config, self.connection_count)

        return ClientListener(node.loop, node, max_clients, make)

    def make_pools(self, node: Node, max_connections: int, dial: Dial) -> SlotServerConnectionPools:
        """Returns the hosts' side, with so many connections at most."""
        return SlotServerConnectionPools(
            node.loop,
            max_connections,
            node.config.connect_timeout_us,
            self.config.secret,
            dial,
            self.on_redirect,
            self.on_doubt,
        )

    def migrating_requests(self, node: Node) -> list[MigratingRequest]:
        """No request migrates: where pipelined connections stand cannot be told in a few words."""
        return []

    def accept_migrated(
        self, node: Node, words: list[Any], raw: bytes, socks: list[socket.socket]
    ) -> None:
        """Raises ValueError: nothing migrates."""
        raise ValueError("nothing comes over here")

    def make_discovery(self, node: Node, dial: Dial) -> SlotDiscovery:
        """Returns who tells the node of hosts."""
        slots = SlotMap(node.balancer.rng, node.loop.now)
        node.balancer.slot_map = slots
        node.balancer.limiter.hosts_are_owners = True
        self.slot_discovery = SlotDiscovery(
            node, slots, self.config.seeds, self.config.secret, dial
        )
        return self.slot_discovery

    def on_redirect(self, redirect: Redirect) -> None:
        """A server named another one for a slot."""
        if self.slot_discovery:
            self.slot_discovery.on_redirect(redirect)

    def on_doubt(self) -> None:
        """Something does not fit the map of slots."""
        if self.slot_discovery:
            self.slot_discovery.on_doubt()
