"""What control processes say to each other: a round's two phases, and how far a proposal is."""

from __future__ import annotations

from msgspec import field

from orchidgap.control.messages.base import EmptyMessage, RpcMethod, WireMessage
from orchidgap.decisions.cas_register import Ballot
from orchidgap.decisions.leases import PendingMember, Refusal


class PrepareRequest(WireMessage, frozen=True):
    """The first phase of a round: promise to accept nothing under a lower ballot."""

    ballot: Ballot


class PrepareAnswer(WireMessage, frozen=True, omit_defaults=True):
    """A promise with what was accepted before, or the higher ballot that forbids it.

    Attributes:
        promised: Whether the promise is given.
        promised_ballot: The highest ballot that was promised.
        accepted_ballot: The ballot of the value; with a promise only.
        value: The register's value in its wire form; with a promise only.
    """

    promised: bool = field(name="ok")
    promised_ballot: Ballot = field(name="promised")
    accepted_ballot: Ballot | None = field(name="ballot", default=None)
    value: dict[str, object] | None = None


class AcceptRequest(WireMessage, frozen=True):
    """The second phase of a round: accept this value.

    Attributes:
        ballot: The round's ballot.
        value: The register's value in its wire form, read only where the ballot is high enough.
    """

    ballot: Ballot
    value: dict[str, object]


class AcceptAnswer(WireMessage, frozen=True, omit_defaults=True):
    """Whether the value was accepted, and if not, for which balancers the acceptor waits."""

    accepted: bool = field(name="ok")
    pending_members: tuple[PendingMember, ...] = field(name="late", default=())


class ProgressAnswer(WireMessage, frozen=True):
    """How far a proposal is, as one control process knows it.

    Attributes:
        proposal_number: What is proposed, 0 for nothing.
        pending_members: Who has to promise before it is decided.
        refusals: Who refused it.
    """

    proposal_number: int = field(name="try")
    pending_members: tuple[PendingMember, ...] = field(name="late")
    refusals: tuple[Refusal, ...] = field(name="refused")


PREPARE = RpcMethod("/prepare", PrepareRequest, PrepareAnswer)
ACCEPT = RpcMethod("/accept", AcceptRequest, AcceptAnswer)
PROGRESS = RpcMethod("/waits", EmptyMessage, ProgressAnswer)
