"""Connections to hosts that send excess data, break or close while the next request is written."""

import pytest
from loopback_harness import (
    RESET,
    LoopbackHarness,
    received_or_reset,
    received_text,
    request_text,
    wait_until_readable,
)

from orchidgap.http1.client import STREAM_STALL_TIMEOUT_US
from orchidgap.http1.host_connection import EXCESS_DATA_WINDOW_US, MIN_LATENCY_SAMPLES

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n"
HOST_LATENCY_US = 2_000  # latency of the hosts in these tests, in microseconds


def node_socket(host, net):
    """Returns the node's end of the connection whose host end is given."""
    return next(
        connection.conn.sock
        for pool in net.node.pools.by_host.values()
        for connection in pool.connections
        if connection.conn.sock.getsockname() == host.getpeername()
    )


def idle_host_connection(net, wait=100_000, answers=MIN_LATENCY_SAMPLES):
    """Sends requests to the only cache, then leaves its connection idle for `wait` microseconds.

    Returns the host's end of that connection.
    """
    for i in range(answers):
        net.advance(EXCESS_DATA_WINDOW_US)
        client = net.connect_client(request_text("first", id=str(i)))
        net.turn()
        _, host = net.next_host_request()
        net.advance(HOST_LATENCY_US)
        net.answer_from_host(host)
        assert "200" in received_or_reset(client)
    net.advance(wait)
    return host


def test_faster_answer_is_accepted_while_the_latency_is_unknown():
    net = LoopbackHarness(1)
    host = idle_host_connection(net, wait=0, answers=MIN_LATENCY_SAMPLES - 1)
    client = net.connect_client(request_text("second"))
    net.turn()
    net.answer_from_host(host, body="mine")
    assert received_or_reset(client).endswith("mine")


@pytest.mark.parametrize("data", [ANSWER + b"x", b"HTTP/1.1 20", b"\0", None])
def test_idle_connection_with_unread_bytes_is_not_reused(data):
    net = LoopbackHarness(1)
    old_host = idle_host_connection(net)
    node_sock = node_socket(old_host, net)
    client = net.connect_client(request_text("second"))
    old_host.sendall(data) if data else old_host.close()
    wait_until_readable(node_sock, net.node.clients.listening_socket)
    net.node.clients.accept()  # the client's request is read before the host's bytes
    net.turn()
    text, new_host = net.next_host_request()
    assert "/read/second" in text and new_host is not old_host
    net.answer_from_host(new_host, body="mine")
    assert received_or_reset(client).endswith("mine")


@pytest.mark.parametrize("idle_us", [0, EXCESS_DATA_WINDOW_US - HOST_LATENCY_US])
def test_excess_answer_that_races_the_next_request_is_discarded(idle_us):
    net = LoopbackHarness(1)
    old_host = idle_host_connection(net, wait=idle_us)
    client = net.connect_client(request_text("second"))
    net.turn()
    assert "/read/second" in net.next_host_request()[0] and len(net.host_sockets()) == 1, (
        "sent on the same connection"
    )
    net.now += HOST_LATENCY_US // 2  # sooner than this host can answer
    net.answer_from_host(old_host, body="not mine")
    assert received_or_reset(client) is None and net.outcomes[-1] == "stale"
    text, new_host = net.next_host_request()
    assert "/read/second" in text and new_host is not old_host, "a read may be resent"
    net.advance(HOST_LATENCY_US)
    net.answer_from_host(new_host, body="mine")
    assert received_or_reset(client).endswith("\r\n\r\nmine")


