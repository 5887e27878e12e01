"""Planted defects, with which the fault tests are tested.

Each function patches the program with a defect that is not visible until a fault occurs.
"""

# mypy: disable-error-code="method-assign, attr-defined, assignment"

from __future__ import annotations

import os
import signal
import socket
import time
from collections.abc import Callable
from contextlib import suppress
from typing import Any

from orchidgap.control.acceptor import DurableAcceptor
from orchidgap.control.lease_keeper import LeaseKeeper
from orchidgap.control.messages import ProposalMessage, ProposalNotice
from orchidgap.control.validation import InvalidPolicyError
from orchidgap.decisions.gossip_counts import CountsReport, GossipCounts, ReportOutcome
from orchidgap.decisions.hot_keys import HotKeyDetector
from orchidgap.decisions.lease_state import (
    LeaseState,
    PromisePhase,
    ServingPermission,
)
from orchidgap.decisions.leases import LeaseTable
from orchidgap.http1 import server
from orchidgap.http1.host_connection import HostConnection
from orchidgap.http1.server import Http1ClientConnection
from orchidgap.net.connection import LINGER_RESET
from orchidgap.net.decisions_port import DecisionsPort
from orchidgap.net.endpoints import STATES
from orchidgap.net.node_lifecycle import NodeLifecycle
from orchidgap.net.traffic_counts import ConnectionEnd
from orchidgap.net.upstream_attempt import UpstreamAttempt

MAX_COUNTED_PAUSE_US = 50_000
DENIAL_DELAY_US = 600_000
READ_BEFORE_CLOSE_US = 1_000
REQUESTS_BEFORE_EXIT = 1_000
ADDED_TIMEOUT_US = 300_000
SLOW_START_S = 7.0


def keeps_old_version() -> None:
    """The balancer reports a new version as adopted but continues to run the previous one."""
    adopt = LeaseKeeper.adopt

    def skip_adoption(self: LeaseKeeper, document: Any) -> None:
        if self.lease.version < 0:
            adopt(self, document)

    LeaseKeeper.adopt = skip_adoption


def serves_before_first_lease() -> None:
    """The balancer serves before it has received the decided version."""
    request_permission = LeaseKeeper.request_permission

    def open_at_once(self: LeaseKeeper, on_first_lease: Callable[[], None]) -> None:
        request_permission(self, lambda: None)
        on_first_lease()

    LeaseKeeper.request_permission = open_at_once
    LeaseKeeper.may_serve = lambda self: True


def forgets_promise() -> None:
    """The balancer does not keep its promise: without a quorum it serves as if it had made none."""
    LeaseState.on_promise_durable = lambda self, proposal_number: True
    send_heartbeat = LeaseKeeper.send_heartbeat

    def send_with_promise(self: LeaseKeeper) -> None:
        if self.seen_proposal:
            lease = self.lease
            phase = lease.promise_phase
            proposal_number = lease.proposal_number
            lease.promise_phase = PromisePhase.PROMISED
            lease.proposal_number = self.seen_proposal
            send_heartbeat(self)
            lease.promise_phase = phase
            lease.proposal_number = proposal_number
        else:
            send_heartbeat(self)

    check_proposal = LeaseKeeper.check_proposal

    def remember_proposal(self: LeaseKeeper, proposal: ProposalMessage | ProposalNotice) -> None:
        self.seen_proposal = proposal.proposal_number
        check_proposal(self, proposal)

    LeaseKeeper.seen_proposal = 0
    LeaseKeeper.send_heartbeat = send_with_promise
    LeaseKeeper.check_proposal = remember_proposal


