"""Runs a fault test: performs the steps in order, ends all faults, then checks the result."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any

from orchidgap.fault_tests.actions import StepActions
from orchidgap.fault_tests.cluster import PROCESS_POLL_INTERVAL_US, Cluster
from orchidgap.fault_tests.conditions import StepConditions
from orchidgap.fault_tests.costs import CostMeter
from orchidgap.fault_tests.decision_watch import DecisionWatch
from orchidgap.fault_tests.final_checks import EXTRA_WAIT_S, FinalChecks
from orchidgap.fault_tests.plan import Step
from orchidgap.fault_tests.readiness_report import check_readiness
from orchidgap.fault_tests.request_ledger import RequestLedger
from orchidgap.fault_tests.rollout_checker import STUCK
from orchidgap.simulation.plan import seconds_to_us

START_TIMEOUT_S = 30.0
TERMINATION_TIMEOUT_S = 6
MAX_DURATION_S = 3_600
NO_PHASE = ""
# steps whose commands are prestarted: the one whose condition is awaited, and the next one
PREPARED_STEPS = 2


class FaultTestRunner:
    """Runs the plan of a cluster."""

    def __init__(self, cluster: Cluster) -> None:
        """Prepare a single run of this cluster."""
        self.cluster = cluster
        self.conditions = StepConditions(cluster)
        self.actions = StepActions(cluster)
        self.ledger = RequestLedger(cluster)
        self.costs = CostMeter(cluster)
        self.decision_watch = DecisionWatch(cluster)
        self.final_checks = FinalChecks(cluster, self.conditions)

    def run(self, before_close: Callable[[], None]) -> dict[str, Any]:
        """Run the test; return the content of the verdict line.

        `before_close` is called before the processes' files are removed, also after an error.
        """
        try:
            self._start()
            self._run_steps()
            self._heal()
            self.final_checks.run()
            return self._verdict()
        finally:
            self.actions.close()
            before_close()
            self.cluster.close()

    def _start(self) -> None:
        cluster = self.cluster
        began_s = time.monotonic()
        cluster.start_processes()
        cluster.wait_until(self._all_ready, START_TIMEOUT_S, "all balancers ready")
        self.costs.on_started(time.monotonic() - began_s)
        cluster.start = cluster.loop.clock()
        cluster.invariant_checker.started_at_us = cluster.start
        cluster.loop.call_later(PROCESS_POLL_INTERVAL_US, self.costs.sample)
        cluster.clients.arrivals_end_us = cluster.start + seconds_to_us(MAX_DURATION_S)
        cluster.loop.call_soon(cluster.clients.on_arrival)
        cluster.loop.call_soon(self.decision_watch.poll)

    def _all_ready(self) -> bool:
        return all(instance.ready_at for instance in self.cluster.balancers.values())

    def _run_steps(self) -> None:
        """Run the steps; stop at the first whose condition is not met in time."""
        for index, step in enumerate(self.cluster.test.steps):
            for _ in range(step.repeat_count):
                if not self._run_step(index, step):
                    return

    def _run_step(self, index: int, step: Step) -> bool:
        cluster = self.cluster
        self._prepare_steps(index)
        since_us = cluster.loop.now
        what = f"step {index}, {step.condition.text}"
        if not cluster.wait_until(
            lambda: self.conditions.is_met(step.condition, since_us), step.timeout_s, what
        ):
            return False
        cluster.logs.mark()
        for action in step.actions:
            self.actions.perform(action)
        return True

    def _prepare_steps(self, index: int) -> None:
        """Prepare the actions of a step and of the next one, before the step's wait begins."""
        steps = self.cluster.test.steps[index : index + PREPARED_STEPS]
        self.actions.prepare(action for step in steps for action in step.actions)

    def _heal(self) -> None:
        cluster = self.cluster
        cluster.phase_recorder.begin_phase(NO_PHASE)
        cluster.end_faults()
        leaving = [instance for instance in cluster.balancers.values() if instance.is_shutting_down]
        cluster.wait_until(
            lambda: not any(instance.alive for instance in leaving),
            TERMINATION_TIMEOUT_S,
            "all balancers that were shut down have ended",
        )
        cluster.end_faults()  # restarts the balancers that have ended
        wait_s = cluster.proposer_wait_s() + EXTRA_WAIT_S
        cluster.wait_until(lambda: not cluster.proposers.running, wait_s, "no proposal open")

    def _verdict(self) -> dict[str, Any]:
        cluster = self.cluster
        cluster.checker.check()
        cluster.report_all_unanswered()
        accounts = self.actions.dial_streams.report() | self.ledger.report()
        for text in cluster.majority_watch.withheld(
            cluster.invariant_checker.client_attempts.values()
        ):
            cluster.checker.record_breach(STUCK, cluster.loop.now, text)
        readiness = check_readiness(cluster)
        for text in readiness.breaches:
            cluster.checker.record_breach(STUCK, cluster.loop.now, text)
        stretches = cluster.phase_recorder.finish(cluster.checker.record_breach)
        verdict = cluster.checker.verdict(cluster.build_verdict()) | self.costs.report()
        if cluster.controls:
            without_us = cluster.majority_watch.without_majority_us
            verdict["without_majority_s"] = round(without_us / 1e6, 1)
        verdict |= {"restarts": readiness.restarts, "restarts_late": readiness.late}
        verdict |= accounts
        return verdict | {"stretches": stretches} if stretches else verdict
