"""Textbook balancers on the decisions' port, to compare with: none of them is meant to serve.

They know the rules on retries (`decisions.retry_policy`), send a cache miss to the origin and try
another host after a failure. They keep no limits, know nothing of hosts that warm up and reject
only where no host is left.
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
from orchidgap.decisions.request_table import RequestTable
from orchidgap.decisions.retry_policy import RETRYABLE_OUTCOMES
from orchidgap.decisions.settings import ServiceSettings

if TYPE_CHECKING:
    from orchidgap.simulation.environment import Decider, Environment

VIRTUAL_NODES_PER_HOST = 64  # on the ring
LOAD_BOUND = 1.25  # attempts in flight at a host, over the mean of all
NEVER_US = 1 << 50
ASSUMED_COST_US = 40_000  # of a read at a cache, for the balancer that knows all
ORIGIN_COST_FACTOR = 2  # a fetch at an origin, in reads at a cache
ORIGIN_FETCH_WEIGHT = 3  # of a fetch's time against the time at the cache


def even_range_owner(slot: int, ids: Sequence[object]) -> list[int]:
    """Return the index of the host that owns a slot while the ranges are even, as at the start."""
    return [slot * len(ids) // SLOT_COUNT]


class BaselineBalancer(RequestTable):
    """Picks a host and, where that failed, another."""

    def __init__(self, settings: ServiceSettings, port: Port, seed: int, now: int) -> None:
        """Start with no hosts at the time `now`, in microseconds; `seed` is for its draws."""
        super().__init__(settings, port, now)
        self.rng = Random(seed)
        self.caches: list[HostState] = []
        self.origins: list[HostState] = []
        self.attempt_listener = RetryAtAnotherHost(self)
        if settings.subscribes:
            self.call_later(0, port.subscribe)

    @staticmethod
    def homes(slot: int, ids: list[str]) -> list[int]:
        """Return the indexes of the caches that may hold a slot's keys at the start: here all."""
        return list(range(len(ids)))

    def pick_host(self, request: Request, hosts: list[HostState]) -> HostState:
        """Return one of the hosts, of which there is at least one."""
        raise NotImplementedError

    def on_hosts(self, scope: ListScope, entries: Iterable[HostEntry]) -> None:
        """The list of hosts has come, or calling for it failed; see `Balancer.on_hosts`."""
        if scope == ListScope.FAILED:
            return
        gone = set() if scope == ListScope.CHANGES else set(self.hosts)
        for entry in entries:
            host_id, state = entry[:2]
            if state == HostStatus.GONE:
                gone.add(host_id)
            else:
                gone.discard(host_id)
            self._update_host(entry)
        known = sorted(self.hosts.items())
        self.hosts = {host_id: host for host_id, host in known if host_id not in gone}
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
        """`caches` has been set anew."""

    def on_response_truncated(self, host_id: str) -> None:
        """An answer that had begun to reach its client broke off: it makes no difference here."""

    def on_body_complete(self, request_id: int, time_remaining_us: int, waited_us: int = 0) -> None:
        """The last byte of a streaming body has come: the request's time runs from now on."""
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
        is_client_retry: bool = False,  # no policy here tells them apart
    ) -> None:
        """A request has come; see `Balancer.on_request`. The key is always hashed here."""
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
            handled_at_us=self.now,
            body_streaming=body_streaming,
        )
        self.requests[request_id] = request
        self.send_attempt(request)

    def send_attempt(self, request: Request) -> None:
        """Send the request to a host that it has not tried, or reject it where there is none."""
        goes_to_origin = request.cache_missed or (
            request.is_write and bool(self.settings.origin_kind)
        )
        hosts = self._untried_hosts(request, self.origins if goes_to_origin else self.caches)
        if not hosts or len(request.attempts) >= request.max_attempts:
            is_first = not request.attempts
            reason = RejectionReason.NO_CACHE if is_first else RejectionReason.NOT_REPEATABLE
            self.reject_if_idle(request, reason)
            return
        if goes_to_origin:
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
    """Decides what follows from an outcome.

    Attributes:
        balancer: Sends the retries.
    """

    def __init__(self, balancer: BaselineBalancer) -> None:
        """Retry through the balancer."""
        self.balancer = balancer

    def on_attempt_done(self, request: Request, attempt: Attempt) -> None:
        """An attempt of the request has its outcome."""
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
    """Any host, drawn evenly."""

    def pick_host(self, request: Request, hosts: list[HostState]) -> HostState:
        """Return one of the hosts by chance."""
        return self.rng.choice(hosts)


class LeastInFlight(BaselineBalancer):
    """The host with the fewest attempts of this balancer in flight."""

    def pick_host(self, request: Request, hosts: list[HostState]) -> HostState:
        """Return one of those with the fewest attempts in flight, by chance."""
        least = min(host.in_flight for host in hosts)
        return self.rng.choice([host for host in hosts if host.in_flight == least])


class RingPoint(NamedTuple):
    """A virtual node of a host on the ring."""

    slot: int
    host_id: str


