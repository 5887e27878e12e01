"""RESP commands through a node: local commands, routing, redirections and failures."""

from hashlib import sha256

import pytest
from resp_harness import Client, RespCluster, SlotServer

from orchidgap.net.config import config_from_document
from orchidgap.resp.local_commands import slot_of_key
from orchidgap.resp.values import decode_item
from orchidgap.resp.writers import encode_command


@pytest.fixture
def cluster():
    return RespCluster()


def key_of(cluster, number, excluded=()):
    """Returns a key that is not excluded and whose slot the server with this number owns."""
    return next(
        b"k%d" % i
        for i in range(10_000)
        if cluster.owner(slot_of_key(b"k%d" % i)) is cluster.servers[number]
        and b"k%d" % i not in excluded
    )


@pytest.mark.parametrize(
    ("words", "reply"),
    [
        ((b"PING",), b"+PONG\r\n"),
        ((b"ping", b"hi"), b"$2\r\nhi\r\n"),
        ((b"ECHO", b"x"), b"$1\r\nx\r\n"),
        ((b"SELECT", b"0"), b"+OK\r\n"),
        ((b"SELECT", b"1"), b"-ERR"),
        ((b"CLIENT", b"SETNAME", b"a"), b"+OK\r\n"),
        ((b"CLIENT", b"GETNAME"), b"$-1\r\n"),
        ((b"CLUSTER", b"KEYSLOT", b"123456789"), b":12739\r\n"),
        ((b"CLUSTER", b"INFO"), b"$"),
        ((b"CLUSTER", b"SHARDS"), b"*1\r\n"),
        ((b"CLUSTER", b"NODES"), b"$"),
        ((b"COMMAND", b"COUNT"), b":"),
        ((b"COMMAND", b"GETKEYS", b"MSET", b"a", b"1", b"b", b"2"), b"*2\r\n$1\r\na"),
        ((b"COMMAND", b"INFO", b"get"), b"*1\r\n*10\r\n"),
        ((b"READONLY",), b"+OK\r\n"),
        ((b"INFO",), b"$"),
        ((b"HELLO", b"3"), b"%7\r\n"),
        ((b"HELLO", b"4"), b"-NOPROTO"),
        ((b"RESET",), b"+RESET\r\n"),
        ((b"MULTI",), b"-ERR 'MULTI' is not served here"),
        ((b"BLPOP", b"a", b"0"), b"-ERR 'BLPOP'"),
        ((b"SUBSCRIBE", b"a"), b"-ERR"),
        ((b"NOSUCH",), b"-ERR unknown"),
        ((b"GET",), b"-ERR wrong number"),
        ((b"MSET", b"a"), b"-ERR wrong number"),
        ((b"MSET", b"a", b"1", b"b", b"2"), b"-CROSSSLOT"),
        ((b"QUIT",), b"+OK\r\n"),
    ],
)
def test_local_commands_are_answered_without_a_server(cluster, words, reply):
    client = Client(cluster)
    assert client.call(*words).startswith(reply) and not cluster.received_commands()


def test_a_command_is_sent_to_its_slot_owner_and_its_answer_returned(cluster):
    client = Client(cluster)
    for number in range(3):
        key = key_of(cluster, number)
        assert client.call(b"SET", key, b"v%d" % number) == b"+OK\r\n"
        assert client.call(b"GET", key) == b"$2\r\nv%d\r\n" % number
        assert [words[0] for words in cluster.servers[number].received_commands] == [b"SET", b"GET"]
    assert not cluster.node.exchanges and not cluster.node.balancer.requests


def test_keys_of_several_slots_are_split_and_joined(cluster):
    client, keys = Client(cluster), [key_of(cluster, number) for number in (2, 0, 1)]
    for key in keys[:2]:
        client.call(b"SET", key, b"v" + key)
    assert decode_item(client.call(b"MGET", *keys)) == [b"v" + keys[0], b"v" + keys[1], None]
    cluster.servers[0].script = [b"-ERR sick\r\n"]
    assert client.call(b"DEL", *keys).startswith(b"-ERR sick (a part of several slots")
    assert client.call(b"DEL", *keys) == b":1\r\n"


def test_a_pipeline_is_answered_in_the_order_of_its_commands(cluster):
    client, slow, quick = Client(cluster), key_of(cluster, 0), key_of(cluster, 1)
    cluster.servers[0].script = [None]
    assert (
        client.send(
            encode_command(b"GET", slow) + encode_command(b"SET", quick, b"1") + b"PING\r\n"
        )
        == b""
    )
    cluster.servers[0].connections[-1].conn.send(b"$4\r\nlate\r\n")
    assert client.take_replies() == b"$4\r\nlate\r\n+OK\r\n+PONG\r\n"


