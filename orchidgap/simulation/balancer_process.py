"""A balancer under test that runs as an operating system process, on loopback."""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
from contextlib import suppress
from pathlib import Path
from typing import Any

from orchidgap.admin import protocol as admin_protocol
from orchidgap.admin.client import call as call_balancer
from orchidgap.net.connection_log import CONNECTION_LOG_VARIABLE, monotonic_us
from orchidgap.simulation.balancer_instance import ADMIN_PORT, BalancerInstance, Pause
from orchidgap.simulation.close_records import LoggedCloseRecords
from orchidgap.simulation.environment import Environment
from orchidgap.simulation.loopback_network import cpu_seconds_of
from orchidgap.simulation.request_end import ProcessEnd

LISTEN_BACKLOG = 512
READINESS_POLL_INTERVAL_US = 50_000
CONNECT_TIMEOUT_S = 0.05
ANSWER_TIMEOUT_S = 0.2
READINESS_REQUEST = b"GET /up HTTP/1.1\r\nConnection: close\r\n\r\n"
PASSED_SOCKET_VARIABLE = "GW_PASSED_SOCKET"  # set by the operators' platform


class BalancerProcess(BalancerInstance):
    """A process of the program; its configuration, log and temporary files are in `folder`."""

    def __init__(
        self,
        environment: Environment,
        name: str,
        number: int,
        zone: int,
        policy: str,
        folder: str,
    ) -> None:
        """Set the policy and the folder; nothing runs yet."""
        super().__init__(environment, name, number, zone)
        self.policy = policy
        self.folder = Path(folder)
        self.process: subprocess.Popen[bytes] | None = None
        self.predecessor: subprocess.Popen[bytes] | None = None
        # the listener, if the platform keeps it open across an upgrade
        self.passed_listener: socket.socket | None = None
        self.process_count = 0
        clock_offset_us = environment.loop.clock() - monotonic_us()
        self.close_records = LoggedCloseRecords(self.folder / f"{name}.log", clock_offset_us)
        self.cpu_seconds = 0.0
        self.peak_kb = 0

    def start(self, known: dict[str, Any]) -> None:
        """Start the program, and poll until it is ready."""
        has_upgrades = any(fault.kind == "upgrade" for fault in self.environment.plan.faults)
        if has_upgrades and self.passed_listener is None:
            self.passed_listener = socket.create_server(self.address, backlog=LISTEN_BACKLOG)
        self.spawn(known)
        self.incarnation += 1
        self.alive = True
        self.ready_at = 0
        self.is_shutting_down = False
        self.poll_readiness()

    def spawn(self, known: dict[str, Any]) -> None:
        """Write the configuration and start a process, each with another admin port."""
        self.process_count += 1
        self.admin_address = (self.admin_address[0], ADMIN_PORT + self.process_count)
        path = self.folder / f"{self.name}.json"
        path.write_text(json.dumps(self.environment.balancer_settings(self, known)))
        temporary_folder = self.folder / f"{self.name}.tmp"
        temporary_folder.mkdir(exist_ok=True)
        passed_descriptors: list[int] = []
        variables = {CONNECTION_LOG_VARIABLE: "1"}
        if self.passed_listener:
            passed_descriptors = [self.passed_listener.fileno()]
            variables[PASSED_SOCKET_VARIABLE] = str(passed_descriptors[0])
            variables["TMPDIR"] = str(temporary_folder)
        with open(self.folder / f"{self.name}.log", "ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, *self.command(), f"--config={path}"],
                stderr=log,
                stdout=log,
                pass_fds=passed_descriptors,
                env=os.environ | variables,
            )

    def command(self) -> list[str]:
        """Return the interpreter's arguments without the configuration file."""
        if self.policy != "orchidgap":
            return ["-m", "orchidgap.simulation.process", self.policy]
        return ["-m", "orchidgap", "serve"]

    def poll_readiness(self) -> None:
        """Poll until the process is ready, and record when it is."""
        if self.answers_readiness():
            self.ready_at = self.environment.loop.now
        elif self.alive:
            self.environment.loop.call_later(READINESS_POLL_INTERVAL_US, self.poll_readiness)

    def answers_readiness(self) -> bool:
        """Probe once; a refused or slow connection counts as not ready."""
        try:
            with socket.create_connection(self.address, timeout=CONNECT_TIMEOUT_S) as sock:
                sock.sendall(READINESS_REQUEST)
                sock.settimeout(ANSWER_TIMEOUT_S)
                return sock.recv(64).startswith(b"HTTP/1.1 200")
        except OSError:
            return False

    def measure(self) -> None:
        """Record the CPU time and peak memory so far, as the system counts them."""
        if not self.process:
            return
        with suppress(OSError, ValueError, IndexError):
            self.cpu_seconds = cpu_seconds_of(self.process.pid)
            for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
                if line.startswith("VmHWM"):
                    self.peak_kb = int(line.split()[1])

    def has_exited(self) -> bool:
        """Return whether the process has ended."""
        return self.process is not None and self.process.poll() is not None

    def kill(self) -> None:
        """Send SIGKILL to the processes, after their CPU time and memory are recorded."""
        if self.alive and self.process:
            self.measure()
            self.kill_predecessor()
            end = self.end_by_kill()
            self.process.kill()
            self.process.wait()
            self.mark_ended(end)

    def process_end(self, incarnation: int) -> ProcessEnd:
        """Return whether and how an incarnation has ended; the current process is polled."""
        if not self.alive or incarnation != self.incarnation or incarnation in self.ends:
            return super().process_end(incarnation)
        exit_code = self.process.poll() if self.process else None
        if exit_code is None:
            return ProcessEnd.RUNNING
        # SIGKILL sent by the run is recorded in `ends`: any other is unexpected unless planned
        is_planned = exit_code == -signal.SIGKILL and self.may_kill_itself
        return ProcessEnd.KILLED if is_planned else ProcessEnd.EXITED

    def mark_if_ended(self) -> None:
        """Record an end of the process that was not known yet; an unrequested end is a crash."""
        exit_code = self.process.poll() if self.process else None
        if not self.alive or exit_code is None:
            return
        end = self.process_end(self.incarnation)
        if end is ProcessEnd.EXITED and not self.is_shutting_down:
            now_us = self.environment.loop.now
            self.environment.invariant_checker.on_balancer_crashed(self.name, exit_code, now_us)
        self.mark_ended(end)

    def release(self) -> None:
        """End the processes and close the listener that was passed to them."""
        self.kill_predecessor()
        if self.passed_listener:
            self.passed_listener.close()
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    def shut_down(self) -> None:
        """Send SIGTERM."""
        if self.alive and self.process:
            self.process.send_signal(signal.SIGTERM)
            self.begin_shutdown()
            self.poll_exit()

    def pause(self, until_us: int) -> None:
        """Send SIGSTOP now and SIGCONT then."""
        if self.alive and self.process:
            self.pauses.append(Pause(self.environment.loop.now, until_us))
            self.process.send_signal(signal.SIGSTOP)
            self.environment.loop.call_at(until_us, self.process.send_signal, signal.SIGCONT)

    def reload(self, text: bytes) -> None:
        """Write the configuration file and send SIGHUP."""
        if self.alive and self.process:
            (self.folder / f"{self.name}.json").write_bytes(text)
            self.process.send_signal(signal.SIGHUP)

    def start_successor(self, known: dict[str, Any]) -> None:
        """Start a second process while the first still runs."""
        self.kill_predecessor()
        self.predecessor = self.process
        self.spawn(known)

    def successor_is_ready(self) -> bool:
        """Query the newest process at its admin address."""
        try:
            return call_balancer(self.admin_address, admin_protocol.HEALTH).succeeded
        except OSError:
            return False

    def shut_down_predecessor(self) -> None:
        """Send SIGTERM to the predecessor."""
        if self.predecessor:
            self.predecessor.send_signal(signal.SIGTERM)

    def kill_predecessor(self) -> None:
        """Send SIGKILL to the predecessor."""
        if self.predecessor:
            self.predecessor.kill()
            self.predecessor.wait()
            self.predecessor = None


def process_costs(processes: list[BalancerProcess], request_count: int) -> dict[str, float]:
    """Return the processes' verdict fields: CPU per request in us, peak memory in MiB."""
    for process in processes:
        process.measure()
    cpu_us = sum(process.cpu_seconds for process in processes) * 1e6
    peak_kb = max(process.peak_kb for process in processes)
    return {
        "cpu_us_a_req": round(cpu_us / max(1, request_count), 1),
        "peak_mb": round(peak_kb / 1024, 1),
    }
