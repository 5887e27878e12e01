"""Calls between control processes: both phases of a round, and the progress of a proposal."""

from __future__ import annotations

from msgspec import field

from orchidgap.control.messages.base import EmptyMessage, RpcMethod, WireMessage
from orchidgap.decisions.cas_register import Ballot
from orchidgap.decisions.leases import PendingMember, Refusal


class PrepareRequest(WireMessage, frozen=True):
    """First phase of a round: requests a promise to accept nothing under a lower ballot."""

    ballot: Ballot


class PrepareAnswer(WireMessage, frozen=True, omit_defaults=True):
    """A promise with the value accepted so far, or the higher ballot that prevents the promise.

    Attributes:
        promised: Whether the acceptor promises.
        promised_ballot: The highest ballot that the acceptor has promised.
        accepted_ballot: The ballot under which the value was accepted; only with a promise.
        value: The register's value in its wire format; only with a promise.
    """

    promised: bool = field(name="ok")
    promised_ballot: Ballot = field(name="promised")
    accepted_ballot: Ballot | None = field(name="ballot", default=None)
    value: dict[str, object] | None = None


class AcceptRequest(WireMessage, frozen=True):
    """Second phase of a round: requests the acceptance of a value.

    Attributes:
        ballot: The ballot of the round.
        value: The register's value in its wire format, parsed only if the ballot is high enough.
    """

    ballot: Ballot
    value: dict[str, object]


class AcceptAnswer(WireMessage, frozen=True, omit_defaults=True):
    """Whether the value was accepted, and if not, which balancers the acceptor waits for."""

    accepted: bool = field(name="ok")
    pending_members: tuple[PendingMember, ...] = field(name="late", default=())


class ProgressAnswer(WireMessage, frozen=True):
    """Progress of the pending proposal, as known to one control process.

    Attributes:
        proposal_number: The number of the pending proposal, 0 for none.
        pending_members: The balancers that have to promise before the proposal can be decided.
        refusals: The balancers that refused the proposal, with their reasons.
    """

    proposal_number: int = field(name="try")
    pending_members: tuple[PendingMember, ...] = field(name="late")
    refusals: tuple[Refusal, ...] = field(name="refused")


PREPARE = RpcMethod("/prepare", PrepareRequest, PrepareAnswer)
ACCEPT = RpcMethod("/accept", AcceptRequest, AcceptAnswer)
PROGRESS = RpcMethod("/waits", EmptyMessage, ProgressAnswer)
