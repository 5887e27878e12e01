"""Requests of operators to control through the command line, and their answers."""

from __future__ import annotations

from enum import Enum
from typing import Self

from msgspec import field

from orchidgap.control.messages.base import EmptyMessage, MemberRequest, RpcMethod, WireMessage
from orchidgap.control.messages.register import RecordMessage
from orchidgap.decisions.cas_register import Ballot
from orchidgap.decisions.leases import LeaseHolder, PendingMember, Refusal
from orchidgap.decisions.policy_rollout import Document


class CheckRequest(WireMessage, frozen=True):
    """Requests a check whether a policy could be proposed."""

    document: Document = field(name="doc")


class CheckAnswer(WireMessage, frozen=True):
    """The reason why the policy cannot be proposed; empty if it can."""

    reason: str = field(name="why")


class ProposeRequest(WireMessage, frozen=True):
    """Proposes a change.

    Attributes:
        change_id: The proposer's name for the change.
        document: The policy.
        again: Whether to propose the change even if it was decided before.
        known_proposal_count: The proposal count known to the caller. The request has an effect only
            while the register still has this count.
    """

    change_id: str = field(name="id")
    document: Document = field(name="doc")
    again: bool
    known_proposal_count: int = field(name="after")


class ChangeRequest(WireMessage, frozen=True):
    """Requests the state of a change."""

    change_id: str = field(name="id")


class ChangeState(Enum):
    """State of a change. The values are part of the wire format."""

    PROPOSED = "proposed"
    DECIDED = "decided"
    DROPPED = "nowhere"
    INVALID = "unfit"
    BUSY = "busy"  # another change is proposed
    UNKNOWN = "unknown"


class ChangeAnswer(WireMessage, frozen=True, omit_defaults=True):
    """State of a change. Fields that do not apply to the state are omitted.

    Attributes:
        state: The state of the change.
        version: The version that the change became, or would become.
        proposal_number: The number of the pending proposal, as known to the answering process.
        pending_members: The balancers that have to promise before the change can be decided.
        refusals: The balancers that refused the change, with their reasons.
        current_version: The version in force.
        lease_us: How long after the decision the previous version may still apply to requests.
        reason: Why the change is not in force.
        proposal_count: The highest proposal number so far.
    """

    state: ChangeState
    version: int | None = field(name="n", default=None)
    proposal_number: int | None = field(name="try", default=None)
    pending_members: tuple[PendingMember, ...] | None = field(name="late", default=None)
    refusals: tuple[Refusal, ...] | None = field(name="refused", default=None)
    current_version: int | None = field(name="now", default=None)
    lease_us: int | None = field(name="lease", default=None)
    reason: str | None = field(name="why", default=None)
    proposal_count: int | None = field(name="tries", default=None)


class EvictAnswer(WireMessage, frozen=True):
    """Whether the process is now not registered to serve without a quorum."""

    evicted: bool = field(name="struck")


class DiskState(Enum):
    """State of an acceptor's disk. The values are part of the wire format."""

    HEALTHY = ""
    SLOW = "slow"
    FAILING = "fails"


class ProposalStatus(WireMessage, frozen=True):
    """A proposal in a status answer, without its document."""

    change_id: str = field(name="id")
    version: int = field(name="n")
    proposal_number: int = field(name="try")


class HolderStatus(WireMessage, frozen=True):
    """One balancer process in a status answer.

    Attributes:
        name: The balancer's name.
        incarnation: The unique identifier of the balancer's process.
        on_lost_quorum: What the balancer does without a lease, a value of `OnLostQuorum`.
        version: The policy version that the balancer applies, -1 for none.
        promised_proposal: The number of the proposal that the balancer has promised, 0 for none.
        refused_proposal: The number of the proposal that the balancer refused last, 0 for none.
        refusal_reason: Why the balancer refused that proposal.
        heartbeat_age_us: The time since the balancer's last heartbeat.
        lease_remaining_us: The time until its lease expires; negative if it has expired.
    """

    name: str
    incarnation: str = field(name="life")
    on_lost_quorum: str = field(name="alone")
    version: int = field(name="runs")
    promised_proposal: int = field(name="promised")
    refused_proposal: int = field(name="refused")
    refusal_reason: str = field(name="why")
    heartbeat_age_us: int = field(name="heard")
    lease_remaining_us: int = field(name="until")

    @classmethod
    def of(cls, holder: LeaseHolder, now_us: int) -> Self:
        """Return the status of a balancer at this time."""
        return cls(
            name=holder.name,
            incarnation=holder.incarnation,
            on_lost_quorum=holder.on_lost_quorum,
            version=holder.version,
            promised_proposal=holder.promised_proposal,
            refused_proposal=holder.refused_proposal,
            refusal_reason=holder.refusal_reason,
            heartbeat_age_us=now_us - holder.last_heartbeat_us,
            lease_remaining_us=holder.lease_expires_at_us - now_us,
        )


class StatusAnswer(WireMessage, frozen=True):
    """The complete state known to one control process.

    Attributes:
        name: The name of the control process.
        process_names: The names of all control processes.
        lost_register: Whether this process has lost its register and takes no part in rounds yet.
        lease_us: The duration of a lease.
        disk_state: The state of its disk.
        ballot: The ballot under which it accepted the register's value.
        version: The version in force, as accepted by this process.
        change_id: The change that created this version.
        members_without_quorum: Balancers registered to serve without a lease, with incarnations.
        history: The last changes that ended, oldest first.
        proposal: The pending proposal.
        proposal_number: The number of the pending proposal, 0 for none.
        pending_members: The balancers that have to promise before the proposal can be decided.
        refusals: The balancers that refused the proposal, with their reasons.
        holders: The balancers that this process has received heartbeats from.
    """

    name: str
    process_names: tuple[str, ...] = field(name="controls")
    lost_register: bool = field(name="lost")
    lease_us: int = field(name="lease")
    disk_state: DiskState = field(name="disk")
    ballot: Ballot
    version: int = field(name="n")
    change_id: str = field(name="id")
    members_without_quorum: dict[str, str] = field(name="stay")
    history: tuple[RecordMessage, ...] = field(name="past")
    proposal: ProposalStatus | None = field(name="next")
    proposal_number: int = field(name="try")
    pending_members: tuple[PendingMember, ...] = field(name="late")
    refusals: tuple[Refusal, ...] = field(name="refused")
    holders: tuple[HolderStatus, ...] = field(name="rows")


CHECK = RpcMethod("/check", CheckRequest, CheckAnswer)
PROPOSE = RpcMethod("/propose", ProposeRequest, ChangeAnswer)
CHANGE = RpcMethod("/change", ChangeRequest, ChangeAnswer)
EVICT = RpcMethod("/strike", MemberRequest, EvictAnswer)
STATUS = RpcMethod("/status", EmptyMessage, StatusAnswer)
