"""The state that the decisions keep of hosts, requests and attempts; it holds no rules.

Times are whole microseconds on the clock that the host program sets as `now`.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import StrEnum

from orchidgap.decisions.rejections import RejectionReason
from orchidgap.decisions.repeat_safety import Idempotency, RepeatSafety, repeat_safety
from orchidgap.decisions.settings import RequestClass


class AttemptOutcome(StrEnum):
    """The result of one attempt.

    Members equal and hash like their strings, which appear in logs and in the simulator's traces.
    """

    DONE = "done"  # an answer that goes to the client
    CACHE_MISS = "miss"  # the cache lacks the key
    REDIRECTED = "moved"  # the server named another one and did not execute the request
    QUEUE_FULL = "full"  # rejected by the host before it was executed
    SERVER_ERROR = "error"
    CONNECTION_RESET = "reset"  # the connection broke after the request was sent
    STALE_CONNECTION = "stale"  # a reused connection broke before any byte of an answer
    UNCONNECTED = "unconnected"  # no connection could be opened, or it broke before all was sent
    CONNECTION_REFUSED = "refused"  # no process listens at the host's address
    TIMED_OUT = "timeout"
    CANCELLED = "cancelled"  # cancelled after it was sent
    NEVER_SENT = "moot"  # cancelled, or past its deadline, before it was sent
    INVALID_REQUEST = "unfit"  # the host rejected the request itself as invalid


class HostStatus(StrEnum):
    """The status of a host in discovery's list; members equal and hash like their strings."""

    READY = "up"
    DRAINING = "draining"  # it finishes its requests and accepts no new ones
    GONE = "gone"


# Outcomes that prove that the host never executed the attempt.
NEVER_EXECUTED = frozenset(
    (
        AttemptOutcome.QUEUE_FULL,
        AttemptOutcome.UNCONNECTED,
        AttemptOutcome.CONNECTION_REFUSED,
        AttemptOutcome.REDIRECTED,
        AttemptOutcome.NEVER_SENT,
        AttemptOutcome.CACHE_MISS,
    )
)


@dataclass(slots=True, eq=False)
class HostState:
    """The state of one cache host or one origin, as known to this process."""

    id: str
    is_origin: bool
    state: HostStatus = HostStatus.GONE  # its status in discovery's list
    started_at_us: int = -1  # last start of its process, from discovery's list; 0: long ago
    zone: str = ""
    cell: str = ""
    weight: float = 1.0  # relative capacity, from discovery's list
    range_size: int = 0  # size of its hash range, in slots

    # The adaptive concurrency limit.
    in_flight: int = 0  # attempts sent by this process
    in_flight_elsewhere: int = 0  # attempts sent by another process of this balancer
    # In attempts; below 1 it is the probability that one is sent while none is in flight.
    concurrency_limit: float = 0.0
    limit_floor: float = 1.0  # minimum of the limit, in attempts
    limit_decreased_at_us: int = 0  # last decrease of the limit; 0: never decreased
    capacity_checks: int = 0  # capacity checks since a limit below 1 was last set
    smoothed_latency_us: int = 0  # moving average of the latencies recorded for it
    latency_recorded_at_us: int = 0  # when the average was last updated
    min_latency_us: int = 0  # lowest latency of its answers; 0: none
    previous_min_latency_us: int = 0  # `min_latency_us` at the end of the previous window
    min_latency_window_start_us: int = 0  # start of the current window
    last_response_at_us: int = 0  # time of its last answer, misses and redirections included

    # Load measurements by which hash ranges are resized and overloaded caches found.
    # Attempts since the last rebalance; one rejected because its queue was full counts twice.
    attempt_count: int = 0
    counted_since_us: int = 0  # start of the count above
    reported_request_rate: float = -1.0  # requests per second, last reported; negative: no report
    reported_in_flight: float = 0.0  # attempts of all balancers, in its last load report
    reported_at_us: int = -1 << 60  # when its last load report arrived

    # Outlier ejection and retries.
    ejected_until_us: int = 0  # it gets no attempts before this time
    retry_budget: float = 0.0  # in attempts; earned by answers, spent by further attempts

    # Slow start.
    warm_at_us: int = 0  # its cache counts as cold before this time
    placements_at_last_draw: int = 0  # `SlowStart.placements` at its last random draw while cold

    @property
    def total_in_flight(self) -> int:
        """Attempts in flight there from all processes of this balancer."""
        return self.in_flight + self.in_flight_elsewhere


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of a request at one host: the first one, a retry or a hedged request."""

    request: Request
    host: HostState
    started_at_us: int  # when it was placed, or later, when its streamed body was complete
    outcome: AttemptOutcome | None = None  # None while it is in flight


@dataclass(slots=True, eq=False)
class Request:
    """A request, kept from its arrival until it is answered and its last attempt has ended."""

    id: int
    request_class: RequestClass
    tenant: str
    key: int | None
    slot: int  # the slot of its key in the hash space
    is_write: bool
    received_at_us: int  # when its last byte arrived
    deadline_us: int  # when its client stops waiting
    max_attempts: int
    idempotency: Idempotency = Idempotency.UNKEYED  # what it tells of repeats itself
    handled_at_us: int = 0  # when the host program passed it to the decisions
    is_client_retry: bool = False  # its client marked it as a retry
    attempts: list[Attempt] = field(default_factory=list)
    in_flight: int = 0  # attempts in flight
    answered: bool = False  # its final answer was given, or its client disconnected
    cache_missed: bool = False  # a cache lacked the key, so the origin has to serve it
    body_streaming: bool = False  # its body is incomplete: not yet counted in its host's in_flight
    queued: bool = False  # it waits in the queue of a stage
    # Why it is rejected when its queue time expires.
    queue_timeout: RejectionReason = RejectionReason.CACHE_QUEUE_TIMEOUT
    retry_refusal: RejectionReason | None = None  # why its last failure was not retried at a cache
    attempt_cancelled: bool = False  # one of its attempts was cancelled because it was overdue
    redirects: int = 0  # redirections received
    redirect_target: HostState | None = None  # the host that the last redirection named
    owner_offset: int = 0  # ring positions from its slot's owner to its cache, for a hot key

    @property
    def attempts_used(self) -> int:
        """Attempts that count against `max_attempts`; redirected ones were not executed."""
        return len(self.attempts) - self.redirects

    @property
    def repeat_safety(self) -> RepeatSafety:
        """The consequence of a second execution."""
        return repeat_safety(self.request_class, self.idempotency)


def possibly_executed(attempts: Sequence[Attempt]) -> list[Attempt]:
    """Return the attempts that were possibly executed or may still be."""
    return [attempt for attempt in attempts if attempt.outcome not in NEVER_EXECUTED]
