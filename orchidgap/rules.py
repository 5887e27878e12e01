"""All decisions of the balancer.

A host program makes one `Balancer` an instance, sets `now` (whole microseconds) before each call, and calls
`on_hosts`, `on_req`, `on_outcome`, `on_hangup`, `on_wake` and `on_report` as things happen.
The balancer acts through `ports.Port`; what it reads at start is `terms.ServiceTerms`.
A req runs down the chain Admission, Merging, Placement, Origin, Dispatch; what comes back runs up it.
"""

from __future__ import annotations

from binascii import crc_hqx
from bisect import bisect_right
from collections import deque
from collections.abc import Iterable
from itertools import accumulate
from random import Random
from struct import Struct

from orchidgap.chain import Agenda, Stage, link
from orchidgap.ports import Port
from orchidgap.records import Host, Req, Sent
from orchidgap.terms import ServiceTerms

SPACE = 1 << 14  # b = 14: the slots of the RESP cluster
REDRAW_GAP, REDRAW_SENDS, PROBE_SENDS = 5_000_000, 100, 40
RECOVERY = 24  # response targets until a limit that fell to nothing is one again
TICK, POOL_GAP, BREATHER = 500_000, 1_000_000, 50_000
EARLY = 20_000  # a held req is given up this long before its client leaves: a wake-up can be late
FIRST_LIMIT = 8.0  # dispatches out at one host
SLOTS = 1 << 16  # codes of hash slots start here, below are those of hosts and tenants
POOLED = Struct("<HBB")  # what is told of a host or tenant: its code, how often asked, how slow in 1/64 targets
FELL = frozenset(("full", "unconnected", "error", "reset"))  # verdicts after which another host may do


