"""RESP in a turn that is held up after the selector answered: the list, the clock and the client are as they are at the
write. Each test forces the hold-up at one line of the turn.
"""

from functools import cache

import pytest
from loopback_harness import LoopbackHarness, received_text, wait_until_readable
from net_scenarios import discovery_socket, push_host_list
from node_harness import EventRecorder
from resp_harness import RULES
from stalled_turn import (
    BEFORE_CALLBACKS,
    BEFORE_DECISION,
    BEFORE_WRITE,
    SELECTOR_ANSWERED,
    STALL_US,
    StalledTurnScenario,
    deliver_list_changes,
)

from orchidgap.net import config
from orchidgap.net.loop import Loop
from orchidgap.net.node import Node
from orchidgap.resp import Resp
from orchidgap.resp.local_commands import slot_of_key
from orchidgap.resp.writers import encode_array, encode_bulk, encode_command

FIRST_PORT, SECOND_PORT = 100, 101
SLOTS = 16_384
WAITING = 40  # commands, more than one server is sent at a time
SHORT_TIMEOUT_MS = STALL_US // 1000 - 50  # over before the turn goes on
LONG_TIMEOUT_MS = 2_000
BEFORE_OPENED = (SELECTOR_ANSWERED, BEFORE_CALLBACKS)


