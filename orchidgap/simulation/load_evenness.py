"""How evenly the load lay on the caches in each phase of a run, by what hosts and clients saw."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Any

from orchidgap.decisions import load_skew
from orchidgap.simulation.environment import Environment
from orchidgap.simulation.observations import ClientAttempt, HostAttempt, Operation
from orchidgap.simulation.plan import EvennessBounds, milliseconds_to_us
from orchidgap.simulation.verdict import service_ratio

# of what a plan may expect; the others are bounded from above
LOWER_BOUNDED_FIGURES = ("least", "served")


class PhaseRecorder:
    """The phases of one run, one after another, and their figures."""

    def __init__(self, environment: Environment, expect: tuple[EvennessBounds, ...]) -> None:
        """Begin with no phase.

        Args:
            environment: The run that is measured.
            expect: What its plan expects of the phases.
        """
        self.environment = environment
        self.bounds = expect
        self.figures_by_phase: dict[str, dict[str, float]] = {}
        self.intervals: dict[str, tuple[int, int]] = {}  # from, to, in microseconds
        self.current: tuple[str, int] = "", 0  # the phase that runs, and its start in microseconds

    def begin(self, name: str) -> None:
        """End the phase before, measure it while its caches are as they were, and begin another."""
        old, since = self.current
        self.current = name, self.environment.loop.now
        if old:
            self.intervals[old] = since, self.environment.loop.now
            self.figures_by_phase[old] = measure_phase(self.environment, *self.intervals[old])

    def finish(self, breach: Callable[[str, int, str], None]) -> dict[str, dict[str, float]]:
        """Compare all phases with their bounds at the end of the run.

        What was in flight when a phase ended counts as it came out.

        Args:
            breach: Called with the rule, the time in microseconds, and a description.
        """
        self.begin("")
        for name, (since, until) in self.intervals.items():
            self.figures_by_phase[name]["served"] = round(
                service_between(self.environment, since, until), 3
            )
            for one in self.bounds:
                if one.phase == name:
                    for text in describe_deviations(self.figures_by_phase[name], one.figures()):
                        breach("uneven", until, f"{name}: {text}")
        return self.figures_by_phase


def operations_between(environment: Environment, since: int, until: int) -> list[Operation]:
    """Counted operations that were begun in an interval, in microseconds."""
    return [
        operation
        for operation in environment.invariant_checker.operations
        if operation.counted and since <= operation.created_at_us < until
    ]


def service_between(environment: Environment, since: int, until: int) -> float:
    """Value in time, of all that was answered or can no longer be in time."""
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
    """Attempts of reads at hosts, each with the client attempt that it belongs to."""
    for client_attempt in environment.invariant_checker.client_attempts.values():
        if (
            not client_attempt.operation.request_class.write
            and since <= client_attempt.arrived_at_us < until
        ):
            for sent in client_attempt.host_attempts:
                # what came after the answer lay before a host that said nothing
                if (
                    not client_attempt.answered_at_us
                    or sent.first_byte_at_us <= client_attempt.answered_at_us
                ):
                    yield client_attempt, sent


def measure_phase(environment: Environment, since: int, until: int) -> dict[str, float]:
    """Figures of the caches that run at the end of a phase, by their words in the plan's file.

    `most` and `least` are shares of the even one, `idle-s` the longest
    time in which one of them got nothing, `copies` the caches that keep a key, `moved` the part of
    reads that came to another cache than the key's read before, `p99-ms` of the slowest cache.
    """
    servers = environment.servers
    caches = {id_: one for id_, one in servers.items() if not one.is_origin and one.alive}
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
    share = load_skew.load_ratios(
        {host_id: len(row) for host_id, row in times.items()}, dict.fromkeys(caches, 1.0)
    )
    count = sum(
        not operation.request_class.write
        for operation in operations_between(environment, since, until)
    )
    slowest = [sorted(row)[len(row) * 99 // 100] for row in latencies_us.values() if row]
    found: dict[str, float] = {
        "most": max(share.values(), default=0.0),
        "least": min(share.values(), default=0.0),
        "herd": load_skew.herd_ratio(times.values(), since, until),
        "idle-s": max(
            (load_skew.longest_idle_us(row, since, until) for row in times.values()), default=0
        )
        / 1e6,
        "copies": load_skew.mean_replica_count(
            (store.copies for store in caches.values()), {key for _, _, key in reads}
        ),
        "moved": load_skew.moved_read_ratio(reads),
        "fetches": fetches / count if count else 0.0,
        "p99-ms": max(slowest, default=0) / 1e3,
    }
    return {name: round(value, 3) for name, value in found.items()} | {"reads": count}


def reads_by_second(environment: Environment) -> dict[str, list[int]]:
    """Reads that each cache was sent, by second from the start: what a heat map is drawn from."""
    caches = [host_id for host_id, store in environment.servers.items() if not store.is_origin]
    seconds = max(
        1,
        min(
            int(environment.plan.duration_s),
            (environment.loop.now - environment.start) // 1_000_000,
        ),
    )
    found = {host_id: [0] * seconds for host_id in caches}
    for _, sent in read_attempts(environment, environment.start, environment.loop.now):
        second = (sent.first_byte_at_us - environment.start) // 1_000_000
        if sent.host in found and second < seconds:
            found[sent.host][second] += 1
    return found


def describe_deviations(found: dict[str, float], expected: dict[str, Any]) -> list[str]:
    """Figures that are out of their bounds, in words.

    >>> describe_deviations({"most": 1.3, "least": 0.9}, {"most": 1.25, "least": 0.85})
    ['most 1.3, over 1.25']
    """
    return [
        f"{name} {found[name]:g}, {'under' if name in LOWER_BOUNDED_FIGURES else 'over'} {bound:g}"
        for name, bound in expected.items()
        if (found[name] < bound if name in LOWER_BOUNDED_FIGURES else found[name] > bound)
    ]
