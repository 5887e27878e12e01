"""What operators are told of a change, by what control answers."""

import pytest

from orchidgap.control import cli
from orchidgap.control.cli import ExitCode
from orchidgap.control.messages import PROPOSE

UNKNOWN = {"state": "unknown", "why": "no such change", "tries": 3}
PROPOSED = {"state": "proposed", "n": 2, "try": 4, "late": [["b1", 900_000], ["b2", 0]], "tries": 4}
DECIDED = {"state": "decided", "n": 2, "now": 2, "lease": 1_000_000, "tries": 4}
REPLACED = DECIDED | {"now": 3}
NOWHERE = {"state": "nowhere", "why": "b1: disk full", "tries": 4}
BUSY = {"state": "busy", "why": "y is proposed", "tries": 4}
UNFIT = {"state": "unfit", "why": "settings must be an object"}
LOST = None


class ScriptedControl:
    """Control as it answers, one call after another; the last answer again and again."""

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
        ([PROPOSED, DECIDED], False, ExitCode.DONE, []),  # another proposer's call was the same
        ([DECIDED], False, ExitCode.DONE, []),
        ([DECIDED], True, ExitCode.DONE, []),  # it counts: nothing to decide anew
        ([REPLACED], False, ExitCode.DONE, []),
        ([REPLACED, PROPOSED, DECIDED], True, ExitCode.DONE, [4]),
        (
            [NOWHERE, PROPOSED, NOWHERE],
            False,
            ExitCode.DROPPED,
            [4],
        ),  # an earlier no is not this call's
        ([UNKNOWN, BUSY], False, ExitCode.DROPPED, [3]),
        ([BUSY, BUSY], False, ExitCode.DROPPED, [4]),
        ([UNKNOWN, UNFIT], False, ExitCode.DROPPED, [3]),
        (
            [UNKNOWN, LOST, PROPOSED, DECIDED],
            False,
            ExitCode.DONE,
            [3, 3],
        ),  # the same call, which counts once
        (
            [UNKNOWN, LOST, NOWHERE],
            False,
            ExitCode.DROPPED,
            [3, 3],
        ),  # it was heard, and turned down since
        (
            [UNKNOWN, NOWHERE, PROPOSED, DECIDED],
            False,
            ExitCode.DONE,
            [3, 4],
        ),  # another's came between
        ([LOST], False, ExitCode.UNKNOWN, []),
        ([UNKNOWN, LOST], False, ExitCode.UNKNOWN, [3]),
    ],
)
def test_what_a_proposer_is_told(answers, again, code, proposals, monkeypatch, capsys):
    """An operator proposes a change. Control answers one call after another: it may know the change from
    before, have another one in the way, refuse it, or not answer, and then the call may have been heard.
    The command must not say that a change is in force or dropped by an answer about an earlier call."""
    monkeypatch.setattr(cli.time, "sleep", lambda seconds: None)
    monkeypatch.setattr(cli.time, "monotonic", iter(range(100)).__next__)
    control = ScriptedControl(answers)
    command = cli.ProposeCommand(control, "x", {}, again, as_json=False)
    assert command.run(8) == code
    assert control.proposals[: len(proposals)] == proposals
    said = capsys.readouterr().out
    assert ("waits for b1 (0.9 s at most), b2 (until" in said) == (PROPOSED in answers)
    assert said.count("waits for") <= 1
