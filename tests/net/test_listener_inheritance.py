"""A process that inherits its listening socket."""

import os
import signal
import socket
import subprocess
import sys

import orjson
import pytest
from handover_harness import READINESS_REQUEST, listener, turn
from node_harness import NodeHarness, received_text

from orchidgap.net.config import ConfigError
from orchidgap.net.handover.listener_inheritance import inherited_listener
from orchidgap.net.receive_timestamps import SO_TIMESTAMPNS


def connected_socket():
    sock, peer = socket.socketpair()
    peer.close()
    return sock


@pytest.mark.parametrize(
    ("make_descriptor", "message"),
    [
        (lambda: "x", "no open socket"),
        (lambda: "-1", "no open socket"),
        (lambda: "99999", "no open socket"),
        (lambda: "9" * 30, "no open socket"),
        (lambda: os.open(os.devnull, os.O_RDONLY), "no open socket"),
        (lambda: connected_socket().detach(), "no listening TCP socket"),
        (lambda: socket.socket().detach(), "no listening TCP socket"),
        (lambda: socket.socket(type=socket.SOCK_DGRAM).detach(), "no listening TCP socket"),
    ],
)
def test_inherited_descriptor_must_be_a_listening_socket(make_descriptor, message):
    """The inherited descriptor is closed, not a socket or not listening. The program reports this
    in one line.
    """
    number = make_descriptor()
    with pytest.raises(ConfigError, match=message):
        inherited_listener(str(number))
    if isinstance(number, int):
        os.close(number)  # still open: the program must not close a descriptor that it rejects


def test_inherited_listener_has_receive_timestamps_enabled():
    # Without this, bytes that arrived before the first client was accepted had no arrival time.
    shared_listener = listener()
    with inherited_listener(str(os.dup(shared_listener.fileno()))) as inherited:
        assert inherited.getsockopt(socket.SOL_SOCKET, SO_TIMESTAMPNS) == 1
    shared_listener.close()


def test_shared_listener_stays_open_when_the_old_process_ends():
    """Two processes share a listener and have no channel. The old one ends, and the listener stays
    open in the new one.
    """
    shared_listener, nets = listener(), [NodeHarness(1), NodeHarness(1)]
    for net in nets:
        net.node.clients.use_listening_socket(
            inherited_listener(str(os.dup(shared_listener.fileno())))
        )
    old, new = nets
    new.node.clients.leave_listener()
    first = send_request_to(shared_listener)
    turn(nets)
    assert old.node.clients.open_clients and not new.node.clients.open_clients
    new.node.clients.return_to_listener()
    old.node.clients.leave_listener()
    second = send_request_to(shared_listener)
    turn(nets)
    assert len(old.node.clients.open_clients) == len(new.node.clients.open_clients) == 1
    old.node.begin_shutdown()
    old.advance(450_000)
    assert old.node.clients.listening_socket is None
    third = send_request_to(shared_listener)
    turn(nets)
    assert len(new.node.clients.open_clients) == 2, "the listener was not shut down"
    for net in nets:
        net.answer_all()
    assert [received_text(client)[:15] for client in (first, second, third)] == [
        "HTTP/1.1 200 OK"
    ] * 3
    for client in (first, second, third, shared_listener, new.node.clients.listening_socket):
        client.close()


def send_request_to(shared_listener):
    client = socket.create_connection(shared_listener.getsockname())
    client.sendall(
        b"GET /read/k%d HTTP/1.1\r\nRequest-Id: %d\r\nRequest-Timeout: 2\r\n\r\n"
        % ((client.fileno(),) * 2)
    )
    client.setblocking(False)
    return client


def is_ready(shared_listener):
    with socket.create_connection(shared_listener.getsockname(), timeout=20) as client:
        client.sendall(READINESS_REQUEST)
        return client.recv(99).startswith(b"HTTP/1.1 200")


def test_process_serves_on_an_inherited_listener(tmp_path):
    with listener() as shared_listener:
        path = tmp_path / "c"
        path.write_bytes(
            orjson.dumps(
                {
                    "name": "n",
                    "listen": f"127.0.0.1:{shared_listener.getsockname()[1]}",
                    "discovery": "127.0.0.1:1",
                    "seed": "7",
                    "known": {"seq": 1, "whole": True, "hosts": [NodeHarness.host_entry(0)]},
                    "settings": {
                        "rule-sets": [
                            {"name": "read", "effect": "retryable", "client-timeout": 900_000}
                        ]
                    },
                }
            )
        )
        process = subprocess.Popen(
            [sys.executable, "-m", "orchidgap", "serve", f"--config={path}"],
            stderr=subprocess.DEVNULL,
            pass_fds=[shared_listener.fileno()],
            env=os.environ | {"GW_PASSED_SOCKET": str(shared_listener.fileno())},
        )
        while not is_ready(
            shared_listener
        ):  # ready once the timeout for the list has passed, as there is no discovery
            assert process.poll() is None
        process.send_signal(signal.SIGTERM)
        assert process.wait(20) == 0
        with socket.create_connection(shared_listener.getsockname(), timeout=20):
            pass  # the socket still listens
