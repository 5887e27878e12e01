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
from orchidgap.net.connection import Address, AttemptFailure, dial
from orchidgap.net.connection_pools import ConnectionPools
from orchidgap.net.endpoints import Endpoint, EndpointEntry
from orchidgap.net.event_log import EventLog
from orchidgap.net.handover import Handover, MigratingRequest
from orchidgap.net.loop import Loop, Timer
from orchidgap.net.upstream_attempt import ResponseSink, UpstreamAttempt, parse_load_report

GUARD = 20_000  # the answer is out this long before the client timeout: a timer can be late
FIRST_LIST = 1_000_000  # for discovery to tell its list before a new process serves
UPLOAD = (
    3_600_000_000  # the time of a req whose body is not whole: it goes by what comes, see the front
)
TICK = 10_000
# of what a new file may bring
AT_NEXT_START = {
    "name": "name",
    "listen": "listen",
    "descriptors": "sockets",
    "memory_mb": "memory_mb",
    "resp": "resp",
    "admin": "admin",
    "shadow_settings": "watched",
    "control": "control",
    "gossip": "pool",
}
LONG_KEY = 32
SPARE = 48  # descriptors for all but clients and hosts, and for clients turned away
HELD_KB = (
    128  # reckoned for each client: a req or an answer; few are as large, and few answers larger
)
BASE_MB = 16  # what the program itself needs (11 measured), with room to spare


