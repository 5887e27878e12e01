"""The tables of a simulation's plan; each struct is a table of the TOML file.

A field's `name=` is its key in the file if that differs from the field's name. Keys of times end in
`-ms` or `-s`, and their values may be fractions; `seconds_to_us` and `milliseconds_to_us` convert
them to whole microseconds. `plan_file` reads, checks and writes plans.
"""

from __future__ import annotations

from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta, Struct, field

MAX_BALANCERS = 400

Ratio = Annotated[float, Meta(ge=0.0, le=1.0)]
Positive = Annotated[float, Meta(gt=0.0)]
NonNegative = Annotated[float, Meta(ge=0.0)]
Count = Annotated[int, Meta(ge=1)]
Name = Annotated[str, Meta(pattern="^[a-z0-9][a-z0-9-]{0,39}$")]

FAULT_KINDS = (
    "crash",
    "vanish",
    "stall",
    "slow",
    "deploy",
    "shrink",
    "drain",
    "flush",
    "scan",
    "hot-key",
    "hot-tenant",
    "lopsided",
    "balancer-kill",
    "balancer-roll",
    "discovery-gone",
    "discovery-late",
    "discovery-stale",
    "discovery-crowded",
    "link-loss",
    "partition",
    "spoilt",
    "bad-clients",
    "slow-origin",
    "stopped-origin",
    "load",
)


# actions of operators
OPERATOR_FAULT_KINDS = ("quiesce", "retune", "bad-settings", "upgrade", "silent-calls")
# only for slot servers
RESP_FAULT_KINDS = ("reshuffle", "failover", "pointing")


def seconds_to_us(seconds: float) -> int:
    """Convert seconds to whole microseconds."""
    return round(seconds * 1_000_000)


def milliseconds_to_us(milliseconds: float) -> int:
    """Convert milliseconds to whole microseconds."""
    return round(milliseconds * 1_000)


class PlanTable(Struct, forbid_unknown_fields=True, rename="kebab", frozen=True):
    """Base of all tables of a plan; unknown keys are errors."""


class RequestClassSpec(PlanTable, frozen=True):
    """A request class as clients use it.

    `share` is its weight among all requests; `work_ms` is its mean time on a core of speed 1. An
    answer within `latency_objective_ms` counts `priority_weight`, a later one `late_value_ratio` of
    that.
    """

    name: Name
    share: Positive
    work_ms: Positive
    latency_objective_ms: Positive = field(name="target-ms")
    client_timeout_ms: Positive = field(name="timeout-ms")
    effect: Literal["replayable", "uniqued", "non-replayable"] = "replayable"
    priority_weight: Positive = field(name="value", default=1.0)
    late_value_ratio: Ratio = field(name="late-value", default=0.0)
    write: bool = False
    deduplication_scope: Literal["all", "zone", "cell"] = field(name="group", default="all")
    deduplication_window_ms: NonNegative = field(name="window-ms", default=2_000.0)
    # second of the run from which clients use it; the settings include it a little earlier
    from_s: NonNegative = 0.0
    # second of the run until which clients use it; 0 for no end
    until_s: NonNegative = 0.0


class LargeBodyModel(PlanTable, frozen=True):
    """Large bodies, and sides that transfer them slowly, at `slow_rate_kb` per second.

    Whether the value of a read is large depends on its key, for a write it is drawn at random.
    """

    # ratio of keys with a large value
    large_key_ratio: Ratio = field(name="share", default=0.0)
    # ratio of writes with a large body
    large_write_ratio: Ratio = field(name="uploads", default=0.0)
    body_bytes: Count = field(name="size", default=300_000)
    slow_reader_ratio: Ratio = field(name="slow-readers", default=0.0)
    slow_writer_ratio: Ratio = field(name="slow-writers", default=0.0)
    slow_rate_kb: Positive = field(name="pace-kb", default=128.0)


class TenantSpec(PlanTable, frozen=True):
    """A tenant; `quota` is its promised share, `quota_usage` the ratio of that it requests."""

    name: Name
    quota: Positive = field(name="share")
    quota_usage: Positive = field(name="usage", default=1.0)


