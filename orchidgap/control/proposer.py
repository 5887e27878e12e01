"""The register's proposer in a control process; it runs one round at a time."""

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

MAX_ATTEMPTS = 6  # rounds for one update; after that its result is reported as unknown
MAX_QUEUED_UPDATES = 256
MIN_BACKOFF_US = 10_000
FIRST_MAX_BACKOFF_US = 40_000  # doubles with each attempt

UpdateFunction = Callable[[PolicyState], PolicyState]
OnValue = Callable[[PolicyState | None], None]
"""Receives the value that is now chosen, None if that is not known."""


@dataclass(frozen=True)
class PendingUpdate:
    """A queued change of the register.

    Attributes:
        update: Computes the new value from the old one.
        on_value: Receives the value that is chosen after the round.
        batchable: Whether the update may share a round with others. It may if acceptors accept its
            value without waiting for a balancer.
    """

    update: UpdateFunction
    on_value: OnValue
    batchable: bool


class RegisterProposer:
    """Changes the register on behalf of this process and its callers.

    Updates run one after another. Consecutive batchable updates share a round, because hundreds of
    balancers may register at the same time.

    Attributes:
        running: Whether a round of this process is in progress or scheduled.
        last_ballot: The ballot of the last round that ended.
        batch_size: The number of updates in the current round.
    """

    def __init__(
        self, loop: Loop, rng: Random, group: ProcessGroup, acceptor: DurableAcceptor
    ) -> None:
        """Create a proposer without updates."""
        self.loop = loop
        self.rng = rng
        self.group = group
        self.acceptor = acceptor
        self.running = False
        self.last_ballot = NO_BALLOT
        self.batch_size = 1
        self._queue: deque[PendingUpdate] = deque()

    def update(self, update: UpdateFunction, on_value: OnValue, batchable: bool = False) -> None:
        """Change the register.

        Args:
            update: Computes the new value from the old one, or returns the old one.
            on_value: Receives the value that is chosen after that, None if it is not known.
            batchable: Whether the update may share a round with others.
        """
        if len(self._queue) >= MAX_QUEUED_UPDATES:
            on_value(None)
            return
        self._queue.append(PendingUpdate(update, on_value, batchable))
        if not self.running:
            self.running = True
            self.loop.call_soon(self.begin_round, MAX_ATTEMPTS)

    def read(self, on_value: OnValue, batchable: bool = False) -> None:
        """Determine which value is chosen."""
        self.update(lambda policy: policy, on_value, batchable)

    def begin_round(self, attempts_left: int) -> None:
        """Start a round for the updates at the head of the queue, if any."""
        if not self._queue:
            self.running = False
            return
        ballot = self.acceptor.next_ballot()
        batchable = list(takewhile(lambda pending: pending.batchable, self._queue))
        self.batch_size = max(1, len(batchable))
        excluded = self.group.name if self.acceptor.has_lost_register else ""
        proposer = Proposer(ballot, len(self.group.names), self._apply_updates, excluded)
        ProposerRound(self, proposer, attempts_left).begin()

    def on_round_end(
        self, proposer: Proposer[PolicyState], value: PolicyState | None, attempts_left: int
    ) -> None:
        """Retry the round after a delay, or report its result to the callers of its updates."""
        self.last_ballot = proposer.ballot
        if value is None and attempts_left > 1:
            # a random delay, because a competing proposer would otherwise retry at the same time
            failures = MAX_ATTEMPTS - attempts_left
            delay_us = self.rng.randrange(MIN_BACKOFF_US, FIRST_MAX_BACKOFF_US << failures)
            self.loop.call_later(delay_us, self.begin_round, attempts_left - 1)
            return
        finished = [self._queue.popleft() for _ in range(self.batch_size)]
        self.loop.call_soon(self.begin_round, MAX_ATTEMPTS)
        for pending in finished:
            pending.on_value(value)

    def _apply_updates(self, policy: PolicyState) -> PolicyState:
        for pending in islice(self._queue, self.batch_size):
            policy = pending.update(policy)
        return policy


class ProposerRound:
    """Sends the messages of one round and collects their answers."""

    def __init__(
        self, owner: RegisterProposer, proposer: Proposer[PolicyState], attempts_left: int
    ) -> None:
        """Create a round that has not started."""
        self.owner = owner
        self.proposer = proposer
        self.attempts_left = attempts_left
        self.is_finished = False
        self.prepare_answers = 0
        self.accept_answers = 0

    def begin(self) -> None:
        """Request a promise from every acceptor."""
        request = PrepareRequest(ballot=self.proposer.ballot)
        self.owner.group.call_all(PREPARE, request, self._on_prepare_answer)

    def _on_prepare_answer(self, process: str, answer: PrepareAnswer | None) -> None:
        self.prepare_answers += 1
        if answer:
            self.owner.acceptor.observe_ballot(answer.promised_ballot)
        if self.is_finished:
            return
        if answer and self._completes_quorum(process, answer):
            self._send_value()
            return
        all_answered = self.prepare_answers == len(self.owner.group.names)
        if all_answered and self.proposer.value is None:
            self._end(None)

    def _completes_quorum(self, process: str, answer: PrepareAnswer) -> bool:
        """Record a promise; return whether it completes a quorum and determines the value."""
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
        if self.is_finished:
            return
        if answer and answer.accepted and self.proposer.on_accepted(process):
            self._end(self.proposer.value)
            return
        if self.accept_answers == len(self.owner.group.names):
            if answer and answer.pending_members:
                # No retries: another round would wait for the same balancers. The driver checks for
                # pending balancers before it proposes a decision.
                self.attempts_left = 1
            self._end(None)

    def _end(self, value: PolicyState | None) -> None:
        self.is_finished = True
        self.owner.on_round_end(self.proposer, value, self.attempts_left)
