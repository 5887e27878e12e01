"""Tracks when processes of a fault test were runnable but got no core, as counted by the kernel.

Time in which a process was stopped, waited for a disk or was running is not counted.
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections.abc import Mapping
from dataclasses import dataclass, field

from orchidgap.net.run_delay import run_delay_us, schedstat_of, steal_us

TEST_PROCESS = "test"  # this process, which runs clients, hosts, discovery and relays


@dataclass(slots=True)
class DelaySamples:
    """Samples of one process's run delay, the oldest first, in microseconds.

    Attributes:
        taken_at_us: When each sample was taken.
        delays_us: The total time until then in which the process was runnable but did not run.
    """

    taken_at_us: list[int] = field(default_factory=list)
    delays_us: list[int] = field(default_factory=list)

    def between(self, since_us: int, until_us: int) -> int:
        """Return the run delay within an interval, at most the interval's length.

        It is the difference between the last sample before the interval and the first after it.
        """
        if not self.taken_at_us or until_us <= since_us:
            return 0
        first = max(0, bisect_right(self.taken_at_us, since_us) - 1)
        last = min(len(self.taken_at_us) - 1, bisect_left(self.taken_at_us, until_us))
        return min(max(0, self.delays_us[last] - self.delays_us[first]), until_us - since_us)


class SchedulingWatch:
    """Samples the run delay of each process periodically."""

    def __init__(self) -> None:
        """Begin with no samples."""
        # by name: the id and the samples of each process that ran under it, the oldest first
        self.samples: dict[str, list[tuple[int, DelaySamples]]] = {}
        self.steal = DelaySamples()  # time in which the hypervisor ran other machines

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
        """Return how long within an interval a process was runnable but did not run."""
        runs = self.samples.get(name, ())
        total_us = sum(samples.between(since_us, until_us) for _, samples in runs)
        return min(total_us, max(0, until_us - since_us))

    def describe(self, since_us: int, until_us: int) -> str:
        """Describe the run delays of all processes within an interval, for breach reports."""
        delays = {name: self.delay_us(name, since_us, until_us) for name in self.samples}
        by_process = ", ".join(f"{name} {delay_us // 1000}" for name, delay_us in delays.items())
        stolen_ms = self.steal.between(since_us, until_us) // 1000
        return f"runnable but not run, ms: {by_process}; stolen from the machine: {stolen_ms}"
