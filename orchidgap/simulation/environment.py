"""What stand-ins ask of the simulation or fault test that they are part of.

None of them has to know the whole: each is given an `Environment`.
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

SETTINGS_IN_FORCE_AFTER_US = 1_200_000  # new ones, after SIGHUP

# Makes what decides, of (settings, port, seed, now in us); it has the methods of `Balancer`.
Decider = Callable[..., Any]


@dataclass(frozen=True, slots=True)
class AttemptLimit:
    """How many attempts settings allow a request; `changed_at_us` is when they last changed."""

    current: int
    changed_at_us: int
    previous: int

    def for_request(self, arrived_at_us: int) -> int:
        """Return how many a request may have; the larger number while new settings come in."""
        if arrived_at_us > self.changed_at_us + SETTINGS_IN_FORCE_AFTER_US:
            return self.current
        if arrived_at_us > self.changed_at_us:
            return max(self.current, self.previous)
        return self.previous


class Environment(Protocol):
    """The parts of a run, and what they ask about each other.

    All times are in microseconds of the loop's clock. A balancer is known by its name.
    """

    plan: Plan
    loop: Loop
    rng: Random
    invariant_checker: InvariantChecker
    start: int  # when the first request may come
    port_offset: int  # added to the ports, where several runs share a machine
    network: Any  # VirtualNetwork or LoopbackNetwork
    servers: dict[str, Any]  # stand-in hosts by id
    discovery: Any  # the stand-in discovery
    clients: Any  # the stand-in clients
    ingress: Any  # the layer before the balancers, and the operators
    cluster: Any  # which server owns which slots
    attempt_limit: AttemptLimit
    deduplication_scope: str  # of most of the requests with an idempotency key
    # by scope: idempotency keys, and until when they count
    deduplication_records: dict[str, dict[bytes, int]]
    misses: Any  # by request id: the caches that lacked its key
    cold_misses: dict[bytes, None]  # requests that a cache lacked while it was warming up

    @property
    def balancers(self) -> Mapping[str, BalancerInstance]:
        """The balancers by name."""
        ...

    def is_alive(self, balancer: str, incarnation: int = 0) -> bool:
        """Return whether a balancer runs: this incarnation of it, or any for 0."""
        ...

    def incarnation_of(self, balancer: str) -> int:
        """Return the number of the balancer's present or last process."""
        ...

    def address_of(self, balancer: str) -> Address:
        """Return where clients connect."""
        ...

    def zone_of(self, balancer: str) -> int:
        """Return the balancer's zone, 0 for a name that is none."""
        ...

    def accepting_balancers(self, notice: int, now: int) -> list[str]:
        """Return the balancers that clients are sent to; `notice` is how late a death is seen."""
        ...

    def process_end(self, balancer: str, incarnation: int) -> ProcessEnd:
        """Return how an incarnation of a balancer has ended, if it has."""
        ...

    def close_record(
        self, balancer: str, connection: int, dialled_at_us: int
    ) -> CloseRecord | None:
        """Return what the balancer's process noted as it closed a client's connection."""
        ...

    def last_pause_end_us(self, balancer: str) -> int:
        """Return when the process last goes on after it was stopped, 0 for never."""
        ...

    def link_faulty_until_us(self, balancer: str, host: str) -> int:
        """Return until when a relay may have held back what a balancer sent a host, 0 for never."""
        ...

    def one_way_us(self, zone: int, other: int) -> int:
        """Draw the latency of one message between two zones."""
        ...

    def client_one_way_us(self) -> int:
        """Draw the latency of one message between a client and a balancer."""
        ...

    def max_attempts_at(self, came: int) -> int:
        """Return how many attempts a request may have that came then."""
        ...

    def value_size_bytes(self, key: int) -> int:
        """Return the size of a key's value."""
        ...

    def key_of(self, number: int | None) -> int:
        """Return the clients' number of a key, of the decisions' number of it."""
        ...

    def record_miss(self, request_id: bytes, store: Any) -> None:
        """Note that a cache lacked the key of the request `request_id`."""
        ...

    def latest_endpoint_list(self, name: str) -> dict[str, Any]:
        """Return the endpoint list as a balancer last had it."""
        ...

    def balancer_settings(self, balancer: Any, known: dict[str, Any]) -> dict[str, Any]:
        """Return a balancer's configuration, with the endpoint list that it starts with."""
        ...

    def endpoint_list_for(self, name: str, known: dict[str, Any]) -> dict[str, Any]:
        """Return the endpoint list with the addresses by which that balancer reaches the hosts."""
        ...

    def send_datagram(self, address: Address, data: bytes) -> None:
        """Carry a datagram from one balancer to another on the virtual network."""
        ...
