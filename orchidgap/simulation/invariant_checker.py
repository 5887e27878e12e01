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

from orchidgap.simulation.plan import Plan, RequestClassSpec, milliseconds_to_us, seconds_to_us

RULES = ("lost", "twice", "late", "drain", "cold")
WINDOW = 10  # seconds of the worst window
NEVER_EXECUTED = frozenset(("full", "miss", "moved"))
MOST_TOLD = 50  # breaches told in words, of each rule
LARGE_BODY_BYTES = 1 << 16  # bytes of a body up to which the last one is timed; above, the first
HELD = 60_000  # a refusal this long after the last that could be awaited was held back
TOLD_PART = 0.66  # of a cold host's load, from balancers that were told of its start
COLD_PART = 0.4  # of the origin's load, from which on misses at cold hosts have pushed it over


@dataclass(slots=True, eq=False)
class Operation:
    """What a client wants, over all its tries. Times in microseconds."""

    number: int
    request_class: RequestClassSpec
    tenant: str
    key: int
    work_us: int  # work at a core of speed 1
    created_at_us: int
    counted: bool = True
    completed_at_us: int = 0
    attempt_count: int = 0
    effect_count: int = 0


@dataclass(slots=True, eq=False)
class HostAttempt:
    """One dispatch, as its host saw it."""

    client_attempt: ClientAttempt
    host: str
    group: str
    first_byte_at_us: int
    in_flight: bool = True
    work_us: int = 0
    outcome: str = ""  # what the host answered, once that was written
    streaming: bool = False  # it still gives a large answer
    ended_at_us: int = 0


@dataclass(slots=True, eq=False)
class ClientAttempt:
    """One try of a client at one balancer."""

    id: bytes
    operation: Operation
    balancer: str
    incarnation: int  # which of the balancer's lives
    arrived_at_us: int
    deadline_us: int
    host_attempts: list[HostAttempt] = field(default_factory=list)
    produced_bodies: dict[bytes, HostAttempt] = field(
        default_factory=dict
    )  # bodies that hosts made for it
    status: int = 0
    answered_at_us: int = 0
    abandoned: bool = False  # its client went away first
    last_attempt_ended_us: int = 0  # when the last of its dispatches ended
    effect_count: int = 0
    write_started_us: int = 0  # when its client began to write it
    first_answer_byte_us: int = 0  # when the first bytes of its answer came
    body: bytes = b""  # what its client sends
    max_attempts: int = 0  # dispatches that it may have, where that is not the plan's


