"""Balancers with one planted defect each, and the plans that expose it."""

import tomllib
from pathlib import Path

from orchidgap.decisions.balancer import Balancer
from orchidgap.decisions.concurrency_limit import ConcurrencyLimiter
from orchidgap.decisions.dispatch import Dispatch
from orchidgap.decisions.origin import Origin
from orchidgap.decisions.placement import Placement
from orchidgap.decisions.retry_policy import RETRYABLE_OUTCOMES
from orchidgap.http1.writers import response_head
from orchidgap.net.traffic_counts import ConnectionEnd
from orchidgap.net.upstream_attempt import UpstreamAttempt

STREAM_DELAY_US = 2_000_000


class Defect(Balancer):
    """A balancer with a defect.

    Its port is its node in a simulation, so a defect may also change the node and its connections.
    """

    def exchange(self, request):
        return self.port.exchanges.get(request.id)


class ResendsAnything(Defect):
    """Retries requests whether or not their class permits a repeat."""

    def may_retry(self, request, host):
        return not request.answered and len(request.attempts) < self.settings.max_attempts


class AnswersTwice(Defect):
    """Answers some requests twice."""

    def on_request(
        self, request_id, time_remaining_us, is_write, request_class, key, tenant, *rest
    ):
        if request_id % 50 == 0:
            exchange = self.port.exchanges[request_id]
            exchange.client = DoubleAnsweringClient(exchange.client)
        super().on_request(
            request_id, time_remaining_us, is_write, request_class, key, tenant, *rest
        )


class IgnoringOwner:
    """The owner of an attempt whose outcome is ignored."""

    def may_send(self, number):
        return True

    def on_settled(self, number, outcome, body):
        pass


class DoubleAnsweringClient:
    """A client that receives an empty second answer after each answer."""

    def __init__(self, client):
        self.client = client

    def answer(self, status, body=b"", retry_after_us=0, length=None):
        self.client.answer(status, body, retry_after_us, length)
        self.client.conn.send(response_head(200, 0))


class NeverAnswers(Defect):
    """Drops requests instead of rejecting them, and disables their deadline timer."""

    def reject(self, request, reason):
        self.exchange(request).deadline_timer.cancel()
        self.close_request(request)


class AnswersLate(Defect):
    """Disables its own deadline timer and rejects after the client timeout."""

    def reject(self, request, reason):
        exchange = self.exchange(request)
        exchange.deadline_timer.cancel()
        self.call_later(
            max(0, exchange.deadline_us - self.now) + 90_000,
            lambda: Balancer.reject(self, request, reason),
        )


class HoldsBack(Defect):
    """Delays rejections until shortly before the client timeout, so that clients do not retry."""

    def reject(self, request, reason):
        self.call_later(
            max(0, self.exchange(request).deadline_us - self.now - 40_000),
            lambda: Balancer.reject(self, request, reason),
        )


class IgnoresDrains(Defect):
    """Treats draining hosts as ready."""

    def __init__(self, settings, port, seed, now):
        super().__init__(settings, port, seed, now)
        apply_endpoints = port.pools.apply_endpoints
        port.pools.apply_endpoints = lambda whole, endpoints: apply_endpoints(
            whole,
            [
                (host_id, "up" if state == "draining" else state, address)
                for host_id, state, address in endpoints
            ],
        )

    def on_hosts(self, scope, entries):
        super().on_hosts(
            scope,
            [
                (host_id, "up" if state == "draining" else state, *fields)
                for host_id, state, *fields in entries
            ],
        )


class NeverAsksForTheList(Defect):
    """Stops calling discovery after its first host list."""

    def on_hosts(self, scope, entries):
        self.port.discovery.fetch = lambda: None
        super().on_hosts(scope, entries)


class UnlimitedConcurrency(ConcurrencyLimiter):
    """Does not limit the concurrency of a host."""

    def has_capacity(self, host):
        return True

    def record_latency(self, host, latency_us, is_answer=True):
        host.concurrency_limit = 1e9

    def decrease_limit(self, host, ratio):
        host.concurrency_limit = 1e9


class NeverCancels(Dispatch):
    """Cancels no attempt."""

    def should_cancel(self, attempt, settings):
        return False


class NoSlowStart(Placement):
    """Sends a host that has just started all requests of its range at once, however slow it is."""

    def accepts(self, host):
        return True


