"""A balancer under test, and its implementation on the virtual clock.

An instance outlives its processes: after a process has ended, another one may start under the same
name and address. Each of them is one incarnation. All times are in microseconds of the simulation's
loop.
"""

from __future__ import annotations

import socket
from dataclasses import dataclass
from pathlib import Path
from typing import Any, NamedTuple, cast

from orchidgap.admin import protocol as admin_protocol
from orchidgap.admin.server import AdminServer
from orchidgap.composition import create_protocol
from orchidgap.net import config
from orchidgap.net.addresses import Address
from orchidgap.net.client_connection import ClientConnection
from orchidgap.net.config import BalancerConfig
from orchidgap.net.event_log import EventLog
from orchidgap.net.handover.coordinator import Handover
from orchidgap.net.node import Node
from orchidgap.net.traffic_counts import ConnectionEnd
from orchidgap.peers.gossip_transport import GossipTransport
from orchidgap.simulation.balancer_loop import BalancerLoop
from orchidgap.simulation.close_records import CloseRecords
from orchidgap.simulation.environment import Environment, PolicyFactory
from orchidgap.simulation.listening_queue import ListenerHandle, SharedListener
from orchidgap.simulation.plan import milliseconds_to_us
from orchidgap.simulation.request_end import ProcessEnd
from orchidgap.simulation.virtual_network import VirtualNetwork, socket_number

EXIT_POLL_INTERVAL_US = 10_000
# a process may be killed this long plus the longest client timeout after SIGTERM
KILL_MARGIN_US = 700_000
MAX_LOG_RECORDS = 20_000
HOSTS_PER_SUBNET = 250

CLIENT_PORT = 7070
DISCOVERY_PORT = 8500
ADMIN_PORT = 7170
GOSSIP_PORT = 7600


@dataclass(frozen=True, slots=True)
class LogRecord:
    """One event that a balancer logged, in seconds from the start of the simulation."""

    at_s: float
    event: str
    facts: dict[str, Any]


class MemoryLog(EventLog):
    """The log of a balancer on the virtual clock; exceptions are also collected in `faults`."""

    def __init__(self, name: str, environment: Environment) -> None:
        """Start empty; `name` is the balancer's name."""
        self.name = name
        self.environment = environment
        self.records: list[LogRecord] = []
        self.faults: list[str] = []

    def __call__(self, event: str, **facts: Any) -> None:
        """Record an event, unless there are `MAX_LOG_RECORDS` already."""
        if len(self.records) < MAX_LOG_RECORDS:
            at_us = self.environment.loop.now - self.environment.start
            self.records.append(LogRecord(at_us / 1e6, event, facts))

    def exception(self, error: Exception) -> None:
        """Record an unexpected exception with the file and line that raised it."""
        traceback = error.__traceback__
        while traceback and traceback.tb_next:
            traceback = traceback.tb_next
        location = "?"
        if traceback:
            file = Path(traceback.tb_frame.f_code.co_filename).name
            location = f"{file}:{traceback.tb_lineno}"
        fault = f"{type(error).__name__}: {error} ({location})"
        self.faults.append(fault)
        self("fault", what=fault)


class Pause(NamedTuple):
    """A period in which a process was stopped."""

    start_us: int
    end_us: int


def address_suffix(number: int) -> str:
    """Return the last two parts of the IPv4 address of the balancer with this number.

    >>> address_suffix(0), address_suffix(249), address_suffix(250)
    ('0.1', '0.250', '1.1')
    """
    return f"{number // HOSTS_PER_SUBNET}.{number % HOSTS_PER_SUBNET + 1}"


