"""One value that a majority of control processes keeps: read, changed and written whole by compare-and-set.

CASPaxos (Rystsov 2018): every change is one round of two phases under a ballot of its own, and an acceptor
needs no log. No I/O: what an `Acceptor` gives has to be durable before anybody is told.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

Ballot = tuple[int, str]  # a count, and who proposes: two never propose under one
NONE: Ballot = (0, "")

Value = dict[str, Any]  # never changed in place


class Kept(NamedTuple):
    """What an acceptor has on its disk."""

    promised: Ballot  # nothing under a lower ballot is taken any more
    ballot: Ballot  # of the value
    value: Value


def majority(count: int) -> int:
    """
    >>> [majority(count) for count in (1, 2, 3, 5)]
    [1, 2, 2, 3]
    """
    return count // 2 + 1


class Acceptor:
    """What it gives has to be written; it counts, and may be told, once `stands` was called with it. Nothing
    else is asked meanwhile: a promise made beside a write would be overwritten by it.

    >>> acceptor = Acceptor(Kept(NONE, NONE, {}))
    >>> acceptor.stands(acceptor.prepare((1, "a"))), acceptor.prepare((1, "a"))
    (None, None)
    >>> acceptor.stands(acceptor.accept((1, "a"), {"n": 1})), acceptor.stands(acceptor.prepare((2, "b")))
    (None, None)
    >>> acceptor.accept((1, "a"), {"n": 9}), acceptor.kept
    (None, Kept(promised=(2, 'b'), ballot=(1, 'a'), value={'n': 1}))
    """

    def __init__(self, kept: Kept) -> None:
        self.kept = kept

    def prepare(self, ballot: Ballot) -> Kept | None:
        """The promise to take nothing under a lower ballot; None where it is not given."""
        return self.kept._replace(promised=ballot) if ballot > self.kept.promised else None

    def accept(self, ballot: Ballot, value: Value) -> Kept | None:
        """With the value taken; None where a higher ballot was promised."""
        return Kept(ballot, ballot, value) if ballot >= self.kept.promised else None

    def stands(self, kept: Kept) -> None:
        self.kept = kept


class Round:
    """One compare-and-set as its proposer sees it. `change` makes the new value of the old one; it may be
    the old one itself, which then is known to be chosen.

    >>> there = [Acceptor(Kept(NONE, NONE, {"n": 0})) for _ in range(3)]
    >>> round = Round((1, "a"), 3, lambda value: value | {"n": value["n"] + 1})
    >>> for name, one in zip("xyz", there):
    ...     one.stands(one.prepare((1, "a")))
    ...     _ = round.prepared(name, one.kept.ballot, one.kept.value)
    >>> took = [name for name, one in zip("xyz", there) if one.accept((1, "a"), round.value)]
    >>> round.value, [round.accepted(name) for name in took]
    ({'n': 1}, [False, True, True])
    """

    def __init__(
        self, ballot: Ballot, count: int, change: Callable[[Value], Value], but: str = ""
    ) -> None:
        self.ballot, self.need, self.change = ballot, majority(count), change
        self.but = but  # an acceptor that does not count: it has lost what it had promised
        self.heard: dict[str, tuple[Ballot, Value]] = {}
        self.took: dict[str, None] = {}
        self.value: Value | None = None  # what is to be accepted, once the old value is known

    def prepared(self, name: str, ballot: Ballot, value: Value) -> bool:
        """A promise, with what its acceptor had taken; whether `value` is known by it."""
        if self.value is not None or name == self.but:
            return False
        self.heard[name] = ballot, value
        if len(self.heard) < self.need:
            return False
        # under the highest ballot: that one may have been chosen, and no other can have been since
        old = max(self.heard.values(), key=lambda heard: heard[0])[1]
        self.value = self.change(old)
        return True

    def accepted(self, name: str) -> bool:
        """Whether the value is chosen."""
        if name != self.but:
            self.took[name] = None
        return len(self.took) >= self.need


def chosen(count: int, told: Iterable[tuple[Ballot, Value]]) -> Value | None:
    """What is certainly chosen, by what acceptors told that they have: one ballot at a majority, or nothing.

    Equal values under several ballots do not do: a value between them may have been chosen, or be chosen yet.

    >>> chosen(3, [((1, "a"), {"n": 1}), ((2, "b"), {"n": 1})])
    >>> chosen(3, [((2, "b"), {"n": 1}), ((1, "a"), {"n": 0}), ((2, "b"), {"n": 1})])
    {'n': 1}
    """
    seen: dict[Ballot, int] = {}
    for ballot, value in told:
        seen[ballot] = seen.get(ballot, 0) + 1
        if seen[ballot] >= majority(count):
            return value
    return None
