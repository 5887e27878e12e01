"""The second stage: at most one fetch of a key from the origin at a time.

After a flush many clients request the same few keys. The first request that misses a key fetches
it (the leader); later requests for the key (its followers) wait for that and then go to the cache.
"""

from __future__ import annotations

from orchidgap.decisions.pipeline import PipelineContext, Stage
from orchidgap.decisions.records import Attempt, AttemptOutcome, HostState, Request
from orchidgap.decisions.rejections import RejectionReason


class Coalescing(Stage):
    """Shares fetches between requests for the same key.

    Attributes:
        fetches: For each key that is being fetched, the leader and then its followers.
    """

    def __init__(self, context: PipelineContext) -> None:
        """Start with no fetches."""
        super().__init__(context)
        self.fetches: dict[int | None, list[Request]] = {}

    def forward(self, request: Request, host: HostState | None = None) -> None:
        """Queue a read of a key that is being fetched; a miss of any other key leads a fetch."""
        if not request.is_write and request.key is not None:
            if request.key in self.fetches:
                self.fetches[request.key].append(request)
                self.context.start_queue_timer(request, RejectionReason.FETCH_QUEUE_TIMEOUT)
                return
            if request.cache_missed:
                self.fetches[request.key] = [request]
        self.next_stage.forward(request)

    def on_attempt_done(self, request: Request, attempt: Attempt) -> None:
        """Start a fetch, or join one, after the first cache miss of a read."""
        is_cache_miss = attempt.outcome == AttemptOutcome.CACHE_MISS and not attempt.host.is_origin
        needs_fetch = not (request.answered or request.is_write or request.cache_missed)
        if is_cache_miss and needs_fetch:
            request.cache_missed = True
            self.forward(request)
            return
        self.previous_stage.on_attempt_done(request, attempt)

    def on_request_closed(self, request: Request, filled: bool) -> None:
        """Forward a closed leader's followers: to the cache if it has the key, else to a new fetch.

        Args:
            request: The closed request.
            filled: Whether the cache has the key now.
        """
        fetch = self.fetches.get(request.key)
        if fetch is None or fetch[0] is not request:
            return
        del self.fetches[request.key]
        for follower in fetch[1:]:
            if not follower.answered:
                follower.cache_missed = follower.cache_missed and not filled
                self.forward(follower)
