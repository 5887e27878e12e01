"""Every state of small models keeps the guarantee, and each defect of a pure module is found by one of them."""

from random import Random

import pytest

from orchidgap.decisions import cas_register, policy_rollout
from orchidgap.decisions.cas_register import Acceptor
from orchidgap.decisions.policy_rollout import DRIFT, Leases, Right, Tenure
from orchidgap.drill import explore
from orchidgap.drill.explore import Broken, Fleet, Rounds, walk


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
    return cas_register.Kept(max(ballot, self.kept.promised), ballot, value)


def from_the_answer(self, value, registered, asked, granted=True, told=Tenure.told):
    return told(self, value, registered, asked + explore.TICK, granted)


def by_value(count, answers):
    told = list(answers)
    for _, value, _ in told:
        if sum(other == value for _, other, _ in told) >= cas_register.majority(count):
            return value, True
    return None, False


def unlocked(self, old, new, now, takes=Leases.takes):
    late = takes(self, old, new, now)
    self.locked = self.locked if late else None
    return late


DEFECTS = {
    "an acceptor takes what it promised not to": (Acceptor, "accept", stale_accept, Rounds(2, 0)),
    "an acceptor promises twice": (
        Acceptor,
        "prepare",
        lambda self, ballot: self.kept._replace(promised=max(ballot, self.kept.promised)),
        Rounds(2, 0),
    ),
    "nobody is waited for": (Leases, "behind", lambda self, *told: [], Fleet(1, 1, 3, 0, "leave")),
    "leases go on beside a write": (Leases, "takes", unlocked, Fleet(1, 1, 2, 0, "leave")),
    "a start forgets who holds a lease": (
        Leases,
        "longest",
        property(lambda self: 0 if not self.rows else round(self.lease * (1 + DRIFT))),
        Fleet(1, 1, 2, 1, "leave"),
    ),
    "a lease counts from its answer": (Tenure, "told", from_the_answer, Fleet(1, 1, 2, 0, "leave")),
    "a lease has no end": (
        Tenure,
        "right",
        lambda self, now: Right.SERVES if self.runs >= 0 else Right.NONE,
        Fleet(1, 1, 2, 0, "leave"),
    ),
    "a promise is forgotten when alone": (
        Tenure,
        "right",
        lambda self, now: (
            Right.SERVES if now < self.until else Right.STAYS if self.stays else Right.NONE
        ),
        Fleet(1, 1, 2, 0, "stay"),
    ),
    "a promise is taken for a decision": (
        Tenure,
        "promise",
        lambda self, number: self.takes(self.runs + 1),
        Fleet(1, 1, 2, 0, "leave"),
    ),
    "equal values do for one ballot": (explore, "answered", by_value, Fleet(1, 1, 4, 0, "leave")),
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


def test_a_promise_counts_for_its_own_try_only():
    """One that was dropped and proposed anew has to be promised anew, or who stays alone would not know."""
    leases = Leases(1_000_000, -2_000_000)
    leases.hear(policy_rollout.Row("b", "1", "stay", 0, 1, 0, "", 0, 0), 0)
    value = policy_rollout.joined(policy_rollout.proposed(policy_rollout.EMPTY, "x", {}), "b", "1")
    assert leases.waits(value, 10) == []
    again = policy_rollout.proposed(policy_rollout.dropped(value, 1, "b2: no"), "x", {})
    assert again["next"]["try"] == 2 and leases.waits(again, 10) == [("b", 1_009_990)]
    assert leases.waits(again, 2_000_000) == [("b", 0)]
