"""Stand-in clients: reqs come when they come, whether or not earlier ones were answered (open arrivals)."""

from __future__ import annotations

import math
import socket
from bisect import bisect
from itertools import accumulate
from typing import TYPE_CHECKING

from orchidgap.http1.readers import ResponseReader
from orchidgap.http1.writers import parse_seconds
from orchidgap.net.attempt_failure import AttemptFailure
from orchidgap.net.connection import Connection
from orchidgap.simulation.observations import LARGE_BODY_BYTES, ClientAttempt, Operation
from orchidgap.simulation.plan import RequestClassSpec, milliseconds_to_us, seconds_to_us

if TYPE_CHECKING:
    from orchidgap.simulation.environment import Environment

LATE_BY = 3_000_000  # after its client timeout an answer is waited for no longer
OWED = 3_000_000  # what a bad client is owed an error or a close within
CROSSING_US = 50_000
PIECE = 16_384  # bytes of a large req that are written at once
BUSY = 10.0
SPREAD = 0.25  # work takes a time of this gamma scale, at shape 4


class CallerLink:
    """A client's end of a connection to a balancer; it carries one req at a time."""

    __slots__ = (
        "ask",
        "clients",
        "conn",
        "left",
        "life",
        "message",
        "pace",
        "post",
        "reader",
        "used",
    )

    def __init__(self, callers: Callers, post: str, sock: socket.socket, opening: bool) -> None:
        self.clients, self.post = callers, post
        self.life = callers.environment.incarnation_of(post)
        self.reader = ResponseReader()
        self.ask: ClientAttempt | None = None
        self.message: tuple[bytes, ...] = ()
        self.used = 0
        self.left = b""  # of a large req, what is yet to be written
        self.pace = 0  # bytes a second of a slow side, 0 for as fast as it goes
        self.conn = Connection(callers.loop, sock, self, opening=opening, stamped=True)
        callers.links[post][self] = None

    def carry(self, ask: ClientAttempt, message: tuple[bytes, ...]) -> None:
        self.ask, self.message = ask, message
        ask.write_started_us = self.clients.loop.clock()
        self.used += 1
        bulk, rng = self.clients.plan.large_bodies, self.clients.rng
        slow = bool(bulk.slow_reader_ratio) and rng.random() < bulk.slow_reader_ratio
        self.pace = round(bulk.slow_rate_kb * 1_000) if slow else 0
        if len(message) > 1 and len(message[1]) > LARGE_BODY_BYTES:
            self.left = message[1]
            self.conn.on_drained = self.more
            self.conn.send(message[0])
            if self.ask is ask and not self.conn.connecting and not self.conn.write_buffer:
                self.more()
            return
        self.conn.send(*message)
        if self.ask is ask and not self.conn.connecting:
            self.written()

    def more(self) -> None:
        """The next pieces of a large req."""
        while self.left and self.conn.is_open and not self.conn.write_buffer and self.ask:
            piece, self.left = self.left[:PIECE], self.left[PIECE:]
            last = not self.left
            self.conn.send(piece)
            if last:
                break
            if self.pace:
                self.clients.loop.call_later(len(piece) * 1_000_000 // self.pace, self.more)
                return
        if not self.left and not self.conn.write_buffer and self.ask and not self.ask.arrived_at_us:
            self.conn.on_drained = None
            self.written()

    def opened(self) -> None:
        if self.left:
            self.more()
        elif self.ask:
            self.written()

    def written(self) -> None:
        ask = self.ask
        if ask:
            # the turn may have begun long before this write
            now = self.clients.loop.clock()
            ask.arrived_at_us, ask.deadline_us = (
                now,
                now + milliseconds_to_us(ask.operation.request_class.client_timeout_ms),
            )
            ask.max_attempts = self.clients.environment.max_attempts_at(now)
            self.clients.environment.referee.on_client_attempt(ask)
            self.clients.loop.call_later(
                ask.deadline_us - now + LATE_BY, self.clients.overdue, self, ask
            )

    def received(self, view: memoryview) -> None:
        reader = self.reader
        # the kernel's time: this process may have stood still before it read
        received_at_us = self.conn.received_at_us
        if self.ask is None:
            self.clients.environment.referee.on_extra_bytes(None, received_at_us)
            return self.close()
        reader.feed(view)
        if not self.ask.first_answer_byte_us:
            self.ask.first_answer_byte_us = received_at_us
        if self.left:  # answered before it had sent all: what is left does not matter any more
            self.left, self.conn.on_drained = b"", None
            self.written()
        if self.pace and not reader.message.complete:
            self.conn.pause_reading(True)
            self.clients.loop.call_later(
                len(view) * 1_000_000 // self.pace, self.conn.pause_reading, False
            )
        if reader.message.complete:
            ask, self.ask = self.ask, None
            if reader.message.body_size > LARGE_BODY_BYTES:
                self.clients.environment.referee.large_bodies += 1
            body, status = reader.message.body, reader.message.status
            pause = parse_seconds(reader.message.fields.get(b"retry-after", b"")) or 0
            extra, lasts = reader.has_excess_data, reader.message.keep_alive
            self.clients.environment.referee.on_answer(ask, status, body, received_at_us)
            if status == 404:
                self.clients.unknown(ask)
            if extra:
                self.clients.environment.referee.on_extra_bytes(ask, received_at_us)
            reader.reset()
            if lasts and not extra:
                self.clients.idle[self.post].append(self)
            else:
                self.conn.close_gracefully()
            self.clients.loop.call_later(
                self.clients.environment.client_one_way_us(), self.clients.heard, ask, status, pause
            )
        elif reader.message.error_status:
            self.conn.fail("no proper answer")

    def ended(self, what: str) -> None:
        callers, ask = self.clients, self.ask
        self.ask = None
        callers.links[self.post].pop(self, None)
        if self in callers.idle[self.post]:
            callers.idle[self.post].remove(self)
        if ask is None or ask.status or ask.abandoned:
            return
        environment = callers.environment
        if not environment.is_alive(self.post, self.life):
            ask.abandoned = True
            return callers.heard(ask, 0, 0)
        unread = what != "closed" and not self.reader.started
        if unread:
            environment.referee.failed_connections += 1
        # On sockets an end that comes with the request crossed it on the way, unless a host has seen
        # it; one that comes later was made by a balancer that had the request.
        age_us = callers.loop.clock() - ask.arrived_at_us
        came_with_it = not environment.network.virtual and age_us <= CROSSING_US
        crossed = came_with_it and not self.reader.started and not ask.host_attempts
        if self.used > 1 and (unread or crossed):  # closed between two reqs, as this one came
            return callers.send(ask, self.message, self.post, fresh=True)
        if what == "closed" and self.reader.started and self.reader.on_connection_closed():
            why = f"{ask.id.decode()}: no telling where its answer ends"
            environment.referee.record_breach("lost", callers.loop.now, why)
        elif self.reader.message.error_status or self.reader.started:
            environment.referee.on_truncated_answer(
                ask, callers.loop.now
            )  # it can tell that this is not whole
        elif self.used == 1 and not ask.host_attempts:
            ask.status = (
                -1
            )  # the first on its connection, with nothing sent on for it: failed, not lost
            environment.referee.aborted += 1
        else:
            environment.referee.on_connection_lost(ask, callers.loop.now)
        callers.heard(ask, 500, 0)

    def close(self) -> None:
        if self in self.clients.idle[self.post]:
            self.clients.idle[self.post].remove(self)
        self.clients.links[self.post].pop(self, None)
        self.conn.close()


class Callers:
    """All clients, their connections and their tries."""

    def __init__(self, environment: Environment) -> None:
        self.environment, self.plan, self.loop, self.rng = (
            environment,
            environment.plan,
            environment.loop,
            environment.rng,
        )
        self.idle: dict[str, list[CallerLink]] = {post: [] for post in environment.balancers}
        self.links: dict[str, dict[CallerLink, None]] = {post: {} for post in environment.balancers}
        works = environment.plan.request_classes()
        self.works, self.work_ends = works, list(accumulate(work.share for work in works))
        self.weights = {
            post: 1.0 + environment.plan.clients.balancer_skew * self.rng.uniform(-1, 1)
            for post in environment.balancers
        }
        if environment.plan.clients.busy_balancer_ratio:
            for post in self.rng.sample(
                list(environment.balancers),
                round(environment.plan.clients.busy_balancer_ratio * len(environment.balancers)),
            ):
                self.weights[post] *= BUSY
        self.key_ends = list(
            accumulate(
                (rank + 3.0) ** -environment.plan.keys.zipf
                for rank in range(environment.plan.keys.count)
            )
        )
        self.asked, self.scanned = 0, 0
        self.load = 1.0
        self.hot: tuple[float, list[int]] = (0.0, [])
        self.scan = 0.0
        self.swell: dict[str, float] = {}
        self.lop: dict[str, float] = {}
        self.end = environment.start + seconds_to_us(environment.plan.duration_s)

    # --- what is asked

    def rate(self) -> float:
        """Reqs a second, now."""
        part = (self.loop.now - self.environment.start) / max(1, self.end - self.environment.start)
        shape = {
            "steady": 1.0,
            "ramp": 0.7 + 0.6 * part,
            "wave": 1.0 + 0.35 * math.sin(part * 12.6),
        }
        more = sum(
            tenant.quota * tenant.quota_usage * (self.swell.get(tenant.name, 1.0) - 1.0)
            for tenant in self.plan.tenants()
        )
        total = sum(tenant.quota * tenant.quota_usage for tenant in self.plan.tenants())
        return (
            self.plan.request_rate
            * shape[self.plan.clients.load_shape]
            * self.load
            * (1.0 + more / total)
        )

    def arrive(self) -> None:
        if self.loop.now >= self.end:
            return
        self.loop.call_later(max(1, round(self.rng.expovariate(self.rate()) * 1e6)), self.arrive)
        op = self.draw()
        self.environment.referee.operations.append(op)
        self.attempt(op)

    def draw(self) -> Operation:
        rng, plan = self.rng, self.plan
        work = self.works[
            bisect(self.work_ends, rng.random() * self.work_ends[-1], 0, len(self.works) - 1)
        ]
        if not self.named(work):  # the usual first one in its place
            work = next(other for other in self.works if self.named(other))
        usage = [
            tenant.quota * tenant.quota_usage * self.swell.get(tenant.name, 1.0)
            for tenant in plan.tenants()
        ]
        tenant = rng.choices(plan.tenants(), usage)[0].name
        key = bisect(self.key_ends, rng.random() * self.key_ends[-1], 0, len(self.key_ends) - 1)
        if self.hot[0] and rng.random() < self.hot[0]:
            key = rng.choice(self.hot[1])
        elif self.scan and not work.write and rng.random() < self.scan:
            self.scanned += 1
            key = plan.keys.count + self.scanned
        cost = max(1, round(work.work_ms * 1000 * rng.gammavariate(4.0, SPREAD)))
        return Operation(
            len(self.environment.referee.operations), work, tenant, key, cost, self.loop.now
        )

    def named(self, work: RequestClassSpec) -> bool:
        """Whether clients name this class now."""
        second = (self.loop.now - self.environment.start) / 1e6
        return work.from_s <= second and (not work.until_s or second < work.until_s)

    def open_links(self, post: str) -> list[CallerLink]:
        """Connections to this balancer that have not ended."""
        return [link for link in self.links[post] if link.conn.is_open]

    def unknown(self, ask: ClientAttempt) -> None:
        """Its balancer does not know its class."""
        why = f"{ask.id.decode()}: a class that the settings have is unknown"
        self.environment.referee.record_breach("lost", self.loop.now, why)

    # --- the tries

    def choose(self, but: str = "", key: int = 0) -> str | None:
        """The front layer: a balancer by its weight, that was not seen dead for the notice time."""
        notice, now = seconds_to_us(self.plan.clients.failover_delay_s), self.loop.now
        open_ = [
            post
            for post in self.environment.balancers
            if post != but
            and self.environment.accepts_clients(post, notice, now)
            and (not self.environment.front.closed(post) or self.idle[post])
        ]
        if (
            self.plan.clients.own_zone_ratio
            and self.rng.random() < self.plan.clients.own_zone_ratio
        ):
            home = key % self.plan.cache.zones
            open_ = [post for post in open_ if self.environment.zone_of(post) == home] or open_
        if not open_:
            return None
        weights = [self.weights[post] for post in open_]
        for i, post in enumerate(open_):
            if post in self.lop and len(open_) > 1:
                others = sum(weights) - weights[i]
                weights[i] = others * self.lop[post] / max(0.01, 1 - self.lop[post])
        return self.rng.choices(open_, weights)[0]

    def attempt(self, op: Operation, but: str = "") -> None:
        post = self.choose(but, op.key)
        if post is None:
            return
        op.attempt_count += 1
        self.asked += 1
        id = b"q%x" % self.asked
        ask = ClientAttempt(id, op, post, self.environment.incarnation_of(post), 0, 0)
        self.loop.call_later(
            self.environment.client_one_way_us(), self.send, ask, self.message(ask, op), post
        )

    def message(self, ask: ClientAttempt, op: Operation) -> tuple[bytes, ...]:
        work, body = op.request_class, b""
        head = [
            b"%b /%b/k%d HTTP/1.1" % (b"PUT" if work.write else b"GET", work.name.encode(), op.key),
            b"Host: service",
            b"Request-Id: " + ask.id,
            b"Request-Class: " + work.name.encode(),
            b"Tenant: " + op.tenant.encode(),
            b"Request-Timeout: %.3f" % (work.client_timeout_ms / 1e3),
        ]
        if op.attempt_count > 1:
            head.append(b"Client-Retry: 1")
        if work.write:
            body = b"op%d" % op.number
            if (
                self.plan.large_bodies.large_write_ratio
                and self.rng.random() < self.plan.large_bodies.large_write_ratio
            ):
                body = body.ljust(self.plan.large_bodies.body_bytes, b"w")
            ask.body = body
            head.append(b"Content-Length: %d" % len(body))
            if work.effect == "uniqued":
                head.append(b"Idempotency-Key: op%d" % op.number)
        return (
            (b"\r\n".join(head) + b"\r\n\r\n", body)
            if body
            else (b"\r\n".join(head) + b"\r\n\r\n",)
        )

    def send(
        self, ask: ClientAttempt, message: tuple[bytes, ...], post: str, fresh: bool = False
    ) -> None:
        ask.incarnation = self.environment.incarnation_of(post)
        idle = self.idle[post]
        while idle and not fresh:
            link = idle.pop()
            if link.conn.is_open and link.life == ask.incarnation:
                return link.carry(ask, message)
            link.close()
        if self.environment.front.closed(post) and not fresh:
            return self.refused(ask, post)
        came = self.environment.network.dial(self.environment.address_of(post))
        if isinstance(came, AttemptFailure):
            self.environment.referee.failed_connections += 1
            return self.refused(ask, post)
        CallerLink(self, post, came, not self.environment.network.virtual).carry(ask, message)
        if (
            self.plan.clients.impatient_ratio
            and self.rng.random() < self.plan.clients.impatient_ratio
        ):
            self.loop.call_later(
                self.rng.randrange(
                    1, milliseconds_to_us(ask.operation.request_class.client_timeout_ms)
                ),
                self.hang_up,
                ask,
            )

    def refused(self, ask: ClientAttempt, post: str) -> None:
        """Nothing was taken: the front layer tries another at once, one time."""
        if ask.operation.attempt_count <= self.plan.clients.max_retries + 1:
            self.attempt(ask.operation, but=post)

    def hang_up(self, ask: ClientAttempt) -> None:
        if not ask.status:
            ask.abandoned = True
            ask.operation.counted = False

    def overdue(self, link: CallerLink, ask: ClientAttempt) -> None:
        if link.ask is ask and not ask.status and not link.reader.started:
            if self.environment.is_alive(
                link.post, link.life
            ) and not self.environment.was_paused_since(link.post, ask.arrived_at_us):
                self.environment.referee.on_no_answer(ask, self.loop.now)
            link.ask = None
            link.close()

    def heard(self, ask: ClientAttempt, status: int, pause: int) -> None:
        """What a client makes of its answer: another try, where that is harmless and it has not given up."""
        op, callers = ask.operation, self.plan.clients
        if op.completed_at_us or op.attempt_count > callers.max_retries or status == 200:
            return
        if not status and op.request_class.effect != "replayable":
            return  # its balancer died, and what became of it is not known
        if status not in (0, 429, 503) and op.request_class.effect == "non-replayable":
            return
        wait = milliseconds_to_us(callers.backoff_ms) * self.rng.uniform(0.7, 1.3)
        if pause and self.rng.random() < callers.retry_after_compliance:
            wait = max(wait, pause * self.rng.uniform(1.0, 1.2))
        if (
            op.request_class.effect == "uniqued"
            and self.loop.now + wait
            > op.created_at_us + milliseconds_to_us(op.request_class.deduplication_window_ms)
        ):
            return  # a repeat would no longer be known as one
        self.loop.call_later(round(wait), self.attempt, op)


RUDE = (
    b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03",
    b"GET /view/k1 HTTP/1.1\r\nno colon here\r\n\r\n",
    b"GET /view/k1 HTTP/1.1\r\nX: " + b"x" * 40_000,
    b"POST /view/k1 HTTP/1.1\r\nContent-Length: 0\r\n\r\n",
    b"GET /view/k1 HTTP/1.1\r\nRequest-Timeout: 1\r\n\r\n",
    b"GET /view/k1 HTTP/1.1\r\nRequest-Id: b1\r\nRequest-Timeout: nan\r\n\r\n",
    b"GET /view/k1 HTTP/1.1\r\nRequest-Id: b2\r\nRequest-Timeout: 1\r\nContent-Length: -3\r\n\r\n",
    b"PUT /signup/k1 HTTP/1.1\r\nRequest-Id: b3\r\nRequest-Timeout: 1\r\nContent-Length: 60000000\r\n\r\n"
    + b"x" * 9_000,
    b"PUT /signup/k1 HTTP/1.1\r\nRequest-Id: b4\r\nRequest-Timeout: 1\r\nContent-Length: 4\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
    b"GET /view/k2 HTTP/1.1\r\nRequest-Id: b5\r\nRequest-Timeout: 1\r\n\r\n",
    b"GET /nosuch/k1 HTTP/1.1\r\nRequest-Id: b6\r\nRequest-Timeout: 1\r\n\r\n",
    b"GET /view/k1 HTTP/1.1\r\nRequest-Id: b7\r\nRequest-Ti",
    b"",
)


class RudeLink:
    """A client that sends what cannot be served: owed an error or a close, in good time."""

    def __init__(
        self, callers: Callers, sock: socket.socket, text: bytes, leaves: bool, opening: bool
    ) -> None:
        self.clients, self.text = callers, text
        self.reader = ResponseReader()
        self.over = False
        self.conn = Connection(callers.loop, sock, self, opening=opening)
        callers.environment.referee.bad_requests += 1
        for at in range(0, len(text), 4_096):
            if self.conn.is_open:
                self.conn.send(text[at : at + 4_096])
        if leaves:
            self.over = True
            callers.loop.call_later(20_000, self.conn.close)
        callers.loop.call_later(OWED, self.due)

    def opened(self) -> None:
        pass

    def received(self, view: memoryview) -> None:
        self.reader.feed(view)
        if self.reader.message.complete:
            if not self.over and self.reader.message.status < 400:
                self.clients.environment.referee.bad_served += 1
                what = f"a bad client was answered {self.reader.message.status}: {self.text[:40]!r}"
                self.clients.environment.referee.record_breach("lost", self.clients.loop.now, what)
            self.over = True

    def due(self) -> None:
        if not self.over and self.conn.is_open:
            self.clients.environment.referee.bad_ignored += 1
        self.conn.close()

    def ended(self, what: str) -> None:
        self.over = True


def rude(callers: Callers, until: int, each: int) -> None:
    """Bad clients, one every so many microseconds until then."""
    if callers.loop.now >= until:
        return
    environment, rng = callers.environment, callers.rng
    post = callers.choose()
    if post:
        came = environment.network.dial(environment.address_of(post))
        if not isinstance(came, AttemptFailure):
            RudeLink(
                callers, came, rng.choice(RUDE), rng.random() < 0.2, not environment.network.virtual
            )
    callers.loop.call_later(max(1, round(rng.expovariate(1.0) * each)), rude, callers, until, each)
