"""What balancers say to control processes: heartbeats for a lease, and coming and going."""

from __future__ import annotations

from typing import Any

import msgspec
from msgspec import UNSET, field

from orchidgap.control.messages.base import EmptyMessage, MemberRequest, RpcMethod, WireMessage
from orchidgap.control.messages.register import ProposalMessage
from orchidgap.decisions.cas_register import Ballot
from orchidgap.decisions.policy_rollout import Document


class LeaseRequest(WireMessage, frozen=True):
    """A balancer's heartbeat, which asks for a lease.

    Attributes:
        name: The balancer's name.
        incarnation: Unique to its process.
        on_lost_quorum: What it does without a lease, a word of `OnLostQuorum`.
        version: The version under which it serves, -1 for none.
        promised_proposal: The number of the proposal that it holds a promise for, 0 for none.
        refused_proposal: The number of the proposal that it refused last, 0 for none.
        refusal_reason: Why it refused.
        last_answer_at_us: The time of the last answer that it heard, as the answer gave it.
    """

    name: str
    incarnation: str = field(name="life")
    on_lost_quorum: str = field(name="alone")
    version: int = field(name="runs")
    promised_proposal: int = field(name="promised")
    refused_proposal: int = field(name="refused")
    refusal_reason: str = field(name="why")
    last_answer_at_us: int = field(name="heard")


class ProposalNotice(WireMessage, frozen=True):
    """A proposal without its document, for a balancer that has it."""

    proposal_number: int = field(name="try")
    version: int = field(name="n")
    change_id: str = field(name="id")


class LeaseAnswer(WireMessage, frozen=True):
    """What one control process knows, and whether it grants a lease.

    Attributes:
        ballot: The ballot under which this process accepted the register's value.
        granted: Whether it grants a lease.
        answered_at_us: The time by this process's clock.
        lease_us: How long a lease lasts.
        next_call_us: When the balancer is to ask again.
        process_count: How many control processes there are.
        version: The version in force.
        change_id: The change that made it.
        proposal_number: The proposal by which it was decided.
        members_without_quorum: The caller's own entry: its name, and the incarnation that is
            registered, None for none.
        proposal: What is proposed; without its document where the caller has promised or refused
            it.
        document: The policy in force, only where the caller runs an earlier version.
    """

    ballot: Ballot
    granted: bool = field(name="grants")
    answered_at_us: int = field(name="at")
    lease_us: int = field(name="lease")
    next_call_us: int = field(name="again")
    process_count: int = field(name="size")
    version: int = field(name="n")
    change_id: str = field(name="id")
    proposal_number: int = field(name="try")
    members_without_quorum: dict[str, str | None] = field(name="stay")
    proposal: ProposalMessage | ProposalNotice | None = field(name="next")
    document: Document = field(name="doc", default=UNSET)

    @classmethod
    def read_field(cls, info: msgspec.structs.FieldInfo, value: Any) -> object:
        """Convert one value to its field's type."""
        if info.name != "proposal":
            return super().read_field(info, value)
        if value is None:
            return None
        has_document = "doc" in value
        return (ProposalMessage if has_document else ProposalNotice).from_wire(value)


LEASE = RpcMethod("/lease", LeaseRequest, LeaseAnswer)
REGISTER = RpcMethod("/join", MemberRequest, EmptyMessage)
DEREGISTER = RpcMethod("/part", MemberRequest, EmptyMessage)
SETTLE = RpcMethod("/settle", EmptyMessage, EmptyMessage)
