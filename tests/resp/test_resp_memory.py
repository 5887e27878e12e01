"""A connection that rests holds little memory, whatever it carried before."""

import sys

import pytest
from resp_harness import Client, RespCluster

from orchidgap.resp.local_commands import slot_of_key
from orchidgap.resp.reader import RespReader
from orchidgap.resp.writers import encode_bulk, encode_command

VALUE = b"v" * 900_000
MAX_RESTING_BYTES = 128 << 10  # what the budget counts for a client, with all that is its own


def held_bytes(root, excluded):
    """Returns the size of the bytes that are reachable from an object through the program's own."""
    seen, waiting, total = set(map(id, excluded)), [root], 0
    while waiting:
        item = waiting.pop()
        if id(item) in seen:
            continue
        seen.add(id(item))
        if isinstance(item, (bytes, bytearray)):
            total += sys.getsizeof(item)
        elif isinstance(item, dict):
            waiting += [*item.keys(), *item.values()]
        elif isinstance(item, (list, tuple, set)) or type(item).__name__ == "deque":
            waiting += item
        elif type(item).__module__.startswith("orchidgap"):
            names = [name for kind in type(item).__mro__ for name in getattr(kind, "__slots__", ())]
            waiting += [getattr(item, name) for name in names if hasattr(item, name)]
            waiting += getattr(item, "__dict__", {}).values()
        elif hasattr(item, "func"):  # a partial call
            waiting += [item.func, *item.args, *item.keywords.values()]
        elif hasattr(item, "__self__"):
            waiting.append(item.__self__)
    return total


def resting_bytes(cluster):
    """Returns what the clients' and the servers' connections hold."""
    node = cluster.node
    shared = [cluster, node, node.loop, node.clients, node.pools, node.balancer, node.config]
    connections = [*node.clients.open_clients]
    for pool in node.pools.by_host.values():
        connections += pool.connections
        shared.append(pool)
    return [held_bytes(connection, shared) for connection in connections]


def test_a_reader_keeps_nothing_of_what_was_read():
    reader = RespReader()
    for _ in range(3):
        command = encode_command(b"SET", b"k", VALUE)
        for offset in range(0, len(command), 60_000):
            reader.feed(command[offset : offset + 60_000])
        assert reader.read_command() == [b"SET", b"k", VALUE]
        assert sys.getsizeof(reader.buffer) < 1_000
    reader.feed(command + b"*2\r\n")
    assert reader.read_command() and reader.read_command() is None
    reader.feed(b"$3\r\nGET\r\n")
    assert sys.getsizeof(reader.buffer) < 1_000


@pytest.mark.parametrize("in_pieces", [False, True])
def test_connections_that_rest_keep_nothing_of_a_large_write(in_pieces):
    # Each kept the buffer of its last command, up to 1 MiB, and the process was killed over its memory.
    cluster = RespCluster()
    for number in range(5):
        client, command = Client(cluster), encode_command(b"SET", b"k%d" % number, VALUE)
        step = 50_000 if in_pieces else len(command)
        replies = [
            client.send(command[offset : offset + step]) for offset in range(0, len(command), step)
        ]
        assert replies[-1] == b"+OK\r\n"
    cluster.advance(100_000)
    assert len(resting_bytes(cluster)) > 5
    assert max(resting_bytes(cluster)) < MAX_RESTING_BYTES


def test_connections_that_rest_keep_nothing_of_a_large_answer():
    # The reply that last waited for a server stayed with its connection.
    cluster = RespCluster()
    server = cluster.servers[0]
    server.latency_us = 5_000
    keys = [b"k%d" % number for number in range(100)]
    first, second = [key for key in keys if cluster.owner(slot_of_key(key)) is server][:2]
    server.data = {first: VALUE, second: VALUE}
    client = Client(cluster)
    client.call(b"GET", first)
    cluster.node.balancer.hosts[server.name].concurrency_limit = 1.0
    replies = client.send(encode_command(b"GET", first) + encode_command(b"GET", second))
    assert replies == encode_bulk(VALUE) * 2
    cluster.advance(3_000_000)
    assert not cluster.node.exchanges
    assert max(resting_bytes(cluster)) < MAX_RESTING_BYTES


@pytest.mark.parametrize(("used_mb", "is_refused"), [(100, False), (180, True)])
def test_half_a_large_command_is_refused_while_memory_is_short(used_mb, is_refused):
    # Half commands of hundreds of clients take 1 MB each.
    cluster = RespCluster()
    cluster.node.memory_pressure.limit_mb = 200
    cluster.node.memory_pressure.measure = lambda: used_mb << 20
    client = Client(cluster)
    [key] = cluster.keys_of()
    command = encode_command(b"SET", key, VALUE)
    replies = client.send(encode_command(b"PING") + command[:400_000])
    assert replies.startswith(b"+PONG\r\n") and replies.count(b"\r\n") == 1 + is_refused
    if is_refused:
        assert b"-TRYAGAIN" in replies and client.end_reason == "closed"
        assert not any(size > MAX_RESTING_BYTES for size in resting_bytes(cluster))
    else:
        assert client.send(command[400_000:]) == b"+OK\r\n"
    assert bool(cluster.received_commands(b"SET")) != is_refused


@pytest.mark.parametrize(("used_mb", "most"), [(100, 20), (180, 2)])
def test_commands_that_wait_are_bounded_by_their_size(used_mb, most):
    # A client that pipelines large values was read up to 1,024 commands ahead of its server.
    cluster = RespCluster()
    cluster.node.memory_pressure.limit_mb = 200
    cluster.node.memory_pressure.measure = lambda: used_mb << 20
    client = Client(cluster)
    for _ in range(100):  # replies are known to be short
        client.call(b"SET", b"k", b"v", wait_us=2_000)
    for server in cluster.servers:
        server.latency_us = 30_000
    commands = [encode_command(b"SET", b"k%d" % number, b"v" * 15_000) for number in range(60)]
    client.send(b"".join(commands), wait_us=1_000)
    [connection] = cluster.node.clients.open_clients
    assert 0 < connection.requests_read - 100 <= most
    assert connection.outstanding.command_bytes <= most * (15_000 + 100)
    replies = client.take_replies(wait_us=3_000_000)
    assert replies.count(b"+OK\r\n") + replies.count(b"-TRYAGAIN") == len(commands)
    assert connection.outstanding.command_bytes == 0


def test_a_split_command_that_was_answered_counts_no_more():
    cluster = RespCluster(latency_us=10_000)
    client = Client(cluster)
    keys = [b"k%d" % number for number in range(300)]
    client.call(b"MGET", *keys, wait_us=0)
    cluster.advance(2_000)
    [connection] = cluster.node.clients.open_clients
    assert connection.outstanding.command_bytes > sum(map(len, keys))
    cluster.advance(3_000_000)
    assert connection.outstanding.command_bytes == 0 and not connection.outstanding.replies
