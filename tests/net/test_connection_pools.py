"""Connections to hosts: reused, closed, broken, and limited by descriptors."""

import socket

import pytest
from net_scenarios import REQUEST_HEAD, open_idle_connections, unwritable_pair
from node_harness import NodeHarness, received_text

from orchidgap.net.attempt_failure import AttemptFailure, SendProgress
from orchidgap.net.endpoints import decode_list
from orchidgap.net.upstream_attempt import UpstreamAttempt


def test_hosts_that_refuse_or_never_answer_a_connection():
    """One host refuses connections; another never completes one. The first fails at once, the
    second after the connect timeout.
    """
    net = NodeHarness(1)
    net.refused.add(100)
    client = net.send_request()
    assert net.outcomes == ["unconnected"] and "503" in received_text(client)
    net = NodeHarness(1)
    near, _far = unwritable_pair()
    net.node.pools.dial_address = lambda address: near
    client = net.send_request()
    net.advance(99_000)
    assert net.outcomes == [] and received_text(client) is None
    net.advance(2_000)
    assert net.outcomes == ["unconnected"] and "503" in received_text(client)


def test_all_but_one_connection_of_a_burst_are_closed_soon():
    """A burst opens many connections to a host. Seconds later all but one are closed, because
    hosts can hold only a limited number.
    """
    net = NodeHarness(1)
    clients = [net.send_request(f"k{i}") for i in range(7)]
    pool = net.node.pools.by_host["c0"]
    net.answer_all()
    assert len(pool.idle) == 7 and all(received_text(client) for client in clients)
    net.advance(900_000)
    assert len(pool.idle) == 7, "the next burst can reuse them"
    for i in range(3):  # two at a time from now on
        pair = [net.send_request(f"p{i}"), net.send_request(f"q{i}")]
        net.answer_all()
        assert all(received_text(client) for client in pair)
        net.advance(1_000_000)
    assert len(pool.idle) == 2, "other balancers may need the host's connection capacity"
    net.advance(3_000_000)
    assert len(pool.idle) == 1


def test_the_newest_idle_connection_is_used_first_and_none_near_the_idle_limit():
    """A host closes connections that were idle for its limit. The most recently used connection is
    reused first, and one that is near the limit is never used.
    """
    net = NodeHarness(1)
    old, new = open_idle_connections(net, 2)
    for far in (old, new):
        received_text(far)
    net.send_request()
    assert received_text(new).startswith("GET") and received_text(old) is None
    net.answer_from_host(new)
    received_text(new)
    net.send_and_turn(net.client(), b"GET /read/k HTTP/1.1\r\n")
    net.open_sockets[-1].sendall(b"Request-Id: 1\r\nRequest-Timeout: 60\r\n\r\n")
    net.now += 27_100_000  # the request is read before the sweep that is also due
    net.turn()
    assert received_text(new) == received_text(old) == "" and received_text(
        net.host_socket()
    ).startswith("GET")


@pytest.mark.parametrize("disturb", [lambda far: far.close(), lambda far: far.sendall(b"?")])
def test_a_connection_that_was_closed_or_has_unsolicited_bytes_is_not_used(disturb):
    """A host closes an idle connection, or sends unsolicited bytes. The next request uses another
    connection.
    """
    net = NodeHarness(1)
    [connection] = open_idle_connections(net, 1)
    disturb(connection)
    near, client = (
        socket.socketpair()
    )  # the request is read in the same turn, before the end of the idle connection
    client.sendall(REQUEST_HEAD + b"\r\n")
    net.node.clients.admit(near)
    net.turn()
    assert (
        len(net.dialled) == 3
        and received_text(net.host_socket()).startswith("GET")
        and net.outcomes == ["done"]
    )


@pytest.mark.parametrize(("written", "outcome"), [(True, "stale"), (False, "unconnected")])
def test_a_stale_connection_counts_as_unconnected_only_if_nothing_was_sent(
    written, outcome, monkeypatch
):
    """A reused connection breaks under its next request. Whether the request may have been
    executed depends on whether any byte was written.
    """
    net = NodeHarness(1)
    [connection] = open_idle_connections(net, 1)
    net.outcomes.clear()
    monkeypatch.setattr("orchidgap.net.connection.Connection.is_stale", lambda conn: False)
    near, client = socket.socketpair()
    client.sendall(REQUEST_HEAD + b"\r\n")
    if not written:
        connection.close()  # between the check and the write
    net.node.clients.admit(near)
    connection.close()
    net.turn()
    assert net.outcomes == [outcome] and len(net.dialled) == 2 + written, (
        "no resend without a decision"
    )


