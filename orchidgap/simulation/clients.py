"""Stand-in clients: requests come when they come, whether or not earlier ones were answered.

Arrivals are open. What a client wants is an `Operation`; each try at one balancer is a
`ClientAttempt`. The order of random draws is part of a simulation's trace.
"""

from __future__ import annotations

import math
import re
from bisect import bisect
from itertools import accumulate
from typing import TYPE_CHECKING, NamedTuple

from orchidgap.net.attempt_failure import AttemptFailure
from orchidgap.simulation.balancer_connection import OVERDUE_US, BalancerConnection, is_up
from orchidgap.simulation.balancer_weights import BalancerWeights
from orchidgap.simulation.departures import ClientDepartures
from orchidgap.simulation.observations import NO_PROCESS, ClientAttempt, Operation
from orchidgap.simulation.plan import RequestClassSpec, milliseconds_to_us, seconds_to_us
from orchidgap.simulation.request_end import ProcessEnd

if TYPE_CHECKING:
    from orchidgap.simulation.environment import Environment

WORK_GAMMA_SHAPE = 4.0
WORK_GAMMA_SCALE = 0.25
ZIPF_OFFSET = 3.0
BACKOFF_JITTER = (0.7, 1.3)
RETRY_AFTER_JITTER = (1.0, 1.2)
HARMLESS_STATUSES = (0, 429, 503)  # after which any retry does no harm; 0 for no answer
STATUS_OK = 200
REFUSED_PAUSE_US = 20_000  # before what crossed an end is sent to the next balancer
LEAST_TIME_LEFT_US = 1_000
REQUEST_TIMEOUT = re.compile(rb"Request-Timeout: [0-9.]+")


def with_request_timeout(message: tuple[bytes, ...], timeout_us: int) -> tuple[bytes, ...]:
    r"""Return a request that tells another time; one that tells none is left as it is.

    >>> with_request_timeout((b"GET / HTTP/1.1\r\nRequest-Timeout: 1.500\r\n\r\n",), 20_000)
    (b'GET / HTTP/1.1\r\nRequest-Timeout: 0.020\r\n\r\n',)
    """
    head = REQUEST_TIMEOUT.sub(b"Request-Timeout: %.3f" % (timeout_us / 1e6), message[0])
    return head, *message[1:]


class HotKeys(NamedTuple):
    """Keys that take a part of all requests beyond their own."""

    ratio: float
    keys: list[int]


