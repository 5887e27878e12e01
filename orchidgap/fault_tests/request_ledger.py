"""Accounts for all requests that clients wrote, for each process of each balancer.

Each written request has to be answered or to have another known end; all others are lost. A
process that exited by itself also logs how many requests it read (event `traffic`). The requests
that it did not read must have been written while it closed the connection, abandoned by their
clients, or reported as lost. A request that its client treats as unread, because it was written
while the connection was being closed, must not have been read.
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
    """Identifies one process of a balancer."""

    balancer: str
    incarnation: int


@dataclass(slots=True, eq=False)
class WrittenRequest:
    """A request whose last byte was written to a connection of one process.

    `was_resent`: it was written while the connection was being closed, and its client resent it.
    """

    attempt: ClientAttempt
    process: ProcessKey
    was_resent: bool = False


@dataclass(slots=True)
class LedgerRow(Tally):
    """The ends of the requests that were written to one or several processes.

    Attributes:
        written: All written requests.
        answered: Requests with a complete answer.
        broken_off: Requests with a partial answer that their clients can recognize as such.
        killed: Requests whose process was ended by SIGKILL before its time to shut down was over.
        left: Requests that their clients abandoned.
        crossed: Requests that were written while the connection was being closed, and resent.
        lost: Requests that were reported to the invariant checker as lost.
        under_way: Requests whose deadline has not passed.
        arrived: Requests that the process read and passed on, by its own count, which it logs if it
            exits by itself.
        rejected: Requests that the process answered with an error before that, by its own count.
        counted: Requests written to processes that logged such a count.
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
        """Return how many requests have no known end.

        >>> LedgerRow(written=3, answered=1, killed=1).remainder()
        1
        """
        excused = self.killed + self.left + self.crossed
        ended = self.answered + self.broken_off + self.lost
        return self.written - ended - excused - self.under_way

    def unread(self) -> int:
        """Return how many requests were written but not read, by the process's own count."""
        return self.counted - self.arrived - self.rejected

    def faults(self) -> list[str]:
        """Return the inconsistencies in the counts of one process, as texts.

        >>> row = LedgerRow(written=3, answered=2, crossed=1, counted=3, arrived=3)
        >>> row.faults()
        ['3 were read, of 3 written and 1 resent as unread']
        >>> LedgerRow(written=2, answered=2, counted=2, arrived=1).faults()
        ['1 were never read, and 0 have an end that explains it']
        """
        found = []
        if self.remainder():
            found.append(f"{self.remainder()} have no known end")
        if self.counted and self.arrived > self.counted - self.crossed:
            text = f"{self.arrived} were read, of {self.counted} written"
            found.append(f"{text} and {self.crossed} resent as unread")
        explained = self.crossed + self.lost + self.left
        if self.unread() > explained:
            found.append(
                f"{self.unread()} were never read, and {explained} have an end that explains it"
            )
        return found

    def describe(self) -> str:
        """Return the counts above 0."""
        return ", ".join(f"{name} {count}" for name, count in asdict(self).items() if count)


class ProcessTraffic(NamedTuple):
    """A process's own counts of the requests that it read, and when it logged them."""

    at_us: int
    arrived: int
    rejected: int


def read_traffic(path: Path) -> Iterator[ProcessTraffic]:
    """Yield the request counts that processes have written to this log."""
    for line in path.read_bytes().splitlines():
        with suppress(ValueError):
            facts: dict[str, Any] = orjson.loads(line)
            if facts.get("event") == TRAFFIC_EVENT:
                at_us = round(facts["at"] * 1e6)
                rejected = sum(facts["rejected"].values())
                yield ProcessTraffic(at_us, facts["requests"].get("arrived", 0), rejected)


class RequestLedger:
    """Records each written request and checks the counts at the end."""

    def __init__(self, cluster: Cluster) -> None:
        """Intercept the calls to the invariant checker of this cluster."""
        self.cluster = cluster
        self.written: list[WrittenRequest] = []
        self.last_by_id: dict[bytes, WrittenRequest] = {}
        self.end_times_us: dict[ProcessKey, int] = {}
        self.logged: set[ProcessKey] = set()  # processes that logged what they had read
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
        """Record a request whose last byte was written."""
        earlier = self.last_by_id.get(attempt.id)
        if earlier:
            earlier.was_resent = True
        key = ProcessKey(attempt.balancer, attempt.incarnation)
        request = WrittenRequest(attempt, key)
        self.last_by_id[attempt.id] = request
        self.written.append(request)
        self.on_client_attempt(attempt)

    def on_ended(self, balancer: str, incarnation: int, at: int, was_killed: bool) -> None:
        """Record the end of a process; all that it logged precedes this time."""
        self.end_times_us[ProcessKey(balancer, incarnation)] = at
        self.on_balancer_ended(balancer, incarnation, at, was_killed)

    def rows(self) -> dict[ProcessKey, LedgerRow]:
        """Return the counts of each process that a request was written to."""
        rows: dict[ProcessKey, LedgerRow] = {}
        for request in self.written:
            row = rows.setdefault(request.process, LedgerRow())
            row.written += 1
            name = self._end_of(request)
            if name:
                setattr(row, name, getattr(row, name) + 1)
        return rows

    def _end_of(self, request: WrittenRequest) -> str:
        """Return the name of the count that a request belongs to, empty for none."""
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
        """Record a breach for each inconsistency; return the entry for the verdict line."""
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
        """Add the counts that a balancer's processes logged when they exited by themselves."""
        ends = sorted(
            (at_us, process)
            for process, at_us in self.end_times_us.items()
            if process.balancer == name
        )
        for traffic in read_traffic(self.cluster.logs.log_path(name)):
            process = next((process for at_us, process in ends if at_us >= traffic.at_us), None)
            if process:
                self.logged.add(process)
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
        has_exited = self.cluster.process_end(*process) is ProcessEnd.EXITED
        if has_exited and process not in self.logged:
            faults.append(f"it exited by itself without logging what it read: {row.describe()}")
        for fault in faults:
            invariant_checker.record_breach("lost", now_us, f"requests to {who}: {fault}")
