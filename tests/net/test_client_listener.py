"""Admission, eviction and time limits of client connections."""

import errno
import socket

import pytest
from net_scenarios import REQUEST_HEAD
from node_harness import NodeHarness, received_text

from orchidgap.net.loop import READ


def test_an_answer_that_the_client_reads_slowly_arrives_complete():
    """A client reads its answer slowly while the balancer shuts down. Its connection is not idle,
    and it receives the complete answer.
    """
    net = NodeHarness(1)
    client = net.send_request("k")
    for one in net.node.clients.open_clients:
        one.conn.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    net.answer_from_host(net.host_socket(), body="v" * 60_000)
    assert not net.node.clients.close_unneeded(), (
        "the connection is not idle before the answer is read"
    )
    net.node.begin_shutdown()
    net.advance(401_000)
    parts = []
    while part := received_text(client):
        parts.append(part)
        net.turn(1)
    assert len(parts) > 1 and "".join(parts).endswith("\r\n\r\n" + "v" * 60_000) and part == ""


def test_a_client_that_does_not_read_is_disconnected():
    """A client sends a request and never reads the answer. Its connection is closed after ten
    seconds without progress.
    """
    net = NodeHarness(1)
    net.send_request("k")
    for one in net.node.clients.open_clients:
        one.conn.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    net.answer_from_host(net.host_socket(), body="v" * 60_000)
    net.advance(9_900_000)
    assert net.node.clients.open_clients
    net.advance(200_000)
    assert not net.node.clients.open_clients


def test_a_request_incomplete_after_three_seconds_ends_its_connection():
    """One client sends half a head, one nothing, one its first byte late. Each is answered 408 or
    closed within three seconds. A second request on a connection gets the full time again.
    """
    net = NodeHarness()
    half, silent, late, served = (
        net.client(b"GET /read/k HT"),
        net.client(),
        net.client(),
        net.send_request(),
    )
    net.answer_from_host(net.host_socket())
    assert received_text(served).startswith("HTTP/1.1 200")
    net.advance(2_000_000)
    net.send_and_turn(late, "G")
    assert received_text(half) is None and received_text(silent) is None
    net.advance(900_000)
    assert (
        received_text(half).startswith("HTTP/1.1 408")
        and received_text(late).startswith("HTTP/1.1 408")
        and received_text(silent) == ""
    )
    assert received_text(served) is None and len(net.node.clients.open_clients) <= 3
    net.send_and_turn(served, "GET /read")
    net.advance(2_000_000)
    assert received_text(served) is None, "its time starts again"
    net.advance(900_000)
    assert received_text(served).startswith("HTTP/1.1 408")


@pytest.mark.parametrize("text", [b"", b"PUT /mark/k HTTP/1.1\r\nContent-Length: 9\r\n\r\nhalf"])
def test_clients_without_a_request_are_evicted_for_clients_with_one(text):
    """Clients that send nothing, or half a request, occupy all places. After half a second they
    are evicted for clients that send a request.
    """
    net = NodeHarness(1, sockets=64)
    served = net.send_request("first")
    net.answer_from_host(net.host_socket())
    received_text(served)
    silent = [net.client(text) for _ in range(7)]
    net.advance(600_000)
    clients = net.node.clients
    assert len(clients.open_clients) == clients.max_clients == 8
    for i in range(7):
        net.client(REQUEST_HEAD.replace(b"Id: 1", b"Id: %d" % i) + b"\r\n")
    assert (
        [received_text(far) for far in silent] == [""] * 7
        and received_text(served) is None
        and len(net.node.exchanges) == 7
    )


def test_a_client_with_an_unread_request_is_not_evicted():
    """The client that was idle longest has just sent a request that the balancer has not read.
    Another client is evicted.
    """
    net = NodeHarness(1, sockets=64)
    first, second = net.send_request("k1"), net.send_request("k2")
    net.answer_all()
    assert received_text(first) and received_text(second)
    first.sendall(REQUEST_HEAD + b"\r\n")
    assert net.node.clients.close_unneeded() and received_text(second) == "", (
        "the one that was idle longest has sent a request"
    )
    net.turn()
    net.answer_all()
    assert received_text(first).startswith("HTTP/1.1 200")


