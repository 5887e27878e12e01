"""The durable acceptor: leases and answers during a write, and slow or failing disks."""

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
    """Starts to write a decision in k0 while b0 holds a lease and has promised; returns k0's answers."""
    cluster.run(2 * LEASE_US)
    assert cluster.request_lease("k0", "b0", promised=1).granted
    cluster.processes["k0"].acceptor.writer = writer
    policy = decide(propose(INITIAL_STATE, "x", DOCUMENT), 1)
    request = AcceptRequest(ballot=(9, "k1"), value=policy_state_to_wire(policy))
    answers = cluster.call("k0", ACCEPT, request)
    cluster.run(0)
    cluster.run(1_000)
    return answers


def test_during_a_write_only_balancers_that_promised_get_leases(cluster):
    """While a decision is written to a slow disk, balancers that promised it get leases and others do not.
    Once the decision is durable, all get leases again."""
    writer = ManualWriter()
    answers = begin_decision(cluster, writer)
    acceptor, now_us = cluster.processes["k0"].acceptor, cluster.loop.now
    assert not answers and acceptor.policy.version == 0
    assert cluster.request_lease("k0", "b0", promised=1, last_answer_at_us=now_us).granted
    assert not cluster.request_lease("k0", "b1").granted
    writer.pending.pop()("")
    assert answers == [AcceptAnswer(accepted=True)] and acceptor.policy.version == 1
    # the same answer contains version 1
    answer = cluster.request_lease("k0", "b1", last_answer_at_us=now_us)
    assert answer.granted and answer.version == 1


def test_after_a_failed_write_only_balancers_that_promised_get_leases(cluster):
    """The write of a decision fails, but a restarted process may still find it on disk. Until then only
    balancers that promised the decision get leases."""
    writer = ManualWriter()
    answers = begin_decision(cluster, writer)
    acceptor, now_us = cluster.processes["k0"].acceptor, cluster.loop.now
    writer.pending.pop()("Input/output error")
    assert answers == [None] and acceptor.disk_state is DiskState.FAILING
    assert not cluster.request_lease("k0", "b1").granted
    assert cluster.request_lease("k0", "b0", promised=1, last_answer_at_us=now_us).granted


def test_calls_queued_behind_a_blocked_disk_time_out(cluster):
    """The disk blocks during a write. Calls that arrive meanwhile time out and do not accumulate; the other
    processes decide without this one."""
    writer = ManualWriter()
    begin_decision(cluster, writer)
    answers = [
        cluster.call("k0", PREPARE, PrepareRequest(ballot=(count, "k1"))) for count in range(10, 14)
    ]
    cluster.run(2_000_000)
    assert answers == [[None]] * 4 and len(writer.pending) == 1
    assert cluster.processes["k0"].acceptor.disk_state is DiskState.SLOW
    request = ProposeRequest(change_id="y", document=DOCUMENT, again=False, known_proposal_count=0)
    assert cluster.call_and_wait("k1", PROPOSE, request).state is ChangeState.PROPOSED


def test_calls_are_written_one_at_a_time(cluster):
    """Two calls arrive at the same time. The second starts when the first is on disk, because a promise made
    during a write would be overwritten by it."""
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


def test_each_change_of_the_disk_state_is_logged_once(cluster):
    """A disk is slow, then fails, then recovers. The log has one line for each state."""
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


def test_an_invalid_value_is_not_accepted(cluster):
    """A caller sends a value without its keys. Under a low ballot it is rejected before it is parsed; under a
    high ballot the register keeps its value."""
    acceptor = cluster.processes["k0"].acceptor
    cluster.call_and_wait("k0", PREPARE, PrepareRequest(ballot=(9, "k1")))
    low = cluster.call_and_wait("k0", ACCEPT, AcceptRequest(ballot=(8, "k1"), value={}))
    assert low == AcceptAnswer(accepted=False)
    state = acceptor.acceptor.state
    with pytest.raises(KeyError):
        cluster.call_and_wait("k0", ACCEPT, AcceptRequest(ballot=(9, "k1"), value={}))
    assert acceptor.acceptor.state == state


def test_a_single_process_with_a_damaged_register_sets_it_aside_and_fails_to_start(tmp_path):
    """The only control process finds a truncated register. It keeps the file for inspection, and fails with a
    message that names the option for a new register."""
    (tmp_path / "k0").mkdir()
    (tmp_path / "k0" / "register").write_text("torn")
    cluster = ControlCluster(tmp_path, 1)
    with pytest.raises(ConfigError, match="--new"):
        cluster.processes["k0"].start(create_if_missing=False)
    assert (tmp_path / "k0" / "register.damaged").read_text() == "torn"