@cache
def keys_of_half(half):
    """Keys whose slot is in the first or the second half of all."""
    keys = [b"k%d" % i for i in range(10 * WAITING)]
    return [key for key in keys if (slot_of_key(key) >= SLOTS // 2) == bool(half)]


class RespLoopbackHarness(LoopbackHarness):
    """A node that speaks RESP before two slot servers, each with half of the slots, and discovery."""

    def __init__(self, timeout_ms):
        self.listeners_by_port, self.dialled, self.open_sockets = {}, [], []
        self.now, self.log = 10**12, EventRecorder()
        self.loop = Loop(clock=lambda: self.now, on_error=self.log.exception)
        document = {
            "name": "n0",
            "listen": "127.0.0.1:1",
            "discovery": "127.0.0.1:8500",
            "seed": "7",
            "known": None,
            "limits": None,
            "settings": {"rule-sets": RULES},
            "resp": {"seeds": [f"127.0.0.1:{FIRST_PORT}"], "timeout-ms": timeout_ms},
        }
        settled = config.config_from_document(document)
        protocol = Resp(settled.resp, "n0", settled.listen)
        self.node = Node(self.loop, settled, self.log, protocol, self.dial)
        self.node.start()
        self.turn()
        push_host_list(self, 41, True, [self.host_entry(0), self.host_entry(1)])
        self.turn()
        self.send_and_turn(self.host_socket(0), slot_ranges())

    def commands(self, port):
        """What this server was asked and has not been looked at, and on which socket."""
        sent = [(received_text(far), far) for at, far in self.dialled if at == port]
        return [(text, far) for text, far in sent if text and "GET" in text]


def slot_ranges():
    return encode_array(
        [
            encode_array(
                [
                    b":%d\r\n" % (half * SLOTS // 2),
                    b":%d\r\n" % ((half + 1) * SLOTS // 2 - 1),
                    encode_array([encode_bulk(b"127.0.0.1"), b":%d\r\n" % (FIRST_PORT + half)]),
                ]
            )
            for half in (0, 1)
        ]
    )


class Scene(StalledTurnScenario):
    """A node before a turn in which a command will be sent to the server of this number."""

    def __init__(self, number, timeout_ms):
        self.number, self.port = number, FIRST_PORT + number
        self.net = net = RespLoopbackHarness(timeout_ms)
        self.clients = []
        for half in (0, 1):
            client = net.connect_client(encode_command(b"GET", keys_of_half(half)[0]))
            self.clients.append(client)
            net.turn()
            [(_, far)] = net.commands(FIRST_PORT + half)
            net.send_and_turn(far, b"$1\r\nv\r\n")
            assert client.recv(100) == b"$1\r\nv\r\n", "each server has a connection that rests"
        received_text(discovery_socket(net))

    def ask(self, number=0):
        """The first client asks for a key of the first server."""
        self.net.send_more(self.clients[0], encode_command(b"GET", keys_of_half(0)[number]))

    def begun(self):
        """What the server was asked and has not been looked at."""
        return [text for text, _ in self.net.commands(self.port)]


def is_read(timeout_ms=LONG_TIMEOUT_MS):
    """A command is there; it goes on over a connection that rests."""
    scene = Scene(0, timeout_ms)
    scene.ask()
    return scene


def comes_up(timeout_ms=LONG_TIMEOUT_MS):
    """The connection to the server has come up, and the node has not looked."""
    scene = Scene(0, timeout_ms)
    net = scene.net
    for link in list(net.node.pools.by_host[f"127.0.0.1:{FIRST_PORT}"].connections):
        link.close()
    scene.ask()
    net.turn(1)
    assert not scene.begun() and len(net.node.exchanges) == 1, "it is dialled"
    return scene


def is_moved(timeout_ms=LONG_TIMEOUT_MS):
    """The first server has answered that the second has the slot now."""
    scene = Scene(1, timeout_ms)
    net = scene.net
    scene.ask()
    net.turn()
    [(_, far)] = net.commands(FIRST_PORT)
    slot = slot_of_key(keys_of_half(0)[0])
    far.sendall(b"-MOVED %d 127.0.0.1:%d\r\n" % (slot, SECOND_PORT))
    wait_until_readable(net.node_socket_of(far))
    return scene


def is_released(timeout_ms=LONG_TIMEOUT_MS):
    """Commands wait for the server to have room, and it has answered all that it was sent."""
    scene = Scene(0, timeout_ms)
    net = scene.net
    for i in range(WAITING):
        scene.clients.append(net.connect_client(encode_command(b"GET", keys_of_half(0)[i])))
    net.turn(8)
    sent = net.commands(FIRST_PORT)
    assert 0 < sum(text.count("GET") for text, _ in sent) < WAITING
    for text, far in sent:
        far.sendall(b"$1\r\nv\r\n" * text.count("GET"))
        wait_until_readable(net.node_socket_of(far))
    return scene


SCENES = [
    pytest.param(scene, moment, id=f"{scene.__name__}, {moment}")
    for scene, moments in (
        (is_read, (*BEFORE_OPENED, BEFORE_DECISION, BEFORE_WRITE)),
        (comes_up, BEFORE_OPENED),
        (is_moved, (*BEFORE_OPENED, BEFORE_WRITE)),
        (is_released, (*BEFORE_OPENED, BEFORE_WRITE)),
    )
    for moment in moments
]


@pytest.mark.parametrize(("make_scene", "moment"), SCENES)
def test_a_command_is_sent_where_it_is_expected_if_nothing_comes_meanwhile(
    make_scene, moment, monkeypatch
):
    # The tests below would prove nothing where the command went elsewhere all along.
    scene = make_scene()
    scene.run_stalled_turn(monkeypatch, moment)
    assert scene.begun()


@pytest.mark.parametrize("health", ["Terminating", "Gone"])
@pytest.mark.parametrize(("make_scene", "moment"), SCENES)
def test_a_server_that_drains_while_the_turn_is_stalled_is_sent_nothing(
    make_scene, moment, health, monkeypatch
):
    # A process that had stood still sent commands to servers that had been draining for long.
    scene = make_scene()
    entry = scene.net.host_entry(scene.number, health)
    scene.run_stalled_turn(monkeypatch, moment, lambda net: deliver_list_changes(net, entry))
    assert scene.begun() == []


@pytest.mark.parametrize(
    ("make_scene", "moment"),
    [(is_read, BEFORE_WRITE), (comes_up, BEFORE_CALLBACKS)],
)
def test_a_server_that_drains_in_a_second_stall_is_sent_nothing(make_scene, moment, monkeypatch):
    # What waited for the next turn was sent in that one, though it was held up too.
    scene = make_scene()
    entry = scene.net.host_entry(scene.number, "Terminating")
    scene.run_two_stalled_turns(monkeypatch, moment, lambda net: deliver_list_changes(net, entry))
    assert scene.begun() == []


@pytest.mark.parametrize(("make_scene", "moment"), SCENES)
def test_no_command_is_sent_whose_time_was_up_before_the_turn_went_on(
    make_scene, moment, monkeypatch
):
    # The clock of the turn said that there was time left.
    scene = make_scene(SHORT_TIMEOUT_MS)
    scene.run_stalled_turn(monkeypatch, moment)
    assert scene.begun() == []


@pytest.mark.parametrize(("make_scene", "moment"), SCENES)
def test_no_command_is_sent_for_a_client_that_left_while_the_turn_was_stalled(
    make_scene, moment, monkeypatch
):
    # RESP's connections did not ask whether their client was still there.
    scene = make_scene()
    scene.run_stalled_turn(monkeypatch, moment, scene.disconnect_all_clients())
    assert scene.begun() == []


def link_that_comes_up():
    """A connection to the first server that is coming up, with a command that waits for it."""
    scene = comes_up()
    pools = scene.net.node.pools
    [link] = pools.by_host[f"127.0.0.1:{FIRST_PORT}"].connections
    [exchange] = scene.net.node.exchanges.values()
    return scene, link, exchange


def test_a_command_that_is_called_off_while_its_connection_comes_up_is_not_sent():
    # What was given up would have been written all the same.
    scene, _, exchange = link_that_comes_up()
    exchange.cancel_attempt(exchange.attempts[0])
    scene.net.turn()
    assert scene.begun() == []
    assert exchange.attempts[0].settled


def test_a_command_is_told_where_its_connection_never_comes_up():
    # It would have waited for as long as its client does.
    scene, link, exchange = link_that_comes_up()
    link.ended("refused")
    scene.net.loop.run_once(0)
    assert exchange.attempts[0].settled


def test_a_connection_that_a_command_waits_for_does_not_make_way():
    # Closed as an idle one, it would have taken the command with it.
    scene, link, _ = link_that_comes_up()
    while scene.net.node.pools.close_idle():
        pass
    assert link.conn.is_open
    scene.net.turn()
    assert scene.begun()
