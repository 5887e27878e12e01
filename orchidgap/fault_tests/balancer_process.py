"""A balancer of a fault test."""

from __future__ import annotations

import json
from typing import Any

from orchidgap.control.rpc_client import RpcClient
from orchidgap.fault_tests.child_processes import ProcessLauncher
from orchidgap.fault_tests.readiness_watch import ProcessStart
from orchidgap.simulation.balancer_process import BalancerProcess
from orchidgap.simulation.environment import Environment
from orchidgap.simulation.request_end import ProcessEnd

PROBE_TIMEOUT_US = 200_000
PROBE_INTERVAL_US = 50_000
PROBE_INTERVAL_PER_BALANCER_US = 2_000
PROBE_PATH = "/up"


class ClusterBalancer(BalancerProcess):
    """A balancer whose process is started by the fault test's launcher."""

    def __init__(
        self,
        environment: Environment,
        name: str,
        number: int,
        zone: int,
        policy: str,
        launcher: ProcessLauncher,
    ) -> None:
        """Prepare the balancer; `start` runs its process."""
        super().__init__(environment, name, number, zone, policy, str(launcher.folder))
        self.launcher = launcher
        self.starts: list[ProcessStart] = []

    def command(self) -> list[str]:
        """Return the arguments of the Python interpreter."""
        if self.policy != "orchidgap":
            return super().command()
        return self.launcher.command("serve")

    def start(self, known: dict[str, Any]) -> None:
        """Record the start, start the program and poll until it is ready."""
        now_us = self.environment.loop.now
        self.starts.append(ProcessStart(self.name, now_us, is_restart=bool(self.starts)))
        super().start(known)

    def spawn(self, known: dict[str, Any]) -> None:
        """Write the configuration and start the program."""
        path = self.folder / f"{self.name}.json"
        path.write_text(json.dumps(self.environment.balancer_settings(self, known)))
        self.process = self.launcher.start(self.name, [*self.command(), f"--config={path}"])

    def poll_readiness(self) -> None:
        """Probe repeatedly until the listener is open, which needs a lease."""
        if not self.alive or self.ready_at:
            return
        client = RpcClient(self.environment.loop, self.address, PROBE_TIMEOUT_US)

        def on_answer(is_up: bool) -> None:
            client.close()
            if is_up:
                self.ready_at = self.environment.loop.now
                self.starts[-1].ready_us = self.ready_at
                return
            fleet_part_us = PROBE_INTERVAL_PER_BALANCER_US * len(self.environment.balancers)
            self.environment.loop.call_later(PROBE_INTERVAL_US + fleet_part_us, self.poll_readiness)

        client.probe(PROBE_PATH, on_answer)

    def begin_shutdown(self) -> None:
        """Record that a shutdown of the program was requested."""
        super().begin_shutdown()
        self._note_end()

    def _note_end(self) -> None:
        start = self.starts[-1]
        start.ended_us = start.ended_us or self.environment.loop.now

    def mark_ended(self, end: ProcessEnd) -> None:
        """Record that the program has ended."""
        super().mark_ended(end)
        self._note_end()
        self.ready_at = 0
