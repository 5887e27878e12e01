"""Control processes in a cluster: concurrent proposers, a lost register, and a minority."""

from control_cluster import DOCUMENT, LEASE_US

from orchidgap.control.messages import CHANGE, PROPOSE, ChangeRequest, ChangeState, ProposeRequest


def propose_request(change_id):
    return ProposeRequest(
        change_id=change_id, document=DOCUMENT, again=False, known_proposal_count=0
    )


def test_of_two_concurrent_proposals_one_is_pending_and_one_gets_busy(cluster):
    """Two operators propose different changes through two processes at the same time. One is proposed and
    decided. The other is answered as busy, and it has no effect when its call is repeated."""
    answers = {
        change_id: cluster.call(name, PROPOSE, propose_request(change_id))
        for name, change_id in (("k0", "x"), ("k1", "y"))
    }
    cluster.run(4_000_000)
    states = {change_id: answer[0].state for change_id, answer in answers.items()}
    assert set(states.values()) == {ChangeState.BUSY, ChangeState.PROPOSED}
    winner = next(change_id for change_id in states if states[change_id] is ChangeState.PROPOSED)
    cluster.run(3 * LEASE_US)
    answer = cluster.call_and_wait("k2", CHANGE, ChangeRequest(change_id=winner))
    assert answer.state is ChangeState.DECIDED
    assert {process.acceptor.policy.version for process in cluster.processes.values()} == {1}
    loser = "y" if winner == "x" else "x"
    answer = cluster.call_and_wait("k2", PROPOSE, propose_request(loser))
    assert answer.state is ChangeState.UNKNOWN
    assert cluster.processes["k2"].acceptor.policy.proposal is None


def test_a_process_that_lost_its_disk_recovers_under_the_ballot_of_its_own_round(cluster):
    """A process loses its register and recovers it from the others. At the end of its round it observes a
    higher ballot. It adopts the value under the ballot of its round, because under a higher one another value
    may be chosen."""
    answer = cluster.call_and_wait("k0", PROPOSE, propose_request("x"))
    assert answer.state is ChangeState.PROPOSED
    cluster.run(3 * LEASE_US)
    lost = cluster.processes["k0"]
    lost.acceptor.acceptor, lost.acceptor.highest_ballot_count = None, 0
    ballots, begin_round = [], lost.proposer.begin_round

    def begin_recorded_round(attempts_left):
        begin_round(attempts_left)
        if lost.proposer.running:
            ballots.append((lost.acceptor.highest_ballot_count, "k0"))

    on_round_end = lost.proposer.on_round_end

    def observe_higher_ballot(proposer, value, attempts_left):
        lost.acceptor.highest_ballot_count += 7  # as if another proposer had used a higher ballot
        on_round_end(proposer, value, attempts_left)

    lost.proposer.begin_round = begin_recorded_round
    lost.proposer.on_round_end = observe_higher_ballot
    lost.recover_register()
    cluster.run(3_000_000)
    assert not lost.acceptor.has_lost_register and lost.acceptor.accepted_ballot in ballots
    assert lost.acceptor.policy.version == 1
    assert ("k0", "register recovered", {"version": 1}) in cluster.log


def test_a_recovered_process_does_not_adopt_an_older_value(cluster):
    """Two rounds to recover a lost register are in progress. The value of the first is adopted; the second must
    not overwrite promises that the process may have made since."""
    cluster.call_and_wait("k0", PROPOSE, propose_request("x"))
    cluster.run(3 * LEASE_US)
    lost, recovered = cluster.processes["k0"], []
    lost.acceptor.acceptor = None
    recover = lost.acceptor.recover

    def recover_and_count(state):
        recovered.append(state.accepted_ballot)
        recover(state)

    lost.acceptor.recover = recover_and_count
    lost.recover_register()
    lost.recover_register()
    cluster.run(3_000_000)
    assert len(recovered) == 1 and lost.acceptor.policy.version == 1


def test_a_partitioned_process_decides_nothing_and_learns_decisions_afterwards(cluster):
    """One process is partitioned. A change proposed there has no effect. The other two decide a change, which
    the process knows after the partition."""
    cluster.partitioned = {"k0"}
    assert cluster.call_and_wait("k0", PROPOSE, propose_request("x"), 20_000_000) is None
    answer = cluster.call_and_wait("k1", PROPOSE, propose_request("y"))
    assert answer.state is ChangeState.PROPOSED
    cluster.run(3 * LEASE_US)
    cluster.partitioned = set()
    answer = cluster.call_and_wait("k0", CHANGE, ChangeRequest(change_id="y"))
    assert answer.state is ChangeState.DECIDED
    assert cluster.processes["k0"].acceptor.policy.change_id == "y"