class FloodsCold(Defect):
    """Sends a cold host all requests of its range, without slow start, limits and cancellation."""

    def __init__(self, settings, port, seed, now):
        super().__init__(settings, port, seed, now)
        self.placement.__class__, self.dispatch.__class__ = NoSlowStart, NeverCancels
        self.limiter.__class__ = UnlimitedConcurrency


class UnlimitedOrigin(Origin):
    """Always chooses the origin with the fewest attempts in flight, however many these are."""

    def choose_host(self, request):
        return min(self.hosts, key=lambda host: host.in_flight) if self.hosts else None


class FloodsOrigin(FloodsCold):
    """Sends misses to the origin without any limit and without coalescing fetches of a key."""

    def __init__(self, settings, port, seed, now):
        super().__init__(settings, port, seed, now)
        self.origin.__class__ = UnlimitedOrigin
        self.coalescing.forward = lambda request, host=None: self.placement.forward(request)


class HoldsIdle(Defect):
    """Keeps idle connections open during a drain."""

    def __init__(self, settings, port, seed, now):
        super().__init__(settings, port, seed, now)
        port.clients.release_idle = lambda: None


class KeepsItsCount(Defect):
    """Keeps the old maximum number of attempts when new settings lower it."""

    def on_settings(self, settings):
        super().on_settings(settings._replace(max_attempts=self.settings.max_attempts))


class EndsAtOnce(Defect):
    """Drops its requests when it is shut down while another process takes over."""

    def __init__(self, settings, port, seed, now):
        super().__init__(settings, port, seed, now)
        port.begin_shutdown = port.stop


class CutsFlows(Defect):
    """Truncates a large answer that is still streaming 200 ms after its attempt's outcome."""

    def on_outcome(self, request_id, number, outcome, answered):
        exchange = self.port.exchanges.get(request_id)
        if exchange and exchange.streaming_attempt:
            self.port.loop.call_later(200_000, self.cut, exchange)
        super().on_outcome(request_id, number, outcome, answered)

    def cut(self, exchange):
        if exchange.streaming_attempt:
            attempt = exchange.streaming_attempt
            attempt.settle(attempt.abandon("overdue").outcome)


class DelayedStreamClient:
    """A client whose streamed answers continue long after their head."""

    def __init__(self, client, loop):
        self.client = client
        self.loop = loop

    def __getattr__(self, name):
        return getattr(self.client, name)

    def send_body(self, parts):
        self.loop.call_later(STREAM_DELAY_US, self.client.send_body, parts)

    def end_response(self, whole):
        self.loop.call_later(STREAM_DELAY_US, self.client.end_response, whole)


class HoldsStreams(Defect):
    """Sends the head of a large answer at once, and each part of the body with a delay of 2 s."""

    def on_request(
        self, request_id, time_remaining_us, is_write, request_class, key, tenant, *rest
    ):
        exchange = self.port.exchanges[request_id]
        exchange.client = DelayedStreamClient(exchange.client, self.port.loop)
        super().on_request(
            request_id, time_remaining_us, is_write, request_class, key, tenant, *rest
        )


class AsksForEver(Defect):
    """Calls discovery again at once when that rejects its call."""

    def on_hosts(self, scope, entries):
        registry = getattr(self.port, "discovery", None)
        if registry:
            registry.on_closed = lambda reason: (
                registry.close_connection(),
                registry.set_timer(1_000, registry.fetch),
            )
        super().on_hosts(scope, entries)


class LeavesTheGroup(Defect):
    """Retries a possibly executed keyed write outside of its deduplication group."""

    def may_retry(self, request, host):
        return (
            not request.answered
            and len(request.attempts) < 2
            and not any(sent.host is host for sent in request.attempts)
        )


class RepeatsTooLate(Defect):
    """Repeats a keyed write in flight after the deduplication window, without checking the latest start."""

    def latest_start_us(self, request_id, number):
        return 1 << 62

    def on_request(
        self, request_id, time_remaining_us, is_write, request_class, key, tenant, *rest
    ):
        super().on_request(
            request_id, time_remaining_us, is_write, request_class, key, tenant, *rest
        )
        request = self.requests.get(request_id)
        if request and request.request_class.idempotency_keyed and request.attempts:
            self.call_later(
                request.request_class.deduplication_window_us + 60_000, self.repeat, request
            )

    def repeat(self, request):
        if not request.answered and self.origin.hosts:
            self.dispatch.forward(request, self.origin.hosts[0])


