"""A model of leases and versions: balancers, three acceptors and a driver of changes.

Balancers promise, refuse, adopt, pause, restart and lose their links. A write of an acceptor may
take any time. The driver may decide at any time, and the clock may advance without limit between
any two steps. One prepare phase of the driver is atomic; its accept requests may arrive at any
acceptor at any time.

States that differ only by a permutation of acceptors are treated as one. One balancer represents
any number of them: others affect it only through an acceptor, as a wait (which an accept request
may incur at any time) or as a round of the register.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import replace
from itertools import combinations

from orchidgap.decisions import policy_rollout
from orchidgap.decisions.cas_register import quorum_size
from orchidgap.decisions.leases import OnLostQuorum
from orchidgap.decisions.policy_rollout import PolicyState
from orchidgap.fault_tests.model.acceptor_steps import AcceptorSteps
from orchidgap.fault_tests.model.balancer_steps import BalancerSteps
from orchidgap.fault_tests.model.explorer import InvariantViolation, Model
from orchidgap.fault_tests.model.fleet_state import (
    ACCEPTOR_COUNT,
    LEASE_US,
    NO_ROUND,
    TICK_US,
    ChosenVersion,
    DriverState,
    FleetState,
    FleetTables,
    balancer_name,
    ballot_of_round,
)
from orchidgap.fault_tests.model.interning import with_item

QUORUM = quorum_size(ACCEPTOR_COUNT)


class FleetModel(Model[FleetState]):
    """Checks that each balancer that may serve runs the decided version.

    An earlier version may be served for at most one lease duration after a decision.
    """

    def __init__(
        self,
        balancer_count: int,
        max_proposals: int,
        max_rounds: int,
        max_restarts: int,
        on_lost_quorum: OnLostQuorum,
    ) -> None:
        """Limit the number of proposals, of the driver's rounds and of process restarts."""
        self.max_proposals = max_proposals
        self.max_rounds = max_rounds
        self.max_restarts = max_restarts
        self.on_lost_quorum = on_lost_quorum
        self.tables = FleetTables()
        self.balancer_steps = BalancerSteps(self.tables, on_lost_quorum)
        self.acceptor_steps = AcceptorSteps(self.tables, on_lost_quorum, max_restarts)
        members: dict[str, str] = {}
        if on_lost_quorum is OnLostQuorum.SERVE:
            members = {balancer_name(index): "0" for index in range(balancer_count)}
        policy = replace(policy_rollout.INITIAL_STATE, members_without_quorum=members)
        acceptor = self.acceptor_steps.initial(balancer_count, policy)
        balancer = self.balancer_steps.initial()
        driver = self.tables.drivers.number(DriverState((), (), 0))
        self.initial_state = FleetState(
            (balancer,) * balancer_count, (acceptor,) * ACCEPTOR_COUNT, driver
        )

    def successors(self, state: FleetState) -> Iterator[FleetState]:
        """Yield each state that is reached by one step, checked and with sorted acceptors."""
        for after in self._steps(state):
            self._check(after)
            acceptors = sorted(
                self.acceptor_steps.normalized(acceptor, after.driver)
                for acceptor in after.acceptors
            )
            yield after._replace(acceptors=tuple(acceptors))

    def _steps(self, state: FleetState) -> Iterator[FleetState]:
        yield self._after_tick(state)
        for index in range(len(state.balancers)):
            yield from self._balancer_steps(state, index)
        for index in range(len(state.acceptors)):
            yield from self._acceptor_steps(state, index)
        yield from self._driver_rounds(state)

    def _after_tick(self, state: FleetState) -> FleetState:
        driver = self.tables.drivers[state.driver]
        chosen = tuple(
            ChosenVersion(version, min(LEASE_US, age_us + TICK_US))
            for version, age_us in driver.chosen
        )
        return FleetState(
            tuple(self.balancer_steps.after_tick(number) for number in state.balancers),
            tuple(self.acceptor_steps.after_tick(number) for number in state.acceptors),
            self.tables.drivers.number(driver._replace(chosen=chosen)),
        )

    def _may_restart(self, state: FleetState) -> bool:
        return self.tables.drivers[state.driver].restarts < self.max_restarts

    def _counting_restart(self, state: FleetState) -> FleetState:
        driver = self.tables.drivers[state.driver]
        restarted = driver._replace(restarts=driver.restarts + 1)
        return state._replace(driver=self.tables.drivers.number(restarted))

    # --- balancers

    def _balancer_steps(self, state: FleetState, index: int) -> Iterator[FleetState]:
        number = state.balancers[index]
        balancer = self.tables.balancers[number]
        steps = self.balancer_steps
        if balancer.writing:
            yield self._with_balancer(state, index, steps.after_promise_written(number))
        if balancer.call_sent_us is None or balancer.call_sent_us < 0:
            calling = self._with_balancer(state, index, steps.calling(number))
            yield self._without_answers(calling, index)
        if self._may_restart(state):
            restarted = self._with_balancer(state, index, steps.restarted(number))
            yield self._without_answers(self._counting_restart(restarted), index)
        if balancer.call_sent_us is not None:
            yield from self._heartbeats(state, index)
            yield from self._answers(state, index)

    def _heartbeats(self, state: FleetState, index: int) -> Iterator[FleetState]:
        """Yield the states after the balancer's call has reached an acceptor."""
        balancer = state.balancers[index]
        for position, acceptor in enumerate(state.acceptors):
            if self.tables.acceptors[acceptor].answers[index] is None:
                answered = self.acceptor_steps.after_heartbeat(index, balancer, acceptor)
                yield self._with_acceptor(state, position, answered)

    def _answers(self, state: FleetState, index: int) -> Iterator[FleetState]:
        """Yield the states after two or three answers have arrived; one alone has no effect."""
        in_flight = (self.tables.acceptors[number].answers[index] for number in state.acceptors)
        answers = sorted(answer for answer in in_flight if answer)
        subsets = (*combinations(answers, QUORUM), *combinations(answers, ACCEPTOR_COUNT))
        for received in dict.fromkeys(subsets):
            after, call_is_over = self.balancer_steps.after_answers(
                index, state.balancers[index], received
            )
            informed = self._with_balancer(state, index, after)
            # once the call has ended, further answers to it have no effect
            yield self._without_answers(informed, index) if call_is_over else informed

    @staticmethod
    def _with_balancer(state: FleetState, index: int, number: int) -> FleetState:
        return state._replace(balancers=with_item(state.balancers, index, number))

    def _without_answers(self, state: FleetState, balancer: int) -> FleetState:
        acceptors = tuple(
            self.acceptor_steps.without_answer(number, balancer) for number in state.acceptors
        )
        return state._replace(acceptors=acceptors)

    # --- acceptors

    def _acceptor_steps(self, state: FleetState, index: int) -> Iterator[FleetState]:
        number = state.acceptors[index]
        acceptor = self.tables.acceptors[number]
        steps = self.acceptor_steps
        if self._may_restart(state):
            restarted = self._with_acceptor(state, index, steps.restarted(number))
            restarted = self._counting_restart(restarted)
            yield restarted
            found_on_disk = max(acceptor.writing, acceptor.failed_write)
            if found_on_disk != NO_ROUND:
                yield self._after_accepted(restarted, index, found_on_disk)
        if acceptor.writing != NO_ROUND:
            yield self._with_acceptor(state, index, steps.after_failed_write(number))
            yield self._after_accepted(state, index, acceptor.writing)
            return
        round_values = self.tables.drivers[state.driver].round_values
        for round_number, value in enumerate(round_values):
            for after in steps.after_accept_request(number, round_number, value):
                yield self._with_acceptor(state, index, after)

    @staticmethod
    def _with_acceptor(state: FleetState, index: int, number: int) -> FleetState:
        return state._replace(acceptors=with_item(state.acceptors, index, number))

    def _after_accepted(self, state: FleetState, index: int, round_number: int) -> FleetState:
        """Complete an acceptor's write of a round's value, which may thereby be chosen."""
        driver = self.tables.drivers[state.driver]
        value = driver.round_values[round_number]
        accepted = self.acceptor_steps.after_accepted(state.acceptors[index], round_number, value)
        after = self._with_acceptor(state, index, accepted)
        acceptance_count = sum(
            self.tables.acceptors[number].accepted_rounds >> round_number & 1
            for number in after.acceptors
        )
        if acceptance_count == QUORUM:
            return self._after_chosen(after, self.tables.policies[value])
        return after

    def _after_chosen(self, state: FleetState, policy: PolicyState) -> FleetState:
        """Record a decision; each balancer that may serve now must have promised or adopted it."""
        driver = self.tables.drivers[state.driver]
        version = policy.version
        if version <= driver.last_version():
            return state
        for index, number in enumerate(state.balancers):
            balancer = self.tables.balancers[number]
            prepared = balancer.version >= version or balancer.promised == policy.proposal_number
            if not prepared and self.balancer_steps.may_serve(number):
                raise InvariantViolation(
                    f"version {version} was decided while {balancer_name(index)} "
                    f"may serve under version {balancer.version} without a promise"
                )
        decided = driver._replace(chosen=(*driver.chosen, ChosenVersion(version, 0)))
        return state._replace(driver=self.tables.drivers.number(decided))

    # --- the driver

    def _driver_rounds(self, state: FleetState) -> Iterator[FleetState]:
        """Yield one prepare phase per majority and value that may be proposed after it."""
        driver = self.tables.drivers[state.driver]
        if len(driver.round_values) >= self.max_rounds:
            return
        ballot = ballot_of_round(len(driver.round_values))
        for quorum in combinations(range(ACCEPTOR_COUNT), QUORUM):
            members = [self.tables.acceptors[state.acceptors[index]] for index in quorum]
            if any(acceptor.writing != NO_ROUND for acceptor in members):
                continue  # an acceptor answers prepare requests after its write
            acceptors = state.acceptors
            for index, acceptor in zip(quorum, members):
                promised = acceptor._replace(promised_ballot=ballot, failed_write=NO_ROUND)
                acceptors = with_item(acceptors, index, self.tables.acceptors.number(promised))
            newest = max(members, key=lambda acceptor: acceptor.accepted_ballot)
            for policy in self._proposable(state, self.tables.policies[newest.value]):
                value = self.tables.policies.number(policy)
                begun = driver._replace(round_values=(*driver.round_values, value))
                number = self.tables.drivers.number(begun)
                yield state._replace(acceptors=acceptors, driver=number)

    def _proposable(self, state: FleetState, policy: PolicyState) -> list[PolicyState]:
        """Return the policy state itself and all states that the driver may propose after it."""
        found: list[PolicyState] = []
        if policy.proposal_count < self.max_proposals:
            found.append(policy_rollout.propose(policy, f"p{policy.proposal_count}", {}))
        if policy.proposal:
            number = policy.proposal.proposal_number
            found.append(policy_rollout.decide(policy, number))
            found.append(policy_rollout.drop(policy, number, ""))
        if self.on_lost_quorum is OnLostQuorum.SERVE:
            for index, balancer in enumerate(state.balancers):
                incarnation = str(self.tables.balancers[balancer].incarnation)
                member = policy_rollout.register_member(policy, balancer_name(index), incarnation)
                found.append(member)
        return [policy, *(made for made in found if made is not policy)]

    # --- the invariant

    def _check(self, state: FleetState) -> None:
        driver = self.tables.drivers[state.driver]
        last_version = driver.last_version()
        for index, number in enumerate(state.balancers):
            name = balancer_name(index)
            running = self.tables.balancers[number].version
            if running > last_version:
                raise InvariantViolation(f"{name} runs version {running}, which is not decided")
            for version, age_us in driver.chosen:
                outdated = running < version and age_us >= LEASE_US
                if outdated and self.balancer_steps.may_serve(number):
                    raise InvariantViolation(
                        f"{name} may serve under version {running} a full lease duration "
                        f"after version {version} was decided"
                    )
