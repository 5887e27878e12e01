"""Transitions of a policy change."""

from hypothesis import given
from hypothesis import strategies as st

from orchidgap.decisions import policy_rollout
from orchidgap.decisions.policy_rollout import INITIAL_STATE, MAX_HISTORY

DOC = {"settings": {}}

ACTS = {
    "p": lambda state, number: policy_rollout.propose(state, f"c{number}", DOC),
    "d": lambda state, number: policy_rollout.decide(state, state.proposal_count - number),
    "x": lambda state, number: policy_rollout.drop(state, state.proposal_count - number, "no"),
    "j": lambda state, number: policy_rollout.register_member(state, f"b{number}", "1"),
    "s": lambda state, number: policy_rollout.evict_member(state, f"b{number}", "1"),
}


@given(st.lists(st.tuples(st.sampled_from(sorted(ACTS)), st.integers(0, 3)), max_size=120))
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
            and act == "d"
        )
        assert state.proposal is None or state.proposal.version == state.version + 1
        assert len(state.history) <= MAX_HISTORY
        # what is written and read again is the same
        assert policy_rollout.from_wire(policy_rollout.to_wire(state)) == state
