"""How the list of hosts that discovery returns is merged into what is known."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from enum import StrEnum

from orchidgap.decisions.records import HostState, HostStatus

# As listed: id, status (the string of a `HostStatus`), start of its process in microseconds
# (0: long ago), zone, kind, cell, and weight.
HostEntry = tuple[str, str, int, str, str, str, float]


class ListScope(StrEnum):
    """What a list of hosts covers; members equal and hash like their strings."""

    WHOLE = "whole"  # all hosts: others are gone
    RECALLED = "recalled"  # all hosts, as they were known before this process started
    CHANGES = "changes"  # other hosts are as they were
    FAILED = "failed"  # nothing: calling for the list failed


MIN_WEIGHT = 1e-6  # of a host that the list says weighs nothing
FIRST_RETRY_US = 1_000_000
MAX_RETRY_DOUBLINGS = 3


def merge_host_list(
    known: Mapping[str, HostState],
    entries: Iterable[HostEntry],
    *,
    is_whole: bool,
    origin_kind: str,
    on_started: Callable[[HostState, int], None],
) -> dict[str, HostState]:
    """Return all hosts by id, in the order of their ids.

    Args:
        known: Those known so far.
        entries: Those that were told, in the order they were.
        is_whole: Whether hosts that were not told are gone.
        origin_kind: The kind whose hosts are origins.
        on_started: Called with a host that is new or has started again, and with the start of
            its process.
    """
    hosts = dict(known)
    gone = set(known) if is_whole else set()
    for host_id, status, started_at_us, zone, kind, cell, weight in entries:
        if status == HostStatus.GONE:
            gone.add(host_id)
            continue
        gone.discard(host_id)
        host = hosts.get(host_id)
        if host is None:
            host = HostState(host_id, kind == origin_kind)
            hosts[host_id] = host
        if started_at_us != host.started_at_us:
            on_started(host, started_at_us)
        host.state = HostStatus(status)
        host.zone = zone
        host.cell = cell
        host.weight = max(weight, MIN_WEIGHT)
    return {host_id: host for host_id, host in sorted(hosts.items()) if host_id not in gone}


def max_retry_delay_us(failures: int, subscribe_within_us: int) -> int:
    """Within how many microseconds to ask for the list again after so many failures in a row."""
    backoff_us = FIRST_RETRY_US << min(failures, MAX_RETRY_DOUBLINGS)
    return min(subscribe_within_us // 4, backoff_us)
