"""The state of each address in discovery's lists, for servers that are used by address.

Discovery lists hosts by id, while slot servers name each other by address. An address may pass from
one host to the next, and for some time be listed for both, or for none:

| the address | its state |
| --- | --- |
| is listed for one host | the state of that host |
| is listed for several hosts | that of the host which started last, see `_precedence` |
| is not listed any more | draining: its host has gone, and attempts in flight may finish |
| was never listed | none |

This module does no I/O. Times are whole microseconds of Unix time.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from orchidgap.decisions.records import HostStatus

Address = tuple[str, int]  # an IP address and a port

MAX_UNLISTED_ADDRESSES = 1_024  # addresses that are remembered though no host is listed there


class ListedHost(NamedTuple):
    """An entry of a list.

    Attributes:
        host: Discovery's id of the host.
        state: The state of the host.
        address: Its address; None if the entry has no valid one.
        started_at_us: When its process started; 0 if that was long ago or is not known.
    """

    host: str
    state: HostStatus
    address: Address | None
    started_at_us: int


class ListedAddresses:
    """The states of all addresses that were ever listed.

    >>> listed, address = ListedAddresses(), ("127.0.0.1", 7000)
    >>> listed.apply_list([ListedHost("a", HostStatus.READY, address, 5)], is_whole=True)
    >>> listed.state(address).value, listed.state(("127.0.0.1", 7001))
    ('up', None)
    >>> listed.apply_list([ListedHost("b", HostStatus.DRAINING, address, 9)], is_whole=False)
    >>> listed.state(address).value
    'draining'
    >>> listed.apply_list([ListedHost("b", HostStatus.GONE, None, 9)], is_whole=False)
    >>> listed.state(address).value
    'up'
    >>> listed.apply_list([], is_whole=True)
    >>> listed.state(address).value
    'draining'
    """

    def __init__(self) -> None:
        """Start without any list."""
        self._states: dict[Address, HostStatus] = {}
        # by id: the entry of each listed host that has an address, and the list that first had it
        self._hosts: dict[str, tuple[ListedHost, int]] = {}
        self._list_count = 0

    def state(self, address: Address) -> HostStatus | None:
        """Return the state of an address; None if it was never listed."""
        return self._states.get(address)

    def states(self) -> Mapping[Address, HostStatus]:
        """Return the states of all addresses that were ever listed."""
        return self._states

    def apply_list(self, entries: Iterable[ListedHost], *, is_whole: bool) -> None:
        """Apply a list, or changes to one.

        Args:
            entries: The listed hosts; of two that only their order tells apart, the later counts.
            is_whole: Whether hosts that are not listed have gone.
        """
        self._list_count += 1
        before = dict(self._hosts)
        if is_whole:
            self._hosts.clear()
        vacated: list[Address] = []
        for entry in entries:
            self._hosts.pop(entry.host, None)
            if entry.address is None:
                continue
            if entry.state is HostStatus.GONE:
                vacated.append(entry.address)
                continue
            known_entry, list_number = before.get(entry.host, (None, 0))
            if known_entry != entry:
                list_number = self._list_count
            self._hosts[entry.host] = entry, list_number
        self._update_states(vacated)

    def restore_states(self, states: Mapping[Address, HostStatus]) -> None:
        """Apply the states in an older process, which hold until a list is applied.

        Servers that are ready there may be unknown to discovery; its lists do not take these away.
        """
        for address, state in states.items():
            if state is not HostStatus.READY or address in self._states:
                self._states[address] = state

    def _update_states(self, vacated: Iterable[Address]) -> None:
        listed: dict[Address, HostStatus] = {}
        for entry, _ in sorted(self._hosts.values(), key=_precedence):
            if entry.address is not None:
                listed[entry.address] = entry.state
        ever_listed = dict.fromkeys((*self._states, *vacated), HostStatus.DRAINING)
        self._states = ever_listed | listed
        unlisted = [address for address in self._states if address not in listed]
        for address in unlisted[: max(0, len(unlisted) - MAX_UNLISTED_ADDRESSES)]:
            del self._states[address]


def _precedence(listed: tuple[ListedHost, int]) -> tuple[int, int]:
    """Return a key; of the hosts at one address the one with the highest gives its state.

    The address belongs to the host that started last; if their starts are equal, to the one whose
    entry was told last.
    """
    entry, list_number = listed
    return entry.started_at_us, list_number
