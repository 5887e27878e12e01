"""Attempts whose reason to be sent ends before the first byte is written.

The client, its time, the deduplication record of a resend or the host's list entry may be gone by
then.
"""

import contextlib

import pytest
from loopback_harness import (
    LoopbackHarness,
    received_or_reset,
    received_text,
    request_text,
    wait_until_readable,
)
from net_scenarios import unwritable_pair

from orchidgap.net.endpoints import decode_list

NO_CANCELLATION = {"ceilings__may-cancel": "false"}  # sent attempts may not be cancelled


def stall_connections(net):
    """Make further dials return one connection that does not complete; return its far end."""
    near, far = unwritable_pair()
    far.setblocking(False)
    net.node.pools.dial_address = lambda address: near
    return far


def written_text(far):
    """Return everything received at this end except the filler that blocked the socket."""
    parts = []
    with contextlib.suppress(BlockingIOError):
        while part := far.recv(1 << 20):
            parts.append(part)
    return b"".join(parts).replace(b"\0", b"")


def complete_connection(net, far):
    assert written_text(far) == b""
    net.turn()


@pytest.mark.parametrize("settings", [{}, NO_CANCELLATION])
def test_no_attempt_begins_for_a_client_that_left_while_the_host_was_dialled(settings):
    """A client disconnects while the connection to the host is still being established. Once it is
    established, no byte of the request may be written to it.
    """
    net = LoopbackHarness(1, **settings)
    far = stall_connections(net)
    client = net.connect_client(request_text())
    net.turn()
    assert len(net.node.exchanges) == 1
    net.close_client(client)
    net.turn()
    complete_connection(net, far)
    assert b"GET" not in written_text(far) and not net.node.exchanges and net.outcomes == ["moot"]


@pytest.mark.parametrize("settings", [{}, NO_CANCELLATION])
def test_a_client_close_in_the_turn_in_which_the_host_connection_completes_is_seen(settings):
    """The client's close and the connection to the host are ready in the same turn, and the host's
    connection is handled first. The request must still not be written.
    """
    net = LoopbackHarness(1, **settings)
    far = stall_connections(net)
    client = net.connect_client(request_text())
    net.turn()
    assert written_text(far) == b""
    net.close_client(client)  # both are ready; the host's connection is handled first
    connection = next(iter(net.node.pools.by_host["c0"].connections))
    connection.conn.on_ready(2)
    net.turn()
    assert b"GET" not in written_text(far) and not net.node.exchanges


def test_no_pipelined_request_is_sent_after_a_client_with_paused_reads_has_left():
    """The client pipelined many requests: reading is paused, and its FIN is behind unread bytes."""
    net = LoopbackHarness(1)
    client = net.connect_client(b"".join(request_text(f"k{i}") for i in range(20)))
    net.turn()
    client_connection = next(iter(net.node.clients.open_clients))
    assert client_connection.conn.read_paused
    text, far = net.next_host_request()
    assert "/read/k0" in text
    net.send_more(client, request_text("k20"))
    client.close()
    net.wait_for_fin(client_connection)
    net.answer_from_host(far)
    net.advance(10_000)
    assert (
        net.next_host_request()[0] == ""
        and not net.node.exchanges
        and client_connection not in net.node.clients.open_clients
    )


def test_no_attempt_begins_for_a_client_that_left_before_it_was_accepted():
    """A client sends a request and closes before the balancer has accepted it. No host is dialled."""
    net = LoopbackHarness(1)
    client = net.connect_client(request_text())
    client.close()
    net.turn()
    assert net.host_sockets() == [] and not net.node.exchanges and not net.node.clients.open_clients


def test_no_queued_request_is_sent_after_its_client_has_left():
    """Forty requests arrive; some are sent and the others are queued for the host. Queued requests
    whose clients disconnect are never sent.
    """
    net = LoopbackHarness(1)
    clients = [net.connect_client(request_text(f"k{i}")) for i in range(40)]
    net.turn(8)
    sent = [text for far in net.host_sockets() if (text := received_text(far))]
    waiting = [client for client in clients if received_or_reset(client) is None]
    assert 0 < len(sent) < len(waiting), "some are sent, others are queued"
    for client in waiting:
        net.close_client(client)
    net.turn(8)
    for far in net.host_sockets():
        with contextlib.suppress(OSError):
            net.answer_from_host(far)
    net.advance(200_000)
    assert net.next_host_request()[0] == "" and not net.node.exchanges


