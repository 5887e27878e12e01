"""Pipelines are slow when servers are slow: none of their commands fails while the fleet is well."""

import pytest
from resp_harness import Client, ServerLink, Town

from orchidgap.resp.reader import RespReader
from orchidgap.resp.writers import encode_command

RUN_US = 10_000_000
ROUND_TRIPS_US = 1_000


class SlowTown(Town):
    """Slot servers that answer each command so much later, whatever else they have."""

    def __init__(self, delay_us):
        self.delay_us = delay_us
        super().__init__()


def answer_later(link, view):
    link.reader.feed(view)
    while (words := link.reader.read_command()) is not None:
        delay_us = 1 if words[0].upper() == b"CLUSTER" else link.server.town.delay_us
        link.server.town.network.loop.call_later(delay_us, say, link, link.server.answer(words))


def say(link, text):
    if link.conn.is_open:
        link.conn.send(text)


def pipeline(commands, keys):
    sets = [encode_command(b"SET", b"k%d" % (i % keys), b"v") for i in range(commands // 2)]
    gets = [encode_command(b"GET", b"k%d" % (i % keys)) for i in range(commands // 2)]
    return b"".join(sets + gets)


def answers_of(client):
    reader = RespReader()
    reader.feed(memoryview(bytes(client.got)))
    answers = []
    while (text := reader.read_item()) is not None:
        answers.append(bytes(text))
    return answers


def play(monkeypatch, delay_us, client_count, commands, keys):
    monkeypatch.setattr(ServerLink, "received", answer_later)
    town = SlowTown(delay_us)
    clients = [Client(town) for _ in range(client_count)]
    for client in clients:
        client.conn.send(pipeline(commands, keys))
    town.wait(RUN_US)
    answers = [answers_of(client) for client in clients]
    town.network.loop.selector.close()
    return answers


# a pipeline was handed over at once, and what had no room was denied though no server was busy
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
def test_no_command_of_a_pipeline_is_denied_while_the_fleet_can_carry_it(
    monkeypatch, delay_ms, client_count, commands, keys
):
    for answers in play(monkeypatch, delay_ms * 1000, client_count, commands, keys):
        assert len(answers) == commands
        assert not [text for text in answers if text.startswith(b"-")]


# over capacity each command has its answer, and none that was denied may have run
def test_a_pipeline_over_capacity_is_denied_in_time_and_nothing_of_it_is_in_doubt(monkeypatch):
    (answers,) = play(monkeypatch, 160_000, 1, 600, 300)
    assert len(answers) == 600
    errors = {text.partition(b";")[0] for text in answers if text.startswith(b"-")}
    assert errors == {b"-TRYAGAIN turned away, nothing was done"}
