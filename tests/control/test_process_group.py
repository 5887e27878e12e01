"""Calls to all control processes at once, the calling one among them."""

from control_cluster import ControlCluster

from orchidgap.control.messages import PROGRESS, SETTLE, EmptyMessage
from orchidgap.control.process_group import ANSWER_TIMEOUT_US


def test_every_process_answers_once_with_its_name(cluster):
    """All three processes are there. Each answers once, the caller too."""
    answers = []
    group = cluster.processes["k1"].group
    group.call_all(PROGRESS, EmptyMessage(), lambda name, answer: answers.append((name, answer)))
    cluster.run(10_000)
    assert sorted(name for name, _ in answers) == ["k0", "k1", "k2"]
    assert all(answer.proposal_number == 0 for _, answer in answers)
    assert (group.names, group.quorum, group.rank) == (["k0", "k1", "k2"], 2, 1)


def test_the_own_process_is_given_no_longer_than_the_others(tmp_path):
    """A process's own acceptor takes too long to answer. That counts as no answer, like another's, and what
    comes late isn't told."""
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


def test_an_own_answer_in_time_is_told_once(tmp_path):
    """A process's own answer comes in time. The time-out that was set beside it tells nothing more."""
    cluster, answers = ControlCluster(tmp_path, 1), []
    cluster.processes["k0"].group.call_all(
        PROGRESS, EmptyMessage(), lambda name, answer: answers.append(name)
    )
    cluster.run(2 * ANSWER_TIMEOUT_US)
    assert answers == ["k0"]
