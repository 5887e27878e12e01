"""Balancers with one defect each, planted on purpose, and the days on which it shows."""

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
    """The port of a balancer in a trial is its node: a defect can be anywhere behind it."""

    def exchange(self, req):
        return self.port.exchanges.get(req.id)


class ResendsAnything(Defect):
    """A further dispatch whatever the rule set says."""

    def may_retry(self, req, host):
        return not req.answered and len(req.attempts) < self.settings.max_attempts


class AnswersTwice(Defect):
    def on_request(self, id, left, write, rule_set, key, tenant, *rest):
        if id % 50 == 0:
            exchange = self.port.exchanges[id]
            exchange.client = Twice(exchange.client)
        super().on_request(id, left, write, rule_set, key, tenant, *rest)


class Nobody:
    """Whose dispatch nobody waits for."""

    def may_send(self, number):
        return True

    def on_settled(self, number, outcome, body):
        pass


class Twice:
    def __init__(self, client):
        self.client = client

    def answer(self, status, body=b"", retry_after_us=0, length=None):
        self.client.answer(status, body, retry_after_us, length)
        self.client.conn.send(response_head(200, 0))


class NeverAnswers(Defect):
    def reject(self, req, reason):
        self.exchange(req).deadline_timer.cancel()
        self.close_request(req)


class AnswersLate(Defect):
    """Its own guard is off, and what it gives up it answers after the client timeout."""

    def reject(self, req, reason):
        exchange = self.exchange(req)
        exchange.deadline_timer.cancel()
        self.call_later(
            max(0, exchange.deadline_us - self.now) + 90_000,
            lambda: Balancer.reject(self, req, reason),
        )


class HoldsBack(Defect):
    """Denies only when the client is about to go, so that it does not ask again."""

    def reject(self, req, reason):
        self.call_later(
            max(0, self.exchange(req).deadline_us - self.now - 40_000),
            lambda: Balancer.reject(self, req, reason),
        )


class IgnoresDrains(Defect):
    def __init__(self, terms, port, seed, now):
        super().__init__(terms, port, seed, now)
        follow = port.pools.apply_endpoints
        port.pools.apply_endpoints = lambda whole, told: follow(
            whole,
            [(id, "up" if state == "draining" else state, address) for id, state, address in told],
        )

    def on_hosts(self, scope, entries):
        super().on_hosts(
            scope,
            [(id, "up" if state == "draining" else state, *more) for id, state, *more in entries],
        )


class NeverAsksForTheList(Defect):
    def on_hosts(self, scope, entries):
        self.port.discovery.fetch = lambda: None
        super().on_hosts(scope, entries)


class Unlimited(ConcurrencyLimiter):
    def has_capacity(self, host):
        return True

    def record_latency(self, host, latency_us, is_answer=True):
        host.concurrency_limit = 1e9

    def decrease_limit(self, host, ratio):
        host.concurrency_limit = 1e9


class Patient(Dispatch):
    def should_cancel(self, attempt, settings):
        return False


class Hurries(Placement):
    """A host that has just started gets its whole range at once, however long it takes to answer."""

    def accepts(self, host):
        return True


class FloodsCold(Defect):
    def __init__(self, terms, port, seed, now):
        super().__init__(terms, port, seed, now)
        self.placement.__class__, self.dispatch.__class__ = Hurries, Patient
        self.limiter.__class__ = Unlimited


class Everything(Origin):
    def choose_host(self, req):
        return min(self.hosts, key=lambda host: host.in_flight) if self.hosts else None


class FloodsOrigin(FloodsCold):
    """Misses go to the origin without any limit, and nobody waits for another's fetch."""

    def __init__(self, terms, port, seed, now):
        super().__init__(terms, port, seed, now)
        self.origin.__class__ = Everything
        self.coalescing.forward = lambda req, host=None: self.placement.forward(req)


class HoldsIdle(Defect):
    """A drain lets nobody go who asks nothing."""

    def __init__(self, terms, port, seed, now):
        super().__init__(terms, port, seed, now)
        port.clients.release_idle = lambda: None


