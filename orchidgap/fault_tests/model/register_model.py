"""A model of the compare-and-set register: three acceptors and several rounds of proposers.

Every message may be lost, duplicated, delayed or reordered. A proposer may restart with a ballot
that it has used before, and an acceptor may lose its disk and recover.
"""

from __future__ import annotations

from collections.abc import Iterator
from itertools import pairwise
from typing import NamedTuple

from orchidgap.decisions.cas_register import (
    NO_BALLOT,
    Acceptor,
    AcceptorState,
    Ballot,
    Proposer,
    quorum_size,
)
from orchidgap.fault_tests.model.explorer import InvariantViolation, Model
from orchidgap.fault_tests.model.interning import ValueTable, with_item

ACCEPTOR_COUNT = 3
PROPOSER_NAMES = "ab"
NO_ACCEPTOR = -1
NO_VALUE = -1

Labels = tuple[str, ...]
"""A value of the register: each round appends its label to the value that it finds."""


class StoredState(NamedTuple):
    """The content of an acceptor's disk; `value` is a number of the model's value table."""

    promised_ballot: Ballot
    accepted_ballot: Ballot
    value: int


class PromiseReceived(NamedTuple):
    """A promise, as its proposer received it."""

    acceptor: int
    accepted_ballot: Ballot
    value: int


class RoundState(NamedTuple):
    """One round, in the view of its proposer.

    Attributes:
        ballot: The ballot of the round.
        label: The label that it appends, empty for a round that only reads.
        excluded: An acceptor that is not counted, `NO_ACCEPTOR` for none.
        promises: The received promises, in the order of arrival.
        value: The value in its accept requests, `NO_VALUE` until it is known.
        accepted_by: The acceptors whose acceptance the proposer has received.
    """

    ballot: Ballot
    label: str
    excluded: int
    promises: tuple[PromiseReceived, ...]
    value: int
    accepted_by: frozenset[int]


class Acceptance(NamedTuple):
    """The acceptance of a value by one acceptor."""

    ballot: Ballot
    value: int
    acceptor: int


class RegisterState(NamedTuple):
    """A state of the model.

    Attributes:
        stored: The disk of each acceptor, None if it is lost.
        rounds: All rounds begun so far.
        acceptances: All acceptances that ever happened.
        disk_losses: The number of lost disks.
    """

    stored: tuple[StoredState | None, ...]
    rounds: tuple[RoundState, ...]
    acceptances: frozenset[Acceptance]
    disk_losses: int


def new_round(ballot: Ballot, label: str, excluded: int = NO_ACCEPTOR) -> RoundState:
    """Return a round that has not sent any message yet."""
    return RoundState(ballot, label, excluded, (), NO_VALUE, frozenset())


