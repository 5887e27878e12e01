"""A balancer on a port that writes down what it was asked to do, and a node on socket pairs."""

import socket

from orchidgap.decisions.balancer import Balancer
from orchidgap.decisions.settings import ServiceSettings
from orchidgap.http1 import Http1
from orchidgap.net.config import BalancerConfig
from orchidgap.net.connection import Fault, Reach
from orchidgap.net.endpoints import decode_list
from orchidgap.net.loop import Loop
from orchidgap.net.node import Node

PAIRS = {
    "family-info.mode": "aside",
    "family-info.origin-kind": "1",
    "kinds": "cache,origin",
    "ceilings.most-dispatches": "4",
    "ceilings.may-cancel": "true",
    "ceilings.retry-after": "true",
    "ceilings.max-retry-after": "2000000",
    "guarantees.cold-from": "0.2",
    "guarantees.warm-after": "10000000",
    "customers.count": "2",
    "customers.0.name": "big",
    "customers.0.share": "0.5",
    "customers.1.name": "small",
    "customers.1.share": "0.5",
    "rule-sets.count": "3",
}
for i, (name, effect) in enumerate((("read", "retryable"), ("mark", "dedup"), ("once", "fragile"))):
    PAIRS |= {
        f"rule-sets.{i}.name": name,
        f"rule-sets.{i}.effect": effect,
        f"rule-sets.{i}.group": "all",
        f"rule-sets.{i}.response-target": "800000",
        f"rule-sets.{i}.client-timeout": "2000000",
        f"rule-sets.{i}.repeat-window": "1000000",
    }


class Port:
    def __init__(self):
        self.did = []

    def __getattr__(self, name):
        return lambda *what: self.did.append((name, *what))


class Desk(Balancer):
    """Caches c0, c1 ... and the origin `o`; reqs are numbered from 1."""

    def __init__(self, caches=4, now=100_000_000, **pairs):
        terms = ServiceSettings.from_pairs(
            PAIRS | {name.replace("__", "."): value for name, value in pairs.items()}
        )
        super().__init__(terms, Port(), 7, now)
        self.number = 0
        self.list([f"c{i}" for i in range(caches)] + ["o"], "recalled")

    def list(self, ids, scope="changes", state="up", since=0):
        self.on_hosts(
            scope,
            [(id, state, since, "z", "origin" if id == "o" else "cache", "1", 1.0) for id in ids],
        )

    def put(self, key=1, rule_set="read", left=2_000_000, tenant="small"):
        self.number += 1
        self.on_request(self.number, left, rule_set != "read", rule_set, key, tenant)
        return self.number

    def wait(self, micros):
        """Time passes; what is due on the way happens."""
        end = self.now + micros
        while self.entries and self.entries[0][0] <= end:
            self.now = max(self.now, self.entries[0][0])
            self.on_wake(self.wake_at_us)
        self.now = end

    def outcome(self, req, verdict, number=0, over=None):
        self.on_outcome(req, number, verdict, verdict == "done" if over is None else over)

    def did(self, name, req=None):
        return [
            what[1:]
            for what in self.port.did
            if what[0] == name and (req is None or req == what[1])
        ]

    def sent(self, req):
        return [host for _, host in self.did("dispatch", req)]

    def owner(self, key):
        """The cache that a lone req for the key goes to."""
        req = self.put(key)
        host = self.sent(req)[0]
        self.outcome(req, "done")
        return host


def sizes(desk):
    return {host.id: host.range_size for host in desk.placement.ring}


def rated(ratings, weights="rough", **pairs):
    desk = Desk(0, weights=weights, **pairs)
    desk.on_hosts(
        "changes",
        [(f"c{i}", "up", 0, "z", "cache", "1", rating) for i, rating in enumerate(ratings)],
    )
    return desk


class Log:
    """Keeps its lines; a trouble that was not expected ends the test."""

    def __init__(self, expects=()):
        self.lines, self.expects = [], expects

    def __call__(self, event, **facts):
        self.lines.append(event)

    def trouble(self, trouble):
        if type(trouble) not in self.expects:
            raise trouble
        self.lines.append(type(trouble).__name__)


