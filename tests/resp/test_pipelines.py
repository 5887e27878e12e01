"""Commands of pipelines to slow servers wait, and none is denied while the servers are healthy."""

import pytest
from resp_harness import Client, RespCluster, ServerConnection

from orchidgap.resp.reader import RespReader
from orchidgap.resp.writers import encode_command

RUN_US = 10_000_000
ROUND_TRIPS_US = 1_000


class SlowRespCluster(RespCluster):
    """Slot servers that answer each command `delay_us` later, whatever their load."""

    def __init__(self, delay_us):
        self.delay_us = delay_us
        super().__init__()


def answer_later(connection, view):
    connection.reader.feed(view)
    while (words := connection.reader.read_command()) is not None:
        delay_us = 1 if words[0].upper() == b"CLUSTER" else connection.server.cluster.delay_us
        connection.server.cluster.network.loop.call_later(
            delay_us, send_if_open, connection, connection.server.answer(words)
        )


def send_if_open(connection, text):
    if connection.conn.is_open:
        connection.conn.send(text)


def pipeline(commands, keys):
    sets = [encode_command(b"SET", b"k%d" % (i % keys), b"v") for i in range(commands // 2)]
    gets = [encode_command(b"GET", b"k%d" % (i % keys)) for i in range(commands // 2)]
    return b"".join(sets + gets)


def answers_of(client):
    reader = RespReader()
    reader.feed(memoryview(bytes(client.received_bytes)))
    answers = []
    while (text := reader.read_item()) is not None:
        answers.append(bytes(text))
    return answers


def run_pipelines(monkeypatch, delay_us, client_count, commands, keys):
    monkeypatch.setattr(ServerConnection, "on_data", answer_later)
    cluster = SlowRespCluster(delay_us)
    clients = [Client(cluster) for _ in range(client_count)]
    for client in clients:
        client.conn.send(pipeline(commands, keys))
    cluster.advance(RUN_US)
    answers = [answers_of(client) for client in clients]
    cluster.network.loop.selector.close()
    return answers


# Guards against forwarding a whole pipeline at once: the commands above the concurrency limit were
# denied although no server was busy.
@pytest.mark.parametrize(
    ("delay_ms", "client_count", "commands", "keys"),
    [
        (1, 1, 10, 50),
        (1, 1, 1000, 50),
        (1, 10, 1000, 50),
        (20, 1, 1000, 300),
        (20, 10, 100, 50),
        (20, 50, 10, 50),
        (100, 1, 100, 50),
        (100, 10, 10, 50),
        (100, 10, 100, 50),
        (160, 1, 100, 50),
        (200, 1, 10, 50),
        (200, 1, 100, 50),
    ],
)
def test_no_command_of_a_pipeline_is_denied_while_servers_have_capacity(
    monkeypatch, delay_ms, client_count, commands, keys
):
    for answers in run_pipelines(monkeypatch, delay_ms * 1000, client_count, commands, keys):
        assert len(answers) == commands
        assert not [text for text in answers if text.startswith(b"-")]


# Above capacity each command is answered, and none that was denied may have been executed.
def test_commands_over_capacity_are_denied_in_time_and_without_effect(monkeypatch):
    (answers,) = run_pipelines(monkeypatch, 160_000, 1, 600, 300)
    assert len(answers) == 600
    errors = {text.partition(b";")[0] for text in answers if text.startswith(b"-")}
    assert errors == {b"-TRYAGAIN turned away, nothing was done"}
