"""The command `drill`."""

from __future__ import annotations

import shutil
import sys
import tempfile
from collections.abc import Mapping
from pathlib import Path
from typing import Any

import orjson

from orchidgap.drill.defects import DEFECTS
from orchidgap.drill.plan import read
from orchidgap.drill.town import Town
from orchidgap.trial.plan import BadPlan

SHOWN = 12  # breaches told on the screen


def main(told: Mapping[str, Any]) -> int:
    """Takes what docopt read; gives the exit code: 1 where a rule broke, 2 for a bad plan."""
    try:
        drill = read(told["PLAN"])
        seed = int(told["--seed"]) if told["--seed"] else None
        defect = told["--defect"] or ""
        if defect and defect not in DEFECTS:
            raise BadPlan(f"no defect {defect!r}: one of {', '.join(DEFECTS)}")
    except ValueError:
        print(f"orchidgap: --seed wants a whole number, not {told['--seed']!r}", file=sys.stderr)
        return 2
    except BadPlan as trouble:
        print(f"orchidgap: {trouble}", file=sys.stderr)
        return 2
    verdict, town = play(drill, seed, defect, Path(told["--out"]) if told["--out"] else None,
                         told["--disk"] or "")
    for rule, at, text in town.referee.breaches[:SHOWN]:
        print(f"{rule} at {at:.3f} s: {text}", file=sys.stderr)
    print(orjson.dumps(verdict).decode())
    return 0 if verdict["verdict"] == "kept" else 1


def play(drill: Any, seed: int | None = None, defect: str = "", out: Path | None = None,
         disk: str = "") -> tuple[dict[str, Any], Town]:
    """One drill: its verdict, and what is left of it. What its processes wrote is kept in `out`."""
    town = Town(drill, seed, defect, disk)
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
