"""Messages between two processes of one balancer, and their words on the wire.

A packet is a JSON list on one line, whose first entry names the message, and after that line raw
bytes which only a migrated request has. Versions before and after run side by side: words, order
and types of the entries stay as they are, and `WIRE_FORMAT` would tell a process that writes them
otherwise.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Any, NamedTuple

from orchidgap.net.endpoints import Endpoint, EndpointEntry

WIRE_FORMAT = 1


class Hello(NamedTuple):
    """The successor's first message: its format, and of which balancer it is a process."""

    wire_format: int
    balancer: str


class DescriptorGrant(NamedTuple):
    """To the successor: how many descriptors it may hold."""

    descriptors: int


class EndpointChunk(NamedTuple):
    """To the successor: part of the list of hosts."""

    endpoints: Sequence[Sequence[Any]]


class HostSnapshots(NamedTuple):
    """To the successor: what is known of some hosts, by id."""

    hosts: Mapping[str, Any]


class SnapshotEnd(NamedTuple):
    """To the successor: list and host snapshots are complete; what is known of tenants comes with
    it.
    """

    tenants: Any


class Serving(NamedTuple):
    """To the predecessor: clients come to the successor from now on."""


class Counts(NamedTuple):
    """Both ways, where something has changed since the last one."""

    opened: list[str]  # ids of requests
    closed: list[str]
    in_flight: dict[str, int]  # attempts by host


class IdleClients(NamedTuple):
    """To the successor, with the sockets of clients on which no request is."""


class IdleConnections(NamedTuple):
    """To the successor, with the sockets of idle connections to hosts, and one tag for each."""

    tags: Sequence[Any]


class MigratedRequest(NamedTuple):
    """To the successor, with the sockets of a request under way; the protocol knows the words."""

    words: list[Any]


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

WORDS: dict[type[Any], str] = {
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
TYPES = {word: message_type for message_type, word in WORDS.items()}
EXACT_TYPES = (Hello, Counts)  # of the others, entries beyond those known are passed over
MIGRATED_WORDS = frozenset(("begun", "answer", "upload"))
ENTRY_TYPES = [str, str, int, str, str, str]  # of a host's entry, before its share


def to_wire(message: Message) -> list[Any]:
    """The list that stands on the packet's line.

    >>> to_wire(Hello(WIRE_FORMAT, "n0")), to_wire(Serving())
    (['hello', 1, 'n0'], ['serving'])
    >>> to_wire(Counts(["r1"], [], {"c0": 2}))
    ['now', ['r1'], [], {'c0': 2}]
    """
    if isinstance(message, MigratedRequest):
        return message.words
    return [WORDS[type(message)], *message]


def from_wire(words: list[Any]) -> Message:
    """The message of a packet's line. Raises ValueError for one that does not exist, TypeError for
    one whose number of entries is wrong.

    >>> from_wire(["room", 100]), from_wire(["begun"])
    (DescriptorGrant(descriptors=100), MigratedRequest(words=['begun']))
    >>> from_wire(["what"])
    Traceback (most recent call last):
        ...
    ValueError: unknown message 'what'
    """
    if words[0] in MIGRATED_WORDS:
        return MigratedRequest(words)
    message_type = TYPES.get(words[0])
    if message_type is None:
        raise ValueError(f"unknown message {words[0]!r}")
    is_exact = message_type in EXACT_TYPES
    entries = words[1:] if is_exact else words[1 : 1 + len(message_type._fields)]
    message: Message = message_type(*entries)
    return message


def endpoints_of(chunk: EndpointChunk) -> dict[str, tuple[EndpointEntry, Endpoint]]:
    """The part of the list that a chunk holds, by host id. Raises ValueError, TypeError or
    LookupError where an entry is none: the decisions rely on their types.
    """
    found: dict[str, tuple[EndpointEntry, Endpoint]] = {}
    for entry, (host_id, state, (host, port)) in chunk.endpoints:
        types = [type(value) for value in entry[: len(ENTRY_TYPES)]]
        if types != ENTRY_TYPES or len(entry) != len(ENTRY_TYPES) + 1:
            raise ValueError("no entry of a list")
        found[host_id] = (
            EndpointEntry._make([*entry[: len(ENTRY_TYPES)], float(entry[-1])]),
            Endpoint(str(host_id), str(state), (str(host), int(port))),
        )
    return found
