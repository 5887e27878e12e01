"""Floods: who sends much and goes, who fills the descriptors and says nothing, who writes a byte at a time."""

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


def test_hundreds_of_requests_at_once_from_one_who_goes_are_one_attempt_and_no_memory():
    """A client sends hundreds of requests at once and closes. Only the first is sent, and the
    others take no memory.
    """
    net = LoopbackHarness(1)
    client = net.connect_client(b"".join(request_text(f"k{i}") for i in range(400)))
    net.turn()
    caller = next(iter(net.node.clients.open_clients))
    assert caller.conn.read_paused and len(caller.reader.pipelined) < 700, (
        "one read's worth is kept, no more"
    )
    client.close()
    net.wait_for_end(caller)
    assert "/read/k0" in net.next_host_request()[0]
    net.answer_from_host(net.host_socket())
    net.advance(20_000)
    assert (
        net.next_host_request()[0] == ""
        and not net.node.exchanges
        and not net.node.clients.open_clients
        and not net.node.open_request_ids
    )


def test_idle_clients_at_the_most_keep_out_neither_requests_nor_the_list():
    """Idle clients hold all places. New requests are served all the same, and discovery's list
    still comes.
    """
    net = LoopbackHarness(1, sockets=64)
    most = net.node.clients.max_clients
    received_text(discovery_socket(net))
    silent = [net.connect_client() for _ in range(3 * most)]
    net.turn(8)
    assert len(net.node.clients.open_clients) <= most + MAX_CLOSING_CLIENTS
    net.advance(UNUSED_AFTER_US)  # who has asked nothing for so long is the first to make way
    late = net.connect_client(request_text("late"))
    net.turn(8)
    text, far = net.next_host_request()
    assert "/read/late" in text
    net.answer_from_host(far)
    assert "200" in received_or_reset(late)
    discovery_socket(net).close()  # discovery breaks off and is back, with all of them still there
    net.turn()
    net.advance(200_000)
    push_host_list(net, 41, True, [net.host_entry(5), net.host_entry(9)])
    assert set(net.node.balancer.hosts) == {"c5", "o"}
    assert silent


def test_service_returns_by_itself_when_those_who_filled_it_have_gone():
    """Clients with open requests fill all places, then go. Service returns without anybody's
    help.
    """
    net = LoopbackHarness(1, sockets=64)
    # each is asked for something, and its host does not answer
    busy = [
        net.connect_client(
            b"PUT /mark/b%d HTTP/1.1\r\nRequest-Id: %d\r\nRequest-Timeout: 60\r\nContent-Length: 90000\r\n\r\n"
            % (i, i)
            + b"v" * 70_000
        )
        for i in range(net.node.clients.max_clients)
    ]
    net.turn(8)
    shut_out = net.connect_client(request_text("out"))
    net.turn(4)
    assert received_or_reset(shut_out).split()[1] == "503" and received_or_reset(shut_out) == ""
    for client in busy:
        client.close()
    net.turn(8)
    client = net.connect_client(request_text("in"))
    net.turn(4)
    while "/read/in" not in (found := net.next_host_request())[0]:
        assert found[0], "never sent on"
    net.answer_from_host(found[1])
    assert "200" in received_or_reset(client) and len(net.node.clients.open_clients) <= 2


def test_a_request_written_a_byte_at_a_time_is_taken_and_one_that_stands_still_is_let_go():
    """One client writes its request a byte at a time, another stops in the middle. The first
    is served, the second let go.
    """
    net = LoopbackHarness(1)
    text = request_text()
    client, still = net.connect_client(text[:1]), net.connect_client(text[:9])
    net.turn()
    for at in range(1, len(text)):
        net.send_more(client, text[at : at + 1])
        net.advance(REQUEST_TIMEOUT_US // 2 // len(text))
    found, far = net.next_host_request()
    assert "/read/k1" in found
    net.answer_from_host(far)
    assert "200" in received_or_reset(client) and received_or_reset(still) is None
    net.advance(REQUEST_TIMEOUT_US)
    assert received_or_reset(still).startswith("HTTP/1.1 408") and received_or_reset(still) == ""
    assert received_or_reset(client) is None, "who was served may rest"


def test_a_list_that_comes_while_clients_flood_is_taken_in_the_same_turn():
    """Clients flood the balancer while discovery tells a new list. The list is taken before
    the flood is.
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
