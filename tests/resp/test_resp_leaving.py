"""Connections on which replies are always due, while the balancer drains or ends.

All that was read is answered, truly, and then the connection ends.
"""

import pytest
from resp_harness import POSSIBLY_EXECUTED, Client, PipeliningClient, RespCluster

from orchidgap.decisions.lifecycle import DRAIN_IDLE_US, SHUTDOWN_ACCEPT_US
from orchidgap.resp.writers import encode_command

DRAIN_LIMIT_US = 4_000_000  # no request is answered on a connection this long after a drain began
CROSSING_US = 10_000  # several times the time between client and balancer
DENIED = b"-TRYAGAIN turned away, nothing was done; come back in 250 ms\r\n"


def begin_shutdown(cluster):
    cluster.node.begin_shutdown()


def drain(cluster):
    cluster.node.drain()


def shut_down_with_successor(cluster):
    cluster.node.lifecycle.set_successor_accepts(True)
    cluster.node.begin_shutdown()


ENDS = [
    (begin_shutdown, SHUTDOWN_ACCEPT_US),
    (drain, DRAIN_IDLE_US),
    (shut_down_with_successor, SHUTDOWN_ACCEPT_US),
]


@pytest.mark.parametrize("latency_us", [1_000, 5_000, 50_000])
@pytest.mark.parametrize(("begin", "serves_for_us"), ENDS)
def test_a_connection_in_use_ends_after_all_that_was_read_is_answered(
    begin, serves_for_us, latency_us
):
    # It was used until the process ended, and the commands on it then were never answered.
    cluster = RespCluster(latency_us=latency_us)
    keys = [key for number in range(3) for key in cluster.keys_of(2, number)]
    clients = [PipeliningClient(cluster, (b"SET", key, b"v"), 20) for key in keys]
    cluster.advance(500_000)
    begin(cluster)
    began_at_us = cluster.network.loop.time
    cluster.advance(DRAIN_LIMIT_US)
    for client in clients:
        assert 0 < client.ended_at_us - began_at_us < serves_for_us + 20 * latency_us + 100_000
        assert client.lost_commands(CROSSING_US) == 0
        assert set(client.replies) <= {b"+OK\r\n", DENIED}
    assert not cluster.node.exchanges and not cluster.node.clients.open_clients


@pytest.mark.parametrize(("begin", "serves_for_us"), ENDS)
def test_a_connection_that_rests_ends_too(begin, serves_for_us):
    cluster = RespCluster()
    client = Client(cluster)
    assert client.call(b"SET", b"k", b"v") == b"+OK\r\n"
    begin(cluster)
    cluster.advance(serves_for_us + 200_000)
    assert client.end_reason == "closed"


def test_commands_behind_a_silent_server_are_answered_before_the_process_ends():
    # Only the first one of each slot had an exchange that the last answers reached.
    cluster = RespCluster(**{"timeout-ms": 10_000})
    client = Client(cluster)
    keys = cluster.keys_of(3)
    client.call(b"SET", keys[0], b"v")
    cluster.servers[0].script = [None] * 100
    commands = [encode_command(b"SET", key, b"v") for key in keys for _ in range(20)]
    client.send(b"".join(commands), 100_000)
    cluster.node.begin_shutdown()
    replies = client.take_replies(DRAIN_LIMIT_US)
    assert replies.count(b"\r\n") == len(commands)
    ran = [words for words in cluster.servers[0].received_commands if words[0] == b"SET"]
    assert replies.count(POSSIBLY_EXECUTED) >= len(ran) - 1 > 0
    assert replies.count(DENIED) > 0
    assert not cluster.node.loop.running


def test_a_command_that_arrives_in_pieces_while_its_connection_ends_is_answered():
    cluster = RespCluster(latency_us=50_000)
    client = Client(cluster)
    text = encode_command(b"SET", b"k", b"v")
    client.send(text * 3 + text[:9], 10_000)
    cluster.node.begin_shutdown()
    cluster.advance(SHUTDOWN_ACCEPT_US + 100_000)
    client.send(text[9:], 100_000)
    assert client.received_bytes == b"" and client.end_reason == "closed"


def test_a_drain_that_is_ended_in_time_ends_no_connection_in_use():
    cluster = RespCluster(latency_us=5_000)
    client = PipeliningClient(cluster, (b"SET", b"k", b"v"), 20)
    cluster.advance(100_000)
    cluster.node.drain()
    cluster.advance(DRAIN_IDLE_US // 2)
    cluster.node.resume()
    cluster.advance(DRAIN_LIMIT_US)
    assert not client.ended_at_us and set(client.replies) == {b"+OK\r\n"}


@pytest.mark.parametrize("begin", [begin_shutdown, drain])
def test_half_a_command_behind_due_replies_keeps_no_ending_connection_open(begin):
    # Each turn looked again whether the connection could end, and the time for the rest never began.
    cluster = RespCluster(latency_us=1_200_000, **{"timeout-ms": 10_000})
    client = Client(cluster)
    text = encode_command(b"SET", b"k", b"v")
    begin(cluster)
    cluster.advance(100_000)
    client.send(text, 0)
    cluster.advance(DRAIN_IDLE_US - 50_000)
    client.send(text[:9], 0)
    replies = client.take_replies(1_000_000)
    assert replies == b"+OK\r\n" and not client.end_reason
    cluster.advance(3_000_000)
    assert client.end_reason == "closed"
