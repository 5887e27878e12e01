"""Floods: who sends much and goes, who fills the descriptors and says nothing, who writes a byte at a time."""

import orjson
from loopback_harness import LoopbackHarness, arrived, heard, req, told
from net_scenarios import tells, watched

from orchidgap.net.client_listener import MAX_CLOSING_CLIENTS, REQUEST_TIMEOUT_US, UNUSED_AFTER_US


def test_hundreds_of_requests_at_once_from_one_who_goes_are_one_attempt_and_no_memory():
    """A client sends hundreds of requests at once and closes. Only the first is sent, and the
    others take no memory.
    """
    net = LoopbackHarness(1)
    client = net.caller(b"".join(req(f"k{i}") for i in range(400)))
    net.turn()
    caller = next(iter(net.node.clients.open_clients))
    assert caller.conn.read_paused and len(caller.reader.pipelined) < 700, (
        "one read's worth is kept, no more"
    )
    client.close()
    net.gone(caller)
    assert "/read/k0" in net.asked()[0]
    net.answers(net.far())
    net.wait(20_000)
    assert (
        net.asked()[0] == ""
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
    heard(watched(net))
    silent = [net.caller() for _ in range(3 * most)]
    net.turn(8)
    assert len(net.node.clients.open_clients) <= most + MAX_CLOSING_CLIENTS
    net.wait(UNUSED_AFTER_US)  # who has asked nothing for so long is the first to make way
    late = net.caller(req("late"))
    net.turn(8)
    text, far = net.asked()
    assert "/read/late" in text
    net.answers(far)
    assert "200" in told(late)
    watched(net).close()  # discovery breaks off and is back, with all of them still there
    net.turn()
    net.wait(200_000)
    tells(net, 41, True, [net.entry(5), net.entry(9)])
    assert set(net.node.balancer.hosts) == {"c5", "o"}
    assert silent


def test_service_returns_by_itself_when_those_who_filled_it_have_gone():
    """Clients with open requests fill all places, then go. Service returns without anybody's
    help.
    """
    net = LoopbackHarness(1, sockets=64)
    # each is asked for something, and its host does not answer
    busy = [
        net.caller(
            b"PUT /mark/b%d HTTP/1.1\r\nRequest-Id: %d\r\nRequest-Timeout: 60\r\nContent-Length: 90000\r\n\r\n"
            % (i, i)
            + b"v" * 70_000
        )
        for i in range(net.node.clients.max_clients)
    ]
    net.turn(8)
    shut_out = net.caller(req("out"))
    net.turn(4)
    assert told(shut_out).split()[1] == "503" and told(shut_out) == ""
    for client in busy:
        client.close()
    net.turn(8)
    client = net.caller(req("in"))
    net.turn(4)
    while "/read/in" not in (found := net.asked())[0]:
        assert found[0], "never sent on"
    net.answers(found[1])
    assert "200" in told(client) and len(net.node.clients.open_clients) <= 2


def test_a_request_written_a_byte_at_a_time_is_taken_and_one_that_stands_still_is_let_go():
    """One client writes its request a byte at a time, another stops in the middle. The first
    is served, the second let go.
    """
    net = LoopbackHarness(1)
    text = req()
    client, still = net.caller(text[:1]), net.caller(text[:9])
    net.turn()
    for at in range(1, len(text)):
        net.brings(client, text[at : at + 1])
        net.wait(REQUEST_TIMEOUT_US // 2 // len(text))
    found, far = net.asked()
    assert "/read/k1" in found
    net.answers(far)
    assert "200" in told(client) and told(still) is None
    net.wait(REQUEST_TIMEOUT_US)
    assert told(still).startswith("HTTP/1.1 408") and told(still) == ""
    assert told(client) is None, "who was served may rest"


def test_a_list_that_comes_while_clients_flood_is_taken_in_the_same_turn():
    """Clients flood the balancer while discovery tells a new list. The list is taken before
    the flood is.
    """
    net = LoopbackHarness(1)
    agent = watched(net)
    heard(agent)
    body = orjson.dumps({"seq": 8, "whole": True, "hosts": [net.entry(3), net.entry(9)]})
    agent.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
    arrived(net.node.discovery.conn.sock)
    for i in range(100):
        net.caller(req(f"k{i}"))
    net.loop.run_once(0)
    assert set(net.node.balancer.hosts) == {"c3", "o"}
