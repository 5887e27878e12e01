"""The leases that an acceptor grants to balancers, and for whom a decision has to wait.

A balancer that holds grants of a majority may serve (`lease_state`), so whoever serves while a
majority accepts a decision is known to one acceptor of that majority, and that acceptor waits for
its promise. Leases are those of Gray and Cheriton (1989). A balancer, as an acceptor knows it:

    | state    | event                                              | next state                  |
    | -------- | -------------------------------------------------- | --------------------------- |
    | unknown  | heartbeat, prepared for any pending decision       | holds a lease               |
    | unknown  | heartbeat, not prepared for one                    | known, without a lease      |
    | known    | heartbeat, hears answers, is prepared              | holds a lease from now on   |
    | known    | heartbeat, hears no answers or is not prepared     | the lease it has runs out   |
    | known    | `deregister`                                       | unknown                     |
    | no lease | not heard for `FORGET_AFTER_US`, or the table full | unknown                     |

Times are whole microseconds on a clock that goes on while the machine sleeps. No I/O.
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum
from typing import NamedTuple

from orchidgap.decisions.policy_rollout import PolicyState

MAX_CLOCK_DRIFT_RATIO = 0.01  # how much faster or slower than true time a clock may run
MAX_HOLDERS = 4_096
FORGET_AFTER_US = 600_000_000  # after this a balancer that left is no longer listed
UNKNOWN_HOLDERS = "whoever held a lease before control started"


class OnLostQuorum(Enum):
    """What a balancer does without a lease. The values are the words of settings and wire."""

    DENY = "leave"
    SERVE = "stay"


class LeaseHolder(NamedTuple):
    """One balancer process, as a control process last heard of it.

    Attributes:
        name: The balancer's name.
        incarnation: Unique to the process.
        on_lost_quorum: A word of `OnLostQuorum`, as the balancer sent it.
        version: The version under which it accepts requests, -1 before it knows one.
        promised_proposal: The proposal number that it holds a promise for, 0 for none.
        refused_proposal: The proposal number that it refused last, 0 for none.
        refusal_reason: Why it refused.
        last_heartbeat_us: When it was heard last.
        lease_expires_at_us: It may hold a lease until then.
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
        """Return whether it is ready for this proposal to be decided as this version."""
        return self.promised_proposal == proposal_number or self.version >= version


class PendingMember(NamedTuple):
    """A balancer that a decision waits for.

    Attributes:
        name: The balancer's name.
        time_remaining_us: How long at most; 0 if only a promise or an eviction ends it.
    """

    name: str
    time_remaining_us: int


class Refusal(NamedTuple):
    """A balancer that refused what is proposed, and why."""

    name: str
    reason: str


class LeaseTable:
    """The leases that one acceptor has granted.

    >>> from orchidgap.decisions.policy_rollout import INITIAL_STATE, propose
    >>> table = LeaseTable(lease_us=1_000_000, now_us=0)
    >>> balancer = LeaseHolder("b", "1", "leave", 0, 0, 0, "", 0, 0)
    >>> table.on_heartbeat(balancer, 2_000_000)
    True
    >>> table.on_heartbeat(balancer, 2_300_000)  # it did not hear the first answer
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
        """Begin without any holder; `lease_us` is how long a lease lasts by the holder's clock."""
        self.lease_us = lease_us
        self.holders: dict[tuple[str, str], LeaseHolder] = {}
        # What the process before this one granted is not known; no such lease holds longer.
        self.unknown_holders_until_us = now_us + self.max_lease_us
        # Proposal number and version of a decision that waits here or is being written. Whoever is
        # not prepared for it gets no lease: another acceptor may have accepted it already, and then
        # it cannot be dropped any more.
        self.pending_decision: tuple[int, int] | None = None

    @property
    def max_lease_us(self) -> int:
        """How long a lease may last by this process's clock while the holder's runs slow."""
        return round(self.lease_us * (1 + MAX_CLOCK_DRIFT_RATIO))

    def on_heartbeat(self, holder: LeaseHolder, now_us: int, last_answer_at_us: int = 0) -> bool:
        """Record a balancer's heartbeat; return whether it is granted a lease.

        Args:
            holder: What the balancer says of itself.
            now_us: The time now.
            last_answer_at_us: When this process last answered it, as far as the balancer has heard.
                One that hears no answers uses no lease, and must not hold up changes because it
                goes on asking.
        """
        key = holder.name, holder.incarnation
        before = self.holders.pop(key, None)
        self._make_room(now_us)
        if len(self.holders) >= MAX_HOLDERS:
            return False
        hears_answers = before is None or 0 <= now_us - last_answer_at_us <= 2 * self.lease_us
        prepared = not self.pending_decision or holder.is_prepared(*self.pending_decision)
        granted = hears_answers and prepared
        if granted:
            expires_at_us = now_us + self.max_lease_us
        else:
            expires_at_us = before.lease_expires_at_us if before else 0
        self.holders[key] = holder._replace(
            last_heartbeat_us=now_us, lease_expires_at_us=expires_at_us
        )
        return granted

    def _make_room(self, now_us: int) -> None:
        """While the table is full, forget the one whose lease ran out first."""
        while len(self.holders) >= MAX_HOLDERS:
            key = min(self.holders, key=lambda key: self.holders[key].lease_expires_at_us)
            if self.holders[key].lease_expires_at_us >= now_us:
                return
            del self.holders[key]

    def deregister(self, name: str, incarnation: str) -> None:
        """Forget a balancer that has ended by itself and serves no more."""
        self.holders.pop((name, incarnation), None)

    def remove_expired(self, now_us: int) -> None:
        """Forget balancers that have been away for long."""
        for key, holder in list(self.holders.items()):
            last_seen_us = max(holder.lease_expires_at_us, holder.last_heartbeat_us)
            if last_seen_us + FORGET_AFTER_US < now_us:
                del self.holders[key]

    def unprepared_members(
        self, proposal_number: int, version: int, registered: Mapping[str, str], now_us: int
    ) -> list[PendingMember]:
        """Return who may serve without a promise for this proposal and below this version.

        Args:
            proposal_number: The proposal that is to be decided.
            version: The version that it makes.
            registered: Balancers that serve without a quorum, by name, with their incarnations.
            now_us: The time now.
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
        """Return who has to promise what is proposed before it can be decided."""
        proposal = state.proposal
        if proposal is None:
            return []
        registered = state.members_without_quorum
        return self.unprepared_members(
            proposal.proposal_number, proposal.version, registered, now_us
        )

    def refusals(self, state: PolicyState, now_us: int) -> list[Refusal]:
        """Return who may serve and refused what is proposed."""
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
        """Return whom an acceptor of `old` has to wait for before it accepts `new`.

        From then on, and until `on_accepted` is called for this or another value, whoever is not
        prepared for it gets no lease here.
        """
        if new.version <= old.version:
            return []
        self.pending_decision = new.proposal_number, new.version
        registered = {**old.members_without_quorum, **new.members_without_quorum}
        return self.unprepared_members(new.proposal_number, new.version, registered, now_us)

    def on_accepted(self) -> None:
        """Grant leases to all again: what was accepted is on the disk.

        Not to be called after a write that failed. What it wrote may be there all the same, for the
        next process to find; so whoever is not prepared gets no lease until another write succeeds.
        """
        self.pending_decision = None
