"""The states of the fleet model: balancers, acceptors that grant leases, and a driver of changes.

All times are relative to now, in microseconds of model time. Expired times count as never set, so
the model's clock may advance without limit.
"""

from __future__ import annotations

from typing import NamedTuple

from orchidgap.decisions.cas_register import Ballot
from orchidgap.decisions.leases import LeaseHolder
from orchidgap.decisions.policy_rollout import PolicyState
from orchidgap.fault_tests.model.interning import PartTable, ValueTable

TICK_US = 100
LEASE_US = 200
ACCEPTOR_COUNT = 3
NO_ROUND = -1
DRIVER = "d"


class HeartbeatAnswer(NamedTuple):
    """An acceptor's answer to a balancer's call; it may arrive at any time or never.

    Attributes:
        ballot: The ballot that the acceptor last accepted.
        value: The number of the accepted `PolicyState`.
        granted: Whether it grants a lease.
    """

    ballot: Ballot
    value: int
    granted: bool


class BalancerState(NamedTuple):
    """A balancer: the content of its `LeaseState`, and its call in flight.

    Attributes:
        incarnation: The number of its restarts.
        version: The version under which it serves, -1 for none.
        promised: The number of the proposal that it has promised, 0 for none.
        writing: The number of the proposal whose promise it is writing, 0 for none.
        lease_expires_us: When its lease expires.
        registered: Whether it may serve without a quorum.
        call_sent_us: When its call was sent, None if no call is in flight.
        reported: The version and the promised proposal that the call contains.
    """

    incarnation: int
    version: int
    promised: int
    writing: int
    lease_expires_us: int
    registered: bool
    call_sent_us: int | None
    reported: tuple[int, int]


class AcceptorView(NamedTuple):
    """An acceptor: its disk, the leases that it has granted and its answers in flight.

    Attributes:
        promised_ballot: The highest promised ballot.
        accepted_ballot: The ballot of the last accepted value.
        value: The number of the accepted `PolicyState`.
        holders: The holders of unexpired leases that it granted.
        unknown_holders_until_us: Until when leases may be valid that were lost in a restart.
        pending_decision: The proposal number and version that wait for leases to expire.
        writing: The round whose value is being written, `NO_ROUND` for none.
        failed_write: The round whose write failed but may be on the disk nevertheless.
        answers: The answer in flight, by balancer.
        accepted_rounds: A bit mask of the accepted rounds that would decide a new version.
    """

    promised_ballot: Ballot
    accepted_ballot: Ballot
    value: int
    holders: tuple[LeaseHolder, ...]
    unknown_holders_until_us: int
    pending_decision: tuple[int, int] | None
    writing: int
    failed_write: int
    answers: tuple[HeartbeatAnswer | None, ...]
    accepted_rounds: int


class ChosenVersion(NamedTuple):
    """A decided version and the time since its decision, capped at `LEASE_US`."""

    version: int
    age_us: int


class DriverState(NamedTuple):
    """The driver's rounds and their results.

    Attributes:
        round_values: For each round, the number of the value in its accept requests.
        chosen: The versions decided so far, in order.
        restarts: The number of process restarts.
    """

    round_values: tuple[int, ...]
    chosen: tuple[ChosenVersion, ...]
    restarts: int

    def last_version(self) -> int:
        """Return the last decided version, 0 for none."""
        return max((version for version, _ in self.chosen), default=0)


class FleetState(NamedTuple):
    """A state of the model; all parts are represented by their numbers in `FleetTables`."""

    balancers: tuple[int, ...]
    acceptors: tuple[int, ...]
    driver: int


class FleetTables:
    """The tables that number all parts of a fleet model's states."""

    def __init__(self) -> None:
        """Begin with empty tables."""
        self.policies: ValueTable[PolicyState] = ValueTable()
        self.balancers: PartTable[BalancerState] = PartTable()
        self.acceptors: PartTable[AcceptorView] = PartTable()
        self.drivers: PartTable[DriverState] = PartTable()


def ballot_of_round(round_number: int) -> Ballot:
    """Return the ballot of the driver's round, counted from 0."""
    return round_number + 1, DRIVER


def balancer_name(index: int) -> str:
    """Return the name under which a balancer sends heartbeats to acceptors."""
    return f"b{index}"
