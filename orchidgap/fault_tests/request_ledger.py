"""Adds up, for each process of each balancer, the requests that clients wrote to it.

What was written has to be what was answered and what is excused by name; anything left over is
lost. A process that ended by itself also says in its log what it has read (event `traffic`). What
it has not read has to be what crossed an end, what its clients gave up, or what is lost already;
and what its clients take for unread, as it crossed an end, it must not have read.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import suppress
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any, NamedTuple

import orjson

from orchidgap.fault_tests.cluster import Cluster
from orchidgap.fault_tests.tally import Tally
from orchidgap.simulation.invariant_checker import LOST_AFTER_US
from orchidgap.simulation.observations import ClientAttempt
from orchidgap.simulation.request_end import ProcessEnd

TRAFFIC_EVENT = "traffic"


class ProcessKey(NamedTuple):
    """One process of a balancer."""

    balancer: str
    incarnation: int


@dataclass(slots=True, eq=False)
class WrittenRequest:
    """A request whose last byte was written to a connection of one process.

    `was_resent`: it crossed the end of that connection, and its client wrote it once more.
    """

    attempt: ClientAttempt
    process: ProcessKey
    was_resent: bool = False


@dataclass(slots=True)
class LedgerRow(Tally):
    """What became of the requests that were written to one process, or to several.

    Attributes:
        written: All of them.
        answered: Their answers came whole.
        broken_off: Their clients can tell that the answers are not whole, or were told so.
        killed: Their process was killed outright.
        left: Their clients went away first.
        crossed: They crossed the end of their connection, and were sent again.
        lost: The checker was told of them.
        under_way: Their time is not over.
        arrived: Read and handed on, by the process's own count, where it ended by itself.
        rejected: Turned away with an answer before that, by the same count.
        counted: How many were written to processes that have such a count.
    """

    written: int = 0
    answered: int = 0
    broken_off: int = 0
    killed: int = 0
    left: int = 0
    crossed: int = 0
    lost: int = 0
    under_way: int = 0
    arrived: int = 0
    rejected: int = 0
    counted: int = 0

    def remainder(self) -> int:
        """Return how many requests have no end by name.

        >>> LedgerRow(written=3, answered=1, killed=1).remainder()
        1
        """
        excused = self.killed + self.left + self.crossed
        ended = self.answered + self.broken_off + self.lost
        return self.written - ended - excused - self.under_way

    def unread(self) -> int:
        """Return how many were written and not read, by the process's own count."""
        return self.counted - self.arrived - self.rejected

    def faults(self) -> list[str]:
        """Return what does not add up for one process.

        >>> row = LedgerRow(written=3, answered=2, crossed=1, counted=3, arrived=3)
        >>> row.faults()
        ['3 were read, of 3 written and 1 taken for unread']
        >>> LedgerRow(written=2, answered=2, counted=2, arrived=1).faults()
        ['1 were never read, and 0 have an end that tells of it']
        """
        found = []
        if self.remainder():
            found.append(f"{self.remainder()} have no end by name")
        if self.counted and self.arrived > self.counted - self.crossed:
            text = f"{self.arrived} were read, of {self.counted} written"
            found.append(f"{text} and {self.crossed} taken for unread")
        explained = self.crossed + self.lost + self.left
        if self.unread() > explained:
            found.append(
                f"{self.unread()} were never read, and {explained} have an end that tells of it"
            )
        return found

    def describe(self) -> str:
        """Return the figures above 0."""
        return ", ".join(f"{name} {count}" for name, count in asdict(self).items() if count)


class ProcessTraffic(NamedTuple):
    """What a process says of the requests that it read; `at_us` is when it said so."""

    at_us: int
    arrived: int
    rejected: int


def read_traffic(path: Path) -> Iterator[ProcessTraffic]:
    """Return what the processes that wrote this log say of their requests."""
    for line in path.read_bytes().splitlines():
        with suppress(ValueError):
            facts: dict[str, Any] = orjson.loads(line)
            if facts.get("event") == TRAFFIC_EVENT:
                at_us = round(facts["at"] * 1e6)
                rejected = sum(facts["rejected"].values())
                yield ProcessTraffic(at_us, facts["requests"].get("arrived", 0), rejected)


