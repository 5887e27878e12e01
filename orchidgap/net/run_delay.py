"""Run delay: how long a thread was runnable and did not run, as counted by the kernel.

Processor time does not distinguish a process that was not scheduled from one that was stopped or
waited for a disk. The scheduler's count does: only the first was runnable.
"""

from __future__ import annotations

import os
from pathlib import Path

OWN_THREAD = Path("/proc/thread-self/schedstat")
STAT = Path("/proc/stat")
STEAL_FIELD = 8  # the index of the steal time in the first line of /proc/stat
MAX_SCHEDSTAT_BYTES = 128


def schedstat_of(process_id: int) -> Path:
    """Return the schedstat file of a process's main thread."""
    return Path(f"/proc/{process_id}/task/{process_id}/schedstat")


def run_delay_us(path: Path = OWN_THREAD) -> int:
    """Return how long a thread was runnable without running since its start, in microseconds.

    Args:
        path: The thread's schedstat file.

    Returns:
        The time, or 0 if the system does not provide it.
    """
    try:
        descriptor = os.open(path, os.O_RDONLY)
    except OSError:
        return 0
    try:
        return int(os.read(descriptor, MAX_SCHEDSTAT_BYTES).split()[1]) // 1000
    except (OSError, IndexError, ValueError):
        return 0
    finally:
        os.close(descriptor)


def steal_us() -> int:
    """Return the steal time of the machine's processors, in microseconds.

    In that time none of the machine's processes run. It is not included in any run delay.
    """
    try:
        fields = STAT.read_text().partition("\n")[0].split()
        ticks = int(fields[STEAL_FIELD])
    except (OSError, IndexError, ValueError):
        return 0
    return ticks * 1_000_000 // os.sysconf("SC_CLK_TCK")
