"""The states of the fleet model: balancers, acceptors that grant leases, and a driver of changes.

All times are relative to now, in microseconds of model time. What is over counts as never, so a
fleet's clock may go on without end.
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
    """What an acceptor answered to a balancer's call; it may arrive at any time, or never.

    Attributes:
        ballot: The ballot that the acceptor had accepted last.
        value: The number of the accepted `PolicyState`.
        granted: Whether it grants a lease.
    """

    ballot: Ballot
    value: int
    granted: bool


class BalancerState(NamedTuple):
    """A balancer: what its `LeaseState` holds, and its call that is in flight.

    Attributes:
        incarnation: How often it was started before.
        version: The version under which it serves, -1 for none.
        promised: The proposal number that it holds a promise for, 0 for none.
        writing: The proposal number whose promise it writes, 0 for none.
        lease_expires_us: When its lease ends.
        registered: Whether it may serve without a quorum.
        call_sent_us: When its call was sent, None if no call is in flight.
        reported: The version and the promised proposal that the call tells.
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
    """An acceptor: its disk, the leases it has granted, its answers to each balancer's call.

    Attributes:
        promised_ballot: The highest ballot it promised.
        accepted_ballot: The ballot of what it accepted last.
        value: The number of the accepted `PolicyState`.
        holders: To whom it has granted leases that still run.
        unknown_holders_until_us: Until then leases may run that it forgot in a restart.
        pending_decision: The proposal number and version that wait for the end of leases.
        writing: The round whose value is being written, `NO_ROUND` for none.
        failed_write: The round whose write failed and may be on the disk all the same.
        answers: By balancer, the answer that is in flight.
        accepted_rounds: A bit for each round that it accepted and that would decide something.
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
    """A version that was decided, and how long ago, at most `LEASE_US`."""

    version: int
    age_us: int


class DriverState(NamedTuple):
    """The driver's rounds and what came of them.

    Attributes:
        round_values: The number of the value that each round asks acceptors to accept.
        chosen: The versions decided so far, in their order.
        restarts: How many processes were started again.
    """

    round_values: tuple[int, ...]
    chosen: tuple[ChosenVersion, ...]
    restarts: int

    def last_version(self) -> int:
        """Return the version that was decided last, 0 for none."""
        return max((version for version, _ in self.chosen), default=0)


class FleetState(NamedTuple):
    """All parts by their numbers in `FleetTables`."""

    balancers: tuple[int, ...]
    acceptors: tuple[int, ...]
    driver: int


class FleetTables:
    """The numbers of all parts of a fleet model's states."""

    def __init__(self) -> None:
        """Begin without parts."""
        self.policies: ValueTable[PolicyState] = ValueTable()
        self.balancers: PartTable[BalancerState] = PartTable()
        self.acceptors: PartTable[AcceptorView] = PartTable()
        self.drivers: PartTable[DriverState] = PartTable()


def ballot_of_round(round_number: int) -> Ballot:
    """Return the ballot of the driver's round, counted from 0."""
    return round_number + 1, DRIVER


def balancer_name(index: int) -> str:
    """Return the name by which acceptors know a balancer."""
    return f"b{index}"
