"""The program as a process, with a disk that can be made to fail and, where asked for, a planted defect:
`python -m orchidgap.drill.process serve|control --config=FILE [--new]`.

`DRILL_DISK` names a file that says which step of a write fails next: a line `STEP N WHAT`, for the nth call
of
write, fsync, rename or open from now, or `0` for all; WHAT is ENOSPC, EIO, short (half is written, then
ENOSPC) or
kill. `DRILL_DEFECT` names the defect. Both are read here only: the program knows neither.
"""

from __future__ import annotations

import errno
import os
import signal
import sys
from functools import partial
from pathlib import Path

from orchidgap.control import server, tenure
from orchidgap.drill.defects import DEFECTS
from orchidgap.net.serve import serve
from orchidgap.net.start import BadStart
from orchidgap.parts import parts_of
from orchidgap.state.files import Files


class FailingFiles(Files):
    """A disk that fails when told to."""

    def __init__(self, folder: Path) -> None:
        self.orders = Path(os.environ["DRILL_DISK"])
        self.seen = b""
        self.left: dict[str, tuple[int, str]] = {}
        super().__init__(folder)

    def due(self, step: str) -> str:
        """What is to happen at this call, if anything."""
        text = self.orders.read_bytes() if self.orders.exists() else b""
        if text != self.seen:
            self.seen, self.left = text, {}
            for line in text.decode().splitlines():
                name, count, then = line.split()
                self.left[name] = int(count), then
        number, what = self.left.get(step, (-1, ""))
        if number > 0:
            self.left[step] = number - 1 or -1, what
        if number not in (0, 1):
            return ""
        if what == "kill":
            os.kill(os.getpid(), signal.SIGKILL)
        return what

    def fail(self, step: str) -> None:
        if what := self.due(step):
            number = getattr(errno, what if what != "short" else "ENOSPC")
            raise OSError(number, os.strerror(number))

    def open(self, path: Path) -> int:
        self.fail("open")
        return super().open(path)

    def put(self, fd: int, part: memoryview) -> int:
        what = self.due("write")
        if what == "short":
            super().put(fd, part[:len(part) // 2])
        if what:
            number = getattr(errno, what if what != "short" else "ENOSPC")
            raise OSError(number, os.strerror(number))
        return super().put(fd, part)

    def force(self, fd: int) -> None:
        self.fail("fsync")
        super().force(fd)

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
            return server.run(config, "--new" in sys.argv, make_files=FailingFiles)
        serve(config, parts_of, held=partial(tenure.held, make_files=FailingFiles))
    except BadStart as trouble:
        sys.exit(f"orchidgap: {trouble}")


if __name__ == "__main__":
    main()
