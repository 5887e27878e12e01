"""The interface through which simulated parts use the simulation or fault test that runs them.

Clients, hosts and discovery depend on the protocol `Environment`, not on a concrete run.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from random import Random
from typing import TYPE_CHECKING, Any, Protocol

from orchidgap.net.addresses import Address
from orchidgap.net.loop import Loop
from orchidgap.simulation.invariant_checker import InvariantChecker
from orchidgap.simulation.plan import Plan
from orchidgap.simulation.request_end import CloseRecord, ProcessEnd

if TYPE_CHECKING:
    from orchidgap.simulation.balancer_instance import BalancerInstance

SETTINGS_IN_FORCE_AFTER_US = 1_200_000  # new settings apply this long after SIGHUP at the latest

# Makes decision logic with the methods of `Balancer` from (settings, port, seed, now in us).
PolicyFactory = Callable[..., Any]


@dataclass(frozen=True, slots=True)
class AttemptLimit:
    """The settings' limit of attempts per request; `changed_at_us` is when it last changed."""

    current: int
    changed_at_us: int
    previous: int

    def for_request(self, arrived_at_us: int) -> int:
        """Return the limit for a request; the larger one while new settings take effect."""
        if arrived_at_us > self.changed_at_us + SETTINGS_IN_FORCE_AFTER_US:
            return self.current
        if arrived_at_us > self.changed_at_us:
            return max(self.current, self.previous)
        return self.previous


class Environment(Protocol):
    """The parts of a run, and the queries that they make about each other.

    All times are in microseconds of the loop's clock. Balancers are identified by name.
    """

    plan: Plan
    loop: Loop
    rng: Random
    invariant_checker: InvariantChecker
    start: int  # start of the load
    port_offset: int  # added to all ports, so that several runs can share a machine
    network: Any  # VirtualNetwork or LoopbackNetwork
    servers: dict[str, Any]  # simulated hosts by id
    discovery: Any  # the simulated discovery server
    clients: Any  # the simulated clients
    ingress: Any  # the layer that spreads clients over the balancers
    cluster: Any  # the slots' owners
    attempt_limit: AttemptLimit
    deduplication_scope: str  # most common one of request classes with an idempotency key
    # by scope: until when each idempotency key is remembered
    deduplication_records: dict[str, dict[bytes, int]]
    misses: Any  # by request id: the caches that missed on its key
    cold_misses: dict[bytes, None]  # ids of requests that missed at a cache during its slow start

    @property
    def balancers(self) -> Mapping[str, BalancerInstance]:
        """The balancers by name."""
        ...

    def is_alive(self, balancer: str, incarnation: int = 0) -> bool:
        """Return whether this incarnation of a balancer runs; 0 means any incarnation."""
        ...

    def incarnation_of(self, balancer: str) -> int:
        """Return the balancer's current incarnation, or the last one if it does not run."""
        ...

    def address_of(self, balancer: str) -> Address:
        """Return the address that clients connect to."""
        ...

    def zone_of(self, balancer: str) -> int:
        """Return the balancer's zone, 0 for an unknown name."""
        ...

    def accepting_balancers(self, failover_delay_us: int, now: int) -> list[str]:
        """Return the balancers that get connections, also dead ones within the failover delay."""
        ...

    def process_end(self, balancer: str, incarnation: int) -> ProcessEnd:
        """Return whether and how an incarnation of a balancer has ended."""
        ...

    def close_record(
        self, balancer: str, connection: int, dialled_at_us: int
    ) -> CloseRecord | None:
        """Return the balancer's record of how it closed a client's connection, if there is one."""
        ...

    def last_pause_end_us(self, balancer: str) -> int:
        """Return when the balancer's last pause ends, 0 for none."""
        ...

    def link_faulty_until_us(self, balancer: str, host: str) -> int:
        """Return until when a relay may have delayed a balancer's data to a host, 0 for never."""
        ...

    def one_way_us(self, zone: int, other: int) -> int:
        """Draw the latency of one message between two zones."""
        ...

    def client_one_way_us(self) -> int:
        """Draw the latency of one message between a client and a balancer."""
        ...

    def max_attempts_at(self, arrived_at_us: int) -> int:
        """Return the limit of attempts for a request that arrived then."""
        ...

    def value_size_bytes(self, key: int) -> int:
        """Return the size of a key's value."""
        ...

    def key_of(self, number: int | None) -> int:
        """Return the clients' number of the key that has this number in the decisions."""
        ...

    def record_miss(self, request_id: bytes, host: Any) -> None:
        """Record that a cache missed on the request's key."""
        ...

    def latest_endpoint_list(self, name: str) -> dict[str, Any]:
        """Return the last endpoint list that a balancer received."""
        ...

    def balancer_settings(self, balancer: Any, known: dict[str, Any]) -> dict[str, Any]:
        """Return a balancer's configuration; `known` is its initial endpoint list."""
        ...

    def endpoint_list_for(self, name: str, known: dict[str, Any]) -> dict[str, Any]:
        """Return the list with the host addresses that this balancer connects to."""
        ...

    def send_datagram(self, address: Address, data: bytes) -> None:
        """Deliver a datagram from one balancer to another on the virtual network."""
        ...
