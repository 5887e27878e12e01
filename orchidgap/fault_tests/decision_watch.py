"""Polls control for the last time at which a version was certainly not decided."""

from __future__ import annotations

from orchidgap.control.messages import STATUS, EmptyMessage, StatusAnswer
from orchidgap.control.rpc_client import RpcClient
from orchidgap.decisions.cas_register import quorum_size
from orchidgap.fault_tests.cluster import Cluster
from orchidgap.fault_tests.plan import ProposalOutcome
from orchidgap.fault_tests.rollout_checker import ProposalRecord

POLL_INTERVAL_US = 50_000
CALL_TIMEOUT_US = 300_000


def has_accepted(status: StatusAnswer, change_id: str) -> bool:
    """Return whether a control process has accepted the change as a decided version."""
    if status.change_id == change_id:
        return True
    return any(record.change_id == change_id and record.version for record in status.history)


class DecisionWatch:
    """Polls all control processes while proposals are open."""

    def __init__(self, cluster: Cluster) -> None:
        """Watch this cluster's control processes."""
        self.cluster = cluster
        self.clients = [
            RpcClient(cluster.loop, control.address, CALL_TIMEOUT_US)
            for control in cluster.controls
        ]

    def poll(self) -> None:
        """Request the status of all control processes, now and periodically."""
        loop = self.cluster.loop
        loop.call_later(POLL_INTERVAL_US, self.poll)
        called_us = loop.clock()
        answers: list[StatusAnswer] = []
        open_proposals = [
            proposal
            for proposal in self.cluster.checker.proposals.values()
            if proposal.number and proposal.outcome is ProposalOutcome.OPEN
        ]

        def on_answer(status: StatusAnswer | None) -> None:
            if status and not status.lost_register:
                answers.append(status)
            if len(answers) == quorum_size(len(self.clients)):
                self._on_quorum(open_proposals, answers, called_us)

        if open_proposals:
            for client in self.clients:
                client.call(STATUS, EmptyMessage(), on_answer)

    @staticmethod
    def _on_quorum(
        proposals: list[ProposalRecord], answers: list[StatusAnswer], called_us: int
    ) -> None:
        for proposal in proposals:
            if not any(has_accepted(status, f"v{proposal.number}") for status in answers):
                proposal.undecided_until_us = max(proposal.undecided_until_us, called_us)
