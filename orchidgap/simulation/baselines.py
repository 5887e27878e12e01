"""Textbook deciders behind the same port, to compare with: none of them is meant to serve.

They know the rules on repeats (`decisions.retry_policy`), send a miss to the origin and try another host
after a failure. They keep no limits, know nothing of cold hosts and deny only where no host is left.
"""

from __future__ import annotations

from binascii import crc_hqx
from bisect import bisect_right
from collections.abc import Callable, Iterable, Sequence
from functools import lru_cache
from hashlib import blake2b
from random import Random
from typing import TYPE_CHECKING, Any, cast

from orchidgap.decisions.balancer import Balancer
from orchidgap.decisions.hash_ranges import SLOT_COUNT
from orchidgap.decisions.host_list import HostEntry, ListScope
from orchidgap.decisions.ports import Port
from orchidgap.decisions.records import Attempt, HostState, HostStatus, Request
from orchidgap.decisions.request_table import RequestTable
from orchidgap.decisions.retry_policy import RETRYABLE_OUTCOMES
from orchidgap.decisions.settings import ServiceSettings

if TYPE_CHECKING:
    from orchidgap.simulation.environment import Decider, Environment

POINTS = 64  # virtual nodes of a host on the ring
BOUND = 1.25  # of the mean of what is out, that a bounded ring lets a host have
SLOWEST = 1 << 50


