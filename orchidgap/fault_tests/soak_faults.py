"""What a soak does by chance: signals in series, stops, silent lists, releases of hosts, crowds.

One call of `SoakFaults.draw` is one fault; each ends by itself. What a balancer that was told to
end has taken and not answered counts as lost, whether it ends by itself or is killed.
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
# after the end of a process, for what it had written to be read
LAST_ANSWERS_US = 400_000
MAX_RESTART_DELAY_US = 500_000
SECOND_SIGNAL_US = (20_000, 400_000)
RELOAD_AFTER_START_US = (250_000, 600_000)
TERM_AFTER_START_US = (250_000, 600_000)
STOP_US = (50_000, 800_000)
CROWD_SIZE = 80
CROWD_US = 3_000_000
CROWD_SEED_PERIOD = 4  # one run of so many has crowds
# clients that connect while a balancer ends: more than it has room for, also past its last accept
SHUTDOWN_DIALS = DialLimits(slots=160, max_dials=800, duration_us=600_000)


class SoakFaults:
    """Draws faults for a cluster: a seed has one order of them, the balancers are drawn anew."""

    def __init__(self, cluster: Cluster, dial_streams: DialStreams) -> None:
        """Act on this cluster; the streams draw from a generator of their own."""
        self.cluster = cluster
        self.dial_streams = dial_streams
        self.rng = cluster.rng
        # of its own: what else draws from the cluster's does so at times that no run repeats
        self.kind_rng = Random(cluster.seed)
        self.loop = cluster.loop
        self.crowd: list[socket.socket] = []
        self.kinds: list[Callable[[str], None]] = [
            self.retire,
            self.retire,
            self.reload_while_starting,
            self.terminate_before_first_list,
            self.kill_after_accept,
            self.stop,
            self.stop,
            self.silence_discovery,
            self.release_hosts,
        ]
        if cluster.seed % CROWD_SEED_PERIOD == 1:
            self.kinds += [self.send_crowd, self.send_crowd]

    def draw(self) -> None:
        """Do the next fault of this seed to a balancer that serves, if there is one."""
        fault = self.kind_rng.choice(self.kinds)
        serving = [
            name
            for name, instance in self.cluster.balancers.items()
            if instance.alive and instance.ready_at and not instance.is_shutting_down
        ]
        if len(serving) > 1:  # clients have somewhere to go
            fault(self.rng.choice(serving))

    def note(self, text: str) -> None:
        """Record what is done."""
        self.cluster.invariant_checker.record_event(self.loop.now, text)

    def send_signal_later(self, name: str, number: int, delay_us: int) -> None:
        """Send a signal to the process that runs now, unless it has ended by then."""
        process = self.cluster.process_of(name)
        self.loop.call_later(delay_us, self.send_signal, process, name, number)

    def send_signal(self, process: subprocess.Popen[bytes], name: str, number: int) -> None:
        """Send a signal to a balancer's process, unless it has ended."""
        if process.poll() is None:
            self.note(f"{signal.Signals(number).name} {name}")
            process.send_signal(number)

    # --- an end that is asked for

    def retire(self, name: str) -> None:
        """SIGTERM amid new connections, perhaps more signals; SIGKILL at the earliest time."""
        instance = self.cluster.balancers[name]
        self.dial_streams.begin(name, SHUTDOWN_DIALS)
        self.send_signal(self.cluster.process_of(name), name, signal.SIGTERM)
        instance.begin_shutdown()
        for number in (signal.SIGTERM, signal.SIGHUP):
            if self.rng.random() < 0.5:
                self.send_signal_later(name, number, self.rng.randrange(*SECOND_SIGNAL_US))
        self.await_end(name)

    def await_end(self, name: str) -> None:
        """See the process end, kill it when it may be, and start another one."""
        instance = self.cluster.balancers[name]
        process = self.cluster.process_of(name)
        if process.poll() is not None:
            instance.ends[instance.incarnation] = ProcessEnd.EXITED
            self.loop.call_later(LAST_ANSWERS_US, self.on_ended, name)
        elif self.loop.now >= instance.kill_time_us():
            self.note(f"SIGKILL {name}, {KILL_MARGIN_US // 1000} ms after the longest timeout")
            instance.ends[instance.incarnation] = instance.end_by_kill()
            process.kill()
            self.loop.call_later(LAST_ANSWERS_US, self.on_ended, name)
        else:
            self.loop.call_later(EXIT_POLL_US, self.await_end, name)

    def on_ended(self, name: str) -> None:
        """Judge what it left unanswered, and start it anew."""
        instance = self.cluster.balancers[name]
        if not instance.alive:
            return
        for attempt in self.unanswered(name):
            self.cluster.report_unanswered(attempt, self.loop.now)
        instance.mark_ended(instance.process_end(instance.incarnation))
        self.restart_later(name)

    def unanswered(self, name: str) -> list[ClientAttempt]:
        """Return the requests that its process had taken and never answered."""
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
        """Start the balancer again, unless that was done meanwhile."""
        delay_us = self.rng.randrange(MAX_RESTART_DELAY_US)
        self.loop.call_later(delay_us, restart_balancer, self.cluster, name)

    # --- ends that are not asked for, and starts

    def kill_after_accept(self, name: str) -> None:
        """Connect, and kill it as soon as the connection is up."""
        self.note(f"kill {name} as a connection comes up")
        with suppress(OSError):
            connection = socket.create_connection(self.cluster.address_of(name), timeout=0.2)
            self.kill(name)
            connection.close()

    def kill(self, name: str) -> None:
        """Kill it, and start it again."""
        self.cluster.balancers[name].kill()
        self.restart_later(name)

    def reload_while_starting(self, name: str) -> None:
        """Kill it, start it at once, and have it read its configuration again as it starts."""
        self.note(f"kill {name}, SIGHUP as it starts")
        self.cluster.balancers[name].kill()
        restart_balancer(self.cluster, name)
        self.send_signal_later(name, signal.SIGHUP, self.rng.randrange(*RELOAD_AFTER_START_US))

    def terminate_before_first_list(self, name: str) -> None:
        """Start it while discovery is silent, and tell it to end before it has a list."""
        self.note(f"kill {name}, SIGTERM before its first list")
        self.set_off("discovery-gone", 1.0, name)
        self.cluster.balancers[name].kill()
        restart_balancer(self.cluster, name)

        def retire() -> None:
            instance = self.cluster.balancers[name]
            if instance.alive and not instance.is_shutting_down:
                self.retire(name)

        self.loop.call_later(self.rng.randrange(*TERM_AFTER_START_US), retire)

    def stop(self, name: str) -> None:
        """Stop it for a moment."""
        duration_us = self.rng.randrange(*STOP_US)
        self.note(f"stop {name} for {duration_us // 1000} ms")
        instance = self.cluster.balancers[name]
        instance.pause(self.loop.now + duration_us)
        incarnation = instance.incarnation

        def resume() -> None:
            if instance.alive and instance.incarnation == incarnation:
                self.cluster.resume(name)

        self.loop.call_later(duration_us, resume)

    # --- what is around it

    def silence_discovery(self, name: str) -> None:
        """Discovery is gone, late or crowded, for one balancer or for all."""
        kind = self.rng.choice(("discovery-gone", "discovery-late", "discovery-crowded"))
        target = self.rng.choice((name, ""))
        self.set_off(kind, self.rng.uniform(0.5, 3.0), target)

    def release_hosts(self, name: str) -> None:
        """A part of the cache hosts are replaced, one after another."""
        self.set_off("deploy", self.rng.uniform(1.0, 4.0), "", self.rng.uniform(0.2, 0.6))

    def set_off(self, kind: str, duration_s: float, target: str, ratio: float = 0.0) -> None:
        """Start a fault that simulations have."""
        start_fault(self.cluster, Fault(kind, 0.0, duration_s, ratio, target))

    def send_crowd(self, name: str) -> None:
        """Idle clients take the descriptors that a balancer has for clients."""
        self.note(f"{CROWD_SIZE} idle clients at {name}")
        for _ in range(CROWD_SIZE):
            connection = self.cluster.network.dial(self.cluster.address_of(name))
            if not isinstance(connection, AttemptFailure):
                self.crowd.append(connection)
        self.loop.call_later(CROWD_US, self.send_crowd_away)

    def send_crowd_away(self) -> None:
        """All idle clients close."""
        for connection in self.crowd:
            connection.close()
        self.crowd.clear()
