"""Simulated slot servers and clients of RESP in cluster mode.

They are written from the public specification of the protocol.

Each command carries the number of its client attempt, so the invariant checker can check commands
as it checks HTTP requests: a read is `GETRANGE key 0 N`, where N is `READ_NUMBER_OFFSET` plus the
attempt's number; a write is `APPEND key "number;"`. The answer to a read holds the key, the attempt
and the server.
"""

from __future__ import annotations

import socket
from collections import deque
from functools import lru_cache
from typing import TYPE_CHECKING, Any, NamedTuple

from orchidgap.net.addresses import Address, format_address
from orchidgap.net.attempt_failure import AttemptFailure
from orchidgap.net.connection import Connection
from orchidgap.resp.local_commands import slot_of_key as uncached_slot_of_key
from orchidgap.resp.reader import RespReader
from orchidgap.resp.writers import encode_array, encode_bulk, encode_command, encode_error
from orchidgap.simulation.balancer_connection import CLOSED, OVERDUE_US
from orchidgap.simulation.baselines import even_range_owner
from orchidgap.simulation.clients import Clients
from orchidgap.simulation.host_job import HostJob
from orchidgap.simulation.observations import ClientAttempt, Operation
from orchidgap.simulation.plan import Fault, HostModel, milliseconds_to_us, seconds_to_us
from orchidgap.simulation.request_end import (
    ConnectionEndFacts,
    ProcessEnd,
    RequestEnd,
    classify_request_end,
)
from orchidgap.simulation.servers import SimulatedHost

if TYPE_CHECKING:
    from orchidgap.simulation.environment import Environment

SLOT_COUNT = 1 << 14
slot_of = lru_cache(maxsize=1 << 17)(uncached_slot_of_key)
READ_NUMBER_OFFSET = 1_000_000  # added to the attempt's number in a read
MAX_UNANSWERED_COMMANDS = 16  # on one connection of a client
SLOT_MIGRATION_US = 300_000  # how long the migration of a slot takes


class Cluster:
    """The owners of all slots; a server may work with an older version of them.

    Attributes:
        owner: The id of each slot's owner, by slot.
        moving: The ids of source and destination of each slot that is being migrated.
        moved: Slots that have been migrated so far.
    """

    def __init__(self) -> None:
        self.owner: list[str] = []
        self.moving: dict[int, tuple[str, str]] = {}
        self.moved = 0

    def assign_evenly(self, ids: list[str]) -> None:
        """Divide the slots evenly among the servers."""
        self.owner = [ids[even_range_owner(slot, ids)[0]] for slot in range(SLOT_COUNT)]

    def ranges(self, slot_owners: list[str]) -> list[tuple[int, int, str]]:
        """Return the ranges of adjacent slots with one owner: first slot, last slot, owner."""
        ranges: list[tuple[int, int, str]] = []
        for slot, owner in enumerate(slot_owners):
            if ranges and ranges[-1][2] == owner:
                ranges[-1] = (ranges[-1][0], slot, owner)
            else:
                ranges.append((slot, slot, owner))
        return ranges


class PendingAnswer:
    """The answer to one command, kept in the order in which the connection received the commands.

    Attributes:
        job: The work of a read or write, None for other commands.
        outcome: The job's outcome, as the invariant checker records it; empty for other commands.
        text: The encoded answer, None until it is known.
    """

    __slots__ = ("job", "outcome", "text")

    def __init__(self, job: HostJob | None) -> None:
        self.job, self.outcome = job, ""
        self.text: bytes | None = None


