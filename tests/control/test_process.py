"""Whole control processes: two proposers at once, a lost disk, a minority."""

from control_cluster import DOCUMENT, LEASE_US

from orchidgap.control.messages import CHANGE, PROPOSE, ChangeRequest, ChangeState, ProposeRequest


def propose_request(change_id):
    return ProposeRequest(
        change_id=change_id, document=DOCUMENT, again=False, known_proposal_count=0
    )


def test_two_proposers_at_once_make_one_change_and_one_busy(cluster):
    """Two operators propose different changes through two processes at the same moment. One is proposed and
    decided; the other is told that it isn't in force, and stays so when its call comes once more."""
    answers = {
        change_id: cluster.call(name, PROPOSE, propose_request(change_id))
        for name, change_id in (("k0", "x"), ("k1", "y"))
    }
    cluster.run(4_000_000)
    states = {change_id: answer[0].state for change_id, answer in answers.items()}
    assert set(states.values()) == {ChangeState.BUSY, ChangeState.PROPOSED}
    winner = next(change_id for change_id in states if states[change_id] is ChangeState.PROPOSED)
    cluster.run(3 * LEASE_US)
    answer = cluster.ask("k2", CHANGE, ChangeRequest(change_id=winner))
    assert answer.state is ChangeState.DECIDED
    assert {process.acceptor.policy.version for process in cluster.processes.values()} == {1}
    loser = "y" if winner == "x" else "x"
    answer = cluster.ask("k2", PROPOSE, propose_request(loser))
    assert answer.state is ChangeState.UNKNOWN
    assert cluster.processes["k2"].acceptor.policy.proposal is None


def test_a_process_that_lost_its_disk_recovers_under_the_ballot_of_its_own_round(cluster):
    """A process loses its register, and asks the others for it. While its round ends it hears of a higher
    ballot. It takes the value up under its round's ballot: under a higher one something else may be chosen."""
    answer = cluster.ask("k0", PROPOSE, propose_request("x"))
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
        lost.acceptor.highest_ballot_count += 7  # as another proposer's ballot would have it
        on_round_end(proposer, value, attempts_left)

    lost.proposer.begin_round = begin_recorded_round
    lost.proposer.on_round_end = observe_higher_ballot
    lost.recover_register()
    cluster.run(3_000_000)
    assert not lost.acceptor.has_lost_register and lost.acceptor.accepted_ballot in ballots
    assert lost.acceptor.policy.version == 1
    assert ("k0", "register recovered", {"version": 1}) in cluster.log


def test_a_process_that_has_recovered_takes_up_nothing_older(cluster):
    """Two rounds are under way to get a lost register back. The first one's value is taken up; the second's
    must not overwrite what the process may have promised since."""
    cluster.ask("k0", PROPOSE, propose_request("x"))
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


def test_a_minority_decides_nothing_and_what_was_decided_without_it_reaches_it(cluster):
    """One process is cut off. A change that is proposed there comes to nothing; the other two decide one,
    and the process knows it when it is back."""
    cluster.partitioned = {"k0"}
    assert cluster.ask("k0", PROPOSE, propose_request("x"), 20_000_000) is None
    answer = cluster.ask("k1", PROPOSE, propose_request("y"))
    assert answer.state is ChangeState.PROPOSED
    cluster.run(3 * LEASE_US)
    cluster.partitioned = set()
    answer = cluster.ask("k0", CHANGE, ChangeRequest(change_id="y"))
    assert answer.state is ChangeState.DECIDED
    assert cluster.processes["k0"].acceptor.policy.change_id == "y"
