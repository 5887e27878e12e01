"""Output of the command line with --json, where it is not simply an answer of control."""

from __future__ import annotations

from msgspec import field

from orchidgap.control.messages.base import WireMessage
from orchidgap.control.messages.operators import ChangeAnswer, HolderStatus, ProposalStatus
from orchidgap.control.messages.register import RecordMessage


class ControlSummary(WireMessage, frozen=True):
    """The number of control processes, and how many of them are available.

    Attributes:
        process_count: The number of all control processes.
        available_count: The number of those that answer and have their register.
        has_quorum: Whether changes can be decided and leases granted.
    """

    process_count: int = field(name="of")
    available_count: int = field(name="up")
    has_quorum: bool = field(name="decides")


class StatusReport(WireMessage, frozen=True):
    """The merged state of all control processes that answer.

    Attributes:
        version: The version in force.
        change_id: The change that created this version.
        proposal: The pending proposal.
        pending_members: The balancers that have to promise before the proposal can be decided, each
            with the longest remaining wait in microseconds; 0 if the wait ends only with a promise
            or an eviction.
        refusals: The balancers that refused the proposal, with their reasons.
        control: The number and availability of control processes.
        lease_us: The duration of a lease.
        holders: The balancers, ordered by name.
        members_without_quorum: Balancers registered to serve without a lease, with incarnations.
        history: The last changes that ended, oldest first.
    """

    version: int = field(name="n")
    change_id: str = field(name="id")
    proposal: ProposalStatus | None = field(name="next")
    pending_members: dict[str, int] = field(name="late")
    refusals: dict[str, str] = field(name="refused")
    control: ControlSummary
    lease_us: int = field(name="lease")
    holders: tuple[HolderStatus, ...] = field(name="balancers")
    members_without_quorum: dict[str, str] = field(name="stay")
    history: tuple[RecordMessage, ...] = field(name="past")


def change_report_to_wire(change_id: str, answer: ChangeAnswer) -> dict[str, object]:
    """Return the state of a change together with its id."""
    return {"id": change_id, **answer.to_wire()}
