"""What the stages of the decisions stand on: the chain and the agenda. Nothing is decided here."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from heapq import heappop, heappush
from itertools import pairwise
from typing import Any, Generic, Protocol, TypeVar

from orchidgap.decisions.ports import Port
from orchidgap.decisions.records import (
    Attempt,
    AttemptOutcome,
    HostState,
    Request,
    possibly_executed,
)


class PipelineContext(Protocol):
    """What a stage asks of whoever it works for."""

    now: int

    def hold(self, req: Request) -> None:
        """Have it given up in time, should no host be found."""


D = TypeVar("D", bound=PipelineContext)


class Stage(Generic[D]):
    """One link of the chain: `take` passes a req down, `back` passes what came of a dispatch up."""

    next: Stage[D]
    prev: Stage[D]

    def __init__(self, desk: D) -> None:
        self.desk = desk
        self.held: deque[Request] = deque()
        self.hosts: list[HostState] = []

    def choose(self, req: Request) -> HostState | None:
        raise NotImplementedError

    def drain(self) -> None:
        """Send on what is held, oldest first, as long as `choose` finds a host."""
        while self.held:
            host = None if self.held[0].answered else self.choose(self.held[0])
            if host is None and not self.held[0].answered:
                return
            req = self.held.popleft()
            if host is not None:
                self.next.take(req, host)

    def keep(self, req: Request, first: bool = False) -> None:
        (self.held.appendleft if first else self.held.append)(req)
        self.desk.hold(req)

    def oldest_wait(self) -> int:
        return self.desk.now - next(
            (req.received_at_us for req in self.held if not req.answered), self.desk.now
        )

    def take(self, req: Request, host: HostState | None = None) -> None:
        self.next.take(req, host)

    def back(self, req: Request, sent: Attempt) -> None:
        self.prev.back(req, sent)


def connect_stages(*stages: Stage[Any]) -> None:
    for above, below in pairwise(stages):
        above.next, below.prev = below, above


class TimerQueue:
    """What is due when, on one wake-up at a time; a wake-up can be `SLACK` late."""

    SLACK = 10_000

    def __init__(self, port: Port, now: int) -> None:
        self.port, self.now = port, now
        self.entries: list[tuple[int, int, Callable[[Any], None], Any]] = []
        self.count = self.woken_at = 0

    def call_later(self, delay: int, act: Callable[[Any], None], what: Any = None) -> None:
        self.count += 1
        heappush(self.entries, (self.now + delay, self.count, act, what))
        self.arm()

    def on_wake(self, token: int) -> None:
        if token == self.woken_at:
            self.woken_at = 0
        while self.entries and self.entries[0][0] <= self.now:
            _, _, act, what = heappop(self.entries)
            act(what)
        self.arm()

    def arm(self) -> None:
        if self.entries and (not self.woken_at or self.entries[0][0] < self.woken_at - self.SLACK):
            self.woken_at = max(self.now, self.entries[0][0]) + self.SLACK
            self.port.wake(self.woken_at - self.now, self.woken_at)


class RequestTable(TimerQueue):
    """Ids come in here: what becomes of a dispatch is booked once and then runs up the chain."""

    sender: Stage[Any]

    def __init__(self, port: Port, now: int) -> None:
        super().__init__(port, now)
        self.requests: dict[int, Request] = {}
        self.hosts: dict[str, HostState] = {}

    def latest_start_us(self, id: int, number: int) -> int:
        """Until when that dispatch may be written. A repeat of what may have run has to be at its host before
        its mark is forgotten there, and the connection for it can come up late."""
        req = self.requests.get(id)
        if req is None:
            return 0
        doubtful = (
            possibly_executed(req.attempts[:number]) if req.request_class.idempotency_keyed else []
        )
        return (
            min(
                req.deadline_us,
                doubtful[0].started_at_us + req.request_class.deduplication_window_us,
            )
            if doubtful
            else req.deadline_us
        )

    def end(self, req: Request) -> None:
        req.answered = True
        if not req.in_flight:
            self.requests.pop(req.id, None)

    def on_outcome(self, id: int, number: int, outcome: AttemptOutcome, over: bool) -> None:
        req = self.requests.get(id)
        if req is None or number >= len(req.attempts) or req.attempts[number].outcome:
            return
        sent = req.attempts[number]
        sent.outcome = outcome
        req.in_flight -= 1
        sent.host.in_flight -= not req.body_streaming
        if over:
            self.end(req)
        self.sender.back(req, sent)
        if req.answered and not req.in_flight:
            self.requests.pop(id, None)

    def on_client_gone(self, id: int) -> None:
        if id in self.requests:
            self.end(self.requests[id])

    def on_body_discarded(self, id: int) -> None:
        """Its body is not kept: no further dispatch can carry it."""
        if req := self.requests.get(id):
            req.max_attempts = len(req.attempts) - req.redirects

    def on_sibling_in_flight(self, outs: dict[str, int]) -> None:
        """What other processes of this balancer have out, by host."""
        for id, host in self.hosts.items():
            host.in_flight_elsewhere = outs.get(id, 0)
