"""A change of policy: what is proposed, decided or dropped, who is waited for, and what a balancer may
serve under.

The register holds one value; the functions here are all that may follow it:

    | value              | what happens                       | next value                                  |
    | ------------------ | ---------------------------------- | ------------------------------------------- |
    | nothing proposed   | `proposed`                         | it stands as `next`, under a new try        |
    | something proposed | `decided`: all hold a promise      | `n` goes up by one, `next` is empty         |
    | something proposed | `dropped`: one refused, or is away | `next` is empty, the reason is kept         |
    | any                | `joined`, `struck`                 | who stays alone is known, or is none        |

Times are whole microseconds. Nothing here does I/O.
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import Enum
from typing import Any, NamedTuple

from orchidgap.decisions.cas_register import Ballot, Value, chosen

DRIFT = 0.01  # how much faster or slower than true time a clock may run
PAST = 64  # outcomes that are kept
MOST_ROWS = 4_096  # balancers that one control process knows
FORGET = 600_000_000  # after which one that left is no longer told of
STAY, LEAVE = "stay", "leave"

EMPTY: Value = {
    "n": 0,
    "id": "",
    "try": 0,
    "doc": None,
    "next": None,
    "tries": 0,
    "stay": {},
    "past": [],
}


def outcome(value: Value, id: str) -> list[Any] | None:
    """What became of a change by its id, if that is remembered: the version or 0, the id, the word, the
    reason."""
    return next((row for row in reversed(value["past"]) if row[1] == id), None)


def proposed(value: Value, id: str, doc: Value) -> Value | None:
    """
    >>> value = proposed(EMPTY, "x", {"settings": {}})
    >>> value["next"]["n"], value["next"]["try"], proposed(value, "y", {}), value["n"]
    (1, 1, None, 0)
    """
    if value["next"] is not None or value["id"] == id:
        return None
    tries = (
        value["tries"] + 1
    )  # a promise holds for one try: the same change proposed anew is another one
    return value | {
        "tries": tries,
        "next": {"id": id, "doc": doc, "try": tries, "n": value["n"] + 1},
    }


def asked(value: Value, id: str, doc: Value, again: bool, after: int) -> Value:
    """A proposer's call, which counts as long as nothing else was asked since its caller knew of `after`
    tries: one that comes late or twice must not bring back what its caller was told holds nowhere.

    >>> one = asked(EMPTY, "x", {}, False, 0)
    >>> one["next"]["id"], asked(one, "y", {}, False, 1)["tries"]
    ('x', 2)
    >>> asked(dropped(one, 1, "b2: no"), "x", {}, False, 0)["next"]
    """
    known = outcome(value, id)
    if known and known[2] == "decided" and not again or value["tries"] != after:
        return value
    if value["next"] is not None:  # this call is answered with a no for good
        return value if value["next"]["id"] == id else value | {"tries": after + 1}
    return proposed(value, id, doc) or value


def ended(value: Value, *row: Any) -> Value:
    return {"next": None, "past": [*value["past"], list(row)][-PAST:]}


def decided(value: Value, number: int) -> Value | None:
    """
    >>> value = decided(proposed(EMPTY, "x", {"a": 1}), 1)
    >>> value["n"], value["doc"], value["next"], outcome(value, "x"), decided(value, 1)
    (1, {'a': 1}, None, [1, 'x', 'decided', ''], None)
    """
    now = value["next"]
    if now is None or now["try"] != number:
        return None
    return (
        value
        | {"n": now["n"], "id": now["id"], "try": number, "doc": now["doc"]}
        | ended(value, now["n"], now["id"], "decided", "")
    )


def dropped(value: Value, number: int, why: str) -> Value | None:
    """
    >>> outcome(dropped(proposed(EMPTY, "x", {}), 1, "b2: disk full"), "x")
    [0, 'x', 'nowhere', 'b2: disk full']
    """
    now = value["next"]
    if now is None or now["try"] != number:
        return None
    return value | ended(value, 0, now["id"], "nowhere", why)


def joined(value: Value, name: str, life: str) -> Value | None:
    """A balancer that will go on alone: no change is decided without its promise until it is struck off."""
    return (
        None if value["stay"].get(name) == life else value | {"stay": value["stay"] | {name: life}}
    )


def struck(value: Value, name: str, life: str) -> Value | None:
    """By an operator's word, or by its own when it ends; another life of it stays."""
    if value["stay"].get(name) != life:
        return None
    return value | {"stay": {other: one for other, one in value["stay"].items() if other != name}}


