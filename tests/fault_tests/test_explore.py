"""Every state of small models keeps the guarantee, and each defect of a pure module is found by one of them."""

from random import Random

import pytest

from orchidgap.decisions import cas_register
from orchidgap.decisions.cas_register import Acceptor
from orchidgap.decisions.lease_state import LeaseState, ServingPermission
from orchidgap.decisions.leases import MAX_CLOCK_DRIFT_RATIO, LeaseTable
from orchidgap.fault_tests import state_space as explore
from orchidgap.fault_tests.state_space import Broken, Fleet, Rounds, walk


def test_the_smallest_models_are_seen_whole():
    for model in (Rounds(1, 0), Fleet(1, 1, 1, 0, "leave"), Fleet(1, 1, 1, 0, "stay")):
        count, whole = explore.explore(model.first, model.after, 100_000)
        assert whole and count > 50


@pytest.mark.parametrize(
    "model", [Rounds(3, 1), Fleet(3, 2, 4, 2, "leave"), Fleet(3, 2, 4, 2, "stay")]
)
def test_the_larger_ones_are_kept_as_far_as_chance_goes(model):
    walk(model.first, model.after, 40, Random(7))


def stale_accept(self, ballot, value):
    return cas_register.AcceptorState(max(ballot, self.state.promised_ballot), ballot, value)


def from_the_answer(
    self, version, proposal, registered, asked, granted=True, on_chosen=LeaseState.on_chosen_state
):
    return on_chosen(self, version, proposal, registered, asked + explore.TICK, granted)


def by_value(count, answers):
    told = list(answers)
    for _, value, _ in told:
        if sum(other == value for _, other, _ in told) >= cas_register.quorum_size(count):
            return value, True
    return None, False


def unlocked(self, old, new, now, begin=LeaseTable.begin_decision):
    late = begin(self, old, new, now)
    self.pending_decision = self.pending_decision if late else None
    return late


DEFECTS = {
    "an acceptor takes what it promised not to": (Acceptor, "accept", stale_accept, Rounds(2, 0)),
    "an acceptor promises twice": (
        Acceptor,
        "prepare",
        lambda self, ballot: self.state._replace(
            promised_ballot=max(ballot, self.state.promised_ballot)
        ),
        Rounds(2, 0),
    ),
    "nobody is waited for": (
        LeaseTable,
        "unprepared_members",
        lambda self, *told: [],
        Fleet(1, 1, 3, 0, "leave"),
    ),
    "leases go on beside a write": (
        LeaseTable,
        "begin_decision",
        unlocked,
        Fleet(1, 1, 2, 0, "leave"),
    ),
    "a start forgets who holds a lease": (
        LeaseTable,
        "max_lease_us",
        property(
            lambda self: (
                0 if not self.holders else round(self.lease_us * (1 + MAX_CLOCK_DRIFT_RATIO))
            )
        ),
        Fleet(1, 1, 2, 1, "leave"),
    ),
    "a lease counts from its answer": (
        LeaseState,
        "on_chosen_state",
        from_the_answer,
        Fleet(1, 1, 2, 0, "leave"),
    ),
    "a lease has no end": (
        LeaseState,
        "permission",
        lambda self, now: (
            ServingPermission.LEASE if self.version >= 0 else ServingPermission.DENIED
        ),
        Fleet(1, 1, 2, 0, "leave"),
    ),
    "a promise is forgotten when alone": (
        LeaseState,
        "permission",
        lambda self, now: (
            ServingPermission.LEASE
            if now < self.expires_at_us
            else ServingPermission.WITHOUT_QUORUM
            if self.registered
            else ServingPermission.DENIED
        ),
        Fleet(1, 1, 2, 0, "stay"),
    ),
    "a promise is taken for a decision": (
        LeaseState,
        "on_promise_durable",
        lambda self, number: self.on_version_adopted(self.version + 1),
        Fleet(1, 1, 2, 0, "leave"),
    ),
    "equal values do for one ballot": (
        explore,
        "evaluate_answers",
        by_value,
        Fleet(1, 1, 4, 0, "leave"),
    ),
}


@pytest.mark.parametrize("name", DEFECTS)
def test_a_defect_of_a_pure_module_is_found(name, monkeypatch):
    owner, what, planted, model = DEFECTS[name]
    monkeypatch.setattr(owner, what, planted)
    with pytest.raises(Broken):
        walk(model.first, model.after, 5_000, Random(7))


def test_an_acceptor_that_comes_back_with_nothing_is_found():
    model = Rounds(2, 1)
    model.blank = model.first.kept[0]
    with pytest.raises(Broken):
        walk(model.first, model.after, 20_000, Random(3))
