"""Conversion of the register's value and of its file to and from JSON."""

from __future__ import annotations

from typing import Any, Self

import msgspec
from msgspec import Struct, field

from orchidgap.control.messages.base import WireMessage, WireObject
from orchidgap.decisions.cas_register import AcceptorState, Ballot
from orchidgap.decisions.policy_rollout import (
    ChangeRecord,
    ChangeResult,
    Document,
    PolicyState,
    Proposal,
)


class ProposalMessage(WireMessage, frozen=True):
    """A proposal with its document."""

    change_id: str = field(name="id")
    document: Document = field(name="doc")
    proposal_number: int = field(name="try")
    version: int = field(name="n")

    @classmethod
    def of(cls, proposal: Proposal) -> Self:
        """Return the message for a proposal."""
        return cls(
            change_id=proposal.change_id,
            document=proposal.document,
            proposal_number=proposal.proposal_number,
            version=proposal.version,
        )

    def to_proposal(self) -> Proposal:
        """Return the proposal."""
        return Proposal(self.change_id, self.document, self.proposal_number, self.version)


class RecordMessage(Struct, frozen=True, array_like=True):
    """The result of a change that ended; encoded as a list of four values."""

    version: int
    change_id: str
    result: ChangeResult
    reason: str

    @classmethod
    def of(cls, record: ChangeRecord) -> Self:
        """Return the message for a record."""
        return cls(record.version, record.change_id, record.result, record.reason)

    def to_record(self) -> ChangeRecord:
        """Return the record."""
        return ChangeRecord(self.version, self.change_id, self.result, self.reason)


class PolicyStateMessage(WireMessage, frozen=True):
    """The register's value."""

    version: int = field(name="n")
    change_id: str = field(name="id")
    proposal_number: int = field(name="try")
    document: Document = field(name="doc")
    proposal: ProposalMessage | None = field(name="next")
    proposal_count: int = field(name="tries")
    members_without_quorum: dict[str, str] = field(name="stay")
    history: tuple[RecordMessage, ...] = field(name="past")


def policy_state_to_wire(state: PolicyState) -> dict[str, object]:
    """Return the register's value in the format used in JSON and on disk."""
    return PolicyStateMessage(
        version=state.version,
        change_id=state.change_id,
        proposal_number=state.proposal_number,
        document=state.document,
        proposal=ProposalMessage.of(state.proposal) if state.proposal else None,
        proposal_count=state.proposal_count,
        members_without_quorum=dict(state.members_without_quorum),
        history=tuple(RecordMessage.of(record) for record in state.history),
    ).to_wire()


def policy_state_from_wire(wire: WireObject) -> PolicyState:
    """Read the register's value.

    Raises:
        KeyError, TypeError, ValueError: The object is not a valid register value.
    """
    message = PolicyStateMessage.from_wire(wire)
    return PolicyState(
        version=message.version,
        change_id=message.change_id,
        proposal_number=message.proposal_number,
        document=message.document,
        proposal=message.proposal.to_proposal() if message.proposal else None,
        proposal_count=message.proposal_count,
        members_without_quorum=message.members_without_quorum,
        history=tuple(record.to_record() for record in message.history),
    )


def acceptor_state_to_wire(state: AcceptorState[PolicyState]) -> list[object]:
    """Return the content of an acceptor's register file."""
    return [state.promised_ballot, state.accepted_ballot, policy_state_to_wire(state.value)]


def acceptor_state_from_wire(content: Any) -> AcceptorState[PolicyState]:
    """Read the content of an acceptor's register file.

    Raises:
        KeyError, TypeError, ValueError: The content is not a valid register.
    """
    promised_ballot, accepted_ballot, value = content
    return AcceptorState(
        msgspec.convert(promised_ballot, Ballot, strict=False),
        msgspec.convert(accepted_ballot, Ballot, strict=False),
        policy_state_from_wire(value),
    )
