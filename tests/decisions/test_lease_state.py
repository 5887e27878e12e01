"""Tests of when a balancer may serve, and of its promises."""

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


def test_only_the_proposal_being_written_can_be_promised():
    """A proposal is being written, and is refused. The end of its write makes no promise after that. A promised
    proposal can no longer be refused."""
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


# answers to a balancer: version, proposal number, granted, whether its write ends before the next answer
ANSWERS = st.tuples(st.integers(0, 3), st.integers(0, 3), st.booleans(), st.booleans())


@given(st.sampled_from(OnLostQuorum), st.lists(ANSWERS, max_size=40))
def test_a_balancer_without_a_lease_serves_only_without_a_promise(on_lost_quorum, answers):
    """Versions, proposals, grants and ends of writes arrive in any order. Without a lease a balancer serves
    only if it is registered and has promised nothing. Its version never decreases."""
    lease = LeaseState(on_lost_quorum, 1_000_000)
    now_us = 0
    for version, proposal, granted, written in answers:
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


def test_a_lease_expires_at_its_holder_before_it_does_at_the_acceptor():
    """The holder's clock may run 1% slow and the acceptor's 1% fast. The holder stops serving first."""
    lease = LeaseState(OnLostQuorum.DENY, 1_000_000)
    lease.on_chosen_state(0, 0, False, 50)
    assert lease.expires_at_us == 990_050
    assert lease.permission(990_049) is ServingPermission.LEASE
    assert lease.permission(990_050) is ServingPermission.DENIED


def test_a_delayed_answer_changes_nothing():
    """An answer with version 1 arrives when version 2 is in force. A delayed answer to an earlier heartbeat must
    not shorten the lease."""
    lease = LeaseState(OnLostQuorum.SERVE, 1_000_000)
    lease.on_chosen_state(0, 0, True, 0)
    lease.on_version_adopted(2)
    lease.on_chosen_state(2, 0, True, 700_000)
    for version in (0, 1):
        assert lease.on_chosen_state(version, 9, False, 5_000_000) is NextStep.NONE
    assert lease.on_chosen_state(2, 0, True, 100) is NextStep.NONE
    assert (lease.version, lease.expires_at_us, lease.registered) == (2, 1_690_000, True)


def test_a_higher_version_ends_the_lease_until_it_is_adopted():
    """A balancer has not adopted the version in force. Its lease under the previous version and its registration
    to serve without a quorum both end at once."""
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


def test_a_balancer_that_denies_without_a_quorum_is_not_registered():
    lease = LeaseState(OnLostQuorum.DENY, 1_000_000)
    lease.on_chosen_state(0, 0, True, 0)
    assert lease.permission(2_000_000) is ServingPermission.DENIED