class HostModel(PlanTable, frozen=True):
    """The capacity and behaviour of a host.

    Requests beyond a queue of `queue_per_core` are rejected. Each request per core above
    `crowding_threshold` slows all requests by `crowding_slowdown`. After a start a host has
    `cold_speed_ratio` of its speed, which rises to full speed within `warm_up_s`. A load of more
    than `overload_multiple` of its capacity during `overload_window_s` brings it down.
    """

    cores: Count = 2
    speed: Positive = 0.7
    # each host's speed is drawn within this ratio around `speed`
    speed_spread: Ratio = field(name="uneven", default=0.3)
    # queued requests per core
    queue_per_core: Positive = field(name="queue", default=16.0)
    crowding_threshold: Positive = field(name="crowd-at", default=6.0)
    crowding_slowdown: NonNegative = field(name="crowd", default=0.05)
    connection_work_ms: NonNegative = field(name="connect-work-ms", default=0.5)
    max_connections: Count = field(name="connections", default=600)
    idle_timeout_s: Positive = field(name="idle-s", default=30.0)
    cold_speed_ratio: Annotated[float, Meta(gt=0.0, le=1.0)] = field(name="cold-from", default=0.3)
    warm_up_s: NonNegative = field(name="warm-s", default=8.0)
    overload_multiple: Positive = field(name="fall-multiple", default=3.0)
    overload_window_s: Positive = field(name="fall-s", default=3.0)
    # keys cached at once; the least recently used are evicted
    capacity_keys: Count = field(name="keys", default=2_500)
    # how long a key stays cached unless it is invalidated or evicted; 0 for no limit
    ttl_s: NonNegative = 0.0
    error_ratio: Ratio = field(name="errors", default=0.0)
    # whether queued requests whose connection has been closed are dropped
    drops_expired: bool = field(name="forgets-expired", default=True)
    # how long an origin that overload brought down is stopped
    overload_stop_s: Positive = field(name="stop-s", default=4.0)
    zones: Count = 1


class KeyModel(PlanTable, frozen=True):
    """The keys that clients request, by a Zipf distribution, and the sizes of their values."""

    count: Count = 20_000
    zipf: NonNegative = 0.85
    # ratio of the hottest keys that are cached at the start
    warm_ratio: Ratio = field(name="warm", default=0.95)
    # sizes of values: most have the smaller one
    min_value_bytes: Count = field(name="size", default=200)
    max_value_bytes: Count = field(name="most-size", default=4_000)


class NetworkModel(PlanTable, frozen=True):
    """One-way latencies between zones, their jitter, and losses."""

    # one-way latencies
    same_zone_ms: NonNegative = field(name="same-ms", default=0.2)
    cross_zone_ms: NonNegative = field(name="cross-ms", default=1.0)
    jitter: Ratio = 0.2
    connect_timeout_ms: Positive = 100.0
    # ratio of datagrams between balancers that are lost
    datagram_loss_ratio: Ratio = field(name="lose", default=0.0)


class ClientModel(PlanTable, frozen=True):
    """How clients send requests, retry, and are spread over the balancers."""

    max_retries: Annotated[int, Meta(ge=0, le=5)] = field(name="retries", default=1)
    backoff_ms: NonNegative = 60.0
    # ratio of Retry-After fields that clients comply with
    retry_after_compliance: Ratio = field(name="honour", default=0.9)
    # ratio of requests that their client gives up early, keeping the connection open
    impatient_ratio: Ratio = field(name="impatient", default=0.0)
    # ratio of requests whose client closes the connection early
    leaving_ratio: Ratio = field(name="leave", default=0.0)
    # time until the ingress layer stops using a dead balancer
    failover_delay_s: NonNegative = field(name="notice-s", default=2.0)
    load_shape: Literal["steady", "ramp", "wave"] = field(name="shape", default="steady")
    # spread of the balancers' shares of the traffic
    balancer_skew: Ratio = field(name="skew", default=0.2)
    # ratio of balancers with ten times the weight
    busy_balancer_ratio: Ratio = field(name="busy", default=0.0)
    # ratio of requests sent to a balancer in their key's zone
    own_zone_ratio: Ratio = field(name="apart", default=0.0)


class DiscoveryModel(PlanTable, frozen=True):
    """How long discovery takes to list a change of hosts."""

    # time until a host whose process ended is removed
    removal_delay_s: NonNegative = field(name="notice-s", default=2.0)
    # time until a host that became unreachable is removed
    silent_removal_delay_s: NonNegative = field(name="silent-s", default=6.0)
    # time until a host that was started is listed as ready
    addition_delay_s: NonNegative = field(name="add-s", default=1.0)


class BalancerLimits(PlanTable, frozen=True):
    """Limits and permissions in each balancer's settings."""

    max_attempts: Count = field(name="dispatches", default=4)
    may_cancel: bool = True
    may_hedge: bool = field(name="may-double", default=True)
    retry_after: bool = True
    max_retry_after_ms: NonNegative = field(name="most-pause-ms", default=2_000.0)
    drain_grace_ms: NonNegative = 250.0
    max_sockets: Annotated[int, Meta(ge=64)] = field(name="sockets", default=1_024)
    max_memory_mb: Annotated[int, Meta(ge=32)] = field(name="memory-mb", default=192)


class Fault(PlanTable, frozen=True):
    """One fault, which begins `start_s` after the start of the simulation.

    It affects `target` by name, or `target_ratio` of all possible targets. `magnitude` is the
    factor of a slow-down or of the load, a share of the traffic, or seconds of delay, depending on
    the kind; 0 means the kind's default.
    """

    kind: Literal[FAULT_KINDS + OPERATOR_FAULT_KINDS + RESP_FAULT_KINDS]  # type: ignore[valid-type]
    start_s: NonNegative = field(name="at-s")
    duration_s: NonNegative = field(name="for-s", default=5.0)
    target_ratio: Ratio = field(name="part", default=0.0)
    target: str = ""
    magnitude: NonNegative = field(name="size", default=0.0)


