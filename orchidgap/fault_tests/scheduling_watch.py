"""Which processes of a fault test were ready and got no core, and when, by the kernel's word.

Only that is counted: time in which a process was stopped, waited for a disk or was busy is its own.
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections.abc import Mapping
from dataclasses import dataclass, field

from orchidgap.net.run_delay import run_delay_us, schedstat_of, steal_us

TEST_PROCESS = "test"  # clients, hosts, discovery and relays


@dataclass(slots=True)
class DelaySamples:
    """Samples of one process, the oldest first, all times in microseconds.

    Attributes:
        taken_at_us: When each was taken.
        delays_us: How long the process had been ready and not run until then.
    """

    taken_at_us: list[int] = field(default_factory=list)
    delays_us: list[int] = field(default_factory=list)

    def between(self, since_us: int, until_us: int) -> int:
        """Return the delay within a time, at most its length.

        It is taken from the last sample before it to the first behind it.
        """
        if not self.taken_at_us or until_us <= since_us:
            return 0
        first = max(0, bisect_right(self.taken_at_us, since_us) - 1)
        last = min(len(self.taken_at_us) - 1, bisect_left(self.taken_at_us, until_us))
        return min(max(0, self.delays_us[last] - self.delays_us[first]), until_us - since_us)


class SchedulingWatch:
    """Takes a sample of each process at each look."""

    def __init__(self) -> None:
        """Begin with no samples."""
        self.samples: dict[str, list[tuple[int, DelaySamples]]] = {}
        self.steal = DelaySamples()

    def sample(self, process_ids: Mapping[str, int], now_us: int) -> None:
        """Sample the processes with these ids, by their names."""
        for name, process_id in process_ids.items():
            runs = self.samples.setdefault(name, [])
            if not runs or runs[-1][0] != process_id:
                runs.append((process_id, DelaySamples()))
            samples = runs[-1][1]
            samples.taken_at_us.append(now_us)
            samples.delays_us.append(run_delay_us(schedstat_of(process_id)))
        self.steal.taken_at_us.append(now_us)
        self.steal.delays_us.append(steal_us())

    def delay_us(self, name: str, since_us: int, until_us: int) -> int:
        """Return how long a process was ready and not run within a time."""
        runs = self.samples.get(name, ())
        total_us = sum(samples.between(since_us, until_us) for _, samples in runs)
        return min(total_us, max(0, until_us - since_us))

    def describe(self, since_us: int, until_us: int) -> str:
        """Return the same of all processes, for a breach's story."""
        delays = {name: self.delay_us(name, since_us, until_us) for name in self.samples}
        told = ", ".join(f"{name} {delay_us // 1000}" for name, delay_us in delays.items())
        stolen_ms = self.steal.between(since_us, until_us) // 1000
        return f"ready and not run, ms: {told}; taken from the machine: {stolen_ms}"
