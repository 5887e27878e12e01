"""Connects the network (clients and hosts) to the decisions (the balancer's rules).

A node decides nothing itself. It is the `RequestHandler` of the clients' side and, through
`DecisionsPort`, the port of the decisions.
"""

from __future__ import annotations

import socket
from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from typing import TYPE_CHECKING, Any, Protocol

import orjson

from orchidgap.decisions.balancer import Balancer
from orchidgap.decisions.lifecycle import Lifecycle
from orchidgap.decisions.repeat_safety import Idempotency, RepeatSafety
from orchidgap.decisions.request_table import RequestTable
from orchidgap.decisions.retry_policy import RetryPolicy, may_client_retry
from orchidgap.decisions.settings import ServiceSettings
from orchidgap.decisions.shadow import ShadowBalancer
from orchidgap.net.body_stream import Upload
from orchidgap.net.client_listener import ClientListener
from orchidgap.net.config import BalancerConfig, keep_until_restart
from orchidgap.net.connection_pools import ConnectionPools
from orchidgap.net.decisions_port import DecisionsPort
from orchidgap.net.descriptor_budget import RESERVED_DESCRIPTORS, divide_descriptors
from orchidgap.net.dialing import dial
from orchidgap.net.discovery import Dial, HostDiscovery
from orchidgap.net.event_log import EventLog
from orchidgap.net.exchange import Exchange
from orchidgap.net.handover.absent import NoHandover
from orchidgap.net.handover.ports import MigratingRequest
from orchidgap.net.loop import Loop
from orchidgap.net.memory_account import MemoryAccount
from orchidgap.net.memory_pressure import MemoryPressure
from orchidgap.net.node_host_list import NodeHostList
from orchidgap.net.node_lifecycle import NodeLifecycle
from orchidgap.net.rejection_log import RejectionLog
from orchidgap.net.request_handler import Responder
from orchidgap.net.request_key import key_number
from orchidgap.net.sent_request_ids import SentRequestIds
from orchidgap.net.traffic_counts import TrafficCounts
from orchidgap.net.upstream_attempt import UpstreamAttempt, parse_load_report

if TYPE_CHECKING:
    from orchidgap.net.handover.coordinator import Handover

FIRST_LIST_TIMEOUT_US = 1_000_000  # how long a new process waits for discovery's first list
INITIAL_CONNECTIONS = 8  # the limit until the descriptors are divided


class ProtocolParts(Protocol):
    """The parts of a protocol that the node needs."""

    def make_listener(self, node: Node, max_clients: int) -> ClientListener:
        """Create the clients' side, with at most `max_clients` open at a time."""

    def make_pools(self, node: Node, max_connections: int, dial: Dial) -> ConnectionPools[Any]:
        """Create the hosts' side, with at most `max_connections` open at a time."""

    def make_discovery(self, node: Node, dial: Dial) -> HostDiscovery:
        """Create the source of the host list."""

    def check_settings(self, settings: ServiceSettings) -> None:
        """Check that the protocol can be served with these settings.

        Raises:
            ConfigError: It cannot.
        """

    def migrating_requests(self, node: Node) -> Iterable[MigratingRequest]:
        """Return the requests that can continue in another process, each in its current state."""

    def accept_migrated(
        self, node: Node, items: list[Any], raw: bytes, socks: list[socket.socket]
    ) -> None:
        """Accept a request from another process.

        Raises:
            ValueError: Its description is malformed; other exceptions are possible.
        """


