"""Transitions of one balancer of the fleet model, by `decisions.lease_state`."""

from __future__ import annotations

from functools import cache

from orchidgap.decisions.lease_state import (
    LeaseState,
    NextStep,
    PromisePhase,
    ServingPermission,
    evaluate_answers,
)
from orchidgap.decisions.leases import OnLostQuorum
from orchidgap.fault_tests.model.fleet_state import (
    ACCEPTOR_COUNT,
    LEASE_US,
    TICK_US,
    BalancerState,
    FleetTables,
    HeartbeatAnswer,
    balancer_name,
)

NOTHING_REPORTED = (0, 0)


class BalancerSteps:
    """Transitions between the numbers of a balancer's states; each is computed once."""

    def __init__(self, tables: FleetTables, on_lost_quorum: OnLostQuorum) -> None:
        """Prepare the transitions of balancers that all behave alike without a quorum."""
        self.tables = tables
        self.on_lost_quorum = on_lost_quorum
        self.after_tick = cache(self._after_tick)
        self.after_promise_written = cache(self._after_promise_written)
        self.after_answers = cache(self._after_answers)
        self.may_serve = cache(self._may_serve)

    def initial(self) -> int:
        """Return a balancer that runs version 0 and holds no lease."""
        registered = self.on_lost_quorum is OnLostQuorum.SERVE
        state = BalancerState(0, 0, 0, 0, 0, registered, None, NOTHING_REPORTED)
        return self.tables.balancers.number(state)

    def restarted(self, number: int) -> int:
        """Return the balancer's next incarnation, which has no version."""
        incarnation = self.tables.balancers[number].incarnation + 1
        state = BalancerState(incarnation, -1, 0, 0, 0, False, None, NOTHING_REPORTED)
        return self.tables.balancers.number(state)

    def calling(self, number: int) -> int:
        """Return the balancer after it has sent a call to all acceptors."""
        balancer = self.tables.balancers[number]
        reported = balancer.version, balancer.promised
        return self.tables.balancers.number(balancer._replace(call_sent_us=0, reported=reported))

    def _lease_state(self, balancer: BalancerState) -> LeaseState:
        lease = LeaseState(self.on_lost_quorum, LEASE_US)
        lease.version = balancer.version
        if balancer.promised:
            lease.promise_phase = PromisePhase.PROMISED
        elif balancer.writing:
            lease.promise_phase = PromisePhase.WRITING
        lease.proposal_number = balancer.promised or balancer.writing
        lease.expires_at_us = balancer.lease_expires_us
        lease.registered = balancer.registered
        return lease

    @staticmethod
    def _with_lease_state(balancer: BalancerState, lease: LeaseState) -> BalancerState:
        return balancer._replace(
            version=lease.version,
            promised=lease.promised_proposal,
            writing=lease.writing_proposal,
            lease_expires_us=max(0, lease.expires_at_us),
            registered=lease.registered,
        )

    def _after_tick(self, number: int) -> int:
        """Advance the time; an expired lease counts as none, and the age of a call is capped."""
        balancer = self.tables.balancers[number]
        sent_us = balancer.call_sent_us
        if sent_us is not None:
            sent_us = max(-LEASE_US, sent_us - TICK_US)
        expires_us = max(0, balancer.lease_expires_us - TICK_US)
        return self.tables.balancers.number(
            balancer._replace(lease_expires_us=expires_us, call_sent_us=sent_us)
        )

    def _after_promise_written(self, number: int) -> int:
        """Complete the write of a promise; a refusal is modelled as a write that never ends."""
        balancer = self.tables.balancers[number]
        lease = self._lease_state(balancer)
        lease.on_promise_durable(balancer.writing)
        return self.tables.balancers.number(self._with_lease_state(balancer, lease))

    def _after_answers(
        self, index: int, number: int, answers: tuple[HeartbeatAnswer, ...]
    ) -> tuple[int, bool]:
        """Return the balancer after these answers, and whether its call has ended."""
        balancer = self.tables.balancers[number]
        policies = self.tables.policies
        state, granted = evaluate_answers(
            ACCEPTOR_COUNT, [(ballot, policies[value], grants) for ballot, value, grants in answers]
        )
        if state is None:
            return number, False
        sent_us = balancer.call_sent_us
        assert sent_us is not None
        proposed = state.proposal.proposal_number if state.proposal else 0
        incarnation = state.members_without_quorum.get(balancer_name(index))
        registered = incarnation == str(balancer.incarnation)
        lease = self._lease_state(balancer)
        step = lease.on_chosen_state(state.version, proposed, registered, sent_us, granted)
        if step is NextStep.ADOPT_VERSION:
            lease.on_version_adopted(state.version)
            step = lease.on_chosen_state(state.version, proposed, registered, sent_us, granted)
        if step is NextStep.CHECK_PROPOSAL:
            lease.on_write_started(proposed)
        after = self._with_lease_state(balancer, lease)
        if granted:
            after = after._replace(call_sent_us=None, reported=NOTHING_REPORTED)
        return self.tables.balancers.number(after), granted

    def _may_serve(self, number: int) -> bool:
        lease = self._lease_state(self.tables.balancers[number])
        return lease.permission(0) is not ServingPermission.DENIED
