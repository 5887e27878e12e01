"""The time of RESP commands that wait to be read."""

from resp_harness import Client, RespCluster

from orchidgap.resp.writers import encode_command

LONGEST_WAIT_US = 1_000_000 + 550_000  # the timeout, and what an answer may be late
COMMANDS = 3_000  # more than may be without a reply


def test_commands_that_wait_to_be_read_are_answered_in_their_time():
    """Their time began as they were read, when those before them had been given up."""
    cluster = RespCluster(**{"timeout-ms": 1_000})
    for server in cluster.servers:
        server.script = [None] * COMMANDS
    client = Client(cluster)
    text = b"".join(encode_command(b"SET", b"k%d" % number, b"v") for number in range(COMMANDS))
    replies = client.send(text, wait_us=LONGEST_WAIT_US)
    assert replies.count(b"\r\n") == COMMANDS
    assert replies.count(b"-TRYAGAIN") > COMMANDS // 2
    for server in cluster.servers:
        server.script = []
    cluster.advance(3_000_000)  # the servers' connections, which wait for answers, are given up
    assert client.call(b"SET", b"k", b"v", wait_us=LONGEST_WAIT_US) == b"+OK\r\n"