class Node(NodeLifecycle, NodeHostList, DecisionsPort):
    """One balancer on the network."""

    # settings that control decided, used in place of those of the file; None without control
    settings: Mapping[str, Any] | None = None

    def __init__(
        self,
        loop: Loop,
        config: BalancerConfig,
        event_log: EventLog,
        protocol: ProtocolParts,
        dial: Dial = dial,
        make_balancer: Callable[..., Any] = Balancer,
    ) -> None:
        """Create the clients' side, the hosts' side and the decisions.

        Args:
            loop: The event loop.
            config: The configuration.
            event_log: The log to which events are written.
            protocol: The protocol of clients and hosts.
            dial: Opens connections.
            make_balancer: Creates the decisions; its result has the methods of a `Balancer`.
        """
        self.loop = loop
        self.event_log = event_log
        self.config = config
        self.protocol = protocol
        self.exchanges: dict[int, Exchange] = {}
        self.open_request_ids: set[bytes] = set()  # ids of requests not fully answered yet
        self.sent_request_ids = SentRequestIds()
        self.last_request_number = 0
        self.traffic_counts = TrafficCounts()
        self.lifecycle = Lifecycle(loop.now, config.settings.longest_client_timeout_us)
        self.descriptor_limit = config.descriptors
        self.memory_pressure = MemoryPressure(loop, config.memory_mb)
        self.memory_account = MemoryAccount(self.memory_pressure)
        self.endpoints = {}
        self.list_received = False
        self.clients = protocol.make_listener(self, INITIAL_CONNECTIONS)
        self.handover: Handover | NoHandover = NoHandover(self.clients)
        self.pools = protocol.make_pools(self, INITIAL_CONNECTIONS, dial)
        self.set_descriptor_limit(config.descriptors)
        self.set_response_hold()
        self.balancer: Balancer = make_balancer(config.settings, self, config.seed, loop.now)
        has_request_table = isinstance(self.balancer, RequestTable)
        rejections = self.balancer.rejections if has_request_table else Counter()
        self.rejection_log = RejectionLog(event_log, rejections)
        self.discovery = protocol.make_discovery(self, dial)

    def start(self) -> None:
        """Start with the host list of the configuration, and request a newer one."""
        _, _, entries, endpoints = self.config.initial_endpoints
        self.discovery.recall_list(entries, endpoints)
        self.check_ready()
        # The configuration's list may be outdated, and the process is expected to follow
        # discovery's list from the start.
        self.loop.call_later(FIRST_LIST_TIMEOUT_US, self.end_list_wait)
        self.discovery.fetch()

    # --- descriptors

    def set_descriptor_limit(self, descriptors: int) -> None:
        """Divide this many descriptors, and the same share of the memory, between both sides."""
        self.descriptor_limit = descriptors
        memory_mb = self.config.memory_mb * descriptors // self.config.descriptors
        self.memory_pressure.limit_mb = memory_mb
        open_clients = len(self.clients.open_clients)
        budget = divide_descriptors(
            descriptors, memory_mb, open_clients, self.pools.connection_count
        )
        self.clients.max_clients = budget.clients
        self.pools.max_connections = budget.upstream

    def descriptors_needed(self) -> int:
        """Return the number of descriptors that this process holds or must keep available."""
        connections = len(self.clients.open_clients) + self.pools.connection_count
        return connections + RESERVED_DESCRIPTORS

    # --- calls of the clients' side

    def knows_request_class(self, name: str) -> bool:
        """Whether there is a request class of this name."""
        return name in self.config.settings.request_classes

    def is_request_open(self, request_id: bytes) -> bool:
        """Whether a request of this id is open, here or in another process of this balancer.

        One that may have been executed, and must not be executed again, counts as open for some
        time after its end: its client may have left, and sent it once more.
        """
        if request_id in self.open_request_ids:
            return True
        if self.sent_request_ids.contains(request_id, self.loop.now):
            return True
        return self.handover.active and self.handover.is_request_open(request_id)

    def slot_owner(self, slot: int) -> str:
        """Return the id of the server that owns the slot, or an empty text if it is not known."""
        slot_map = self.balancer.slot_map
        return (slot_map and slot_map.owner(slot)) or ""

    def rejection_retry_after_us(self) -> int:
        """Return the Retry-After of clients rejected for lack of capacity; 0 to send none."""
        return RetryPolicy.from_settings(self.config.settings).unexecuted_retry_after_us

    def close_idle_connection(self) -> bool:
        """Close an idle connection to a host; return whether there was one."""
        return self.pools.close_idle()

    def next_request_number(self) -> int:
        """Return the number for the next request."""
        self.last_request_number += 1
        return self.last_request_number

    def handle_request(
        self,
        responder: Responder,
        request_id: bytes,
        request_class: str,
        timeout_us: int,
        is_write: bool,
        key: bytes,
        tenant: str,
        head: bytes,
        body: bytes,
        slot: int = -1,
        upload: Upload | None = None,
        is_client_retry: bool = False,
        idempotency: Idempotency = Idempotency.UNKEYED,
    ) -> None:
        """Handle a new request; see `RequestHandler`."""
        self.last_request_number += 1
        self.traffic_counts.requests_arrived += 1
        number = self.last_request_number
        exchange = Exchange(self, number, request_id, responder, head, body, timeout_us, upload)
        responder.pending_request = self.exchanges[number] = exchange
        self.call_decisions(
            self.decide_request,
            exchange,
            is_write,
            request_class,
            key,
            tenant,
            slot,
            is_client_retry,
            idempotency,
            exchange=exchange,
        )

    def decide_request(
        self,
        exchange: Exchange,
        is_write: bool,
        request_class: str,
        key: bytes,
        tenant: str,
        slot: int,
        is_client_retry: bool,
        idempotency: Idempotency,
    ) -> None:
        """Pass a request to the decisions, with its times relative to their clock."""
        now_us = self.balancer.now
        self.balancer.on_request(
            exchange.number,
            exchange.remaining_us(now_us),
            is_write,
            request_class,
            key_number(key),
            tenant,
            slot,
            exchange.upload is not None,
            exchange.waited_us(now_us),
            is_client_retry,
            idempotency,
        )

    # --- calls of exchanges

    def on_load_report(self, attempt: UpstreamAttempt) -> None:
        """Pass the load report that a host sent with an answer to the decisions."""
        fields = parse_load_report(attempt.load_report)
        request_rate = fields.get("tps")
        in_flight = fields.get("concurrent")
        self.call_decisions(self.balancer.on_load_report, attempt.host, request_rate, in_flight)

    def on_attempt_allowed(self, exchange: Exchange) -> None:
        """Remember the id of a request that must not be executed again.

        Requests of protocols without ids of their clients (`Idempotency.NEVER`) do not come again.
        """
        request = self.balancer.requests.get(exchange.number)
        if request is None or request.idempotency is Idempotency.NEVER:
            return
        if request.repeat_safety is not RepeatSafety.IDEMPOTENT:
            self.sent_request_ids.add(exchange.request_id, self.loop.now)

    def release_if_done(self, exchange: Exchange) -> None:
        """Forget an exchange that is closed and has no attempt in flight."""
        if not exchange.closed:
            return
        for attempt in exchange.attempts:
            if not attempt.settled:
                return
        self.exchanges.pop(exchange.number, None)
        exchange.release()

    def call_decisions(
        self, call: Callable[..., None], *args: Any, exchange: Exchange | None = None
    ) -> None:
        """Make one call of the decisions; if it raises, the request concerned is still answered."""
        self.balancer.now = self.loop.current_us
        try:
            call(*args)
        except Exception as error:  # noqa: BLE001  # must not end the process
            self.event_log.exception(error)
            if exchange:
                exchange.answer(500)

    # --- handover to another process of this balancer

    def fallback_status(self, number: int) -> int:
        """Return the answer to a request whose only attempt failed and may have been executed.

        It is 503 if a retry is harmless, otherwise 500.
        """
        request = self.balancer.requests.get(number)
        if request is None:
            return 500
        may_retry = may_client_retry(request.request_class, request.repeat_safety)
        return 503 if may_retry else 500

    @property
    def has_warm_state(self) -> bool:
        """Whether the decisions of this node can export and restore a snapshot."""
        return isinstance(self.balancer, Balancer)

    def migrating_requests(self) -> Iterable[MigratingRequest]:
        """Return the requests that can continue in another process."""
        return self.protocol.migrating_requests(self)

    def accept_migrated(self, items: list[Any], raw: bytes, sockets: list[socket.socket]) -> None:
        """Accept a request from another process."""
        self.protocol.accept_migrated(self, items, raw, sockets)

    # --- commands of operators

    def count_report(self) -> tuple[bool, str]:
        """Return the counts of connections and requests since the start, as one line of JSON.

        The counts include the reasons for which the decisions rejected requests.
        """
        return True, orjson.dumps(self.traffic_log_fields()).decode()

    def shadow_report(self) -> tuple[bool, str]:
        """Return how many decisions would differ with the shadow settings, by kind."""
        if not isinstance(self.balancer, ShadowBalancer):
            return False, "nothing is watched"
        return True, self.balancer.summary()

    def apply_config(self, config: BalancerConfig) -> None:
        """Apply a new configuration; open requests keep their class and number of attempts.

        Changes that need a restart (`RESTART_ONLY_FIELDS` and `STARTUP_SETTINGS`) are logged and
        take effect at the next start.
        """
        old = self.config
        self.config, waiting = keep_until_restart(old, config)
        settings = self.config.settings
        self.set_response_hold()
        self.lifecycle.set_longest_client_timeout(settings.longest_client_timeout_us)
        if settings != old.settings:
            self.call_decisions(self.balancer.on_settings, settings)
        self.pools.set_timeouts(config.connect_timeout_us, config.idle_timeout_us)
        self.event_log(
            "config applied",
            discovery=config.discovery,
            rule_sets=list(settings.request_classes),
            dispatches=settings.max_attempts,
            **({"at_next_start": waiting} if waiting else {}),
        )
        self.discovery.set_address(config.discovery)

    def set_response_hold(self) -> None:
        """Set how long an answer of unknown length may be held: a quarter of the objective."""
        self.response_hold_us = self.config.settings.latency_objective_us // 4
