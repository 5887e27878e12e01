"""The one place where the compatibility tests touch the program's Python names.

Whoever renames a module, class or method of the program edits this file, and nothing else in this folder.
No function here computes what is compared: each only starts a part of the program or calls it.
"""

from __future__ import annotations

import socket
from pathlib import Path
from random import Random

import orjson

from orchidgap.control.guarded_node import LeaseGuardedNode
from orchidgap.control.lease_keeper import LeaseKeeper
from orchidgap.control.process import ControlProcess as ProgramControlProcess
from orchidgap.control.process_config import ProcessConfig
from orchidgap.control.process_group import ANSWER_TIMEOUT_US
from orchidgap.control.rpc_client import RpcClient
from orchidgap.http1.protocol import Http1
from orchidgap.net import config as config_module
from orchidgap.net.handover.coordinator import Handover
from orchidgap.net.handover.listener_inheritance import inherited_listener
from orchidgap.net.loop import Loop
from orchidgap.net.node import Node
from orchidgap.peers.gossip_transport import BAD_SIGNATURE, MALFORMED, GossipTransport
from orchidgap.state.durable_store import CorruptFileError, DurableStore

Address = tuple[str, int]

CorruptFile = CorruptFileError

# events of the log that tell what a balancer found in its folder; the log's words may change
VERSION_FOUND, VERSION_DAMAGED, CALLS_CONTROL = (
    "stored policy found",
    "stored policy corrupt",
    "lease requested",
)
VERSION_FACT = "version"  # the name under which the first of them tells the version


def write_folder_file(folder: Path, name: str, content: object) -> None:
    """Stores a file as the program does; durable when it returns."""
    DurableStore(folder).write(name, content)


def read_folder_file(folder: Path, name: str) -> object:
    """Raises CorruptFile."""
    return DurableStore(folder).read(name)


def quiet_log(*event: object, **facts: object) -> None:
    """Takes the place of the program's log."""


class SilentLog:
    """The same where the program also reports unexpected exceptions to it."""

    def __call__(self, *event: object, **facts: object) -> None:
        pass

    def exception(self, error: Exception) -> None:
        raise error


class EventLoop:
    """The program's event loop under a clock that stands still until a test advances it."""

    def __init__(self, now_us: int = 10**12) -> None:
        self.now_us = now_us
        self.loop = Loop(clock=self.clock)

    def clock(self) -> int:
        return self.now_us

    def turn(self, wait_us: int = 2_000) -> None:
        self.loop.run_once(wait_us)

    def has_pending_callbacks(self) -> bool:
        return bool(self.loop.ready_callbacks)

    def next_timer_us(self) -> int | None:
        return self.loop.timers[0][0] if self.loop.timers else None


def has_call_out(calls: RpcClient) -> bool:
    return any(connection.on_body is not None for connection in calls.connections)


class ControlProcess:
    """A control process with a fixed clock and a seeded random generator, on a loopback socket."""

    def __init__(
        self,
        events: EventLoop,
        name: str,
        addresses: dict[str, Address],
        listen: Address,
        folder: Path,
        lease_us: int,
    ) -> None:
        self.loop = events.loop
        self.others = {
            other: RpcClient(events.loop, address, ANSWER_TIMEOUT_US)
            for other, address in sorted(addresses.items())
            if other != name
        }
        self.control = ProgramControlProcess(
            events.loop,
            ProcessConfig(name, addresses, str(folder), lease_us, 6 * lease_us, False),
            self.others,
            DurableStore(folder),
            quiet_log,
            Random(name),
            events.clock,
        )
        self.control.server.listen(listen)

    def begin(self, new: bool) -> None:
        self.control.start(new)

    def is_busy(self) -> bool:
        return self.control.acceptor.writer.busy or any(map(has_call_out, self.others.values()))

    def close(self) -> None:
        server = self.control.server
        self.loop.unwatch(server.listener)
        server.listener.close()
        for client in self.others.values():
            client.close()
        for connection in list(server.connections):
            server.drop(connection)


class LeaseHolder:
    """A balancer's side of control, with a fixed clock and a seeded random generator."""

    def __init__(self, events: EventLoop, config_path: Path, folder: Path, seed: int) -> None:
        config = config_module.read(str(config_path))
        self.keeper = LeaseKeeper(
            str(config_path),
            events.loop,
            config,
            quiet_log,
            DurableStore(folder),
            Random(seed),
            events.clock,
        )
        node = LeaseGuardedNode(events.loop, config, SilentLog(), Http1())
        node.guard, self.keeper.node = self.keeper, node

    def begin(self) -> None:
        self.keeper.begin(lambda: None)

    def is_busy(self) -> bool:
        return self.keeper.writer.busy or any(map(has_call_out, self.keeper.clients))

    def may_serve(self) -> bool:
        return self.keeper.may_serve()

    def version(self) -> int:
        return self.keeper.lease.version

    def end(self) -> None:
        """Tells control that this process ends."""
        self.keeper.close()


class BalancerProcess:
    """A balancer that speaks HTTP, with a fixed clock; its hosts are socket pairs of the test."""

    def __init__(self, events: EventLoop, config: dict[str, object]) -> None:
        self.events = events
        self.dialled: list[tuple[int, socket.socket]] = []  # port and the test's end
        self.node = Node(
            events.loop,
            config_module.parse(orjson.dumps(config), "config"),
            SilentLog(),
            Http1(),
            self.dial,
        )
        self.node.list_received = True

    def dial(self, address: Address) -> socket.socket:
        near, far = socket.socketpair()
        far.setblocking(False)
        self.dialled.append((address[1], far))
        return near

    def start(self) -> None:
        self.node.start()

    def share_listener(self, listener: socket.socket) -> None:
        """As if started with GW_PASSED_SOCKET."""
        self.node.clients.use_listening_socket(inherited_listener(str(listener.detach())))
        self.node.handover = Handover(self.events.loop, self.node, None, shared=True)

    def accept_successor(self, sock: socket.socket) -> None:
        self.node.handover.accept_successor(sock)

    def call_predecessor(self, sock: socket.socket) -> None:
        self.node.handover.join_predecessor(sock)

    def leave(self) -> None:
        """As on SIGTERM."""
        self.node.begin_shutdown()

    def is_ready(self) -> bool:
        return self.node.is_ready()

    def accept_client(self, sock: socket.socket) -> None:
        self.node.clients.admit(sock)


class GossipPeer:
    """A balancer's part in gossip; `send` is given an address and a datagram."""

    def __init__(
        self,
        balancer: BalancerProcess,
        name: str,
        part: config_module.GossipConfig,
        seed: int,
        send: object,
    ) -> None:
        self.gossip = GossipTransport(
            balancer.events.loop, balancer.node, quiet_log, name, part, seed, send
        )

    def receive(self, datagram: bytes) -> None:
        self.gossip.receive(datagram)

    def rejected_count(self) -> int:
        """Datagrams that were not signed with this key, or malformed."""
        counts = self.gossip.datagram_counts
        return counts[BAD_SIGNATURE] + counts[MALFORMED]


def gossip_part(config: dict[str, object]) -> config_module.GossipConfig:
    """The configuration's part for gossip as the program reads it."""
    return config_module.parse(orjson.dumps(config), "config").gossip