class BalancerInstance:
    """A balancer's name and addresses, and the state of its current process.

    Parameters named `known` are the initial endpoint list of a process, in the format of its
    configuration file.
    """

    def __init__(self, environment: Environment, name: str, number: int, zone: int) -> None:
        """Set the addresses of the balancer with this number; nothing runs yet."""
        suffix = address_suffix(number)
        offset = environment.port_offset
        self.environment = environment
        self.name = name
        self.number = number
        self.zone = zone
        self.address: Address = (f"127.1.{suffix}", CLIENT_PORT + offset)
        self.discovery_address: Address = (f"127.3.{suffix}", DISCOVERY_PORT + offset)
        self.admin_address: Address = (f"127.4.{suffix}", ADMIN_PORT)
        self.gossip_address: Address = (f"127.200.{suffix}", GOSSIP_PORT + offset)
        self.incarnation = 0
        self.alive = False
        self.ready_at = 0
        self.died_at = 0
        self.is_shutting_down = False
        self.shutdown_began_us = 0
        self.may_kill_itself = False  # a planned disk fault may end it by SIGKILL
        self.ends: dict[int, ProcessEnd] = {}  # how each ended process ended, by incarnation
        self.pauses: list[Pause] = []

    def start(self, known: dict[str, Any]) -> None:
        """Start a process; the previous one, if any, has ended."""
        raise NotImplementedError

    def has_exited(self) -> bool:
        """Return whether the process has ended by itself."""
        raise NotImplementedError

    def kill(self) -> None:
        """End all processes at once, as by SIGKILL."""
        raise NotImplementedError

    def shut_down(self) -> None:
        """Request the process to stop, as by SIGTERM."""
        raise NotImplementedError

    def pause(self, until_us: int) -> None:
        """Stop the process until then, as by SIGSTOP and SIGCONT."""
        raise NotImplementedError

    def reload(self, text: bytes) -> None:
        """Replace the configuration file by `text` and make the process read it, as by SIGHUP."""
        raise NotImplementedError

    def start_successor(self, known: dict[str, Any]) -> None:
        """Start a second process while the first one, now the predecessor, still serves."""
        raise NotImplementedError

    def successor_is_ready(self) -> bool:
        """Return whether the newest process reports that it is ready."""
        raise NotImplementedError

    def shut_down_predecessor(self) -> None:
        """Request the predecessor to stop."""
        raise NotImplementedError

    def kill_predecessor(self) -> None:
        """End the predecessor at once, if there is one; its connections break."""
        raise NotImplementedError

    def release(self) -> None:
        """Free all resources at the end of a simulation, without a report to the checker."""
        raise NotImplementedError

    def poll_exit(self) -> None:
        """Poll until a process that is shutting down has ended."""
        if not self.alive:
            return
        if self.has_exited():
            self.kill()
        else:
            self.environment.loop.call_later(EXIT_POLL_INTERVAL_US, self.poll_exit)

    def begin_shutdown(self) -> None:
        """Record the start of the process's shutdown and so of its grace period."""
        self.is_shutting_down = True
        # not the loop's time, as the turn may have started long before the signal
        self.shutdown_began_us = self.environment.loop.clock()

    def kill_time_us(self) -> int:
        """Return the earliest time at which a process that is shutting down may be killed."""
        timeouts_ms = [spec.client_timeout_ms for spec in self.environment.plan.request_classes()]
        return self.shutdown_began_us + milliseconds_to_us(max(timeouts_ms)) + KILL_MARGIN_US

    def process_end(self, incarnation: int) -> ProcessEnd:
        """Return whether and how an incarnation has ended."""
        return self.ends.get(incarnation, ProcessEnd.RUNNING)

    def end_by_kill(self) -> ProcessEnd:
        """Return how the process counts as ended if it is killed now."""
        if self.has_exited():
            return ProcessEnd.EXITED
        if self.is_shutting_down and self.environment.loop.now >= self.kill_time_us():
            return ProcessEnd.KILLED_PAST_GRACE
        return ProcessEnd.KILLED

    def mark_ended(self, end: ProcessEnd) -> None:
        """Record how the process has ended, and report it to the invariant checker."""
        now = self.environment.loop.now
        self.alive = False
        self.died_at = now
        self.ends[self.incarnation] = end
        was_killed = end is ProcessEnd.KILLED
        self.environment.invariant_checker.on_balancer_ended(
            self.name, self.incarnation, now, was_killed
        )


class VirtualProcess(NamedTuple):
    """A node and its own loop."""

    loop: BalancerLoop
    node: Node


