"""All decisions of the balancer.

A host program makes one `Balancer` an instance, sets `now` (whole microseconds) before each call, and calls
`on_hosts`, `on_req`, `on_outcome`, `on_hangup`, `on_stream`, `on_wake` and `on_report` as things
happen. The balancer answers through `ports.Port`; what it reads at start is `terms.ServiceTerms`.
A req runs down the chain Admission, Merging, Placement, Origin, Dispatch; what comes back runs up it.
"""

from __future__ import annotations

from bisect import bisect_right
from binascii import crc_hqx
from collections import deque
from heapq import heappop, heappush
from itertools import accumulate
from random import Random
from typing import Any, Callable, Iterable

from orchidgap.ports import Port
from orchidgap.terms import RuleSet, ServiceTerms

SPACE = 1 << 14  # b = 14: the slot count of the RESP cluster
REDRAW_GAP, REDRAW_SENDS = 5_000_000, 100
TICK = 500_000
UNRUN = frozenset(("full", "unconnected", "moot", "miss"))  # verdicts that prove a dispatch never ran


class Host:
    """All that is known of one cache host, or of the origin."""

    __slots__ = ("id", "state", "since", "zone", "cell", "rating", "size", "kin", "sends", "rate", "out", "limit",
                 "lag", "cut_at", "heard", "shun_until", "strikes", "credit", "warm_at", "tokens", "seen", "counted")

    def __init__(self, id: str, limit: float) -> None:
        self.id, self.state, self.size, self.kin = id, "", 0, None
        self.reset(limit)

    def reset(self, limit: float) -> None:
        """A process that has just started owes nothing to its forerunner."""
        self.out = self.sends = self.lag = self.cut_at = self.heard = self.shun_until = self.strikes = 0
        self.warm_at = self.seen = self.counted = 0
        self.limit, self.credit, self.tokens, self.rate = limit, 2.0, 0.0, -1.0


class Sent:
    """One dispatch of a req."""

    __slots__ = ("host", "at", "verdict")

    def __init__(self, host: Host, at: int) -> None:
        self.host, self.at, self.verdict = host, at, ""


class Req:
    __slots__ = ("id", "rule_set", "tenant", "key", "slot", "write", "born", "due", "sent", "out", "over", "missed",
                 "streaming")

    def __init__(self, id: int, rule_set: RuleSet, tenant: str, key: int | None, slot: int, write: bool, born: int,
                 due: int) -> None:
        self.id, self.rule_set, self.tenant, self.key, self.slot, self.write = id, rule_set, tenant, key, slot, write
        self.born, self.due, self.sent, self.out = born, due, [], 0
        self.over = self.missed = self.streaming = False

    def suspects(self) -> list[Sent]:
        """Dispatches that may have run or may yet run."""
        return [sent for sent in self.sent if sent.verdict not in UNRUN]


class Stage:
    """One link of the chain: `take` passes a req down, `back` passes what came of a dispatch up."""

    def __init__(self, desk: Balancer) -> None:
        self.desk, self.next, self.prev = desk, self, self

    def take(self, req: Req, host: Host | None = None) -> None:
        self.next.take(req, host)

    def back(self, req: Req, sent: Sent) -> None:
        self.prev.back(req, sent)


