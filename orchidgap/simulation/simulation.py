"""One simulation: the balancers under test and the simulated clients, hosts and discovery."""

from __future__ import annotations

import resource
import socket
import tempfile
import time
from collections import Counter
from collections.abc import Callable
from contextlib import suppress
from random import Random
from typing import Any

from orchidgap.net.addresses import Address, format_address
from orchidgap.net.loop import Loop
from orchidgap.simulation import balancer_settings
from orchidgap.simulation.balancer_instance import BalancerInstance, VirtualBalancer
from orchidgap.simulation.balancer_process import BalancerProcess, process_costs
from orchidgap.simulation.baselines import policy_class
from orchidgap.simulation.cache_contents import client_key_of, fill_caches, value_size_bytes
from orchidgap.simulation.clients import Clients
from orchidgap.simulation.discovery_server import DiscoveryAgent, DiscoveryServer
from orchidgap.simulation.environment import AttemptLimit, PolicyFactory
from orchidgap.simulation.garbage_collection import rare_collections
from orchidgap.simulation.ingress import Ingress
from orchidgap.simulation.invariant_checker import (
    LOST_AFTER_US,
    InvariantChecker,
    simulated_duration_us,
)
from orchidgap.simulation.load_evenness import PhaseRecorder
from orchidgap.simulation.loopback_network import LoopbackNetwork
from orchidgap.simulation.plan import Plan, RequestClassSpec, milliseconds_to_us, seconds_to_us
from orchidgap.simulation.rejection_checker import excessive_rejections, is_calm
from orchidgap.simulation.request_end import CloseRecord, ProcessEnd
from orchidgap.simulation.resp_cluster import Cluster, RespClients, SlotServer
from orchidgap.simulation.servers import SimulatedHost
from orchidgap.simulation.verdict import verdict_line
from orchidgap.simulation.virtual_network import VirtualNetwork

LOOPBACK_TOLERANCE_US = 50_000  # added to each time limit on real sockets
# provisional start of the load on real sockets, until all balancer processes are ready
LOOPBACK_LEAD_US = 1_500_000
# delay of the first request once all balancer processes are ready
LEAD_AFTER_STARTUP_US = 100_000
SAMPLE_INTERVAL_US = 500_000
TICK_INTERVAL_US = 1_000_000
LOOPBACK_MAX_WAIT_US = 100_000
STARTUP_POLL_US = 20_000
STARTUP_TIMEOUT_S = 15
MAX_MISSES_REMEMBERED = 50_000
HOST_PORT = 7071

Balancer = VirtualBalancer | BalancerProcess