class Row(NamedTuple):
    """One balancer's process, as a control process last heard of it."""

    name: str
    life: str
    alone: str
    runs: int  # the version that governs what it takes
    promised: int  # the try that it holds a promise for, 0 for none
    refused: int  # the try that it turned down
    why: str
    heard: int
    until: int  # it may hold a lease until then

    def ready(self, number: int, n: int) -> bool:
        """Whether the decision of this try, which makes version n, finds it prepared."""
        return self.promised == number or self.runs >= n


class Leases:
    """What one acceptor has granted. A balancer serves by a majority's grants, so whoever serves when a
    majority takes a decision is known to one of that majority, which waits for its promise.

    >>> leases = Leases(1_000_000, 0)
    >>> leases.hear(Row("b", "1", "leave", 0, 0, 0, "", 0, 0), 2_000_000)
    True
    >>> value = proposed(EMPTY, "x", {})
    >>> leases.hear(Row("b", "1", "leave", 0, 0, 0, "", 0, 0), 2_300_000)  # it did not hear that
    False
    >>> leases.waits(value, 2_500_000), leases.waits(value, 3_010_001)
    ([('b', 510000)], [])
    >>> leases.hear(Row("b", "1", "leave", 0, 1, 0, "", 0, 0), 2_600_000, 2_000_000)
    True
    >>> leases.waits(value, 2_600_000)
    []
    """

    def __init__(self, lease: int, now: int) -> None:
        self.lease = lease
        self.rows: dict[tuple[str, str], Row] = {}
        # grants of the process before this one are not known: none of them holds longer than this
        self.unknown_until = now + self.longest
        # a decision that waits here or is on its way to the disk, its try and version: who is not ready for
        # it gets no lease any more, as another acceptor may have taken it and it cannot be dropped
        self.locked: tuple[int, int] | None = None

    @property
    def longest(self) -> int:
        return round(self.lease * (1 + DRIFT))

    def hear(self, row: Row, now: int, answered: int = 0) -> bool:
        """Whether a lease is granted. `answered` is when this was last asked by what the caller has heard:
        one that hears nothing uses no lease, and must not be waited for because it goes on asking."""
        key = row.name, row.life
        before = self.rows.pop(key, None)
        hears = before is None or 0 <= now - answered <= 2 * self.lease
        while (
            len(self.rows) >= MOST_ROWS
            and min(self.rows.values(), key=lambda one: one.until).until < now
        ):
            del self.rows[min(self.rows, key=lambda one: self.rows[one].until)]
        if len(self.rows) >= MOST_ROWS:
            return False
        grants = hears and (not self.locked or row.ready(*self.locked))
        until = now + self.longest if grants else before.until if before else 0
        self.rows[key] = row._replace(heard=now, until=until)
        return grants

    def part(self, name: str, life: str) -> None:
        """It has ended by itself and serves no more."""
        self.rows.pop((name, life), None)

    def sweep(self, now: int) -> None:
        for key in [
            key for key, row in self.rows.items() if max(row.until, row.heard) + FORGET < now
        ]:
            del self.rows[key]

    def behind(self, number: int, n: int, stay: dict[str, str], now: int) -> list[tuple[str, int]]:
        """Who may serve and holds no promise for this try, nor runs its version; for how long, 0 without
        end."""
        late = [
            (row.name, row.until - now)
            for row in self.rows.values()
            if row.until > now and not row.ready(number, n)
        ]
        for name, life in stay.items():
            row = self.rows.get((name, life))
            if (row is None or not row.ready(number, n)) and name not in dict(late):
                late.append((name, 0))
        if self.unknown_until > now:
            late.append(("whoever held a lease before control started", self.unknown_until - now))
        return sorted(late)

    def waits(self, value: Value, now: int) -> list[tuple[str, int]]:
        new = value["next"]
        return self.behind(new["try"], new["n"], value["stay"], now) if new else []

    def refusals(self, value: Value, now: int) -> list[tuple[str, str]]:
        """Who may serve and turned down what is proposed, and why."""
        number = value["next"]["try"] if value["next"] else 0
        return sorted(
            (row.name, row.why)
            for row in self.rows.values()
            if number and row.refused == number and row.until > now
        )

    def takes(self, old: Value, new: Value, now: int) -> list[tuple[str, int]]:
        """Whom an acceptor of `old` has to wait for before it takes `new`. From then on, and until that or
        something else has been `written`, whoever is not ready for it gets no lease here."""
        if new["n"] <= old["n"]:
            return []
        self.locked = new["try"], new["n"]
        return self.behind(new["try"], new["n"], old["stay"] | new["stay"], now)

    def written(self) -> None:
        """What it takes is on its disk. Where the write failed it may be there all the same, for the next
        process to find: then who is not ready goes on without a lease, until something else is taken."""
        self.locked = None


