"""Drives the pending proposal: polls its progress, and decides or drops it."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from orchidgap.control.acceptor import DurableAcceptor
from orchidgap.control.messages import PROGRESS, EmptyMessage, ProgressAnswer
from orchidgap.control.process_group import ProcessGroup
from orchidgap.control.proposer import RegisterProposer
from orchidgap.decisions import policy_rollout
from orchidgap.decisions.leases import LeaseTable
from orchidgap.decisions.policy_rollout import ChangeResult, PolicyState
from orchidgap.net.event_log import EventLog

RANK_DELAY_US = 1_000_000
"""Additional delay per rank before a process drives a proposal made by another process."""

END_EVENTS = {ChangeResult.DECIDED: "change decided", ChangeResult.DROPPED: "change dropped"}


@dataclass
class ProgressPoll:
    """The collected answers of all processes about one proposal.

    Attributes:
        proposal_number: The number of the proposal.
        answer_count: The number of processes that have answered or failed to answer.
        agreeing_count: The number of processes with the same pending proposal.
        pending_members: The balancers that any of these processes waits for.
        refusals: The reasons of balancers that refused, by balancer name.
    """

    proposal_number: int
    answer_count: int = 0
    agreeing_count: int = 0
    pending_members: dict[str, None] = field(default_factory=dict)
    refusals: dict[str, str] = field(default_factory=dict)

    def add(self, answer: ProgressAnswer | None) -> None:
        """Add the answer of one process, None if it did not answer."""
        self.answer_count += 1
        if answer is None or answer.proposal_number != self.proposal_number:
            return
        self.agreeing_count += 1
        self.pending_members.update(dict.fromkeys(member.name for member in answer.pending_members))
        self.refusals.update((refusal.name, refusal.reason) for refusal in answer.refusals)


class RolloutDriver:
    """Decides or drops the pending proposal; it runs in every control process.

    The process that received the proposal drives it immediately, the others after a delay by rank.

    Attributes:
        own_proposal: The number of the last proposal made through this process.
        polling: Whether a poll of all processes is in progress.
    """

    def __init__(
        self,
        clock: Callable[[], int],
        group: ProcessGroup,
        acceptor: DurableAcceptor,
        leases: LeaseTable,
        proposer: RegisterProposer,
        give_up_us: int,
        log: EventLog,
    ) -> None:
        """Create a driver.

        Args:
            clock: A clock in microseconds that continues while the machine is suspended.
            group: All control processes.
            acceptor: This process's acceptor.
            leases: The leases granted by this process.
            proposer: Changes the register.
            give_up_us: How long a proposal may wait for balancers before it is dropped.
            log: Logs the results of changes.
        """
        self.clock = clock
        self.group = group
        self.acceptor = acceptor
        self.leases = leases
        self.proposer = proposer
        self.give_up_us = give_up_us
        self.log = log
        self.own_proposal = 0
        self.polling = False
        self._seen_proposal = 0
        self._seen_since_us = 0

    def progress(self) -> ProgressAnswer:
        """Return the progress of the pending proposal, as known to this process."""
        now_us = self.clock()
        policy = self.acceptor.policy
        return ProgressAnswer(
            proposal_number=policy.proposal.proposal_number if policy.proposal else 0,
            pending_members=tuple(self.leases.pending_members(policy, now_us)),
            refusals=tuple(self.leases.refusals(policy, now_us)),
        )

    def on_progress(
        self, request: EmptyMessage, on_answer: Callable[[ProgressAnswer | None], None]
    ) -> None:
        """Answer a poll of the process that drives the proposal."""
        on_answer(None if self.acceptor.has_lost_register else self.progress())

    def tick(self) -> None:
        """Drive the pending proposal if this process's delay has passed; called periodically."""
        now_us = self.clock()
        proposal = self.acceptor.policy.proposal
        number = proposal.proposal_number if proposal else 0
        if number != self._seen_proposal:
            self._seen_proposal = number
            self._seen_since_us = now_us
        rank = 0 if number == self.own_proposal else self.group.rank
        is_turn = now_us - self._seen_since_us >= rank * RANK_DELAY_US
        if number and is_turn and not self.polling and not self.proposer.running:
            self._begin_poll(number)

    def _begin_poll(self, proposal_number: int) -> None:
        self.polling = True
        poll = ProgressPoll(proposal_number)

        def on_answer(process: str, answer: ProgressAnswer | None) -> None:
            poll.add(answer)
            if poll.answer_count == len(self.group.names):
                self.polling = False
                self._end_poll(poll)

        self.group.call_all(PROGRESS, EmptyMessage(), on_answer)

    def _end_poll(self, poll: ProgressPoll) -> None:
        """Decide or drop the proposal, or leave it open.

        Every majority contains a process that knows of a given balancer that may serve. A majority
        without pending balancers therefore suffices for a decision. A refusal always drops the
        proposal.
        """
        if poll.agreeing_count < self.group.quorum:
            return
        waited_too_long = self.clock() - self._seen_since_us > self.give_up_us
        if poll.refusals:
            reason = "; ".join(f"{name}: {reason}" for name, reason in poll.refusals.items())
            self._drop(poll.proposal_number, reason)
        elif poll.pending_members and waited_too_long:
            self._drop(
                poll.proposal_number, "no promise in time from " + ", ".join(poll.pending_members)
            )
        elif not poll.pending_members:
            self._decide(poll.proposal_number)

    def _decide(self, proposal_number: int) -> None:
        update = partial(policy_rollout.decide, proposal_number=proposal_number)
        self.proposer.update(update, self._on_ended)

    def _drop(self, proposal_number: int, reason: str) -> None:
        update = partial(policy_rollout.drop, proposal_number=proposal_number, reason=reason)
        self.proposer.update(update, self._on_ended)

    def _on_ended(self, policy: PolicyState | None) -> None:
        if policy is None or policy.proposal or not policy.history:
            return
        record = policy.history[-1]
        fields = {"why": record.reason} if record.reason else {}
        event = END_EVENTS[record.result]
        self.log(event, change=record.change_id, version=record.version, **fields)
