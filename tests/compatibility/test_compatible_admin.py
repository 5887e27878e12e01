"""Operators' lines and their answers, byte for byte as before modules were renamed."""

import json
from pathlib import Path

import exchanges

DATA = Path(__file__).parent / "data"


def test_operators_lines_get_the_recorded_answers(tmp_path):
    """A script that drains a balancer before a deploy would take SUCCESS for FAILURE, or a drained balancer
    for one that serves."""
    recorded = json.loads((DATA / "admin-lines.json").read_text())
    assert exchanges.admin_lines(tmp_path) == recorded