class Admission(Stage):
    """Turns reqs away early while the oldest held one shows overload; gives what is left its final answer."""

    def __init__(self, desk: Balancer) -> None:
        super().__init__(desk)
        self.asked = dict.fromkeys(desk.terms.tenants, 0.0)
        self.total, self.pressed, self.shed = 0.0, False, 0.0

    def take(self, req: Req, host: Host | None = None) -> None:
        desk = self.desk
        self.total += 1.0
        if req.tenant in self.asked:
            self.asked[req.tenant] += 1.0
            part = self.asked[req.tenant] / self.total / desk.terms.tenants[req.tenant].share
            if self.shed > 0.0 and part > 1.1 and desk.rng.random() < min(self.shed, 1 - 0.4 / part):
                return desk.finish(req)
        age = desk.oldest_wait()
        if age > desk.target // 4 and not self.pressed:
            self.press(True, age)
        if age > desk.target // 2:
            return desk.finish(req)
        self.next.take(req, host)

    def back(self, req: Req, sent: Sent) -> None:
        if not req.over and not req.out:
            self.desk.finish(req)

    def press(self, pressed: bool, age: int) -> None:
        desk, origin, self.pressed = self.desk, self.desk.origin, pressed
        desk.port.log(f"overload {'on' if pressed else 'off'}: oldest held {age // 1000} ms, held "
                      f"{len(desk.placement.held)} for caches, {len(origin.writes) + len(origin.reads)} for the origin "
                      f"with limit {sum(h.limit for h in origin.hosts):.0f}, shed {self.shed:.2f}")

    def tick(self) -> None:
        age = self.desk.oldest_wait()
        if self.pressed and age < self.desk.target // 8:
            self.press(False, age)
        self.shed = min(1.0, self.shed + 0.1) if self.pressed else max(0.0, self.shed - 0.02)
        self.total *= 0.8
        for name in self.asked:
            self.asked[name] *= 0.8


class Merging(Stage):
    """One fetch a key at a time: later reqs for the key wait for it and then ask the cache."""

    def __init__(self, desk: Balancer) -> None:
        super().__init__(desk)
        self.fetches: dict[int, list[Req]] = {}  # key: its leader, then the followers

    def take(self, req: Req, host: Host | None = None) -> None:
        if not req.write and req.key is not None:
            group = self.fetches.get(req.key)
            if group is not None:
                group.append(req)
                return self.desk.hold(req)
            if req.missed:
                self.fetches[req.key] = [req]
        self.next.take(req, host)

    def back(self, req: Req, sent: Sent) -> None:
        if sent.verdict == "miss" and not (req.over or req.write or req.missed):
            req.missed = True
            return self.take(req)
        self.prev.back(req, sent)

    def release(self, req: Req, filled: bool) -> None:
        """The leader is over: its followers ask the cache, or one of them fetches in its place."""
        group = self.fetches.get(req.key) if req.key is not None else None
        if group and group[0] is req:
            del self.fetches[req.key]
            for follower in group[1:]:
                if not follower.over:
                    follower.missed = follower.missed and not filled
                    self.take(follower)