class InvariantChecker:
    def __init__(self, plan: Plan, start: int, slack: int = 0) -> None:
        self.plan, self.started_at_us, self.tolerance_us = plan, start, slack
        self.client_attempts: dict[bytes, ClientAttempt] = {}
        self.operations: list[Operation] = []
        self.notified_states: dict[
            tuple[str, str], tuple[str, int]
        ] = {}  # (balancer, host): state, when
        self.notified_starts: dict[
            tuple[str, str], int
        ] = {}  # (balancer, host): which start it was told of, ms
        self.client_duplicates = 0  # uniqued writes that a client's own retry had done twice
        self.breach_counts = dict.fromkeys(RULES, 0)
        self.breaches: list[tuple[str, float, str]] = []
        self.digest = blake2b(digest_size=8)
        self.origin_fetches = 0
        self.useful_work_us = self.spent_work_us = 0
        self.bad_requests, self.bad_served, self.bad_ignored = 0, 0, 0
        self.rejected = self.aborted = 0
        self.connections_dialled = self.list_calls = 0  # connections to hosts; calls for the list
        self.large_bodies = 0  # bodies over 64 KiB that came whole, both ways
        self.operator_calls = self.failed_connections = (
            0  # of operators; reqs that met a refused, reset or unread connection
        )
        self.rejections_by_second: dict[int, int] = {}
        self.latency = HdrHistogram(1, 60_000_000, 3)
        self.max_connect_us = (
            plan.limits.max_attempts * milliseconds_to_us(plan.network.connect_timeout_ms) + HELD
        )
        self.drain_grace_us = milliseconds_to_us(plan.limits.drain_grace_ms)
        self.silent_host_until_us = (
            0  # some host says nothing until then, and what was out there ends soon after
        )
        self.series: list[tuple[int, dict[str, Any]]] = []
        self.events: list[tuple[float, str]] = []  # troubles, for the report
        self.value_by_second: dict[int, list[float]] = {}  # by second: value asked, value in time
        self.latencies_by_second: dict[int, list[int]] = {}  # by second: how long done reqs took

    # --- what peers tell

    def add_to_trace(self, at: int, *what: object) -> None:
        """Everything that is seen goes into the trace's digest."""
        self.digest.update(repr((at - self.started_at_us, what)).encode())

    def record_breach(self, rule: str, at: int, text: str) -> None:
        self.breach_counts[rule] += 1
        if self.breach_counts[rule] <= MOST_TOLD:
            self.breaches.append((rule, (at - self.started_at_us) / 1e6, text))

    def record_event(self, at: int, text: str) -> None:
        self.events.append(((at - self.started_at_us) / 1e6, text))
        self.add_to_trace(at, text)

    def on_client_attempt(self, ask: ClientAttempt) -> None:
        """The req's last byte is written to a connection that a running balancer's machine accepted."""
        self.client_attempts[ask.id] = ask
        ask.last_attempt_ended_us = ask.arrived_at_us
        self.add_to_trace(ask.arrived_at_us, "ask", ask.id, ask.balancer)

    def on_answer(self, ask: ClientAttempt, status: int, body: bytes, at: int) -> None:
        """A whole answer, at the time of its last byte."""
        self.add_to_trace(at, "answer", ask.id, status)
        op, work = ask.operation, ask.operation.request_class
        who = f"{ask.id.decode()} ({work.name}) at {ask.balancer}"
        if len(body) > LARGE_BODY_BYTES and ask.first_answer_byte_us:
            at = ask.first_answer_byte_us
        if ask.status or ask.abandoned:
            if ask.status:
                self.record_breach(
                    "late", at, f"{who}: a second answer, {status} after {ask.status}"
                )
            return
        ask.status, ask.answered_at_us = status, at
        if at > ask.deadline_us + self.tolerance_us:
            self.record_breach(
                "late",
                at,
                f"{who}: answered {(at - ask.deadline_us) / 1e3:.1f} ms after its client timeout",
            )
        if status == 200:
            mark = body_fingerprint(body)
            if mark not in ask.produced_bodies:
                self.record_breach("lost", at, f"{who}: a body that no host made for it")
            elif not op.completed_at_us:
                op.completed_at_us = at
                self.useful_work_us += ask.produced_bodies[mark].work_us
                self.latency.record_value(max(1, at - op.created_at_us))
                self.latencies_by_second.setdefault(
                    (at - self.started_at_us) // 1_000_000, []
                ).append(at - op.created_at_us)
            return
        suspects = [sent for sent in ask.host_attempts if sent.outcome not in NEVER_EXECUTED]
        if status in (429, 503):
            self.rejected += 1
            if suspects and work.effect == "non-replayable":
                self.record_breach(
                    "twice", at, f"{who}: denied, though {suspects[0].host} may have run it"
                )
            if suspects and work.effect == "uniqued" and work.deduplication_scope != "all":
                self.record_breach(
                    "twice", at, f"{who}: denied, though a retry may leave the group that drops it"
                )
        else:
            self.aborted += 1
        second = (at - self.started_at_us) // 1_000_000
        self.rejections_by_second[second] = self.rejections_by_second.get(second, 0) + 1
        waited = at - max(
            ask.last_attempt_ended_us,
            ask.arrived_at_us + milliseconds_to_us(work.latency_objective_ms),
        )
        if (
            not any(sent.in_flight for sent in ask.host_attempts)
            and waited > self.max_connect_us + self.tolerance_us
        ):
            # on real sockets what is out at a host that says nothing is not seen
            if not (self.tolerance_us and at < self.silent_host_until_us):
                self.record_breach(
                    "late", at, f"{who}: given up, and {status} held back for {waited / 1e3:.0f} ms"
                )

    def on_extra_bytes(self, ask: ClientAttempt | None, at: int) -> None:
        """Bytes from the balancer that nobody asked for."""
        self.add_to_trace(at, "more")
        self.record_breach(
            "late", at, f"{ask.id.decode() if ask else 'a connection'}: more after the final answer"
        )

    def on_connection_lost(self, ask: ClientAttempt, at: int) -> None:
        """Its connection ended with no whole answer, while the balancer ran."""
        self.add_to_trace(at, "broke", ask.id)
        if not ask.status and not ask.abandoned:
            ask.status = -1
            self.record_breach(
                "lost", at, f"{ask.id.decode()} at {ask.balancer}: its connection ended unanswered"
            )

    def on_truncated_answer(self, ask: ClientAttempt, at: int) -> None:
        """Its client got a part of an answer and can tell; that is lost where its host was still giving."""
        self.add_to_trace(at, "unfinished", ask.id)
        ask.status = -1
        self.aborted += 1
        if any(sent.streaming for sent in ask.host_attempts):
            self.record_breach(
                "lost",
                at,
                f"{ask.id.decode()} at {ask.balancer}: cut off what its host still gives",
            )

    def on_no_answer(self, ask: ClientAttempt, at: int) -> None:
        """Its time is up, its balancer ran all along, and nothing came."""
        if not ask.status and not ask.abandoned:
            ask.status = -1
            self.record_breach("lost", at, f"{ask.id.decode()} at {ask.balancer}: never answered")

    def on_balancer_killed(self, balancer: str, life: int, at: int) -> None:
        """Killed outright: what it held is its clients' to ask again."""
        self.add_to_trace(at, "died", balancer)
        for ask in self.client_attempts.values():
            if (ask.balancer, ask.incarnation) == (balancer, life) and not ask.status:
                ask.abandoned = True
        for told in (self.notified_states, self.notified_starts):
            for pair in [pair for pair in told if pair[0] == balancer]:
                del told[pair]

    def on_list_written(
        self, balancer: str, host: str, state: str, at: int, start: int = 0
    ) -> None:
        """The list was written to the balancer; `start` is the host's last one, in Unix milliseconds."""
        if start:
            self.notified_starts[balancer, host] = start
        was = self.notified_states.get((balancer, host), ("", 0))[0]
        if state != was:
            self.notified_states[balancer, host] = state, at
            self.add_to_trace(at, "told", balancer, host, state)

    def on_host_attempt(
        self, id: bytes, host: str, group: str, first_at: int, at: int
    ) -> HostAttempt | None:
        """A dispatch is there to its last byte; None where no client sent this id."""
        ask = self.client_attempts.get(id)
        if ask is None:
            self.record_breach("lost", at, f"{host}: an id that no client sent, {id[:40]!r}")
            return None
        self.add_to_trace(at, "dispatch", id, host)
        work, now = ask.operation.request_class, HostAttempt(ask, host, group, first_at)
        who = f"{id.decode()} ({work.name}) from {ask.balancer} to {host}"
        state, when = self.notified_states.get((ask.balancer, host), ("", 0))
        if (
            state in ("draining", "gone")
            and first_at > when + self.drain_grace_us + self.tolerance_us
            and not ask.abandoned
        ):
            self.record_breach(
                "drain", at, f"{who}: {(first_at - when) / 1e3:.0f} ms after it was told {state}"
            )
        if ask.status and first_at > ask.answered_at_us + self.tolerance_us:
            self.record_breach(
                "twice" if work.write else "late", at, f"{who}: sent after the final answer"
            )
        suspects = [sent for sent in ask.host_attempts if sent.outcome not in NEVER_EXECUTED]
        if suspects and work.effect == "non-replayable":
            self.record_breach(
                "twice", at, f"{who}: sent again, though {suspects[0].host} may have run it"
            )
        if suspects and work.effect == "uniqued":
            if (
                first_at - suspects[0].first_byte_at_us
                > milliseconds_to_us(work.deduplication_window_ms) + self.tolerance_us
            ):
                self.record_breach(
                    "twice", at, f"{who}: sent again past the time in which repeats are dropped"
                )
            if any(sent.group != group for sent in suspects):
                self.record_breach(
                    "twice", at, f"{who}: sent again outside the group that drops repeats"
                )
        if not self.plan.limits.may_hedge and any(sent.in_flight for sent in ask.host_attempts):
            self.record_breach("twice", at, f"{who}: a second copy while one is out")
        if sum(sent.outcome != "moved" for sent in ask.host_attempts) >= (
            ask.max_attempts or self.plan.limits.max_attempts
        ):
            self.record_breach(
                "twice", at, f"{who}: dispatch {len(ask.host_attempts) + 1}, more than may be"
            )
        ask.host_attempts.append(now)
        return now

    def on_attempt_settled(
        self, sent: HostAttempt, outcome: str, at: int, body: bytes = b""
    ) -> None:
        """The host has begun to write its answer; a body counts as made for this req."""
        (
            sent.in_flight,
            sent.outcome,
            sent.client_attempt.last_attempt_ended_us,
            sent.ended_at_us,
        ) = False, outcome, at, at
        if outcome == "done":
            sent.client_attempt.produced_bodies[body_fingerprint(body)] = sent
        self.add_to_trace(at, "settled", sent.client_attempt.id, sent.host, outcome)

    def on_attempt_dropped(self, sent: HostAttempt, at: int) -> None:
        """The balancer closed the connection that this dispatch was out on."""
        if sent.in_flight:
            sent.in_flight, sent.client_attempt.last_attempt_ended_us = False, at

    def on_work_done(self, sent: HostAttempt, took: int, at: int) -> None:
        """The work of a dispatch was done, and took so long at its host."""
        sent.work_us = took
        self.spent_work_us += took
        self.add_to_trace(at, "ran", sent.client_attempt.id)

    def on_effect(self, sent: HostAttempt, at: int) -> None:
        """A write took effect: never twice, whoever caused it."""
        op = sent.client_attempt.operation
        op.effect_count += 1
        sent.client_attempt.effect_count += 1
        if (
            op.request_class.effect == "uniqued"
            and op.effect_count > 1
            and sent.client_attempt.effect_count == 1
        ):
            self.client_duplicates += (
                1  # the window counts from the first send, which only its client knows
            )
        elif op.request_class.effect != "replayable" and op.effect_count > 1:
            self.record_breach(
                "twice",
                at,
                f"{sent.client_attempt.id.decode()} ({op.request_class.name}): took effect {op.effect_count} times",
            )

    def on_host_overloaded(self, host: str, part: float, is_origin: bool, at: int) -> None:
        """`part` of what pushed it over came from balancers that were told of its start or, at the origin,
        from misses at cold hosts."""
        self.record_event(at, f"{host} pushed over, {part:.0%} of it knowingly")
        if not is_origin:
            if part >= TOLD_PART:
                self.record_breach("cold", at, f"{host}: pushed over while cold")
        elif part > COLD_PART:
            self.record_breach(
                "cold", at, f"{host}: stopped, {part:.0%} of its load from misses at cold hosts"
            )

    # --- the end

    def service_ratio(self, ops: Iterable[Operation]) -> float:
        asked = got = 0.0
        for op in ops:
            if op.counted:
                asked += op.request_class.priority_weight
                got += op.request_class.priority_weight * self.worth(op)
        return got / asked if asked else 1.0

    @staticmethod
    def worth(op: Operation) -> float:
        if not op.completed_at_us:
            return 0.0
        return (
            1.0
            if op.completed_at_us - op.created_at_us
            <= milliseconds_to_us(op.request_class.latency_objective_ms)
            else op.request_class.late_value_ratio
        )

    def worst_window_service(self) -> float:
        by: dict[int, list[float]] = {}
        for op in self.operations:
            if op.counted:
                row = by.setdefault(
                    (op.created_at_us - self.started_at_us) // 1_000_000, [0.0, 0.0]
                )
                row[0] += op.request_class.priority_weight
                row[1] += op.request_class.priority_weight * self.worth(op)
        self.value_by_second = by
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
        ops = [op for op in self.operations if op.counted]
        works = {
            work.name: self.service_ratio(op for op in ops if op.request_class is work)
            for work in self.plan.request_classes()
        }
        tenants = {
            tenant.name: self.service_ratio(op for op in ops if op.tenant == tenant.name)
            for tenant in self.plan.tenants()
        }
        reads = sum(not op.request_class.write for op in ops)
        took = [
            round(self.latency.get_value_at_percentile(part) / 1e3, 1) for part in (50, 99, 99.9)
        ]
        return {
            "verdict": "broken" if any(self.breach_counts.values()) else "kept",
            **self.breach_counts,
            "service": round(self.service_ratio(ops), 4),
            "reqs": len(ops),
            "trace": self.digest.hexdigest(),
            "worst10s": round(self.worst_window_service(), 4),
            "worst_rule_set": min(works.items(), key=lambda item: item[1])[0],
            "worst_rule_set_service": round(min(works.values()), 4),
            "worst_tenant": min(tenants.items(), key=lambda item: item[1])[0],
            "worst_tenant_service": round(min(tenants.values()), 4),
            "fetches": round(self.origin_fetches / reads, 4) if reads else 0.0,
            "wasted": round(1 - self.useful_work_us / self.spent_work_us, 4)
            if self.spent_work_us
            else 0.0,
            "p50_ms": took[0],
            "p99_ms": took[1],
            "p999_ms": took[2],
            "denied": self.rejected,
            "aborted": self.aborted,
            "bad": self.bad_requests,
            "bad_served": self.bad_served,
            "bad_ignored": self.bad_ignored,
            "doubles": self.client_duplicates,
            "calls": self.operator_calls,
            "doors": self.failed_connections,
            "large": self.large_bodies,
            "dials": self.connections_dialled,
            "lists": self.list_calls,
        }


def body_fingerprint(body: bytes) -> bytes:
    """What stands for a body: itself, or its digest where it is large.

    >>> body_fingerprint(b"small"), len(body_fingerprint(b"x" * 100_000))
    (b'small', 16)
    """
    return body if len(body) <= LARGE_BODY_BYTES else blake2b(body, digest_size=16).digest()


def simulated_duration_us(plan: Plan) -> int:
    """How long a trial lasts in microseconds: its reqs, and the last client's wait."""
    return (
        seconds_to_us(plan.duration_s)
        + milliseconds_to_us(max(work.client_timeout_ms for work in plan.request_classes()))
        + 1_000_000
    )
