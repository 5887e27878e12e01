"""The leases that an acceptor grants to balancers, and the balancers that a decision waits for.

A balancer may serve while it holds lease grants of a majority of acceptors (`lease_state`). So when
a majority accepts a decision, at least one acceptor of it knows each balancer that may serve, and
that acceptor waits for the balancer's promise. The leases are those of Gray and Cheriton (1989).
The states of a balancer at an acceptor:

    | state    | event                                              | next state                  |
    | -------- | -------------------------------------------------- | --------------------------- |
    | unknown  | heartbeat, prepared for any pending decision       | known, with a lease         |
    | unknown  | heartbeat, not prepared for the pending decision   | known, without a lease      |
    | known    | heartbeat, receives answers and is prepared        | known, with a new lease     |
    | known    | heartbeat, receives no answers or is not prepared  | the lease is left to expire |
    | known    | `deregister`                                       | unknown                     |
    | no lease | no heartbeat for `FORGET_AFTER_US`, or table full  | unknown                     |

Times are whole microseconds of a clock that keeps running while the machine is suspended. No I/O.
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum
from typing import NamedTuple

from orchidgap.decisions.policy_rollout import PolicyState

MAX_CLOCK_DRIFT_RATIO = 0.01  # by how much a clock may run faster or slower than true time
MAX_HOLDERS = 4_096
FORGET_AFTER_US = 600_000_000  # time without a heartbeat after which a balancer is removed
UNKNOWN_HOLDERS = "whoever held a lease before control started"


class OnLostQuorum(Enum):
    """What a balancer does without a lease. The values are used in settings and on the wire."""

    DENY = "leave"
    SERVE = "stay"


class LeaseHolder(NamedTuple):
    """One balancer process, as its last heartbeat described it to a control process.

    Attributes:
        name: The balancer's name.
        incarnation: Identifies the process.
        on_lost_quorum: A value of `OnLostQuorum`, as the balancer sent it.
        version: The version under which it accepts requests, -1 before it has one.
        promised_proposal: The number of the proposal that it has promised, 0 for none.
        refused_proposal: The number of the proposal that it refused last, 0 for none.
        refusal_reason: Why it refused.
        last_heartbeat_us: When its last heartbeat arrived.
        lease_expires_at_us: The time until which it may hold a lease.
    """

    name: str
    incarnation: str
    on_lost_quorum: str
    version: int
    promised_proposal: int
    refused_proposal: int
    refusal_reason: str
    last_heartbeat_us: int
    lease_expires_at_us: int

    def is_prepared(self, proposal_number: int, version: int) -> bool:
        """Return whether a decision of this proposal as this version need not wait for it.

        It has promised the proposal, or runs this version or a higher one already.
        """
        return self.promised_proposal == proposal_number or self.version >= version


class PendingMember(NamedTuple):
    """A balancer that a decision waits for.

    Attributes:
        name: The balancer's name.
        time_remaining_us: The longest time that the decision waits for it; 0 if the wait ends only
            with a promise or an eviction.
    """

    name: str
    time_remaining_us: int


class Refusal(NamedTuple):
    """A balancer that refused the pending proposal, and why."""

    name: str
    reason: str


class LeaseTable:
    """The balancers that one acceptor knows, and the leases that it has granted them.

    >>> from orchidgap.decisions.policy_rollout import INITIAL_STATE, propose
    >>> table = LeaseTable(lease_us=1_000_000, now_us=0)
    >>> balancer = LeaseHolder("b", "1", "leave", 0, 0, 0, "", 0, 0)
    >>> table.on_heartbeat(balancer, 2_000_000)
    True
    >>> table.on_heartbeat(balancer, 2_300_000)  # it did not receive the first answer
    False
    >>> state = propose(INITIAL_STATE, "x", {})
    >>> table.pending_members(state, 2_500_000), table.pending_members(state, 3_010_001)
    ([PendingMember(name='b', time_remaining_us=510000)], [])
    >>> promised = balancer._replace(promised_proposal=1)
    >>> table.on_heartbeat(promised, 2_600_000, last_answer_at_us=2_000_000)
    True
    >>> table.pending_members(state, 2_600_000)
    []
    """

    def __init__(self, lease_us: int, now_us: int) -> None:
        """Start without holders; `lease_us` is how long a lease lasts by the holder's clock."""
        self.lease_us = lease_us
        self.holders: dict[tuple[str, str], LeaseHolder] = {}
        # The leases that the previous process granted are not known; all of them have expired then.
        self.unknown_holders_until_us = now_us + self.max_lease_us
        # Proposal number and version of a decision that is waiting or is being written. A balancer
        # that is not prepared for it gets no lease: another acceptor may already have accepted it,
        # and then it can no longer be dropped.
        self.pending_decision: tuple[int, int] | None = None

    @property
    def max_lease_us(self) -> int:
        """The longest that a lease may last by this process's clock if the holder's is slow."""
        return round(self.lease_us * (1 + MAX_CLOCK_DRIFT_RATIO))

    def on_heartbeat(self, holder: LeaseHolder, now_us: int, last_answer_at_us: int = 0) -> bool:
        """Record a balancer's heartbeat; return whether it is granted a lease.

        Args:
            holder: The balancer's state as sent in the heartbeat.
            now_us: The current time.
            last_answer_at_us: The time of the latest answer of this process that the balancer has
                received. A balancer that receives no answers does not use its lease, and its
                heartbeats must not delay changes.
        """
        key = holder.name, holder.incarnation
        before = self.holders.pop(key, None)
        self._evict_expired(now_us)
        if len(self.holders) >= MAX_HOLDERS:
            return False
        receives_answers = before is None or 0 <= now_us - last_answer_at_us <= 2 * self.lease_us
        prepared = not self.pending_decision or holder.is_prepared(*self.pending_decision)
        granted = receives_answers and prepared
        if granted:
            expires_at_us = now_us + self.max_lease_us
        else:
            expires_at_us = before.lease_expires_at_us if before else 0
        self.holders[key] = holder._replace(
            last_heartbeat_us=now_us, lease_expires_at_us=expires_at_us
        )
        return granted

    def _evict_expired(self, now_us: int) -> None:
        """Remove the holder whose lease expired first, while the table is full."""
        while len(self.holders) >= MAX_HOLDERS:
            key = min(self.holders, key=lambda key: self.holders[key].lease_expires_at_us)
            if self.holders[key].lease_expires_at_us >= now_us:
                return
            del self.holders[key]

    def deregister(self, name: str, incarnation: str) -> None:
        """Remove a balancer that shut down and no longer serves."""
        self.holders.pop((name, incarnation), None)

    def remove_expired(self, now_us: int) -> None:
        """Remove balancers without a lease or a heartbeat for `FORGET_AFTER_US`."""
        for key, holder in list(self.holders.items()):
            last_seen_us = max(holder.lease_expires_at_us, holder.last_heartbeat_us)
            if last_seen_us + FORGET_AFTER_US < now_us:
                del self.holders[key]

    def unprepared_members(
        self, proposal_number: int, version: int, registered: Mapping[str, str], now_us: int
    ) -> list[PendingMember]:
        """Return the balancers that may serve and are not prepared for this proposal.

        Args:
            proposal_number: The proposal that is to be decided.
            version: The version that it creates; balancers that run it already are prepared.
            registered: Incarnations, by name, of the balancers that serve without a quorum.
            now_us: The current time.
        """
        pending = [
            PendingMember(holder.name, holder.lease_expires_at_us - now_us)
            for holder in self.holders.values()
            if holder.lease_expires_at_us > now_us
            and not holder.is_prepared(proposal_number, version)
        ]
        for name, incarnation in registered.items():
            known = self.holders.get((name, incarnation))
            prepared = known is not None and known.is_prepared(proposal_number, version)
            if not prepared and name not in dict(pending):
                pending.append(PendingMember(name, 0))
        if self.unknown_holders_until_us > now_us:
            remaining_us = self.unknown_holders_until_us - now_us
            pending.append(PendingMember(UNKNOWN_HOLDERS, remaining_us))
        return sorted(pending)

    def pending_members(self, state: PolicyState, now_us: int) -> list[PendingMember]:
        """Return the balancers that have to promise the pending proposal before it is decided."""
        proposal = state.proposal
        if proposal is None:
            return []
        registered = state.members_without_quorum
        return self.unprepared_members(
            proposal.proposal_number, proposal.version, registered, now_us
        )

    def refusals(self, state: PolicyState, now_us: int) -> list[Refusal]:
        """Return the balancers that hold a lease and refused the pending proposal."""
        if state.proposal is None:
            return []
        number = state.proposal.proposal_number
        return sorted(
            Refusal(holder.name, holder.refusal_reason)
            for holder in self.holders.values()
            if holder.refused_proposal == number and holder.lease_expires_at_us > now_us
        )

    def begin_decision(
        self, old: PolicyState, new: PolicyState, now_us: int
    ) -> list[PendingMember]:
        """Return the balancers that an acceptor of `old` waits for before it accepts `new`.

        From this call until `on_accepted` is called for this or another value, a balancer that is
        not prepared for the decision gets no lease from this acceptor.
        """
        if new.version <= old.version:
            return []
        self.pending_decision = new.proposal_number, new.version
        registered = {**old.members_without_quorum, **new.members_without_quorum}
        return self.unprepared_members(new.proposal_number, new.version, registered, now_us)

    def on_accepted(self) -> None:
        """Grant leases to all balancers again, now that the accepted value is durable.

        Must not be called after a failed write. The value may be on the disk all the same, where
        the next process would read it; so unprepared balancers get no lease until a later write
        succeeds.
        """
        self.pending_decision = None
