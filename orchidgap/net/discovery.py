"""The interface of discovery, which provides the node's list of hosts."""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import Protocol

from orchidgap.net.addresses import Address
from orchidgap.net.attempt_failure import AttemptFailure
from orchidgap.net.endpoints import Endpoint, EndpointEntry

Dial = Callable[[Address], socket.socket | AttemptFailure]


class HostDiscovery(Protocol):
    """A source of the host list; it calls `Node.on_list`."""

    def restore_list(self, entries: list[EndpointEntry], endpoints: list[Endpoint]) -> bool:
        """Use the host list of this balancer's older process, and return whether it is used.

        It is not if discovery has told a whole list since this process started: that one is at
        least as new, and discovery would not tell it again.
        """

    def fetch(self) -> None:
        """Fetch the list, unless a fetch is in progress."""

    def set_address(self, address: Address) -> None:
        """Use another address from now on."""
