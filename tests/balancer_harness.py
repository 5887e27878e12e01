"""A balancer on a port that records what it was asked to do, under a clock of its own."""

from orchidgap.decisions.balancer import Balancer
from orchidgap.decisions.settings import ServiceSettings

SETTINGS = {
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
    SETTINGS |= {
        f"rule-sets.{i}.name": name,
        f"rule-sets.{i}.effect": effect,
        f"rule-sets.{i}.group": "all",
        f"rule-sets.{i}.response-target": "800000",
        f"rule-sets.{i}.client-timeout": "2000000",
        f"rule-sets.{i}.repeat-window": "1000000",
    }


class RecordingPort:
    """Records each call as its name and arguments."""

    def __init__(self):
        self.actions = []

    def __getattr__(self, name):
        return lambda *arguments: self.actions.append((name, *arguments))


class BalancerHarness(Balancer):
    """Caches c0, c1 ... and the origin `o`; requests are numbered from 1."""

    def __init__(self, caches=4, now=100_000_000, **pairs):
        settings = ServiceSettings.from_pairs(
            SETTINGS | {name.replace("__", "."): value for name, value in pairs.items()}
        )
        super().__init__(settings, RecordingPort(), 7, now)
        self.last_request_id = 0
        self.list_hosts([f"c{i}" for i in range(caches)] + ["o"], "recalled")

    def list_hosts(self, ids, scope="changes", state="up", since=0):
        self.on_hosts(
            scope,
            [(id, state, since, "z", "origin" if id == "o" else "cache", "1", 1.0) for id in ids],
        )

    def send_request(self, key=1, request_class="read", left=2_000_000, tenant="small"):
        self.last_request_id += 1
        self.on_request(
            self.last_request_id, left, request_class != "read", request_class, key, tenant
        )
        return self.last_request_id

    def advance(self, micros):
        """Time passes; what is due on the way happens."""
        end = self.now + micros
        while self.entries and self.entries[0][0] <= end:
            self.now = max(self.now, self.entries[0][0])
            self.on_wake(self.wake_at_us)
        self.now = end

    def finish_attempt(self, request, outcome, number=0, over=None):
        """The request's attempt of this number has its outcome, which may end the request."""
        self.on_outcome(request, number, outcome, outcome == "done" if over is None else over)

    def actions(self, name, request=None):
        """What the port was asked under this name, in order; all, or of one request."""
        return [
            action[1:]
            for action in self.port.actions
            if action[0] == name and (request is None or request == action[1])
        ]

    def attempted_hosts(self, request):
        return [host for _, host in self.actions("dispatch", request)]

    def owner_of_key(self, key):
        """The cache that a lone request for the key goes to."""
        request = self.send_request(key)
        host = self.attempted_hosts(request)[0]
        self.finish_attempt(request, "done")
        return host


def range_sizes(balancer):
    return {host.id: host.range_size for host in balancer.placement.ring}


def weighted_balancer(weights, setting="rough", **pairs):
    """A balancer with caches of these listed weights."""
    balancer = BalancerHarness(0, weights=setting, **pairs)
    balancer.on_hosts(
        "changes",
        [(f"c{i}", "up", 0, "z", "cache", "1", weight) for i, weight in enumerate(weights)],
    )
    return balancer
