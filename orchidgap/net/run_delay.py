"""How long a thread was ready to run and did not, as the kernel counts it.

A process that got no core and one that was stopped, or waited for a disk, look alike by their
processor time. The kernel's scheduler tells them apart: only the first was ready.
"""

from __future__ import annotations

import os
from pathlib import Path

OWN_THREAD = Path("/proc/thread-self/schedstat")
STAT = Path("/proc/stat")
STEAL_FIELD = 8  # of the first line of /proc/stat
MAX_BYTES = 128


def schedstat_of(process_id: int) -> Path:
    """Return the file with the figures of a process's main thread."""
    return Path(f"/proc/{process_id}/task/{process_id}/schedstat")


def run_delay_us(path: Path = OWN_THREAD) -> int:
    """Return how long a thread was ready and not run since it began, in microseconds.

    Args:
        path: The thread's schedstat file.

    Returns:
        The time, 0 where the system does not tell.
    """
    try:
        descriptor = os.open(path, os.O_RDONLY)
    except OSError:
        return 0
    try:
        return int(os.read(descriptor, MAX_BYTES).split()[1]) // 1000
    except (OSError, IndexError, ValueError):
        return 0
    finally:
        os.close(descriptor)


def steal_us() -> int:
    """Return how long the machine's processors were taken from it, in microseconds.

    That is time in which all of its processes stood still, and counts as nobody's run delay.
    """
    try:
        fields = STAT.read_text().partition("\n")[0].split()
        ticks = int(fields[STEAL_FIELD])
    except (OSError, IndexError, ValueError):
        return 0
    return ticks * 1_000_000 // os.sysconf("SC_CLK_TCK")
