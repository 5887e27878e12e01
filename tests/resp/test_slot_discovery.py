"""Discovery's states of slot servers, combined with the servers' own slot map."""

import socket

import pytest
from handover_harness import send_snapshot
from loopback_harness import received_text
from net_scenarios import discovery_socket, push_host_list
from test_stalled_commands import (
    FIRST_PORT,
    LONG_TIMEOUT_MS,
    SECOND_PORT,
    RespLoopbackHarness,
    StalledCommandScenario,
    keys_of_half,
    slot_ranges,
)

from orchidgap.decisions.listed_addresses import ListedAddresses
from orchidgap.net.endpoints import Endpoint, EndpointEntry
from orchidgap.net.handover.coordinator import Handover
from orchidgap.resp.local_commands import slot_of_key
from orchidgap.resp.writers import encode_command

MAP_OF_FIRST = slot_ranges(owners=(0, 0))  # the first server owns all slots


@pytest.mark.parametrize("health", ["Terminating", "Gone", "Odd"])
@pytest.mark.parametrize("is_whole", [True, False])
def test_a_server_that_discovery_lists_as_draining_or_gone_is_sent_nothing(health, is_whole):
    # Guards against sending commands to a server that has gone: its entry has no address to match.
    scenario = StalledCommandScenario(0, 2_000)
    entries = [scenario.net.host_entry(0, health), scenario.net.host_entry(1)]
    push_host_list(scenario.net, 42, is_whole, entries)
    scenario.send_command(1)
    scenario.net.turn()
    assert scenario.sent_commands() == []


def test_a_server_that_is_listed_again_is_sent_commands_again():
    # Guards against keeping the state of a host that has gone for its address.
    scenario = StalledCommandScenario(0, 2_000)
    push_host_list(scenario.net, 42, False, [scenario.net.host_entry(0, "Gone")])
    push_host_list(scenario.net, 43, False, [scenario.net.host_entry(0)])
    scenario.send_command(1)
    scenario.net.turn()
    assert scenario.sent_commands()


@pytest.mark.parametrize("is_whole", [True, False])
@pytest.mark.parametrize("is_last", [True, False])
def test_a_server_at_the_address_of_one_that_has_gone_is_sent_commands(is_last, is_whole):
    # Guards against marking the server as gone together with the previous host at its address,
    # which left its slots without a server.
    scenario = StalledCommandScenario(0, 2_000)
    replacement = {**scenario.net.host_entry(0), "host": "c0-again"}
    gone = scenario.net.host_entry(0, "Gone")
    entries = [replacement, gone] if is_last else [gone, replacement]
    push_host_list(scenario.net, 42, is_whole, [*entries, scenario.net.host_entry(1)])
    scenario.send_command(1)
    scenario.net.turn()
    assert scenario.sent_commands()


def test_removing_a_host_does_not_affect_the_next_host_at_its_address():
    # Guards against a later change that marked the server as gone until the next whole list.
    scenario = StalledCommandScenario(0, 2_000)
    replacement = {**scenario.net.host_entry(0), "host": "c0-again"}
    push_host_list(scenario.net, 42, False, [replacement])
    push_host_list(scenario.net, 43, False, [scenario.net.host_entry(0, "Gone")])
    scenario.send_command(1)
    scenario.net.turn()
    assert scenario.sent_commands()
    push_host_list(scenario.net, 44, False, [{**replacement, "health": "Gone"}])
    scenario.send_command(2)
    scenario.net.turn()
    assert scenario.sent_commands() == []


def test_commands_for_a_server_that_has_gone_are_denied_without_a_wait_for_another_owner():
    # Guards against commands that wait for an owner which the slot map does not name, and so delay
    # the client's next commands.
    scenario = StalledCommandScenario(0, 2_000)
    push_host_list(scenario.net, 42, False, [scenario.net.host_entry(0, "Gone")])
    for number in (1, 2, 3):
        scenario.send_command(number)
    scenario.net.turn()
    replies = received_text(scenario.clients[0]) or ""
    assert replies.count("-TRYAGAIN") == 3


@pytest.mark.parametrize("lists_after", [1, 3])
@pytest.mark.parametrize("health_before", ["Ready", "Terminating"])
def test_a_server_that_a_whole_list_leaves_out_is_sent_nothing(health_before, lists_after):
    # It had been listed, so it has gone; the list without it made it count as ready again.
    scenario = StalledCommandScenario(0, 2_000)
    others = [scenario.net.host_entry(1)]
    entries = [scenario.net.host_entry(0, health_before), *others]
    push_host_list(scenario.net, 42, False, entries)
    for number in range(lists_after):
        push_host_list(scenario.net, 43 + number, True, others)
    scenario.send_command(1)
    scenario.net.turn()
    assert scenario.sent_commands() == []
    push_host_list(scenario.net, 50, True, [scenario.net.host_entry(0), *others])
    scenario.send_command(2)
    scenario.net.turn()
    assert scenario.sent_commands()


def test_a_server_that_was_never_listed_is_sent_commands():
    # The servers' own map may name one before discovery does.
    scenario = StalledCommandScenario(0, 2_000)
    scenario.net.node.discovery.listed = ListedAddresses()
    push_host_list(scenario.net, 42, True, [scenario.net.host_entry(1)])
    scenario.send_command(1)
    scenario.net.turn()
    assert scenario.sent_commands()


