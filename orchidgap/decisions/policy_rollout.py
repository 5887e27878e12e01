"""The state machine of a policy change: proposed, then decided or dropped.

The compare-and-set register holds one `PolicyState`, which also lists the balancers that serve
without a quorum. The functions of this module are the only transitions; `PHASE_AFTER` encodes the
same table:

    | phase    | transition                        | next phase | what changes              |
    | -------- | --------------------------------- | ---------- | ------------------------- |
    | idle     | `propose`                         | proposed   | a new proposal number     |
    | proposed | `decide`: all have promised       | idle       | the version grows by 1    |
    | proposed | `drop`: one refused, or does not  | idle       | the reason is added to    |
    |          | answer                            |            | the history               |
    | any      | `register_member`, `evict_member` | the same   | the list of balancers     |
    |          |                                   |            | that serve without quorum |

Each function takes a state and returns the next one, or the same object if the transition does not
apply. No I/O.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, replace
from enum import Enum
from typing import Any

MAX_HISTORY = 64  # how many records of ended changes are kept

Document = Any
"""A proposed policy as parsed from JSON; validated before it is proposed."""


class ChangeResult(Enum):
    """How a change ended. The values are used on the wire and on disk."""

    DECIDED = "decided"
    DROPPED = "nowhere"


class Phase(Enum):
    """Whether a proposal is pending."""

    IDLE = "idle"
    PROPOSED = "proposed"


class Transition(Enum):
    """A transition between states; each one is a function of this module."""

    PROPOSE = "propose"
    DECIDE = "decide"
    DROP = "drop"
    REGISTER_MEMBER = "register member"
    EVICT_MEMBER = "evict member"


PHASE_AFTER: Mapping[Phase, Mapping[Transition, Phase]] = {
    Phase.IDLE: {
        Transition.PROPOSE: Phase.PROPOSED,
        Transition.REGISTER_MEMBER: Phase.IDLE,
        Transition.EVICT_MEMBER: Phase.IDLE,
    },
    Phase.PROPOSED: {
        Transition.DECIDE: Phase.IDLE,
        Transition.DROP: Phase.IDLE,
        Transition.REGISTER_MEMBER: Phase.PROPOSED,
        Transition.EVICT_MEMBER: Phase.PROPOSED,
    },
}
"""The transitions that each phase allows, and the phase after each."""


@dataclass(frozen=True, slots=True)
class Proposal:
    """A change that is proposed, and not yet decided or dropped.

    Attributes:
        change_id: The proposer's name for the change.
        document: The proposed policy.
        proposal_number: Unique to this proposal; the same change proposed again gets a new one.
        version: The version that the policy gets once it is decided.
    """

    change_id: str
    document: Document
    proposal_number: int
    version: int


@dataclass(frozen=True, slots=True)
class ChangeRecord:
    """How a past change ended.

    Attributes:
        version: The version that the change created, 0 if it was dropped.
        change_id: The proposer's name for the change.
        result: Whether the change was decided or dropped.
        reason: Why it was dropped, empty if it was decided.
    """

    version: int
    change_id: str
    result: ChangeResult
    reason: str


@dataclass(frozen=True, slots=True)
class PolicyState:
    """The value of the register.

    Attributes:
        version: The number of the policy in force, 0 before the first decision.
        change_id: The change that created this version.
        proposal_number: The number of the proposal that was decided as this version.
        document: The policy in force, None at version 0.
        proposal: The pending proposal, None if there is none.
        proposal_count: The highest proposal number assigned so far.
        members_without_quorum: Incarnations, by balancer name, of the balancers that keep serving
            without a lease. No change is decided without their promises.
        history: The latest changes that ended, oldest first.
    """

    version: int
    change_id: str
    proposal_number: int
    document: Document
    proposal: Proposal | None
    proposal_count: int
    members_without_quorum: Mapping[str, str]
    history: tuple[ChangeRecord, ...]

    @property
    def phase(self) -> Phase:
        """Whether a proposal is pending."""
        return Phase.IDLE if self.proposal is None else Phase.PROPOSED

    def allows(self, transition: Transition) -> bool:
        """Return whether the current phase allows the transition."""
        return transition in PHASE_AFTER[self.phase]


INITIAL_STATE = PolicyState(
    version=0,
    change_id="",
    proposal_number=0,
    document=None,
    proposal=None,
    proposal_count=0,
    members_without_quorum={},
    history=(),
)


def find_record(state: PolicyState, change_id: str) -> ChangeRecord | None:
    """Return the latest record of a change, None if the history has none."""
    for record in reversed(state.history):
        if record.change_id == change_id:
            return record
    return None


def propose(state: PolicyState, change_id: str, document: Document) -> PolicyState:
    """Propose a change, unless a proposal is pending or this change is in force.

    >>> state = propose(INITIAL_STATE, "x", {"settings": {}})
    >>> state.proposal.version, state.proposal.proposal_number, state.version
    (1, 1, 0)
    >>> propose(state, "y", {}) is state
    True
    """
    if not state.allows(Transition.PROPOSE) or state.change_id == change_id:
        return state
    # A promise is valid for one proposal number: a change that is proposed again needs new ones.
    number = state.proposal_count + 1
    proposal = Proposal(change_id, document, number, state.version + 1)
    return replace(state, proposal_count=number, proposal=proposal)


def submit(
    state: PolicyState, change_id: str, document: Document, again: bool, known_proposal_count: int
) -> PolicyState:
    """Handle a proposer's request, which may be delayed or duplicated.

    A request is ignored if anything was proposed since its sender last read the state: a delayed
    copy must not propose a change again after its sender was notified that it was dropped.

    Args:
        state: The state when the request is handled.
        change_id: The proposer's name for the change.
        document: The policy to propose.
        again: Whether to propose the change even if it was decided before.
        known_proposal_count: The proposal count that the sender had last read.

    >>> state = submit(INITIAL_STATE, "x", {}, False, 0)
    >>> state.proposal.change_id, submit(state, "y", {}, False, 1).proposal_count
    ('x', 2)
    >>> submit(drop(state, 1, "b2: no"), "x", {}, False, 0).proposal
    """
    record = find_record(state, change_id)
    decided_before = record is not None and record.result is ChangeResult.DECIDED
    out_of_date = state.proposal_count != known_proposal_count
    if (decided_before and not again) or out_of_date:
        return state
    if state.proposal is None:
        return propose(state, change_id, document)
    if state.proposal.change_id == change_id:
        return state
    # The sender gets the answer that another proposal is pending. The higher count makes that
    # answer final, as a delayed copy of the request is then out of date.
    return replace(state, proposal_count=known_proposal_count + 1)


def decide(state: PolicyState, proposal_number: int) -> PolicyState:
    """Put the proposal with this number into force.

    >>> state = decide(propose(INITIAL_STATE, "x", {"a": 1}), 1)
    >>> state.version, state.document, state.proposal, find_record(state, "x").result
    (1, {'a': 1}, None, <ChangeResult.DECIDED: 'decided'>)
    >>> decide(state, 1) is state
    True
    """
    proposal = _proposal_of(state, proposal_number, Transition.DECIDE)
    if proposal is None:
        return state
    record = ChangeRecord(proposal.version, proposal.change_id, ChangeResult.DECIDED, "")
    return replace(
        state,
        version=proposal.version,
        change_id=proposal.change_id,
        proposal_number=proposal_number,
        document=proposal.document,
        proposal=None,
        history=_with_record(state, record),
    )


def drop(state: PolicyState, proposal_number: int, reason: str) -> PolicyState:
    """Drop the proposal with this number; `reason` is shown to operators.

    >>> find_record(drop(propose(INITIAL_STATE, "x", {}), 1, "b2: disk full"), "x").reason
    'b2: disk full'
    """
    proposal = _proposal_of(state, proposal_number, Transition.DROP)
    if proposal is None:
        return state
    record = ChangeRecord(0, proposal.change_id, ChangeResult.DROPPED, reason)
    return replace(state, proposal=None, history=_with_record(state, record))


def register_member(state: PolicyState, name: str, incarnation: str) -> PolicyState:
    """Register a balancer that serves without a quorum.

    Until it is evicted, no change is decided without its promise.
    """
    if state.members_without_quorum.get(name) == incarnation:
        return state
    members = {**state.members_without_quorum, name: incarnation}
    return replace(state, members_without_quorum=members)


def evict_member(state: PolicyState, name: str, incarnation: str) -> PolicyState:
    """Remove a registered balancer, unless the name is registered with another incarnation."""
    if state.members_without_quorum.get(name) != incarnation:
        return state
    members = {key: value for key, value in state.members_without_quorum.items() if key != name}
    return replace(state, members_without_quorum=members)


def _proposal_of(
    state: PolicyState, proposal_number: int, transition: Transition
) -> Proposal | None:
    """Return the proposal with this number, None if the transition does not apply to it."""
    proposal = state.proposal if state.allows(transition) else None
    if proposal is None or proposal.proposal_number != proposal_number:
        return None
    return proposal


def _with_record(state: PolicyState, record: ChangeRecord) -> tuple[ChangeRecord, ...]:
    return (*state.history, record)[-MAX_HISTORY:]
