"""Rounds of compare-and-set, and who shares them."""

from control_cluster import DOCUMENT

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


def test_hundreds_that_register_at_once_share_rounds(cluster):
    """200 balancers that serve without a quorum start together. One round registers them all, and a proposal
    and an eviction that come behind them don't wait for 200 rounds."""
    process, rounds = cluster.processes["k1"], []
    begin_round = process.proposer.begin_round

    def begin_counted_round(attempts_left):
        begin_round(attempts_left)
        rounds.append(process.proposer.sharing_count)

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
