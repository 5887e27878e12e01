"""One request on the network: from its last byte to its answer and the end of the last of its
attempts.
"""

from __future__ import annotations

from collections.abc import Callable, MutableMapping
from typing import TYPE_CHECKING, Any, Protocol, cast

from orchidgap.decisions.records import NEVER_EXECUTED, AttemptOutcome
from orchidgap.net.body_stream import Upload
from orchidgap.net.event_log import EventLog
from orchidgap.net.loop import Loop, Timer
from orchidgap.net.request_handler import Responder
from orchidgap.net.traffic_counts import RequestEnd, TrafficCounts
from orchidgap.net.upstream_attempt import ResponseSink, UpstreamAttempt

if TYPE_CHECKING:
    from orchidgap.decisions.balancer import Balancer

ANSWER_MARGIN_US = (
    20_000  # the answer is out this long before the client timeout: timers can be late
)
# the time of a request whose body still comes; until its end it goes by what comes, see the
# protocol's server
UPLOAD_TIME_US = 3_600_000_000


class ExchangeNode(Protocol):
    """The node, as far as its exchanges use it."""

    open_request_ids: set[bytes]
    traffic_counts: TrafficCounts

    @property
    def loop(self) -> Loop:
        """What calls back."""

    @property
    def balancer(self) -> Balancer:
        """What decides."""

    @property
    def event_log(self) -> EventLog:
        """Where events are written."""

    @property
    def exchanges(self) -> MutableMapping[int, Exchange]:
        """The requests under way, by number."""

    def call_decisions(
        self, call: Callable[..., None], *args: Any, exchange: Exchange | None = None
    ) -> None:
        """Make one call of the decisions; where it fails, the exchange is answered."""

    def on_load_report(self, attempt: UpstreamAttempt) -> None:
        """A host told of its load with an answer."""

    def release_if_done(self, exchange: Exchange) -> None:
        """Forget an exchange that is closed and has no attempt in flight."""


