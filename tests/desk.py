"""A balancer on a port that writes down what it was asked to do."""

from orchidgap.decisions.balancer import Balancer
from orchidgap.decisions.settings import ServiceSettings

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