def key_number(key: bytes) -> int | None:
    """
    >>> key_number(b""), key_number(b"a1"), key_number(b"x" * 33) < 1 << 128
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
        "closed",
        "deadline_timer",
        "deadline_us",
        "fallback_status",
        "head",
        "node",
        "number",
        "request_id",
        "streaming_attempt",
        "time_remaining_us",
        "upload",
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
        self.node, self.number, self.client, self.head, self.body, self.time_remaining_us = (
            node,
            id,
            client,
            head,
            body,
            left,
        )
        self.request_id = name  # its id with the client
        node.open_request_ids.add(name)
        self.closed = False
        self.streaming_attempt: UpstreamAttempt | None = None  # whose answer flows to the client
        self.attempts: list[UpstreamAttempt] = []
        self.upload = flow  # its body, while that comes
        self.deadline_timer: Timer | None = None
        self.fallback_status = (
            0  # its answer, should its dispatch fail, where the decisions do not know it
        )
        if not flow and timed:
            # the client counts from its send, which a loop that was held up learns late
            self.deadline_us = client.received_at_us + left - min(GUARD, left // 4)
            self.deadline_timer = node.loop.call_at(self.deadline_us, self.on_deadline)
            return
        self.deadline_us = node.loop.now + UPLOAD
        if flow:
            flow.on_discarded = self.on_body_discarded

    def on_body_complete(self) -> None:
        """The last byte of a body that flows is there: from here on its time runs."""
        self.deadline_us = (
            self.client.received_at_us
            + self.time_remaining_us
            - min(GUARD, self.time_remaining_us // 4)
        )
        if not self.closed:
            self.deadline_timer = self.node.loop.call_at(self.deadline_us, self.on_deadline)
            for attempt in self.attempts:
                attempt.deadline_us = self.deadline_us
            self.node.call_decisions(
                self.node.balancer.on_body_complete,
                self.number,
                max(0, self.deadline_us - self.node.loop.now),
                exchange=self,
            )

    def on_body_discarded(self) -> None:
        """It cannot be sent another time."""
        self.node.call_decisions(self.node.balancer.on_body_discarded, self.number, exchange=self)

    def answer(
        self, status: int, body: bytes = b"", pause: int = 0, length: int | None = None
    ) -> None:
        if not self.closed:
            self.close()
            self.client.answer(status, body, pause, length)

    def close(self) -> None:
        """It has its answer, or nobody waits for one. Its time runs on for what is still out, which may not
        be called off everywhere and would be waited for without end."""
        self.closed = True
        for attempt in self.attempts:
            # what will not come whole never runs, so this calls nothing off; its host would wait for ever
            if attempt.upload and not (
                attempt.upload.complete or attempt.settled or attempt is self.streaming_attempt
            ):
                self.node.loop.call_soon(attempt.settle, attempt.abandon("cancelled").outcome)
        if not self.streaming_attempt:
            self.node.open_request_ids.discard(self.request_id)
            self.node.release_if_done(self)

    def start_streaming(self, number: int) -> ResponseSink | None:
        """The answer of this dispatch is the final one, and its body follows."""
        if self.closed:
            return None
        self.streaming_attempt = self.attempts[number]
        self.close()
        self.node.call_decisions(self.node.balancer.on_outcome, self.number, number, "done", True)
        return cast(ResponseSink, self.client)  # only pools whose door takes flows ask

    def finish_streaming(self, whole: bool) -> None:
        """What there is of that body has been passed on."""
        attempt, self.streaming_attempt = self.streaming_attempt, None
        self.node.open_request_ids.discard(self.request_id)
        cast(ResponseSink, self.client).end(whole)
        if not whole and attempt:
            self.node.call_decisions(self.node.balancer.on_response_truncated, attempt.host)

    def on_client_gone(self) -> None:
        if self.streaming_attempt:
            attempt, self.streaming_attempt = self.streaming_attempt, None
            self.node.open_request_ids.discard(self.request_id)
            self.node.loop.call_soon(attempt.settle, attempt.abandon("cancelled").outcome)
        if not self.closed:
            self.close()
            self.node.call_decisions(self.node.balancer.on_client_gone, self.number)
            for attempt in (
                self.attempts if self.fallback_status else ()
            ):  # the decisions do not know it
                self.node.loop.call_soon(attempt.settle, attempt.abandon("cancelled").outcome)

    def on_deadline(self) -> None:
        """Its time is up: what is out has timed out, and the answer goes out now whatever comes of that."""
        for attempt in self.attempts:
            if not attempt.settled and attempt is not self.streaming_attempt:
                attempt.settle(attempt.abandon("overdue").outcome)
        if not self.closed:
            self.node.event_log("unanswered", req=self.number)
            self.node.call_decisions(self.node.balancer.on_client_gone, self.number)
            self.answer(500)

    def may_send(self, number: int) -> bool:
        if self.closed or self.node.loop.now >= min(
            self.deadline_us, self.node.balancer.latest_start_us(self.number, number)
        ):
            return False
        return not self.client.has_disconnected()

    def on_settled(self, number: int, verdict: str, body: bytes) -> None:
        """Of a dispatch, by its number."""
        if verdict == "moved":
            to = self.attempts[number].redirect_host
            self.node.call_decisions(
                self.node.balancer.on_redirected, self.number, number, to, exchange=self
            )
            return self.node.release_if_done(self)
        if self.streaming_attempt is self.attempts[number]:
            self.finish_streaming(verdict == "done")
            return self.node.release_if_done(self)
        attempt = self.attempts[number]
        if verdict in ("done", "unfit"):
            self.answer(200 if verdict == "done" else 400, body, length=attempt.length)
        self.node.call_decisions(
            self.node.balancer.on_outcome, self.number, number, verdict, self.closed, exchange=self
        )
        if attempt.load_report:
            self.node.on_load_report(attempt)
        if self.fallback_status and not self.closed:
            self.answer(503 if verdict in NEVER_EXECUTED else self.fallback_status)
        self.node.release_if_done(self)

    # --- between two processes of this balancer

    def detach(self) -> None:
        """It goes on elsewhere."""
        self.closed, self.streaming_attempt = True, None
        if self.deadline_timer:
            self.deadline_timer.cancel()
        self.node.open_request_ids.discard(self.request_id)
        self.node.exchanges.pop(self.number, None)

    def attach(self, attempt: UpstreamAttempt, giving: bool) -> None:
        """It comes from elsewhere, with its dispatch, whose answer flows already or is awaited."""
        self.attempts, self.closed = [attempt], giving
        self.streaming_attempt = attempt if giving else None
        self.node.exchanges[self.number] = self


class HostDiscovery(Protocol):
    """Who tells of the hosts."""

    def fetch(self) -> None:
        """Fetch the list, unless that is under way."""

    def move(self, address: Address) -> None: ...


Dial = Callable[[Address], socket.socket | AttemptFailure]


class ProtocolParts(Protocol):
    """One protocol, as far as the node needs it: its door, its pools, and who tells of hosts."""

    def make_listener(self, node: Node, most: int) -> ClientListener: ...

    def make_pools(self, node: Node, most: int, dial: Dial) -> ConnectionPools[Any]: ...

    def make_discovery(self, node: Node, dial: Dial) -> HostDiscovery: ...

    def migrating_requests(self, node: Node) -> Iterable[MigratingRequest]:
        """Reqs that can go on in another process of this balancer."""

    def accept_migrated(
        self, node: Node, words: list[Any], raw: bytes, socks: list[socket.socket]
    ) -> None:
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
        self.loop, self.event_log = loop, log
        self.config, self.protocol = station, parts
        self.exchanges: dict[int, Exchange] = {}
        self.open_request_ids: set[bytes] = set()  # of reqs that are owed an answer
        self.last_request_number = 0
        self.lifecycle = Lifecycle(loop.now, station.settings.longest_client_timeout_us)
        self.descriptor_limit = station.descriptors  # that this process may hold
        self.handover = Handover(loop, self)
        self.endpoints: dict[str, tuple[EndpointEntry, Endpoint]] = {}  # the list as it was told
        self.list_received = False  # by discovery, or it did not answer in time
        self.clients = parts.make_listener(self, 8)
        self.pools = parts.make_pools(self, 8, dial)
        self.set_descriptor_limit(station.descriptors)
        self.response_hold_us = (
            station.settings.latency_objective_us // 4
        )  # how long an answer of unknown length may be held
        self.balancer: Balancer = decider(
            station.settings, self, station.seed, loop.now
        )  # or what has its face
        self.discovery = parts.make_discovery(self, dial)

    def start(self) -> None:
        _, _, entries, found = self.config.initial_endpoints
        self.apply_endpoints(True, entries, found)
        self.call_decisions(self.balancer.on_hosts, "recalled", entries)
        self.check_ready()
        # what it was started with may be old, and what discovery has counts as told from the first moment
        self.loop.call_later(FIRST_LIST, self.end_list_wait)
        self.discovery.fetch()

    # --- what it may hold

    def set_descriptor_limit(self, descriptors: int) -> None:
        """So many for all that this process holds; whoever has come already is not thrown out for it."""
        station, self.descriptor_limit = self.config, descriptors
        room = max(16, descriptors - SPARE)
        memory_mb = station.memory_mb * descriptors // station.descriptors
        most = min(room // 2, (memory_mb - BASE_MB) * 1024 // HELD_KB)
        self.clients.max_clients = max(
            8, most, min(len(self.clients.open_clients) + 8, room - self.pools.connection_count)
        )
        self.pools.max_connections = max(8, room - self.clients.max_clients)

    def descriptors_needed(self) -> int:
        """Descriptors that this process holds, or needs at once."""
        return len(self.clients.open_clients) + self.pools.connection_count + SPARE

    @property
    def has_warm_state(self) -> bool:
        """Whether what decides here has something to leave, or can take it."""
        return isinstance(self.balancer, Balancer)

    # --- what the network tells

    def is_ready(self) -> bool:
        return self.lifecycle.rules.is_ready

    def knows_request_class(self, rule_set: str) -> bool:
        return rule_set in self.config.settings.request_classes

    def is_request_open(self, id: bytes) -> bool:
        return (
            id in self.open_request_ids
            or self.handover.active
            and self.handover.is_request_open(id)
        )

    def close_idle_connection(self) -> bool:
        return self.pools.close_idle()

    def next_request_number(self) -> int:
        """Of the next req."""
        self.last_request_number += 1
        return self.last_request_number

    def fallback_status(self, id: int) -> int:
        """The answer to a req whose one dispatch may have run and failed: whether a retry is harmless."""
        req = self.balancer.requests.get(id)
        rule_set = req.request_class if req else None
        harmless = rule_set and (
            rule_set.idempotent
            or rule_set.idempotency_keyed
            and rule_set.deduplication_scope == "all"
        )
        return 503 if harmless else 500

    def handle_request(
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
        self.last_request_number += 1
        exchange = caller.pending_request = self.exchanges[self.last_request_number] = Exchange(
            self, self.last_request_number, id, caller, head, body, left, flow
        )
        more = () if slot < 0 and not flow else (slot, True) if flow else (slot,)
        self.call_decisions(
            self.balancer.on_request,
            self.last_request_number,
            max(0, exchange.deadline_us - self.loop.now),
            write,
            rule_set,
            key_number(key),
            tenant,
            *more,
            exchange=exchange,
        )

    def on_list(self, whole: bool, entries: list[EndpointEntry], found: list[Endpoint]) -> None:
        self.apply_endpoints(whole, entries, found)
        self.call_decisions(self.balancer.on_hosts, "whole" if whole else "changes", entries)
        self.end_list_wait()

    def end_list_wait(self) -> None:
        """Discovery has told its list, or is silent: then what it was started with has to do."""
        self.list_received = True
        self.check_ready()

    def apply_endpoints(
        self, whole: bool, entries: list[EndpointEntry], found: list[Endpoint]
    ) -> None:
        self.pools.apply_endpoints(whole, found)
        if whole:
            self.endpoints.clear()
        for entry, place in zip(entries, found):
            self.endpoints[entry[0]] = entry, place
            if entry[1] == "gone":
                del self.endpoints[entry[0]]

    def check_ready(self) -> None:
        """It can serve once it has a list, and what another process of this balancer knows."""
        if self.endpoints and self.list_received and not self.handover.awaiting_snapshot:
            self.transition(LifecycleEvent.READY)

    def on_load_report(self, attempt: UpstreamAttempt) -> None:
        """A host told of its load with an answer."""
        fields = parse_load_report(attempt.load_report)
        self.call_decisions(
            self.balancer.on_load_report, attempt.host, fields.get("tps"), fields.get("concurrent")
        )

    def call_decisions(
        self, call: Callable[..., None], *args: Any, exchange: Exchange | None = None
    ) -> None:
        """One call of the decisions. Where it fails, the req it was about is still answered."""
        self.balancer.now = self.loop.now
        try:
            call(*args)
        except Exception as trouble:
            self.event_log.exception(trouble)
            if exchange:
                exchange.answer(500)

    def release_if_done(self, exchange: Exchange) -> None:
        if exchange.closed and all(attempt.settled for attempt in exchange.attempts):
            self.exchanges.pop(exchange.number, None)
            if exchange.deadline_timer:
                exchange.deadline_timer.cancel()

    # --- what the decisions ask for

    def dispatch(self, req: int, host: str) -> None:
        exchange = self.exchanges[req]
        # of a body that flows its last byte is still to come; no host is to wait for longer than the client
        due = min(exchange.deadline_us, self.loop.now + exchange.time_remaining_us)
        attempt = UpstreamAttempt(
            exchange.head, exchange.body, due, exchange, len(exchange.attempts), host
        )
        attempt.upload, attempt.response_hold_us = exchange.upload, self.response_hold_us
        last = exchange.attempts[-1] if exchange.attempts else None
        attempt.asking = last is not None and last.redirect_once and last.redirect_host == host
        exchange.attempts.append(attempt)
        if exchange.closed or self.loop.now >= exchange.deadline_us:
            return self.loop.call_soon(attempt.settle, "moot")
        self.pools.send(host, attempt)

    def deny(self, req: int, pause: int) -> None:
        if req in self.exchanges:
            self.exchanges[req].answer(503, pause=pause)

    def abort(self, req: int) -> None:
        if req in self.exchanges:
            self.exchanges[req].answer(500)

    def cancel(self, req: int, number: int) -> None:
        if req in self.exchanges:
            attempt = self.exchanges[req].attempts[number]
            self.loop.call_soon(attempt.settle, attempt.abandon("cancelled").outcome)

    def wake(self, delay: int, token: int) -> None:
        self.loop.call_later(delay, self.on_timer, token)

    def on_timer(self, token: int) -> None:
        self.call_decisions(self.balancer.on_wake, token)

    def subscribe(self) -> None:
        self.discovery.fetch()

    def log(self, line: str) -> None:
        self.event_log("mode", what=line)

    # --- what operators ask for

    def health(self) -> tuple[bool, str]:
        """Whether it serves, and one plain word on it; so do the other acts."""
        return self.is_ready(), self.lifecycle.state.value

    def quiesce(self) -> tuple[bool, str]:
        """Have all clients go elsewhere, none of them unanswered."""
        self.transition(LifecycleEvent.DRAIN)
        return True, self.lifecycle.state.value

    def shadow_report(self) -> tuple[bool, str]:
        """What the terms that are watched would have decided otherwise, by kind."""
        if not isinstance(self.balancer, ShadowBalancer):
            return False, "nothing is watched"
        return True, self.balancer.summary()

    def resume(self) -> tuple[bool, str]:
        """End a drain."""
        may = self.lifecycle.rules.can_resume
        self.transition(LifecycleEvent.RESUME)
        return may, self.lifecycle.state.value

    def apply_config(self, station: BalancerConfig) -> None:
        """New terms count for reqs from now on; what cannot change while it runs waits for the next start."""
        old = self.config
        later = [
            word
            for name, word in AT_NEXT_START.items()
            if getattr(station, name) != getattr(old, name)
        ]
        terms = station.settings.keeping_startup_settings(old.settings)
        later += [
            name
            for name in terms._fields
            if getattr(terms, name) != getattr(station.settings, name)
        ]
        self.config = station._replace(
            settings=terms, **{name: getattr(old, name) for name in AT_NEXT_START}
        )
        self.response_hold_us = terms.latency_objective_us // 4
        self.lifecycle.set_longest_client_timeout(terms.longest_client_timeout_us)
        if terms != old.settings:
            self.call_decisions(self.balancer.on_settings, terms)
        self.pools.set_timeouts(station.connect_timeout_us, station.idle_timeout_us)
        self.event_log(
            "terms read",
            discovery=station.discovery,
            rule_sets=list(terms.request_classes),
            dispatches=terms.max_attempts,
            **({"at_next_start": later} if later else {}),
        )
        self.discovery.move(station.discovery)

    def begin_shutdown(self) -> None:
        self.transition(LifecycleEvent.SHUT_DOWN)

    # --- its life

    def transition(self, event: LifecycleEvent) -> None:
        """To the next state, where the event leads to one."""
        took = self.loop.now - self.lifecycle.since_us
        if self.lifecycle.handle(event, self.loop.now):
            if self.lifecycle.state is State.SERVING:
                self.handover.announce_serving()  # before it is said: who reads of it may tell the older process to end
            self.event_log(
                self.lifecycle.state.value,
                reqs=len(self.exchanges),
                clients=len(self.clients.open_clients),
                after_ms=took // 1000,
            )
            if self.lifecycle.rules.closes_after_answer:
                self.drain_step(self.lifecycle.transition_count)

    def drain_step(self, change: int) -> None:
        """While clients are let go: see who is left, until the state is another one."""
        life, now = self.lifecycle, self.loop.now
        if life.transition_count != change:
            return
        if not life.accepts_connections(now):
            self.clients.close_listener()
        if life.closes_idle(now):
            self.clients.release_idle()
            if not self.clients.open_clients and not self.exchanges:
                self.transition(LifecycleEvent.EMPTY)
        if life.must_answer_all(now):
            for exchange in [
                exchange for exchange in self.exchanges.values() if not exchange.closed
            ]:
                exchange.on_deadline()
        # a client is open while a req of it is, or an answer that it has to read
        if life.is_finished(
            now,
            len(self.clients.open_clients),
            any(exchange.streaming_attempt for exchange in self.exchanges.values()),
        ):
            return self.stop()
        self.loop.call_later(TICK, self.drain_step, change)

    def stop(self) -> None:
        self.event_log(
            "stopped",
            reqs=sum(not exchange.closed for exchange in self.exchanges.values()),
            longest_turn_ms=self.loop.longest_turn_us // 1000,
        )
        if isinstance(self.balancer, ShadowBalancer):
            self.event_log("watched", what=self.balancer.summary())
        self.handover.close()
        self.loop.running = False