@pytest.mark.parametrize(("after", "is_sent"), [(100_000, True), (300_000, False)])
def test_a_resend_is_not_written_after_its_deduplication_window(after, is_sent):
    """The decision to resend falls within the deduplication window, and the connection completes
    after it.
    """
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
    origin.close()  # the request may have been executed
    wait_until_readable(next(iter(net.node.pools.by_host["o"].connections)).conn.sock)
    net.turn()
    assert net.outcomes == ["reset"] and len(net.node.exchanges) == 1, "a resend is in progress"
    net.node.pools.connect_timeout_us = 10_000_000
    for connection in net.node.pools.by_host["o"].connections:
        connection.cancel_timer()
    net.advance(after)
    complete_connection(net, far)
    assert (b"PUT" in written_text(far)) == is_sent
    assert is_sent or received_or_reset(client).startswith("HTTP/1.1 500"), (
        "a retry by the client would come after the window too"
    )


def test_nothing_is_written_for_a_request_whose_deadline_passes_in_the_same_turn():
    """The connection to the host completes in the turn in which the request's deadline passes.
    Nothing is written to it.
    """
    net = LoopbackHarness(1, **NO_CANCELLATION)
    far = stall_connections(net)
    client = net.connect_client(request_text(left="0.050"))
    net.turn()
    net.now += 60_000  # the loop was stalled: the deadline and the connection are due in one turn
    complete_connection(net, far)
    assert b"GET" not in written_text(far) and received_or_reset(client).split()[1] in (
        "500",
        "503",
    )


def test_an_attempt_that_may_not_be_cancelled_ends_at_the_deadline():
    """Where attempts may not be cancelled, a client that disconnects must not keep its attempt
    open forever: the attempt ends at the request's deadline.
    """
    net = LoopbackHarness(1, **NO_CANCELLATION)
    client = net.connect_client(request_text(left="1.0"))
    net.turn()
    net.close_client(client)
    net.turn()
    assert len(net.node.exchanges) == 1, "the attempt continues"
    net.advance(1_000_000)
    assert not net.node.exchanges and not net.node.balancer.requests and net.outcomes == ["timeout"]
    assert sum(len(pool.connections) for pool in net.node.pools.by_host.values()) == 0


def test_the_timeout_sent_to_a_host_does_not_exceed_the_client_timeout():
    """While a body is still arriving, the request has no deadline of its own. The timeout sent to
    the host must not exceed the one that the client sent.
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
def test_a_host_that_drains_in_the_turn_in_which_its_connection_completes_is_sent_nothing(health):
    """A host starts to drain, or is removed from the list, in the turn in which a connection to it
    completes. It is sent no new request.
    """
    net = LoopbackHarness(2)
    far = stall_connections(net)
    net.connect_client(request_text())
    net.turn()
    owner = next(id for id, pool in net.node.pools.by_host.items() if pool.connections)
    connection = next(iter(net.node.pools.by_host[owner].connections))
    net.node.pools.dial_address = net.dial
    changes = decode_list(
        {"seq": 8, "whole": False, "hosts": [net.host_entry(int(owner[1]), health)]}
    )
    net.node.on_list(False, *changes[2:])
    connection.conn.on_ready(2)  # the connection was ready in the same turn
    net.turn()
    assert b"GET" not in written_text(far) and net.next_host_request()[0].startswith("GET"), (
        "the other host serves it"
    )


def test_an_overdue_read_whose_client_left_is_not_sent_to_the_origin():
    """A read is overdue at its cache, and its client disconnects. No second attempt may be sent to
    the origin.
    """
    net = LoopbackHarness(1)
    client = net.connect_client(request_text())
    net.turn()
    net.now += 600_000  # the attempt is overdue in the turn in which the client closes
    net.close_client(client)
    net.turn()
    assert [port for port, _ in net.dialled if port == 109] == [] and not net.node.exchanges


@pytest.mark.parametrize("settings", [{}, NO_CANCELLATION])
def test_a_body_that_will_never_be_complete_keeps_no_connection_to_a_host(settings):
    """A client closes in the middle of a body that is streamed to a host. The connection to the
    host is closed, because the rest will never arrive.
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


def test_nothing_is_written_for_a_request_that_is_already_answered():
    """The connection of a second attempt completes after the request was answered. Nothing is
    written to it.
    """
    net = LoopbackHarness(1, **NO_CANCELLATION)
    far = stall_connections(net)
    client = net.connect_client(request_text())
    net.turn()
    net.node.deny(1, 0)
    assert "503" in received_or_reset(client)
    complete_connection(net, far)
    assert b"GET" not in written_text(far) and not net.node.exchanges
