"""Runs `change propose` commands, each in a process of its own."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

import orjson

from orchidgap.fault_tests.child_processes import PrestartedCommand
from orchidgap.fault_tests.plan import ProposalOutcome
from orchidgap.fault_tests.rollout_checker import ProposalRecord, RolloutChecker

OUTCOME_BY_EXIT_CODE = {
    0: ProposalOutcome.DECIDED,
    2: ProposalOutcome.DROPPED,
    3: ProposalOutcome.UNKNOWN,
}


@dataclass(frozen=True, slots=True, eq=False)
class ProposalCaller:
    """A running command and the proposal that it makes."""

    proposal: ProposalRecord
    command: PrestartedCommand


class ProposalCallers:
    """The running commands, and the prestarted ones that have no proposal yet."""

    def __init__(self, checker: RolloutChecker, wait_s: float) -> None:
        """Report outcomes to `checker`; each command waits at most `wait_s` for its outcome."""
        self.checker = checker
        self.wait_s = wait_s
        self.prestarted: list[PrestartedCommand] = []
        self.running: list[ProposalCaller] = []

    def prestart(self, count: int) -> None:
        """Ensure that this many prestarted commands wait for their arguments."""
        self.prestarted += [PrestartedCommand() for _ in range(count - len(self.prestarted))]

    def start(self, proposal: ProposalRecord, document: Path, addresses: str) -> None:
        """Propose a document to the control processes at these addresses."""
        arguments = [
            "change",
            "propose",
            str(document),
            f"--at={addresses}",
            f"--id=v{proposal.number}",
            f"--wait={self.wait_s}",
            "--json",
        ]
        command = self.prestarted.pop(0) if self.prestarted else PrestartedCommand()
        command.run(arguments)
        self.running.append(ProposalCaller(proposal, command))

    def collect(self, now_us: int) -> None:
        """Report the outcomes that the ended commands received."""
        for caller in list(self.running):
            if caller.command.has_ended():
                self.running.remove(caller)
                self._on_ended(caller, now_us)

    def _on_ended(self, caller: ProposalCaller, now_us: int) -> None:
        line = caller.command.last_line()
        caller.command.close()
        answer = orjson.loads(line) if line else {}
        exit_code = caller.command.process.returncode
        outcome = OUTCOME_BY_EXIT_CODE.get(exit_code, ProposalOutcome.UNKNOWN)
        version = int(answer.get("n", 0)) if outcome is ProposalOutcome.DECIDED else 0
        reason = str(answer.get("why", ""))
        self.checker.on_outcome(caller.proposal, outcome, version, reason, now_us)

    def close(self) -> None:
        """Kill the commands that are still running or were never used."""
        for command in (*self.prestarted, *(caller.command for caller in self.running)):
            command.close()