class SlotServerConnection:
    """A server's end of a connection; commands are answered in the order of their arrival.

    Attributes:
        host: The server.
        balancer: The name of the balancer that opened the connection.
        asking: The last command was `ASKING`, which permits the next one to use a slot that is
            being migrated to this server.
        jobs: Reads and writes without an answer.
        pending_answers: Answers that are not scheduled yet, in the order of their commands.
        last_arrival_us: When the latest command arrives; the next one arrives no earlier.
        last_send_us: When the latest answer is sent; the next one is sent no earlier.
        conn: The socket with its buffers.
    """

    is_beyond_limit = False  # the number of connections is not limited

    def __init__(self, host: SlotServer, sock: socket.socket, balancer: str) -> None:
        self.host, self.balancer, self.reader = host, balancer, RespReader()
        self.asking = False
        self.jobs: list[HostJob] = []
        self.pending_answers: deque[PendingAnswer] = deque()
        self.last_arrival_us = self.last_send_us = host.loop.now
        self.conn = Connection(host.loop, sock, self)

    def on_connected(self) -> None: ...

    def on_data(self, view: memoryview) -> None:
        """Read commands."""
        self.reader.feed(view)
        while self.conn.is_open and (arguments := self.reader.read_command()) is not None:
            self.on_command(arguments)

    def on_command(self, arguments: list[bytes]) -> None:
        """Queue a command; it arrives after the latency of the network."""
        host, now = self.host, self.host.loop.now
        self.last_arrival_us = max(self.last_arrival_us, now + host.one_way_us(self.balancer))
        name = arguments[0].upper() if arguments else b""
        if name in (b"GETRANGE", b"APPEND"):
            number = (
                int(arguments[3]) - READ_NUMBER_OFFSET
                if name == b"GETRANGE"
                else int(arguments[2][:-1])
            )
            host_attempt = host.environment.invariant_checker.on_host_attempt(
                b"q%x" % number, host.id, host.deduplication_group(), now, now
            )
            if host_attempt is None:
                return self.conn.close()
            job = HostJob(self, host_attempt, arguments[1])  # type: ignore[arg-type]  # has what SimulatedHost uses
            job.asking = self.asking
            self.jobs.append(job)
            self.pending_answers.append(PendingAnswer(job))
            host.loop.call_at(self.last_arrival_us, host.receive, job)
        else:
            self.pending_answers.append(PendingAnswer(None))
            host.loop.call_at(
                self.last_arrival_us, self.answer_keyless, name, self.pending_answers[-1]
            )
        self.asking = name == b"ASKING"

    def answer_keyless(self, name: bytes, pending_answer: PendingAnswer) -> None:
        """Answer a command that accesses no key."""
        if self.host.vanished or not self.host.alive:
            return
        if name == b"CLUSTER":
            text = self.host.encode_slots()
        else:
            text = (
                b"+OK\r\n"
                if name in (b"ASKING", b"AUTH", b"READONLY")
                else b"-ERR unknown command\r\n"
            )
        pending_answer.text = text
        self.schedule_answers()

    def set_answer(self, text: bytes, job: HostJob, outcome: str) -> None:
        """Record the answer to a read or write; it is sent after all earlier answers."""
        for pending_answer in self.pending_answers:
            if pending_answer.job is job:
                pending_answer.text, pending_answer.outcome = text, outcome
        self.schedule_answers()

    def schedule_answers(self) -> None:
        """Schedule all answers up to the first that is not known yet."""
        while self.pending_answers and self.pending_answers[0].text is not None:
            pending_answer = self.pending_answers.popleft()
            self.last_send_us = max(
                self.last_send_us, self.host.loop.now + self.host.one_way_us(self.balancer)
            )
            self.host.loop.call_at(
                self.last_send_us,
                self.send_answer,
                pending_answer.text,
                pending_answer.job,
                pending_answer.outcome,
            )

    def send_answer(self, text: bytes, job: HostJob | None, outcome: str) -> None:
        """Send an answer, unless the network is down, and report it to the invariant checker."""
        if (
            not self.conn.is_open
            or self.host.vanished
            or self.host.partitioned_from.get(self.balancer)
        ):
            return
        if job:
            self.jobs.remove(job)
            body = text if outcome == "done" else b""
            self.host.environment.invariant_checker.on_attempt_settled(
                job.attempt, outcome, self.host.loop.now, body
            )
        self.conn.send(text)

    def on_closed(self, reason: str) -> None:
        """Record that the attempts without an answer were dropped."""
        for job in self.jobs:
            self.host.environment.invariant_checker.on_attempt_dropped(
                job.attempt, self.host.loop.now
            )
        self.host.connections.pop(self, None)  # type: ignore[call-overload]

    def close(self) -> None:
        """Close the connection from the server's side."""
        if self.conn.is_open:
            self.conn.close()
            self.on_closed("")


