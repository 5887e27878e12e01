"""Joins the network to the decisions: a door to clients, a port to the rules. Nothing is decided here."""

from __future__ import annotations

import socket
from collections.abc import Callable, Iterable, Mapping
from hashlib import blake2b
from typing import Any, Protocol, cast

from orchidgap.decisions.balancer import Balancer
from orchidgap.decisions.lifecycle import Lifecycle, LifecycleEvent, State
from orchidgap.decisions.records import NEVER_EXECUTED
from orchidgap.decisions.shadow import ShadowBalancer
from orchidgap.net.body_stream import Upload
from orchidgap.net.client_listener import ClientListener, Responder
from orchidgap.net.config import BalancerConfig
from orchidgap.net.connection import Address, Fault, dial
from orchidgap.net.connection_pools import ConnectionPools
from orchidgap.net.endpoints import Entry, Place
from orchidgap.net.event_log import EventLog
from orchidgap.net.handover import Handover, MigratingRequest
from orchidgap.net.loop import Loop, Timer
from orchidgap.net.upstream_attempt import Taker, UpstreamAttempt, loads

GUARD = 20_000  # the answer is out this long before the client timeout: a timer can be late
FIRST_LIST = 1_000_000  # for discovery to tell its list before a new process serves
UPLOAD = (
    3_600_000_000  # the time of a req whose body is not whole: it goes by what comes, see the front
)
TICK = 10_000
# of what a new file may bring
AT_NEXT_START = (
    "name",
    "listen",
    "sockets",
    "memory_mb",
    "resp",
    "admin",
    "shadow_settings",
    "control",
    "pool",
)
LONG_KEY = 32
SPARE = 48  # descriptors for all but clients and hosts, and for clients turned away
HELD_KB = (
    128  # reckoned for each client: a req or an answer; few are as large, and few answers larger
)
BASE_MB = 16  # what the program itself needs (11 measured), with room to spare


def number_of(key: bytes) -> int | None:
    """
    >>> number_of(b""), number_of(b"a1"), number_of(b"x" * 33) < 1 << 128
    (None, 24881, True)
    """
    if (
        len(key) > LONG_KEY
    ):  # the decisions write the number out, which Python refuses for very long ones
        key = blake2b(key, digest_size=16).digest()
    return int.from_bytes(key) if key else None