def test_a_stale_connection_closes_those_that_were_idle_for_longer():
    """A host closed its idle connections. When the first of them breaks under a request, those
    that were idle for longer are closed as well.
    """
    net = NodeHarness(1)
    older, newer = open_idle_connections(net, 2)
    received_text(older), received_text(newer)
    net.advance(300_000)
    client = net.send_request("again")
    assert received_text(newer).startswith("GET")
    newer.close()
    net.turn()
    assert (
        received_text(older) == ""
        and received_text(net.host_socket()).startswith("GET")
        and len(net.host_sockets()) == 3
    )
    net.answer_from_host(net.host_socket())
    assert received_text(client).startswith("HTTP/1.1 200") and net.outcomes[-2:] == [
        "stale",
        "done",
    ]
    client = net.send_request("more")
    net.send_and_turn(net.host_socket(), "HTTP/1.1 200 OK\r\nContent")
    net.host_socket().close()
    net.turn()
    assert net.outcomes[-1] == "reset", "the host had begun to answer"


def test_a_recently_used_connection_that_breaks_does_not_close_idle_ones():
    """A connection breaks that had been idle only briefly. Connections that were idle for longer
    are still used.
    """
    net = NodeHarness(1)
    older, newer = open_idle_connections(net, 2)
    received_text(older), received_text(newer)
    net.advance(50_000)
    client = net.send_request("again")
    received_text(newer)
    newer.close()
    net.turn()
    assert received_text(older).startswith("GET") and len(net.host_sockets()) == 2, (
        "no further handshake"
    )
    net.answer_from_host(older)
    assert received_text(client).startswith("HTTP/1.1 200")


def test_a_connecting_attempt_is_never_written_after_its_host_drains_or_its_request_ends():
    """A connection does not complete before its host drains, or before its request ends. The
    attempt is never written.
    """
    for health in ("Terminating", "Gone"):
        net = NodeHarness(2)
        near, far = unwritable_pair()
        net.node.pools.dial_address = lambda address, near=near: near
        net.send_request()
        assert net.outcomes == []
        net.node.pools.dial_address = net.dial
        owner = next(id for id, pool in net.node.pools.by_host.items() if pool.connections)
        changes = decode_list(
            {"seq": 8, "whole": False, "hosts": [net.host_entry(int(owner[1]), health)]}
        )
        net.node.on_list(False, *changes[2:])
        net.turn()
        assert net.outcomes == ["unconnected"] and received_text(net.host_socket()).startswith(
            "GET"
        ), "the other host serves it"
        assert b"GET" not in far.recv(1 << 20)
    net = NodeHarness(2)
    near, far = unwritable_pair()
    net.node.pools.dial_address = lambda address, near=near: near
    net.send_request().close()
    net.turn()
    assert net.outcomes == ["moot"] and b"GET" not in far.recv(1 << 20)


def test_idle_connections_are_closed_when_descriptors_run_short():
    """Requests to many hosts use all permitted connections. Idle connections are closed for new
    ones; if none is idle, the attempt fails without being charged to the host.
    """
    net = NodeHarness(3, sockets=64)  # eight for hosts
    assert net.node.pools.max_connections == 8
    answered = 0
    for key in range(30):
        client = net.send_request(f"k{key}")
        net.answer_all()
        answered += "200" in (received_text(client) or "")
        client.close()
    assert answered == 30 and net.node.pools.connection_count <= 8
    net.node.clients.max_clients = 9
    clients = [net.send_request(f"b{key}") for key in range(9)]
    assert net.node.pools.connection_count == 8 and net.outcomes[-1] == "moot", (
        "not charged to the host"
    )
    assert "503" in received_text(clients[-1])


class AbandonedRequest:
    """The owner of an attempt whose outcome is ignored."""

    def may_send(self, number):
        return True

    def on_settled(self, number, outcome, body):
        pass


def test_a_dial_without_a_descriptor_closes_an_idle_connection_and_is_repeated():
    """The system has no descriptor for a new connection. The connection that was idle longest is
    closed, and the host is dialled again.
    """
    net = NodeHarness(2)
    for key in range(8):
        net.send_request(f"k{key}")
    net.answer_all()
    failures = [AttemptFailure(SendProgress.UNSENT, "short", "none left")]
    net.node.pools.dial_address = lambda address: failures.pop() if failures else net.dial(address)
    idle, dialled = net.node.pools.connection_count, len(net.dialled)
    attempt = UpstreamAttempt(b"GET / HTTP/1.1\r\n", b"", net.now + 10**6, AbandonedRequest())
    net.node.pools.by_host["c0"].dial(attempt)
    assert (
        idle == net.node.pools.connection_count == 8
        and len(net.dialled) == dialled + 1
        and not failures
    )
