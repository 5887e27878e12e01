"""Addresses of hosts, of this balancer's listeners, and of other processes that are dialled."""

from __future__ import annotations

from ipaddress import IPv4Address

Address = tuple[str, int]  # an IPv4 address in dotted form, and a port


def parse_address(text: str) -> Address:
    """Parse an address. Raises ValueError.

    Host names are rejected, as resolving them would block the loop.

    >>> parse_address("127.0.0.1:80")
    ('127.0.0.1', 80)
    >>> parse_address("cache.internal:80")
    Traceback (most recent call last):
        ...
    ValueError: not an address: 'cache.internal:80'
    """
    host, _, port = text.rpartition(":")
    try:
        IPv4Address(host)
        is_port = 0 < int(port) < 1 << 16
    except ValueError:
        is_port = False
    if not is_port:
        raise ValueError(f"not an address: {text!r}")
    return host, int(port)


def format_address(address: Address) -> str:
    """Format an address as the text that `parse_address` reads.

    >>> format_address(("127.0.0.1", 80))
    '127.0.0.1:80'
    """
    return f"{address[0]}:{address[1]}"
