"""Judges a trial by what the peers saw and the list told, never by a balancer's own records.

`lost`: a req that a running balancer had taken got no whole final answer, or one that no host made for it.
`late`: an answer after the client timeout, more after a final answer, or a refusal that was held back.
`twice`: an effect that ran twice, or a dispatch or a deny by which it could have.
`drain`: a dispatch begun at a draining or gone host later than the grace after the balancer was told.
`cold`: a host that had just started, or the origin by misses at such hosts, was pushed over.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from hashlib import blake2b
from typing import Any

from hdrh.histogram import HdrHistogram

from orchidgap.simulation.plan import Plan, Work, micros, millis

RULES = ("lost", "twice", "late", "drain", "cold")
WINDOW = 10  # seconds of the worst window
UNRUN = frozenset(("full", "miss", "moved"))
MOST_TOLD = 50  # breaches told in words, of each rule
SMALL = 1 << 16  # bytes of a body up to which the last one is timed; above, the first
HELD = 60_000  # a refusal this long after the last that could be awaited was held back
TOLD_PART = 0.66  # of a cold host's load, from balancers that were told of its start
COLD_PART = 0.4  # of the origin's load, from which on misses at cold hosts have pushed it over


@dataclass(slots=True, eq=False)
class Op:
    """What a client wants, over all its tries. Times in microseconds."""

    number: int
    work: Work
    tenant: str
    key: int
    cost: int  # work at a core of speed 1
    born: int
    counts: bool = True
    done_at: int = 0
    tries: int = 0
    effects: int = 0


@dataclass(slots=True, eq=False)
class Arrival:
    """One dispatch, as its host saw it."""

    ask: Ask
    host: str
    group: str
    first_at: int
    out: bool = True
    took: int = 0
    outcome: str = ""  # what the host answered, once that was written
    flows: bool = False  # it still gives a large answer
    ended_at: int = 0


@dataclass(slots=True, eq=False)
class Ask:
    """One try of a client at one balancer."""

    id: bytes
    op: Op
    balancer: str
    life: int  # which of the balancer's lives
    came: int
    due: int
    sent: list[Arrival] = field(default_factory=list)
    made: dict[bytes, Arrival] = field(default_factory=dict)  # bodies that hosts made for it
    status: int = 0
    answered_at: int = 0
    left: bool = False  # its client went away first
    quiet_at: int = 0  # when the last of its dispatches ended
    effects: int = 0
    began: int = 0  # when its client began to write it
    first_at: int = 0  # when the first bytes of its answer came
    body: bytes = b""  # what its client sends
    most: int = 0  # dispatches that it may have, where that is not the plan's


class Referee:
    def __init__(self, plan: Plan, start: int, slack: int = 0) -> None:
        self.plan, self.start, self.slack = plan, start, slack
        self.asks: dict[bytes, Ask] = {}
        self.ops: list[Op] = []
        self.told: dict[tuple[str, str], tuple[str, int]] = {}  # (balancer, host): state, when
        self.starts: dict[
            tuple[str, str], int
        ] = {}  # (balancer, host): which start it was told of, ms
        self.doubles = 0  # uniqued writes that a client's own retry had done twice
        self.counts = dict.fromkeys(RULES, 0)
        self.breaches: list[tuple[str, float, str]] = []
        self.digest = blake2b(digest_size=8)
        self.fetches = 0
        self.useful = self.spent = 0
        self.bad, self.bad_served, self.bad_ignored = 0, 0, 0
        self.denied = self.aborted = 0
        self.dials = self.lists = 0  # connections to hosts; calls for the list
        self.large = 0  # bodies over 64 KiB that came whole, both ways
        self.calls = self.doors = (
            0  # of operators; reqs that met a refused, reset or unread connection
        )
        self.denials: dict[int, int] = {}
        self.latency = HdrHistogram(1, 60_000_000, 3)
        self.slow_connect = plan.ceilings.dispatches * millis(plan.net.connect_timeout_ms) + HELD
        self.grace = millis(plan.ceilings.drain_grace_ms)
        self.hidden_until = (
            0  # some host says nothing until then, and what was out there ends soon after
        )
        self.series: list[tuple[int, dict[str, Any]]] = []
        self.events: list[tuple[float, str]] = []  # troubles, for the report
        self.seconds: dict[int, list[float]] = {}  # by second: value asked, value in time
        self.waits: dict[int, list[int]] = {}  # by second: how long done reqs took

    # --- what peers tell

    def note(self, at: int, *what: object) -> None:
        """Everything that is seen goes into the trace's digest."""
        self.digest.update(repr((at - self.start, what)).encode())

    def breach(self, rule: str, at: int, text: str) -> None:
        self.counts[rule] += 1
        if self.counts[rule] <= MOST_TOLD:
            self.breaches.append((rule, (at - self.start) / 1e6, text))

    def event(self, at: int, text: str) -> None:
        self.events.append(((at - self.start) / 1e6, text))
        self.note(at, text)

    def taken(self, ask: Ask) -> None:
        """The req's last byte is written to a connection that a running balancer's machine accepted."""
        self.asks[ask.id] = ask
        ask.quiet_at = ask.came
        self.note(ask.came, "ask", ask.id, ask.balancer)

    def answer(self, ask: Ask, status: int, body: bytes, at: int) -> None:
        """A whole answer, at the time of its last byte."""
        self.note(at, "answer", ask.id, status)
        op, work = ask.op, ask.op.work
        who = f"{ask.id.decode()} ({work.name}) at {ask.balancer}"
        if len(body) > SMALL and ask.first_at:
            at = ask.first_at
        if ask.status or ask.left:
            if ask.status:
                self.breach("late", at, f"{who}: a second answer, {status} after {ask.status}")
            return
        ask.status, ask.answered_at = status, at
        if at > ask.due + self.slack:
            self.breach(
                "late",
                at,
                f"{who}: answered {(at - ask.due) / 1e3:.1f} ms after its client timeout",
            )
        if status == 200:
            mark = mark_of(body)
            if mark not in ask.made:
                self.breach("lost", at, f"{who}: a body that no host made for it")
            elif not op.done_at:
                op.done_at = at
                self.useful += ask.made[mark].took
                self.latency.record_value(max(1, at - op.born))
                self.waits.setdefault((at - self.start) // 1_000_000, []).append(at - op.born)
            return
        suspects = [sent for sent in ask.sent if sent.outcome not in UNRUN]
        if status in (429, 503):
            self.denied += 1
            if suspects and work.effect == "non-replayable":
                self.breach(
                    "twice", at, f"{who}: denied, though {suspects[0].host} may have run it"
                )
            if suspects and work.effect == "uniqued" and work.group != "all":
                self.breach(
                    "twice", at, f"{who}: denied, though a retry may leave the group that drops it"
                )
        else:
            self.aborted += 1
        second = (at - self.start) // 1_000_000
        self.denials[second] = self.denials.get(second, 0) + 1
        waited = at - max(ask.quiet_at, ask.came + millis(work.target_ms))
        if not any(sent.out for sent in ask.sent) and waited > self.slow_connect + self.slack:
            # on real sockets what is out at a host that says nothing is not seen
            if not (self.slack and at < self.hidden_until):
                self.breach(
                    "late", at, f"{who}: given up, and {status} held back for {waited / 1e3:.0f} ms"
                )

    def more(self, ask: Ask | None, at: int) -> None:
        """Bytes from the balancer that nobody asked for."""
        self.note(at, "more")
        self.breach(
            "late", at, f"{ask.id.decode() if ask else 'a connection'}: more after the final answer"
        )

    def broke(self, ask: Ask, at: int) -> None:
        """Its connection ended with no whole answer, while the balancer ran."""
        self.note(at, "broke", ask.id)
        if not ask.status and not ask.left:
            ask.status = -1
            self.breach(
                "lost", at, f"{ask.id.decode()} at {ask.balancer}: its connection ended unanswered"
            )

    def unfinished(self, ask: Ask, at: int) -> None:
        """Its client got a part of an answer and can tell; that is lost where its host was still giving."""
        self.note(at, "unfinished", ask.id)
        ask.status = -1
        self.aborted += 1
        if any(sent.flows for sent in ask.sent):
            self.breach(
                "lost",
                at,
                f"{ask.id.decode()} at {ask.balancer}: cut off what its host still gives",
            )

    def silent(self, ask: Ask, at: int) -> None:
        """Its time is up, its balancer ran all along, and nothing came."""
        if not ask.status and not ask.left:
            ask.status = -1
            self.breach("lost", at, f"{ask.id.decode()} at {ask.balancer}: never answered")

    def died(self, balancer: str, life: int, at: int) -> None:
        """Killed outright: what it held is its clients' to ask again."""
        self.note(at, "died", balancer)
        for ask in self.asks.values():
            if (ask.balancer, ask.life) == (balancer, life) and not ask.status:
                ask.left = True
        for told in (self.told, self.starts):
            for pair in [pair for pair in told if pair[0] == balancer]:
                del told[pair]

    def tell(self, balancer: str, host: str, state: str, at: int, start: int = 0) -> None:
        """The list was written to the balancer; `start` is the host's last one, in Unix milliseconds."""
        if start:
            self.starts[balancer, host] = start
        was = self.told.get((balancer, host), ("", 0))[0]
        if state != was:
            self.told[balancer, host] = state, at
            self.note(at, "told", balancer, host, state)

    def arrival(self, id: bytes, host: str, group: str, first_at: int, at: int) -> Arrival | None:
        """A dispatch is there to its last byte; None where no client sent this id."""
        ask = self.asks.get(id)
        if ask is None:
            self.breach("lost", at, f"{host}: an id that no client sent, {id[:40]!r}")
            return None
        self.note(at, "dispatch", id, host)
        work, now = ask.op.work, Arrival(ask, host, group, first_at)
        who = f"{id.decode()} ({work.name}) from {ask.balancer} to {host}"
        state, when = self.told.get((ask.balancer, host), ("", 0))
        if (
            state in ("draining", "gone")
            and first_at > when + self.grace + self.slack
            and not ask.left
        ):
            self.breach(
                "drain", at, f"{who}: {(first_at - when) / 1e3:.0f} ms after it was told {state}"
            )
        if ask.status and first_at > ask.answered_at + self.slack:
            self.breach(
                "twice" if work.write else "late", at, f"{who}: sent after the final answer"
            )
        suspects = [sent for sent in ask.sent if sent.outcome not in UNRUN]
        if suspects and work.effect == "non-replayable":
            self.breach(
                "twice", at, f"{who}: sent again, though {suspects[0].host} may have run it"
            )
        if suspects and work.effect == "uniqued":
            if first_at - suspects[0].first_at > millis(work.window_ms) + self.slack:
                self.breach(
                    "twice", at, f"{who}: sent again past the time in which repeats are dropped"
                )
            if any(sent.group != group for sent in suspects):
                self.breach("twice", at, f"{who}: sent again outside the group that drops repeats")
        if not self.plan.ceilings.may_double and any(sent.out for sent in ask.sent):
            self.breach("twice", at, f"{who}: a second copy while one is out")
        if sum(sent.outcome != "moved" for sent in ask.sent) >= (
            ask.most or self.plan.ceilings.dispatches
        ):
            self.breach("twice", at, f"{who}: dispatch {len(ask.sent) + 1}, more than may be")
        ask.sent.append(now)
        return now

    def settled(self, sent: Arrival, outcome: str, at: int, body: bytes = b"") -> None:
        """The host has begun to write its answer; a body counts as made for this req."""
        sent.out, sent.outcome, sent.ask.quiet_at, sent.ended_at = False, outcome, at, at
        if outcome == "done":
            sent.ask.made[mark_of(body)] = sent
        self.note(at, "settled", sent.ask.id, sent.host, outcome)

    def dropped(self, sent: Arrival, at: int) -> None:
        """The balancer closed the connection that this dispatch was out on."""
        if sent.out:
            sent.out, sent.ask.quiet_at = False, at

    def ran(self, sent: Arrival, took: int, at: int) -> None:
        """The work of a dispatch was done, and took so long at its host."""
        sent.took = took
        self.spent += took
        self.note(at, "ran", sent.ask.id)

    def effect(self, sent: Arrival, at: int) -> None:
        """A write took effect: never twice, whoever caused it."""
        op = sent.ask.op
        op.effects += 1
        sent.ask.effects += 1
        if op.work.effect == "uniqued" and op.effects > 1 and sent.ask.effects == 1:
            self.doubles += 1  # the window counts from the first send, which only its client knows
        elif op.work.effect != "replayable" and op.effects > 1:
            self.breach(
                "twice",
                at,
                f"{sent.ask.id.decode()} ({op.work.name}): took effect {op.effects} times",
            )

    def fell(self, host: str, part: float, is_origin: bool, at: int) -> None:
        """`part` of what pushed it over came from balancers that were told of its start or, at the origin,
        from misses at cold hosts."""
        self.event(at, f"{host} pushed over, {part:.0%} of it knowingly")
        if not is_origin:
            if part >= TOLD_PART:
                self.breach("cold", at, f"{host}: pushed over while cold")
        elif part > COLD_PART:
            self.breach(
                "cold", at, f"{host}: stopped, {part:.0%} of its load from misses at cold hosts"
            )

    # --- the end

    def value(self, ops: Iterable[Op]) -> float:
        asked = got = 0.0
        for op in ops:
            if op.counts:
                asked += op.work.value
                got += op.work.value * self.worth(op)
        return got / asked if asked else 1.0

    @staticmethod
    def worth(op: Op) -> float:
        if not op.done_at:
            return 0.0
        return 1.0 if op.done_at - op.born <= millis(op.work.target_ms) else op.work.late_value

    def worst_window(self) -> float:
        by: dict[int, list[float]] = {}
        for op in self.ops:
            if op.counts:
                row = by.setdefault((op.born - self.start) // 1_000_000, [0.0, 0.0])
                row[0] += op.work.value
                row[1] += op.work.value * self.worth(op)
        self.seconds = by
        last = max(by, default=0)
        windows = []
        for first in range(max(1, last - WINDOW + 2)):
            rows = [by[second] for second in range(first, first + WINDOW) if second in by]
            asked = sum(row[0] for row in rows)
            if asked:
                windows.append(sum(row[1] for row in rows) / asked)
        return min(windows, default=1.0)

    def verdict(self) -> dict[str, Any]:
        """The line that every trial ends with."""
        ops = [op for op in self.ops if op.counts]
        works = {
            work.name: self.value(op for op in ops if op.work is work) for work in self.plan.works()
        }
        tenants = {
            tenant.name: self.value(op for op in ops if op.tenant == tenant.name)
            for tenant in self.plan.tenants()
        }
        reads = sum(not op.work.write for op in ops)
        took = [
            round(self.latency.get_value_at_percentile(part) / 1e3, 1) for part in (50, 99, 99.9)
        ]
        return {
            "verdict": "broken" if any(self.counts.values()) else "kept",
            **self.counts,
            "service": round(self.value(ops), 4),
            "reqs": len(ops),
            "trace": self.digest.hexdigest(),
            "worst10s": round(self.worst_window(), 4),
            "worst_rule_set": min(works.items(), key=lambda item: item[1])[0],
            "worst_rule_set_service": round(min(works.values()), 4),
            "worst_tenant": min(tenants.items(), key=lambda item: item[1])[0],
            "worst_tenant_service": round(min(tenants.values()), 4),
            "fetches": round(self.fetches / reads, 4) if reads else 0.0,
            "wasted": round(1 - self.useful / self.spent, 4) if self.spent else 0.0,
            "p50_ms": took[0],
            "p99_ms": took[1],
            "p999_ms": took[2],
            "denied": self.denied,
            "aborted": self.aborted,
            "bad": self.bad,
            "bad_served": self.bad_served,
            "bad_ignored": self.bad_ignored,
            "doubles": self.doubles,
            "calls": self.calls,
            "doors": self.doors,
            "large": self.large,
            "dials": self.dials,
            "lists": self.lists,
        }


def mark_of(body: bytes) -> bytes:
    """What stands for a body: itself, or its digest where it is large.

    >>> mark_of(b"small"), len(mark_of(b"x" * 100_000))
    (b'small', 16)
    """
    return body if len(body) <= SMALL else blake2b(body, digest_size=16).digest()


def seconds_of(plan: Plan) -> int:
    """How long a trial lasts in microseconds: its reqs, and the last client's wait."""
    return micros(plan.seconds) + millis(max(work.timeout_ms for work in plan.works())) + 1_000_000
