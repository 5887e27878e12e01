"""Starts the program's processes; the kernel kills them if the fault test ends first."""

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
    """Make the kernel kill this process when its parent ends."""
    LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


def prepare_process() -> None:
    """Prepare a process like a deployed one: SIGHUP is ignored until the program handles it."""
    kill_when_parent_ends()
    signal.signal(signal.SIGHUP, signal.SIG_IGN)


class PrestartedCommand:
    """An operator's command in a process that was started early and waits for its arguments.

    Attributes:
        process: The process; its standard output is that of the command.
    """

    def __init__(self) -> None:
        """Start the process; it does nothing until `run` is called."""
        self.process = subprocess.Popen(
            [sys.executable, "-m", PRESTARTED_COMMAND_MODULE],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
            preexec_fn=kill_when_parent_ends,
        )

    def run(self, arguments: list[str]) -> None:
        """Run the command.

        Args:
            arguments: The command-line arguments of `orchidgap`.
        """
        assert self.process.stdin
        with suppress(BrokenPipeError), self.process.stdin as stdin:
            stdin.write(orjson.dumps(arguments) + END_OF_LINE)

    def has_ended(self) -> bool:
        """Return whether the process has ended."""
        return self.process.poll() is not None

    def last_line(self) -> bytes:
        """Wait for the end of the output and return its last line, empty for none."""
        assert self.process.stdout
        lines = self.process.stdout.read().splitlines()
        return lines[-1] if lines else b""

    def close(self) -> None:
        """End the process, whether the command has run or not."""
        assert self.process.stdin
        assert self.process.stdout
        self.process.kill()
        with suppress(BrokenPipeError):
            self.process.stdin.close()
        self.process.stdout.close()
        self.process.wait()


def memory_folder() -> str | None:
    """Return a folder in memory, None if there is none.

    The latency of a disk that is shared with other processes differs between runs.
    """
    return MEMORY_FOLDER if os.access(MEMORY_FOLDER, os.W_OK) else None


class PortOffset:
    """An offset to all ports, reserved for one fault test on this machine until `close`.

    Attributes:
        value: The offset; 0 is reserved for simulations with real balancers.
    """

    def __init__(self) -> None:
        """Reserve the first free offset.

        Raises:
            RuntimeError: All offsets are in use.
        """
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
        raise RuntimeError(f"{MAX_FAULT_TESTS} fault tests are already running on this machine")

    def close(self) -> None:
        """Release the offset."""
        self.lock_file.close()


class ProcessLauncher:
    """Starts balancers and control processes, each with a log file in `folder`."""

    def __init__(self, folder: Path, failing_disks: bool, defect: str) -> None:
        """Prepare to start processes.

        Args:
            folder: The folder for logs and the files that configure disk faults.
            failing_disks: Whether single disk operations can be made to fail.
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
        """Return the path of a process's log."""
        return self.folder / f"{name}.log"

    def disk_faults_path(self, name: str) -> Path:
        """Return the path of the file that configures which disk operations of a process fail."""
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