class Placement(Stage):
    """The range's owner serves the key; a neighbour only where the owner has no room, is shunned or is cold."""

    def __init__(self, desk: Balancer) -> None:
        super().__init__(desk)
        self.ring: list[Host] = []  # ready caches by id
        self.cuts: list[int] = []   # where each range ends
        self.heft, self.asked, self.drawn_at = 1.0, 0, desk.now
        self.held: deque[Req] = deque()

    def take(self, req: Req, host: Host | None = None) -> None:
        if self.desk.terms.origin_kind and (req.write or req.missed):
            return self.next.take(req, None)
        if not self.ring:
            return self.desk.finish(req)
        if not req.sent:
            self.asked += 1
        host = self.choose(req)
        if host is None:
            self.held.append(req)
            self.desk.hold(req)
        else:
            self.next.take(req, host)

    def choose(self, req: Req) -> Host | None:
        ring, now = self.ring, self.desk.now
        n = len(ring)
        i = bisect_right(self.cuts, req.slot)
        owner = ring[i]
        tried = [sent.host for sent in req.sent if sent.verdict != "miss"]
        if self.room(owner) and owner not in tried:
            return owner
        if owner.kin is not None and owner.kin.state == "up" and owner.kin not in tried and self.room(owner.kin):
            return owner.kin
        for step in range(1, n // 2 + 1):
            for host in (ring[i - step], ring[(i + step) % n]):
                if host not in tried and self.room(host):
                    return host
        return None

    def room(self, host: Host) -> bool:
        now = self.desk.now
        if now < host.shun_until or host.out >= host.limit or (host.strikes and host.out):
            return False
        return now >= host.warm_at or self.budget(host) >= 1.0

    def budget(self, host: Host) -> float:
        """A cold host earns its part of this balancer's own reqs, cut to what it can do: all parts together
        stay below its present capacity however traffic lies over the balancers."""
        terms = self.desk.terms
        part = 1.0 - (1.0 - terms.cold_from) * (host.warm_at - self.desk.now) / terms.warm_after
        host.tokens = min(2.0, host.tokens + (self.asked - host.seen) * part * host.rating / self.heft)
        host.seen = self.asked
        return host.tokens

    def back(self, req: Req, sent: Sent) -> None:
        self.pump()
        if sent.verdict in ("done", "cancelled", "timeout", "moot", "miss") or req.over or req.out:
            return self.prev.back(req, sent)
        if self.desk.terms.origin_kind and (req.write or req.missed):
            return self.prev.back(req, sent)
        host = self.choose(req)  # the dispatch came to nothing: another host, if the rule set and its credit allow
        if host is None or not self.desk.may_repeat(req, host) or host.credit < 1.0:
            return self.prev.back(req, sent)
        host.credit -= 1.0
        self.next.take(req, host)

    def pump(self) -> None:
        while self.held:
            req = self.held[0]
            if not req.over:
                host = self.choose(req)
                if host is None:
                    return
                self.held.popleft()
                self.next.take(req, host)
            else:
                self.held.popleft()

    def follow(self, ready: list[Host]) -> None:
        """A list change: lost ranges go to their neighbours, a joiner halves the busier range beside it."""
        ring = self.ring
        if not ring:
            self.ring = ready
            for i, host in enumerate(ready):
                host.size = SPACE * (i + 1) // len(ready) - SPACE * i // len(ready)
            return self.cut()
        for host in [host for host in ring if host not in ready]:
            i = ring.index(host)
            ring.remove(host)
            if ring:
                left, right = ring[max(i - 1, 0)], ring[min(i, len(ring) - 1)]
                left.size += host.size // 2
                right.size += host.size - host.size // 2
        if not ring:
            return self.follow(ready)
        for host in [host for host in ready if host not in ring]:
            i = sum(other.id < host.id for other in ring)
            sides = ring[max(i - 1, 0):i + 1]
            host.kin = max(sides, key=lambda other: other.size)
            if len(sides) > 1 and abs(sides[0].sends - sides[1].sends) ** 2 > 9 * (sides[0].sends + sides[1].sends):
                host.kin = max(sides, key=lambda other: other.sends)  # busier beyond what chance explains
            host.size = host.kin.size // 2
            host.kin.size -= host.size
            host.seen, host.counted = self.asked, self.desk.now
            ring.insert(i, host)
        self.cut()

    def cut(self) -> None:
        self.cuts = list(accumulate(host.size for host in self.ring))
        self.heft = sum(host.rating for host in self.ring) or 1.0

    def redraw(self) -> None:
        desk, ring = self.desk, self.ring
        n, now = len(ring), desk.now
        if not n or now - self.drawn_at < REDRAW_GAP or sum(h.sends for h in ring) < REDRAW_SENDS * n:
            return
        warm = [host for host in ring if now >= host.warm_at]
        told = sum(host.rate >= 0 for host in warm) * 2 > n
        heard = [host for host in warm if not told or host.rate >= 0]
        # a joiner has had less time to be asked: what counts is the sends in the time it was there
        counts = {host: host.rate if told else host.sends / (now - host.counted) for host in heard}
        mean = sum(counts.values()) / len(counts) if counts else 0.0
        loads = [counts.get(host, mean) for host in ring]
        total = sum(loads)
        if total > 0:
            sizes = [SPACE / n + SPACE * (1 / n - load / total) for load in loads]
            # half way only: a size that starts anew from the even share springs back, and the table swings
            sizes = [(size + host.size) / 2 for size, host in zip(sizes, ring)]
            self.resize([max(size, SPACE / n / 4) for size in sizes])
        for host in ring:
            host.sends, host.counted = 0, now
        self.drawn_at = now

    def resize(self, sizes: list[float]) -> None:
        floor, scale = SPACE / len(sizes) / 4, SPACE / sum(sizes)
        at, last = 0.0, 0
        for host, size in zip(self.ring, sizes):
            at += max(floor, size * scale) if scale >= 1 else size * scale
            host.size = min(SPACE, round(at)) - last
            last += host.size
        self.ring[-1].size += SPACE - last
        self.cut()

class Origin(Stage):
    """Writes and misses go to the origin within a limit that follows how it answers."""

    def __init__(self, desk: Balancer) -> None:
        super().__init__(desk)
        self.hosts: list[Host] = []
        self.writes: deque[Req] = deque()
        self.reads: deque[Req] = deque()

    def take(self, req: Req, host: Host | None = None) -> None:
        if host is not None:
            return self.next.take(req, host)
        host = self.choose(req)
        if host is not None:
            return self.next.take(req, host)
        waits = self.writes if req.write else self.reads
        lag, slots = self.desk.origin_lag(), sum(host.limit for host in self.hosts)
        ahead = len(self.writes) + (0 if req.write else len(self.reads))
        last = min(req.due, req.born + req.rule_set.response_target)
        if not slots or self.desk.now + lag * (1 + ahead / slots) > last:
            return self.desk.finish(req)
        waits.append(req)
        self.desk.hold(req)

    def choose(self, req: Req) -> Host | None:
        now = self.desk.now
        open_ = [host for host in self.hosts if host.out < host.limit and now >= host.shun_until]
        return min(open_, key=lambda host: host.out) if open_ else None

    def back(self, req: Req, sent: Sent) -> None:
        if sent.host not in self.hosts:
            return self.prev.back(req, sent)
        self.pump()
        if sent.verdict in ("full", "unconnected", "error", "reset") and not req.over and not req.out:
            if self.desk.may_repeat(req, sent.host) and len(req.sent) < 4:
                return self.take(req)
        self.prev.back(req, sent)

    def pump(self) -> None:
        for waits in (self.writes, self.reads):
            while waits:
                req = waits[0]
                if not req.over:
                    host = self.choose(req)
                    if host is None:
                        return
                    waits.popleft()
                    self.next.take(req, host)
                else:
                    waits.popleft()


class Dispatch(Stage):
    """Sends, keeps each host's record, and sends a further copy where an answer is late."""

    def take(self, req: Req, host: Host | None = None) -> None:
        desk = self.desk
        now = desk.now
        if len(req.sent) >= desk.terms.max_dispatches:
            return desk.finish(req)
        sent = Sent(host, now)
        req.sent.append(sent)
        req.out += 1
        host.out += 1
        if host.size:
            host.sends += 1
            if now < host.warm_at:
                host.tokens -= 1.0
            if req.rule_set.replayable and desk.terms.may_duplicate:
                desk.later(desk.patience(host), self.late, (req, sent))
        desk.port.dispatch(req.id, host.id, 0)

    def late(self, pair: tuple[Req, Sent]) -> None:
        req, sent = pair
        if sent.verdict or req.over or req.streaming:
            return
        host, desk = sent.host, self.desk
        if host.heard >= sent.at:  # it answers others: slow work is no reason for a copy that will miss
            return desk.later(desk.patience(host), self.late, pair)
        if host.out > 1:  # nothing heard of several: it stalls or died before the list says so
            self.shun(host, desk.patience(host))
        other = desk.placement.choose(req)
        if req.out == 1 and not desk.admission.pressed and other is not None and other.credit >= 1.0 and desk.may_repeat(req, other):
            other.credit -= 1.0
            self.take(req, other)

    def shun(self, host: Host, base: int) -> None:
        """No new work for a while; then a single req tells whether the host is back."""
        desk, now = self.desk, self.desk.now
        if now >= host.shun_until:
            host.strikes = min(host.strikes + 1, 5)
            host.shun_until = now + (base << host.strikes)
            if host.strikes == 2:
                desk.port.log(f"shun {host.id}: 2 strikes, {host.out} out")

    def back(self, req: Req, sent: Sent) -> None:
        host, now = sent.host, self.desk.now
        if sent.verdict in ("done", "miss"):
            host.heard, host.shun_until, host.strikes = now, 0, 0
            host.credit = min(10.0, host.credit + 0.2)
            took = now - sent.at
            host.lag += (took - host.lag) // 8 if host.lag else took
            if sent.verdict == "done" and host.size:
                self.desk.pace += (took - self.desk.pace) // 16
            if host.lag > self.desk.target * 2 // 5:
                self.cut(host, 0.9)
            elif host.out >= host.limit // 2:
                host.limit += 1.0 / host.limit if host.cut_at else 1.0  # slow start
        elif sent.verdict == "full":
            host.heard, host.sends = now, host.sends + 1
            self.cut(host, 0.7)
            host.shun_until = max(host.shun_until, now + 50_000)
        elif sent.verdict in ("unconnected", "reset"):
            self.shun(host, 100_000)
            self.cut(host, 0.7)  # a crowded host makes no connections in time either
        elif sent.verdict in ("timeout", "error"):
            self.cut(host, 0.7)
        self.prev.back(req, sent)

    def cut(self, host: Host, by: float) -> None:
        """Lower the limit, at most once in the time that an answer takes."""
        if self.desk.now - host.cut_at > host.lag:
            host.limit, host.cut_at = max(2.0, host.limit * by), self.desk.now


class Balancer:
    def __init__(self, terms: ServiceTerms, port: Port, seed: int, now: int) -> None:
        self.terms, self.port, self.rng, self.now = terms, port, Random(seed), now
        self.target = min(rule_set.response_target for rule_set in terms.rule_sets.values())
        self.pace = self.target // 8  # how long caches take to answer
        self.hosts: dict[str, Host] = {}
        self.reqs: dict[int, Req] = {}
        self.agenda: list[tuple[int, int, Callable[[Any], None], Any]] = []
        self.count = self.woken_at = 0
        self.failures, self.asking = 0, False
        self.admission, self.merging = Admission(self), Merging(self)
        self.placement, self.origin, self.sender = Placement(self), Origin(self), Dispatch(self)
        chain = [self.admission, self.merging, self.placement, self.origin, self.sender]
        for above, below in zip(chain, chain[1:]):
            above.next, below.prev = below, above
        self.later(TICK, self.tick, None)
        if terms.subscribes:
            self.ask_soon(min(terms.ask_within // 8, 1_000_000))

    # what happens

    def on_req(self, id: int, left: int, write: bool, rule_set: str, key: int | None, tenant: str) -> None:
        slot = self.rng.randrange(SPACE) if key is None else crc_hqx(b"%d" % key, 0) & (SPACE - 1)
        req = Req(id, self.terms.rule_sets[rule_set], tenant, key, slot, write, self.now, self.now + left)
        self.reqs[id] = req
        self.admission.take(req)

    def on_outcome(self, id: int, number: int, verdict: str, over: bool) -> None:
        req = self.reqs.get(id)
        if req is None or number >= len(req.sent) or req.sent[number].verdict:
            return
        sent = req.sent[number]
        sent.verdict = verdict
        req.out -= 1
        sent.host.out -= 1
        if over and not req.over:
            self.end(req)
        self.sender.back(req, sent)
        if req.over and not req.out:
            self.reqs.pop(id, None)

    def on_hangup(self, id: int) -> None:
        req = self.reqs.get(id)
        if req is not None and not req.over:
            self.end(req)

    def on_stream(self, id: int, number: int) -> None:
        if id in self.reqs:
            self.reqs[id].streaming = True

    def on_report(self, host: str, load: dict[str, float]) -> None:
        if host in self.hosts and "tps" in load:
            self.hosts[host].rate = load["tps"]

    def on_hosts(self, scope: str, entries: Iterable[tuple[str, str, int, str, str, str, float]]) -> None:
        if scope == "failed":
            self.failures += 1
            return self.ask_soon(min(self.terms.ask_within // 4, 1_000_000 << min(self.failures, 3)))
        if scope != "recalled":
            self.failures = 0
        listed = set()
        for id, state, since, zone, kind, cell, rating in entries:
            listed.add(id)
            if state == "gone":
                if id in self.hosts:
                    self.hosts.pop(id).state = "gone"
                continue
            is_origin = kind == self.terms.origin_kind
            host = self.hosts.get(id)
            if host is None:
                host = self.hosts[id] = Host(id, 8.0)
                if is_origin:
                    self.origin.hosts.append(host)
            elif since != host.since:
                out = host.out
                host.reset(8.0)
                host.out, host.seen = out, self.placement.asked
            host.state, host.since, host.zone, host.cell, host.rating = state, since, zone, cell, rating
            if since and self.now < since + self.terms.warm_after and not is_origin:
                host.warm_at = since + self.terms.warm_after
        if scope in ("whole", "recalled"):
            for id in [id for id in self.hosts if id not in listed]:
                self.hosts.pop(id).state = "gone"
        origins = [host for host in self.origin.hosts if self.hosts.get(host.id) is host and host.state == "up"]
        self.origin.hosts = origins
        ready = [host for _, host in sorted(self.hosts.items()) if host.state == "up" and host not in origins]
        self.placement.follow(ready)
        self.placement.pump()
        self.origin.pump()

    def on_wake(self, token: int) -> None:
        if token == self.woken_at:
            self.woken_at = 0
        while self.agenda and self.agenda[0][0] <= self.now:
            _, _, act, what = heappop(self.agenda)
            act(what)
        self.arm()

    # what all stages use

    def later(self, delay: int, act: Callable[[Any], None], what: Any) -> None:
        self.count += 1
        heappush(self.agenda, (self.now + delay, self.count, act, what))
        self.arm()

    def arm(self) -> None:
        if self.agenda and (not self.woken_at or self.agenda[0][0] < self.woken_at - 10_000):
            self.woken_at = max(self.now, self.agenda[0][0]) + 10_000
            self.port.wake(self.woken_at - self.now, self.woken_at)

    def tick(self, _: None) -> None:
        self.admission.tick()
        self.placement.redraw()
        self.placement.pump()
        self.origin.pump()
        self.later(TICK, self.tick, None)

    def ask_soon(self, within: int) -> None:
        if not self.asking:
            self.asking = True
            self.later(self.rng.randrange(max(1, within)), self.ask, None)

    def ask(self, _: None) -> None:
        self.asking = False
        self.port.subscribe()

    def hold(self, req: Req) -> None:
        """Waits with nothing out; given up while a late answer could still be of use to nobody."""
        last = req.born + req.rule_set.response_target
        self.later(max(0, min(last, req.due - 20_000) - self.now), self.give_up, (req, len(req.sent)))

    def give_up(self, what: tuple[Req, int]) -> None:
        req, sent = what
        if not req.over and not req.out and len(req.sent) == sent:
            self.finish(req)

    def oldest_wait(self) -> int:
        oldest = self.now
        for waits in (self.placement.held, self.origin.writes, self.origin.reads):
            while waits and waits[0].over:
                waits.popleft()
            if waits and waits[0].born < oldest:
                oldest = waits[0].born
        return self.now - oldest

    def origin_lag(self) -> int:
        return max((host.lag for host in self.origin.hosts), default=0)

    def patience(self, host: Host) -> int:
        return min(max(3 * self.pace, 3 * host.lag, self.target // 10), self.target * 3 // 5)

    def may_repeat(self, req: Req, host: Host) -> bool:
        """Whether the rule set allows one more dispatch to this host."""
        if len(req.sent) >= self.terms.max_dispatches or (req.out and not self.terms.may_duplicate):
            return False
        rule_set = req.rule_set
        suspects = [] if rule_set.replayable else req.suspects()
        if not suspects:
            return True
        if not rule_set.uniqued or self.now - suspects[0].at >= rule_set.repeat_window:
            return False
        return rule_set.group == "all" or all(
            getattr(sent.host, rule_set.group, None) == getattr(host, rule_set.group) for sent in suspects)

    def finish(self, req: Req) -> None:
        """The final answer to a req that is given up: denied where a retry is harmless, aborted otherwise."""
        rule_set = req.rule_set
        if req.over:
            return
        if rule_set.replayable or not req.suspects() or (rule_set.uniqued and rule_set.group == "all"):
            self.port.deny(req.id, self.terms.max_pause // 2 if self.terms.gives_pause else 0)
        else:
            self.port.abort(req.id)
        self.end(req)

    def end(self, req: Req) -> None:
        req.over = True
        for number, sent in enumerate(req.sent):
            if not sent.verdict and self.terms.may_cancel:
                self.port.cancel(req.id, number)
        filled = any(sent.verdict == "done" for sent in req.sent)
        if not req.out:
            self.reqs.pop(req.id, None)
        self.merging.release(req, filled)
