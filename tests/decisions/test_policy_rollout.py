"""Transitions of a policy change."""

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

ACTS = {
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
def test_versions_only_go_up_and_one_is_proposed_at_a_time(acts):
    state = INITIAL_STATE
    for act, number in acts:
        last, state = state, ACTS[act](state, number)
        assert state.version - last.version in (0, 1)
        assert state.proposal_count >= last.proposal_count
        assert (
            state.version == last.version
            or last.proposal
            and state.change_id == last.proposal.change_id
            and act is Transition.DECIDE
        )
        assert state.proposal is None or state.proposal.version == state.version + 1
        assert len(state.history) <= MAX_HISTORY
        assert state is last or state.phase is PHASE_AFTER[last.phase][act]
        # what is written and read again is the same
        assert policy_state_from_wire(policy_state_to_wire(state)) == state


def test_the_history_has_the_last_changes():
    state = INITIAL_STATE
    for number in range(MAX_HISTORY + 6):
        state = policy_rollout.propose(state, f"c{number}", DOC)
        state = policy_rollout.drop(state, state.proposal_count, "no")
    names = [record.change_id for record in state.history]
    assert names == [f"c{number}" for number in range(6, MAX_HISTORY + 6)]


def test_the_last_end_of_a_change_counts():
    """A change is dropped, proposed again and decided, replaced, and decided once more."""
    state = INITIAL_STATE
    for change_id, ends in (("x", False), ("x", True), ("y", True), ("x", True)):
        state = policy_rollout.propose(state, change_id, DOC)
        if ends:
            state = policy_rollout.decide(state, state.proposal_count)
        else:
            state = policy_rollout.drop(state, state.proposal_count, "no")
    assert policy_rollout.find_record(state, "x").version == 3
    assert policy_rollout.find_record(state, "z") is None
    assert policy_rollout.propose(state, "x", DOC) is state  # it is in force


def test_a_request_that_was_overtaken_proposes_nothing():
    """Two operators look at the same time. The first one's change is proposed and decided; the second
    one's request comes after that, and its sender had not known."""
    state = policy_rollout.submit(INITIAL_STATE, "x", DOC, False, 0)
    state = policy_rollout.decide(state, 1)
    assert policy_rollout.submit(state, "y", DOC, False, 0) is state
    assert policy_rollout.submit(state, "y", DOC, False, 1).proposal.change_id == "y"


def test_a_request_beside_another_proposal_is_answered_with_a_no_for_good():
    """The second operator is told that a change is in the way. That one ends; a late copy of the request
    must not be proposed then."""
    state = policy_rollout.submit(INITIAL_STATE, "x", DOC, False, 0)
    state = policy_rollout.submit(state, "y", DOC, False, 1)
    assert state.proposal.change_id == "x" and state.proposal_count == 2
    state = policy_rollout.drop(state, 1, "no")
    assert policy_rollout.submit(state, "y", DOC, False, 1) is state


def test_a_decided_change_is_proposed_again_only_where_that_is_asked_for():
    state = policy_rollout.decide(policy_rollout.propose(INITIAL_STATE, "x", DOC), 1)
    state = policy_rollout.decide(policy_rollout.propose(state, "y", DOC), 2)
    assert policy_rollout.submit(state, "x", DOC, False, 2) is state
    assert policy_rollout.submit(state, "x", DOC, True, 2).proposal.change_id == "x"
