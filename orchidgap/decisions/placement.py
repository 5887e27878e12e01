"""The third stage: selects the cache for a key, usually the owner of the key's hash range.

| rule                                                                | function                |
| ------------------------------------------------------------------- | ----------------------- |
| The owner of the range serves the key.                              | `choose_host`           |
| A neighbour serves it if the owner has failed the request.          | `choose_host`           |
| A neighbour serves it if the owner is ejected, full or cold.        | `accepts`               |
| A hot key is served by its owner or neighbours, chosen at random.   | `_spread_hot_key`       |
| A read that no cache accepts goes to an origin with spare capacity. | `forward`               |
| A read whose miss could not be followed by a fetch goes there too.  | `should_skip_caches`    |
| While all caches are cold, a miss is not queued for an origin.      | `forward`               |
| A failed attempt at a cache is retried at a cache.                  | `on_attempt_done`       |
| If servers own their slots, only the owner serves the key.          | `forward_to_slot_owner` |
"""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence

from orchidgap.decisions.hash_ranges import HashRanges
from orchidgap.decisions.hot_keys import HotKeyDetector
from orchidgap.decisions.load_reports import LoadReports
from orchidgap.decisions.origin import Origin
from orchidgap.decisions.pipeline import PipelineContext, Stage
from orchidgap.decisions.rebalancing import Rebalancer
from orchidgap.decisions.records import Attempt, AttemptOutcome, HostState, HostStatus, Request
from orchidgap.decisions.rejections import RejectionReason
from orchidgap.decisions.retry_policy import (
    INITIAL_RETRY_BUDGET,
    RETRY_COST,
    RETRYABLE_OUTCOMES,
    has_retry_budget,
)
from orchidgap.decisions.slot_map import RedirectAction, redirect_action
from orchidgap.decisions.slow_start import SlowStart

HOT_KEY_OFFSETS = (0, -1, 1, -2, 2)  # ring positions from a hot key's owner to its caches
MAX_NEIGHBOURS = 2  # on each side: a wider search scatters keys, and each is fetched again
# How often the owner is checked before a neighbour is chosen: a check is random if the owner's
# limit is below 1.
OWNER_CHECKS = 2
# Attempts that are counted for each check in which the owner is at its limit: without them an
# overloaded range would grow.
REFUSED_REQUEST_ATTEMPTS = 2

# Outcomes that are no failure of the cache: the same cache may get the next attempt.
NON_FAILURE_OUTCOMES = frozenset((AttemptOutcome.CACHE_MISS, AttemptOutcome.STALE_CONNECTION))
CANCELLED_OUTCOMES = frozenset((AttemptOutcome.CANCELLED, AttemptOutcome.NEVER_SENT))