class SlotServer(SimulatedHost):
    """One slot server: it stores the keys of its slots and redirects commands for other slots.

    Attributes:
        data: The ids of the attempts that appended to each key, in order.
        keys_by_slot: The keys that are stored, by slot.
        known_owners: The owners of all slots as this server knows them, None while these are the
            cluster's current ones.
    """

    def __init__(
        self,
        environment: Environment,
        id: str,
        address: Address,
        model: HostModel,
        is_origin: bool,
        zone: int,
        speed: float,
    ) -> None:
        super().__init__(environment, id, address, model, is_origin, zone, speed)
        self.data: dict[bytes, list[bytes]] = {}
        self.keys_by_slot: dict[int, dict[bytes, None]] = {}
        self.known_owners: list[str] | None = None

    def store_value(self, key: bytes, value: list[bytes]) -> None:
        """Store the value of a key."""
        self.data[key] = value
        self.keys_by_slot.setdefault(slot_of(key), {})[key] = None

    def accept(self, sock: socket.socket, balancer: str) -> None:
        """Accept a connection, or close it if the server does not run."""
        if not self.alive:
            return sock.close()
        self.connections[SlotServerConnection(self, sock, balancer)] = None  # type: ignore[index]

    def sweep(self) -> None:
        """Do nothing: slot servers do not close idle connections."""

    def slot_owners(self) -> list[str]:
        """Return the owners of all slots as this server knows them."""
        return self.known_owners or self.environment.cluster.owner

    def encode_slots(self) -> bytes:
        """Return the answer to `CLUSTER SLOTS`."""
        rows = []
        for first, last, id in self.environment.cluster.ranges(self.slot_owners()):
            host, port = self.environment.servers[id].address
            node = encode_array(
                [
                    encode_bulk(host.encode()),
                    b":%d\r\n" % port,
                    encode_bulk(id.encode()),
                ]
            )
            rows.append(encode_array([b":%d\r\n" % first, b":%d\r\n" % last, node]))
        return encode_array(rows)

    def record_load(self, job: HostJob) -> None:
        """Do nothing: only caches and origins go down from overload."""

    def run_job(self, job: HostJob) -> None:
        """Redirect the command or run it; a redirection takes no work.

        This is decided here because the slot may have moved while the job was queued.
        """
        slot = slot_of(job.idempotency_key)
        text, outcome = self.redirection(slot, job)
        if text:
            connection: Any = job.connection
            connection.set_answer(text, job, outcome)
            return self.loop.call_soon(self.start_waiting)
        job.outcome = "done"
        if job.attempt.client_attempt.operation.request_class.write:
            self.environment.invariant_checker.on_effect(job.attempt, self.loop.now)
            self.store_value(
                job.idempotency_key,
                [*self.data.get(job.idempotency_key, ()), job.attempt.client_attempt.id],
            )
        job.duration_us = max(1, round(job.work_us / self.speed * self.slowdown))
        job.ends_at_us = self.loop.now + job.duration_us
        self.running[job] = None
        job.timer = self.loop.call_at(job.ends_at_us, self.finish, job)

    def redirection(self, slot: int, job: HostJob) -> tuple[bytes, str]:
        """Return the `ASK` or `MOVED` error and its outcome; empty where the key is served here."""
        owner, asking = self.slot_owners()[slot], job.asking
        moving = self.environment.cluster.moving.get(slot)
        if owner == self.id:
            if moving and moving[0] == self.id and job.idempotency_key not in self.data:
                return encode_error(
                    f"ASK {slot} {format_address(self.environment.servers[moving[1]].address)}"
                ), "moved"
            return b"", ""
        if asking and moving and moving[1] == self.id:
            return b"", ""
        return encode_error(
            f"MOVED {slot} {format_address(self.environment.servers[owner].address)}"
        ), "moved"

    def finish(self, job: HostJob) -> None:
        """Answer a job whose work is done."""
        del self.running[job]
        attempt = job.attempt.client_attempt
        self.environment.invariant_checker.on_work_done(job.attempt, job.duration_us, self.loop.now)
        if attempt.operation.request_class.write:
            text = b":%d\r\n" % len(self.data[job.idempotency_key])
        else:
            body = b"%b/%b/%b" % (job.idempotency_key, attempt.id, self.id.encode())
            text = encode_bulk(
                body.ljust(self.environment.value_size_bytes(attempt.operation.key), b"v")
            )
        connection: Any = job.connection
        connection.set_answer(text, job, "done")
        self.start_waiting()

    def answer_later(self, job: HostJob, outcome: str) -> None:
        """Reject a job because the queue is full."""
        connection: Any = job.connection
        connection.set_answer(encode_error("TRYAGAIN busy"), job, "full")


