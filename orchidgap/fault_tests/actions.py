"""The actions of a fault test's steps."""

from __future__ import annotations

import json
import signal
from collections.abc import Callable, Iterable
from random import Random

from orchidgap.fault_tests import disk_faults
from orchidgap.fault_tests.child_processes import PrestartedCommand
from orchidgap.fault_tests.cluster import Cluster
from orchidgap.fault_tests.datagram_relay import DatagramRelay
from orchidgap.fault_tests.dial_stream import DialLimits, DialStreams
from orchidgap.fault_tests.links import OPERATOR
from orchidgap.fault_tests.plan import (
    ALL_BALANCERS,
    BAD_POLICY,
    CLASS_PREFIX,
    WRITES_LATER,
    Action,
    ActionKind,
    ProposalOutcome,
    class_of_version,
    parse_action,
)
from orchidgap.fault_tests.random_faults import draw_fault
from orchidgap.fault_tests.rollout_checker import ProposalRecord
from orchidgap.fault_tests.soak_faults import SoakFaults
from orchidgap.net.addresses import format_address
from orchidgap.simulation.balancer_instance import Pause
from orchidgap.simulation.faults import start_fault
from orchidgap.simulation.plan import Fault, milliseconds_to_us, seconds_to_us

FOREVER_US = 1 << 62
FILE_VERSION = 999  # version of the settings in a balancer's file; no proposal has it
EVICTION_TIMEOUT_S = 20
NOISE_BURSTS = 100
NOISE_INTERVAL_US = 10_000
MAX_NOISE_BYTES = 1_400
EARLIEST_END_US = 200_000  # minimum duration of a random fault
LATEST_END_US = 2_000_000
END_PROBABILITY = 0.5  # probability that a random fault ends by itself


