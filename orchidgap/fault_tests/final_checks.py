"""Checks after all faults have ended: balancers serve under the decided version, outcomes agree."""

from __future__ import annotations

from functools import partial

from orchidgap.control.messages import (
    CHANGE,
    SETTLE,
    STATUS,
    ChangeRequest,
    ChangeState,
    EmptyMessage,
)
from orchidgap.fault_tests.cluster import Cluster
from orchidgap.fault_tests.conditions import StepConditions
from orchidgap.fault_tests.plan import ProposalOutcome, class_of_version
from orchidgap.fault_tests.rollout_checker import STUCK, UNTRUE, ProposalRecord

EXTRA_WAIT_S = 5.0  # in addition to the time that a proposer waits
MIN_SERVE_WAIT_S = 0.5
SETTLE_LEASES = 3  # lease durations that may pass until all balancers serve the decided version


class FinalChecks:
    """The checks at the end of a fault test."""

    def __init__(self, cluster: Cluster, conditions: StepConditions) -> None:
        """Check this cluster."""
        self.cluster = cluster
        self.conditions = conditions
        self.checker = cluster.checker

    def run(self) -> None:
        """Run all checks; each failed one is recorded as a breach."""
        cluster = self.cluster
        numbers = [number for number in self.checker.proposals if number]
        if cluster.controls:
            if cluster.call_control(SETTLE, EmptyMessage()) is None:
                self.checker.record_breach(STUCK, cluster.loop.now, "control does not answer")
                return
            wait_s = cluster.proposer_wait_s() + EXTRA_WAIT_S
            cluster.wait_until(self._no_proposal_open, wait_s, "no proposal open at control")
            for number in numbers:
                self._check_outcome(self.checker.proposals[number])
        if numbers:
            self._check_balancers()
            self._check_expected_outcomes(numbers)

    def _no_proposal_open(self) -> bool:
        status = self.cluster.call_control(STATUS, EmptyMessage())
        return status is not None and status.proposal is None

    def _check_outcome(self, proposal: ProposalRecord) -> None:
        """Compare the outcome that control reports now with the one that proposers received."""
        change_id = f"v{proposal.number}"
        answer = self.cluster.call_control(CHANGE, ChangeRequest(change_id=change_id))
        now_us = self.cluster.loop.now
        state = answer.state if answer else None
        if answer and state in (ChangeState.DECIDED, ChangeState.DROPPED):
            outcome = ProposalOutcome.DROPPED
            if state is ChangeState.DECIDED:
                outcome = ProposalOutcome.DECIDED
            version = answer.version or 0
            self.checker.on_outcome(proposal, outcome, version, answer.reason or "", now_us)
        elif state is ChangeState.UNKNOWN and proposal.outcome is not ProposalOutcome.DECIDED:
            # no control process accepted it, and no proposer received another outcome
            proposal.outcome = ProposalOutcome.DROPPED
        else:
            rule = STUCK if state in (None, ChangeState.PROPOSED) else UNTRUE
            before = proposal.outcome.value or "nothing"
            found = state.value if state else "nothing"
            self.checker.record_breach(rule, now_us, f"{change_id}: {found}, after {before}")

    def _check_balancers(self) -> None:
        """Check that each running balancer serves under the decided version."""
        cluster = self.cluster
        request_class = class_of_version(self.checker.last_decided().number)
        since_us = cluster.loop.now
        lease_s = cluster.test.control.lease_ms / 1e3
        for name in [name for name, instance in cluster.balancers.items() if instance.alive]:
            spent_s = (cluster.loop.now - since_us) / 1e6
            wait_s = cluster.test.settle_s + SETTLE_LEASES * lease_s - spent_s
            is_served = partial(self.conditions.serves, name, request_class, since_us)
            what = f"serves {name} {request_class}"
            cluster.wait_until(is_served, max(MIN_SERVE_WAIT_S, wait_s), what)

    def _check_expected_outcomes(self, numbers: list[int]) -> None:
        expected = self.cluster.test.outcomes
        proposals = [self.checker.proposals[number] for number in numbers]
        found = tuple(proposal.outcome.value for proposal in proposals)
        if expected and found != expected:
            reasons = "; ".join(proposal.reason for proposal in proposals)
            text = f"outcomes {', '.join(found)}: {reasons}"
            self.checker.record_breach(STUCK, self.cluster.loop.now, text)
