"""The accept queue on the virtual clock: what clients in the queue see when a node ends."""

import pytest
from backlog_harness import count_outcomes
from balancer_harness import SETTINGS
from node_harness import EventRecorder, NodeHarness

from orchidgap.decisions.lifecycle import SHUTDOWN_ACCEPT_US
from orchidgap.decisions.settings import ServiceSettings
from orchidgap.http1.protocol import Http1
from orchidgap.net.config import BalancerConfig
from orchidgap.net.connection import Connection
from orchidgap.net.endpoints import decode_list
from orchidgap.net.node import Node
from orchidgap.simulation.balancer_loop import BalancerLoop
from orchidgap.simulation.listening_queue import ListenerHandle, SharedListener
from orchidgap.simulation.virtual_network import VirtualNetwork

ADDRESS = ("127.1.0.1", 7070)
HOST = ("127.0.0.1", 100)
FEW_DESCRIPTORS = 64
MORE_CLIENTS_THAN_LIMIT = 100
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nv"


class RecordingPeer:
    """One end of a connection; it sends `answer` whenever it receives bytes."""

    def __init__(self, network, sock, answer=b""):
        self.text, self.end, self.answer = "", "", answer
        self.conn = Connection(network.loop, sock, self)

    def on_connected(self): ...

    def on_data(self, view):
        self.text += bytes(view).decode()
        if self.answer:
            self.conn.send(self.answer)

    def on_closed(self, reason):
        self.end = reason

    def result(self):
        return self.text.split()[1] if self.text else self.end or "no end"


def serving_node(network):
    """Return a node that serves at ADDRESS, and its loop; its only host answers all requests."""
    network.listen(HOST, lambda sock, who: RecordingPeer(network, sock, ANSWER))
    log = EventRecorder()
    loop = BalancerLoop(network.loop, log.exception)
    hosts = {"seq": 7, "whole": True, "hosts": [NodeHarness.host_entry(0)]}
    settings = ServiceSettings.from_pairs(SETTINGS)
    config = BalancerConfig(
        "n0",
        ADDRESS,
        ("127.0.0.1", 8500),
        7,
        FEW_DESCRIPTORS,
        192,
        decode_list(hosts),
        settings,
        100_000,
        30_000_000,
    )
    node = Node(loop, config, log, Http1(), lambda to: network.dial_from(loop, "n0", to))
    listener = network.listeners[ADDRESS] = SharedListener(network.loop)
    node.clients.use_listening_socket(ListenerHandle(listener))
    loop.call_soon(node.start)
    run(network, 1_100_000)
    assert node.is_ready()
    return node, loop


def run(network, duration_us):
    network.loop.run_until(network.loop.time + duration_us)


def dial_with_request(network, number):
    client = RecordingPeer(network, network.dial(ADDRESS))
    client.conn.send(
        b"GET /read/k HTTP/1.1\r\nRequest-Id: r%d\r\nTenant: small\r\nRequest-Timeout: 2\r\n\r\n"
        % number
    )
    return client


@pytest.mark.parametrize("client_count", [20, MORE_CLIENTS_THAN_LIMIT])
def test_a_shutdown_does_not_reset_queued_connections(client_count):
    """Clients wait when the listener is closed, more than the descriptors allow or fewer. Each
    request is answered.
    """
    network = VirtualNetwork()
    node, loop = serving_node(network)
    loop.call_soon(node.begin_shutdown)
    run(network, SHUTDOWN_ACCEPT_US - 1)
    clients = [dial_with_request(network, number) for number in range(client_count)]
    run(network, 5_000_000)
    results = [client.result() for client in clients]
    assert set(results) <= {"200", "503"}, count_outcomes(results)


def test_a_kill_resets_queued_connections():
    """A node is killed with requests in its accept queue. Each client sees a reset."""
    network = VirtualNetwork()
    _, loop = serving_node(network)
    clients = [dial_with_request(network, number) for number in range(5)]
    loop.kill()
    network.unlisten(ADDRESS)
    run(network, 1_000)
    assert count_outcomes([client.result() for client in clients]) == {
        "Connection reset by peer": 5
    }


def test_the_close_of_one_handle_of_two_resets_nobody():
    """Two processes share the listener, and one closes its handle. Queued connections remain for
    the other.
    """
    network = VirtualNetwork()
    shared = network.listeners[ADDRESS] = SharedListener(network.loop)
    first, second = ListenerHandle(shared), ListenerHandle(shared)
    client = dial_with_request(network, 1)
    first.close()
    run(network, 1_000)
    assert client.result() == "no end"
    sock, _ = second.accept()
    assert sock.recv(1 << 16).startswith(b"GET /read/k")
    sock.close()
