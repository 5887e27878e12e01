"""Calls from balancers to control processes: heartbeats, registration and deregistration."""

from __future__ import annotations

from typing import Any

import msgspec
from msgspec import UNSET, field

from orchidgap.control.messages.base import EmptyMessage, MemberRequest, RpcMethod, WireMessage
from orchidgap.control.messages.register import ProposalMessage
from orchidgap.decisions.cas_register import Ballot
from orchidgap.decisions.policy_rollout import Document


class LeaseRequest(WireMessage, frozen=True):
    """A balancer's heartbeat, which requests a lease.

    Attributes:
        name: The balancer's name.
        incarnation: The unique identifier of the balancer's process.
        on_lost_quorum: What the balancer does without a lease, a value of `OnLostQuorum`.
        version: The policy version that the balancer applies, -1 for none.
        promised_proposal: The number of the proposal that the balancer has promised, 0 for none.
        refused_proposal: The number of the proposal that the balancer refused last, 0 for none.
        refusal_reason: Why the balancer refused that proposal.
        last_answer_at_us: `answered_at_us` of the last answer that the balancer received.
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
    """A proposal without its document, for a balancer that already has the document."""

    proposal_number: int = field(name="try")
    version: int = field(name="n")
    change_id: str = field(name="id")


class LeaseAnswer(WireMessage, frozen=True):
    """The state known to one control process, and whether it grants a lease.

    Attributes:
        ballot: The ballot under which this process accepted the register's value.
        granted: Whether this process grants a lease.
        answered_at_us: The time of the answer by this process's clock.
        lease_us: The duration of a lease.
        next_call_us: The delay until the balancer's next heartbeat.
        process_count: The number of control processes.
        version: The policy version in force.
        change_id: The change that created this version.
        proposal_number: The number of the proposal that became this version.
        members_without_quorum: The caller's own entry only: its name, and the incarnation that is
            registered to serve without a quorum, None for none.
        proposal: The pending proposal; without its document if the caller promised or refused it.
        document: The policy in force; only if the caller applies an earlier version.
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
        """Convert one value to the type of its field."""
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
