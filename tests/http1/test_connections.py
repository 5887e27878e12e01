"""Connections to hosts: what if the other side says more, breaks or closes just as the next req goes out there?"""

import pytest
from loopback_harness import (
    RESET,
    LoopbackHarness,
    received_or_reset,
    received_text,
    request_text,
    wait_until_readable,
)

from orchidgap.http1.client import STREAM_STALL_TIMEOUT_US
from orchidgap.http1.host_connection import EXCESS_DATA_WINDOW_US, MIN_LATENCY_SAMPLES

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n"
QUICK = 2_000  # in which these hosts answer


def near(far, net):
    """Our end of this connection."""
    return next(
        link.conn.sock
        for pool in net.node.pools.by_host.values()
        for link in pool.connections
        if link.conn.sock.getsockname() == far.getpeername()
    )


def rested(net, wait=100_000, answers=MIN_LATENCY_SAMPLES):
    """A link to the one cache that is idle, and has been for so long since these answers; its far end."""
    for i in range(answers):
        net.advance(EXCESS_DATA_WINDOW_US)
        client = net.connect_client(request_text("first", id=str(i)))
        net.turn()
        _, far = net.next_host_request()
        net.advance(QUICK)
        net.answer_from_host(far)
        assert "200" in received_or_reset(client)
    net.advance(wait)
    return far


def test_a_host_that_is_hardly_known_may_be_quicker_than_it_was():
    net = LoopbackHarness(1)
    far = rested(net, wait=0, answers=MIN_LATENCY_SAMPLES - 1)
    client = net.connect_client(request_text("second"))
    net.turn()
    net.answer_from_host(far, body="mine")
    assert received_or_reset(client).endswith("mine")


@pytest.mark.parametrize("says", [ANSWER + b"x", b"HTTP/1.1 20", b"\0", None])
def test_a_link_on_which_something_came_is_not_taken_though_nobody_has_looked(says):
    net = LoopbackHarness(1)
    old = rested(net)
    ours = near(old, net)
    client = net.connect_client(request_text("second"))
    old.sendall(says) if says else old.close()
    wait_until_readable(ours, net.node.clients.listening_socket)
    net.node.clients.accept()  # the client is looked at first
    net.turn()
    text, new = net.next_host_request()
    assert "/read/second" in text and new is not old
    net.answer_from_host(new, body="mine")
    assert received_or_reset(client).endswith("mine")


@pytest.mark.parametrize("rest", [0, EXCESS_DATA_WINDOW_US - QUICK])
def test_a_second_answer_that_crosses_the_next_req_goes_to_nobody(rest):
    net = LoopbackHarness(1)
    old = rested(net, wait=rest)
    client = net.connect_client(request_text("second"))
    net.turn()
    assert "/read/second" in net.next_host_request()[0] and len(net.host_sockets()) == 1, (
        "the same link"
    )
    net.now += QUICK // 2  # sooner than that host can have got it and answered
    net.answer_from_host(old, body="not mine")
    assert received_or_reset(client) is None and net.verdicts[-1] == "stale"
    text, new = net.next_host_request()
    assert "/read/second" in text and new is not old, "a read may be asked for again"
    net.advance(QUICK)
    net.answer_from_host(new, body="mine")
    assert received_or_reset(client).endswith("\r\n\r\nmine")


