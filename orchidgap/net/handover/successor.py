"""The process that comes after this one: it is told what this one knows, and gets connections."""

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
from orchidgap.net.handover.packet_channel import MAX_DESCRIPTORS
from orchidgap.net.handover.sibling import MIN_DESCRIPTORS, SiblingOwner, SiblingProcess
from orchidgap.net.traffic_counts import ConnectionEnd

HOSTS_IN_A_PACKET = 32
SPARE_DESCRIPTORS = 8  # beyond those held, for this process to go on


class SuccessorOwner(SiblingOwner, Protocol):
    """Who is told of the successor."""

    def notify_siblings(self) -> None:
        """Tell it what this process has in flight, from now on again and again."""

    def on_successor_gone(self, why: str) -> None:
        """It failed, or ended before this process."""


class Successor(SiblingProcess):
    """The newer process, as this one sees it."""

    owner: SuccessorOwner

    def on_message(self, message: Message, raw: bytes, fds: list[int]) -> None:
        """What the successor tells."""
        match message:
            case Hello():
                self.on_hello(message)
            case Serving():
                self.on_serving()
            case Counts():
                self.apply_counts(message)
            case _:
                raise ValueError(f"not from a successor: {message!r}")

    def on_hello(self, hello: Hello) -> None:
        """Tell it everything. Raises ValueError where it is no process of this balancer, or writes
        otherwise.
        """
        node = self.node
        if hello != Hello(WIRE_FORMAT, node.config.name):
            raise ValueError(f"not of this balancer: {hello!r}")
        node.event_log(
            "successor found", reqs=len(node.exchanges), clients=len(node.clients.open_clients)
        )
        self.limit_own_descriptors()
        self.channel.send(DescriptorGrant(self.descriptors_left()))
        self.send_endpoints()
        self.send_snapshot()
        self.owner.notify_siblings()

    def on_serving(self) -> None:
        """Clients are its own from now on."""
        node = self.node
        node.lifecycle.set_successor_accepts(True)
        node.clients.leave_listener()
        node.event_log(
            "successor serving", reqs=len(node.exchanges), clients=len(node.clients.open_clients)
        )

    def send_endpoints(self) -> None:
        """The list of hosts, in parts that fit into packets."""
        endpoints = list(self.node.endpoints.values())
        for start in range(0, len(endpoints), HOSTS_IN_A_PACKET):
            part = endpoints[start : start + HOSTS_IN_A_PACKET]
            self.channel.send(
                EndpointChunk([[tuple(entry), tuple(place)] for entry, place in part])
            )

    def send_snapshot(self) -> None:
        """What the decisions know of hosts and tenants."""
        known: warm_snapshot.Snapshot = {"hosts": {}, "tenants": {}}
        if self.node.has_warm_state:
            known = warm_snapshot.export_snapshot(self.node.balancer)
        hosts = list(known["hosts"].items())
        for start in range(0, len(hosts), HOSTS_IN_A_PACKET):
            self.channel.send(HostSnapshots(dict(hosts[start : start + HOSTS_IN_A_PACKET])))
        self.channel.send(SnapshotEnd(known["tenants"]))

    # --- descriptors

    def limit_own_descriptors(self) -> None:
        """While a successor is there this process keeps what it holds, or half; the successor has
        the rest.
        """
        node = self.node
        total = node.config.descriptors
        half = 0 if node.lifecycle.migrates_connections else total // 2
        needed = node.descriptors_needed() + SPARE_DESCRIPTORS
        node.set_descriptor_limit(min(total - MIN_DESCRIPTORS, max(half, needed)))

    def descriptors_left(self) -> int:
        """How many the successor may hold."""
        return self.node.config.descriptors - self.node.descriptor_limit

    # --- connections, once this process leaves

    def hand_over_connections(self) -> None:
        """Whatever can go now, until the channel takes no more."""
        if self.hand_over_clients() and self.hand_over_idle_connections():
            self.hand_over_requests()

    def hand_over_clients(self) -> bool:
        """Connections of clients on which no request is; returns whether all were sent."""
        clients = self.node.clients.transferable()
        for start in range(0, len(clients), MAX_DESCRIPTORS):
            group = clients[start : start + MAX_DESCRIPTORS]
            sockets = [client.conn.sock for client in group]
            if not self.channel.send_with_sockets(IdleClients(), sockets):
                return False
            for client in group:
                client.close(ConnectionEnd.MIGRATED)
        return True

    def hand_over_idle_connections(self) -> bool:
        """Idle connections to hosts; returns whether all were sent."""
        connections = self.node.pools.transferable()
        for start in range(0, len(connections), MAX_DESCRIPTORS):
            group = connections[start : start + MAX_DESCRIPTORS]
            message = IdleConnections([connection.tag for connection in group])
            sockets = [connection.sock for connection in group]
            if not self.channel.send_with_sockets(message, sockets):
                return False
            for connection in group:
                connection.close()
        return True

    def hand_over_requests(self) -> None:
        """Requests under way that can go on elsewhere."""
        for request in self.node.migrating_requests():
            message = MigratedRequest(request.words)
            if not self.channel.send_with_sockets(message, request.sockets, request.raw):
                return
            request.detach()

    def on_end(self, why: str) -> None:
        """It failed, or ended before this process."""
        self.owner.on_successor_gone(why)