class Exchange:
    """One request on the network. It is closed once it has its answer, or nobody waits for one."""

    __slots__ = (
        "attempts",
        "body",
        "client",
        "closed",
        "deadline_timer",
        "deadline_us",
        "fallback_status",
        "head",
        "node",
        "number",
        "request_id",
        "streaming_attempt",
        "time_remaining_us",
        "upload",
    )

    def __init__(
        self,
        node: ExchangeNode,
        number: int,
        request_id: bytes,
        client: Responder,
        head: bytes,
        body: bytes,
        time_remaining_us: int,
        upload: Upload | None,
        timed: bool = True,
    ) -> None:
        """`number` is the node's own, `request_id` the client's; `upload` is the body, while that
        still comes. `timed` is false for an exchange that only ends an answer that flows already.
        """
        self.node = node
        self.number = number
        self.request_id = request_id
        self.client = client
        self.head = head
        self.body = body
        self.time_remaining_us = time_remaining_us  # when the last byte came
        self.upload = upload
        self.closed = False
        self.streaming_attempt: UpstreamAttempt | None = None  # whose answer flows to the client
        self.attempts: list[UpstreamAttempt] = []
        self.deadline_timer: Timer | None = None
        self.fallback_status = 0  # the answer to a failed attempt that the decisions do not know of
        node.open_request_ids.add(request_id)
        if not upload and timed:
            self.start_deadline()
            return
        self.deadline_us = node.loop.now + UPLOAD_TIME_US
        if upload:
            upload.on_discarded = self.on_body_discarded

    def start_deadline(self) -> None:
        """The time runs from the last byte. The client counts from its send, and a loop that was
        held up learns of that late.
        """
        margin_us = min(ANSWER_MARGIN_US, self.time_remaining_us // 4)
        self.deadline_us = self.client.received_at_us + self.time_remaining_us - margin_us
        if not self.closed:
            self.deadline_timer = self.node.loop.call_at(self.deadline_us, self.on_deadline)

    def remaining_us(self, now_us: int) -> int:
        """How long it may take from then on."""
        return max(0, self.deadline_us - now_us)

    def waited_us(self, now_us: int) -> int:
        """How long before then it could have been handled; 0 while its last byte is to come.

        What waited behind others of its client has its latency objective from its turn; its
        deadline runs from its arrival all the same.
        """
        if self.upload and not self.upload.complete:
            return 0
        since_us = max(self.client.received_at_us, self.client.turn_at_us)
        return max(0, now_us - since_us)

    @property
    def has_begun(self) -> bool:
        """Whether it is answered or an attempt of it was sent; else it waits for a host."""
        return self.closed or bool(self.attempts)

    def on_body_complete(self) -> None:
        """The last byte of a body that flows is there."""
        self.start_deadline()
        if self.closed:
            return
        for attempt in self.attempts:
            attempt.deadline_us = self.deadline_us
        self.node.call_decisions(self.decide_body_complete, exchange=self)

    def decide_body_complete(self) -> None:
        """Tell the decisions that its body is whole, with its times as of their own clock."""
        balancer = self.node.balancer
        balancer.on_body_complete(
            self.number, self.remaining_us(balancer.now), self.waited_us(balancer.now)
        )

    def on_body_discarded(self) -> None:
        """The body cannot be sent another time."""
        self.node.call_decisions(self.node.balancer.on_body_discarded, self.number, exchange=self)

    # --- its answer

    def answer(
        self, status: int, body: bytes = b"", retry_after_us: int = 0, length: int | None = None
    ) -> None:
        """Answer the client, unless it has its answer; `retry_after_us` is for the client."""
        if not self.closed:
            self.close()
            self.node.traffic_counts.on_answered(status)
            self.client.answer(status, body, retry_after_us, length)

    def close(self) -> None:
        """It has its answer, or nobody waits for one. Its deadline timer runs on for the attempts
        in flight: they cannot be cancelled everywhere, and would be waited for without end.
        """
        self.closed = True
        for attempt in self.attempts:
            upload = attempt.upload
            if upload and not (
                upload.complete or attempt.settled or attempt is self.streaming_attempt
            ):
                # what never comes whole is never executed, so this cancels nothing; its host would
                # wait for ever
                self.cancel_attempt(attempt)
        if not self.streaming_attempt:
            self.node.open_request_ids.discard(self.request_id)
            self.node.release_if_done(self)

    def start_streaming(self, number: int) -> ResponseSink | None:
        """This attempt's answer is the final one, and its body flows: who takes it, or None."""
        if self.closed:
            return None
        self.streaming_attempt = self.attempts[number]
        self.close()
        self.node.traffic_counts.on_request_end(RequestEnd.STREAMED)
        self.node.call_decisions(
            self.node.balancer.on_outcome, self.number, number, AttemptOutcome.DONE, True
        )
        return cast(
            ResponseSink, self.client
        )  # only protocols whose clients take bodies that flow ask

    def finish_streaming(self, whole: bool) -> None:
        """All that there is of the body has been passed on; whether that is the whole."""
        attempt = self.streaming_attempt
        self.streaming_attempt = None
        self.node.open_request_ids.discard(self.request_id)
        cast(ResponseSink, self.client).end(whole)
        if not whole and attempt:
            self.node.call_decisions(self.node.balancer.on_response_truncated, attempt.host)

    # --- what ends it early

    def cancel_attempt(self, attempt: UpstreamAttempt) -> None:
        """End an attempt; its owner is told after the call under way."""
        failure = attempt.abandon("cancelled")
        self.node.loop.call_soon(attempt.settle, failure.outcome)

    def on_client_disconnect(self) -> None:
        """Nobody waits for the answer any more."""
        if self.streaming_attempt:
            attempt = self.streaming_attempt
            self.streaming_attempt = None
            self.node.open_request_ids.discard(self.request_id)
            self.cancel_attempt(attempt)
        if self.closed:
            return
        self.close()
        self.node.traffic_counts.on_request_end(RequestEnd.CLIENT_DISCONNECTED)
        self.node.call_decisions(self.node.balancer.on_client_disconnect, self.number)
        if self.fallback_status:  # the decisions do not know of its attempts
            for attempt in self.attempts:
                self.cancel_attempt(attempt)

    def on_deadline(self) -> None:
        """Its time is up: attempts in flight have timed out, and the answer goes out now whatever
        comes of that.
        """
        for attempt in self.attempts:
            if not attempt.settled and attempt is not self.streaming_attempt:
                attempt.settle(attempt.abandon("overdue").outcome)
        if not self.closed:
            self.node.event_log("unanswered", req=self.number)
            self.node.call_decisions(self.node.balancer.on_client_disconnect, self.number)
            self.answer(500)

    # --- what its attempts ask and tell

    def may_send(self, number: int) -> bool:
        """Whether this attempt may still begin; asked in the moment before its first byte is
        written, which a turn that was held up brings late.
        """
        if self.closed:
            return False
        latest_us = min(self.deadline_us, self.node.balancer.latest_start_us(self.number, number))
        if self.node.loop.clock() >= latest_us:
            return False
        return not self.client.has_disconnected()

    def on_settled(self, number: int, outcome: AttemptOutcome, body: bytes) -> None:
        """What came of an attempt: answer what has its final answer, then tell the decisions."""
        attempt = self.attempts[number]
        if outcome == AttemptOutcome.REDIRECTED:
            self.node.call_decisions(
                self.node.balancer.on_redirected,
                self.number,
                number,
                attempt.redirect_host,
                exchange=self,
            )
        elif self.streaming_attempt is attempt:
            self.finish_streaming(outcome == AttemptOutcome.DONE)
        else:
            if outcome == AttemptOutcome.DONE:
                self.answer(200, body, length=attempt.length)
            elif outcome == AttemptOutcome.INVALID_REQUEST:
                # any other host would say the same
                self.answer(400, body, length=attempt.length)
            self.node.call_decisions(
                self.node.balancer.on_outcome,
                self.number,
                number,
                outcome,
                self.closed,
                exchange=self,
            )
            if attempt.load_report:
                self.node.on_load_report(attempt)
            if self.fallback_status and not self.closed:
                self.answer(503 if outcome in NEVER_EXECUTED else self.fallback_status)
        self.node.release_if_done(self)

    # --- between two processes of this balancer

    def detach(self) -> None:
        """It goes on in another process."""
        if not self.closed:
            self.node.traffic_counts.on_request_end(RequestEnd.MIGRATED)
        self.closed = True
        self.streaming_attempt = None
        if self.deadline_timer:
            self.deadline_timer.cancel()
        self.node.open_request_ids.discard(self.request_id)
        self.node.exchanges.pop(self.number, None)

    def attach(self, attempt: UpstreamAttempt, is_streaming: bool) -> None:
        """It comes from another process with its attempt, whose answer flows already or is
        awaited.
        """
        self.attempts = [attempt]
        self.closed = is_streaming
        self.streaming_attempt = attempt if is_streaming else None
        if not is_streaming:
            self.node.traffic_counts.requests_adopted += 1
        self.node.exchanges[self.number] = self
