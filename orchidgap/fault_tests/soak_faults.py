"""The random faults of a soak test.

They are series of signals, pauses, discovery outages, replacements of hosts and idle clients. Each
call of `SoakFaults.draw` causes one fault, which ends by itself. Requests that a balancer received
before or during a shutdown and did not answer count as lost, whether it exits or is killed.
"""

from __future__ import annotations

import signal
import socket
import subprocess
from collections.abc import Callable
from contextlib import suppress
from random import Random

from orchidgap.fault_tests.cluster import Cluster
from orchidgap.fault_tests.dial_stream import DialLimits, DialStreams
from orchidgap.net.attempt_failure import AttemptFailure
from orchidgap.simulation.balancer_faults import restart_balancer
from orchidgap.simulation.balancer_instance import KILL_MARGIN_US
from orchidgap.simulation.faults import start_fault
from orchidgap.simulation.observations import ClientAttempt
from orchidgap.simulation.plan import Fault
from orchidgap.simulation.request_end import ProcessEnd

EXIT_POLL_US = 10_000
# time after the end of a process in which the clients read what it had written
LAST_ANSWERS_US = 400_000
MAX_RESTART_DELAY_US = 500_000
SECOND_SIGNAL_US = (20_000, 400_000)
RELOAD_AFTER_START_US = (250_000, 600_000)
TERM_AFTER_START_US = (250_000, 600_000)
STOP_US = (50_000, 800_000)
IDLE_CLIENT_COUNT = 80
IDLE_CLIENTS_US = 3_000_000
IDLE_CLIENTS_SEED_PERIOD = 4  # one of this many seeds has the fault of idle clients
# clients that connect during a shutdown: more than the balancer's limit, and beyond its last accept
SHUTDOWN_DIALS = DialLimits(slots=160, max_dials=800, duration_us=600_000)


