"""Draining, resuming and ending, by hand and by signals."""

import signal

from net_scenarios import REQ, WAITS, signals
from node_harness import NodeHarness, received_text


def test_told_to_stop_it_answers_all_and_ends():
    """SIGTERM comes while requests are open. All are answered, whoever comes late is too, and
    the process ends.
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
    assert net.loop.running, "one is still owed its answer"
    net.answer_from_host(net.host_socket(2))
    assert "Connection: close" in received_text(late)
    busy.close()
    late.close()
    net.advance(50_000)
    assert not net.loop.running


def test_no_signal_no_stop():
    """The ringing end of the pair was once not kept, and its end read as a signal."""
    net, told = NodeHarness(), []
    net.node.begin_shutdown = lambda: told.append(1)
    with signals(net, None):
        net.turn()
        assert not told
        signal.raise_signal(signal.SIGTERM)
        net.turn()
        assert told


def test_a_drain_turns_nobody_away_and_lets_all_go():
    """The balancer drains. Whoever asks is still answered, each on its last connection."""
    net = NodeHarness(**WAITS)
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
    net.send_and_turn(idle, REQ + b"\r\n")
    net.answer_all()
    assert "200" in (text := received_text(idle)) and "Connection: close" in text, (
        "a kept connection may be used once more"
    )
    for client in (idle, busy, asked, late):
        client.close()
    net.advance(600_000)
    assert (
        net.node.lifecycle.state.value == "drained"
        and net.loop.running
        and not net.node.clients.open_clients
    )


def test_connections_that_ask_nothing_are_closed_by_a_drain_and_requests_are_not_cut_off():
    """Idle connections are closed during a drain. Requests that are open or come half are not
    cut off.
    """
    net = NodeHarness(**WAITS)
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
    newcomer = net.client()  # let in, and kept for no longer than it takes to ask
    net.advance(200_000)
    assert received_text(newcomer) is None
    net.advance(100_000)
    assert received_text(newcomer) == ""
    half.close()
    busy.close()
    net.advance(100_000)
    assert net.node.lifecycle.state.value == "draining", "one has heard its end, and may yet read"
    idle.close()
    net.advance(10_000)
    assert net.node.lifecycle.state.value == "drained"


def test_after_a_resume_all_is_as_before():
    """A drain is ended by hand. Connections are kept again."""
    net = NodeHarness()
    net.node.drain()
    net.advance(2_000_000)
    net.node.resume()
    client = net.send_request("k1")
    net.answer_all()
    assert "close" not in received_text(client)
    net.advance(5_000_000)
    assert received_text(client) is None
    client.sendall(REQ + b"\r\n")
    net.turn()
    net.answer_all()
    assert received_text(client).startswith("HTTP/1.1 200")
    net.node.drain()
    net.node.resume()
    net.advance(5_000_000)
    assert received_text(client) is None, "what the first drain had set up is off"
    net.node.begin_shutdown()
    net.advance(450_000)
    assert received_text(client) == "" and net.loop.running
    client.close()
    net.advance(10_000)
    assert not net.loop.running
