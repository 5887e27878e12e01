"""This process's side of a handover: who else is there, what they are told, and how they part."""

from __future__ import annotations

import socket

from orchidgap.net.handover.messages import WIRE_FORMAT, Hello, Serving
from orchidgap.net.handover.ports import HandoverNode
from orchidgap.net.handover.predecessor import Predecessor
from orchidgap.net.handover.rendezvous import Rendezvous
from orchidgap.net.handover.sibling import MIN_DESCRIPTORS, SiblingProcess, Snapshot
from orchidgap.net.handover.successor import Successor
from orchidgap.net.loop import Loop

SNAPSHOT_TIMEOUT_US = (
    1_500_000  # for the predecessor to tell what it knows; then it is done without
)
NOTIFY_INTERVAL_US = 5_000


class Handover:
    """This process among those of its balancer."""

    def __init__(
        self, loop: Loop, node: HandoverNode, folder: str | None = None, shared: bool = False
    ) -> None:
        """`folder` is common to all processes of this balancer; `shared` where they share its
        listener.
        """
        self.loop = loop
        self.node = node
        self.shared = shared
        self.predecessor: Predecessor | None = None
        self.successor: Successor | None = None
        self.active = False  # there is another process
        self.awaiting_snapshot = False  # of the predecessor
        self.rendezvous = Rendezvous(loop, folder, node.config.name)

    # --- how they find each other

    def find_predecessor(self) -> None:
        """Look for a process that serves already. Where one could not be seen, each has to do with
        half of the descriptors.
        """
        if not self.shared:
            return
        if not self.rendezvous.has_folder():
            half = self.node.config.descriptors // 2
            self.node.event_log(
                "handover unavailable", why="no folder that both see", descriptors=half
            )
            self.node.set_descriptor_limit(half)
            return
        sock = self.rendezvous.connect()
        if sock:
            self.join_predecessor(sock)

    def join_predecessor(self, sock: socket.socket) -> None:
        """There is one: it accepts clients until this process can."""
        self.predecessor = Predecessor(self.loop, self.node, sock, self)
        self.active = True
        self.awaiting_snapshot = True
        self.node.clients.leave_listener()
        self.node.set_descriptor_limit(MIN_DESCRIPTORS)
        self.predecessor.channel.send(Hello(WIRE_FORMAT, self.node.config.name))
        self.loop.call_later(SNAPSHOT_TIMEOUT_US, self.end_snapshot_wait)
        self.notify_siblings()

    def announce_serving(self) -> None:
        """From now on clients come here, and a newer process finds this one."""
        self.node.clients.return_to_listener()
        if self.predecessor:
            self.predecessor.channel.send(Serving())
        if self.rendezvous.path and self.shared and not self.rendezvous.listener:
            try:
                self.rendezvous.listen(self.accept_successor)
            except OSError as error:
                why = f"{self.rendezvous.path}: {error.strerror}"
                self.node.event_log("handover unavailable", why=why)

    def accept_successor(self, sock: socket.socket) -> None:
        """A newer process is there. Should there have been one before, that one has failed."""
        if self.successor:
            self.successor.channel.fail("another came")
        self.successor = Successor(self.loop, self.node, sock, self)
        self.active = True

    # --- what each keeps telling

    def siblings(self) -> list[SiblingProcess]:
        """The other processes of this balancer, the older first."""
        return [sibling for sibling in (self.predecessor, self.successor) if sibling]

    def is_request_open(self, request_id: bytes) -> bool:
        """Whether a request of this id is open in another process."""
        name = request_id.decode("latin-1")
        return any(name in sibling.open_request_ids for sibling in self.siblings())

    def notify_siblings(self) -> None:
        """Tell the others what is in flight here, again and again while there are others."""
        if not self.siblings():
            return
        now = self.take_snapshot()
        if self.successor:
            self.successor.limit_own_descriptors()
        if self.predecessor:
            self.predecessor.notify(now, 0)
        if self.successor:
            self.successor.notify(now, self.successor.descriptors_left())
        if self.successor and self.node.lifecycle.migrates_connections:
            self.successor.hand_over_connections()
        self.loop.call_later(NOTIFY_INTERVAL_US, self.notify_siblings)

    def take_snapshot(self) -> Snapshot:
        """What this process has in flight."""
        request_ids = {request_id.decode("latin-1") for request_id in self.node.open_request_ids}
        hosts = self.node.balancer.hosts.values()
        return Snapshot(request_ids, {host.id: host.in_flight for host in hosts if host.in_flight})

    def on_counts_changed(self) -> None:
        """What other processes have in flight at a host counts there too."""
        in_flight: dict[str, int] = {}
        for sibling in self.siblings():
            for host, count in sibling.in_flight.items():
                in_flight[host] = in_flight.get(host, 0) + count
        self.node.call_decisions(self.node.balancer.on_sibling_in_flight, in_flight)

    # --- how they part

    def end_snapshot_wait(self) -> None:
        """The predecessor has told what it knows, or has had its time."""
        if self.awaiting_snapshot:
            self.awaiting_snapshot = False
            self.node.check_ready()

    def on_predecessor_gone(self, why: str) -> None:
        """It ended: this process goes on by itself."""
        open_requests = len(self.predecessor.open_request_ids) if self.predecessor else 0
        self.node.event_log("predecessor gone", why=why, reqs=open_requests)
        self.predecessor = None
        was_waiting = self.awaiting_snapshot
        self.awaiting_snapshot = False
        self.on_sibling_gone()
        self.node.clients.return_to_listener()
        if was_waiting:
            self.node.check_ready()

    def on_successor_gone(self, why: str) -> None:
        """It failed, or ended before this process: all is as before it came."""
        self.node.event_log("successor gone", why=why)
        self.successor = None
        self.node.lifecycle.set_successor_accepts(False)
        self.on_sibling_gone()
        self.node.clients.return_to_listener()

    def on_sibling_gone(self) -> None:
        """One process fewer: the last one has all descriptors."""
        self.active = bool(self.siblings())
        if not self.active:
            self.node.set_descriptor_limit(self.node.config.descriptors)
        self.on_counts_changed()

    def close(self) -> None:
        """This process ends."""
        for sibling in self.siblings():
            sibling.channel.close()
        self.rendezvous.close(keep_file=self.successor is not None)
