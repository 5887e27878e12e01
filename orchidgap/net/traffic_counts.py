"""How clients' connections and requests came and how each of them ended, counted.

What came and what ended must add up: `connections_open` and `requests_open` are what is left, and
have to be what is open. A request that a client sent and that stands in no count never came here.
"""

from __future__ import annotations

from collections import Counter
from enum import Enum


class ConnectionEnd(Enum):
    """How a client's connection ended."""

    CLIENT_CLOSED = "client_closed"
    BROKEN = "broken"  # reset, not read for too long, or a fault
    FINISHED = "finished"  # after its last answer
    EVICTED = "made_way"  # for another client
    SILENT = "silent"  # it brought no request in time
    SHUTDOWN = "shutdown"  # it had asked nothing when the process ended
    TRUNCATED = "truncated"  # reset, as its answer could not be given whole
    MIGRATED = "migrated"  # to another process of this balancer


CLOSED_HERE = frozenset((ConnectionEnd.EVICTED, ConnectionEnd.SILENT, ConnectionEnd.SHUTDOWN))


class RequestEnd(Enum):
    """How a request that came whole, or whose body is streamed, ended."""

    SERVED = "served"
    STREAMED = "streamed"  # its answer began to be streamed
    DENIED = "denied"
    FAILED = "failed"
    INVALID = "invalid"  # its host found fault with it
    NOT_PERMITTED = "not_permitted"  # control gave no permission to serve
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
        connections_accepted: From the listener.
        connections_adopted: From another process of this balancer.
        connection_ends: By how they ended.
        closed_with_unread_bytes: Connections that were closed here while bytes of the client had
            not been read, which resets them.
        closed_over_backlog: Connections that waited to be accepted as the listener was closed over
            them, which resets them.
        requests_arrived: Handed to the node.
        requests_adopted: From another process, with an attempt in flight.
        request_ends: By how they ended.
        rejections: Of what was never handed to the node, by status code.
        readiness_checks: Answered.

    >>> counts = TrafficCounts()
    >>> counts.connections_accepted += 2
    >>> counts.on_connection_end(ConnectionEnd.SILENT)
    >>> counts.connections_open, counts.connection_facts()
    (1, {'accepted': 2, 'silent': 1, 'open': 1})
    """

    def __init__(self) -> None:
        """Begin with nothing."""
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
        """Count a request that was answered whole."""
        self.request_ends[END_BY_STATUS.get(status, RequestEnd.FAILED)] += 1

    def on_request_end(self, end: RequestEnd) -> None:
        """Count a request that ended otherwise."""
        self.request_ends[end] += 1

    @property
    def connections_open(self) -> int:
        """Connections that came and have not ended."""
        came = self.connections_accepted + self.connections_adopted
        return came - self.connection_ends.total()

    @property
    def requests_open(self) -> int:
        """Requests that came and have not ended."""
        return self.requests_arrived + self.requests_adopted - self.request_ends.total()

    def connection_facts(self) -> dict[str, int]:
        """The counts of connections that are not 0, for a log line."""
        return _above_zero(
            {
                "accepted": self.connections_accepted,
                "adopted": self.connections_adopted,
                **{end.value: count for end, count in self.connection_ends.items()},
                "unread": self.closed_with_unread_bytes,
                "closed_over_backlog": self.closed_over_backlog,
                "open": self.connections_open,
            }
        )

    def request_facts(self) -> dict[str, int]:
        """The counts of requests that are not 0, for a log line."""
        return _above_zero(
            {
                "arrived": self.requests_arrived,
                "adopted": self.requests_adopted,
                **{end.value: count for end, count in self.request_ends.items()},
                "open": self.requests_open,
            }
        )

    def facts(self) -> dict[str, dict[str, int]]:
        """All counts, for a log line."""
        rejected = {str(status): count for status, count in sorted(self.rejections.items())}
        return {
            "connections": self.connection_facts(),
            "requests": self.request_facts(),
            "rejected": rejected,
        }


def _above_zero(facts: dict[str, int]) -> dict[str, int]:
    return {name: count for name, count in facts.items() if count}
