"""Draining, resuming and ending, by hand and by signals."""

import signal

from net_scenarios import REQ, WAITS, signals
from node_harness import NodeHarness, heard


def test_told_to_stop_it_answers_all_and_ends():
    """SIGTERM comes while requests are open. All are answered, whoever comes late is too, and
    the process ends.
    """
    net = NodeHarness()
    idle, busy = net.ask("k1"), net.ask("k2")
    net.answers(net.far(0))
    assert "close" not in heard(idle)
    net.node.begin_shutdown()
    net.wait(300_000)
    late = net.ask("k3")
    net.wait(101_000)
    assert heard(idle) == "" and net.loop.running
    idle.close()
    net.answers(net.far(1))
    assert "Connection: close" in heard(busy) and heard(busy) == ""
    net.wait(200_000)
    assert net.loop.running, "one is still owed its answer"
    net.answers(net.far(2))
    assert "Connection: close" in heard(late)
    busy.close()
    late.close()
    net.wait(50_000)
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
    idle, busy = net.ask("k1"), net.ask("k2")
    net.answers(net.far(0))
    assert "close" not in heard(idle)
    net.node.quiesce()
    asked, late = net.ask("k3"), net.ask("k4")
    net.wait(500_000)
    assert heard(idle) is None and net.node.clients.listening_socket is None
    net.serve()
    assert all(
        "Connection: close" in heard(client) and heard(client) == ""
        for client in (busy, asked, late)
    )
    net.says(idle, REQ + b"\r\n")
    net.serve()
    assert "200" in (text := heard(idle)) and "Connection: close" in text, (
        "a kept connection may be used once more"
    )
    for client in (idle, busy, asked, late):
        client.close()
    net.wait(600_000)
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
        net.ask("k1"),
        net.ask("k2"),
    )
    net.answers(net.far(0))
    heard(idle)
    net.node.quiesce()
    net.wait(990_000)
    assert heard(idle) is None
    net.wait(20_000)
    assert heard(idle) == "" == heard(silent) and heard(half) is None is heard(busy)
    assert net.node.lifecycle.state.value == "draining"
    net.says(half, "Request-Id: 9\r\nRequest-Timeout: 1\r\n\r\n")
    net.serve()
    assert "200" in heard(half) and "200" in heard(busy)
    newcomer = net.client()  # let in, and kept for no longer than it takes to ask
    net.wait(200_000)
    assert heard(newcomer) is None
    net.wait(100_000)
    assert heard(newcomer) == ""
    half.close()
    busy.close()
    net.wait(100_000)
    assert net.node.lifecycle.state.value == "draining", "one has heard its end, and may yet read"
    idle.close()
    net.wait(10_000)
    assert net.node.lifecycle.state.value == "drained"


def test_after_a_resume_all_is_as_before():
    """A drain is ended by hand. Connections are kept again."""
    net = NodeHarness()
    net.node.quiesce()
    net.wait(2_000_000)
    net.node.resume()
    client = net.ask("k1")
    net.serve()
    assert "close" not in heard(client)
    net.wait(5_000_000)
    assert heard(client) is None
    client.sendall(REQ + b"\r\n")
    net.turn()
    net.serve()
    assert heard(client).startswith("HTTP/1.1 200")
    net.node.quiesce()
    net.node.resume()
    net.wait(5_000_000)
    assert heard(client) is None, "what the first drain had set up is off"
    net.node.begin_shutdown()
    net.wait(450_000)
    assert heard(client) == "" and net.loop.running
    client.close()
    net.wait(10_000)
    assert not net.loop.running