class Phase(PlanTable, frozen=True):
    """A part of the run that is measured separately, until the next phase or the end."""

    name: Name
    start_s: NonNegative = field(name="from-s", default=0.0)


class EvennessBounds(PlanTable, frozen=True):
    """Bounds on the figures of one phase; a figure without a bound is not checked."""

    phase: str = field(name="stretch")
    max_load_ratio: Positive | None = field(name="most", default=None)
    min_load_ratio: NonNegative | None = field(name="least", default=None)
    max_herd_ratio: Positive | None = field(name="herd", default=None)
    max_idle_s: Positive | None = field(name="idle-s", default=None)
    max_replica_count: Positive | None = field(name="copies", default=None)
    max_moved_ratio: NonNegative | None = field(name="moved", default=None)
    min_service_ratio: NonNegative | None = field(name="served", default=None)
    max_fetch_ratio: NonNegative | None = field(name="fetches", default=None)
    max_p99_ms: Positive | None = field(name="p99-ms", default=None)

    def figures(self) -> dict[str, float]:
        """Return the bounds that are set, by their keys in the plan's file."""
        table: dict[str, Any] = msgspec.to_builtins(self)
        return {
            name: value for name, value in table.items() if name != "stretch" and value is not None
        }


class Plan(PlanTable, frozen=True):
    """A whole simulation: its hosts and balancers, load, faults, and expected figures."""

    name: Name
    duration_s: Annotated[float, Meta(gt=0.0, le=7_200.0)] = field(name="seconds", default=30.0)
    seed: Annotated[int, Meta(ge=0)] = 1
    balancer_count: Annotated[int, Meta(ge=1, le=MAX_BALANCERS)] = field(
        name="balancers", default=2
    )
    cache_count: Annotated[int, Meta(ge=1, le=200)] = field(name="caches", default=6)
    origin_count: Annotated[int, Meta(ge=1, le=4)] = field(name="origins", default=1)
    # requests per second, over all balancers
    request_rate: Positive = field(name="rate", default=150.0)
    description: str = field(name="about", default="")
    protocol: Literal["http", "resp"] = field(name="dialect", default="http")
    # whether balancers share their request counts by gossip
    gossip: bool = field(name="pool", default=False)
    # minimum interval between common tables of ranges that they compute from these counts
    rebalance_interval_s: Positive = field(name="pool-draw-s", default=60.0)
    # minimum of the verdict's service, checked by the short plans
    min_service_ratio: Ratio = field(name="least", default=0.0)
    request_class_specs: tuple[RequestClassSpec, ...] = field(name="work", default=())
    tenant_specs: tuple[TenantSpec, ...] = field(name="tenant", default=())
    cache: HostModel = HostModel()
    origin: HostModel = HostModel(
        cores=3,
        speed=1.0,
        speed_spread=0.0,
        queue_per_core=60.0,
        crowding_slowdown=0.0,
        cold_speed_ratio=1.0,
        warm_up_s=0.0,
    )
    keys: KeyModel = KeyModel()
    large_bodies: LargeBodyModel = field(name="bulk", default=LargeBodyModel())
    network: NetworkModel = field(name="net", default=NetworkModel())
    clients: ClientModel = field(name="callers", default=ClientModel())
    discovery: DiscoveryModel = field(name="listing", default=DiscoveryModel())
    limits: BalancerLimits = field(name="ceilings", default=BalancerLimits())
    faults: tuple[Fault, ...] = field(name="trouble", default=())
    phases: tuple[Phase, ...] = field(name="stretch", default=())
    evenness_bounds: tuple[EvennessBounds, ...] = field(name="expect", default=())

    def request_classes(self) -> tuple[RequestClassSpec, ...]:
        """Return the plan's request classes, or the default ones of its protocol."""
        return self.request_class_specs or (
            DEFAULT_COMMAND_CLASSES if self.protocol == "resp" else DEFAULT_REQUEST_CLASSES
        )

    def tenants(self) -> tuple[TenantSpec, ...]:
        """Return the plan's tenants, or three default ones."""
        return self.tenant_specs or DEFAULT_TENANTS


DEFAULT_TENANTS = (
    TenantSpec("north", 0.5),
    TenantSpec("south", 0.3),
    TenantSpec("hills", 0.2),
)


DEFAULT_REQUEST_CLASSES = (
    RequestClassSpec("view", 0.70, 30, 500, 1_500, priority_weight=1),
    RequestClassSpec("list", 0.22, 45, 500, 1_000, priority_weight=2),
    RequestClassSpec("signup", 0.05, 60, 900, 2_500, "uniqued", priority_weight=8, write=True),
    RequestClassSpec(
        "submit", 0.03, 60, 900, 2_500, "non-replayable", priority_weight=8, write=True
    ),
)


DEFAULT_COMMAND_CLASSES = (
    RequestClassSpec("read", 0.8, 1, 200, 1_000, priority_weight=1),
    RequestClassSpec("write", 0.2, 1, 200, 1_000, "non-replayable", priority_weight=2, write=True),
)