class DeniesWhatMayHaveRun(Defect):
    """Rejects with a denial also requests that a host may have executed."""

    def reject(self, request, reason):
        self.port.deny(request.id, 0)
        self.close_request(request)


class ServesFromMemory(Defect):
    """Answers with an old value of its own."""

    def on_request(
        self, request_id, time_remaining_us, is_write, request_class, key, tenant, *rest
    ):
        if request_id % 40 == 0 and not is_write:
            return self.port.exchanges[request_id].answer(200, b"an old value")
        super().on_request(
            request_id, time_remaining_us, is_write, request_class, key, tenant, *rest
        )


class DoublesAtOnce(Defect):
    """Sends two concurrent attempts although the settings do not allow hedging."""

    def on_request(
        self, request_id, time_remaining_us, is_write, request_class, key, tenant, *rest
    ):
        super().on_request(
            request_id, time_remaining_us, is_write, request_class, key, tenant, *rest
        )
        request = self.requests.get(request_id)
        if (
            request
            and request.request_class.idempotent
            and len(request.attempts) == 1
            and request_id % 20 == 0
        ):
            self.dispatch.forward(request, self.placement.ring[0])


class TriesForEver(Defect):
    """Makes more attempts of a request than its settings allow."""

    def __init__(self, settings, port, seed, now):
        super().__init__(settings._replace(max_attempts=50), port, seed, now)

    def may_retry(self, request, host):
        return not request.answered and request.request_class.idempotent

    def reject(self, request, reason):
        if (
            request.attempts
            and request.attempts[-1].outcome in RETRYABLE_OUTCOMES
            and not request.answered
            and self.placement.ring
        ):
            return self.dispatch.forward(request, self.placement.ring[0])
        super().reject(request, reason)


class SendsAfterTheAnswer(Defect):
    """Sends one more attempt of some requests 50 ms before their deadline, after their answer."""

    def on_request(
        self, request_id, time_remaining_us, is_write, request_class, key, tenant, *rest
    ):
        exchange = self.port.exchanges[request_id]
        super().on_request(
            request_id, time_remaining_us, is_write, request_class, key, tenant, *rest
        )
        if request_id % 30 == 0:
            attempt = UpstreamAttempt(
                exchange.head, exchange.body, exchange.deadline_us, IgnoringOwner()
            )
            self.port.loop.call_at(
                exchange.deadline_us - 50_000,
                self.port.pools.send,
                self.placement.ring[0].id,
                attempt,
            )


class HangsUp(Defect):
    """Closes the client's connection instead of rejecting."""

    def reject(self, request, reason):
        exchange = self.exchange(request)
        self.close_request(request)
        exchange.close()
        exchange.client.close(ConnectionEnd.EVICTED)


class ClosesFirstRequest(Defect):
    """Closes each connection after reading its first request."""

    def on_request(
        self, request_id, time_remaining_us, is_write, request_class, key, tenant, *rest
    ):
        exchange = self.port.exchanges[request_id]
        if exchange.client.conn.bytes_written:
            return super().on_request(
                request_id, time_remaining_us, is_write, request_class, key, tenant, *rest
            )
        exchange.close()
        self.port.loop.call_soon(exchange.client.conn.fail, "closed")


class ClosesALaterRequest(Defect):
    """Closes a connection 1 ms after reading a request that is not its first."""

    def on_request(
        self, request_id, time_remaining_us, is_write, request_class, key, tenant, *rest
    ):
        exchange = self.port.exchanges[request_id]
        if request_id % 40 or not exchange.client.conn.bytes_written:
            return super().on_request(
                request_id, time_remaining_us, is_write, request_class, key, tenant, *rest
            )
        exchange.close()
        self.port.loop.call_later(1_000, exchange.client.conn.fail, "closed")


class RawAnswerClient:
    """A client that receives raw bytes instead of its answer; its connection may then be reset."""

    def __init__(self, client, text, resets):
        self.client = client
        self.text = text
        self.resets = resets

    def answer(self, status, body=b"", retry_after_us=0, length=None):
        self.client.conn.send(self.text)
        if self.resets:
            self.client.conn.reset()


