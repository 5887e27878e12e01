"""The platform: starts the balancer by the deploy file, sends it signals, and keeps a record."""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from typing import Any, ClassVar

ROOT = Path(__file__).resolve().parent.parent.parent
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


def free_port() -> int:
    """Returns a port of the loopback interface that nobody uses."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


class Record:
    """Writes what was sent, answered and run to `record.txt` beside a case's script."""

    def __init__(self, folder: str) -> None:
        """Starts a new record."""
        self.file = (Path(folder) / "record.txt").open("w")
        self.began = time.monotonic()

    def __call__(self, text: str) -> None:
        """Adds a line with the time since the start of the record."""
        self.file.write(f"{time.monotonic() - self.began:9.4f} {text}\n")
        self.file.flush()

    def add_log(self, log: str) -> None:
        """Adds the balancer's log."""
        for line in log.splitlines():
            self(f"log: {line}")

    def verdict(self, broken: bool, text: str) -> int:
        """Writes the verdict, and returns the exit code."""
        line = f"{'BROKEN' if broken else 'HELD'}: {text}"
        self(line)
        sys.stdout.write(line + "\n")
        return BROKEN if broken else HELD


class Balancer:
    """One balancer process, started by `run` of the deploy file as the operators start it."""

    started: ClassVar[list[Balancer]] = []  # all that this case has started

    def __init__(self, config: dict[str, Any]) -> None:
        """Writes the configuration to a temporary folder and starts the process."""
        self.folder = tempfile.TemporaryDirectory(prefix="case-")
        self.port = int(config["listen"].rpartition(":")[2])
        path = Path(self.folder.name) / "config.json"
        path.write_text(json.dumps(config))
        tmpdir = Path(self.folder.name) / "tmp"
        tmpdir.mkdir()
        self.log = (Path(self.folder.name) / "log").open("wb")
        command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        variables = {
            "GW_NAME": config["name"],
            "GW_LISTEN": config["listen"],
            "GW_DISCOVERY": config.get("discovery", ""),
            "GW_CONFIG": str(path),
            "TMPDIR": str(tmpdir),
        }
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", command],
            cwd=ROOT,
            env={**os.environ, **variables},
            stdin=subprocess.DEVNULL,
            stdout=self.log,
            stderr=self.log,
        )
        self.started.append(self)

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        if self.process.poll() is None:
            self.process.send_signal(number)

    def anonymous_mb(self) -> float:
        """Returns the memory of the process without what it maps of files, in MB; 0 at its end."""
        try:
            status = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        for line in status.splitlines():
            if line.startswith("RssAnon:"):
                return int(line.split()[1]) / 1024
        return 0.0

    @classmethod
    def end_all(cls) -> None:
        """Ends every process that is left, however the case ended."""
        while cls.started:
            cls.started[0].end()

    def end(self) -> str:
        """Ends the process, and returns its log."""
        self.started.remove(self)
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        self.log.close()
        text = Path(self.log.name).read_text(errors="replace")
        self.folder.cleanup()
        return text
