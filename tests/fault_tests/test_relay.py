"""A link between two processes, as the drill plays it."""

import socket
from random import Random

import pytest

from orchidgap.fault_tests.relay import HEALTHY, LinkCondition, Relay
from orchidgap.net.loop import Loop


def reached(loop, relay, far, act):
    """What the far end got of a call that was stalled, after `act` and a heal."""
    near = socket.create_connection(relay.listener.getsockname())
    for _ in range(20):
        loop.run_once(1_000)
    at_far, _ = far.accept()
    relay.set_condition(LinkCondition(stalled_to_server=True))
    near.sendall(b"late")
    for _ in range(20):
        loop.run_once(1_000)
    act(near)
    for _ in range(20):
        loop.run_once(1_000)
    relay.set_condition(HEALTHY)
    for _ in range(20):
        loop.run_once(1_000)
    at_far.settimeout(1)
    try:
        return at_far.recv(99)
    except ConnectionResetError:
        return b""
    finally:
        at_far.close()
        near.close()


@pytest.mark.parametrize(
    ("delivers_after_close", "act", "got"),
    [
        (True, lambda near: None, b"late"),
        (True, socket.socket.close, b"late"),
        (False, lambda near: None, b"late"),
        (False, socket.socket.close, b""),
    ],
)
def test_what_was_stalled_comes_late_unless_its_sender_has_hung_up(delivers_after_close, act, got):
    loop = Loop()
    with socket.create_server(("127.0.0.1", 0)) as far:
        relay = Relay(loop, ("127.0.0.1", 0), far.getsockname(), Random(1), delivers_after_close)
        assert reached(loop, relay, far, act) == got
        relay.close()


def test_who_is_not_there_is_refused_and_so_is_who_is_cut_off():
    loop = Loop()
    with socket.create_server(("127.0.0.1", 0)) as far:
        relay = Relay(loop, ("127.0.0.1", 0), far.getsockname(), Random(1))
        for off, on in (
            (lambda: relay.set_server_listens(False), lambda: relay.set_server_listens(True)),
            (
                lambda: relay.set_condition(LinkCondition(cut=True)),
                lambda: relay.set_condition(HEALTHY),
            ),
        ):
            there = relay.listener.getsockname()
            off()
            with pytest.raises(ConnectionRefusedError):
                socket.create_connection(there)
            on()
            assert relay.listener is not None
        relay.close()
