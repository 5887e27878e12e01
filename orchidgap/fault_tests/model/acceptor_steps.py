"""Transitions of one acceptor of the fleet model, by `decisions.leases` and `cas_register`."""

from __future__ import annotations

from functools import cache

from orchidgap.decisions.cas_register import NO_BALLOT, Acceptor, AcceptorState
from orchidgap.decisions.leases import LeaseHolder, LeaseTable, OnLostQuorum
from orchidgap.decisions.policy_rollout import PolicyState
from orchidgap.fault_tests.model.fleet_state import (
    LEASE_US,
    NO_ROUND,
    TICK_US,
    AcceptorView,
    FleetTables,
    HeartbeatAnswer,
    balancer_name,
    ballot_of_round,
)
from orchidgap.fault_tests.model.interning import with_item


class AcceptorSteps:
    """Transitions between the numbers of an acceptor's states; each is computed once."""

    def __init__(
        self, tables: FleetTables, on_lost_quorum: OnLostQuorum, max_restarts: int
    ) -> None:
        """Prepare the transitions of acceptors."""
        self.tables = tables
        self.on_lost_quorum = on_lost_quorum
        self.max_restarts = max_restarts
        self.after_tick = cache(self._after_tick)
        self.without_answer = cache(self._without_answer)
        self.after_heartbeat = cache(self._after_heartbeat)
        self.after_accept_request = cache(self._after_accept_request)
        self.after_failed_write = cache(self._after_failed_write)
        self.restarted = cache(self._restarted)
        self.after_accepted = cache(self._after_accepted)
        self.normalized = cache(self._normalized)

    def initial(self, balancer_count: int, state: PolicyState) -> int:
        """Return an acceptor that has granted no lease and has accepted this state."""
        value = self.tables.policies.number(state)
        answers = (None,) * balancer_count
        return self.tables.acceptors.number(
            AcceptorView(NO_BALLOT, NO_BALLOT, value, (), 0, None, NO_ROUND, NO_ROUND, answers, 0)
        )

    @staticmethod
    def _lease_table(acceptor: AcceptorView) -> LeaseTable:
        leases = LeaseTable(LEASE_US, 0)
        leases.unknown_holders_until_us = acceptor.unknown_holders_until_us
        leases.pending_decision = acceptor.pending_decision
        leases.holders = {(holder.name, holder.incarnation): holder for holder in acceptor.holders}
        return leases

    @staticmethod
    def _with_lease_table(acceptor: AcceptorView, leases: LeaseTable) -> AcceptorView:
        holders = sorted(
            holder._replace(last_heartbeat_us=0)
            for holder in leases.holders.values()
            if holder.lease_expires_at_us > 0
        )
        return acceptor._replace(holders=tuple(holders), pending_decision=leases.pending_decision)

    def _after_tick(self, number: int) -> int:
        acceptor = self.tables.acceptors[number]
        holders = tuple(
            holder._replace(lease_expires_at_us=holder.lease_expires_at_us - TICK_US)
            for holder in acceptor.holders
            if holder.lease_expires_at_us > TICK_US
        )
        unknown_until_us = max(0, acceptor.unknown_holders_until_us - TICK_US)
        return self.tables.acceptors.number(
            acceptor._replace(holders=holders, unknown_holders_until_us=unknown_until_us)
        )

    def _without_answer(self, number: int, balancer: int) -> int:
        """Drop the acceptor's answer to a balancer's call."""
        acceptor = self.tables.acceptors[number]
        answers = with_item(acceptor.answers, balancer, None)
        return self.tables.acceptors.number(acceptor._replace(answers=answers))

    def _after_heartbeat(self, balancer: int, balancer_number: int, number: int) -> int:
        """Deliver a balancer's heartbeat."""
        acceptor = self.tables.acceptors[number]
        caller = self.tables.balancers[balancer_number]
        leases = self._lease_table(acceptor)
        version, promised = caller.reported
        holder = LeaseHolder(
            name=balancer_name(balancer),
            incarnation=str(caller.incarnation),
            on_lost_quorum=self.on_lost_quorum.value,
            version=version,
            promised_proposal=promised,
            refused_proposal=0,
            refusal_reason="",
            last_heartbeat_us=0,
            lease_expires_at_us=0,
        )
        granted = leases.on_heartbeat(holder, 0, 0)
        answer = HeartbeatAnswer(acceptor.accepted_ballot, acceptor.value, granted)
        answers = with_item(acceptor.answers, balancer, answer)
        after = self._with_lease_table(acceptor, leases)._replace(answers=answers)
        return self.tables.acceptors.number(after)

    def _after_accept_request(self, number: int, round_number: int, value: int) -> list[int]:
        """Return the possible states: waiting for leases to expire, or writing the value."""
        acceptor = self.tables.acceptors[number]
        ballot = ballot_of_round(round_number)
        if acceptor.accepted_ballot == ballot:
            return []
        policies = self.tables.policies
        current = policies[acceptor.value]
        register = Acceptor(
            AcceptorState(acceptor.promised_ballot, acceptor.accepted_ballot, current)
        )
        if register.accept(ballot, policies[value]) is None:
            return []
        leases = self._lease_table(acceptor)
        blocked = leases.begin_decision(current, policies[value], 0)
        after = self._with_lease_table(acceptor, leases)
        # the acceptor may wait for this balancer, or for one that is not in the model
        found = [self.tables.acceptors.number(after)] if leases.pending_decision else []
        if not blocked:
            found.append(self.tables.acceptors.number(after._replace(writing=round_number)))
        return found

    def _after_failed_write(self, number: int) -> int:
        """Fail the write in progress; the value may be on the disk nevertheless."""
        acceptor = self.tables.acceptors[number]
        return self.tables.acceptors.number(
            acceptor._replace(writing=NO_ROUND, failed_write=acceptor.writing)
        )

    def _restarted(self, number: int) -> int:
        acceptor = self.tables.acceptors[number]
        unknown_until_us = LeaseTable(LEASE_US, 0).unknown_holders_until_us
        return self.tables.acceptors.number(
            acceptor._replace(
                holders=(),
                unknown_holders_until_us=unknown_until_us,
                pending_decision=None,
                writing=NO_ROUND,
                failed_write=NO_ROUND,
            )
        )

    def _after_accepted(self, number: int, round_number: int, value: int) -> int:
        """Complete the write of a round's value."""
        acceptor = self.tables.acceptors[number]
        leases = self._lease_table(acceptor)
        leases.on_accepted()
        ballot = ballot_of_round(round_number)
        return self.tables.acceptors.number(
            self._with_lease_table(acceptor, leases)._replace(
                promised_ballot=ballot,
                accepted_ballot=ballot,
                value=value,
                writing=NO_ROUND,
                failed_write=NO_ROUND,
                accepted_rounds=acceptor.accepted_rounds | 1 << round_number,
            )
        )

    def _normalized(self, number: int, driver_number: int) -> int:
        """Remove parts of the state that have no effect any more.

        These are acceptances of versions that are already decided, and failed writes that no
        restart can find on the disk.
        """
        acceptor = self.tables.acceptors[number]
        driver = self.tables.drivers[driver_number]
        last_version = driver.last_version()
        accepted_rounds = sum(
            1 << round_number
            for round_number, value in enumerate(driver.round_values)
            if acceptor.accepted_rounds >> round_number & 1
            and self.tables.policies[value].version > last_version
        )
        failed_write = acceptor.failed_write if driver.restarts < self.max_restarts else NO_ROUND
        return self.tables.acceptors.number(
            acceptor._replace(accepted_rounds=accepted_rounds, failed_write=failed_write)
        )