class SendsRawAnswer(Defect):
    """Answers some requests with `RAW_ANSWER`, and may then reset the connection."""

    RAW_ANSWER = b""
    RESETS_CONNECTION = False

    def on_request(
        self, request_id, time_remaining_us, is_write, request_class, key, tenant, *rest
    ):
        if request_id % 40 == 0:
            exchange = self.port.exchanges[request_id]
            exchange.client = RawAnswerClient(
                exchange.client, self.RAW_ANSWER, self.RESETS_CONNECTION
            )
        super().on_request(
            request_id, time_remaining_us, is_write, request_class, key, tenant, *rest
        )


class ResetsHalfAnAnswer(SendsRawAnswer):
    """Begins an answer although its host sent a complete one, and resets the connection."""

    RAW_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf of it"
    RESETS_CONNECTION = True


class StopsInAnAnswer(SendsRawAnswer):
    """Begins an answer, and neither continues it nor closes the connection."""

    RAW_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf of it"


class AnswersNoHttp(SendsRawAnswer):
    """Answers with bytes that are not HTTP, and resets the connection."""

    RAW_ANSWER = b"\x00 no answer\r\n\r\n"
    RESETS_CONNECTION = True


class NeverAnswersTheLast(Defect):
    """Stops answering 7.5 s after its start: the last requests are not overdue before the run ends."""

    def on_request(
        self, request_id, time_remaining_us, is_write, request_class, key, tenant, *rest
    ):
        if self.now < self.began + 7_500_000:
            return super().on_request(
                request_id, time_remaining_us, is_write, request_class, key, tenant, *rest
            )
        self.port.exchanges[request_id].deadline_timer.cancel()

    def __init__(self, settings, port, seed, now):
        super().__init__(settings, port, seed, now)
        self.began = now


class UndetectedDisconnects:
    """A client's connection whose end is not reported."""

    def __init__(self, client):
        self.client = client

    def __getattr__(self, name):
        return getattr(self.client, name)

    def has_disconnected(self):
        return False


class ServesWhoHasLeft(Defect):
    """Continues with requests whose client has closed its connection."""

    def on_request(
        self, request_id, time_remaining_us, is_write, request_class, key, tenant, *rest
    ):
        exchange = self.port.exchanges[request_id]
        exchange.client.pending_request = None  # would be notified of its client's disconnect
        exchange.client = UndetectedDisconnects(exchange.client)
        super().on_request(
            request_id, time_remaining_us, is_write, request_class, key, tenant, *rest
        )


class RejectsAll(Defect):
    """Rejects all requests at once, from 2 s after its start."""

    def __init__(self, settings, port, seed, now):
        super().__init__(settings, port, seed, now)
        self.began = now

    def on_request(
        self, request_id, time_remaining_us, is_write, request_class, key, tenant, *rest
    ):
        if self.now < self.began + 2_000_000:
            return super().on_request(
                request_id, time_remaining_us, is_write, request_class, key, tenant, *rest
            )
        self.port.exchanges[request_id].answer(503)


class MakesUpIds(Defect):
    """Sends some requests to hosts with an id that no client sent."""

    def on_request(
        self, request_id, time_remaining_us, is_write, request_class, key, tenant, *rest
    ):
        if request_id % 40 == 0:
            exchange = self.port.exchanges[request_id]
            exchange.head = exchange.head.replace(b"Request-Id: q", b"Request-Id: z")
        super().on_request(
            request_id, time_remaining_us, is_write, request_class, key, tenant, *rest
        )


class StartsTheTimeAnew(Defect):
    """Sends each attempt, also a late one, with the timeout that the request arrived with."""

    def __init__(self, settings, port, seed, now):
        super().__init__(settings, port, seed, now)
        send = port.pools.send

        def send_with_whole_time(host, attempt):
            attempt.deadline_us = port.loop.now + attempt.owner.time_remaining_us
            send(host, attempt)

        port.pools.send = send_with_whole_time


