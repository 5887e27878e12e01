"""The process that replaces this one, and receives its state and its connections."""

from __future__ import annotations

from typing import Protocol

from orchidgap.decisions import warm_snapshot
from orchidgap.net.handover.messages import (
    WIRE_FORMAT,
    Counts,
    DescriptorGrant,
    EndpointChunk,
    Hello,
    HostSnapshots,
    IdleClients,
    IdleConnections,
    Message,
    MigratedRequest,
    Serving,
    SnapshotEnd,
)
from orchidgap.net.handover.packet_channel import MAX_DESCRIPTORS_PER_PACKET
from orchidgap.net.handover.sibling import MIN_DESCRIPTORS, SiblingOwner, SiblingProcess
from orchidgap.net.traffic_counts import ConnectionEnd

HOSTS_PER_PACKET = 32
SPARE_DESCRIPTORS = 8  # beyond those in use, so that this process can continue


class SuccessorOwner(SiblingOwner, Protocol):
    """The owner of a `Successor`."""

    def notify_siblings(self) -> None:
        """Start to send what this process has in flight, repeatedly."""

    def on_successor_disconnect(self, why: str) -> None:
        """Handle a successor that failed, or ended before this process."""


class Successor(SiblingProcess):
    """The channel to the newer process."""

    owner: SuccessorOwner

    def on_message(self, message: Message, raw: bytes, fds: list[int]) -> None:
        """Handle a message from the successor."""
        match message:
            case Hello():
                self.on_hello(message)
            case Serving():
                self.on_serving()
            case Counts():
                self.apply_counts(message)
            case _:
                raise ValueError(f"unexpected message from a successor: {message!r}")

    def on_hello(self, hello: Hello) -> None:
        """Send the successor the state of this process.

        Raises ValueError where it is a process of another balancer, or uses another wire format.
        """
        node = self.node
        if hello != Hello(WIRE_FORMAT, node.config.name):
            raise ValueError(f"other balancer or wire format: {hello!r}")
        node.event_log(
            "successor found", reqs=len(node.exchanges), clients=len(node.clients.open_clients)
        )
        self.limit_own_descriptors()
        self.channel.send(DescriptorGrant(self.remaining_descriptors()))
        self.send_endpoints()
        self.send_snapshot()
        self.owner.notify_siblings()

    def on_serving(self) -> None:
        """Stop accepting clients: the successor accepts them from now on."""
        node = self.node
        node.lifecycle.set_successor_accepts(True)
        node.clients.leave_listener()
        node.event_log(
            "successor serving", reqs=len(node.exchanges), clients=len(node.clients.open_clients)
        )

    def send_endpoints(self) -> None:
        """Send the host list, in parts that fit into packets."""
        endpoints = self.node.export_list()
        for start in range(0, len(endpoints), HOSTS_PER_PACKET):
            part = endpoints[start : start + HOSTS_PER_PACKET]
            self.channel.send(
                EndpointChunk([[tuple(entry), tuple(endpoint)] for entry, endpoint in part])
            )

    def send_snapshot(self) -> None:
        """Send the decisions' snapshot of hosts and tenants."""
        snapshot: warm_snapshot.Snapshot = {"hosts": {}, "tenants": {}}
        if self.node.has_warm_state:
            snapshot = warm_snapshot.export_snapshot(self.node.balancer)
        hosts = list(snapshot["hosts"].items())
        for start in range(0, len(hosts), HOSTS_PER_PACKET):
            self.channel.send(HostSnapshots(dict(hosts[start : start + HOSTS_PER_PACKET])))
        self.channel.send(SnapshotEnd(snapshot["tenants"]))

    # --- descriptors

    def limit_own_descriptors(self) -> None:
        """Limit the descriptors of this process while there is a successor.

        This process may use half of the descriptors, or as many as it needs if that is more. Once
        it migrates its connections, only the latter counts. The successor may use the rest.
        """
        node = self.node
        total = node.config.descriptors
        half = 0 if node.lifecycle.migrates_connections else total // 2
        needed = node.descriptors_needed() + SPARE_DESCRIPTORS
        node.set_descriptor_limit(min(total - MIN_DESCRIPTORS, max(half, needed)))

    def remaining_descriptors(self) -> int:
        """How many descriptors the successor may use."""
        return self.node.config.descriptors - self.node.descriptor_limit

    # --- connections, once this process shuts down

    def hand_over_connections(self) -> None:
        """Hand over all connections that can be migrated now, until the channel is full."""
        if self.hand_over_clients() and self.hand_over_idle_connections():
            self.hand_over_requests()

    def hand_over_clients(self) -> bool:
        """Send client connections without a request, and return whether all were sent."""
        clients = self.node.clients.transferable()
        for start in range(0, len(clients), MAX_DESCRIPTORS_PER_PACKET):
            group = clients[start : start + MAX_DESCRIPTORS_PER_PACKET]
            sockets = [client.conn.sock for client in group]
            if not self.channel.send_with_sockets(IdleClients(), sockets):
                return False
            for client in group:
                client.close(ConnectionEnd.MIGRATED)
        return True

    def hand_over_idle_connections(self) -> bool:
        """Send idle connections to hosts, and return whether all were sent."""
        connections = self.node.pools.transferable()
        for start in range(0, len(connections), MAX_DESCRIPTORS_PER_PACKET):
            group = connections[start : start + MAX_DESCRIPTORS_PER_PACKET]
            message = IdleConnections([connection.tag for connection in group])
            sockets = [connection.sock for connection in group]
            if not self.channel.send_with_sockets(message, sockets):
                return False
            for connection in group:
                connection.close()
        return True

    def hand_over_requests(self) -> None:
        """Send the requests in progress that the successor can continue."""
        for request in self.node.migrating_requests():
            message = MigratedRequest(request.items)
            if not self.channel.send_with_sockets(message, request.sockets, request.raw):
                return
            request.detach()

    def on_end(self, why: str) -> None:
        """Notify the owner that the successor failed, or ended before this process."""
        self.owner.on_successor_disconnect(why)