class Placement(Stage):
    """Selects caches for requests.

    Attributes:
        ranges: The hash ranges, which determine the owner of each slot.
        ring: The ready caches in the order of their ids: the same list as `ranges.ring`.
        all_caches: The combined latency, retry budget and attempt count of all caches.
        hot_keys: Detects keys that are read too often for a single cache.
        slow_start: Limits the attempts at cold caches.
        load_reports: Limits caches that report far more attempts in flight than others.
        rebalancer: Resizes the ranges.
    """

    def __init__(self, context: PipelineContext, origin: Origin) -> None:
        """Start without caches; reads may be sent to this origin stage if it has capacity."""
        super().__init__(context)
        self.origin = origin
        self.ranges = HashRanges(context.settings.uses_listed_weights)
        self.ring = self.ranges.ring
        self.all_caches = HostState("", False, retry_budget=INITIAL_RETRY_BUDGET)
        self.hot_keys = HotKeyDetector()
        self.slow_start = SlowStart(context, self.ranges)
        self.load_reports = LoadReports(context, context.limiter)
        self.rebalancer = Rebalancer(context, self.ranges, self.all_caches)

    def update_ring(self, ready: Sequence[HostState]) -> None:
        """Apply a new host list; `ready` holds all ready caches in the order of their ids."""
        if self.ring != ready:
            self.rebalancer.on_list_changed()
        self.ranges.set_ring(ready)
        self.slow_start.on_ring_changed()

    def tick(self) -> None:
        """Re-evaluate load reports, resize ranges if that is due, and update slow start."""
        self.load_reports.refresh(self.ring)
        self.rebalancer.tick()
        self.slow_start.tick()

    def forward(self, request: Request, host: HostState | None = None) -> None:
        """Pass the request down with its cache or to the origin; else queue or reject it."""
        if self.context.slot_map:
            self.forward_to_slot_owner(request)
            return
        is_for_origin = request.is_write and self.context.settings.origin_kind
        if is_for_origin or request.cache_missed:
            if not request.is_write and self.slow_start.all_are_cold():
                self.origin.forward_if_spare_capacity(request)
            else:
                self.next_stage.forward(request)
            return
        self._spread_hot_key(request)
        chosen = None if self.should_skip_caches(request) else self.choose_host(request)
        if chosen:
            self.next_stage.forward(request, chosen)
        elif not request.is_write and self._origin_accepts_read():
            self.slow_start.on_not_placed(request)
            # It passes through the coalescing stage again, so that fetches of one key are shared.
            request.cache_missed = True
            self.previous_stage.forward(request)
        elif self.ring and self.ring[self.preferred_index(request)].in_flight:
            self.enqueue(request)
        else:  # nothing is in flight there whose end would free capacity
            self.slow_start.on_not_placed(request)
            self.context.reject(request, self._refusal_reason(request))

    def _origin_accepts_read(self) -> bool:
        """Return whether an origin has capacity for a read that no cache accepts."""
        if self.origin.has_spare_capacity():
            return True
        return self.slow_start.all_are_cold() and self.origin.is_idle()

    def should_skip_caches(self, request: Request) -> bool:
        """Return whether a read should skip caches: it has one attempt left, the origin capacity.

        If that attempt missed at a cache, no fetch could follow.
        """
        is_last = request.attempt_cancelled or request.attempts_used + 1 >= request.max_attempts
        return is_last and not request.is_write and self.origin.has_spare_capacity()

    def choose_host(self, request: Request) -> HostState | None:
        """Return the request's preferred cache, else the nearest neighbour that accepts it.

        The preferred cache is the owner of the key's slot, unless the key is hot. It is skipped if
        it has failed this request or `accepts` returns False.

        At most two neighbours on each side are checked. They are the same for all requests of a
        range, so they soon cache its hot keys. Of two at the same distance, the one on the side of
        the key's half of the range is first: it takes over that half if the owner leaves the list,
        so the keys stay with it.
        """
        if self.context.slot_map:
            return self._ready_slot_owner(request)
        ring = self.ring
        if not ring:
            return None
        owner_index = self.preferred_index(request)
        owner = ring[owner_index]
        excluded_hosts = [
            attempt.host
            for attempt in request.attempts
            if attempt.outcome not in NON_FAILURE_OUTCOMES
        ]
        for _ in range(OWNER_CHECKS):
            if self.accepts(owner) and owner not in excluded_hosts:
                return owner
            if not self.context.limiter.has_capacity(owner):
                owner.attempt_count += REFUSED_REQUEST_ATTEMPTS
        middle = self.ranges.range_ends[owner_index] - owner.range_size // 2
        side = 1 if request.slot >= middle else -1
        for distance in range(1, min(MAX_NEIGHBOURS, len(ring) // 2) + 1):
            for offset in (side * distance, -side * distance):
                neighbour = ring[(owner_index + offset) % len(ring)]
                if self.accepts(neighbour) and neighbour not in excluded_hosts:
                    return neighbour
        return None

    def preferred_index(self, request: Request) -> int:
        """Return the ring index of the first choice: the slot's owner or, if hot, a neighbour."""
        owner_index = self.ranges.owner_index(request.slot)
        return (owner_index + request.owner_offset) % len(self.ring)

    def accepts(self, host: HostState) -> bool:
        """Return whether a cache accepts an attempt now: not ejected, at its limit or too cold."""
        now = self.context.now
        if now < host.ejected_until_us or not self.context.limiter.has_capacity(host):
            return False
        if now >= host.warm_at_us:
            return True
        return self.slow_start.admits(host)

    def forward_to_slot_owner(self, request: Request) -> None:
        """Pass the request down with the server that owns its slot; no other can serve it."""
        ready_owner = self._ready_slot_owner(request)
        if ready_owner and self._cannot_answer_in_time(request, ready_owner):
            self.context.reject(request, RejectionReason.TOO_LITTLE_TIME)
            return
        if ready_owner:
            self.next_stage.forward(request, ready_owner)
            return
        owner = self.context.slot_owner(request)
        frees_no_capacity = owner and (owner.state != HostStatus.READY or not owner.in_flight)
        if owner and frees_no_capacity:
            self.context.reject(request, self._owner_refusal_reason(owner))
            return
        self.enqueue(request)  # until the owner has capacity, or an owner is known

    def oldest_wait_for_owner_us(self, owner: HostState | None) -> int:
        """Return the time since the first request queued for this server was handled."""
        for request in self.queue:
            if not request.answered and self.context.slot_owner(request) is owner:
                return self.context.now - request.handled_at_us
        return 0

    def drain_queue(self) -> None:
        """Forward queued requests, as far as caches have capacity.

        If servers own their slots, one at its limit must not block requests for other servers.
        """
        if not self.context.slot_map:
            super().drain_queue()
            return
        waiting = self.queue
        self.queue = deque()
        for request in waiting:
            if request.answered:
                continue
            owner = self._ready_slot_owner(request)
            if owner and self._cannot_answer_in_time(request, owner):
                self.context.reject(request, RejectionReason.TOO_LITTLE_TIME)
            elif owner:
                self.next_stage.forward(request, owner)
            else:
                self.queue.append(request)

    def on_attempt_done(self, request: Request, attempt: Attempt) -> None:
        """Follow a redirection, or retry a failure of a cache; pass other outcomes up."""
        self.drain_queue()
        if self._should_follow_redirect(request, attempt):
            self.forward(request)
            return
        was_cancelled_here = request.attempt_cancelled and attempt.outcome in CANCELLED_OUTCOMES
        has_failed = attempt.outcome in RETRYABLE_OUTCOMES or was_cancelled_here
        is_cache_attempt = not (request.cache_missed or attempt.host.is_origin)
        if has_failed and is_cache_attempt and not request.answered:
            if not self.context.slot_map and self.should_skip_caches(request):
                self.forward(request)
                return
            if self._retry(request, attempt):
                return
        self.previous_stage.on_attempt_done(request, attempt)

    def _spread_hot_key(self, request: Request) -> None:
        """Count a new read, and choose one of several caches at random if its key is hot."""
        if request.is_write or request.attempts or request.key is None:
            return
        replicas = self.hot_keys.replica_count(request.key, len(self.ring))
        if replicas > 1:
            request.owner_offset = self.context.rng.choice(HOT_KEY_OFFSETS[:replicas])
        else:
            request.owner_offset = 0

    def _retry(self, request: Request, attempt: Attempt) -> bool:
        """Retry a failed request at a cache if possible, and return whether it was sent.

        A reused connection that broke is no failure of its host, so that retry costs no budget.
        """
        host = self.choose_host(request)
        costs_no_budget = attempt.outcome == AttemptOutcome.STALE_CONNECTION
        if host is None:
            request.retry_refusal = RejectionReason.NO_RETRY_CACHE
            return False
        if not (costs_no_budget or has_retry_budget(host)):
            request.retry_refusal = RejectionReason.RETRY_BUDGET
            return False
        if not self.context.may_retry(request, host):
            request.retry_refusal = RejectionReason.NOT_REPEATABLE
            return False
        if not costs_no_budget:
            host.retry_budget -= RETRY_COST
        self.next_stage.forward(request, host)
        return True

    def _refusal_reason(self, request: Request) -> RejectionReason:
        """Return why the preferred cache refused the request; its neighbours refused it too."""
        if not self.ring:
            return RejectionReason.NO_CACHE
        cache = self.ring[self.preferred_index(request)]
        return _refusal_reason(cache, self.context.now)

    def _owner_refusal_reason(self, owner: HostState) -> RejectionReason:
        if owner.state != HostStatus.READY:
            return RejectionReason.NO_OWNER
        return _refusal_reason(owner, self.context.now)

    def _should_follow_redirect(self, request: Request, attempt: Attempt) -> bool:
        """Return whether to follow a redirection; it is safe for any class, as nothing executed."""
        if attempt.outcome != AttemptOutcome.REDIRECTED or request.answered:
            return False
        target = request.redirect_target
        target_drains = target is not None and target.state != HostStatus.READY
        action = redirect_action(request.redirects - 1, target is not None, target_drains)
        return action is not RedirectAction.GIVE_UP

    def _cannot_answer_in_time(self, request: Request, owner: HostState) -> bool:
        """Return whether even the server's lowest latency exceeds the time to the deadline.

        A write sent so late may be executed after its client stopped waiting for the answer.
        """
        return request.deadline_us - self.context.now < owner.min_latency_us

    def _ready_slot_owner(self, request: Request) -> HostState | None:
        owner = self.context.slot_owner(request)
        is_ready = owner is not None and owner.state == HostStatus.READY
        return owner if owner and is_ready and self.accepts(owner) else None


def _refusal_reason(cache: HostState, now_us: int) -> RejectionReason:
    """Return why a cache refused a request, without random draws or changes of counts."""
    if now_us < cache.ejected_until_us:
        return RejectionReason.CACHE_EJECTED
    if now_us < cache.warm_at_us:
        return RejectionReason.SLOW_START
    if cache.concurrency_limit < 1.0 or cache.total_in_flight >= cache.concurrency_limit:
        return RejectionReason.CACHE_LIMIT
    return RejectionReason.CACHES_FAILED
