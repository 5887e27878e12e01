"""The other process of this balancer, and what each has reported to the other as in flight."""

from __future__ import annotations

import socket
from typing import NamedTuple, Protocol

from orchidgap.net.handover.messages import Counts, DescriptorGrant, Message
from orchidgap.net.handover.packet_channel import PacketChannel
from orchidgap.net.handover.ports import HandoverNode
from orchidgap.net.loop import Loop

MAX_IDS_PER_PACKET = 256  # of each kind, as the size of a packet is limited
MIN_DESCRIPTORS = 64  # descriptors that a successor may always use


class InFlightState(NamedTuple):
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
        last_sent: The state of this process that was sent last.
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
        self.last_sent = InFlightState(set(), {})
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

    def notify(self, state: InFlightState, descriptors: int) -> None:
        """Send the changes since the last call, and how many descriptors the process may use."""
        if state == self.last_sent and descriptors == self.granted_descriptors:
            return
        if descriptors != self.granted_descriptors:
            self.channel.send(DescriptorGrant(descriptors))
        opened = sorted(state.request_ids - self.last_sent.request_ids)
        closed = sorted(self.last_sent.request_ids - state.request_ids)
        while len(opened) + len(closed) > MAX_IDS_PER_PACKET:
            self.channel.send(
                Counts(opened[:MAX_IDS_PER_PACKET], closed[:MAX_IDS_PER_PACKET], state.in_flight)
            )
            opened = opened[MAX_IDS_PER_PACKET:]
            closed = closed[MAX_IDS_PER_PACKET:]
        self.channel.send(Counts(opened, closed, state.in_flight))
        self.last_sent = state
        self.granted_descriptors = descriptors
