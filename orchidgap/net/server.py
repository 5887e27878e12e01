"""The running program: the loop, the node, and the signals that end them or have the terms read anew."""

from __future__ import annotations

import errno
import os
import signal
import socket
import time
from collections.abc import Callable
from functools import partial
from typing import Any, Protocol

from orchidgap.admin.server import Operators
from orchidgap.decisions.balancer import Balancer
from orchidgap.decisions.shadow import ShadowBalancer
from orchidgap.net import config
from orchidgap.net.connection import Address
from orchidgap.net.endpoints import format_address
from orchidgap.net.event_log import EventLog
from orchidgap.net.handover import Handover, inherited_listener
from orchidgap.net.loop import Loop
from orchidgap.net.node import Node, ProtocolParts
from orchidgap.net.signals import watch_signals

BIND_FOR = 10.0  # seconds: a forerunner that was killed may still hold the address


class LeaseHolder(Protocol):
    """What says when a balancer may let clients in."""

    def begin(self, opens: Callable[[], None]) -> None: ...

    def close(self) -> None: ...


def serve(
    path: str | None,
    parts: Callable[[config.BalancerConfig], ProtocolParts],
    decider: Callable[..., Any] = Balancer,
    held: Callable[..., tuple[Node, LeaseHolder]] | None = None,
    talk: Callable[..., Any] | None = None,
) -> None:
    """Takes the configuration's path, what is spoken, what decides, who makes a node that control holds, and
    who talks to other balancers; ends when told to. Raises ConfigError."""
    # until it is heeded: its default would end the process, and it may tell of a file newer than what is read
    signal.pthread_sigmask(signal.SIG_BLOCK, (signal.SIGHUP,))
    station = config.read(path)
    log = EventLog(station.name)
    loop = Loop(on_error=log.exception)
    if station.shadow_settings:
        decider = partial(ShadowBalancer, station.shadow_settings)
    holder: LeaseHolder | None = None
    if station.control and held:
        node, holder = held(path, loop, station, log, parts(station), decider=decider)
    else:
        node = Node(loop, station, log, parts(station), decider=decider)
    bell = handle_signals(loop, node, path)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, (signal.SIGHUP,))
    if station.admin:
        operators = Operators(
            loop,
            {
                "health": node.health,
                "quiesce": node.quiesce,
                "resume": node.resume,
                "watch": node.shadow_report,
            },
        )
        listen_with_retry(operators.listen, station.admin)

    def opens() -> None:
        if passed := os.environ.get("GW_PASSED_SOCKET"):
            node.clients.use_listening_socket(inherited_listener(passed))
            node.handover = Handover(loop, node, os.environ.get("TMPDIR"), shared=True)
            node.handover.find_predecessor()
        else:
            listen_with_retry(node.clients.listen, station.listen)
        log(
            "listening",
            listen=format_address(station.listen),
            operators=station.admin and format_address(station.admin),
            hosts=len(station.initial_endpoints[3]),
            clients=node.clients.max_clients,
            links=node.pools.max_connections,
        )
        node.start()

    talks = talk(loop, node, log, station) if station.gossip and talk else None
    if holder:
        holder.begin(opens)
    else:
        opens()
    loop.run()
    if holder:
        holder.close()
    if talks:
        talks.close()
    bell.close()


def listen_with_retry(at: Callable[[Address], None], address: Address) -> None:
    """Raises ConfigError where the address cannot be had in time."""
    until = time.monotonic() + BIND_FOR
    while True:
        try:
            return at(address)
        except OSError as trouble:
            if trouble.errno != errno.EADDRINUSE or time.monotonic() > until:
                raise config.ConfigError(
                    f"cannot listen on {format_address(address)}: {trouble.strerror}"
                ) from None
            time.sleep(0.05)


def handle_signals(loop: Loop, node: Node, path: str | None) -> socket.socket:
    """What the node does on a signal, as long as the socket returned is kept."""

    def heard(told: bytes) -> None:
        if signal.SIGHUP in told:
            reload_config(node, path)
        if signal.SIGTERM in told or signal.SIGINT in told:
            node.begin_shutdown()

    return watch_signals(loop, (signal.SIGHUP, signal.SIGTERM, signal.SIGINT), heard)


def reload_config(node: Node, path: str | None) -> None:
    """A file that cannot be used, or is only half there, must not cost what is known."""
    try:
        node.apply_config(config.read(path, node.config, node.settings))
    except config.ConfigError as trouble:
        node.event_log("terms kept", why=str(trouble))