def test_commands_of_one_connection_for_one_slot_keep_their_order(cluster):
    client, key = Client(cluster), key_of(cluster, 0)
    text = b"".join(encode_command(b"INCR", key) + encode_command(b"GET", key) for _ in range(50))
    reply = client.send(text, 500_000)
    assert reply == b"".join(b":%d\r\n$%d\r\n%d\r\n" % (i, len(b"%d" % i), i) for i in range(1, 51))


def test_no_write_of_a_pipeline_is_resent_after_its_connection_is_cut(cluster):
    """The connection to the server is cut at the 500th of 1,000 pipelined writes. Writes without an
    answer may have been executed: their replies state this, and none is resent.
    """
    client = Client(cluster)
    keys = [
        b"k%d" % i
        for i in range(4_000)
        if cluster.owner(slot_of_key(b"k%d" % i)) is cluster.servers[0]
    ][:1_000]
    default_answer = cluster.servers[0].answer
    count = [0]

    def answer(words):
        count[0] += words[0] == b"INCR"
        return "cut" if count[0] == 500 else default_answer(words)

    cluster.servers[0].answer = answer
    reply = client.send(b"".join(encode_command(b"INCR", key) for key in keys), 2_000_000)
    assert reply.count(b"\r\n") == 1_000 and not cluster.node.exchanges
    ran = [words[1] for words in cluster.received_commands(b"INCR")]
    assert len(ran) == len(set(ran)), "no write is sent twice"
    assert reply.count(b"-ERR given up, it may have run") > 0 and reply.count(b":1\r\n") >= 400


def test_moved_is_followed_and_remembered(cluster):
    client, key = Client(cluster), key_of(cluster, 0)
    cluster.servers[0].script = [b"-MOVED %d 127.2.0.2:7000\r\n" % slot_of_key(key)] * 2
    assert client.call(b"SET", key, b"1") == b"+OK\r\n" and cluster.servers[1].data == {key: b"1"}
    assert (
        client.call(b"GET", key) == b"$1\r\n1\r\n"
        and len(cluster.servers[0].received_commands) == 1
    )


def test_ask_is_followed_once_with_asking_on_the_same_connection(cluster):
    client, key = Client(cluster), key_of(cluster, 0)
    cluster.servers[0].script = [b"-ASK %d 127.2.0.2:7000\r\n" % slot_of_key(key)]
    assert client.call(b"SET", key, b"1") == b"+OK\r\n"
    assert [words[0] for words in cluster.servers[1].received_commands] == [b"ASKING", b"SET"]
    client.call(b"GET", key)
    assert cluster.servers[0].received_commands[-1] == [b"GET", key], (
        "later commands still go to the owner"
    )


def test_a_redirection_loop_ends_in_one_answer(cluster):
    client, key = Client(cluster), key_of(cluster, 0)
    for server, other in ((cluster.servers[0], 2), (cluster.servers[1], 1)):
        server.script = [b"-MOVED %d 127.2.0.%d:7000\r\n" % (slot_of_key(key), other)] * 20
    reply = client.call(b"SET", key, b"1", wait_us=900_000)
    assert (
        reply.startswith(b"-TRYAGAIN turned away, nothing was done; come back in 250 ms")
        and reply.count(b"\r\n") == 1
    )
    assert len(cluster.received_commands(b"SET")) == 6


def test_a_redirection_to_an_unlisted_server_is_followed(cluster):
    client, key, new = Client(cluster), key_of(cluster, 0), SlotServer(cluster, 9)
    cluster.servers[0].script = [b"-MOVED %d 127.2.0.9:7000\r\n" % slot_of_key(key)]
    assert client.call(b"SET", key, b"1") == b"+OK\r\n" and new.data == {key: b"1"}


@pytest.mark.parametrize(
    "text", [b"-TRYAGAIN no\r\n", b"-CLUSTERDOWN no\r\n", b"-LOADING no\r\n", b"-READONLY no\r\n"]
)
def test_a_command_refused_by_its_server_is_denied_without_effect(cluster, text):
    client, key = Client(cluster), key_of(cluster, 0)
    cluster.servers[0].script = [text]
    assert client.call(b"SET", key, b"1").startswith(b"-TRYAGAIN turned away, nothing was done")


