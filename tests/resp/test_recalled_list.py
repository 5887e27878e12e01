"""The list of hosts in the configuration, over RESP, until discovery tells one."""

import pytest
from loopback_harness import received_text, wait_until_readable
from net_scenarios import discovery_socket, push_host_list
from test_stalled_commands import (
    DISCOVERY,
    DISCOVERY_PORT,
    FIRST_PORT,
    LONG_TIMEOUT_MS,
    SECOND_PORT,
    RespLoopbackHarness,
    keys_of_half,
)

from orchidgap.net.node import FIRST_LIST_TIMEOUT_US
from orchidgap.resp.local_commands import slot_of_key
from orchidgap.resp.writers import encode_command

PORTS = (FIRST_PORT, SECOND_PORT)  # only the first server is a seed
OUTAGE_US = 8_000_000


class RecallingNode:
    """A node whose configuration lists both servers, the one with this number in this state.

    It has these `entries` instead if they are given.
    """

    def __init__(self, number, health, discovery=DISCOVERY, entries=None):
        self.entries = entries or [RespLoopbackHarness.host_entry(each) for each in (0, 1)]
        if entries is None:
            self.entries[number]["health"] = health
        known = {"seq": 5, "whole": True, "hosts": self.entries}
        self.net = RespLoopbackHarness(LONG_TIMEOUT_MS, known, listed=False, discovery=discovery)
        self.commands_sent = [0, 0]

    def send_command(self, number):
        """Send a command for a key of the server with this number from a new client."""
        key = keys_of_half(number)[self.commands_sent[number]]
        self.commands_sent[number] += 1
        client = self.net.connect_client(encode_command(b"GET", key))
        self.net.turn()
        return client

    def sends_to(self, number):
        """Return whether a command for a key of the server is sent to it, and answer it."""
        client = self.send_command(number)
        commands = self.net.commands(PORTS[number])
        for _, far in commands:
            self.net.send_and_turn(far, b"$1\r\nv\r\n")
        reply = received_text(client)
        assert reply == "$1\r\nv\r\n" if commands else reply.startswith("-TRYAGAIN")
        client.close()
        self.net.turn()
        return bool(commands)

    def tell(self, version, entries):
        """Have discovery tell a whole list."""
        push_host_list(self.net, version, True, entries)
        self.net.turn()


