"""Divides the descriptors of this process between clients and connections to hosts."""

from __future__ import annotations

from typing import NamedTuple

# descriptors for everything except clients and hosts, and for clients that are being rejected
RESERVED_DESCRIPTORS = 48
RESERVED_MEMORY_MB = 16  # memory of the program itself
# memory for a client's request and its answer; most are smaller, and few answers are larger
CLIENT_MEMORY_KB = 128
MIN_CONNECTIONS = 8  # connections that each side may always open
MIN_SHARED_DESCRIPTORS = 16  # descriptors that both sides together may always use


class DescriptorBudget(NamedTuple):
    """The most connections of each side."""

    clients: int
    upstream: int


def divide_descriptors(
    descriptors: int, memory_mb: int, open_clients: int, upstream_connections: int
) -> DescriptorBudget:
    """Divide the descriptors that this process may open.

    Clients get half of them, or fewer if `memory_mb` does not suffice. Clients that are connected
    already are not closed for it.

    >>> divide_descriptors(1024, 1024, 0, 0), divide_descriptors(1024, 32, 0, 0)
    (DescriptorBudget(clients=488, upstream=488), DescriptorBudget(clients=128, upstream=848))
    """
    shared = max(MIN_SHARED_DESCRIPTORS, descriptors - RESERVED_DESCRIPTORS)
    memory_limit = (memory_mb - RESERVED_MEMORY_MB) * 1024 // CLIENT_MEMORY_KB
    target = min(shared // 2, memory_limit)
    required_now = min(open_clients + MIN_CONNECTIONS, shared - upstream_connections)
    clients = max(MIN_CONNECTIONS, target, required_now)
    return DescriptorBudget(clients, max(MIN_CONNECTIONS, shared - clients))
