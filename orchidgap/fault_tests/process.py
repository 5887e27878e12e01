"""Runs the program with a disk that can be made to fail and, optionally, a planted defect.

`python -m orchidgap.fault_tests.process serve|control --config=FILE [--new]`

The environment variable `DRILL_DISK` names a file that defines which disk operations fail, and
`DRILL_DEFECT` names the defect. Only this module reads them, not the program. A line of the file is
`OPERATION N FAILURE`, for the Nth call of open, write, fsync or rename since the file was written,
or 0 for all calls. FAILURE is ENOSPC, EIO, short (half is written, then ENOSPC), kill, or a delay
in milliseconds.
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

from orchidgap.composition import create_protocol, make_gossip
from orchidgap.control import lease_keeper, process
from orchidgap.fault_tests.disk_faults import KILL
from orchidgap.fault_tests.planted_defects import DEFECTS
from orchidgap.net.config import ConfigError
from orchidgap.net.server import serve
from orchidgap.state.durable_store import DurableStore

DISK_FAULTS_VARIABLE = "DRILL_DISK"
DEFECT_VARIABLE = "DRILL_DEFECT"
OPERATIONS = ("open", "write", "fsync", "rename")
EVERY_CALL = 0
NO_FAILURE = ""
SHORT_WRITE = "short"
COUNTER_BYTES = 8


def failure_error(failure: str) -> OSError:
    """Return the error that the system raises for a failure.

    >>> failure_error("EIO").errno == errno.EIO, failure_error("short").errno == errno.ENOSPC
    (True, True)
    """
    name = "ENOSPC" if failure == SHORT_WRITE else failure
    number: int = getattr(errno, name)
    return OSError(number, os.strerror(number))


class FailingStore(DurableStore):
    """A durable store whose disk operations fail as the file of disk faults defines."""

    def __init__(self, folder: Path) -> None:
        """Open the store; the environment names the file of disk faults."""
        self.faults_path = Path(os.environ[DISK_FAULTS_VARIABLE])
        self.process_id = os.getpid()
        # when the file was written (ns), then the number of calls of each operation since; shared
        # with the child processes that write
        self.counters = memoryview(mmap(-1, COUNTER_BYTES * (1 + len(OPERATIONS)))).cast("q")
        super().__init__(folder)

    def _count_call(self, operation: str, written_ns: int) -> int:
        """Count a call; return the number of calls of this operation since the file was written."""
        if written_ns != self.counters[0]:
            for index in range(len(self.counters)):
                self.counters[index] = 0
            self.counters[0] = written_ns
        index = OPERATIONS.index(operation) + 1
        self.counters[index] += 1
        return self.counters[index]

    def _next_failure(self, operation: str) -> str:
        """Return how this call fails, empty if it does not; delays and kills happen here."""
        try:
            with open(self.faults_path) as file:
                written_ns = os.fstat(file.fileno()).st_mtime_ns
                text = file.read()
        except FileNotFoundError:
            return NO_FAILURE
        call_number = self._count_call(operation, written_ns)
        for line in text.splitlines():
            faulty_operation, number, failure = line.split()
            if faulty_operation != operation or int(number) not in (EVERY_CALL, call_number):
                continue
            if failure == KILL:
                os.kill(self.process_id, signal.SIGKILL)
                os.kill(os.getpid(), signal.SIGKILL)
            if not failure.isdigit():
                return failure
            time.sleep(int(failure) / 1e3)
        return NO_FAILURE

    def _fail_if_due(self, operation: str) -> None:
        failure = self._next_failure(operation)
        if failure:
            raise failure_error(failure)

    def open_file(self, path: Path) -> int:
        """Open a file, unless a fault is due."""
        self._fail_if_due("open")
        return super().open_file(path)

    def write_some(self, fd: int, data: memoryview) -> int:
        """Write data, unless a fault is due; the fault may write half of it first."""
        failure = self._next_failure("write")
        if failure == SHORT_WRITE:
            super().write_some(fd, data[: len(data) // 2])
        if failure:
            raise failure_error(failure)
        return super().write_some(fd, data)

    def sync(self, fd: int) -> None:
        """Sync a file to disk, unless a fault is due."""
        self._fail_if_due("fsync")
        super().sync(fd)

    def rename(self, old: Path, new: Path) -> None:
        """Rename a file, unless a fault is due."""
        self._fail_if_due("rename")
        super().rename(old, new)


def main() -> None:
    """Run a balancer or a control process, as the command line specifies."""
    kind = sys.argv[1]
    config = sys.argv[2].partition("=")[2]
    plant_defect = DEFECTS.get(os.environ.get(DEFECT_VARIABLE, ""))
    if plant_defect:
        plant_defect()
    try:
        if kind == "control":
            process.run(config, "--new" in sys.argv, make_store=FailingStore)
            return
        make_guarded_node = partial(lease_keeper.create_guarded_node, make_store=FailingStore)
        serve(config, create_protocol, make_guarded_node=make_guarded_node, make_gossip=make_gossip)
    except ConfigError as error:
        sys.exit(f"orchidgap: {error}")


if __name__ == "__main__":
    main()
