"""Tests of the compare-and-set register: chosen values build on each other in any message order."""

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
def test_a_later_chosen_value_builds_on_each_earlier_one(steps):
    """Three proposers append their number to the value, each under its own ballot. Their messages reach the
    acceptors in any order, several times or never. A value that is chosen at some time is a prefix of every
    value that is chosen later."""
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


def test_an_acceptor_keeps_its_promise():
    acceptor = Acceptor(AcceptorState(NO_BALLOT, NO_BALLOT, "old"))
    acceptor.on_durable(acceptor.prepare((2, "a")))
    assert acceptor.prepare((2, "a")) is None and acceptor.prepare((1, "z")) is None
    assert acceptor.accept((1, "z"), "new") is None
    assert acceptor.accept((2, "a"), "new") == AcceptorState((2, "a"), (2, "a"), "new")
    assert acceptor.state.value == "old"  # until the new state is durable


def test_answers_of_an_acceptor_that_lost_its_disk_are_ignored():
    """Its promises are lost with the disk. A round that it proposes needs a quorum of the other acceptors."""
    proposer = Proposer((5, "x"), 3, lambda value: value, excluded="x")
    assert not proposer.on_promise("x", NO_BALLOT, "nothing")
    assert not proposer.on_promise("y", (3, "y"), "value")
    assert proposer.on_promise("z", (2, "y"), "older") and proposer.value == "value"
    assert not proposer.on_accepted("x") and not proposer.on_accepted("y")
    assert proposer.on_accepted("z")


def test_two_answers_of_one_acceptor_do_not_make_a_quorum():
    proposer = Proposer((1, "a"), 3, lambda value: value + 1)
    assert not proposer.on_promise("x", NO_BALLOT, 0) and not proposer.on_promise("x", NO_BALLOT, 0)
    assert proposer.on_promise("y", NO_BALLOT, 0) and not proposer.on_promise("z", NO_BALLOT, 9)
    assert proposer.value == 1
    assert not proposer.on_accepted("y") and not proposer.on_accepted("y")
