"""The files that a balancer keeps in its own folder; they are separate from the register's file."""

from __future__ import annotations

from msgspec import field

from orchidgap.control.messages.base import WireMessage
from orchidgap.decisions.policy_rollout import Document

ADOPTED_POLICY_FILE = "policy"
PROMISED_PROPOSAL_FILE = "promise"  # contains a `ProposalMessage`


class AdoptedPolicy(WireMessage, frozen=True):
    """The last policy that a balancer adopted."""

    version: int = field(name="n")
    change_id: str = field(name="id", default="")
    document: Document = field(name="doc", default=None)
