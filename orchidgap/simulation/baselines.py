"""Textbook balancers on the decisions' port, for comparison; none is meant for production.

They follow the rules on retries (`decisions.retry_policy`), send a cache miss to the origin and try
another host after a failure. They have no concurrency limits, ignore slow start, and reject a
request only when no host is left.
"""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Callable, Iterable, Sequence
from functools import lru_cache
from hashlib import blake2b
from random import Random
from typing import TYPE_CHECKING, Any, NamedTuple, cast

from orchidgap.decisions.balancer import Balancer
from orchidgap.decisions.hash_ranges import SLOT_COUNT, slot_of_key
from orchidgap.decisions.host_list import HostEntry, ListScope
from orchidgap.decisions.ports import Port
from orchidgap.decisions.records import Attempt, AttemptOutcome, HostState, HostStatus, Request
from orchidgap.decisions.rejections import RejectionReason
from orchidgap.decisions.repeat_safety import Idempotency
from orchidgap.decisions.request_table import RequestTable
from orchidgap.decisions.retry_policy import RETRYABLE_OUTCOMES
from orchidgap.decisions.settings import ServiceSettings

if TYPE_CHECKING:
    from orchidgap.simulation.environment import Environment, PolicyFactory

VIRTUAL_NODES_PER_HOST = 64  # on the hash ring
LOAD_BOUND = 1.25  # limit of a host's attempts in flight, as a multiple of the mean
NEVER_US = 1 << 50
ASSUMED_COST_US = 40_000  # the oracle's estimate of a read's work at a cache
ORIGIN_COST_FACTOR = 2  # work of a fetch at an origin, as a multiple of a read's at a cache
ORIGIN_FETCH_WEIGHT = 3  # weight of a fetch's time relative to the time at the cache


