"""Requests the slot map from slot servers, and parses their answers."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Protocol

from orchidgap.decisions.slot_map import SlotMap, SlotRange
from orchidgap.net.addresses import Address, parse_address
from orchidgap.net.attempt_failure import AttemptFailure
from orchidgap.net.connection import Connection
from orchidgap.net.discovery import Dial
from orchidgap.net.loop import Loop, Timer
from orchidgap.resp.reader import RespReader
from orchidgap.resp.values import Item, decode_item
from orchidgap.resp.writers import encode_command

CHECK_INTERVAL_US = 100_000
MAX_MAP_BYTES = 1 << 22  # sufficient if each of the 16,384 slots is a range of its own
ANSWER_TIMEOUT_US = 1_000_000  # limit for a server to return its slot map
CLUSTER_SLOTS = encode_command(b"CLUSTER", b"SLOTS")


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


class SlotMapReceiver(Protocol):
    """Names the servers to request the map from, and uses the map."""

    def map_sources(self) -> Mapping[str, Address]:
        """Returns the servers to request the map from, by name."""

    def on_map(self, ranges: list[SlotRange], names: list[str]) -> None:
        """Uses a slot map, and the names of all servers in it."""

    def on_map_failed(self) -> None:
        """Called after a request without a map; the current slot map stays in use."""


class SlotMapClient:
    """Requests the slot map from one server at a time, whenever a refresh is due.

    Attributes:
        loop: the event loop.
        slots: the slot map, which tells when a refresh is due.
        secret: arguments of AUTH; empty if the servers require no authentication.
        receiver: names the servers, and uses the map.
        refresh_count: requests so far; selects the server for the next one (round robin).
        conn: the connection of the request in progress, if there is one.
    """

    def __init__(
        self,
        loop: Loop,
        slots: SlotMap,
        secret: tuple[bytes, ...],
        dial: Dial,
        receiver: SlotMapReceiver,
    ) -> None:
        """Starts to look at intervals whether a refresh is due."""
        self.loop = loop
        self.slots = slots
        self.secret = secret
        self.dial = dial
        self.receiver = receiver
        self.refresh_count = 0
        self.conn: Connection | None = None
        self.reader = RespReader(MAX_MAP_BYTES)
        self.timer: Timer | None = None
        loop.call_later(CHECK_INTERVAL_US, self.run_periodic_refresh)

    def run_periodic_refresh(self) -> None:
        """Refreshes the slot map if that is due; called at intervals."""
        self.refresh()
        self.loop.call_later(CHECK_INTERVAL_US, self.run_periodic_refresh)

    def refresh(self) -> None:
        """Requests the slot map from one server if a refresh is due and none is in progress."""
        if self.conn is not None or self.loop.now < self.slots.refresh_due_us:
            return
        sources = list(self.receiver.map_sources().values())
        if not sources or not self.slots.start_refresh_if_due(self.loop.now):
            return
        address = sources[self.refresh_count % len(sources)]
        self.refresh_count += 1
        sock = self.dial(address)
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
                self.on_answer(item)
        if self.conn and self.reader.error:
            self.on_closed("malformed answer")

    def on_answer(self, item: bytes) -> None:
        """Passes the map in an answer to CLUSTER SLOTS on."""
        try:
            ranges, names = parse_cluster_slots(decode_item(item))
        except (ValueError, IndexError, RecursionError):
            ranges = []
        if not ranges:
            self.on_closed("no slot map in the answer")
            return
        self.close_connection()
        self.receiver.on_map(ranges, names)

    def on_closed(self, reason: str) -> None:
        """Handles a failed request."""
        self.close_connection()
        self.slots.on_refresh_failed(self.loop.now)
        self.receiver.on_map_failed()

    def close_connection(self) -> None:
        """Closes the connection of the request in progress, if there is one."""
        if self.timer:
            self.timer.cancel()
            self.timer = None
        if self.conn:
            self.conn.close()
            self.conn = None