class ChangesTheHead(Defect):
    """Forwards requests with a changed start line or idempotency key."""

    def change(self, head):
        raise NotImplementedError

    def on_request(
        self, request_id, time_remaining_us, is_write, request_class, key, tenant, *rest
    ):
        if request_id % 20 == 0:
            exchange = self.port.exchanges[request_id]
            exchange.head = self.change(exchange.head)
        super().on_request(
            request_id, time_remaining_us, is_write, request_class, key, tenant, *rest
        )


class ChangesTheMethod(ChangesTheHead):
    """Forwards requests with another method."""

    def change(self, head):
        return head.replace(b"GET ", b"POST ", 1).replace(b"PUT ", b"POST ", 1)


class ChangesThePath(ChangesTheHead):
    """Forwards requests with another key in their path."""

    def change(self, head):
        return head.replace(b"/k", b"/j", 1)


class DropsTheQuery(ChangesTheHead):
    """Forwards requests without their query string."""

    def change(self, head):
        target = head.split(b" ")[1]
        return head.replace(target, target.partition(b"?")[0], 1)


class ChangesTheIdempotencyKey(ChangesTheHead):
    """Forwards keyed writes with another idempotency key."""

    def change(self, head):
        return head.replace(b"Idempotency-Key: op", b"Idempotency-Key: po", 1)


class TruncatingClient:
    """A client that receives answers without their last byte."""

    def __init__(self, client):
        self.client = client

    def answer(self, status, body=b"", retry_after_us=0):
        self.client.answer(status, body[:-1], retry_after_us)


class CutsAnswersShort(Defect):
    """Removes the last byte of an answer and announces the shorter length."""

    def on_request(
        self, request_id, time_remaining_us, is_write, request_class, key, tenant, *rest
    ):
        if request_id % 40 == 0:
            self.port.exchanges[request_id].client = TruncatingClient(
                self.port.exchanges[request_id].client
            )
        super().on_request(
            request_id, time_remaining_us, is_write, request_class, key, tenant, *rest
        )


USUAL = {"name": "planted", "seconds": 8.0, "balancers": 2, "caches": 4, "rate": 80.0}
STOPS = [{"kind": "stopped-origin", "at-s": at, "for-s": 0.5} for at in (2.0, 4.0, 6.0)]
BUSY = USUAL | {
    "work": [
        {"name": "view", "share": 0.5, "work-ms": 25, "target-ms": 400, "timeout-ms": 1500},
        {
            "name": "signup",
            "share": 0.25,
            "work-ms": 200,
            "target-ms": 900,
            "timeout-ms": 2500,
            "effect": "uniqued",
            "write": True,
        },
        {
            "name": "submit",
            "share": 0.25,
            "work-ms": 200,
            "target-ms": 900,
            "timeout-ms": 2500,
            "effect": "non-replayable",
            "write": True,
        },
    ],
    "rate": 25.0,
    "trouble": STOPS,
}
CROWDED = USUAL | {"trouble": [{"kind": "load", "at-s": 2, "for-s": 4, "size": 6}]}
COLD = USUAL | {
    "seconds": 14.0,
    "caches": 2,
    "rate": 85.0,
    "keys": {"count": 60},
    "cache": {"cold-from": 0.05, "warm-s": 12, "cores": 1, "queue": 200},
    "origin": {"cores": 8, "uneven": 0.0, "queue": 400},
    "ceilings": {"dispatches": 3},
    "trouble": [{"kind": "crash", "at-s": 2, "for-s": 4, "target": "c00"}],
}
COLD_MISSES = USUAL | {
    "seconds": 14.0,
    "caches": 3,
    "rate": 170.0,
    "cache": {"cold-from": 1.0, "warm-s": 12, "cores": 8, "queue": 200},
    "origin": {"cores": 1, "uneven": 0.0, "queue": 9000, "fall-s": 2},
    "trouble": [{"kind": "crash", "at-s": 2, "for-s": 0.2, "part": 1.0}],
}
DRAINS = USUAL | {
    "trouble": [{"kind": "drain", "at-s": at, "for-s": 1, "target": "c01"} for at in (2, 5)]
}
LONG_DRAIN = USUAL | {
    "seconds": 12.0,
    "trouble": [{"kind": "drain", "at-s": 2, "for-s": 1, "size": 12, "target": "c01"}],
}
CELLS = BUSY | {
    "origins": 2,
    "origin": {"errors": 0.2, "uneven": 0.0},
    "trouble": [{"kind": "crash", "at-s": at, "for-s": 0.5, "target": "o0"} for at in (2, 4, 6)],
    "work": [BUSY["work"][0], BUSY["work"][1] | {"group": "cell"}],
}
SHORT = USUAL | {"work": [BUSY["work"][0], BUSY["work"][1] | {"window-ms": 100}], "rate": 15.0}
LARGE = USUAL | {"bulk": {"share": 0.1, "size": 100_000}}
ONCE = USUAL | {"ceilings": {"may-double": False}}
FAILS = USUAL | {"cache": {"errors": 0.5}}
LEAVING = FAILS | {
    "work": [BUSY["work"][0] | {"work-ms": 120}],
    "rate": 20.0,
    "callers": {"leave": 0.5},
}

