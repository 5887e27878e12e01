"""What operators are told of a change, by what control answers."""

import pytest

from orchidgap.control import cli

UNKNOWN = {"state": "unknown", "why": "no such change", "tries": 3}
PROPOSED = {"state": "proposed", "n": 2, "try": 4, "late": [["b1", 900_000], ["b2", 0]], "tries": 4}
DECIDED = {"state": "decided", "n": 2, "now": 2, "lease": 1_000_000, "tries": 4}
REPLACED = DECIDED | {"now": 3}
NOWHERE = {"state": "nowhere", "why": "b1: disk full", "tries": 4}
BUSY = {"state": "busy", "why": "y is proposed", "tries": 4}
UNFIT = {"state": "unfit", "why": "settings must be an object"}
LOST = None


class Script:
    """Control as it answers, one call after another; the last answer again and again."""

    def __init__(self, answers):
        self.answers, self.lost, self.proposals = list(answers), False, []

    def any(self, path, told):
        if path == "/propose":
            self.proposals.append(told["after"])
        said = self.answers.pop(0) if len(self.answers) > 1 else self.answers[0]
        self.lost = self.lost or said is None
        return said


@pytest.mark.parametrize(
    ("answers", "again", "code", "proposals"),
    [
        ([UNKNOWN, PROPOSED, PROPOSED, DECIDED], False, cli.DECIDED, [3]),
        ([PROPOSED, DECIDED], False, cli.DECIDED, []),  # another proposer's call was the same
        ([DECIDED], False, cli.DECIDED, []),
        ([DECIDED], True, cli.DECIDED, []),  # it counts: nothing to decide anew
        ([REPLACED], False, cli.DECIDED, []),
        ([REPLACED, PROPOSED, DECIDED], True, cli.DECIDED, [4]),
        (
            [NOWHERE, PROPOSED, NOWHERE],
            False,
            cli.NOWHERE,
            [4],
        ),  # an earlier no is not this call's
        ([UNKNOWN, BUSY], False, cli.NOWHERE, [3]),
        ([BUSY, BUSY], False, cli.NOWHERE, [4]),
        ([UNKNOWN, UNFIT], False, cli.NOWHERE, [3]),
        (
            [UNKNOWN, LOST, PROPOSED, DECIDED],
            False,
            cli.DECIDED,
            [3, 3],
        ),  # the same call, which counts once
        (
            [UNKNOWN, LOST, NOWHERE],
            False,
            cli.NOWHERE,
            [3, 3],
        ),  # it was heard, and turned down since
        (
            [UNKNOWN, NOWHERE, PROPOSED, DECIDED],
            False,
            cli.DECIDED,
            [3, 4],
        ),  # another's came between
        ([LOST], False, cli.UNKNOWN, []),
        ([UNKNOWN, LOST], False, cli.UNKNOWN, [3]),
    ],
)
def test_what_a_proposer_is_told(answers, again, code, proposals, monkeypatch, capsys):
    monkeypatch.setattr(cli.time, "sleep", lambda seconds: None)
    monkeypatch.setattr(cli.time, "monotonic", iter(range(100)).__next__)
    shell = Script(answers)
    assert cli.propose(shell, "x", {}, again, 8, False) == code
    assert shell.proposals[: len(proposals)] == proposals
    said = capsys.readouterr().out
    assert ("waits for b1 (0.9 s at most), b2 (until" in said) == (PROPOSED in answers)
    assert said.count("waits for") <= 1