class RegisterModel(Model[RegisterState]):
    """Checks that of two chosen values the later one begins with the earlier one."""

    def __init__(self, max_rounds: int, max_disk_losses: int) -> None:
        """Limit the number of rounds and of lost disks."""
        self.max_rounds = max_rounds
        self.max_disk_losses = max_disk_losses
        self.values: ValueTable[Labels] = ValueTable()
        self.stored_after_disk_loss: StoredState | None = None
        empty = StoredState(NO_BALLOT, NO_BALLOT, self.values.number(()))
        self.initial_state = RegisterState((empty,) * ACCEPTOR_COUNT, (), frozenset(), 0)

    def successors(self, state: RegisterState) -> Iterator[RegisterState]:
        """Yield each state that is reached by one step, checked."""
        for successor in self._steps(state):
            self._check(successor)
            yield successor

    def _steps(self, state: RegisterState) -> Iterator[RegisterState]:
        if len(state.rounds) < self.max_rounds:
            yield from self._begin_rounds(state)
            yield from self._begin_recoveries(state)
        for index in range(len(state.rounds)):
            for acceptor in range(ACCEPTOR_COUNT):
                yield from self._prepare(state, index, acceptor)
                yield from self._accept(state, index, acceptor)
        if state.disk_losses < self.max_disk_losses:
            for acceptor in range(ACCEPTOR_COUNT):
                stored = with_item(state.stored, acceptor, self.stored_after_disk_loss)
                yield state._replace(stored=stored, disk_losses=state.disk_losses + 1)

    @staticmethod
    def _begin_rounds(state: RegisterState) -> Iterator[RegisterState]:
        label = PROPOSER_NAMES[len(state.rounds) % 2] + str(len(state.rounds))
        used_ballots = {round_.ballot for round_ in state.rounds}
        last_count = max((count for count, _ in used_ballots), default=0)
        for proposer in PROPOSER_NAMES:
            # includes the last count, as a restarted proposer may repeat its own ballot
            for count in sorted({last_count, last_count + 1} - {0}):
                others = (name for name in PROPOSER_NAMES if name != proposer)
                if any((count, other) in used_ballots for other in others):
                    continue
                begun = new_round((count, proposer), label)
                yield state._replace(rounds=(*state.rounds, begun))

    @staticmethod
    def _begin_recoveries(state: RegisterState) -> Iterator[RegisterState]:
        """Begin rounds in which an acceptor that lost its disk reads the register.

        The acceptor is not counted in its own round.
        """
        last_count = max((round_.ballot[0] for round_ in state.rounds), default=0)
        for acceptor, stored in enumerate(state.stored):
            if stored is None:
                begun = new_round((last_count + 1, f"x{acceptor}"), "", acceptor)
                yield state._replace(rounds=(*state.rounds, begun))

    def _prepare(self, state: RegisterState, index: int, acceptor: int) -> Iterator[RegisterState]:
        """Deliver a prepare request to an acceptor."""
        stored = state.stored[acceptor]
        if stored is None:
            return
        round_ = state.rounds[index]
        promised = self._acceptor(stored).prepare(round_.ballot)
        if promised is None:
            return
        written = self._with_stored(state, acceptor, promised)
        yield written  # the answer is lost
        # a late answer informs the proposer no more than an immediate one
        if round_.value == NO_VALUE:
            value = self.values.number(promised.value)
            received = PromiseReceived(acceptor, promised.accepted_ballot, value)
            informed = round_._replace(promises=(*round_.promises, received))
            proposed = self._proposer(informed).value
            if proposed is not None:
                informed = informed._replace(value=self.values.number(proposed))
            yield written._replace(rounds=with_item(state.rounds, index, informed))

    def _accept(self, state: RegisterState, index: int, acceptor: int) -> Iterator[RegisterState]:
        """Deliver an accept request to an acceptor."""
        stored = state.stored[acceptor]
        round_ = state.rounds[index]
        if stored is None or round_.value == NO_VALUE:
            return
        accepted = self._acceptor(stored).accept(round_.ballot, self.values[round_.value])
        if accepted is None:
            return
        acceptance = Acceptance(round_.ballot, round_.value, acceptor)
        written = self._with_stored(state, acceptor, accepted)._replace(
            acceptances=state.acceptances | {acceptance}
        )
        yield written  # the answer is lost
        informed = round_._replace(accepted_by=round_.accepted_by | {acceptor})
        yield self._with_acceptance_known(written, index, informed)

    def _with_acceptance_known(
        self, state: RegisterState, index: int, round_: RoundState
    ) -> RegisterState:
        """Recover the acceptor that lost its disk once the value of its round is chosen."""
        stored = state.stored
        excluded = round_.excluded
        recovers = excluded != NO_ACCEPTOR and stored[excluded] is None
        if recovers and self._proposer(round_).on_accepted(str(excluded)):
            read = StoredState(round_.ballot, round_.ballot, round_.value)
            stored = with_item(stored, excluded, read)
        return state._replace(stored=stored, rounds=with_item(state.rounds, index, round_))

    def _acceptor(self, stored: StoredState) -> Acceptor[Labels]:
        value = self.values[stored.value]
        return Acceptor(AcceptorState(stored.promised_ballot, stored.accepted_ballot, value))

    def _with_stored(
        self, state: RegisterState, acceptor: int, new: AcceptorState[Labels]
    ) -> RegisterState:
        value = self.values.number(new.value)
        stored = StoredState(new.promised_ballot, new.accepted_ballot, value)
        return state._replace(stored=with_item(state.stored, acceptor, stored))

    def _proposer(self, round_: RoundState) -> Proposer[Labels]:
        """Return the proposer of a round after all messages that it has received."""

        def append_label(value: Labels) -> Labels:
            return (*value, round_.label) if round_.label else value

        excluded = "" if round_.excluded == NO_ACCEPTOR else str(round_.excluded)
        proposer = Proposer(round_.ballot, ACCEPTOR_COUNT, append_label, excluded)
        for promise in round_.promises:
            value = self.values[promise.value]
            proposer.on_promise(str(promise.acceptor), promise.accepted_ballot, value)
        for acceptor in round_.accepted_by:
            proposer.on_accepted(str(acceptor))
        return proposer

    def _check(self, state: RegisterState) -> None:
        accepted_by: dict[tuple[Ballot, int], set[int]] = {}
        for ballot, value, acceptor in state.acceptances:
            accepted_by.setdefault((ballot, value), set()).add(acceptor)
        quorum = quorum_size(ACCEPTOR_COUNT)
        chosen = sorted(key for key, acceptors in accepted_by.items() if len(acceptors) >= quorum)
        values = [self.values[value] for _, value in chosen]
        for earlier, later in pairwise(values):
            if later[: len(earlier)] != earlier:
                raise InvariantViolation(f"{list(earlier)} was chosen, then {list(later)}")
