"""Connections to hosts: kept, closed, broken, and short of descriptors."""

import socket

import pytest
from net_scenarios import REQ, full_pair, idle_links
from node_harness import NodeHarness, received_text

from orchidgap.net.attempt_failure import AttemptFailure, SendProgress
from orchidgap.net.endpoints import decode_list
from orchidgap.net.upstream_attempt import UpstreamAttempt


def test_hosts_that_refuse_or_never_answer_a_connection():
    """One host refuses connections, another never completes one. The first is an error at
    once, the second when the connect timeout is over.
    """
    net = NodeHarness(1)
    net.refused.add(100)
    client = net.send_request()
    assert net.verdicts == ["unconnected"] and "503" in received_text(client)
    net = NodeHarness(1)
    near, _far = full_pair()
    net.node.pools.dial_address = lambda address: near
    client = net.send_request()
    net.advance(99_000)
    assert net.verdicts == [] and received_text(client) is None
    net.advance(2_000)
    assert net.verdicts == ["unconnected"] and "503" in received_text(client)


def test_links_from_a_burst_are_not_kept_for_long_and_one_is():
    """A burst opens many connections to a host. Seconds later all but one are closed, as hosts
    hold only so many.
    """
    net = NodeHarness(1)
    clients = [net.send_request(f"k{i}") for i in range(7)]
    pool = net.node.pools.by_host["c0"]
    net.answer_all()
    assert len(pool.idle) == 7 and all(received_text(client) for client in clients)
    net.advance(900_000)
    assert len(pool.idle) == 7, "the next burst finds them"
    for i in range(3):  # two at a time from now on
        pair = [net.send_request(f"p{i}"), net.send_request(f"q{i}")]
        net.answer_all()
        assert all(received_text(client) for client in pair)
        net.advance(1_000_000)
    assert len(pool.idle) == 2, "other balancers may need what the host has room for"
    net.advance(3_000_000)
    assert len(pool.idle) == 1


def test_the_newest_idle_link_goes_first_and_none_near_its_limit():
    """A host closes connections that were idle for its limit. One near that limit is never
    taken for a request.
    """
    net = NodeHarness(1)
    old, new = idle_links(net, 2)
    for far in (old, new):
        received_text(far)
    net.send_request()
    assert received_text(new).startswith("GET") and received_text(old) is None
    net.answer_from_host(new)
    received_text(new)
    net.send_and_turn(net.client(), b"GET /read/k HTTP/1.1\r\n")
    net.kept[-1].sendall(b"Request-Id: 1\r\nRequest-Timeout: 60\r\n\r\n")
    net.now += 27_100_000  # the req is read before the sweep that is also due
    net.turn()
    assert received_text(new) == received_text(old) == "" and received_text(
        net.host_socket()
    ).startswith("GET")


@pytest.mark.parametrize("leaves", [lambda far: far.close(), lambda far: far.sendall(b"?")])
def test_a_link_that_was_closed_or_spoken_on_is_not_written_to(leaves):
    """A host closes an idle connection, or sends bytes that nobody asked for. The next request
    goes on another one.
    """
    net = NodeHarness(1)
    [link] = idle_links(net, 1)
    leaves(link)
    near, client = (
        socket.socketpair()
    )  # the req comes in the same round, before the end of the link is seen
    client.sendall(REQ + b"\r\n")
    net.node.clients.admit(near)
    net.turn()
    assert (
        len(net.dialled) == 3
        and received_text(net.host_socket()).startswith("GET")
        and net.verdicts == ["done"]
    )


@pytest.mark.parametrize(("written", "verdict"), [(True, "stale"), (False, "unconnected")])
def test_a_stale_link_is_a_reset_unless_nothing_was_sent(written, verdict, monkeypatch):
    """A kept connection breaks under its next request. Whether that may have been executed
    depends on whether anything was written.
    """
    net = NodeHarness(1)
    [link] = idle_links(net, 1)
    net.verdicts.clear()
    monkeypatch.setattr("orchidgap.net.connection.Connection.is_stale", lambda conn: False)
    near, client = socket.socketpair()
    client.sendall(REQ + b"\r\n")
    if not written:
        link.close()  # between the look and the write
    net.node.clients.admit(near)
    link.close()
    net.turn()
    assert net.verdicts == [verdict] and len(net.dialled) == 2 + written, (
        "no second send nobody decided"
    )


