"""Handles operators' calls to a control process: checks, proposals, evictions and status."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from orchidgap.control.acceptor import DurableAcceptor
from orchidgap.control.messages import (
    ChangeAnswer,
    ChangeRequest,
    ChangeState,
    CheckAnswer,
    CheckRequest,
    EmptyMessage,
    EvictAnswer,
    HolderStatus,
    MemberRequest,
    ProposalStatus,
    ProposeRequest,
    RecordMessage,
    StatusAnswer,
)
from orchidgap.control.process_group import ProcessGroup
from orchidgap.control.proposer import RegisterProposer
from orchidgap.control.rollout_driver import RolloutDriver
from orchidgap.control.validation import InvalidPolicyError, validate
from orchidgap.decisions import policy_rollout
from orchidgap.decisions.leases import LeaseTable
from orchidgap.decisions.policy_rollout import ChangeResult, PolicyState

OnChangeAnswer = Callable[[ChangeAnswer | None], None]


class OperatorService:
    """Handles the calls of the command line."""

    def __init__(
        self,
        clock: Callable[[], int],
        group: ProcessGroup,
        acceptor: DurableAcceptor,
        leases: LeaseTable,
        proposer: RegisterProposer,
        driver: RolloutDriver,
    ) -> None:
        """Create a service.

        Args:
            clock: A clock in microseconds that continues while the machine is suspended.
            group: All control processes.
            acceptor: This process's acceptor.
            leases: The leases granted by this process.
            proposer: Changes the register.
            driver: Decides or drops the pending proposal.
        """
        self.clock = clock
        self.group = group
        self.acceptor = acceptor
        self.leases = leases
        self.proposer = proposer
        self.driver = driver

    def on_check(
        self, request: CheckRequest, on_answer: Callable[[CheckAnswer | None], None]
    ) -> None:
        """Answer whether a policy could be proposed."""
        reason = ""
        try:
            validate(request.document)
        except InvalidPolicyError as error:
            reason = str(error)
        on_answer(CheckAnswer(reason=reason))

    def on_propose(self, request: ProposeRequest, on_answer: OnChangeAnswer) -> None:
        """Propose a change and answer with its state afterwards."""
        try:
            validate(request.document)
        except InvalidPolicyError as error:
            on_answer(ChangeAnswer(state=ChangeState.INVALID, reason=str(error)))
            return

        def on_value(policy: PolicyState | None) -> None:
            proposal = policy.proposal if policy else None
            if proposal and proposal.change_id == request.change_id:
                self.driver.own_proposal = proposal.proposal_number
            on_answer(self._describe(policy, request.change_id))

        submit = partial(
            policy_rollout.submit,
            change_id=request.change_id,
            document=request.document,
            again=request.again,
            known_proposal_count=request.known_proposal_count,
        )
        self.proposer.update(submit, on_value)

    def on_change(self, request: ChangeRequest, on_answer: OnChangeAnswer) -> None:
        """Answer with the state of a change.

        The progress of a pending proposal is taken from this process's own state; the result of a
        change only from a value read from a majority.
        """
        change_id = request.change_id
        policy = self.acceptor.policy
        if policy.proposal and policy.proposal.change_id == change_id:
            on_answer(self._describe(policy, change_id))
            return
        self.proposer.read(lambda chosen: on_answer(self._describe(chosen, change_id)))

    def on_evict(
        self, request: MemberRequest, on_answer: Callable[[EvictAnswer | None], None]
    ) -> None:
        """Remove a balancer from those registered to serve without a quorum.

        Only the given incarnation is removed, so that a late call does not remove a balancer that
        has restarted.
        """
        name, incarnation = request.name, request.incarnation

        def on_value(policy: PolicyState | None) -> None:
            if policy is None:
                on_answer(None)
                return
            evicted = policy.members_without_quorum.get(name) != incarnation
            on_answer(EvictAnswer(evicted=evicted))

        evict = partial(policy_rollout.evict_member, name=name, incarnation=incarnation)
        self.proposer.update(evict, on_value, batchable=True)

    def on_status(
        self, request: EmptyMessage, on_answer: Callable[[StatusAnswer | None], None]
    ) -> None:
        """Answer with the complete state known to this process."""
        now_us = self.clock()
        policy = self.acceptor.policy
        progress = self.driver.progress()
        answer = StatusAnswer(
            name=self.group.name,
            process_names=tuple(self.group.names),
            lost_register=self.acceptor.has_lost_register,
            lease_us=self.leases.lease_us,
            disk_state=self.acceptor.disk_state,
            ballot=self.acceptor.accepted_ballot,
            version=policy.version,
            change_id=policy.change_id,
            members_without_quorum=dict(policy.members_without_quorum),
            history=tuple(RecordMessage.of(record) for record in policy.history),
            proposal=_proposal_status(policy),
            proposal_number=progress.proposal_number,
            pending_members=progress.pending_members,
            refusals=progress.refusals,
            holders=tuple(
                HolderStatus.of(holder, now_us) for holder in self.leases.holders.values()
            ),
        )
        on_answer(answer)

    def _describe(self, policy: PolicyState | None, change_id: str) -> ChangeAnswer | None:
        """Return the state of a change according to this register value, None if it is unknown."""
        if policy is None:
            return None
        proposal = policy.proposal
        record = policy_rollout.find_record(policy, change_id)
        count = policy.proposal_count
        if proposal and proposal.change_id == change_id:
            progress = self.driver.progress()
            return ChangeAnswer(
                state=ChangeState.PROPOSED,
                version=proposal.version,
                proposal_number=progress.proposal_number,
                pending_members=progress.pending_members,
                refusals=progress.refusals,
                proposal_count=count,
            )
        if record and record.result is ChangeResult.DECIDED:
            return ChangeAnswer(
                state=ChangeState.DECIDED,
                version=record.version,
                current_version=policy.version,
                lease_us=self.leases.lease_us,
                proposal_count=count,
            )
        if record:
            state, reason = ChangeState.DROPPED, record.reason
        elif proposal:
            state = ChangeState.BUSY
            reason = f"{proposal.change_id} is proposed and not decided yet"
        else:
            state, reason = ChangeState.UNKNOWN, "no such change"
        return ChangeAnswer(state=state, reason=reason, proposal_count=count)


def _proposal_status(policy: PolicyState) -> ProposalStatus | None:
    proposal = policy.proposal
    if proposal is None:
        return None
    return ProposalStatus(
        change_id=proposal.change_id,
        version=proposal.version,
        proposal_number=proposal.proposal_number,
    )
