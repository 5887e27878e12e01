"""An acceptor with its disk: what it grants and answers beside a write, and what becomes of a bad disk."""

import pytest
from control_cluster import DOCUMENT, LEASE_US, ControlCluster, ManualWriter

from orchidgap.control.messages import (
    ACCEPT,
    PREPARE,
    PROPOSE,
    AcceptAnswer,
    AcceptRequest,
    ChangeState,
    DiskState,
    PrepareRequest,
    ProposeRequest,
    policy_state_to_wire,
)
from orchidgap.decisions.policy_rollout import INITIAL_STATE, decide, propose
from orchidgap.errors import ConfigError


def begin_decision(cluster, writer):
    """k0 has a decision on its way to that disk; b0 has promised, and holds a lease. Its answers to come."""
    cluster.run(2 * LEASE_US)
    assert cluster.ask_lease("k0", "b0", promised=1).granted
    cluster.processes["k0"].acceptor.writer = writer
    policy = decide(propose(INITIAL_STATE, "x", DOCUMENT), 1)
    request = AcceptRequest(ballot=(9, "k1"), value=policy_state_to_wire(policy))
    answers = cluster.call("k0", ACCEPT, request)
    cluster.run(0)
    cluster.run(1_000)
    return answers


def test_leases_go_on_beside_a_write_for_those_who_are_prepared_for_it(cluster):
    """A decision is on its way to a slow disk. Who has promised it gets leases meanwhile, who hasn't gets
    none; once it is durable, all get leases again."""
    writer = ManualWriter()
    answers = begin_decision(cluster, writer)
    acceptor, now_us = cluster.processes["k0"].acceptor, cluster.loop.now
    assert not answers and acceptor.policy.version == 0
    assert cluster.ask_lease("k0", "b0", promised=1, last_answer_at_us=now_us).granted
    assert not cluster.ask_lease("k0", "b1").granted
    writer.pending.pop()("")
    assert answers == [AcceptAnswer(accepted=True)] and acceptor.policy.version == 1
    # it is told of version 1 in the same answer
    answer = cluster.ask_lease("k0", "b1", last_answer_at_us=now_us)
    assert answer.granted and answer.version == 1


def test_a_write_that_failed_may_be_there_all_the_same(cluster):
    """The write of a decision fails. The next process may find it on the disk: until then nobody gets a
    lease who isn't prepared for it."""
    writer = ManualWriter()
    answers = begin_decision(cluster, writer)
    acceptor, now_us = cluster.processes["k0"].acceptor, cluster.loop.now
    writer.pending.pop()("Input/output error")
    assert answers == [None] and acceptor.disk_state is DiskState.FAILING
    assert not cluster.ask_lease("k0", "b1").granted
    assert cluster.ask_lease("k0", "b0", promised=1, last_answer_at_us=now_us).granted


def test_what_waits_for_a_disk_that_stands_still_is_given_up(cluster):
    """A disk stands still under a write. What is asked meanwhile is answered with no answer, and doesn't
    pile up; the other processes decide without this one."""
    writer = ManualWriter()
    begin_decision(cluster, writer)
    answers = [
        cluster.call("k0", PREPARE, PrepareRequest(ballot=(count, "k1"))) for count in range(10, 14)
    ]
    cluster.run(2_000_000)
    assert answers == [[None]] * 4 and len(writer.pending) == 1
    assert cluster.processes["k0"].acceptor.disk_state is DiskState.SLOW
    request = ProposeRequest(change_id="y", document=DOCUMENT, again=False, known_proposal_count=0)
    assert cluster.ask("k1", PROPOSE, request).state is ChangeState.PROPOSED


def test_one_call_is_written_after_another(cluster):
    """Two calls come at the same moment. The second begins when the first is on the disk: a promise made beside
    a write would be overwritten by it."""
    acceptor, writer = cluster.processes["k0"].acceptor, ManualWriter()
    acceptor.writer = writer
    answers = [
        cluster.call("k0", PREPARE, PrepareRequest(ballot=(count, "k1"))) for count in (30, 31)
    ]
    cluster.run(1_000)
    assert answers == [[], []] and len(writer.pending) == 1
    writer.pending.pop()("")
    assert answers[0][0].promised_ballot == (30, "k1") and not answers[1]
    writer.pending.pop()("")
    assert answers[1][0].promised_ballot == (31, "k1")
    assert acceptor.acceptor.state.promised_ballot == (31, "k1")


def test_a_disk_s_troubles_are_logged_once_each(cluster):
    """A disk is slow, then fails, then is sound again. The log has one line for each."""
    writer = ManualWriter()
    begin_decision(cluster, writer)
    cluster.run(1_000_000)
    acceptor = cluster.processes["k0"].acceptor
    writer.pending.pop()("Input/output error")
    for ballot in ((20, "k1"), (21, "k1")):
        cluster.call("k0", PREPARE, PrepareRequest(ballot=ballot))
        cluster.run(1_000)
        writer.pending.pop()("")
    events = [event for name, event, _ in cluster.log if name == "k0" and "disk" in event]
    assert events == ["disk slow", "disk failing", "disk recovered"]
    assert acceptor.disk_state is DiskState.HEALTHY


def test_a_value_that_cannot_be_read_is_not_accepted(cluster):
    """Some caller sends a value without its keys. Under a low ballot it is refused unread; under a high one
    the register keeps what it has."""
    acceptor = cluster.processes["k0"].acceptor
    cluster.ask("k0", PREPARE, PrepareRequest(ballot=(9, "k1")))
    low = cluster.ask("k0", ACCEPT, AcceptRequest(ballot=(8, "k1"), value={}))
    assert low == AcceptAnswer(accepted=False)
    state = acceptor.acceptor.state
    with pytest.raises(KeyError):
        cluster.ask("k0", ACCEPT, AcceptRequest(ballot=(9, "k1"), value={}))
    assert acceptor.acceptor.state == state


def test_a_damaged_register_is_set_aside_and_a_lone_process_says_so(tmp_path):
    """The only control process finds a torn register. It keeps the file for whoever looks, and ends with a
    line that tells how to begin anew."""
    (tmp_path / "k0").mkdir()
    (tmp_path / "k0" / "register").write_text("torn")
    cluster = ControlCluster(tmp_path, 1)
    with pytest.raises(ConfigError, match="--new"):
        cluster.processes["k0"].start(create_if_missing=False)
    assert (tmp_path / "k0" / "register.damaged").read_text() == "torn"
