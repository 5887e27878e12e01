"""Signals during startup, and configurations with unusual values."""

import os
import signal
import socket
import subprocess
import time
import tomllib
from contextlib import suppress
from pathlib import Path

import orjson
import pytest
from node_harness import NodeHarness

from orchidgap.composition import create_protocol
from orchidgap.net import config, server
from orchidgap.net.loop import Loop

VALID_CONFIG = {
    "name": "n",
    "listen": "127.0.0.1:1",
    "discovery": "127.0.0.1:1",
    "seed": "ff",
    "known": {"seq": 1, "whole": True, "hosts": [NodeHarness.host_entry(0)]},
    "settings": {"rule-sets": [{"name": "read", "effect": "retryable", "client-timeout": 900_000}]},
}


def test_sighup_between_the_first_read_of_the_file_and_the_loop_is_handled(tmp_path, monkeypatch):
    """The default action would have ended the process. The new file must apply although SIGHUP
    arrived before the loop started.
    """
    path, previous_handlers = (
        tmp_path / "c",
        {number: signal.getsignal(number) for number in (1, 2, 15)},
    )
    path.write_bytes(orjson.dumps(VALID_CONFIG))
    read, nodes = config.read, []

    def read_and_change(at, *more):
        loaded = read(at, *more)
        if not more:
            path.write_bytes(
                orjson.dumps(
                    VALID_CONFIG
                    | {
                        "settings": {
                            "rule-sets": [
                                {"name": "later", "effect": "retryable", "client-timeout": 900_000}
                            ]
                        }
                    }
                )
            )
            signal.raise_signal(signal.SIGHUP)
        return loaded._replace(listen=("127.0.0.1", 0))

    class FourTurnLoop(Loop):
        def run(self):
            for _ in range(4):
                self.run_once(0)

    class RecordedNode(server.Node):
        def start(self):
            nodes.append(self)
            super().start()

    monkeypatch.setattr(config, "read", read_and_change)
    monkeypatch.setattr(server, "Loop", FourTurnLoop)
    monkeypatch.setattr(server, "Node", RecordedNode)
    try:
        server.serve(str(path), create_protocol)
    finally:
        signal.set_wakeup_fd(-1)
        for number, handler in previous_handlers.items():
            signal.signal(number, handler)
    assert nodes[0].knows_request_class("later") and not nodes[0].knows_request_class("read")
    nodes[0].clients.listening_socket.close()


# A process that got SIGHUP during startup ended and served no request.
@pytest.mark.parametrize("delay_ms", [0, 10, 30, 100])
def test_sighup_during_startup_of_the_deployed_command_does_not_end_it(tmp_path, delay_ms):
    root = Path(__file__).parents[2]
    command = tomllib.loads((root / "deploy" / "balancer.toml").read_text())["run"]
    with socket.create_server(("127.0.0.1", 0)) as free:
        address = free.getsockname()
    path = tmp_path / "c"
    path.write_bytes(orjson.dumps(VALID_CONFIG | {"listen": f"127.0.0.1:{address[1]}"}))
    environment = os.environ | {"GW_CONFIG": str(path)}
    process = subprocess.Popen(["sh", "-c", command], cwd=root, env=environment)
    try:
        await_program(process.pid)
        time.sleep(delay_ms / 1e3)
        for _ in range(100):
            process.send_signal(signal.SIGHUP)
            time.sleep(0.004)
        assert is_up_within(address, 10.0) and process.poll() is None
    finally:
        process.kill()
        process.wait()


def await_program(pid):
    """Return once the shell has been replaced by the program."""
    while not Path(f"/proc/{pid}/cmdline").read_bytes().partition(b"\0")[0].endswith(b"python"):
        time.sleep(0.0005)


def is_up_within(address, seconds):
    end_s = time.monotonic() + seconds
    while time.monotonic() < end_s:
        with suppress(OSError), socket.create_connection(address, timeout=1.0) as sock:
            sock.sendall(b"GET /up HTTP/1.1\r\nConnection: close\r\n\r\n")
            if sock.recv(64).startswith(b"HTTP/1.1 200"):
                return True
        time.sleep(0.02)
    return False


# --- unusual values of settings

FULL_CONFIG = {
    "name": "n",
    "listen": "127.0.0.1:1",
    "discovery": "127.0.0.1:2",
    "seed": "ff",
    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
    "known": {"seq": 1, "whole": True, "hosts": [NodeHarness.host_entry(0)]},
    "settings": {
        "kinds": ["cache", "origin"],
        "instances": 3,
        "family-info": {"mode": "aside", "origin-kind": 1},
        "registry-mode": "automatic",
        "weights": "off",
        "report": {"how": "off", "fields": []},
        "ceilings": {
            "conn-idle": 7,
            "connect-timeout": 5,
            "most-dispatches": 3,
            "may-cancel": True,
            "may-duplicate": False,
            "retry-after": True,
            "max-retry-after": 5,
        },
        "guarantees": {"ask-within": 5, "cold-from": 0.1, "warm-after": 5},
        "customers": [{"name": "x", "share": 0.5}],
        "rule-sets": [
            {
                "name": "read",
                "effect": "retryable",
                "client-timeout": 900,
                "response-target": 5,
                "group": "all",
                "repeat-window": 3,
            }
        ],
    },
}
UNUSUAL_VALUES = (
    None,
    -1,
    0,
    1e308,
    "",
    "x",
    "nan",
    "inf",
    "-0",
    "1e999",
    "0" * 40,
    True,
    False,
    [],
    {},
    [1],
    [[]],
    {"a": 1},
    10**18,
    0.5,
    "\0",
)
MISSING = object()


def paths(tree, path=()):
    for name, child in (
        tree.items()
        if isinstance(tree, dict)
        else enumerate(tree)
        if isinstance(tree, list)
        else ()
    ):
        yield (*path, name)
        yield from paths(child, (*path, name))


def with_value(tree, path, value):
    """Return a copy of the tree with this value at the path."""
    name, *rest = path
    copy = list(tree) if isinstance(tree, list) else dict(tree)
    if rest:
        copy[name] = with_value(copy[name], rest, value)
    elif value is MISSING:
        del copy[name]
    else:
        copy[name] = value
    return copy


@pytest.mark.parametrize(
    "path", list(paths(FULL_CONFIG)), ids=lambda path: ".".join(map(str, path))
)
def test_any_value_of_a_setting_is_usable_or_rejected_in_one_line(path):
    """A setting has any unusual value. Either the balancer can serve with it, or the error states
    in one line what is wrong.
    """
    for value in (*UNUSUAL_VALUES, MISSING):
        try:
            loaded = config.parse(orjson.dumps(with_value(FULL_CONFIG, path, value)), "file")
        except config.ConfigError as error:
            assert str(error).startswith("file: ") and "\n" not in str(error), (path, value)
        else:
            settings = loaded.settings
            assert (
                min(
                    settings.latency_objective_us,
                    settings.longest_client_timeout_us,
                    settings.balancer_count,
                    settings.max_attempts,
                )
                >= 1
            ), (
                path,
                value,
            )
            assert (
                min(loaded.connect_timeout_us, loaded.idle_timeout_us) >= 1
                and loaded.descriptors >= 64
            ), (
                path,
                value,
            )
