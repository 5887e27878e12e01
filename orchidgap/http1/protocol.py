"""The HTTP/1.1 implementation of a node's parts, for `composition`."""

from __future__ import annotations

import socket
from collections.abc import Iterator
from typing import Any

from orchidgap.decisions.settings import ServiceSettings
from orchidgap.http1 import request_migration
from orchidgap.http1.client import HostConnectionPools
from orchidgap.http1.discovery import DiscoveryClient
from orchidgap.http1.server import Http1ClientConnection
from orchidgap.net.client_listener import ClientListener
from orchidgap.net.discovery import Dial
from orchidgap.net.handover.ports import MigratingRequest
from orchidgap.net.node import Node


class Http1:
    """Creates the parts of a node that uses HTTP/1.1 for clients, hosts and discovery."""

    def make_listener(self, node: Node, max_clients: int) -> ClientListener:
        """Returns the listener for clients, with at most `max_clients` connections."""
        return ClientListener(node.loop, node, max_clients, Http1ClientConnection)

    def make_pools(self, node: Node, max_connections: int, dial: Dial) -> HostConnectionPools:
        """Returns the connection pools for hosts, with at most `max_connections` connections."""
        return HostConnectionPools(
            node.loop,
            max_connections,
            node.config.connect_timeout_us,
            node.config.idle_timeout_us,
            dial,
            node.memory_pressure,
        )

    def check_settings(self, settings: ServiceSettings) -> None:
        """Does nothing: requests name their class, and one of an unknown class is answered 404."""

    def migrating_requests(self, node: Node) -> Iterator[MigratingRequest]:
        """Returns the requests that another process can continue now."""
        return request_migration.migrating_requests(node)

    def accept_migrated(
        self, node: Node, items: list[Any], raw: bytes, socks: list[socket.socket]
    ) -> None:
        """Continues a request from another process."""
        request_migration.accept_migrated(node, items, raw, socks)

    def make_discovery(self, node: Node, dial: Dial) -> DiscoveryClient:
        """Returns the client that fetches the host list for the node."""
        return DiscoveryClient(
            node.loop, node.config.discovery, node.balancer.rng, node, node.event_log, dial
        )
