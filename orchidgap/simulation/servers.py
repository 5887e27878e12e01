"""Stand-in cache hosts and origin: what they hold, how fast they are, what they do when crowded or cold."""

from __future__ import annotations

import socket
from collections import OrderedDict, deque
from typing import TYPE_CHECKING

from orchidgap.http1.readers import RequestReader
from orchidgap.net.addresses import Address
from orchidgap.net.connection import Connection
from orchidgap.net.loop import Timer
from orchidgap.simulation.observations import LARGE_BODY_BYTES, HostAttempt, body_fingerprint
from orchidgap.simulation.plan import HostModel, milliseconds_to_us, seconds_to_us

if TYPE_CHECKING:
    from orchidgap.simulation.environment import Environment

GLANCE = 400  # microseconds of work that a miss, or a repeat that is dropped, takes
SWEEP = 1_000_000
PIECE = 16_384  # bytes of a large answer that are written at once
UNSEEN = 2_000_000  # until what was sent to a silent host is given up
CHANCE = 200_000  # microseconds of work that may come on top, by chance
SPOILS = ("noise", "endless", "short", "long", "behind", "ahead", "garbled")
FULL = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nNot-Started: 1\r\n\r\n"
TOO_MANY = FULL.replace(b"Not-Started", b"Connection: close\r\nNot-Started")
MISS = b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\nCache-Result: miss\r\n\r\n"
ERROR = b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"
UNFIT = b"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"


class Job:
    """One dispatch at its host: waiting, then running."""

    __slots__ = (
        "arrival",
        "asking",
        "cold",
        "cost",
        "ends",
        "link",
        "mark",
        "outcome",
        "store",
        "timer",
        "took",
    )

    def __init__(self, store: Store, link: HostLink, arrival: HostAttempt, mark: bytes) -> None:
        self.store, self.link, self.arrival, self.mark = store, link, arrival, mark
        self.cost = arrival.client_attempt.operation.work_us
        self.asking = False  # it was sent here for this one time, where servers own slots
        self.cold = False  # the req missed at a cold host before it came here
        self.outcome, self.took, self.ends = "done", 0, 0
        self.timer: Timer | None = None