@pytest.mark.parametrize(
    ("idle_us", "latency_us"),
    [
        (0, HOST_LATENCY_US),
        (0, HOST_LATENCY_US - HOST_LATENCY_US // 6),
        (EXCESS_DATA_WINDOW_US, HOST_LATENCY_US // 2),
        (EXCESS_DATA_WINDOW_US - HOST_LATENCY_US // 2, HOST_LATENCY_US // 2),
    ],
)
def test_answer_at_usual_latency_or_after_the_excess_window_is_accepted(idle_us, latency_us):
    net = LoopbackHarness(1)
    host = idle_host_connection(net, wait=idle_us)
    client = net.connect_client(request_text("second"))
    net.turn()
    net.now += latency_us
    net.answer_from_host(host, body="mine")
    assert received_or_reset(client).endswith("mine") and len(net.host_sockets()) == 1


def test_read_on_a_connection_that_closes_is_resent_on_a_new_one():
    net = LoopbackHarness(1)
    old_host = idle_host_connection(net)
    client = net.connect_client(request_text("second"))
    net.turn()
    assert "/read/second" in net.next_host_request()[0]
    node_sock = node_socket(old_host, net)
    old_host.close()
    wait_until_readable(node_sock)
    net.turn()
    text, new_host = net.next_host_request()
    assert net.outcomes[-1] == "stale" and "/read/second" in text
    net.answer_from_host(new_host, body="mine")
    assert received_or_reset(client).endswith("mine")


@pytest.mark.parametrize("rule_set", ["once", "mark"])
def test_request_that_may_have_been_executed_is_not_resent(rule_set):
    net = LoopbackHarness(1, **{"rule-sets__1__repeat-window": "1"})
    body = f"PUT /{rule_set}/k HTTP/1.1\r\nRequest-Id: {{}}\r\nIdempotency-Key: m\r\nRequest-Timeout: 2\r\nContent-Length: 1\r\n\r\nv"
    first = net.connect_client(body.format(1).encode())
    net.turn()
    _, old_host = net.next_host_request()
    net.answer_from_host(old_host)
    assert "200" in received_or_reset(first)
    net.advance(100_000)
    second = net.connect_client(body.format(2).encode())
    net.turn()
    assert "Request-Id: 2" in net.next_host_request()[0]
    node_sock = node_socket(old_host, net)
    old_host.close()
    wait_until_readable(node_sock)
    net.advance(10_000)
    assert net.next_host_request()[0] == ""
    assert received_or_reset(second).split()[1] == "500", "a retry would be executed again"


@pytest.mark.parametrize("reset", [True, False])
def test_answer_without_length_is_complete_only_after_an_orderly_close(reset):
    net = LoopbackHarness(1)
    client = net.connect_client(
        b"PUT /once/k HTTP/1.1\r\nRequest-Id: 1\r\nRequest-Timeout: 2\r\nContent-Length: 1\r\n\r\nv"
    )
    net.turn()
    _, host = net.next_host_request()
    node_sock = node_socket(host, net)
    host.sendall(b"HTTP/1.1 200 OK\r\n\r\nas far as it")
    wait_until_readable(node_sock)
    net.turn()
    net.reset_host(host) if reset else host.close()
    wait_until_readable(node_sock)
    net.turn()
    answer = received_or_reset(client)
    assert answer.split()[1] == ("500" if reset else "200") and (
        reset or answer.endswith("as far as it")
    )


def test_reset_of_a_streamed_answer_resets_the_client_connection():
    net = LoopbackHarness(1)
    client = net.connect_client(request_text())
    net.turn()
    _, host = net.next_host_request()
    node_sock = node_socket(host, net)
    host.sendall(b"HTTP/1.1 200 OK\r\n\r\nas far as it")
    net.turn()
    net.advance(net.node.response_hold_us)
    assert "as far as it" in received_or_reset(client)
    net.reset_host(host)
    wait_until_readable(node_sock)
    net.turn()
    assert received_or_reset(client) == RESET


@pytest.mark.parametrize(
    "malformed",
    [
        b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nx",
        b"HTTP/1.1 200 OK\r\nX: " + b"y" * 20_000,
        b"\0\0\0",
    ],
)
def test_oversized_or_malformed_answer_closes_only_its_connection(malformed):
    net = LoopbackHarness(2)
    client = net.connect_client(request_text())
    net.turn()
    _, old_host = net.next_host_request()
    old_host.sendall(malformed)
    net.turn()
    text, new_host = net.next_host_request()
    assert net.outcomes == ["reset"] and "/read/k1" in text and new_host is not old_host
    net.answer_from_host(new_host, body="mine")
    assert received_or_reset(client).endswith("mine")
    assert received_text(old_host) == "", "the connection is closed"


def test_stalled_streamed_answer_ends_after_the_stall_timeout():
    net = LoopbackHarness(1)
    client = net.connect_client(request_text())
    net.turn()
    _, host = net.next_host_request()
    host.sendall(b"HTTP/1.1 200 OK\r\n\r\nx")
    net.turn()
    net.advance(STREAM_STALL_TIMEOUT_US + 2_000_000)  # the host sends nothing more
    received_or_reset(client)
    assert (
        received_or_reset(client) == RESET
        and net.node.pools.connection_count == 0
        and not net.node.exchanges
    )
