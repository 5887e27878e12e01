"""The process that served before this one: its knowledge and its connections come here."""

from __future__ import annotations

import os
import socket
from typing import Any, Protocol

from orchidgap.decisions import warm_snapshot
from orchidgap.net.endpoints import Endpoint, EndpointEntry
from orchidgap.net.handover.messages import (
    Counts,
    DescriptorGrant,
    EndpointChunk,
    HostSnapshots,
    IdleClients,
    IdleConnections,
    Message,
    MigratedRequest,
    SnapshotEnd,
    endpoints_of,
)
from orchidgap.net.handover.ports import HandoverNode
from orchidgap.net.handover.sibling import MIN_DESCRIPTORS, SiblingOwner, SiblingProcess
from orchidgap.net.loop import Loop


class PredecessorOwner(SiblingOwner, Protocol):
    """Who waits for what the predecessor knows."""

    awaiting_snapshot: bool

    def end_snapshot_wait(self) -> None:
        """The snapshot was restored."""

    def on_predecessor_gone(self, why: str) -> None:
        """It has ended, or the channel to it has."""


class Predecessor(SiblingProcess):
    """The older process, as this one sees it."""

    owner: PredecessorOwner

    def __init__(
        self, loop: Loop, node: HandoverNode, sock: socket.socket, owner: PredecessorOwner
    ) -> None:
        """Speak with the older process on a socket of packets."""
        self.loop = loop
        self.endpoints: dict[str, tuple[EndpointEntry, Endpoint]] = {}  # while the list is told
        self.host_snapshots: dict[str, Any] = {}  # while they are told
        super().__init__(loop, node, sock, owner)

    def on_message(self, message: Message, raw: bytes, fds: list[int]) -> None:
        """Whatever the predecessor tells or hands over."""
        match message:
            case DescriptorGrant(descriptors):
                most = self.node.config.descriptors
                self.node.set_descriptor_limit(max(MIN_DESCRIPTORS, min(int(descriptors), most)))
            case EndpointChunk():
                self.endpoints.update(endpoints_of(message))
            case HostSnapshots(hosts):
                self.host_snapshots.update(hosts)
            case SnapshotEnd(tenants):
                if self.owner.awaiting_snapshot:
                    self.restore_snapshot(tenants)
            case Counts():
                self.apply_counts(message)
            case _:
                self.accept_connections(message, raw, fds)

    def accept_connections(self, message: Message, raw: bytes, fds: list[int]) -> None:
        """Connections that are handed over. The channel closes its descriptors, so each is
        duplicated.
        """
        match message:
            case IdleClients():
                for fd in fds:
                    self.node.clients.adopt_connection(duplicate(fd))
            case IdleConnections(tags):
                for fd, tag in zip(fds, tags):
                    self.node.pools.adopt_connection(tag, duplicate(fd))
            case MigratedRequest(words):
                self.node.accept_migrated(words, raw, [duplicate(fd) for fd in fds])
            case _:
                raise ValueError(f"not from a predecessor: {message!r}")

    def restore_snapshot(self, tenants: Any) -> None:
        """All is told: the list, which is newer than what this process was started with, and the
        rest.
        """
        if self.endpoints:
            entries, found = zip(*self.endpoints.values())
            self.node.on_list(True, list(entries), list(found))
        restored = 0
        if self.node.has_warm_state:
            self.node.balancer.now = self.loop.now
            snapshot = {"hosts": self.host_snapshots, "tenants": tenants}
            restored = warm_snapshot.restore_snapshot(self.node.balancer, snapshot)
        self.endpoints = {}
        self.host_snapshots = {}
        self.node.event_log("snapshot restored", hosts=restored)
        self.owner.end_snapshot_wait()

    def on_end(self, why: str) -> None:
        """It has ended, or the channel to it has."""
        self.owner.on_predecessor_gone(why)


def duplicate(fd: int) -> socket.socket:
    """A socket on a descriptor of its own."""
    return socket.socket(fileno=os.dup(fd))
