"""One request on the network, from its arrival to its answer and the end of its last attempt."""

from __future__ import annotations

from collections.abc import Callable, MutableMapping
from typing import TYPE_CHECKING, Any, Protocol, cast

from orchidgap.decisions.records import NEVER_EXECUTED, AttemptOutcome
from orchidgap.net.body_arrival import BodyArrival
from orchidgap.net.body_stream import Upload
from orchidgap.net.event_log import EventLog
from orchidgap.net.loop import Loop, Timer
from orchidgap.net.request_handler import Responder
from orchidgap.net.sent_request_ids import SentRequestIds
from orchidgap.net.traffic_counts import RequestEnd, TrafficCounts
from orchidgap.net.upstream_attempt import ResponseSink, UpstreamAttempt

if TYPE_CHECKING:
    from orchidgap.decisions.balancer import Balancer

# The answer is sent this long before the client's timeout, as timers can be late.
ANSWER_MARGIN_US = 20_000
# Placeholder deadline of a request whose body is still arriving. Until the body is complete, the
# protocol's server bounds the time by the progress of the upload.
UPLOAD_TIME_US = 3_600_000_000
ARRIVAL_CHECK_US = 50_000  # how often a body that is still arriving is looked at
US_PER_MS = 1_000
SERVICE_UNAVAILABLE = 503  # the answer after which a retry is harmless


class ExchangeNode(Protocol):
    """The part of the node that its exchanges use."""

    open_request_ids: set[bytes]
    sent_request_ids: SentRequestIds
    traffic_counts: TrafficCounts

    @property
    def loop(self) -> Loop:
        """The event loop."""

    @property
    def balancer(self) -> Balancer:
        """The decisions."""

    @property
    def event_log(self) -> EventLog:
        """The log to which events are written."""

    @property
    def exchanges(self) -> MutableMapping[int, Exchange]:
        """The open exchanges, by request number."""

    def call_decisions(
        self, call: Callable[..., None], *args: Any, exchange: Exchange | None = None
    ) -> None:
        """Make one call of the decisions; if it raises, the exchange is answered."""

    def on_load_report(self, attempt: UpstreamAttempt) -> None:
        """Handle the load report that a host sent with an answer."""

    def on_attempt_allowed(self, exchange: Exchange) -> None:
        """Handle that an attempt is about to be written to its host."""

    def release_if_done(self, exchange: Exchange) -> None:
        """Forget an exchange that is closed and has no attempt in flight."""


