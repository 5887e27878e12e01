"""Handles balancers' calls to a control process: leases, registration and deregistration."""

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
MAX_ON_LOST_QUORUM_CHARS = 5
MAX_REASON_CHARS = 500

CALLS_PER_LEASE = 4  # a balancer's calls in one lease time while no proposal is pending
MIN_CALL_INTERVAL_US = 50_000
CALL_COST_US = 2_500
"""Estimated cost of a balancer's call for a control process; limits how often balancers call."""

OnEmptyAnswer = Callable[[EmptyMessage | None], None]


class LeaseService:
    """Grants leases and registers balancers that serve without a quorum."""

    def __init__(
        self,
        clock: Callable[[], int],
        acceptor: DurableAcceptor,
        leases: LeaseTable,
        proposer: RegisterProposer,
        process_count: int,
    ) -> None:
        """Create a service.

        Args:
            clock: A clock in microseconds that continues while the machine is suspended.
            acceptor: This process's acceptor.
            leases: The leases granted by this process.
            proposer: Changes the register.
            process_count: The number of control processes.
        """
        self.clock = clock
        self.acceptor = acceptor
        self.leases = leases
        self.proposer = proposer
        self.process_count = process_count

    def on_lease(
        self, request: LeaseRequest, on_answer: Callable[[LeaseAnswer | None], None]
    ) -> None:
        """Answer a heartbeat with the accepted register value and, if possible, a lease."""
        if self.acceptor.has_lost_register:
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
        """Deregister a balancer that shuts down, so that no change waits for it."""
        name, incarnation = request.name, request.incarnation
        self.leases.deregister(name, incarnation)
        if self.acceptor.policy.members_without_quorum.get(name) == incarnation:
            evict = partial(policy_rollout.evict_member, name=name, incarnation=incarnation)
            self.proposer.update(evict, lambda policy: None, batchable=True)
        on_answer(EmptyMessage())

    def on_register(self, request: MemberRequest, on_answer: OnEmptyAnswer) -> None:
        """Register a balancer that serves without a quorum."""
        register = partial(
            policy_rollout.register_member, name=request.name, incarnation=request.incarnation
        )
        self.proposer.update(register, _once_chosen(on_answer), batchable=True)

    def on_settle(self, request: EmptyMessage, on_answer: OnEmptyAnswer) -> None:
        """Settle which value is chosen, for a balancer that received differing answers."""
        self.proposer.read(_once_chosen(on_answer), batchable=True)

    def _call_interval_us(self) -> int:
        """Return the interval between a balancer's calls.

        It is short while a proposal is pending, but long enough that one process can handle the
        calls of all balancers.
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
        on_lost_quorum=request.on_lost_quorum[:MAX_ON_LOST_QUORUM_CHARS],
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
    """Return the pending proposal, without its document if the balancer promised or refused it."""
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
