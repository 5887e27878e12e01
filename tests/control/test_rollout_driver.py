"""The end of a proposal: decided, refused, timed out, or driven by another process."""

from control_cluster import LEASE_US

from orchidgap.control.messages import ChangeState, ProgressAnswer
from orchidgap.control.rollout_driver import RANK_DELAY_US, ProgressPoll
from orchidgap.decisions.leases import PendingMember, Refusal


def hold_lease_and_propose(cluster):
    """Lets b0 hold a lease and k0 propose x, which b0 has not promised."""
    cluster.run(2 * LEASE_US)
    assert all(answer.granted for answer in cluster.request_all_leases("b0"))
    answer = cluster.propose("k0", "x")
    assert answer.state is ChangeState.PROPOSED
    assert [member.name for member in answer.pending_members] == ["b0"]


def events_of_changes(cluster):
    return [(event, fields) for _, event, fields in cluster.log if event.startswith("change ")]


def test_a_change_is_decided_once_all_have_promised(cluster):
    """A balancer holds a lease and promises the proposal. The next poll decides it."""
    hold_lease_and_propose(cluster)
    cluster.request_all_leases("b0", promised=1)
    cluster.run(500_000)
    assert cluster.query_change("k1", "x").state is ChangeState.DECIDED
    assert events_of_changes(cluster) == [("change decided", {"change": "x", "version": 1})]


def test_a_refusal_drops_the_change_with_its_reason(cluster):
    """A balancer that holds a lease refuses. The change is dropped, and its state contains the reason."""
    hold_lease_and_propose(cluster)
    cluster.request_all_leases("b0", refused=1, reason="disk: full")
    cluster.run(500_000)
    answer = cluster.query_change("k1", "x")
    assert (answer.state, answer.reason) == (ChangeState.DROPPED, "b0: disk: full")
    expected = {"change": "x", "version": 0, "why": "b0: disk: full"}
    assert events_of_changes(cluster) == [("change dropped", expected)]


def test_a_change_that_waits_too_long_is_dropped(cluster):
    """A balancer renews its lease and never answers the proposal. After the configured time the change is
    dropped, and the reason contains the balancer's name."""
    hold_lease_and_propose(cluster)
    for _ in range(11):
        cluster.run(LEASE_US // 2)
        cluster.request_all_leases("b0")
    assert cluster.processes["k1"].acceptor.policy.proposal is not None
    for _ in range(3):
        cluster.run(LEASE_US // 2)
        cluster.request_all_leases("b0")
    answer = cluster.query_change("k1", "x")
    assert answer.state is ChangeState.DROPPED
    assert answer.reason == "no promise in time from b0"


def test_another_process_drives_the_proposal_of_a_partitioned_one(cluster):
    """The process that proposed a change is partitioned immediately. The next one by rank drives it later."""
    cluster.run(2 * LEASE_US)
    cluster.request_all_leases("b0")
    assert cluster.propose("k0", "x").state is ChangeState.PROPOSED
    cluster.partitioned = {"k0"}
    cluster.request_all_leases("b0", promised=1)
    cluster.run(RANK_DELAY_US * 3 // 4)
    assert cluster.processes["k1"].acceptor.policy.version == 0
    cluster.run(RANK_DELAY_US * 2)
    assert cluster.processes["k1"].acceptor.policy.version == 1


def test_the_process_that_proposed_a_change_drives_it_immediately(cluster):
    """The first process by rank is partitioned. A change is proposed through the last one, which does not wait
    for the delay of its rank."""
    cluster.run(2 * LEASE_US)
    cluster.partitioned = {"k0"}
    assert cluster.propose("k2", "x").state is ChangeState.PROPOSED
    cluster.run(RANK_DELAY_US * 7 // 10)
    assert {cluster.processes[name].acceptor.policy.version for name in ("k1", "k2")} == {1}


def test_a_process_without_answers_of_a_majority_decides_nothing(cluster):
    """Two processes know of a balancer that has to promise. The third, which proposed the change, does not, and
    is partitioned. It starts no decision, because other processes may know of further balancers."""
    cluster.run(2 * LEASE_US)
    driver = cluster.processes["k0"].driver
    for name in ("k1", "k2"):
        assert cluster.request_lease(name, "b0").granted
    answer = cluster.propose("k0", "x")
    assert answer.state is ChangeState.PROPOSED and not answer.pending_members
    updates = []
    driver.proposer.update = lambda *update: updates.append(update)
    cluster.partitioned = {"k0"}
    cluster.run(3 * RANK_DELAY_US)
    assert not updates


def test_answers_about_another_proposal_do_not_count():
    """One process has the proposal, one has another proposal, one does not answer. Only the first counts."""
    poll = ProgressPoll(7)
    member, refusal = PendingMember("b0", 9), Refusal("b1", "no")
    for number, answers in ((7, (member,)), (8, (PendingMember("b2", 1),))):
        poll.add(
            ProgressAnswer(proposal_number=number, pending_members=answers, refusals=(refusal,))
        )
    poll.add(None)
    assert (poll.answer_count, poll.agreeing_count) == (3, 1)
    assert list(poll.pending_members) == ["b0"] and poll.refusals == {"b1": "no"}
