"""One balancer's lease: whether it may serve now, and under which version of the policy.

A balancer serves while it holds a lease. Without one it serves only if it is registered to serve
without a quorum and has not promised a proposal, as that proposal may have been decided in the
meantime. The phases of a promise (`PROMISE_PHASE_AFTER` encodes the same table):

    | phase    | event                               | next phase | effect                         |
    | -------- | ----------------------------------- | ---------- | ------------------------------ |
    | none     | a proposal is chosen and checked    | writing    | the balancer keeps serving     |
    | writing  | the proposal is durable             | promised   | control is notified            |
    | writing  | it is invalid, or its write failed  | none       | control is sent the reason     |
    | any      | it is no longer proposed            | none       | the stored one has no effect   |
    | any      | a higher version is adopted         | none       | a lease under that version     |

Times are whole microseconds of a clock that keeps running while the machine is suspended. No I/O.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from enum import Enum
from typing import TypeVar

from orchidgap.decisions.cas_register import Ballot, find_chosen_value
from orchidgap.decisions.leases import MAX_CLOCK_DRIFT_RATIO, OnLostQuorum

Value = TypeVar("Value")


class ServingPermission(Enum):
    """Whether a balancer may serve now."""

    LEASE = "lease"  # the balancer holds a lease
    WITHOUT_QUORUM = "without quorum"  # no lease, but nothing is decided without its promise
    DENIED = "denied"  # a version that it does not know may have been decided


class NextStep(Enum):
    """What a balancer has to do first after it received a chosen value."""

    NONE = "none"
    ADOPT_VERSION = "adopt version"  # then call `LeaseState.on_chosen_state` again
    CHECK_PROPOSAL = "check proposal"


def evaluate_answers(
    acceptor_count: int, answers: Iterable[tuple[Ballot, Value, bool]]
) -> tuple[Value | None, bool]:
    """Return the chosen value, None if it cannot be determined, and whether a lease is granted.

    A lease is granted if a majority grants one and has accepted the value under the same ballot.

    Args:
        acceptor_count: The number of control processes.
        answers: The accepted ballot, its value and whether a lease is granted, for each answer.

    >>> evaluate_answers(3, [((1, "a"), "x", False), ((1, "a"), "x", True)])
    ('x', False)
    >>> evaluate_answers(3, [((1, "a"), "x", True), ((2, "a"), "y", True)])
    (None, False)
    """
    received = list(answers)
    granting = [(ballot, value) for ballot, value, grants in received if grants]
    granted = find_chosen_value(acceptor_count, granting)
    if granted is not None:
        return granted, True
    return find_chosen_value(
        acceptor_count, [(ballot, value) for ballot, value, _ in received]
    ), False


class PromisePhase(Enum):
    """The phase of a balancer's promise of a proposal."""

    NONE = "none"
    WRITING = "writing"  # the proposal is being written to the disk
    PROMISED = "promised"


class PromiseEvent(Enum):
    """An event that changes the phase of a promise."""

    WRITE_STARTED = "write started"
    DURABLE = "durable"
    REFUSED = "refused"
    PROPOSAL_ENDED = "proposal ended"
    VERSION_ADOPTED = "version adopted"


PROMISE_PHASE_AFTER: Mapping[PromisePhase, Mapping[PromiseEvent, PromisePhase]] = {
    PromisePhase.NONE: {
        PromiseEvent.WRITE_STARTED: PromisePhase.WRITING,
        PromiseEvent.REFUSED: PromisePhase.NONE,
        PromiseEvent.PROPOSAL_ENDED: PromisePhase.NONE,
        PromiseEvent.VERSION_ADOPTED: PromisePhase.NONE,
    },
    PromisePhase.WRITING: {
        PromiseEvent.DURABLE: PromisePhase.PROMISED,
        PromiseEvent.REFUSED: PromisePhase.NONE,
        PromiseEvent.PROPOSAL_ENDED: PromisePhase.NONE,
        PromiseEvent.VERSION_ADOPTED: PromisePhase.NONE,
    },
    PromisePhase.PROMISED: {
        PromiseEvent.PROPOSAL_ENDED: PromisePhase.NONE,
        PromiseEvent.VERSION_ADOPTED: PromisePhase.NONE,
    },
}
"""The events that each phase allows, and the phase after each."""


