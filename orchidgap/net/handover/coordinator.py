"""This process's side of a handover: finding the other processes, updating them, and the end."""

from __future__ import annotations

import socket

from orchidgap.net.handover.messages import WIRE_FORMAT, Hello, Serving
from orchidgap.net.handover.ports import HandoverNode
from orchidgap.net.handover.predecessor import Predecessor
from orchidgap.net.handover.rendezvous import Rendezvous
from orchidgap.net.handover.sibling import MIN_DESCRIPTORS, InFlightState, SiblingProcess
from orchidgap.net.handover.successor import Successor
from orchidgap.net.loop import Loop
from orchidgap.net.sent_request_ids import id_text

SNAPSHOT_TIMEOUT_US = 1_500_000  # after which this process serves without a snapshot
NOTIFY_INTERVAL_US = 5_000


class Handover:
    """Coordinates this process with the other processes of its balancer.

    Attributes:
        loop: The event loop.
        node: The node of this process.
        shared: Whether this process shares its listener with the other processes.
        predecessor: The older process, None where there is none.
        successor: The newer process, None where there is none.
        active: Whether there is another process.
        awaiting_snapshot: Whether the predecessor's snapshot is still due.
        rendezvous: The socket by which newer processes find this one.
    """

    def __init__(
        self, loop: Loop, node: HandoverNode, folder: str | None = None, shared: bool = False
    ) -> None:
        """Start without another process.

        `folder` is common to all processes of this balancer; `shared` says whether they share its
        listener.
        """
        self.loop = loop
        self.node = node
        self.shared = shared
        self.predecessor: Predecessor | None = None
        self.successor: Successor | None = None
        self.active = False
        self.awaiting_snapshot = False
        self.rendezvous = Rendezvous(loop, folder, node.config.name)

    # --- discovery of the other process

    def find_predecessor(self) -> None:
        """Look for a process that already serves.

        Without a common folder the processes cannot find each other, so each limits itself to half
        of the descriptors.
        """
        if not self.shared:
            return
        if not self.rendezvous.has_folder():
            half = self.node.config.descriptors // 2
            self.node.event_log(
                "handover unavailable", why="no folder common to both processes", descriptors=half
            )
            self.node.set_descriptor_limit(half)
            return
        sock = self.rendezvous.connect()
        if sock:
            self.join_predecessor(sock)

    def join_predecessor(self, sock: socket.socket) -> None:
        """Connect to a predecessor, which accepts clients until this process is ready."""
        self.predecessor = Predecessor(self.loop, self.node, sock, self)
        self.active = True
        self.awaiting_snapshot = True
        self.node.clients.leave_listener()
        self.node.set_descriptor_limit(MIN_DESCRIPTORS)
        self.predecessor.channel.send(Hello(WIRE_FORMAT, self.node.config.name))
        self.loop.call_later(SNAPSHOT_TIMEOUT_US, self.end_snapshot_wait)
        self.notify_siblings()

    def announce_serving(self) -> None:
        """Accept clients from now on, and let newer processes find this one."""
        self.node.clients.return_to_listener()
        if self.predecessor:
            self.predecessor.channel.send(Serving())
        if self.rendezvous.path and self.shared and not self.rendezvous.listener:
            try:
                self.rendezvous.listen(self.accept_successor)
            except OSError as error:
                why = f"{self.rendezvous.path}: {error.strerror}"
                self.node.event_log("handover unavailable", why=why)

    def leads_to_older_process(self, host: str) -> bool:
        """Whether a predecessor's connection to a host may lead to an older process of that."""
        return self.predecessor is not None and self.predecessor.knows_older_process(host)

    def accept_successor(self, sock: socket.socket) -> None:
        """Accept a connection from a newer process. An earlier successor counts as failed."""
        if self.successor:
            self.successor.channel.fail("replaced by another successor")
        self.successor = Successor(self.loop, self.node, sock, self)
        self.active = True

    # --- updates between the processes

    def siblings(self) -> list[SiblingProcess]:
        """The other processes of this balancer, the older one first."""
        return [sibling for sibling in (self.predecessor, self.successor) if sibling]

    def is_request_open(self, request_id: bytes) -> bool:
        """Whether a request with this id is open in another process."""
        name = id_text(request_id)
        return any(name in sibling.open_request_ids for sibling in self.siblings())

    def notify_siblings(self) -> None:
        """Send the other processes what is in flight here; repeats itself while there are any."""
        if not self.siblings():
            return
        state = self.in_flight_state()
        if self.successor:
            self.successor.limit_own_descriptors()
        if self.predecessor:
            self.predecessor.notify(state, 0)
        if self.successor:
            self.successor.notify(state, self.successor.remaining_descriptors())
        if self.successor and self.node.lifecycle.migrates_connections:
            self.successor.hand_over_connections()
        self.loop.call_later(NOTIFY_INTERVAL_US, self.notify_siblings)

    def in_flight_state(self) -> InFlightState:
        """Return the requests and attempts that this process has in flight.

        The requests include those that are over and must not be executed again.
        """
        request_ids = {id_text(request_id) for request_id in self.node.open_request_ids}
        request_ids.update(self.node.sent_request_ids.texts(self.loop.now))
        hosts = self.node.balancer.hosts.values()
        return InFlightState(
            request_ids, {host.id: host.in_flight for host in hosts if host.in_flight}
        )

    def on_counts_changed(self) -> None:
        """Pass on to the decisions how many attempts the other processes have at each host."""
        in_flight: dict[str, int] = {}
        for sibling in self.siblings():
            for host, count in sibling.in_flight.items():
                in_flight[host] = in_flight.get(host, 0) + count
        self.node.call_decisions(self.node.balancer.on_sibling_in_flight, in_flight)

    # --- the end of a handover

    def end_snapshot_wait(self) -> None:
        """Stop waiting: the predecessor's snapshot has arrived, or its timeout has expired."""
        if self.awaiting_snapshot:
            self.awaiting_snapshot = False
            self.node.check_ready()

    def on_predecessor_disconnect(self, why: str) -> None:
        """Continue without the predecessor: it, or the channel to it, has ended."""
        open_ids = self.predecessor.open_request_ids if self.predecessor else set()
        self.node.event_log("predecessor gone", why=why, reqs=len(open_ids))
        self.node.sent_request_ids.add_texts(open_ids, self.loop.now)
        self.predecessor = None
        was_waiting = self.awaiting_snapshot
        self.awaiting_snapshot = False
        self.on_sibling_disconnect()
        self.node.clients.return_to_listener()
        if was_waiting:
            self.node.check_ready()

    def on_successor_disconnect(self, why: str) -> None:
        """Restore the state before the handover: the successor failed, or ended first."""
        self.node.event_log("successor gone", why=why)
        if self.successor:
            self.node.sent_request_ids.add_texts(self.successor.open_request_ids, self.loop.now)
        self.successor = None
        self.node.lifecycle.set_successor_accepts(False)
        self.on_sibling_disconnect()
        self.node.clients.return_to_listener()

    def on_sibling_disconnect(self) -> None:
        """Account for one process fewer: the last one may use all descriptors."""
        self.active = bool(self.siblings())
        if not self.active:
            self.node.set_descriptor_limit(self.node.config.descriptors)
        self.on_counts_changed()

    def close(self) -> None:
        """Close all channels: this process ends."""
        for sibling in self.siblings():
            sibling.channel.close()
        self.rendezvous.close(keep_file=self.successor is not None)
