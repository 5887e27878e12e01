"""Leases that an acceptor grants, and for whom a decision waits."""

from orchidgap.decisions.leases import LeaseHolder, LeaseTable
from orchidgap.decisions.policy_rollout import INITIAL_STATE, drop, propose, register_member


def test_a_promise_counts_for_its_own_try_only():
    """A balancer that serves without a quorum has promised a proposal. That is dropped, and the same
    change is proposed again. It has to be promised again, or the balancer would not know of it."""
    table = LeaseTable(1_000_000, -2_000_000)
    table.on_heartbeat(LeaseHolder("b", "1", "stay", 0, 1, 0, "", 0, 0), 0)
    value = register_member(propose(INITIAL_STATE, "x", {}), "b", "1")
    assert table.pending_members(value, 10) == []
    again = propose(drop(value, 1, "b2: no"), "x", {})
    assert again.proposal.proposal_number == 2
    assert table.pending_members(again, 10) == [("b", 1_009_990)]
    assert table.pending_members(again, 2_000_000) == [("b", 0)]