def _virtual_node_slot(host_id: str, number: int) -> int:
    digest = blake2b(f"{host_id} {number}".encode(), digest_size=4).digest()
    return int.from_bytes(digest) % SLOT_COUNT


@lru_cache(maxsize=64)
def ring_points(ids: tuple[str, ...]) -> list[RingPoint]:
    """Return the virtual nodes of all hosts, in the order of their slots."""
    return sorted(
        RingPoint(_virtual_node_slot(host_id, number), host_id)
        for host_id in ids
        for number in range(VIRTUAL_NODES_PER_HOST)
    )


class ConsistentHashing(BaselineBalancer):
    """Each host has many points on a ring; a key belongs to the host of the next point.

    Attributes:
        points: The ring of the caches that are ready.
    """

    points: list[RingPoint]

    @staticmethod
    def homes(slot: int, ids: list[str]) -> list[int]:
        """Return the index of the cache that owns the slot on the ring of all caches."""
        points = ring_points(tuple(ids))
        first = bisect_right(points, slot, key=lambda point: point.slot)
        return [ids.index(points[first % len(points)].host_id)]

    def on_caches_changed(self) -> None:
        """Draw the ring anew."""
        self.points = ring_points(tuple(host.id for host in self.caches))

    def hosts_clockwise(self, request: Request, hosts: list[HostState]) -> Iterable[HostState]:
        """Yield those of the hosts that follow the request's slot on the ring, once a point."""
        first = bisect_right(self.points, request.slot, key=lambda point: point.slot)
        for offset in range(len(self.points)):
            point = self.points[(first + offset) % len(self.points)]
            host = self.hosts[point.host_id]
            if host in hosts:
                yield host

    def pick_host(self, request: Request, hosts: list[HostState]) -> HostState:
        """Return the first of the hosts that follows the slot."""
        return next(iter(self.hosts_clockwise(request, hosts)))


class BoundedLoadHashing(ConsistentHashing):
    """Consistent hashing that passes over hosts with too much in flight.

    Source: Mirrokni, Thorup and Zadimoghaddam, "Consistent Hashing with Bounded Loads", 2016.
    """

    def pick_host(self, request: Request, hosts: list[HostState]) -> HostState:
        """Return the first that follows the slot and has room, or any where none has."""
        in_flight = sum(host.in_flight for host in self.caches)
        bound = LOAD_BOUND * (in_flight + 1) / len(self.caches)
        for host in self.hosts_clockwise(request, hosts):
            if host.in_flight + 1 <= bound + 1:
                return host
        return hosts[0]


class AllKnowing(BaselineBalancer):
    """Sees the true state of all hosts: a bound that no balancer reaches which has to find out.

    Attributes:
        environment: Of the simulation that it plays in.
    """

    environment: Environment

    homes = staticmethod(even_range_owner)

    def completion_us(self, host_id: str, cost_us: int) -> float:
        """Return the microseconds until work of that cost would be done at a host."""
        server = self.environment.servers[host_id]
        if not server.alive or server.vanished or server.draining or server.malformed_ratio:
            return NEVER_US
        running_us = sum(job.ends_at_us - self.now for job in server.running)
        waiting_us = sum(
            job.work_us / (server.speed * server.warm_ratio()) for job in server.waiting
        )
        queued_us = running_us + waiting_us
        frozen_us = max(0, server.frozen_until_us - self.now)
        alone_us = cost_us * server.slowdown / (server.speed * server.warm_ratio())
        return float(frozen_us + queued_us / server.model.cores + alone_us)

    def send_attempt(self, request: Request) -> None:
        """Reject a read at once that no cache would answer within its latency objective."""
        is_first = not request.attempts and not request.cache_missed and not request.is_write
        if is_first and self.caches:
            best = min(self.expected_cost_us(request, host) for host in self.caches)
            if best > request.request_class.latency_objective_us:
                self.reject_if_idle(request, RejectionReason.LONG_QUEUE)
                return
        super().send_attempt(request)

    def expected_cost_us(self, request: Request, host: HostState) -> float:
        """Return what a read costs at a cache, with the fetch from an origin where it needs one.

        A cache other than the slot's owner that does not hold the key is charged another read: the
        key would be held twice.
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
        at_origins = [
            self.completion_us(origin.id, ORIGIN_COST_FACTOR * cost_us) for origin in self.origins
        ]
        return min(at_origins, default=NEVER_US)

    def pick_host(self, request: Request, hosts: list[HostState]) -> HostState:
        """Return the cheapest of the hosts for this request."""
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


def policy_class(name: str, environment: Environment | None = None) -> Decider:
    """Return what makes the balancers of a policy.

    Args:
        name: One of `POLICY_NAMES`.
        environment: What the oracle may look into; the other policies ignore it.

    Raises:
        KeyError: There is no policy of that name.
    """
    if name == ORACLE:
        return cast("Decider", type("Oracle", (AllKnowing,), {"environment": environment}))
    return PROCESS_POLICIES[name]
