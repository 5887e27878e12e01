"""Writes whose answer is lost: no server gets one twice, and no reply says that it was not run.

A slot server cannot recognize a repeated command, so a write may not be repeated whatever the
request class of the configuration allows.
"""

import pytest
from resp_harness import POSSIBLY_EXECUTED, SETTINGS, Client, RespCluster

from orchidgap.net.config import config_from_document
from orchidgap.resp.local_commands import slot_of_key
from orchidgap.resp.writers import encode_command

EFFECTS = ("retryable", "dedup", "fragile")
CLIENT_TIMEOUT_MS = 2_500
LATENCY_OBJECTIVE_US = 300_000
PARTS_NOTE = b" (a part of several slots; others may have run)\r\n"


def request_class(name, effect, scope="all"):
    return {
        "name": name,
        "effect": effect,
        "group": scope,
        "repeat-window": 2_000_000,
        "response-target": LATENCY_OBJECTIVE_US,
        "client-timeout": CLIENT_TIMEOUT_MS * 1_000,
    }


def settings(write_effect, read_effect="retryable", scope="all"):
    """Returns settings under which everything that the classes allow may be repeated."""
    return {
        "rule-sets": [
            request_class("read", read_effect, scope),
            request_class("write", write_effect, scope),
        ],
        "ceilings": SETTINGS["ceilings"] | {"may-duplicate": True, "max-retry-after": 2_500_000},
    }


def make_cluster(write_effect, read_effect="retryable", scope="all"):
    return RespCluster(
        settings=settings(write_effect, read_effect, scope), **{"timeout-ms": CLIENT_TIMEOUT_MS}
    )


def run_then(cluster, number, last_reply):
    """Has a server run its next command, and send or do this in place of its answer."""
    server = cluster.servers[number]
    default_answer = server.answer

    def answer(words):
        reply = default_answer(words)
        if words[0] not in (b"INCR", b"GET", b"DEL"):
            return reply
        server.answer = default_answer
        return last_reply

    server.answer = answer


def refuse_commands(server):
    """Has a server refuse all commands from now on, without running them."""
    server.script = [b"-LOADING wait\r\n"] * 100


def cut(cluster):
    run_then(cluster, 0, "cut")


def stay_silent(cluster):
    run_then(cluster, 0, None)


def send_garbage(cluster):
    run_then(cluster, 0, b"?what\r\n")


def send_half(cluster):
    run_then(cluster, 0, b"$8\r\nhalf")
    cluster.network.loop.call_later(20_000, cluster.servers[0].connections[-1].conn.close)


LOSSES = (cut, stay_silent, send_garbage, send_half)


@pytest.mark.parametrize("lose_answer", LOSSES)
@pytest.mark.parametrize("scope", ["all", "cell"])
@pytest.mark.parametrize("effect", EFFECTS)
def test_a_write_whose_answer_is_lost_is_not_repeated_whatever_its_class_allows(
    effect, scope, lose_answer
):
    # Its class had the effect `dedup`: it was sent again, and incremented its counter twice.
    cluster = make_cluster(effect, scope=scope)
    client, [warm_up, key] = Client(cluster), cluster.keys_of(2)
    assert client.call(b"INCR", warm_up) == b":1\r\n"
    lose_answer(cluster)
    reply = client.call(b"INCR", key, wait_us=CLIENT_TIMEOUT_MS * 1_000)
    assert cluster.servers[0].data[key] == b"1"
    assert reply == POSSIBLY_EXECUTED


