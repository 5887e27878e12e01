"""The files that a balancer keeps in its own folder, beside those of the register."""

from __future__ import annotations

from msgspec import field

from orchidgap.control.messages.base import WireMessage
from orchidgap.decisions.policy_rollout import Document

ADOPTED_POLICY_FILE = "policy"
PROMISED_PROPOSAL_FILE = "promise"  # a `ProposalMessage`


class AdoptedPolicy(WireMessage, frozen=True):
    """The policy that a balancer put into force last."""

    version: int = field(name="n")
    change_id: str = field(name="id", default="")
    document: Document = field(name="doc", default=None)
