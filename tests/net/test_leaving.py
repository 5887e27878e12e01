"""Shutdown: what if a req, an answer, a close or a signal comes between two of its steps?"""

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
from net_scenarios import signals

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
def test_a_request_that_comes_in_the_turn_of_sigterm_has_its_answer(turns):
    """A request arrives in the turn in which SIGTERM is read. It is still answered."""
    net = LoopbackHarness(1)
    with signals(net, None):
        client = idle_client(net)
        net.send_more(client, request_text("second"))
        signal.raise_signal(signal.SIGTERM)  # both are there before the loop looks
        net.turn(1 + turns)
        assert net.node.lifecycle.state is State.LEAVING
        net.turn()
        net.answer_from_host(net.host_socket())
        said = received_or_reset(client)
        assert "200" in said and "Connection: close" in said and received_or_reset(client) == ""


@pytest.mark.parametrize("times", [2, 5])
def test_sigterm_again_starts_no_time_anew_and_sighup_in_a_drain_ends_nothing(times, tmp_path):
    """SIGTERM and SIGHUP come again and again while the process ends. No time starts anew, and
    a bad file ends nothing.
    """
    net = LoopbackHarness(1)
    with signals(net, str(tmp_path / "no file")):
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
        assert clients.handshakes_stopped_at_us == shut_at_us, "at the first call's time"
        net.advance(HANDSHAKE_US)
        assert clients.listening_socket is None, "shut after the first call's time"
        net.answer_from_host(net.host_socket())
        assert "200" in received_or_reset(client) and "config rejected" in net.log.lines


def test_sigterm_before_the_first_list_ends_it():
    """SIGTERM comes before discovery has told a list. The process ends all the same."""
    net = LoopbackHarness(1, listed=False)
    net.listen()
    with signals(net, None):
        signal.raise_signal(signal.SIGTERM)
        net.turn()
        net.advance(SHUTDOWN_ACCEPT_US + 20_000)
        assert not net.loop.running and net.node.lifecycle.state is State.LEAVING


@pytest.mark.parametrize("first", [30, None])
def test_what_comes_between_the_look_at_a_resting_connection_and_its_end_is_waited_for(first):
    """An idle connection is let go, and part of a request arrives between the last look at it
    and its end. The rest is waited for and answered.
    """
    net = LoopbackHarness(1)
    client, text = idle_client(net), request_text("second")
    assert "/read/first" in net.next_host_request()[0]
    # due in the same turn as idle ones are let go, and before that; what was ready in that turn is done with
    net.loop.call_at(net.now + SHUTDOWN_ACCEPT_US, net.send_more, client, text[:first])
    net.node.begin_shutdown()
    net.advance(SHUTDOWN_ACCEPT_US)
    assert received_or_reset(client) is None and net.loop.running
    if first:
        net.send_more(client, text[first:])
        net.turn()
    net.answer_from_host(net.next_host_request()[1])
    assert "Connection: close" in received_or_reset(client) and received_or_reset(client) == ""


def test_who_came_at_the_end_of_a_turn_that_was_stalled_is_a_newcomer():
    """The process gets no core in a turn, and lets a client in at its end. That counted as there
    since the turn's begin, and was closed as one that has said nothing for long.
    """
    net = LoopbackHarness(1)
    client = net.connect_client()
    near, far = socket.socketpair()

    def stand_still(mask):
        net.loop.unwatch(near)
        net.now += RECENT_CONNECTION_US

    with near, far:
        net.loop.watch(near, READ, stand_still, priority=True)
        far.send(b"!")
        net.turn()
    assert len(net.node.clients.awaiting_request) == 1
    net.node.clients.release_idle()
    assert received_or_reset(client) is None
    net.now += RECENT_CONNECTION_US
    net.turn()
    net.node.clients.release_idle()
    assert received_or_reset(client) == ""