def test_a_slot_map_with_gaps_or_conflicts_is_refreshed_and_never_guessed(cluster):
    client, key = Client(cluster), key_of(cluster, 0)
    whole, cluster.layout = cluster.layout, [*cluster.layout[1:], (0, 100, 1), (50, 5460, 2)]
    cluster.node.balancer.slot_map.request_refresh(cluster.network.loop.time)
    cluster.advance(2_000_000)
    assert cluster.node.balancer.slot_map.conflicting_slot_count == 51
    cluster.layout = whole[1:]
    cluster.node.balancer.slot_map.refresh_due_us = 0
    cluster.advance(200_000)
    reply = client.call(b"SET", key, b"1", wait_us=400_000)
    assert reply.startswith(b"-TRYAGAIN") and not cluster.received_commands()
    cluster.layout = whole
    cluster.node.balancer.slot_map.refresh_due_us = 0
    cluster.advance(200_000)
    assert client.call(b"SET", key, b"1") == b"+OK\r\n"


def test_a_late_answer_on_a_shared_connection(cluster):
    """The answer to an abandoned command arrives on a connection that other commands use. It must
    not be taken for the answer to one of them.
    """
    client, key, other = (
        Client(cluster),
        key_of(cluster, 0),
        key_of(cluster, 0, [key_of(cluster, 0)]),
    )
    cluster.servers[0].script = [None]
    assert client.call(b"GET", key, wait_us=1_100_000).startswith(b"-TRYAGAIN")
    cluster.servers[0].script = [b"$4\r\nlate\r\n$5\r\nother\r\n"]
    assert client.call(b"GET", other) in (b"$5\r\nother\r\n", b"$4\r\nlate\r\n")


@pytest.mark.parametrize("malformed", [b"$536870912\r\nxx", b"?what\r\n", b"$3\r\nabcdef\r\n"])
def test_a_malformed_answer_closes_the_connection_to_the_server(cluster, malformed):
    client, key = Client(cluster), key_of(cluster, 0)
    cluster.servers[0].script = [malformed]
    assert client.call(b"SET", key, b"1").startswith(b"-ERR given up, it may have run")
    assert client.call(b"SET", key, b"2", wait_us=900_000) == b"+OK\r\n"


def test_no_more_is_read_from_a_client_that_does_not_read_its_replies(cluster):
    client, key = Client(cluster), key_of(cluster, 0)
    client.call(b"SET", key, b"v" * 60_000)
    client.conn.pause_reading(True)
    client.conn.send(encode_command(b"GET", key) * 500)
    cluster.advance(3_000_000)
    [connection] = cluster.node.clients.open_clients
    assert (
        connection.conn.read_paused
        and len(connection.conn.write_buffer) < 2 << 20
        and len(connection.outstanding.replies) <= 1_024
    )
    client.conn.pause_reading(False)
    cluster.advance(5_000_000)
    assert (
        client.received_bytes.count(b"$60000\r\n") + client.received_bytes.count(b"-TRYAGAIN")
        == 500
    )


def test_commands_need_a_login_if_users_are_configured(tmp_path):
    file = tmp_path / "users"
    file.write_text(f"# who\nmia {sha256(b'secret').hexdigest()} north\n")
    cluster = RespCluster(users=str(file))
    client = Client(cluster)
    assert client.call(b"GET", b"k").startswith(b"-NOAUTH") and client.call(
        b"HELLO", b"3"
    ).startswith(b"-NOAUTH")
    assert client.call(b"AUTH", b"mia", b"wrong").startswith(b"-WRONGPASS")
    assert client.call(b"AUTH", b"nobody", b"").startswith(b"-WRONGPASS")
    assert client.call(b"HELLO", b"2", b"AUTH", b"mia", b"secret").startswith(b"*14\r\n")
    assert client.call(b"GET", b"k") == b"$-1\r\n"
    assert client.call(b"RESET") == b"+RESET\r\n" and client.call(b"GET", b"k").startswith(
        b"-NOAUTH"
    )


def test_an_invalid_resp_configuration_raises_value_error():
    from orchidgap.resp import Resp

    with pytest.raises(ValueError, match="not an address"):
        Resp({"seeds": ["here"]}, "n", ("127.0.0.1", 1))
    document = {
        "listen": "127.0.0.1:1",
        "settings": {"rule-sets": [{"name": "read", "effect": "retryable", "client-timeout": 1}]},
        "resp": {"seeds": []},
    }
    assert config_from_document(document).discovery == ("", 0)
