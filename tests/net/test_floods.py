"""Floods: many pipelined requests, idle clients on all descriptors, requests written byte by byte."""

import orjson
from loopback_harness import (
    LoopbackHarness,
    received_or_reset,
    received_text,
    request_text,
    wait_until_readable,
)
from net_scenarios import discovery_socket, push_host_list

from orchidgap.net.client_listener import MAX_CLOSING_CLIENTS
from orchidgap.net.client_table import REQUEST_TIMEOUT_US, UNUSED_AFTER_US


def test_hundreds_of_pipelined_requests_of_a_client_that_left_are_one_attempt():
    """A client pipelines hundreds of requests and closes. Only the first is sent, and the others
    use no memory.
    """
    net = LoopbackHarness(1)
    client = net.connect_client(b"".join(request_text(f"k{i}") for i in range(400)))
    net.turn()
    client_connection = next(iter(net.node.clients.open_clients))
    assert client_connection.conn.read_paused and len(client_connection.reader.pipelined) < 700, (
        "no more than one read is buffered"
    )
    client.close()
    net.wait_for_fin(client_connection)
    assert "/read/k0" in net.next_host_request()[0]
    net.answer_from_host(net.host_socket())
    net.advance(20_000)
    assert (
        net.next_host_request()[0] == ""
        and not net.node.exchanges
        and not net.node.clients.open_clients
        and not net.node.open_request_ids
    )


def test_idle_clients_on_all_places_block_neither_requests_nor_the_list():
    """Idle clients occupy all places. New requests are still served, and discovery's list is still
    received.
    """
    net = LoopbackHarness(1, sockets=64)
    most = net.node.clients.max_clients
    received_text(discovery_socket(net))
    silent = [net.connect_client() for _ in range(3 * most)]
    net.turn(8)
    assert len(net.node.clients.open_clients) <= most + MAX_CLOSING_CLIENTS
    net.advance(UNUSED_AFTER_US)  # clients without a request for this long are evicted first
    late = net.connect_client(request_text("late"))
    net.turn(8)
    text, far = net.next_host_request()
    assert "/read/late" in text
    net.answer_from_host(far)
    assert "200" in received_or_reset(late)
    discovery_socket(net).close()  # discovery reconnects while all clients are still connected
    net.turn()
    net.advance(200_000)
    push_host_list(net, 41, True, [net.host_entry(5), net.host_entry(9)])
    assert set(net.node.balancer.hosts) == {"c5", "o"}
    assert silent


def test_service_recovers_when_the_clients_on_all_places_have_left():
    """Clients with open requests occupy all places, then disconnect. Service recovers without
    intervention.
    """
    net = LoopbackHarness(1, sockets=64)
    # each client sends part of a request body, and the host does not answer
    busy = [
        net.connect_client(
            b"PUT /mark/b%d HTTP/1.1\r\nRequest-Id: %d\r\nRequest-Timeout: 60\r\nContent-Length: 90000\r\n\r\n"
            % (i, i)
            + b"v" * 70_000
        )
        for i in range(net.node.clients.max_clients)
    ]
    net.turn(8)
    rejected = net.connect_client(request_text("out"))
    net.turn(4)
    assert received_or_reset(rejected).split()[1] == "503" and received_or_reset(rejected) == ""
    for client in busy:
        client.close()
    net.turn(8)
    client = net.connect_client(request_text("in"))
    net.turn(4)
    while "/read/in" not in (found := net.next_host_request())[0]:
        assert found[0], "the request was never sent to a host"
    net.answer_from_host(found[1])
    assert "200" in received_or_reset(client) and len(net.node.clients.open_clients) <= 2


def test_a_request_written_byte_by_byte_is_served_and_a_stalled_one_is_ended():
    """One client writes its request byte by byte; another stops in the middle. The first is
    served, the second is answered 408 and disconnected.
    """
    net = LoopbackHarness(1)
    text = request_text()
    client, stalled = net.connect_client(text[:1]), net.connect_client(text[:9])
    net.turn()
    for at in range(1, len(text)):
        net.send_more(client, text[at : at + 1])
        net.advance(REQUEST_TIMEOUT_US // 2 // len(text))
    found, far = net.next_host_request()
    assert "/read/k1" in found
    net.answer_from_host(far)
    assert "200" in received_or_reset(client) and received_or_reset(stalled) is None
    net.advance(REQUEST_TIMEOUT_US)
    assert (
        received_or_reset(stalled).startswith("HTTP/1.1 408") and received_or_reset(stalled) == ""
    )
    assert received_or_reset(client) is None, "a served client may stay idle"


def test_a_list_that_arrives_during_a_flood_is_applied_in_the_same_turn():
    """Clients flood the balancer while discovery sends a new list. The list is applied in that
    turn, before the flood is handled.
    """
    net = LoopbackHarness(1)
    agent = discovery_socket(net)
    received_text(agent)
    body = orjson.dumps({"seq": 8, "whole": True, "hosts": [net.host_entry(3), net.host_entry(9)]})
    agent.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
    wait_until_readable(net.node.discovery.conn.sock)
    for i in range(100):
        net.connect_client(request_text(f"k{i}"))
    net.loop.run_once(0)
    assert set(net.node.balancer.hosts) == {"c3", "o"}
