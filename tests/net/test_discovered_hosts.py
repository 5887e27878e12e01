"""The host list: fetched, watched, interrupted, and applied."""

import orjson
import pytest
from loopback_harness import LoopbackHarness, received_or_reset, request_text, wait_until_readable
from net_scenarios import (
    LIST_PATH,
    discovery_socket,
    host_states,
    open_idle_connections,
    push_host_list,
)
from node_harness import NodeHarness, received_text


def test_the_list_is_fetched_completely_and_then_watched_without_a_gap():
    net = NodeHarness(1)
    assert received_text(discovery_socket(net)).startswith(f"GET {LIST_PATH} HTTP/1.1")
    push_host_list(net, 41, True, [net.host_entry(0), net.host_entry(3), net.host_entry(9)])
    assert host_states(net) == {"c0": "up", "c3": "up", "o": "up"}
    assert received_text(discovery_socket(net)).startswith(
        f"GET {LIST_PATH}?after=41&wait_ms=3000 "
    )
    net.advance(3_000_000)
    push_host_list(net, 43, False, [net.host_entry(0, "Terminating"), net.host_entry(3, "Gone")])
    assert host_states(net) == {"c0": "draining", "o": "up"}
    assert received_text(discovery_socket(net)).startswith(f"GET {LIST_PATH}?after=43&")
    push_host_list(net, 43, False, [])
    net.advance(50_000)
    assert received_text(discovery_socket(net)) is None, (
        "no busy loop if the server answers a watch at once"
    )
    net.advance(140_000)
    assert received_text(discovery_socket(net)).startswith(f"GET {LIST_PATH}?after=43&"), (
        "the next watch starts within 200 ms"
    )


@pytest.mark.parametrize(
    "fail",
    [
        lambda net: push_host_list(net, 1, True, [], status=500),
        lambda net: push_host_list(net, 1, False, []),
        lambda net: net.answer_from_host(discovery_socket(net), 200, "not JSON"),
        lambda net: net.answer_from_host(discovery_socket(net), 200, "[]"),
        lambda net: push_host_list(net, 1, True, [{"host": "x"}]),
        lambda net: push_host_list(net, 1, True, [7]),
        lambda net: discovery_socket(net).close(),
        lambda net: net.send_and_turn(discovery_socket(net), "garbage\r\n\r\n"),
        lambda net: net.advance(1_000_000),
    ],
)
def test_a_malformed_or_missing_answer_keeps_the_list_and_is_retried_later(fail):
    """Discovery closes the connection, sends a malformed answer or none. The list is kept, and
    requested again after a delay that grows.
    """
    net = NodeHarness(2)
    before = host_states(net)
    fail(net)
    net.turn()
    assert host_states(net) == before and "list lost" in net.log.lines
    times = len(net.dialled)
    net.advance(45_000)
    assert len(net.dialled) == times, "no immediate retry"
    net.advance(60_000)
    assert len(net.dialled) == times + 1
    net.refused.add(8500)
    net.advance(20_000_000)
    net.refused.clear()
    for _ in range(30):
        if len(net.dialled) == times + 1:
            net.advance(100_000)
    push_host_list(net, 9, True, [net.host_entry(5), net.host_entry(9)])
    assert host_states(net) == {"c5": "up", "o": "up"} and "list back" in net.log.lines


def test_a_malformed_entry_affects_its_host_and_not_the_list():
    """One entry of the list has no valid address, or an unknown state. That host is sent nothing
    new; the others are used.
    """
    net = NodeHarness(2)
    odd = [
        net.host_entry(0, "Odd"),
        net.host_entry(1) | {"dial": "localhost:80"},
        net.host_entry(2) | {"share": None},
    ]
    push_host_list(net, 41, True, [*odd, net.host_entry(9)])
    assert host_states(net) == {"c0": "draining", "c1": "draining", "c2": "up", "o": "up"}
    net.send_request()
    assert net.dialled[-1][0] == 102


