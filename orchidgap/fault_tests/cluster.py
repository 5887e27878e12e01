"""The processes of one fault test with the relays between them and the simulated environment."""

from __future__ import annotations

import json
import os
import resource
import signal
import subprocess
import time
from collections import deque
from collections.abc import Callable
from functools import cached_property
from pathlib import Path
from typing import Any

from orchidgap.control.messages.base import AnswerT, RequestT, RpcMethod
from orchidgap.control.rpc_client import RpcClient
from orchidgap.fault_tests import disk_faults
from orchidgap.fault_tests.balancer_process import ClusterBalancer
from orchidgap.fault_tests.child_processes import PortOffset, ProcessLauncher, memory_folder
from orchidgap.fault_tests.control_process import ControlProcess
from orchidgap.fault_tests.control_quorum import ControlQuorum
from orchidgap.fault_tests.links import OPERATOR, Link, Links, Topology
from orchidgap.fault_tests.majority_watch import STOPPED_STATE, MajorityWatch, process_state
from orchidgap.fault_tests.plan import COMMON_CLASS, FaultTest, ProposalOutcome, class_of_version
from orchidgap.fault_tests.process_logs import ProcessLogs
from orchidgap.fault_tests.proposal_callers import ProposalCallers
from orchidgap.fault_tests.rollout_checker import STUCK, RolloutChecker
from orchidgap.fault_tests.scheduling_watch import TEST_PROCESS, SchedulingWatch
from orchidgap.fault_tests.version_clients import VersionClients
from orchidgap.net.addresses import Address, format_address
from orchidgap.net.loop import LateTurn
from orchidgap.simulation.balancer_instance import BalancerInstance, Pause
from orchidgap.simulation.clients import Clients
from orchidgap.simulation.environment import PolicyFactory
from orchidgap.simulation.loopback_network import LoopbackNetwork
from orchidgap.simulation.observations import ClientAttempt
from orchidgap.simulation.plan import RequestClassSpec, milliseconds_to_us
from orchidgap.simulation.request_end import ProcessEnd
from orchidgap.simulation.simulation import Balancer, Simulation

PROCESS_POLL_INTERVAL_US = 50_000
LOOP_TURN_US = 10_000
# on a busy machine a request may arrive, and an answer be observed, this much later
SLACK_US = 250_000
CALL_TIMEOUT_US = 500_000
CALL_ROUNDS = 10
CALL_PAUSE_US = 200_000
LONG_PAUSE_US = 2_000_000  # ending all faults resumes balancers that stay paused for longer
# number of the latest proposals, and of the latest decisions, that may be in effect
RECENT_COUNT = 2
# how long a balancer may deny after it reaches control: some leases and one change may pass
GRACE_LEASES = 3
GRACE_EXTRA_MS = 1_000
# how long a proposer waits, as a multiple of the time after which control gives up
PROPOSER_WAIT_RATIO = 1.2


