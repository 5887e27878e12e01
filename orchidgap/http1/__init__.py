"""HTTP/1.1, both sides: `codec` (messages), `front` (clients), `upstream` (hosts), `registry` (the list)."""

from __future__ import annotations

import socket
from collections.abc import Iterator
from typing import Any

from orchidgap.http1 import request_migration
from orchidgap.http1.client import Hosts
from orchidgap.http1.discovery import DiscoveryClient
from orchidgap.http1.server import Client
from orchidgap.net.client_listener import ClientListener
from orchidgap.net.discovery import Dial
from orchidgap.net.handover import MigratingRequest
from orchidgap.net.node import Node


class Http1:
    """What a node is made of where HTTP/1.1 is spoken on both sides."""

    def make_listener(self, node: Node, most: int) -> ClientListener:
        return ClientListener(node.loop, node, most, Client)

    def make_pools(self, node: Node, most: int, dial: Dial) -> Hosts:
        return Hosts(
            node.loop, most, node.config.connect_timeout_us, node.config.idle_timeout_us, dial
        )

    def migrating_requests(self, node: Node) -> Iterator[MigratingRequest]:
        return request_migration.under_way(node)

    def accept_migrated(
        self, node: Node, words: list[Any], raw: bytes, socks: list[socket.socket]
    ) -> None:
        request_migration.arrives(node, words, raw, socks)

    def make_discovery(self, node: Node, dial: Dial) -> DiscoveryClient:
        return DiscoveryClient(
            node.loop, node.config.discovery, node.balancer.rng, node.on_list, node.event_log, dial
        )
