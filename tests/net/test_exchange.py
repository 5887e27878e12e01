"""A request from its last byte to its answer, mostly over socket pairs."""

import socket
import time

import pytest
from loopback_harness import LoopbackHarness, received_or_reset
from net_scenarios import NO_CANCELLATION
from node_harness import NodeHarness, received_text

from orchidgap.net.receive_timestamps import SO_TIMESTAMPNS


def test_a_request_from_end_to_end():
    net = NodeHarness()
    client = net.send_request("7f3", method="PUT", rule_set="mark", body="value")
    origin = net.host_socket()
    assert received_text(origin) == (
        "PUT /mark/7f3?q=1 HTTP/1.1\r\nHost: cache\r\nRequest-Id: r-7f3\r\nIdempotency-Key: m1\r\n"
        "Content-Length: 5\r\nRequest-Timeout: 1.980\r\n\r\nvalue"
    )
    net.send_and_turn(origin, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nst")
    assert received_text(client) is None, "no byte is sent before the body is complete"
    net.send_and_turn(origin, "ok")
    assert received_text(client) == "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nstok"
    assert not net.node.exchanges and not net.node.balancer.requests


def test_a_miss_is_sent_to_the_origin_and_connections_are_reused():
    net = NodeHarness(1)
    for _ in range(3):
        client = net.send_request("k")
        net.answer_from_host(net.host_socket(0), 404)
        net.answer_from_host(net.host_socket(1), body="from origin")
        assert received_text(client).endswith("\r\n\r\nfrom origin")
    assert [port for port, _ in net.dialled] == [8500, 100, 109], "each was dialled once"


def test_the_load_that_a_host_reports_reaches_the_decisions():
    net = NodeHarness(3, report__how="inline", report__fields="concurrent,tps")
    for key in ("k1", "k2", "k3", "k4", "k5", "k6"):
        net.send_request(key)
        for far in net.host_sockets():
            if received_text(far):
                net.answer_from_host(far, more="Server-Load: concurrent=7,tps=2.5,else=1\r\n")
    reporting = [
        host for host in net.node.balancer.hosts.values() if host.reported_request_rate >= 0
    ]
    assert reporting and {
        (host.reported_request_rate, host.reported_in_flight) for host in reporting
    } == {(2.5, 7.0)}
    net.send_request("k7")
    for far in net.host_sockets():
        if received_text(far):
            net.answer_from_host(far, more="Server-Load: concurrent=all of it,tps\r\n")
    assert {host.reported_in_flight for host in reporting} == {7.0} and not net.node.exchanges


def test_an_overdue_read_is_cancelled_and_answered_by_the_origin():
    """A cache does not answer a read in time. The attempt is cancelled, which closes its
    connection, and the origin answers.
    """
    net = NodeHarness(3)
    client = net.send_request()
    late = net.host_socket()
    assert received_text(late).startswith("GET /read/k1")
    net.advance(600_000)
    assert received_text(late) == "", "the connection is closed, so the host sees the cancellation"
    assert net.dialled[-1][0] == 109 and received_text(net.host_socket()).startswith(
        "GET /read/k1"
    ), "the origin's port"
    net.answer_from_host(net.host_socket())
    assert (
        "200" in received_text(client)
        and net.outcomes == ["cancelled", "done"]
        and not net.node.exchanges
    )


def test_an_overdue_read_whose_connection_never_completed_is_sent_to_the_origin():
    """The connection to a cache does not complete in time. The read is sent to the origin as well."""
    net = NodeHarness(3)
    client = net.send_request()
    attempt = next(iter(net.node.exchanges.values())).attempts[0]
    attempt.carrier.conn.bytes_written = (
        attempt.carrier.bytes_written_at_start
    )  # as if nothing had been written yet
    net.advance(600_000)
    assert net.outcomes[0] == "moot" and net.dialled[-1][0] == 109
    net.answer_from_host(net.host_socket())
    assert "200" in received_text(client)


@pytest.mark.parametrize(
    ("behave", "outcome"),
    [
        (lambda net, far: far.close(), "reset"),
        (
            lambda net, far: (
                far.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"),
                far.close(),
            ),
            "reset",
        ),
        (lambda net, far: (far.sendall(b"HTTP/1.1 200 OK\r\n\r\nno length"), far.close()), "reset"),
        (lambda net, far: far.sendall(b"\x00\x01 what"), "reset"),
        (
            lambda net, far: far.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n"),
            "reset",
        ),
        (lambda net, far: far.sendall(b"HTTP/1.1 200 OK\r\nX: " + b"x" * 17_000), "reset"),
        (
            lambda net, far: far.sendall(
                b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nvHTTP/1.1 200"
            ),
            "done",
        ),
        (
            lambda net, far: far.sendall(
                b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nv\r\n0\r\n\r\n"
            ),
            "done",
        ),
        (
            lambda net, far: far.sendall(
                b"HTTP/1.1 503 No\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n"
            ),
            "full",
        ),
        (lambda net, far: far.sendall(b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"), "error"),
        (lambda net, far: far.sendall(b"HTTP/1.1 302 No\r\nContent-Length: 0\r\n\r\n"), "error"),
        (lambda net, far: net.advance(2_000_000), "timeout"),
    ],
)
def test_each_behaviour_of_a_host_is_reported_as_its_outcome(behave, outcome):
    """A host answers correctly, malformed, late, in part or not at all. The decisions get exactly
    the matching outcome.
    """
    net = NodeHarness(3, **NO_CANCELLATION)
    net.send_request()
    behave(net, net.host_socket())
    net.turn()
    assert net.outcomes == [outcome]


def test_a_client_that_disconnects_ends_its_attempt():
    """A client closes while its request is at a host. The attempt is cancelled where cancellation
    is allowed.
    """
    net = NodeHarness()
    client = net.send_request()
    assert received_text(net.host_socket()).startswith("GET")
    client.close()
    net.turn()
    assert (
        received_text(net.host_socket()) == ""
        and net.outcomes == ["cancelled"]
        and not net.node.exchanges
    )


def test_an_answer_is_sent_before_the_client_timeout_and_nothing_after():
    """No host answers. The client is answered shortly before its timeout, and a later answer of a
    host is discarded.
    """
    net = NodeHarness()
    client = net.send_request(left="0.5")
    net.advance(479_000)
    assert received_text(client) is None
    net.advance(2_000)
    assert received_text(client).startswith("HTTP/1.1 503") and net.outcomes == ["timeout"]
    net.advance(5_000_000)
    assert received_text(client) is None


def test_time_in_which_the_loop_was_stalled_is_subtracted():
    """The event loop is stalled for a while after a request arrived. The delay is subtracted from
    the request's time and does not postpone the answer.
    """
    net = NodeHarness()
    client = net.client()
    client.sendall(b"GET /read/k HTTP/1.1\r\nRequest-Id: 1\r\nRequest-Timeout: 0.5\r\n\r\n")
    net.now += 300_000  # the request may have arrived at the start of the stall
    net.turn()
    net.advance(181_000)
    assert (received_text(client) or "").startswith("HTTP/1.1 503")


def test_an_exception_in_the_decisions_is_answered_500():
    """A call of the decisions raises an exception. The request concerned is answered 500, and
    others continue.
    """
    net = NodeHarness(expected_errors=(ZeroDivisionError,))
    net.node.balancer.on_request = lambda *_: 1 / 0
    assert received_text(net.send_request()).startswith("HTTP/1.1 500") and net.log.lines == [
        "serving",
        "ZeroDivisionError",
    ]
    net = NodeHarness()
    net.node.balancer.on_request = lambda *_: None  # makes no decision
    client = net.send_request()
    net.advance(2_000_000)
    assert received_text(client).startswith("HTTP/1.1 500") and "unanswered" in net.log.lines


def test_a_request_with_the_id_of_an_open_one_is_rejected():
    """A second request arrives with the id of an open one. It is rejected, because one of the
    answers would be sent to the wrong client.
    """
    net = NodeHarness(1)
    first, second = net.send_request("k"), net.send_request("k")
    assert received_text(second).startswith("HTTP/1.1 409") and len(net.host_sockets()) == 1
    net.answer_from_host(net.host_socket())
    assert received_text(first).startswith("HTTP/1.1 200") and not net.node.open_request_ids
    assert received_text(net.send_request("k")) is None, (
        "the id may be reused once that request is answered"
    )


def test_a_request_that_a_host_answers_400_is_not_sent_to_others():
    """A host answers 400, so the fault is in the request. The client gets that answer, and no
    other host is tried.
    """
    net = NodeHarness(3)
    client = net.send_request("k")
    net.answer_from_host(net.host_socket(), 400, "")
    assert (
        received_text(client).startswith("HTTP/1.1 400")
        and net.outcomes == ["unfit"]
        and len(net.host_sockets()) == 1
    )
    assert not net.node.exchanges and not net.node.balancer.requests


def write_text(key):
    return (
        f"PUT /mark/{key} HTTP/1.1\r\nHost: s\r\nRequest-Id: r-{key}\r\nTenant: small\r\n"
        f"Request-Timeout: 2.0\r\nIdempotency-Key: {key}\r\nContent-Length: 1\r\n\r\nv"
    ).encode()


def test_the_objective_of_a_request_that_arrived_during_a_stall_counts_from_its_arrival():
    # With stopped balancers, drills saw late answers: requests abandoned, and 503 delayed for as
    # long as the stop.
    net = LoopbackHarness(0)
    net.node.balancer.hosts["o"].concurrency_limit = 1.0
    first = net.connect_client(write_text("k1"))
    net.turn()
    waiting = net.connect_client(write_text("k2"))
    time.sleep(0.3)  # by the kernel's clock; the node's clock does not advance
    net.turn()
    net.advance(450_000)
    assert received_or_reset(waiting) is None
    net.advance(100_000)  # the objective ends 0.8 s after arrival
    assert "503" in received_or_reset(waiting)
    assert received_or_reset(first) is None


def test_a_request_that_arrives_while_no_client_is_connected_has_its_time_of_arrival():
    # Without clients, the kernel did not timestamp bytes for the process: the length of a stop was
    # added to the client's time.
    net = LoopbackHarness(0)
    net.listen()
    assert net.node.clients.listening_socket.getsockopt(socket.SOL_SOCKET, SO_TIMESTAMPNS) == 1
    waiting = net.connect_client(write_text("k1"))
    time.sleep(0.3)  # by the kernel's clock; the node's clock does not advance
    net.turn()
    exchange = next(iter(net.node.exchanges.values()))
    assert exchange.deadline_us - net.loop.now <= 1_700_000
    assert received_or_reset(waiting) is None


def test_the_objective_of_a_pipelined_request_counts_from_when_it_is_next():
    # A request behind a slow one of the same client was denied as if it had been in the queue all
    # along.
    net = LoopbackHarness(0)
    net.node.balancer.hosts["o"].concurrency_limit = 1.0
    pipelining = net.connect_client(write_text("k1") + write_text("k2"))
    net.turn()
    others = [net.connect_client(write_text(key)) for key in ("k3", "k4")]
    net.turn()
    net.advance(600_000)
    net.answer_from_host(net.next_host_request()[1])
    net.advance(10_000)
    assert received_or_reset(pipelining).startswith("HTTP/1.1 200")
    net.advance(500_000)  # 1.1 s after arrival, 0.5 s after the request was next
    assert received_or_reset(pipelining) is None
    net.advance(400_000)  # 0.9 s after the request was next
    assert "503" in received_or_reset(pipelining)
    assert [received_or_reset(other) for other in others] == [None, None]
