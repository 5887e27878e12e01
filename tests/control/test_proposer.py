"""Rounds of compare-and-set: batches and retries."""

from control_cluster import DOCUMENT, LEASE_US

from orchidgap.control.messages import (
    EVICT,
    PROPOSE,
    REGISTER,
    ChangeState,
    EmptyMessage,
    EvictAnswer,
    MemberRequest,
    ProposeRequest,
)
from orchidgap.decisions.policy_rollout import decide


def test_hundreds_of_registrations_share_a_round(cluster):
    """200 balancers that serve without a quorum start together. One round registers all of them, so a proposal
    and an eviction that are queued behind them do not wait for 200 rounds."""
    process, rounds = cluster.processes["k1"], []
    begin_round = process.proposer.begin_round

    def begin_counted_round(attempts_left):
        begin_round(attempts_left)
        rounds.append(process.proposer.batch_size)

    process.proposer.begin_round = begin_counted_round
    registered = [
        cluster.call("k1", REGISTER, MemberRequest(name=f"b{number}", incarnation="1"))
        for number in range(200)
    ]
    request = ProposeRequest(change_id="x", document=DOCUMENT, again=False, known_proposal_count=0)
    proposed = cluster.call("k1", PROPOSE, request)
    evicted = cluster.call("k1", EVICT, MemberRequest(name="b7", incarnation="1"))
    cluster.run(5_000_000)
    assert registered == [[EmptyMessage()]] * 200
    assert proposed[0].state is ChangeState.PROPOSED
    assert evicted == [EvictAnswer(evicted=True)]
    assert len(process.acceptor.policy.members_without_quorum) == 199
    assert [count for count in rounds if count > 1] == [200]


def count_rounds(process):
    """Returns a list in which the attempts left of each further round are recorded."""
    rounds, begin_round = [], process.proposer.begin_round

    def begin_recorded_round(attempts_left):
        begin_round(attempts_left)
        if process.proposer.running:
            rounds.append(attempts_left)

    process.proposer.begin_round = begin_recorded_round
    return rounds


def test_a_decision_that_waits_for_a_balancer_is_not_retried(cluster):
    """A decision is proposed before a balancer has promised. No acceptor accepts it, and another round would
    wait for the same balancer, so the update ends with the first round."""
    cluster.run(2 * LEASE_US)
    cluster.request_all_leases("b0")
    cluster.propose("k0", "x")
    process, values = cluster.processes["k1"], []
    rounds = count_rounds(process)
    process.proposer.update(lambda policy: decide(policy, 1), values.append)
    cluster.run(1_500_000)
    assert values == [None] and len(rounds) == 1
    assert process.acceptor.policy.version == 0


def test_a_failed_round_is_retried_a_limited_number_of_times(cluster):
    """A process is partitioned. Its update is tried six times, then its result is reported as unknown."""
    process, values = cluster.processes["k1"], []
    cluster.run(100_000)
    rounds = count_rounds(process)
    cluster.partitioned = {"k1"}
    process.proposer.update(lambda policy: policy, values.append)
    cluster.run(20_000_000)
    assert values == [None] and rounds == [6, 5, 4, 3, 2, 1]
