"""What a balancer leaves to the process that takes its place: what it knows of hosts, how it cut its ranges.

Nothing here does I/O. What is told is checked field by field; what cannot be is left aside.
"""

from __future__ import annotations

from collections.abc import Mapping
from math import isfinite
from typing import Any

from orchidgap.decisions.balancer import Balancer
from orchidgap.decisions.hash_ranges import SLOT_COUNT

SLACK = 50_000  # by which two processes' clocks may differ
AHEAD = {"shun_until": 1_000_000, "warm_at": 60_000_000}  # how far ahead these may lie
# What is told of a host, with the least and the most that can be; None: a time.
FIELDS: dict[str, tuple[float, float] | None] = {
    "limit": (0.01, 100_000.0),
    "floor": (0.0, 100_000.0),
    "lag": (0, 60_000_000),
    "credit": (0.0, 10.0),
    "rate": (-1.0, 1e9),
    "cut_at": None,
    "judged_at": None,
    "heard_at": None,
    "shun_until": None,
    "warm_at": None,
}
# The attribute of `HostState` behind each name of the snapshot.
ATTRIBUTES = {
    "limit": "concurrency_limit",
    "floor": "limit_floor",
    "lag": "smoothed_latency_us",
    "credit": "retry_budget",
    "rate": "reported_request_rate",
    "cut_at": "limit_decreased_at_us",
    "judged_at": "latency_recorded_at_us",
    "heard_at": "last_response_at_us",
    "shun_until": "ejected_until_us",
    "warm_at": "warm_at_us",
}


def export_snapshot(balancer: Balancer) -> dict[str, Any]:
    """All of it, as plain values; times are in microseconds of the clock that all processes share."""
    return {
        "hosts": {
            host.id: {name: getattr(host, ATTRIBUTES[name]) for name in FIELDS}
            | {"since": host.started_at_us, "size": host.range_size}
            for host in balancer.hosts.values()
        },
        "tenants": {
            name: [balancer.admission.admitted[name], shed]
            for name, shed in balancer.admission.shed_ratios.items()
        },
    }


def number(value: Any, low: float, high: float) -> bool:
    """
    >>> number(1, 0, 2), number(3, 0, 2), number(True, 0, 2), number("1", 0, 2), number(float("nan"), 0, 2)
    (True, False, False, False, False)
    """
    if not isinstance(value, int | float) or isinstance(value, bool):
        return False
    return isfinite(value) and low <= value <= high


def restore_snapshot(balancer: Balancer, told: Any) -> int:
    """What another left, as far as it fits; of how many hosts anything was taken.

    A host that has started since owes nothing to what its forerunner did. Ranges are taken only where they
    are those of the same caches.
    """
    hosts = told.get("hosts") if isinstance(told, Mapping) else None
    if not isinstance(hosts, Mapping):
        return 0
    now, taken = balancer.now, 0
    sizes: dict[str, int] = {}
    for host in balancer.hosts.values():
        fields = hosts.get(host.id)
        if not isinstance(fields, Mapping) or fields.get("since") != host.started_at_us:
            continue
        for name, bounds in FIELDS.items():
            value = fields.get(name)
            if number(value, *(bounds or (0, now + SLACK + AHEAD.get(name, 0)))):
                attribute = ATTRIBUTES[name]
                setattr(host, attribute, type(getattr(host, attribute))(value))
        if number(fields.get("size"), 0, SLOT_COUNT):
            sizes[host.id] = int(fields["size"])
        taken += 1
    ring = balancer.placement.ring
    if (
        ring
        and all(host.id in sizes for host in ring)
        and sum(sizes[host.id] for host in ring) == SLOT_COUNT
    ):
        for host in ring:
            host.range_size = sizes[host.id]
        balancer.placement.ranges.refresh()
    tenants = told.get("tenants")
    for name, pair in tenants.items() if isinstance(tenants, Mapping) else ():
        if name in balancer.admission.shed_ratios and isinstance(pair, list) and len(pair) == 2:
            if number(pair[0], 0.0, 1e9) and number(pair[1], 0.0, 0.9):
                admission = balancer.admission
                admission.admitted[name], admission.shed_ratios[name] = map(float, pair)
    return taken
