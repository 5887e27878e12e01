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
