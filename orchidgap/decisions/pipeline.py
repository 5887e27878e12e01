"""What the stages of the decisions stand on: the chain and the agenda. Nothing is decided here."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from heapq import heappop, heappush
from itertools import pairwise
from typing import Any, Generic, Protocol, TypeVar

from orchidgap.decisions.ports import Port
from orchidgap.decisions.records import Host, Req, Sent, suspects


class Desk(Protocol):
    """What a stage asks of whoever it works for."""

    now: int

    def hold(self, req: Req) -> None:
        """Have it given up in time, should no host be found."""


D = TypeVar("D", bound=Desk)


class Stage(Generic[D]):
    """One link of the chain: `take` passes a req down, `back` passes what came of a dispatch up."""

    next: Stage[D]
    prev: Stage[D]

    def __init__(self, desk: D) -> None:
        self.desk = desk
        self.held: deque[Req] = deque()
        self.hosts: list[Host] = []

    def choose(self, req: Req) -> Host | None:
        raise NotImplementedError

    def drain(self) -> None:
        """Send on what is held, oldest first, as long as `choose` finds a host."""
        while self.held:
            host = None if self.held[0].over else self.choose(self.held[0])
            if host is None and not self.held[0].over:
                return
            req = self.held.popleft()
            if host is not None:
                self.next.take(req, host)

    def keep(self, req: Req, first: bool = False) -> None:
        (self.held.appendleft if first else self.held.append)(req)
        self.desk.hold(req)

    def oldest_wait(self) -> int:
        return self.desk.now - next((req.born for req in self.held if not req.over), self.desk.now)

    def take(self, req: Req, host: Host | None = None) -> None:
        self.next.take(req, host)

    def back(self, req: Req, sent: Sent) -> None:
        self.prev.back(req, sent)


def link(*stages: Stage[Any]) -> None:
    for above, below in pairwise(stages):
        above.next, below.prev = below, above


class Agenda:
    """What is due when, on one wake-up at a time; a wake-up can be `SLACK` late."""

    SLACK = 10_000

    def __init__(self, port: Port, now: int) -> None:
        self.port, self.now = port, now
        self.entries: list[tuple[int, int, Callable[[Any], None], Any]] = []
        self.count = self.woken_at = 0

    def later(self, delay: int, act: Callable[[Any], None], what: Any = None) -> None:
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


class Door(Agenda):
    """Ids come in here: what becomes of a dispatch is booked once and then runs up the chain."""

    sender: Stage[Any]

    def __init__(self, port: Port, now: int) -> None:
        super().__init__(port, now)
        self.reqs: dict[int, Req] = {}
        self.hosts: dict[str, Host] = {}

    def latest(self, id: int, number: int) -> int:
        """Until when that dispatch may be written. A repeat of what may have run has to be at its host before
        its mark is forgotten there, and the connection for it can come up late."""
        req = self.reqs.get(id)
        if req is None:
            return 0
        doubtful = suspects(req.sent[:number]) if req.rule_set.uniqued else []
        return min(req.due, doubtful[0].at + req.rule_set.repeat_window) if doubtful else req.due

    def end(self, req: Req) -> None:
        req.over = True
        if not req.out:
            self.reqs.pop(req.id, None)

    def on_outcome(self, id: int, number: int, verdict: str, over: bool) -> None:
        req = self.reqs.get(id)
        if req is None or number >= len(req.sent) or req.sent[number].verdict:
            return
        sent = req.sent[number]
        sent.verdict = verdict
        req.out -= 1
        sent.host.out -= not req.flows
        if over:
            self.end(req)
        self.sender.back(req, sent)
        if req.over and not req.out:
            self.reqs.pop(id, None)

    def on_hangup(self, id: int) -> None:
        if id in self.reqs:
            self.end(self.reqs[id])

    def on_spent(self, id: int) -> None:
        """Its body is not kept: no further dispatch can carry it."""
        if req := self.reqs.get(id):
            req.most = len(req.sent) - req.hops

    def on_away(self, outs: dict[str, int]) -> None:
        """What other processes of this balancer have out, by host."""
        for id, host in self.hosts.items():
            host.away = outs.get(id, 0)
