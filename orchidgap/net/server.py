"""The running process: the loop, the node, and the signals for shutdown and reload."""

from __future__ import annotations

import errno
import gc
import os
import signal
import socket
import time
from collections.abc import Callable
from functools import partial
from typing import Any, Protocol

from orchidgap.admin import protocol as admin_protocol
from orchidgap.admin.server import AdminServer
from orchidgap.decisions.balancer import Balancer
from orchidgap.decisions.records import HostStatus
from orchidgap.decisions.shadow import ShadowBalancer
from orchidgap.errors import ConfigError
from orchidgap.net import config
from orchidgap.net.addresses import Address, format_address
from orchidgap.net.config import BalancerConfig
from orchidgap.net.connection_log import log_connections_if_enabled
from orchidgap.net.event_log import EventLog
from orchidgap.net.loop import Loop
from orchidgap.net.memory_pressure import resident_bytes
from orchidgap.net.node import Node, ProtocolParts
from orchidgap.net.signals import watch_signals

BIND_TIMEOUT_S = 10.0  # a previous process that was killed may still hold the address
BIND_RETRY_S = 0.05
# New objects before a collection of the youngest, and how many such collections before the older.
COLLECTION_THRESHOLDS = (1_000, 4, 4)


class LeaseHolder(Protocol):
    """Obtains the permission to serve clients."""

    def request_permission(self, on_first_lease: Callable[[], None]) -> None:
        """Request the permission, and call back once it is first granted."""

    def close(self) -> None:
        """Release the resources at the end of the process."""


class Gossip(Protocol):
    """Exchanges counts with other balancers."""

    def close(self) -> None:
        """Release the resources at the end of the process."""


GuardedNodeFactory = Callable[..., tuple[Node, LeaseHolder]]
GossipFactory = Callable[[Loop, Node, EventLog, BalancerConfig], Gossip]


def serve(
    path: str | None,
    create_protocol: Callable[[BalancerConfig], ProtocolParts],
    make_balancer: Callable[..., Any] = Balancer,
    make_guarded_node: GuardedNodeFactory | None = None,
    make_gossip: GossipFactory | None = None,
) -> None:
    """Run a balancer until it is shut down.

    Args:
        path: The configuration file.
        create_protocol: Returns the protocol for a configuration.
        make_balancer: Creates the decisions; the result has the methods of a `Balancer`.
        make_guarded_node: Creates a node that serves under leases of control, if configured.
        make_gossip: Creates the exchange of counts with other balancers, if configured.

    Raises:
        ConfigError: The balancer cannot start.
    """
    # SIGHUP is blocked until its handler is installed: its default action ends the process, and the
    # file may be changed and reloaded in the meantime.
    signal.pthread_sigmask(signal.SIG_BLOCK, (signal.SIGHUP,))
    balancer_config = config.read(path)
    log = EventLog(balancer_config.name)
    loop = Loop(on_error=log.exception)
    loop.on_late_turn = log.late_turn
    if balancer_config.shadow_settings:
        make_balancer = partial(ShadowBalancer, balancer_config.shadow_settings)
    protocol = create_protocol(balancer_config)
    lease_holder: LeaseHolder | None = None
    if balancer_config.control and make_guarded_node:
        node, lease_holder = make_guarded_node(
            path, loop, balancer_config, log, protocol, make_balancer=make_balancer
        )
    else:
        node = Node(loop, balancer_config, log, protocol, make_balancer=make_balancer)
    node.memory_pressure.watch(resident_bytes, node.on_memory_pressure)
    wakeup = handle_signals(loop, node, path)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, (signal.SIGHUP,))
    admin_server = make_admin_server(loop, node)
    if balancer_config.admin:
        listen_with_retry(admin_server.listen, balancer_config.admin)
    gossip: Gossip | None = None
    if balancer_config.gossip and make_gossip:
        gossip = make_gossip(loop, node, log, balancer_config)
    if lease_holder:
        lease_holder.request_permission(partial(open_to_clients, loop, node, balancer_config, log))
    else:
        open_to_clients(loop, node, balancer_config, log)
    collect_garbage_often()
    loop.run()
    admin_server.close()
    if lease_holder:
        lease_holder.close()
    if gossip:
        gossip.close()
    wakeup.close()


