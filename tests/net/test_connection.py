"""A connection's writes, reads and their bounds."""

import contextlib
import socket
import time

from orchidgap.net.connection import Connection
from orchidgap.net.loop import READ, Loop


class RecordingOwner:
    """Records what a connection reads and how it ended."""

    def __init__(self):
        self.received, self.ended = b"", ""

    def on_data(self, view):
        self.received += bytes(view)

    def on_closed(self, reason):
        self.ended = reason


def open_connection():
    near, far = socket.socketpair()
    far.setblocking(False)
    owner = RecordingOwner()
    return Connection(Loop(), near, owner), far, owner


def test_more_parts_than_the_system_writes_at_once_are_written():
    # The system refuses such a write with EMSGSIZE, and the connection was taken for broken.
    connection, far, owner = open_connection()
    with far:
        connection.send(*[b"x"] * 5_000)
        assert connection.is_open and owner.ended == ""
        assert far.recv(1 << 16) == b"x" * 5_000
        connection.close()


def test_a_connection_reads_on_in_small_pieces_and_no_more_than_is_allowed():
    connection, far, owner = open_connection()
    connection.max_read_bytes = 100
    with far:
        far.send(b"y" * 1_050)
        connection.loop.run_once(0)
        assert owner.received == b"y" * 1_050
        connection.close()


def test_a_close_can_be_hidden_only_behind_a_full_receive_buffer():
    # The end of the stream comes after the bytes that do not fit; the close was not seen for seconds.
    owner = RecordingOwner()
    with (
        socket.create_server(("127.0.0.1", 0)) as listener,
        socket.create_connection(listener.getsockname()) as far,
    ):
        near, _ = listener.accept()
        connection = Connection(Loop(), near, owner)
        far.sendall(b"z" * 10_000)
        assert not connection.may_hide_close()
        far.setblocking(False)
        give_up_s = time.monotonic() + 10
        while not connection.may_hide_close():
            assert time.monotonic() < give_up_s
            with contextlib.suppress(BlockingIOError):
                far.send(b"z" * (1 << 16))
        far.close()
        assert connection.may_hide_close() or connection.peer_has_closed()
        while not connection.peer_has_closed():
            connection.on_ready(READ)
        connection.close()
        assert not connection.may_hide_close()