class Net:
    """A node on socket pairs under a clock of its own. Hosts listen at the port that is their number."""

    def __init__(
        self,
        caches=2,
        expects=(),
        sockets=1024,
        memory=192,
        start=True,
        decider=Balancer,
        listed=True,
        **pairs,
    ):
        self.now, self.log, self.dialled, self.refused, self.kept = (
            10**12,
            Log(expects),
            [],
            set(),
            [],
        )
        self.loop = Loop(clock=lambda: self.now, trouble=self.log.trouble)
        pairs = PAIRS | {name.replace("__", "."): value for name, value in pairs.items()}
        found = decode_list(
            {
                "seq": 7,
                "whole": True,
                "hosts": [self.entry(i) for i in range(caches)] + [self.entry(9)],
            }
        )
        self.node = Node(
            self.loop,
            BalancerConfig(
                "n0",
                ("127.0.0.1", 1),
                ("127.0.0.1", 8500),
                7,
                sockets,
                memory,
                found,
                ServiceSettings.from_pairs(pairs),
                100_000,
                30_000_000,
            ),
            self.log,
            Http1(),
            self.dial,
            decider,
        )
        self.verdicts = []
        outcome = self.node.balancer.on_outcome
        self.node.balancer.on_outcome = lambda id, number, verdict, over: (
            self.verdicts.append(verdict),
            outcome(id, number, verdict, over),
        )
        self.node.listed = (
            listed  # else it serves once discovery has told its list, or is silent for long
        )
        if start:
            self.node.start()
            self.turn()

    @staticmethod
    def entry(number, health="Ready", port=None, born=0):
        return {
            "host": f"c{number}" if number < 9 else "o",
            "dial": f"127.0.0.1:{port or 100 + number}",
            "site": "z",
            "class": "cache" if number < 9 else "origin",
            "block": 1,
            "health": health,
            "share": 1.0,
            "born_ms": born,
        }

    def dial(self, address):
        if address[1] in self.refused:
            return Fault(Reach.UNSENT, "broken", "refused")
        near, far = socket.socketpair()
        far.setblocking(False)
        self.dialled.append((address[1], far))
        return near

    def turn(self, times=4):
        for _ in range(times):
            self.loop.run_once(0)

    def wait(self, micros):
        """Time passes; what is due on the way happens."""
        end = self.now + micros
        while self.loop.timers and self.loop.timers[0][0] <= end:
            self.now = max(self.now, self.loop.timers[0][0])
            self.turn()
        self.now = end
        self.turn()

    def client(self, text=b""):
        near, far = socket.socketpair()
        far.setblocking(False)
        self.kept.append(far)  # else it would hang up
        far.sendall(text)
        self.turn(1)
        self.node.clients.let_in(near)
        self.turn()
        return far

    def ask(self, key="k1", rule_set="read", left="2.0", method="GET", body=""):
        more = f"Content-Length: {len(body)}\r\nIdempotency-Key: m1\r\n" if method == "PUT" else ""
        return self.client(
            f"{method} /{rule_set}/{key}?q=1 HTTP/1.1\r\nHost: s\r\nRequest-Id: r-{key}\r\n{more}"
            f"Tenant: small\r\nRequest-Timeout: {left}\r\n\r\n{body}".encode()
        )

    def fars(self):
        """The hosts' ends of all links, in the order they were dialled."""
        return [far for port, far in self.dialled if port != 8500]

    def far(self, number=-1):
        return self.fars()[number]

    def says(self, far, text):
        far.sendall(text.encode() if isinstance(text, str) else text)
        self.turn()

    def serve(self):
        """Every host answers what it was asked."""
        for far in self.fars():
            if heard(far):
                self.answers(far)

    def answers(self, far, status=200, body="v", more=""):
        self.says(far, f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n{more}\r\n{body}")


def heard(far):
    """What has come to this end: text, "" where it was closed, None where there is nothing."""
    try:
        return far.recv(1 << 17).decode()
    except BlockingIOError:
        return None
    except ConnectionError:
        return ""