def test_idle_connections_occupy_at_most_half_of_the_places():
    """Seven clients send one request each and keep their connections. Idle connections must not
    occupy more than half of the places.
    """
    net = NodeHarness(1, sockets=64)
    clients = [net.send_request(f"k{i}") for i in range(7)]
    assert [received_text(client) for client in clients] == [None] * 7, (
        "clients with a request are not evicted"
    )
    net.answer_all()
    assert all(received_text(client).startswith("HTTP/1.1 200") for client in clients)
    assert [received_text(client) for client in clients] == [""] * 3 + [None] * 4
    net.advance(30_000_000)
    assert received_text(clients[-1]) is None


def test_clients_that_read_a_last_answer_do_not_keep_others_out():
    """Sixty clients send malformed requests, get a last answer and do not close. A client with a
    valid request is still served.
    """
    net = NodeHarness(1, sockets=64)
    listener = net.node.clients.listening_socket = ScriptedListener([])
    net.loop.watch(listener, READ, net.node.clients.accept)
    for text, expected_start in [(b"nonsense\r\n\r\n", "HTTP/1.1 400")] * 60 + [
        (REQUEST_HEAD + b"\r\n", None)
    ]:
        near, far = socket.socketpair()
        net.open_sockets.append(far)  # it reads and does not close
        far.setblocking(False)
        far.sendall(text)
        listener.accepted.append(near)
        net.advance(10_000)
        assert (received_text(far) or "")[:12] == (expected_start or "")
        assert len(net.node.clients.open_clients) <= net.node.clients.max_clients + 16
    assert len(net.node.exchanges) == 1


class ScriptedListener:
    """Returns the scripted connections from `accept`; a scripted OSError is raised instead."""

    def __init__(self, accepted):
        self.accepted, self.calls = accepted, 0
        self.pair = socket.socketpair()
        self.pair[1].send(b"x")  # always readable

    def fileno(self):
        return self.pair[0].fileno()

    def accept(self):
        self.calls += 1
        if not self.accepted:
            raise BlockingIOError
        if isinstance(self.accepted[0], OSError):
            raise self.accepted.pop(0)
        return self.accepted.pop(0), None

    def close(self):
        self.pair[0].close()


def test_emfile_evicts_then_pauses_and_never_busy_loops():
    """The system has no descriptor left. Idle connections are evicted first, then the listener
    pauses; accepting again at once would busy-loop.
    """
    net = NodeHarness()
    idle = net.send_request("k")
    net.answer_from_host(net.host_socket())
    near, far = socket.socketpair()
    aborted = OSError(errno.ECONNABORTED, "")
    listener = net.node.clients.listening_socket = ScriptedListener(
        [aborted] + [OSError(errno.EMFILE, "")] * 3 + [near]
    )
    net.loop.watch(listener, READ, net.node.clients.accept)
    net.loop.run_once(0)
    assert received_text(idle).startswith("HTTP") and received_text(idle) == "", (
        "the idle client is evicted"
    )
    net.loop.run_once(0)
    assert net.node.pools.connection_count == 0, "then the idle connection to the host"
    net.loop.run_once(0)
    net.turn(20)
    assert listener.calls == 4, "the listener pauses when nothing is left to evict"
    net.advance(51_000)
    assert listener.calls > 4 and len(net.node.clients.open_clients) == 1 and far.fileno() > 0


def test_a_rejection_for_lack_of_capacity_carries_retry_after():
    """A rejection without Retry-After would make clients retry at once."""
    net = NodeHarness(1, sockets=64)
    for i in range(9):
        last = net.client(REQUEST_HEAD.replace(b"Id: 1", b"Id: %d" % i) + b"\r\n")
    assert "Retry-After: 1.000" in received_text(last)


def test_clients_beyond_the_maximum_are_answered_503():
    """Clients with open requests occupy all places. Further clients are answered 503 and not left
    in the accept queue.
    """
    net = NodeHarness(1, sockets=64)
    assert net.node.clients.max_clients == 8
    pairs = [socket.socketpair() for _ in range(30)]
    for i, (_, far) in enumerate(pairs):
        far.setblocking(False)
        far.sendall(REQUEST_HEAD.replace(b"Id: 1", b"Id: %d" % i) + b"\r\n")
    listener = net.node.clients.listening_socket = ScriptedListener([near for near, _ in pairs])
    net.loop.watch(listener, READ, net.node.clients.accept)
    net.turn(8)
    received = [received_text(far) for _, far in pairs]
    assert all(received) is False and sum("503" in (text or "") for text in received) >= 16
    assert len(net.node.clients.open_clients) <= 24
