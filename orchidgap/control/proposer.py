"""A control process's proposer: changes of the register, one round after another."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from itertools import islice, takewhile
from random import Random

from orchidgap.control.acceptor import DurableAcceptor
from orchidgap.control.messages import (
    ACCEPT,
    PREPARE,
    AcceptAnswer,
    AcceptRequest,
    PrepareAnswer,
    PrepareRequest,
    policy_state_from_wire,
    policy_state_to_wire,
)
from orchidgap.control.process_group import ProcessGroup
from orchidgap.decisions.cas_register import NO_BALLOT, Proposer
from orchidgap.decisions.policy_rollout import PolicyState
from orchidgap.net.loop import Loop

MAX_ATTEMPTS = 6  # rounds for one update, before its caller is told that its end is not known
MAX_WAITING_UPDATES = 256
MIN_BACK_OFF_US = 10_000
FIRST_MAX_BACK_OFF_US = 40_000  # doubles with each attempt

UpdateFunction = Callable[[PolicyState], PolicyState]
OnValue = Callable[[PolicyState | None], None]
"""Is told the value that is chosen now, None where that isn't known."""


@dataclass(frozen=True)
class PendingUpdate:
    """A change of the register that waits for its round.

    Attributes:
        update: Makes the new value of the old one.
        on_value: Told how it ended.
        shareable: Whether it may share a round with others: no acceptor waits for a balancer before
            it accepts it.
    """

    update: UpdateFunction
    on_value: OnValue
    shareable: bool


class RegisterProposer:
    """Changes the register, for this process and for whoever calls it.

    Updates take turns. Shareable ones that follow each other share a round, as hundreds of
    balancers register at once.

    Attributes:
        running: Whether a round of this process is under way or about to begin.
        last_ballot: The ballot of the round that ended last.
    """

    def __init__(
        self, loop: Loop, rng: Random, group: ProcessGroup, acceptor: DurableAcceptor
    ) -> None:
        """Make a proposer that has nothing to do."""
        self.loop = loop
        self.rng = rng
        self.group = group
        self.acceptor = acceptor
        self.running = False
        self.last_ballot = NO_BALLOT
        self.sharing_count = 1  # updates that the round under way is for
        self._waiting: deque[PendingUpdate] = deque()

    def update(self, update: UpdateFunction, on_value: OnValue, shareable: bool = False) -> None:
        """Change the register.

        Args:
            update: Makes the new value of the old one, or returns the old one.
            on_value: Told the value that is chosen then, None where that isn't known.
            shareable: Whether the update may share a round with others.
        """
        if len(self._waiting) >= MAX_WAITING_UPDATES:
            on_value(None)
            return
        self._waiting.append(PendingUpdate(update, on_value, shareable))
        if not self.running:
            self.running = True
            self.loop.call_soon(self.begin_round, MAX_ATTEMPTS)

    def read(self, on_value: OnValue, shareable: bool = False) -> None:
        """Find out which value is chosen."""
        self.update(lambda policy: policy, on_value, shareable)

    def begin_round(self, attempts_left: int) -> None:
        """Begin a round for the updates at the head of the queue, if there are any."""
        if not self._waiting:
            self.running = False
            return
        ballot = self.acceptor.next_ballot()
        shareable = list(takewhile(lambda pending: pending.shareable, self._waiting))
        self.sharing_count = max(1, len(shareable))
        excluded = self.group.name if self.acceptor.is_lost else ""
        proposer = Proposer(ballot, len(self.group.names), self._apply_updates, excluded)
        ProposerRound(self, proposer, attempts_left).begin()

    def on_round_over(
        self, proposer: Proposer[PolicyState], value: PolicyState | None, attempts_left: int
    ) -> None:
        """Tell whose updates they were, or try again."""
        self.last_ballot = proposer.ballot
        if value is None and attempts_left > 1:
            # by chance, as another proposer would try again at the same time
            failures = MAX_ATTEMPTS - attempts_left
            delay_us = self.rng.randrange(MIN_BACK_OFF_US, FIRST_MAX_BACK_OFF_US << failures)
            self.loop.call_later(delay_us, self.begin_round, attempts_left - 1)
            return
        ended = [self._waiting.popleft() for _ in range(self.sharing_count)]
        self.loop.call_soon(self.begin_round, MAX_ATTEMPTS)
        for pending in ended:
            pending.on_value(value)

    def _apply_updates(self, policy: PolicyState) -> PolicyState:
        for pending in islice(self._waiting, self.sharing_count):
            policy = pending.update(policy)
        return policy


class ProposerRound:
    """One round on the network."""

    def __init__(
        self, owner: RegisterProposer, proposer: Proposer[PolicyState], attempts_left: int
    ) -> None:
        """Make a round that has not begun."""
        self.owner = owner
        self.proposer = proposer
        self.attempts_left = attempts_left
        self.over = False
        self.prepare_answers = 0
        self.accept_answers = 0

    def begin(self) -> None:
        """Ask all acceptors for their promises."""
        request = PrepareRequest(ballot=self.proposer.ballot)
        self.owner.group.call_all(PREPARE, request, self._on_prepare_answer)

    def _on_prepare_answer(self, process: str, answer: PrepareAnswer | None) -> None:
        self.prepare_answers += 1
        if answer:
            self.owner.acceptor.observe_ballot(answer.promised_ballot)
        if self.over:
            return
        if answer and self._is_last_promise(process, answer):
            self._send_value()
            return
        all_answered = self.prepare_answers == len(self.owner.group.names)
        if all_answered and self.proposer.value is None:
            self._end(None)

    def _is_last_promise(self, process: str, answer: PrepareAnswer) -> bool:
        """Return whether the value to be accepted became known by this answer."""
        if not answer.promised or answer.accepted_ballot is None or answer.value is None:
            return False
        value = policy_state_from_wire(answer.value)
        return self.proposer.on_promise(process, answer.accepted_ballot, value)

    def _send_value(self) -> None:
        assert self.proposer.value is not None
        value = policy_state_to_wire(self.proposer.value)
        request = AcceptRequest(ballot=self.proposer.ballot, value=value)
        self.owner.group.call_all(ACCEPT, request, self._on_accept_answer)

    def _on_accept_answer(self, process: str, answer: AcceptAnswer | None) -> None:
        self.accept_answers += 1
        if self.over:
            return
        if answer and answer.accepted and self.proposer.on_accepted(process):
            self._end(self.proposer.value)
            return
        if self.accept_answers == len(self.owner.group.names):
            if answer and answer.pending_members:
                # Another round would wait for the same balancers; the driver asks for them first.
                self.attempts_left = 1
            self._end(None)

    def _end(self, value: PolicyState | None) -> None:
        self.over = True
        self.owner.on_round_over(self.proposer, value, self.attempts_left)
