"""One balancer's lease: whether it may serve now, and under which version of the policy.

A balancer serves while it holds a lease. Without one it serves only if it is registered to and has
not promised a proposal, which may be decided by now. What it holds of a proposal
(`PROMISE_PHASE_AFTER` has the same table):

    | phase    | event                               | next phase | what else                      |
    | -------- | ----------------------------------- | ---------- | ------------------------------ |
    | none     | a proposal is chosen: it is checked | writing    | serving goes on                |
    | writing  | it is on the disk                   | promised   | control is told                |
    | writing  | it cannot be run, or not be written | none       | control is told why            |
    | any      | it is not proposed any more         | none       | what the disk has binds nobody |
    | any      | a higher version is adopted         | none       | a lease under that version     |

Times are whole microseconds on a clock that goes on while the machine sleeps. No I/O.
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

    LEASE = "lease"  # it holds a lease
    WITHOUT_QUORUM = "without quorum"  # it has none; nothing is decided without its promise
    DENIED = "denied"  # something may have been decided that it does not know


class NextStep(Enum):
    """What a balancer has to do first about a chosen value."""

    NONE = "none"
    ADOPT_VERSION = "adopt version"  # and then call `LeaseState.on_chosen_state` again
    CHECK_PROPOSAL = "check proposal"


def evaluate_answers(
    acceptor_count: int, answers: Iterable[tuple[Ballot, Value, bool]]
) -> tuple[Value | None, bool]:
    """Return the chosen value, None if that cannot be told, and whether a lease is granted.

    A lease is granted if a majority that agrees on the value grants one.

    Args:
        acceptor_count: How many control processes there are.
        answers: The accepted ballot, its value, and whether a lease is granted, of each answer.

    >>> evaluate_answers(3, [((1, "a"), "x", False), ((1, "a"), "x", True)])
    ('x', False)
    >>> evaluate_answers(3, [((1, "a"), "x", True), ((2, "a"), "y", True)])
    (None, False)
    """
    told = list(answers)
    granting = [(ballot, value) for ballot, value, grants in told if grants]
    granted = find_chosen_value(acceptor_count, granting)
    if granted is not None:
        return granted, True
    return find_chosen_value(acceptor_count, [(ballot, value) for ballot, value, _ in told]), False


class PromisePhase(Enum):
    """What a balancer holds of a proposal."""

    NONE = "none"
    WRITING = "writing"  # on its way to the disk
    PROMISED = "promised"


class PromiseEvent(Enum):
    """What changes that."""

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
"""Which events a phase allows, and the phase that follows."""


class LeaseState:
    """One balancer's permission to serve, and the version under which it does.

    >>> lease = LeaseState(OnLostQuorum.SERVE, 1_000_000)
    >>> lease.permission(0)
    <ServingPermission.DENIED: 'denied'>
    >>> lease.on_chosen_state(0, 0, registered=True, asked_at_us=100)
    <NextStep.NONE: 'none'>
    >>> lease.permission(200), lease.permission(1_000_000)
    (<ServingPermission.LEASE: 'lease'>, <ServingPermission.WITHOUT_QUORUM: 'without quorum'>)
    >>> lease.on_chosen_state(0, 1, registered=True, asked_at_us=1_100_000)
    <NextStep.CHECK_PROPOSAL: 'check proposal'>
    >>> lease.on_write_started(1)
    >>> lease.permission(3_000_000)
    <ServingPermission.WITHOUT_QUORUM: 'without quorum'>
    >>> lease.on_promise_durable(1), lease.permission(3_000_000)
    (True, <ServingPermission.DENIED: 'denied'>)
    >>> lease.on_chosen_state(1, 0, registered=True, asked_at_us=4_000_000)
    <NextStep.ADOPT_VERSION: 'adopt version'>
    >>> lease.on_version_adopted(1)
    >>> lease.on_chosen_state(1, 0, registered=True, asked_at_us=4_000_000)
    <NextStep.NONE: 'none'>
    >>> lease.permission(4_000_040)
    <ServingPermission.LEASE: 'lease'>
    """

    def __init__(self, on_lost_quorum: OnLostQuorum, lease_us: int) -> None:
        """Begin without a lease; `lease_us` is how long one lasts, as far as that is known."""
        self.on_lost_quorum = on_lost_quorum
        self.lease_us = lease_us
        self.version = -1  # under which it accepts requests; none before control was heard
        self.promise_phase = PromisePhase.NONE
        self.proposal_number = 0  # that the phase is about, 0 for none
        self.refused_proposal = 0
        self.refusal_reason = ""
        self.expires_at_us = 0  # by its own clock
        self.registered = False  # the register knows that it serves without a quorum

    @property
    def promised_proposal(self) -> int:
        """The number of the proposal that is promised, 0 for none."""
        return self.proposal_number if self.promise_phase is PromisePhase.PROMISED else 0

    @property
    def writing_proposal(self) -> int:
        """The number of the proposal that is on its way to the disk, 0 for none."""
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
        asked_at_us: int,
        granted: bool = True,
    ) -> NextStep:
        """Take in a chosen value; return what has to be done about it first.

        Args:
            version: The version in force.
            proposal_number: What is proposed, 0 for nothing.
            registered: Whether the register knows this incarnation to serve without a quorum.
            asked_at_us: When the heartbeat was sent whose answers these are.
            granted: Whether a majority grants a lease.
        """
        if version < self.version:
            return NextStep.NONE  # an old answer
        if version > max(self.version, 0):
            self.expires_at_us = 0
            self.registered = False
            return NextStep.ADOPT_VERSION
        self.version = version
        if granted:
            # From when it was asked: the answer may have been on its way for as long as a lease.
            min_lease_us = round(self.lease_us * (1 - MAX_CLOCK_DRIFT_RATIO))
            self.expires_at_us = max(self.expires_at_us, asked_at_us + min_lease_us)
        self.registered = registered and self.on_lost_quorum is OnLostQuorum.SERVE
        if self.proposal_number != proposal_number:
            self._on_promise_event(PromiseEvent.PROPOSAL_ENDED)
        known = (self.proposal_number, self.refused_proposal)
        if proposal_number and proposal_number not in known:
            return NextStep.CHECK_PROPOSAL
        return NextStep.NONE

    def on_write_started(self, proposal_number: int) -> None:
        """Note that a proposal is on its way to the disk; serving goes on meanwhile."""
        self._on_promise_event(PromiseEvent.WRITE_STARTED, proposal_number)

    def on_promise_durable(self, proposal_number: int) -> bool:
        """Note that a proposal is on the disk; return whether that makes a promise.

        It makes none if the proposal is no longer current: a promise that nobody asks for would
        only take the permission away.
        """
        if proposal_number != self.writing_proposal:
            return False
        self._on_promise_event(PromiseEvent.DURABLE, proposal_number)
        return True

    def refuse(self, proposal_number: int, reason: str) -> None:
        """Refuse a proposal; `reason` is for operators."""
        self._on_promise_event(PromiseEvent.REFUSED)
        self.refused_proposal = proposal_number
        self.refusal_reason = reason

    def on_version_adopted(self, version: int) -> None:
        """Note that requests are accepted under this version from now on."""
        self._on_promise_event(PromiseEvent.VERSION_ADOPTED)
        self.version = version

    def permission(self, now_us: int) -> ServingPermission:
        """Return whether it may serve now."""
        if self.version >= 0 and now_us < self.expires_at_us:
            return ServingPermission.LEASE
        # A promise may have been counted on, so that something is decided by now.
        if self.registered and not self.promised_proposal:
            return ServingPermission.WITHOUT_QUORUM
        return ServingPermission.DENIED
