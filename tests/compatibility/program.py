"""The only module of the compatibility tests that uses the program's Python names.

After a rename of a module, class or method of the program, only this file in this folder has to change.
No function here computes data that is compared: each only starts a part of the program or calls it.
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

# Log events that report what a balancer found in its folder. Their texts are not part of the compatible formats
# and may change.
VERSION_FOUND, VERSION_CORRUPT, LEASE_REQUESTED = (
    "stored policy found",
    "stored policy corrupt",
    "lease requested",
)
VERSION_FIELD = "version"  # the field of VERSION_FOUND that holds the version


def write_folder_file(folder: Path, name: str, content: object) -> None:
    """Stores a file as the program does; the file is durable on return."""
    DurableStore(folder).write(name, content)


def read_folder_file(folder: Path, name: str) -> object:
    """Returns the content of a file that the program has stored; raises CorruptFile if it is damaged."""
    return DurableStore(folder).read(name)


def discard_log(*event: object, **facts: object) -> None:
    """Replaces the program's log and discards every event."""


class SilentLog:
    """Discards every event of the log, and raises the unexpected exceptions that are reported to it."""

    def __call__(self, *event: object, **facts: object) -> None:
        pass

    def exception(self, error: Exception) -> None:
        raise error


class EventLoop:
    """The program's event loop with a clock that only the test advances."""

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


def has_call_in_progress(calls: RpcClient) -> bool:
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
            discard_log,
            Random(name),
            events.clock,
        )
        self.control.server.listen(listen)

    def begin(self, new: bool) -> None:
        self.control.start(new)

    def is_busy(self) -> bool:
        return self.control.acceptor.writer.busy or any(
            map(has_call_in_progress, self.others.values())
        )

    def close(self) -> None:
        server = self.control.server
        self.loop.unwatch(server.listener)
        server.listener.close()
        for client in self.others.values():
            client.close()
        for connection in list(server.connections):
            server.drop(connection)


class LeaseHolder:
    """The part of a balancer that calls control, with a fixed clock and a seeded random generator."""

    def __init__(self, events: EventLoop, config_path: Path, folder: Path, seed: int) -> None:
        config = config_module.read(str(config_path))
        self.keeper = LeaseKeeper(
            str(config_path),
            events.loop,
            config,
            discard_log,
            DurableStore(folder),
            Random(seed),
            events.clock,
        )
        node = LeaseGuardedNode(events.loop, config, SilentLog(), Http1())
        node.guard, self.keeper.node = self.keeper, node

    def begin(self) -> None:
        self.keeper.request_permission(lambda: None)

    def is_busy(self) -> bool:
        return self.keeper.writer.busy or any(map(has_call_in_progress, self.keeper.clients))

    def may_serve(self) -> bool:
        return self.keeper.may_serve()

    def version(self) -> int:
        return self.keeper.lease.version

    def end(self) -> None:
        """Notifies control that this process is shutting down."""
        self.keeper.close()


class BalancerProcess:
    """An HTTP balancer with a fixed clock; the test holds the other ends of its connections to hosts."""

    def __init__(self, events: EventLoop, config: dict[str, object]) -> None:
        self.events = events
        self.dialled: list[
            tuple[int, socket.socket]
        ] = []  # host's port, the test's end of the connection
        self.node = Node(
            events.loop,
            config_module.parse(orjson.dumps(config), "config"),
            SilentLog(),
            Http1(),
            self.dial,
        )
        self.node.list_received = True

    def dial(self, address: Address) -> socket.socket:
        balancer_end, test_end = socket.socketpair()
        test_end.setblocking(False)
        self.dialled.append((address[1], test_end))
        return balancer_end

    def start(self) -> None:
        self.node.start()

    def share_listener(self, listener: socket.socket) -> None:
        """Uses the listener as a process started with GW_PASSED_SOCKET does."""
        self.node.clients.use_listening_socket(inherited_listener(str(listener.detach())))
        self.node.handover = Handover(self.events.loop, self.node, None, shared=True)

    def accept_successor(self, sock: socket.socket) -> None:
        self.node.handover.accept_successor(sock)

    def join_predecessor(self, sock: socket.socket) -> None:
        self.node.handover.join_predecessor(sock)

    def begin_shutdown(self) -> None:
        """Shuts down as on SIGTERM."""
        self.node.begin_shutdown()

    def is_ready(self) -> bool:
        return self.node.is_ready()

    def accept_client(self, sock: socket.socket) -> None:
        self.node.clients.admit(sock)


class GossipPeer:
    """The gossip transport of a balancer; `send` is called with an address and a datagram."""

    def __init__(
        self,
        balancer: BalancerProcess,
        name: str,
        config: config_module.GossipConfig,
        seed: int,
        send: object,
    ) -> None:
        self.gossip = GossipTransport(
            balancer.events.loop, balancer.node, discard_log, name, config, seed, send
        )

    def receive(self, datagram: bytes) -> None:
        self.gossip.receive(datagram)

    def rejected_count(self) -> int:
        """Returns the number of datagrams that were malformed or not signed with this key."""
        counts = self.gossip.datagram_counts
        return counts[BAD_SIGNATURE] + counts[MALFORMED]


def parse_gossip_config(config: dict[str, object]) -> config_module.GossipConfig:
    """Returns the gossip section of a configuration as the program parses it."""
    return config_module.parse(orjson.dumps(config), "config").gossip
