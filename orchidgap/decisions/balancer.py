"""All decisions of the balancer.

A host program makes one `Balancer` an instance, sets `now` (whole microseconds) before each call, and calls
`on_hosts`, `on_request`, `on_outcome`, `on_client_gone`, `on_wake` and `on_load_report` as things happen.
The balancer acts through `ports.Port`; what it reads at start is `terms.ServiceTerms`.
A req runs down the chain Admission, Merging, Placement, Origin, Dispatch; what comes back runs up it.
"""

from __future__ import annotations

from binascii import crc_hqx
from bisect import bisect_right
from collections import deque
from collections.abc import Iterable
from itertools import accumulate
from math import inf
from random import Random

from orchidgap.decisions.hot_keys import HotKeyDetector
from orchidgap.decisions.pipeline import RequestTable, Stage, connect_stages
from orchidgap.decisions.ports import Port
from orchidgap.decisions.records import (
    Attempt,
    AttemptOutcome,
    HostState,
    Request,
    possibly_executed,
)
from orchidgap.decisions.settings import RequestClass, ServiceSettings
from orchidgap.decisions.slot_map import SlotMap, Turn, turn

SLOT_COUNT = 1 << 14  # b = 14: the slots of the RESP cluster
REDRAW_GAP, REDRAW_SENDS, EVENINGS = (
    5_000_000,
    100,
    3,
)  # evenings: half way to even, where counts are few
RECOVERY = (
    24  # response targets, and reqs for the host, until a limit that fell to nothing is one again
)
TICK, BREATHER = 500_000, 50_000
EARLY = 20_000  # a held req is given up this long before its client leaves: a wake-up can be late
FIRST_LIMIT = 24.0  # dispatches out at one host, from all instances together
LEANS = (0, -1, 1, -2, 2)  # a hot key's caches, from its owner on
RETRYABLE_OUTCOMES = frozenset(
    ("full", "unconnected", "refused", "error", "reset", "stale")
)  # another dispatch may do
SPARE = 0.45  # of how slow it may be, up to which the origin takes reads off the caches


