"""The output of the command line for the answers of control."""

import json
import subprocess
import sys
from types import SimpleNamespace

import pytest

from orchidgap.control import cli
from orchidgap.control.cli import ExitCode
from orchidgap.control.messages import (
    CHANGE,
    EVICT,
    PROPOSE,
    STATUS,
    EvictAnswer,
    MemberRequest,
)

UNKNOWN = {"state": "unknown", "why": "no such change", "tries": 3}
PROPOSED = {"state": "proposed", "n": 2, "try": 4, "late": [["b1", 900_000], ["b2", 0]], "tries": 4}
DECIDED = {"state": "decided", "n": 2, "now": 2, "lease": 1_000_000, "tries": 4}
REPLACED = DECIDED | {"now": 3}
NOWHERE = {"state": "nowhere", "why": "b1: disk full", "tries": 4}
BUSY = {"state": "busy", "why": "y is proposed", "tries": 4}
UNFIT = {"state": "unfit", "why": "settings must be an object"}
LOST = None


class ScriptedControl:
    """Answers calls with a list of answers in order; the last one is repeated."""

    def __init__(self, answers):
        self.answers = list(answers)
        self.answer_lost = False
        self.proposals = []

    def call_any(self, method, request):
        if method is PROPOSE:
            self.proposals.append(request.known_proposal_count)
        wire = self.answers.pop(0) if len(self.answers) > 1 else self.answers[0]
        self.answer_lost = self.answer_lost or wire is None
        return wire and method.answer_type.from_wire(wire)


@pytest.mark.parametrize(
    ("answers", "again", "code", "proposals"),
    [
        ([UNKNOWN, PROPOSED, PROPOSED, DECIDED], False, ExitCode.DONE, [3]),
        ([PROPOSED, DECIDED], False, ExitCode.DONE, []),  # proposed by another operator
        ([DECIDED], False, ExitCode.DONE, []),
        ([DECIDED], True, ExitCode.DONE, []),  # already in force, so it is not proposed again
        ([REPLACED], False, ExitCode.DONE, []),
        ([REPLACED, PROPOSED, DECIDED], True, ExitCode.DONE, [4]),
        (
            [NOWHERE, PROPOSED, NOWHERE],
            False,
            ExitCode.DROPPED,
            [4],
        ),  # the first "nowhere" is the result of an earlier proposal
        ([UNKNOWN, BUSY], False, ExitCode.DROPPED, [3]),
        ([BUSY, BUSY], False, ExitCode.DROPPED, [4]),
        ([UNKNOWN, UNFIT], False, ExitCode.DROPPED, [3]),
        (
            [UNKNOWN, LOST, PROPOSED, DECIDED],
            False,
            ExitCode.DONE,
            [3, 3],
        ),  # the request is resent and applied once
        (
            [UNKNOWN, LOST, NOWHERE],
            False,
            ExitCode.DROPPED,
            [3, 3],
        ),  # the request was processed, and the change was dropped since
        (
            [UNKNOWN, NOWHERE, PROPOSED, DECIDED],
            False,
            ExitCode.DONE,
            [3, 4],
        ),  # another proposal was made in between
        # a call had no answer before anything was proposed: a "nowhere" is still about an earlier one
        ([LOST, NOWHERE, NOWHERE, PROPOSED, DECIDED], False, ExitCode.DONE, [4, 4]),
        ([LOST], False, ExitCode.UNKNOWN, []),
        ([UNKNOWN, LOST], False, ExitCode.UNKNOWN, [3]),
    ],
)
def test_result_and_proposals_of_a_change(answers, again, code, proposals, monkeypatch, capsys):
    """An operator proposes a change. Control may know the change from before, be busy with another one, refuse
    it, or not answer although the call was processed. The command must not report a change as in force or
    dropped because of an answer about an earlier proposal."""
    monkeypatch.setattr(cli.time, "sleep", lambda seconds: None)
    monkeypatch.setattr(cli.time, "monotonic", iter(range(100)).__next__)
    control = ScriptedControl(answers)
    command = cli.ProposeCommand(control, "x", {}, again, as_json=False)
    assert command.run(8) == code
    assert control.proposals[: len(proposals)] == proposals
    output = capsys.readouterr().out
    assert ("waits for b1 (0.9 s at most), b2 (until" in output) == (PROPOSED in answers)
    assert output.count("waits for") <= 1


def test_with_json_only_the_result_is_printed(monkeypatch, capsys):
    monkeypatch.setattr(cli.time, "sleep", lambda seconds: None)
    control = ScriptedControl([UNKNOWN, PROPOSED, DECIDED])
    assert cli.ProposeCommand(control, "x", {}, False, as_json=True).run(8) == ExitCode.DONE
    assert json.loads(capsys.readouterr().out) == {"id": "x"} | DECIDED


class FakeProcess:
    """One control process with a fixed answer; None if it is unavailable."""

    def __init__(self, answer):
        self.answer = answer
        self.count = 0

    def call_and_wait(self, method, request):
        self.count += 1
        return self.answer


def test_a_process_that_does_not_answer_is_called_last_from_then_on():
    """The first of two control processes is unavailable. Each call to it takes seconds, so it is called once."""
    unavailable, available = FakeProcess(None), FakeProcess("answer")
    client = cli.ControlClient([])
    client.clients = [unavailable, available]
    assert client.call_any(CHANGE, None) == "answer" and client.answer_lost
    assert client.call_any(CHANGE, None) == "answer"
    assert (unavailable.count, available.count) == (1, 2)
    client.clients = [unavailable]
    assert client.call_any(CHANGE, None) is None


class FakeRegistration:
    """Control in which b1 is registered to serve without a quorum; evictions may be unanswered."""

    def __init__(self, answer):
        self.answer = answer
        self.evictions = []

    def call_any(self, method, request):
        if method is STATUS:
            return SimpleNamespace(members_without_quorum={"b1": "7"})
        self.evictions.append((method, request))
        return self.answer


@pytest.mark.parametrize(
    ("name", "answer", "code", "text", "count"),
    [
        ("b1", EvictAnswer(evicted=True), ExitCode.DONE, "b1 struck off: no change", 1),
        ("b1", EvictAnswer(evicted=False), ExitCode.DROPPED, "b1 is not among those", 1),
        ("b1", None, ExitCode.UNKNOWN, "not known: control does not answer", 1),
        ("b2", None, ExitCode.DROPPED, "b2 is not among those", 0),
    ],
)
def test_only_a_registered_process_is_evicted(name, answer, code, text, count, capsys):
    control = FakeRegistration(answer)
    assert cli.evict(control, name, as_json=False) == code
    assert capsys.readouterr().out.startswith(text)
    assert control.evictions == [(EVICT, MemberRequest(name=name, incarnation="7"))] * count


def test_commands_do_not_import_the_balancer():
    """A command that starts slowly on a busy machine is too late: control has dropped the change before."""
    check = (
        "import sys, orchidgap.__main__, orchidgap.commands, orchidgap.control.cli; "
        "balancer = ('orchidgap.net.node', 'orchidgap.net.config', 'orchidgap.decisions.balancer'); "
        "sys.exit(', '.join(name for name in balancer if name in sys.modules) or 0)"
    )
    ended = subprocess.run([sys.executable, "-c", check], timeout=30, stderr=subprocess.PIPE)
    assert (ended.returncode, ended.stderr) == (0, b"")
