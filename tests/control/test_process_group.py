"""Calls to all control processes, including the calling one."""

from control_cluster import ControlCluster

from orchidgap.control.messages import PROGRESS, SETTLE, EmptyMessage
from orchidgap.control.process_group import ANSWER_TIMEOUT_US


def test_every_process_answers_once_with_its_name(cluster):
    """All three processes are available. Each answers once, including the caller."""
    answers = []
    group = cluster.processes["k1"].group
    group.call_all(PROGRESS, EmptyMessage(), lambda name, answer: answers.append((name, answer)))
    cluster.run(10_000)
    assert sorted(name for name, _ in answers) == ["k0", "k1", "k2"]
    assert all(answer.proposal_number == 0 for _, answer in answers)
    assert (group.names, group.quorum, group.rank) == (["k0", "k1", "k2"], 2, 1)


def test_a_call_to_the_own_process_has_the_same_timeout(tmp_path):
    """A process's own acceptor takes too long to answer. That counts as no answer, as for another process, and
    the late answer is ignored."""
    cluster = ControlCluster(tmp_path, 1)
    pending, answers = [], []
    process = cluster.processes["k0"]
    process.server.add_handler(SETTLE, lambda request, on_answer: pending.append(on_answer))
    process.group.call_all(SETTLE, EmptyMessage(), lambda name, answer: answers.append(answer))
    cluster.run(ANSWER_TIMEOUT_US - 1)
    assert not answers
    cluster.run(2)
    assert answers == [None]
    pending.pop()(EmptyMessage())
    cluster.run(2 * ANSWER_TIMEOUT_US)
    assert answers == [None]


def test_an_own_answer_in_time_is_reported_once(tmp_path):
    """A process's own answer arrives in time. The timeout of the call does not report a second result."""
    cluster, answers = ControlCluster(tmp_path, 1), []
    cluster.processes["k0"].group.call_all(
        PROGRESS, EmptyMessage(), lambda name, answer: answers.append(name)
    )
    cluster.run(2 * ANSWER_TIMEOUT_US)
    assert answers == ["k0"]