class LeaseState:
    """One balancer's permission to serve, and the version under which it does.

    >>> lease = LeaseState(OnLostQuorum.SERVE, 1_000_000)
    >>> lease.permission(0)
    <ServingPermission.DENIED: 'denied'>
    >>> lease.on_chosen_state(0, 0, registered=True, heartbeat_sent_at_us=100)
    <NextStep.NONE: 'none'>
    >>> lease.permission(200), lease.permission(1_000_000)
    (<ServingPermission.LEASE: 'lease'>, <ServingPermission.WITHOUT_QUORUM: 'without quorum'>)
    >>> lease.on_chosen_state(0, 1, registered=True, heartbeat_sent_at_us=1_100_000)
    <NextStep.CHECK_PROPOSAL: 'check proposal'>
    >>> lease.on_write_started(1)
    >>> lease.permission(3_000_000)
    <ServingPermission.WITHOUT_QUORUM: 'without quorum'>
    >>> lease.on_promise_durable(1), lease.permission(3_000_000)
    (True, <ServingPermission.DENIED: 'denied'>)
    >>> lease.on_chosen_state(1, 0, registered=True, heartbeat_sent_at_us=4_000_000)
    <NextStep.ADOPT_VERSION: 'adopt version'>
    >>> lease.on_version_adopted(1)
    >>> lease.on_chosen_state(1, 0, registered=True, heartbeat_sent_at_us=4_000_000)
    <NextStep.NONE: 'none'>
    >>> lease.permission(4_000_040)
    <ServingPermission.LEASE: 'lease'>
    """

    def __init__(self, on_lost_quorum: OnLostQuorum, lease_us: int) -> None:
        """Start without a lease; `lease_us` is the lease time until control sends another one."""
        self.on_lost_quorum = on_lost_quorum
        self.lease_us = lease_us
        self.version = -1  # version under which it accepts requests, -1 before control sent one
        self.promise_phase = PromisePhase.NONE
        self.proposal_number = 0  # the proposal that `promise_phase` refers to, 0 for none
        self.refused_proposal = 0
        self.refusal_reason = ""
        self.expires_at_us = 0  # end of the lease by the balancer's own clock
        self.registered = False  # whether it is registered to serve without a quorum

    @property
    def promised_proposal(self) -> int:
        """The number of the promised proposal, 0 for none."""
        return self.proposal_number if self.promise_phase is PromisePhase.PROMISED else 0

    @property
    def writing_proposal(self) -> int:
        """The number of the proposal that is being written to the disk, 0 for none."""
        return self.proposal_number if self.promise_phase is PromisePhase.WRITING else 0

    def _on_promise_event(self, event: PromiseEvent, proposal_number: int = 0) -> None:
        """Change the phase. Raises KeyError for an event that the phase does not allow."""
        self.promise_phase = PROMISE_PHASE_AFTER[self.promise_phase][event]
        self.proposal_number = proposal_number

    def on_chosen_state(
        self,
        version: int,
        proposal_number: int,
        registered: bool,
        heartbeat_sent_at_us: int,
        granted: bool = True,
    ) -> NextStep:
        """Handle a chosen value; return what has to be done about it first.

        Args:
            version: The version in force.
            proposal_number: The number of the pending proposal, 0 for none.
            registered: Whether this incarnation is registered to serve without a quorum.
            heartbeat_sent_at_us: When the heartbeat was sent that these answers are for.
            granted: Whether a majority grants a lease.
        """
        if version < self.version:
            return NextStep.NONE  # a delayed answer
        if version > max(self.version, 0):
            self.expires_at_us = 0
            self.registered = False
            return NextStep.ADOPT_VERSION
        self.version = version
        if granted:
            # The lease starts when the heartbeat was sent, as its answer may have been in transit
            # for as long as a lease lasts.
            min_lease_us = round(self.lease_us * (1 - MAX_CLOCK_DRIFT_RATIO))
            self.expires_at_us = max(self.expires_at_us, heartbeat_sent_at_us + min_lease_us)
        self.registered = registered and self.on_lost_quorum is OnLostQuorum.SERVE
        if self.proposal_number != proposal_number:
            self._on_promise_event(PromiseEvent.PROPOSAL_ENDED)
        known = (self.proposal_number, self.refused_proposal)
        if proposal_number and proposal_number not in known:
            return NextStep.CHECK_PROPOSAL
        return NextStep.NONE

    def on_write_started(self, proposal_number: int) -> None:
        """Record that a proposal is being written to the disk; the balancer keeps serving."""
        self._on_promise_event(PromiseEvent.WRITE_STARTED, proposal_number)

    def on_promise_durable(self, proposal_number: int) -> bool:
        """Record that a proposal is durable; return whether it is now promised.

        It is not if the proposal is no longer pending: a promise that no decision needs would only
        revoke the permission to serve without a lease.
        """
        if proposal_number != self.writing_proposal:
            return False
        self._on_promise_event(PromiseEvent.DURABLE, proposal_number)
        return True

    def refuse(self, proposal_number: int, reason: str) -> None:
        """Refuse a proposal; `reason` is shown to operators."""
        self._on_promise_event(PromiseEvent.REFUSED)
        self.refused_proposal = proposal_number
        self.refusal_reason = reason

    def on_version_adopted(self, version: int) -> None:
        """Record that requests are accepted under this version from now on."""
        self._on_promise_event(PromiseEvent.VERSION_ADOPTED)
        self.version = version

    def permission(self, now_us: int) -> ServingPermission:
        """Return whether the balancer may serve now."""
        if self.version >= 0 and now_us < self.expires_at_us:
            return ServingPermission.LEASE
        # Control may have decided a proposal because this balancer promised it.
        if self.registered and not self.promised_proposal:
            return ServingPermission.WITHOUT_QUORUM
        return ServingPermission.DENIED
