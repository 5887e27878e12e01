"""Who owns a slot, what follows a redirection, and when the slot map is asked for again.

In a RESP cluster servers own their slots, and what they say of the owner binds (Redis Cluster
Specification: hash tags, `CLUSTER SLOTS`, `MOVED` and `ASK`). `SlotMap` keeps what they said:

| state of a slot | MOVED to x | ASK to x | a whole map |
| --- | --- | --- | --- |
| unknown: it has no owner, or two | owned by x | unknown | owned or unknown |
| owned by one server | owned by x | owned as before | owned or unknown |

MOVED says that the map is out of date, so a whole one is asked for soon; ASK is for one request. A
redirection proves that its command has not run, so it may be followed whatever the request class,
but at most `MAX_REDIRECTS` times for a request: two servers that point at each other must not keep
it going. Free of I/O; times are whole microseconds.
"""

from __future__ import annotations

from array import array
from collections.abc import Iterable
from enum import Enum
from random import Random
from typing import NamedTuple

from orchidgap.decisions.hash_ranges import SLOT_COUNT

MAX_REDIRECTS = 5
MIN_REFRESH_INTERVAL_US = 1_000_000  # however many redirections come
REFRESH_INTERVAL_US = 15_000_000  # where none comes
MAX_BACKOFF_DOUBLINGS = 4
JITTER_RATIO = 0.5  # of an interval, added by chance: balancers must not all ask at one moment
UNKNOWN_OWNER = -1


class RedirectAction(Enum):
    """What is done with a request after a redirection."""

    FOLLOW = "follow"  # send it to the server named
    RETRY_LATER = "retry later"  # that server is not known: ask for the map first
    GIVE_UP = "give up"  # it was redirected often enough, or that server drains


def redirect_action(
    redirect_count: int, target_is_known: bool, target_drains: bool
) -> RedirectAction:
    """What follows a redirection.

    Args:
        redirect_count: How often the request was redirected before.
        target_is_known: Whether discovery lists the server that it names.
        target_drains: Whether that server drains: nothing new goes there, redirected or not.

    >>> [redirect_action(*case).value for case in ((0, True, False), (4, True, False),
    ...     (5, True, False), (1, False, False), (0, True, True))]
    ['follow', 'follow', 'give up', 'retry later', 'give up']
    """
    if redirect_count >= MAX_REDIRECTS or target_drains:
        return RedirectAction.GIVE_UP
    return RedirectAction.FOLLOW if target_is_known else RedirectAction.RETRY_LATER


class SlotRange(NamedTuple):
    """Slots of one owner."""

    first: int
    last: int  # included
    owner: str


class SlotMap:
    """The owners of all slots, as the servers said, and the time of the next refresh.

    >>> slots = SlotMap(Random(1), 0)
    >>> slots.replace([SlotRange(0, 9, "a"), SlotRange(8, 20, "b")], 5)
    >>> slots.owner(0), slots.owner(8), slots.owner(20), slots.owner(21)
    ('a', None, 'b', None)
    >>> slots.set_owner(3, "c", 6)
    >>> slots.owner(3), slots.unknown_slot_count(), slots.conflicting_slot_count
    ('c', 16365, 2)

    Attributes:
        refresh_due_us: When the map is asked for next.
        refresh_failures: How many refreshes in a row have failed.
        conflicting_slot_count: Slots that the last whole map gave to two owners.
    """

    def __init__(self, rng: Random, now: int) -> None:
        """Start with no slot known, and a refresh due at once."""
        self.refresh_due_us = now
        self.refresh_failures = 0
        self.conflicting_slot_count = 0
        self._rng = rng
        self._refresh_started_us = now - MIN_REFRESH_INTERVAL_US
        # Owners are kept by number: a name for each of all slots would take more memory.
        self._owner_names: list[str] = []
        self._owner_numbers: dict[str, int] = {}
        self._slot_owners = array("h", [UNKNOWN_OWNER]) * SLOT_COUNT

    def owner(self, slot: int) -> str | None:
        """Who owns the slot; None where that is unknown."""
        number = self._slot_owners[slot]
        return None if number == UNKNOWN_OWNER else self._owner_names[number]

    def unknown_slot_count(self) -> int:
        """How many slots have no known owner."""
        return self._slot_owners.count(UNKNOWN_OWNER)

    def replace(self, ranges: Iterable[SlotRange], now: int) -> None:
        """Take a whole map.

        A slot in no range, or in two of different owners, is unknown: neither owner may be asked
        by guess. Ranges out of bounds are left aside.
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
        """A server says that the slot is another's, which is asked until a whole map comes."""
        self._slot_owners[slot] = self._owner_number(owner)
        self.request_refresh(now)

    def request_refresh(self, now: int) -> None:
        """Something does not fit the map: ask for it soon, but not more often than allowed."""
        earliest_us = self._refresh_started_us + self._with_jitter(MIN_REFRESH_INTERVAL_US)
        self.refresh_due_us = min(self.refresh_due_us, max(now, earliest_us))

    def start_refresh_if_due(self, now: int) -> bool:
        """Whether the map is to be asked for now; if so, the refresh counts as started."""
        if now < self.refresh_due_us:
            return False
        self._refresh_started_us = now
        self.refresh_due_us = now + self._with_jitter(REFRESH_INTERVAL_US)
        return True

    def on_refresh_failed(self, now: int) -> None:
        """Nobody answered with a map: try again, later each time."""
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
    """The part of a key that is hashed: what stands in the first braces, unless that is empty.

    >>> [hash_tag(key) for key in (b"{user1}.a", b"a{}b", b"a{b", b"foo{{bar}}x", b"{a}{b}", b"")]
    [b'user1', b'a{}b', b'a{b', b'{bar', b'a', b'']
    """
    start = key.find(b"{")
    if start >= 0:
        end = key.find(b"}", start + 1)
        if end > start + 1:
            return key[start + 1 : end]
    return key