class Exchange:
    """One request on the network; closed once it is answered or its client has disconnected."""

    __slots__ = (
        "arrival",
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
        "timeout_us",
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
        timeout_us: int,
        upload: Upload | None,
        timed: bool = True,
    ) -> None:
        """Register the request id, and start the deadline if the body is complete.

        Args:
            node: The node that the request was sent to.
            number: The number by which the node and the decisions identify the request.
            request_id: The client's id of the request.
            client: Receives the answer.
            head: The head that is sent to hosts.
            body: The body, empty if it is streamed.
            timeout_us: The client's timeout, counted from the request's last byte.
            upload: The body while it is still arriving.
            timed: False for an exchange that only finishes an answer which is already streaming.
        """
        self.node = node
        self.number = number
        self.request_id = request_id
        self.client = client
        self.head = head
        self.body = body
        self.timeout_us = timeout_us  # the client's timeout, counted from the request's last byte
        self.upload = upload
        self.closed = False
        # the attempt whose answer is being streamed to the client
        self.streaming_attempt: UpstreamAttempt | None = None
        self.attempts: list[UpstreamAttempt] = []
        self.deadline_timer: Timer | None = None
        # the status to answer with if an attempt fails that the decisions do not know of
        self.fallback_status = 0
        self.arrival: BodyArrival | None = None  # of a body that is still arriving
        node.open_request_ids.add(request_id)
        if not upload and timed:
            self.start_deadline()
            return
        self.deadline_us = node.loop.now + UPLOAD_TIME_US
        if upload:
            upload.on_discarded = self.on_body_discarded
            self.arrival = BodyArrival(upload, client.received_at_us or node.loop.now)
            self.deadline_timer = node.loop.call_later(ARRIVAL_CHECK_US, self.check_arrival)

    def start_deadline(self) -> None:
        """Start the deadline, counted from the arrival of the last byte.

        The client counts from its send, and a stalled loop reads that byte late.
        """
        last_byte_at_us = self.client.received_at_us
        if self.arrival:
            last_byte_at_us = self.end_arrival(self.arrival, last_byte_at_us)
        self.deadline_us = last_byte_at_us + self.time_for_answer_us
        if not self.closed:
            self.deadline_timer = self.node.loop.call_at(self.deadline_us, self.on_deadline)

    def end_arrival(self, arrival: BodyArrival, received_at_us: int) -> int:
        """Return when the body's last byte was written, which arrived at `received_at_us`."""
        self.stop_following_body()
        last_byte_at_us = arrival.last_byte_at_us(received_at_us)
        if last_byte_at_us < received_at_us:
            self.node.event_log(
                "upload held back",
                req=self.number,
                ms=(received_at_us - last_byte_at_us) // US_PER_MS,
            )
        return last_byte_at_us

    def stop_following_body(self) -> None:
        """Stop looking at the client's connection for how far its body has arrived."""
        if self.arrival:
            self.arrival.stop()

    @property
    def time_for_answer_us(self) -> int:
        """The time from the request's last byte to its answer."""
        return self.timeout_us - min(ANSWER_MARGIN_US, self.timeout_us // 4)

    def check_arrival(self) -> None:
        """Deny a request whose body is still being read though its time may be over.

        Its host reads slowly: the client may have written the last byte long ago. Without that byte
        no host executes the request.
        """
        if self.closed or self.arrival is None:
            return
        now_us = self.node.loop.now
        self.arrival.observe()
        if now_us - self.arrival.incomplete_at_us < self.time_for_answer_us:
            self.deadline_timer = self.node.loop.call_later(ARRIVAL_CHECK_US, self.check_arrival)
            return
        self.deadline_us = now_us
        self.node.event_log(
            "slow upload",
            req=self.number,
            received=self.arrival.upload.received_bytes,
            held_back=self.arrival.backlog.is_held_back,
            incomplete_ms=(self.arrival.incomplete_at_us - self.arrival.begun_at_us) // US_PER_MS,
        )
        self.node.call_decisions(self.node.balancer.on_client_disconnect, self.number)
        self.answer(SERVICE_UNAVAILABLE)

    def upload_timeout_us(self) -> int:
        """The client's timeout, less what may have passed of it while its body is still read."""
        if self.arrival is None:
            return self.timeout_us
        self.arrival.observe()
        passed_us = self.node.loop.now - self.arrival.incomplete_at_us
        return max(1, self.timeout_us - passed_us)

    def remaining_us(self, now_us: int) -> int:
        """The time from `now_us` to the deadline."""
        return max(0, self.deadline_us - now_us)

    def waited_us(self, now_us: int) -> int:
        """How long the request has been ready to be handled; 0 until its last byte has arrived.

        For a request that was queued behind others of its client, the latency objective is counted
        from the moment when it became the next to be handled; its deadline is still counted from
        its arrival.
        """
        if self.upload and not self.upload.complete:
            return 0
        since_us = max(self.client.received_at_us, self.client.unblocked_at_us)
        return max(0, now_us - since_us)

    @property
    def has_begun(self) -> bool:
        """Whether it was answered or an attempt was sent; otherwise it is queued for a host."""
        return self.closed or bool(self.attempts)

    def on_body_complete(self) -> None:
        """Start the deadline once the last byte of a streamed body has arrived."""
        if self.deadline_timer:
            self.deadline_timer.cancel()
        self.start_deadline()
        if self.closed:
            return
        for attempt in self.attempts:
            attempt.deadline_us = self.deadline_us
        self.node.call_decisions(self.decide_body_complete, exchange=self)

    def decide_body_complete(self) -> None:
        """Notify the decisions that the body is complete, with times relative to their clock."""
        balancer = self.node.balancer
        balancer.on_body_complete(
            self.number, self.remaining_us(balancer.now), self.waited_us(balancer.now)
        )

    def on_body_discarded(self) -> None:
        """Notify the decisions that the body can no longer be sent again."""
        self.node.call_decisions(self.node.balancer.on_body_discarded, self.number, exchange=self)

    # --- its answer

    def answer(
        self, status: int, body: bytes = b"", retry_after_us: int = 0, length: int | None = None
    ) -> None:
        """Answer the client unless the exchange is closed.

        `retry_after_us` is the delay after which the client should retry.
        """
        if not self.closed:
            self.close()
            self.node.traffic_counts.on_answered(status)
            if status == SERVICE_UNAVAILABLE:
                self.node.sent_request_ids.discard(self.request_id)
            self.client.answer(status, body, retry_after_us, length)

    def close(self) -> None:
        """Mark the request as answered, or as one whose client no longer waits.

        The deadline timer keeps running for the attempts in flight: not every host supports
        cancelling, so without the timer they might never settle.
        """
        self.closed = True
        self.stop_following_body()
        for attempt in self.attempts:
            upload = attempt.upload
            if upload and not (
                upload.complete or attempt.settled or attempt is self.streaming_attempt
            ):
                # A host never executes a request whose body stays incomplete, so no execution is
                # cancelled here; without the cancel the host would wait for the rest for ever.
                self.cancel_attempt(attempt)
        if not self.streaming_attempt:
            self.node.open_request_ids.discard(self.request_id)
            self.node.release_if_done(self)

    def release(self) -> None:
        """Stop the deadline timer, and drop the attempts and all bytes, which are not used again.

        Attempts and a streamed body refer to the exchange too, so that without this the bytes would
        stay until the cycle collector runs.
        """
        if self.deadline_timer:
            self.deadline_timer.cancel()
        if self.upload:
            self.upload.on_discarded = None
        self.attempts = []
        self.head = b""
        self.body = b""

    def start_streaming(self, number: int) -> ResponseSink | None:
        """Make this attempt's answer the final one, and stream its body.

        Returns:
            The receiver of the body, or None if the exchange is already closed.
        """
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
        )  # called only by protocols whose clients accept streamed bodies

    def finish_streaming(self, whole: bool) -> None:
        """End the streamed answer; `whole` is whether its body was passed on completely."""
        attempt = self.streaming_attempt
        self.streaming_attempt = None
        self.node.open_request_ids.discard(self.request_id)
        cast(ResponseSink, self.client).end_response(whole)
        if not whole and attempt:
            self.node.call_decisions(self.node.balancer.on_response_truncated, attempt.host)

    # --- early ends

    def cancel_attempt(self, attempt: UpstreamAttempt) -> None:
        """Cancel an attempt; its owner is notified after the current callback."""
        failure = attempt.abandon("cancelled")
        self.node.loop.call_soon(attempt.settle, failure.outcome)

    def on_client_disconnect(self) -> None:
        """Handle that the client has disconnected and no longer waits for the answer."""
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
        if self.fallback_status:  # the decisions do not know its attempts
            for attempt in self.attempts:
                self.cancel_attempt(attempt)

    def on_deadline(self) -> None:
        """Time out the attempts in flight, and answer with 500 if that has not led to an answer."""
        for attempt in self.attempts:
            if not attempt.settled and attempt is not self.streaming_attempt:
                attempt.settle(attempt.abandon("overdue").outcome)
        if not self.closed:
            self.node.event_log("unanswered", req=self.number)
            self.node.call_decisions(self.node.balancer.on_client_disconnect, self.number)
            self.answer(500)

    # --- calls of its attempts

    def may_send(self, number: int) -> bool:
        """Whether this attempt may still be sent.

        Called immediately before its first byte is written, which is late in a stalled turn.
        """
        if self.closed:
            return False
        latest_us = min(self.deadline_us, self.node.balancer.latest_start_us(self.number, number))
        if self.node.loop.clock() >= latest_us or self.client.has_disconnected():
            return False
        if self.client.may_have_disconnected():
            return False
        self.node.on_attempt_allowed(self)
        return True

    def on_settled(self, number: int, outcome: AttemptOutcome, body: bytes) -> None:
        """Handle an attempt's outcome: answer if it is final, then notify the decisions."""
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
                # every other host would reject the request as well
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
        """Release the request, as it continues in another process."""
        if not self.closed:
            self.node.traffic_counts.on_request_end(RequestEnd.MIGRATED)
        self.closed = True
        self.stop_following_body()
        self.streaming_attempt = None
        if self.deadline_timer:
            self.deadline_timer.cancel()
        self.node.open_request_ids.discard(self.request_id)
        self.node.sent_request_ids.discard(self.request_id)
        self.node.exchanges.pop(self.number, None)

    def attach(self, attempt: UpstreamAttempt, is_streaming: bool) -> None:
        """Adopt an attempt from another process; its answer is either streaming or awaited."""
        self.attempts = [attempt]
        self.closed = is_streaming
        self.streaming_attempt = attempt if is_streaming else None
        if not is_streaming:
            self.node.traffic_counts.requests_adopted += 1
            self.node.sent_request_ids.add(self.request_id, self.node.loop.now)
        self.node.exchanges[self.number] = self
