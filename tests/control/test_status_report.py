"""The status output for operators; its texts have been the same in all versions."""

import json

import pytest

from orchidgap.control import cli
from orchidgap.control.messages import StatusAnswer

LEAVING = {
    "name": "b2",
    "life": "1",
    "alone": "leave",
    "runs": 2,
    "promised": 0,
    "refused": 0,
    "why": "",
    "heard": 100_000,
    "until": 900_000,
}
STAYING = LEAVING | {
    "name": "b1",
    "life": "7",
    "alone": "stay",
    "promised": 3,
    "heard": 50_000,
    "until": -9,
}
ONE = {
    "name": "k0",
    "controls": ["k0", "k1", "k2"],
    "lost": False,
    "lease": 1_000_000,
    "disk": "",
    "ballot": [5, "k0"],
    "n": 2,
    "id": "x",
    "stay": {"b1": "7"},
    "past": [
        [1, "w", "decided", ""],
        [0, "v", "nowhere", "b1: disk: full"],
        [2, "x", "decided", ""],
    ],
    "next": {"id": "y", "n": 3, "try": 4},
    "try": 4,
    "late": [["b1", 0]],
    "refused": [],
    "rows": [LEAVING, STAYING | {"promised": 4, "heard": 2_500_000, "until": -5}],
}
# the answer of k1, with the highest ballot and the most recent heartbeat of b1
OTHER = ONE | {
    "name": "k1",
    "ballot": [6, "k1"],
    "late": [["b2", 450_000]],
    "refused": [["b3", "disk: full"]],
    "rows": [STAYING, LEAVING | {"heard": 300_000, "until": 990_000}],
}
# the answer of k2, whose pending balancers are ignored, as it does not have the proposal
WITHOUT_REGISTER = ONE | {
    "name": "k2",
    "lost": True,
    "ballot": [0, ""],
    "n": 0,
    "id": "",
    "stay": {},
    "past": [],
    "next": None,
    "try": 0,
    "late": [["b9", 1]],
    "rows": [],
}
SINGLE_PROCESS = ONE | {"controls": ["k0"], "next": None, "try": 0, "late": [], "rows": []}

TABLE_OF_THREE = """\
version 2 x counts; control: 2 of 3 answer
proposed as version 3: y; waits for b1 (until it is back or struck off), b2 (0.5 s at most)
refused by b3: disk: full
balancer         version promised  alone    heard    lease
b1                     2        3   stay    0.1 s     none
b2                     2           leave    0.1 s    0.9 s
"""
TABLE_OF_ONE = """\
version 2 x counts; control: 1 of 3 answer, too few: leases run out, nothing can be decided
proposed as version 3: y; waits for b1 (until it is back or struck off)
balancer         version promised  alone    heard    lease
b1                     2        4   stay    2.5 s     none
b2                     2           leave    0.1 s    0.9 s
"""
TABLE_OF_A_SINGLE_PROCESS = """\
version 2 x counts; control: 1 of 1 answer
balancer         version promised  alone    heard    lease
"""
HISTORY = """\
w              version 1
v              nowhere: b1: disk: full
x              version 2
"""


class FakeControl:
    """Control processes that return these status answers."""

    def __init__(self, answers):
        self.answers = answers

    def status_of_all(self):
        return [StatusAnswer.from_wire(answer) for answer in self.answers]


@pytest.mark.parametrize(
    ("answers", "table"),
    [
        ([ONE, OTHER, WITHOUT_REGISTER], TABLE_OF_THREE),
        ([ONE], TABLE_OF_ONE),
        ([SINGLE_PROCESS], TABLE_OF_A_SINGLE_PROCESS),
    ],
)
def test_status_and_history_as_text(answers, table, capsys):
    control = FakeControl(answers)
    assert cli.status(control, history_only=False, as_json=False) == 0
    assert capsys.readouterr().out == table
    assert cli.status(control, history_only=True, as_json=False) == 0
    assert capsys.readouterr().out == HISTORY


def test_status_as_json(capsys):
    control = FakeControl([ONE, OTHER, WITHOUT_REGISTER])
    assert cli.status(control, history_only=False, as_json=True) == 0
    expected = {
        "n": 2,
        "id": "x",
        "next": {"id": "y", "n": 3, "try": 4},
        "late": {"b1": 0, "b2": 450_000},
        "refused": {"b3": "disk: full"},
        "control": {"of": 3, "up": 2, "decides": True},
        "lease": 1_000_000,
        "balancers": [STAYING | {"until": -5}, LEAVING],
        "stay": {"b1": "7"},
        "past": ONE["past"],
    }
    # the order of keys must match too
    assert capsys.readouterr().out == json.dumps(expected) + "\n"


def test_without_answers_the_status_is_unknown(capsys):
    assert cli.status(FakeControl([]), history_only=False, as_json=False) == 3
    assert "control does not answer" in capsys.readouterr().out
