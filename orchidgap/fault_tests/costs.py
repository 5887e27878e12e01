"""Measures the costs of a fault test's processes: start time, memory, CPU and bytes."""

from __future__ import annotations

from contextlib import suppress
from itertools import islice
from pathlib import Path
from typing import Any, NamedTuple

from orchidgap.fault_tests.cluster import Cluster
from orchidgap.simulation.loopback_network import cpu_seconds_of

SAMPLE_INTERVAL_US = 2_000_000
MAX_STRETCH_SAMPLES = 7


class CostSample(NamedTuple):
    """The total costs of all balancers up to one time.

    Attributes:
        at_us: When the sample was taken.
        cpu_s: The CPU time of the balancers, as counted by the system.
        relayed_bytes: The bytes exchanged between balancers and control.
        balancer_count: The number of running balancers.
    """

    at_us: int
    cpu_s: float
    relayed_bytes: int
    balancer_count: int


def proportional_memory_kb(process_id: int) -> int:
    """Return a process's proportional set size (PSS) in kB, 0 if it is not available."""
    with suppress(OSError):
        for line in Path(f"/proc/{process_id}/smaps_rollup").read_text().splitlines():
            if line.startswith("Pss:"):
                return int(line.split()[1])
    return 0


class CostMeter:
    """Samples the costs of a running cluster."""

    def __init__(self, cluster: Cluster) -> None:
        """Begin without samples."""
        self.cluster = cluster
        self.samples: list[CostSample] = []
        self.startup_s = 0.0
        self.memory_kb = 0

    def on_started(self, startup_s: float) -> None:
        """Record how long it took until all balancers were ready, and measure memory."""
        self.startup_s = startup_s
        names = self.cluster.process_names()
        self.memory_kb = sum(
            proportional_memory_kb(self.cluster.process_of(name).pid) for name in names
        )

    def sample(self) -> None:
        """Take a sample, now and periodically."""
        cluster = self.cluster
        cluster.loop.call_later(SAMPLE_INTERVAL_US, self.sample)
        names = [name for name, instance in cluster.balancers.items() if instance.alive]
        cpu_s = 0.0
        for name in names:
            with suppress(OSError, IndexError, ValueError):
                cpu_s += cpu_seconds_of(cluster.process_of(name).pid)
        relayed_bytes = cluster.links.control_bytes()
        self.samples.append(CostSample(cluster.loop.now, cpu_s, relayed_bytes, len(names)))

    def report(self) -> dict[str, Any]:
        """Return the costs for the verdict line.

        CPU and bytes are per balancer and second, over the longest span of samples between which
        the number of balancers is the same.
        """
        costs: dict[str, Any] = {
            "started_s": round(self.startup_s, 1),
            "memory_mb": round(self.memory_kb / 1e3),
        }
        stretches = [
            (first, last)
            for index, first in enumerate(self.samples)
            for last in islice(self.samples, index + 1, index + 1 + MAX_STRETCH_SAMPLES)
            if first.balancer_count == last.balancer_count > 0 and last.cpu_s >= first.cpu_s
        ]
        if stretches:
            first, last = max(stretches, key=lambda ends: ends[1].at_us - ends[0].at_us)
            balancer_seconds = (last.at_us - first.at_us) / 1e6 * first.balancer_count
            cpu_ms = (last.cpu_s - first.cpu_s) * 1e3
            costs["cpu_ms"] = round(cpu_ms / balancer_seconds, 2)
            costs["bytes"] = round((last.relayed_bytes - first.relayed_bytes) / balancer_seconds)
        return costs
