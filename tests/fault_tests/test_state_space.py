"""Every state of small models keeps the guarantee, and the models detect each planted defect of a pure module."""

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


def test_the_smallest_models_are_explored_completely():
    for model in (RegisterModel(1, 0), FleetModel(1, 1, 1, 0, DENY), FleetModel(1, 1, 1, 0, SERVE)):
        count, complete = model.explore(100_000)
        assert complete and count > 50


@pytest.mark.parametrize(
    "model", [RegisterModel(3, 1), FleetModel(3, 2, 4, 2, DENY), FleetModel(3, 2, 4, 2, SERVE)]
)
def test_random_walks_through_larger_models_keep_the_invariants(model):
    model.walk(40, Random(7))


def stale_accept(self, ballot, value):
    return cas_register.AcceptorState(max(ballot, self.state.promised_ballot), ballot, value)


def count_lease_from_answer(
    self, version, proposal, registered, sent_us, granted=True, on_chosen=LeaseState.on_chosen_state
):
    return on_chosen(self, version, proposal, registered, sent_us + TICK_US, granted)


def count_equal_values(count, answers):
    received = list(answers)
    for _, value, _ in received:
        if sum(other == value for _, other, _ in received) >= cas_register.quorum_size(count):
            return value, True
    return None, False


def grant_during_write(self, old, new, now, begin=LeaseTable.begin_decision):
    unprepared = begin(self, old, new, now)
    self.pending_decision = self.pending_decision if unprepared else None
    return unprepared


DEFECTS = {
    "an acceptor accepts a ballot below its promise": (
        Acceptor,
        "accept",
        stale_accept,
        RegisterModel(2, 0),
    ),
    "an acceptor promises a ballot twice": (
        Acceptor,
        "prepare",
        lambda self, ballot: self.state._replace(
            promised_ballot=max(ballot, self.state.promised_ballot)
        ),
        RegisterModel(2, 0),
    ),
    "a decision waits for no balancer": (
        LeaseTable,
        "unprepared_members",
        lambda self, *arguments: [],
        FleetModel(1, 1, 3, 0, DENY),
    ),
    "leases are granted during a write": (
        LeaseTable,
        "begin_decision",
        grant_during_write,
        FleetModel(1, 1, 2, 0, DENY),
    ),
    "a restarted acceptor ignores leases granted before": (
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
        count_lease_from_answer,
        FleetModel(1, 1, 2, 0, DENY),
    ),
    "a lease does not expire": (
        LeaseState,
        "permission",
        lambda self, now: (
            ServingPermission.LEASE if self.version >= 0 else ServingPermission.DENIED
        ),
        FleetModel(1, 1, 2, 0, DENY),
    ),
    "a promise is ignored without a quorum": (
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
    "a promise is treated as a decision": (
        LeaseState,
        "on_promise_durable",
        lambda self, number: self.on_version_adopted(self.version + 1),
        FleetModel(1, 1, 2, 0, DENY),
    ),
    "equal values are counted without their ballots": (
        balancer_steps,
        "evaluate_answers",
        count_equal_values,
        FleetModel(1, 1, 4, 0, DENY),
    ),
}


@pytest.mark.parametrize("name", DEFECTS)
def test_a_defect_of_a_pure_module_is_found(name, monkeypatch):
    owner, attribute, planted, model = DEFECTS[name]
    monkeypatch.setattr(owner, attribute, planted)
    with pytest.raises(InvariantViolation):
        model.walk(5_000, Random(7))


def test_an_acceptor_that_recovers_with_an_empty_disk_is_found():
    model = RegisterModel(2, 1)
    model.stored_after_disk_loss = model.initial_state.stored[0]
    with pytest.raises(InvariantViolation):
        model.walk(20_000, Random(3))