class KeepsItsCount(Defect):
    """New settings say fewer dispatches, and the old number goes on."""

    def on_settings(self, terms):
        super().on_settings(terms._replace(max_attempts=self.settings.max_attempts))


class EndsAtOnce(Defect):
    """Told to end while another process is there, it leaves what it has."""

    def __init__(self, terms, port, seed, now):
        super().__init__(terms, port, seed, now)
        port.begin_shutdown = port.stop


class CutsFlows(Defect):
    """A large answer is cut off when its req's time would have been up."""

    def on_outcome(self, id, number, verdict, over):
        exchange = self.port.exchanges.get(id)
        if exchange and exchange.streaming_attempt:
            self.port.loop.call_later(200_000, self.cut, exchange)
        super().on_outcome(id, number, verdict, over)

    def cut(self, exchange):
        if exchange.streaming_attempt:
            attempt = exchange.streaming_attempt
            attempt.settle(attempt.abandon("overdue").outcome)


class SlowSink:
    """A client whose streamed answers go on long after their head."""

    def __init__(self, client, loop):
        self.client = client
        self.loop = loop

    def __getattr__(self, name):
        return getattr(self.client, name)

    def give(self, parts):
        self.loop.call_later(STREAM_DELAY_US, self.client.give, parts)

    def end(self, whole):
        self.loop.call_later(STREAM_DELAY_US, self.client.end, whole)


class HoldsStreams(Defect):
    """Of a large answer it sends the head at once, and the body 2 s after it came."""

    def on_request(self, id, left, write, rule_set, key, tenant, *rest):
        exchange = self.port.exchanges[id]
        exchange.client = SlowSink(exchange.client, self.port.loop)
        super().on_request(id, left, write, rule_set, key, tenant, *rest)


class AsksForEver(Defect):
    """Discovery that turns it away is asked again at once."""

    def on_hosts(self, scope, entries):
        registry = getattr(self.port, "discovery", None)
        if registry:
            registry.ended = lambda what: (
                registry.close_connection(),
                registry.set_timer(1_000, registry.fetch),
            )
        super().on_hosts(scope, entries)


class LeavesTheGroup(Defect):
    """A uniqued req that may have run goes to whichever origin is next."""

    def may_retry(self, req, host):
        return (
            not req.answered
            and len(req.attempts) < 2
            and not any(sent.host is host for sent in req.attempts)
        )


class RepeatsTooLate(Defect):
    """A second copy of what is still out once the host has forgotten its mark, and no look at that at the write."""

    def latest_start_us(self, id, number):
        return 1 << 62

    def on_request(self, id, left, write, rule_set, key, tenant, *rest):
        super().on_request(id, left, write, rule_set, key, tenant, *rest)
        req = self.requests.get(id)
        if req and req.request_class.idempotency_keyed and req.attempts:
            self.call_later(req.request_class.deduplication_window_us + 60_000, self.again, req)

    def again(self, req):
        if not req.answered and self.origin.hosts:
            self.dispatch.forward(req, self.origin.hosts[0])


class DeniesWhatMayHaveRun(Defect):
    def reject(self, req, reason):
        self.port.deny(req.id, 0)
        self.close_request(req)


class ServesFromMemory(Defect):
    """Answers with what it once saw for the key."""

    def on_request(self, id, left, write, rule_set, key, tenant, *rest):
        if id % 40 == 0 and not write:
            return self.port.exchanges[id].answer(200, b"an old value")
        super().on_request(id, left, write, rule_set, key, tenant, *rest)


class DoublesAtOnce(Defect):
    """Two copies, though the settings allow one."""

    def on_request(self, id, left, write, rule_set, key, tenant, *rest):
        super().on_request(id, left, write, rule_set, key, tenant, *rest)
        req = self.requests.get(id)
        if req and req.request_class.idempotent and len(req.attempts) == 1 and id % 20 == 0:
            self.dispatch.forward(req, self.placement.ring[0])


