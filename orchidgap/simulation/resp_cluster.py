"""Stand-in slot servers and clients that speak the cluster dialect of RESP, from its public specification.

Every command can be told from all others on the wire, so that the invariant checker judges commands as it does reqs:
a read is `GETRANGE key 0 N` with N the number of the try, a write is `APPEND key "number;"`. A server answers
what it served with a value that names key and try.
"""

from __future__ import annotations

import socket
from collections import deque
from functools import lru_cache
from typing import TYPE_CHECKING, Any, NamedTuple

from orchidgap.net.addresses import Address, format_address
from orchidgap.net.attempt_failure import AttemptFailure
from orchidgap.net.connection import Connection
from orchidgap.resp.local_commands import slot_of_key as slot_at
from orchidgap.resp.reader import RespReader
from orchidgap.resp.writers import encode_array, encode_bulk, encode_command, encode_error
from orchidgap.simulation.balancer_connection import CLOSED, OVERDUE_US
from orchidgap.simulation.baselines import even_range_owner
from orchidgap.simulation.clients import Clients
from orchidgap.simulation.host_job import HostJob
from orchidgap.simulation.observations import ClientAttempt, Operation
from orchidgap.simulation.plan import Fault, HostModel, milliseconds_to_us, seconds_to_us
from orchidgap.simulation.request_end import (
    ConnectionEndFacts,
    ProcessEnd,
    RequestEnd,
    classify_request_end,
)
from orchidgap.simulation.servers import Store

if TYPE_CHECKING:
    from orchidgap.simulation.environment import Environment

SPACE = 1 << 14
slot_of = lru_cache(maxsize=1 << 17)(slot_at)
BASE = 1_000_000  # the number in a read, less the number of its try
DEPTH = 16  # commands that a client has under way on one connection
MOVE_WITHIN = 300_000  # microseconds that a slot takes to move, key by key


class Cluster:
    """Who owns what, as the servers know it among themselves; each may know it late."""

    def __init__(self) -> None:
        self.owner: list[str] = []
        self.moving: dict[int, tuple[str, str]] = {}  # from, to
        self.moved = 0

    def share(self, ids: list[str]) -> None:
        self.owner = [ids[even_range_owner(slot, ids)[0]] for slot in range(SPACE)]

    def ranges(self, view: list[str]) -> list[tuple[int, int, str]]:
        found: list[tuple[int, int, str]] = []
        for slot, id in enumerate(view):
            if found and found[-1][2] == id:
                found[-1] = (found[-1][0], slot, id)
            else:
                found.append((slot, slot, id))
        return found


class Place:
    """One command in the order of answers."""

    __slots__ = ("job", "outcome", "text")

    def __init__(self, job: HostJob | None) -> None:
        self.job, self.outcome = job, ""
        self.text: bytes | None = None


class SlotLink:
    """A server's end of a connection: commands in order, answers in the same."""

    is_beyond_limit = False  # it has room for all

    def __init__(self, store: SlotStore, sock: socket.socket, who: str) -> None:
        self.store, self.balancer, self.reader = store, who, RespReader()
        self.asking = False
        self.jobs: list[HostJob] = []
        self.places: deque[Place] = deque()  # what was asked, in its order
        self.come_at = self.put_at = store.loop.now
        self.conn = Connection(store.loop, sock, self)

    def opened(self) -> None: ...

    def received(self, view: memoryview) -> None:
        self.reader.feed(view)
        while self.conn.is_open and (words := self.reader.read_command()) is not None:
            self.asked(words)

    def asked(self, words: list[bytes]) -> None:
        store, now = self.store, self.store.loop.now
        self.come_at = max(self.come_at, now + store.one_way_us(self.balancer))
        name = words[0].upper() if words else b""
        if name in (b"GETRANGE", b"APPEND"):
            number = int(words[3]) - BASE if name == b"GETRANGE" else int(words[2][:-1])
            arrival = store.environment.invariant_checker.on_host_attempt(
                b"q%x" % number, store.id, store.deduplication_group(), now, now
            )
            if arrival is None:
                return self.conn.close()
            job = HostJob(self, arrival, words[1])  # type: ignore[arg-type]  # a link as a store needs it
            job.asking = self.asking
            self.jobs.append(job)
            self.places.append(Place(job))
            store.loop.call_at(self.come_at, store.receive, job)
        else:
            self.places.append(Place(None))
            store.loop.call_at(self.come_at, self.local, name, self.places[-1])
        self.asking = name == b"ASKING"

    def local(self, name: bytes, place: Place) -> None:
        if self.store.vanished or not self.store.alive:
            return
        if name == b"CLUSTER":
            text = self.store.slots_told()
        else:
            text = (
                b"+OK\r\n"
                if name in (b"ASKING", b"AUTH", b"READONLY")
                else b"-ERR unknown command\r\n"
            )
        place.text = text
        self.flush()

    def later(self, text: bytes, job: HostJob, outcome: str) -> None:
        """The answer to a command is known; it goes out when all before it are out."""
        for place in self.places:
            if place.job is job:
                place.text, place.outcome = text, outcome
        self.flush()

    def flush(self) -> None:
        while self.places and self.places[0].text is not None:
            place = self.places.popleft()
            self.put_at = max(
                self.put_at, self.store.loop.now + self.store.one_way_us(self.balancer)
            )
            self.store.loop.call_at(self.put_at, self.put, place.text, place.job, place.outcome)

    def put(self, text: bytes, job: HostJob | None, outcome: str) -> None:
        if (
            not self.conn.is_open
            or self.store.vanished
            or self.store.partitioned_from.get(self.balancer)
        ):
            return
        if job:
            self.jobs.remove(job)
            body = text if outcome == "done" else b""
            self.store.environment.invariant_checker.on_attempt_settled(
                job.attempt, outcome, self.store.loop.now, body
            )
        self.conn.send(text)

    def ended(self, what: str) -> None:
        for job in self.jobs:
            self.store.environment.invariant_checker.on_attempt_dropped(
                job.attempt, self.store.loop.now
            )
        self.store.connections.pop(self, None)  # type: ignore[call-overload]

    def close(self) -> None:
        if self.conn.is_open:
            self.conn.close()
            self.ended("")