class RequestLedger:
    """Hears of each request that is written, and adds up at the end."""

    def __init__(self, cluster: Cluster) -> None:
        """Listen to what the checker of this cluster is told."""
        self.cluster = cluster
        self.written: list[WrittenRequest] = []
        self.last_by_id: dict[bytes, WrittenRequest] = {}
        self.end_times_us: dict[ProcessKey, int] = {}
        invariant_checker = cluster.invariant_checker
        self.on_client_attempt: Callable[[ClientAttempt], None] = (
            invariant_checker.on_client_attempt
        )
        self.on_balancer_ended: Callable[[str, int, int, bool], None] = (
            invariant_checker.on_balancer_ended
        )
        setattr(invariant_checker, "on_client_attempt", self.on_written)  # noqa: B010
        setattr(invariant_checker, "on_balancer_ended", self.on_ended)  # noqa: B010

    def on_written(self, attempt: ClientAttempt) -> None:
        """The last byte of a request is written."""
        earlier = self.last_by_id.get(attempt.id)
        if earlier:
            earlier.was_resent = True
        key = ProcessKey(attempt.balancer, attempt.incarnation)
        request = WrittenRequest(attempt, key)
        self.last_by_id[attempt.id] = request
        self.written.append(request)
        self.on_client_attempt(attempt)

    def on_ended(self, balancer: str, incarnation: int, at: int, was_killed: bool) -> None:
        """A process has ended; what it logged, it logged before."""
        self.end_times_us[ProcessKey(balancer, incarnation)] = at
        self.on_balancer_ended(balancer, incarnation, at, was_killed)

    def rows(self) -> dict[ProcessKey, LedgerRow]:
        """Return the figures of each process that a request was written to."""
        rows: dict[ProcessKey, LedgerRow] = {}
        for request in self.written:
            row = rows.setdefault(request.process, LedgerRow())
            row.written += 1
            name = self._end_of(request)
            if name:
                setattr(row, name, getattr(row, name) + 1)
        return rows

    def _end_of(self, request: WrittenRequest) -> str:
        """Return the name of the figure that a request belongs to, empty for none."""
        attempt = request.attempt
        if request.was_resent:
            return "crossed"
        if attempt.status > 0:
            return "answered"
        if attempt.status < 0:
            return "broken_off" if attempt.first_answer_byte_us else "lost"
        end = self.cluster.process_end(*request.process)
        if end is ProcessEnd.KILLED:
            return "killed"
        if attempt.abandoned:
            return "left"
        is_in_time = self.cluster.loop.now < attempt.deadline_us + LOST_AFTER_US
        return "under_way" if is_in_time and end is ProcessEnd.RUNNING else ""

    def report(self) -> dict[str, dict[str, int]]:
        """Record a breach for all that does not add up; return what the verdict says."""
        rows = self.rows()
        for name in self.cluster.balancers:
            self._add_traffic(name, rows)
        total = LedgerRow()
        for process, row in rows.items():
            total.add(row)
            self._check(process, row)
        figures = asdict(total) | {"remainder": total.remainder(), "unread": total.unread()}
        return {"ledger": figures}

    def _add_traffic(self, name: str, rows: dict[ProcessKey, LedgerRow]) -> None:
        """Add what the balancer's processes say that ended by themselves."""
        ends = sorted(
            (at_us, process)
            for process, at_us in self.end_times_us.items()
            if process.balancer == name
        )
        for traffic in read_traffic(self.cluster.logs.log_path(name)):
            process = next((process for at_us, process in ends if at_us >= traffic.at_us), None)
            if process:
                row = rows.setdefault(process, LedgerRow())
                row.arrived = traffic.arrived
                row.rejected = traffic.rejected
                row.counted = row.written

    def _check(self, process: ProcessKey, row: LedgerRow) -> None:
        invariant_checker = self.cluster.invariant_checker
        now_us = self.cluster.loop.now
        who = f"process {process.incarnation} of {process.balancer}"
        invariant_checker.record_event(now_us, f"requests written to {who}: {row.describe()}")
        faults = row.faults()
        if self.cluster.process_end(*process) is ProcessEnd.EXITED and not row.counted:
            faults.append(f"it ended by itself and did not say what it read: {row.describe()}")
        for fault in faults:
            invariant_checker.record_breach("lost", now_us, f"requests to {who}: {fault}")