def even(slot: int, ids: Sequence[object]) -> list[int]:
    """Where a slot is by even ranges, as they stand at the start: the number of one of these."""
    return [slot * len(ids) // SLOT_COUNT]


class Plain(RequestTable):
    """A decider that picks a host and, where that failed, another."""

    def __init__(self, terms: ServiceSettings, port: Port, seed: int, now: int) -> None:
        super().__init__(terms, port, now)
        self.rng = Random(seed)
        self.caches: list[HostState] = []
        self.origins: list[HostState] = []
        self.attempt_listener = Back(self)
        if terms.subscribes:
            self.call_later(0, port.subscribe)

    @staticmethod
    def homes(slot: int, ids: list[str]) -> list[int]:
        """Which of the caches had the key's copy before the trial began: here any that has room."""
        return list(range(len(ids)))

    def pick(self, req: Request, hosts: list[HostState]) -> HostState:
        """One of the hosts, of which there is one at least."""
        raise NotImplementedError

    def on_hosts(self, scope: ListScope, entries: Iterable[HostEntry]) -> None:
        if scope == ListScope.FAILED:
            return
        gone = set() if scope == ListScope.CHANGES else set(self.hosts)
        for id, state, since, zone, kind, cell, rating in entries:
            (gone.add if state == HostStatus.GONE else gone.discard)(id)
            host = self.hosts.get(id) or HostState(id, kind == self.settings.origin_kind)
            host.state, host.started_at_us, host.zone, host.cell, host.weight = (
                HostStatus(state),
                since,
                zone,
                cell,
                rating,
            )
            self.hosts[id] = host
        self.hosts = {id: host for id, host in sorted(self.hosts.items()) if id not in gone}
        ready = [host for host in self.hosts.values() if host.state == HostStatus.READY]
        self.caches = [host for host in ready if not host.is_origin]
        self.origins = [host for host in ready if host.is_origin]
        self.follow()

    def follow(self) -> None:
        """The caches have changed."""

    def on_response_truncated(self, id: str) -> None:
        """An answer broke off: it makes no difference here."""

    def on_body_complete(self, id: int, left: int) -> None:
        if req := self.requests.get(id):
            req.body_streaming, req.deadline_us = False, self.now + left
            for sent in req.attempts:
                sent.host.in_flight += not sent.outcome

    def on_request(
        self,
        id: int,
        left: int,
        write: bool,
        rule_set: str,
        key: int | None,
        tenant: str,
        slot: int = -1,
        flows: bool = False,
    ) -> None:
        slot = (
            self.rng.randrange(SLOT_COUNT)
            if key is None
            else crc_hqx(b"%d" % key, 0) & (SLOT_COUNT - 1)
        )
        req = self.requests[id] = Request(
            id,
            self.settings.request_classes[rule_set],
            tenant,
            key,
            slot,
            write,
            self.now,
            self.now + left,
            self.settings.max_attempts,
            body_streaming=flows,
        )
        self.go(req)

    def go(self, req: Request) -> None:
        tried = [sent.host for sent in req.attempts if sent.outcome != "miss"]
        at_origin = req.cache_missed or req.is_write and bool(self.settings.origin_kind)
        hosts = [host for host in (self.origins if at_origin else self.caches) if host not in tried]
        if not hosts or len(req.attempts) >= req.max_attempts:
            return self.reject_if_idle(req)
        host = min(hosts, key=lambda at: at.in_flight) if at_origin else self.pick(req, hosts)
        if req.attempts and not self.may_retry(req, host):
            return self.reject_if_idle(req)
        req.attempts.append(Attempt(req, host, self.now))
        req.in_flight, host.in_flight = req.in_flight + 1, host.in_flight + (not req.body_streaming)
        self.port.dispatch(req.id, host.id)


class Back:
    """Decides what follows from an outcome."""

    def __init__(self, decider: Plain) -> None:
        self.decider = decider

    def on_attempt_done(self, req: Request, sent: Attempt) -> None:
        if req.answered:
            return
        if sent.outcome == "miss" and not sent.host.is_origin:
            req.cache_missed = True
            self.decider.go(req)
        elif sent.outcome in RETRYABLE_OUTCOMES:
            self.decider.go(req)
        else:
            self.decider.reject_if_idle(req)


class RandomPick(Plain):
    def pick(self, req: Request, hosts: list[HostState]) -> HostState:
        return self.rng.choice(hosts)


class LeastOut(Plain):
    """The host with the fewest dispatches out of this balancer."""

    def pick(self, req: Request, hosts: list[HostState]) -> HostState:
        least = min(host.in_flight for host in hosts)
        return self.rng.choice([host for host in hosts if host.in_flight == least])


@lru_cache(maxsize=64)
def circle(ids: tuple[str, ...]) -> list[tuple[int, str]]:
    """The points of all hosts, in order."""
    return sorted(
        (int.from_bytes(blake2b(f"{id} {i}".encode(), digest_size=4).digest()) % SLOT_COUNT, id)
        for id in ids
        for i in range(POINTS)
    )


class Ring(Plain):
    """Consistent hashing: each host at many points of a circle; a key goes to the next one."""

    points: list[tuple[int, HostState]]

    @staticmethod
    def homes(slot: int, ids: list[str]) -> list[int]:
        points = circle(tuple(ids))
        return [
            ids.index(
                points[bisect_right(points, slot, key=lambda point: point[0]) % len(points)][1]
            )
        ]

    def follow(self) -> None:
        self.points = [
            (at, self.hosts[id]) for at, id in circle(tuple(host.id for host in self.caches))
        ]

    def around(self, req: Request, hosts: list[HostState]) -> Iterable[HostState]:
        first = bisect_right(self.points, req.slot, key=lambda point: point[0])
        for i in range(len(self.points)):
            host = self.points[(first + i) % len(self.points)][1]
            if host in hosts:
                yield host

    def pick(self, req: Request, hosts: list[HostState]) -> HostState:
        return next(iter(self.around(req, hosts)))


class BoundedRing(Ring):
    """The same with bounded loads (Mirrokni, Thorup and Zadimoghaddam, 2016): who is full is passed by."""

    def pick(self, req: Request, hosts: list[HostState]) -> HostState:
        bound = BOUND * (sum(host.in_flight for host in self.caches) + 1) / len(self.caches)
        return next(
            (host for host in self.around(req, hosts) if host.in_flight + 1 <= bound + 1), hosts[0]
        )


class Oracle(Plain):
    """Sees the true state of all hosts: the top that nobody reaches who has to find out."""

    environment: Environment  # of the trial that it is in

    homes = staticmethod(even)

    def wait(self, id: str, cost: int) -> float:
        """Microseconds until that work would be done there."""
        store = self.environment.servers[id]
        if not store.alive or store.vanished or store.draining or store.spoilt:
            return SLOWEST
        left = sum(job.ends - self.now for job in store.running) + sum(
            job.cost / (store.speed * store.warmth()) for job in store.waiting
        )
        frozen = max(0, store.frozen_until - self.now)
        alone = cost * store.slow / (store.speed * store.warmth())
        return float(frozen + left / store.model.cores + alone)

    def go(self, req: Request) -> None:
        cost = 40_000
        first = not req.attempts and not req.cache_missed and not req.is_write
        if first and self.caches:
            best = min(self.cost(req, host, cost) for host in self.caches)
            if best > req.request_class.latency_objective_us:
                return self.reject_if_idle(req)
        super().go(req)

    def cost(self, req: Request, host: HostState, cost: int) -> float:
        has = self.environment.key_of(req.key) in self.environment.servers[host.id].kept
        fetch = (
            0.0
            if has
            else min((self.wait(at.id, 2 * cost) for at in self.origins), default=SLOWEST)
        )
        home = self.caches[even(req.slot, self.caches)[0]]
        return self.wait(host.id, cost) + 3 * fetch + (0 if has or host is home else cost)

    def pick(self, req: Request, hosts: list[HostState]) -> HostState:
        return min(hosts, key=lambda host: (self.cost(req, host, 40_000), host.id))


KINDS: dict[str, Callable[..., Any]] = {
    "orchidgap": Balancer,
    "random": RandomPick,
    "ring": Ring,
    "bounded-ring": BoundedRing,
    "least-out": LeastOut,
}
NAMES = (*KINDS, "oracle")


def decider(name: str, environment: Environment | None = None) -> Decider:
    """By its name; the oracle belongs to one environment. Raises KeyError for another name."""
    if name == "oracle":
        return cast("Decider", type("Oracle", (Oracle,), {"environment": environment}))
    return KINDS[name]
