"""The format of discovery's host list: the hosts, their states and addresses."""

from __future__ import annotations

from typing import Any, NamedTuple

from orchidgap.net.addresses import Address, parse_address

STATES = {"Ready": "up", "Terminating": "draining", "Gone": "gone"}
NO_ADDRESS: Address = ("", 0)


class EndpointEntry(NamedTuple):
    """A host as the decisions receive it; a `HostEntry` of theirs.

    Attributes:
        host: The host's id.
        state: One of up, draining and gone.
        started_at_us: When the host's process started, in Unix time; 0 if not known.
        zone: The zone that the host is in.
        kind: The kind of the host, such as cache or origin.
        cell: The cell that the host is in.
        weight: The relative capacity of the host.
    """

    host: str
    state: str
    started_at_us: int
    zone: str
    kind: str
    cell: str
    weight: float


class Endpoint(NamedTuple):
    """The address of a host for connections; the state is that of its entry."""

    host: str
    state: str
    address: Address


class HostList(NamedTuple):
    """The whole list, or changes to it; entries and endpoints are in the same order."""

    version: int
    whole: bool
    entries: list[EndpointEntry]
    endpoints: list[Endpoint]


def decode_list(document: Any) -> HostList:
    """Decode a list, or changes to one, from a JSON document.

    A single malformed entry must not make the balancer keep an outdated list: a host whose state is
    unknown or whose address is invalid is treated as draining, so nothing new is sent to it. Raises
    KeyError, ValueError, TypeError or AttributeError if the document is not a list.

    >>> host = {"host": "s", "dial": "127.0.0.2:7", "site": "a", "class": "m", "block": 3,
    ...     "health": "Ready", "share": 1, "born_ms": 5}
    >>> changes = decode_list({"seq": 4, "whole": False, "hosts": [host]})
    >>> changes.version, changes.whole, tuple(changes.entries[0]), tuple(changes.endpoints[0])
    (4, False, ('s', 'up', 5000, 'a', 'm', '3', 1.0), ('s', 'up', ('127.0.0.2', 7)))
    >>> decode_list({"seq": 4, "whole": True,
    ...     "hosts": [{"host": "s", "dial": "", "health": "Ready"}]}).endpoints
    [Endpoint(host='s', state='draining', address=('', 0))]
    """
    entries = []
    endpoints = []
    for host in document["hosts"]:
        endpoint = decode_endpoint(host)
        entries.append(decode_entry(host, endpoint))
        endpoints.append(endpoint)
    return HostList(int(document["seq"]), bool(document["whole"]), entries, endpoints)


def decode_endpoint(host: Any) -> Endpoint:
    """Decode the address and the state of a host; one that has gone may have no address."""
    host_id = str(host["host"])
    state = STATES.get(host["health"], "draining")
    if state == "gone":
        address = valid_address(str(host.get("dial")))
        return Endpoint(host_id, state, address or NO_ADDRESS)
    address = valid_address(host["dial"])
    if address is None:
        return Endpoint(host_id, "draining", NO_ADDRESS)
    return Endpoint(host_id, state, address)


def valid_address(text: str) -> Address | None:
    """Return the address in the text, or None if it is no address."""
    try:
        return parse_address(text)
    except ValueError:
        return None


def decode_entry(host: Any, endpoint: Endpoint) -> EndpointEntry:
    """Decode the entry of a host for the decisions."""
    weight = host.get("share")
    started_at_us = int(host.get("born_ms") or 0) * 1000
    return EndpointEntry(
        endpoint.host,
        endpoint.state,
        started_at_us,
        str(host.get("site")),
        str(host.get("class")),
        str(host.get("block")),
        1.0 if weight is None else float(weight),
    )