class WrittenCommand(NamedTuple):
    """A command that was sent and has no answer yet.

    Attributes:
        message: The encoded command.
        write_began_us: When its first byte was about to be written.
        earlier_requests: Commands that were sent on the connection before it.
        was_closed_at_write: Whether the balancer had closed its end when the command was written.
    """

    message: tuple[bytes, ...]
    write_began_us: int
    earlier_requests: int
    was_closed_at_write: bool = False


class RespClientConnection:
    """A client's connection; several commands can wait for their answers, which come in order.

    Attributes:
        clients: The clients that it belongs to.
        balancer: The balancer's name.
        incarnation: The balancer's incarnation when the connection was opened.
        attempts: Attempts without an answer, in the order of sending.
        written: The commands of these attempts, by attempt id.
        request_count: Commands that were sent on the connection.
        number: The network's number of the connection, the same at both ends.
        dialled_at_us: Start of the loop turn in which it was opened.
        conn: The socket with its buffers.
    """

    def __init__(
        self, clients: RespClients, balancer: str, sock: socket.socket, opening: bool
    ) -> None:
        self.clients, self.balancer = clients, balancer
        self.incarnation = clients.environment.incarnation_of(balancer)
        self.reader = RespReader()
        self.attempts: deque[ClientAttempt] = deque()
        self.written: dict[bytes, WrittenCommand] = {}
        self.request_count = 0
        self.number = clients.environment.network.connection_number(sock)
        self.dialled_at_us = clients.loop.now
        self.conn = Connection(clients.loop, sock, self, opening=opening)

    def send_command(self, attempt: ClientAttempt, message: tuple[bytes, ...]) -> None:
        """Send a command and start its timeout."""
        self.attempts.append(attempt)
        command = WrittenCommand(message, self.clients.loop.clock(), self.request_count)
        self.written[attempt.id] = command
        self.request_count += 1
        attempt.arrived_at_us = 0
        self.conn.send(*message)
        if self.conn.is_open:
            self.written[attempt.id] = command._replace(
                was_closed_at_write=self.conn.peer_has_closed()
            )
            now = self.clients.loop.now
            attempt.arrived_at_us = now
            if not attempt.was_resent:  # a resent command keeps its deadline
                timeout_us = milliseconds_to_us(attempt.operation.request_class.client_timeout_ms)
                attempt.deadline_us = now + timeout_us
            self.clients.environment.invariant_checker.on_client_attempt(attempt)
            self.clients.loop.call_later(
                attempt.deadline_us - now + OVERDUE_US,
                self.clients.on_command_overdue,
                self,
                attempt,
            )

    def on_connected(self) -> None: ...

    def on_data(self, view: memoryview) -> None:
        """Match answers with the attempts that wait for them."""
        clients = self.clients
        self.reader.feed(view)
        while (text := self.reader.read_item()) is not None:
            if not self.attempts:
                return clients.environment.invariant_checker.on_extra_bytes(None, clients.loop.now)
            attempt = self.attempts.popleft()
            del self.written[attempt.id]
            status = 503 if text.startswith(b"-TRYAGAIN") else 500 if text[:1] == b"-" else 200
            clients.environment.invariant_checker.on_answer(attempt, status, text, clients.loop.now)
            pause = text.rpartition(b"come back in ")[2].partition(b" ms")[0]
            clients.loop.call_later(
                clients.environment.client_one_way_us(),
                clients.on_outcome,
                attempt,
                status,
                int(pause) * 1000 if pause.isdigit() else 0,
            )

    def on_closed(self, reason: str) -> None:
        """Classify each command that has no answer when the connection ends for this `reason`."""
        clients = self.clients
        clients.connections_by_balancer[self.balancer] = [
            connection
            for connection in clients.connections_by_balancer[self.balancer]
            if connection is not self
        ]
        process_end = clients.environment.process_end(self.balancer, self.incarnation)
        close_record = clients.environment.close_record(
            self.balancer, self.number, self.dialled_at_us
        )
        attempts = list(self.attempts)
        self.attempts.clear()
        for attempt in attempts:
            if attempt.status or attempt.abandoned:
                continue
            command = self.written[attempt.id]
            facts = ConnectionEndFacts(
                process_end,
                was_written=attempt.arrived_at_us > 0,
                write_began_us=command.write_began_us,
                earlier_requests=command.earlier_requests,
                was_reset=reason != CLOSED,
                was_closed_at_write=command.was_closed_at_write,
                close_record=close_record,
                was_seen_by_host=bool(attempt.host_attempts),
            )
            self._on_end(attempt, classify_request_end(facts), command.message)

    def _on_end(self, attempt: ClientAttempt, end: RequestEnd, message: tuple[bytes, ...]) -> None:
        """Resend a command that raced the close; report a lost one to the invariant checker."""
        clients = self.clients
        if end is RequestEnd.RACED_CLOSE and not attempt.was_resent:
            clients.resend(attempt, message, self.balancer)
            return
        was_taken = attempt.arrived_at_us > 0
        if end is RequestEnd.LOST or (end is RequestEnd.RACED_CLOSE and was_taken):
            clients.environment.invariant_checker.on_connection_lost(attempt, clients.loop.now)
        elif attempt.was_resent and end is not RequestEnd.PROCESS_KILLED:
            clients.on_refused(attempt, self.balancer)
            return
        else:
            attempt.abandoned = True
        clients.on_outcome(attempt, 0, 0)