class StepActions:
    """Performs the actions of steps on a cluster."""

    def __init__(self, cluster: Cluster) -> None:
        """Act on this cluster."""
        self.cluster = cluster
        links = cluster.links
        self.dial_streams = DialStreams(cluster)
        self.soak_faults = SoakFaults(cluster, self.dial_streams)
        self.prestarted_evictions: list[PrestartedCommand] = []
        self.handlers: dict[ActionKind, Callable[..., None]] = {
            ActionKind.PROPOSE: self.propose,
            ActionKind.KILL: self.kill,
            ActionKind.TERMINATE: self.terminate,
            ActionKind.PAUSE: self.pause,
            ActionKind.RESUME: cluster.resume,
            ActionKind.START: self.start,
            ActionKind.WIPE_DISK: self.wipe_disk,
            ActionKind.TEAR_FILE: self.tear_file,
            ActionKind.FILL_DISK: self.fill_disk,
            ActionKind.FREE_DISK: self.free_disk,
            ActionKind.FAIL_DISK: self.fail_disk,
            ActionKind.CUT: links.cut,
            ActionKind.STALL: links.stall,
            ActionKind.SLOW: self.slow,
            ActionKind.HEAL: links.heal,
            ActionKind.EVICT: self.evict,
            ActionKind.RELOAD: self.reload,
            ActionKind.SET_HOST_HEALTH: cluster.discovery.set_health,
            ActionKind.ROLL_OUT_BY_SIGNAL: self.roll_out_by_signal,
            ActionKind.MEASURE: cluster.phase_recorder.begin_phase,
            ActionKind.SIMULATION_FAULT: self.simulation_fault,
            ActionKind.LOSE_DATAGRAMS: self.lose_datagrams,
            ActionKind.SEND_NOISE: self.send_noise,
            ActionKind.DIAL: self.dial,
        }

    def perform(self, action: Action) -> None:
        """Perform one action."""
        arguments = action.arguments
        if arguments and arguments[0].endswith("%"):
            for name in self._first_balancers(arguments[0]):
                words = " ".join((action.kind.value, name, *arguments[1:]))
                self.perform(parse_action(words, action.text))
        elif action.kind is ActionKind.RANDOM_FAULT:
            self.random_fault()
        elif action.kind is ActionKind.SOAK_FAULT:
            self.soak_faults.draw()
        elif action.kind is ActionKind.END_FAULTS:
            self.cluster.end_faults()
        elif action.kind is not ActionKind.NOTHING:
            self.cluster.invariant_checker.record_event(self.cluster.loop.now, action.text)
            self.handlers[action.kind](*arguments)

    def _first_balancers(self, percentage: str) -> list[str]:
        names = list(self.cluster.balancers)
        return names[: len(names) * int(percentage.rstrip("%")) // 100]

    def random_fault(self) -> None:
        """Cause a random fault, which may end by itself."""
        cluster = self.cluster
        self.perform(draw_fault(cluster))
        if cluster.rng.random() < END_PROBABILITY:
            duration_us = cluster.rng.randrange(EARLIEST_END_US, LATEST_END_US)
            cluster.loop.call_later(duration_us, cluster.end_faults)

    # --- changes

    def propose(self, policy: str, target: str = "") -> None:
        """Propose a good or bad policy, via one control process or all, or repeat a proposal."""
        cluster = self.cluster
        repeats = target.startswith(CLASS_PREFIX)
        number = int(target[1:]) if repeats else cluster.last_proposal + 1
        cluster.last_proposal = max(cluster.last_proposal, number)
        settings = cluster.settings_of_version(number)
        if policy == BAD_POLICY:
            settings["registry-mode"] = "poll"
        path = cluster.directory / f"{class_of_version(number)}.doc"
        path.write_text(json.dumps({"settings": settings}))
        proposals = cluster.checker.proposals
        if not repeats or proposals[number].outcome is ProposalOutcome.DROPPED:
            proposals[number] = ProposalRecord(number, cluster.loop.now)
        control_name = "" if repeats else target
        cluster.proposers.start(proposals[number], path, self._control_addresses(control_name))

    def _control_addresses(self, name: str = "") -> str:
        """Return the addresses of one control process, or of all, for the command line."""
        return ",".join(
            format_address(control.address_for(OPERATOR))
            for control in self.cluster.controls
            if name in ("", control.name)
        )

    def prepare(self, actions: Iterable[Action]) -> None:
        """Start the processes of operators' commands ahead of their steps.

        Under load an interpreter may take longer to start than control waits for a proposal.
        """
        kinds = [action.kind for action in actions]
        self.cluster.proposers.prestart(kinds.count(ActionKind.PROPOSE))
        needed = kinds.count(ActionKind.EVICT)
        self.prestarted_evictions += [
            PrestartedCommand() for _ in range(needed - len(self.prestarted_evictions))
        ]

    def evict(self, name: str) -> None:
        """Remove a balancer from the members that may serve without a quorum."""
        command = (
            self.prestarted_evictions.pop(0) if self.prestarted_evictions else PrestartedCommand()
        )
        command.run(["change", "strike", name, f"--at={self._control_addresses()}"])
        cluster = self.cluster
        try:
            cluster.wait_until(command.has_ended, EVICTION_TIMEOUT_S, "struck off")
        finally:
            command.close()
        exit_code = command.process.returncode
        cluster.invariant_checker.record_event(cluster.loop.now, f"{name} struck off: {exit_code}")

    def close(self) -> None:
        """End the prestarted commands whose step was not reached."""
        for command in self.prestarted_evictions:
            command.close()

    def reload(self, name: str) -> None:
        """Change the settings in a balancer's file; those from control take precedence."""
        self.cluster.reload(self.cluster.balancers[name], FILE_VERSION)

    def roll_out_by_signal(self) -> None:
        """Change the settings without control: write each balancer's file and send it SIGHUP."""
        cluster = self.cluster
        cluster.last_proposal += 1
        number = cluster.last_proposal
        proposal = ProposalRecord(number, cluster.loop.now)
        cluster.checker.proposals[number] = proposal
        for instance in cluster.balancers.values():
            if instance.alive:
                cluster.reload(instance, number)
                cluster.loop.run_once(0)  # lets clients continue in the meantime
        outcome = ProposalOutcome.DECIDED
        cluster.checker.on_outcome(proposal, outcome, number, "", cluster.loop.now)

    # --- processes

    def kill(self, name: str) -> None:
        """Kill a process and wait for its end."""
        if name in self.cluster.balancers:
            self.cluster.balancers[name].kill()
            return
        process = self.cluster.process_of(name)
        process.kill()
        process.wait()
        self.cluster.control(name).alive = False

    def terminate(self, name: str) -> None:
        """Send SIGTERM; for a control process, wait for its end."""
        if name in self.cluster.balancers:
            self.cluster.balancers[name].shut_down()
            return
        process = self.cluster.process_of(name)
        process.terminate()
        process.wait()
        self.cluster.control(name).alive = False

    def start(self, name: str) -> None:
        """Start a process again."""
        cluster = self.cluster
        if name not in cluster.balancers:
            cluster.control(name).start(cluster.controls)
            return
        instance = cluster.balancers[name]
        if instance.alive:
            instance.kill()
        instance.start(cluster.latest_endpoint_list(name))

    def pause(self, name: str) -> None:
        """Pause a process with SIGSTOP."""
        cluster = self.cluster
        cluster.process_of(name).send_signal(signal.SIGSTOP)
        if name in cluster.balancers:
            cluster.balancers[name].pauses.append(Pause(cluster.loop.now, FOREVER_US))

    # --- disks

    def wipe_disk(self, name: str) -> None:
        """Delete all files of a process."""
        disk_faults.wipe(disk_faults.disk_folder(self.cluster.directory, name))

    def tear_file(self, name: str, file: str) -> None:
        """Truncate a file of a process to half its length."""
        disk_faults.tear_file(disk_faults.disk_folder(self.cluster.directory, name) / file)

    def fill_disk(self, name: str) -> None:
        """Make the writes of a process fail for lack of disk space."""
        disk_faults.fill(disk_faults.disk_folder(self.cluster.directory, name))

    def free_disk(self, name: str) -> None:
        """Free disk space for a process again."""
        disk_faults.free(disk_faults.disk_folder(self.cluster.directory, name))

    def fail_disk(self, name: str, operation: str, number: str, failure: str) -> None:
        """Make the Nth disk operation of a process fail."""
        path = self.cluster.launcher.disk_faults_path(name)
        disk_faults.fail_operation(path, operation, number, failure)
        if failure == disk_faults.KILL and name in self.cluster.balancers:
            self.cluster.balancers[name].may_kill_itself = True

    # --- links

    def slow(self, one: str, other: str, delay_ms: str, loss_ratio: str = "0") -> None:
        """Delay all data between two ends and lose a fraction of the packets."""
        self.cluster.links.slow(one, other, milliseconds_to_us(float(delay_ms)), float(loss_ratio))

    def lose_datagrams(self, name: str, percentage: str) -> None:
        """Lose a fraction of the datagrams to and from a balancer, or of all balancers."""
        loss_ratio = float(percentage.rstrip("%")) / 100
        address = None if name == ALL_BALANCERS else self.cluster.balancers[name].gossip_address
        self.cluster.links.lose_datagrams(name, address, loss_ratio)

    def send_noise(self, name: str, count: str) -> None:
        """Send a balancer a number of unsigned random datagrams within a second."""
        noise = Random(self.cluster.seed)
        relay = self.cluster.links.datagram_relays[name]
        burst = int(count) // NOISE_BURSTS
        for index in range(NOISE_BURSTS):
            delay_us = index * NOISE_INTERVAL_US
            self.cluster.loop.call_later(delay_us, self._send_burst, relay, noise, burst)

    @staticmethod
    def _send_burst(relay: DatagramRelay, noise: Random, count: int) -> None:
        for _ in range(count):
            relay.deliver(noise.randbytes(noise.randrange(MAX_NOISE_BYTES)))

    # --- clients

    def dial(self, name: str, duration_s: str, slots: str, max_dials: str, when: str = "") -> None:
        """Dial a balancer continuously, within limits of time, slots and total connections."""
        duration_us = seconds_to_us(float(duration_s))
        limits = DialLimits(int(slots), int(max_dials), duration_us, when == WRITES_LATER)
        self.dial_streams.start_stream(name, limits)

    # --- faults of the simulation

    def simulation_fault(
        self, kind: str, duration_s: str, target: str = "", size: str = "0"
    ) -> None:
        """Start a simulation's fault; the target is a percentage of the hosts, or a name."""
        ratio = 0.0
        if target.endswith("%"):
            ratio = float(target.rstrip("%")) / 100
            target = ""
        start_fault(self.cluster, Fault(kind, 0.0, float(duration_s), ratio, target, float(size)))
