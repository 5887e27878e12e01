"""Tells which balancers reach control processes that can settle a value, as seen from outside.

A lease needs more than the answers of a majority. A balancer also has to know which version is
chosen, and where the answers differ, one control process has to settle that by a round of the
register: it calls the others, and each writes to its disk. So a majority counts only if all its
members run, listen, have room on their disks, and are reached by one of them. Times are in
microseconds.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from pathlib import Path

from orchidgap.decisions.cas_register import quorum_size
from orchidgap.fault_tests import disk_faults
from orchidgap.fault_tests.control_process import ControlProcess
from orchidgap.fault_tests.links import Links

# maximum one-way delay; calls time out if the delay is longer
MAX_CALL_DELAY_US = 200_000


class ControlQuorum:
    """The control processes of a fault test, and who reaches a working majority of them."""

    def __init__(
        self,
        controls: Sequence[ControlProcess],
        links: Links,
        folder: Path,
        is_running: Callable[[str], bool],
    ) -> None:
        """Observe these control processes.

        Args:
            controls: All control processes, whether they run or not.
            links: The links to and between them.
            folder: The folder with the files of all processes.
            is_running: Whether a process, by its name, exists and is not stopped.
        """
        self.controls = controls
        self.links = links
        self.folder = folder
        self.is_running = is_running

    def working(self, now_us: int) -> list[str]:
        """Return the names of the control processes that run, listen and can write."""
        return [
            control.name
            for control in self.controls
            if self.is_running(control.name)
            and control.is_listening(now_us)
            and not disk_faults.is_full(disk_faults.disk_folder(self.folder, control.name))
        ]

    def is_reached(self, client: str, working: Sequence[str]) -> bool:
        """Return whether a client reaches a majority whose members one of them reaches.

        Args:
            client: The name of a balancer.
            working: The result of `working`.
        """
        reached = [name for name in working if self._is_open(client, name)]
        quorum = quorum_size(len(self.controls))
        return any(
            sum(name == proposer or self._is_open(proposer, name) for name in reached) >= quorum
            for proposer in reached
        )

    def _is_open(self, client: str, server: str) -> bool:
        return self.links.is_open(client, server, MAX_CALL_DELAY_US)