def test_a_kept_link_that_breaks_under_its_next_request_takes_older_ones_with_it():
    """A host closed its idle connections. The first that breaks says so of those that were
    idle for longer, and they are closed.
    """
    net = NodeHarness(1)
    older, newer = idle_links(net, 2)
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
    assert received_text(client).startswith("HTTP/1.1 200") and net.verdicts[-2:] == [
        "stale",
        "done",
    ]
    client = net.send_request("more")
    net.send_and_turn(net.host_socket(), "HTTP/1.1 200 OK\r\nContent")
    net.host_socket().close()
    net.turn()
    assert net.verdicts[-1] == "reset", "it had begun to answer"


def test_a_busy_link_that_breaks_says_nothing_of_those_kept_for_longer():
    """A connection breaks that had been idle only for a moment. Those kept for longer are
    still good.
    """
    net = NodeHarness(1)
    older, newer = idle_links(net, 2)
    received_text(older), received_text(newer)
    net.advance(50_000)
    client = net.send_request("again")
    received_text(newer)
    newer.close()
    net.turn()
    assert received_text(older).startswith("GET") and len(net.host_sockets()) == 2, (
        "no handshake more"
    )
    net.answer_from_host(older)
    assert received_text(client).startswith("HTTP/1.1 200")


def test_a_attempt_still_connecting_is_never_written_once_its_host_drains_or_the_request_is_over():
    """A connection never comes up before its host drains, or before its request is answered.
    The attempt is never written.
    """
    for health in ("Terminating", "Gone"):
        net = NodeHarness(2)
        near, far = full_pair()
        net.node.pools.dial_address = lambda address, near=near: near
        net.send_request()
        assert net.verdicts == []
        net.node.pools.dial_address = net.dial
        owner = next(id for id, pool in net.node.pools.by_host.items() if pool.connections)
        told = decode_list(
            {"seq": 8, "whole": False, "hosts": [net.host_entry(int(owner[1]), health)]}
        )
        net.node.on_list(False, *told[2:])
        net.turn()
        assert net.verdicts == ["unconnected"] and received_text(net.host_socket()).startswith(
            "GET"
        ), "the other serves it"
        assert b"GET" not in far.recv(1 << 20)
    net = NodeHarness(2)
    near, far = full_pair()
    net.node.pools.dial_address = lambda address, near=near: near
    net.send_request().close()
    net.turn()
    assert net.verdicts == ["moot"] and b"GET" not in far.recv(1 << 20)


def test_idle_links_make_way_where_descriptors_run_short():
    """Requests to many hosts use all connections that there may be. Idle ones are closed for
    new ones, and where none is idle the attempt fails without blame on the host.
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
    assert net.node.pools.connection_count == 8 and net.verdicts[-1] == "moot", (
        "no fault of the host"
    )
    assert "503" in received_text(clients[-1])


class Nobody:
    def may_send(self, number):
        return True

    """Whose dispatch nobody waits for."""

    def on_settled(self, number, outcome, body):
        pass


def test_no_descriptor_to_dial_sheds_an_idle_link_and_dials_again():
    """The system has no descriptor for a new connection. The longest idle one is closed, and
    the host is dialled again.
    """
    net = NodeHarness(2)
    for key in range(8):
        net.send_request(f"k{key}")
    net.answer_all()
    short = [AttemptFailure(SendProgress.UNSENT, "short", "none left")]
    net.node.pools.dial_address = lambda address: short.pop() if short else net.dial(address)
    idle, dialled = net.node.pools.connection_count, len(net.dialled)
    attempt = UpstreamAttempt(b"GET / HTTP/1.1\r\n", b"", net.now + 10**6, Nobody())
    net.node.pools.by_host["c0"].dial(attempt)
    assert (
        idle == net.node.pools.connection_count == 8
        and len(net.dialled) == dialled + 1
        and not short
    )
