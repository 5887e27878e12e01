"""A balancer with a port that records its calls, and a clock that tests advance."""

from orchidgap.decisions.balancer import Balancer
from orchidgap.decisions.repeat_safety import Idempotency
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
    """Records each call as a tuple of its name and arguments."""

    def __init__(self):
        self.actions = []

    def __getattr__(self, name):
        return lambda *arguments: self.actions.append((name, *arguments))


class BalancerHarness(Balancer):
    """A balancer with caches c0, c1 ... and the origin `o`; requests are numbered from 1."""

    def __init__(self, caches=4, now=100_000_000, **pairs):
        settings = ServiceSettings.from_pairs(
            SETTINGS | {name.replace("__", "."): value for name, value in pairs.items()}
        )
        super().__init__(settings, RecordingPort(), 7, now)
        self.last_request_id = 0
        self.list_hosts([f"c{i}" for i in range(caches)] + ["o"], "recalled")

    def list_hosts(self, ids, scope="changes", state="up", started_at_us=0):
        self.on_hosts(
            scope,
            [
                (id, state, started_at_us, "z", "origin" if id == "o" else "cache", "1", 1.0)
                for id in ids
            ],
        )

    def send_request(
        self,
        key=1,
        request_class="read",
        time_remaining_us=2_000_000,
        tenant="small",
        idempotency=Idempotency.KEYED,
    ):
        self.last_request_id += 1
        self.on_request(
            self.last_request_id,
            time_remaining_us,
            request_class != "read",
            request_class,
            key,
            tenant,
            idempotency=idempotency,
        )
        return self.last_request_id

    def advance(self, duration_us):
        """Advance the clock, and run the timers that are due until then."""
        end = self.now + duration_us
        while self.entries and self.entries[0][0] <= end:
            self.now = max(self.now, self.entries[0][0])
            self.on_wake(self.wake_at_us)
        self.now = end

    def finish_attempt(self, request, outcome, number=0, answered=None):
        """Report the outcome of an attempt; "done" answers the request unless set otherwise."""
        self.on_outcome(
            request, number, outcome, outcome == "done" if answered is None else answered
        )

    def actions(self, name, request=None):
        """Return the arguments of the port's calls of this name, in order; optionally of one request."""
        return [
            action[1:]
            for action in self.port.actions
            if action[0] == name and (request is None or request == action[1])
        ]

    def attempted_hosts(self, request):
        return [host for _, host in self.actions("dispatch", request)]

    def owner_of_key(self, key):
        """Return the cache that gets a request for the key while no other is in flight."""
        request = self.send_request(key)
        host = self.attempted_hosts(request)[0]
        self.finish_attempt(request, "done")
        return host


def range_sizes(balancer):
    return {host.id: host.range_size for host in balancer.placement.ring}


def weighted_balancer(weights, setting="rough", **pairs):
    """Return a balancer with caches of these listed weights."""
    balancer = BalancerHarness(0, weights=setting, **pairs)
    balancer.on_hosts(
        "changes",
        [(f"c{i}", "up", 0, "z", "cache", "1", weight) for i, weight in enumerate(weights)],
    )
    return balancer