class SoakFaults:
    """Draws faults for a cluster: the seed fixes their order, not the balancers they affect."""

    def __init__(self, cluster: Cluster, dial_streams: DialStreams) -> None:
        """Draw faults for this cluster."""
        self.cluster = cluster
        self.dial_streams = dial_streams
        self.rng = cluster.rng
        # a separate generator: other users draw from the cluster's at times that vary between runs
        self.kind_rng = Random(cluster.seed)
        self.loop = cluster.loop
        self.idle_clients: list[socket.socket] = []
        self.kinds: list[Callable[[str], None]] = [
            self.terminate,
            self.terminate,
            self.reload_while_starting,
            self.terminate_before_first_list,
            self.kill_after_accept,
            self.stop,
            self.stop,
            self.disturb_discovery,
            self.replace_hosts,
        ]
        if cluster.seed % IDLE_CLIENTS_SEED_PERIOD == 1:
            self.kinds += [self.connect_idle_clients, self.connect_idle_clients]

    def draw(self) -> None:
        """Apply the next fault of this seed to a serving balancer, unless only one serves."""
        fault = self.kind_rng.choice(self.kinds)
        serving = [
            name
            for name, instance in self.cluster.balancers.items()
            if instance.alive and instance.ready_at and not instance.is_shutting_down
        ]
        if len(serving) > 1:  # another balancer remains for the clients
            fault(self.rng.choice(serving))

    def record(self, text: str) -> None:
        """Record a fault as an event."""
        self.cluster.invariant_checker.record_event(self.loop.now, text)

    def send_signal_later(self, name: str, number: int, delay_us: int) -> None:
        """Send a signal after a delay to the current process, unless it has ended by then."""
        process = self.cluster.process_of(name)
        self.loop.call_later(delay_us, self.send_signal, process, name, number)

    def send_signal(self, process: subprocess.Popen[bytes], name: str, number: int) -> None:
        """Send a signal to a balancer's process, unless it has ended."""
        if process.poll() is None:
            self.record(f"{signal.Signals(number).name} {name}")
            process.send_signal(number)

    # --- shutdowns

    def terminate(self, name: str) -> None:
        """Send SIGTERM during new connections, perhaps more signals; SIGKILL once allowed."""
        instance = self.cluster.balancers[name]
        self.dial_streams.start_stream(name, SHUTDOWN_DIALS)
        self.send_signal(self.cluster.process_of(name), name, signal.SIGTERM)
        instance.begin_shutdown()
        for number in (signal.SIGTERM, signal.SIGHUP):
            if self.rng.random() < 0.5:
                self.send_signal_later(name, number, self.rng.randrange(*SECOND_SIGNAL_US))
        self.poll_end(name)

    def poll_end(self, name: str) -> None:
        """Poll until the process has ended; kill it once its time is over, and restart it."""
        instance = self.cluster.balancers[name]
        process = self.cluster.process_of(name)
        if process.poll() is not None:
            instance.ends[instance.incarnation] = ProcessEnd.EXITED
            self.loop.call_later(LAST_ANSWERS_US, self.on_ended, name)
        elif self.loop.now >= instance.kill_time_us():
            self.record(f"SIGKILL {name}, {KILL_MARGIN_US // 1000} ms after the longest timeout")
            instance.ends[instance.incarnation] = instance.end_by_kill()
            process.kill()
            self.loop.call_later(LAST_ANSWERS_US, self.on_ended, name)
        else:
            self.loop.call_later(EXIT_POLL_US, self.poll_end, name)

    def on_ended(self, name: str) -> None:
        """Report the requests that the process left unanswered, and restart the balancer."""
        instance = self.cluster.balancers[name]
        if not instance.alive:
            return
        for attempt in self.unanswered(name):
            self.cluster.report_unanswered(attempt, self.loop.now)
        instance.mark_ended(instance.process_end(instance.incarnation))
        self.restart_later(name)

    def unanswered(self, name: str) -> list[ClientAttempt]:
        """Return the requests that were written to the balancer's process and not answered."""
        instance = self.cluster.balancers[name]
        return [
            attempt
            for attempt in self.cluster.invariant_checker.client_attempts.values()
            if (attempt.balancer, attempt.incarnation) == (name, instance.incarnation)
            and attempt.arrived_at_us
            and not attempt.status
            and not attempt.abandoned
        ]

    def restart_later(self, name: str) -> None:
        """Restart the balancer after a delay, unless it runs again by then."""
        delay_us = self.rng.randrange(MAX_RESTART_DELAY_US)
        self.loop.call_later(delay_us, restart_balancer, self.cluster, name)

    # --- crashes, restarts and pauses

    def kill_after_accept(self, name: str) -> None:
        """Connect to a balancer and kill it as soon as the connection is established."""
        self.record(f"kill {name} as a connection comes up")
        with suppress(OSError):
            connection = socket.create_connection(self.cluster.address_of(name), timeout=0.2)
            self.kill(name)
            connection.close()

    def kill(self, name: str) -> None:
        """Kill a balancer and restart it after a delay."""
        self.cluster.balancers[name].kill()
        self.restart_later(name)

    def reload_while_starting(self, name: str) -> None:
        """Kill a balancer, restart it immediately, and send SIGHUP while it starts."""
        self.record(f"kill {name}, SIGHUP as it starts")
        self.cluster.balancers[name].kill()
        restart_balancer(self.cluster, name)
        self.send_signal_later(name, signal.SIGHUP, self.rng.randrange(*RELOAD_AFTER_START_US))

    def terminate_before_first_list(self, name: str) -> None:
        """Restart a balancer without discovery, and send SIGTERM before it has its first list."""
        self.record(f"kill {name}, SIGTERM before its first list")
        self.start_simulation_fault("discovery-gone", 1.0, name)
        self.cluster.balancers[name].kill()
        restart_balancer(self.cluster, name)

        def terminate_if_serving() -> None:
            instance = self.cluster.balancers[name]
            if instance.alive and not instance.is_shutting_down:
                self.terminate(name)

        self.loop.call_later(self.rng.randrange(*TERM_AFTER_START_US), terminate_if_serving)

    def stop(self, name: str) -> None:
        """Pause a balancer for a short time."""
        duration_us = self.rng.randrange(*STOP_US)
        self.record(f"stop {name} for {duration_us // 1000} ms")
        instance = self.cluster.balancers[name]
        instance.pause(self.loop.now + duration_us)
        incarnation = instance.incarnation

        def resume() -> None:
            if instance.alive and instance.incarnation == incarnation:
                self.cluster.resume(name)

        self.loop.call_later(duration_us, resume)

    # --- faults of the environment

    def disturb_discovery(self, name: str) -> None:
        """Make discovery unavailable, late or crowded, for one balancer or for all."""
        kind = self.rng.choice(("discovery-gone", "discovery-late", "discovery-crowded"))
        target = self.rng.choice((name, ""))
        self.start_simulation_fault(kind, self.rng.uniform(0.5, 3.0), target)

    def replace_hosts(self, name: str) -> None:
        """Replace a fraction of the cache hosts, one after another."""
        self.start_simulation_fault(
            "deploy", self.rng.uniform(1.0, 4.0), "", self.rng.uniform(0.2, 0.6)
        )

    def start_simulation_fault(
        self, kind: str, duration_s: float, target: str, ratio: float = 0.0
    ) -> None:
        """Start a fault of the simulation."""
        start_fault(self.cluster, Fault(kind, 0.0, duration_s, ratio, target))

    def connect_idle_clients(self, name: str) -> None:
        """Connect idle clients, which use up the balancer's descriptors for clients."""
        self.record(f"{IDLE_CLIENT_COUNT} idle clients at {name}")
        for _ in range(IDLE_CLIENT_COUNT):
            connection = self.cluster.network.dial(self.cluster.address_of(name))
            if not isinstance(connection, AttemptFailure):
                self.idle_clients.append(connection)
        self.loop.call_later(IDLE_CLIENTS_US, self.close_idle_clients)

    def close_idle_clients(self) -> None:
        """Close all idle clients."""
        for connection in self.idle_clients:
            connection.close()
        self.idle_clients.clear()
