"""Checks a simulation by what clients, hosts and discovery saw, never by a balancer's own records.

Rules, by their keys in the verdict line:

`lost`: a request that a running balancer had accepted got no complete final answer, or an answer
that no host produced for it; an attempt began after its client had closed its connection; or
balancers rejected all requests for several seconds without a break. `late`: an answer arrived after
the client timeout, further bytes arrived after a final answer, or a rejection was delayed. `twice`:
an effect was executed twice, or an attempt or a rejection made that possible. `drain`: an attempt
began at a draining or removed host after the grace period, which starts when the balancer is
notified. `cold`: a host that had just started was overloaded, or the origin was overloaded by
misses at such hosts.
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
MAX_DESCRIBED_BREACHES = 50  # limit for each rule; further breaches are only counted
# a request without an answer is lost this long after its client timeout
LOST_AFTER_US = 500_000
# overload of a cold host is a breach if balancers that had been notified of its start sent at least
# this part of its load
NOTIFIED_LOAD_RATIO = 0.66
# overload of the origin is a breach if misses at cold hosts caused more than this part of its load
COLD_MISS_LOAD_RATIO = 0.4


class Rejection(NamedTuple):
    """A rejection that a client received.

    Attributes:
        at_us: When the client received the answer.
        balancer: The balancer that answered.
        had_capacity: Hosts of each kind had an idle core.
    """

    at_us: int
    balancer: str
    had_capacity: bool


class InvariantChecker:
    """Is notified of what the peers saw, as it happens, and counts the breaches of each rule.

    Args:
        plan: The plan that is simulated.
        start: When the run began, in microseconds of the run's clock, as are all times passed to
            the methods.
        tolerance_us: An extension of each limit, used on real sockets; 0 on the virtual clock.
    """

    def __init__(self, plan: Plan, start: int, tolerance_us: int = 0) -> None:
        """Start without observations."""
        self.plan = plan
        self.started_at_us = start
        self.tolerance_us = tolerance_us
        self.drain_grace_us = milliseconds_to_us(plan.limits.drain_grace_ms)

        self.client_attempts: dict[bytes, ClientAttempt] = {}
        self.operations: list[Operation] = []
        # by (balancer, host): the last host state that the balancer was notified of, and when
        self.notified_states: dict[tuple[str, str], tuple[str, int]] = {}
        # by (balancer, host): the host's start time that the balancer was notified of, in Unix
        # milliseconds
        self.notified_starts: dict[tuple[str, str], int] = {}

        self.breach_counts = dict.fromkeys(RULES, 0)
        # (rule, seconds since the start, description)
        self.breaches: list[tuple[str, float, str]] = []
        self.lateness = LatenessChecker(plan, tolerance_us, self.record_breach)
        self.repeats = RepeatChecker(plan.limits, tolerance_us, self.record_breach)
        self.departures = DepartureChecker(tolerance_us, self.lateness, self.record_breach)
        self.digest = blake2b(digest_size=8)
        self.latency = HdrHistogram(1, 60_000_000, 3)
        self.useful_work_us = 0
        self.spent_work_us = 0
        self.origin_fetches = 0
        self.client_duplicates = 0  # keyed writes that a client's own retry executed twice
        self.bad_requests = 0  # invalid requests that clients sent
        self.bad_served = 0  # of these, answered with a status below 400
        self.bad_ignored = 0  # of these, neither answered nor closed in time
        self.rejected = 0
        # rejections while hosts of each kind had an idle core
        self.rejected_with_capacity = 0
        self.rejections: list[Rejection] = []
        self.hosts_have_capacity: Callable[[], bool] = lambda: False
        self.answered_failed = 0  # requests answered with neither 200 nor a rejection
        self.truncated = 0  # incomplete answers that their clients could recognize as such
        self.cut_while_written = 0  # requests whose connection ended during their write
        self.connections_dialled = 0  # HTTP connections that hosts accepted from balancers
        self.list_calls = 0  # calls of balancers to discovery
        self.large_bodies = 0  # large bodies that were received completely, by hosts or clients
        self.operator_calls = 0  # connections dialled to admin addresses
        self.failed_connections = 0  # requests whose connection was refused, reset or closed unread
        self.sent_once_more = 0  # of these, resent as they raced the close of their connection

        # for the report: host loads and ranges, by microseconds since the start; events, by seconds
        # since the start; and figures, by whole second since the start
        self.series: list[tuple[int, dict[str, Any]]] = []
        self.events: list[tuple[float, str]] = []
        self.value_by_second: dict[int, list[float]] = {}
        self.rejections_by_second: dict[int, int] = {}
        self.latencies_by_second: dict[int, list[int]] = {}

    def add_to_trace(self, at: int, *what: object) -> None:
        """Add an observation to the digest of the trace."""
        self.digest.update(repr((at - self.started_at_us, what)).encode())

    def record_breach(self, rule: str, at: int, text: str) -> None:
        """Count a breach of a rule at a time in microseconds; keep the first descriptions."""
        self.breach_counts[rule] += 1
        if self.breach_counts[rule] <= MAX_DESCRIBED_BREACHES:
            self.breaches.append((rule, (at - self.started_at_us) / 1e6, text))

    def record_event(self, at: int, text: str) -> None:
        """Record an event at a time in microseconds for the report and the trace."""
        self.events.append(((at - self.started_at_us) / 1e6, text))
        self.add_to_trace(at, text)

    def on_client_attempt(self, attempt: ClientAttempt) -> None:
        """Record a request whose last byte is written to a running balancer's connection.

        The balancer's machine has accepted the connection; its process may not have read from it.
        """
        self.client_attempts[attempt.id] = attempt
        attempt.last_attempt_ended_us = attempt.arrived_at_us
        self.add_to_trace(attempt.arrived_at_us, "ask", attempt.id, attempt.balancer)

    def on_answer(self, attempt: ClientAttempt, status: int, body: bytes, at_us: int) -> None:
        """Check an answer that a client received completely; its last byte came at `at_us`."""
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
        """Check that the last byte came before the client timeout.

        For a body above `LARGE_BODY_BYTES` the deadline is extended by the pauses of the plan's
        slow readers and writers.
        """
        deadline_us = attempt.deadline_us
        if len(body) > LARGE_BODY_BYTES:
            deadline_us += attempt.reading_paused_us
            producer = attempt.produced_bodies.get(body_fingerprint(body))
            deadline_us += producer.writing_paused_us if producer else 0
        if at_us > deadline_us + self.tolerance_us:
            self.lateness.record_late_answer(LateAnswer(attempt, at_us, deadline_us, who))

    def _check_success(self, attempt: ClientAttempt, body: bytes, at_us: int, who: str) -> None:
        """Check that a host produced the body for this request."""
        operation = attempt.operation
        fingerprint = body_fingerprint(body)
        if fingerprint not in attempt.produced_bodies:
            self.record_breach(
                "lost", at_us, f"{who}: answered with a body that no host produced for it"
            )
        elif not operation.completed_at_us:
            operation.completed_at_us = at_us
            latency_us = at_us - operation.created_at_us
            self.useful_work_us += attempt.produced_bodies[fingerprint].work_us
            self.latency.record_value(max(1, latency_us))
            self.latencies_by_second.setdefault(self._second_of(at_us), []).append(latency_us)

    def _check_failure(self, attempt: ClientAttempt, status: int, at_us: int, who: str) -> None:
        """Check that a retry after a rejection is harmless, and that the answer was not delayed."""
        if status in (429, 503):
            self.rejected += 1
            had_capacity = self.hosts_have_capacity()
            self.rejected_with_capacity += had_capacity
            self.rejections.append(Rejection(at_us, attempt.balancer, had_capacity))
            self.repeats.on_rejection(attempt, at_us, who)
        else:
            self.answered_failed += 1
        second = self._second_of(at_us)
        self.rejections_by_second[second] = self.rejections_by_second.get(second, 0) + 1
        self.lateness.on_failed(FailedAnswer(attempt, status, at_us, who))

    def overdue_attempts(self, at_us: int) -> list[ClientAttempt]:
        """Return the requests whose latest time for a final answer has passed without one."""
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
        """Record a breach: the balancer sent bytes that belong to no request in progress."""
        self.add_to_trace(at, "more")
        self.record_breach(
            "late",
            at,
            f"{attempt.id.decode() if attempt else 'a connection'}: bytes after the final answer",
        )

    def on_connection_lost(self, attempt: ClientAttempt, at: int) -> None:
        """Record a breach: the connection ended without a whole answer while the balancer ran."""
        self.add_to_trace(at, "broke", attempt.id)
        if not attempt.status and not attempt.abandoned:
            attempt.status = -1
            self.record_breach(
                "lost",
                at,
                f"{attempt.id.decode()} at {attempt.balancer}: connection ended without an answer",
            )

    def on_truncated_answer(self, attempt: ClientAttempt, at: int) -> None:
        """Check an incomplete answer that its client can recognize as such.

        The request is lost, unless a host broke its answer off: that is no fault of the balancer.
        """
        self.add_to_trace(at, "unfinished", attempt.id)
        attempt.status = -1
        self.truncated += 1
        if not any(sent.was_broken_off for sent in attempt.host_attempts):
            self.record_breach(
                "lost",
                at,
                f"{attempt.id.decode()} at {attempt.balancer}: truncated what no host broke off",
            )

    def on_unreadable_answer(self, attempt: ClientAttempt, at: int) -> None:
        """Record a breach: the answer is not HTTP, or its end cannot be determined."""
        self.add_to_trace(at, "unreadable", attempt.id)
        attempt.status = -1
        self.record_breach(
            "lost", at, f"{attempt.id.decode()} at {attempt.balancer}: no complete HTTP answer"
        )

    def on_no_answer(self, attempt: ClientAttempt, at: int) -> None:
        """Record a breach: the time is over, the balancer ran throughout, and no answer came."""
        if not attempt.status and not attempt.abandoned:
            attempt.status = -1
            self.record_breach(
                "lost", at, f"{attempt.id.decode()} at {attempt.balancer}: never answered"
            )

    def on_balancer_ended(self, balancer: str, incarnation: int, at: int, was_killed: bool) -> None:
        """Note that a balancer's process ended.

        Clients retry the requests of a process that was killed outright, so these are abandoned;
        all other requests must still be answered.
        """
        self.add_to_trace(at, "died", balancer)
        for attempt in self.client_attempts.values() if was_killed else ():
            if (attempt.balancer, attempt.incarnation) == (
                balancer,
                incarnation,
            ) and not attempt.status:
                attempt.abandoned = True
        for notified in (self.notified_states, self.notified_starts):
            for pair in [pair for pair in notified if pair[0] == balancer]:
                del notified[pair]

    def on_balancer_crashed(self, balancer: str, code: int, at: int) -> None:
        """Record a breach: a balancer's process exited without a request to do so."""
        self.record_breach("lost", at, f"{balancer}: its process exited by itself with code {code}")

    def on_list_written(
        self, balancer: str, host: str, state: str, at: int, start: int = 0
    ) -> None:
        """Note that a host's list entry was written to a balancer.

        `start` is when the host last started, in Unix milliseconds, 0 if unknown.
        """
        if start:
            self.notified_starts[balancer, host] = start
        previous = self.notified_states.get((balancer, host), ("", 0))[0]
        if state != previous:
            self.notified_states[balancer, host] = state, at
            self.add_to_trace(at, "told", balancer, host, state)

    def on_host_attempt(
        self, request_id: bytes, host: str, group: str, first_at: int, at: int
    ) -> HostAttempt | None:
        """Check an attempt that its host received completely; None if no client sent this id.

        `first_at` and `at` are the times of its first and last byte in microseconds.
        """
        attempt = self.client_attempts.get(request_id)
        if attempt is None:
            self.record_breach(
                "lost", at, f"{host}: received an id that no client sent, {request_id[:40]!r}"
            )
            return None
        self.add_to_trace(at, "dispatch", request_id, host)
        request_class = attempt.operation.request_class
        sent = HostAttempt(attempt, host, group, first_at)
        who = f"{request_id.decode()} ({request_class.name}) from {attempt.balancer} to {host}"
        self._check_drain(sent, at, who)
        if attempt.status and first_at > attempt.answered_at_us + self.tolerance_us:
            rule = "twice" if request_class.write else "late"
            self.record_breach(rule, at, f"{who}: sent after the final answer")
        self.repeats.on_host_attempt(sent, at, who)
        attempt.host_attempts.append(sent)
        return sent

    def _check_drain(self, sent: HostAttempt, at_us: int, who: str) -> None:
        """Check that the attempt began within the grace after its balancer was notified."""
        attempt = sent.client_attempt
        state, notified_us = self.notified_states.get((attempt.balancer, sent.host), ("", 0))
        latest_us = notified_us + self.drain_grace_us + self.tolerance_us
        is_late = sent.first_byte_at_us > latest_us
        if state in ("draining", "gone") and is_late and not attempt.abandoned:
            late_ms = (sent.first_byte_at_us - notified_us) / 1e3
            self.record_breach(
                "drain",
                at_us,
                f"{who}: began {late_ms:.0f} ms after notification that the host is {state}",
            )

    def on_attempt_settled(
        self, sent: HostAttempt, outcome: str, at: int, body: bytes = b""
    ) -> None:
        """Note that the host begins its answer; its body counts as produced for this request."""
        sent.in_flight = False
        sent.outcome = outcome
        sent.ended_at_us = at
        sent.client_attempt.last_attempt_ended_us = at
        if outcome == "done":
            sent.client_attempt.produced_bodies[body_fingerprint(body)] = sent
        self.add_to_trace(at, "settled", sent.client_attempt.id, sent.host, outcome)

    def on_attempt_dropped(self, sent: HostAttempt, at: int) -> None:
        """Note that the balancer closed the connection of an attempt."""
        if sent.in_flight:
            sent.in_flight = False
            sent.client_attempt.last_attempt_ended_us = at

    def on_work_done(self, sent: HostAttempt, took: int, at: int) -> None:
        """Note that a host did an attempt's work in `took` microseconds."""
        sent.work_us = took
        self.spent_work_us += took
        self.add_to_trace(at, "ran", sent.client_attempt.id)

    def on_effect(self, sent: HostAttempt, at: int) -> None:
        """Check that a write took effect only once, whichever component caused the repeat."""
        operation = sent.client_attempt.operation
        operation.effect_count += 1
        sent.client_attempt.effect_count += 1
        if (
            operation.request_class.effect == "uniqued"
            and operation.effect_count > 1
            and sent.client_attempt.effect_count == 1
        ):
            # the window starts at the first send, which only its client knows
            self.client_duplicates += 1
        elif operation.request_class.effect != "replayable" and operation.effect_count > 1:
            who = f"{sent.client_attempt.id.decode()} ({operation.request_class.name})"
            self.record_breach(
                "twice",
                at,
                f"{who}: took effect {operation.effect_count} times",
            )

    def on_host_overloaded(self, host: str, part: float, is_origin: bool, at: int) -> None:
        """Check the overload of a host.

        `part` is the part of its load that came from balancers that had been notified of its start
        or, at the origin, from misses at cold hosts.
        """
        self.record_event(at, f"{host} pushed over, {part:.0%} of it knowingly")
        if not is_origin:
            if part >= NOTIFIED_LOAD_RATIO:
                self.record_breach("cold", at, f"{host}: overloaded while cold")
        elif part > COLD_MISS_LOAD_RATIO:
            self.record_breach(
                "cold", at, f"{host}: overloaded, {part:.0%} of its load from misses at cold hosts"
            )


def simulated_duration_us(plan: Plan) -> int:
    """Return the duration of a simulation in microseconds.

    It covers the time in which requests are sent and the longest client timeout.
    """
    return (
        seconds_to_us(plan.duration_s)
        + milliseconds_to_us(max(spec.client_timeout_ms for spec in plan.request_classes()))
        + 1_000_000
    )
