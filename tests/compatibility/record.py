"""Writes the records in `data/`. Run it only where the formats are meant to change:

    .venv/bin/python tests/compatibility/record.py

The records here were written by the program before its modules were renamed. A test that fails is not
mended by recording anew: versions before and after run side by side and read each other's files.
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


def fresh() -> Path:
    return Path(tempfile.mkdtemp(prefix="compatibility-"))


def write_files(files: dict[str, bytes]) -> None:
    for name, content in files.items():
        path = DATA / name
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_bytes(content)


def main() -> None:
    write_files(exchanges.control_folders(fresh()))
    write("control-calls", exchanges.control_calls(fresh()))
    write("lost-control-calls", exchanges.lost_control_calls(fresh()))
    write("between-control-processes", exchanges.between_control_processes(fresh()))
    transcript, files = exchanges.balancer_and_control(fresh())
    write("balancer-and-control", transcript)
    write_files(files)
    write("settle-call", exchanges.settle_call(fresh()))
    old = exchanges.old_side()
    write("handover-old-side", old)
    packets = [packet["packet"] for packet in old[1]["heard"]]
    write("handover-new-side", exchanges.new_side(packets))
    write("handover-moved-requests", exchanges.moved_requests(old))
    edited = exchanges.edited_snapshot(packets)
    write("snapshot", {"told": edited, "found": exchanges.new_side(edited)})
    write("gossip", exchanges.gossip())
    write("change-commands", exchanges.change_commands(fresh()))
    write("check-commands", exchanges.check_commands(fresh()))
    write("admin-lines", exchanges.admin_lines(fresh()))


if __name__ == "__main__":
    main()
