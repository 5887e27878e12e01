"""Who owns which slot: asked of the servers, and joined with what discovery says of their state."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING

from orchidgap.decisions.slot_map import SlotMap, SlotRange
from orchidgap.http1.discovery import DiscoveryClient
from orchidgap.net.addresses import Address, format_address, parse_address
from orchidgap.net.attempt_failure import AttemptFailure
from orchidgap.net.connection import Connection
from orchidgap.net.endpoints import Endpoint, EndpointEntry
from orchidgap.net.loop import Timer
from orchidgap.resp import codec

if TYPE_CHECKING:
    from orchidgap.net.discovery import Dial
    from orchidgap.net.node import Node
    from orchidgap.resp.upstream import Redirect

TICK = 100_000
MOST_MAP = 1 << 22  # bytes: each of 16,384 slots may be a range of its own
WITHIN = 1_000_000  # microseconds for a server to answer with its map
ASK = codec.command(b"CLUSTER", b"SLOTS")


def ranges_of(item: codec.Item) -> tuple[list[SlotRange], list[str]]:
    """The ranges of an answer to CLUSTER SLOTS, and the addresses in it. Raises ValueError for another form.

    >>> ranges_of([[0, 9, [b"127.0.0.1", 7000, b"id"], [b"127.0.0.1", 7001, b"id2"]],
    ...            [10, 12, [b"", 7002]]])  # doctest: +NORMALIZE_WHITESPACE
    ([SlotRange(first=0, last=9, owner='127.0.0.1:7000')],
     ['127.0.0.1:7000', '127.0.0.1:7001'])
    """
    if not isinstance(item, list):
        raise ValueError("no list of slots")
    found, names = [], dict[str, None]()
    for row in item:
        if (
            not isinstance(row, list)
            or len(row) < 3
            or not isinstance(row[0], int)
            or not isinstance(row[1], int)
        ):
            raise ValueError("no range of slots")
        nodes = []
        for node in row[2:]:
            if (
                isinstance(node, list)
                and len(node) > 1
                and isinstance(node[0], bytes)
                and isinstance(node[1], int)
            ):
                name = f"{node[0].decode(errors='replace')}:{node[1]}"
                try:
                    parse_address(name)
                except ValueError:
                    continue  # a name would be looked up; an empty one says nothing
                nodes.append(name)
                names[name] = None
        if nodes:
            found.append(SlotRange(row[0], row[1], nodes[0]))
    return found, list(names)


class Mapper:
    """The `Listing` of a node before slot servers."""

    def __init__(
        self,
        node: Node,
        slots: SlotMap,
        seeds: list[Address],
        secret: tuple[bytes, ...],
        dial: Dial,
    ) -> None:
        self.node, self.slots, self.secret, self.dial, self.loop = (
            node,
            slots,
            secret,
            dial,
            node.loop,
        )
        self.seeds = {format_address(address): address for address in seeds}
        self.nodes = dict(self.seeds)
        self.states: dict[Address, str] = {}  # what discovery says, where there is one
        self.told: dict[str, str] = {}  # what the decisions were told last
        self.turn = 0
        self.conn: Connection | None = None
        self.reader = codec.Reader(MOST_MAP)
        self.timer: Timer | None = None
        self.registry: DiscoveryClient | None = None
        if node.config.discovery[1]:
            self.registry = DiscoveryClient(
                node.loop,
                node.config.discovery,
                node.balancer.rng,
                self.heard,
                node.event_log,
                dial,
            )
        self.loop.call_later(TICK, self.tick)

    def fetch(self) -> None:
        if self.registry:
            self.registry.fetch()
        self.tell()
        self.look()

    def move(self, address: Address) -> None:
        if self.registry:
            self.registry.move(address)

    def heard(self, whole: bool, entries: list[EndpointEntry], found: list[Endpoint]) -> None:
        """Discovery's word on states; its ids are not the cluster's, addresses are."""
        if whole:
            self.states = {}
        for _, state, address in found:
            self.states[address] = state
        for entry, (_, state, address) in zip(entries, found):
            if state == "up" and entry[4] != "origin" and address[1]:
                self.nodes.setdefault(format_address(address), address)
        self.tell()

    def tell(self) -> None:
        """Tell the node what is new of hosts: all that a map, seed or redirection named."""
        now = {name: self.states.get(address, "up") for name, address in sorted(self.nodes.items())}
        if now == self.told:
            return
        self.told = now
        entries: list[EndpointEntry] = [
            EndpointEntry(name, state, 0, "", "slots", name, 1.0)
            for name, state in now.items()
            if state != "gone"
        ]
        self.node.on_list(
            True,
            entries,
            [
                Endpoint(name, state, self.nodes[name])
                for name, state in now.items()
                if state != "gone"
            ],
        )

    def redirected(self, to: Redirect) -> None:
        name = format_address(to.address)
        if name not in self.nodes:
            self.nodes[name] = to.address
            self.tell()
        if to.ask:
            self.slots.request_refresh(self.loop.now)
        else:
            self.slots.set_owner(to.slot, name, self.loop.now)

    def doubted(self) -> None:
        self.slots.request_refresh(self.loop.now)

    def tick(self) -> None:
        self.look()
        self.loop.call_later(TICK, self.tick)

    def look(self) -> None:
        if self.conn is None and self.nodes and self.slots.start_refresh_if_due(self.loop.now):
            names = sorted(self.nodes)
            name = names[
                self.turn % len(names)
            ]  # each in turn: one that is gone must not be asked for ever
            self.turn += 1
            came: socket.socket | AttemptFailure = self.dial(self.nodes[name])
            if isinstance(came, AttemptFailure):
                return self.slots.on_refresh_failed(self.loop.now)
            self.reader = codec.Reader(MOST_MAP)
            self.conn = Connection(self.loop, came, self, opening=True)
            self.timer = self.loop.call_later(WITHIN, self.ended, "silence")
            if self.secret:
                self.conn.send(codec.command(b"AUTH", *self.secret))
            self.conn.send(ASK)

    def opened(self) -> None:
        pass

    def received(self, view: memoryview) -> None:
        self.reader.feed(view)
        while self.conn and (text := self.reader.raw()) is not None:
            if text[:1] == b"+":
                continue  # the answer to AUTH
            self.answered(text)
        if self.conn and self.reader.broken:
            self.ended("no proper answer")

    def answered(self, text: bytes) -> None:
        try:
            ranges, names = ranges_of(codec.read(text))
            if not ranges:
                raise ValueError("an empty map")
        except (ValueError, IndexError, RecursionError):
            return self.ended("no map")
        holes, failed = self.slots.unknown_slot_count(), self.slots.refresh_failures
        self.drop()
        self.slots.replace(ranges, self.loop.now)
        kept = {
            name: address
            for name, address in self.seeds.items()
            if self.states.get(address) == "up"
        }
        self.nodes = {name: parse_address(name) for name in names} | kept
        if (
            (left := self.slots.unknown_slot_count()) != holes
            or failed
            or self.slots.conflicting_slot_count
        ):
            owners = len({entry.owner for entry in ranges})
            self.node.event_log(
                "slots", owners=owners, holes=left, clashes=self.slots.conflicting_slot_count
            )
        self.tell()
        self.node.call_decisions(self.node.balancer.drain_queues)

    def ended(self, what: str) -> None:
        self.drop()
        self.slots.on_refresh_failed(self.loop.now)
        if not any(name in self.nodes for name in self.told):
            self.nodes |= self.seeds

    def drop(self) -> None:
        if self.timer:
            self.timer.cancel()
            self.timer = None
        if self.conn:
            self.conn.close()
            self.conn = None