class Admission(Stage["Balancer"]):
    """Turns reqs away early while the oldest held one shows overload; gives what is left its final answer."""

    def __init__(self, desk: Balancer) -> None:
        super().__init__(desk)
        self.let_in: dict[str, float] = {}  # reqs by tenant, in the last seconds
        self.shed: dict[str, float] = {}  # the part of them that is turned away
        self.worst, self.pressed = 0, False
        self.follow()

    def follow(self) -> None:
        tenants = self.desk.settings.tenants
        self.let_in = {name: self.let_in.get(name, 0.0) for name in tenants}
        self.shed = {name: self.shed.get(name, 0.0) for name in tenants}

    def take(self, req: Request, host: HostState | None = None) -> None:
        desk = self.desk
        if req.tenant in self.shed:
            if desk.rng.random() < self.shed[req.tenant]:
                return desk.finish(req)
            self.let_in[req.tenant] += desk.settings.balancer_count == 1
        age = desk.placement.oldest_wait()
        self.worst = max(self.worst, age, desk.origin.oldest_wait())
        if (
            age > desk.latency_objective_us // 2
        ):  # misses that wait say nothing of the caches, which still have most keys
            return desk.finish(req)
        self.next.take(req)

    def back(self, req: Request, sent: Attempt) -> None:
        if not req.queued:  # while another of its dispatches failed
            self.desk.give_up(req)

    def tick(self) -> None:
        desk, worst, self.worst = self.desk, self.worst, 0
        lags = [
            host.smoothed_latency_us // 1000
            for host in (desk.placement.fleet, *desk.origin.hosts)
            if desk.sender.slowness(host) > 1.5
        ]
        if (worst > desk.latency_objective_us // 4 or bool(lags)) != self.pressed:
            self.pressed = not self.pressed
            held, shed = (
                (len(desk.placement.held), len(desk.origin.held)),
                max(self.shed.values(), default=0),
            )
            desk.port.log(
                f"overload {'on' if self.pressed else 'off'}: waited {worst // 1000} ms, held for "
                f"caches, origin {held}, lags of all caches, origin {lags} ms, shed {shed:.2f}"
            )
        total = sum(self.let_in.values())
        for name, count in self.let_in.items():
            over = (
                count / total / desk.settings.tenants[name].share - 1.15 if total else 0.0
            )  # of those let in
            self.shed[name] = max(
                0.0, min(0.9, self.shed[name] + (over / 4 if self.pressed else -0.02))
            )
            self.let_in[name] *= 0.8


class Merging(Stage["Balancer"]):
    """One fetch a key at a time: later reqs for the key wait for it and then ask the cache."""

    def __init__(self, desk: Balancer) -> None:
        super().__init__(desk)
        self.fetches: dict[int | None, list[Request]] = {}  # by key: its leader, then the followers

    def take(self, req: Request, host: HostState | None = None) -> None:
        if not req.is_write and req.key is not None:
            if req.key in self.fetches:
                self.fetches[req.key].append(req)
                return self.desk.hold(req)
            if req.cache_missed:
                self.fetches[req.key] = [req]
        self.next.take(req)

    def back(self, req: Request, sent: Attempt) -> None:
        if sent.outcome == "miss" and not (
            req.answered or req.is_write or req.cache_missed or sent.host.is_origin
        ):
            req.cache_missed = True
            return self.take(req)
        self.prev.back(req, sent)

    def release(self, req: Request, filled: bool) -> None:
        """The leader is over: its followers ask the cache, or one of them fetches in its place."""
        if self.fetches.get(req.key, [None])[0] is req:
            for follower in self.fetches.pop(req.key)[1:]:
                if not follower.answered:
                    follower.cache_missed = follower.cache_missed and not filled
                    self.take(follower)


class Placement(Stage["Balancer"]):
    """The range's owner serves the key; a neighbour only where the owner rests, is cold or has no room."""

    def __init__(self, desk: Balancer) -> None:
        super().__init__(desk)
        self.ring: list[HostState] = []  # ready caches by id
        self.cuts: list[int] = []  # where each range ends
        self.fleet = HostState("", False, retry_budget=2.0)  # all caches together
        self.fair = inf  # how many dispatches a cache of size one may hold beside the others
        self.heft, self.placed, self.drawn_at = 1.0, 0, desk.now
        self.heat, self.loose, self.changed_at = HotKeyDetector(), 0, desk.now

    def take(self, req: Request, host: HostState | None = None) -> None:
        if self.desk.slot_map:
            return self.owned(req)
        if req.is_write and self.desk.settings.origin_kind or req.cache_missed:
            return self.next.take(req)
        if not (req.is_write or req.attempts or req.key is None):
            copies = self.heat.copies(req.key, len(self.ring))
            req.owner_offset = self.desk.rng.choice(LEANS[:copies]) if copies > 1 else 0
        if host := None if self.last(req) else self.choose(req):
            return self.next.take(req, host)
        if (
            not req.is_write and self.desk.origin.spare()
        ):  # no cache takes it, and the origin has time
            req.cache_missed = True
            return self.prev.take(req)
        if not self.ring or not self.ring[self.place(req)].in_flight:
            return self.desk.finish(req)  # nothing is out that would make room
        self.keep(req)

    def last(self, req: Request) -> bool:
        """Whether a miss could not be followed by a fetch in time, and the origin has time for one now."""
        last = req.attempt_cancelled or len(req.attempts) - req.redirects + 1 >= req.max_attempts
        return last and not req.is_write and self.desk.origin.spare()

    def owned(self, req: Request) -> None:
        """Servers that own their slots are asked for them, and nobody in their place."""
        if host := self.choose(req):
            return self.next.take(req, host)
        if (host := self.desk.owner(req)) and (host.state != "up" or not host.in_flight):
            return self.desk.finish(req)
        self.keep(req)  # until there is room, or an owner is known

    def drain(self) -> None:
        if not self.desk.slot_map:
            return super().drain()
        held, self.held = self.held, deque[Request]()
        for req in held:  # one host without room must not hold up what is for others
            if host := None if req.answered else self.choose(req):
                self.next.take(req, host)
            elif not req.answered:
                self.held.append(req)

    def choose(self, req: Request) -> HostState | None:
        ring, n = self.ring, len(self.ring)
        if self.desk.slot_map:
            host = self.desk.owner(req)
            return host if host and host.state == "up" and self.room(host) else None
        if not ring:
            return None
        i = self.place(req)
        tried = [sent.host for sent in req.attempts if sent.outcome not in ("miss", "stale")]
        side = (
            1 if req.slot >= self.cuts[i] - ring[i].range_size // 2 else -1
        )  # that gets this half if it is lost
        for step in range(min(2, n // 2) + 1):
            for host in (
                ring[(i + side * step) % n],
                ring[(i - side * step) % n],
            ):  # the owner twice
                if self.room(host) and host not in tried:
                    return host
                if not step and not self.desk.fits(host):  # counts twice, or a crowded range grows
                    host.attempt_count += 2
        return None

    def place(self, req: Request) -> int:
        """In the ring: the owner of its slot, or of a hot key by chance one of the neighbours."""
        return (bisect_right(self.cuts, req.slot) + req.owner_offset) % len(self.ring)

    def room(self, host: HostState) -> bool:
        """A cold host gets its share of the reqs sent, cut to its warmth; those asked would push it over."""
        now, terms = self.desk.now, self.desk.settings
        if now < host.ejected_until_us or not self.desk.fits(host):
            return False
        if now >= host.warm_at_us:
            return True
        part = (
            1.0 - (1.0 - terms.slow_start_fraction) * (host.warm_at_us - now) / terms.slow_start_us
        )
        chance, host.placements_at_last_draw = (
            (self.placed - host.placements_at_last_draw) * part * host.weight / self.heft,
            self.placed,
        )
        return self.desk.rng.random() < chance

    def back(self, req: Request, sent: Attempt) -> None:
        self.drain()
        if (
            sent.outcome == "moved" and not req.answered
        ):  # it has not run: what may repeat does not matter
            drains = req.redirect_target is not None and req.redirect_target.state != "up"
            if turn(req.redirects - 1, req.redirect_target is not None, drains) is not Turn.GIVE_UP:
                return self.take(req)
        fell = (
            sent.outcome in RETRYABLE_OUTCOMES
            or req.attempt_cancelled
            and sent.outcome in ("cancelled", "moot")
        )
        if fell and not (req.answered or req.cache_missed or sent.host.is_origin):
            if self.last(req) and not self.desk.slot_map:
                return self.take(req)
            host = self.choose(req)
            if (
                host
                and (host.retry_budget >= 1.0 or sent.outcome == "stale")
                and self.desk.may_repeat(req, host)
            ):
                host.retry_budget -= (
                    sent.outcome != "stale"
                )  # an old link that broke is nobody's failure
                return self.next.take(req, host)
        self.prev.back(req, sent)

    def follow(self, ready: list[HostState]) -> None:
        """A list change: a lost range goes to its neighbours, a joiner takes its share of theirs."""
        ring, there = self.ring, {host.id for host in ready}
        if ring != ready and self.loose >= 0:
            self.loose, self.changed_at = EVENINGS, self.desk.now
        for i in [i for i, host in enumerate(ring) if host.id not in there][::-1]:
            host = ring.pop(i)
            if ring:
                left, right = ring[max(i - 1, 0)], ring[min(i, len(ring) - 1)]
                left.range_size += host.range_size // 2
                right.range_size += host.range_size - host.range_size // 2
        if not ring:
            ring += ready
            self.cut()
            self.resize([self.share(host) for host in ring])
        for i, host in enumerate(
            ready
        ):  # both in the order of ids: no search, as fleets grow by hundreds
            if ring[i : i + 1] != [host]:
                beside = ring[max(i - 1, 0) : i + 1]  # both: one that left gets its own again
                part, host.range_size = self.share(host) / sum(map(self.share, (host, *beside))), 0
                for other in beside:
                    given = round(other.range_size * part)
                    host.range_size, other.range_size = (
                        host.range_size + given,
                        other.range_size - given,
                    )
                ring.insert(i, host)
        self.cut()

    def share(self, host: HostState) -> float:
        """The even share of the space, by what the list says of the cache's size, where it says that."""
        return (
            SLOT_COUNT * host.weight / self.heft
            if self.desk.settings.uses_listed_weights
            else SLOT_COUNT / len(self.ring)
        )

    def fair_of(self, held: list[float]) -> float:
        """Well over what the one in the middle holds, so that chance is no reason."""
        return 3 * held[len(held) // 2] + 2 if held else inf

    def told(self, host: HostState, held: float) -> None:
        """What a host holds comes from all balancers: a few answers of one's own say less of it."""
        host.reported_in_flight, host.reported_at_us = held, self.desk.now
        if held > (fair := self.fair * host.weight):
            self.desk.sender.cut(host, max(0.1, fair / held))

    def cut(self) -> None:
        self.cuts = list(accumulate(host.range_size for host in self.ring))
        self.heft = sum(host.weight for host in self.ring) or 1.0

    def resize(self, sizes: list[float]) -> None:
        """Sizes under a quarter of a cache's share are raised to it, the rest rescaled to fill the space."""
        floors = [self.share(host) / 4 for host in self.ring]
        raised: set[int] = set()
        while low := {i for i, size in enumerate(sizes) if size < floors[i] and i not in raised}:
            raised |= low
            rest = sum(size for i, size in enumerate(sizes) if i not in raised)
            scale = (SLOT_COUNT - sum(floors[i] for i in raised)) / rest
            sizes = [floors[i] if i in raised else size * scale for i, size in enumerate(sizes)]
        ends = [round(end * SLOT_COUNT / sum(sizes)) for end in accumulate(sizes)]
        for host, start, end in zip(self.ring, [0] + ends, ends):
            host.range_size = end - start
        self.cut()

    def tick(self) -> None:
        """Redraw all ranges by the document's formula, where enough has been counted."""
        ring, now, n = self.ring, self.desk.now, len(self.ring)
        held = sorted(
            host.reported_in_flight / host.weight
            for host in ring
            if now - host.reported_at_us < 2 * REDRAW_GAP
        )
        self.fair = self.fair_of(held)
        if not ring or now - self.drawn_at < REDRAW_GAP:
            return
        if (
            self.fleet.attempt_count < REDRAW_SENDS * n
        ):  # few counts would draw another table at each balancer
            if self.loose > 0 and now - self.changed_at >= 2 * REDRAW_GAP:
                self.loose, self.drawn_at = self.loose - 1, now
                self.resize([(host.range_size + self.share(host)) / 2 for host in ring])
            return
        warm = [host for host in ring if now >= host.warm_at_us]
        told = sum(host.reported_request_rate >= 0 for host in warm) * 2 > n
        counts = {
            host: host.reported_request_rate
            if told
            else host.attempt_count / (now - host.counted_since_us)  # a joiner had less time
            for host in warm
            if not told or host.reported_request_rate >= 0
        }
        mean = sum(counts.values()) / sum(self.share(host) for host in counts) if counts else 0.0
        loads = [counts.get(host, mean * self.share(host)) for host in ring]
        if total := sum(
            loads
        ):  # half way only: sizes that start anew from the even share spring back
            drawn = [
                2 * self.share(host) - SLOT_COUNT * load / total for host, load in zip(ring, loads)
            ]
            self.resize([(host.range_size + size) / 2 for host, size in zip(ring, drawn)])
        for host in ring:
            host.attempt_count, host.counted_since_us = 0, now
        self.drawn_at, self.fleet.attempt_count, self.loose = now, 0, -1


class Origin(Stage["Balancer"]):
    """Writes and misses go to the origin within a limit that follows how it answers."""

    def take(self, req: Request, host: HostState | None = None) -> None:
        if host := host or self.choose(req):
            return self.next.take(req, host)
        if self.hopeless(req):
            return self.desk.give_up(req)
        last = min(req.deadline_us, req.received_at_us + req.request_class.latency_objective_us)
        slots, lag = (
            sum(host.concurrency_limit for host in self.hosts),
            max((host.smoothed_latency_us for host in self.hosts), default=0),
        )
        if (
            slots < 1
            or self.desk.now + lag * (1 + (not req.is_write) * len(self.held) / slots) > last
        ):
            return self.desk.finish(req)  # a quick deny where waiting would end in one
        self.keep(req, first=req.is_write)

    def choose(self, req: Request) -> HostState | None:
        ready = [
            host
            for host in self.hosts
            if self.desk.now >= host.ejected_until_us
            and self.desk.fits(host)
            and self.desk.may_repeat(req, host)
        ]  # another origin may not drop a repeat
        return min(ready, key=lambda host: host.total_in_flight) if ready else None

    def spare(self) -> bool:
        """Whether it could take a read that no cache has been asked for, and keep most of its room."""
        return not self.held and any(
            host.total_in_flight * 2 < host.concurrency_limit - 1
            and self.desk.now >= host.ejected_until_us
            and self.desk.sender.slowness(host) < SPARE
            for host in self.hosts
        )

    def hopeless(self, req: Request) -> bool:
        return not any(self.desk.may_repeat(req, host) for host in self.hosts)

    def drain(self) -> None:
        while (
            self.held and not self.held[0].answered and self.hosts and self.hopeless(self.held[0])
        ):
            self.desk.give_up(self.held.popleft())  # its repeats are no longer dropped
        super().drain()

    def back(self, req: Request, sent: Attempt) -> None:
        self.drain()
        if (
            sent.outcome in RETRYABLE_OUTCOMES
            and sent.host.is_origin
            and not (req.answered or self.hopeless(req))
        ):
            return self.take(req)
        self.prev.back(req, sent)


class Dispatch(Stage["Balancer"]):
    """Sends, and keeps each host's record by what comes back."""

    def take(self, req: Request, host: HostState | None = None) -> None:
        desk = self.desk
        if host is None or len(req.attempts) - req.redirects >= req.max_attempts:
            return desk.give_up(req)
        sent = Attempt(req, host, desk.now)
        req.redirect_target = None
        req.attempts.append(sent)
        req.in_flight, req.queued = req.in_flight + 1, False
        host.attempt_count += 1
        if not host.is_origin:
            desk.placement.placed += 1
            desk.placement.fleet.attempt_count += 1
        if not req.body_streaming:
            self.begin(sent)
        desk.port.dispatch(req.id, host.id)

    def begin(self, sent: Attempt) -> None:
        """It counts at its host, and its time runs: from now on, not while a slow client still sends."""
        desk, host, sent.started_at_us = self.desk, sent.host, self.desk.now
        host.in_flight += 1
        desk.call_later(
            max(desk.latency_objective_us * 6 // 10, 4 * host.smoothed_latency_us * host.is_origin),
            self.late,
            sent,
        )

    def late(self, sent: Attempt) -> None:
        """A dispatch that is still out counts as a slow answer: its time-out would tell a second too late."""
        desk, req, host = self.desk, sent.request, sent.host
        if self.lost(sent) and not sent.outcome:
            listed = host in desk.placement.ring or host in desk.origin.hosts  # still
            if (
                listed
                and host.retry_budget >= 1.0
                and desk.placement.room(host)
                and desk.may_repeat(req, host)
            ):
                host.retry_budget -= 1.0
                self.take(req, host)
        elif not sent.outcome and not host.is_origin:
            self.heard(host, desk.now - sent.started_at_us)
            if not desk.settings.may_hedge:
                self.cut(host, 0.2)  # few of its answers come here, and none while it is silent
            if self.calls_off(sent):
                desk.placement.fleet.retry_budget, req.attempt_cancelled = (
                    desk.placement.fleet.retry_budget - 1.0,
                    True,
                )
                desk.port.cancel(req.id, req.attempts.index(sent))

    def calls_off(self, sent: Attempt) -> bool:
        """A read at a silent host is given up for an origin with time; where no second dispatch may be out,
        a late one at any."""
        desk, req, terms = self.desk, sent.request, self.desk.settings
        may = terms.may_cancel and (
            sent.host.last_response_at_us <= sent.started_at_us or not terms.may_hedge
        )
        more = (
            req.request_class.idempotent
            and not req.answered
            and len(req.attempts) - req.redirects < req.max_attempts
        )
        return may and more and desk.placement.fleet.retry_budget >= 1.0 and desk.origin.spare()

    def lost(self, sent: Attempt) -> bool:
        """Whether its host is quick and has answered others since: then silence says nothing of the host."""
        return (
            sent.host.last_response_at_us > sent.started_at_us
            and 6 * sent.host.smoothed_latency_us < self.desk.now - sent.started_at_us
        )

    def back(self, req: Request, sent: Attempt) -> None:
        desk, host, now, verdict = self.desk, sent.host, self.desk.now, sent.outcome
        if verdict in ("done", "miss", "moved"):
            host.ejected_until_us, host.last_response_at_us = 0, now
            for one in (host, desk.placement.fleet):
                one.retry_budget = min(10.0, one.retry_budget + 0.2)
        if (
            verdict == "done" or verdict == "timeout" and not self.lost(sent)
        ):  # a miss is told at once
            self.heard(host, now - sent.started_at_us)
        elif verdict in RETRYABLE_OUTCOMES and verdict != "stale":
            spoilt = verdict in ("error", "reset")
            host.retry_budget = max(0.0, host.retry_budget - spoilt)
            host.attempt_count += verdict == "full"
            if verdict == "refused" and not (
                host.is_origin or desk.slot_map
            ):  # the next process is cold
                host.warm_at_us, host.placements_at_last_draw = (
                    now + desk.settings.slow_start_us,
                    desk.placement.placed,
                )
            if (
                not spoilt or host.retry_budget < 1.0
            ):  # a spoilt answer among many says nothing of the host
                self.cut(host, 0.7)  # a crowded host makes no connections in time either
                host.ejected_until_us = now + (
                    BREATHER if verdict == "full" or host.is_origin else TICK
                )
                desk.call_later(
                    host.ejected_until_us - now, desk.pump
                )  # or what is held waits too long
        self.prev.back(req, sent)

    def heard(self, host: HostState, took: int) -> None:
        self.judge(host, took)
        if not host.is_origin:
            self.judge(self.desk.placement.fleet, took)

    def slowness(self, host: HostState) -> float:
        return host.smoothed_latency_us / (
            self.desk.latency_objective_us * (0.6 if host.is_origin else 0.25)
        )

    def judge(self, host: HostState, took: int) -> None:
        """The limit follows the lag: it falls while answers are slow, else grows where it is used."""
        lag = (
            self.desk.now - host.latency_recorded_at_us < REDRAW_GAP and host.smoothed_latency_us
        ) or took  # an old lag says nothing
        host.smoothed_latency_us, host.latency_recorded_at_us = (
            lag + (took - lag) // 8,
            self.desk.now,
        )
        if (slow := self.slowness(host)) > 1.0:
            self.cut(host, max(0.2 if host.is_origin else 0.5, min(0.9, 1 / slow)))
        elif host.concurrency_limit < 1.0:
            host.concurrency_limit, host.capacity_checks = (
                self.desk.chance(host) * (1 + host.is_origin),
                0,
            )
        elif host.in_flight + host.in_flight_elsewhere >= host.concurrency_limit // 2:
            host.concurrency_limit += (
                1 / host.concurrency_limit if host.limit_decreased_at_us else 1.0
            )  # the start is low, so left fast

    def cut(self, host: HostState, by: float) -> None:
        if (
            self.desk.now - host.limit_decreased_at_us > host.smoothed_latency_us
        ):  # once in the time that an answer takes
            limit = max(host.concurrency_limit, self.desk.chance(host))
            floor = (
                host.limit_floor
                if host.smoothed_latency_us < self.desk.latency_objective_us // 2
                else min(host.limit_floor, 1.0 + host.is_origin)
            )
            host.concurrency_limit = max(
                floor, min(limit, (1 + host.is_origin) * (host.total_in_flight + 1)) * by
            )
            host.limit_decreased_at_us, host.capacity_checks = self.desk.now, 0


class Balancer(RequestTable):
    """The door: ids come in here; the stages share its clock, chance and agenda."""

    sender: Dispatch
    sends: type[Dispatch] = Dispatch

    def __init__(self, terms: ServiceSettings, port: Port, seed: int, now: int) -> None:
        super().__init__(port, now)
        self.settings, self.rng = terms, Random(seed)
        self.latency_objective_us = terms.latency_objective_us
        self.failures = 0  # of calls for the list, in a row
        self.slot_map: SlotMap | None = None  # of slots, where servers own them
        self.admission, self.merging = Admission(self), Merging(self)
        self.placement, self.origin, self.sender = Placement(self), Origin(self), self.sends(self)
        connect_stages(self.admission, self.merging, self.placement, self.origin, self.sender)
        self.call_later(TICK, self.tick)
        if terms.subscribes:
            self.ask_soon(terms.subscribe_within_us // 10)

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
        if slot < 0:  # not the protocol's own
            slot = (
                self.rng.randrange(SLOT_COUNT)
                if key is None
                else crc_hqx(b"%d" % key, 0) & (SLOT_COUNT - 1)
            )
        req = Request(
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
        self.requests[id] = req
        self.admission.take(req)

    def on_settings(self, terms: ServiceSettings) -> None:
        """They count for reqs from now on; those that are open keep theirs. What was counted lives on."""
        self.settings, self.latency_objective_us = terms, terms.latency_objective_us
        self.admission.follow()
        self.pump()

    def on_body_complete(self, id: int, left: int) -> None:
        """The last byte of a body that flows has come."""
        if req := self.requests.get(id):
            req.body_streaming, req.received_at_us, req.deadline_us = (
                False,
                self.now,
                self.now + left,
            )
            for sent in req.attempts:
                if not sent.outcome:
                    self.sender.begin(sent)

    def on_response_truncated(self, id: str) -> None:
        """An answer that had begun to reach its client broke off."""
        if host := self.hosts.get(id):
            host.retry_budget = max(0.0, host.retry_budget - 1.0)

    def on_hosts(
        self, scope: str, entries: Iterable[tuple[str, str, int, str, str, str, float]]
    ) -> None:
        self.failures = self.failures + 1 if scope == "failed" else 0
        if self.failures:
            return self.ask_soon(
                min(self.settings.subscribe_within_us // 4, 1_000_000 << min(self.failures, 3))
            )
        gone = set() if scope == "changes" else set(self.hosts)
        for id, state, since, zone, kind, cell, rating in entries:
            (gone.add if state == "gone" else gone.discard)(id)
            if state == "gone":
                continue
            host = self.hosts.get(id) or HostState(id, kind == self.settings.origin_kind)
            self.hosts[id] = host
            if since != host.started_at_us:
                self.restart(host, since)
            host.state, host.zone, host.cell, host.weight = state, zone, cell, max(rating, 1e-6)
        self.hosts = {id: host for id, host in sorted(self.hosts.items()) if id not in gone}
        ready = [host for host in self.hosts.values() if host.state == "up"]
        self.origin.hosts = [host for host in ready if host.is_origin]
        self.placement.follow([host for host in ready if not host.is_origin])
        self.pump()

    def on_load_report(self, id: str, rate: float | None, held: float | None = None) -> None:
        """What a host told of itself, as far as it did: reqs a second, and how many it holds."""
        if host := self.hosts.get(id):
            host.reported_request_rate = host.reported_request_rate if rate is None else rate
            if held is not None and self.by_load and not host.is_origin:
                self.placement.told(host, held)

    @property
    def by_load(self) -> bool:
        """Whether what hosts say they hold counts."""
        return "concurrent" in self.settings.reported_fields

    def on_redirected(self, id: int, number: int, to: str) -> None:
        """A dispatch was sent on to another host, and has not run."""
        if req := self.requests.get(id):
            req.redirects, req.redirect_target = req.redirects + 1, self.hosts.get(to)
            self.on_outcome(id, number, AttemptOutcome.REDIRECTED, False)

    def owner(self, req: Request) -> HostState | None:
        """Where servers own their slots: whom the last redirection named, else the slot's owner as told."""
        name = self.slot_map.owner(req.slot) if self.slot_map else None
        return req.redirect_target or (self.hosts.get(name) if name else None)

    def restart(self, host: HostState, since: int) -> None:
        """A process that has just started owes nothing to its forerunner."""
        host.attempt_count = host.smoothed_latency_us = host.limit_decreased_at_us = (
            host.ejected_until_us
        ) = 0
        host.concurrency_limit, host.retry_budget, host.reported_request_rate = (
            min(8.0, max(2.0, FIRST_LIMIT / self.settings.balancer_count)),
            2.0,
            -1.0,
        )
        host.limit_floor = (1 + host.is_origin) * 4 / self.settings.balancer_count
        host.started_at_us, host.counted_since_us, host.placements_at_last_draw = (
            since,
            self.now,
            self.placement.placed,
        )
        host.warm_at_us = (
            host.started_at_us + self.settings.slow_start_us
            if host.started_at_us and not host.is_origin
            else 0
        )

    def tick(self, _: None) -> None:
        self.admission.tick()
        self.placement.tick()
        self.pump()
        self.call_later(TICK, self.tick)

    def pump(self, _: None = None) -> None:
        self.placement.drain()
        self.origin.drain()

    def ask_soon(self, within: int) -> None:
        """Ask for the list at a random time: instances that start or fail together must not ask together."""
        self.call_later(self.rng.randrange(within + 1), lambda _: self.port.subscribe())

    def hold(self, req: Request) -> None:
        """It waits with nothing out, at most until its response target."""
        req.queued, last = (
            True,
            min(
                req.received_at_us + req.request_class.latency_objective_us, req.deadline_us - EARLY
            ),
        )
        self.call_later(last - self.now, self.give_up, req)

    def fits(self, host: HostState) -> bool:
        """Limits of hundreds of balancers add up: below one, a limit is the chance that a lone req goes."""
        if host.concurrency_limit >= 1.0:
            return host.in_flight + host.in_flight_elsewhere < host.concurrency_limit
        host.capacity_checks += 1
        return not host.total_in_flight and self.rng.random() < self.chance(host)

    def chance(self, host: HostState) -> float:
        """It recovers with time, a cache's with use too: where little goes, no answers come to raise it.
        An origin's recovers by good answers: what time alone lets through would keep it from emptying."""
        aims = (self.now - host.limit_decreased_at_us) / self.latency_objective_us
        return min(
            1.0,
            host.concurrency_limit
            + (aims / 3 if host.is_origin else min(aims, host.capacity_checks)) / RECOVERY,
        )

    def give_up(self, req: Request) -> None:
        if not req.answered and not req.in_flight:
            self.finish(req)

    def may_repeat(self, req: Request, host: HostState) -> bool:
        """Whether one more dispatch may go to this host."""
        if req.answered or req.in_flight and not self.settings.may_hedge:
            return False
        return self.allows(req, host, req.request_class, req.attempts, req.max_attempts)

    def allows(
        self,
        req: Request,
        host: HostState,
        rule_set: RequestClass,
        earlier: list[Attempt],
        most: int,
    ) -> bool:
        """Whether the rule set allows one to this host after these."""
        if len(earlier) - req.redirects >= most:
            return False
        doubtful = [] if rule_set.idempotent else possibly_executed(earlier)
        if doubtful and not (
            rule_set.idempotency_keyed
            and self.now - doubtful[0].started_at_us < rule_set.deduplication_window_us
        ):
            return False  # it may have run, and nobody would drop the repeat
        return rule_set.deduplication_scope == "all" or all(
            getattr(sent.host, rule_set.deduplication_scope)
            == getattr(host, rule_set.deduplication_scope)
            for sent in doubtful
        )

    def comeback(self, req: Request, rule_set: RequestClass) -> int:
        """How long a client that is denied stays away; under 0 where a retry may do harm."""
        pause, doubtful = (
            self.settings.max_retry_after_us // 2,
            [] if rule_set.idempotent else possibly_executed(req.attempts),
        )
        if doubtful and not (rule_set.idempotency_keyed and rule_set.deduplication_scope == "all"):
            return -1
        if doubtful:  # a retry that comes when its mark is forgotten would run again
            pause = min(
                pause,
                max(0, rule_set.deduplication_window_us - (self.now - doubtful[0].started_at_us))
                // 2,
            )
        return pause

    def finish(self, req: Request) -> None:
        """The final answer to a req that is given up: denied where a retry is harmless, aborted otherwise."""
        if (pause := self.comeback(req, req.request_class)) >= 0:
            self.port.deny(req.id, pause)
        else:
            self.port.abort(req.id)
        self.end(req)

    def end(self, req: Request) -> None:
        if req.answered:
            return
        super().end(req)
        for number, sent in enumerate(req.attempts):
            if not sent.outcome and self.settings.may_cancel:
                self.port.cancel(req.id, number)
        self.merging.release(req, any(sent.outcome == "done" for sent in req.attempts))
