"""The interface of discovery, which provides the node's list of hosts."""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import Protocol

from orchidgap.net.addresses import Address
from orchidgap.net.attempt_failure import AttemptFailure
from orchidgap.net.endpoints import Endpoint, EndpointEntry

Dial = Callable[[Address], socket.socket | AttemptFailure]


class HostListReceiver(Protocol):
    """Uses the host list that discovery tells."""

    def on_list(self, whole: bool, entries: list[EndpointEntry], endpoints: list[Endpoint]) -> None:
        """Use the list of hosts, or changes to it."""

    def on_recalled_list(self, entries: list[EndpointEntry], endpoints: list[Endpoint]) -> None:
        """Use a list that was told before this process started, while a new one is awaited."""


class HostDiscovery(Protocol):
    """A source of the host list for a `HostListReceiver`."""

    def recall_list(self, entries: list[EndpointEntry], endpoints: list[Endpoint]) -> None:
        """Use the configuration's list, as this balancer last had it, until discovery tells one."""

    def unused_endpoints(self) -> list[tuple[EndpointEntry, Endpoint]]:
        """Return the hosts whose states are known though the node does not use them."""

    def restore_list(self, entries: list[EndpointEntry], endpoints: list[Endpoint]) -> bool:
        """Use the host list of this balancer's older process, and return whether it is used.

        It is not if discovery has told a whole list since this process started: that one is at
        least as new, and discovery would not tell it again.
        """

    def fetch(self) -> None:
        """Fetch the list, unless a fetch is in progress."""

    def set_address(self, address: Address) -> None:
        """Use another address from now on."""
