"""Clients that connect to one balancer continuously, also while its process ends or restarts.

Each connection carries one request, which is checked like those of the other clients. A stream is
limited in connections and time; `DialCounts` accounts for each connection that was dialled.
"""

from __future__ import annotations

import socket
from dataclasses import asdict, dataclass
from random import Random
from typing import NamedTuple

from orchidgap.fault_tests.cluster import Cluster
from orchidgap.fault_tests.tally import Tally
from orchidgap.net.attempt_failure import AttemptFailure
from orchidgap.simulation.balancer_connection import BalancerConnection, is_up
from orchidgap.simulation.environment import Environment
from orchidgap.simulation.observations import ClientAttempt, Operation

REFUSED_PAUSE_PER_SLOT_US = 2_000  # all slots together are refused about every 2 ms
ID_PREFIX = b"d"  # requests of other clients begin with another letter
# few enough that all are in the hosts' caches: a stream is meant to load only the balancer
KEY_COUNT = 16
WORK_US = 5_000
DENIED_STATUSES = (429, 503)


class DialLimits(NamedTuple):
    """The limits of a stream.

    Attributes:
        slots: The maximum number of connections that are being dialled or open at the same time.
        max_dials: The maximum total number of connections.
        duration_us: How long new connections are dialled.
        writes_later: Whether the request is written one turn of the loop after the connection is
            established, as by programs that wait for many connections at once.
    """

    slots: int
    max_dials: int
    duration_us: int
    writes_later: bool = False


@dataclass(slots=True)
class DialCounts(Tally):
    """The results of the connections that were dialled.

    Attributes:
        dialled: All dialled connections.
        refused: Connections that were never established.
        cut: Established connections that ended before the last byte of the request was written.
        served: Connections whose request was answered 200.
        denied: Connections whose request was answered 429 or 503.
        failed: Connections whose request got another answer, or a recognizably partial one.
        killed: Connections whose process was killed outright.
        lost: Connections that ended without an answer, reported to the invariant checker.
        open: Connections without a result yet.
        sent_again: Further connections for requests that were written while the first one was
            being closed.
        written_late: Established connections whose request was not written in the call that dialled
            them.
    """

    dialled: int = 0
    refused: int = 0
    cut: int = 0
    served: int = 0
    denied: int = 0
    failed: int = 0
    killed: int = 0
    lost: int = 0
    open: int = 0
    sent_again: int = 0
    written_late: int = 0

    def remainder(self) -> int:
        """Return how many connections are not accounted for by any other count.

        >>> DialCounts(dialled=3, refused=1, served=1).remainder()
        1
        """
        ended = self.refused + self.cut + self.served + self.denied + self.failed
        return self.dialled - ended - self.killed - self.lost - self.open


class DialledConnection(BalancerConnection):
    """A connection whose request is written as soon as it is established, not before.

    On loopback the connection is mostly established when the call that dials returns. This keeps
    the time as short as possible in which the balancer has a connection without a request, which
    it may close.
    """

    __slots__ = ("first_request", "writes_immediately")

    def __init__(
        self,
        stream: DialStream,
        sock: socket.socket,
        attempt: ClientAttempt,
        message: tuple[bytes, ...],
    ) -> None:
        """Wrap a dialled socket."""
        self.first_request = attempt, message
        self.writes_immediately = is_up(sock) and not stream.limits.writes_later
        super().__init__(stream, stream.balancer, sock, opening=not self.writes_immediately)

    def start_if_up(self) -> None:
        """Write the request now if the connection is established."""
        if self.writes_immediately:
            self.start(*self.first_request)

    def on_connected(self) -> None:
        """Write the request; the process to account it to may have been started since the dial."""
        attempt, message = self.first_request
        self.update_incarnation(attempt)
        assert isinstance(self.clients, DialStream)
        self.clients.written_late += 1
        self.start(attempt, message)

    def on_closed(self, reason: str) -> None:
        """Handle a refused connection, or one that ended during its request."""
        attempt, _ = self.first_request
        if not self.request_count:
            self._forget()
            self.clients.on_refused(attempt, self.balancer)
            return
        # if the end of the process was detected first, nothing else notifies the stream
        was_abandoned = attempt.abandoned and self.attempt is attempt
        super().on_closed(reason)
        if was_abandoned:
            self.clients.on_outcome(attempt, 0, 0)


