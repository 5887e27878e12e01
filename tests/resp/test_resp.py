"""Commands in, answers out: the front, redirections, and what breaks on the way."""

from hashlib import sha256

import pytest
from resp_harness import Client, Server, Town

from orchidgap.net.config import config_from_document
from orchidgap.resp.local_commands import slot_of_key
from orchidgap.resp.values import decode_item
from orchidgap.resp.writers import encode_command


@pytest.fixture
def town():
    return Town()


def key_of(town, number, but=()):
    """A key whose slot is that server's."""
    return next(
        b"k%d" % i
        for i in range(10_000)
        if town.owner(slot_of_key(b"k%d" % i)) is town.servers[number] and b"k%d" % i not in but
    )


@pytest.mark.parametrize(
    ("words", "said"),
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
def test_what_needs_no_server(town, words, said):
    client = Client(town)
    assert client.ask(*words).startswith(said) and not town.seen()


def test_a_command_goes_to_the_owner_of_its_slot_and_its_answer_back(town):
    client = Client(town)
    for number in range(3):
        key = key_of(town, number)
        assert client.ask(b"SET", key, b"v%d" % number) == b"+OK\r\n"
        assert client.ask(b"GET", key) == b"$2\r\nv%d\r\n" % number
        assert [words[0] for words in town.servers[number].seen] == [b"SET", b"GET"]
    assert not town.node.exchanges and not town.node.balancer.requests


def test_keys_of_several_slots_are_split_and_joined(town):
    client, keys = Client(town), [key_of(town, number) for number in (2, 0, 1)]
    for key in keys[:2]:
        client.ask(b"SET", key, b"v" + key)
    assert decode_item(client.ask(b"MGET", *keys)) == [b"v" + keys[0], b"v" + keys[1], None]
    town.servers[0].script = [b"-ERR sick\r\n"]
    assert client.ask(b"DEL", *keys).startswith(b"-ERR sick (a part of several slots")
    assert client.ask(b"DEL", *keys) == b":1\r\n"


def test_a_pipeline_is_answered_in_order_whoever_is_first(town):
    client, slow, quick = Client(town), key_of(town, 0), key_of(town, 1)
    town.servers[0].script = [None]
    assert (
        client.says(
            encode_command(b"GET", slow) + encode_command(b"SET", quick, b"1") + b"PING\r\n"
        )
        == b""
    )
    town.servers[0].links[-1].conn.send(b"$4\r\nlate\r\n")
    assert client.hears() == b"$4\r\nlate\r\n+OK\r\n+PONG\r\n"


def test_commands_of_one_connection_for_one_slot_keep_their_order(town):
    client, key = Client(town), key_of(town, 0)
    text = b"".join(encode_command(b"INCR", key) + encode_command(b"GET", key) for _ in range(50))
    said = client.says(text, 500_000)
    assert said == b"".join(b":%d\r\n$%d\r\n%d\r\n" % (i, len(b"%d" % i), i) for i in range(1, 51))


def test_a_pipeline_of_a_thousand_with_its_link_cut_in_the_middle(town):
    """What had been written when the link broke may have run: writes are answered so, and none is sent again."""
    client = Client(town)
    keys = [
        b"k%d" % i for i in range(4_000) if town.owner(slot_of_key(b"k%d" % i)) is town.servers[0]
    ][:1_000]
    served = town.servers[0].answer
    count = [0]

    def answer(words):
        count[0] += words[0] == b"INCR"
        return "cut" if count[0] == 500 else served(words)

    town.servers[0].answer = answer
    said = client.says(b"".join(encode_command(b"INCR", key) for key in keys), 2_000_000)
    assert said.count(b"\r\n") == 1_000 and not town.node.exchanges
    ran = [words[1] for words in town.seen(b"INCR")]
    assert len(ran) == len(set(ran)), "no write twice"
    assert said.count(b"-ERR given up, it may have run") > 0 and said.count(b":1\r\n") >= 400


def test_moved_is_followed_and_remembered(town):
    client, key = Client(town), key_of(town, 0)
    town.servers[0].script = [b"-MOVED %d 127.2.0.2:7000\r\n" % slot_of_key(key)] * 2
    assert client.ask(b"SET", key, b"1") == b"+OK\r\n" and town.servers[1].data == {key: b"1"}
    assert client.ask(b"GET", key) == b"$1\r\n1\r\n" and len(town.servers[0].seen) == 1


def test_ask_is_followed_once_with_asking_on_the_same_link(town):
    client, key = Client(town), key_of(town, 0)
    town.servers[0].script = [b"-ASK %d 127.2.0.2:7000\r\n" % slot_of_key(key)]
    assert client.ask(b"SET", key, b"1") == b"+OK\r\n"
    assert [words[0] for words in town.servers[1].seen] == [b"ASKING", b"SET"]
    client.ask(b"GET", key)
    assert town.servers[0].seen[-1] == [b"GET", key], "its owner is still asked"


def test_two_servers_that_point_at_each_other_end_in_one_answer(town):
    client, key = Client(town), key_of(town, 0)
    for server, other in ((town.servers[0], 2), (town.servers[1], 1)):
        server.script = [b"-MOVED %d 127.2.0.%d:7000\r\n" % (slot_of_key(key), other)] * 20
    said = client.ask(b"SET", key, b"1", wait=900_000)
    assert (
        said.startswith(b"-TRYAGAIN turned away, nothing was done; come back in 250 ms")
        and said.count(b"\r\n") == 1
    )
    assert len(town.seen(b"SET")) == 6


def test_a_redirection_to_a_server_that_nobody_named_is_followed(town):
    client, key, new = Client(town), key_of(town, 0), Server(town, 9)
    town.servers[0].script = [b"-MOVED %d 127.2.0.9:7000\r\n" % slot_of_key(key)]
    assert client.ask(b"SET", key, b"1") == b"+OK\r\n" and new.data == {key: b"1"}


@pytest.mark.parametrize(
    "text", [b"-TRYAGAIN no\r\n", b"-CLUSTERDOWN no\r\n", b"-LOADING no\r\n", b"-READONLY no\r\n"]
)
def test_a_server_that_cannot_now_has_done_nothing(town, text):
    client, key = Client(town), key_of(town, 0)
    town.servers[0].script = [text]
    assert client.ask(b"SET", key, b"1").startswith(b"-TRYAGAIN turned away, nothing was done")


def test_a_map_with_holes_or_two_owners_is_asked_again_and_guessed_never(town):
    client, key = Client(town), key_of(town, 0)
    whole, town.layout = town.layout, [*town.layout[1:], (0, 100, 1), (50, 5460, 2)]
    town.node.balancer.slot_map.request_refresh(town.network.loop.time)
    town.wait(2_000_000)
    assert town.node.balancer.slot_map.conflicting_slot_count == 51
    town.layout = whole[1:]
    town.node.balancer.slot_map.refresh_due_us = 0
    town.wait(200_000)
    said = client.ask(b"SET", key, b"1", wait=400_000)
    assert said.startswith(b"-TRYAGAIN") and not town.seen()
    town.layout = whole
    town.node.balancer.slot_map.refresh_due_us = 0
    town.wait(200_000)
    assert client.ask(b"SET", key, b"1") == b"+OK\r\n"


def test_an_answer_too_late_belongs_to_nobody(town):
    """It comes on a link that others use: it must not be taken for theirs."""
    client, key, other = Client(town), key_of(town, 0), key_of(town, 0, [key_of(town, 0)])
    town.servers[0].script = [None]
    assert client.ask(b"GET", key, wait=1_100_000).startswith(b"-TRYAGAIN")
    town.servers[0].script = [b"$4\r\nlate\r\n$5\r\nother\r\n"]
    assert client.ask(b"GET", other) in (b"$5\r\nother\r\n", b"$4\r\nlate\r\n")


@pytest.mark.parametrize("malformed", [b"$536870912\r\nxx", b"?what\r\n", b"$3\r\nabcdef\r\n"])
def test_what_a_server_says_that_cannot_be_read_costs_its_link(town, malformed):
    client, key = Client(town), key_of(town, 0)
    town.servers[0].script = [malformed]
    assert client.ask(b"SET", key, b"1").startswith(b"-ERR given up, it may have run")
    assert client.ask(b"SET", key, b"2", wait=900_000) == b"+OK\r\n"


def test_a_client_that_stops_reading_is_not_read_further(town):
    client, key = Client(town), key_of(town, 0)
    client.ask(b"SET", key, b"v" * 60_000)
    client.conn.pause_reading(True)
    client.conn.send(encode_command(b"GET", key) * 500)
    town.wait(3_000_000)
    [caller] = town.node.clients.open_clients
    assert (
        caller.conn.read_paused
        and len(caller.conn.write_buffer) < 2 << 20
        and len(caller.replies) <= 1_024
    )
    client.conn.pause_reading(False)
    town.wait(5_000_000)
    assert client.got.count(b"$60000\r\n") + client.got.count(b"-TRYAGAIN") == 500


def test_users_see_nothing_before_they_are_known(tmp_path):
    file = tmp_path / "users"
    file.write_text(f"# who\nmia {sha256(b'secret').hexdigest()} north\n")
    town = Town(users=str(file))
    client = Client(town)
    assert client.ask(b"GET", b"k").startswith(b"-NOAUTH") and client.ask(
        b"HELLO", b"3"
    ).startswith(b"-NOAUTH")
    assert client.ask(b"AUTH", b"mia", b"wrong").startswith(b"-WRONGPASS")
    assert client.ask(b"AUTH", b"nobody", b"").startswith(b"-WRONGPASS")
    assert client.ask(b"HELLO", b"2", b"AUTH", b"mia", b"secret").startswith(b"*14\r\n")
    assert client.ask(b"GET", b"k") == b"$-1\r\n"
    assert client.ask(b"RESET") == b"+RESET\r\n" and client.ask(b"GET", b"k").startswith(b"-NOAUTH")


def test_a_bad_part_of_the_configuration_is_one_line():
    from orchidgap.resp import Resp

    with pytest.raises(ValueError, match="not an address"):
        Resp({"seeds": ["here"]}, "n", ("127.0.0.1", 1))
    told = {
        "listen": "127.0.0.1:1",
        "settings": {"rule-sets": [{"name": "read", "effect": "retryable", "client-timeout": 1}]},
        "resp": {"seeds": []},
    }
    assert config_from_document(told).discovery == ("", 0)
