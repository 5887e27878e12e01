"""Leases as balancers ask for them."""

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


def test_who_hears_no_answer_is_waited_for_no_longer_than_its_lease(cluster):
    """A balancer is heard, and hears no answers. It goes on asking, and gets no further lease that a change
    would have to wait for; once it hears again, it gets one."""
    cluster.run(2 * LEASE_US)
    assert cluster.ask_lease("k0", "b0").granted
    for _ in range(8):
        cluster.run(LEASE_US // 2)
        cluster.ask_lease("k0", "b0")
    assert not cluster.ask_lease("k0", "b0").granted
    holders = cluster.processes["k0"].leases.holders
    assert all(holder.lease_expires_at_us < cluster.loop.now for holder in holders.values())
    assert cluster.ask_lease("k0", "b0", last_answer_at_us=cluster.loop.now).granted


def test_balancers_call_often_while_something_is_proposed(cluster):
    """A change is proposed. Balancers are told to call more often, yet no more often than one control process
    can hear them all; and a balancer that has promised is not sent the document again."""
    cluster.run(2 * LEASE_US)
    quiet = cluster.ask_lease("k0", "b0")
    assert quiet.next_call_us == LEASE_US // CALLS_PER_LEASE and quiet.proposal is None
    assert cluster.propose("k0", "x").state is ChangeState.PROPOSED
    busy = cluster.ask_lease("k0", "b0")
    assert busy.next_call_us == MIN_CALL_INTERVAL_US
    assert busy.proposal.document == DOCUMENT
    assert cluster.ask_lease("k0", "b0", promised=1).proposal == ProposalNotice(
        proposal_number=1, version=1, change_id="x"
    )
    for number in range(100):
        crowded = cluster.ask_lease("k0", f"c{number}")
    assert crowded.next_call_us == 101 * CALL_COST_US


def test_the_document_comes_only_to_who_runs_an_earlier_version(cluster):
    """A version is decided. A balancer that runs the one before is sent it, one that runs it is not."""
    cluster.run(2 * LEASE_US)
    cluster.propose("k0", "x")
    cluster.run(1_000_000)
    assert cluster.ask_lease("k0", "b0", version=0).document == DOCUMENT
    assert cluster.ask_lease("k0", "b1", version=1).document is UNSET


def test_a_balancer_that_ends_is_waited_for_no_more(cluster):
    """A balancer that serves without a quorum holds a change up. It ends and says so: it is registered no
    more, and the change is decided."""
    cluster.run(2 * LEASE_US)
    member = MemberRequest(name="b0", incarnation="1")
    assert cluster.ask("k0", REGISTER, member, 200_000) == EmptyMessage()
    cluster.propose("k0", "x")
    cluster.run(LEASE_US)
    pending = cluster.query_change("k0", "x").pending_members
    assert [(pending_one.name, pending_one.time_remaining_us) for pending_one in pending] == [
        ("b0", 0)
    ]
    assert cluster.ask("k0", DEREGISTER, member, 0) == EmptyMessage()
    cluster.run(1_000_000)
    assert cluster.query_change("k0", "x").state is ChangeState.DECIDED


def test_long_texts_are_cut(cluster):
    """Some caller sends texts beyond bounds. What is kept of them is bounded."""
    cluster.ask_lease("k0", "b" * 1_000, refused=1, reason="r" * 1_000)
    (holder,) = cluster.processes["k0"].leases.holders.values()
    assert (len(holder.name), len(holder.refusal_reason)) == (MAX_NAME_CHARS, MAX_REASON_CHARS)
