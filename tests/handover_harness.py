"""An old and a new process of one balancer on one clock, or one of them with the test as peer."""

import socket

import orjson
from node_harness import NodeHarness

from orchidgap.net.handover.coordinator import Handover

READINESS_REQUEST = b"GET /up HTTP/1.1\r\nConnection: close\r\n\r\n"


def listener():
    """Returns a listening socket like that of `inherited_listener`."""
    sock = socket.create_server(("127.0.0.1", 0), backlog=64)
    sock.setblocking(False)
    return sock


def turn(nets):
    for net in nets:
        net.turn(6)


def inheriting_process(caches, start=True, **settings):
    """Returns a process with an inherited listener, as the old or the new one of a handover."""
    net = NodeHarness(caches, start=start, **settings)
    net.node.clients.use_listening_socket(listener())
    net.node.handover = Handover(net.loop, net.node, None, shared=True)
    return net


def single_process(caches, start=True):
    """Returns one process of a handover, and two connected sockets.

    The test passes one socket to the process, and uses the other one as its peer.
    """
    return inheriting_process(caches, start), *socket.socketpair(
        socket.AF_UNIX, socket.SOCK_SEQPACKET
    )


def send_snapshot(sock, endpoints):
    """Sends the host list and the end of the snapshot, as the old process does.

    `endpoints`: pairs of an `EndpointEntry` and an `Endpoint`.
    """
    rows = [[tuple(entry), tuple(endpoint)] for entry, endpoint in endpoints]
    for message in (["room", 512], ["list", rows], ["estate", {}], ["all", {}]):
        sock.send(orjson.dumps(message))


class ProcessPair:
    """An old and a new process of one balancer on one clock, connected by a channel."""

    def __init__(self, caches=3, serves=True, **settings):
        self.old, self.new = (
            inheriting_process(caches, **settings),
            inheriting_process(caches, start=False, **settings),
        )
        self.new.dial = self.old.dial  # both use the same hosts
        self.new.node.pools.dial_address = self.new.node.discovery.dialer = self.old.dial
        self.initial_hosts = {host.id: host for host in self.old.node.balancer.hosts.values()}
        old_end, new_end = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        self.prepare()
        self.old.node.handover.accept_successor(old_end)
        self.new.node.handover.join_predecessor(new_end)
        self.new.node.start()
        if serves:
            self.advance(0)

    def prepare(self):
        """Changes the state of the old process before the handover; overridden by tests."""

    def turn(self, turns=3):
        for _ in range(turns):
            self.old.turn(2)
            self.new.turn(2)

    def advance(self, duration_us):
        for _ in range(0, duration_us, 5_000):
            for net in (self.old, self.new):
                net.advance(5_000)
        self.turn()

    def end(self):
        for net in (self.old, self.new):
            for sibling in net.node.handover.siblings():
                sibling.channel.close()
            if net.node.clients.listening_socket:
                net.node.clients.listening_socket.close()
