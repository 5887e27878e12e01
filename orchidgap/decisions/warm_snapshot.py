"""The warm-restart snapshot: a process's state of hosts, ranges and tenants, for its successor.

Without it the successor would start with initial limits and latencies and with even ranges. A
snapshot consists of plain JSON values. Its names must not change, because processes of older and
newer versions exchange it. Its content is not trusted: a value of the wrong type or out of bounds
is ignored, and the rest is used. No I/O.
"""

from __future__ import annotations

from collections.abc import Mapping
from math import isfinite
from typing import NamedTuple, TypedDict, TypeGuard

from orchidgap.decisions.balancer import Balancer
from orchidgap.decisions.hash_ranges import SLOT_COUNT
from orchidgap.decisions.records import HostState

CLOCK_SLACK_US = 50_000  # by how much the clocks of two processes may differ
MAX_EJECTION_US = 1_000_000
MAX_SLOW_START_US = 60_000_000
MAX_ADMITTED_COUNT = 1e9
MAX_SHED_RATIO = 0.9

# Names of a host's values in the snapshot, in addition to those of `HOST_FIELDS`.
STARTED_AT = "since"
RANGE_SIZE = "size"


class Snapshot(TypedDict):
    """A whole snapshot, as sent to the successor.

    Attributes:
        hosts: By host id, the values of `HOST_FIELDS` and the host's start time and range size.
            Times are microseconds of a clock that all processes of a machine share.
        tenants: By tenant, the number of recently admitted requests and the ratio of requests that
            is shed.
    """

    hosts: dict[str, dict[str, float]]
    tenants: dict[str, list[float]]


class HostField(NamedTuple):
    """One value of a host, with the bounds for a restored value."""

    name: str  # name in the snapshot
    attribute: str  # name of the attribute of `HostState`
    lowest: float
    highest: float  # for a time, relative to the current time

    is_time: bool = False

    def accepts(self, value: object, now: int) -> TypeGuard[float]:
        """Returns whether the value can be used at the time `now`."""
        latest = now + CLOCK_SLACK_US + self.highest if self.is_time else self.highest
        return is_number_between(value, self.lowest, latest)


HOST_FIELDS = (
    HostField("limit", "concurrency_limit", 0.01, 100_000.0),
    HostField("floor", "limit_floor", 0.0, 100_000.0),
    HostField("lag", "smoothed_latency_us", 0, 60_000_000),
    HostField("credit", "retry_budget", 0.0, 10.0),
    HostField("rate", "reported_request_rate", -1.0, 1e9),
    HostField("cut_at", "limit_decreased_at_us", 0, 0, is_time=True),
    HostField("judged_at", "latency_recorded_at_us", 0, 0, is_time=True),
    HostField("heard_at", "last_response_at_us", 0, 0, is_time=True),
    HostField("shun_until", "ejected_until_us", 0, MAX_EJECTION_US, is_time=True),
    HostField("warm_at", "warm_at_us", 0, MAX_SLOW_START_US, is_time=True),
)


def export_snapshot(balancer: Balancer) -> Snapshot:
    """Returns the state of this balancer that a successor can use."""
    admission = balancer.admission
    return {
        "hosts": {host.id: _export_host(host) for host in balancer.hosts.values()},
        "tenants": {
            name: [admission.admitted[name], shed] for name, shed in admission.shed_ratios.items()
        },
    }


def restore_snapshot(balancer: Balancer, snapshot: object) -> int:
    """Restores the usable values of a snapshot that another process exported.

    A host that has restarted since the export is skipped, as its values describe its previous
    process. Ranges are restored only as a whole, if they are for the same caches.

    Args:
        balancer: The balancer to restore. Its `now` must be set.
        snapshot: A decoded `Snapshot`; it may have any form.

    Returns:
        The number of hosts that matched the snapshot.
    """
    if not isinstance(snapshot, Mapping):
        return 0
    hosts = snapshot.get("hosts")
    if not isinstance(hosts, Mapping):
        return 0
    restored_count = 0
    range_sizes: dict[str, int] = {}
    for host in balancer.hosts.values():
        values = hosts.get(host.id)
        if not isinstance(values, Mapping) or values.get(STARTED_AT) != host.started_at_us:
            continue
        _restore_host(host, values, balancer.now)
        range_size = values.get(RANGE_SIZE)
        if is_number_between(range_size, 0, SLOT_COUNT):
            range_sizes[host.id] = int(range_size)
        restored_count += 1
    balancer.placement.slow_start.on_ring_changed()  # ends of warm-ups may have changed
    _restore_ranges(balancer, range_sizes)
    _restore_tenants(balancer, snapshot.get("tenants"))
    return restored_count


def is_number_between(value: object, lowest: float, highest: float) -> TypeGuard[float]:
    """Returns whether the value is a finite number within bounds, both inclusive.

    >>> [is_number_between(value, 0, 2) for value in (1, 3, True, "1", float("nan"))]
    [True, False, False, False, False]
    """
    if not isinstance(value, int | float) or isinstance(value, bool):
        return False
    return isfinite(value) and lowest <= value <= highest


def _export_host(host: HostState) -> dict[str, float]:
    values: dict[str, float] = {field.name: getattr(host, field.attribute) for field in HOST_FIELDS}
    values[STARTED_AT] = host.started_at_us
    values[RANGE_SIZE] = host.range_size
    return values


def _restore_host(host: HostState, values: Mapping[str, object], now: int) -> None:
    for field in HOST_FIELDS:
        value = values.get(field.name)
        if field.accepts(value, now):
            number_type = type(getattr(host, field.attribute))
            setattr(host, field.attribute, number_type(value))


def _restore_ranges(balancer: Balancer, range_sizes: Mapping[str, int]) -> None:
    ring = balancer.placement.ring
    if not ring or any(host.id not in range_sizes for host in ring):
        return
    if sum(range_sizes[host.id] for host in ring) != SLOT_COUNT:
        return
    for host in ring:
        host.range_size = range_sizes[host.id]
    balancer.placement.ranges.refresh()


def _restore_tenants(balancer: Balancer, tenants: object) -> None:
    if not isinstance(tenants, Mapping):
        return
    admission = balancer.admission
    for name, values in tenants.items():
        if name not in admission.shed_ratios or not isinstance(values, list) or len(values) != 2:
            continue
        admitted, shed = values
        if is_number_between(admitted, 0.0, MAX_ADMITTED_COUNT) and is_number_between(
            shed, 0.0, MAX_SHED_RATIO
        ):
            admission.admitted[name] = float(admitted)
            admission.shed_ratios[name] = float(shed)
