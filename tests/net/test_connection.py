"""A connection's writes, reads and their bounds."""

import socket

from orchidgap.net.connection import Connection
from orchidgap.net.loop import Loop


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