class SlotStore(Store):
    """One slot server: it has the keys of its slots, and sends on whoever asks for another's."""

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
        super().__init__(environment, id, address, model, is_origin, zone, speed)
        self.data: dict[bytes, list[bytes]] = {}
        self.by_slot: dict[int, dict[bytes, None]] = {}
        self.view: list[str] | None = None  # where it has not heard of the latest owners

    def put_in(self, key: bytes, value: list[bytes]) -> None:
        self.data[key] = value
        self.by_slot.setdefault(slot_of(key), {})[key] = None

    def accept(self, sock: socket.socket, who: str) -> None:
        if not self.alive:
            return sock.close()
        self.connections[SlotLink(self, sock, who)] = None  # type: ignore[index]

    def sweep(self) -> None:
        """It keeps idle connections."""

    def owners(self) -> list[str]:
        return self.view or self.environment.cluster.owner

    def slots_told(self) -> bytes:
        rows = []
        for first, last, id in self.environment.cluster.ranges(self.owners()):
            host, port = self.environment.servers[id].address
            node = encode_array(
                [
                    encode_bulk(host.encode()),
                    b":%d\r\n" % port,
                    encode_bulk(id.encode()),
                ]
            )
            rows.append(encode_array([b":%d\r\n" % first, b":%d\r\n" % last, node]))
        return encode_array(rows)

    def record_load(self, job: HostJob) -> None:
        """Slot servers are not pushed over here: they are no caches."""

    def begin(self, job: HostJob) -> None:
        """Whether it serves the key is decided as its turn comes; a redirection takes no work."""
        slot = slot_of(job.idempotency_key)
        text, outcome = self.verdict(slot, job)
        if text:
            link: Any = job.connection
            link.later(text, job, outcome)
            return self.loop.call_soon(self.start_waiting)
        job.outcome = "done"
        if job.attempt.client_attempt.operation.request_class.write:
            self.environment.invariant_checker.on_effect(job.attempt, self.loop.now)
            self.put_in(
                job.idempotency_key,
                [*self.data.get(job.idempotency_key, ()), job.attempt.client_attempt.id],
            )
        job.duration_us = max(1, round(job.work_us / self.speed * self.slowdown))
        job.ends_at_us = self.loop.now + job.duration_us
        self.running[job] = None
        job.timer = self.loop.call_at(job.ends_at_us, self.finish, job)

    def verdict(self, slot: int, job: HostJob) -> tuple[bytes, str]:
        """An answer that sends it on, by the specification; empty where it is served here."""
        owner, asking = self.owners()[slot], job.asking
        moving = self.environment.cluster.moving.get(slot)
        if owner == self.id:
            if moving and moving[0] == self.id and job.idempotency_key not in self.data:
                return encode_error(
                    f"ASK {slot} {format_address(self.environment.servers[moving[1]].address)}"
                ), "moved"
            return b"", ""
        if asking and moving and moving[1] == self.id:
            return b"", ""
        return encode_error(
            f"MOVED {slot} {format_address(self.environment.servers[owner].address)}"
        ), "moved"

    def finish(self, job: HostJob) -> None:
        del self.running[job]
        ask = job.attempt.client_attempt
        self.environment.invariant_checker.on_work_done(job.attempt, job.duration_us, self.loop.now)
        if ask.operation.request_class.write:
            text = b":%d\r\n" % len(self.data[job.idempotency_key])
        else:
            body = b"%b/%b/%b" % (job.idempotency_key, ask.id, self.id.encode())
            text = encode_bulk(
                body.ljust(self.environment.value_size_bytes(ask.operation.key), b"v")
            )
        link: Any = job.connection
        link.later(text, job, "done")
        self.start_waiting()

    def answer_later(self, job: HostJob, outcome: str) -> None:
        link: Any = job.connection
        link.later(encode_error("TRYAGAIN busy"), job, "full")


