"""The program as a process, with a disk that can be made to fail and, where asked for, a planted defect:
`python -m orchidgap.fault_tests.process serve|control --config=FILE [--new]`.

`DRILL_DISK` names a file that says which step of a write fails next: a line `STEP N WHAT`, for the nth call
of write, fsync, rename or open from now, or `0` for all; WHAT is ENOSPC, EIO, short (half is written, then
ENOSPC), kill, or so many milliseconds that it takes longer. `DRILL_DEFECT` names the defect. Both are read
here only: the program knows neither.
"""

from __future__ import annotations

import errno
import os
import signal
import sys
import time
from functools import partial
from mmap import mmap
from pathlib import Path

from orchidgap.composition import make_gossip, protocol_for
from orchidgap.control import lease_keeper, process
from orchidgap.fault_tests.planted_defects import DEFECTS
from orchidgap.net.config import ConfigError
from orchidgap.net.server import serve
from orchidgap.state.durable_store import DurableStore

STEPS = ("open", "write", "fsync", "rename")


def error(what: str) -> OSError:
    number = getattr(errno, what if what != "short" else "ENOSPC")
    return OSError(number, os.strerror(number))


class FailingFiles(DurableStore):
    """A disk that fails when told to."""

    def __init__(self, folder: Path) -> None:
        self.orders = Path(os.environ["DRILL_DISK"])
        self.process = os.getpid()
        # when the orders were written, and the calls of each step since: shared with children that write
        self.calls = memoryview(mmap(-1, 8 * (1 + len(STEPS)))).cast("q")
        super().__init__(folder)

    def due(self, step: str) -> str:
        """What is to happen at this call, if anything."""
        try:
            with open(self.orders) as file:
                when, text = os.fstat(file.fileno()).st_mtime_ns, file.read()
        except FileNotFoundError:
            return ""
        if when != self.calls[0]:
            for i in range(len(self.calls)):
                self.calls[i] = 0
            self.calls[0] = when
        self.calls[STEPS.index(step) + 1] += 1
        for line in text.splitlines():
            name, number, what = line.split()
            if name != step or int(number) not in (0, self.calls[STEPS.index(step) + 1]):
                continue
            if what == "kill":
                os.kill(self.process, signal.SIGKILL)
                os.kill(os.getpid(), signal.SIGKILL)
            if not what.isdigit():
                return what
            time.sleep(int(what) / 1e3)
        return ""

    def fail(self, step: str) -> None:
        if what := self.due(step):
            raise error(what)

    def open_file(self, path: Path) -> int:
        self.fail("open")
        return super().open_file(path)

    def write_some(self, fd: int, data: memoryview) -> int:
        what = self.due("write")
        if what == "short":
            super().write_some(fd, data[: len(data) // 2])
        if what:
            raise error(what)
        return super().write_some(fd, data)

    def sync(self, fd: int) -> None:
        self.fail("fsync")
        super().sync(fd)

    def rename(self, old: Path, new: Path) -> None:
        self.fail("rename")
        super().rename(old, new)


def main() -> None:
    kind, config = sys.argv[1], sys.argv[2].partition("=")[2]
    defect = DEFECTS.get(os.environ.get("DRILL_DEFECT", ""))
    if defect:
        defect()
    try:
        if kind == "control":
            return process.run(config, "--new" in sys.argv, make_store=FailingFiles)
        serve(
            config,
            protocol_for,
            make_guarded_node=partial(lease_keeper.create_guarded_node, make_store=FailingFiles),
            make_gossip=make_gossip,
        )
    except ConfigError as trouble:
        sys.exit(f"orchidgap: {trouble}")


if __name__ == "__main__":
    main()
