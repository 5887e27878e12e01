"""The other process of this balancer, as this one sees it: what each has told the other."""

from __future__ import annotations

import socket
from typing import NamedTuple, Protocol

from orchidgap.net.handover.messages import Counts, DescriptorGrant, Message
from orchidgap.net.handover.packet_channel import PacketChannel
from orchidgap.net.handover.ports import HandoverNode
from orchidgap.net.loop import Loop

MIN_DESCRIPTORS = 64  # that a successor is left in any case


class Snapshot(NamedTuple):
    """What this process has in flight at one moment."""

    request_ids: set[str]
    in_flight: dict[str, int]  # attempts by host


class SiblingOwner(Protocol):
    """Who brings the two processes together."""

    def on_counts_changed(self) -> None:
        """The other process has other attempts in flight."""


class SiblingProcess:
    """A process of this balancer beside this one."""

    def __init__(
        self, loop: Loop, node: HandoverNode, sock: socket.socket, owner: SiblingOwner
    ) -> None:
        """Speak on a socket of packets."""
        self.node = node
        self.owner = owner
        self.open_request_ids: set[str] = set()  # as it has told
        self.in_flight: dict[str, int] = {}  # the same, attempts by host
        self.notified = Snapshot(set(), {})  # what it was told last
        self.granted = 0  # the descriptors that it was told to have
        self.channel = PacketChannel(loop, sock, self.on_message, self.on_end)

    def on_message(self, message: Message, raw: bytes, fds: list[int]) -> None:
        """A message came. Raises ValueError and the like where it makes no sense."""
        raise NotImplementedError

    def on_end(self, why: str) -> None:
        """The other process has gone, or speaks no sense."""
        raise NotImplementedError

    def apply_counts(self, counts: Counts) -> None:
        """Take over what it tells of itself. Raises ValueError, TypeError or AttributeError."""
        self.open_request_ids.update(counts.opened)
        self.open_request_ids.difference_update(counts.closed)
        if counts.in_flight != self.in_flight:
            self.in_flight = {str(host): int(count) for host, count in counts.in_flight.items()}
            self.owner.on_counts_changed()

    def notify(self, now: Snapshot, descriptors: int) -> None:
        """Tell it what has changed here, and how many descriptors it may hold."""
        if now == self.notified and descriptors == self.granted:
            return
        if descriptors != self.granted:
            self.channel.send(DescriptorGrant(descriptors))
        opened = sorted(now.request_ids - self.notified.request_ids)
        closed = sorted(self.notified.request_ids - now.request_ids)
        self.channel.send(Counts(opened, closed, now.in_flight))
        self.notified = now
        self.granted = descriptors