def answers_twice() -> None:
    """The balancer answers each request twice."""
    answer = Http1ClientConnection.answer

    def answer_again(self: Http1ClientConnection, status: int, *more: Any, **named: Any) -> None:
        answer(self, status, *more, **named)
        if status == 200 and more:
            self.conn.send(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")

    Http1ClientConnection.answer = answer_again


def adopts_proposal() -> None:
    """The balancer adopts a version that it has only promised."""
    checked = LeaseKeeper.on_proposal_checked

    def adopt_promised(self: LeaseKeeper, proposal: ProposalMessage, refusal_reason: str) -> None:
        checked(self, proposal, refusal_reason)
        if self.lease.promised_proposal == proposal.proposal_number:
            with suppress(InvalidPolicyError):
                self.adopt(proposal.document)

    LeaseKeeper.on_proposal_checked = adopt_promised


def ignores_lease_end() -> None:
    """The balancer serves forever once it has held a lease."""

    def permission(self: LeaseState, now_us: int) -> ServingPermission:
        return ServingPermission.LEASE if self.version >= 0 else ServingPermission.DENIED

    LeaseState.permission = permission


def loses_time_while_stopped() -> None:
    """The balancer's clock does not advance while the process is stopped.

    A clock that counts turns of the event loop would behave like this.
    """
    request_permission = LeaseKeeper.request_permission

    def count(self: LeaseKeeper, on_first_lease: Callable[[], None]) -> None:
        real_clock = self.clock
        last = real_clock()
        own_time = last

        def clock() -> int:
            nonlocal last, own_time
            now = real_clock()
            own_time += min(now - last, MAX_COUNTED_PAUSE_US)
            last = now
            return own_time

        self.clock = clock
        request_permission(self, on_first_lease)

    LeaseKeeper.request_permission = count


def decides_without_promises() -> None:
    """Control decides without waiting for promises or for leases to expire."""
    LeaseTable.unprepared_members = lambda self, *arguments: []


def skips_acceptor_writes() -> None:
    """Control confirms writes that it never made."""
    DurableAcceptor.write_state = lambda self, state, on_written: self.loop.call_soon(
        on_written, True
    )


def sees_no_hot_key() -> None:
    """The balancer detects no hot keys."""
    HotKeyDetector.replica_count = lambda self, key, cache_count: 1


def counts_reports_again() -> None:
    """The balancer adds a peer's previous report to its new one and so counts keys twice."""
    receive_report = GossipCounts.receive_report

    def add_known_counts(self: GossipCounts, report: CountsReport) -> ReportOutcome:
        known = self.reports.get(report.balancer)
        known_counts = known.hot_key_counts if known else {}
        counts = {
            key: count + known_counts.get(key, 0.0) for key, count in report.hot_key_counts.items()
        }
        return receive_report(self, report._replace(hot_key_counts=counts))

    GossipCounts.receive_report = add_known_counts


def closes_with_requests_read() -> None:
    """On shutdown the balancer closes connections with requests that it read but did not answer."""
    begin_shutdown = NodeLifecycle.begin_shutdown

    def begin_and_close(self: NodeLifecycle) -> None:
        begin_shutdown(self)
        for client in list(self.clients.open_clients):
            if isinstance(client, Http1ClientConnection) and client.pending_request:
                client.conn.fail("closed")

    NodeLifecycle.begin_shutdown = begin_and_close


def closes_first_request() -> None:
    """The balancer closes each connection after reading the first request on it."""
    pass_to_handler = Http1ClientConnection.pass_to_handler

    def close(self: Http1ClientConnection, *request: Any) -> None:
        if self.conn.bytes_written:
            pass_to_handler(self, *request)
        else:
            self.conn.fail("closed")

    Http1ClientConnection.pass_to_handler = close


def closes_later_request() -> None:
    """The balancer closes a connection 1 ms after reading a later request than the first on it."""
    pass_to_handler = Http1ClientConnection.pass_to_handler

    def close_soon(self: Http1ClientConnection, *request: Any) -> None:
        if self.conn.bytes_written:
            self.listener.loop.call_later(READ_BEFORE_CLOSE_US, self.conn.fail, "closed")
        else:
            pass_to_handler(self, *request)

    Http1ClientConnection.pass_to_handler = close_soon


def resets_first_request() -> None:
    """The balancer reads the first request of a connection and resets it without an answer."""
    pass_to_handler = Http1ClientConnection.pass_to_handler

    def reset(self: Http1ClientConnection, *request: Any) -> None:
        if self.conn.bytes_written:
            pass_to_handler(self, *request)
        else:
            reset_unanswered(self)

    Http1ClientConnection.pass_to_handler = reset


def resets_later_request() -> None:
    """The balancer reads a later request of a connection and resets it without an answer."""
    pass_to_handler = Http1ClientConnection.pass_to_handler

    def reset(self: Http1ClientConnection, *request: Any) -> None:
        if self.conn.bytes_written:
            reset_unanswered(self)
        else:
            pass_to_handler(self, *request)

    Http1ClientConnection.pass_to_handler = reset


def reset_unanswered(client: Http1ClientConnection) -> None:
    """Reset a connection without answering the request that was read on it."""
    client.conn.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
    client.close(ConnectionEnd.SHUTDOWN)


def closes_over_backlog() -> None:
    """On shutdown the balancer closes its listener while connections wait in the accept queue."""
    begin_shutdown = NodeLifecycle.begin_shutdown

    def close_and_begin(self: NodeLifecycle) -> None:
        listener = self.clients
        if listener.listening_socket:
            listener.loop.unwatch(listener.listening_socket)
            listener.listening_socket.close()
            listener.listening_socket = None
        begin_shutdown(self)

    NodeLifecycle.begin_shutdown = close_and_begin


def resets_half_answers() -> None:
    """The balancer sends only a part of answers that it has completely, and resets."""

    answer = Http1ClientConnection.answer

    def reset(self: Http1ClientConnection, status: int, *more: Any, **named: Any) -> None:
        if status != 200 or not more:
            answer(self, status, *more, **named)
            return
        self.conn.send(b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf of it")
        self.conn.reset()
        self.close(ConnectionEnd.BROKEN)

    Http1ClientConnection.answer = reset


def ends_at_once() -> None:
    """On shutdown the balancer exits immediately, regardless of open requests."""
    NodeLifecycle.begin_shutdown = NodeLifecycle.stop


def never_ends() -> None:
    """On SIGTERM the balancer does not exit, and answers no requests from then on."""

    def begin_shutdown(self: NodeLifecycle) -> None:
        Http1ClientConnection.pass_to_handler = lambda *request: None

    NodeLifecycle.begin_shutdown = begin_shutdown


def denies_late() -> None:
    """The balancer sends each denial 0.6 s late."""
    deny = DecisionsPort.deny

    def deny_later(self: DecisionsPort, request: int, retry_after_us: int) -> None:
        self.loop.call_later(DENIAL_DELAY_US, deny, self, request, retry_after_us)

    DecisionsPort.deny = deny_later


def treats_draining_as_ready() -> None:
    """The balancer continues to send requests to hosts that drain."""
    STATES["Terminating"] = "up"


def drops_query() -> None:
    """The balancer forwards requests without their query string."""
    forwarded_head = server.forwarded_head

    def head_without_query(method: bytes, target: bytes, *more: Any) -> bytes:
        return forwarded_head(method, target.partition(b"?")[0], *more)

    server.forwarded_head = head_without_query


def end_after_requests(end: Callable[[], None]) -> None:
    """Call `end`, which does not return, after `REQUESTS_BEFORE_EXIT` requests."""
    pass_to_handler = Http1ClientConnection.pass_to_handler
    requests_left = REQUESTS_BEFORE_EXIT

    def count_and_end(self: Http1ClientConnection, *request: Any) -> None:
        nonlocal requests_left
        requests_left -= 1
        if requests_left < 0:
            end()
        pass_to_handler(self, *request)

    Http1ClientConnection.pass_to_handler = count_and_end


def exits_by_itself() -> None:
    """The process exits with status 0 after a number of requests."""
    end_after_requests(lambda: os._exit(0))


def kills_itself() -> None:
    """The process ends by SIGKILL, as from the OOM killer, after a number of requests."""
    end_after_requests(lambda: os.kill(os.getpid(), signal.SIGKILL))


def sends_longer_timeout() -> None:
    """The balancer sends hosts a longer timeout than the client has left."""
    start_attempt = HostConnection.start_attempt

    def start_with_more_time(self: HostConnection, attempt: UpstreamAttempt) -> None:
        attempt.deadline_us += ADDED_TIMEOUT_US
        start_attempt(self, attempt)

    HostConnection.start_attempt = start_with_more_time


def serves_disconnected_clients() -> None:
    """The balancer continues requests whose client has closed the connection."""
    Http1ClientConnection.on_disconnect = lambda self: None
    Http1ClientConnection.has_disconnected = lambda self: False


def starts_slowly() -> None:
    """The process reads its configuration only 7 s after its start."""
    time.sleep(SLOW_START_S)


DEFECTS: dict[str, Callable[[], None]] = {
    "skips": keeps_old_version,
    "early": serves_before_first_lease,
    "forgets": forgets_promise,
    "twice": answers_twice,
    "hasty": adopts_proposal,
    "leaseless": ignores_lease_end,
    "dozes": loses_time_while_stopped,
    "impatient": decides_without_promises,
    "amnesic": skips_acceptor_writes,
    "blind": sees_no_hot_key,
    "echoes": counts_reports_again,
    "hangs-up": closes_with_requests_read,
    "slams": closes_first_request,
    "snaps": closes_later_request,
    "reads-and-resets": resets_first_request,
    "reads-and-resets-later": resets_later_request,
    "closes-over-backlog": closes_over_backlog,
    "clips": resets_half_answers,
    "quits": ends_at_once,
    "outstays": never_ends,
    "dawdles": denies_late,
    "stubborn": treats_draining_as_ready,
    "rewrites": drops_query,
    "crashes": exits_by_itself,
    "falls-dead": kills_itself,
    "overstates": sends_longer_timeout,
    "sleeps-in": starts_slowly,
    "serves-nobody": serves_disconnected_clients,
}
"""The defects by the name that the command line and the process environment use."""
