"""The command `drill`."""

from __future__ import annotations

import shutil
import sys
import tempfile
from collections.abc import Mapping
from pathlib import Path
from typing import Any

import orjson
from msgspec.structs import replace

from orchidgap.errors import ScenarioError
from orchidgap.fault_tests.cluster import Town
from orchidgap.fault_tests.plan import Drill, read
from orchidgap.fault_tests.planted_defects import DEFECTS
from orchidgap.simulation.baselines import KINDS
from orchidgap.simulation.plan import MAX_BALANCERS

SHOWN = 12  # breaches told on the screen


def main(told: Mapping[str, Any]) -> int:
    """Takes what docopt read; gives the exit code: 1 where a rule broke, 2 for a bad plan."""
    try:
        drill = read(told["PLAN"])
        seed, count = (whole(told, name) for name in ("--seed", "--balancers"))
        if count is not None:
            drill = of_size(drill, count)
        defect, policy = told["--defect"] or "", told["--policy"]
        if defect and defect not in DEFECTS:
            raise ScenarioError(f"no defect {defect!r}: one of {', '.join(DEFECTS)}")
        if policy != "orchidgap" and (policy not in KINDS or drill.control.count or defect):
            raise ScenarioError(
                f"--policy={policy}: one of {', '.join(KINDS)}, without control and defects"
            )
    except ScenarioError as trouble:
        print(f"orchidgap: {trouble}", file=sys.stderr)
        return 2
    verdict, town = play(
        drill,
        seed,
        defect,
        Path(told["--out"]) if told["--out"] else None,
        told["--disk"] or "",
        policy,
    )
    for rule, at, text in town.referee.breaches[:SHOWN]:
        print(f"{rule} at {at:.3f} s: {text}", file=sys.stderr)
    print(orjson.dumps(verdict).decode())
    return 0 if verdict["verdict"] == "kept" else 1


def whole(told: Mapping[str, Any], name: str) -> int | None:
    try:
        return int(told[name]) if told[name] else None
    except ValueError:
        raise ScenarioError(f"{name} wants a whole number, not {told[name]!r}") from None


def of_size(drill: Drill, balancers: int) -> Drill:
    """The same with so many balancers."""
    if not 1 <= balancers <= MAX_BALANCERS:
        raise ScenarioError(f"--balancers={balancers}: 1 to {MAX_BALANCERS} can be")
    return replace(drill, plan=replace(drill.plan, balancers=balancers))


def play(
    drill: Drill,
    seed: int | None = None,
    defect: str = "",
    out: Path | None = None,
    disk: str = "",
    policy: str = "orchidgap",
) -> tuple[dict[str, Any], Town]:
    """One drill: its verdict, and what is left of it. What its processes wrote is kept in `out`."""
    town = Town(drill, seed, defect, disk, policy)
    copied = Path(tempfile.mkdtemp()) if out else None
    try:
        if copied:
            close = town.close

            def keep() -> None:
                shutil.copytree(town.place, copied, dirs_exist_ok=True, symlinks=True)
                close()

            town.close = keep  # type: ignore[method-assign]
        verdict = town.play()
    finally:
        if out and copied:
            shutil.copytree(copied, out, dirs_exist_ok=True, symlinks=True)
            shutil.rmtree(copied)
    if out:
        events = [f"{at:9.3f} {text}" for at, text in town.referee.events]
        events += [f"{at:9.3f} {rule}: {text}" for rule, at, text in town.referee.breaches]
        (out / "events.txt").write_text("\n".join(sorted(events)) + "\n")
        (out / "verdict.json").write_bytes(orjson.dumps(verdict))
    return verdict, town
