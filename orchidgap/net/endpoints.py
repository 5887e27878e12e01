"""The form of discovery's list: which hosts there are, and where."""

from __future__ import annotations

from typing import Any, NamedTuple

from orchidgap.net.addresses import Address, parse_address

STATES = {"Ready": "up", "Terminating": "draining", "Gone": "gone"}
NO_ADDRESS: Address = ("", 0)


class EndpointEntry(NamedTuple):
    """What the decisions are told of a host; the state is up, draining or gone."""

    host: str
    state: str
    born_us: int
    site: str
    host_class: str
    block: str
    share: float


class Endpoint(NamedTuple):
    """Where connections find a host; the state as in its entry."""

    host: str
    state: str
    address: Address


class HostList(NamedTuple):
    """The list, or changes to it; entries and endpoints stand in the same order."""

    version: int
    whole: bool
    entries: list[EndpointEntry]
    endpoints: list[Endpoint]


def decode_list(document: Any) -> HostList:
    """The version, whether the list is whole, its entries, and where each host is found.

    One odd entry must not keep the balancer on an old list: a host in a state that has no name
    here, or at no address, is sent nothing new. Raises KeyError, ValueError, TypeError or
    AttributeError where it is no list.

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
    """Where a host is, and in which state."""
    host_id = str(host["host"])
    state = STATES.get(host["health"], "draining")
    if state == "gone":
        return Endpoint(host_id, state, NO_ADDRESS)
    try:
        return Endpoint(host_id, state, parse_address(host["dial"]))
    except ValueError:
        return Endpoint(host_id, "draining", NO_ADDRESS)


def decode_entry(host: Any, endpoint: Endpoint) -> EndpointEntry:
    """What the decisions are told of a host."""
    share = host.get("share")
    born_us = int(host.get("born_ms") or 0) * 1000
    return EndpointEntry(
        endpoint.host,
        endpoint.state,
        born_us,
        str(host.get("site")),
        str(host.get("class")),
        str(host.get("block")),
        1.0 if share is None else float(share),
    )
