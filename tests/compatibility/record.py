"""Writes the records in `data/`. Run it only if the formats are meant to change:

    .venv/bin/python tests/compatibility/record.py

The present records were written by the program before its modules were renamed. Do not record again to fix a
failing test: old and new versions run at the same time and read each other's files.
"""

from __future__ import annotations

import json
import sys
import tempfile
from pathlib import Path
from typing import Any

sys.path[:0] = [str(Path(__file__).parent), str(Path(__file__).parents[2])]

import exchanges  # noqa: E402

DATA = Path(__file__).parent / "data"


def write(name: str, content: Any) -> None:
    text = json.dumps(content, indent=1, ensure_ascii=True)
    (DATA / f"{name}.json").write_text(text + "\n")


def make_folder() -> Path:
    return Path(tempfile.mkdtemp(prefix="compatibility-"))


def write_files(files: dict[str, bytes]) -> None:
    for name, content in files.items():
        path = DATA / name
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_bytes(content)


def main() -> None:
    write_files(exchanges.control_folders(make_folder()))
    write("control-calls", exchanges.control_calls(make_folder()))
    write("lost-control-calls", exchanges.lost_control_calls(make_folder()))
    write("between-control-processes", exchanges.between_control_processes(make_folder()))
    transcript, files = exchanges.balancer_and_control(make_folder())
    write("balancer-and-control", transcript)
    write_files(files)
    write("settle-call", exchanges.settle_call(make_folder()))
    predecessor_steps = exchanges.play_predecessor()
    write("handover-old-side", predecessor_steps)
    packets = [packet["packet"] for packet in predecessor_steps[1]["heard"]]
    write("handover-new-side", exchanges.play_successor(packets))
    write("handover-moved-requests", exchanges.migrate_requests(predecessor_steps))
    snapshot = exchanges.edited_snapshot(packets)
    write("snapshot", {"told": snapshot, "found": exchanges.play_successor(snapshot)})
    write("gossip", exchanges.gossip())
    write("change-commands", exchanges.change_commands(make_folder()))
    write("check-commands", exchanges.check_commands(make_folder()))
    write("admin-lines", exchanges.admin_lines(make_folder()))


if __name__ == "__main__":
    main()
