"""The relay on a link between two processes of a fault test."""

import socket
from random import Random

import pytest

from orchidgap.fault_tests.relay import HEALTHY, LinkCondition, Relay
from orchidgap.net.loop import Loop


def received_after_stall(loop, relay, server, act):
    """Return what the server received of data that was stalled, after `act` and a heal."""
    client = socket.create_connection(relay.listener.getsockname())
    for _ in range(20):
        loop.run_once(1_000)
    accepted, _ = server.accept()
    relay.set_condition(LinkCondition(stalled_to_server=True))
    client.sendall(b"late")
    for _ in range(20):
        loop.run_once(1_000)
    act(client)
    for _ in range(20):
        loop.run_once(1_000)
    relay.set_condition(HEALTHY)
    for _ in range(20):
        loop.run_once(1_000)
    accepted.settimeout(1)
    try:
        return accepted.recv(99)
    except ConnectionResetError:
        return b""
    finally:
        accepted.close()
        client.close()


@pytest.mark.parametrize(
    ("delivers_after_close", "act", "expected"),
    [
        (True, lambda client: None, b"late"),
        (True, socket.socket.close, b"late"),
        (False, lambda client: None, b"late"),
        (False, socket.socket.close, b""),
    ],
)
def test_stalled_data_arrives_late_unless_its_sender_has_closed(
    delivers_after_close, act, expected
):
    loop = Loop()
    with socket.create_server(("127.0.0.1", 0)) as server:
        relay = Relay(loop, ("127.0.0.1", 0), server.getsockname(), Random(1), delivers_after_close)
        assert received_after_stall(loop, relay, server, act) == expected
        relay.close()


def test_connections_are_refused_while_the_server_does_not_listen_or_the_link_is_cut():
    loop = Loop()
    with socket.create_server(("127.0.0.1", 0)) as server:
        relay = Relay(loop, ("127.0.0.1", 0), server.getsockname(), Random(1))
        for off, on in (
            (lambda: relay.set_server_listens(False), lambda: relay.set_server_listens(True)),
            (
                lambda: relay.set_condition(LinkCondition(cut=True)),
                lambda: relay.set_condition(HEALTHY),
            ),
        ):
            address = relay.listener.getsockname()
            off()
            with pytest.raises(ConnectionRefusedError):
                socket.create_connection(address)
            on()
            assert relay.listener is not None
        relay.close()
