"""Who owns a slot, what a redirection means, and when the map is asked for again. Free of I/O.

Where servers own their slots (the cluster dialect of RESP, its public specification), their word on the owner
binds: `Map` keeps what they said. The states of a slot here, and what may follow what:

| state | meaning | MOVED to x | ASK to x | a whole map |
| --- | --- | --- | --- | --- |
| unknown | no owner was told, or two were | doubted, x | as it was; one req to x | owned, or unknown |
| owned | one server was told as its owner | doubted, x | as it was; one req to x | owned, or unknown |
| doubted | a single redirection said so | doubted, x | as it was; one req to x | owned, or unknown |

A redirection proves that its command has not run, so it may be followed whatever the rule set. It is followed
at most `MOST_HOPS` times for one req: two servers that point at each other end in one answer.
"""

from __future__ import annotations

from array import array
from collections.abc import Iterable
from enum import Enum
from random import Random
from typing import NamedTuple

SPACE = 1 << 14
MOST_HOPS = 5  # redirections that one req follows
FLOOR = 1_000_000  # microseconds between two asks for the map, whatever is redirected
USUAL = 15_000_000  # between asks where nothing is redirected
SPREAD = 0.5  # part of either by which it varies: balancers must not ask together
UNKNOWN = -1


class Turn(Enum):
    """What is to be done with a req after a redirection."""

    FOLLOW = "follow"  # send it to the server named
    WAIT = "wait"  # it is not known where to: ask for the map, try again shortly
    GIVE_UP = "give up"  # it has been sent about often enough, or whom it names drains


class Range(NamedTuple):
    """Slots first to last, both in, of one owner with its replicas."""

    first: int
    last: int
    owner: str
    replicas: tuple[str, ...] = ()


class SlotMap:
    """The owners of all slots, as the servers told them.

    >>> slots = SlotMap(Random(1), 0)
    >>> slots.learn([Range(0, 9, "a", ("r",)), Range(8, 20, "b")], 5)
    >>> slots.owner(0), slots.owner(8), slots.owner(20), slots.owner(21), slots.readers(3)
    ('a', None, 'b', None, ['a', 'r'])
    >>> slots.moved(3, "c", 6); slots.owner(3), slots.readers(3), slots.holes()
    ('c', ['c'], 16365)
    """

    def __init__(self, rng: Random, now: int) -> None:
        self.rng = rng
        self.names: list[str] = []
        self.numbers: dict[str, int] = {}
        self.owners = array("h", [UNKNOWN]) * SPACE
        self.replicas: dict[str, tuple[str, ...]] = {}
        self.doubted = False  # a redirection told what no whole map has confirmed
        self.asked_at = now - FLOOR
        self.due = now  # when the map is asked for next
        self.failures = 0
        self.clashes = 0  # slots that the last map gave to two owners

    def number(self, name: str) -> int:
        if name not in self.numbers:
            self.numbers[name] = len(self.names)
            self.names.append(name)
        return self.numbers[name]

    def owner(self, slot: int) -> str | None:
        at = self.owners[slot]
        return None if at == UNKNOWN else self.names[at]

    def readers(self, slot: int) -> list[str]:
        """The owner, then its replicas: who may answer reads of this slot where stale ones are allowed."""
        owner = self.owner(slot)
        if owner is None:
            return []
        return [owner, *(name for name in self.replicas.get(owner, ()) if name != owner)]

    def holes(self) -> int:
        return self.owners.count(UNKNOWN)

    def learn(self, ranges: Iterable[Range], now: int) -> None:
        """A whole map. What is in no range, or in two of different owners, is unknown: neither may be asked
        for it by guess. Ranges out of bounds are left aside.
        """
        owners, clash = array("h", [UNKNOWN]) * SPACE, dict[int, None]()
        self.replicas = {}
        self.names, self.numbers = [], {}
        for told in ranges:
            if not (0 <= told.first <= told.last < SPACE and told.owner):
                continue
            at = self.number(told.owner)
            replicas = self.replicas.get(told.owner, ()) + told.replicas
            self.replicas[told.owner] = tuple(dict.fromkeys(replicas))
            for slot in range(told.first, told.last + 1):
                if owners[slot] not in (UNKNOWN, at):
                    clash[slot] = None
                owners[slot] = at
        for slot in clash:
            owners[slot] = UNKNOWN
        self.owners, self.clashes, self.doubted, self.failures = owners, len(clash), False, 0
        self.due = now + self.spread(USUAL)

    def moved(self, slot: int, to: str, now: int) -> None:
        """A server says that the slot is another's: that is asked from now on, until a whole map comes."""
        self.owners[slot] = self.number(to)
        self.doubt(now)

    def doubt(self, now: int) -> None:
        """Something does not fit the map: ask for it soon, but never more often than the floor allows."""
        self.doubted = True
        self.due = min(self.due, max(now, self.asked_at + self.spread(FLOOR)))

    def lost(self, now: int) -> None:
        """Nobody answered with a map: try again, later each time."""
        self.failures += 1
        self.due = now + self.spread(min(USUAL, FLOOR << min(self.failures - 1, 4)))

    def ask_now(self, now: int) -> bool:
        """Whether the map is to be asked for now; if so, that counts as asked."""
        if now < self.due:
            return False
        self.asked_at, self.due = now, now + self.spread(USUAL)
        return True

    def spread(self, delay: int) -> int:
        return delay + round(delay * SPREAD * self.rng.random())


def turn(hops: int, known: bool, drains: bool) -> Turn:
    """What follows a redirection: `hops` it had before, whether the server it names is known, and whether
    that drains (nothing new goes there, redirected or not).

    >>> [turn(*case).value for case in ((0, True, False), (4, True, False), (5, True, False),
    ...                                 (1, False, False), (0, True, True))]
    ['follow', 'follow', 'give up', 'wait', 'give up']
    """
    if hops >= MOST_HOPS or drains:
        return Turn.GIVE_UP
    return Turn.FOLLOW if known else Turn.WAIT


def tag(key: bytes) -> bytes:
    """The part of a key that is hashed: what stands in the first braces, unless that is empty.

    >>> [tag(key) for key in (b"{user1}.a", b"a{}b", b"a{b", b"foo{{bar}}x", b"{a}{b}", b"")]
    [b'user1', b'a{}b', b'a{b', b'{bar', b'a', b'']
    """
    start = key.find(b"{")
    if start >= 0:
        end = key.find(b"}", start + 1)
        if end > start + 1:
            return key[start + 1 : end]
    return key
