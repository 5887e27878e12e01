"""The form of discovery's list: which hosts there are, and where."""

from __future__ import annotations

from typing import Any

from orchidgap.net.addresses import Address, parse_address

STATES = {"Ready": "up", "Terminating": "draining", "Gone": "gone"}
NO_ADDRESS: Address = ("", 0)

# as the decisions take it: id, state, born (us), site, class, block, share
EndpointEntry = tuple[str, str, int, str, str, str, float]
Endpoint = tuple[str, str, Address]  # as connections take it: id, state, where
HostList = tuple[int, bool, list[EndpointEntry], list[Endpoint]]


def decode_list(document: Any) -> HostList:
    """The version, whether the list is whole, its entries, and where each host is found.

    One odd entry must not keep the balancer on an old list: a host in a state that has no name
    here, or at no address, is sent nothing new. Raises KeyError, ValueError, TypeError or
    AttributeError where it is no list.

    >>> decode_list({"seq": 4, "whole": False, "hosts": [{"host": "s", "dial": "127.0.0.2:7",
    ...     "site": "a", "class": "m", "block": 3, "health": "Ready", "share": 1, "born_ms": 5}]})
    (4, False, [('s', 'up', 5000, 'a', 'm', '3', 1.0)], [('s', 'up', ('127.0.0.2', 7))])
    >>> decode_list({"seq": 4, "whole": True,
    ...     "hosts": [{"host": "s", "dial": "", "health": "Ready"}]})[3]
    [('s', 'draining', ('', 0))]
    """
    entries = []
    endpoints = []
    for host in document["hosts"]:
        endpoint = decode_endpoint(host)
        entries.append(decode_entry(host, endpoint))
        endpoints.append(endpoint)
    return int(document["seq"]), bool(document["whole"]), entries, endpoints


def decode_endpoint(host: Any) -> Endpoint:
    """Where a host is, and in which state."""
    host_id = str(host["host"])
    state = STATES.get(host["health"], "draining")
    if state == "gone":
        return host_id, state, NO_ADDRESS
    try:
        return host_id, state, parse_address(host["dial"])
    except ValueError:
        return host_id, "draining", NO_ADDRESS


def decode_entry(host: Any, endpoint: Endpoint) -> EndpointEntry:
    """What the decisions are told of a host."""
    host_id, state, _ = endpoint
    share = host.get("share")
    born_us = int(host.get("born_ms") or 0) * 1000
    return (
        host_id,
        state,
        born_us,
        str(host.get("site")),
        str(host.get("class")),
        str(host.get("block")),
        1.0 if share is None else float(share),
    )
