"""Simulated cache hosts and origins: their contents, speed and behaviour under load.

All times are in microseconds of the simulation's loop. The order of random draws is part of a
simulation's trace.
"""

from __future__ import annotations

import socket
from collections import OrderedDict, deque
from typing import TYPE_CHECKING, NamedTuple

from orchidgap.net.addresses import Address
from orchidgap.simulation.host_job import HostJob
from orchidgap.simulation.malformed_answers import KINDS, WHOLE_KINDS, malformed_answer
from orchidgap.simulation.observations import LARGE_BODY_BYTES, ClientAttempt
from orchidgap.simulation.plan import HostModel, milliseconds_to_us, seconds_to_us
from orchidgap.simulation.server_connection import MISS, ServerConnection

if TYPE_CHECKING:
    from orchidgap.simulation.environment import Environment

LOOKUP_WORK_US = 400  # work of a miss, or of a dropped duplicate
SWEEP_INTERVAL_US = 1_000_000
TOLERATED_EXCESS_US = 200_000  # tolerated above the overload limit, for chance bursts
FOREVER_US = 1 << 62
FULL = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nNot-Started: 1\r\n\r\n"
TOO_MANY_CONNECTIONS = FULL.replace(b"Not-Started", b"Connection: close\r\nNot-Started")
ERROR = b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"


class RecentLoad(NamedTuple):
    """One attempt in the recent load of a host.

    Attributes:
        at_us: When it arrived.
        work_us: Its work.
        is_avoidable: Its balancer had been notified of the cache's start or, at an origin, the
            request had missed at a cold cache.
    """

    at_us: int
    work_us: int
    is_avoidable: bool


