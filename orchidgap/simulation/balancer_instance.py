"""A balancer under test, and its form on the virtual clock.

An instance outlives its processes: a process may end and another one start under the same name and
address. Each of them is one incarnation. All times are in microseconds of the simulation's loop.
"""

from __future__ import annotations

import socket
from dataclasses import dataclass
from pathlib import Path
from typing import Any, NamedTuple, cast

from orchidgap.admin import protocol as admin_protocol
from orchidgap.admin.server import AdminServer
from orchidgap.composition import protocol_for
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
from orchidgap.simulation.environment import Decider, Environment
from orchidgap.simulation.listening_queue import ListenerHandle, SharedListener
from orchidgap.simulation.plan import milliseconds_to_us
from orchidgap.simulation.request_end import ProcessEnd
from orchidgap.simulation.virtual_network import VirtualNetwork, socket_number

EXIT_POLL_INTERVAL_US = 10_000
# beyond the longest client timeout: how long after SIGTERM a process is left alone
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
    """The log of a balancer on the virtual clock. Exceptions are kept apart, in `faults`."""

    def __init__(self, name: str, environment: Environment) -> None:
        """Start empty; `name` is the balancer's."""
        self.name = name
        self.environment = environment
        self.records: list[LogRecord] = []
        self.faults: list[str] = []

    def __call__(self, event: str, **facts: Any) -> None:
        """Keep an event, unless there are `MAX_LOG_RECORDS` already."""
        if len(self.records) < MAX_LOG_RECORDS:
            at_us = self.environment.loop.now - self.environment.start
            self.records.append(LogRecord(at_us / 1e6, event, facts))

    def exception(self, error: Exception) -> None:
        """Keep an unexpected exception with the file and line that raised it."""
        traceback = error.__traceback__
        while traceback and traceback.tb_next:
            traceback = traceback.tb_next
        place = "?"
        if traceback:
            file = Path(traceback.tb_frame.f_code.co_filename).name
            place = f"{file}:{traceback.tb_lineno}"
        fault = f"{type(error).__name__}: {error} ({place})"
        self.faults.append(fault)
        self("fault", what=fault)


class Pause(NamedTuple):
    """A stretch of time in which a process was stopped."""

    start_us: int
    end_us: int


def address_suffix(number: int) -> str:
    """Return the last two parts of the IPv4 address of one of many.

    >>> address_suffix(0), address_suffix(249), address_suffix(250)
    ('0.1', '0.250', '1.1')
    """
    return f"{number // HOSTS_PER_SUBNET}.{number % HOSTS_PER_SUBNET + 1}"


class BalancerInstance:
    """A balancer's name and addresses, and the state of the process that serves there.

    `known` is, wherever it is a parameter, the endpoint list that a process starts with, in
    the form of its configuration file.
    """

    def __init__(self, environment: Environment, name: str, number: int, zone: int) -> None:
        """Take the addresses of the balancer of that number; nothing runs yet."""
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
        self.may_kill_itself = False  # a planned fault of its disk ends it by SIGKILL
        self.ends: dict[int, ProcessEnd] = {}  # by incarnation
        self.pauses: list[Pause] = []

    def start(self, known: dict[str, Any]) -> None:
        """Start a process; there is none yet, or the one before has ended."""
        raise NotImplementedError

    def has_exited(self) -> bool:
        """Return whether the process has ended by itself."""
        raise NotImplementedError

    def kill(self) -> None:
        """End all processes at once, as by SIGKILL."""
        raise NotImplementedError

    def shut_down(self) -> None:
        """Ask the process to end, as by SIGTERM."""
        raise NotImplementedError

    def pause(self, until_us: int) -> None:
        """Stop the process until then, as by SIGSTOP and SIGCONT."""
        raise NotImplementedError

    def reload(self, text: bytes) -> None:
        """Replace the configuration file by `text` and have it read, as by SIGHUP."""
        raise NotImplementedError

    def start_successor(self, known: dict[str, Any]) -> None:
        """Start a second process while the first one, from now on the predecessor, serves."""
        raise NotImplementedError

    def successor_is_ready(self) -> bool:
        """Return whether the newest process reports that it is ready."""
        raise NotImplementedError

    def shut_down_predecessor(self) -> None:
        """Ask the predecessor to end."""
        raise NotImplementedError

    def kill_predecessor(self) -> None:
        """End the predecessor at once, where there is one; its connections are cut."""
        raise NotImplementedError

    def release(self) -> None:
        """Free all that is left at the end of a simulation, without a word to the checker."""
        raise NotImplementedError

    def poll_exit(self) -> None:
        """Look again and again whether a process that was asked to end has done so."""
        if not self.alive:
            return
        if self.has_exited():
            self.kill()
        else:
            self.environment.loop.call_later(EXIT_POLL_INTERVAL_US, self.poll_exit)

    def begin_shutdown(self) -> None:
        """Note that the process has been asked to end: its grace runs from here."""
        self.is_shutting_down = True
        # the turn may have begun long before the signal
        self.shutdown_began_us = self.environment.loop.clock()

    def kill_time_us(self) -> int:
        """Return when a process that was asked to end may be killed, at the earliest."""
        timeouts_ms = [spec.client_timeout_ms for spec in self.environment.plan.request_classes()]
        return self.shutdown_began_us + milliseconds_to_us(max(timeouts_ms)) + KILL_MARGIN_US

    def process_end(self, incarnation: int) -> ProcessEnd:
        """Return how an incarnation has ended, if it has."""
        return self.ends.get(incarnation, ProcessEnd.RUNNING)

    def end_by_kill(self) -> ProcessEnd:
        """Return what a SIGKILL now means for what the process has taken."""
        if self.has_exited():
            return ProcessEnd.EXITED
        if self.is_shutting_down and self.environment.loop.now >= self.kill_time_us():
            return ProcessEnd.KILLED_PAST_GRACE
        return ProcessEnd.KILLED

    def mark_ended(self, end: ProcessEnd) -> None:
        """Note how the process has ended, and tell the invariant checker."""
        now = self.environment.loop.now
        self.alive = False
        self.died_at = now
        self.ends[self.incarnation] = end
        was_killed = end is ProcessEnd.KILLED
        self.environment.invariant_checker.on_balancer_ended(
            self.name, self.incarnation, now, was_killed
        )