class WrittenCommand(NamedTuple):
    """A command that was written, and not answered yet.

    Attributes:
        message: What was written.
        write_began_us: When that began.
        earlier_requests: Commands that its connection had carried before.
        met_end: The other side's end had been shut when it was written.
    """

    message: tuple[bytes, ...]
    write_began_us: int
    earlier_requests: int
    met_end: bool = False


class RespLink:
    """A client's connection: several commands under way, answered in order."""

    def __init__(self, callers: RespClients, post: str, sock: socket.socket, opening: bool) -> None:
        self.clients, self.post = callers, post
        self.incarnation = callers.environment.incarnation_of(post)
        self.reader = RespReader()
        self.asks: deque[ClientAttempt] = deque()
        self.written: dict[bytes, WrittenCommand] = {}  # those of `asks`, by id
        self.carried_count = 0
        self.number = callers.environment.network.connection_number(sock)
        self.dialled_at_us = callers.loop.now
        self.conn = Connection(callers.loop, sock, self, opening=opening)

    def carry(self, ask: ClientAttempt, message: tuple[bytes, ...]) -> None:
        self.asks.append(ask)
        command = WrittenCommand(message, self.clients.loop.clock(), self.carried_count)
        self.written[ask.id] = command
        self.carried_count += 1
        ask.arrived_at_us = 0
        self.conn.send(*message)
        if self.conn.is_open:
            self.written[ask.id] = command._replace(met_end=self.conn.peer_has_closed())
            now = self.clients.loop.now
            ask.arrived_at_us = now
            if not ask.was_resent:  # its time goes on
                timeout_us = milliseconds_to_us(ask.operation.request_class.client_timeout_ms)
                ask.deadline_us = now + timeout_us
            self.clients.environment.invariant_checker.on_client_attempt(ask)
            self.clients.loop.call_later(
                ask.deadline_us - now + OVERDUE_US, self.clients.late, self, ask
            )

    def opened(self) -> None: ...

    def received(self, view: memoryview) -> None:
        callers = self.clients
        self.reader.feed(view)
        while (text := self.reader.read_item()) is not None:
            if not self.asks:
                return callers.environment.invariant_checker.on_extra_bytes(None, callers.loop.now)
            ask = self.asks.popleft()
            del self.written[ask.id]
            status = 503 if text.startswith(b"-TRYAGAIN") else 500 if text[:1] == b"-" else 200
            callers.environment.invariant_checker.on_answer(ask, status, text, callers.loop.now)
            pause = text.rpartition(b"come back in ")[2].partition(b" ms")[0]
            callers.loop.call_later(
                callers.environment.client_one_way_us(),
                callers.on_outcome,
                ask,
                status,
                int(pause) * 1000 if pause.isdigit() else 0,
            )

    def ended(self, what: str) -> None:
        callers = self.clients
        callers.lanes[self.post] = [link for link in callers.lanes[self.post] if link is not self]
        process_end = callers.environment.process_end(self.post, self.incarnation)
        close_record = callers.environment.close_record(self.post, self.number, self.dialled_at_us)
        asks = list(self.asks)
        self.asks.clear()
        for ask in asks:
            if ask.status or ask.abandoned:
                continue
            command = self.written[ask.id]
            facts = ConnectionEndFacts(
                process_end,
                was_written=ask.arrived_at_us > 0,
                write_began_us=command.write_began_us,
                earlier_requests=command.earlier_requests,
                was_reset=what != CLOSED,
                was_closed_at_write=command.met_end,
                close_record=close_record,
                was_seen_by_host=bool(ask.host_attempts),
            )
            self._on_end(ask, classify_request_end(facts), command.message)

    def _on_end(self, ask: ClientAttempt, end: RequestEnd, message: tuple[bytes, ...]) -> None:
        """Send what crossed the end once more; what else was taken is owed."""
        callers = self.clients
        if end is RequestEnd.RACED_CLOSE and not ask.was_resent:
            callers.resend(ask, message, self.post)
            return
        was_taken = ask.arrived_at_us > 0
        if end is RequestEnd.LOST or (end is RequestEnd.RACED_CLOSE and was_taken):
            callers.environment.invariant_checker.on_connection_lost(ask, callers.loop.now)
        elif ask.was_resent and end is not RequestEnd.PROCESS_KILLED:
            callers.on_refused(ask, self.post)
            return
        else:
            ask.abandoned = True
        callers.on_outcome(ask, 0, 0)