@pytest.mark.parametrize(
    ("rest", "after"),
    [
        (0, QUICK),
        (0, QUICK - QUICK // 6),
        (EXCESS_DATA_WINDOW_US, QUICK // 2),
        (EXCESS_DATA_WINDOW_US - QUICK // 2, QUICK // 2),
    ],
)
def test_an_answer_as_quick_as_others_or_well_behind_the_last_one_is_taken(rest, after):
    net = LoopbackHarness(1)
    far = rested(net, wait=rest)
    client = net.connect_client(request_text("second"))
    net.turn()
    net.now += after
    net.answer_from_host(far, body="mine")
    assert received_or_reset(client).endswith("mine") and len(net.host_sockets()) == 1


def test_a_host_that_closes_as_its_link_is_written_to_is_asked_again_on_another():
    net = LoopbackHarness(1)
    old = rested(net)
    client = net.connect_client(request_text("second"))
    net.turn()
    assert "/read/second" in net.next_host_request()[0]
    ours = near(old, net)
    old.close()
    wait_until_readable(ours)
    net.turn()
    text, new = net.next_host_request()
    assert net.verdicts[-1] == "stale" and "/read/second" in text
    net.answer_from_host(new, body="mine")
    assert received_or_reset(client).endswith("mine")


@pytest.mark.parametrize("rule_set", ["once", "mark"])
def test_what_may_have_run_on_a_link_that_broke_runs_no_second_time(rule_set):
    net = LoopbackHarness(1, **{"rule-sets__1__repeat-window": "1"})
    body = f"PUT /{rule_set}/k HTTP/1.1\r\nRequest-Id: {{}}\r\nIdempotency-Key: m\r\nRequest-Timeout: 2\r\nContent-Length: 1\r\n\r\nv"
    first = net.connect_client(body.format(1).encode())
    net.turn()
    _, old = net.next_host_request()
    net.answer_from_host(old)
    assert "200" in received_or_reset(first)
    net.advance(100_000)
    second = net.connect_client(body.format(2).encode())
    net.turn()
    assert "Request-Id: 2" in net.next_host_request()[0]
    ours = near(old, net)
    old.close()
    wait_until_readable(ours)
    net.advance(10_000)
    assert net.next_host_request()[0] == "" and received_or_reset(second).split()[1] == (
        "500" if rule_set == "once" else "503"
    )


@pytest.mark.parametrize("reset", [True, False])
def test_an_answer_without_length_has_ended_only_where_its_host_closed_in_order(reset):
    net = LoopbackHarness(1)
    client = net.connect_client(
        b"PUT /once/k HTTP/1.1\r\nRequest-Id: 1\r\nRequest-Timeout: 2\r\nContent-Length: 1\r\n\r\nv"
    )
    net.turn()
    _, far = net.next_host_request()
    ours = near(far, net)
    far.sendall(b"HTTP/1.1 200 OK\r\n\r\nas far as it")
    wait_until_readable(ours)
    net.turn()
    net.reset_host(far) if reset else far.close()
    wait_until_readable(ours)
    net.turn()
    said = received_or_reset(client)
    assert said.split()[1] == ("500" if reset else "200") and (
        reset or said.endswith("as far as it")
    )


def test_an_answer_that_flows_and_is_reset_does_not_end_in_order_for_its_client():
    net = LoopbackHarness(1)
    client = net.connect_client(request_text())
    net.turn()
    _, far = net.next_host_request()
    ours = near(far, net)
    far.sendall(b"HTTP/1.1 200 OK\r\n\r\nas far as it")
    net.turn()
    net.advance(net.node.response_hold_us)
    assert "as far as it" in received_or_reset(client)
    net.reset_host(far)
    wait_until_readable(ours)
    net.turn()
    assert received_or_reset(client) == RESET


@pytest.mark.parametrize(
    "malformed",
    [
        b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nx",
        b"HTTP/1.1 200 OK\r\nX: " + b"y" * 20_000,
        b"\0\0\0",
    ],
)
def test_an_answer_that_never_ends_or_is_none_costs_its_link_and_not_the_req(malformed):
    net = LoopbackHarness(2)
    client = net.connect_client(request_text())
    net.turn()
    _, old = net.next_host_request()
    old.sendall(malformed)
    net.turn()
    text, new = net.next_host_request()
    assert net.verdicts == ["reset"] and "/read/k1" in text and new is not old
    net.answer_from_host(new, body="mine")
    assert received_or_reset(client).endswith("mine")
    assert received_text(old) == "", "it is closed, and never used again"


def test_an_answer_that_drips_for_ever_holds_its_client_for_a_bounded_time():
    net = LoopbackHarness(1)
    client = net.connect_client(request_text())
    net.turn()
    _, far = net.next_host_request()
    far.sendall(b"HTTP/1.1 200 OK\r\n\r\nx")
    net.turn()
    net.advance(STREAM_STALL_TIMEOUT_US + 2_000_000)  # it says no more
    received_or_reset(client)
    assert (
        received_or_reset(client) == RESET
        and net.node.pools.connection_count == 0
        and not net.node.exchanges
    )
