"""Defects planted on purpose, by name: each a program that would pass for a good one until a fault shows
it."""

# mypy: disable-error-code="method-assign, attr-defined"

from __future__ import annotations

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
from orchidgap.http1.server import Http1ClientConnection


def skips() -> None:
    """It says that it runs a version, and goes on under the one before."""
    adopt = LeaseKeeper.adopt

    def skip(self: LeaseKeeper, document: Any) -> None:
        if self.lease.version < 0:
            adopt(self, document)

    LeaseKeeper.adopt = skip


def early() -> None:
    """It serves before it knows what is decided."""
    begin = LeaseKeeper.begin

    def open_at_once(self: LeaseKeeper, on_first_lease: Callable[[], None]) -> None:
        begin(self, lambda: None)
        on_first_lease()

    LeaseKeeper.begin = open_at_once
    LeaseKeeper.may_serve = lambda self: True


def forgets() -> None:
    """It loses its promise: alone, it goes on as if it had given none."""
    LeaseState.on_promise_durable = lambda self, proposal_number: True
    call = LeaseKeeper.send_heartbeat

    def say(self: LeaseKeeper) -> None:
        if self.seen_try:
            lease = self.lease
            kept = lease.promise_phase, lease.proposal_number
            lease.promise_phase, lease.proposal_number = PromisePhase.PROMISED, self.seen_try
            call(self)
            lease.promise_phase, lease.proposal_number = kept
        else:
            call(self)

    check = LeaseKeeper.check_proposal

    def saw(self: LeaseKeeper, proposal: ProposalMessage | ProposalNotice) -> None:
        self.seen_try = proposal.proposal_number
        check(self, proposal)

    LeaseKeeper.seen_try = 0
    LeaseKeeper.send_heartbeat, LeaseKeeper.check_proposal = say, saw


def twice() -> None:
    """It answers a req two times."""
    answer = Http1ClientConnection.answer

    def again(self: Http1ClientConnection, status: int, *more: Any, **named: Any) -> None:
        answer(self, status, *more, **named)
        if status == 200 and more:
            self.conn.send(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")

    Http1ClientConnection.answer = again


def hasty() -> None:
    """It takes a version that it has only promised."""
    checked = LeaseKeeper.on_proposal_checked

    def take(self: LeaseKeeper, proposal: ProposalMessage, refusal_reason: str) -> None:
        checked(self, proposal, refusal_reason)
        if self.lease.promised_proposal == proposal.proposal_number:
            with suppress(InvalidPolicyError):
                self.adopt(proposal.document)

    LeaseKeeper.on_proposal_checked = take


def leaseless() -> None:
    """Once it had a lease it serves for ever."""

    def permission(self: LeaseState, now_us: int) -> ServingPermission:
        return ServingPermission.LEASE if self.version >= 0 else ServingPermission.DENIED

    LeaseState.permission = permission


def dozes() -> None:
    """Its clock stands still while it does, as one that counts its own turns would."""
    begin = LeaseKeeper.begin

    def count(self: LeaseKeeper, on_first_lease: Callable[[], None]) -> None:
        real = self.clock
        last = own = real()

        def clock() -> int:
            nonlocal last, own
            now = real()
            own += min(now - last, 50_000)
            last = now
            return own

        self.clock = clock
        begin(self, on_first_lease)

    LeaseKeeper.begin = count


def impatient() -> None:
    """Control decides without waiting for anybody."""
    LeaseTable.unprepared_members = lambda self, *told: []


def amnesic() -> None:
    """Control tells what it never wrote."""
    DurableAcceptor.write_state = lambda self, state, on_written: self.loop.call_soon(
        on_written, True
    )


def blind() -> None:
    """It sees no hot key."""
    HotKeyDetector.replica_count = lambda self, key, cache_count: 1


def echoes() -> None:
    """It counts again what others told it before."""
    receive_report = GossipCounts.receive_report

    def again(self: GossipCounts, report: CountsReport) -> ReportOutcome:
        known = self.reports.get(report.balancer)
        known_counts = known.hot_key_counts if known else {}
        counts = {
            key: count + known_counts.get(key, 0.0) for key, count in report.hot_key_counts.items()
        }
        return receive_report(self, report._replace(hot_key_counts=counts))

    GossipCounts.receive_report = again


DEFECTS = {
    defect.__name__: defect
    for defect in (
        skips,
        early,
        forgets,
        twice,
        hasty,
        leaseless,
        dozes,
        impatient,
        amnesic,
        blind,
        echoes,
    )
}
