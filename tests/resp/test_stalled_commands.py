"""RESP in a turn of the event loop that stalls after the selector has returned.

The host list, the clock and the client's connection must be current when a command is written. Each
test stalls the turn at one point.
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
DISCOVERY_PORT = 8500
DISCOVERY = f"127.0.0.1:{DISCOVERY_PORT}"
SLOTS = 16_384
WAITING = 40  # number of queued commands; more than a server is sent at once
SHORT_TIMEOUT_MS = STALL_US // 1000 - 50  # expires before the stalled turn resumes
LONG_TIMEOUT_MS = 2_000
BEFORE_OPENED = (SELECTOR_ANSWERED, BEFORE_CALLBACKS)


@cache
def keys_of_half(half):
    """Returns keys whose slot is in the first (0) or the second (1) half of all slots."""
    keys = [b"k%d" % i for i in range(10 * WAITING)]
    return [key for key in keys if (slot_of_key(key) >= SLOTS // 2) == bool(half)]


class RespLoopbackHarness(LoopbackHarness):
    """A RESP node with discovery and two slot servers, each of which owns half of the slots.

    `known` is the host list of the configuration; unless `listed`, discovery answers nothing.
    The first server answers `map_answer` to the first request for the map; by default, the map.
    """

    def __init__(
        self,
        timeout_ms,
        known=None,
        listed=True,
        discovery=DISCOVERY,
        map_answer=None,
        seeds=(FIRST_PORT,),
    ):
        self.listeners_by_port, self.dialled, self.open_sockets = {}, [], []
        self.now, self.log = 10**12, EventRecorder()
        self.loop = Loop(clock=lambda: self.now, on_error=self.log.exception)
        document = {
            "name": "n0",
            "listen": "127.0.0.1:1",
            "discovery": discovery,
            "seed": "7",
            "known": known,
            "limits": None,
            "settings": {"rule-sets": RULES},
            "resp": {
                "seeds": [f"127.0.0.1:{port}" for port in seeds],
                "timeout-ms": timeout_ms,
            },
        }
        node_config = config.config_from_document(document)
        protocol = Resp(node_config.resp, "n0", node_config.listen)
        self.node = Node(self.loop, node_config, self.log, protocol, self.dial)
        self.node.start()
        self.turn()
        if listed:
            push_host_list(self, 41, True, [self.host_entry(0), self.host_entry(1)])
            self.turn()
        answer = slot_ranges() if map_answer is None else map_answer
        self.send_and_turn(self.host_socket(0), answer)

    def commands(self, port):
        """Returns the unread commands at the server on this port, each with its socket."""
        sent = [(received_text(far), far) for at, far in self.dialled if at == port]
        return [(text, far) for text, far in sent if text and "GET" in text]


def slot_ranges(owners=(0, 1)):
    """Returns the slot map in which these servers own the first and the second half."""
    return encode_array(
        [
            encode_array(
                [
                    b":%d\r\n" % (half * SLOTS // 2),
                    b":%d\r\n" % ((half + 1) * SLOTS // 2 - 1),
                    encode_array([encode_bulk(b"127.0.0.1"), b":%d\r\n" % (FIRST_PORT + owner)]),
                ]
            )
            for half, owner in enumerate(owners)
        ]
    )


class StalledCommandScenario(StalledTurnScenario):
    """A node before a turn in which it sends a command to the server with this number."""

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
            assert client.recv(100) == b"$1\r\nv\r\n", "each server has an idle connection"
        received_text(discovery_socket(net))

    def send_command(self, number=0):
        """Sends a command from the first client for a key of the first server."""
        self.net.send_more(self.clients[0], encode_command(b"GET", keys_of_half(0)[number]))

    def sent_commands(self):
        """Returns the unread commands at the server."""
        return [text for text, _ in self.net.commands(self.port)]


def on_idle_connection(timeout_ms=LONG_TIMEOUT_MS):
    """A command has arrived; it will be sent on an idle connection."""
    scenario = StalledCommandScenario(0, timeout_ms)
    scenario.send_command()
    return scenario


def on_new_connection(timeout_ms=LONG_TIMEOUT_MS):
    """The connection to the server is established, and the node has not processed that yet."""
    scenario = StalledCommandScenario(0, timeout_ms)
    net = scenario.net
    for connection in list(net.node.pools.by_host[f"127.0.0.1:{FIRST_PORT}"].connections):
        connection.close()
    scenario.send_command()
    net.turn(1)
    assert not scenario.sent_commands() and len(net.node.exchanges) == 1, (
        "a connection is being opened"
    )
    return scenario


def after_redirect(timeout_ms=LONG_TIMEOUT_MS):
    """The first server has answered with a redirection to the second."""
    scenario = StalledCommandScenario(1, timeout_ms)
    net = scenario.net
    scenario.send_command()
    net.turn()
    [(_, far)] = net.commands(FIRST_PORT)
    slot = slot_of_key(keys_of_half(0)[0])
    far.sendall(b"-MOVED %d 127.0.0.1:%d\r\n" % (slot, SECOND_PORT))
    wait_until_readable(net.node_socket_of(far))
    return scenario


def after_capacity_freed(timeout_ms=LONG_TIMEOUT_MS):
    """Commands wait for capacity at the server, and it has answered all commands sent so far."""
    scenario = StalledCommandScenario(0, timeout_ms)
    net = scenario.net
    for i in range(WAITING):
        scenario.clients.append(net.connect_client(encode_command(b"GET", keys_of_half(0)[i])))
    net.turn(8)
    sent = net.commands(FIRST_PORT)
    assert 0 < sum(text.count("GET") for text, _ in sent) < WAITING
    for text, far in sent:
        far.sendall(b"$1\r\nv\r\n" * text.count("GET"))
        wait_until_readable(net.node_socket_of(far))
    return scenario


SCENARIOS = [
    pytest.param(make_scenario, moment, id=f"{make_scenario.__name__}, {moment}")
    for make_scenario, moments in (
        (on_idle_connection, (*BEFORE_OPENED, BEFORE_DECISION, BEFORE_WRITE)),
        (on_new_connection, BEFORE_OPENED),
        (after_redirect, (*BEFORE_OPENED, BEFORE_WRITE)),
        (after_capacity_freed, (*BEFORE_OPENED, BEFORE_WRITE)),
    )
    for moment in moments
]


@pytest.mark.parametrize(("make_scenario", "moment"), SCENARIOS)
def test_a_command_is_sent_as_expected_if_nothing_changes_during_the_stall(
    make_scenario, moment, monkeypatch
):
    # The tests below would prove nothing if the command were never sent to this server.
    scenario = make_scenario()
    scenario.run_stalled_turn(monkeypatch, moment)
    assert scenario.sent_commands()


@pytest.mark.parametrize("health", ["Terminating", "Gone"])
@pytest.mark.parametrize(("make_scenario", "moment"), SCENARIOS)
def test_a_server_that_drains_while_the_turn_is_stalled_is_sent_nothing(
    make_scenario, moment, health, monkeypatch
):
    # Guards against an outdated host list: after a stall, a process sent commands to servers that
    # had been draining for a long time.
    scenario = make_scenario()
    entry = scenario.net.host_entry(scenario.number, health)
    scenario.run_stalled_turn(monkeypatch, moment, lambda net: deliver_list_changes(net, entry))
    assert scenario.sent_commands() == []


@pytest.mark.parametrize(
    ("make_scenario", "moment"),
    [(on_idle_connection, BEFORE_WRITE), (on_new_connection, BEFORE_CALLBACKS)],
)
def test_a_server_that_drains_in_a_second_stall_is_sent_nothing(make_scenario, moment, monkeypatch):
    # Guards against sending postponed commands in the next turn even if that turn stalls too.
    scenario = make_scenario()
    entry = scenario.net.host_entry(scenario.number, "Terminating")
    scenario.run_two_stalled_turns(
        monkeypatch, moment, lambda net: deliver_list_changes(net, entry)
    )
    assert scenario.sent_commands() == []


@pytest.mark.parametrize(("make_scenario", "moment"), SCENARIOS)
def test_no_command_is_sent_that_timed_out_before_the_turn_resumed(
    make_scenario, moment, monkeypatch
):
    # Guards against using the time of the turn's start, by which the command had not timed out.
    scenario = make_scenario(SHORT_TIMEOUT_MS)
    scenario.run_stalled_turn(monkeypatch, moment)
    assert scenario.sent_commands() == []


@pytest.mark.parametrize(("make_scenario", "moment"), SCENARIOS)
def test_no_command_is_sent_for_a_client_that_left_while_the_turn_was_stalled(
    make_scenario, moment, monkeypatch
):
    # Guards against RESP connections that do not check whether their client has disconnected.
    scenario = make_scenario()
    scenario.run_stalled_turn(monkeypatch, moment, scenario.disconnect_all_clients())
    assert scenario.sent_commands() == []


def connecting_attempt():
    """Returns a scenario with a connection being established, the connection and its exchange."""
    scenario = on_new_connection()
    pools = scenario.net.node.pools
    [connection] = pools.by_host[f"127.0.0.1:{FIRST_PORT}"].connections
    [exchange] = scenario.net.node.exchanges.values()
    return scenario, connection, exchange


def test_a_command_that_is_cancelled_while_its_connection_is_opened_is_not_sent():
    # Guards against writing an abandoned command once the connection is established.
    scenario, _, exchange = connecting_attempt()
    [attempt] = exchange.attempts
    exchange.cancel_attempt(attempt)
    scenario.net.turn()
    assert scenario.sent_commands() == []
    assert attempt.settled


def test_a_command_is_settled_if_its_connection_cannot_be_established():
    # Guards against leaving the command unsettled until its client times out.
    scenario, connection, exchange = connecting_attempt()
    [attempt] = exchange.attempts
    connection.on_closed("refused")
    scenario.net.loop.run_once(0)
    assert attempt.settled


def test_a_connection_that_a_command_waits_for_is_not_closed_as_idle():
    # Guards against closing a connecting one as idle, which would lose the command.
    scenario, connection, _ = connecting_attempt()
    while scenario.net.node.pools.close_idle():
        pass
    assert connection.conn.is_open
    scenario.net.turn()
    assert scenario.sent_commands()