class RespClients(Clients):
    """Clients of RESP, with the same operations, attempts and tenants as over HTTP.

    Attributes:
        connections_by_balancer: Open connections, by balancer.
    """

    def __init__(self, environment: Environment) -> None:
        super().__init__(environment)
        self.connections_by_balancer: dict[str, list[RespClientConnection]] = {
            balancer: [] for balancer in environment.balancers
        }

    def encode(self, attempt: ClientAttempt, operation: Operation) -> tuple[bytes, ...]:
        """Return the encoded command, as the only part of the message."""
        number = int(attempt.id[1:], 16)
        if operation.request_class.write:
            return (encode_command(b"APPEND", b"k%d" % operation.key, b"%d;" % number),)
        return (
            encode_command(b"GETRANGE", b"k%d" % operation.key, 0, READ_NUMBER_OFFSET + number),
        )

    def send_attempt(
        self, attempt: ClientAttempt, message: tuple[bytes, ...], balancer: str, fresh: bool = False
    ) -> None:
        """Send a command on a connection with capacity or, with `fresh` always, on a new one."""
        attempt.incarnation = self.environment.incarnation_of(balancer)
        candidates = [
            connection
            for connection in self.connections_by_balancer[balancer]
            if not fresh
            and len(connection.attempts) < MAX_UNANSWERED_COMMANDS
            and connection.incarnation == attempt.incarnation
            and connection.conn.is_open
        ]
        if not candidates:
            dialled = self.environment.network.dial(self.environment.address_of(balancer))
            if isinstance(dialled, AttemptFailure):
                return self.on_refused(attempt, balancer)
            candidates = [
                RespClientConnection(self, balancer, dialled, not self.environment.network.virtual)
            ]
            self.connections_by_balancer[balancer] += candidates
        candidates[0].send_command(attempt, message)

    def on_command_overdue(self, connection: RespClientConnection, attempt: ClientAttempt) -> None:
        """Report a command without an answer, unless its balancer was paused or killed."""
        if attempt.status or attempt.abandoned:
            return
        resumed_us = self.environment.last_pause_end_us(connection.balancer)
        timeout_us = milliseconds_to_us(attempt.operation.request_class.client_timeout_ms)
        wait_us = resumed_us + timeout_us + OVERDUE_US - self.loop.now
        if resumed_us > attempt.arrived_at_us and wait_us > 0:
            self.loop.call_later(
                min(wait_us, OVERDUE_US), self.on_command_overdue, connection, attempt
            )
        elif (
            self.environment.process_end(connection.balancer, connection.incarnation)
            is not ProcessEnd.KILLED
        ):
            self.environment.invariant_checker.on_no_answer(attempt, self.loop.now)


