"""What operators ask of control through the command line, and what it answers."""

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
    """Asks whether a policy could be proposed."""

    document: Document = field(name="doc")


class CheckAnswer(WireMessage, frozen=True):
    """Why it can't be; empty where it can."""

    reason: str = field(name="why")


class ProposeRequest(WireMessage, frozen=True):
    """Proposes a change.

    Attributes:
        change_id: The proposer's name for the change.
        document: The policy.
        again: Propose it even though it was decided before.
        known_proposal_count: The proposal count that the caller knew of: the request counts only as
            long as that stands.
    """

    change_id: str = field(name="id")
    document: Document = field(name="doc")
    again: bool
    known_proposal_count: int = field(name="after")


class ChangeRequest(WireMessage, frozen=True):
    """Asks what became of a change."""

    change_id: str = field(name="id")


class ChangeState(Enum):
    """How far a change is. The values are the words of the wire."""

    PROPOSED = "proposed"
    DECIDED = "decided"
    DROPPED = "nowhere"
    INVALID = "unfit"
    BUSY = "busy"  # another one is proposed
    UNKNOWN = "unknown"


class ChangeAnswer(WireMessage, frozen=True, omit_defaults=True):
    """How far a change is. What a state doesn't have isn't sent.

    Attributes:
        state: How far it is.
        version: The version that it is, or would become.
        proposal_number: What is proposed as this process knows it.
        pending_members: Who has to promise before it is decided.
        refusals: Who refused it.
        current_version: The version in force.
        lease_us: How long after a decision the version before may govern requests.
        reason: Why it isn't in force.
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
    """Whether that process is no longer registered to serve without a quorum."""

    evicted: bool = field(name="struck")


class DiskState(Enum):
    """How an acceptor's disk behaves. The values are the words of the wire."""

    SOUND = ""
    SLOW = "slow"
    FAILING = "fails"


class ProposalStatus(WireMessage, frozen=True):
    """A proposal as status tells it."""

    change_id: str = field(name="id")
    version: int = field(name="n")
    proposal_number: int = field(name="try")


class HolderStatus(WireMessage, frozen=True):
    """One balancer process as status tells it.

    Attributes:
        name: The balancer's name.
        incarnation: Unique to its process.
        on_lost_quorum: What it does without a lease, a word of `OnLostQuorum`.
        version: The version under which it serves, -1 for none.
        promised_proposal: The number of the proposal that it holds a promise for, 0 for none.
        refused_proposal: The number of the proposal that it refused last, 0 for none.
        refusal_reason: Why it refused.
        heard_ago_us: How long ago it was heard.
        lease_remaining_us: How long its lease holds yet; negative where it has run out.
    """

    name: str
    incarnation: str = field(name="life")
    on_lost_quorum: str = field(name="alone")
    version: int = field(name="runs")
    promised_proposal: int = field(name="promised")
    refused_proposal: int = field(name="refused")
    refusal_reason: str = field(name="why")
    heard_ago_us: int = field(name="heard")
    lease_remaining_us: int = field(name="until")

    @classmethod
    def of(cls, holder: LeaseHolder, now_us: int) -> Self:
        """Return how a balancer stands at this time."""
        return cls(
            name=holder.name,
            incarnation=holder.incarnation,
            on_lost_quorum=holder.on_lost_quorum,
            version=holder.version,
            promised_proposal=holder.promised_proposal,
            refused_proposal=holder.refused_proposal,
            refusal_reason=holder.refusal_reason,
            heard_ago_us=now_us - holder.last_heartbeat_us,
            lease_remaining_us=holder.lease_expires_at_us - now_us,
        )


class StatusAnswer(WireMessage, frozen=True):
    """All that one control process knows.

    Attributes:
        name: The control process's name.
        process_names: All control processes.
        lost_register: Whether it has lost its disk and takes part in nothing yet.
        lease_us: How long a lease lasts.
        disk_state: How its disk behaves.
        ballot: The ballot under which it accepted the register's value.
        version: The version in force, as accepted here.
        change_id: The change that made it.
        members_without_quorum: Balancers registered to serve without a lease, with incarnations.
        history: The last changes that ended, oldest first.
        proposal: What is proposed.
        proposal_number: What is proposed, 0 for nothing.
        pending_members: Who has to promise before it is decided.
        refusals: Who refused it.
        holders: The balancers that it has heard.
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
