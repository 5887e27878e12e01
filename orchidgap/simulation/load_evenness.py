"""Measures how evenly the load is spread over the caches in each phase of a run.

All figures come from the records of hosts and clients.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Any

from orchidgap.decisions import load_skew
from orchidgap.simulation.environment import Environment
from orchidgap.simulation.observations import ClientAttempt, HostAttempt, Operation
from orchidgap.simulation.plan import EvennessBounds, milliseconds_to_us
from orchidgap.simulation.verdict import service_ratio

# figures that a plan bounds from below; it bounds the others from above
LOWER_BOUNDED_FIGURES = ("least", "served")


class PhaseRecorder:
    """Records the consecutive phases of one run and their figures."""

    def __init__(self, environment: Environment, bounds: tuple[EvennessBounds, ...]) -> None:
        """Start without a phase.

        Args:
            environment: The run that is measured.
            bounds: The bounds that its plan sets for phases.
        """
        self.environment = environment
        self.bounds = bounds
        self.figures_by_phase: dict[str, dict[str, float]] = {}
        # begin and end of each ended phase, in microseconds
        self.intervals: dict[str, tuple[int, int]] = {}
        self.current: tuple[str, int] = "", 0  # the current phase and its start in microseconds

    def begin_phase(self, name: str) -> None:
        """End and measure the previous phase while its caches are unchanged, and begin another."""
        previous, since = self.current
        self.current = name, self.environment.loop.now
        if previous:
            self.intervals[previous] = since, self.environment.loop.now
            self.figures_by_phase[previous] = measure_phase(
                self.environment, *self.intervals[previous]
            )

    def finish(self, record_breach: Callable[[str, int, str], None]) -> dict[str, dict[str, float]]:
        """Compare all phases with their bounds at the end of the run.

        Requests in flight at the end of a phase count by their eventual outcome.

        Args:
            record_breach: Called with the rule, the time in microseconds, and a description.
        """
        self.begin_phase("")
        for name, (since, until) in self.intervals.items():
            self.figures_by_phase[name]["served"] = round(
                service_between(self.environment, since, until), 3
            )
            for bounds in self.bounds:
                if bounds.phase == name:
                    for text in describe_deviations(self.figures_by_phase[name], bounds.figures()):
                        record_breach("uneven", until, f"{name}: {text}")
        return self.figures_by_phase


def operations_between(environment: Environment, since: int, until: int) -> list[Operation]:
    """Return the counted operations that began in an interval, in microseconds."""
    return [
        operation
        for operation in environment.invariant_checker.operations
        if operation.counted and since <= operation.created_at_us < until
    ]


def service_between(environment: Environment, since: int, until: int) -> float:
    """Return the ratio of the value answered in time.

    Only operations count that were answered or can no longer be answered in time.
    """
    now = environment.loop.now
    return service_ratio(
        operation
        for operation in operations_between(environment, since, until)
        if operation.completed_at_us
        or now - operation.created_at_us
        > milliseconds_to_us(operation.request_class.latency_objective_ms)
    )


def read_attempts(
    environment: Environment, since: int, until: int
) -> Iterator[tuple[ClientAttempt, HostAttempt]]:
    """Yield the host attempts of reads, each with the client attempt that it belongs to."""
    for client_attempt in environment.invariant_checker.client_attempts.values():
        if (
            not client_attempt.operation.request_class.write
            and since <= client_attempt.arrived_at_us < until
        ):
            for sent in client_attempt.host_attempts:
                # an attempt that its host read after the answer had waited at a silent host
                if (
                    not client_attempt.answered_at_us
                    or sent.first_byte_at_us <= client_attempt.answered_at_us
                ):
                    yield client_attempt, sent


def measure_phase(environment: Environment, since: int, until: int) -> dict[str, float]:
    """Return figures of the caches that run at the end of a phase, by their names in the plan.

    `most` and `least` are ratios of a cache's load to the even load, `idle-s` is the longest time
    in which a cache received nothing, `copies` the mean number of caches that have a key, `moved`
    the part of reads that went to another cache than the previous read of the key, `p99-ms` the
    latency of the slowest cache.
    """
    servers = environment.servers
    caches = {id_: host for id_, host in servers.items() if not host.is_origin and host.alive}
    reads: list[load_skew.CacheRead] = []
    latencies_us: dict[str, list[int]] = {host_id: [] for host_id in caches}
    fetches = 0
    for client_attempt, sent in read_attempts(environment, since, until):
        if sent.host in caches:
            reads.append(
                load_skew.CacheRead(sent.first_byte_at_us, sent.host, client_attempt.operation.key)
            )
            if sent.ended_at_us:
                latencies_us[sent.host].append(sent.ended_at_us - sent.first_byte_at_us)
        elif environment.servers[sent.host].is_origin:
            fetches += 1
    times: dict[str, list[int]] = {host_id: [] for host_id in caches}
    for at, host_id, _ in reads:
        times[host_id].append(at)
    ratios = load_skew.load_ratios(
        {host_id: len(row) for host_id, row in times.items()}, dict.fromkeys(caches, 1.0)
    )
    read_count = sum(
        not operation.request_class.write
        for operation in operations_between(environment, since, until)
    )
    p99_by_cache = [sorted(row)[len(row) * 99 // 100] for row in latencies_us.values() if row]
    figures: dict[str, float] = {
        "most": max(ratios.values(), default=0.0),
        "least": min(ratios.values(), default=0.0),
        "herd": load_skew.herd_ratio(times.values(), since, until),
        "idle-s": max(
            (load_skew.longest_idle_us(row, since, until) for row in times.values()), default=0
        )
        / 1e6,
        "copies": load_skew.mean_replica_count(
            (host.copies for host in caches.values()), {key for _, _, key in reads}
        ),
        "moved": load_skew.moved_read_ratio(reads),
        "fetches": fetches / read_count if read_count else 0.0,
        "p99-ms": max(p99_by_cache, default=0) / 1e3,
    }
    return {name: round(value, 3) for name, value in figures.items()} | {"reads": read_count}


def reads_by_second(environment: Environment) -> dict[str, list[int]]:
    """Return the reads sent to each cache, by second since the start, for the heat map."""
    caches = [host_id for host_id, host in environment.servers.items() if not host.is_origin]
    seconds = max(
        1,
        min(
            int(environment.plan.duration_s),
            (environment.loop.now - environment.start) // 1_000_000,
        ),
    )
    read_counts = {host_id: [0] * seconds for host_id in caches}
    for _, sent in read_attempts(environment, environment.start, environment.loop.now):
        second = (sent.first_byte_at_us - environment.start) // 1_000_000
        if sent.host in read_counts and second < seconds:
            read_counts[sent.host][second] += 1
    return read_counts


def describe_deviations(values: dict[str, float], expected: dict[str, Any]) -> list[str]:
    """Return descriptions of the figures that are out of their bounds.

    >>> describe_deviations({"most": 1.3, "least": 0.9}, {"most": 1.25, "least": 0.85})
    ['most 1.3, over 1.25']
    """
    return [
        f"{name} {values[name]:g}, {'under' if name in LOWER_BOUNDED_FIGURES else 'over'} {bound:g}"
        for name, bound in expected.items()
        if (values[name] < bound if name in LOWER_BOUNDED_FIGURES else values[name] > bound)
    ]
