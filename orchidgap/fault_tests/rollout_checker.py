"""Checks rollouts of policy changes by the answers to clients and the outcomes given to proposers.

A request of a class that only one version defines is answered 200 under that version and under no
other. The rules, by their keys in the verdict line:

`undecided`: a request was answered under a version that was never decided, or not yet.
`old`: a request was sent later than the bound after a decision, and answered under an earlier
    version.
`untrue`: a proposer received a different outcome of a change than another proposer, or than
    control's history contains.
`uneven`: load was less even during a phase than the plan expects.
`stuck`: after all faults had ended, a balancer did not serve under the decided version, or a
    proposal had no outcome; or a condition was not met in time, or restarts took too long.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, NamedTuple

from orchidgap.fault_tests.plan import ProposalOutcome, version_of_class
from orchidgap.simulation.invariant_checker import InvariantChecker
from orchidgap.simulation.observations import ClientAttempt

UNDECIDED = "undecided"
OLD = "old"
UNTRUE = "untrue"
UNEVEN = "uneven"
STUCK = "stuck"
RULES = (UNDECIDED, OLD, UNTRUE, UNEVEN, STUCK)
FINAL_OUTCOMES = (ProposalOutcome.DECIDED, ProposalOutcome.DROPPED)


@dataclass(slots=True)
class ProposalRecord:
    """The outcome of one proposal, as reported to its proposers.

    Attributes:
        number: The number of the proposal in the plan; 0 for the initial policy.
        began_us: When it was proposed.
        outcome: The outcome that control reported.
        version: The version as which it was decided.
        reason: Why it was dropped.
        ended_us: When the outcome was reported.
        undecided_until_us: The last time at which a majority of control had certainly not accepted
            it.
    """

    number: int
    began_us: int
    outcome: ProposalOutcome = ProposalOutcome.OPEN
    version: int = 0
    reason: str = ""
    ended_us: int = 0
    undecided_until_us: int = 0


class AnsweredRequest(NamedTuple):
    """A request and the proposal under whose version it was answered."""

    request: ClientAttempt
    proposal: ProposalRecord

    def describe(self) -> str:
        """Return the request, its balancer and the version, for the text of a breach."""
        request = self.request
        return (
            f"{request.id.decode()} at {request.balancer}: answered under v{self.proposal.number}"
        )


class RolloutChecker:
    """Collects the outcomes of proposals and checks all requests against them at the end.

    Attributes:
        proposals: The proposals by number.
        breach_counts: The number of breaches by rule.
        outdated_answers: The number of requests sent after a decision and answered under an
            earlier version.
        rollout_us: For each decided version, the time from its decision to the sending of the last
            request that was answered under an earlier version.
    """

    def __init__(self, invariant_checker: InvariantChecker, bound_us: int, slack_us: int) -> None:
        """Check the requests of `invariant_checker`.

        Args:
            invariant_checker: The record of all requests.
            bound_us: How long after a decision requests may be answered under an earlier version.
            slack_us: An addition to the bound, for delays on a busy machine.
        """
        self.invariant_checker = invariant_checker
        self.bound_us = bound_us
        self.slack_us = slack_us
        self.proposals = {0: ProposalRecord(0, 0, ProposalOutcome.DECIDED)}
        self.breach_counts = dict.fromkeys(RULES, 0)
        self.rollout_us: list[int] = []
        self.outdated_answers = 0

    def record_breach(self, rule: str, at_us: int, text: str) -> None:
        """Record that a rule was broken."""
        self.breach_counts[rule] += 1
        self.invariant_checker.breaches.append(
            (rule, (at_us - self.invariant_checker.started_at_us) / 1e6, text)
        )

    def on_outcome(
        self,
        proposal: ProposalRecord,
        outcome: ProposalOutcome,
        version: int,
        reason: str,
        at_us: int,
    ) -> None:
        """Record an outcome that a proposer received; final outcomes have to agree."""
        if proposal.outcome in FINAL_OUTCOMES and outcome in FINAL_OUTCOMES:
            if (proposal.outcome, proposal.version) != (outcome, version):
                before = f"{proposal.outcome.value} {proposal.version}"
                text = f"v{proposal.number}: {outcome.value} {version}, after {before}"
                self.record_breach(UNTRUE, at_us, text)
            return
        if outcome in FINAL_OUTCOMES or proposal.outcome is ProposalOutcome.OPEN:
            proposal.outcome = outcome
            proposal.version = version
            proposal.reason = reason
            proposal.ended_us = at_us

    def last_decided(self) -> ProposalRecord:
        """Return the decided proposal with the highest version."""

        def decided_version(proposal: ProposalRecord) -> int:
            return proposal.version if proposal.outcome is ProposalOutcome.DECIDED else -1

        return max(self.proposals.values(), key=decided_version)

    def _answered_requests(self) -> list[AnsweredRequest]:
        """Return the requests whose answer shows the version that was in effect."""
        found = []
        for request in self.invariant_checker.client_attempts.values():
            if request.status != 200:
                continue
            number = version_of_class(request.operation.request_class.name)
            if number is not None and number in self.proposals:
                found.append(AnsweredRequest(request, self.proposals[number]))
        return found

    def _decision_times_us(self, answered: list[AnsweredRequest]) -> dict[int, int]:
        """Return, by version, the earliest time at which it had certainly been decided."""
        decided_us: dict[int, int] = {}
        for proposal in self.proposals.values():
            if proposal.outcome is ProposalOutcome.DECIDED and proposal.number:
                answered_us = [request.answered_at_us for request, by in answered if by is proposal]
                decided_us[proposal.version] = min([proposal.ended_us, *answered_us])
        return decided_us

    def check(self) -> None:
        """Check all requests against all decided versions."""
        answered = self._answered_requests()
        decided_us = self._decision_times_us(answered)
        last_outdated_us: dict[int, int] = {}
        for one in answered:
            if not self._check_decided(one):
                continue
            self._check_age(one, decided_us)
            request = one.request
            later_versions = [
                version
                for version, since_us in decided_us.items()
                if version > one.proposal.version and request.arrived_at_us > since_us
            ]
            if later_versions:
                self.outdated_answers += 1
                version = min(later_versions)
                age_us = request.arrived_at_us - decided_us[version]
                last_outdated_us[version] = max(last_outdated_us.get(version, 0), age_us)
        self.rollout_us = [last_outdated_us.get(version, 0) for version in decided_us]

    def _check_decided(self, answered: AnsweredRequest) -> bool:
        """Return whether the version was ever decided; also check that it was before the answer."""
        request, proposal = answered
        if proposal.outcome is not ProposalOutcome.DECIDED:
            outcome = proposal.outcome.value or ProposalOutcome.DROPPED.value
            text = f"{answered.describe()}, whose outcome is {outcome}"
            self.record_breach(UNDECIDED, request.answered_at_us, text)
            return False
        if proposal.number and request.answered_at_us < proposal.undecided_until_us:
            text = f"{answered.describe()} before it was decided"
            self.record_breach(UNDECIDED, request.answered_at_us, text)
        return True

    def _check_age(self, answered: AnsweredRequest, decided_us: dict[int, int]) -> None:
        request, proposal = answered
        for version, since_us in decided_us.items():
            latest_us = since_us + self.bound_us + self.slack_us
            if version > proposal.version and request.arrived_at_us > latest_us:
                age_s = (request.arrived_at_us - since_us) / 1e6
                late = f"sent {age_s:.2f} s after version {version} was decided"
                self.record_breach(OLD, request.answered_at_us, f"{answered.describe()}, {late}")
                return

    def verdict(self, verdict: dict[str, Any]) -> dict[str, Any]:
        """Return the content of the verdict line extended by the counts of these rules."""
        broken = verdict["verdict"] == "broken" or any(self.breach_counts.values())
        proposals = [proposal for number, proposal in sorted(self.proposals.items()) if number]
        outcomes = [proposal.outcome for proposal in proposals]
        decision_us = sorted(
            proposal.ended_us - proposal.began_us
            for proposal in proposals
            if proposal.outcome is ProposalOutcome.DECIDED
        )
        return verdict | {
            "verdict": "broken" if broken else "kept",
            **self.breach_counts,
            "mixed": self.outdated_answers,
            "decided": outcomes.count(ProposalOutcome.DECIDED),
            "nowhere": outcomes.count(ProposalOutcome.DROPPED),
            "decided_ms": [round(duration_us / 1e3) for duration_us in decision_us],
            "taken_ms": [round(duration_us / 1e3) for duration_us in sorted(self.rollout_us)],
        }