@pytest.mark.parametrize("effect", EFFECTS)
def test_a_write_is_not_hedged_while_its_server_answers_others(effect):
    # Its class had the effect `dedup`: the overdue write was sent to its server a second time.
    cluster = make_cluster(effect)
    client, other = Client(cluster), Client(cluster)
    key, other_key = cluster.keys_of(2)
    for _ in range(20):
        other.call(b"GET", other_key, wait_us=1_000)
    stay_silent(cluster)
    client.send(encode_command(b"INCR", key), 1_000)
    for _ in range(20):
        other.call(b"GET", other_key, wait_us=LATENCY_OBJECTIVE_US // 10)
    assert client.take_replies(CLIENT_TIMEOUT_MS * 1_000) == POSSIBLY_EXECUTED
    assert cluster.servers[0].data[key] == b"1"


@pytest.mark.parametrize("effect", EFFECTS)
def test_a_pipeline_of_writes_that_is_cut_is_not_repeated(effect):
    # Each write of the pipeline that had no answer yet was sent again.
    cluster = make_cluster(effect)
    client, keys = Client(cluster), cluster.keys_of(200)
    client.call(b"INCR", keys[0])
    default_answer = cluster.servers[0].answer

    def answer(words):
        reply = default_answer(words)
        return "cut" if words[-1] == keys[50] else reply

    cluster.servers[0].answer = answer
    reply = client.send(b"".join(encode_command(b"INCR", key) for key in keys[1:]), 2_600_000)
    assert reply.count(b"\r\n") == len(keys) - 1
    assert set(cluster.servers[0].data.values()) == {b"1"}
    replies = dict(zip(keys[1:], reply.splitlines(keepends=True)))
    for key in cluster.servers[0].data.keys() & replies.keys():
        assert replies[key] in (b":1\r\n", POSSIBLY_EXECUTED), "it has run"


@pytest.mark.parametrize("new_effect", EFFECTS)
@pytest.mark.parametrize("old_effect", EFFECTS)
@pytest.mark.parametrize("is_in_flight", [False, True])
def test_new_settings_allow_no_repeat_of_a_write(old_effect, new_effect, is_in_flight):
    # A reload that gave the class the effect `dedup` let writes run twice from then on.
    cluster = make_cluster(old_effect)
    client, [warm_up, key] = Client(cluster), cluster.keys_of(2)
    client.call(b"INCR", warm_up)
    stay_silent(cluster)
    if is_in_flight:
        client.send(encode_command(b"INCR", key), 10_000)
    document = {
        "listen": "127.1.0.1:7070",
        "settings": settings(new_effect),
        "resp": cluster.node.config.resp,
    }
    cluster.node.apply_config(config_from_document(document))
    if not is_in_flight:
        client.send(encode_command(b"INCR", key), 10_000)
    cluster.servers[0].connections[-1].conn.close()
    assert client.take_replies(CLIENT_TIMEOUT_MS * 1_000) == POSSIBLY_EXECUTED
    assert cluster.servers[0].data[key] == b"1"


@pytest.mark.parametrize("effect", EFFECTS)
def test_a_write_that_surely_did_not_run_is_repeated(effect):
    cluster = make_cluster(effect)
    client, [key] = Client(cluster), cluster.keys_of()
    cluster.servers[0].script = [b"-LOADING wait\r\n"]
    reply = client.call(b"INCR", key, wait_us=CLIENT_TIMEOUT_MS * 1_000)
    assert reply == b":1\r\n" or reply.startswith(b"-TRYAGAIN turned away, nothing was done")
    cluster.servers[0].script = [b"-MOVED %d 127.2.0.2:7000\r\n" % slot_of_key(key)]
    assert client.call(b"INCR", key)[:1] == b":"


@pytest.mark.parametrize(("effect", "is_repeated"), [("retryable", True), ("fragile", False)])
def test_a_read_whose_answer_is_lost_is_repeated_as_its_class_allows(effect, is_repeated):
    cluster = make_cluster("fragile", read_effect=effect)
    client, [warm_up, key] = Client(cluster), cluster.keys_of(2)
    client.call(b"SET", key, b"value")
    client.call(b"GET", warm_up)
    cut(cluster)
    reply = client.call(b"GET", key)
    assert reply == (b"$5\r\nvalue\r\n" if is_repeated else POSSIBLY_EXECUTED)


def test_a_split_write_is_refused_as_not_done_only_if_no_part_may_have_run():
    # One part was refused, so the reply was "TRYAGAIN turned away, nothing was done", though others had run.
    cluster = make_cluster("fragile")
    client = Client(cluster)
    keys = [cluster.keys_of(number=number)[0] for number in range(3)]
    for key in keys:
        client.call(b"SET", key, b"1")
    refuse_commands(cluster.servers[0])
    reply = client.call(b"DEL", *keys, wait_us=CLIENT_TIMEOUT_MS * 1_000)
    assert keys[1] not in cluster.servers[1].data
    assert reply == POSSIBLY_EXECUTED[:-2] + PARTS_NOTE
    for server in cluster.servers[1:]:
        refuse_commands(server)
    reply = client.call(b"DEL", *keys, wait_us=CLIENT_TIMEOUT_MS * 1_000)
    assert reply.startswith(b"-TRYAGAIN turned away, nothing was done; come back in ")
    assert PARTS_NOTE not in reply, "no part has run"


def test_a_split_write_with_a_lost_and_a_refused_part_may_have_run():
    # The reply was that of the first part that failed: here the refusal.
    cluster = make_cluster("fragile")
    client = Client(cluster)
    keys = [cluster.keys_of(number=number)[0] for number in range(2)]
    refuse_commands(cluster.servers[0])
    run_then(cluster, 1, "cut")
    reply = client.call(b"DEL", *keys, wait_us=CLIENT_TIMEOUT_MS * 1_000)
    assert reply == POSSIBLY_EXECUTED[:-2] + PARTS_NOTE


def test_a_split_write_shows_the_error_of_a_server_before_a_refusal():
    cluster = make_cluster("fragile")
    client = Client(cluster)
    keys = [cluster.keys_of(number=number)[0] for number in range(2)]
    refuse_commands(cluster.servers[0])
    cluster.servers[1].script = [b"-OOM no memory\r\n"]
    reply = client.call(b"DEL", *keys, wait_us=CLIENT_TIMEOUT_MS * 1_000)
    assert reply == b"-OOM no memory" + PARTS_NOTE


def test_a_split_read_of_which_a_part_is_refused_may_be_retried():
    cluster = make_cluster("fragile")
    client = Client(cluster)
    keys = [cluster.keys_of(number=number)[0] for number in range(2)]
    refuse_commands(cluster.servers[0])
    reply = client.call(b"MGET", *keys, wait_us=CLIENT_TIMEOUT_MS * 1_000)
    assert reply.startswith(b"-TRYAGAIN turned away, nothing was done; come back in ")
