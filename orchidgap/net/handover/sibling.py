"""The other process of this balancer: the counts that each has sent to the other."""

from __future__ import annotations

import socket
from typing import NamedTuple, Protocol

from orchidgap.net.handover.messages import Counts, DescriptorGrant, Message
from orchidgap.net.handover.packet_channel import PacketChannel
from orchidgap.net.handover.ports import HandoverNode
from orchidgap.net.loop import Loop

MIN_DESCRIPTORS = 64  # always left to the successor


class Snapshot(NamedTuple):
    """The open requests and the attempts in flight of this process at one moment."""

    request_ids: set[str]
    in_flight: dict[str, int]  # attempts by host id


class SiblingOwner(Protocol):
    """The owner of a `SiblingProcess`."""

    def on_counts_changed(self) -> None:
        """Handle a change of the attempts that the other process has in flight."""


class SiblingProcess:
    """Another process of this balancer.

    Attributes:
        node: The node of this process.
        owner: Notified of changes and of the end of the channel.
        open_request_ids: Ids of the other process's open requests, as last received.
        in_flight: The other process's attempts in flight by host id, as last received.
        last_sent: The snapshot of this process that was sent last.
        granted_descriptors: How many descriptors the other process was last allowed to use.
        channel: The connection to the other process.
    """

    def __init__(
        self, loop: Loop, node: HandoverNode, sock: socket.socket, owner: SiblingOwner
    ) -> None:
        """Communicate over a packet socket."""
        self.node = node
        self.owner = owner
        self.open_request_ids: set[str] = set()
        self.in_flight: dict[str, int] = {}
        self.last_sent = Snapshot(set(), {})
        self.granted_descriptors = 0
        self.channel = PacketChannel(loop, sock, self.on_message, self.on_end)

    def on_message(self, message: Message, raw: bytes, fds: list[int]) -> None:
        """Handle a message.

        Raises ValueError, TypeError, LookupError or AttributeError for an invalid one.
        """
        raise NotImplementedError

    def on_end(self, why: str) -> None:
        """Handle the end of the channel: the other process ended, or sent an invalid message."""
        raise NotImplementedError

    def apply_counts(self, counts: Counts) -> None:
        """Apply the counts of the other process. Raises ValueError, TypeError or AttributeError."""
        self.open_request_ids.update(counts.opened)
        self.open_request_ids.difference_update(counts.closed)
        if counts.in_flight != self.in_flight:
            self.in_flight = {str(host): int(count) for host, count in counts.in_flight.items()}
            self.owner.on_counts_changed()

    def notify(self, snapshot: Snapshot, descriptors: int) -> None:
        """Send the changes since the last call, and how many descriptors the process may use."""
        if snapshot == self.last_sent and descriptors == self.granted_descriptors:
            return
        if descriptors != self.granted_descriptors:
            self.channel.send(DescriptorGrant(descriptors))
        opened = sorted(snapshot.request_ids - self.last_sent.request_ids)
        closed = sorted(self.last_sent.request_ids - snapshot.request_ids)
        self.channel.send(Counts(opened, closed, snapshot.in_flight))
        self.last_sent = snapshot
        self.granted_descriptors = descriptors