def test_a_pipelined_request_is_answered_before_the_connection_is_let_go():
    """A second request stands behind the first when the process is told to end. It is answered
    where it is whole, and not waited for where it is not.
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
        said = received_or_reset(client)
        assert said.endswith(key) and ("Connection: close" in said) == (key == "c"), (
            "half a req waits for nothing"
        )
    assert received_or_reset(client) == ""


def test_whoever_waits_in_the_backlog_when_the_listener_is_shut_is_served():
    """Clients wait in the backlog when the listener is closed. They are accepted first and
    served.
    """
    net = LoopbackHarness(2)
    net.listen()
    net.node.begin_shutdown()
    net.advance(SHUTDOWN_ACCEPT_US - 1)
    net.node.clients.leave_listener()  # as if the loop had not come round to it
    clients = [net.connect_client(request_text(f"k{i}")) for i in range(3)]
    net.node.clients.accepts_elsewhere = False
    net.loop.watch(net.node.clients.listening_socket, 1, lambda mask: None)
    net.advance(10_000)
    assert net.node.clients.listening_socket is None
    for far in net.host_sockets():
        if received_text(far):
            net.answer_from_host(far)
    assert all("200" in received_or_reset(client) for client in clients)


def test_a_request_that_crosses_the_end_of_its_connection_is_not_sent_on_and_resets_nothing():
    """A client sends its next request while the balancer half-closes the connection. It is not
    sent on, and the client sees an end in order.
    """
    net = LoopbackHarness(1)
    client = idle_client(net)
    net.node.begin_shutdown()
    net.advance(SHUTDOWN_ACCEPT_US + 10_000)
    assert "/read/first" in net.next_host_request()[0]
    client.sendall(request_text("crossing"))  # it has not heard of the end
    wait_until_readable(net.accepted_socket(client))
    net.turn()
    assert not net.node.exchanges and net.next_host_request()[0] == ""
    assert received_or_reset(client) == "", "an end in order, so that it asks elsewhere"
    client.close()
    net.advance(20_000)
    assert not net.loop.running


def test_the_last_answer_is_not_reset_away_by_what_came_behind_it():
    """Bytes that nobody reads stand behind a request whose answer is the last. A plain close
    would reset the answer away.
    """
    net = LoopbackHarness(1)
    client = net.connect_client(request_text("k"))
    net.turn()
    net.node.begin_shutdown()
    net.send_host_answer(net.host_socket())
    wait_until_readable(next(iter(net.node.pools.by_host["c0"].connections)).conn.sock)
    net.send_more(
        client, request_text("behind")[:40]
    )  # both are there: the answer goes out over unread bytes
    net.turn()
    client.sendall(b"x" * 5000)
    net.turn()
    assert received_or_reset(client).endswith("\r\n\r\nv") and received_or_reset(client) != RESET


def test_a_client_that_never_closes_keeps_no_process():
    """A client never closes its side. The process ends after the linger time."""
    net = LoopbackHarness(1)
    idle_client(net)
    net.node.begin_shutdown()
    net.advance(SHUTDOWN_ACCEPT_US + LINGER_US + 30_000)
    assert not net.loop.running


@pytest.mark.parametrize(
    ("timeout", "last_words"),
    [
        (2_000_000, 2_000_000 + ANSWER_MARGIN_US),
        (300_000, 300_000 + ANSWER_MARGIN_US),
        (9_000_000, MAX_ANSWER_US),
    ],
)
def test_what_is_open_at_the_last_has_its_answer_before_the_process_ends(timeout, last_words):
    """Requests are still open when the process's last time is over. Each gets its answer
    before the process ends.
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
    )  # begun, and whole only when there is hardly any time left
    net.turn()
    net.node.begin_shutdown()
    net.advance(last_words - 20_000)
    if timeout < 9_000_000:  # else its patience is over
        net.send_more(late, request_text("late")[30:])
        net.turn()
    assert received_or_reset(client) is None and net.loop.running
    net.advance(30_000)
    assert received_or_reset(client).split()[1] in ("500", "503")
    assert received_or_reset(late).split()[1] in ("500", "503", "408")
    assert net.loop.running, "time for the answers to be written"
    net.advance(FINAL_WRITE_US)
    assert not net.loop.running
