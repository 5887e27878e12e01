"""The time of a large body, where the client's kernel holds what the receive window does not admit."""

import contextlib
import socket
from types import SimpleNamespace

import pytest

from orchidgap.net import socket_state
from orchidgap.net.body_arrival import BodyArrival
from orchidgap.net.body_stream import Upload
from orchidgap.net.connection import Connection
from orchidgap.net.loop import Loop
from orchidgap.net.send_backlog import SETTLE_US

READ_BYTES = 1 << 15
TURN_US = 1_000


class Receiver:
    """One TCP connection with a clock of its own, and the body that is read from it."""

    def __init__(self, length):
        self.now_us = 1_000_000
        self.loop = Loop(clock=lambda: self.now_us)
        self.loop.now = self.now_us
        with socket.create_server(("127.0.0.1", 0)) as listener:
            self.client = socket.create_connection(listener.getsockname())
            accepted, _ = listener.accept()
        self.client.setblocking(False)
        self.conn = Connection(self.loop, accepted, self)
        self.conn.max_read_bytes = READ_BYTES
        self.upload = Upload(self.conn, length, 0)
        self.upload.sink = SimpleNamespace(
            conn=SimpleNamespace(write_buffer=b""), send_body=lambda *_: None
        )
        self.arrival = BodyArrival(self.upload, self.now_us)

    def on_data(self, view):
        self.upload.add([bytes(view)], False)
        self.conn.pause_reading(True)  # one read for each look

    def on_closed(self, reason):
        raise AssertionError(reason)

    def write_all_that_fits(self):
        written = 0
        with contextlib.suppress(BlockingIOError):
            while True:
                written += self.client.send(b"v" * (1 << 20))
        return written

    def advance(self, duration_us):
        self.now_us += duration_us
        self.loop.now = self.now_us

    def read(self):
        self.conn.pause_reading(False)
        self.conn.read_some()
        self.advance(TURN_US)

    def read_until_nothing_arrives(self):
        while self.conn.count_unread_bytes():
            self.read()

    def close(self):
        self.conn.close()
        self.client.close()


@pytest.fixture(params=["length", "chunked"])
def receiver(request):
    receiver = Receiver(100_000_000 if request.param == "length" else None)
    yield receiver
    receiver.close()


def test_reads_that_leave_nothing_unread_prove_nothing_while_the_window_was_shut(receiver):
    """A client wrote all of its body at once; each drained read was taken for an unfinished body."""
    receiver.upload.length = receiver.upload.length and receiver.write_all_that_fits()
    if receiver.upload.length is None:
        receiver.write_all_that_fits()
    written_at_us = receiver.now_us
    receiver.arrival.observe()
    assert receiver.arrival.backlog.is_held_back
    for _ in range(8):
        receiver.read()
        receiver.arrival.after_read(True)
    assert receiver.arrival.backlog.is_held_back
    assert receiver.arrival.incomplete_at_us == written_at_us
    assert receiver.arrival.last_byte_at_us(receiver.now_us) == written_at_us


def test_a_body_is_incomplete_once_the_window_has_stayed_open(receiver):
    """A client that was held back and writes slowly since then was refused early."""
    receiver.write_all_that_fits()
    receiver.arrival.observe()
    receiver.read_until_nothing_arrives()
    for _ in range(SETTLE_US // TURN_US + 1):
        receiver.client.send(b"v" * 100)
        receiver.read()
    assert not receiver.arrival.backlog.is_held_back
    assert receiver.now_us - receiver.arrival.incomplete_at_us <= 2 * TURN_US


def test_a_client_that_is_read_as_fast_as_it_writes_is_never_held_back(receiver):
    """Pieces without a pause between them left the end of a body unknown."""
    for _ in range(300):
        receiver.client.send(b"v" * 10_000)
        receiver.read()
        assert not receiver.arrival.backlog.is_held_back
    assert receiver.now_us - receiver.arrival.incomplete_at_us <= 2 * TURN_US


@pytest.mark.parametrize("info_bytes", [socket_state.TCP_INFO_BYTES, 232])
def test_a_peer_is_blocked_when_its_window_is_nearly_used_up(receiver, monkeypatch, info_bytes):
    """Kernels before 6.2 do not tell the window; a connection that has ended counts as blocked."""
    monkeypatch.setattr(socket_state, "TCP_INFO_BYTES", info_bytes)
    sock = receiver.conn.sock
    assert not socket_state.is_peer_blocked(sock, receiver.conn.count_unread_bytes())
    receiver.write_all_that_fits()
    assert socket_state.is_peer_blocked(sock, receiver.conn.count_unread_bytes())
    with socket.socket() as closed:
        pass
    assert socket_state.is_peer_blocked(closed, 0)
