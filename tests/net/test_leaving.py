"""Shutdown with a request, an answer, a close or a signal between any two of its steps."""

import signal
import socket

import pytest
from loopback_harness import (
    RESET,
    LoopbackHarness,
    received_or_reset,
    received_text,
    request_text,
    wait_until_readable,
)
from net_scenarios import signal_handlers

from orchidgap.decisions.lifecycle import (
    ANSWER_MARGIN_US,
    FINAL_WRITE_US,
    MAX_ANSWER_US,
    SHUTDOWN_ACCEPT_US,
    State,
)
from orchidgap.net.client_listener import HANDSHAKE_US
from orchidgap.net.client_table import RECENT_CONNECTION_US
from orchidgap.net.connection import LINGER_US
from orchidgap.net.loop import READ


def idle_client(net):
    client = net.connect_client(request_text("first"))
    net.turn()
    net.answer_from_host(net.host_socket())
    assert "200" in received_or_reset(client)
    return client


@pytest.mark.parametrize("turns", [0, 1])
def test_a_request_that_arrives_in_the_turn_of_sigterm_is_answered(turns):
    """A request arrives in the turn in which SIGTERM is read. It is still answered."""
    net = LoopbackHarness(1)
    with signal_handlers(net, None):
        client = idle_client(net)
        net.send_more(client, request_text("second"))
        signal.raise_signal(signal.SIGTERM)  # both have arrived before the loop's next select
        net.turn(1 + turns)
        assert net.node.lifecycle.state is State.LEAVING
        net.turn()
        net.answer_from_host(net.host_socket())
        answer = received_or_reset(client)
        assert "200" in answer and "Connection: close" in answer and received_or_reset(client) == ""