class DialStream:
    """Dials one balancer repeatedly and owns the connections.

    Attributes:
        balancer: The balancer's name.
        attempts: One attempt for each first connection of a request.
        refused_ids: The ids of attempts whose connection was never established.
        cut_ids: The ids of attempts whose connection ended before the request was written.
        sent_again: The number of further connections for requests that were written while the
            first connection was being closed.
        written_late: The number of connections whose request was not written in the call that
            dialled them.
        began_us: When the stream began.
        end_us: When the stream stops dialling.
    """

    def __init__(self, cluster: Cluster, balancer: str, limits: DialLimits, rng: Random) -> None:
        """Prepare a stream that draws its requests from `rng`; `start` begins to dial."""
        self.environment: Environment = cluster
        self.cluster = cluster
        self.plan = cluster.plan
        self.loop = cluster.loop
        self.rng = rng
        self.balancer = balancer
        self.limits = limits
        self.idle: dict[str, list[BalancerConnection]] = {balancer: []}
        self.connections: dict[str, dict[BalancerConnection, None]] = {balancer: {}}
        self.request_classes = [
            request_class
            for request_class in self.plan.request_classes()
            if not request_class.write and cluster.clients.is_in_use(request_class)
        ]
        self.attempts: list[ClientAttempt] = []
        self.refused_ids: set[bytes] = set()
        self.cut_ids: set[bytes] = set()
        self.sent_again = 0
        self.written_late = 0
        self.began_us = self.loop.now
        self.end_us = self.began_us + limits.duration_us

    def start(self) -> None:
        """Dial one connection per slot."""
        for _ in range(self.limits.slots):
            self.dial_next()

    def dial_next(self) -> None:
        """Dial a connection for another request, unless a limit of the stream is reached."""
        if self.loop.now >= self.end_us or len(self.attempts) >= self.limits.max_dials:
            return
        attempt = self._draw_attempt()
        self.attempts.append(attempt)
        message = self.cluster.clients.encode(attempt, attempt.operation)
        self.send_attempt(attempt, message, self.balancer, fresh=True)

    def _draw_attempt(self) -> ClientAttempt:
        cluster = self.cluster
        operations = cluster.invariant_checker.operations
        operation = Operation(
            number=len(operations),
            request_class=self.rng.choice(self.request_classes),
            tenant=self.rng.choice(self.plan.tenants()).name,
            key=self.rng.randrange(KEY_COUNT),
            work_us=WORK_US,
            created_at_us=self.loop.now,
            counted=False,
            attempt_count=1,
        )
        operations.append(operation)
        request_id = ID_PREFIX + b"%x" % operation.number
        return ClientAttempt(request_id, operation, self.balancer, 0, 0, 0)

    def counts(self) -> DialCounts:
        """Return the results of all connections so far."""
        counts = DialCounts(sent_again=self.sent_again, written_late=self.written_late)
        for attempt in self.attempts:
            counts.dialled += 1
            name = self._end_of(attempt)
            setattr(counts, name, getattr(counts, name) + 1)
        return counts

    def _end_of(self, attempt: ClientAttempt) -> str:
        """Return the name of the count that a request's connection belongs to."""
        if attempt.id in self.refused_ids:
            return "refused"
        if attempt.id in self.cut_ids:
            return "cut"
        if attempt.abandoned:
            return "killed"
        if not attempt.status:
            return "open"
        if attempt.status < 0:
            return "failed" if attempt.first_answer_byte_us else "lost"
        if attempt.status in DENIED_STATUSES:
            return "denied"
        return "served" if attempt.status == 200 else "failed"

    # --- callbacks of the connections

    def send_attempt(
        self, attempt: ClientAttempt, message: tuple[bytes, ...], balancer: str, fresh: bool = False
    ) -> None:
        """Send a request on a new connection; connections are not reused."""
        cluster = self.cluster
        self.sent_again += attempt.arrived_at_us > 0
        attempt.incarnation = cluster.incarnation_of(balancer)
        sock = cluster.network.dial(cluster.address_of(balancer))
        if isinstance(sock, AttemptFailure):
            self.on_refused(attempt, balancer)
        else:
            DialledConnection(self, sock, attempt, message).start_if_up()

    def resend(self, attempt: ClientAttempt, message: tuple[bytes, ...], balancer: str) -> None:
        """Pass a request that raced a close to the other clients to resend; dial the next one."""
        self.sent_again += 1
        self.cluster.clients.resend(attempt, message, balancer)
        self.dial_next()

    def on_refused(self, attempt: ClientAttempt, balancer: str) -> None:
        """Count a refused connection, and dial the next one after a pause."""
        self.refused_ids.add(attempt.id)
        pause_us = self.limits.slots * REFUSED_PAUSE_PER_SLOT_US
        self.loop.call_later(self.rng.randrange(pause_us // 2, 3 * pause_us // 2), self.dial_next)

    def on_outcome(self, attempt: ClientAttempt, status: int, retry_after_us: int) -> None:
        """Dial the next connection, as a request was answered or its connection has ended."""
        if not attempt.arrived_at_us:
            self.cut_ids.add(attempt.id)
        while self.idle[self.balancer]:
            self.idle[self.balancer][-1].close()
        self.dial_next()

    def on_unknown_class(self, attempt: ClientAttempt) -> None:
        """Pass on that a balancer does not know the class of a request."""
        self.cluster.clients.on_unknown_class(attempt)

    def on_overdue(self, connection: BalancerConnection, attempt: ClientAttempt) -> None:
        """Pass on that the deadline of a request has passed."""
        self.cluster.clients.on_overdue(connection, attempt)


class DialStreams:
    """All streams of a fault test, with a random generator of their own."""

    def __init__(self, cluster: Cluster) -> None:
        """Begin without streams."""
        self.cluster = cluster
        self.rng = Random(f"{cluster.seed} dials")
        self.streams: list[DialStream] = []

    def start_stream(self, balancer: str, limits: DialLimits) -> None:
        """Start a stream of connections to a balancer."""
        stream = DialStream(self.cluster, balancer, limits, self.rng)
        self.streams.append(stream)
        stream.start()

    def report(self) -> dict[str, dict[str, int]]:
        """Return the entry for the verdict line, empty if there were no streams.

        Each stream is recorded as an event; connections that are not accounted for are a breach.
        """
        total = DialCounts()
        for stream in self.streams:
            counts = stream.counts()
            total.add(counts)
            self._report_stream(stream, counts)
        return {"dial_stream": asdict(total)} if self.streams else {}

    def _report_stream(self, stream: DialStream, counts: DialCounts) -> None:
        invariant_checker = self.cluster.invariant_checker
        rows = ", ".join(f"{name} {count}" for name, count in asdict(counts).items() if count)
        invariant_checker.record_event(
            stream.began_us, f"connections dialled at {stream.balancer}: {rows}"
        )
        if counts.remainder() or counts.open:
            text = f"{stream.balancer}: not all dialled connections are accounted for: {rows}"
            invariant_checker.record_breach("lost", stream.began_us, text)
