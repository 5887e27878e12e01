"""The owners of slots, the action after a redirection, and the times to refresh the slot map.

In a RESP cluster servers own their slots, and the owner that they report is authoritative (Redis
Cluster Specification: hash tags, `CLUSTER SLOTS`, `MOVED` and `ASK`). `SlotMap` stores it:

| state of a slot | MOVED to x | ASK to x | a complete map |
| --- | --- | --- | --- |
| unknown: it has no owner, or two | owned by x | unknown | owned or unknown |
| owned by one server | owned by x | owned as before | owned or unknown |

MOVED means that the map is out of date, so a complete one is requested soon; ASK applies to one
request. A redirection proves that its command was not executed, so it may be followed for any
request class, but at most `MAX_REDIRECTS` times for a request: two servers that redirect to each
other must not cause an endless loop. This module does no I/O; times are whole microseconds.
"""

from __future__ import annotations

from array import array
from collections.abc import Iterable
from enum import Enum
from random import Random
from typing import NamedTuple

from orchidgap.decisions.hash_ranges import SLOT_COUNT

MAX_REDIRECTS = 5
MIN_REFRESH_INTERVAL_US = 1_000_000  # time between refreshes, however many redirections arrive
REFRESH_INTERVAL_US = 15_000_000  # time between refreshes if no redirections arrive
MAX_BACKOFF_DOUBLINGS = 4
# Up to this part of an interval is added to it at random: balancers must not refresh all at once.
JITTER_RATIO = 0.5
UNKNOWN_OWNER = -1


class RedirectAction(Enum):
    """The action for a request after a redirection."""

    FOLLOW = "follow"  # send it to the server that was named
    RETRY_LATER = "retry later"  # that server is unknown: refresh the map first
    GIVE_UP = "give up"  # too many redirections, or that server drains


def redirect_action(
    redirect_count: int, target_is_known: bool, target_drains: bool
) -> RedirectAction:
    """Return the action after a redirection.

    Args:
        redirect_count: How many times the request was redirected before.
        target_is_known: Whether discovery lists the server that the redirection names.
        target_drains: Whether that server drains: it gets no new requests, redirected or not.

    >>> [redirect_action(*case).value for case in ((0, True, False), (4, True, False),
    ...     (5, True, False), (1, False, False), (0, True, True))]
    ['follow', 'follow', 'give up', 'retry later', 'give up']
    """
    if redirect_count >= MAX_REDIRECTS or target_drains:
        return RedirectAction.GIVE_UP
    return RedirectAction.FOLLOW if target_is_known else RedirectAction.RETRY_LATER


class SlotRange(NamedTuple):
    """A range of slots with one owner."""

    first: int
    last: int  # inclusive
    owner: str