class VirtualProcess(NamedTuple):
    """A node and the loop that it has for itself."""

    loop: BalancerLoop
    node: Node


class VirtualBalancer(BalancerInstance):
    """The real `Node` on a loop of its own, all of them on one virtual clock."""

    def __init__(
        self, environment: Environment, name: str, number: int, zone: int, decider: Decider
    ) -> None:
        """Take what decides; nothing runs yet."""
        super().__init__(environment, name, number, zone)
        self.decider = decider
        self.close_records = CloseRecords()
        self.log = MemoryLog(name, environment)
        self.node: Node | None = None
        self.loop: BalancerLoop | None = None
        self.gossip: GossipTransport | None = None
        self.predecessor: VirtualProcess | None = None

    @property
    def network(self) -> VirtualNetwork:
        """The virtual network that the balancer is on."""
        network = self.environment.network
        assert isinstance(network, VirtualNetwork)
        return network

    def start(self, known: dict[str, Any]) -> None:
        """Open the listener and start a node at it."""
        self.incarnation += 1
        self.alive = True
        self.is_shutting_down = False
        self.network.listeners[self.address] = SharedListener(self.network.loop)
        self.start_process(known).start()
        self.ready_at = self.environment.loop.now

    def start_process(self, known: dict[str, Any]) -> Node:
        """Make a node that shares the listener; it is not started yet."""
        network = self.network
        loop = BalancerLoop(network.loop, self.log.exception)
        self.loop = loop
        settings = config.config_from_document(self.environment.balancer_settings(self, known))
        node = Node(
            loop,
            settings,
            self.log,
            protocol_for(settings),
            lambda address: network.dial_from(loop, self.name, address),
            self.decider,
        )
        self.node = node
        listener = network.listeners[self.address]
        assert isinstance(listener, SharedListener)
        node.clients.on_closing = self.on_connection_closing
        # a handle has all methods of a listening socket that a node calls
        node.clients.use_listening_socket(cast("socket.socket", ListenerHandle(listener)))
        self.start_gossip(loop, node, settings)
        self.start_admin(loop, node)
        return node

    def on_connection_closing(
        self, client: ClientConnection, end: ConnectionEnd, read_up_to_us: int
    ) -> None:
        """Keep what the process knows of a client's connection as it closes it."""
        number = socket_number(client.conn.sock)
        closed_at_us = read_up_to_us or self.environment.loop.clock()
        self.close_records.note(number, client, end, closed_at_us, read_up_to_us > 0)

    def start_gossip(self, loop: BalancerLoop, node: Node, settings: BalancerConfig) -> None:
        """Connect the node to the other balancers, where its settings name them."""
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
        """Open the admin address, where the plan has operators call it."""
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

    def has_exited(self) -> bool:
        """Return whether the node has ended its loop."""
        return self.loop is not None and not self.loop.running

    def kill(self) -> None:
        """Close the listeners and all that the processes hold."""
        if not self.alive:
            return
        self.mark_ended(self.end_by_kill())
        self.network.unlisten(self.address)
        self.network.unlisten(self.admin_address)
        self.release()

    def release(self) -> None:
        """Close all sockets and drop all timers of the processes."""
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
        """Run nothing of the process until then."""
        if self.alive and self.loop:
            self.pauses.append(Pause(self.environment.loop.now, until_us))
            self.loop.pause(until_us)

    def reload(self, text: bytes) -> None:
        """Have the node read a new configuration."""
        if self.alive and self.node and self.loop:
            self.loop.call_soon(self.apply_config, self.node, text)

    @staticmethod
    def apply_config(node: Node, text: bytes) -> None:
        """Give the node a new configuration, or log why it is not valid."""
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
        near, far = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        predecessor.loop.call_soon(handover.accept_successor, near)
        self.loop.call_soon(successor_handover.join_predecessor, far)
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
        """Look again and again whether the predecessor has ended."""
        if not self.predecessor:
            return
        if self.predecessor.loop.running:
            self.environment.loop.call_later(EXIT_POLL_INTERVAL_US, self.poll_predecessor_exit)
        else:
            self.kill_predecessor()

    def kill_predecessor(self) -> None:
        """Close all that the predecessor holds."""
        if self.predecessor:
            loop = self.predecessor.loop
            self.predecessor = None
            loop.kill()
