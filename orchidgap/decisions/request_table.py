"""All open requests and known hosts by id; each outcome and final answer is recorded only once.

A stage that rejects a request calls `RequestTable.reject`. Reasons, and where each is decided:

| reason                                                        | decided by                    |
| ------------------------------------------------------------- | ----------------------------- |
| its tenant exceeds its share under overload                   | `Admission.forward`           |
| the oldest request queued for a cache has waited too long     | `Admission.forward`           |
| no cache accepts it, and no attempt there will free capacity  | `Placement.forward`           |
| the same for the server that owns its slot                    | `forward_to_slot_owner`       |
| no origin may execute it, or the wait would be too long       | `Origin.forward`              |
| no origin may execute it any more after it was queued         | `Origin.drain_queue`          |
| it has used up its attempts                                   | `Dispatch.forward`            |
| its last attempt failed, and no stage starts another one      | `Admission.on_attempt_done`   |
| it was queued until its objective or its deadline expired     | `Balancer.start_queue_timer`  |

Each is counted under its `RejectionReason`, which is more specific: it names the condition that
ruled out the cache, the origin or the next attempt.

The request is denied if a retry by its client is harmless, else it is aborted (`ports.Port`);
`RetryPolicy.retry_after_us` decides which. Answers that a client gets before its request is passed
to the decisions, or without them, are listed in `docs/architecture.md`.
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
    """Decides what follows the outcome of an attempt."""

    def on_attempt_done(self, request: Request, attempt: Attempt) -> None:
        """Handle the outcome of an attempt."""


class RequestTable(TimerQueue):
    """Maps the ids that the host program uses to requests and hosts.

    A request is kept until it is answered and none of its attempts is in flight.

    Attributes:
        settings: The service's settings.
        retry_policy: The rules on further attempts of a request.
        requests: Open requests by id.
        hosts: Known hosts by id, in the order of their ids.
        attempt_listener: It is notified of each outcome once.
        rejections: How many requests were rejected since the start, by reason.
    """

    attempt_listener: AttemptListener

    def __init__(self, settings: ServiceSettings, port: Port, now: int) -> None:
        """Start empty; `now` is the current time in microseconds."""
        super().__init__(port, now)
        self.settings = settings
        self.retry_policy = RetryPolicy.from_settings(settings)
        self.requests: dict[int, Request] = {}
        self.hosts: dict[str, HostState] = {}
        self.rejections: Counter[RejectionReason] = Counter()

    def on_settings(self, settings: ServiceSettings) -> None:
        """Apply new settings at once; open requests keep their class and maximum of attempts."""
        self.settings = settings
        self.retry_policy = RetryPolicy.from_settings(settings)

    def may_retry(self, request: Request, host: HostState) -> bool:
        """Return whether the request may have one more attempt, at this host."""
        return self.retry_policy.allows(request, host, self.now)

    def reject_if_idle(self, request: Request, reason: RejectionReason) -> None:
        """Reject the request, unless it is answered or one of its attempts is in flight."""
        if not request.answered and not request.in_flight:
            self.reject(request, reason)

    def reject(self, request: Request, reason: RejectionReason) -> None:
        """Reject the request: deny it if a retry is harmless, abort it otherwise."""
        self.rejections[reason] += 1
        retry_after_us = self.retry_policy.retry_after_us(request, request.request_class, self.now)
        if retry_after_us is None:
            self.port.abort(request.id)
        else:
            self.port.deny(request.id, retry_after_us)
        self.close_request(request)

    def close_request(self, request: Request) -> None:
        """Mark the request as answered, or as abandoned by its client."""
        request.answered = True
        if not request.in_flight:
            self.requests.pop(request.id, None)

    def latest_start_us(self, request_id: int, number: int) -> int:
        """Return the latest time to write the attempt to its host; 0 for an unknown request."""
        request = self.requests.get(request_id)
        return 0 if request is None else retry_policy.latest_start_us(request, number)

    def on_outcome(
        self, request_id: int, number: int, outcome: AttemptOutcome, answered: bool
    ) -> None:
        """Record the outcome of an attempt; unknown attempts and second outcomes are ignored.

        Args:
            request_id: The id of the request.
            number: The index of the attempt among its attempts, from 0.
            outcome: The result of the attempt.
            answered: Whether the attempt gave the client its final answer.
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
        """Close the request: its client does not wait for an answer any more."""
        request = self.requests.get(request_id)
        if request is not None:
            self.close_request(request)

    def on_body_discarded(self, request_id: int) -> None:
        """Rule out further attempts: the body was discarded, so none could send it."""
        request = self.requests.get(request_id)
        if request is not None:
            request.max_attempts = request.attempts_used

    def on_sibling_in_flight(self, attempts: dict[str, int]) -> None:
        """Record how many attempts the sibling process has in flight, by host id."""
        for host_id, host in self.hosts.items():
            host.in_flight_elsewhere = attempts.get(host_id, 0)
