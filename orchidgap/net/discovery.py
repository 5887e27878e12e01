"""The interface of discovery: what gives the node its list of hosts."""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import Protocol

from orchidgap.net.addresses import Address
from orchidgap.net.attempt_failure import AttemptFailure

Dial = Callable[[Address], socket.socket | AttemptFailure]


class HostDiscovery(Protocol):
    """A source of the list of hosts, which calls `Node.on_list`."""

    def fetch(self) -> None:
        """Fetch the list, unless that is under way."""

    def move(self, address: Address) -> None:
        """Ask at another address from now on."""