class Cluster(Simulation):
    """The processes under test and their environment: clients, hosts, discovery and relays.

    Attributes:
        test: The plan.
        controls: The control processes.
        control_quorum: Tells which balancers reach a majority of control now.
        majority_watch: Records which balancers reached a majority of the control processes, and
            when.
        links: The relays between processes.
        logs: The events that the processes have logged.
        checker: The outcomes of proposals and the check of rollouts.
        proposers: The running commands that propose changes to control.
        last_proposal: The highest number of a proposal so far.
        configured_version: The version whose settings are being written; 0 at all other times.
    """

    def __init__(
        self,
        test: FaultTest,
        seed: int | None = None,
        defect: str = "",
        disk: str = "",
        policy: str = "orchidgap",
    ) -> None:
        """Create the cluster without starting its processes; `start_processes` starts them."""
        _, max_files = resource.getrlimit(resource.RLIMIT_NOFILE)
        resource.setrlimit(resource.RLIMIT_NOFILE, (max_files, max_files))
        self.test = test
        self.defect = defect
        self.proposal_count = test.proposal_count()
        self.port_lock = PortOffset()
        self.port_offset = self.port_lock.value
        self.configured_version = 0
        self.last_proposal = 0
        super().__init__(test.plan, seed, real=True, policy=policy, disk=disk or memory_folder())
        # reports of unanswered requests, delayed until the end of a process is detected, oldest
        # first
        self.unreported: deque[Callable[[], None]] = deque()
        self.scheduling = SchedulingWatch()
        self.invariant_checker.lateness.run_delay_us = self.run_delay_us
        self.report_unanswered = self.invariant_checker.on_connection_lost
        setattr(self.invariant_checker, "on_connection_lost", self._delay_unanswered_report)  # noqa: B010
        self.links = Links(self.loop, self.rng, self.port_offset, self._topology())
        self.controls = [
            ControlProcess(self.launcher, self.links, test.control, number)
            for number in range(test.control.count)
        ]
        self.control_quorum = ControlQuorum(self.controls, self.links, self.directory, self._runs)
        control = test.control
        grace_ms = GRACE_LEASES * control.lease_ms + control.give_up_ms + GRACE_EXTRA_MS
        self.majority_watch = MajorityWatch(milliseconds_to_us(grace_ms))
        self.checker = RolloutChecker(
            self.invariant_checker, milliseconds_to_us(test.control.lease_ms), SLACK_US
        )
        self.proposers = ProposalCallers(self.checker, self.proposer_wait_s())
        self.control_clients = [
            RpcClient(self.loop, control.address, CALL_TIMEOUT_US) for control in self.controls
        ]
        self.logs = ProcessLogs(self.launcher.log_path)
        self._add_relays()
        self.loop.on_late_turn = self._on_late_turn

    @cached_property
    def directory(self) -> Path:
        """The folder with the files of all processes."""
        assert self.folder
        return Path(self.folder.name)

    @cached_property
    def launcher(self) -> ProcessLauncher:
        """The launcher that starts the processes."""
        return ProcessLauncher(self.directory, self.test.failing_disks, self.defect)

    def proposer_wait_s(self) -> float:
        """Return how long a proposer waits for the outcome of its change, in seconds."""
        return self.test.control.give_up_ms / 1e3 * PROPOSER_WAIT_RATIO

    def _topology(self) -> Topology:
        return Topology(
            balancer_zones={name: instance.zone for name, instance in self.balancers.items()},
            host_zones={name: host.zone for name, host in self.servers.items()},
            zone_names=tuple(f"z{zone}" for zone in range(self.test.plan.cache.zones)),
        )

    def _add_relays(self) -> None:
        if self.test.relays_to_hosts:
            self._add_host_relays()
        if self.test.plan.gossip:
            for name, instance in self.balancers.items():
                self.links.add_datagram_relay(name, instance.number, instance.gossip_address)

    def _add_host_relays(self) -> None:
        host_ids = {host.address: host.id for host in self.servers.values()}
        for host_number, host in enumerate(self.servers.values()):
            for name, instance in self.balancers.items():
                self.links.add_host_relay(name, instance.number, host.id, host_number, host.address)

        def on_listener(address: Address, listens: bool) -> None:
            if address in host_ids:
                for name in self.balancers:
                    link = Link(name, host_ids[address])
                    self.links.relays[link].set_server_listens(listens)

        assert isinstance(self.network, LoopbackNetwork)
        self.network.on_listener_change = on_listener

    # --- overridden methods of the simulation

    def make_balancer(
        self, name: str, number: int, zone: int, policy_factory: PolicyFactory
    ) -> Balancer:
        """Create a balancer instance, whose process may be restarted."""
        return ClusterBalancer(self, name, number, zone, self.policy, self.launcher)

    def make_clients(self) -> Clients:
        """Create the clients; they request the classes of versions if the plan has proposals."""
        if not self.proposal_count:
            return Clients(self)
        return VersionClients(self, lambda: self.checker, self.recent_versions)

    def balancer_settings(
        self, balancer: BalancerInstance, known: dict[str, Any]
    ) -> dict[str, Any]:
        """Return a balancer's configuration, with relay addresses in place of other processes."""
        config = super().balancer_settings(balancer, known)
        config["known"] = self.endpoint_list_for(balancer.name, config["known"])
        if self.controls:
            addresses = [control.address_for(balancer.name) for control in self.controls]
            config["control"] = {
                "at": [format_address(address) for address in addresses],
                "dir": str(disk_faults.disk_folder(self.directory, balancer.name)),
                "alone": self.test.control.on_lost_quorum,
            }
        return config

    def endpoint_list_for(self, name: str, known: dict[str, Any]) -> dict[str, Any]:
        """Return the endpoint list for one balancer, with the addresses of its own relays."""
        if not self.test.relays_to_hosts:
            return known
        hosts = []
        for entry in known["hosts"]:
            relay = self.links.relays[Link(name, entry["host"])]
            hosts.append(entry | {"dial": format_address(relay.address)})
        return known | {"hosts": hosts}

    def gossip_settings(self, balancer: BalancerInstance) -> dict[str, Any]:
        """Return a balancer's gossip settings; its peers are reached through relays."""
        peers = [
            format_address(relay.address)
            for name, relay in self.links.datagram_relays.items()
            if name != balancer.name
        ]
        return super().gossip_settings(balancer) | {"peers": peers}

    def is_class_listed(self, work: RequestClassSpec) -> bool:
        """Return whether the settings that are being written include this request class."""
        if not self.proposal_count:
            return super().is_class_listed(work)
        return work.name in (COMMON_CLASS, class_of_version(self.configured_version))

    def recent_versions(self) -> list[int]:
        """Return the versions that may be in effect: the last proposed and the last decided."""
        proposals = self.checker.proposals
        decided = [
            number
            for number, proposal in proposals.items()
            if proposal.outcome is ProposalOutcome.DECIDED
        ]
        return sorted({*list(proposals)[-RECENT_COUNT:], *decided[-RECENT_COUNT:]})

    def _delay_unanswered_report(self, attempt: ClientAttempt, at_us: int) -> None:
        """Delay the report of an unanswered request: a kill of its process may be seen later."""

        def report_unless_killed() -> None:
            self.poll_processes()
            instance = self.balancers[attempt.balancer]
            was_killed = instance.process_end(attempt.incarnation) is ProcessEnd.KILLED
            if not attempt.abandoned and not was_killed:
                self.report_unanswered(attempt, at_us)

        self.unreported.append(report_unless_killed)
        self.loop.call_later(SLACK_US, self._report_oldest)

    def _report_oldest(self) -> None:
        if self.unreported:
            self.unreported.popleft()()

    def link_faulty_until_us(self, balancer: str, host: str) -> int:
        """Return until when the link's relay may have delayed the balancer's data, 0 for never."""
        return self.links.faulty_until_us(balancer, host)

    def build_verdict(self) -> dict[str, Any]:
        """Return the checker's verdict, including the delayed reports."""
        self.report_all_unanswered()
        return super().build_verdict()

    def report_all_unanswered(self) -> None:
        """Issue the delayed reports now, and report the requests that have no answer."""
        while self.unreported:
            self._report_oldest()
        self.report_unanswered_requests()

    def _on_late_turn(self, turn: LateTurn) -> None:
        """Record that this process was stalled, and with it hosts, clients and relays."""
        text = (
            f"the fault test itself was {turn.late_us // 1000} ms late "
            f"({turn.cpu_us // 1000} ms of CPU, its calls {turn.calls_us // 1000} ms, "
            f"runnable but not run {turn.run_delay_us // 1000} ms)"
        )
        self.invariant_checker.record_event(self.loop.now, text)

    # --- configurations

    def settings_of_version(self, number: int) -> dict[str, Any]:
        """Return the settings that the proposal of this number contains."""
        self.configured_version = number
        first = next(iter(self.balancers.values()))
        settings: dict[str, Any] = super().balancer_settings(first, {})["settings"]
        self.configured_version = 0
        return settings

    def reload(self, instance: Balancer, number: int) -> None:
        """Write a balancer's configuration file with the settings of a version and send SIGHUP."""
        self.configured_version = number
        text = json.dumps(
            self.balancer_settings(instance, self.latest_endpoint_list(instance.name))
        )
        self.configured_version = 0
        instance.reload(text.encode())

    # --- processes

    def control(self, name: str) -> ControlProcess:
        """Return a control process by its name."""
        return self.controls[int(name[1:])]

    def process_names(self) -> list[str]:
        """Return the names of all balancers and control processes."""
        return [*self.balancers, *(control.name for control in self.controls)]

    def process_of(self, name: str) -> subprocess.Popen[bytes]:
        """Return the most recent process that was started under a name."""
        owner = self.balancers[name] if name in self.balancers else self.control(name)
        assert isinstance(owner, ClusterBalancer | ControlProcess)
        assert owner.process
        return owner.process

    def start_processes(self) -> None:
        """Start all control processes and balancers."""
        for control in self.controls:
            control.address_for(OPERATOR)  # creates the relay, so that it can be cut before a call
            control.start(self.controls)
        _, entries = self.discovery.changes_since(None, 1)
        for instance in self.balancers.values():
            instance.start({"seq": 1, "whole": True, "hosts": entries})

    def end_faults(self) -> None:
        """Heal all links and disks, resume paused processes and restart ended ones."""
        self.links.heal()
        for name in self.balancers:
            self._repair_balancer(name)
        for control in self.controls:
            disk_faults.free(disk_faults.disk_folder(self.directory, control.name))
            control.resume(signal.SIGCONT)
            if control.has_ended():
                control.start(self.controls)
        for path in self.directory.glob("*.orders"):
            path.unlink()

    def _repair_balancer(self, name: str) -> None:
        disk_faults.free(disk_faults.disk_folder(self.directory, name))
        instance = self.balancers[name]
        assert isinstance(instance, ClusterBalancer)
        if (
            instance.alive
            and instance.pauses
            and instance.pauses[-1].end_us > self.loop.now + LONG_PAUSE_US
        ):
            self.resume(name)
        instance.mark_if_ended()
        if not instance.alive:
            instance.start(self.latest_endpoint_list(name))

    def resume(self, name: str) -> None:
        """Resume a paused process; for a balancer, extend the deadlines of its open requests."""
        self.process_of(name).send_signal(signal.SIGCONT)
        if name not in self.balancers:
            return
        instance = self.balancers[name]
        # not the time of the turn, which may have begun long before the signal
        resumed_us = self.loop.clock()
        stopped_us = instance.pauses.pop().start_us
        instance.pauses.append(Pause(stopped_us, resumed_us + 1_000_000))
        for attempt in self.invariant_checker.client_attempts.values():
            if attempt.balancer == name and not attempt.status:
                attempt.deadline_us = resumed_us + milliseconds_to_us(
                    attempt.operation.request_class.client_timeout_ms
                )
                attempt.last_attempt_ended_us = resumed_us

    def poll_processes(self) -> None:
        """Collect the processes and proposers that have ended, and sample what is watched."""
        self.proposers.collect(self.loop.now)
        self.scheduling.sample(self._process_ids(), self.loop.now)
        for instance in self.balancers.values():
            if isinstance(instance, ClusterBalancer) and not instance.is_shutting_down:
                instance.mark_if_ended()
        for control in self.controls:
            control.alive = control.alive and not control.has_ended()
        if self.controls:
            self.majority_watch.update(self._reaching_majority(), self.loop.now)

    def _process_ids(self) -> dict[str, int]:
        """Return the process ids of all processes, including this one, by name."""
        ids = {name: self.process_of(name).pid for name in self.process_names()}
        return ids | {TEST_PROCESS: os.getpid()}

    def run_delay_us(self, balancer: str, since_us: int, until_us: int) -> int:
        """Return how long within an interval a balancer was runnable but got no core."""
        return self.scheduling.delay_us(balancer, since_us, until_us)

    def _reaching_majority(self) -> list[str]:
        """Return the running balancers that reach a majority of control that can settle a value."""
        working = self.control_quorum.working(self.loop.now)
        return [
            name
            for name, instance in self.balancers.items()
            if instance.alive and self.control_quorum.is_reached(name, working) and self._runs(name)
        ]

    def _runs(self, name: str) -> bool:
        """Return whether a process exists and is not stopped."""
        process = self.process_of(name)
        return process.poll() is None and process_state(process.pid) != STOPPED_STATE

    def wait_until(self, is_met: Callable[[], bool], timeout_s: float, what: str) -> bool:
        """Run the loop until a condition is met; record a breach and return False on timeout."""
        end_s = time.monotonic() + timeout_s
        next_poll_us = 0
        while True:
            self.loop.run_once(LOOP_TURN_US)
            if self.loop.now >= next_poll_us:
                next_poll_us = self.loop.now + PROCESS_POLL_INTERVAL_US
                self.poll_processes()
                if is_met():
                    return True
            if time.monotonic() > end_s:
                text = f"condition not met within {timeout_s:g} s: {what}"
                self.checker.record_breach(STUCK, self.loop.now, text)
                return False

    def call_control(
        self, method: RpcMethod[RequestT, AnswerT], request: RequestT
    ) -> AnswerT | None:
        """Call the control processes in turn; return the first answer, or None if none answers."""
        for _ in range(CALL_ROUNDS):
            for client in self.control_clients:
                answer = client.call_and_wait(method, request)
                if answer is not None:
                    return answer
            end_us = self.loop.clock() + CALL_PAUSE_US
            while self.loop.clock() < end_us:
                self.loop.run_once(LOOP_TURN_US)
        return None

    def close(self) -> None:
        """Kill all processes and remove their files."""
        self.proposers.close()
        for control in self.controls:
            control.kill()
        for instance in self.balancers.values():
            if isinstance(instance, ClusterBalancer) and instance.process:
                instance.process.kill()
                instance.process.wait()
        self.links.close()
        super().close()
        self.port_lock.close()
