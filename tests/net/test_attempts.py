"""Attempts: what if the client, its time, the mark of a repeat or the host's place in the list is gone by the
moment in which the first byte is written?"""

import contextlib

import pytest
from loopback_harness import (
    LoopbackHarness,
    received_or_reset,
    received_text,
    request_text,
    wait_until_readable,
)
from net_scenarios import full_pair

from orchidgap.net.endpoints import decode_list

UNCALLED = {"ceilings__may-cancel": "false"}  # where nothing that is out may be called off


def stall_connections(net):
    """From now on connections do not come up; what would come of the first, once it does."""
    near, far = full_pair()
    far.setblocking(False)
    net.node.pools.dial_address = lambda address: near
    return far


def written(far):
    """All that has come there, but for what stood in the way."""
    parts = []
    with contextlib.suppress(BlockingIOError):
        while part := far.recv(1 << 20):
            parts.append(part)
    return b"".join(parts).replace(b"\0", b"")


def let_connection_up(net, far):
    assert written(far) == b""
    net.turn()


@pytest.mark.parametrize("settings", [{}, UNCALLED])
def test_no_attempt_begins_for_a_client_that_left_while_its_connection_came_up(settings):
    """A client asks, and while the connection to the host is still coming up it goes away.
    Once the connection is up nothing of the request may be written there.
    """
    net = LoopbackHarness(1, **settings)
    far = stall_connections(net)
    client = net.connect_client(request_text())
    net.turn()
    assert len(net.node.exchanges) == 1
    net.close_client(client)
    net.turn()
    let_connection_up(net, far)
    assert b"GET" not in written(far) and not net.node.exchanges and net.verdicts == ["moot"]


@pytest.mark.parametrize("settings", [{}, UNCALLED])
def test_its_close_is_seen_also_where_it_comes_in_the_turn_in_which_the_connection_is_up(settings):
    """The client's close and the connection to the host are ready in the same turn, and the
    host's is handled first. The request must not be written all the same.
    """
    net = LoopbackHarness(1, **settings)
    far = stall_connections(net)
    client = net.connect_client(request_text())
    net.turn()
    assert written(far) == b""
    net.close_client(client)  # both are there; the connection to the host is looked at first
    link = next(iter(net.node.pools.by_host["c0"].connections))
    link.conn.on_ready(2)
    net.turn()
    assert b"GET" not in written(far) and not net.node.exchanges


def test_none_of_those_behind_is_sent_on_once_a_client_that_is_not_read_has_left():
    """It sent much at once: reading is paused, and its end stands behind what is not read."""
    net = LoopbackHarness(1)
    client = net.connect_client(b"".join(request_text(f"k{i}") for i in range(20)))
    net.turn()
    caller = next(iter(net.node.clients.open_clients))
    assert caller.conn.read_paused
    text, far = net.next_host_request()
    assert "/read/k0" in text
    net.send_more(client, request_text("k20"))
    client.close()
    net.wait_for_end(caller)
    net.answer_from_host(far)
    net.advance(10_000)
    assert (
        net.next_host_request()[0] == ""
        and not net.node.exchanges
        and caller not in net.node.clients.open_clients
    )


def test_no_attempt_begins_for_who_left_before_being_let_in():
    """A client asks and closes before the balancer has accepted it. No host is dialled for it."""
    net = LoopbackHarness(1)
    client = net.connect_client(request_text())
    client.close()
    net.turn()
    assert net.host_sockets() == [] and not net.node.exchanges and not net.node.clients.open_clients


def test_none_that_wait_for_a_host_are_sent_on_once_their_clients_left():
    """Forty requests come, some are sent and the others wait for the host. Those whose clients
    leave meanwhile are never sent.
    """
    net = LoopbackHarness(1)
    clients = [net.connect_client(request_text(f"k{i}")) for i in range(40)]
    net.turn(8)
    asked = [text for far in net.host_sockets() if (text := received_text(far))]
    waiting = [client for client in clients if received_or_reset(client) is None]
    assert 0 < len(asked) < len(waiting), "some are out, others wait"
    for client in waiting:
        net.close_client(client)
    net.turn(8)
    for far in net.host_sockets():
        with contextlib.suppress(OSError):
            net.answer_from_host(far)
    net.advance(200_000)
    assert net.next_host_request()[0] == "" and not net.node.exchanges


@pytest.mark.parametrize(("after", "goes"), [(100_000, True), (300_000, False)])
def test_a_repeat_is_not_written_once_its_mark_may_be_forgotten(after, goes):
    """The decision to repeat is within the window; the connection comes up when it is over."""
    net = LoopbackHarness(
        0, **{"rule-sets__1__repeat-window": "250000", "rule-sets__1__group": "all"}
    )
    client = net.connect_client(
        b"PUT /mark/k HTTP/1.1\r\nRequest-Id: 1\r\nIdempotency-Key: m\r\nRequest-Timeout: 2\r\n"
        b"Content-Length: 1\r\n\r\nv"
    )
    net.turn()
    text, origin = net.next_host_request()
    assert text.startswith("PUT")
    far = stall_connections(net)
    origin.close()  # it may have run
    wait_until_readable(next(iter(net.node.pools.by_host["o"].connections)).conn.sock)
    net.turn()
    assert net.verdicts == ["reset"] and len(net.node.exchanges) == 1, "a repeat is on its way"
    net.node.pools.connect_timeout_us = 10_000_000
    for link in net.node.pools.by_host["o"].connections:
        link.cancel_timer()
    net.advance(after)
    let_connection_up(net, far)
    assert (b"PUT" in written(far)) == goes
    assert goes or received_or_reset(client).startswith("HTTP/1.1 503"), (
        "and its client may repeat it"
    )


