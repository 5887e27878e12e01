"""When a balancer may serve, and what it has promised."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from orchidgap.decisions.lease_state import (
    LeaseState,
    NextStep,
    PromisePhase,
    ServingPermission,
)
from orchidgap.decisions.leases import OnLostQuorum


def test_a_promise_is_given_only_for_what_was_written():
    """A proposal is checked, refused and dropped. Whoever says afterwards that it is on the disk gives no
    promise; one that is promised cannot be refused any more."""
    lease = LeaseState(OnLostQuorum.DENY, 1_000_000)
    lease.on_chosen_state(0, 1, False, 0)
    lease.on_write_started(1)
    lease.refuse(1, "disk full")
    assert not lease.on_promise_durable(1)
    assert lease.promise_phase is PromisePhase.NONE
    lease.on_write_started(2)
    assert lease.on_promise_durable(2)
    with pytest.raises(KeyError):
        lease.refuse(2, "too late")


# what a balancer hears: version, proposal number, granted, whether its write ends before the next one
HEARD = st.tuples(st.integers(0, 3), st.integers(0, 3), st.booleans(), st.booleans())


@given(st.sampled_from(OnLostQuorum), st.lists(HEARD, max_size=40))
def test_a_balancer_serves_by_a_lease_or_without_any_promise(on_lost_quorum, heard):
    """Versions, proposals, grants and ends of writes come in any order. Without a lease a balancer serves
    only if it is registered and has promised nothing; its version never goes down."""
    lease = LeaseState(on_lost_quorum, 1_000_000)
    now_us = 0
    for version, proposal, granted, written in heard:
        before = lease.version
        now_us += 600_000
        step = lease.on_chosen_state(version, proposal, True, now_us, granted)
        if step is NextStep.ADOPT_VERSION:
            assert version > before and lease.permission(now_us) is not ServingPermission.LEASE
            lease.on_version_adopted(version)
            step = lease.on_chosen_state(version, proposal, True, now_us, granted)
            assert step is not NextStep.ADOPT_VERSION
        if step is NextStep.CHECK_PROPOSAL:
            assert lease.promise_phase is PromisePhase.NONE
            lease.on_write_started(proposal)
        if written and lease.writing_proposal:
            assert lease.on_promise_durable(lease.writing_proposal)
        assert lease.version >= before
        permission = lease.permission(now_us)
        assert (permission is ServingPermission.LEASE) == (now_us < lease.expires_at_us)
        if permission is ServingPermission.WITHOUT_QUORUM:
            assert on_lost_quorum is OnLostQuorum.SERVE and not lease.promised_proposal


def test_a_lease_is_shorter_at_its_holder_than_at_the_acceptor():
    """The holder's clock may run 1% slow and the acceptor's 1% fast: the holder stops first."""
    lease = LeaseState(OnLostQuorum.DENY, 1_000_000)
    lease.on_chosen_state(0, 0, False, 50)
    assert lease.expires_at_us == 990_050
    assert lease.permission(990_049) is ServingPermission.LEASE
    assert lease.permission(990_050) is ServingPermission.DENIED


def test_an_old_answer_changes_nothing():
    """An answer of version 1 comes late, when version 2 is in force, and an answer to an earlier heartbeat
    must not shorten the lease."""
    lease = LeaseState(OnLostQuorum.SERVE, 1_000_000)
    lease.on_chosen_state(0, 0, True, 0)
    lease.on_version_adopted(2)
    lease.on_chosen_state(2, 0, True, 700_000)
    for version in (0, 1):
        assert lease.on_chosen_state(version, 9, False, 5_000_000) is NextStep.NONE
    assert lease.on_chosen_state(2, 0, True, 100) is NextStep.NONE
    assert (lease.version, lease.expires_at_us, lease.registered) == (2, 1_690_000, True)


def test_a_higher_version_ends_the_lease_until_it_is_adopted():
    """A balancer cannot adopt the version in force. It has a lease under the one before, and is registered
    to serve without a quorum: both end at once."""
    lease = LeaseState(OnLostQuorum.SERVE, 1_000_000)
    lease.on_chosen_state(0, 0, True, 0)
    assert lease.on_chosen_state(1, 0, True, 10) is NextStep.ADOPT_VERSION
    assert lease.permission(20) is ServingPermission.DENIED


def test_a_refused_proposal_is_not_checked_again():
    lease = LeaseState(OnLostQuorum.DENY, 1_000_000)
    assert lease.on_chosen_state(0, 4, False, 0) is NextStep.CHECK_PROPOSAL
    lease.on_write_started(4)
    assert lease.on_chosen_state(0, 4, False, 10) is NextStep.NONE
    lease.refuse(4, "disk full")
    assert lease.on_chosen_state(0, 4, False, 20) is NextStep.NONE
    assert lease.on_chosen_state(0, 5, False, 30) is NextStep.CHECK_PROPOSAL


def test_who_denies_without_a_quorum_is_not_registered():
    lease = LeaseState(OnLostQuorum.DENY, 1_000_000)
    lease.on_chosen_state(0, 0, True, 0)
    assert lease.permission(2_000_000) is ServingPermission.DENIED