class Exchange:
    """One req on the network, from its last byte to its answer and the last of its dispatches."""

    __slots__ = (
        "attempts",
        "body",
        "client",
        "due",
        "flow",
        "giving",
        "head",
        "id",
        "last_word",
        "left",
        "name",
        "node",
        "over",
        "timer",
    )

    def __init__(
        self,
        node: Node,
        id: int,
        name: bytes,
        client: Responder,
        head: bytes,
        body: bytes,
        left: int,
        flow: Upload | None,
        timed: bool = True,
    ) -> None:
        self.node, self.id, self.client, self.head, self.body, self.left = (
            node,
            id,
            client,
            head,
            body,
            left,
        )
        self.name = name  # its id with the client
        node.names.add(name)
        self.over = False
        self.giving: UpstreamAttempt | None = None  # whose answer flows to the client
        self.attempts: list[UpstreamAttempt] = []
        self.flow = flow  # its body, while that comes
        self.timer: Timer | None = None
        self.last_word = (
            0  # its answer, should its dispatch fail, where the decisions do not know it
        )
        if not flow and timed:
            # the client counts from its send, which a loop that was held up learns late
            self.due = client.came + left - min(GUARD, left // 4)
            self.timer = node.loop.call_at(self.due, self.overdue)
            return
        self.due = node.loop.now + UPLOAD
        if flow:
            flow.on_gone = self.body_gone

    def body_came(self) -> None:
        """The last byte of a body that flows is there: from here on its time runs."""
        self.due = self.client.came + self.left - min(GUARD, self.left // 4)
        if not self.over:
            self.timer = self.node.loop.call_at(self.due, self.overdue)
            for attempt in self.attempts:
                attempt.deadline_us = self.due
            self.node.decide(
                self.node.balancer.on_body_complete,
                self.id,
                max(0, self.due - self.node.loop.now),
                exchange=self,
            )

    def body_gone(self) -> None:
        """It cannot be sent another time."""
        self.node.decide(self.node.balancer.on_body_discarded, self.id, exchange=self)

    def answer(
        self, status: int, body: bytes = b"", pause: int = 0, length: int | None = None
    ) -> None:
        if not self.over:
            self.close()
            self.client.answer(status, body, pause, length)

    def close(self) -> None:
        """It has its answer, or nobody waits for one. Its time runs on for what is still out, which may not
        be called off everywhere and would be waited for without end."""
        self.over = True
        for attempt in self.attempts:
            # what will not come whole never runs, so this calls nothing off; its host would wait for ever
            if attempt.flow and not (
                attempt.flow.whole or attempt.settled or attempt is self.giving
            ):
                self.node.loop.call_soon(attempt.settle, attempt.stop("cancelled").verdict)
        if not self.giving:
            self.node.names.discard(self.name)
            self.node.tidy(self)

    def begin(self, number: int) -> Taker | None:
        """The answer of this dispatch is the final one, and its body follows."""
        if self.over:
            return None
        self.giving = self.attempts[number]
        self.close()
        self.node.decide(self.node.balancer.on_outcome, self.id, number, "done", True)
        return cast(Taker, self.client)  # only pools whose door takes flows ask

    def given(self, whole: bool) -> None:
        """What there is of that body has been passed on."""
        attempt, self.giving = self.giving, None
        self.node.names.discard(self.name)
        cast(Taker, self.client).end(whole)
        if not whole and attempt:
            self.node.decide(self.node.balancer.on_response_truncated, attempt.host)

    def hangup(self) -> None:
        if self.giving:
            attempt, self.giving = self.giving, None
            self.node.names.discard(self.name)
            self.node.loop.call_soon(attempt.settle, attempt.stop("cancelled").verdict)
        if not self.over:
            self.close()
            self.node.decide(self.node.balancer.on_client_gone, self.id)
            for attempt in self.attempts if self.last_word else ():  # the decisions do not know it
                self.node.loop.call_soon(attempt.settle, attempt.stop("cancelled").verdict)

    def overdue(self) -> None:
        """Its time is up: what is out has timed out, and the answer goes out now whatever comes of that."""
        for attempt in self.attempts:
            if not attempt.settled and attempt is not self.giving:
                attempt.settle(attempt.stop("overdue").verdict)
        if not self.over:
            self.node.note("unanswered", req=self.id)
            self.node.decide(self.node.balancer.on_client_gone, self.id)
            self.answer(500)

    def wants(self, number: int) -> bool:
        if self.over or self.node.loop.now >= min(
            self.due, self.node.balancer.latest_start_us(self.id, number)
        ):
            return False
        return not self.client.gone()

    def came_back(self, number: int, verdict: str, body: bytes) -> None:
        """Of a dispatch, by its number."""
        if verdict == "moved":
            to = self.attempts[number].to
            self.node.decide(self.node.balancer.on_redirected, self.id, number, to, exchange=self)
            return self.node.tidy(self)
        if self.giving is self.attempts[number]:
            self.given(verdict == "done")
            return self.node.tidy(self)
        attempt = self.attempts[number]
        if verdict in ("done", "unfit"):
            self.answer(200 if verdict == "done" else 400, body, length=attempt.length)
        self.node.decide(
            self.node.balancer.on_outcome, self.id, number, verdict, self.over, exchange=self
        )
        if attempt.load:
            self.node.reported(attempt)
        if self.last_word and not self.over:
            self.answer(503 if verdict in NEVER_EXECUTED else self.last_word)
        self.node.tidy(self)

    # --- between two processes of this balancer

    def let_go(self) -> None:
        """It goes on elsewhere."""
        self.over, self.giving = True, None
        if self.timer:
            self.timer.cancel()
        self.node.names.discard(self.name)
        self.node.reqs.pop(self.id, None)

    def go_on(self, attempt: UpstreamAttempt, giving: bool) -> None:
        """It comes from elsewhere, with its dispatch, whose answer flows already or is awaited."""
        self.attempts, self.over = [attempt], giving
        self.giving = attempt if giving else None
        self.node.reqs[self.id] = self


class Listing(Protocol):
    """Who tells of the hosts."""

    def ask(self) -> None:
        """Fetch the list, unless that is under way."""

    def move(self, address: Address) -> None: ...


Dial = Callable[[Address], socket.socket | Fault]


class ProtocolParts(Protocol):
    """One protocol, as far as the node needs it: its door, its pools, and who tells of hosts."""

    def clients(self, node: Node, most: int) -> ClientListener: ...

    def hosts(self, node: Node, most: int, dial: Dial) -> ConnectionPools[Any]: ...

    def listing(self, node: Node, dial: Dial) -> Listing: ...

    def under_way(self, node: Node) -> Iterable[MigratingRequest]:
        """Reqs that can go on in another process of this balancer."""

    def arrives(self, node: Node, words: list[Any], raw: bytes, socks: list[socket.socket]) -> None:
        """One that came from another; what makes no sense raises ValueError, or the like."""


class Node:
    """The `ports.Port` of the decisions and the `clients.Door` of the clients."""

    settings: Mapping[str, Any] | None = None  # that count in place of the file's

    def __init__(
        self,
        loop: Loop,
        station: BalancerConfig,
        log: EventLog,
        parts: ProtocolParts,
        dial: Dial = dial,
        decider: Callable[..., Any] = Balancer,
    ) -> None:
        self.loop, self.note = loop, log
        self.config, self.parts = station, parts
        self.reqs: dict[int, Exchange] = {}
        self.names: set[bytes] = set()  # of reqs that are owed an answer
        self.count = 0
        self.life = Lifecycle(loop.now, station.settings.longest_client_timeout_us)
        self.descriptors = station.sockets  # that this process may hold
        self.handover = Handover(loop, self)
        self.fleet: dict[str, tuple[Entry, Place]] = {}  # the list as it was told
        self.listed = False  # by discovery, or it did not answer in time
        self.clients = parts.clients(self, 8)
        self.hosts = parts.hosts(self, 8, dial)
        self.allot(station.sockets)
        self.hold = (
            station.settings.latency_objective_us // 4
        )  # how long an answer of unknown length may be held
        self.balancer: Balancer = decider(
            station.settings, self, station.seed, loop.now
        )  # or what has its face
        self.registry = parts.listing(self, dial)

    def start(self) -> None:
        _, _, entries, found = self.config.known_endpoints
        self.keep(True, entries, found)
        self.decide(self.balancer.on_hosts, "recalled", entries)
        self.able()
        # what it was started with may be old, and what discovery has counts as told from the first moment
        self.loop.call_later(FIRST_LIST, self.heard_enough)
        self.registry.ask()

    # --- what it may hold

    def allot(self, descriptors: int) -> None:
        """So many for all that this process holds; whoever has come already is not thrown out for it."""
        station, self.descriptors = self.config, descriptors
        room = max(16, descriptors - SPARE)
        memory_mb = station.memory_mb * descriptors // station.sockets
        most = min(room // 2, (memory_mb - BASE_MB) * 1024 // HELD_KB)
        self.clients.most = max(8, most, min(len(self.clients.open) + 8, room - self.hosts.count))
        self.hosts.most = max(8, room - self.clients.most)

    def holding(self) -> int:
        """Descriptors that this process holds, or needs at once."""
        return len(self.clients.open) + self.hosts.count + SPARE

    @property
    def has_estate(self) -> bool:
        """Whether what decides here has something to leave, or can take it."""
        return isinstance(self.balancer, Balancer)

    # --- what the network tells

    def ready(self) -> bool:
        return self.life.rules.is_ready

    def knows(self, rule_set: str) -> bool:
        return rule_set in self.config.settings.request_classes

    def holds(self, id: bytes) -> bool:
        return id in self.names or self.handover.on and self.handover.holds(id)

    def shed(self) -> bool:
        return self.hosts.shed()

    def number(self) -> int:
        """Of the next req."""
        self.count += 1
        return self.count

    def last_word(self, id: int) -> int:
        """The answer to a req whose one dispatch may have run and failed: whether a retry is harmless."""
        req = self.balancer.requests.get(id)
        rule_set = req.request_class if req else None
        harmless = rule_set and (
            rule_set.idempotent
            or rule_set.idempotency_keyed
            and rule_set.deduplication_scope == "all"
        )
        return 503 if harmless else 500

    def take(
        self,
        caller: Responder,
        id: bytes,
        rule_set: str,
        left: int,
        write: bool,
        key: bytes,
        tenant: str,
        head: bytes,
        body: bytes,
        slot: int = -1,
        flow: Upload | None = None,
    ) -> None:
        self.count += 1
        exchange = caller.asked = self.reqs[self.count] = Exchange(
            self, self.count, id, caller, head, body, left, flow
        )
        more = () if slot < 0 and not flow else (slot, True) if flow else (slot,)
        self.decide(
            self.balancer.on_request,
            self.count,
            max(0, exchange.due - self.loop.now),
            write,
            rule_set,
            number_of(key),
            tenant,
            *more,
            exchange=exchange,
        )

    def on_list(self, whole: bool, entries: list[Entry], found: list[Place]) -> None:
        self.keep(whole, entries, found)
        self.decide(self.balancer.on_hosts, "whole" if whole else "changes", entries)
        self.heard_enough()

    def heard_enough(self) -> None:
        """Discovery has told its list, or is silent: then what it was started with has to do."""
        self.listed = True
        self.able()

    def keep(self, whole: bool, entries: list[Entry], found: list[Place]) -> None:
        self.hosts.follow(whole, found)
        if whole:
            self.fleet.clear()
        for entry, place in zip(entries, found):
            self.fleet[entry[0]] = entry, place
            if entry[1] == "gone":
                del self.fleet[entry[0]]

    def able(self) -> None:
        """It can serve once it has a list, and what another process of this balancer knows."""
        if self.fleet and self.listed and not self.handover.waiting:
            self.pass_on(LifecycleEvent.READY)

    def reported(self, attempt: UpstreamAttempt) -> None:
        """A host told of its load with an answer."""
        fields = loads(attempt.load)
        self.decide(
            self.balancer.on_load_report, attempt.host, fields.get("tps"), fields.get("concurrent")
        )

    def decide(
        self, call: Callable[..., None], *args: Any, exchange: Exchange | None = None
    ) -> None:
        """One call of the decisions. Where it fails, the req it was about is still answered."""
        self.balancer.now = self.loop.now
        try:
            call(*args)
        except Exception as trouble:
            self.note.trouble(trouble)
            if exchange:
                exchange.answer(500)

    def tidy(self, exchange: Exchange) -> None:
        if exchange.over and all(attempt.settled for attempt in exchange.attempts):
            self.reqs.pop(exchange.id, None)
            if exchange.timer:
                exchange.timer.cancel()

    # --- what the decisions ask for

    def dispatch(self, req: int, host: str) -> None:
        exchange = self.reqs[req]
        # of a body that flows its last byte is still to come; no host is to wait for longer than the client
        due = min(exchange.due, self.loop.now + exchange.left)
        attempt = UpstreamAttempt(
            exchange.head, exchange.body, due, exchange, len(exchange.attempts), host
        )
        attempt.flow, attempt.hold = exchange.flow, self.hold
        last = exchange.attempts[-1] if exchange.attempts else None
        attempt.asking = last is not None and last.ask and last.to == host
        exchange.attempts.append(attempt)
        if exchange.over or self.loop.now >= exchange.due:
            return self.loop.call_soon(attempt.settle, "moot")
        self.hosts.send(host, attempt)

    def deny(self, req: int, pause: int) -> None:
        if req in self.reqs:
            self.reqs[req].answer(503, pause=pause)

    def abort(self, req: int) -> None:
        if req in self.reqs:
            self.reqs[req].answer(500)

    def cancel(self, req: int, number: int) -> None:
        if req in self.reqs:
            attempt = self.reqs[req].attempts[number]
            self.loop.call_soon(attempt.settle, attempt.stop("cancelled").verdict)

    def wake(self, delay: int, token: int) -> None:
        self.loop.call_later(delay, self.woke, token)

    def woke(self, token: int) -> None:
        self.decide(self.balancer.on_wake, token)

    def subscribe(self) -> None:
        self.registry.ask()

    def log(self, line: str) -> None:
        self.note("mode", what=line)

    # --- what operators ask for

    def health(self) -> tuple[bool, str]:
        """Whether it serves, and one plain word on it; so do the other acts."""
        return self.ready(), self.life.state.value

    def quiesce(self) -> tuple[bool, str]:
        """Have all clients go elsewhere, none of them unanswered."""
        self.pass_on(LifecycleEvent.DRAIN)
        return True, self.life.state.value

    def watch(self) -> tuple[bool, str]:
        """What the terms that are watched would have decided otherwise, by kind."""
        if not isinstance(self.balancer, ShadowBalancer):
            return False, "nothing is watched"
        return True, self.balancer.summary()

    def resume(self) -> tuple[bool, str]:
        """End a drain."""
        may = self.life.rules.can_resume
        self.pass_on(LifecycleEvent.RESUME)
        return may, self.life.state.value

    def adopt(self, station: BalancerConfig) -> None:
        """New terms count for reqs from now on; what cannot change while it runs waits for the next start."""
        old = self.config
        later = [name for name in AT_NEXT_START if getattr(station, name) != getattr(old, name)]
        terms = station.settings.keeping_startup_settings(old.settings)
        later += [
            name
            for name in terms._fields
            if getattr(terms, name) != getattr(station.settings, name)
        ]
        self.config = station._replace(
            settings=terms, **{name: getattr(old, name) for name in AT_NEXT_START}
        )
        self.hold = terms.latency_objective_us // 4
        self.life.set_longest_client_timeout(terms.longest_client_timeout_us)
        if terms != old.settings:
            self.decide(self.balancer.on_settings, terms)
        self.hosts.bound(station.connect_timeout_us, station.idle_timeout_us)
        self.note(
            "terms read",
            discovery=station.discovery,
            rule_sets=list(terms.request_classes),
            dispatches=terms.max_attempts,
            **({"at_next_start": later} if later else {}),
        )
        self.registry.move(station.discovery)

    def leave(self) -> None:
        self.pass_on(LifecycleEvent.SHUT_DOWN)

    # --- its life

    def pass_on(self, event: LifecycleEvent) -> None:
        """To the next state, where the event leads to one."""
        took = self.loop.now - self.life.since_us
        if self.life.handle(event, self.loop.now):
            if self.life.state is State.SERVING:
                self.handover.serves()  # before it is said: who reads of it may tell the older process to end
            self.note(
                self.life.state.value,
                reqs=len(self.reqs),
                clients=len(self.clients.open),
                after_ms=took // 1000,
            )
            if self.life.rules.closes_after_answer:
                self.attend(self.life.transition_count)

    def attend(self, change: int) -> None:
        """While clients are let go: see who is left, until the state is another one."""
        life, now = self.life, self.loop.now
        if life.transition_count != change:
            return
        if not life.accepts_connections(now):
            self.clients.shut()
        if life.closes_idle(now):
            self.clients.release()
            if not self.clients.open and not self.reqs:
                self.pass_on(LifecycleEvent.EMPTY)
        if life.must_answer_all(now):
            for exchange in [exchange for exchange in self.reqs.values() if not exchange.over]:
                exchange.overdue()
        # a client is open while a req of it is, or an answer that it has to read
        if life.is_finished(
            now, len(self.clients.open), any(exchange.giving for exchange in self.reqs.values())
        ):
            return self.end()
        self.loop.call_later(TICK, self.attend, change)

    def end(self) -> None:
        self.note(
            "stopped",
            reqs=sum(not exchange.over for exchange in self.reqs.values()),
            longest_turn_ms=self.loop.longest // 1000,
        )
        if isinstance(self.balancer, ShadowBalancer):
            self.note("watched", what=self.balancer.summary())
        self.handover.close()
        self.loop.running = False
