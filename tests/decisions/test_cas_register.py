"""The register: whatever order messages come in, chosen values follow one another."""

from hypothesis import given
from hypothesis import strategies as st

from orchidgap.decisions.cas_register import (
    NO_BALLOT,
    Acceptor,
    AcceptorState,
    Proposer,
    find_chosen_value,
)

NAMES = "xyz"
STEPS = st.tuples(st.sampled_from(["prepare", "accept"]), st.integers(0, 2), st.sampled_from(NAMES))


@given(st.lists(STEPS, max_size=60))
def test_of_two_chosen_values_one_is_made_of_the_other(steps):
    """Three proposers append their name to the value, each under its own ballot. Their messages reach the
    acceptors in any order, several times or never. Whatever is chosen at some time stays a part of what is
    chosen later."""
    acceptors = {name: Acceptor(AcceptorState(NO_BALLOT, NO_BALLOT, ())) for name in NAMES}
    proposers = [
        Proposer((count + 1, "p"), 3, lambda value, count=count: (*value, count))
        for count in range(3)
    ]
    last = ()
    for phase, number, name in steps:
        acceptor, proposer = acceptors[name], proposers[number]
        if phase == "prepare":
            state = acceptor.prepare(proposer.ballot)
            if state is not None:
                acceptor.on_durable(state)
                proposer.on_promise(name, state.accepted_ballot, state.value)
        elif proposer.value is not None:
            state = acceptor.accept(proposer.ballot, proposer.value)
            if state is not None:
                acceptor.on_durable(state)
                proposer.on_accepted(name)
        states = [known.state for known in acceptors.values()]
        chosen = find_chosen_value(3, [(state.accepted_ballot, state.value) for state in states])
        if chosen is not None:
            assert chosen[: len(last)] == last
            last = chosen
