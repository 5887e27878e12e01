"""Compares the answers to operators' lines byte for byte with records made before modules were renamed."""

import json
from pathlib import Path

import exchanges

DATA = Path(__file__).parent / "data"


def test_operators_lines_get_the_recorded_answers(tmp_path):
    """Otherwise a script that drains a balancer before a deploy would mistake SUCCESS for FAILURE, or a
    drained balancer for a serving one."""
    recorded = json.loads((DATA / "admin-lines.json").read_text())
    assert exchanges.admin_lines(tmp_path) == recorded
