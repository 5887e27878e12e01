"""Judges a simulation by what clients, hosts and discovery saw, never by a balancer's own records.

Rules, by their keys in the verdict line:

`lost`: a request that a running balancer had taken got no whole final answer, or one that no host
made for it; an attempt began after its client had closed its connection; or balancers rejected all
for seconds on end. `late`: an answer after the client timeout, more after a final answer, or a
refusal that was held back. `twice`: an effect that ran twice, or an attempt or a rejection by which
it could have. `drain`: an attempt begun at a draining or gone host later than the grace after the
balancer was told. `cold`: a host that had just started, or the origin by misses at such hosts, was
pushed over.
"""

from __future__ import annotations

from collections.abc import Callable
from hashlib import blake2b
from typing import Any, NamedTuple

from hdrh.histogram import HdrHistogram

from orchidgap.simulation.departure_checker import DepartureChecker
from orchidgap.simulation.lateness import FailedAnswer, LateAnswer, LatenessChecker
from orchidgap.simulation.observations import (
    LARGE_BODY_BYTES,
    ClientAttempt,
    HostAttempt,
    Operation,
    body_fingerprint,
)
from orchidgap.simulation.plan import Plan, milliseconds_to_us, seconds_to_us
from orchidgap.simulation.repeat_checker import RepeatChecker

RULES = ("lost", "twice", "late", "drain", "cold")
MAX_DESCRIBED_BREACHES = 50  # of each rule; the others are only counted
# after its client timeout a request that has no answer is lost
LOST_AFTER_US = 500_000
# of a cold host's load, from balancers that were notified of its start
NOTIFIED_LOAD_RATIO = 0.66
# of the origin's load, from which on misses at cold hosts have pushed it over
COLD_MISS_LOAD_RATIO = 0.4


class Rejection(NamedTuple):
    """A client was denied.

    Attributes:
        at_us: When it had the answer.
        balancer: Whose answer it was.
        had_capacity: Hosts of each kind had a core to spare.
    """

    at_us: int
    balancer: str
    had_capacity: bool


