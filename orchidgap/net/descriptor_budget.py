"""How the descriptors of this process are divided between clients and connections to hosts."""

from __future__ import annotations

from typing import NamedTuple

RESERVED_DESCRIPTORS = (
    48  # for all but clients and hosts, and for clients that are told to come back
)
RESERVED_MEMORY_MB = 16  # the program itself
CLIENT_MEMORY_KB = (
    128  # for a client's request and its answer; few are as large, and few answers larger
)
MIN_CONNECTIONS = 8
MIN_SHARED_DESCRIPTORS = 16


class DescriptorBudget(NamedTuple):
    """The most connections of either side."""

    clients: int
    upstream: int


def divide(
    descriptors: int, memory_mb: int, open_clients: int, upstream_connections: int
) -> DescriptorBudget:
    """Divide the descriptors that this process may hold; `memory_mb` is what it may use.

    Clients get half, or what memory allows. Whoever is connected already is not thrown out for it.

    >>> divide(1024, 1024, 0, 0), divide(1024, 32, 0, 0)
    (DescriptorBudget(clients=488, upstream=488), DescriptorBudget(clients=128, upstream=848))
    """
    shared = max(MIN_SHARED_DESCRIPTORS, descriptors - RESERVED_DESCRIPTORS)
    fit_into_memory = (memory_mb - RESERVED_MEMORY_MB) * 1024 // CLIENT_MEMORY_KB
    wanted = min(shared // 2, fit_into_memory)
    already_used = min(open_clients + MIN_CONNECTIONS, shared - upstream_connections)
    clients = max(MIN_CONNECTIONS, wanted, already_used)
    return DescriptorBudget(clients, max(MIN_CONNECTIONS, shared - clients))
