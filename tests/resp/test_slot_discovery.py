"""What discovery tells of slot servers, which is joined with their own map."""

import pytest
from loopback_harness import received_text
from net_scenarios import push_host_list
from test_stalled_commands import Scene


@pytest.mark.parametrize("health", ["Terminating", "Gone", "Odd"])
@pytest.mark.parametrize("is_whole", [True, False])
def test_a_server_that_discovery_calls_draining_or_gone_is_sent_nothing(health, is_whole):
    # A server that had gone went on being sent commands: such an entry has no address.
    scene = Scene(0, 2_000)
    entries = [scene.net.host_entry(0, health), scene.net.host_entry(1)]
    push_host_list(scene.net, 42, is_whole, entries)
    scene.ask(1)
    scene.net.turn()
    assert scene.begun() == []


def test_a_server_that_comes_back_is_sent_commands_again():
    # The state of a host that had gone must not stay with its address.
    scene = Scene(0, 2_000)
    push_host_list(scene.net, 42, False, [scene.net.host_entry(0, "Gone")])
    push_host_list(scene.net, 43, False, [scene.net.host_entry(0)])
    scene.ask(1)
    scene.net.turn()
    assert scene.begun()


@pytest.mark.parametrize("is_whole", [True, False])
@pytest.mark.parametrize("is_last", [True, False])
def test_a_server_at_the_address_of_one_that_has_gone_is_sent_commands(is_last, is_whole):
    # It was called gone with the host that had been there before it, and its slots had no server.
    scene = Scene(0, 2_000)
    replacement = {**scene.net.host_entry(0), "host": "c0-again"}
    gone = scene.net.host_entry(0, "Gone")
    entries = [replacement, gone] if is_last else [gone, replacement]
    push_host_list(scene.net, 42, is_whole, [*entries, scene.net.host_entry(1)])
    scene.ask(1)
    scene.net.turn()
    assert scene.begun()


def test_a_host_that_goes_after_another_has_its_address_takes_nothing_with_it():
    # The server was called gone by the later list until the next whole one.
    scene = Scene(0, 2_000)
    replacement = {**scene.net.host_entry(0), "host": "c0-again"}
    push_host_list(scene.net, 42, False, [replacement])
    push_host_list(scene.net, 43, False, [scene.net.host_entry(0, "Gone")])
    scene.ask(1)
    scene.net.turn()
    assert scene.begun()
    push_host_list(scene.net, 44, False, [{**replacement, "health": "Gone"}])
    scene.ask(2)
    scene.net.turn()
    assert scene.begun() == []


def test_commands_for_a_server_that_has_gone_are_denied_without_a_wait_for_another_owner():
    # Each waited for an owner that the map did not name, and held the client's next one behind it.
    scene = Scene(0, 2_000)
    push_host_list(scene.net, 42, False, [scene.net.host_entry(0, "Gone")])
    for number in (1, 2, 3):
        scene.ask(number)
    scene.net.turn()
    replies = received_text(scene.clients[0]) or ""
    assert replies.count("-TRYAGAIN") == 3