def even_range_owner(slot: int, ids: Sequence[object]) -> list[int]:
    """Return the index of a slot's owner while the ranges are even, as they are initially."""
    return [slot * len(ids) // SLOT_COUNT]


class BaselineBalancer(RequestTable):
    """Base of the policies: picks a host and, after a failure, another one."""

    def __init__(self, settings: ServiceSettings, port: Port, seed: int, now: int) -> None:
        """Start without hosts at the time `now`, in microseconds; `seed` is for random draws."""
        super().__init__(settings, port, now)
        self.rng = Random(seed)
        self.caches: list[HostState] = []
        self.origins: list[HostState] = []
        self.attempt_listener = RetryAtAnotherHost(self)
        if settings.subscribes:
            self.call_later(0, port.subscribe)

    @staticmethod
    def initial_owners(slot: int, ids: list[str]) -> list[int]:
        """Return the indexes of the caches that hold a slot's keys at the start: here all."""
        return list(range(len(ids)))

    def pick_host(self, request: Request, hosts: list[HostState]) -> HostState:
        """Return one of the hosts; there is at least one."""
        raise NotImplementedError

    def on_hosts(self, scope: ListScope, entries: Iterable[HostEntry]) -> None:
        """Apply a host list, or ignore a failure to get it; see `Balancer.on_hosts`."""
        if scope == ListScope.FAILED:
            return
        removed_ids = set() if scope == ListScope.CHANGES else set(self.hosts)
        for entry in entries:
            host_id, state = entry[:2]
            if state == HostStatus.GONE:
                removed_ids.add(host_id)
            else:
                removed_ids.discard(host_id)
            self._update_host(entry)
        known = sorted(self.hosts.items())
        self.hosts = {host_id: host for host_id, host in known if host_id not in removed_ids}
        ready = [host for host in self.hosts.values() if host.state == HostStatus.READY]
        self.caches = [host for host in ready if not host.is_origin]
        self.origins = [host for host in ready if host.is_origin]
        self.on_caches_changed()

    def _update_host(self, entry: HostEntry) -> None:
        host_id, state, started_at_us, zone, kind, cell, weight = entry
        host = self.hosts.get(host_id)
        if host is None:
            host = HostState(host_id, kind == self.settings.origin_kind)
            self.hosts[host_id] = host
        host.state = HostStatus(state)
        host.started_at_us = started_at_us
        host.zone = zone
        host.cell = cell
        host.weight = weight

    def on_caches_changed(self) -> None:
        """Update what depends on `caches`, which has changed."""

    def on_response_truncated(self, host_id: str) -> None:
        """Do nothing: answers cut off in the middle do not matter to these policies."""

    def on_body_complete(self, request_id: int, time_remaining_us: int, waited_us: int = 0) -> None:
        """Start the timeout of a request whose streaming body is complete."""
        request = self.requests.get(request_id)
        if request is None:
            return
        request.body_streaming = False
        request.deadline_us = self.now + time_remaining_us
        for attempt in request.attempts:
            if not attempt.outcome:
                attempt.host.in_flight += 1

    def on_request(
        self,
        request_id: int,
        time_remaining_us: int,
        is_write: bool,
        request_class: str,
        key: int | None,
        tenant: str,
        slot: int = -1,
        body_streaming: bool = False,
        waited_us: int = 0,
        is_client_retry: bool = False,  # ignored by these policies
        idempotency: Idempotency = Idempotency.UNKEYED,
    ) -> None:
        """Send a new request to a host; see `Balancer.on_request`. The key is always hashed."""
        slot = self.rng.randrange(SLOT_COUNT) if key is None else slot_of_key(key)
        request = Request(
            request_id,
            self.settings.request_classes[request_class],
            tenant,
            key,
            slot,
            is_write,
            self.now - waited_us,
            self.now + time_remaining_us,
            self.settings.max_attempts,
            idempotency,
            handled_at_us=self.now,
            body_streaming=body_streaming,
        )
        self.requests[request_id] = request
        self.send_attempt(request)

    def send_attempt(self, request: Request) -> None:
        """Send the request to a host that it has not tried, or reject it if there is none."""
        needs_origin = request.cache_missed or (
            request.is_write and bool(self.settings.origin_kind)
        )
        hosts = self._untried_hosts(request, self.origins if needs_origin else self.caches)
        if not hosts or len(request.attempts) >= request.max_attempts:
            is_first = not request.attempts
            reason = RejectionReason.NO_CACHE if is_first else RejectionReason.NOT_REPEATABLE
            self.reject_if_idle(request, reason)
            return
        if needs_origin:
            host = min(hosts, key=lambda origin: origin.in_flight)
        else:
            host = self.pick_host(request, hosts)
        if request.attempts and not self.may_retry(request, host):
            self.reject_if_idle(request, RejectionReason.NOT_REPEATABLE)
            return
        request.attempts.append(Attempt(request, host, self.now))
        request.in_flight += 1
        if not request.body_streaming:
            host.in_flight += 1
        self.port.dispatch(request.id, host.id)

    @staticmethod
    def _untried_hosts(request: Request, hosts: list[HostState]) -> list[HostState]:
        tried = [
            attempt.host
            for attempt in request.attempts
            if attempt.outcome != AttemptOutcome.CACHE_MISS
        ]
        return [host for host in hosts if host not in tried]


class RetryAtAnotherHost:
    """Retries or rejects a request after the outcome of an attempt.

    Attributes:
        balancer: Sends the retries.
    """

    def __init__(self, balancer: BaselineBalancer) -> None:
        """Retry through the balancer."""
        self.balancer = balancer

    def on_attempt_done(self, request: Request, attempt: Attempt) -> None:
        """Handle the outcome of an attempt."""
        if request.answered:
            return
        missed = attempt.outcome == AttemptOutcome.CACHE_MISS and not attempt.host.is_origin
        if missed:
            request.cache_missed = True
        if missed or attempt.outcome in RETRYABLE_OUTCOMES:
            self.balancer.send_attempt(request)
        else:
            self.balancer.reject_if_idle(request, RejectionReason.ATTEMPT_FAILED)


class RandomChoice(BaselineBalancer):
    """Picks a host at random, with equal probabilities."""

    def pick_host(self, request: Request, hosts: list[HostState]) -> HostState:
        """Return one of the hosts at random."""
        return self.rng.choice(hosts)


class LeastInFlight(BaselineBalancer):
    """Picks the host with the fewest attempts of this balancer in flight."""

    def pick_host(self, request: Request, hosts: list[HostState]) -> HostState:
        """Return one of the hosts with the fewest attempts in flight, at random."""
        min_in_flight = min(host.in_flight for host in hosts)
        return self.rng.choice([host for host in hosts if host.in_flight == min_in_flight])


class RingPoint(NamedTuple):
    """A virtual node of a host on the hash ring."""

    slot: int
    host_id: str


def _virtual_node_slot(host_id: str, number: int) -> int:
    digest = blake2b(f"{host_id} {number}".encode(), digest_size=4).digest()
    return int.from_bytes(digest) % SLOT_COUNT


@lru_cache(maxsize=64)
def ring_points(ids: tuple[str, ...]) -> list[RingPoint]:
    """Return the virtual nodes of all hosts, sorted by slot."""
    return sorted(
        RingPoint(_virtual_node_slot(host_id, number), host_id)
        for host_id in ids
        for number in range(VIRTUAL_NODES_PER_HOST)
    )


class ConsistentHashing(BaselineBalancer):
    """Consistent hashing: a key belongs to the host of the next virtual node on the ring.

    Attributes:
        points: The virtual nodes of the ready caches.
    """

    points: list[RingPoint]

    @staticmethod
    def initial_owners(slot: int, ids: list[str]) -> list[int]:
        """Return the index of the slot's owner on the ring of all caches."""
        points = ring_points(tuple(ids))
        first = bisect_right(points, slot, key=lambda point: point.slot)
        return [ids.index(points[first % len(points)].host_id)]

    def on_caches_changed(self) -> None:
        """Rebuild the ring."""
        self.points = ring_points(tuple(host.id for host in self.caches))

    def hosts_clockwise(self, request: Request, hosts: list[HostState]) -> Iterable[HostState]:
        """Yield the hosts in ring order from the request's slot, once per virtual node."""
        first = bisect_right(self.points, request.slot, key=lambda point: point.slot)
        for offset in range(len(self.points)):
            point = self.points[(first + offset) % len(self.points)]
            host = self.hosts[point.host_id]
            if host in hosts:
                yield host

    def pick_host(self, request: Request, hosts: list[HostState]) -> HostState:
        """Return the first of the hosts in ring order."""
        return next(iter(self.hosts_clockwise(request, hosts)))


class BoundedLoadHashing(ConsistentHashing):
    """Consistent hashing that skips hosts with too many attempts in flight.

    Source: Mirrokni, Thorup and Zadimoghaddam, "Consistent Hashing with Bounded Loads", 2016.
    """

    def pick_host(self, request: Request, hosts: list[HostState]) -> HostState:
        """Return the first host in ring order below the bound, else the first of the list."""
        in_flight = sum(host.in_flight for host in self.caches)
        bound = LOAD_BOUND * (in_flight + 1) / len(self.caches)
        for host in self.hosts_clockwise(request, hosts):
            if host.in_flight + 1 <= bound + 1:
                return host
        return hosts[0]


class Oracle(BaselineBalancer):
    """The oracle: it sees the true state of all hosts, so no real balancer reaches its figures.

    Attributes:
        environment: The simulation that it runs in.
    """

    environment: Environment

    initial_owners = staticmethod(even_range_owner)

    def completion_us(self, host_id: str, cost_us: int) -> float:
        """Return the microseconds until work of this cost would be done at a host."""
        server = self.environment.servers[host_id]
        if not server.alive or server.vanished or server.draining or server.malformed_ratio:
            return NEVER_US
        running_us = sum(job.ends_at_us - self.now for job in server.running)
        waiting_us = sum(
            job.work_us / (server.speed * server.warm_ratio()) for job in server.waiting
        )
        queued_us = running_us + waiting_us
        frozen_us = max(0, server.frozen_until_us - self.now)
        own_work_us = cost_us * server.slowdown / (server.speed * server.warm_ratio())
        return float(frozen_us + queued_us / server.model.cores + own_work_us)

    def send_attempt(self, request: Request) -> None:
        """Reject a read that no cache can answer within its latency objective."""
        is_first = not request.attempts and not request.cache_missed and not request.is_write
        if is_first and self.caches:
            lowest_cost_us = min(self.expected_cost_us(request, host) for host in self.caches)
            if lowest_cost_us > request.request_class.latency_objective_us:
                self.reject_if_idle(request, RejectionReason.LONG_QUEUE)
                return
        super().send_attempt(request)

    def expected_cost_us(self, request: Request, host: HostState) -> float:
        """Return the cost of a read at a cache, including a fetch from an origin if it needs one.

        A cache that neither owns the slot nor holds the key costs another read, because the key
        would be cached twice.
        """
        cost_us = ASSUMED_COST_US
        key = self.environment.key_of(request.key)
        is_cached = key in self.environment.servers[host.id].copies
        fetch_us = 0.0 if is_cached else self._fetch_us(cost_us)
        owner = self.caches[even_range_owner(request.slot, self.caches)[0]]
        second_copy_us = 0 if is_cached or host is owner else cost_us
        return (
            self.completion_us(host.id, cost_us) + ORIGIN_FETCH_WEIGHT * fetch_us + second_copy_us
        )

    def _fetch_us(self, cost_us: int) -> float:
        fetch_times_us = [
            self.completion_us(origin.id, ORIGIN_COST_FACTOR * cost_us) for origin in self.origins
        ]
        return min(fetch_times_us, default=NEVER_US)

    def pick_host(self, request: Request, hosts: list[HostState]) -> HostState:
        """Return the host with the lowest cost for this request."""
        return min(hosts, key=lambda host: (self.expected_cost_us(request, host), host.id))


PROCESS_POLICIES: dict[str, Callable[..., Any]] = {
    "orchidgap": Balancer,
    "random": RandomChoice,
    "ring": ConsistentHashing,
    "bounded-ring": BoundedLoadHashing,
    "least-out": LeastInFlight,
}
ORACLE = "oracle"
POLICY_NAMES = (*PROCESS_POLICIES, ORACLE)


def policy_class(name: str, environment: Environment | None = None) -> PolicyFactory:
    """Return the factory of a policy's decision logic.

    Args:
        name: One of `POLICY_NAMES`.
        environment: The simulation whose state the oracle reads; the other policies ignore it.

    Raises:
        KeyError: There is no policy of that name.
    """
    if name == ORACLE:
        return cast("PolicyFactory", type("Oracle", (Oracle,), {"environment": environment}))
    return PROCESS_POLICIES[name]