def running_slot_servers(environment: Environment) -> list[SlotServer]:
    """Return the slot servers that are running."""
    return [
        host for host in environment.servers.values() if isinstance(host, SlotServer) and host.alive
    ]


def reshuffle(environment: Environment, fault: Fault) -> None:
    """Migrate slots between servers until the fault ends.

    Every 50 ms a number of slots that the fault's `size` sets (8 by default) are drawn for it.
    """
    end, slot_count = (
        environment.loop.now + seconds_to_us(fault.duration_s),
        round(fault.magnitude or 8),
    )

    def start_migrations() -> None:
        if environment.loop.now >= end:
            return
        ids = [host.id for host in running_slot_servers(environment) if not host.draining]
        for slot in environment.rng.sample(range(SLOT_COUNT), slot_count):
            owner = environment.cluster.owner[slot]
            others = [id for id in ids if id != owner]
            if slot not in environment.cluster.moving and others and owner in ids:
                environment.cluster.moving[slot] = owner, environment.rng.choice(others)
                environment.loop.call_later(SLOT_MIGRATION_US, finish_migration, slot)
        environment.loop.call_later(50_000, start_migrations)

    def finish_migration(slot: int) -> None:
        source, to = environment.cluster.moving.pop(slot)
        old, new = environment.servers[source], environment.servers[to]
        assert isinstance(old, SlotServer) and isinstance(new, SlotServer)
        environment.cluster.owner[slot] = to
        environment.cluster.moved += 1
        for key in old.keys_by_slot.pop(slot, ()):
            new.store_value(key, old.data.pop(key, []) + new.data.get(key, []))

    start_migrations()


def failover(environment: Environment, fault: Fault) -> None:
    """Make another server the owner of all slots of one server.

    The former owner still serves them during the fault's `for-s` and then stops.
    """
    stores = running_slot_servers(environment)
    old = next((host for host in stores if host.id == fault.target), stores[0])
    new = next(host for host in stores if host is not old)
    old.known_owners = list(environment.cluster.owner)
    environment.cluster.owner = [new.id if id == old.id else id for id in environment.cluster.owner]
    for key, value in old.data.items():
        new.store_value(key, list(value))

    def end() -> None:
        old.stop()
        environment.discovery.remove_later(old.id, environment.plan.discovery.removal_delay_s)

    environment.loop.call_later(seconds_to_us(fault.duration_s), end)


def pointing(environment: Environment, fault: Fault) -> None:
    """Make two servers redirect every command to each other until the fault ends."""
    first, second = running_slot_servers(environment)[:2]
    first.known_owners, second.known_owners = [second.id] * SLOT_COUNT, [first.id] * SLOT_COUNT

    def end() -> None:
        first.known_owners = second.known_owners = None

    environment.loop.call_later(seconds_to_us(fault.duration_s), end)
