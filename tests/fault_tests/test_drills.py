"""Real processes with faults between them: what is shipped is kept, and each planted defect is caught by its rule."""

from pathlib import Path

import pytest

from orchidgap.fault_tests.commands import play
from orchidgap.fault_tests.plan import read
from orchidgap.fault_tests.planted_defects import DEFECTS

DRILLS = Path(__file__).parents[2] / "drills"
BY_HAND = {"change-forty", "change-every-write"}
SHIPPED = sorted(
    path.stem
    for path in DRILLS.glob("*.toml")
    if path.stem not in BY_HAND and not path.stem.startswith("fleet-")
)
CAUGHT = {
    "skips": ("change-beside", "old stuck"),
    "early": ("change-back-cut", "old"),
    "forgets": ("change-stay-promised", "old stuck"),
    "twice": ("change-beside", "late"),
    "hasty": ("change-disk-full", "undecided"),
    "leaseless": ("change-one-way", "old stuck"),
    "dozes": ("change-stopped-cut", "old"),
    "impatient": ("change-stay-cut", "old stuck"),
    "amnesic": ("change-blackout", "stuck untrue"),
    "blind": ("spread-hot", "uneven"),
    "echoes": ("spread-pool", "uneven"),
}


@pytest.mark.parametrize("name", SHIPPED)
def test_a_shipped_drill_is_kept(name):
    drill = read(str(DRILLS / f"{name}.toml"))
    verdict, town = play(drill)
    assert drill.plan.name == name
    assert verdict["verdict"] == "kept", (town.referee.breaches[:5], town.tails())
    assert verdict["decided"] > 0 or "stay" in name or name.startswith("spread-")


@pytest.mark.parametrize("defect", DEFECTS)
def test_a_planted_defect_is_caught(defect):
    name, rules = CAUGHT[defect]
    verdict, _ = play(read(str(DRILLS / f"{name}.toml")), defect=defect)
    assert verdict["verdict"] == "broken"
    assert any(verdict[rule] for rule in rules.split()), verdict
