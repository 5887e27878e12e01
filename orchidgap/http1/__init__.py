"""HTTP/1.1, both sides: `codec` (messages), `front` (clients), `upstream` (hosts), `registry` (the list)."""

from __future__ import annotations

import socket
from collections.abc import Iterator
from typing import Any

from orchidgap.http1 import moving
from orchidgap.http1.front import Client
from orchidgap.http1.registry import Registry
from orchidgap.http1.upstream import Hosts
from orchidgap.net.doorway import Clients
from orchidgap.net.handover import Moving
from orchidgap.net.node import Dial, Node


class Http1:
    """What a node is made of where HTTP/1.1 is spoken on both sides."""

    def clients(self, node: Node, most: int) -> Clients:
        return Clients(node.loop, node, most, Client)

    def hosts(self, node: Node, most: int, dial: Dial) -> Hosts:
        return Hosts(node.loop, most, node.station.connect_within, node.station.idle_for, dial)

    def under_way(self, node: Node) -> Iterator[Moving]:
        return moving.under_way(node)

    def arrives(self, node: Node, words: list[Any], raw: bytes, socks: list[socket.socket]) -> None:
        moving.arrives(node, words, raw, socks)

    def listing(self, node: Node, dial: Dial) -> Registry:
        return Registry(
            node.loop, node.station.discovery, node.balancer.rng, node.on_list, node.note, dial
        )
