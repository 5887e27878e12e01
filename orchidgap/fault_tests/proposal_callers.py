"""Callers of `change propose`, each a process of its own."""

from __future__ import annotations

import subprocess
import sys
from dataclasses import dataclass
from pathlib import Path

import orjson

from orchidgap.fault_tests.child_processes import die_with_parent
from orchidgap.fault_tests.plan import ProposalOutcome
from orchidgap.fault_tests.rollout_checker import ProposalRecord, RolloutChecker

OUTCOME_BY_EXIT_CODE = {
    0: ProposalOutcome.DECIDED,
    2: ProposalOutcome.DROPPED,
    3: ProposalOutcome.UNKNOWN,
}


@dataclass(frozen=True, slots=True, eq=False)
class ProposalCaller:
    """A running command, and the proposal that it makes."""

    proposal: ProposalRecord
    process: subprocess.Popen[bytes]


class ProposalCallers:
    """All commands that still run."""

    def __init__(self, checker: RolloutChecker, wait_s: float) -> None:
        """Tell outcomes to `checker`; each command waits no longer than `wait_s`."""
        self.checker = checker
        self.wait_s = wait_s
        self.running: list[ProposalCaller] = []

    def start(self, proposal: ProposalRecord, document: Path, addresses: str) -> None:
        """Propose a document to the control processes at these addresses."""
        command = [
            sys.executable,
            "-m",
            "orchidgap",
            "change",
            "propose",
            str(document),
            f"--at={addresses}",
            f"--id=v{proposal.number}",
            f"--wait={self.wait_s}",
            "--json",
        ]
        process = subprocess.Popen(
            command,
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
            preexec_fn=die_with_parent,
        )
        self.running.append(ProposalCaller(proposal, process))

    def collect(self, now_us: int) -> None:
        """Take in what the commands that have ended were told."""
        for caller in list(self.running):
            if caller.process.poll() is not None:
                self.running.remove(caller)
                self._on_ended(caller, now_us)

    def _on_ended(self, caller: ProposalCaller, now_us: int) -> None:
        process = caller.process
        assert process.stdout
        with process.stdout as output:
            lines = output.read().splitlines()
        answer = orjson.loads(lines[-1]) if lines else {}
        outcome = OUTCOME_BY_EXIT_CODE.get(process.returncode, ProposalOutcome.UNKNOWN)
        version = int(answer.get("n", 0)) if outcome is ProposalOutcome.DECIDED else 0
        reason = str(answer.get("why", ""))
        self.checker.on_outcome(caller.proposal, outcome, version, reason, now_us)

    def close(self) -> None:
        """Kill the commands that still run."""
        for caller in self.running:
            caller.process.kill()
            caller.process.wait()
            if caller.process.stdout:
                caller.process.stdout.close()
