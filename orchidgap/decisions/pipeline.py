"""The interface of pipeline stages and the context that they share; it holds no rules."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from itertools import pairwise
from typing import Protocol

from orchidgap.decisions.concurrency_limit import ConcurrencyLimiter
from orchidgap.decisions.ports import Port, RuleContext
from orchidgap.decisions.records import Attempt, HostState, Request
from orchidgap.decisions.rejections import RejectionReason
from orchidgap.decisions.slot_map import SlotMap


class PipelineContext(RuleContext, Protocol):
    """The context shared by all stages, in addition to the time, settings and randomness.

    Attributes:
        port: The host program.
        limiter: The concurrency limits of all hosts.
        slot_map: The owners of slots if servers own their slots, else None.
    """

    port: Port
    limiter: ConcurrencyLimiter
    slot_map: SlotMap | None

    def call_later(self, delay_us: int, action: Callable[..., None], *arguments: object) -> None:
        """Call the action with these arguments after the delay."""

    def start_queue_timer(self, request: Request, reason: RejectionReason) -> None:
        """Mark the request as queued, and reject it for this reason when its time expires."""

    def drain_queues(self) -> None:
        """Forward queued requests, as far as hosts have capacity."""

    def slot_owner(self, request: Request) -> HostState | None:
        """Return the owner of the request's slot according to the servers."""

    def may_retry(self, request: Request, host: HostState) -> bool:
        """Return whether the request may have one more attempt, at this host (`retry_policy`)."""

    def reject(self, request: Request, reason: RejectionReason) -> None:
        """Reject the request with its final answer (`request_table` lists the reasons)."""

    def reject_if_idle(self, request: Request, reason: RejectionReason) -> None:
        """Reject the request, unless it is answered or one of its attempts is in flight."""


class Stage:
    """One step of the pipeline: passes requests down and outcomes of attempts up.

    Attributes:
        context: The context shared by all stages.
        queue: Requests that wait in this stage for a host, the next one first.
        queue_timeout: The reason recorded for requests that time out in this queue.
        next_stage: The stage below, which receives requests.
        previous_stage: The stage above, which receives outcomes.
    """

    next_stage: Stage
    previous_stage: Stage
    queue_timeout = RejectionReason.CACHE_QUEUE_TIMEOUT

    def __init__(self, context: PipelineContext) -> None:
        """Start with an empty queue."""
        self.context = context
        self.queue: deque[Request] = deque()

    def forward(self, request: Request, host: HostState | None = None) -> None:
        """Handle a request from above, with the host chosen for it, if any; pass it down."""
        self.next_stage.forward(request, host)

    def on_attempt_done(self, request: Request, attempt: Attempt) -> None:
        """Handle the outcome of an attempt from below, and pass it up."""
        self.previous_stage.on_attempt_done(request, attempt)

    def choose_host(self, request: Request) -> HostState | None:
        """Return the host to send the request to now; None if it has to wait."""
        raise NotImplementedError

    def enqueue(self, request: Request, first: bool = False) -> None:
        """Queue the request until a host has capacity, at the end or before all others."""
        if first:
            self.queue.appendleft(request)
        else:
            self.queue.append(request)
        self.context.start_queue_timer(request, self.queue_timeout)

    def drain_queue(self) -> None:
        """Forward queued requests, the oldest first, while `choose_host` finds a host."""
        while self.queue:
            request = self.queue[0]
            if request.answered:
                self.queue.popleft()
                continue
            host = self.choose_host(request)
            if host is None:
                return
            self.queue.popleft()
            self.next_stage.forward(request, host)

    def oldest_wait_us(self) -> int:
        """Return the time since the first unanswered request in the queue was handled, else 0.

        Time that it waited before the decisions received it does not depend on hosts.
        """
        for request in self.queue:
            if not request.answered:
                return self.context.now - request.handled_at_us
        return 0


def connect_stages(*stages: Stage) -> None:
    """Connect the stages to one pipeline, from the first stage to the last."""
    for above, below in pairwise(stages):
        above.next_stage = below
        below.previous_stage = above
