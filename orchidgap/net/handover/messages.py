"""Messages between two processes of one balancer, and their names on the wire.

A packet is a JSON list on one line, whose first item is the name of the message. Raw bytes may
follow that line; only migrated requests have any. Older and newer versions run side by side, so the
names, the order and the types of the items must not change. A version that writes them differently
has to use another `WIRE_FORMAT`.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Any, NamedTuple

from orchidgap.net.endpoints import Endpoint, EndpointEntry

WIRE_FORMAT = 1


class Hello(NamedTuple):
    """The successor's first message: its wire format and the name of its balancer."""

    wire_format: int
    balancer: str


class DescriptorGrant(NamedTuple):
    """To the successor: how many descriptors it may use."""

    descriptors: int


class EndpointChunk(NamedTuple):
    """To the successor: part of the host list."""

    endpoints: Sequence[Sequence[Any]]


class HostSnapshots(NamedTuple):
    """To the successor: snapshots of some hosts, by host id."""

    hosts: Mapping[str, Any]


class SnapshotEnd(NamedTuple):
    """To the successor: the host list and the host snapshots are complete.

    Contains the snapshot of the tenants.
    """

    tenants: Any


class Serving(NamedTuple):
    """To the predecessor: the successor accepts clients from now on."""


class Counts(NamedTuple):
    """In both directions, on a change: requests opened and closed since the last such message."""

    opened: list[str]  # request ids
    closed: list[str]  # request ids
    in_flight: dict[str, int]  # attempts by host id


class IdleClients(NamedTuple):
    """To the successor, with the sockets of client connections without a request."""


class IdleConnections(NamedTuple):
    """To the successor, with the sockets of idle connections to hosts and one tag per socket."""

    tags: Sequence[Any]


class MigratedRequest(NamedTuple):
    """To the successor, with the sockets of a request in progress.

    The client protocol defines the items.
    """

    items: list[Any]


Message = (
    Hello
    | DescriptorGrant
    | EndpointChunk
    | HostSnapshots
    | SnapshotEnd
    | Serving
    | Counts
    | IdleClients
    | IdleConnections
    | MigratedRequest
)

WIRE_NAMES: dict[type[Any], str] = {
    Hello: "hello",
    DescriptorGrant: "room",
    EndpointChunk: "list",
    HostSnapshots: "estate",
    SnapshotEnd: "all",
    Serving: "serving",
    Counts: "now",
    IdleClients: "clients",
    IdleConnections: "links",
}
MESSAGE_TYPES = {wire_name: message_type for message_type, wire_name in WIRE_NAMES.items()}
EXACT_TYPES = (Hello, Counts)  # surplus items of other messages are ignored
MIGRATED_REQUEST_NAMES = frozenset(("begun", "answer", "upload"))
# types of the fields of an `EndpointEntry` before its weight
ENTRY_TYPES = [str, str, int, str, str, str]


def to_wire(message: Message) -> list[Any]:
    """Return the JSON list of a packet.

    >>> to_wire(Hello(WIRE_FORMAT, "n0")), to_wire(Serving())
    (['hello', 1, 'n0'], ['serving'])
    >>> to_wire(Counts(["r1"], [], {"c0": 2}))
    ['now', ['r1'], [], {'c0': 2}]
    """
    if isinstance(message, MigratedRequest):
        return message.items
    return [WIRE_NAMES[type(message)], *message]


def from_wire(items: list[Any]) -> Message:
    """Return the message of a packet's JSON list.

    Raises ValueError for an unknown message, TypeError for a wrong number of items.

    >>> from_wire(["room", 100]), from_wire(["begun"])
    (DescriptorGrant(descriptors=100), MigratedRequest(items=['begun']))
    >>> from_wire(["what"])
    Traceback (most recent call last):
        ...
    ValueError: unknown message 'what'
    """
    if items[0] in MIGRATED_REQUEST_NAMES:
        return MigratedRequest(items)
    message_type = MESSAGE_TYPES.get(items[0])
    if message_type is None:
        raise ValueError(f"unknown message {items[0]!r}")
    is_exact = message_type in EXACT_TYPES
    values = items[1:] if is_exact else items[1 : 1 + len(message_type._fields)]
    message: Message = message_type(*values)
    return message


def endpoints_of(chunk: EndpointChunk) -> dict[str, tuple[EndpointEntry, Endpoint]]:
    """Return the entries and endpoints of a chunk of the host list, by host id.

    Raises ValueError, TypeError or LookupError for an invalid entry: the decisions rely on the
    types of its fields.
    """
    found: dict[str, tuple[EndpointEntry, Endpoint]] = {}
    for entry, (host_id, state, (host, port)) in chunk.endpoints:
        types = [type(value) for value in entry[: len(ENTRY_TYPES)]]
        if types != ENTRY_TYPES or len(entry) != len(ENTRY_TYPES) + 1:
            raise ValueError("invalid entry of the host list")
        found[host_id] = (
            EndpointEntry._make([*entry[: len(ENTRY_TYPES)], float(entry[-1])]),
            Endpoint(str(host_id), str(state), (str(host), int(port))),
        )
    return found