def answered(
    count: int, answers: Iterable[tuple[Ballot, Value, bool]]
) -> tuple[Value | None, bool]:
    """What a balancer learns of so many control processes' answers, each with its ballot, value and whether
    it grants a lease: the value that is chosen, if that can be told, and whether a majority that told it
    grants a lease.

    >>> answered(3, [((1, "a"), {"n": 1}, False), ((1, "a"), {"n": 1}, True)])
    ({'n': 1}, False)
    >>> answered(3, [((1, "a"), {"n": 1}, True), ((2, "a"), {"n": 2}, True)])
    (None, False)
    """
    all_ = list(answers)
    granted = chosen(count, [(ballot, value) for ballot, value, grants in all_ if grants])
    if granted is not None:
        return granted, True
    return chosen(count, [(ballot, value) for ballot, value, _ in all_]), False


class Right(Enum):
    """What a balancer may do now."""

    SERVES = "serves"  # it holds a lease
    STAYS = "stays"  # it holds none and goes on: nothing can be decided without its promise
    NONE = "alone"  # it denies: something may have been decided that it does not know


class Tenure:
    """One balancer's right to serve, and under what.

    | it knows                            | a chosen value tells        | it does                     |
    | ----------------------------------- | --------------------------- | --------------------------- |
    | version n                           | version n, nothing proposed | has a lease, a promise is void |
    | version n, no promise               | a try                       | checks, writes; promises, or not |
    | a try that is being written         | the same try                | goes on as before           |
    | version n, with a promise or not    | version m > n               | takes m, then has a lease   |
    | a promise, no lease                 | nothing                     | denies, though it may stay alone |

    >>> tenure = Tenure("stay", 1_000_000)
    >>> tenure.right(0), tenure.told(EMPTY | {"stay": {"b": "1"}}, True, 100), tenure.right(200)
    (<Right.NONE: 'alone'>, '', <Right.SERVES: 'serves'>)
    >>> tenure.right(1_000_000)
    <Right.STAYS: 'stays'>
    >>> value = proposed(EMPTY, "x", {})
    >>> tenure.told(value, True, 1_100_000), tenure.writes(1), tenure.right(3_000_000)
    ('check', None, <Right.STAYS: 'stays'>)
    >>> tenure.told(value, True, 1_100_000), tenure.promise(1), tenure.right(3_000_000)
    ('', True, <Right.NONE: 'alone'>)
    >>> tenure.told(decided(value, 1), True, 4_000_000), tenure.right(4_000_020)
    ('take', <Right.NONE: 'alone'>)
    >>> tenure.takes(1), tenure.told(decided(value, 1), True, 4_000_000), tenure.right(4_000_040)
    (None, '', <Right.SERVES: 'serves'>)
    """

    def __init__(self, alone: str, lease: int) -> None:
        self.alone, self.lease = alone, lease
        self.runs = -1  # the version it takes reqs under; none before control was heard
        self.promised = 0  # the try
        self.writing = 0  # the one that is on its way to the disk
        self.refused = 0
        self.why = ""
        self.until = 0  # of its lease, by its own clock
        self.stays = False  # the register knows that it goes on alone

    def told(self, value: Value, registered: bool, asked: int, granted: bool = True) -> str:
        """A chosen value, asked for at `asked`, with a majority's grants or without. What is to be done
        first:
        'take' the version and be told again, 'check' what is proposed, or nothing."""
        if value["n"] < self.runs:
            return ""  # an old answer
        if value["n"] > max(self.runs, 0):
            self.until, self.stays = 0, False
            return "take"
        self.runs = value["n"]
        if (
            granted
        ):  # from when it was asked: the answer may have been on its way for as long as a lease
            self.until = max(self.until, asked + round(self.lease * (1 - DRIFT)))
        self.stays = registered and self.alone == STAY
        number = value["next"]["try"] if value["next"] else 0
        if self.promised and self.promised != number:
            self.promised = 0
        if self.writing != number:
            self.writing = 0
        return (
            "check" if number and number not in (self.promised, self.refused, self.writing) else ""
        )

    def writes(self, number: int) -> None:
        """It goes on meanwhile: a disk may take long."""
        self.writing = number

    def promise(self, number: int) -> bool:
        """It has written what was proposed; told to control from now on. Not where that is no longer
        proposed: a promise that nobody asks for would only take its right away."""
        if number != self.writing:
            return False
        self.promised, self.writing = number, 0
        return True

    def refuse(self, number: int, why: str) -> None:
        self.refused, self.why, self.writing = number, why, 0

    def takes(self, n: int) -> None:
        """It takes reqs under this version from now on."""
        self.runs, self.promised, self.writing = n, 0, 0

    def right(self, now: int) -> Right:
        if self.runs >= 0 and now < self.until:
            return Right.SERVES
        # whoever has promised may have been counted on, and something may be decided by now
        return Right.STAYS if self.stays and not self.promised else Right.NONE
