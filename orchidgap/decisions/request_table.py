"""All open requests and known hosts by id: outcomes are booked once, final answers given once.

Whatever stage rejects a request calls `RequestTable.reject`. Reasons, and where each is decided:

| reason                                                        | decided by                    |
| ------------------------------------------------------------- | ----------------------------- |
| its tenant is over its share under overload                   | `Admission.forward`           |
| the oldest request that waits for a cache has waited too long | `Admission.forward`           |
| no cache accepts it, and no attempt in flight will make room  | `Placement.forward`           |
| the same of the server that owns its slot                     | `forward_to_slot_owner`       |
| no origin may take it, or waiting for one would be too long   | `Origin.forward`              |
| no origin may take it any more after it has waited            | `Origin.drain_queue`          |
| it has used up its attempts                                   | `Dispatch.forward`            |
| its last attempt failed, and no stage has another one for it  | `Admission.on_attempt_done`   |
| it waited in a stage until its objective or its client's time | `Balancer.start_queue_timer`  |

Each is counted by its `RejectionReason`, which tells more: what closed the cache, the origin or the
next attempt.

The client is denied where its own retry is harmless, else its request is aborted (`ports.Port`);
`RetryPolicy.retry_after_us` decides which. What a request is answered before it comes here, or
without the decisions, is listed in `docs/architecture.md`.
"""

from __future__ import annotations

from collections import Counter
from typing import Protocol

from orchidgap.decisions import retry_policy
from orchidgap.decisions.ports import Port
from orchidgap.decisions.records import Attempt, AttemptOutcome, HostState, Request
from orchidgap.decisions.rejections import RejectionReason
from orchidgap.decisions.retry_policy import RetryPolicy
from orchidgap.decisions.settings import ServiceSettings
from orchidgap.decisions.timer_queue import TimerQueue


class AttemptListener(Protocol):
    """Who decides what follows from an outcome."""

    def on_attempt_done(self, request: Request, attempt: Attempt) -> None:
        """An attempt of the request has its outcome."""


class RequestTable(TimerQueue):
    """Takes ids from the host program.

    A request stays here until it is answered and none of its attempts is in flight.

    Attributes:
        settings: What the service is set to.
        retry_policy: When a request may have another attempt.
        requests: By id.
        hosts: By id, in the order of their ids.
        attempt_listener: Hears of each outcome once.
        rejections: Requests given up since the start, by reason.
    """

    attempt_listener: AttemptListener

    def __init__(self, settings: ServiceSettings, port: Port, now: int) -> None:
        """Start empty at the time `now`, in microseconds."""
        super().__init__(port, now)
        self.settings = settings
        self.retry_policy = RetryPolicy.from_settings(settings)
        self.requests: dict[int, Request] = {}
        self.hosts: dict[str, HostState] = {}
        self.rejections: Counter[RejectionReason] = Counter()

    def on_settings(self, settings: ServiceSettings) -> None:
        """Follow new settings at once; open requests keep their class and number of attempts."""
        self.settings = settings
        self.retry_policy = RetryPolicy.from_settings(settings)

    def may_retry(self, request: Request, host: HostState) -> bool:
        """Whether the request may have one more attempt, at this host."""
        return self.retry_policy.allows(request, host, self.now)

    def reject_if_idle(self, request: Request, reason: RejectionReason) -> None:
        """Give the request up, unless it is answered or an attempt of it is in flight."""
        if not request.answered and not request.in_flight:
            self.reject(request, reason)

    def reject(self, request: Request, reason: RejectionReason) -> None:
        """Give the request up: denied where a retry is harmless, aborted otherwise."""
        self.rejections[reason] += 1
        retry_after_us = self.retry_policy.retry_after_us(request, request.request_class, self.now)
        if retry_after_us is None:
            self.port.abort(request.id)
        else:
            self.port.deny(request.id, retry_after_us)
        self.close_request(request)

    def close_request(self, request: Request) -> None:
        """The request has its final answer, or nobody waits for one."""
        request.answered = True
        if not request.in_flight:
            self.requests.pop(request.id, None)

    def latest_start_us(self, request_id: int, number: int) -> int:
        """Until when the attempt may be written to its host; 0 for an unknown request."""
        request = self.requests.get(request_id)
        return 0 if request is None else retry_policy.latest_start_us(request, number)

    def on_outcome(
        self, request_id: int, number: int, outcome: AttemptOutcome, answered: bool
    ) -> None:
        """An attempt has its outcome; an unknown attempt or a second outcome changes nothing.

        Args:
            request_id: The request.
            number: Which of its attempts.
            outcome: What became of it.
            answered: Whether the client has its final answer by it.
        """
        request = self.requests.get(request_id)
        if request is None or number >= len(request.attempts) or request.attempts[number].outcome:
            return
        attempt = request.attempts[number]
        attempt.outcome = outcome
        request.in_flight -= 1
        if not request.body_streaming:
            attempt.host.in_flight -= 1
        if answered:
            self.close_request(request)
        self.attempt_listener.on_attempt_done(request, attempt)
        if request.answered and not request.in_flight:
            self.requests.pop(request_id, None)

    def on_client_disconnect(self, request_id: int) -> None:
        """Nobody waits for an answer any more."""
        request = self.requests.get(request_id)
        if request is not None:
            self.close_request(request)

    def on_body_discarded(self, request_id: int) -> None:
        """The request's body is not kept: no further attempt can carry it."""
        request = self.requests.get(request_id)
        if request is not None:
            request.max_attempts = request.attempts_used

    def on_sibling_in_flight(self, attempts: dict[str, int]) -> None:
        """Another process of this balancer has so many attempts in flight, by host id."""
        for host_id, host in self.hosts.items():
            host.in_flight_elsewhere = attempts.get(host_id, 0)
