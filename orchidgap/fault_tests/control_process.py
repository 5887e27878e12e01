"""A control process of a fault test."""

from __future__ import annotations

import json
import socket
import subprocess
from contextlib import suppress

from orchidgap.fault_tests.child_processes import ProcessLauncher
from orchidgap.fault_tests.disk_faults import disk_folder
from orchidgap.fault_tests.links import CONTROL_PORT, Links
from orchidgap.fault_tests.plan import ControlSettings
from orchidgap.net.addresses import Address, format_address

# a process that has not listened for this long after its start counts as if it did
START_LIMIT_US = 10_000_000
CONNECT_TIMEOUT_S = 0.05


class ControlProcess:
    """A control process; its program may end and be restarted.

    Attributes:
        alive: Whether the process was running when it was last checked.
        starts_new: Whether the next start is the first one, with an empty disk.
    """

    def __init__(
        self, launcher: ProcessLauncher, links: Links, settings: ControlSettings, number: int
    ) -> None:
        """Prepare the process; `start` runs it."""
        self.launcher = launcher
        self.links = links
        self.settings = settings
        self.number = number
        self.name = f"k{number}"
        self.address: Address = (f"127.5.0.{number + 1}", CONTROL_PORT + links.port_offset)
        self.process: subprocess.Popen[bytes] | None = None
        self.starts_new = True
        self.alive = False
        self._start_seen_at_us: int | None = None
        self._listens = False

    def address_for(self, client: str) -> Address:
        """Return the address at which a client reaches this process."""
        return self.links.to_control(client, self.name, self.number, self.address)

    def start(self, members: list[ControlProcess]) -> None:
        """Start the process as one of these control processes."""
        folder = self.launcher.folder
        addresses = {
            member.name: format_address(
                member.address if member is self else member.address_for(self.name)
            )
            for member in members
        }
        config = {
            "name": self.name,
            "dir": str(disk_folder(folder, self.name)),
            "control": addresses,
            "lease-ms": self.settings.lease_ms,
            "give-up-ms": self.settings.give_up_ms,
        }
        path = folder / f"{self.name}.json"
        path.write_text(json.dumps(config))
        options = ["--new"] if self.starts_new else []
        self.starts_new = False
        command = [*self.launcher.command("control"), f"--config={path}", *options]
        self.process = self.launcher.start(self.name, command)
        self.alive = True
        self._start_seen_at_us = None
        self._listens = False

    def is_listening(self, now_us: int) -> bool:
        """Return whether the process has listened since its start, or ought to have by now."""
        if self._start_seen_at_us is None:
            self._start_seen_at_us = now_us
        if not self._listens:
            self._listens = self._accepts_connection()
        return self._listens or now_us - self._start_seen_at_us >= START_LIMIT_US

    def _accepts_connection(self) -> bool:
        try:
            with socket.create_connection(self.address, CONNECT_TIMEOUT_S):
                return True
        except OSError:
            return False

    def has_ended(self) -> bool:
        """Return whether the process has ended or was never started."""
        return self.process is None or self.process.poll() is not None

    def resume(self, signal_number: int) -> None:
        """Send the signal that resumes a stopped process, if it still exists."""
        assert self.process
        with suppress(ProcessLookupError):
            self.process.send_signal(signal_number)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        if self.process:
            self.process.kill()
            self.process.wait()
