"""The records that the decisions keep: hosts, reqs and their dispatches. Nothing is decided here."""

from __future__ import annotations

from dataclasses import dataclass, field

from orchidgap.decisions.settings import RequestClass

NEVER_EXECUTED = frozenset(
    ("full", "unconnected", "refused", "moved", "moot", "miss")
)  # proof that it never ran


@dataclass(slots=True, eq=False)
class HostState:
    """All that is known of one cache host, or of the origin."""

    id: str
    is_origin: bool
    state: str = ""
    started_at_us: int = -1  # its last start, as listed; 0 for long ago
    zone: str = ""
    cell: str = ""
    weight: float = 1.0
    range_size: int = 0  # of its range, in slots
    in_flight: int = 0  # dispatches out
    in_flight_elsewhere: int = 0  # dispatches out that another process of this balancer has there
    concurrency_limit: float = 0.0  # how many may be out
    limit_floor: float = 1.0  # below which the limit does not fall
    limit_decreased_at_us: int = 0  # when the limit was last lowered
    latency_recorded_at_us: int = 0  # when an answer last counted for its lag
    last_response_at_us: int = 0  # when it last answered at all
    attempt_count: int = 0  # since the last redraw, a refusal for being full counted twice
    counted_since_us: int = 0  # since when they are counted
    reported_request_rate: float = -1.0  # reqs a second by its last report, negative where unheard
    reported_in_flight: float = (
        0.0  # dispatches that it held by its last report, from all balancers
    )
    reported_at_us: int = -1 << 60  # when that was
    capacity_checks: int = 0  # how often it was wanted since its limit, being below one, was set
    smoothed_latency_us: int = 0  # how long its answers take, smoothed
    ejected_until_us: int = 0
    retry_budget: float = 0.0  # earned by answers, spent by further dispatches
    warm_at_us: int = 0  # cold until then
    placements_at_last_draw: int = (
        0  # reqs that had been placed when it last had its chance, while cold
    )

    @property
    def total_in_flight(self) -> int:
        """Dispatches out, from all processes of this balancer."""
        return self.in_flight + self.in_flight_elsewhere


@dataclass(slots=True, eq=False)
class Attempt:
    """One dispatch of a req."""

    request: Request
    host: HostState
    started_at_us: int
    outcome: str = ""


@dataclass(slots=True, eq=False)
class Request:
    id: int
    request_class: RequestClass
    tenant: str
    key: int | None
    slot: int
    is_write: bool
    received_at_us: int
    deadline_us: int  # when its client gives up
    max_attempts: int  # dispatches that it may have
    attempts: list[Attempt] = field(default_factory=list)
    in_flight: int = 0
    answered: bool = False  # it has its final answer
    cache_missed: bool = False  # a cache lacked the key, so it needs a fetch
    body_streaming: bool = (
        False  # its body has yet to come whole: until then it does not count at its host
    )
    queued: bool = False  # held by a stage
    attempt_cancelled: bool = False  # a dispatch of it was called off
    redirects: int = 0  # redirections followed
    redirect_target: HostState | None = None  # where the last of them sent it
    owner_offset: int = 0  # caches beside its owner that it is meant for, as its key is hot


def possibly_executed(sent: list[Attempt]) -> list[Attempt]:
    """Dispatches that may have run or may yet run."""
    return [one for one in sent if one.outcome not in NEVER_EXECUTED]
