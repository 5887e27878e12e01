"""Simulated clients with an open arrival process.

Requests arrive at random times that do not depend on answers to earlier ones. What a client wants
is an `Operation`; each request that it sends for it to a balancer is a `ClientAttempt`. The order
of random draws is part of a simulation's trace.
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
HARMLESS_STATUSES = (0, 429, 503)  # any request can be retried after these; 0 is no answer
STATUS_OK = 200
# delay before a request that raced a close, and was then refused, is sent to another balancer
REFUSED_RETRY_DELAY_US = 20_000
MIN_REMAINING_US = 1_000
REQUEST_TIMEOUT = re.compile(rb"Request-Timeout: [0-9.]+")


def with_request_timeout(message: tuple[bytes, ...], timeout_us: int) -> tuple[bytes, ...]:
    r"""Return a request with another `Request-Timeout`; one without that header is unchanged.

    >>> with_request_timeout((b"GET / HTTP/1.1\r\nRequest-Timeout: 1.500\r\n\r\n",), 20_000)
    (b'GET / HTTP/1.1\r\nRequest-Timeout: 0.020\r\n\r\n',)
    """
    head = REQUEST_TIMEOUT.sub(b"Request-Timeout: %.3f" % (timeout_us / 1e6), message[0])
    return head, *message[1:]


class HotKeys(NamedTuple):
    """Keys that are drawn for a ratio of all requests, in addition to their Zipf share."""

    ratio: float
    keys: list[int]


class Clients:
    """All clients, their connections and their attempts.

    Attributes:
        idle: Connections without a request in progress, by balancer.
        connections: All open connections, by balancer.
        attempt_count: Number of attempts so far.
        load: Factor on the plan's request rate.
        hot_keys: The keys that are hot now.
        scan_ratio: Ratio of reads that are for keys not requested before.
        demand_factors: Factors on tenants' requests, by tenant; 1 for a tenant without an entry.
        weights: Weights of the balancers in the clients' choice.
        arrivals_end_us: When arrivals end.
        departures: Decides which clients leave before their answer has arrived.
    """

    def __init__(self, environment: Environment) -> None:
        """Draw the balancers' weights; no request is sent yet."""
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
        self._cumulative_shares = list(accumulate(spec.share for spec in self.request_classes))
        names = list(environment.balancers)
        self.weights = BalancerWeights(names, self.plan.clients, self.rng)
        key_weights = (
            (rank + ZIPF_OFFSET) ** -self.plan.keys.zipf for rank in range(self.plan.keys.count)
        )
        self._cumulative_key_weights = list(accumulate(key_weights))
        self.attempt_count = 0
        self._scanned_count = 0
        self.load = 1.0
        self.hot_keys = HotKeys(0.0, [])
        self.scan_ratio = 0.0
        self.demand_factors: dict[str, float] = {}
        self.arrivals_end_us = environment.start + seconds_to_us(self.plan.duration_s)
        self.departures = ClientDepartures(self.loop, self.rng, self.plan.clients)

    # --- operations

    def request_rate(self) -> float:
        """Return the current rate of requests per second."""
        duration_us = max(1, self.arrivals_end_us - self.environment.start)
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
        """Return the load factor at this progress of the plan, from 0 to 1."""
        match self.plan.clients.load_shape:
            case "ramp":
                return 0.7 + 0.6 * progress
            case "wave":
                return 1.0 + 0.35 * math.sin(progress * 12.6)
        return 1.0

    def on_arrival(self) -> None:
        """Start an operation and schedule the next arrival."""
        if self.loop.now >= self.arrivals_end_us:
            return
        delay_us = max(1, round(self.rng.expovariate(self.request_rate()) * 1e6))
        self.loop.call_later(delay_us, self.on_arrival)
        operation = self.draw_operation()
        self.environment.invariant_checker.operations.append(operation)
        self.start_attempt(operation)

    def draw_operation(self) -> Operation:
        """Draw an operation."""
        rng = self.rng
        last_class = len(self.request_classes) - 1
        drawn = bisect(
            self._cumulative_shares, rng.random() * self._cumulative_shares[-1], 0, last_class
        )
        request_class = self.request_classes[drawn]
        if not self.is_in_use(request_class):  # use the first class in use instead
            request_class = next(spec for spec in self.request_classes if self.is_in_use(spec))
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
        key = bisect(
            self._cumulative_key_weights,
            rng.random() * self._cumulative_key_weights[-1],
            0,
            len(self._cumulative_key_weights) - 1,
        )
        if self.hot_keys.ratio and rng.random() < self.hot_keys.ratio:
            return rng.choice(self.hot_keys.keys)
        if self.scan_ratio and not request_class.write and rng.random() < self.scan_ratio:
            self._scanned_count += 1
            return self.plan.keys.count + self._scanned_count
        return key

    def is_in_use(self, request_class: RequestClassSpec) -> bool:
        """Return whether clients use this class now."""
        second = (self.loop.now - self.environment.start) / 1e6
        has_begun = request_class.from_s <= second
        return has_begun and (not request_class.until_s or second < request_class.until_s)

    def open_connections(self, balancer: str) -> list[BalancerConnection]:
        """Return the open connections to this balancer."""
        return [connection for connection in self.connections[balancer] if connection.conn.is_open]

    def on_unknown_class(self, attempt: ClientAttempt) -> None:
        """Report that the balancer does not know the attempt's request class."""
        why = f"{attempt.id.decode()}: its class is in the settings, but unknown to the balancer"
        self.environment.invariant_checker.record_breach("lost", self.loop.now, why)

    # --- the attempts

    def choose_balancer(self, excluded: str = "", key: int = 0) -> str | None:
        """Choose a balancer as the ingress does: by weight, without those known to be dead."""
        settings = self.plan.clients
        failover_delay_us = seconds_to_us(settings.failover_delay_s)
        ingress = self.environment.ingress
        candidates = self.environment.accepting_balancers(failover_delay_us, self.loop.now)
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
        """Send a request for the operation to a balancer, if there is one."""
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
        # a connection that is already up is written to at once, as this process may be stalled
        # before its next turn
        is_opening = not (environment.network.virtual or is_up(sock))
        connection = BalancerConnection(self, balancer, sock, is_opening)
        connection.start(attempt, message)
        self.departures.draw_patience(attempt)
        self.departures.draw_close(attempt, connection)

    def on_refused(self, attempt: ClientAttempt, balancer: str) -> None:
        """Handle a refused connection: the ingress tries one other balancer at once.

        A request that raced a close must still be answered, by any balancer.
        """
        if attempt.was_resent:
            attempt.incarnation = NO_PROCESS  # so that no process's end excuses a missing answer
            self.loop.call_later(REFUSED_RETRY_DELAY_US, self.send_elsewhere, attempt, balancer)
        elif attempt.operation.attempt_count <= self.plan.clients.max_retries + 1:
            self.start_attempt(attempt.operation, excluded=balancer)

    # --- resending of requests that raced the close of their connection

    def resend(self, attempt: ClientAttempt, message: tuple[bytes, ...], balancer: str) -> None:
        """Resend a request that raced a close, on a new connection and with its remaining time."""
        if not attempt.arrived_at_us:  # never fully written: its timeout starts now
            timeout_us = milliseconds_to_us(attempt.operation.request_class.client_timeout_ms)
            attempt.deadline_us = self.loop.clock() + timeout_us
        self.environment.invariant_checker.failed_connections += 1
        self.environment.invariant_checker.sent_once_more += 1
        attempt.was_resent = True
        attempt.message = message
        self._send_with_remaining_time(attempt, balancer)

    def send_elsewhere(self, attempt: ClientAttempt, refused_by: str) -> None:
        """Send a request to another balancer than the one that refused the connection."""
        if attempt.status or attempt.abandoned:
            return
        if self.loop.clock() >= attempt.deadline_us:
            self.environment.invariant_checker.on_no_answer(attempt, self.loop.now)
            return
        balancer = self.choose_balancer(refused_by, attempt.operation.key)
        if balancer is None:
            self.loop.call_later(REFUSED_RETRY_DELAY_US, self.send_elsewhere, attempt, refused_by)
            return
        attempt.balancer = balancer
        self._send_with_remaining_time(attempt, balancer)

    def _send_with_remaining_time(self, attempt: ClientAttempt, balancer: str) -> None:
        remaining_us = max(MIN_REMAINING_US, attempt.deadline_us - self.loop.clock())
        message = with_request_timeout(attempt.message, remaining_us)
        self.send_attempt(attempt, message, balancer, fresh=True)

    def on_overdue(self, connection: BalancerConnection, attempt: ClientAttempt) -> None:
        """Stop waiting for an answer; report it missing unless its process was killed."""
        if connection.attempt is not attempt or attempt.status:
            return
        wait_ends_us = self._wait_ends_us(connection, attempt)
        if wait_ends_us > self.loop.now:
            wait_us = min(wait_ends_us - self.loop.now, OVERDUE_US)
            self.loop.call_later(wait_us, self.on_overdue, connection, attempt)
            return
        end = self.environment.process_end(connection.balancer, connection.incarnation)
        if end is not ProcessEnd.KILLED:
            self.environment.invariant_checker.on_no_answer(attempt, self.loop.now)
        connection.attempt = None
        connection.close()

    def _wait_ends_us(self, connection: BalancerConnection, attempt: ClientAttempt) -> int:
        """Return until when to wait: longer while an answer arrives or after a pause."""
        last_us = connection.last_byte_at_us if connection.reader.started else 0
        resumed_us = self.environment.last_pause_end_us(connection.balancer)
        if resumed_us > attempt.arrived_at_us:
            timeout_us = milliseconds_to_us(attempt.operation.request_class.client_timeout_ms)
            last_us = max(last_us, resumed_us + timeout_us)
        return last_us + OVERDUE_US if last_us else 0

    # --- retries

    def on_outcome(self, attempt: ClientAttempt, status: int, retry_after_us: int) -> None:
        """Retry where that is harmless and the client has not given up.

        Args:
            attempt: The attempt that ended.
            status: Status code of its answer, 0 if its balancer died.
            retry_after_us: The answer's Retry-After, 0 for none.
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
            return  # a repeat would no longer be recognised as one
        self.loop.call_later(round(wait_us), self.start_attempt, operation)

    def _may_retry(self, operation: Operation, status: int) -> bool:
        effect = operation.request_class.effect
        is_over = operation.completed_at_us or status == STATUS_OK
        if is_over or operation.attempt_count > self.plan.clients.max_retries:
            return False
        if not status and effect != "replayable":
            return False  # its balancer died, and the request's effect is unknown
        return status in HARMLESS_STATUSES or effect != "non-replayable"