class Simulation:
    """All parts of a simulation; `play` runs it to its end."""

    port_offset = 0

    def __init__(
        self,
        plan: Plan,
        seed: int | None = None,
        real: bool = False,
        policy: str = "orchidgap",
        policy_factory: PolicyFactory | None = None,
        disk: str | None = None,
    ) -> None:
        """Make all parts without starting any.

        Args:
            plan: the plan to play.
            seed: seed of all random draws; None for the plan's own seed.
            real: run balancer processes on loopback, instead of the virtual clock.
            policy: name of the balancing policy, one of `baselines.POLICY_NAMES`.
            policy_factory: makes the balancers' decision logic, in place of that policy.
            disk: the folder for the processes' files; None for the system's temporary one.
        """
        self.plan = plan
        self.policy = policy
        self.policy_factory = policy_factory or policy_class(policy, self)
        self.seed = plan.seed if seed is None else seed
        self.rng = Random(self.seed)
        self.network: VirtualNetwork | LoopbackNetwork
        self.network = LoopbackNetwork() if real else VirtualNetwork()
        self.loop: Loop = self.network.loop
        self.folder = tempfile.TemporaryDirectory(dir=disk) if real else None
        self.start = self.loop.now + (LOOPBACK_LEAD_US if real else 0)
        self.invariant_checker = InvariantChecker(
            plan, self.start, LOOPBACK_TOLERANCE_US if real else 0
        )
        self.invariant_checker.hosts_have_capacity = self.hosts_have_capacity
        self.deduplication_scope = most_common_scope(plan)
        self.servers: dict[str, SimulatedHost] = {}
        self.cluster = Cluster()
        self.deduplication_records: dict[str, dict[bytes, int]] = {}
        self.misses: dict[bytes, list[SimulatedHost]] = {}
        self.cold_misses: dict[bytes, None] = {}
        # the clients' number of each key, by the key's number in the decisions
        self.client_keys: dict[int | None, int] = {}
        self.zone_by_address: dict[Address, int] = {}
        self.discovery = DiscoveryServer(self)
        self.ingress = Ingress(self)
        attempts = plan.limits.max_attempts
        self.attempt_limit = AttemptLimit(attempts, 0, attempts)
        self.balancers: dict[str, Balancer] = {}
        for i in range(plan.balancer_count):
            name = f"b{i}"
            zone = i % plan.cache.zones
            self.balancers[name] = self.make_balancer(name, i, zone, self.policy_factory)
        self.balancer_by_gossip_address = {
            balancer.gossip_address: balancer for balancer in self.balancers.values()
        }
        self.add_hosts()
        self.clients = self.make_clients()
        self.phase_recorder = PhaseRecorder(self, plan.evenness_bounds)
        if isinstance(self.network, VirtualNetwork):
            self.network.round_trip = self.round_trip_us

    def make_balancer(
        self, name: str, number: int, zone: int, policy_factory: PolicyFactory
    ) -> Balancer:
        """Make a balancer that is not started yet."""
        if self.folder:
            return BalancerProcess(self, name, number, zone, self.policy, self.folder.name)
        return VirtualBalancer(self, name, number, zone, policy_factory)

    def make_clients(self) -> Clients:
        """Make clients of the plan's protocol."""
        return RespClients(self) if self.plan.protocol == "resp" else Clients(self)

    def add_hosts(self) -> None:
        """Make caches, origins and discovery agents, and fill the caches as the plan specifies."""
        plan = self.plan
        zones = plan.cache.zones
        # all ids have the same length: hosts are sorted by id to assign ranges and initial copies
        digits = max(2, len(str(plan.cache_count - 1)))
        for i in range(plan.cache_count):
            address = (f"127.2.0.{i + 1}", HOST_PORT + self.port_offset)
            self.add_host(f"c{i:0{digits}d}", address, False, i % zones)
        for i in range(plan.origin_count if plan.protocol == "http" else 0):
            address = (f"127.2.1.{i + 1}", HOST_PORT + self.port_offset)
            self.add_host(f"o{i}", address, True, i % zones)
        caches = [server for server in self.servers.values() if not server.is_origin]
        self.cluster.assign_evenly([server.id for server in caches])
        if plan.protocol == "http":
            fill_caches(plan, self.rng, self.policy_factory, caches)
        agents = self.discovery.agents
        for name, balancer in self.balancers.items():
            agents[name] = DiscoveryAgent(self.discovery, name, balancer.discovery_address)

    def add_host(self, host_id: str, address: Address, is_origin: bool, zone: int) -> SimulatedHost:
        """Start a simulated host with a random speed and list it in discovery."""
        model = self.plan.origin if is_origin else self.plan.cache
        speed = model.speed * (1.0 + model.speed_spread * self.rng.uniform(-1, 1))
        kind = SlotServer if self.plan.protocol == "resp" else SimulatedHost
        server = kind(self, host_id, address, model, is_origin, zone, speed)
        self.servers[host_id] = server
        self.zone_by_address[address] = zone
        self.discovery.add(host_id, address, "origin" if is_origin else "cache", zone, 1.0, 0)
        return server

    # --- the balancers' configuration

    def balancer_settings(
        self, balancer: BalancerInstance, known: dict[str, Any]
    ) -> dict[str, Any]:
        """Return a balancer's configuration; `known` is its initial endpoint list."""
        plan = self.plan
        document: dict[str, Any] = {}
        if plan.protocol == "resp":
            seeds = [format_address(server.address) for server in self.servers.values()]
            document["resp"] = balancer_settings.resp_document(plan, seeds)
            known = {"seq": 1, "whole": True, "hosts": []}
        if plan.gossip and self.policy == "orchidgap":
            document["pool"] = self.gossip_settings(balancer)
        document |= balancer_settings.process_document(
            plan, balancer, self.seed, known, self.ingress.is_active
        )
        listed_classes = [
            request_class
            for request_class in plan.request_classes()
            if self.is_class_listed(request_class)
        ]
        document["settings"] = balancer_settings.settings_document(
            plan, self.attempt_limit.current, listed_classes
        )
        return document

    def gossip_settings(self, balancer: BalancerInstance) -> dict[str, Any]:
        """Return a balancer's gossip settings, with the addresses of the other balancers."""
        others = [other for other in self.balancers.values() if other is not balancer]
        return balancer_settings.gossip_document(self.plan, balancer, others)

    def is_class_listed(self, request_class: RequestClassSpec) -> bool:
        """Return whether settings that are written now include the request class."""
        return balancer_settings.is_listed_at(request_class, (self.loop.now - self.start) / 1e6)

    def endpoint_list_for(self, name: str, known: dict[str, Any]) -> dict[str, Any]:
        """Return the list with the host addresses that this balancer connects to."""
        return known

    def latest_endpoint_list(self, name: str) -> dict[str, Any]:
        """Return the last endpoint list that a balancer received."""
        version, hosts = self.discovery.agents[name].latest
        hosts = hosts or self.discovery.changes_since(None, version)[1]
        return {"seq": version, "whole": True, "hosts": hosts}

    def max_attempts_at(self, arrived_at_us: int) -> int:
        """Return the limit of attempts for a request that arrived then.

        While new settings take effect it is the larger of the old and the new limit.
        """
        return self.attempt_limit.for_request(arrived_at_us)

    def send_datagram(self, address: Address, data: bytes) -> None:
        """Deliver a datagram from one balancer to another after the latency, or lose it."""
        if self.rng.random() >= self.plan.network.datagram_loss_ratio:
            self.loop.call_later(self.one_way_us(0, 0), self.deliver_datagram, address, data)

    def deliver_datagram(self, address: Address, data: bytes) -> None:
        """Pass a datagram to the balancer at that address, if it runs."""
        balancer = self.balancer_by_gossip_address[address]
        if isinstance(balancer, VirtualBalancer) and balancer.alive:
            if balancer.loop and balancer.gossip:
                balancer.loop.call_soon(balancer.gossip.receive, data)

    # --- queries of the parts

    def is_alive(self, balancer: str, incarnation: int = 0) -> bool:
        """Return whether this incarnation of a balancer runs; 0 means any incarnation."""
        instance = self.balancers[balancer]
        return instance.alive and incarnation in (0, instance.incarnation)

    def incarnation_of(self, balancer: str) -> int:
        """Return the balancer's current incarnation, or the last one if it does not run."""
        return self.balancers[balancer].incarnation

    def address_of(self, balancer: str) -> Address:
        """Return the address that clients connect to."""
        return self.balancers[balancer].address

    def zone_of(self, balancer: str) -> int:
        """Return the balancer's zone, 0 for an unknown name."""
        return self.balancers[balancer].zone if balancer in self.balancers else 0

    def accepting_balancers(self, failover_delay_us: int, now: int) -> list[str]:
        """Return the balancers that get connections, also dead ones within the failover delay."""
        return [
            name
            for name, instance in self.balancers.items()
            if (
                instance.ready_at > 0
                if instance.alive
                else now - instance.died_at < failover_delay_us
            )
        ]

    def process_end(self, balancer: str, incarnation: int) -> ProcessEnd:
        """Return whether and how an incarnation of a balancer has ended."""
        return self.balancers[balancer].process_end(incarnation)

    def close_record(
        self, balancer: str, connection: int, dialled_at_us: int
    ) -> CloseRecord | None:
        """Return the balancer's record of how it closed a client's connection, if there is one."""
        return self.balancers[balancer].close_records.find(connection, dialled_at_us)

    def last_pause_end_us(self, balancer: str) -> int:
        """Return when the balancer's last pause ends, 0 for none; it cannot answer until then."""
        return max((pause.end_us for pause in self.balancers[balancer].pauses), default=0)

    def link_faulty_until_us(self, balancer: str, host: str) -> int:
        """Return 0: a simulation has no relays between balancers and hosts."""
        return 0

    def one_way_us(self, zone: int, other: int) -> int:
        """Draw the latency of one message between two zones."""
        net = self.plan.network
        base_ms = net.same_zone_ms if zone == other else net.cross_zone_ms
        return milliseconds_to_us(base_ms * (1.0 + net.jitter * self.rng.uniform(-1, 1)))

    def client_one_way_us(self) -> int:
        """Draw the latency of one message between a client and a balancer."""
        return self.one_way_us(0, 0)

    def round_trip_us(self, balancer: str, address: Address) -> int:
        """Draw how long a balancer takes to open a connection to a host."""
        return 2 * self.one_way_us(self.zone_of(balancer), self.zone_by_address.get(address, 0))

    def hosts_have_capacity(self) -> bool:
        """Return whether both a cache and an origin that answer have a free core.

        The origin does not matter where there is none, as for RESP.
        """
        has_capacity = {False: False, True: False}
        for server in self.servers.values():
            answers = server.alive and not server.vanished and not server.draining
            if answers and len(server.running) < server.model.cores:
                has_capacity[server.is_origin] = True
        has_origins = any(server.is_origin for server in self.servers.values())
        return has_capacity[False] and (has_capacity[True] or not has_origins)

    def value_size_bytes(self, key: int) -> int:
        """Return the size of a key's value: most are small, one in sixteen is large."""
        return value_size_bytes(self.plan, key)

    def key_of(self, number: int | None) -> int:
        """Return the clients' number of the key that has this number in the decisions."""
        if number not in self.client_keys:
            self.client_keys[number] = client_key_of(number)
        return self.client_keys[number]

    def record_miss(self, request_id: bytes, host: SimulatedHost) -> None:
        """Record that a cache missed on the request's key; the oldest records are dropped."""
        self.misses.setdefault(request_id, []).append(host)
        if host.is_cold():
            self.cold_misses[request_id] = None
        if len(self.misses) > MAX_MISSES_REMEMBERED:
            del self.misses[next(iter(self.misses))]

    # --- the run

    def sample(self) -> None:
        """Record the series of the report: the hosts' load and the first balancer's ranges."""
        rows: dict[str, Any] = {
            "out": {
                host.id: len(host.running) + len(host.waiting) for host in self.servers.values()
            }
        }
        first = next(iter(self.balancers.values()))
        if isinstance(first, VirtualBalancer) and first.node and first.alive:
            placement = getattr(first.node.balancer, "placement", None)
            if placement is not None:
                rows["sizes"] = {host.id: host.range_size for host in placement.ring}
        self.invariant_checker.series.append((self.loop.now - self.start, rows))
        self.loop.call_later(SAMPLE_INTERVAL_US, self.sample)

    def play(self, tick: Callable[[float], None] | None = None) -> dict[str, Any]:
        """Run to the end and return the verdict.

        `tick` is called once per simulated second with the seconds since the start. Raises
        RuntimeError if a balancer process does not start.
        """
        _, descriptor_limit = resource.getrlimit(resource.RLIMIT_NOFILE)
        resource.setrlimit(resource.RLIMIT_NOFILE, (descriptor_limit, descriptor_limit))
        try:
            _, entries = self.discovery.changes_since(None, 1)
            for balancer in self.balancers.values():
                balancer.start({"seq": 1, "whole": True, "hosts": entries})
            if self.folder:
                self.wait_until_ready()
            self.schedule()
            with rare_collections():
                self.run(tick)
            self.report_rejecting_balancers()
            verdict = self.build_verdict()
            if self.plan.phases:
                verdict |= self.check_phases(verdict["verdict"])
            return verdict
        finally:
            self.close()

    def schedule(self) -> None:
        """Set timers for the load, the faults and the phases of the plan."""
        from orchidgap.simulation.faults import start_fault

        self.loop.call_at(self.start, self.clients.on_arrival)
        self.loop.call_at(self.start, self.ingress.start)
        self.loop.call_at(self.start, self.sample)
        for fault in self.plan.faults:
            self.loop.call_at(self.start + seconds_to_us(fault.start_s), start_fault, self, fault)
        for phase in self.plan.phases:
            starts_at_us = self.start + seconds_to_us(phase.start_s)
            self.loop.call_at(starts_at_us, self.phase_recorder.begin_phase, phase.name)
        self.loop.call_at(
            self.start + seconds_to_us(self.plan.duration_s), self.phase_recorder.begin_phase, ""
        )

    def run(self, tick: Callable[[float], None] | None) -> None:
        """Run the loop for the duration of the plan."""
        end = self.start + simulated_duration_us(self.plan)
        now = self.start
        while now < end:
            now = min(end, now + TICK_INTERVAL_US)
            if isinstance(self.network, VirtualNetwork):
                self.network.loop.run_until(now)
            else:
                while self.loop.clock() < now:
                    self.loop.run_once(min(LOOPBACK_MAX_WAIT_US, now - self.loop.clock()))
            if tick:
                tick((now - self.start) / 1e6)

    def wait_until_ready(self) -> None:
        """Run until all processes serve, and set the start of the load to follow."""
        deadline_s = time.monotonic() + STARTUP_TIMEOUT_S
        while not all(balancer.ready_at for balancer in self.balancers.values()):
            if time.monotonic() > deadline_s:
                raise RuntimeError("a balancer did not start in time; see its log")
            self.loop.run_once(STARTUP_POLL_US)
        self.start = self.loop.clock() + LEAD_AFTER_STARTUP_US
        self.invariant_checker.started_at_us = self.start
        self.clients.arrivals_end_us = self.start + seconds_to_us(self.plan.duration_s)

    def check_phases(self, verdict: str) -> dict[str, Any]:
        """Return the verdict fields of the phases, and record breaches of their bounds."""
        breaches: list[tuple[str, float, str]] = []
        figures = self.phase_recorder.finish(
            lambda rule, at, text: breaches.append((rule, (at - self.start) / 1e6, text))
        )
        self.invariant_checker.breaches += breaches
        verdict = "broken" if breaches else verdict
        return {"verdict": verdict, "uneven": len(breaches), "stretches": figures}

    def build_verdict(self) -> dict[str, Any]:
        """Return the invariant checker's verdict, with the balancers' errors and costs."""
        self.report_unanswered_requests()
        verdict = verdict_line(self.invariant_checker)
        balancers = self.balancers.values()
        virtual = [balancer for balancer in balancers if isinstance(balancer, VirtualBalancer)]
        processes = [balancer for balancer in balancers if isinstance(balancer, BalancerProcess)]
        faults = [fault for balancer in virtual for fault in balancer.log.faults]
        faults += filter(None, (balancer.account_fault() for balancer in virtual))
        verdict["faults"] = len(faults)
        if faults:
            verdict["verdict"] = "broken"
            verdict["first_fault"] = faults[0]
        if processes:
            verdict |= process_costs(processes, len(self.invariant_checker.client_attempts))
        return verdict

    def report_rejecting_balancers(self) -> None:
        """Report balancers that rejected all requests although the plan gave no reason to."""
        if not is_calm(self.plan):
            return
        attempts = self.invariant_checker.client_attempts.values()
        for period in excessive_rejections(attempts, len(self.balancers)):
            self.invariant_checker.record_breach("lost", period.since_us, period.describe())

    def report_unanswered_requests(self) -> None:
        """Report requests without an answer at the end whose timeout expired long ago.

        Time is counted up to the last poll of the sockets, as answers that arrived after it, during
        a long turn of the loop, have not been read.
        """
        now_us = self.loop.last_poll_us
        for attempt in self.invariant_checker.overdue_attempts(now_us):
            timeout_ms = attempt.operation.request_class.client_timeout_ms
            resumed_us = self.last_pause_end_us(attempt.balancer)
            if resumed_us + milliseconds_to_us(timeout_ms) + LOST_AFTER_US > now_us:
                continue
            end = self.process_end(attempt.balancer, attempt.incarnation)
            if end is not ProcessEnd.KILLED:
                self.invariant_checker.on_no_answer(attempt, now_us)

    def close(self) -> None:
        """End all balancers and close all sockets and files."""
        for balancer in self.balancers.values():
            balancer.release()
        for server in self.servers.values():
            for connection in list(server.connections):
                connection.conn.close()
        for key in list(self.loop.selector.get_map().values()):
            with suppress(KeyError, OSError):
                self.loop.selector.unregister(key.fileobj)
                if isinstance(key.fileobj, socket.socket):
                    key.fileobj.close()
        self.loop.selector.close()
        if self.folder:
            self.folder.cleanup()


def most_common_scope(plan: Plan) -> str:
    """Return the most common deduplication scope of request classes with an idempotency key."""
    scopes = Counter(
        request_class.deduplication_scope
        for request_class in plan.request_classes()
        if request_class.effect == "uniqued"
    )
    return scopes.most_common(1)[0][0] if scopes else "all"
