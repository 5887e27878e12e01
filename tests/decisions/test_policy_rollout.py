"""Tests of the transitions of a policy change."""

from hypothesis import given
from hypothesis import strategies as st

from orchidgap.control.messages import policy_state_from_wire, policy_state_to_wire
from orchidgap.decisions import policy_rollout
from orchidgap.decisions.policy_rollout import (
    INITIAL_STATE,
    MAX_HISTORY,
    PHASE_AFTER,
    Transition,
)

DOC = {"settings": {}}

TRANSITIONS = {
    Transition.PROPOSE: lambda state, number: policy_rollout.propose(state, f"c{number}", DOC),
    Transition.DECIDE: lambda state, number: policy_rollout.decide(
        state, state.proposal_count - number
    ),
    Transition.DROP: lambda state, number: policy_rollout.drop(
        state, state.proposal_count - number, "no"
    ),
    Transition.REGISTER_MEMBER: lambda state, number: policy_rollout.register_member(
        state, f"b{number}", "1"
    ),
    Transition.EVICT_MEMBER: lambda state, number: policy_rollout.evict_member(
        state, f"b{number}", "1"
    ),
}


@given(st.lists(st.tuples(st.sampled_from(Transition), st.integers(0, 3)), max_size=120))
def test_versions_never_decrease_and_one_change_is_proposed_at_a_time(steps):
    state = INITIAL_STATE
    for transition, number in steps:
        last, state = state, TRANSITIONS[transition](state, number)
        assert state.version - last.version in (0, 1)
        assert state.proposal_count >= last.proposal_count
        assert (
            state.version == last.version
            or last.proposal
            and state.change_id == last.proposal.change_id
            and transition is Transition.DECIDE
        )
        assert state.proposal is None or state.proposal.version == state.version + 1
        assert len(state.history) <= MAX_HISTORY
        assert state is last or state.phase is PHASE_AFTER[last.phase][transition]
        # encoding and decoding a state gives the same state
        assert policy_state_from_wire(policy_state_to_wire(state)) == state


def test_the_history_keeps_the_latest_changes():
    state = INITIAL_STATE
    for number in range(MAX_HISTORY + 6):
        state = policy_rollout.propose(state, f"c{number}", DOC)
        state = policy_rollout.drop(state, state.proposal_count, "no")
    names = [record.change_id for record in state.history]
    assert names == [f"c{number}" for number in range(6, MAX_HISTORY + 6)]


def test_find_record_returns_the_latest_record_of_a_change():
    """A change is dropped, proposed again and decided, replaced, and decided once more."""
    state = INITIAL_STATE
    for change_id, is_decided in (("x", False), ("x", True), ("y", True), ("x", True)):
        state = policy_rollout.propose(state, change_id, DOC)
        if is_decided:
            state = policy_rollout.decide(state, state.proposal_count)
        else:
            state = policy_rollout.drop(state, state.proposal_count, "no")
    assert policy_rollout.find_record(state, "x").version == 3
    assert policy_rollout.find_record(state, "z") is None
    assert policy_rollout.propose(state, "x", DOC) is state  # it is in force


def test_an_out_of_date_request_proposes_nothing():
    """Two operators read the state at the same time. The change of the first is proposed and decided. The
    request of the second arrives after that and still has the old proposal count."""
    state = policy_rollout.submit(INITIAL_STATE, "x", DOC, False, 0)
    state = policy_rollout.decide(state, 1)
    assert policy_rollout.submit(state, "y", DOC, False, 0) is state
    assert policy_rollout.submit(state, "y", DOC, False, 1).proposal.change_id == "y"


def test_a_request_rejected_for_a_pending_proposal_is_not_proposed_later():
    """The second operator gets the answer that another proposal is pending. After that proposal has ended, a
    delayed copy of the request must not be proposed."""
    state = policy_rollout.submit(INITIAL_STATE, "x", DOC, False, 0)
    state = policy_rollout.submit(state, "y", DOC, False, 1)
    assert state.proposal.change_id == "x" and state.proposal_count == 2
    state = policy_rollout.drop(state, 1, "no")
    assert policy_rollout.submit(state, "y", DOC, False, 1) is state


def test_a_decided_change_is_proposed_again_only_on_request():
    state = policy_rollout.decide(policy_rollout.propose(INITIAL_STATE, "x", DOC), 1)
    state = policy_rollout.decide(policy_rollout.propose(state, "y", DOC), 2)
    assert policy_rollout.submit(state, "x", DOC, False, 2) is state
    assert policy_rollout.submit(state, "x", DOC, True, 2).proposal.change_id == "x"
