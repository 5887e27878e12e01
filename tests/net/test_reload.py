"""SIGHUP: a configuration file is applied completely or not at all."""

import copy
import signal

import orjson
import pytest
from net_scenarios import (
    LIST_PATH,
    VALID_CONFIG,
    host_states,
    open_idle_connections,
    push_host_list,
    signal_handlers,
)
from node_harness import NodeHarness, received_text

from orchidgap.net import config
from orchidgap.net.server import reload_config


def test_sighup_changes_the_discovery_address_and_a_bad_file_changes_nothing(tmp_path):
    """SIGHUP arrives with a missing file, a malformed one and two that change the discovery
    address. Bad files change nothing; a new address keeps the list and its connections.
    """
    net, path = NodeHarness(1), tmp_path / "c"
    push_host_list(net, 41, True, [net.host_entry(0), net.host_entry(9)])
    [connection], before = open_idle_connections(net, 1), host_states(net)
    with signal_handlers(net, str(path)):
        for round, text in enumerate(
            (
                None,
                "{",
                orjson.dumps(VALID_CONFIG | {"discovery": "127.0.0.1:8501"}).decode(),
                orjson.dumps(VALID_CONFIG | {"discovery": "127.0.0.1:8502"}).decode(),
            )
        ):
            if text:
                path.write_text(text)
            net.refused.add(8502)
            signal.raise_signal(signal.SIGHUP)
            net.turn()
            assert (
                net.log.lines[-1] == "config rejected"
                if round < 2
                else "config applied" in net.log.lines
            )
            assert (
                net.loop.running
                and host_states(net) == before
                and net.node.pools.by_host["c0"].idle
            )
            assert [port for port, _ in net.dialled if port > 8000] == [8500, 8501][: max(1, round)]
            if round == 2:  # versions of another discovery server are not comparable
                assert received_text(net.host_socket()).startswith(f"GET {LIST_PATH} HTTP/1.1")
                net.answer_from_host(
                    net.host_socket(),
                    body=orjson.dumps(
                        {"seq": 3, "whole": True, "hosts": [net.host_entry(0), net.host_entry(9)]}
                    ).decode(),
                )
                assert received_text(net.host_socket()).startswith(f"GET {LIST_PATH}?after=3&")
            elif round == 3:
                net.refused.clear()
                net.node.begin_shutdown()
                net.advance(110_000)
                assert net.dialled[-1][0] == 8502, "retried soon, even during shutdown"
    received_text(connection)
    assert received_text(connection) is None, "connection pools are unchanged"


def request_classes(*names, **more):
    return [
        {"name": name, "effect": "retryable", "client-timeout": 900_000} | more for name in names
    ]


@pytest.mark.parametrize(
    ("malformed", "why"),
    [
        (b"", "is not JSON"),
        (b"{", "is not JSON"),
        (b"[]", "an object was expected"),
        (None, "No such file"),
        (lambda file: file.pop("settings"), "settings is missing"),
        (lambda file: file.pop("discovery"), "discovery is missing"),
        (lambda file: file["settings"].pop("rule-sets"), "settings.rule-sets is missing"),
        (lambda file: file["settings"].update({"rule-sets": []}), "rule-sets.count"),
        (
            lambda file: file["settings"]["rule-sets"][1].pop("effect"),
            "rule-sets.*.effect is missing",
        ),
        (lambda file: file["settings"]["rule-sets"][0].pop("name"), "rule-sets.*.name is missing"),
        (
            lambda file: file["settings"]["ceilings"].pop("may-cancel"),
            "ceilings.may-cancel is missing",
        ),
        (
            lambda file: file["settings"]["ceilings"].update({"may-cancel": "yes"}),
            "is a string, but was a boolean",
        ),
        (
            lambda file: file["settings"]["rule-sets"][1].update({"client-timeout": 0}),
            "must be over 0",
        ),
        (
            lambda file: file["settings"]["rule-sets"][1].update({"client-timeout": -5}),
            "must be over 0",
        ),
        (
            lambda file: file["settings"]["rule-sets"][1].update({"effect": "none"}),
            "must be one of",
        ),
        (
            lambda file: file["settings"]["rule-sets"][1].update({"name": "read"}),
            "a name of its own",
        ),
        (
            lambda file: file["settings"]["ceilings"].update({"most-dispatches": 0}),
            "must be over 0",
        ),
        (
            lambda file: file["settings"]["ceilings"].update({"most-dispatches": -1}),
            "must be over 0",
        ),
        (
            lambda file: file["settings"]["ceilings"].update({"most-dispatches": "many"}),
            "is a string, but was a number",
        ),
        (lambda file: file["settings"]["ceilings"].update({"conn-idle": 0}), "must be over 0"),
        (
            lambda file: file["settings"]["guarantees"].update({"warm-after": -1}),
            "must not be under 0",
        ),
        (lambda file: file.update({"discovery": "nowhere"}), "not an address"),
        (lambda file: file.update({"listen": 7}), "is a number, but was a string"),
    ],
)
def test_a_malformed_file_changes_nothing(tmp_path, malformed, why):
    """SIGHUP arrives, and the file lacks a key, has a value of the wrong type or is truncated. The
    current settings are kept, and the log states why.
    """
    path, net = tmp_path / "c", NodeHarness()
    path.write_bytes(orjson.dumps(CONFIG_FILE))
    net.node.config = config.read(str(path))
    before, dialled = net.node.config, len(net.dialled)
    if callable(malformed):
        malformed(file := copy.deepcopy(CONFIG_FILE) | {"discovery": "127.0.0.1:8777"})
        malformed = orjson.dumps(file)
    if malformed is None:
        path.unlink()
    else:
        path.write_bytes(malformed)
    events = []
    net.node.event_log = lambda event, **facts: events.append((event, facts.get("why")))
    reload_config(net.node, str(path))
    assert (
        net.node.config is before
        and len(net.dialled) == dialled
        and net.node.balancer.settings is not before.settings
    )
    assert [event for event, _ in events] == ["config rejected"] and why in events[0][1]