class VirtualBalancer(BalancerInstance):
    """A real `Node` on a loop of its own; all these loops share one virtual clock."""

    def __init__(
        self,
        environment: Environment,
        name: str,
        number: int,
        zone: int,
        policy_factory: PolicyFactory,
    ) -> None:
        """Set what makes the decision logic; nothing runs yet."""
        super().__init__(environment, name, number, zone)
        self.policy_factory = policy_factory
        self.close_records = CloseRecords()
        self.log = MemoryLog(name, environment)
        self.node: Node | None = None
        self.loop: BalancerLoop | None = None
        self.gossip: GossipTransport | None = None
        self.predecessor: VirtualProcess | None = None

    @property
    def network(self) -> VirtualNetwork:
        """The virtual network that the balancer uses."""
        network = self.environment.network
        assert isinstance(network, VirtualNetwork)
        return network

    def start(self, known: dict[str, Any]) -> None:
        """Open the listener and start a node that accepts from it."""
        self.incarnation += 1
        self.alive = True
        self.is_shutting_down = False
        self.network.listeners[self.address] = SharedListener(self.network.loop)
        self.start_process(known).start()
        self.ready_at = self.environment.loop.now

    def start_process(self, known: dict[str, Any]) -> Node:
        """Make a node that accepts from the listener, without starting it."""
        network = self.network
        loop = BalancerLoop(network.loop, self.log.exception)
        self.loop = loop
        settings = config.config_from_document(self.environment.balancer_settings(self, known))
        node = Node(
            loop,
            settings,
            self.log,
            create_protocol(settings),
            lambda address: network.dial_from(loop, self.name, address),
            self.policy_factory,
        )
        self.node = node
        listener = network.listeners[self.address]
        assert isinstance(listener, SharedListener)
        node.clients.on_closing = self.on_connection_closing
        # the handle implements the methods of a listening socket that a node uses
        node.clients.use_listening_socket(cast("socket.socket", ListenerHandle(listener)))
        self.start_gossip(loop, node, settings)
        self.start_admin(loop, node)
        return node

    def on_connection_closing(
        self, client: ClientConnection, end: ConnectionEnd, read_up_to_us: int
    ) -> None:
        """Record the state of a client's connection as the process closes it."""
        number = socket_number(client.conn.sock)
        closed_at_us = read_up_to_us or self.environment.loop.clock()
        self.close_records.note(number, client, end, closed_at_us, read_up_to_us > 0)

    def start_gossip(self, loop: BalancerLoop, node: Node, settings: BalancerConfig) -> None:
        """Start gossip with the other balancers, if the node's settings have it."""
        if settings.gossip:
            self.gossip = GossipTransport(
                loop,
                node,
                self.log,
                self.name,
                settings.gossip,
                settings.seed,
                self.environment.send_datagram,
            )

    def start_admin(self, loop: BalancerLoop, node: Node) -> None:
        """Listen at the admin address, if the plan has faults of operators."""
        if self.environment.ingress.is_active:
            commands = {
                admin_protocol.HEALTH: node.health,
                admin_protocol.DRAIN: node.drain,
                admin_protocol.RESUME: node.resume,
            }
            admin = AdminServer(loop, commands)
            self.network.listen(
                self.admin_address, lambda sock, who: loop.call_soon(admin.accept, sock)
            )

    def account_fault(self) -> str:
        """Return how the memory account differs from what open clients have booked, or nothing."""
        if not self.alive or not self.node:
            return ""
        account_bytes = self.node.memory_account.booked_bytes
        client_bytes = sum(client.booked_bytes for client in self.node.clients.open_clients)
        if account_bytes == client_bytes:
            return ""
        return f"{self.name}: {account_bytes} bytes are booked, {client_bytes} by open clients"

    def has_exited(self) -> bool:
        """Return whether the node has stopped its loop."""
        return self.loop is not None and not self.loop.running

    def kill(self) -> None:
        """Close the listeners and all sockets of the processes."""
        if not self.alive:
            return
        self.mark_ended(self.end_by_kill())
        self.network.unlisten(self.address)
        self.network.unlisten(self.admin_address)
        self.release()

    def release(self) -> None:
        """Close all sockets and cancel all timers of the processes."""
        self.kill_predecessor()
        if self.loop:
            self.loop.kill()

    def shut_down(self) -> None:
        """Begin the node's graceful shutdown."""
        if self.alive and self.node and self.loop:
            self.begin_shutdown()
            self.loop.call_soon(self.node.begin_shutdown)
            self.poll_exit()

    def pause(self, until_us: int) -> None:
        """Stop the process until then."""
        if self.alive and self.loop:
            self.pauses.append(Pause(self.environment.loop.now, until_us))
            self.loop.pause(until_us)

    def reload(self, text: bytes) -> None:
        """Make the node apply a new configuration."""
        if self.alive and self.node and self.loop:
            self.loop.call_soon(self.apply_config, self.node, text)

    @staticmethod
    def apply_config(node: Node, text: bytes) -> None:
        """Apply a new configuration, or log why it is invalid."""
        try:
            node.apply_config(config.parse(text, "the file", node.config))
        except config.ConfigError as error:
            node.event_log("config rejected", why=str(error))

    def start_successor(self, known: dict[str, Any]) -> None:
        """Start a second node and connect the two for the handover."""
        assert self.loop
        assert self.node
        self.kill_predecessor()
        predecessor = VirtualProcess(self.loop, self.node)
        self.predecessor = predecessor
        handover = predecessor.node.handover
        if not isinstance(handover, Handover):
            handover = Handover(predecessor.loop, predecessor.node, None, shared=True)
            predecessor.node.handover = handover
        successor = self.start_process(known)
        successor_handover = Handover(self.loop, successor, None, shared=True)
        successor.handover = successor_handover
        predecessor_end, successor_end = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        predecessor.loop.call_soon(handover.accept_successor, predecessor_end)
        self.loop.call_soon(successor_handover.join_predecessor, successor_end)
        self.loop.call_soon(successor.start)

    def successor_is_ready(self) -> bool:
        """Return whether the newest node is ready."""
        return self.node is not None and self.node.is_ready()

    def shut_down_predecessor(self) -> None:
        """Begin the predecessor's graceful shutdown."""
        if self.predecessor:
            self.predecessor.loop.call_soon(self.predecessor.node.begin_shutdown)
            self.poll_predecessor_exit()

    def poll_predecessor_exit(self) -> None:
        """Poll until the predecessor has ended."""
        if not self.predecessor:
            return
        if self.predecessor.loop.running:
            self.environment.loop.call_later(EXIT_POLL_INTERVAL_US, self.poll_predecessor_exit)
        else:
            self.kill_predecessor()

    def kill_predecessor(self) -> None:
        """Close all sockets of the predecessor."""
        if self.predecessor:
            loop = self.predecessor.loop
            self.predecessor = None
            loop.kill()
