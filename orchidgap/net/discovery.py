"""The interface of discovery, which provides the node's list of hosts."""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import Protocol

from orchidgap.net.addresses import Address
from orchidgap.net.attempt_failure import AttemptFailure

Dial = Callable[[Address], socket.socket | AttemptFailure]


class HostDiscovery(Protocol):
    """A source of the host list; it calls `Node.on_list`."""

    def fetch(self) -> None:
        """Fetch the list, unless a fetch is in progress."""

    def set_address(self, address: Address) -> None:
        """Use another address from now on."""