def test_nothing_is_written_for_a_request_whose_time_is_up_in_that_turn():
    """The connection to the host comes up in the turn in which the request's time is over.
    Nothing is written on it.
    """
    net = LoopbackHarness(1, **UNCALLED)
    far = stall_connections(net)
    client = net.connect_client(request_text(left="0.050"))
    net.turn()
    net.now += 60_000  # the loop was held up: its time and the connection come in one turn
    let_connection_up(net, far)
    assert b"GET" not in written(far) and received_or_reset(client).split()[1] in ("500", "503")


def test_what_may_not_be_called_off_ends_with_its_time_and_not_never():
    """Where attempts may not be cancelled, a client that leaves must not keep its attempt open
    for ever: it ends with the request's time.
    """
    net = LoopbackHarness(1, **UNCALLED)
    client = net.connect_client(request_text(left="1.0"))
    net.turn()
    net.close_client(client)
    net.turn()
    assert len(net.node.exchanges) == 1, "it runs on"
    net.advance(1_000_000)
    assert not net.node.exchanges and not net.node.balancer.requests and net.verdicts == ["timeout"]
    assert sum(len(pool.connections) for pool in net.node.pools.by_host.values()) == 0


def test_no_host_is_told_to_wait_for_longer_than_the_client_does():
    """While a body still comes the request has no deadline of its own. What a host is told
    must not exceed the time that the client gave.
    """
    net = LoopbackHarness(1)
    net.connect_client(
        b"PUT /mark/k HTTP/1.1\r\nRequest-Id: 1\r\nRequest-Timeout: 1.5\r\nContent-Length: 100000\r\n\r\n"
        + b"v" * 70_000
    )
    net.turn()
    text, _ = net.next_host_request()
    left = float(
        next(
            line.split(": ")[1] for line in text.split("\r\n") if line.startswith("Request-Timeout")
        )
    )
    assert left <= 1.5


@pytest.mark.parametrize("health", ["Terminating", "Gone"])
def test_a_host_that_drains_in_the_turn_in_which_its_connection_is_up_is_sent_nothing(health):
    """A host starts to drain, or is gone from the list, in the turn in which a connection to
    it comes up. It is sent nothing new.
    """
    net = LoopbackHarness(2)
    far = stall_connections(net)
    net.connect_client(request_text())
    net.turn()
    owner = next(id for id, pool in net.node.pools.by_host.items() if pool.connections)
    link = next(iter(net.node.pools.by_host[owner].connections))
    net.node.pools.dial_address = net.dial
    told_of = decode_list(
        {"seq": 8, "whole": False, "hosts": [net.host_entry(int(owner[1]), health)]}
    )
    net.node.on_list(False, *told_of[2:])
    link.conn.on_ready(2)  # it was ready in the same turn
    net.turn()
    assert b"GET" not in written(far) and net.next_host_request()[0].startswith("GET"), (
        "the other serves it"
    )


def test_a_late_read_whose_client_left_is_not_sent_on_to_the_origin():
    """A read is late at its cache, and its client goes away. No second attempt may follow at
    the origin.
    """
    net = LoopbackHarness(1)
    client = net.connect_client(request_text())
    net.turn()
    net.now += 600_000  # its time to be called off and its client's end come in one turn
    net.close_client(client)
    net.turn()
    assert [port for port, _ in net.dialled if port == 109] == [] and not net.node.exchanges


@pytest.mark.parametrize("settings", [{}, UNCALLED])
def test_a_body_that_will_never_be_whole_holds_no_connection_to_a_host(settings):
    """A client stops in the middle of a body that flows to a host. The connection to the host
    is closed, as the rest will never come.
    """
    net = LoopbackHarness(1, **settings)
    client = net.connect_client(
        b"PUT /mark/k HTTP/1.1\r\nRequest-Id: 1\r\nRequest-Timeout: 1.5\r\n"
        b"Content-Length: 100000\r\n\r\n" + b"v" * 70_000
    )
    net.turn()
    assert net.next_host_request()[0].startswith("PUT") and net.node.pools.connection_count == 1
    net.close_client(client)
    net.turn()
    assert (
        net.node.pools.connection_count == 0
        and not net.node.exchanges
        and not net.node.balancer.requests
    )


def test_nothing_is_written_for_a_request_that_has_its_answer():
    """A second attempt's connection comes up after the first attempt has brought the answer.
    Nothing is written on it.
    """
    net = LoopbackHarness(1, **UNCALLED)
    far = stall_connections(net)
    client = net.connect_client(request_text())
    net.turn()
    net.node.deny(1, 0)
    assert "503" in received_or_reset(client)
    let_connection_up(net, far)
    assert b"GET" not in written(far) and not net.node.exchanges