class HostLink:
    """A host's end of a connection from a balancer."""

    __slots__ = (
        "beyond",
        "chunked",
        "conn",
        "first_at",
        "flow",
        "idle_since",
        "job",
        "left",
        "reader",
        "store",
        "who",
    )

    def __init__(self, store: Store, sock: socket.socket, who: str) -> None:
        self.store, self.who, self.reader = store, who, RequestReader()
        self.job: Job | None = None
        self.first_at, self.idle_since = 0, store.loop.now
        self.flow: HostAttempt | None = None  # whose answer is being given, piece by piece
        self.left, self.chunked = b"", False
        self.beyond = False  # it has no room for this one: it says so once, and closes
        self.conn = Connection(store.loop, sock, self, stamped=True)

    def opened(self) -> None:
        pass

    def received(self, view: memoryview) -> None:
        reader = self.reader
        if not reader.started:
            # the kernel's time: this process may have stood still before it read
            self.first_at = self.conn.received_at_us
        reader.feed(view)
        if self.job:
            return  # more than one at a time: what it says next cannot be told apart
        if reader.message.error_status:
            self.store.loop.call_later(self.store.one_way_us(self.who), self.close)
        elif reader.message.complete:
            self.asked()

    def asked(self) -> None:
        store, fields, now = self.store, self.reader.message.fields, self.conn.received_at_us
        id = fields.get(b"request-id", b"")
        if self.reader.message.target in (b"/alive", b"/metrics/load") or not id:
            return self.say(MISS)
        arrival = store.environment.referee.on_host_attempt(
            id, store.id, store.group(), self.first_at, now
        )
        if arrival is None:
            return self.say(UNFIT)
        if self.reader.message.body_size > LARGE_BODY_BYTES:
            store.environment.referee.large_bodies += 1
        if body_fingerprint(self.reader.message.body) != body_fingerprint(
            arrival.client_attempt.body
        ):
            what = f"{id.decode()}: another body than its client sent"
            store.environment.referee.record_breach("lost", now, what)
        self.job = Job(store, self, arrival, fields.get(b"idempotency-key", b""))
        store.loop.call_later(store.one_way_us(self.who), store.receive, self.job)

    def give(self, arrival: HostAttempt, body: bytes, pace: int) -> None:
        """A large answer, in one of the ways that HTTP has, as fast as it is read or, with a pace, slowly."""
        way = self.store.environment.rng.choice(("length", "chunks", "close"))
        head = {
            "length": b"Content-Length: %d" % len(body),
            "chunks": b"Transfer-Encoding: chunked",
            "close": b"Connection: close",
        }[way]
        self.flow, self.left, self.chunked = arrival, body, way == "chunks"
        arrival.streaming = True
        self.conn.on_drained = lambda: self.more(pace, way)
        self.conn.send(b"HTTP/1.1 200 OK\r\n%b\r\nCache-Result: hit\r\n\r\n" % head)
        if not self.conn.write_buffer:
            self.more(pace, way)

    def more(self, pace: int, way: str) -> None:
        while self.left and self.conn.is_open and not self.conn.write_buffer:
            piece, self.left = self.left[:PIECE], self.left[PIECE:]
            self.conn.send(
                *((b"%x\r\n" % len(piece), piece, b"\r\n") if self.chunked else (piece,))
            )
            if pace and self.left:
                self.store.loop.call_later(len(piece) * 1_000_000 // pace, self.more, pace, way)
                return
        if self.flow and not self.left and self.conn.is_open and not self.conn.write_buffer:
            arrival, self.flow, self.conn.on_drained = self.flow, None, None
            arrival.streaming = False
            if way == "close":
                return self.close()
            self.say(*((b"0\r\n\r\n",) if self.chunked else ()))

    def say(self, *parts: bytes) -> None:
        self.reader.advance()
        self.idle_since = self.store.loop.now
        if parts:
            self.conn.send(*parts)

    def ended(self, what: str) -> None:
        if self.job:
            self.store.environment.referee.on_attempt_dropped(self.job.arrival, self.store.loop.now)
        self.store.links.pop(self, None)

    def close(self) -> None:
        if self.flow:
            self.flow.streaming = False  # it gives no more by itself
            self.flow.was_broken_off = True
        if self.conn.is_open:
            self.conn.close()
            self.ended("")


class Store:
    """One host. The origin has every key; a cache has what it was given and did not lose."""

    def __init__(
        self,
        environment: Environment,
        id: str,
        address: Address,
        model: HostModel,
        is_origin: bool,
        zone: int,
        speed: float,
    ) -> None:
        self.environment, self.loop, self.id, self.address, self.model = (
            environment,
            environment.loop,
            id,
            address,
            model,
        )
        self.is_origin, self.zone, self.speed = is_origin, zone, speed
        self.links: dict[HostLink, None] = {}
        self.waiting: deque[Job] = deque()
        self.running: dict[Job, None] = {}
        self.held: list[Job] = []  # came while it was cut off
        self.kept: OrderedDict[int, int] = OrderedDict()  # keys: until when
        self.load: deque[tuple[int, int, bool]] = (
            deque()
        )  # when, work, whether it counts for the rule
        self.loaded = 0  # work that came in that stretch
        self.alive, self.vanished, self.draining = True, False, False
        self.frozen_until = self.born = self.owed = self.count = 0
        self.slow, self.spoilt, self.errors = 1.0, 0.0, model.error_ratio
        self.cut: dict[str, bool] = {}  # balancers that it cannot hear
        environment.network.listen(address, self.accept)
        self.loop.call_later(SWEEP, self.sweep)

    # --- the network

    def group(self) -> str:
        return {"zone": f"z{self.zone}", "cell": self.id}.get(
            self.environment.deduplication_scope, "all"
        )

    def one_way_us(self, who: str) -> int:
        return self.environment.one_way_us(self.environment.zone_of(who), self.zone)

    def accept(self, sock: socket.socket, who: str) -> None:
        if not self.alive:
            return sock.close()
        link = HostLink(self, sock, who)
        link.beyond = sum(not other.beyond for other in self.links) >= self.model.max_connections
        self.links[link] = None
        self.environment.referee.connections_dialled += 1
        self.owed += milliseconds_to_us(self.model.connection_work_ms)

    def sweep(self) -> None:
        now, idle_for = self.loop.now, seconds_to_us(self.model.idle_timeout_s)
        for link in list(self.links):
            if not link.job and not link.reader.started and now - link.idle_since > idle_for:
                link.close()
        self.loop.call_later(SWEEP, self.sweep)

    # --- the work

    def warmth(self) -> float:
        if not self.born or self.is_origin:
            return 1.0
        age = self.loop.now - self.born
        part = min(1.0, age / max(1, seconds_to_us(self.model.warm_up_s)))
        return self.model.cold_speed_ratio + (1.0 - self.model.cold_speed_ratio) * part

    def cold(self) -> bool:
        return (
            bool(self.born)
            and not self.is_origin
            and self.loop.now - self.born < seconds_to_us(self.model.warm_up_s)
        )

    def capacity(self) -> float:
        """Microseconds of work that it does in one second."""
        return self.model.cores * self.speed * self.warmth() * 1e6

    def receive(self, job: Job) -> None:
        if not self.alive:
            return
        if self.vanished or self.cut.get(job.link.who):
            self.held.append(job)
            return
        job.cold = job.arrival.client_attempt.id in self.environment.cold_misses
        self.weigh(job)
        if not self.alive:
            return
        room = len(self.waiting) < self.model.queue_per_core * self.model.cores
        if self.draining or not room or job.link.beyond:
            return self.reply(job, "full")
        self.waiting.append(job)
        self.pump()

    def weigh(self, job: Job) -> None:
        """Pushed over is who is sent more, in any stretch of the stated length, than a multiple of what
        it can do now. What is turned away counts too: it was sent.
        """
        now = self.loop.now
        referee, ask = self.environment.referee, job.arrival.client_attempt
        blamed = (
            job.cold
            if self.is_origin
            else referee.notified_starts.get((ask.balancer, self.id), 0) >= self.born // 1000
        )
        cost = job.cost if self.is_origin or ask.operation.key in self.kept else GLANCE
        self.load.append((now, cost, blamed))
        self.loaded += cost
        while self.load[0][0] < now - seconds_to_us(self.model.overload_window_s):
            self.loaded -= self.load.popleft()[1]
        most = (
            self.model.overload_multiple * self.capacity() * self.model.overload_window_s + CHANCE
        )
        if self.loaded > most and (self.is_origin or self.cold()):
            part = sum(cost for _, cost, blamed in self.load if blamed) / self.loaded
            referee.on_host_overloaded(self.id, part, self.is_origin, now)
            self.stop()
            if self.is_origin:
                self.loop.call_later(seconds_to_us(self.model.overload_stop_s), self.revive, False)
            else:  # it stays down
                self.environment.discovery.remove_later(
                    self.id, self.environment.plan.discovery.removal_delay_s
                )

    def pump(self) -> None:
        while (
            self.waiting
            and len(self.running) < self.model.cores
            and self.loop.now >= self.frozen_until
        ):
            job = self.waiting.popleft()
            if not job.link.conn.is_open and self.model.drops_expired:
                continue  # nobody waits for it
            self.begin(job)

    def begin(self, job: Job) -> None:
        op, cost = job.arrival.client_attempt.operation, job.cost
        if op.request_class.write:
            cost = self.write(job)
        elif not self.is_origin and not self.has(op.key):
            job.outcome, cost = "miss", GLANCE
            self.environment.record_miss(job.arrival.client_attempt.id, self)
        if job.outcome == "done" and self.errors and self.environment.rng.random() < self.errors:
            job.outcome = "error"
        cost += self.owed
        self.owed = 0
        crowd = max(
            0.0,
            (len(self.waiting) + len(self.running) + 1) / self.model.cores
            - self.model.crowding_threshold,
        )
        pace = self.speed * self.warmth() / (1.0 + self.model.crowding_slowdown * crowd) / self.slow
        job.took = max(1, round(cost / pace))
        job.ends = self.loop.now + job.took
        self.running[job] = None
        job.timer = self.loop.call_at(job.ends, self.finish, job)

    def write(self, job: Job) -> int:
        """It takes effect as it begins, once for each mark that is remembered; gives the work left."""
        ask, now = job.arrival.client_attempt, self.loop.now
        if ask.operation.request_class.effect == "uniqued":
            memory = self.environment.marks.setdefault(self.group(), {})
            if memory.get(job.mark, 0) > now:
                return GLANCE
            memory[job.mark] = now + milliseconds_to_us(
                ask.operation.request_class.deduplication_window_ms
            )
        self.environment.referee.on_effect(job.arrival, now)
        for store in self.environment.servers.values():
            if not store.is_origin:
                store.kept.pop(ask.operation.key, None)
        return job.cost

    def has(self, key: int) -> bool:
        until = self.kept.get(key)
        if until is None or until < self.loop.now:
            return False
        self.kept.move_to_end(key)
        return True

    def keep(self, key: int) -> None:
        ttl = self.model.ttl_s
        self.kept[key] = self.loop.now + seconds_to_us(ttl) if ttl else 1 << 62
        self.kept.move_to_end(key)
        while len(self.kept) > self.model.capacity_keys:
            self.kept.popitem(last=False)

    def finish(self, job: Job) -> None:
        del self.running[job]
        ask = job.arrival.client_attempt
        if job.outcome != "miss":
            self.environment.referee.on_work_done(job.arrival, job.took, self.loop.now)
        if self.is_origin and job.outcome == "done" and not ask.operation.request_class.write:
            self.environment.referee.origin_fetches += 1
            for store in self.environment.misses.pop(ask.id, ()):
                if store.alive:
                    store.keep(ask.operation.key)
        self.reply(job, job.outcome)
        self.pump()

    def reply(self, job: Job, outcome: str) -> None:
        self.loop.call_later(self.one_way_us(job.link.who), self.put, job, outcome)

    def put(self, job: Job, outcome: str) -> None:
        """What was decided is written now, unless nobody can hear it."""
        link = job.link
        if not link.conn.is_open or self.vanished:
            return
        if self.cut.get(link.who):
            self.held.append(job)
            return
        referee, now = self.environment.referee, self.loop.clock()
        body = b""
        if outcome == "done":
            self.count += 1
            ask = job.arrival.client_attempt
            body = (b"%b/%b/%d:" % (ask.id, self.id.encode(), self.count)).ljust(
                self.environment.value_size_bytes(ask.operation.key), b"v"
            )
        if outcome == "done" and self.spoilt and self.environment.rng.random() < self.spoilt:
            return self.spoil(job, body)
        referee.on_attempt_settled(job.arrival, outcome, now, body)
        link.job = None
        if len(body) > LARGE_BODY_BYTES:
            bulk = self.environment.plan.large_bodies
            slow = self.environment.rng.random() < bulk.slow_writer_ratio
            return link.give(job.arrival, body, round(bulk.slow_rate_kb * 1_000) if slow else 0)
        if outcome == "done":
            link.say(
                b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\nCache-Result: hit\r\n\r\n" % len(body),
                body,
            )
        else:
            link.say({"miss": MISS, "full": TOO_MANY if link.beyond else FULL}.get(outcome, ERROR))
            if link.beyond:
                link.conn.close_gracefully()

    def spoil(self, job: Job, body: bytes) -> None:
        """The work has run, and what is written of it is not what was asked for, or more than that."""
        how = self.environment.rng.choice(SPOILS)
        link, head = job.link, b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n" % len(body)
        good = how in ("behind", "ahead")
        self.environment.referee.on_attempt_settled(
            job.arrival, "done" if good else "spoilt", self.loop.clock(), body if good else b""
        )
        job.arrival.was_broken_off = not good
        link.job = None
        link.say(
            *{
                "noise": (bytes(self.environment.rng.randrange(256) for _ in range(300)),),
                "endless": (b"HTTP/1.1 200 OK\r\nX: " + b"x" * 20_000,),
                "short": (
                    b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + b"x" * 30_000,
                ),
                "long": (b"HTTP/1.1 200 OK\r\nContent-Length: -7\r\n\r\n", body),
                "behind": (head + b"\r\n", body, head + b"\r\n", body),
                "ahead": (b"HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n", head + b"\r\n", body),
                "garbled": (b"HTTP/1.1 2\x000 \xff\r\nContent-Length: 3\r\n\r\nabc",),
            }[how]
        )

    # --- troubles

    def stop(self) -> None:
        """The process ends at once: connections break, new ones are refused, what was kept is gone."""
        self.alive = self.vanished = self.draining = False
        self.environment.network.unlisten(self.address)
        self.halt()
        self.forget()

    def halt(self) -> None:
        """What is running or waiting comes to nothing."""
        for job in self.running:
            if job.timer:
                job.timer.cancel()
        self.waiting.clear()
        self.running.clear()

    def forget(self) -> None:
        """It knows nothing of its connections, what they brought, and what it had kept."""
        self.held.clear()
        self.load.clear()
        self.loaded = 0
        for link in list(self.links):
            self.environment.network.reset(link.conn.sock)
            link.close()
        self.kept.clear()

    def revive(self, cold: bool = True) -> None:
        if self.alive:
            return
        self.alive = True
        self.born = self.loop.now if cold else self.born
        self.frozen_until, self.slow = 0, 1.0
        self.environment.network.listen(self.address, self.accept)
        if cold:
            self.environment.discovery.set_health_later(
                self.id, "Ready", self.environment.plan.discovery.addition_delay_s
            )

    def vanish(self, gone: bool) -> None:
        """The machine says nothing any more; back again, it knows nothing of its connections."""
        if not self.alive or self.vanished == gone:
            return
        self.vanished = gone
        silent = any(store.vanished for store in self.environment.servers.values())
        self.environment.referee.silent_host_until_us = (
            1 << 62 if silent else self.loop.now + UNSEEN
        )
        self.environment.network.set_silent(self.address, gone)
        if gone:
            self.halt()
        else:
            self.forget()
            self.born = self.loop.now
            self.environment.discovery.set_health_later(
                self.id, "Ready", self.environment.plan.discovery.addition_delay_s
            )

    def part(self, who: str, cut: bool) -> None:
        """No byte passes between it and a balancer; what was under way comes once that ends."""
        self.cut[who] = cut
        if not cut:
            held, self.held = self.held, []
            for job in held:
                if job.outcome != "done" or job.ends:
                    self.put(job, job.outcome)
                else:
                    self.receive(job)

    def stand(self, until: int) -> None:
        """It stands still until then, and goes on where it was."""
        now = self.loop.now
        if not self.alive or until <= now:
            return
        for job in self.running:
            if job.timer:
                job.timer.cancel()
                job.ends += until - max(now, self.frozen_until)
                job.timer = self.loop.call_at(job.ends, self.finish, job)
        self.frozen_until = until
        self.loop.call_at(until, self.pump)

    def flush(self, part: float) -> None:
        for key in list(self.kept):
            if self.environment.rng.random() < part:
                del self.kept[key]
