"""Counts of clients' connections and requests: how they arrived and how each of them ended.

The counts must add up: `connections_open` and `requests_open` are the differences between what
arrived and what ended, and must equal what is open. A request that a client sent and that is in no
count never reached this process.
"""

from __future__ import annotations

from collections import Counter
from enum import Enum


class ConnectionEnd(Enum):
    """How a client's connection ended."""

    CLIENT_CLOSED = "client_closed"
    BROKEN = "broken"  # reset, not read for too long, or a fault
    FINISHED = "finished"  # after its last answer
    EVICTED = "made_way"  # closed in favour of another client
    SILENT = "silent"  # no request arrived in time
    SHUTDOWN = "shutdown"  # no request in progress when the process shut down
    TRUNCATED = "truncated"  # reset, as its answer could not be sent completely
    MIGRATED = "migrated"  # transferred to another process of this balancer


CLOSED_HERE = frozenset((ConnectionEnd.EVICTED, ConnectionEnd.SILENT, ConnectionEnd.SHUTDOWN))


class RequestEnd(Enum):
    """How a request that arrived completely, or whose body is streamed, ended."""

    SERVED = "served"
    STREAMED = "streamed"  # streaming of its answer began
    DENIED = "denied"
    FAILED = "failed"
    INVALID = "invalid"  # its host rejected it as invalid
    NOT_PERMITTED = "not_permitted"  # control had granted no permission to serve
    CLIENT_DISCONNECTED = "client_gone"
    MIGRATED = "migrated"


END_BY_STATUS = {
    200: RequestEnd.SERVED,
    400: RequestEnd.INVALID,
    503: RequestEnd.DENIED,
}


class TrafficCounts:
    """Counts since the process started.

    Attributes:
        connections_accepted: Connections accepted from the listener.
        connections_adopted: Connections adopted from another process of this balancer.
        connection_ends: Connections that ended, by how they ended.
        closed_with_unread_bytes: Connections that this process closed while bytes of the client
            were unread, which resets them.
        closed_over_backlog: Connections that were waiting to be accepted when the listener was
            closed, which resets them.
        requests_arrived: Requests passed to the node.
        requests_adopted: Requests adopted from another process, with an attempt in flight.
        request_ends: Requests that ended, by how they ended.
        rejections: Rejections of requests that were never passed to the node, by status code.
        readiness_checks: Readiness checks that were answered.

    >>> counts = TrafficCounts()
    >>> counts.connections_accepted += 2
    >>> counts.on_connection_end(ConnectionEnd.SILENT)
    >>> counts.connections_open, counts.connection_counts()
    (1, {'accepted': 2, 'silent': 1, 'open': 1})
    """

    def __init__(self) -> None:
        """Set all counts to 0."""
        self.connections_accepted = 0
        self.connections_adopted = 0
        self.connection_ends: Counter[ConnectionEnd] = Counter()
        self.closed_with_unread_bytes = 0
        self.closed_over_backlog = 0
        self.requests_arrived = 0
        self.requests_adopted = 0
        self.request_ends: Counter[RequestEnd] = Counter()
        self.rejections: Counter[int] = Counter()
        self.readiness_checks = 0

    def on_connection_end(self, end: ConnectionEnd) -> None:
        """Count a connection that ended."""
        self.connection_ends[end] += 1

    def on_answered(self, status: int) -> None:
        """Count a request that was answered completely."""
        self.request_ends[END_BY_STATUS.get(status, RequestEnd.FAILED)] += 1

    def on_request_end(self, end: RequestEnd) -> None:
        """Count a request that ended without a complete answer."""
        self.request_ends[end] += 1

    @property
    def connections_open(self) -> int:
        """The number of connections that have not ended."""
        opened_count = self.connections_accepted + self.connections_adopted
        return opened_count - self.connection_ends.total()

    @property
    def requests_open(self) -> int:
        """The number of requests that have not ended."""
        return self.requests_arrived + self.requests_adopted - self.request_ends.total()

    def connection_counts(self) -> dict[str, int]:
        """Return the counts of connections that are not 0, for a log line."""
        return _without_zeros(
            {
                "accepted": self.connections_accepted,
                "adopted": self.connections_adopted,
                **{end.value: count for end, count in self.connection_ends.items()},
                "unread": self.closed_with_unread_bytes,
                "closed_over_backlog": self.closed_over_backlog,
                "open": self.connections_open,
            }
        )

    def request_counts(self) -> dict[str, int]:
        """Return the counts of requests that are not 0, for a log line."""
        return _without_zeros(
            {
                "arrived": self.requests_arrived,
                "adopted": self.requests_adopted,
                **{end.value: count for end, count in self.request_ends.items()},
                "open": self.requests_open,
            }
        )

    def log_fields(self) -> dict[str, dict[str, int]]:
        """Return all counts, for a log line."""
        rejected = {str(status): count for status, count in sorted(self.rejections.items())}
        return {
            "connections": self.connection_counts(),
            "requests": self.request_counts(),
            "rejected": rejected,
        }


def _without_zeros(counts: dict[str, int]) -> dict[str, int]:
    return {name: count for name, count in counts.items() if count}