class InvariantChecker:
    """Hears what the peers saw, as it happens, and counts the breaches of each rule.

    Args:
        plan: What is played.
        start: When it began, microseconds on the run's clock; so are all times that it hears.
        slack: By how much, in microseconds, each limit is longer: for real sockets.
    """

    def __init__(self, plan: Plan, start: int, slack: int = 0) -> None:
        """Begin with nothing seen."""
        self.plan = plan
        self.started_at_us = start
        self.tolerance_us = slack
        self.drain_grace_us = milliseconds_to_us(plan.limits.drain_grace_ms)

        self.client_attempts: dict[bytes, ClientAttempt] = {}
        self.operations: list[Operation] = []
        # by (balancer, host): the state it was notified of last, and when
        self.notified_states: dict[tuple[str, str], tuple[str, int]] = {}
        # by (balancer, host): the host's start that it was notified of, in Unix milliseconds
        self.notified_starts: dict[tuple[str, str], int] = {}

        self.breach_counts = dict.fromkeys(RULES, 0)
        self.breaches: list[tuple[str, float, str]] = []  # rule, seconds, description
        self.lateness = LatenessChecker(plan, slack, self.record_breach)
        self.repeats = RepeatChecker(plan.limits, slack, self.record_breach)
        self.departures = DepartureChecker(slack, self.lateness, self.record_breach)
        self.digest = blake2b(digest_size=8)
        self.latency = HdrHistogram(1, 60_000_000, 3)
        self.useful_work_us = 0
        self.spent_work_us = 0
        self.origin_fetches = 0
        self.client_duplicates = 0  # keyed writes that a client's own retry had done twice
        self.bad_requests = 0
        self.bad_served = 0
        self.bad_ignored = 0
        self.rejected = 0
        # of these, while hosts of each kind had a core to spare
        self.rejected_with_room = 0
        self.rejections: list[Rejection] = []
        self.hosts_have_capacity: Callable[[], bool] = lambda: False
        self.answered_failed = 0  # with neither 200 nor a refusal
        self.truncated = 0  # answers that were cut off, as their clients could tell
        self.cut_while_written = 0  # requests whose connection ended before their last byte
        self.connections_dialled = 0  # to hosts
        self.list_calls = 0
        self.large_bodies = 0  # that came whole, both ways
        self.operator_calls = 0
        self.failed_connections = 0  # requests that met a refused, reset or unread connection
        self.sent_once_more = 0  # of these, whose connection had been closed before

        # for the report, by seconds from the start
        self.series: list[tuple[int, dict[str, Any]]] = []
        self.events: list[tuple[float, str]] = []
        self.value_by_second: dict[int, list[float]] = {}
        self.rejections_by_second: dict[int, int] = {}
        self.latencies_by_second: dict[int, list[int]] = {}

    def add_to_trace(self, at: int, *what: object) -> None:
        """Everything that is seen goes into the trace's digest."""
        self.digest.update(repr((at - self.started_at_us, what)).encode())

    def record_breach(self, rule: str, at: int, text: str) -> None:
        """Count a breach of a rule at a time in microseconds, and keep the first ones'
        descriptions.
        """
        self.breach_counts[rule] += 1
        if self.breach_counts[rule] <= MAX_DESCRIBED_BREACHES:
            self.breaches.append((rule, (at - self.started_at_us) / 1e6, text))

    def record_event(self, at: int, text: str) -> None:
        """Keep what happened at a time in microseconds for the report and the trace."""
        self.events.append(((at - self.started_at_us) / 1e6, text))
        self.add_to_trace(at, text)

    def on_client_attempt(self, attempt: ClientAttempt) -> None:
        """The req's last byte is written to a connection that a running balancer's machine
        accepted.
        """
        self.client_attempts[attempt.id] = attempt
        attempt.last_attempt_ended_us = attempt.arrived_at_us
        self.add_to_trace(attempt.arrived_at_us, "ask", attempt.id, attempt.balancer)

    def on_answer(self, attempt: ClientAttempt, status: int, body: bytes, at_us: int) -> None:
        """A client has a whole answer; `at_us` is the time of its last byte."""
        self.add_to_trace(at_us, "answer", attempt.id, status)
        who = (
            f"{attempt.id.decode()} ({attempt.operation.request_class.name}) at {attempt.balancer}"
        )
        if attempt.status:
            text = f"{who}: a second answer, {status} after {attempt.status}"
            self.record_breach("late", at_us, text)
        if attempt.status or attempt.abandoned:
            return
        attempt.status = status
        attempt.answered_at_us = at_us
        self._check_time(attempt, body, at_us, who)
        if len(body) > LARGE_BODY_BYTES:
            at_us = attempt.answered_at_us = attempt.first_answer_byte_us or at_us
        if status == 200:
            self._check_success(attempt, body, at_us, who)
        else:
            self._check_failure(attempt, status, at_us, who)

    def _check_time(self, attempt: ClientAttempt, body: bytes, at_us: int, who: str) -> None:
        """The last byte has to come before the client timeout.

        A body that is larger than the page allows has longer by what the plan's slow sides paused.
        """
        deadline_us = attempt.deadline_us
        if len(body) > LARGE_BODY_BYTES:
            deadline_us += attempt.reading_paused_us
            producer = attempt.produced_bodies.get(body_fingerprint(body))
            deadline_us += producer.writing_paused_us if producer else 0
        if at_us > deadline_us + self.tolerance_us:
            self.lateness.record_late_answer(LateAnswer(attempt, at_us, deadline_us, who))

    def _check_success(self, attempt: ClientAttempt, body: bytes, at_us: int, who: str) -> None:
        """The body has to be one that a host produced for this request."""
        operation = attempt.operation
        fingerprint = body_fingerprint(body)
        if fingerprint not in attempt.produced_bodies:
            self.record_breach("lost", at_us, f"{who}: a body that no host made for it")
        elif not operation.completed_at_us:
            operation.completed_at_us = at_us
            latency_us = at_us - operation.created_at_us
            self.useful_work_us += attempt.produced_bodies[fingerprint].work_us
            self.latency.record_value(max(1, latency_us))
            self.latencies_by_second.setdefault(self._second_of(at_us), []).append(latency_us)

    def _check_failure(self, attempt: ClientAttempt, status: int, at_us: int, who: str) -> None:
        """A rejection has to be harmless to retry, and none may be held back."""
        if status in (429, 503):
            self.rejected += 1
            had_capacity = self.hosts_have_capacity()
            self.rejected_with_room += had_capacity
            self.rejections.append(Rejection(at_us, attempt.balancer, had_capacity))
            self.repeats.on_rejection(attempt, at_us, who)
        else:
            self.answered_failed += 1
        second = self._second_of(at_us)
        self.rejections_by_second[second] = self.rejections_by_second.get(second, 0) + 1
        self.lateness.on_failed(FailedAnswer(attempt, status, at_us, who))

    def unanswered(self, at_us: int) -> list[ClientAttempt]:
        """Return the requests whose final answer should have come by then, at the latest."""
        latest_us = at_us - LOST_AFTER_US - self.tolerance_us
        return [
            attempt
            for attempt in self.client_attempts.values()
            if attempt.arrived_at_us
            and attempt.deadline_us <= latest_us
            and not (attempt.status or attempt.abandoned or attempt.first_answer_byte_us)
        ]

    def _second_of(self, at_us: int) -> int:
        return (at_us - self.started_at_us) // 1_000_000

    def on_extra_bytes(self, attempt: ClientAttempt | None, at: int) -> None:
        """Bytes from the balancer that nobody asked for."""
        self.add_to_trace(at, "more")
        self.record_breach(
            "late",
            at,
            f"{attempt.id.decode() if attempt else 'a connection'}: more after the final answer",
        )

    def on_connection_lost(self, attempt: ClientAttempt, at: int) -> None:
        """Its connection ended with no whole answer, while the balancer ran."""
        self.add_to_trace(at, "broke", attempt.id)
        if not attempt.status and not attempt.abandoned:
            attempt.status = -1
            self.record_breach(
                "lost",
                at,
                f"{attempt.id.decode()} at {attempt.balancer}: its connection ended unanswered",
            )

    def on_truncated_answer(self, attempt: ClientAttempt, at: int) -> None:
        """Its client got a part of an answer and can tell.

        That is lost but where a host broke its answer off: no fault of the balancer's own.
        """
        self.add_to_trace(at, "unfinished", attempt.id)
        attempt.status = -1
        self.truncated += 1
        if not any(sent.was_broken_off for sent in attempt.host_attempts):
            self.record_breach(
                "lost",
                at,
                f"{attempt.id.decode()} at {attempt.balancer}: cut off what no host broke off",
            )

    def on_unreadable_answer(self, attempt: ClientAttempt, at: int) -> None:
        """Its client got what is no HTTP answer, or one with no telling where it ends."""
        self.add_to_trace(at, "unreadable", attempt.id)
        attempt.status = -1
        self.record_breach(
            "lost", at, f"{attempt.id.decode()} at {attempt.balancer}: no whole HTTP answer"
        )

    def on_no_answer(self, attempt: ClientAttempt, at: int) -> None:
        """Its time is up, its balancer ran all along, and nothing came."""
        if not attempt.status and not attempt.abandoned:
            attempt.status = -1
            self.record_breach(
                "lost", at, f"{attempt.id.decode()} at {attempt.balancer}: never answered"
            )

    def on_balancer_ended(self, balancer: str, incarnation: int, at: int, was_killed: bool) -> None:
        """Its process ended. What one held that was killed outright is its clients' to attempt
        again; all else stays owed.
        """
        self.add_to_trace(at, "died", balancer)
        for attempt in self.client_attempts.values() if was_killed else ():
            if (attempt.balancer, attempt.incarnation) == (
                balancer,
                incarnation,
            ) and not attempt.status:
                attempt.abandoned = True
        for told in (self.notified_states, self.notified_starts):
            for pair in [pair for pair in told if pair[0] == balancer]:
                del told[pair]

    def on_balancer_crashed(self, balancer: str, code: int, at: int) -> None:
        """Its process ended by itself, and nobody had asked for that."""
        self.record_breach("lost", at, f"{balancer}: its process ended by itself, code {code}")

    def on_list_written(
        self, balancer: str, host: str, state: str, at: int, start: int = 0
    ) -> None:
        """The list was written to the balancer; `start` is the host's last one, in Unix
        milliseconds.
        """
        if start:
            self.notified_starts[balancer, host] = start
        was = self.notified_states.get((balancer, host), ("", 0))[0]
        if state != was:
            self.notified_states[balancer, host] = state, at
            self.add_to_trace(at, "told", balancer, host, state)

    def on_host_attempt(
        self, request_id: bytes, host: str, group: str, first_at: int, at: int
    ) -> HostAttempt | None:
        """An attempt is at its host to the last byte; None where no client sent this id.

        `first_at` and `at` are the times of its first and last byte in microseconds.
        """
        attempt = self.client_attempts.get(request_id)
        if attempt is None:
            self.record_breach(
                "lost", at, f"{host}: an id that no client sent, {request_id[:40]!r}"
            )
            return None
        self.add_to_trace(at, "dispatch", request_id, host)
        request_class = attempt.operation.request_class
        now = HostAttempt(attempt, host, group, first_at)
        who = f"{request_id.decode()} ({request_class.name}) from {attempt.balancer} to {host}"
        self._check_drain(now, at, who)
        if attempt.status and first_at > attempt.answered_at_us + self.tolerance_us:
            rule = "twice" if request_class.write else "late"
            self.record_breach(rule, at, f"{who}: sent after the final answer")
        self.repeats.on_host_attempt(now, at, who)
        attempt.host_attempts.append(now)
        return now

    def _check_drain(self, sent: HostAttempt, at_us: int, who: str) -> None:
        """None may begin later than the grace after its balancer was notified."""
        attempt = sent.client_attempt
        state, notified_us = self.notified_states.get((attempt.balancer, sent.host), ("", 0))
        latest_us = notified_us + self.drain_grace_us + self.tolerance_us
        is_late = sent.first_byte_at_us > latest_us
        if state in ("draining", "gone") and is_late and not attempt.abandoned:
            late_ms = (sent.first_byte_at_us - notified_us) / 1e3
            self.record_breach("drain", at_us, f"{who}: {late_ms:.0f} ms after it was told {state}")

    def on_attempt_settled(
        self, sent: HostAttempt, outcome: str, at: int, body: bytes = b""
    ) -> None:
        """The host has begun to write its answer; a body counts as made for this req."""
        sent.in_flight = False
        sent.outcome = outcome
        sent.ended_at_us = at
        sent.client_attempt.last_attempt_ended_us = at
        if outcome == "done":
            sent.client_attempt.produced_bodies[body_fingerprint(body)] = sent
        self.add_to_trace(at, "settled", sent.client_attempt.id, sent.host, outcome)

    def on_attempt_dropped(self, sent: HostAttempt, at: int) -> None:
        """The balancer closed the connection that this dispatch was out on."""
        if sent.in_flight:
            sent.in_flight = False
            sent.client_attempt.last_attempt_ended_us = at

    def on_work_done(self, sent: HostAttempt, took: int, at: int) -> None:
        """The work of a dispatch was done, and took so long at its host."""
        sent.work_us = took
        self.spent_work_us += took
        self.add_to_trace(at, "ran", sent.client_attempt.id)

    def on_effect(self, sent: HostAttempt, at: int) -> None:
        """A write took effect: never twice, whoever caused it."""
        operation = sent.client_attempt.operation
        operation.effect_count += 1
        sent.client_attempt.effect_count += 1
        if (
            operation.request_class.effect == "uniqued"
            and operation.effect_count > 1
            and sent.client_attempt.effect_count == 1
        ):
            self.client_duplicates += (
                1  # the window counts from the first send, which only its client knows
            )
        elif operation.request_class.effect != "replayable" and operation.effect_count > 1:
            who = f"{sent.client_attempt.id.decode()} ({operation.request_class.name})"
            self.record_breach(
                "twice",
                at,
                f"{who}: took effect {operation.effect_count} times",
            )

    def on_host_overloaded(self, host: str, part: float, is_origin: bool, at: int) -> None:
        """`part` of what pushed it over came from balancers that were told of its start or, at the
        origin, from misses at cold hosts.
        """
        self.record_event(at, f"{host} pushed over, {part:.0%} of it knowingly")
        if not is_origin:
            if part >= NOTIFIED_LOAD_RATIO:
                self.record_breach("cold", at, f"{host}: pushed over while cold")
        elif part > COLD_MISS_LOAD_RATIO:
            self.record_breach(
                "cold", at, f"{host}: stopped, {part:.0%} of its load from misses at cold hosts"
            )


def simulated_duration_us(plan: Plan) -> int:
    """How long a trial lasts in microseconds: its reqs, and the last client's wait."""
    return (
        seconds_to_us(plan.duration_s)
        + milliseconds_to_us(max(work.client_timeout_ms for work in plan.request_classes()))
        + 1_000_000
    )
