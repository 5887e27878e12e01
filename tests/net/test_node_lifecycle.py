"""Drain, resume and shutdown, by operators and by signals."""

import signal

from net_scenarios import NO_CANCELLATION, REQUEST_HEAD, signal_handlers
from node_harness import NodeHarness, received_text


def test_shutdown_answers_all_requests_and_exits():
    """SIGTERM arrives while requests are open. All are answered, so are later ones, and the
    process exits.
    """
    net = NodeHarness()
    idle, busy = net.send_request("k1"), net.send_request("k2")
    net.answer_from_host(net.host_socket(0))
    assert "close" not in received_text(idle)
    net.node.begin_shutdown()
    net.advance(300_000)
    late = net.send_request("k3")
    net.advance(101_000)
    assert received_text(idle) == "" and net.loop.running
    idle.close()
    net.answer_from_host(net.host_socket(1))
    assert "Connection: close" in received_text(busy) and received_text(busy) == ""
    net.advance(200_000)
    assert net.loop.running, "one request is still unanswered"
    net.answer_from_host(net.host_socket(2))
    assert "Connection: close" in received_text(late)
    busy.close()
    late.close()
    net.advance(50_000)
    assert not net.loop.running


def test_without_a_signal_the_process_does_not_shut_down():
    """The writing end of the wakeup pair was once garbage-collected, and its end of stream read as
    a signal.
    """
    net, shutdowns = NodeHarness(), []
    net.node.begin_shutdown = lambda: shutdowns.append(1)
    with signal_handlers(net, None):
        net.turn()
        assert not shutdowns
        signal.raise_signal(signal.SIGTERM)
        net.turn()
        assert shutdowns


def test_a_drain_rejects_no_client_and_closes_all_connections():
    """The balancer drains. Every request is still answered, as the last one on its connection."""
    net = NodeHarness(**NO_CANCELLATION)
    idle, busy = net.send_request("k1"), net.send_request("k2")
    net.answer_from_host(net.host_socket(0))
    assert "close" not in received_text(idle)
    net.node.drain()
    asked, late = net.send_request("k3"), net.send_request("k4")
    net.advance(500_000)
    assert received_text(idle) is None and net.node.clients.listening_socket is None
    net.answer_all()
    assert all(
        "Connection: close" in received_text(client) and received_text(client) == ""
        for client in (busy, asked, late)
    )
    net.send_and_turn(idle, REQUEST_HEAD + b"\r\n")
    net.answer_all()
    assert "200" in (text := received_text(idle)) and "Connection: close" in text, (
        "an idle connection may be used once more"
    )
    for client in (idle, busy, asked, late):
        client.close()
    net.advance(600_000)
    assert (
        net.node.lifecycle.state.value == "drained"
        and net.loop.running
        and not net.node.clients.open_clients
    )


def test_a_drain_closes_idle_connections_and_cuts_off_no_request():
    """Idle connections are closed during a drain. Requests that are open or partly received are
    not cut off.
    """
    net = NodeHarness(**NO_CANCELLATION)
    silent, half, idle, busy = (
        net.client(),
        net.client(b"GET /read/k9 HTTP/1.1\r\n"),
        net.send_request("k1"),
        net.send_request("k2"),
    )
    net.answer_from_host(net.host_socket(0))
    received_text(idle)
    net.node.drain()
    net.advance(990_000)
    assert received_text(idle) is None
    net.advance(20_000)
    assert received_text(idle) == "" == received_text(silent) and received_text(
        half
    ) is None is received_text(busy)
    assert net.node.lifecycle.state.value == "draining"
    net.send_and_turn(half, "Request-Id: 9\r\nRequest-Timeout: 1\r\n\r\n")
    net.answer_all()
    assert "200" in received_text(half) and "200" in received_text(busy)
    newcomer = net.client()  # accepted, and closed unless it sends a request soon
    net.advance(200_000)
    assert received_text(newcomer) is None
    net.advance(100_000)
    assert received_text(newcomer) == ""
    half.close()
    busy.close()
    net.advance(100_000)
    assert net.node.lifecycle.state.value == "draining", "one client has not closed its side yet"
    idle.close()
    net.advance(10_000)
    assert net.node.lifecycle.state.value == "drained"


def test_after_a_resume_connections_are_kept_open_again():
    """An operator ends a drain. Connections are kept open again."""
    net = NodeHarness()
    net.node.drain()
    net.advance(2_000_000)
    net.node.resume()
    client = net.send_request("k1")
    net.answer_all()
    assert "close" not in received_text(client)
    net.advance(5_000_000)
    assert received_text(client) is None
    client.sendall(REQUEST_HEAD + b"\r\n")
    net.turn()
    net.answer_all()
    assert received_text(client).startswith("HTTP/1.1 200")
    net.node.drain()
    net.node.resume()
    net.advance(5_000_000)
    assert received_text(client) is None, "the timers of the first drain are cancelled"
    net.node.begin_shutdown()
    net.advance(450_000)
    assert received_text(client) == "" and net.loop.running
    client.close()
    net.advance(10_000)
    assert not net.loop.running
