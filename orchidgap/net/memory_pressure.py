"""How near the process is to its memory limit, by the resident size that the kernel reports.

Buffers are bounded for each connection, and those of RESP clients for all together
(`memory_account`). What objects, fragmentation and libraries take besides shows here only. While
memory is short, bodies are streamed from a smaller size on, so that a connection holds less.
"""

from __future__ import annotations

import os
from collections.abc import Callable

from orchidgap.net.loop import Loop

BYTES_PER_MB = 1 << 20
SHORT_ABOVE_RATIO = 0.7  # of the limit
SHORT_BUFFER_BYTES = 1 << 14  # what may be buffered of one kind while memory is short
CHECK_INTERVAL_US = 1_000_000  # how often a change is looked for to be reported
REFRESH_US = 5_000  # how long one look at the resident size is used
RESIDENT_PAGES_FIELD = 1  # in /proc/self/statm


def resident_bytes() -> int:
    """Return the memory of this process that is resident, files included; 0 if it is not known."""
    try:
        with open("/proc/self/statm", "rb") as file:
            pages = int(file.read().split()[RESIDENT_PAGES_FIELD])
    except (OSError, ValueError, IndexError):
        return 0
    return pages * os.sysconf("SC_PAGE_SIZE")


class MemoryPressure:
    """Tells whether memory is short.

    Attributes:
        limit_mb: The memory that the process may use.
        measure: Returns the memory in use in bytes; without it, memory is never short.
        initial_bytes: The memory in use when it was first measured, before there were clients.
    """

    def __init__(self, loop: Loop, limit_mb: int) -> None:
        """Start without a measure."""
        self.loop = loop
        self.limit_mb = limit_mb
        self.measure: Callable[[], int] | None = None
        self.initial_bytes = 0
        self._measured_at_us: int | None = None
        self._used_bytes = 0
        self._reported_short = False

    def watch(
        self, measure: Callable[[], int], on_change: Callable[[bool, int, int], None]
    ) -> None:
        """Measure from now on, and report when memory becomes short or suffices again.

        `on_change` is called with whether it is short, the MB in use, and the limit in MB.
        """
        self.measure = measure
        self.initial_bytes = measure()
        self._report_change(on_change)

    def _report_change(self, on_change: Callable[[bool, int, int], None]) -> None:
        is_short = self.is_short
        if is_short != self._reported_short:
            self._reported_short = is_short
            on_change(is_short, self._used_bytes // BYTES_PER_MB, self.limit_mb)
        self.loop.call_later(CHECK_INTERVAL_US, self._report_change, on_change)

    def buffer_bytes(self, usual_bytes: int) -> int:
        """Return how much of one body may be buffered, where it is `usual_bytes` by default."""
        return min(usual_bytes, SHORT_BUFFER_BYTES) if self.is_short else usual_bytes

    def permits(self, buffered_bytes: int, usual_bytes: int) -> bool:
        """Return whether so much may be buffered, where `usual_bytes` may be by default."""
        if buffered_bytes <= SHORT_BUFFER_BYTES:
            return True  # without a look at the memory
        return buffered_bytes <= self.buffer_bytes(usual_bytes)

    @property
    def is_short(self) -> bool:
        """Whether the process uses so much that buffers have to be small."""
        if self.measure is None:
            return False
        now_us = self.loop.clock()
        if self._measured_at_us is None or now_us - self._measured_at_us >= REFRESH_US:
            self._measured_at_us = now_us
            self._used_bytes = self.measure()
        return self._used_bytes > self.limit_mb * BYTES_PER_MB * SHORT_ABOVE_RATIO