def test_a_malformed_change_or_a_lower_version_is_followed_by_the_complete_list():
    """A change cannot be decoded, or its version is lower than the current one. The complete list
    is requested.
    """
    for seq, hosts, wait in ((42, [{"host": "x"}], 100_000), (3, [], 100_000)):
        net = NodeHarness(1)
        push_host_list(net, 41, True, [net.host_entry(0), net.host_entry(9)])
        received_text(discovery_socket(net))
        push_host_list(net, seq, False, hosts)
        net.advance(wait)
        assert received_text(discovery_socket(net)).startswith(
            f"GET {LIST_PATH} HTTP/1.1"
        ) and host_states(net) == {
            "c0": "up",
            "o": "up",
        }


def test_a_changed_address_is_dialled_from_then_on():
    """A host reappears at another address. Its old connections are closed, and the new address is
    dialled.
    """
    net = NodeHarness(1)
    push_host_list(net, 41, True, [net.host_entry(0), net.host_entry(9)])
    [connection] = open_idle_connections(net, 1)
    push_host_list(net, 42, False, [net.host_entry(0, port=300)])
    net.send_request("again")
    assert net.dialled[-1][0] == 300
    received_text(connection)
    assert received_text(connection) == ""


def test_a_restart_time_is_in_milliseconds_of_unix_time():
    net = NodeHarness(2)
    push_host_list(
        net,
        41,
        True,
        [net.host_entry(0, born=net.now // 1000), net.host_entry(1), net.host_entry(9)],
    )
    assert net.node.balancer.hosts["c0"].warm_at_us == net.now + 10_000_000


def test_a_received_list_applies_before_requests_that_arrived_earlier_in_the_same_turn():
    # In a soak, a balancer that had been stopped sent a request to a host although the list that
    # marked it as draining had arrived.
    net = LoopbackHarness(1)
    push_host_list(net, 41, True, [net.host_entry(0), net.host_entry(9)])
    client = net.connect_client(request_text("k1"))
    net.turn()
    cache = net.host_socket()
    assert "r-k1" in received_text(cache)
    net.answer_from_host(cache)
    assert "200" in received_or_reset(client)
    agent = discovery_socket(net)
    received_text(agent)
    net.send_more(client, request_text("k1", id="second"))
    dialled = len(net.dialled)
    changes = orjson.dumps({"seq": 42, "whole": False, "hosts": [net.host_entry(0, "Terminating")]})
    agent.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(changes), changes))
    wait_until_readable(net.node.discovery.conn.sock)
    net.turn()
    text, _ = net.next_host_request()
    assert "r-second" in text
    assert [port for port, _ in net.dialled[dialled:]] == [109], (
        "the origin, not the draining cache"
    )


@pytest.mark.parametrize("in_use", [True, False])
def test_connections_to_a_host_that_was_replaced_at_its_address_carry_nothing_new(in_use):
    """A new process of a host serves at the address of the one before it, which is still ending.
    Connections to the old process were used for new requests.
    """
    net = NodeHarness(1)
    client = net.send_request("k1")
    old_process = net.host_socket()
    if not in_use:
        net.answer_from_host(old_process)
    push_host_list(net, 41, True, [net.host_entry(0, born=5_000), net.host_entry(9)])
    assert host_states(net)["c0"] == "up"
    if in_use:
        received_text(old_process)
        net.answer_from_host(old_process)
    assert received_text(client).startswith("HTTP/1.1 200"), "what was in flight is finished"
    net.advance(1_000)
    net.send_request("k2")
    assert net.host_socket() is not old_process
    assert "/read/k2" in received_text(net.host_socket())


def test_a_list_that_repeats_the_start_of_a_host_keeps_its_connections():
    net = NodeHarness(1)
    push_host_list(net, 41, True, [net.host_entry(0, born=5_000), net.host_entry(9)])
    net.send_request("k1")
    net.answer_from_host(net.host_socket())
    count = len(net.host_sockets())
    push_host_list(net, 42, False, [net.host_entry(0, born=5_000)])
    net.send_request("k2")
    assert len(net.host_sockets()) == count