@pytest.mark.parametrize("health", ["Terminating", "Gone", "Odd"])
@pytest.mark.parametrize("number", [0, 1])
def test_a_server_that_drains_in_the_configured_list_is_sent_nothing_during_an_outage(
    number, health
):
    # Guards against forgetting, at a start while discovery is down, which servers drain.
    node = RecallingNode(number, health)
    for _ in range(OUTAGE_US // 500_000):
        assert not node.sends_to(number)
        assert node.sends_to(1 - number)
        node.net.advance(500_000)


@pytest.mark.parametrize(
    "answer",
    [
        b"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n",
        b'HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n{"seq": ',
        b'HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{"seq": 6, "whole": true, "hosts": [',
        b"HTTP/1.1 200 OK\r\nContent-Le",
        b'HTTP/1.1 200 OK\r\nContent-Length: 35\r\n\r\n{"seq":6,"whole":false,"hosts":[]}  ',
        b"",
    ],
    ids=["error", "malformed", "half a body", "half a head", "changes without a list", "close"],
)
@pytest.mark.parametrize("number", [0, 1])
def test_the_configured_list_holds_while_discovery_answers_badly(number, answer):
    # Guards against an answer without a list that counts as a list.
    node = RecallingNode(number, "Terminating")
    for _ in range(8):
        far = discovery_socket(node.net)
        received_text(far)
        if answer:
            far.sendall(answer)
        else:
            far.close()
        node.net.turn()
        assert not node.sends_to(number)
        assert node.sends_to(1 - number)
        node.net.advance(FIRST_LIST_TIMEOUT_US)


@pytest.mark.parametrize("kind", [b"MOVED", b"ASK"])
@pytest.mark.parametrize("number", [0, 1])
def test_a_redirection_to_a_server_that_drains_in_the_configured_list_is_not_followed(number, kind):
    # Guards against a drain that is kept for commands by the slot map only.
    node = RecallingNode(number, "Terminating")
    client = node.send_command(1 - number)
    [(_, far)] = node.net.commands(PORTS[1 - number])
    slot = slot_of_key(keys_of_half(1 - number)[0])
    far.sendall(b"-%b %d 127.0.0.1:%d\r\n" % (kind, slot, PORTS[number]))
    wait_until_readable(node.net.node_socket_of(far))
    node.net.turn()
    assert node.net.commands(PORTS[number]) == []
    assert received_text(client).startswith("-TRYAGAIN")


def test_a_server_that_drains_in_the_configured_list_is_sent_nothing_after_a_new_discovery_address():
    # Guards against SIGHUP in an outage, which begins anew with another agent.
    node = RecallingNode(1, "Terminating")
    node.net.advance(2 * FIRST_LIST_TIMEOUT_US)
    before = node.net.node.config
    node.net.node.apply_config(before._replace(discovery=("127.0.0.1", 8501)))
    for _ in range(4):
        assert not node.sends_to(1)
        assert node.sends_to(0)
        node.net.advance(FIRST_LIST_TIMEOUT_US)


@pytest.mark.parametrize("number", [0, 1])
def test_a_server_that_drained_in_the_configured_list_is_sent_commands_once_it_is_listed_as_ready(
    number,
):
    # Guards against a state of the configured list that outlives discovery's list.
    node = RecallingNode(number, "Terminating")
    assert not node.sends_to(number)
    received_text(discovery_socket(node.net))
    node.tell(6, [node.net.host_entry(0), node.net.host_entry(1)])
    assert node.sends_to(number)
    assert node.sends_to(1 - number)


@pytest.mark.parametrize("is_told", [True, False])
@pytest.mark.parametrize("is_newer_last", [True, False])
@pytest.mark.parametrize(("older", "newer"), [("Terminating", "Ready"), ("Ready", "Terminating")])
def test_a_server_at_an_address_that_changed_hosts_has_the_state_of_the_newer_host(
    older, newer, is_newer_last, is_told
):
    # Guards against the state of the host that the list happens to have last.
    entry = RespLoopbackHarness.host_entry
    hosts = [
        {**entry(0, older, born=1), "host": "before"},
        {**entry(0, newer, born=2), "host": "after"},
    ]
    entries = [entry(1), *(hosts if is_newer_last else reversed(hosts))]
    node = RecallingNode(0, "Ready", entries=None if is_told else entries)
    if is_told:
        received_text(discovery_socket(node.net))
        node.tell(6, entries)
    assert node.sends_to(0) == (newer == "Ready")
    assert node.sends_to(1)


@pytest.mark.parametrize("number", [0, 1])
@pytest.mark.parametrize("is_listed", [True, False])
@pytest.mark.parametrize("health", ["Ready", "Terminating"])
def test_discoverys_list_replaces_the_configured_one(number, is_listed, health):
    # Guards against a server that has gone by discovery's first list, and was ready before.
    node = RecallingNode(number, health)
    entries = [node.net.host_entry(1 - number)]
    if is_listed:
        entries.append(node.net.host_entry(number, "Terminating"))
    received_text(discovery_socket(node.net))
    node.tell(6, entries)
    assert not node.sends_to(number)
    assert node.sends_to(1 - number)


def test_servers_of_the_configured_list_are_asked_for_the_slot_map_after_the_seeds():
    # Guards against an outage of discovery in which no seed is up, and against an old list that
    # delays the map.
    host = {**RespLoopbackHarness.host_entry(1), "dial": "127.0.0.1:99"}  # sorts before the seed
    net = RespLoopbackHarness(
        LONG_TIMEOUT_MS, {"seq": 5, "whole": True, "hosts": [host]}, listed=False, map_answer=b""
    )
    for _ in range(40):
        net.advance(100_000)
    asked = [port for port, _ in net.dialled if port != DISCOVERY_PORT]
    assert asked[:2] == [FIRST_PORT, 99]


def test_a_node_without_seeds_finds_its_servers_in_the_configured_list():
    # Guards against a node that serves nothing until discovery is back.
    known = {"seq": 5, "whole": True, "hosts": [RespLoopbackHarness.host_entry(0)]}
    net = RespLoopbackHarness(LONG_TIMEOUT_MS, known, listed=False, seeds=())
    client = net.connect_client(encode_command(b"GET", keys_of_half(0)[0]))
    net.turn()
    [(_, far)] = net.commands(FIRST_PORT)
    net.send_and_turn(far, b"$1\r\nv\r\n")
    assert received_text(client) == "$1\r\nv\r\n"


@pytest.mark.parametrize("number", [0, 1])
def test_a_server_that_drains_is_not_asked_for_the_slot_map(number):
    # Guards against new connections to servers that drain, while another one knows the map too.
    node = RecallingNode(number, "Terminating")
    for _ in range(600):
        node.net.advance(100_000)
    asked = {port for port, _ in node.net.dialled if port != DISCOVERY_PORT}
    assert asked == {PORTS[1 - number]}


def test_a_server_that_drains_is_asked_for_the_slot_map_if_none_is_ready():
    # Guards against a node that never learns which servers took over from those it knows.
    entries = [RespLoopbackHarness.host_entry(number, "Terminating") for number in (0, 1)]
    node = RecallingNode(0, "Ready", entries=entries)
    assert FIRST_PORT in {port for port, _ in node.net.dialled}


def test_the_configured_list_holds_where_no_discovery_is_configured():
    # Guards against a list that is used only where discovery is called too.
    node = RecallingNode(0, "Terminating", discovery=None)
    assert not node.sends_to(0)
    assert node.sends_to(1)
    assert node.net.node.is_ready()


def test_a_new_process_is_ready_only_once_discovery_has_told_a_list():
    # Guards against a process that takes over from its predecessor before it knows who drains.
    net = RespLoopbackHarness(LONG_TIMEOUT_MS, listed=False)
    net.advance(FIRST_LIST_TIMEOUT_US - 1)
    assert not net.node.is_ready()
    net.advance(1)
    assert net.node.is_ready()


@pytest.mark.parametrize("health", ["Ready", "Terminating"])
def test_a_list_that_changes_no_state_makes_a_new_process_ready(health):
    # Guards against a wait for a list that has arrived, and was equal to the configured one.
    node = RecallingNode(0, health)
    assert not node.net.node.is_ready()
    received_text(discovery_socket(node.net))
    node.tell(6, node.entries)
    assert node.net.node.is_ready()
