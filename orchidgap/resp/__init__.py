"""The cluster dialect of RESP, both sides: `codec`, `commands`, `front`, `upstream`, `mapper` (the slots)."""

from __future__ import annotations

import socket
from collections.abc import Mapping
from hashlib import sha1
from pathlib import Path
from typing import Any

from orchidgap.decisions.slot_map import SlotMap
from orchidgap.net.addresses import Address, parse_address
from orchidgap.net.client_listener import ClientListener
from orchidgap.net.discovery import Dial
from orchidgap.net.handover.ports import MigratingRequest
from orchidgap.net.node import Node
from orchidgap.resp.commands import Command
from orchidgap.resp.front import RespCaller
from orchidgap.resp.mapper import Mapper
from orchidgap.resp.upstream import Hosts, Redirect


class BadUsers(ValueError):
    """The users' file, and the line of it that cannot be read."""


def users_of(text: str) -> dict[bytes, tuple[str, str]]:
    """Lines of `user sha256-of-secret tenant`: the secret's digest in hex, and the tenant, by user.

    >>> users_of("# who\\nmia " + "0" * 64 + " north\\n")
    {b'mia': ('0000000000000000000000000000000000000000000000000000000000000000', 'north')}
    >>> users_of("mia plain north")
    Traceback (most recent call last):
        ...
    orchidgap.resp.BadUsers: line 1: wanted are a user, the SHA-256 of the secret in hex, and a tenant
    """
    users = {}
    for number, line in enumerate(text.splitlines(), 1):
        words = line.split()
        if not words or words[0].startswith("#"):
            continue
        if len(words) != 3 or len(words[1]) != 64 or not set(words[1]) <= set("0123456789abcdef"):
            wanted = "wanted are a user, the SHA-256 of the secret in hex, and a tenant"
            raise BadUsers(f"line {number}: {wanted}")
        users[words[0].encode()] = (words[1], words[2])
    return users


class Resp:
    """What a node is made of where RESP is spoken on both sides. Takes the `resp` part of the configuration.

    `seeds`: addresses of slot servers; `users`: a file; `secret`: words for AUTH at the servers; `read` and
    `write`: the rule sets of commands that read and write; `timeout-ms`: how long a client waits; `tenant`:
    whose reqs they are where there are no users; `shown`: the address that clients are told.
    """

    def __init__(self, told: Mapping[str, Any], name: str, listen: Address) -> None:
        self.seeds = [parse_address(str(text)) for text in told.get("seeds", [])]
        self.secret = tuple(str(word).encode() for word in told.get("secret", ()))
        self.sets = (str(told.get("read", "read")), str(told.get("write", "write")))
        self.left = round(float(told.get("timeout-ms", 1_000)) * 1_000)
        self.users = users_of(Path(told["users"]).read_text()) if told.get("users") else {}
        self.open = not self.users
        if self.open:
            self.users[b"default"] = ("", str(told.get("tenant", "")))
        self.shown = parse_address(str(told["shown"])) if told.get("shown") else listen
        self.me = sha1(name.encode()).hexdigest().encode()
        self.count = 0
        self.mapper: Mapper | None = None

    def terms_of(self, command: Command) -> tuple[str, int]:
        """The rule set of a command, and how long its client waits."""
        return self.sets[command.write], self.left

    def make_listener(self, node: Node, most: int) -> ClientListener:
        def make(clients: ClientListener, sock: socket.socket) -> RespCaller:
            return RespCaller(clients, sock, self)

        return ClientListener(node.loop, node, most, make)

    def make_pools(self, node: Node, most: int, dial: Dial) -> Hosts:
        return Hosts(
            node.loop,
            most,
            node.config.connect_timeout_us,
            self.secret,
            dial,
            self.redirected,
            self.doubted,
        )

    def migrating_requests(self, node: Node) -> list[MigratingRequest]:
        """Where their links stand cannot be told in a few words: clients are let go with their answers."""
        return []

    def accept_migrated(
        self, node: Node, words: list[Any], raw: bytes, socks: list[socket.socket]
    ) -> None:
        raise ValueError("nothing comes over here")

    def make_discovery(self, node: Node, dial: Dial) -> Mapper:
        node.balancer.slot_map = SlotMap(node.balancer.rng, node.loop.now)
        self.mapper = Mapper(node, node.balancer.slot_map, self.seeds, self.secret, dial)
        return self.mapper

    def redirected(self, to: Redirect) -> None:
        if self.mapper:
            self.mapper.redirected(to)

    def doubted(self) -> None:
        if self.mapper:
            self.mapper.doubted()
