"""The process that served before this one, which hands over its state and its connections."""

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
    """The owner of a `Predecessor`, which waits for its snapshot."""

    awaiting_snapshot: bool

    def end_snapshot_wait(self) -> None:
        """Handle the end of the snapshot, which has been restored."""

    def on_predecessor_disconnect(self, why: str) -> None:
        """Handle the end of the predecessor, or of the channel to it."""


class Predecessor(SiblingProcess):
    """The channel to the older process, and the parts of its snapshot received so far."""

    owner: PredecessorOwner

    def __init__(
        self, loop: Loop, node: HandoverNode, sock: socket.socket, owner: PredecessorOwner
    ) -> None:
        """Communicate with the older process over a packet socket."""
        self.loop = loop
        self.endpoints: dict[str, tuple[EndpointEntry, Endpoint]] = {}  # until the snapshot ends
        self.host_snapshots: dict[str, Any] = {}  # until the snapshot ends
        # starts of the hosts' processes, by host id, that its connections to hosts lead to
        self.started_at_us: dict[str, int] = {}
        super().__init__(loop, node, sock, owner)

    def on_message(self, message: Message, raw: bytes, fds: list[int]) -> None:
        """Handle a message from the predecessor."""
        match message:
            case DescriptorGrant(descriptors):
                total = self.node.config.descriptors
                self.node.set_descriptor_limit(max(MIN_DESCRIPTORS, min(int(descriptors), total)))
            case EndpointChunk():
                self.add_endpoints(endpoints_of(message))
            case HostSnapshots(hosts):
                self.host_snapshots.update(hosts)
            case SnapshotEnd(tenants):
                if self.owner.awaiting_snapshot:
                    self.restore_snapshot(tenants)
            case Counts():
                self.apply_counts(message)
            case _:
                self.accept_connections(message, raw, fds)

    def add_endpoints(self, endpoints: dict[str, tuple[EndpointEntry, Endpoint]]) -> None:
        """Add a part of its host list."""
        self.endpoints.update(endpoints)
        for host, (entry, _) in endpoints.items():
            self.started_at_us[host] = entry.started_at_us

    def knows_older_process(self, host: str) -> bool:
        """Whether a newer process of the host is listed here than was in its host list.

        The older one may still be ending at the same address, with connections that work.
        """
        listed = self.node.endpoints.get(host)
        started_at_us = self.started_at_us.get(host)
        if listed is None or started_at_us is None:
            return False
        return started_at_us < listed[0].started_at_us

    def accept_connections(self, message: Message, raw: bytes, fds: list[int]) -> None:
        """Adopt connections that are handed over.

        Each descriptor is duplicated, as the channel closes those that it received.
        """
        match message:
            case IdleClients():
                for fd in fds:
                    self.node.clients.adopt_connection(duplicate(fd))
            case IdleConnections(tags):
                pools = self.node.pools
                for fd, tag in zip(fds, tags):
                    if not self.knows_older_process(pools.host_of(tag)):
                        pools.adopt_connection(tag, duplicate(fd))
            case MigratedRequest(items):
                self.node.accept_migrated(items, raw, [duplicate(fd) for fd in fds])
            case _:
                raise ValueError(f"unexpected message from a predecessor: {message!r}")

    def restore_snapshot(self, tenants: Any) -> None:
        """Restore the complete snapshot.

        Its host list is newer than the one that this process was started with, but may be older
        than one that discovery has told this process since.
        """
        uses_list = False
        if self.endpoints:
            entries, endpoints = zip(*self.endpoints.values())
            uses_list = self.node.restore_list(list(entries), list(endpoints))
        restored = 0
        if self.node.has_warm_state:
            self.node.balancer.now = self.loop.now
            snapshot = {"hosts": self.host_snapshots, "tenants": tenants}
            restored = warm_snapshot.restore_snapshot(self.node.balancer, snapshot)
        self.endpoints = {}
        self.host_snapshots = {}
        self.node.event_log("snapshot restored", hosts=restored, uses_list=uses_list)
        self.owner.end_snapshot_wait()

    def on_end(self, why: str) -> None:
        """Notify the owner that the predecessor, or the channel to it, has ended."""
        self.owner.on_predecessor_disconnect(why)


def duplicate(fd: int) -> socket.socket:
    """Return a socket on a duplicate of the descriptor."""
    return socket.socket(fileno=os.dup(fd))
