"""Clients that connect to one balancer without pause, whatever happens to its process meanwhile.

Each connection carries one request, which is judged as those of the other clients are. A stream is
bounded in connections and time; `DialCounts` accounts for each connection that was dialled.
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

REFUSED_PAUSE_PER_SLOT_US = 2_000  # so that all slots together are refused every second millisecond
ID_PREFIX = b"d"  # requests of other clients begin with another letter
# so few that the hosts' caches have them: a stream is to press the balancer alone
KEY_COUNT = 16
WORK_US = 5_000
STATUS_DENIED = (429, 503)


class DialLimits(NamedTuple):
    """The bounds of a stream.

    Attributes:
        slots: Connections that are dialled or open at a time.
        max_dials: Connections in all.
        duration_us: For how long new ones are dialled.
        writes_later: The request is written a turn of the loop after the connection is up, as
            programs do that wait for it with many others.
    """

    slots: int
    max_dials: int
    duration_us: int
    writes_later: bool = False


@dataclass(slots=True)
class DialCounts(Tally):
    """What became of the connections that were dialled.

    Attributes:
        dialled: All of them.
        refused: Never came up.
        cut: Came up, and ended before their request's last byte was written.
        served: Their request was answered 200.
        denied: It was answered 429 or 503.
        failed: It was answered otherwise, or with a part that shows that it is not whole.
        killed: Its process was killed outright.
        lost: The checker was told of its end, with no answer.
        open: Nothing has become of it yet.
        sent_again: Further connections for requests that crossed the end of the first one.
        written_late: Of those that came up, how many had no request in the call that dialled them.
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
        """Return how many connections no other count accounts for.

        >>> DialCounts(dialled=3, refused=1, served=1).remainder()
        1
        """
        ended = self.refused + self.cut + self.served + self.denied + self.failed
        return self.dialled - ended - self.killed - self.lost - self.open


class DialledConnection(BalancerConnection):
    """A connection whose request is written as soon as it is up, and no sooner.

    On loopback that is mostly so when the call that dials returns. The moment in which a balancer
    has a connection without a request, and may close it for that, is as short as it can be.
    """

    __slots__ = ("first_request", "is_written_at_once")

    def __init__(
        self,
        stream: DialStream,
        sock: socket.socket,
        attempt: ClientAttempt,
        message: tuple[bytes, ...],
    ) -> None:
        """Take a socket that was dialled."""
        self.first_request = attempt, message
        self.is_written_at_once = is_up(sock) and not stream.limits.writes_later
        super().__init__(stream, stream.balancer, sock, opening=not self.is_written_at_once)

    def start_if_up(self) -> None:
        """Write the request now, if the connection is up."""
        if self.is_written_at_once:
            self.start(*self.first_request)

    def opened(self) -> None:
        """Write the request; a process that was started meanwhile is the one that has it."""
        attempt, message = self.first_request
        self.update_incarnation(attempt)
        assert isinstance(self.clients, DialStream)
        self.clients.written_late += 1
        self.start(attempt, message)

    def ended(self, what: str) -> None:
        """It was refused, or has ended under its request."""
        attempt, _ = self.first_request
        if not self.request_count:
            self._forget()
            self.clients.on_refused(attempt, self.balancer)
            return
        # the end of its process was seen first, and its owner is told of that by nobody else
        was_abandoned = attempt.abandoned and self.attempt is attempt
        super().ended(what)
        if was_abandoned:
            self.clients.on_outcome(attempt, 0, 0)


class DialStream:
    """Dials one balancer again and again; the owner of its connections.

    Attributes:
        balancer: The balancer's name.
        attempts: One for each connection that was dialled first for a request.
        refused_ids: The ids of those that never came up.
        cut_ids: The ids of those that ended before their request's last byte was written.
        sent_again: Further connections for requests that crossed the end of the first one.
        written_late: Connections that had no request when the call that dialled them returned.
        began_us: When the stream began.
        end_us: When the last connection is dialled.
    """

    def __init__(self, cluster: Cluster, balancer: str, limits: DialLimits, rng: Random) -> None:
        """Dial nothing yet; what is drawn is drawn from `rng`."""
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
        """Dial in all slots."""
        for _ in range(self.limits.slots):
            self.dial_next()

    def dial_next(self) -> None:
        """Dial for one more request, unless the stream is over."""
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
        """Return what has become of all connections so far."""
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
        if attempt.status in STATUS_DENIED:
            return "denied"
        return "served" if attempt.status == 200 else "failed"

    # --- what its connections tell

    def send_attempt(
        self, attempt: ClientAttempt, message: tuple[bytes, ...], balancer: str, fresh: bool = False
    ) -> None:
        """Send a request on a new connection, as none is kept."""
        cluster = self.cluster
        self.sent_again += attempt.arrived_at_us > 0
        attempt.incarnation = cluster.incarnation_of(balancer)
        sock = cluster.network.dial(cluster.address_of(balancer))
        if isinstance(sock, AttemptFailure):
            self.on_refused(attempt, balancer)
        else:
            DialledConnection(self, sock, attempt, message).start_if_up()

    def resend(self, attempt: ClientAttempt, message: tuple[bytes, ...], balancer: str) -> None:
        """Have the other clients send what crossed an end; the next one is dialled here."""
        self.sent_again += 1
        self.cluster.clients.resend(attempt, message, balancer)
        self.dial_next()

    def on_refused(self, attempt: ClientAttempt, balancer: str) -> None:
        """Nothing was accepted; the next one is dialled a moment later."""
        self.refused_ids.add(attempt.id)
        pause_us = self.limits.slots * REFUSED_PAUSE_PER_SLOT_US
        self.loop.call_later(self.rng.randrange(pause_us // 2, 3 * pause_us // 2), self.dial_next)

    def on_outcome(self, attempt: ClientAttempt, status: int, retry_after_us: int) -> None:
        """A request has its answer, or its connection has ended: the next one is dialled."""
        if not attempt.arrived_at_us:
            self.cut_ids.add(attempt.id)
        while self.idle[self.balancer]:
            self.idle[self.balancer][-1].close()
        self.dial_next()

    def on_unknown_class(self, attempt: ClientAttempt) -> None:
        """Its balancer does not know its class."""
        self.cluster.clients.on_unknown_class(attempt)

    def on_overdue(self, connection: BalancerConnection, attempt: ClientAttempt) -> None:
        """An answer is waited for no longer."""
        self.cluster.clients.on_overdue(connection, attempt)


class DialStreams:
    """All streams of a fault test, with a random generator of their own."""

    def __init__(self, cluster: Cluster) -> None:
        """Nothing is dialled yet."""
        self.cluster = cluster
        self.rng = Random(f"{cluster.seed} dials")
        self.streams: list[DialStream] = []

    def begin(self, balancer: str, limits: DialLimits) -> None:
        """Begin to dial a balancer."""
        stream = DialStream(self.cluster, balancer, limits, self.rng)
        self.streams.append(stream)
        stream.start()

    def report(self) -> dict[str, dict[str, int]]:
        """Return what the verdict says of them, nothing where there was none.

        Each stream gets a line among the events; a connection that no count accounts for is lost.
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
