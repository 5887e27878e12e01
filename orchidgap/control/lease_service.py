"""What a control process answers balancers: leases, and who serves without a quorum."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from msgspec import UNSET

from orchidgap.control.acceptor import DurableAcceptor
from orchidgap.control.messages import (
    EmptyMessage,
    LeaseAnswer,
    LeaseRequest,
    MemberRequest,
    ProposalMessage,
    ProposalNotice,
)
from orchidgap.control.proposer import OnValue, RegisterProposer
from orchidgap.decisions import policy_rollout
from orchidgap.decisions.leases import LeaseHolder, LeaseTable
from orchidgap.decisions.policy_rollout import PolicyState

MAX_NAME_CHARS = 100
MAX_INCARNATION_CHARS = 40
MAX_WORD_CHARS = 5
MAX_REASON_CHARS = 500

CALLS_PER_LEASE = 4  # while nothing is proposed
MIN_CALL_INTERVAL_US = 50_000
CALL_COST_US = 2_500
"""What one balancer's call costs a control process, as reckoned for how often all may call."""

OnEmptyAnswer = Callable[[EmptyMessage | None], None]


class LeaseService:
    """Grants leases, and registers balancers that serve without a quorum."""

    def __init__(
        self,
        clock: Callable[[], int],
        acceptor: DurableAcceptor,
        leases: LeaseTable,
        proposer: RegisterProposer,
        process_count: int,
    ) -> None:
        """Make a service.

        Args:
            clock: Microseconds that go on while the machine sleeps.
            acceptor: This process's acceptor.
            leases: The leases that it has granted.
            proposer: Changes the register.
            process_count: How many control processes there are.
        """
        self.clock = clock
        self.acceptor = acceptor
        self.leases = leases
        self.proposer = proposer
        self.process_count = process_count

    def on_lease(
        self, request: LeaseRequest, on_answer: Callable[[LeaseAnswer | None], None]
    ) -> None:
        """Answer a heartbeat with what is accepted here, and perhaps a lease."""
        if self.acceptor.is_lost:
            on_answer(None)
            return
        holder = _holder_of(request)
        now_us = self.clock()
        granted = self.leases.on_heartbeat(holder, now_us, request.last_answer_at_us)
        policy = self.acceptor.policy
        registered = policy.members_without_quorum.get(holder.name)
        answer = LeaseAnswer(
            ballot=self.acceptor.accepted_ballot,
            granted=granted,
            answered_at_us=now_us,
            lease_us=self.leases.lease_us,
            next_call_us=self._call_interval_us(),
            process_count=self.process_count,
            version=policy.version,
            change_id=policy.change_id,
            proposal_number=policy.proposal_number,
            members_without_quorum={holder.name: registered},
            proposal=_proposal_for(holder, policy),
            document=policy.document if policy.version > holder.version else UNSET,
        )
        on_answer(answer)

    def on_deregister(self, request: MemberRequest, on_answer: OnEmptyAnswer) -> None:
        """Forget a balancer that ends: no change waits for it any more."""
        name, incarnation = request.name, request.incarnation
        self.leases.deregister(name, incarnation)
        if self.acceptor.policy.members_without_quorum.get(name) == incarnation:
            evict = partial(policy_rollout.evict_member, name=name, incarnation=incarnation)
            self.proposer.update(evict, lambda policy: None, shareable=True)
        on_answer(EmptyMessage())

    def on_register(self, request: MemberRequest, on_answer: OnEmptyAnswer) -> None:
        """Register a balancer that serves without a quorum."""
        register = partial(
            policy_rollout.register_member, name=request.name, incarnation=request.incarnation
        )
        self.proposer.update(register, _once_chosen(on_answer), shareable=True)

    def on_settle(self, request: EmptyMessage, on_answer: OnEmptyAnswer) -> None:
        """Find out what is chosen, for a balancer that was told different things."""
        self.proposer.read(_once_chosen(on_answer), shareable=True)

    def _call_interval_us(self) -> int:
        """Return when a balancer is to call next.

        While something is proposed that is often, as far as one process can hear all of them.
        """
        interval_us = self.leases.lease_us // CALLS_PER_LEASE
        if self.acceptor.policy.proposal is None:
            return interval_us
        load_us = len(self.leases.holders) * CALL_COST_US
        return min(max(MIN_CALL_INTERVAL_US, load_us), interval_us)


def _holder_of(request: LeaseRequest) -> LeaseHolder:
    return LeaseHolder(
        name=request.name[:MAX_NAME_CHARS],
        incarnation=request.incarnation[:MAX_INCARNATION_CHARS],
        on_lost_quorum=request.on_lost_quorum[:MAX_WORD_CHARS],
        version=request.version,
        promised_proposal=request.promised_proposal,
        refused_proposal=request.refused_proposal,
        refusal_reason=request.refusal_reason[:MAX_REASON_CHARS],
        last_heartbeat_us=0,
        lease_expires_at_us=0,
    )


def _proposal_for(
    holder: LeaseHolder, policy: PolicyState
) -> ProposalMessage | ProposalNotice | None:
    """Return what is proposed, without its document for a balancer that has answered it."""
    proposal = policy.proposal
    if proposal is None:
        return None
    if proposal.proposal_number not in (holder.promised_proposal, holder.refused_proposal):
        return ProposalMessage.of(proposal)
    return ProposalNotice(
        proposal_number=proposal.proposal_number,
        version=proposal.version,
        change_id=proposal.change_id,
    )


def _once_chosen(on_answer: OnEmptyAnswer) -> OnValue:
    return lambda policy: on_answer(None if policy is None else EmptyMessage())
