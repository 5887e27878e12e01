"""Every state of small models keeps the guarantee, and each defect of a pure module is found by one of them."""

from random import Random

import pytest

from orchidgap.decisions import cas_register
from orchidgap.decisions.cas_register import Acceptor
from orchidgap.decisions.lease_state import LeaseState, ServingPermission
from orchidgap.decisions.leases import MAX_CLOCK_DRIFT_RATIO, LeaseTable, OnLostQuorum
from orchidgap.fault_tests.model import balancer_steps
from orchidgap.fault_tests.model.explorer import InvariantViolation
from orchidgap.fault_tests.model.fleet_model import FleetModel
from orchidgap.fault_tests.model.fleet_state import TICK_US
from orchidgap.fault_tests.model.register_model import RegisterModel

DENY = OnLostQuorum.DENY
SERVE = OnLostQuorum.SERVE


def test_the_smallest_models_are_seen_whole():
    for model in (RegisterModel(1, 0), FleetModel(1, 1, 1, 0, DENY), FleetModel(1, 1, 1, 0, SERVE)):
        count, complete = model.explore(100_000)
        assert complete and count > 50


@pytest.mark.parametrize(
    "model", [RegisterModel(3, 1), FleetModel(3, 2, 4, 2, DENY), FleetModel(3, 2, 4, 2, SERVE)]
)
def test_the_larger_ones_are_kept_as_far_as_chance_goes(model):
    model.walk(40, Random(7))


def stale_accept(self, ballot, value):
    return cas_register.AcceptorState(max(ballot, self.state.promised_ballot), ballot, value)


def from_the_answer(
    self, version, proposal, registered, asked, granted=True, on_chosen=LeaseState.on_chosen_state
):
    return on_chosen(self, version, proposal, registered, asked + TICK_US, granted)


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
    "an acceptor takes what it promised not to": (
        Acceptor,
        "accept",
        stale_accept,
        RegisterModel(2, 0),
    ),
    "an acceptor promises twice": (
        Acceptor,
        "prepare",
        lambda self, ballot: self.state._replace(
            promised_ballot=max(ballot, self.state.promised_ballot)
        ),
        RegisterModel(2, 0),
    ),
    "nobody is waited for": (
        LeaseTable,
        "unprepared_members",
        lambda self, *told: [],
        FleetModel(1, 1, 3, 0, DENY),
    ),
    "leases go on beside a write": (
        LeaseTable,
        "begin_decision",
        unlocked,
        FleetModel(1, 1, 2, 0, DENY),
    ),
    "a start forgets who holds a lease": (
        LeaseTable,
        "max_lease_us",
        property(
            lambda self: (
                0 if not self.holders else round(self.lease_us * (1 + MAX_CLOCK_DRIFT_RATIO))
            )
        ),
        FleetModel(1, 1, 2, 1, DENY),
    ),
    "a lease counts from its answer": (
        LeaseState,
        "on_chosen_state",
        from_the_answer,
        FleetModel(1, 1, 2, 0, DENY),
    ),
    "a lease has no end": (
        LeaseState,
        "permission",
        lambda self, now: (
            ServingPermission.LEASE if self.version >= 0 else ServingPermission.DENIED
        ),
        FleetModel(1, 1, 2, 0, DENY),
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
        FleetModel(1, 1, 2, 0, SERVE),
    ),
    "a promise is taken for a decision": (
        LeaseState,
        "on_promise_durable",
        lambda self, number: self.on_version_adopted(self.version + 1),
        FleetModel(1, 1, 2, 0, DENY),
    ),
    "equal values do for one ballot": (
        balancer_steps,
        "evaluate_answers",
        by_value,
        FleetModel(1, 1, 4, 0, DENY),
    ),
}


@pytest.mark.parametrize("name", DEFECTS)
def test_a_defect_of_a_pure_module_is_found(name, monkeypatch):
    owner, what, planted, model = DEFECTS[name]
    monkeypatch.setattr(owner, what, planted)
    with pytest.raises(InvariantViolation):
        model.walk(5_000, Random(7))


def test_an_acceptor_that_comes_back_with_nothing_is_found():
    model = RegisterModel(2, 1)
    model.stored_after_disk_loss = model.initial_state.stored[0]
    with pytest.raises(InvariantViolation):
        model.walk(20_000, Random(3))