class Clients:
    """All clients, their connections and their attempts.

    Attributes:
        idle: Connections without a request under way, by balancer.
        connections: All that are open, by balancer.
        attempt_count: Attempts so far.
        load: The factor of the plan's rate of requests.
        hot_keys: What is hot now.
        scan_ratio: The part of reads that go to keys that nobody asked for before.
        demand_factors: The factor of each tenant's requests, where that is not 1.
        weights: By which clients choose a balancer.
        end: When the last request comes, in microseconds.
        departures: Which clients leave before their answer has come.
    """

    def __init__(self, environment: Environment) -> None:
        """Draw which balancers get more than others; nothing is asked yet."""
        self.environment = environment
        self.plan = environment.plan
        self.loop = environment.loop
        self.rng = environment.rng
        self.idle: dict[str, list[BalancerConnection]] = {
            name: [] for name in environment.balancers
        }
        self.connections: dict[str, dict[BalancerConnection, None]] = {
            name: {} for name in environment.balancers
        }
        self.request_classes = self.plan.request_classes()
        self._class_ends = list(accumulate(spec.share for spec in self.request_classes))
        names = list(environment.balancers)
        self.weights = BalancerWeights(names, self.plan.clients, self.rng)
        key_weights = (
            (rank + ZIPF_OFFSET) ** -self.plan.keys.zipf for rank in range(self.plan.keys.count)
        )
        self._key_ends = list(accumulate(key_weights))
        self.attempt_count = 0
        self._scanned_count = 0
        self.load = 1.0
        self.hot_keys = HotKeys(0.0, [])
        self.scan_ratio = 0.0
        self.demand_factors: dict[str, float] = {}
        self.end = environment.start + seconds_to_us(self.plan.duration_s)
        self.departures = ClientDepartures(self.loop, self.rng, self.plan.clients)

    # --- what is asked

    def request_rate(self) -> float:
        """Return the requests a second, now."""
        duration_us = max(1, self.end - self.environment.start)
        progress = (self.loop.now - self.environment.start) / duration_us
        shape = self._shape_factor(progress)
        if not self.demand_factors:
            return self.plan.request_rate * shape * self.load
        tenants = self.plan.tenants()
        extra = sum(
            tenant.quota * tenant.quota_usage * (self.demand_factors.get(tenant.name, 1.0) - 1.0)
            for tenant in tenants
        )
        total = sum(tenant.quota * tenant.quota_usage for tenant in tenants)
        return self.plan.request_rate * shape * self.load * (1.0 + extra / total)

    def _shape_factor(self, progress: float) -> float:
        """Return the factor of the load when this part of the plan, from 0 to 1, has passed."""
        match self.plan.clients.load_shape:
            case "ramp":
                return 0.7 + 0.6 * progress
            case "wave":
                return 1.0 + 0.35 * math.sin(progress * 12.6)
        return 1.0

    def on_arrival(self) -> None:
        """An operation comes; the next one is set."""
        if self.loop.now >= self.end:
            return
        delay_us = max(1, round(self.rng.expovariate(self.request_rate()) * 1e6))
        self.loop.call_later(delay_us, self.on_arrival)
        operation = self.draw_operation()
        self.environment.invariant_checker.operations.append(operation)
        self.start_attempt(operation)

    def draw_operation(self) -> Operation:
        """Draw what a client wants."""
        rng = self.rng
        last_class = len(self.request_classes) - 1
        drawn = bisect(self._class_ends, rng.random() * self._class_ends[-1], 0, last_class)
        request_class = self.request_classes[drawn]
        if not self.is_named(request_class):  # the usual first one in its place
            request_class = next(spec for spec in self.request_classes if self.is_named(spec))
        tenants = self.plan.tenants()
        usage = [
            tenant.quota * tenant.quota_usage * self.demand_factors.get(tenant.name, 1.0)
            for tenant in tenants
        ]
        tenant_name = rng.choices(tenants, usage)[0].name
        key = self._draw_key(request_class)
        gamma = rng.gammavariate(WORK_GAMMA_SHAPE, WORK_GAMMA_SCALE)
        work_us = max(1, round(request_class.work_ms * 1000 * gamma))
        number = len(self.environment.invariant_checker.operations)
        return Operation(number, request_class, tenant_name, key, work_us, self.loop.now)

    def _draw_key(self, request_class: RequestClassSpec) -> int:
        rng = self.rng
        key = bisect(self._key_ends, rng.random() * self._key_ends[-1], 0, len(self._key_ends) - 1)
        if self.hot_keys.ratio and rng.random() < self.hot_keys.ratio:
            return rng.choice(self.hot_keys.keys)
        if self.scan_ratio and not request_class.write and rng.random() < self.scan_ratio:
            self._scanned_count += 1
            return self.plan.keys.count + self._scanned_count
        return key

    def is_named(self, request_class: RequestClassSpec) -> bool:
        """Return whether clients name this class now."""
        second = (self.loop.now - self.environment.start) / 1e6
        has_begun = request_class.from_s <= second
        return has_begun and (not request_class.until_s or second < request_class.until_s)

    def open_connections(self, balancer: str) -> list[BalancerConnection]:
        """Return the connections to this balancer that have not ended."""
        return [connection for connection in self.connections[balancer] if connection.conn.is_open]

    def on_unknown_class(self, attempt: ClientAttempt) -> None:
        """Its balancer does not know its class."""
        why = f"{attempt.id.decode()}: a class that the settings have is unknown"
        self.environment.invariant_checker.record_breach("lost", self.loop.now, why)

    # --- the attempts

    def choose_balancer(self, excluded: str = "", key: int = 0) -> str | None:
        """Choose as the ingress does: by weight, of those not seen dead for its notice time."""
        settings = self.plan.clients
        notice_us = seconds_to_us(settings.failover_delay_s)
        ingress = self.environment.ingress
        candidates = self.environment.accepting_balancers(notice_us, self.loop.now)
        if excluded or ingress.not_ready_since_us:
            candidates = [
                name
                for name in candidates
                if name != excluded and (not ingress.is_closed(name) or self.idle[name])
            ]
        if settings.own_zone_ratio and self.rng.random() < settings.own_zone_ratio:
            zone = key % self.plan.cache.zones
            in_zone = [name for name in candidates if self.environment.zone_of(name) == zone]
            candidates = in_zone or candidates
        if not candidates:
            return None
        return self.rng.choices(candidates, cum_weights=self.weights.running_sums(candidates))[0]

    def start_attempt(self, operation: Operation, excluded: str = "") -> None:
        """Try the operation at a balancer, unless there is none."""
        balancer = self.choose_balancer(excluded, operation.key)
        if balancer is None:
            return
        operation.attempt_count += 1
        self.attempt_count += 1
        request_id = b"q%x" % self.attempt_count
        incarnation = self.environment.incarnation_of(balancer)
        attempt = ClientAttempt(request_id, operation, balancer, incarnation, 0, 0)
        delay_us = self.environment.client_one_way_us()
        message = self.encode(attempt, operation)
        self.loop.call_later(delay_us, self.send_attempt, attempt, message, balancer)

    def encode(self, attempt: ClientAttempt, operation: Operation) -> tuple[bytes, ...]:
        """Return the head of the request, and its body if it has one."""
        request_class = operation.request_class
        name = request_class.name.encode()
        method = b"PUT" if request_class.write else b"GET"
        target = b"/%b/k%d?op=%d" % (name, operation.key, operation.number)
        attempt.start_line = method + b" " + target
        head = [
            attempt.start_line + b" HTTP/1.1",
            b"Host: service",
            b"Request-Id: " + attempt.id,
            b"Request-Class: " + name,
            b"Tenant: " + operation.tenant.encode(),
            b"Request-Timeout: %.3f" % (request_class.client_timeout_ms / 1e3),
        ]
        if operation.attempt_count > 1:
            head.append(b"Client-Retry: 1")
        if not request_class.write:
            return (b"\r\n".join(head) + b"\r\n\r\n",)
        body = self._draw_body(operation)
        attempt.body = body
        head.append(b"Content-Length: %d" % len(body))
        if request_class.effect == "uniqued":
            attempt.idempotency_key = b"op%d" % operation.number
            head.append(b"Idempotency-Key: " + attempt.idempotency_key)
        return b"\r\n".join(head) + b"\r\n\r\n", body

    def _draw_body(self, operation: Operation) -> bytes:
        bodies = self.plan.large_bodies
        body = b"op%d" % operation.number
        if bodies.large_write_ratio and self.rng.random() < bodies.large_write_ratio:
            return body.ljust(bodies.body_bytes, b"w")
        return body

    def send_attempt(
        self, attempt: ClientAttempt, message: tuple[bytes, ...], balancer: str, fresh: bool = False
    ) -> None:
        """Send a request on an idle connection or, with `fresh` always, on a new one."""
        environment = self.environment
        attempt.incarnation = environment.incarnation_of(balancer)
        idle = self.idle[balancer]
        while idle and not fresh:
            connection = idle.pop()
            if connection.conn.is_open and connection.incarnation == attempt.incarnation:
                connection.start(attempt, message)
                self.departures.draw_close(attempt, connection)
                return
            connection.close()
        if environment.ingress.is_closed(balancer) and not fresh:
            self.on_refused(attempt, balancer)
            return
        sock = environment.network.dial(environment.address_of(balancer))
        if isinstance(sock, AttemptFailure):
            environment.invariant_checker.failed_connections += 1
            self.on_refused(attempt, balancer)
            return
        # written at once where it is up: this process may stand still before its next turn
        is_opening = not (environment.network.virtual or is_up(sock))
        connection = BalancerConnection(self, balancer, sock, is_opening)
        connection.start(attempt, message)
        self.departures.draw_patience(attempt)
        self.departures.draw_close(attempt, connection)

    def on_refused(self, attempt: ClientAttempt, balancer: str) -> None:
        """Nothing was accepted: the ingress tries another balancer at once, one time.

        What had crossed an end is still owed its answer, by whichever balancer there is.
        """
        if attempt.was_resent:
            attempt.incarnation = NO_PROCESS  # whose end would excuse it
            self.loop.call_later(REFUSED_PAUSE_US, self.send_elsewhere, attempt, balancer)
        elif attempt.operation.attempt_count <= self.plan.clients.max_retries + 1:
            self.start_attempt(attempt.operation, excluded=balancer)

    # --- once more, after the end of a connection crossed a request

    def resend(self, attempt: ClientAttempt, message: tuple[bytes, ...], balancer: str) -> None:
        """Send what crossed an end once more, on a new connection, with the time that is left."""
        if not attempt.arrived_at_us:  # its last byte was never written: its time runs from here
            timeout_us = milliseconds_to_us(attempt.operation.request_class.client_timeout_ms)
            attempt.deadline_us = self.loop.clock() + timeout_us
        self.environment.invariant_checker.failed_connections += 1
        self.environment.invariant_checker.sent_once_more += 1
        attempt.was_resent = True
        attempt.message = message
        self._send_with_time_left(attempt, balancer)

    def send_elsewhere(self, attempt: ClientAttempt, refused_by: str) -> None:
        """Send it to another balancer, as this one takes no new connection."""
        if attempt.status or attempt.abandoned:
            return
        if self.loop.clock() >= attempt.deadline_us:
            self.environment.invariant_checker.on_no_answer(attempt, self.loop.now)
            return
        balancer = self.choose_balancer(refused_by, attempt.operation.key)
        if balancer is None:
            self.loop.call_later(REFUSED_PAUSE_US, self.send_elsewhere, attempt, refused_by)
            return
        attempt.balancer = balancer
        self._send_with_time_left(attempt, balancer)

    def _send_with_time_left(self, attempt: ClientAttempt, balancer: str) -> None:
        left_us = max(LEAST_TIME_LEFT_US, attempt.deadline_us - self.loop.clock())
        message = with_request_timeout(attempt.message, left_us)
        self.send_attempt(attempt, message, balancer, fresh=True)

    def on_overdue(self, connection: BalancerConnection, attempt: ClientAttempt) -> None:
        """An answer is waited for no longer."""
        if connection.attempt is not attempt or attempt.status:
            return
        patience_ends_us = self._patience_ends_us(connection, attempt)
        if patience_ends_us > self.loop.now:
            wait_us = min(patience_ends_us - self.loop.now, OVERDUE_US)
            self.loop.call_later(wait_us, self.on_overdue, connection, attempt)
            return
        end = self.environment.process_end(connection.balancer, connection.incarnation)
        if end is not ProcessEnd.KILLED:
            self.environment.invariant_checker.on_no_answer(attempt, self.loop.now)
        connection.attempt = None
        connection.close()

    def _patience_ends_us(self, connection: BalancerConnection, attempt: ClientAttempt) -> int:
        """Return until when an answer may come: it goes on coming, or its process was stopped."""
        last_us = connection.last_byte_at_us if connection.reader.started else 0
        resumed_us = self.environment.last_pause_end_us(connection.balancer)
        if resumed_us > attempt.arrived_at_us:
            timeout_us = milliseconds_to_us(attempt.operation.request_class.client_timeout_ms)
            last_us = max(last_us, resumed_us + timeout_us)
        return last_us + OVERDUE_US if last_us else 0

    # --- what follows

    def on_outcome(self, attempt: ClientAttempt, status: int, retry_after_us: int) -> None:
        """Retry, where that is harmless and the client has not given up.

        Args:
            attempt: What ended.
            status: Its answer's status code, 0 where its balancer died.
            retry_after_us: How long the client was asked to wait.
        """
        if not self._may_retry(attempt.operation, status):
            return
        operation = attempt.operation
        settings = self.plan.clients
        wait_us = milliseconds_to_us(settings.backoff_ms) * self.rng.uniform(*BACKOFF_JITTER)
        if retry_after_us and self.rng.random() < settings.retry_after_compliance:
            wait_us = max(wait_us, retry_after_us * self.rng.uniform(*RETRY_AFTER_JITTER))
        request_class = operation.request_class
        window_us = milliseconds_to_us(request_class.deduplication_window_ms)
        is_forgotten = self.loop.now + wait_us > operation.created_at_us + window_us
        if request_class.effect == "uniqued" and is_forgotten:
            return  # a repeat would no longer be known as one
        self.loop.call_later(round(wait_us), self.start_attempt, operation)

    def _may_retry(self, operation: Operation, status: int) -> bool:
        effect = operation.request_class.effect
        is_over = operation.completed_at_us or status == STATUS_OK
        if is_over or operation.attempt_count > self.plan.clients.max_retries:
            return False
        if not status and effect != "replayable":
            return False  # its balancer died, and what became of it is not known
        return status in HARMLESS_STATUSES or effect != "non-replayable"
