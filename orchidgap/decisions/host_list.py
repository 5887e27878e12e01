"""Merges the host list that discovery returns into the known hosts."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from enum import StrEnum

from orchidgap.decisions.records import HostState, HostStatus

# An entry of the list: id, status (the string of a `HostStatus`), start of its process in
# microseconds (0: long ago), zone, kind, cell, and weight.
HostEntry = tuple[str, str, int, str, str, str, float]


class ListScope(StrEnum):
    """Which hosts a list covers; members equal and hash like their strings."""

    WHOLE = "whole"  # all hosts: unlisted ones are gone
    RECALLED = "recalled"  # all hosts, as known before this process started
    CHANGES = "changes"  # changed hosts only: others are unchanged
    FAILED = "failed"  # no hosts: the subscription failed


MIN_WEIGHT = 1e-6  # used instead of a listed weight that is 0 or negative
BACKOFF_BASE_US = 1_000_000  # doubled for each consecutive failure, including the first
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
        known: The hosts known so far, by id.
        entries: The listed hosts, in the order of the list.
        is_whole: Whether hosts that are not listed are gone.
        origin_kind: The kind of hosts that are origins.
        on_started: Called with a host that is new or has restarted, and with the start of its
            process.
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
    """Return the maximum delay to subscribe again after so many consecutive failures."""
    backoff_us = BACKOFF_BASE_US << min(failures, MAX_RETRY_DOUBLINGS)
    return min(subscribe_within_us // 4, backoff_us)