class RespClients(Clients):
    """Clients that speak RESP: the same reqs, tries and tenants."""

    def __init__(self, environment: Environment) -> None:
        super().__init__(environment)
        self.lanes: dict[str, list[RespLink]] = {post: [] for post in environment.balancers}

    def encode(self, ask: ClientAttempt, op: Operation) -> tuple[bytes, ...]:
        number = int(ask.id[1:], 16)
        if op.request_class.write:
            return (encode_command(b"APPEND", b"k%d" % op.key, b"%d;" % number),)
        return (encode_command(b"GETRANGE", b"k%d" % op.key, 0, BASE + number),)

    def send_attempt(
        self, ask: ClientAttempt, message: tuple[bytes, ...], post: str, fresh: bool = False
    ) -> None:
        ask.incarnation = self.environment.incarnation_of(post)
        room = [
            link
            for link in self.lanes[post]
            if not fresh
            and len(link.asks) < DEPTH
            and link.incarnation == ask.incarnation
            and link.conn.is_open
        ]
        if not room:
            came = self.environment.network.dial(self.environment.address_of(post))
            if isinstance(came, AttemptFailure):
                return self.on_refused(ask, post)
            room = [RespLink(self, post, came, not self.environment.network.virtual)]
            self.lanes[post] += room
        room[0].carry(ask, message)

    def late(self, link: RespLink, ask: ClientAttempt) -> None:
        if ask.status or ask.abandoned:
            return
        resumed_us = self.environment.last_pause_end_us(link.post)
        timeout_us = milliseconds_to_us(ask.operation.request_class.client_timeout_ms)
        wait_us = resumed_us + timeout_us + OVERDUE_US - self.loop.now
        if resumed_us > ask.arrived_at_us and wait_us > 0:
            self.loop.call_later(min(wait_us, OVERDUE_US), self.late, link, ask)
        elif self.environment.process_end(link.post, link.incarnation) is not ProcessEnd.KILLED:
            self.environment.invariant_checker.on_no_answer(ask, self.loop.now)


def slot_stores(environment: Environment) -> list[SlotStore]:
    return [
        store
        for store in environment.servers.values()
        if isinstance(store, SlotStore) and store.alive
    ]


def reshuffle(environment: Environment, trouble: Fault) -> None:
    """Slots move from server to server, key by key, `size` of them (8) at a time, until the trouble ends."""
    end, many = (
        environment.loop.now + seconds_to_us(trouble.duration_s),
        round(trouble.magnitude or 8),
    )

    def move() -> None:
        if environment.loop.now >= end:
            return
        ids = [store.id for store in slot_stores(environment) if not store.draining]
        for slot in environment.rng.sample(range(SPACE), many):
            owner = environment.cluster.owner[slot]
            others = [id for id in ids if id != owner]
            if slot not in environment.cluster.moving and others and owner in ids:
                environment.cluster.moving[slot] = owner, environment.rng.choice(others)
                environment.loop.call_later(MOVE_WITHIN, moved, slot)
        environment.loop.call_later(50_000, move)

    def moved(slot: int) -> None:
        source, to = environment.cluster.moving.pop(slot)
        old, new = environment.servers[source], environment.servers[to]
        assert isinstance(old, SlotStore) and isinstance(new, SlotStore)
        environment.cluster.owner[slot] = to
        environment.cluster.moved += 1
        for key in old.by_slot.pop(slot, ()):
            new.put_in(key, old.data.pop(key, []) + new.data.get(key, []))

    move()


def failover(environment: Environment, trouble: Fault) -> None:
    """Another server takes all slots of one, which goes on answering for `for-s` all the same, then ends."""
    stores = slot_stores(environment)
    old = next((store for store in stores if store.id == trouble.target), stores[0])
    new = next(store for store in stores if store is not old)
    old.view = list(environment.cluster.owner)
    environment.cluster.owner = [new.id if id == old.id else id for id in environment.cluster.owner]
    for key, value in old.data.items():
        new.put_in(key, list(value))

    def end() -> None:
        old.stop()
        environment.discovery.remove_later(old.id, environment.plan.discovery.removal_delay_s)

    environment.loop.call_later(seconds_to_us(trouble.duration_s), end)


def pointing(environment: Environment, trouble: Fault) -> None:
    """Two servers say of all slots that they are the other's, until the trouble ends."""
    first, second = slot_stores(environment)[:2]
    first.view, second.view = [second.id] * SPACE, [first.id] * SPACE

    def end() -> None:
        first.view = second.view = None

    environment.loop.call_later(seconds_to_us(trouble.duration_s), end)
