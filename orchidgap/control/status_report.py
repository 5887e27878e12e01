"""Merges the status answers of control processes and formats them for operators."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

import msgspec

from orchidgap.control.messages import HolderStatus, RecordMessage, StatusAnswer
from orchidgap.control.messages.reports import ControlSummary, StatusReport
from orchidgap.decisions.cas_register import quorum_size

US_PER_SECOND = 1e6


def merge_status(answers: Sequence[StatusAnswer]) -> StatusReport:
    """Merge the status answers of several control processes; there must be at least one.

    The register's value is taken from the answer with the highest ballot. Pending balancers and
    refusals are taken only from processes that have the same proposal.
    """
    newest = max(answers, key=lambda answer: answer.ballot)
    process_count = len(newest.process_names)
    available_count = sum(not answer.lost_register for answer in answers)
    pending_members: dict[str, int] = {}
    refusals: dict[str, str] = {}
    for answer in answers:
        if answer.proposal_number == newest.proposal_number:
            pending_members.update(dict(answer.pending_members))
            refusals.update(dict(answer.refusals))
    return StatusReport(
        version=newest.version,
        change_id=newest.change_id,
        proposal=newest.proposal,
        pending_members=pending_members,
        refusals=refusals,
        control=ControlSummary(
            process_count=process_count,
            available_count=available_count,
            has_quorum=available_count >= quorum_size(process_count),
        ),
        lease_us=newest.lease_us,
        holders=_merge_holders(answers),
        members_without_quorum=newest.members_without_quorum,
        history=newest.history,
    )


def _merge_holders(answers: Iterable[StatusAnswer]) -> tuple[HolderStatus, ...]:
    """Return each balancer's most recent status, with the longest lease that it may hold."""
    merged: dict[tuple[str, str], HolderStatus] = {}
    for answer in answers:
        for holder in answer.holders:
            key = holder.name, holder.incarnation
            known = merged.get(key)
            if known is None:
                merged[key] = holder
            elif holder.heartbeat_age_us < known.heartbeat_age_us:
                longest_us = max(holder.lease_remaining_us, known.lease_remaining_us)
                merged[key] = msgspec.structs.replace(holder, lease_remaining_us=longest_us)
    return tuple(holder for _, holder in sorted(merged.items(), key=lambda item: item[0]))


def format_pending_members(pending_members: Iterable[tuple[str, int]]) -> str:
    """Format pending balancers and the remaining wait for each, given in microseconds."""
    return ", ".join(
        f"{name} ({_format_wait(time_remaining_us)})" for name, time_remaining_us in pending_members
    )


def _format_wait(time_remaining_us: int) -> str:
    if not time_remaining_us:
        return "until it is back or struck off"
    return f"{time_remaining_us / US_PER_SECOND:.1f} s at most"


def format_history(history: Iterable[RecordMessage]) -> list[str]:
    """Return one line for each change that ended, oldest first."""
    lines = []
    for record in history:
        result = f"version {record.version}" if record.version else record.result.value
        reason = f": {record.reason}" if record.reason else ""
        lines.append(f"{record.change_id:<14} {result}{reason}")
    return lines


def format_status(report: StatusReport) -> list[str]:
    """Return the lines of a report: the version, the pending proposal, and a table of balancers."""
    control = report.control
    warning = "" if control.has_quorum else ", too few: leases run out, nothing can be decided"
    lines = [
        f"version {report.version} {report.change_id} counts; control: "
        f"{control.available_count} of {control.process_count} answer{warning}"
    ]
    if report.proposal:
        waits_for = format_pending_members(report.pending_members.items()) or "the decision"
        lines.append(
            f"proposed as version {report.proposal.version}: {report.proposal.change_id}; "
            f"waits for {waits_for}"
        )
    lines += [f"refused by {name}: {reason}" for name, reason in report.refusals.items()]
    lines.append(
        f"{'balancer':<16} {'version':>7} {'promised':>8} {'alone':>6} {'heard':>8} {'lease':>8}"
    )
    lines += [_format_holder(holder) for holder in report.holders]
    return lines


def _format_holder(holder: HolderStatus) -> str:
    heartbeat_age_s = holder.heartbeat_age_us / US_PER_SECOND
    lease = "none"
    if holder.lease_remaining_us > 0:
        lease = f"{holder.lease_remaining_us / US_PER_SECOND:.1f} s"
    return (
        f"{holder.name:<16} {holder.version:>7} {holder.promised_proposal or '':>8} "
        f"{holder.on_lost_quorum:>6} {heartbeat_age_s:>6.1f} s {lease:>8}"
    )
