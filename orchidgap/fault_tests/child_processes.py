"""Starts the program's processes so that none outlives the fault test."""

from __future__ import annotations

import ctypes
import fcntl
import os
import signal
import subprocess
import sys
import tempfile
from contextlib import suppress
from pathlib import Path
from typing import IO

import orjson

from orchidgap.fault_tests.prestarted_command import END_OF_LINE
from orchidgap.fault_tests.process import DEFECT_VARIABLE, DISK_FAULTS_VARIABLE
from orchidgap.net.connection_log import CONNECTION_LOG_VARIABLE

LIBC = ctypes.CDLL(None)
PR_SET_PDEATHSIG = 1
MAX_FAULT_TESTS = 64
MEMORY_FOLDER = "/dev/shm"
PRESTARTED_COMMAND_MODULE = "orchidgap.fault_tests.prestarted_command"


def kill_when_parent_ends() -> None:
    """Ask the kernel to kill this process when its parent ends."""
    LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


def prepare_process() -> None:
    """Begin as the operators' command does: SIGHUP is ignored until the program handles it."""
    kill_when_parent_ends()
    signal.signal(signal.SIGHUP, signal.SIG_IGN)


class PrestartedCommand:
    """An operator's command in a process that is started already and waits for its word.

    Attributes:
        process: The process; its standard output is the command's.
    """

    def __init__(self) -> None:
        """Start it; it does nothing until `go`."""
        self.process = subprocess.Popen(
            [sys.executable, "-m", PRESTARTED_COMMAND_MODULE],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
            preexec_fn=kill_when_parent_ends,
        )

    def run(self, arguments: list[str]) -> None:
        """Let it run.

        Args:
            arguments: Those of `orchidgap`.
        """
        assert self.process.stdin
        with suppress(BrokenPipeError), self.process.stdin as word:
            word.write(orjson.dumps(arguments) + END_OF_LINE)

    def has_ended(self) -> bool:
        """Return whether it has run."""
        return self.process.poll() is not None

    def last_line(self) -> bytes:
        """Return the last line that the command wrote before it ended, empty for none."""
        assert self.process.stdout
        lines = self.process.stdout.read().splitlines()
        return lines[-1] if lines else b""

    def close(self) -> None:
        """End it, whether it has run or not."""
        assert self.process.stdin
        assert self.process.stdout
        self.process.kill()
        with suppress(BrokenPipeError):
            self.process.stdin.close()
        self.process.stdout.close()
        self.process.wait()


def memory_folder() -> str | None:
    """Return a folder in memory, if there is one.

    A disk that is shared with others takes a different time in each run.
    """
    return MEMORY_FOLDER if os.access(MEMORY_FOLDER, os.W_OK) else None


class PortOffset:
    """An offset to all ports that no other fault test on this machine uses until `close`.

    Attributes:
        value: The offset; 0 is left to simulations with real balancers.
    """

    def __init__(self) -> None:
        """Take the first free offset; RuntimeError if there is none."""
        for number in range(MAX_FAULT_TESTS):
            path = Path(tempfile.gettempdir()) / f"orchidgap-drill-{number}.lock"
            lock_file = open(path, "w")  # noqa: SIM115
            try:
                fcntl.flock(lock_file, fcntl.LOCK_EX | fcntl.LOCK_NB)
            except OSError:
                lock_file.close()
                continue
            self.lock_file: IO[str] = lock_file
            self.value = number + 1
            return
        raise RuntimeError(f"{MAX_FAULT_TESTS} drills run already")

    def close(self) -> None:
        """Leave the offset to others."""
        self.lock_file.close()


class ProcessLauncher:
    """Starts balancers and control processes, with a log file each in `folder`."""

    def __init__(self, folder: Path, failing_disks: bool, defect: str) -> None:
        """Prepare to start processes.

        Args:
            folder: Where logs and the files of disk faults are.
            failing_disks: Whether disks can be made to fail at one operation.
            defect: The name of a planted defect, empty for none.
        """
        self.folder = folder
        self.defect = defect
        self.uses_test_program = failing_disks or bool(defect)

    def command(self, kind: str) -> list[str]:
        """Return the interpreter's arguments for `serve` or `control`."""
        module = "orchidgap.fault_tests.process" if self.uses_test_program else "orchidgap"
        return ["-m", module, kind]

    def log_path(self, name: str) -> Path:
        """Return where a process writes its log."""
        return self.folder / f"{name}.log"

    def disk_faults_path(self, name: str) -> Path:
        """Return the file that tells which disk operations of a process fail."""
        return self.folder / f"{name}.orders"

    def start(self, name: str, command: list[str]) -> subprocess.Popen[bytes]:
        """Start a process under a name."""
        variables = {
            DISK_FAULTS_VARIABLE: str(self.disk_faults_path(name)),
            DEFECT_VARIABLE: self.defect,
            CONNECTION_LOG_VARIABLE: "1",
        }
        with open(self.log_path(name), "ab") as log:
            return subprocess.Popen(
                [sys.executable, *command],
                stderr=log,
                stdout=log,
                env=os.environ | variables,
                preexec_fn=prepare_process,
            )