class TriesForEver(Defect):
    def __init__(self, terms, port, seed, now):
        super().__init__(terms._replace(max_attempts=50), port, seed, now)

    def may_retry(self, req, host):
        return not req.answered and req.request_class.idempotent

    def reject(self, req, reason):
        if (
            req.attempts
            and req.attempts[-1].outcome in RETRYABLE_OUTCOMES
            and not req.answered
            and self.placement.ring
        ):
            return self.dispatch.forward(req, self.placement.ring[0])
        super().reject(req, reason)


class SendsAfterTheAnswer(Defect):
    def on_request(self, id, left, write, rule_set, key, tenant, *rest):
        exchange = self.port.exchanges[id]
        super().on_request(id, left, write, rule_set, key, tenant, *rest)
        if id % 30 == 0:
            attempt = UpstreamAttempt(exchange.head, exchange.body, exchange.deadline_us, Nobody())
            self.port.loop.call_at(
                exchange.deadline_us - 50_000,
                self.port.pools.send,
                self.placement.ring[0].id,
                attempt,
            )


class HangsUp(Defect):
    """Closes the client's connection where it has no answer."""

    def reject(self, req, reason):
        exchange = self.exchange(req)
        self.close_request(req)
        exchange.close()
        exchange.client.close(ConnectionEnd.EVICTED)


class ClosesFirstRequest(Defect):
    """Closes each connection on the first request that it has read there."""

    def on_request(self, id, left, write, rule_set, key, tenant, *rest):
        exchange = self.port.exchanges[id]
        if exchange.client.conn.bytes_written:
            return super().on_request(id, left, write, rule_set, key, tenant, *rest)
        exchange.close()
        self.port.loop.call_soon(exchange.client.conn.fail, "closed")


class ClosesALaterRequest(Defect):
    """Closes a connection 1 ms after it has read a request that is not the first on it."""

    def on_request(self, id, left, write, rule_set, key, tenant, *rest):
        exchange = self.port.exchanges[id]
        if id % 40 or not exchange.client.conn.bytes_written:
            return super().on_request(id, left, write, rule_set, key, tenant, *rest)
        exchange.close()
        self.port.loop.call_later(1_000, exchange.client.conn.fail, "closed")


class OnWire:
    """What a client gets in the place of its answer, and whether its connection is reset then."""

    def __init__(self, client, text, resets):
        self.client = client
        self.text = text
        self.resets = resets

    def answer(self, status, body=b"", retry_after_us=0, length=None):
        self.client.conn.send(self.text)
        if self.resets:
            self.client.conn.reset()


class SaysOnWire(Defect):
    TEXT = b""
    RESETS = False

    def on_request(self, id, left, write, rule_set, key, tenant, *rest):
        if id % 40 == 0:
            exchange = self.port.exchanges[id]
            exchange.client = OnWire(exchange.client, self.TEXT, self.RESETS)
        super().on_request(id, left, write, rule_set, key, tenant, *rest)


class ResetsHalfAnAnswer(SaysOnWire):
    """Begins an answer that its host has given whole, and resets the connection."""

    TEXT = b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf of it"
    RESETS = True


class StopsInAnAnswer(SaysOnWire):
    """Begins an answer, and neither goes on nor closes."""

    TEXT = b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf of it"


class AnswersNoHttp(SaysOnWire):
    """Its answer is none, and the connection is reset behind it."""

    TEXT = b"\x00 no answer\r\n\r\n"
    RESETS = True


class NeverAnswersTheLast(Defect):
    """From some time on it answers nothing: what comes last has no time left to be seen overdue."""

    def on_request(self, id, left, write, rule_set, key, tenant, *rest):
        if self.now < self.began + 7_500_000:
            return super().on_request(id, left, write, rule_set, key, tenant, *rest)
        self.port.exchanges[id].deadline_timer.cancel()

    def __init__(self, terms, port, seed, now):
        super().__init__(terms, port, seed, now)
        self.began = now


class Unaware:
    """A client's connection whose end shows nowhere."""

    def __init__(self, client):
        self.client = client

    def __getattr__(self, name):
        return getattr(self.client, name)

    def has_disconnected(self):
        return False


