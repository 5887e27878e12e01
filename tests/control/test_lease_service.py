"""Leases and registration of balancers."""

from control_cluster import DOCUMENT, LEASE_US
from msgspec import UNSET

from orchidgap.control.lease_service import (
    CALL_COST_US,
    CALLS_PER_LEASE,
    MAX_NAME_CHARS,
    MAX_REASON_CHARS,
    MIN_CALL_INTERVAL_US,
)
from orchidgap.control.messages import (
    DEREGISTER,
    REGISTER,
    ChangeState,
    EmptyMessage,
    MemberRequest,
    ProposalNotice,
)


def test_a_balancer_that_receives_no_answers_gets_no_further_lease(cluster):
    """The heartbeats of a balancer arrive, but it receives no answers. It gets no further lease, for which a
    change would have to wait, until it receives answers again."""
    cluster.run(2 * LEASE_US)
    assert cluster.request_lease("k0", "b0").granted
    for _ in range(8):
        cluster.run(LEASE_US // 2)
        cluster.request_lease("k0", "b0")
    assert not cluster.request_lease("k0", "b0").granted
    holders = cluster.processes["k0"].leases.holders
    assert all(holder.lease_expires_at_us < cluster.loop.now for holder in holders.values())
    assert cluster.request_lease("k0", "b0", last_answer_at_us=cluster.loop.now).granted


def test_balancers_call_often_while_a_proposal_is_pending(cluster):
    """A change is proposed. Balancers have to call more often, but only as often as one control process can
    handle, and a balancer that has promised does not receive the document again."""
    cluster.run(2 * LEASE_US)
    idle = cluster.request_lease("k0", "b0")
    assert idle.next_call_us == LEASE_US // CALLS_PER_LEASE and idle.proposal is None
    assert cluster.propose("k0", "x").state is ChangeState.PROPOSED
    busy = cluster.request_lease("k0", "b0")
    assert busy.next_call_us == MIN_CALL_INTERVAL_US
    assert busy.proposal.document == DOCUMENT
    assert cluster.request_lease("k0", "b0", promised=1).proposal == ProposalNotice(
        proposal_number=1, version=1, change_id="x"
    )
    for number in range(100):
        crowded = cluster.request_lease("k0", f"c{number}")
    assert crowded.next_call_us == 101 * CALL_COST_US


def test_only_balancers_with_an_earlier_version_receive_the_document(cluster):
    """A version is decided. A balancer with the previous version receives it, one with this version does not."""
    cluster.run(2 * LEASE_US)
    cluster.propose("k0", "x")
    cluster.run(1_000_000)
    assert cluster.request_lease("k0", "b0", version=0).document == DOCUMENT
    assert cluster.request_lease("k0", "b1", version=1).document is UNSET


def test_no_change_waits_for_a_deregistered_balancer(cluster):
    """A change waits for a balancer that serves without a quorum. The balancer deregisters at its shutdown, and
    the change is decided."""
    cluster.run(2 * LEASE_US)
    member = MemberRequest(name="b0", incarnation="1")
    assert cluster.call_and_wait("k0", REGISTER, member, 200_000) == EmptyMessage()
    cluster.propose("k0", "x")
    cluster.run(LEASE_US)
    pending = cluster.query_change("k0", "x").pending_members
    assert [(pending_one.name, pending_one.time_remaining_us) for pending_one in pending] == [
        ("b0", 0)
    ]
    assert cluster.call_and_wait("k0", DEREGISTER, member, 0) == EmptyMessage()
    cluster.run(1_000_000)
    assert cluster.query_change("k0", "x").state is ChangeState.DECIDED


def test_long_strings_are_truncated(cluster):
    """A caller sends strings over the limits. Only a bounded part of them is stored."""
    cluster.request_lease("k0", "b" * 1_000, refused=1, reason="r" * 1_000)
    (holder,) = cluster.processes["k0"].leases.holders.values()
    assert (len(holder.name), len(holder.refusal_reason)) == (MAX_NAME_CHARS, MAX_REASON_CHARS)
