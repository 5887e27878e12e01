"""What ends a connection, QUIT or a protocol error, comes after the replies to earlier commands."""

import pytest
from resp_harness import Client, RespCluster

from orchidgap.resp.writers import encode_command

ENDS = {
    encode_command(b"QUIT"): b"+OK\r\n",
    b"QUIT\r\n": b"+OK\r\n",
    b"*1\r\n:5\r\n": b"-ERR Protocol error: a command is an array of bulk strings\r\n",
    b"*x\r\n": b"-ERR Protocol error: ",
}


@pytest.mark.parametrize("text", ENDS)
@pytest.mark.parametrize("in_one_piece", [True, False])
def test_replies_that_are_due_come_before_the_end(text, in_one_piece):
    # The connection ended at once, and the replies to commands that had run were lost.
    cluster = RespCluster(latency_us=100_000)
    client = Client(cluster)
    commands = b"".join(encode_command(b"INCR", b"k%d" % (number % 3)) for number in range(6))
    if in_one_piece:
        client.send(commands + text + commands, 0)
    else:
        client.send(commands, 10_000)
        client.send(text, 10_000)
        client.send(commands, 10_000)
    replies = client.take_replies(1_000_000)
    assert replies.startswith(b":1\r\n:1\r\n:1\r\n:2\r\n:2\r\n:2\r\n" + ENDS[text])
    assert replies.count(b"\r\n") == 7, "what follows the end is not run"
    assert client.end_reason == "closed"
    assert len(cluster.received_commands(b"INCR")) == 6
    cluster.advance(10_000_000)
    assert not cluster.node.clients.open_clients


def test_a_client_that_leaves_after_quit_is_forgotten():
    cluster = RespCluster(latency_us=100_000)
    client = Client(cluster)
    client.send(encode_command(b"GET", b"k") + encode_command(b"QUIT"), 10_000)
    client.conn.close()
    cluster.advance(2_000_000)
    assert not cluster.node.clients.open_clients and not cluster.node.exchanges


def test_bytes_that_are_no_command_count_as_read_and_answered():
    # The counts of a connection are compared: what was read has to be answered.
    cluster = RespCluster()
    client = Client(cluster)
    client.call(b"PING")
    [connection] = cluster.node.clients.open_clients
    assert b"Protocol error" in client.send(b"*1\r\n+x\r\n")
    assert connection.begun_request_count == connection.requests_answered == 2