class SlotMap:
    """The owners of all slots as reported by servers, and the time of the next refresh.

    >>> slots = SlotMap(Random(1), 0)
    >>> slots.replace([SlotRange(0, 9, "a"), SlotRange(8, 20, "b")], 5)
    >>> slots.owner(0), slots.owner(8), slots.owner(20), slots.owner(21)
    ('a', None, 'b', None)
    >>> slots.set_owner(3, "c", 6)
    >>> slots.owner(3), slots.unknown_slot_count(), slots.conflicting_slot_count
    ('c', 16365, 2)

    Attributes:
        refresh_due_us: When to request the map next.
        refresh_failures: How many consecutive refreshes have failed.
        conflicting_slot_count: Slots with two owners in the last complete map.
    """

    def __init__(self, rng: Random, now: int) -> None:
        """Start with all owners unknown, and a refresh due at once."""
        self.refresh_due_us = now
        self.refresh_failures = 0
        self.conflicting_slot_count = 0
        self._rng = rng
        self._refresh_started_us = now - MIN_REFRESH_INTERVAL_US
        # Owners are stored by number: a name for each slot would take more memory.
        self._owner_names: list[str] = []
        self._owner_numbers: dict[str, int] = {}
        self._slot_owners = array("h", [UNKNOWN_OWNER]) * SLOT_COUNT

    def owner(self, slot: int) -> str | None:
        """Return the owner of the slot; None if it is unknown."""
        number = self._slot_owners[slot]
        return None if number == UNKNOWN_OWNER else self._owner_names[number]

    def unknown_slot_count(self) -> int:
        """Return how many slots have no known owner."""
        return self._slot_owners.count(UNKNOWN_OWNER)

    def replace(self, ranges: Iterable[SlotRange], now: int) -> None:
        """Replace all owners by those of a complete map.

        The owner of a slot in no range, or in ranges of different owners, is unknown: no request
        may be sent to one of them by guess. Ranges out of bounds are ignored.
        """
        self._owner_names = []
        self._owner_numbers = {}
        owners = array("h", [UNKNOWN_OWNER]) * SLOT_COUNT
        conflicting: set[int] = set()
        for slots in ranges:
            is_within_bounds = 0 <= slots.first <= slots.last < SLOT_COUNT
            if not is_within_bounds or not slots.owner:
                continue
            number = self._owner_number(slots.owner)
            for slot in range(slots.first, slots.last + 1):
                if owners[slot] not in (UNKNOWN_OWNER, number):
                    conflicting.add(slot)
                owners[slot] = number
        for slot in conflicting:
            owners[slot] = UNKNOWN_OWNER
        self._slot_owners = owners
        self.conflicting_slot_count = len(conflicting)
        self.refresh_failures = 0
        self.refresh_due_us = now + self._with_jitter(REFRESH_INTERVAL_US)

    def set_owner(self, slot: int, owner: str, now: int) -> None:
        """Set the owner that a redirection named, until the next complete map; request one."""
        self._slot_owners[slot] = self._owner_number(owner)
        self.request_refresh(now)

    def request_refresh(self, now: int) -> None:
        """Schedule a refresh of an outdated map, as soon as the minimum interval permits."""
        earliest_us = self._refresh_started_us + self._with_jitter(MIN_REFRESH_INTERVAL_US)
        self.refresh_due_us = min(self.refresh_due_us, max(now, earliest_us))

    def start_refresh_if_due(self, now: int) -> bool:
        """Return whether to request the map now; if so, the refresh counts as started."""
        if now < self.refresh_due_us:
            return False
        self._refresh_started_us = now
        self.refresh_due_us = now + self._with_jitter(REFRESH_INTERVAL_US)
        return True

    def on_refresh_failed(self, now: int) -> None:
        """Schedule the next refresh after a failed one, with exponential backoff."""
        self.refresh_failures += 1
        doublings = min(self.refresh_failures - 1, MAX_BACKOFF_DOUBLINGS)
        delay_us = min(REFRESH_INTERVAL_US, MIN_REFRESH_INTERVAL_US << doublings)
        self.refresh_due_us = now + self._with_jitter(delay_us)

    def _owner_number(self, name: str) -> int:
        if name not in self._owner_numbers:
            self._owner_numbers[name] = len(self._owner_names)
            self._owner_names.append(name)
        return self._owner_numbers[name]

    def _with_jitter(self, delay_us: int) -> int:
        return delay_us + round(delay_us * JITTER_RATIO * self._rng.random())


def hash_tag(key: bytes) -> bytes:
    """Return the part of a key that is hashed: the text in its first braces, unless empty.

    >>> [hash_tag(key) for key in (b"{user1}.a", b"a{}b", b"a{b", b"foo{{bar}}x", b"{a}{b}", b"")]
    [b'user1', b'a{}b', b'a{b', b'{bar', b'a', b'']
    """
    start = key.find(b"{")
    if start >= 0:
        end = key.find(b"}", start + 1)
        if end > start + 1:
            return key[start + 1 : end]
    return key
