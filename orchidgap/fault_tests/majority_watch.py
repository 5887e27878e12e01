"""Whether a majority of the control processes ran, as seen from outside.

Without one no balancer gets a lease, and those that deny without a quorum have to deny all: a
verdict that counts many denials is explained by this figure, or by nothing.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from pathlib import Path

from orchidgap.decisions.cas_register import quorum_size
from orchidgap.fault_tests.control_process import ControlProcess

STOPPED_STATE = "T"


def process_state(process_id: int) -> str:
    """Return the letter that the system has for a process's state, empty where it has ended."""
    try:
        text = Path(f"/proc/{process_id}/stat").read_text()
    except OSError:
        return ""
    return text.rpartition(")")[2].split()[0]


def runs(control: ControlProcess) -> bool:
    """Return whether a control process is there and is not stopped."""
    if control.process is None or control.has_ended():
        return False
    return process_state(control.process.pid) != STOPPED_STATE


class MajorityWatch:
    """Adds up the time in which too few control processes ran.

    Attributes:
        without_majority_us: That time so far.
    """

    def __init__(
        self,
        controls: Sequence[ControlProcess],
        is_running: Callable[[ControlProcess], bool] = runs,
    ) -> None:
        """Watch these processes."""
        self.controls = controls
        self.is_running = is_running
        self.without_majority_us = 0
        self._looked_at_us = 0
        self._had_majority = True

    def look(self, now_us: int) -> None:
        """Look who runs; called again and again, at times in microseconds."""
        if not self._had_majority:
            self.without_majority_us += now_us - self._looked_at_us
        running = sum(self.is_running(control) for control in self.controls)
        self._had_majority = running >= quorum_size(len(self.controls))
        self._looked_at_us = now_us
