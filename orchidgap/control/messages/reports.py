"""What the command line prints with --json, where that is not an answer of control as it came."""

from __future__ import annotations

from msgspec import field

from orchidgap.control.messages.base import WireMessage
from orchidgap.control.messages.operators import ChangeAnswer, HolderStatus, ProposalStatus
from orchidgap.control.messages.register import RecordMessage


class ControlSummary(WireMessage, frozen=True):
    """How many control processes there are, and how many answer.

    Attributes:
        process_count: All of them.
        available_count: Those that answer and have their register.
        has_quorum: Whether changes can be decided and leases granted.
    """

    process_count: int = field(name="of")
    available_count: int = field(name="up")
    has_quorum: bool = field(name="decides")


class StatusReport(WireMessage, frozen=True):
    """What all control processes that answer know, laid together.

    Attributes:
        version: The version in force.
        change_id: The change that made it.
        proposal: What is proposed.
        pending_members: Who has to promise before it is decided, and for how long at most that is
            waited for, in microseconds; 0 if only a promise or an eviction ends it.
        refusals: Who refused it, and why.
        control: The control processes.
        lease_us: How long a lease lasts.
        holders: The balancers, by name.
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
    """Return how far a change is, with its id."""
    return {"id": change_id, **answer.to_wire()}