CONFIG_FILE = {
    "name": "n",
    "listen": "127.0.0.1:7070",
    "discovery": "127.0.0.1:8500",
    "limits": {"memory_mb": 80},
    "settings": {
        "rule-sets": request_classes("read", "once"),
        "customers": [{"name": "a", "share": 1.0}],
        "ceilings": {"most-dispatches": 3, "may-cancel": True, "conn-idle": 9_000_000},
        "guarantees": {"warm-after": 1_000_000},
    },
}


def test_new_settings_apply_to_new_requests_and_open_ones_keep_theirs(tmp_path):
    """Settings change while a request is open. It keeps the settings of its arrival; new requests
    have the new ones.
    """
    path, net = tmp_path / "c", NodeHarness(3)
    path.write_bytes(orjson.dumps(CONFIG_FILE))
    net.node.config = config.read(str(path))
    net.node.call_decisions(net.node.balancer.on_settings, net.node.config.settings)
    old = net.send_request("k1")
    file = copy.deepcopy(CONFIG_FILE)
    file["settings"]["rule-sets"] = request_classes("once", effect="fragile") + request_classes(
        "fresh"
    )
    file["settings"]["ceilings"]["most-dispatches"] = 1
    file["settings"]["customers"] = []
    path.write_bytes(orjson.dumps(file))
    for _ in range(2):  # a second reload changes nothing more
        reload_config(net.node, str(path))
    assert net.log.lines[-1] == "config applied"
    assert received_text(net.send_request("k2")).startswith("HTTP/1.1 404"), (
        "a removed request class is unknown for new requests"
    )
    net.send_and_turn(
        net.host_socket(0), "HTTP/1.1 503 No\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n"
    )
    assert received_text(old) is None, "the open request may have another attempt"
    net.answer_from_host(net.host_socket(1))
    assert received_text(old).startswith("HTTP/1.1 200")
    fresh = net.send_request("k3", rule_set="fresh")
    net.send_and_turn(
        net.host_socket(), "HTTP/1.1 503 No\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n"
    )
    assert received_text(fresh).startswith("HTTP/1.1 503"), "a single attempt"


@pytest.mark.parametrize("path", ["most-dispatches", "connect-timeout", "conn-idle"])
@pytest.mark.parametrize("number", [1e308, 1e16])
def test_a_number_too_large_for_the_log_is_rejected_before_anything_is_taken(
    tmp_path, path, number
):
    """The settings were taken and the line that tells so could not be written, nor was a new address
    of discovery in the same file followed.
    """
    file, net = tmp_path / "c", NodeHarness()
    file.write_bytes(orjson.dumps(CONFIG_FILE))
    net.node.config = config.read(str(file))
    before = net.node.config
    document = copy.deepcopy(CONFIG_FILE) | {"discovery": "127.0.0.1:8501"}
    document["settings"]["ceilings"][path] = number
    file.write_bytes(orjson.dumps(document))
    events = []
    net.node.event_log = lambda event, **facts: events.append((event, facts["why"]))
    reload_config(net.node, str(file))
    [(event, why)] = events
    assert event == "config rejected" and f"ceilings.{path} is {number:g}" in why
    assert net.node.config is before


def test_settings_that_need_a_restart_are_logged_and_keep_their_values(tmp_path):
    """A new file changes the listen address and the limits. They keep their values until a
    restart, and the log names them.
    """
    path, net = tmp_path / "c", NodeHarness()
    path.write_bytes(orjson.dumps(CONFIG_FILE))
    net.node.config = config.read(str(path))
    path.write_bytes(
        orjson.dumps(CONFIG_FILE | {"listen": "127.0.0.1:7071", "limits": {"memory_mb": 90}})
    )
    events = []
    net.node.event_log = lambda event, **facts: events.append(facts.get("at_next_start"))
    reload_config(net.node, str(path))
    assert events == [["listen", "memory_mb"]] and net.node.config.memory_mb == 80
