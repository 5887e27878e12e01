"""Tests of the leases that an acceptor grants, and of the balancers that a decision waits for."""

import pytest

from orchidgap.decisions.leases import (
    FORGET_AFTER_US,
    MAX_HOLDERS,
    UNKNOWN_HOLDERS,
    LeaseHolder,
    LeaseTable,
)
from orchidgap.decisions.policy_rollout import (
    INITIAL_STATE,
    decide,
    drop,
    evict_member,
    propose,
    register_member,
)

LEASE_US = 1_000_000
MAX_LEASE_US = 1_010_000  # measured by a clock that runs 1% faster than the holder's
PROPOSED = propose(INITIAL_STATE, "x", {})


def holder(name="b", **changes):
    return LeaseHolder(name, "1", "leave", 0, 0, 0, "", 0, 0)._replace(**changes)


def make_table():
    """Returns the table of a process that started two seconds ago: no unknown lease is left."""
    return LeaseTable(LEASE_US, -2_000_000)


def test_a_promise_is_valid_for_one_proposal_number_only():
    """A balancer that serves without a quorum has promised a proposal. The proposal is dropped, and the same
    change is proposed again. It needs a new promise: without one it could be decided without the
    balancer's knowledge."""
    table = LeaseTable(1_000_000, -2_000_000)
    table.on_heartbeat(LeaseHolder("b", "1", "stay", 0, 1, 0, "", 0, 0), 0)
    value = register_member(propose(INITIAL_STATE, "x", {}), "b", "1")
    assert table.pending_members(value, 10) == []
    again = propose(drop(value, 1, "b2: no"), "x", {})
    assert again.proposal.proposal_number == 2
    assert table.pending_members(again, 10) == [("b", 1_009_990)]
    assert table.pending_members(again, 2_000_000) == [("b", 0)]


@pytest.mark.parametrize(
    ("last_answer_at_us", "granted"),
    [(3_000_000, True), (1_000_000, True), (999_999, False), (3_000_001, False)],
)
def test_a_lease_is_renewed_only_if_the_balancer_receives_answers(last_answer_at_us, granted):
    """A balancer sends its second heartbeat at 3 s. The latest answer that it received must be at most two
    lease times old. A time in the future cannot be that of an answer of this process."""
    table = make_table()
    assert table.on_heartbeat(holder(), 0)
    assert table.on_heartbeat(holder(), 3_000_000, last_answer_at_us) is granted


def test_a_lease_that_is_not_renewed_is_valid_until_it_expires():
    """A decision is waiting. A balancer that is not prepared for it sends more heartbeats: its lease is not
    renewed, but stays valid until it expires."""
    table = make_table()
    assert table.on_heartbeat(holder(), 0)
    decided = decide(PROPOSED, 1)
    assert table.begin_decision(PROPOSED, decided, 100) == [("b", MAX_LEASE_US - 100)]
    assert not table.on_heartbeat(holder(), 500_000, 0)
    assert table.begin_decision(PROPOSED, decided, 600_000) == [("b", MAX_LEASE_US - 600_000)]
    assert table.begin_decision(PROPOSED, decided, MAX_LEASE_US) == []
    assert not table.on_heartbeat(holder("late"), MAX_LEASE_US, 0)
    assert table.on_heartbeat(holder(promised_proposal=1), MAX_LEASE_US, 500_000)
    table.on_accepted()
    assert table.on_heartbeat(holder("late"), MAX_LEASE_US, MAX_LEASE_US)


def test_a_balancer_that_runs_the_new_version_is_prepared_for_it():
    table = make_table()
    table.on_heartbeat(holder("behind"), 0)
    table.on_heartbeat(holder("ahead", version=1), 0)
    assert [member.name for member in table.pending_members(PROPOSED, 1)] == ["behind"]


def test_a_new_process_waits_for_unknown_leases_to_expire():
    table = LeaseTable(LEASE_US, 5_000_000)
    assert table.pending_members(PROPOSED, 5_000_010) == [(UNKNOWN_HOLDERS, MAX_LEASE_US - 10)]
    assert table.pending_members(PROPOSED, 5_000_000 + MAX_LEASE_US) == []


def test_a_decision_waits_for_registered_members_of_the_old_and_the_new_state():
    """A balancer that serves without a quorum is evicted, or registered, by the same round that decides.
    In both cases it may serve under the previous version."""
    table = make_table()
    before = register_member(PROPOSED, "b", "1")
    evicted = evict_member(decide(before, 1), "b", "1")
    assert table.begin_decision(before, evicted, 0) == [("b", 0)]
    registered = register_member(decide(PROPOSED, 1), "c", "1")
    assert table.begin_decision(PROPOSED, registered, 0) == [("c", 0)]


def test_a_registered_member_with_a_lease_is_listed_once():
    table = make_table()
    table.on_heartbeat(holder(), 0)
    state = register_member(PROPOSED, "b", "1")
    assert table.pending_members(state, 10_000) == [("b", MAX_LEASE_US - 10_000)]
    assert table.pending_members(state, 2 * MAX_LEASE_US) == [("b", 0)]


def test_only_refusals_of_the_pending_proposal_by_lease_holders_count():
    table = make_table()
    table.on_heartbeat(holder("b", refused_proposal=1, refusal_reason="disk full"), 0)
    table.on_heartbeat(holder("c", refused_proposal=7, refusal_reason="an earlier one"), 0)
    assert table.refusals(PROPOSED, 10) == [("b", "disk full")]
    assert table.refusals(INITIAL_STATE, 10) == []
    assert table.refusals(PROPOSED, MAX_LEASE_US) == []


def test_a_decision_does_not_wait_for_a_deregistered_balancer():
    table = make_table()
    table.on_heartbeat(holder(), 0)
    table.deregister("b", "another process")
    assert len(table.pending_members(PROPOSED, 1)) == 1
    table.deregister("b", "1")
    assert table.pending_members(PROPOSED, 1) == []


def test_a_balancer_without_heartbeats_is_removed_after_a_while():
    table = make_table()
    table.on_heartbeat(holder(), 0)
    table.remove_expired(MAX_LEASE_US + FORGET_AFTER_US)
    assert len(table.holders) == 1
    table.remove_expired(MAX_LEASE_US + FORGET_AFTER_US + 1)
    assert not table.holders


def test_a_full_table_evicts_only_holders_whose_lease_has_expired():
    """More balancers send heartbeats than the table can hold. A granted lease must not be removed before it
    expires, so the new balancer gets no lease."""
    table = make_table()
    for number in range(MAX_HOLDERS):
        assert table.on_heartbeat(holder(f"b{number}"), number)
    assert not table.on_heartbeat(holder("late"), MAX_LEASE_US)
    assert len(table.holders) == MAX_HOLDERS and ("late", "1") not in table.holders
    assert table.on_heartbeat(holder("late"), MAX_LEASE_US + 1)
    assert len(table.holders) == MAX_HOLDERS and ("b0", "1") not in table.holders
