"""A compare-and-set register that a majority of control processes keeps (CASPaxos, Rystsov 2018).

Every change of the value is one round of two phases under a ballot of its own; an acceptor keeps
one value and needs no log. States of an acceptor, and what may follow:

    | message                | accepted if                        | next state                    |
    | ---------------------- | ---------------------------------- | ----------------------------- |
    | prepare(ballot)        | it is higher than the promised one | it is the promised ballot     |
    | accept(ballot, value)  | it is not lower than that          | it is both ballots; the value |

States of a proposer: collecting promises, until a quorum has given one and `value` is known; then
collecting acceptances, until a quorum has accepted it.

No I/O: what an `Acceptor` returns has to be durable before anybody is told of it.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Generic, NamedTuple, TypeVar

Ballot = tuple[int, str]
"""A count and the proposer's name; no two proposers use the same ballot."""

NO_BALLOT: Ballot = (0, "")

Value = TypeVar("Value")


class AcceptorState(NamedTuple, Generic[Value]):
    """What an acceptor has on its disk.

    Attributes:
        promised_ballot: Nothing under a lower ballot is accepted any more.
        accepted_ballot: The ballot under which the value was accepted.
        value: The value that was accepted last; never changed in place.
    """

    promised_ballot: Ballot
    accepted_ballot: Ballot
    value: Value


def quorum_size(count: int) -> int:
    """Return how many of `count` acceptors are a majority.

    >>> [quorum_size(count) for count in (1, 2, 3, 5)]
    [1, 2, 2, 3]
    """
    return count // 2 + 1


class Acceptor(Generic[Value]):
    """One acceptor. It never changes its state by itself.

    What `prepare` and `accept` return has to be written first; `on_durable` then puts it into
    force, and only then may the answer be sent. Nothing else may be asked meanwhile: a promise made
    beside a write would be overwritten by that write.

    >>> acceptor = Acceptor(AcceptorState(NO_BALLOT, NO_BALLOT, {}))
    >>> acceptor.on_durable(acceptor.prepare((1, "a"))), acceptor.prepare((1, "a"))
    (None, None)
    >>> acceptor.on_durable(acceptor.accept((1, "a"), {"n": 1}))
    >>> acceptor.on_durable(acceptor.prepare((2, "b")))
    >>> acceptor.accept((1, "a"), {"n": 9})
    >>> acceptor.state
    AcceptorState(promised_ballot=(2, 'b'), accepted_ballot=(1, 'a'), value={'n': 1})
    """

    def __init__(self, state: AcceptorState[Value]) -> None:
        """Begin with what is on the disk."""
        self.state = state

    def prepare(self, ballot: Ballot) -> AcceptorState[Value] | None:
        """Return the state with the promise given, None if the promise is not given."""
        if ballot <= self.state.promised_ballot:
            return None
        return self.state._replace(promised_ballot=ballot)

    def accept(self, ballot: Ballot, value: Value) -> AcceptorState[Value] | None:
        """Return the state with the value accepted, None if a higher ballot was promised."""
        if ballot < self.state.promised_ballot:
            return None
        return AcceptorState(ballot, ballot, value)

    def on_durable(self, state: AcceptorState[Value]) -> None:
        """Put a state into force that is on the disk now."""
        self.state = state


class Proposer(Generic[Value]):
    """One round of compare-and-set, as its proposer sees it.

    >>> acceptors = {name: Acceptor(AcceptorState(NO_BALLOT, NO_BALLOT, 0)) for name in "xyz"}
    >>> proposer = Proposer((1, "a"), 3, lambda value: value + 1)
    >>> for name, acceptor in acceptors.items():
    ...     acceptor.on_durable(acceptor.prepare(proposer.ballot))
    ...     state = acceptor.state
    ...     _ = proposer.on_promise(name, state.accepted_ballot, state.value)
    >>> proposer.value, [proposer.on_accepted(name) for name in acceptors]
    (1, [False, True, True])
    """

    def __init__(
        self,
        ballot: Ballot,
        acceptor_count: int,
        update: Callable[[Value], Value],
        excluded: str = "",
    ) -> None:
        """Begin a round.

        Args:
            ballot: A ballot that was never used before.
            acceptor_count: How many acceptors there are.
            update: Makes the new value of the old one. It may return the old one, which is then
                known to be chosen.
            excluded: The name of an acceptor whose answers do not count, since it has lost its disk
                and with it what it had promised.
        """
        self.ballot = ballot
        self.quorum = quorum_size(acceptor_count)
        self.update = update
        self.excluded = excluded
        self.promises: dict[str, tuple[Ballot, Value]] = {}
        self.accepted_by: set[str] = set()
        self.value: Value | None = None  # to be accepted; known once a quorum has promised

    def on_promise(self, acceptor: str, accepted_ballot: Ballot, value: Value) -> bool:
        """Take in a promise and what its acceptor had accepted before.

        Returns:
            Whether the value to be accepted became known by this promise.
        """
        if self.value is not None or acceptor == self.excluded:
            return False
        self.promises[acceptor] = accepted_ballot, value
        if len(self.promises) < self.quorum:
            return False
        # The value under the highest ballot may have been chosen; none under a lower one can have
        # been chosen since.
        _, current = max(self.promises.values(), key=lambda promise: promise[0])
        self.value = self.update(current)
        return True

    def on_accepted(self, acceptor: str) -> bool:
        """Take in an acceptance; return whether the value is chosen."""
        if acceptor != self.excluded:
            self.accepted_by.add(acceptor)
        return len(self.accepted_by) >= self.quorum


def find_chosen_value(acceptor_count: int, answers: Iterable[tuple[Ballot, Value]]) -> Value | None:
    """Return the value that is certainly chosen, None if that cannot be told.

    A value is chosen if a quorum accepted it under one ballot. Equal values under several ballots
    prove nothing: a value between them may have been chosen, or be chosen yet.

    Args:
        acceptor_count: How many acceptors there are.
        answers: The accepted ballot and value of each acceptor that answered.

    >>> find_chosen_value(3, [((1, "a"), "x"), ((2, "b"), "x")])
    >>> find_chosen_value(3, [((2, "b"), "x"), ((1, "a"), "w"), ((2, "b"), "x")])
    'x'
    """
    counts: dict[Ballot, int] = {}
    for ballot, value in answers:
        counts[ballot] = counts.get(ballot, 0) + 1
        if counts[ballot] >= quorum_size(acceptor_count):
            return value
    return None
