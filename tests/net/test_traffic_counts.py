"""The counts of arrivals and of ends add up.

A request was lost once, and no log could show whether it had ever arrived.
"""

import orjson
from loopback_harness import LoopbackHarness, received_or_reset, request_text

from orchidgap.net.client_table import REQUEST_TIMEOUT_US
from orchidgap.net.traffic_counts import ConnectionEnd, RequestEnd


def counts_that_add_up(net):
    counts = net.node.traffic_counts
    assert counts.connections_open == len(net.node.clients.open_clients)
    assert counts.requests_open == sum(
        not exchange.closed for exchange in net.node.exchanges.values()
    )
    return counts


def test_a_served_request_and_one_whose_client_disconnects_are_counted_separately():
    net = LoopbackHarness(1)
    served = net.connect_client(request_text("k1"))
    net.turn()
    net.answer_from_host(net.host_socket())
    assert "200" in received_or_reset(served)
    gone = net.connect_client(request_text("k2"))
    net.turn()
    assert counts_that_add_up(net).requests_open == 1
    net.close_client(gone)
    net.turn(2)
    counts = counts_that_add_up(net)
    assert counts.requests_arrived == 2
    assert counts.request_ends == {RequestEnd.SERVED: 1, RequestEnd.CLIENT_DISCONNECTED: 1}
    assert counts.connections_accepted == 2
    assert counts.connection_ends == {ConnectionEnd.CLIENT_CLOSED: 1}


def test_malformed_requests_are_counted_by_status():
    net = LoopbackHarness(1)
    client = net.connect_client(b"GET /read/k1 HTTP/1.1\r\nno colon\r\n\r\n")
    net.turn()
    assert "400" in received_or_reset(client)
    ready = net.connect_client(b"GET /up HTTP/1.1\r\nHost: s\r\n\r\n")
    net.turn()
    assert "200" in received_or_reset(ready)
    counts = counts_that_add_up(net)
    assert counts.rejections == {400: 1}
    assert (counts.readiness_checks, counts.requests_arrived) == (1, 0)


def test_a_silent_client_and_bytes_that_arrive_at_its_close_are_counted():
    net = LoopbackHarness(1)
    client = net.connect_client()
    net.turn()
    net.send_more(client, request_text())
    next(iter(net.node.clients.open_clients)).close(ConnectionEnd.SILENT)
    counts = counts_that_add_up(net)
    assert counts.connection_ends == {ConnectionEnd.SILENT: 1}
    assert counts.closed_with_unread_bytes == 1
    net.connect_client()
    net.turn()
    net.advance(REQUEST_TIMEOUT_US * 2)
    net.turn(2)
    assert counts_that_add_up(net).connection_ends == {ConnectionEnd.SILENT: 2}


def test_the_count_report_is_one_line():
    net = LoopbackHarness(1)
    net.connect_client(request_text())
    net.turn()
    succeeded, line = net.node.count_report()
    assert succeeded
    assert orjson.loads(line) == {
        "connections": {"accepted": 1, "open": 1},
        "requests": {"arrived": 1, "open": 1},
        "rejected": {},
    }
