"""Shutdown: what if a req, an answer, a close or a signal comes between two of its steps?"""

import signal

import pytest
from loopback_harness import RESET, LoopbackHarness, arrived, heard, req, told
from net_scenarios import signals

from orchidgap.decisions.lifecycle import (
    ANSWER_MARGIN_US,
    FINAL_WRITE_US,
    MAX_ANSWER_US,
    SHUTDOWN_ACCEPT_US,
    State,
)
from orchidgap.net.connection import LINGER_US


def idle_client(net):
    client = net.caller(req("first"))
    net.turn()
    net.answers(net.far())
    assert "200" in told(client)
    return client


@pytest.mark.parametrize("turns", [0, 1])
def test_a_request_that_comes_in_the_turn_of_sigterm_has_its_answer(turns):
    """A request arrives in the turn in which SIGTERM is read. It is still answered."""
    net = LoopbackHarness(1)
    with signals(net, None):
        client = idle_client(net)
        net.brings(client, req("second"))
        signal.raise_signal(signal.SIGTERM)  # both are there before the loop looks
        net.turn(1 + turns)
        assert net.node.lifecycle.state is State.LEAVING
        net.turn()
        net.answers(net.far())
        said = told(client)
        assert "200" in said and "Connection: close" in said and told(client) == ""


@pytest.mark.parametrize("times", [2, 5])
def test_sigterm_again_starts_no_time_anew_and_sighup_in_a_drain_ends_nothing(times, tmp_path):
    """SIGTERM and SIGHUP come again and again while the process ends. No time starts anew, and
    a bad file ends nothing.
    """
    net = LoopbackHarness(1)
    with signals(net, str(tmp_path / "no file")):
        client = net.caller(req())
        net.turn()
        for _ in range(times):
            signal.raise_signal(signal.SIGTERM)
            signal.raise_signal(signal.SIGHUP)
            net.turn()
            net.wait(SHUTDOWN_ACCEPT_US // 2)
        assert (
            net.node.lifecycle.since_us <= net.now - times * (SHUTDOWN_ACCEPT_US // 2)
            and net.loop.running
        )
        assert net.node.clients.listening_socket is None, "shut after the first call's time"
        net.answers(net.far())
        assert "200" in told(client) and "config rejected" in net.log.lines


def test_sigterm_before_the_first_list_ends_it():
    """SIGTERM comes before discovery has told a list. The process ends all the same."""
    net = LoopbackHarness(1, listed=False)
    net.opens()
    with signals(net, None):
        signal.raise_signal(signal.SIGTERM)
        net.turn()
        net.wait(SHUTDOWN_ACCEPT_US + 20_000)
        assert not net.loop.running and net.node.lifecycle.state is State.LEAVING


@pytest.mark.parametrize("first", [30, None])
def test_what_comes_between_the_look_at_a_resting_connection_and_its_end_is_waited_for(first):
    """An idle connection is let go, and part of a request arrives between the last look at it
    and its end. The rest is waited for and answered.
    """
    net = LoopbackHarness(1)
    client, text = idle_client(net), req("second")
    assert "/read/first" in net.asked()[0]
    # due in the same turn as idle ones are let go, and before that; what was ready in that turn is done with
    net.loop.call_at(net.now + SHUTDOWN_ACCEPT_US, net.brings, client, text[:first])
    net.node.begin_shutdown()
    net.wait(SHUTDOWN_ACCEPT_US)
    assert told(client) is None and net.loop.running
    if first:
        net.brings(client, text[first:])
        net.turn()
    net.answers(net.asked()[1])
    assert "Connection: close" in told(client) and told(client) == ""


def test_a_pipelined_request_is_answered_before_the_connection_is_let_go():
    """A second request stands behind the first when the process is told to end. It is answered
    where it is whole, and not waited for where it is not.
    """
    net = LoopbackHarness(1)
    client = net.caller(req("a") + req("b") + req("c") + req("d")[:20])
    net.turn()
    net.node.begin_shutdown()
    for key in "abc":
        text, far = net.asked()
        assert f"/read/{key}" in text
        net.answers(far, body=key)
        net.wait(10_000)
        said = told(client)
        assert said.endswith(key) and ("Connection: close" in said) == (key == "c"), (
            "half a req waits for nothing"
        )
    assert told(client) == ""


def test_whoever_waits_in_the_backlog_when_the_listener_is_shut_is_served():
    """Clients wait in the backlog when the listener is closed. They are accepted first and
    served.
    """
    net = LoopbackHarness(2)
    net.opens()
    net.node.begin_shutdown()
    net.wait(SHUTDOWN_ACCEPT_US - 1)
    net.node.clients.leave_listener()  # as if the loop had not come round to it
    clients = [net.caller(req(f"k{i}")) for i in range(3)]
    net.node.clients.accepts_elsewhere = False
    net.loop.watch(net.node.clients.listening_socket, 1, lambda mask: None)
    net.wait(10_000)
    assert net.node.clients.listening_socket is None
    for far in net.fars():
        if heard(far):
            net.answers(far)
    assert all("200" in told(client) for client in clients)


def test_a_request_that_crosses_the_end_of_its_connection_is_not_sent_on_and_resets_nothing():
    """A client sends its next request while the balancer half-closes the connection. It is not
    sent on, and the client sees an end in order.
    """
    net = LoopbackHarness(1)
    client = idle_client(net)
    net.node.begin_shutdown()
    net.wait(SHUTDOWN_ACCEPT_US + 10_000)
    assert "/read/first" in net.asked()[0]
    client.sendall(req("crossing"))  # it has not heard of the end
    arrived(net.near(client))
    net.turn()
    assert not net.node.exchanges and net.asked()[0] == ""
    assert told(client) == "", "an end in order, so that it asks elsewhere"
    client.close()
    net.wait(20_000)
    assert not net.loop.running


def test_the_last_answer_is_not_reset_away_by_what_came_behind_it():
    """Bytes that nobody reads stand behind a request whose answer is the last. A plain close
    would reset the answer away.
    """
    net = LoopbackHarness(1)
    client = net.caller(req("k"))
    net.turn()
    net.node.begin_shutdown()
    net.answered(net.far())
    arrived(next(iter(net.node.pools.by_host["c0"].links)).conn.sock)
    net.brings(client, req("behind")[:40])  # both are there: the answer goes out over unread bytes
    net.turn()
    client.sendall(b"x" * 5000)
    net.turn()
    assert told(client).endswith("\r\n\r\nv") and told(client) != RESET


def test_a_client_that_never_closes_keeps_no_process():
    """A client never closes its side. The process ends after the linger time."""
    net = LoopbackHarness(1)
    idle_client(net)
    net.node.begin_shutdown()
    net.wait(SHUTDOWN_ACCEPT_US + LINGER_US + 30_000)
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
    client = net.caller(req("early", left="60"))
    net.turn()
    late = net.caller(req("late")[:30])  # begun, and whole only when there is hardly any time left
    net.turn()
    net.node.begin_shutdown()
    net.wait(last_words - 20_000)
    if timeout < 9_000_000:  # else its patience is over
        net.brings(late, req("late")[30:])
        net.turn()
    assert told(client) is None and net.loop.running
    net.wait(30_000)
    assert told(client).split()[1] in ("500", "503")
    assert told(late).split()[1] in ("500", "503", "408")
    assert net.loop.running, "time for the answers to be written"
    net.wait(FINAL_WRITE_US)
    assert not net.loop.running
