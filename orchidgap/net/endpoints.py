"""Where hosts are found: addresses, and the form of discovery's list."""

from __future__ import annotations

from ipaddress import IPv4Address
from typing import Any

from orchidgap.net.connection import Address

STATES = {"Ready": "up", "Terminating": "draining", "Gone": "gone"}

EndpointEntry = tuple[str, str, int, str, str, str, float]
Endpoint = tuple[str, str, Address]  # id, state, where


def parse_address(text: str) -> Address:
    """
    >>> parse_address("127.0.0.1:80")
    ('127.0.0.1', 80)
    >>> parse_address("cache.internal:80")
    Traceback (most recent call last):
        ...
    ValueError: not an address: 'cache.internal:80'
    """
    host, _, port = text.rpartition(":")
    try:
        IPv4Address(host)  # a name would be looked up, and the loop would wait for that
        if not 0 < int(port) < 1 << 16:
            raise ValueError
    except ValueError:
        raise ValueError(f"not an address: {text!r}") from None
    return host, int(port)


def decode_list(told: Any) -> tuple[int, bool, list[EndpointEntry], list[Endpoint]]:
    """The version, whether the list is whole, its entries, and where each host is found.

    One odd entry must not keep the balancer on an old list: a host in a state that has no name here, or at no
    address, wants nothing new.

    >>> decode_list({"seq": 4, "whole": False, "hosts": [{"host": "s", "dial": "127.0.0.2:7", "site": "a",
    ...     "class": "m", "block": 3, "health": "Ready", "share": 1, "born_ms": 5}]})
    (4, False, [('s', 'up', 5000, 'a', 'm', '3', 1.0)], [('s', 'up', ('127.0.0.2', 7))])
    >>> decode_list({"seq": 4, "whole": True, "hosts": [{"host": "s", "dial": "", "health": "Ready"}]})[3]
    [('s', 'draining', ('', 0))]
    """
    entries, found = [], []
    for host in told["hosts"]:
        id, state, address = str(host["host"]), STATES.get(host["health"], "draining"), ("", 0)
        if state != "gone":
            try:
                address = parse_address(host["dial"])
            except ValueError:
                state = "draining"
        share, born = host.get("share"), host.get("born_ms")
        entries.append(
            (
                id,
                state,
                int(born or 0) * 1000,
                str(host.get("site")),
                str(host.get("class")),
                str(host.get("block")),
                1.0 if share is None else float(share),
            )
        )
        found.append((id, state, address))
    return int(told["seq"]), bool(told["whole"]), entries, found


def format_address(address: Address) -> str:
    """
    >>> format_address(("127.0.0.1", 80))
    '127.0.0.1:80'
    """
    return f"{address[0]}:{address[1]}"