def receive_old_list(scenario, state):
    """Have an old process send its list, in which the first server has this state."""
    node, (old_process, node_end) = (
        scenario.net.node,
        socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET),
    )
    node.handover = Handover(scenario.net.loop, node, None, shared=True)
    node.handover.join_predecessor(node_end)
    rows = []
    for number, server_state in enumerate((state, "up")):
        name = f"127.0.0.1:{FIRST_PORT + number}"
        entry = EndpointEntry(name, server_state, 0, "", "slots", name, 1.0)
        rows.append((entry, Endpoint(name, server_state, ("127.0.0.1", FIRST_PORT + number))))
    send_snapshot(old_process, rows)
    scenario.net.turn()
    scenario.net.open_sockets.append(old_process)
    assert not node.handover.awaiting_snapshot


@pytest.mark.parametrize(("listed", "old"), [("Terminating", "up"), ("Ready", "draining")])
def test_the_list_of_an_old_process_never_replaces_one_that_discovery_told(listed, old):
    # It stayed for good: the states that discovery had told were not reported again.
    scenario = StalledCommandScenario(0, 2_000)
    push_host_list(scenario.net, 42, False, [scenario.net.host_entry(0, listed)])
    receive_old_list(scenario, old)
    scenario.send_command(1)
    scenario.net.turn()
    assert bool(scenario.sent_commands()) == (listed == "Ready")


def test_the_list_of_an_old_process_holds_until_discovery_tells_one():
    # A list of ready servers was equal to that reported before the old process's, and was ignored.
    scenario = StalledCommandScenario(0, 2_000)
    discovery = scenario.net.node.discovery
    discovery.discovery.has_list = False
    discovery.listed = ListedAddresses()
    receive_old_list(scenario, "draining")
    discovery.servers["127.0.0.1:99"] = ("127.0.0.1", 99)  # as from a slot map
    discovery.report_servers()
    scenario.send_command(1)
    scenario.net.turn()
    assert scenario.sent_commands() == []
    received_text(discovery_socket(scenario.net))
    entries = [scenario.net.host_entry(0), scenario.net.host_entry(1)]
    push_host_list(scenario.net, 43, True, entries)
    scenario.send_command(2)
    scenario.net.turn()
    assert scenario.sent_commands()


def hand_over(old, new):
    """Have the new process receive the list of the old one."""
    old_end, new_end = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    for net in (old, new):
        net.node.handover = Handover(net.loop, net.node, None, shared=True)
    old.node.handover.accept_successor(old_end)
    new.node.handover.join_predecessor(new_end)
    for _ in range(4):
        new.turn()
        old.turn()
    assert not new.node.handover.awaiting_snapshot


@pytest.mark.parametrize("hears_discovery", [True, False])
@pytest.mark.parametrize("health_in_file", ["Ready", None])
def test_a_new_process_knows_which_servers_outside_the_slot_map_drain(
    hears_discovery, health_in_file
):
    # Guards against a redirection to a server that the old process knew to drain, and did not use.
    ready = RespLoopbackHarness.host_entry(0)
    draining = RespLoopbackHarness.host_entry(1, "Terminating")
    known = None if hears_discovery else {"seq": 5, "whole": True, "hosts": [ready, draining]}
    old = RespLoopbackHarness(LONG_TIMEOUT_MS, known, listed=False, map_answer=MAP_OF_FIRST)
    if hears_discovery:
        push_host_list(old, 41, True, [ready, draining])
    older_entries = [ready, RespLoopbackHarness.host_entry(1, health_in_file)]
    known = health_in_file and {"seq": 4, "whole": True, "hosts": older_entries}
    new = RespLoopbackHarness(LONG_TIMEOUT_MS, known, listed=False, map_answer=MAP_OF_FIRST)
    hand_over(old, new)
    client = new.connect_client(encode_command(b"GET", keys_of_half(1)[0]))
    new.turn()
    [(_, far)] = new.commands(FIRST_PORT)
    slot = slot_of_key(keys_of_half(1)[0])
    new.send_and_turn(far, b"-MOVED %d 127.0.0.1:%d\r\n" % (slot, SECOND_PORT))
    assert new.commands(SECOND_PORT) == []
    assert received_text(client).startswith("-TRYAGAIN")


@pytest.mark.parametrize(("old", "in_file"), [("Terminating", "Ready"), ("Ready", "Terminating")])
def test_the_list_of_an_old_process_counts_before_the_one_in_the_file(old, in_file):
    # Guards against a list in the file that is older than what the old process has heard since.
    entry = RespLoopbackHarness.host_entry
    old_process = RespLoopbackHarness(LONG_TIMEOUT_MS)
    push_host_list(old_process, 42, False, [entry(0, old)])
    known = {"seq": 41, "whole": True, "hosts": [entry(0, in_file), entry(1)]}
    new = RespLoopbackHarness(LONG_TIMEOUT_MS, known, listed=False)
    hand_over(old_process, new)
    new.connect_client(encode_command(b"GET", keys_of_half(0)[0]))
    new.turn()
    assert bool(new.commands(FIRST_PORT)) == (old == "Ready")


def test_a_new_process_does_not_take_an_origin_for_a_slot_server():
    # Guards against the slot map being requested from an origin that the old process had listed.
    old, new = (RespLoopbackHarness(LONG_TIMEOUT_MS, listed=False) for _ in range(2))
    entries = [RespLoopbackHarness.host_entry(number) for number in (0, 1, 9)]
    push_host_list(old, 41, True, entries)
    hand_over(old, new)
    assert set(new.node.discovery.servers) == {
        f"127.0.0.1:{FIRST_PORT}",
        f"127.0.0.1:{SECOND_PORT}",
    }