TRIALS = Path(__file__).parents[2] / "trials"


def shipped_plan(name, **changes):
    """Return a plan of `trials/` with some keys replaced."""
    return tomllib.loads((TRIALS / f"{name}.toml").read_text()) | changes


ROLL = USUAL | {
    "rate": 200.0,
    "trouble": [{"kind": "balancer-roll", "at-s": 2, "for-s": 2, "part": 1.0}],
}

# the defect, the plan that exposes it, the rule that it breaks
PLANTED = [
    (ResendsAnything, BUSY | {"origin": {"errors": 0.2, "uneven": 0.0}}, "twice"),
    (AnswersTwice, USUAL, "late"),
    (NeverAnswers, CROWDED, "lost"),
    (AnswersLate, CROWDED, "late"),
    (HoldsBack, CROWDED, "late"),
    (IgnoresDrains, DRAINS, "drain"),
    (NeverAsksForTheList, LONG_DRAIN, "drain"),
    (FloodsCold, COLD, "cold"),
    (FloodsOrigin, COLD_MISSES, "cold"),
    (LeavesTheGroup, CELLS, "twice"),
    (RepeatsTooLate, SHORT, "twice"),
    (DeniesWhatMayHaveRun, BUSY, "twice"),
    (ServesFromMemory, USUAL, "lost"),
    (DoublesAtOnce, ONCE, "twice"),
    (TriesForEver, FAILS, "twice"),
    (SendsAfterTheAnswer, USUAL, "late"),
    (HangsUp, CROWDED, "lost"),
    (ClosesFirstRequest, USUAL, "lost"),
    (ClosesALaterRequest, USUAL, "lost"),
    (ResetsHalfAnAnswer, USUAL, "lost"),
    (StopsInAnAnswer, USUAL, "lost"),
    (AnswersNoHttp, USUAL, "lost"),
    (NeverAnswersTheLast, USUAL, "lost"),
    (EndsAtOnce, ROLL, "lost"),
    (MakesUpIds, USUAL, "lost"),
    (CutsAnswersShort, USUAL, "lost"),
    (StartsTheTimeAnew, FAILS, "late"),
    (ServesWhoHasLeft, LEAVING, "lost"),
    (RejectsAll, USUAL, "lost"),
    (ChangesTheMethod, USUAL, "lost"),
    (ChangesThePath, USUAL, "lost"),
    (DropsTheQuery, USUAL, "lost"),
    (ChangesTheIdempotencyKey, BUSY, "lost"),
    (
        HoldsIdle,
        shipped_plan(
            "ops-drain",
            rate=3.0,
            trouble=[
                {"kind": "load", "at-s": 1, "for-s": 2, "size": 60},
                {"kind": "quiesce", "at-s": 4, "part": 0.4},
            ],
        ),
        "lost",
    ),
    (KeepsItsCount, shipped_plan("ops-retune"), "twice"),
    (EndsAtOnce, shipped_plan("ops-upgrade"), "lost"),
    (CutsFlows, shipped_plan("ops-bulk"), "lost"),
    (HoldsStreams, LARGE, "late"),
    (
        AsksForEver,
        shipped_plan(
            "ops-herd",
            seed=7,
            trouble=[
                {"kind": "deploy", "at-s": 6, "for-s": 6, "part": 0.6},
                {"kind": "balancer-kill", "at-s": 9, "for-s": 1.5, "part": 0.7},
                {"kind": "discovery-crowded", "at-s": 5, "for-s": 14},
            ],
        ),
        "cold",
    ),
]
