"""A compare-and-set register, replicated to the control processes (CASPaxos, Rystsov 2018).

Every change of the value is one round of two phases under its own ballot. An acceptor stores one
value and needs no log. How an acceptor handles each message:

    | message               | accepted if the ballot is          | next state                      |
    | --------------------- | ---------------------------------- | ------------------------------- |
    | prepare(ballot)       | higher than the promised ballot    | the ballot is promised          |
    | accept(ballot, value) | not lower than the promised ballot | the ballot is promised and      |
    |                       |                                    | accepted, the value is stored   |

A proposer first collects promises, until a quorum has promised and `value` is known. It then
collects acceptances, until a quorum has accepted the value.

No I/O: the state that an `Acceptor` returns has to be durable before any answer based on it is
sent.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Generic, NamedTuple, TypeVar

Ballot = tuple[int, str]
"""A round number and the proposer's name, so that no two proposers use the same ballot."""

NO_BALLOT: Ballot = (0, "")

Value = TypeVar("Value")


class AcceptorState(NamedTuple, Generic[Value]):
    """The durable state of an acceptor.

    Attributes:
        promised_ballot: Messages with a lower ballot are rejected.
        accepted_ballot: The ballot under which `value` was accepted.
        value: The value that was accepted last; never modified in place.
    """

    promised_ballot: Ballot
    accepted_ballot: Ballot
    value: Value


def quorum_size(count: int) -> int:
    """Return the size of a majority of `count` acceptors.

    >>> [quorum_size(count) for count in (1, 2, 3, 5)]
    [1, 2, 2, 3]
    """
    return count // 2 + 1


class Acceptor(Generic[Value]):
    """One acceptor, whose state changes only in `on_durable`.

    The caller writes the state that `prepare` or `accept` returns, then calls `on_durable` to
    apply it, and only then sends the answer. It must not call `prepare` or `accept` while a write
    is in progress: a promise made in the meantime would be overwritten by that write.

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
        """Start from the state that was read from the disk."""
        self.state = state

    def prepare(self, ballot: Ballot) -> AcceptorState[Value] | None:
        """Return the state after promising the ballot, None if the promise is refused."""
        if ballot <= self.state.promised_ballot:
            return None
        return self.state._replace(promised_ballot=ballot)

    def accept(self, ballot: Ballot, value: Value) -> AcceptorState[Value] | None:
        """Return the state after accepting the value, None if a higher ballot was promised."""
        if ballot < self.state.promised_ballot:
            return None
        return AcceptorState(ballot, ballot, value)

    def on_durable(self, state: AcceptorState[Value]) -> None:
        """Apply a state that has been written to the disk."""
        self.state = state


class Proposer(Generic[Value]):
    """The proposer's side of one round of compare-and-set.

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
        """Start a round.

        Args:
            ballot: A ballot that was never used before.
            acceptor_count: The number of acceptors.
            update: Computes the new value from the current one. It may return the current value,
                which is known to be chosen once the round succeeds.
            excluded: The name of an acceptor whose answers are ignored, because it lost its disk
                and with it the promises that it had made.
        """
        self.ballot = ballot
        self.quorum = quorum_size(acceptor_count)
        self.update = update
        self.excluded = excluded
        self.promises: dict[str, tuple[Ballot, Value]] = {}
        self.accepted_by: set[str] = set()
        self.value: Value | None = None  # the value to be accepted, set once a quorum has promised

    def on_promise(self, acceptor: str, accepted_ballot: Ballot, value: Value) -> bool:
        """Record a promise, with the ballot and value that the acceptor had accepted before.

        Returns:
            Whether this promise completed the quorum, so that `value` is now set.
        """
        if self.value is not None or acceptor == self.excluded:
            return False
        self.promises[acceptor] = accepted_ballot, value
        if len(self.promises) < self.quorum:
            return False
        # The value with the highest ballot may have been chosen. No value with a lower ballot can
        # have been chosen after it.
        _, current = max(self.promises.values(), key=lambda promise: promise[0])
        self.value = self.update(current)
        return True

    def on_accepted(self, acceptor: str) -> bool:
        """Record an acceptance; return whether the value is chosen."""
        if acceptor != self.excluded:
            self.accepted_by.add(acceptor)
        return len(self.accepted_by) >= self.quorum


def find_chosen_value(acceptor_count: int, answers: Iterable[tuple[Ballot, Value]]) -> Value | None:
    """Return the value that is certainly chosen, None if the answers do not prove one.

    A value is chosen if a quorum accepted it under the same ballot. Equal values under different
    ballots prove nothing: a different value may have been chosen between them, or may still be
    chosen.

    Args:
        acceptor_count: The number of acceptors.
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
