"""The order of RESP commands that wait."""

from resp_harness import Client, RespCluster

from orchidgap.resp.local_commands import slot_of_key
from orchidgap.resp.writers import encode_command


def test_a_command_that_waited_for_its_slot_goes_before_later_ones_of_its_server():
    """It was put behind all that waited for its server by then, past its time."""
    cluster = RespCluster(latency_us=10_000)
    server = cluster.servers[0]
    keys = cluster.keys_of(40)
    first = keys[0]
    others = [key for key in keys if slot_of_key(key) != slot_of_key(first)][:20]
    client = Client(cluster)
    client.call(b"SET", first, b"0")
    cluster.node.balancer.hosts[server.name].concurrency_limit = 1.0
    server.received_commands.clear()
    texts = [encode_command(b"SET", first, b"%d" % number) for number in (1, 2)]
    texts += [encode_command(b"SET", key, b"v") for key in others]
    client.send(b"".join(texts), wait_us=900_000)
    received = [tuple(words[1:]) for words in server.received_commands]
    assert received[0] == (first, b"1")
    # one command had been passed on before, and waits for the server
    assert (first, b"2") in received[1:3]