@pytest.mark.parametrize("times", [2, 5])
def test_repeated_sigterm_restarts_no_timer_and_sighup_in_a_drain_does_not_end_it(times, tmp_path):
    """SIGTERM and SIGHUP are sent repeatedly during shutdown. No timer is restarted, and an
    invalid file does not end the process.
    """
    net = LoopbackHarness(1)
    with signal_handlers(net, str(tmp_path / "no file")):
        client = net.connect_client(request_text())
        net.turn()
        for _ in range(times):
            signal.raise_signal(signal.SIGTERM)
            signal.raise_signal(signal.SIGHUP)
            net.turn()
            net.advance(SHUTDOWN_ACCEPT_US // 2)
        assert (
            net.node.lifecycle.since_us <= net.now - times * (SHUTDOWN_ACCEPT_US // 2)
            and net.loop.running
        )
        clients = net.node.clients
        shut_at_us = net.node.lifecycle.since_us + SHUTDOWN_ACCEPT_US
        assert clients.handshakes_stopped_at_us == shut_at_us, "timed by the first SIGTERM"
        net.advance(HANDSHAKE_US)
        assert clients.listening_socket is None, "closed after the time of the first SIGTERM"
        net.answer_from_host(net.host_socket())
        assert "200" in received_or_reset(client) and "config rejected" in net.log.lines


def test_sigterm_before_the_first_list_ends_the_process():
    """SIGTERM arrives before discovery has sent a list. The process still exits."""
    net = LoopbackHarness(1, listed=False)
    net.listen()
    with signal_handlers(net, None):
        signal.raise_signal(signal.SIGTERM)
        net.turn()
        net.advance(SHUTDOWN_ACCEPT_US + 20_000)
        assert not net.loop.running and net.node.lifecycle.state is State.LEAVING


@pytest.mark.parametrize("first", [30, None])
def test_a_request_that_begins_between_the_last_idle_check_and_the_close_is_answered(first):
    """An idle connection is about to be closed, and part of a request arrives between the last
    check of it and its close. The rest is awaited and answered.
    """
    net = LoopbackHarness(1)
    client, text = idle_client(net), request_text("second")
    assert "/read/first" in net.next_host_request()[0]
    # due in the turn that closes idle connections, before they are closed and after that turn's sockets
    net.loop.call_at(net.now + SHUTDOWN_ACCEPT_US, net.send_more, client, text[:first])
    net.node.begin_shutdown()
    net.advance(SHUTDOWN_ACCEPT_US)
    assert received_or_reset(client) is None and net.loop.running
    if first:
        net.send_more(client, text[first:])
        net.turn()
    net.answer_from_host(net.next_host_request()[1])
    assert "Connection: close" in received_or_reset(client) and received_or_reset(client) == ""


def test_a_client_accepted_at_the_end_of_a_stalled_turn_counts_as_new():
    """The process stalls in a turn and accepts a client at the end of it. The client was treated
    as connected since the start of the turn, and closed as one that had been silent for long.
    """
    net = LoopbackHarness(1)
    client = net.connect_client()
    near, far = socket.socketpair()

    def stall(mask):
        net.loop.unwatch(near)
        net.now += RECENT_CONNECTION_US

    with near, far:
        net.loop.watch(near, READ, stall, priority=True)
        far.send(b"!")
        net.turn()
    assert len(net.node.clients.awaiting_request) == 1
    net.node.clients.release_idle()
    assert received_or_reset(client) is None
    net.now += RECENT_CONNECTION_US
    net.turn()
    net.node.clients.release_idle()
    assert received_or_reset(client) == ""


def test_pipelined_requests_are_answered_before_the_connection_is_closed():
    """Further requests are pipelined behind the first when the process starts to shut down.
    Complete ones are answered; an incomplete one is not waited for.
    """
    net = LoopbackHarness(1)
    client = net.connect_client(
        request_text("a") + request_text("b") + request_text("c") + request_text("d")[:20]
    )
    net.turn()
    net.node.begin_shutdown()
    for key in "abc":
        text, far = net.next_host_request()
        assert f"/read/{key}" in text
        net.answer_from_host(far, body=key)
        net.advance(10_000)
        answer = received_or_reset(client)
        assert answer.endswith(key) and ("Connection: close" in answer) == (key == "c"), (
            "an incomplete request is not waited for"
        )
    assert received_or_reset(client) == ""


def test_clients_in_the_accept_queue_when_the_listener_is_closed_are_served():
    """Clients wait in the accept queue when the listener is closed. They are accepted first and
    served.
    """
    net = LoopbackHarness(2)
    net.listen()
    net.node.begin_shutdown()
    net.advance(SHUTDOWN_ACCEPT_US - 1)
    net.node.clients.leave_listener()  # as if the loop had not accepted from it yet
    clients = [net.connect_client(request_text(f"k{i}")) for i in range(3)]
    net.node.clients.accepts_elsewhere = False
    net.loop.watch(net.node.clients.listening_socket, 1, lambda mask: None)
    net.advance(10_000)
    assert net.node.clients.listening_socket is None
    for far in net.host_sockets():
        if received_text(far):
            net.answer_from_host(far)
    assert all("200" in received_or_reset(client) for client in clients)


def test_a_request_that_races_the_close_is_not_sent_on_and_causes_no_reset():
    """A client sends its next request while the balancer half-closes the connection. It is not
    sent to a host, and the client sees an orderly close.
    """
    net = LoopbackHarness(1)
    client = idle_client(net)
    net.node.begin_shutdown()
    net.advance(SHUTDOWN_ACCEPT_US + 10_000)
    assert "/read/first" in net.next_host_request()[0]
    client.sendall(request_text("crossing"))  # the client has not seen the close yet
    wait_until_readable(net.accepted_socket(client))
    net.turn()
    assert not net.node.exchanges and net.next_host_request()[0] == ""
    assert received_or_reset(client) == "", (
        "an orderly close, so that the client tries another balancer"
    )
    client.close()
    net.advance(20_000)
    assert not net.loop.running


def test_the_last_answer_is_not_lost_to_a_reset_by_unread_bytes():
    """Bytes that are never read follow a request whose answer is the last. A plain close would
    send a reset that discards the answer.
    """
    net = LoopbackHarness(1)
    client = net.connect_client(request_text("k"))
    net.turn()
    net.node.begin_shutdown()
    net.send_host_answer(net.host_socket())
    wait_until_readable(next(iter(net.node.pools.by_host["c0"].connections)).conn.sock)
    net.send_more(
        client, request_text("behind")[:40]
    )  # both have arrived: the answer is written while bytes are unread
    net.turn()
    client.sendall(b"x" * 5000)
    net.turn()
    assert received_or_reset(client).endswith("\r\n\r\nv") and received_or_reset(client) != RESET


def test_a_client_that_never_closes_does_not_keep_the_process_running():
    """A client never closes its side. The process exits after the linger time."""
    net = LoopbackHarness(1)
    idle_client(net)
    net.node.begin_shutdown()
    net.advance(SHUTDOWN_ACCEPT_US + LINGER_US + 30_000)
    assert not net.loop.running


@pytest.mark.parametrize(
    ("timeout", "max_answer_us"),
    [
        (2_000_000, 2_000_000 + ANSWER_MARGIN_US),
        (300_000, 300_000 + ANSWER_MARGIN_US),
        (9_000_000, MAX_ANSWER_US),
    ],
)
def test_requests_open_at_the_last_deadline_are_answered_before_the_process_exits(
    timeout, max_answer_us
):
    """Requests are still open when the process's last deadline passes. Each is answered before the
    process exits.
    """
    times = {
        f"rule_sets__{i}__client_timeout".replace("_sets", "-sets").replace(
            "client_", "client-"
        ): str(timeout)
        for i in range(3)
    }
    net = LoopbackHarness(1, **times, **{"ceilings__may-cancel": "false"})
    client = net.connect_client(request_text("early", left="60"))
    net.turn()
    late = net.connect_client(
        request_text("late")[:30]
    )  # incomplete until shortly before the last deadline
    net.turn()
    net.node.begin_shutdown()
    net.advance(max_answer_us - 20_000)
    if timeout < 9_000_000:  # otherwise the incomplete request has timed out by now
        net.send_more(late, request_text("late")[30:])
        net.turn()
    assert received_or_reset(client) is None and net.loop.running
    net.advance(30_000)
    assert received_or_reset(client).split()[1] in ("500", "503")
    assert received_or_reset(late).split()[1] in ("500", "503", "408")
    assert net.loop.running, "time for the answers to be written"
    net.advance(FINAL_WRITE_US)
    assert not net.loop.running