def collect_garbage_often() -> None:
    """Bound the memory of finished requests, which refer to each other until they are collected.

    What the program has loaded by now stays until its end, so no collection has to traverse it.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(*COLLECTION_THRESHOLDS)


def make_admin_server(loop: Loop, node: Node) -> AdminServer:
    """Create the server for operators' commands."""
    return AdminServer(
        loop,
        {
            admin_protocol.HEALTH: node.health,
            admin_protocol.DRAIN: node.drain,
            admin_protocol.RESUME: node.resume,
            admin_protocol.SHADOW_REPORT: node.shadow_report,
            admin_protocol.COUNT_REPORT: node.count_report,
        },
    )


def open_to_clients(loop: Loop, node: Node, balancer_config: BalancerConfig, log: EventLog) -> None:
    """Listen, or use the inherited listener, and start the node. Raises ConfigError."""
    log_connections_if_enabled(node.clients, log)
    passed = os.environ.get("GW_PASSED_SOCKET")
    if passed:
        # imported only if a listener is shared
        from orchidgap.net.handover.coordinator import Handover
        from orchidgap.net.handover.listener_inheritance import inherited_listener

        node.clients.use_listening_socket(inherited_listener(passed))
        handover = Handover(loop, node, os.environ.get("TMPDIR"), shared=True)
        node.handover = handover
        handover.find_predecessor()
    else:
        listen_with_retry(node.clients.listen, balancer_config.listen)
    initial_list = balancer_config.initial_endpoints
    not_ready = sum(entry.state != HostStatus.READY for entry in initial_list.entries)
    log(
        "listening",
        listen=format_address(balancer_config.listen),
        operators=balancer_config.admin and format_address(balancer_config.admin),
        hosts=len(initial_list.entries),
        not_ready=not_ready,
        list_version=initial_list.version,
        clients=node.clients.max_clients,
        links=node.pools.max_connections,
    )
    node.start()


def listen_with_retry(listen: Callable[[Address], None], address: Address) -> None:
    """Listen at an address that another process may still hold.

    Raises:
        ConfigError: The address did not become available in time.
    """
    give_up_at_s = time.monotonic() + BIND_TIMEOUT_S
    while True:
        try:
            listen(address)
        except OSError as error:
            if error.errno != errno.EADDRINUSE or time.monotonic() > give_up_at_s:
                raise ConfigError(
                    f"cannot listen on {format_address(address)}: {error.strerror}"
                ) from None
            time.sleep(BIND_RETRY_S)
        else:
            return


def handle_signals(loop: Loop, node: Node, path: str | None) -> socket.socket:
    """Reload the file on SIGHUP, and shut down on SIGTERM and SIGINT.

    The handlers work as long as the returned socket is kept open.
    """

    def on_signals(numbers: bytes) -> None:
        if signal.SIGHUP in numbers:
            reload_config(node, path)
        if signal.SIGTERM in numbers or signal.SIGINT in numbers:
            node.begin_shutdown()

    return watch_signals(loop, (signal.SIGHUP, signal.SIGTERM, signal.SIGINT), on_signals)


def reload_config(node: Node, path: str | None) -> None:
    """Read the file again; an invalid or partly written one changes nothing.

    `Node.apply_config` describes which changes take effect at once. If control decides the policy,
    that policy is used in place of the file's settings, and only the rest of the file is applied.
    """
    try:
        new_config = config.read(path, node.config, node.settings)
        if node.settings is None:
            node.protocol.check_settings(new_config.settings)
        node.apply_config(new_config)
    except ConfigError as error:
        node.event_log("config rejected", why=str(error))
