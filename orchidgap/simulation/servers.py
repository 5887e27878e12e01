"""Stand-in cache hosts and origin: what they hold, how fast they are, what they do when crowded.

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

LOOKUP_WORK_US = 400  # that a miss, or a repeat that is dropped, takes
SWEEP_INTERVAL_US = 1_000_000
CHANCE_WORK_US = 200_000  # that may come on top of what pushes a host over, by chance
FOREVER_US = 1 << 62
FULL = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nNot-Started: 1\r\n\r\n"
TOO_MANY_CONNECTIONS = FULL.replace(b"Not-Started", b"Connection: close\r\nNot-Started")
ERROR = b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"


class RecentLoad(NamedTuple):
    """One attempt in the load that may push a host over.

    Attributes:
        at_us: When it came.
        work_us: Its work.
        counts: It came from a balancer that knew of the start or, at the origin, from a miss at a
            cold host.
    """

    at_us: int
    work_us: int
    counts: bool


class Store:
    """One host. The origin has every key; a cache has what it was given and did not lose.

    Attributes:
        copies: A cache's keys, and until when each is kept; the least recently used first.
        waiting: Jobs that wait for a core.
        running: Jobs that have one.
        undelivered: Jobs and answers that a partition holds back.
        connections: All that are open.
        partitioned_from: Balancers that it cannot hear, by name.
        slowdown: It takes so many times as long.
        malformed_ratio: The part of its answers that is malformed.
        error_ratio: The part that is an error.
        started_at_us: When its process started, 0 for long ago.
        frozen_until_us: It stands still until then.
    """

    def __init__(
        self,
        environment: Environment,
        id: str,  # noqa: A002  # the field of this name is read by all of the simulation
        address: Address,
        model: HostModel,
        is_origin: bool,
        zone: int,
        speed: float,
    ) -> None:
        """Listen at the address; `speed` is that of one core."""
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
        self.connection_work_us = 0  # of new connections, which the next job pays for
        self.answer_count = 0
        self.slowdown = 1.0
        self.malformed_ratio = 0.0
        self.error_ratio = model.error_ratio
        self.partitioned_from: dict[str, bool] = {}
        environment.network.listen(address, self.accept)
        self.loop.call_later(SWEEP_INTERVAL_US, self.sweep)

    # --- the network

    def deduplication_group(self) -> str:
        """Return the group of hosts that drops repeats together."""
        groups = {"zone": f"z{self.zone}", "cell": self.id}
        return groups.get(self.environment.deduplication_scope, "all")

    def one_way_us(self, balancer: str) -> int:
        """Draw the latency of one message from or to a balancer."""
        return self.environment.one_way_us(self.environment.zone_of(balancer), self.zone)

    def accept(self, sock: socket.socket, balancer: str) -> None:
        """Take a connection; one beyond the limit is told so by its first answer."""
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
        """Close connections that have stood idle for too long, again and again."""
        timeout_us = seconds_to_us(self.model.idle_timeout_s)
        for connection in list(self.connections):
            is_idle = not connection.job and not connection.reader.started
            if is_idle and self.loop.now - connection.idle_since_us > timeout_us:
                connection.close()
        self.loop.call_later(SWEEP_INTERVAL_US, self.sweep)

    # --- its speed

    def warm_ratio(self) -> float:
        """Return the part of its speed that it has reached since its start."""
        if not self.started_at_us or self.is_origin:
            return 1.0
        age_us = self.loop.now - self.started_at_us
        progress = min(1.0, age_us / max(1, seconds_to_us(self.model.warm_up_s)))
        return self.model.cold_speed_ratio + (1.0 - self.model.cold_speed_ratio) * progress

    def is_cold(self) -> bool:
        """Return whether it has started so lately that it can be pushed over."""
        if not self.started_at_us or self.is_origin:
            return False
        return self.loop.now - self.started_at_us < seconds_to_us(self.model.warm_up_s)

    def capacity_us(self) -> float:
        """Return the work that it does in one second."""
        return self.model.cores * self.speed * self.warm_ratio() * 1e6

    # --- the work

    def receive(self, job: HostJob) -> None:
        """Queue a job, or say that there is no room."""
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
        """Count the work that was sent, and go down where that is too much.

        Pushed over is who is sent more, in any stretch of the stated length, than a multiple of
        what it can do now. What is turned away counts too: it was sent.
        """
        now_us = self.loop.now
        window_us = seconds_to_us(self.model.overload_window_s)
        attempt = job.attempt.client_attempt
        is_known_key = self.is_origin or attempt.operation.key in self.copies
        work_us = job.work_us if is_known_key else LOOKUP_WORK_US
        self.recent_load.append(RecentLoad(now_us, work_us, self._counts_as_known(job)))
        self.recent_work_us += work_us
        while self.recent_load[0].at_us < now_us - window_us:
            self.recent_work_us -= self.recent_load.popleft().work_us
        model = self.model
        bearable_us = model.overload_multiple * self.capacity_us() * model.overload_window_s
        can_be_pushed_over = self.is_origin or self.is_cold()
        if self.recent_work_us > bearable_us + CHANCE_WORK_US and can_be_pushed_over:
            self._go_down()

    def _counts_as_known(self, job: HostJob) -> bool:
        if self.is_origin:
            return job.missed_cold
        notified_starts = self.environment.invariant_checker.notified_starts
        balancer = job.attempt.client_attempt.balancer
        return notified_starts.get((balancer, self.id), 0) >= self.started_at_us // 1000

    def _go_down(self) -> None:
        """It was pushed over. An origin comes back, a cache stays away."""
        counted_us = sum(load.work_us for load in self.recent_load if load.counts)
        ratio = counted_us / self.recent_work_us
        invariant_checker = self.environment.invariant_checker
        invariant_checker.on_host_overloaded(self.id, ratio, self.is_origin, self.loop.now)
        self.stop()
        if self.is_origin:
            self.loop.call_later(seconds_to_us(self.model.overload_stop_s), self.revive, False)
        else:
            delay_s = self.environment.plan.discovery.removal_delay_s
            self.environment.discovery.remove_later(self.id, delay_s)

    def start_waiting(self) -> None:
        """Give the cores that are free to jobs that wait."""
        while self.waiting and self._has_free_core():
            job = self.waiting.popleft()
            is_wanted = job.connection.conn.is_open or not self.model.drops_expired
            if is_wanted:
                self.begin(job)

    def _has_free_core(self) -> bool:
        return len(self.running) < self.model.cores and self.loop.now >= self.frozen_until_us

    def begin(self, job: HostJob) -> None:
        """Give a job a core, for as long as its work takes here now."""
        work_us = self._outcome_and_work(job) + self.connection_work_us
        self.connection_work_us = 0
        job.duration_us = max(1, round(work_us / self._pace()))
        job.ends_at_us = self.loop.now + job.duration_us
        self.running[job] = None
        job.timer = self.loop.call_at(job.ends_at_us, self.finish, job)

    def _outcome_and_work(self, job: HostJob) -> int:
        """Set what comes of a job, and return its work."""
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

    def _pace(self) -> float:
        """Return the speed of a core now; it falls as requests crowd."""
        model = self.model
        per_core = (len(self.waiting) + len(self.running) + 1) / model.cores
        crowd = max(0.0, per_core - model.crowding_threshold)
        full_pace = self.speed * self.warm_ratio()
        return full_pace / (1.0 + model.crowding_slowdown * crowd) / self.slowdown

    def apply_write(self, job: HostJob) -> int:
        """Let a write take effect as it begins, once for each key that is remembered.

        Returns:
            The work that is left.
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
        for store in self.environment.servers.values():
            if not store.is_origin:
                store.copies.pop(attempt.operation.key, None)
        return job.work_us

    def finish(self, job: HostJob) -> None:
        """A job is done: its value is stored where it was missed, and it is answered."""
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
        for store in self.environment.misses.pop(attempt.id, ()):
            if store.alive:
                store.store_copy(attempt.operation.key)

    # --- a cache's copies

    def has_copy(self, key: int) -> bool:
        """Return whether it has the key; that counts as a use."""
        until_us = self.copies.get(key)
        if until_us is None or until_us < self.loop.now:
            return False
        self.copies.move_to_end(key)
        return True

    def store_copy(self, key: int) -> None:
        """Keep a key, in the place of the least recently used where there is no room."""
        ttl_s = self.model.ttl_s
        self.copies[key] = self.loop.now + seconds_to_us(ttl_s) if ttl_s else FOREVER_US
        self.copies.move_to_end(key)
        while len(self.copies) > self.model.capacity_keys:
            self.copies.popitem(last=False)

    def drop_copies(self, ratio: float) -> None:
        """Lose a part of all keys."""
        for key in list(self.copies):
            if self.environment.rng.random() < ratio:
                del self.copies[key]

    # --- answers

    def answer_later(self, job: HostJob, outcome: str) -> None:
        """Answer one way later."""
        delay_us = self.one_way_us(job.connection.balancer)
        self.loop.call_later(delay_us, self.write_answer, job, outcome)

    def write_answer(self, job: HostJob, outcome: str) -> None:
        """Write what was decided, unless nobody can hear it."""
        connection = job.connection
        if not connection.conn.is_open or self.vanished:
            return
        if self.partitioned_from.get(connection.balancer):
            self.undelivered.append(job)
            return
        environment = self.environment
        now_us = self.loop.clock()
        body = self._next_body(job) if outcome == "done" else b""
        may_spoil = outcome == "done" and self.malformed_ratio
        if may_spoil and environment.rng.random() < self.malformed_ratio:
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
        """Return the value for a request; no two answers have the same."""
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
        """The work has run, and what is written of it is spoilt."""
        environment = self.environment
        kind = environment.rng.choice(KINDS)
        is_whole = kind in WHOLE_KINDS
        outcome = "done" if is_whole else "spoilt"
        told_body = body if is_whole else b""
        environment.invariant_checker.on_attempt_settled(
            job.attempt, outcome, self.loop.clock(), told_body
        )
        job.attempt.was_broken_off = not is_whole
        job.connection.job = None
        job.connection.write_answer(*malformed_answer(kind, body, environment.rng))

    # --- faults

    def stop(self) -> None:
        """The process ends: connections break, new ones are refused, copies are gone."""
        self.alive = False
        self.vanished = False
        self.draining = False
        self.environment.network.unlisten(self.address)
        self._abort_work()
        self._reset_connections()

    def _abort_work(self) -> None:
        """What is running or waiting comes to nothing."""
        for job in self.running:
            if job.timer:
                job.timer.cancel()
        self.waiting.clear()
        self.running.clear()

    def _reset_connections(self) -> None:
        """It knows nothing of its connections, what they brought, and its copies."""
        self.undelivered.clear()
        self.recent_load.clear()
        self.recent_work_us = 0
        for connection in list(self.connections):
            self.environment.network.reset(connection.conn.sock)
            connection.close()
        self.copies.clear()

    def revive(self, cold: bool = True) -> None:
        """Start again, unless it runs; a cold start is told by discovery."""
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

    def vanish(self, gone: bool) -> None:
        """The machine says nothing any more; back again, it knows nothing of its connections."""
        if not self.alive or self.vanished == gone:
            return
        self.vanished = gone
        self.environment.network.set_silent(self.address, gone)
        if gone:
            self._abort_work()
        else:
            self._reset_connections()
            self.started_at_us = self.loop.now
            self._list_as_ready()

    def set_partitioned(self, balancer: str, partitioned: bool) -> None:
        """No byte passes between it and a balancer; what was under way comes once that ends."""
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
        """It stands still until then, and goes on where it was."""
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