class Admission(Stage):
    """Turns reqs away early while the oldest held one shows overload; gives what is left its final answer."""

    def __init__(self, desk: Balancer) -> None:
        super().__init__(desk)
        self.asked = dict.fromkeys(desk.terms.tenants, 0.0)
        self.known = desk.pool.on or desk.terms.instances == 1  # one of many may serve one tenant alone
        self.worst, self.pressed, self.shed = 0, False, dict.fromkeys(desk.terms.tenants, 0.0)

    def take(self, req: Req, host: Host | None = None) -> None:
        desk = self.desk
        if req.tenant in self.asked:
            if desk.rng.random() < self.shed[req.tenant]:
                return desk.finish(req)
            if desk.pool.on:
                desk.pool.note(desk.pool.codes[req.tenant], 1)
            else:
                self.asked[req.tenant] += 1.0
        age = desk.oldest_wait(desk.placement.held, desk.origin.writes, desk.origin.held)
        self.worst = max(self.worst, age)
        if age > desk.target // 2:  # misses that wait say nothing of the caches, which still have most keys
            if desk.oldest_wait(desk.placement.held, desk.origin.writes) > desk.target // 2:
                return desk.finish(req)
        self.next.take(req)

    def back(self, req: Req, sent: Sent) -> None:
        self.desk.give_up(req)

    def tick(self) -> None:
        desk, worst, self.worst = self.desk, self.worst, 0
        low = desk.placement.fleet.lag > desk.target * 0.3 or any(
            host.lag > desk.target * 0.6 for host in desk.origin.hosts)
        if (worst > desk.target // 4 or low) != self.pressed:
            self.pressed = not self.pressed
            held = len(desk.placement.held), len(desk.origin.writes), len(desk.origin.held)
            limits = f"{desk.placement.fleet.limit:.0f}, {desk.origin.slots():.0f}, shed {max(self.shed.values(), default=0):.2f}"
            desk.port.log(f"overload {'on' if self.pressed else 'off'}: waited {worst // 1000} ms, held for "
                          f"caches, as writes, as misses {held}, limits on caches, origin {limits}")
        total = sum(self.asked.values()) or 1.0
        for name, asked in self.asked.items():
            # counted is what was let in: those who are shed ask again and would look the greedier for it
            over = asked / total / desk.terms.tenants[name].share - 1.15
            step = over / 4 if self.pressed and self.known else -0.02
            self.shed[name] = max(0.0, min(0.9, self.shed[name] + step))
            self.asked[name] *= 0.8


class Merging(Stage):
    """One fetch a key at a time: later reqs for the key wait for it and then ask the cache."""

    def __init__(self, desk: Balancer) -> None:
        super().__init__(desk)
        self.fetches: dict[int | None, list[Req]] = {}  # by key: its leader, then the followers

    def take(self, req: Req, host: Host | None = None) -> None:
        if not req.write and req.key is not None:
            if req.key in self.fetches:
                self.fetches[req.key].append(req)
                return self.desk.hold(req)
            if req.missed:
                self.fetches[req.key] = [req]
        self.next.take(req)

    def back(self, req: Req, sent: Sent) -> None:
        if sent.verdict == "miss" and not (req.over or req.write):
            req.missed = True
            return self.take(req)
        self.prev.back(req, sent)

    def release(self, req: Req, filled: bool) -> None:
        """The leader is over: its followers ask the cache, or one of them fetches in its place."""
        if self.fetches.get(req.key, [None])[0] is req:
            for follower in self.fetches.pop(req.key)[1:]:
                if not follower.over:
                    follower.missed = follower.missed and not filled
                    self.take(follower)


class Placement(Stage):
    """The range's owner serves the key; a neighbour only where the owner is shunned, cold or has no room."""

    def __init__(self, desk: Balancer) -> None:
        super().__init__(desk)
        self.ring: list[Host] = []  # ready caches by id
        self.cuts: list[int] = []   # where each range ends
        self.fleet = Host("", False, 0, limit=8 * FIRST_LIMIT, lag=desk.target // 8)  # all caches together
        self.heat: dict[int, float] = {}  # by slot: how often asked in the last seconds, where that is often
        self.total = 1.0
        self.heft, self.placed, self.drawn_at = 1.0, 0, desk.now

    def take(self, req: Req, host: Host | None = None) -> None:
        if req.write and self.desk.terms.origin_kind or req.missed:
            return self.next.take(req)
        if not self.ring:
            return self.desk.finish(req)
        self.desk.pool.note(SLOTS + req.slot, 1)
        host = self.choose(req)
        if host is not None:
            return self.next.take(req, host)
        if not self.ring[bisect_right(self.cuts, req.slot)].out:
            return self.desk.finish(req)  # nothing is out that would make room
        self.held.append(req)
        self.desk.hold(req)

    def choose(self, req: Req) -> Host | None:
        ring, n = self.ring, len(self.ring)
        if not ring:
            return None
        i = bisect_right(self.cuts, req.slot)
        if req.slot in self.heat:  # a key past one cache's capacity: the owner and its neighbours share it
            k = self.desk.rng.randrange(self.owners(req.slot))
            i = (i + (-k // 2 if k % 2 else k // 2)) % n
        tried = [sent.host for sent in req.sent if sent.verdict != "miss"]
        for step in range(min(2, n // 2) + 1):
            for host in (ring[i - step], ring[(i + step) % n]):
                if self.room(host) and host not in tried:
                    return host
                if not step and not self.desk.fits(host):  # as one refused for being full: or a crowded range grows
                    host.sends += 2
                    self.desk.pool.note(host.code, 2)
        return None

    def owners(self, slot: int) -> int:
        """One for each mean cache's worth of reqs that the slot surely draws, beside the owner."""
        heat = self.heat[slot]
        return min(len(self.ring), 1 + int(max(0.0, heat - 2 * heat ** 0.5) * len(self.ring) / self.total))

    def room(self, host: Host) -> bool:
        """A host that was shunned gets a single req first, which tells whether it is back."""
        now = self.desk.now
        if now < host.shun_until or (host.strikes and host.out) or not self.desk.fits(host):
            return False
        return now >= host.warm_at or self.warm_enough(host)

    def warm_enough(self, host: Host) -> bool:
        """A cold host gets its share of the own reqs sent, cut to its warmth: all balancers' shares add up.

        Reqs turned away and tried again do not count, or overload would push a cold host over. Each try uses
        the chance up, so hundreds of balancers neither wait for a whole req's worth nor save any up.
        """
        terms = self.desk.terms
        part = 1.0 - (1.0 - terms.cold_from) * (host.warm_at - self.desk.now) / terms.warm_after
        chance, host.seen = (self.placed - host.seen) * part * host.rating / self.heft, self.placed
        return self.desk.rng.random() < chance

    def back(self, req: Req, sent: Sent) -> None:
        self.drain(self.held)
        if sent.verdict in FELL and not (req.over or req.missed or sent.host.is_origin):
            host = self.choose(req)
            if host is not None and host.credit >= 1.0 and self.desk.may_repeat(req, host):
                host.credit -= 1.0
                return self.next.take(req, host)
        self.prev.back(req, sent)

    def follow(self, ready: list[Host]) -> None:
        """A list change: a lost range goes to its neighbours, a joiner halves the busier range beside it."""
        ring, there = self.ring, {host.id for host in ready}
        for i in [i for i, host in enumerate(ring) if host.id not in there][::-1]:
            host = ring.pop(i)
            if ring:
                left, right = ring[max(i - 1, 0)], ring[min(i, len(ring) - 1)]
                left.size += host.size // 2
                right.size += host.size - host.size // 2
        if not ring:
            ring += ready
            self.resize([SPACE / len(ring) for _ in ring])
        for i, host in enumerate(ready):  # both in the order of ids: no search, as fleets grow by hundreds
            if ring[i:i + 1] != [host]:
                giver = max(ring[max(i - 1, 0):i + 1], key=lambda other: other.sends)
                host.size = giver.size // 2
                giver.size -= host.size
                ring.insert(i, host)
        self.cut()

    def cut(self) -> None:
        self.cuts = list(accumulate(host.size for host in self.ring))
        self.heft = sum(host.rating for host in self.ring) or 1.0
        self.fleet.floor = len(self.ring) * min(2.0, 4 / self.desk.terms.instances)

    def resize(self, sizes: list[float]) -> None:
        """Sizes under a quarter of the even share are raised to it, the rest rescaled to fill the space."""
        floor = SPACE / len(sizes) / 4 if sizes else 0.0
        raised: set[int] = set()
        while low := {i for i, size in enumerate(sizes) if size < floor and i not in raised}:
            raised |= low
            rest = sum(size for i, size in enumerate(sizes) if i not in raised)
            scale = (SPACE - floor * len(raised)) / rest
            sizes = [floor if i in raised else size * scale for i, size in enumerate(sizes)]
        ends = [round(end * SPACE / sum(sizes)) for end in accumulate(sizes)]
        for host, start, end in zip(self.ring, [0] + ends, ends):
            host.size = end - start
        self.cut()

    def cool(self) -> None:
        self.total = max(1.0, self.total * 0.8)
        self.heat = {slot: heat * 0.8 for slot, heat in self.heat.items() if heat > 1.0}

    def tick(self) -> None:
        """Redraw all ranges by the document's formula, where enough has been counted."""
        ring, now = self.ring, self.desk.now
        n = len(ring)
        if not ring or now - self.drawn_at < REDRAW_GAP or self.fleet.sends < REDRAW_SENDS * n:
            return
        warm = [host for host in ring if now >= host.warm_at]
        told = sum(host.rate >= 0 for host in warm) * 2 > n
        # a joiner has had less time to be asked: what counts is the sends in the time it was there
        counts = {host: host.rate if told else host.sends / (now - host.counted)
                  for host in warm if not told or host.rate >= 0}
        mean = sum(counts.values()) / len(counts) if counts else 0.0
        loads = [counts.get(host, mean) for host in ring]
        if total := sum(loads):  # half way only: sizes that start anew from the even share spring back
            drawn = [SPACE / n + SPACE * (1 / n - load / total) for load in loads]
            self.resize([(host.size + size) / 2 for host, size in zip(ring, drawn)])
        for host in ring:
            host.sends, host.counted = 0, now
        self.drawn_at, self.fleet.sends = now, 0


class Origin(Stage):
    """Writes and misses go to the origin within a limit that follows how it answers; writes first."""

    def __init__(self, desk: Balancer) -> None:
        super().__init__(desk)
        self.hosts: list[Host] = []
        self.writes: deque[Req] = deque()  # reads that missed are held apart

    def take(self, req: Req, host: Host | None = None) -> None:
        host = host or self.choose(req)
        if host is not None:
            return self.next.take(req, host)
        held = self.writes if req.write else self.held
        ahead = len(self.writes) + (0 if req.write else len(self.held))
        last = min(req.due, req.born + req.rule_set.response_target)
        slots, lag = self.slots(), max((host.lag for host in self.hosts), default=0)
        if slots < 1 or self.desk.now + lag * (1 + ahead / slots) > last:
            return self.desk.finish(req)  # a quick deny where waiting would end in one
        held.append(req)
        self.desk.hold(req)

    def choose(self, req: Req) -> Host | None:
        ready = [host for host in self.hosts if self.desk.now >= host.shun_until and self.desk.fits(host)]
        return min(ready, key=lambda host: host.out) if ready else None

    def back(self, req: Req, sent: Sent) -> None:
        self.pump()
        again = sent.verdict in FELL and sent.host.is_origin and not req.over
        if again and self.desk.may_repeat(req, sent.host):
            return self.take(req)
        self.prev.back(req, sent)

    def pump(self) -> None:
        self.drain(self.writes)
        if not self.writes:
            self.drain(self.held)

    def slots(self) -> float:
        return sum(host.limit for host in self.hosts)


class Dispatch(Stage):
    """Sends, and keeps each host's record by what comes back."""

    def take(self, req: Req, host: Host | None = None) -> None:
        desk = self.desk
        if host is None or len(req.sent) >= desk.terms.max_dispatches:
            return desk.give_up(req)
        sent = Sent(host, desk.now)
        req.sent.append(sent)
        req.out += 1
        host.out += 1
        desk.pool.note(host.code, 1)
        if not host.is_origin:
            desk.placement.fleet.out += 1
            desk.placement.fleet.sends += 1
            desk.placement.placed += 1
            host.sends += 1
            desk.pool.note(0, 1)
            desk.later(desk.target * 6 // 10, self.late, sent)
        desk.port.dispatch(req.id, host.id)

    def late(self, sent: Sent) -> None:
        """A dispatch that is still out counts as a slow answer: its time-out would tell a second too late."""
        if not sent.verdict:
            self.desk.pool.note(sent.host.code, 0, self.desk.now - sent.at)
            self.judge(sent.host, self.desk.now - sent.at, 1)

    def shun(self, host: Host, base: int) -> None:
        """No new work for a while, longer each time it is silent again."""
        if self.desk.now >= host.shun_until:
            host.strikes = min(host.strikes + 1, 5)
            host.shun_until = self.desk.now + (base << host.strikes)
            if host.strikes == 2:
                self.desk.port.log(f"shun {host.id}: silent twice, {host.out} out, lag {host.lag // 1000} ms")

    def back(self, req: Req, sent: Sent) -> None:
        desk, host, now, verdict = self.desk, sent.host, self.desk.now, sent.verdict
        if verdict in ("done", "miss"):
            if host.strikes > 1:
                desk.port.log(f"back {host.id}: answers after {host.strikes} strikes")
            host.heard, host.shun_until, host.strikes = now, 0, 0
            host.credit = min(10.0, host.credit + 0.2)
        if verdict in ("done", "timeout"):  # a miss is told at once, however crowded the host
            desk.pool.note(host.code, 0, now - sent.at)
            self.judge(host, now - sent.at, 1)
            if not host.is_origin:  # many balancers with few reqs for each host see a crowd only in the sum
                took = min(now - sent.at, desk.target * 3 // 4)  # one hot cache must not weigh like a crowd
                desk.pool.note(0, 0, took)
                self.judge(desk.placement.fleet, took, 4)
        elif verdict in FELL:
            self.cut(host, 0.7)  # a crowded host makes no connections in time either
            if verdict == "full" or host.is_origin:
                host.heard, host.sends = now, host.sends + 1
                host.shun_until = max(host.shun_until, now + BREATHER)
            elif verdict in ("unconnected", "reset"):
                self.shun(host, 100_000)
            desk.later(max(0, host.shun_until - now), desk.pump)  # or what is held waits too long
        self.prev.back(req, sent)

    def judge(self, host: Host, took: int, gain: float, weight: int = 2) -> None:
        """The limit follows the lag: it falls while answers are slow, else grows where it is used."""
        now = self.desk.now
        fresh = host.lag and now - host.judged_at < REDRAW_GAP
        host.lag, host.judged_at = host.lag + (took - host.lag) * weight // 16 if fresh else took, now
        slow = host.lag / (self.desk.target * (0.6 if host.is_origin else 0.25))
        if slow > 1.0:
            self.cut(host, max(0.5, min(0.9, 1 / slow)))
        elif host.limit < 1.0:
            host.limit = self.desk.chance(host)
        elif host.out >= host.limit // 2:
            host.limit += gain / host.limit if host.cut_at else 1.0  # a start from 8 is lost without haste

    def cut(self, host: Host, by: float) -> None:
        if self.desk.now - host.cut_at > host.lag:  # once in the time that an answer takes
            limit = host.limit if host.limit >= 1 else self.desk.chance(host)
            host.limit = max(host.floor, min(limit, (1 + host.is_origin) * (host.out + 1)) * by)
            host.cut_at = self.desk.now


class Pool:
    """What all balancers see, where they may talk: each tells one of them, in turn, which tells the sums to all."""

    def __init__(self, desk: Balancer) -> None:
        self.desk, self.on = desk, desk.terms.peer_messages and desk.terms.instances > 1
        self.codes = {name: crc_hqx(name.encode(), 1) for name in desk.terms.tenants}
        self.names = {code: name for name, code in self.codes.items()}
        self.hosts: dict[int, Host] = {}
        self.seen: dict[int, list[int]] = {}  # by code: times asked, answers, their sum of times
        self.sums: dict[int, list[int]] = {}  # the same of all balancers, while it is this one's turn

    def note(self, code: int, asked: int, took: int = 0) -> None:
        if self.on:
            row = self.seen.setdefault(code, [0, 0, 0])
            row[0] += asked
            row[1] += took > 0
            row[2] += took

    def tick(self) -> None:
        if not self.on:
            return
        desk, turn = self.desk, self.desk.now // POOL_GAP % self.desk.terms.instances
        desk.placement.cool()
        if self.sums and turn != desk.terms.slot_no:
            # the price of what is told stays tied to the traffic: a message a req, the slowest first
            asked = self.sums.get(0, [1])[0]
            often = max(2.0, asked / 2 / max(1, len(desk.placement.ring)))
            rows = sorted(((code, row) for code, row in self.sums.items() if code < SLOTS or row[0] >= often),
                          key=lambda item: (item[0] in desk.pool.hosts and item[0] > 0, -item[1][2], item[0]))
            self.tell(None, rows[:max(1, 256 * asked // POOLED.size // desk.terms.instances)])
            self.sums = {}
        if self.seen:
            self.tell(turn, list(self.seen.items()))
            self.seen = {}

    def tell(self, to: int | None, rows: list[tuple[int, list[int]]]) -> None:
        unit = max(1, self.desk.target // 64)
        for kind in (0, 1):
            packed = [POOLED.pack(code % SLOTS, min(255, part), took and max(1, min(255, took // answers // unit)))
                      for code, (asked, answers, took) in rows if code // SLOTS == kind
                      for part in range(asked, -(not asked), -255)]
            for i in range(0, len(packed), 63):
                text = bytes([kind * 2 + (to is None)]) + b"".join(packed[i:i + 63])
                if to != self.desk.terms.slot_no:
                    self.desk.port.tell(to, text)
                if to is None or to == self.desk.terms.slot_no:
                    self.hear(text)

    def hear(self, text: bytes) -> None:
        if len(text) % POOLED.size != 1 or text[0] > 3:
            return  # not of this build
        place = self.desk.placement
        for code, asked, slow in POOLED.iter_unpack(text[1:]):
            took = slow * self.desk.target // 64
            if text[0] in (0, 2):
                row = self.sums.setdefault(code + SLOTS * (text[0] // 2), [0, 0, 0])
                row[0] += asked
                row[1] += max(1, asked) * (slow > 0)
                row[2] += max(1, asked) * took
            elif text[0] == 3:
                place.heat[code] = place.heat.get(code, 0.0) + asked
            elif code in self.names:
                self.desk.admission.asked[self.names[code]] += asked
            elif code in self.hosts:
                place.total += asked if code == 0 else 0
                self.hosts[code].sends += asked
                if took:
                    self.desk.sender.judge(self.hosts[code], took, 1, min(16, asked))


class Balancer(Agenda):
    """The door: ids come in here; the stages share its clock, chance and agenda."""

    def __init__(self, terms: ServiceTerms, port: Port, seed: int, now: int) -> None:
        super().__init__(port, now)
        self.terms, self.rng = terms, Random(seed)
        self.target = min(rule_set.response_target for rule_set in terms.rule_sets.values())
        self.hosts: dict[str, Host] = {}
        self.reqs: dict[int, Req] = {}
        self.failures, self.asking, self.probe_at = 0, False, 0
        self.pool = Pool(self)
        self.admission, self.merging = Admission(self), Merging(self)
        self.placement, self.origin, self.sender = Placement(self), Origin(self), Dispatch(self)
        link(self.admission, self.merging, self.placement, self.origin, self.sender)
        self.later(TICK, self.tick)
        if terms.subscribes:
            self.ask_soon(terms.ask_within // 10)

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
        self.placement.fleet.out -= not sent.host.is_origin
        if over:
            self.end(req)
        self.sender.back(req, sent)
        if req.over and not req.out:
            self.reqs.pop(id, None)

    def on_hangup(self, id: int) -> None:
        if id in self.reqs:
            self.end(self.reqs[id])

    def on_report(self, id: str, rate: float) -> None:
        if id in self.hosts:
            self.hosts[id].rate = rate

    def on_message(self, text: bytes) -> None:
        self.pool.hear(text)

    def on_hosts(self, scope: str, entries: Iterable[tuple[str, str, int, str, str, str, float]]) -> None:
        self.failures = self.failures + 1 if scope == "failed" else 0
        if self.failures:
            return self.ask_soon(min(self.terms.ask_within // 4, 1_000_000 << min(self.failures, 3)))
        gone = set() if scope == "changes" else set(self.hosts)
        for id, state, since, zone, kind, cell, rating in entries:
            if state == "gone":
                gone.add(id)
                continue
            gone.discard(id)
            host = self.hosts.setdefault(id, Host(id, kind == self.terms.origin_kind, crc_hqx(id.encode(), 1)))
            if since != host.since:
                host.since = since
                self.restart(host)
            host.state, host.zone, host.cell, host.rating = state, zone, cell, rating
        self.hosts = {id: host for id, host in sorted(self.hosts.items()) if id not in gone}
        ready = [host for host in self.hosts.values() if host.state == "up"]
        self.origin.hosts = [host for host in ready if host.is_origin]
        self.placement.follow([host for host in ready if not host.is_origin])
        self.pool.hosts = {host.code: host for host in ready} | {0: self.placement.fleet}
        self.pump()

    def restart(self, host: Host) -> None:
        """A process that has just started owes nothing to its forerunner."""
        host.sends = host.lag = host.cut_at = host.heard = host.shun_until = host.strikes = 0
        host.limit, host.credit, host.rate = FIRST_LIMIT, 2.0, -1.0
        host.floor = min(2.0, 8 / self.terms.instances) if host.is_origin else min(1.0, 4 / self.terms.instances)
        host.counted, host.seen = self.now, self.placement.placed
        host.warm_at = host.since + self.terms.warm_after if host.since and not host.is_origin else 0

    def tick(self, _: None) -> None:
        self.admission.tick()
        self.placement.tick()
        if self.now // TICK % 2:
            self.pool.tick()
        self.pump()
        if self.terms.probes_rate and self.placement.ring and self.placement.placed >= self.probe_at:
            self.probe_at = self.placement.placed + PROBE_SENDS  # a fixed pace cost a light balancer 1.8 probes a req
            self.port.probe(self.rng.choice(self.placement.ring).id)
        self.later(TICK, self.tick)

    def pump(self, _: None = None) -> None:
        self.placement.drain(self.placement.held)
        self.origin.pump()

    def ask_soon(self, within: int) -> None:
        """Ask for the list at a random time: instances that start or fail together must not ask together."""
        if not self.asking:
            self.asking = True
            self.later(self.rng.randrange(within + 1), self.ask)

    def ask(self, _: None) -> None:
        self.asking = False
        self.port.subscribe()

    def hold(self, req: Req) -> None:
        """It waits with nothing out, at most until its response target."""
        last = min(req.born + req.rule_set.response_target, req.due - EARLY)
        self.later(last - self.now, self.give_up, req)

    def fits(self, host: Host) -> bool:
        """Limits of hundreds of balancers add up: below one, a limit is the chance that a lone req goes."""
        if host.limit >= 1.0:
            return host.out < host.limit
        return not host.out and self.rng.random() < self.chance(host)

    def chance(self, host: Host) -> float:
        """It recovers with time: where little goes, no answers come that could raise it."""
        return min(1.0, host.limit + (self.now - host.cut_at) / (RECOVERY * self.target))

    def give_up(self, req: Req) -> None:
        if not req.over and not req.out:
            self.finish(req)

    def oldest_wait(self, *queues: deque[Req]) -> int:
        return self.now - min(next((req.born for req in held if not req.over), self.now) for held in queues)

    def may_repeat(self, req: Req, host: Host) -> bool:
        """Whether the rule set allows one more dispatch to this host."""
        rule_set = req.rule_set
        if len(req.sent) >= self.terms.max_dispatches:
            return False
        doubtful = [] if rule_set.replayable else req.suspects()
        if not doubtful:
            return True
        if not rule_set.uniqued or self.now - doubtful[0].at >= rule_set.repeat_window:
            return False  # it may have run, and nobody would drop the repeat
        return rule_set.group == "all" or all(
            getattr(sent.host, rule_set.group) == getattr(host, rule_set.group) for sent in doubtful)

    def finish(self, req: Req) -> None:
        """The final answer to a req that is given up: denied where a retry is harmless, aborted otherwise."""
        rule_set = req.rule_set
        if rule_set.replayable or not req.suspects() or (rule_set.uniqued and rule_set.group == "all"):
            self.port.deny(req.id, self.terms.max_pause // 2)
        else:
            self.port.abort(req.id)
        self.end(req)

    def end(self, req: Req) -> None:
        if req.over:
            return
        req.over = True
        for number, sent in enumerate(req.sent):
            if not sent.verdict and self.terms.may_cancel:
                self.port.cancel(req.id, number)
        if not req.out:
            self.reqs.pop(req.id, None)
        self.merging.release(req, any(sent.verdict == "done" for sent in req.sent))