class SimulatedHost:
    """One host. An origin has every key; a cache has the keys stored in it since its start.

    Attributes:
        copies: When each key of a cache expires, the least recently used key first.
        waiting: Queued jobs.
        running: Jobs that occupy a core.
        undelivered: Jobs and answers that a partition or the host's silence delays.
        connections: All open connections.
        partitioned_from: Whether a partition separates it from a balancer, by name.
        slowdown: Factor on the duration of all work.
        malformed_ratio: Ratio of its answers that are malformed.
        error_ratio: Ratio of its answers that are errors.
        started_at_us: When its process started, 0 for long before the simulation.
        frozen_until_us: It is stopped until then.
    """

    def __init__(
        self,
        environment: Environment,
        id: str,  # noqa: A002  # named as the attribute that all of the simulation reads
        address: Address,
        model: HostModel,
        is_origin: bool,
        zone: int,
        speed: float,
    ) -> None:
        """Listen at the address; `speed` is the speed of one core."""
        self.environment = environment
        self.loop = environment.loop
        self.id = id
        self.address = address
        self.model = model
        self.is_origin = is_origin
        self.zone = zone
        self.speed = speed
        self.connections: dict[ServerConnection, None] = {}
        self.waiting: deque[HostJob] = deque()
        self.running: dict[HostJob, None] = {}
        self.undelivered: list[HostJob] = []
        self.copies: OrderedDict[int, int] = OrderedDict()
        self.recent_load: deque[RecentLoad] = deque()
        self.recent_work_us = 0
        self.alive = True
        self.vanished = False
        self.draining = False
        self.frozen_until_us = 0
        self.started_at_us = 0
        self.connection_work_us = 0  # work of accepting connections; added to the next job's work
        self.answer_count = 0
        self.slowdown = 1.0
        self.malformed_ratio = 0.0
        self.error_ratio = model.error_ratio
        self.partitioned_from: dict[str, bool] = {}
        environment.network.listen(address, self.accept)
        self.loop.call_later(SWEEP_INTERVAL_US, self.sweep)

    # --- the network

    def deduplication_group(self) -> str:
        """Return the name of the group of hosts that share deduplication records."""
        groups = {"zone": f"z{self.zone}", "cell": self.id}
        return groups.get(self.environment.deduplication_scope, "all")

    def one_way_us(self, balancer: str) -> int:
        """Draw the latency of one message between a balancer and this host."""
        return self.environment.one_way_us(self.environment.zone_of(balancer), self.zone)

    def accept(self, sock: socket.socket, balancer: str) -> None:
        """Accept a connection; its first answer rejects it if it exceeds the limit."""
        if not self.alive:
            sock.close()
            return
        connection = ServerConnection(self, sock, balancer)
        open_count = sum(not other.is_beyond_limit for other in self.connections)
        connection.is_beyond_limit = open_count >= self.model.max_connections
        self.connections[connection] = None
        self.environment.invariant_checker.connections_dialled += 1
        if not self.vanished:
            self.connection_work_us += milliseconds_to_us(self.model.connection_work_ms)

    def sweep(self) -> None:
        """Close connections whose idle timeout has expired, periodically."""
        timeout_us = seconds_to_us(self.model.idle_timeout_s)
        for connection in list(self.connections):
            is_idle = not connection.job and not connection.reader.started
            if is_idle and self.loop.now - connection.idle_since_us > timeout_us:
                connection.close()
        self.loop.call_later(SWEEP_INTERVAL_US, self.sweep)

    # --- speed

    def warm_ratio(self) -> float:
        """Return the ratio of its full speed that it has reached since its start."""
        if not self.started_at_us or self.is_origin:
            return 1.0
        age_us = self.loop.now - self.started_at_us
        progress = min(1.0, age_us / max(1, seconds_to_us(self.model.warm_up_s)))
        return self.model.cold_speed_ratio + (1.0 - self.model.cold_speed_ratio) * progress

    def is_cold(self) -> bool:
        """Return whether it is a cache in slow start, which overload can bring down."""
        if not self.started_at_us or self.is_origin:
            return False
        return self.loop.now - self.started_at_us < seconds_to_us(self.model.warm_up_s)

    def capacity_us(self) -> float:
        """Return the work that it can do in one second, in microseconds."""
        return self.model.cores * self.speed * self.warm_ratio() * 1e6

    # --- work

    def receive(self, job: HostJob) -> None:
        """Queue a job, or reject it if the queue is full."""
        if not self.alive:
            return
        if self.vanished or self.partitioned_from.get(job.connection.balancer):
            self.undelivered.append(job)
            return
        job.missed_cold = job.attempt.client_attempt.id in self.environment.cold_misses
        self.record_load(job)
        if not self.alive:
            return
        has_capacity = len(self.waiting) < self.model.queue_per_core * self.model.cores
        if self.draining or not has_capacity or job.connection.is_beyond_limit:
            self.answer_later(job, "full")
            return
        self.waiting.append(job)
        self.start_waiting()

    def record_load(self, job: HostJob) -> None:
        """Add a job to the recent load, and go down if that is too much.

        A host goes down when the work sent to it within the plan's overload window exceeds a
        multiple of its current capacity. Rejected jobs count too.
        """
        now_us = self.loop.now
        window_us = seconds_to_us(self.model.overload_window_s)
        attempt = job.attempt.client_attempt
        is_known_key = self.is_origin or attempt.operation.key in self.copies
        work_us = job.work_us if is_known_key else LOOKUP_WORK_US
        self.recent_load.append(RecentLoad(now_us, work_us, self._is_avoidable(job)))
        self.recent_work_us += work_us
        while self.recent_load[0].at_us < now_us - window_us:
            self.recent_work_us -= self.recent_load.popleft().work_us
        model = self.model
        overload_limit_us = model.overload_multiple * self.capacity_us() * model.overload_window_s
        can_go_down = self.is_origin or self.is_cold()
        if self.recent_work_us > overload_limit_us + TOLERATED_EXCESS_US and can_go_down:
            self._go_down()

    def _is_avoidable(self, job: HostJob) -> bool:
        """Return whether a job counts towards a breach if the host goes down; see `RecentLoad`."""
        if self.is_origin:
            return job.missed_cold
        notified_starts = self.environment.invariant_checker.notified_starts
        balancer = job.attempt.client_attempt.balancer
        return notified_starts.get((balancer, self.id), 0) >= self.started_at_us // 1000

    def _go_down(self) -> None:
        """Stop because of overload. An origin restarts after a while, a cache does not."""
        avoidable_us = sum(load.work_us for load in self.recent_load if load.is_avoidable)
        ratio = avoidable_us / self.recent_work_us
        invariant_checker = self.environment.invariant_checker
        invariant_checker.on_host_overloaded(self.id, ratio, self.is_origin, self.loop.now)
        self.stop()
        if self.is_origin:
            self.loop.call_later(seconds_to_us(self.model.overload_stop_s), self.restart, False)
        else:
            delay_s = self.environment.plan.discovery.removal_delay_s
            self.environment.discovery.remove_later(self.id, delay_s)

    def start_waiting(self) -> None:
        """Start queued jobs on free cores."""
        while self.waiting and self._has_free_core():
            job = self.waiting.popleft()
            is_awaited = job.connection.conn.is_open or not self.model.drops_expired
            if is_awaited:
                self.run_job(job)

    def _has_free_core(self) -> bool:
        return len(self.running) < self.model.cores and self.loop.now >= self.frozen_until_us

    def run_job(self, job: HostJob) -> None:
        """Run a job on a core, for as long as its work takes at the current speed."""
        work_us = self._outcome_and_work(job) + self.connection_work_us
        self.connection_work_us = 0
        job.duration_us = max(1, round(work_us / self._core_speed()))
        job.ends_at_us = self.loop.now + job.duration_us
        self.running[job] = None
        job.timer = self.loop.call_at(job.ends_at_us, self.finish, job)

    def _outcome_and_work(self, job: HostJob) -> int:
        """Set the outcome of a job, and return its work in microseconds."""
        operation = job.attempt.client_attempt.operation
        work_us = job.work_us
        if operation.request_class.write:
            work_us = self.apply_write(job)
        elif not self.is_origin and not self.has_copy(operation.key):
            job.outcome = "miss"
            work_us = LOOKUP_WORK_US
            self.environment.record_miss(job.attempt.client_attempt.id, self)
        may_fail = job.outcome == "done" and self.error_ratio
        if may_fail and self.environment.rng.random() < self.error_ratio:
            job.outcome = "error"
        return work_us

    def _core_speed(self) -> float:
        """Return the current speed of a core; it falls as more requests are in progress."""
        model = self.model
        per_core = (len(self.waiting) + len(self.running) + 1) / model.cores
        excess = max(0.0, per_core - model.crowding_threshold)
        full_speed = self.speed * self.warm_ratio()
        return full_speed / (1.0 + model.crowding_slowdown * excess) / self.slowdown

    def apply_write(self, job: HostJob) -> int:
        """Let a write take effect at its start, once per remembered idempotency key.

        Returns:
            Its work in microseconds, which is less for a dropped duplicate.
        """
        attempt = job.attempt.client_attempt
        now_us = self.loop.now
        request_class = attempt.operation.request_class
        if request_class.effect == "uniqued":
            deduplication_records = self.environment.deduplication_records.setdefault(
                self.deduplication_group(), {}
            )
            if deduplication_records.get(job.idempotency_key, 0) > now_us:
                return LOOKUP_WORK_US
            window_us = milliseconds_to_us(request_class.deduplication_window_ms)
            deduplication_records[job.idempotency_key] = now_us + window_us
        self.environment.invariant_checker.on_effect(job.attempt, now_us)
        for host in self.environment.servers.values():
            if not host.is_origin:
                host.copies.pop(attempt.operation.key, None)
        return job.work_us

    def finish(self, job: HostJob) -> None:
        """Answer a job whose work is done, and fill the caches that missed a fetched key."""
        del self.running[job]
        attempt = job.attempt.client_attempt
        if job.outcome != "miss":
            invariant_checker = self.environment.invariant_checker
            invariant_checker.on_work_done(job.attempt, job.duration_us, self.loop.now)
        is_read = not attempt.operation.request_class.write
        if self.is_origin and job.outcome == "done" and is_read:
            self._store_where_missed(attempt)
        self.answer_later(job, job.outcome)
        self.start_waiting()

    def _store_where_missed(self, attempt: ClientAttempt) -> None:
        self.environment.invariant_checker.origin_fetches += 1
        for host in self.environment.misses.pop(attempt.id, ()):
            if host.alive:
                host.store_copy(attempt.operation.key)

    # --- cached keys

    def has_copy(self, key: int) -> bool:
        """Return whether the key is cached, and mark it as recently used."""
        until_us = self.copies.get(key)
        if until_us is None or until_us < self.loop.now:
            return False
        self.copies.move_to_end(key)
        return True

    def store_copy(self, key: int) -> None:
        """Cache a key; the least recently used one is evicted beyond the capacity."""
        ttl_s = self.model.ttl_s
        self.copies[key] = self.loop.now + seconds_to_us(ttl_s) if ttl_s else FOREVER_US
        self.copies.move_to_end(key)
        while len(self.copies) > self.model.capacity_keys:
            self.copies.popitem(last=False)

    def drop_copies(self, ratio: float) -> None:
        """Drop a random part of all cached keys."""
        for key in list(self.copies):
            if self.environment.rng.random() < ratio:
                del self.copies[key]

    # --- answers

    def answer_later(self, job: HostJob, outcome: str) -> None:
        """Send an answer after the latency of the network."""
        delay_us = self.one_way_us(job.connection.balancer)
        self.loop.call_later(delay_us, self.write_answer, job, outcome)

    def write_answer(self, job: HostJob, outcome: str) -> None:
        """Write the answer of an outcome, unless the connection or the network is down."""
        connection = job.connection
        if not connection.conn.is_open or self.vanished:
            return
        if self.partitioned_from.get(connection.balancer):
            self.undelivered.append(job)
            return
        environment = self.environment
        now_us = self.loop.clock()
        body = self._next_body(job) if outcome == "done" else b""
        may_be_malformed = outcome == "done" and self.malformed_ratio
        if may_be_malformed and environment.rng.random() < self.malformed_ratio:
            self._write_malformed(job, body)
            return
        environment.invariant_checker.on_attempt_settled(job.attempt, outcome, now_us, body)
        connection.job = None
        if len(body) > LARGE_BODY_BYTES:
            bodies = environment.plan.large_bodies
            is_slow = environment.rng.random() < bodies.slow_writer_ratio
            bytes_per_s = round(bodies.slow_rate_kb * 1_000) if is_slow else 0
            connection.start_large_answer(job.attempt, body, bytes_per_s)
        elif outcome == "done":
            head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\nCache-Result: hit\r\n\r\n" % len(body)
            connection.write_answer(head, body)
        else:
            self._write_failure(connection, outcome)

    def _next_body(self, job: HostJob) -> bytes:
        """Return the value for a request; each answer has a different one."""
        self.answer_count += 1
        attempt = job.attempt.client_attempt
        text = b"%b/%b/%d:" % (attempt.id, self.id.encode(), self.answer_count)
        return text.ljust(self.environment.value_size_bytes(attempt.operation.key), b"v")

    def _write_failure(self, connection: ServerConnection, outcome: str) -> None:
        full = TOO_MANY_CONNECTIONS if connection.is_beyond_limit else FULL
        connection.write_answer({"miss": MISS, "full": full}.get(outcome, ERROR))
        if connection.is_beyond_limit:
            connection.conn.close_gracefully()

    def _write_malformed(self, job: HostJob, body: bytes) -> None:
        """Write a malformed answer to a job whose work is done."""
        environment = self.environment
        kind = environment.rng.choice(KINDS)
        is_whole = kind in WHOLE_KINDS
        outcome = "done" if is_whole else "spoilt"
        recorded_body = body if is_whole else b""
        environment.invariant_checker.on_attempt_settled(
            job.attempt, outcome, self.loop.clock(), recorded_body
        )
        job.attempt.was_broken_off = not is_whole
        job.connection.job = None
        job.connection.write_answer(*malformed_answer(kind, body, environment.rng))

    # --- faults

    def stop(self) -> None:
        """End the process: connections break, new ones are refused, cached keys are lost."""
        self.alive = False
        self.vanished = False
        self.draining = False
        self.environment.network.unlisten(self.address)
        self._abort_work()
        self._reset_connections()

    def _abort_work(self) -> None:
        """Drop all running and queued jobs."""
        for job in self.running:
            if job.timer:
                job.timer.cancel()
        self.waiting.clear()
        self.running.clear()

    def _reset_connections(self) -> None:
        """Reset all connections and drop their jobs, the recent load and all cached keys."""
        self.undelivered.clear()
        self.recent_load.clear()
        self.recent_work_us = 0
        for connection in list(self.connections):
            self.environment.network.reset(connection.conn.sock)
            connection.close()
        self.copies.clear()

    def restart(self, cold: bool = True) -> None:
        """Start again unless it runs.

        After a cold start discovery lists it as ready with a new start time; a start that is not
        cold is not reported to discovery.
        """
        if self.alive:
            return
        self.alive = True
        if cold:
            self.started_at_us = self.loop.now
        self.frozen_until_us = 0
        self.slowdown = 1.0
        self.environment.network.listen(self.address, self.accept)
        if cold:
            self._list_as_ready()

    def _list_as_ready(self) -> None:
        delay_s = self.environment.plan.discovery.addition_delay_s
        self.environment.discovery.set_health_later(self.id, "Ready", delay_s)

    def vanish(self, unreachable: bool) -> None:
        """Make the machine unreachable, or reachable again with its former state lost."""
        if not self.alive or self.vanished == unreachable:
            return
        self.vanished = unreachable
        self.environment.network.set_silent(self.address, unreachable)
        if unreachable:
            self._abort_work()
        else:
            self._reset_connections()
            self.started_at_us = self.loop.now
            self._list_as_ready()

    def set_partitioned(self, balancer: str, partitioned: bool) -> None:
        """Begin or end a partition from a balancer; delayed jobs and answers arrive at its end."""
        self.partitioned_from[balancer] = partitioned
        if partitioned:
            return
        undelivered = self.undelivered
        self.undelivered = []
        for job in undelivered:
            if job.outcome != "done" or job.ends_at_us:
                self.write_answer(job, job.outcome)
            else:
                self.receive(job)

    def freeze(self, until_us: int) -> None:
        """Stop all work until then; it continues afterwards."""
        now_us = self.loop.now
        if not self.alive or until_us <= now_us:
            return
        for job in self.running:
            if job.timer:
                job.timer.cancel()
                job.ends_at_us += until_us - max(now_us, self.frozen_until_us)
                job.timer = self.loop.call_at(job.ends_at_us, self.finish, job)
        self.frozen_until_us = until_us
        self.loop.call_at(until_us, self.start_waiting)