class ServesWhoHasLeft(Defect):
    """It goes on with requests whose client has closed its connection."""

    def on_request(self, id, left, write, rule_set, key, tenant, *rest):
        exchange = self.port.exchanges[id]
        exchange.client.pending_request = None  # which is told that its client has gone
        exchange.client = Unaware(exchange.client)
        super().on_request(id, left, write, rule_set, key, tenant, *rest)


class RejectsAll(Defect):
    """From some time on it rejects whatever comes, at once."""

    def __init__(self, terms, port, seed, now):
        super().__init__(terms, port, seed, now)
        self.began = now

    def on_request(self, id, left, write, rule_set, key, tenant, *rest):
        if self.now < self.began + 2_000_000:
            return super().on_request(id, left, write, rule_set, key, tenant, *rest)
        self.port.exchanges[id].answer(503)


class MakesUpIds(Defect):
    def on_request(self, id, left, write, rule_set, key, tenant, *rest):
        if id % 40 == 0:
            exchange = self.port.exchanges[id]
            exchange.head = exchange.head.replace(b"Request-Id: q", b"Request-Id: z")
        super().on_request(id, left, write, rule_set, key, tenant, *rest)


class StartsTheTimeAnew(Defect):
    """Each attempt tells its host the whole time that the client gave, also a late one."""

    def __init__(self, terms, port, seed, now):
        super().__init__(terms, port, seed, now)
        send = port.pools.send

        def send_with_whole_time(host, attempt):
            attempt.deadline_us = port.loop.now + attempt.owner.time_remaining_us
            send(host, attempt)

        port.pools.send = send_with_whole_time


class ChangesTheHead(Defect):
    """What it forwards has another start line than what came, or another idempotency key."""

    def change(self, head):
        raise NotImplementedError

    def on_request(self, id, left, write, rule_set, key, tenant, *rest):
        if id % 20 == 0:
            exchange = self.port.exchanges[id]
            exchange.head = self.change(exchange.head)
        super().on_request(id, left, write, rule_set, key, tenant, *rest)


class ChangesTheMethod(ChangesTheHead):
    def change(self, head):
        return head.replace(b"GET ", b"POST ", 1).replace(b"PUT ", b"POST ", 1)


class ChangesThePath(ChangesTheHead):
    def change(self, head):
        return head.replace(b"/k", b"/j", 1)


class DropsTheQuery(ChangesTheHead):
    def change(self, head):
        target = head.split(b" ")[1]
        return head.replace(target, target.partition(b"?")[0], 1)


class ChangesTheIdempotencyKey(ChangesTheHead):
    def change(self, head):
        return head.replace(b"Idempotency-Key: op", b"Idempotency-Key: po", 1)


class Cut:
    def __init__(self, client):
        self.client = client

    def answer(self, status, body=b"", retry_after_us=0):
        self.client.answer(status, body[:-1], retry_after_us)


class CutsAnswersShort(Defect):
    """A value that lacks its last byte, and says that it is whole."""

    def on_request(self, id, left, write, rule_set, key, tenant, *rest):
        if id % 40 == 0:
            self.port.exchanges[id].client = Cut(self.port.exchanges[id].client)
        super().on_request(id, left, write, rule_set, key, tenant, *rest)


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


def shipped(name, **more):
    """A plan of the operators' days, as a day here."""
    return tomllib.loads((TRIALS / f"{name}.toml").read_text()) | more


ROLL = USUAL | {
    "rate": 200.0,
    "trouble": [{"kind": "balancer-roll", "at-s": 2, "for-s": 2, "part": 1.0}],
}

# the defect, its day, the rule that it breaks
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
        shipped(
            "ops-drain",
            rate=3.0,
            trouble=[
                {"kind": "load", "at-s": 1, "for-s": 2, "size": 60},
                {"kind": "quiesce", "at-s": 4, "part": 0.4},
            ],
        ),
        "lost",
    ),
    (KeepsItsCount, shipped("ops-retune"), "twice"),
    (EndsAtOnce, shipped("ops-upgrade"), "lost"),
    (CutsFlows, shipped("ops-bulk"), "lost"),
    (HoldsStreams, LARGE, "late"),
    (
        AsksForEver,
        shipped(
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
