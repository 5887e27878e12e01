"""Finished commands are freed at once, as the bytes of a few can exceed the memory limit."""

import pytest
from resp_harness import Client, RespCluster
from uncollected import without_collector

from orchidgap.resp.writers import encode_command

VALUE = b"v" * 60_000


def cluster_with_values(count):
    cluster = RespCluster()
    keys = [key for number in range(3) for key in cluster.keys_of(count, number)]
    for server in cluster.servers:
        server.data = dict.fromkeys(keys, VALUE)
    return cluster, keys


COMMANDS = {
    "MGET": lambda keys: encode_command(b"MGET", *keys),
    "DEL": lambda keys: encode_command(b"DEL", *keys),
    "GET": lambda keys: b"".join(encode_command(b"GET", key) for key in keys),
    "SET": lambda keys: b"".join(encode_command(b"SET", key, VALUE) for key in keys),
    "unknown": lambda keys: encode_command(b"NOTHING", *keys),
}


@pytest.mark.parametrize("name", COMMANDS)
def test_answered_commands_leave_no_bytes_to_the_collector(name):
    """Joined replies and their parts referred to each other: 12 clients took 190 MB in a second."""
    cluster, keys = cluster_with_values(8)
    client = Client(cluster)
    with without_collector() as count_left:
        assert client.send(COMMANDS[name](keys), wait_us=300_000)
        assert not cluster.node.exchanges
        assert not count_left()


@pytest.mark.parametrize("reply", ["cut", None, b"-ERR no\r\n", b"-TRYAGAIN no\r\n"])
@pytest.mark.parametrize("name", ["MGET", "DEL", "SET"])
def test_failed_commands_leave_no_bytes_to_the_collector(name, reply):
    """The same for errors of some parts, broken connections and servers that never answer."""
    cluster, keys = cluster_with_values(8)
    client = Client(cluster)
    cluster.servers[1].script = [reply] * 50
    with without_collector() as count_left:
        assert client.send(COMMANDS[name](keys), wait_us=6_000_000)
        assert not cluster.node.exchanges
        assert not count_left()


@pytest.mark.parametrize("after_us", [0, 5_000, 30_000])
@pytest.mark.parametrize("name", ["MGET", "SET"])
def test_clients_that_leave_leave_no_bytes_to_the_collector(name, after_us):
    """Commands that were answered in part, or not forwarded yet, stayed with their client gone."""
    cluster, keys = cluster_with_values(8)
    for server, latency_us in zip(cluster.servers, (3_000, 20_000, 400_000)):
        server.latency_us = latency_us
    client = Client(cluster)
    with without_collector() as count_left:
        client.send(COMMANDS[name](keys), wait_us=after_us)
        client.conn.close()
        cluster.advance(6_000_000)
        assert not cluster.node.exchanges
        assert not count_left()
