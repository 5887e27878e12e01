"""The memory of RESP commands that wait for a slow server, on real processes."""

import contextlib
import threading
import time

import pytest
from process_harness import MEMORY_MB
from resp_process_harness import READ_BYTES, RespBalancerProcess, RespClient, SlotServer

from orchidgap.resp.reader import RespReader
from orchidgap.resp.writers import encode_command

SCORED_DAYS_MB = 192
VALUE_BYTES = 15_000
SHORT_COMMANDS = 60  # after which replies are known to be short, and many commands are accepted
SERVER_WORK_S = 0.02  # for each command
SECONDS = 5


class FloodingClient:
    """A client that writes many commands with large values at once, and reads the replies.

    Attributes:
        replies: How many replies it has read.
    """

    def __init__(self, balancer, name, count):
        self.sock, self.name, self.count, self.replies = balancer.connect(), name, count, 0
        short = RespClient(self.sock)
        for number in range(SHORT_COMMANDS):
            assert short.call(b"SET", b"short-%d" % number, b"x") == b"+OK\r\n"

    def start(self):
        for run in (self._write, self._read):
            threading.Thread(target=run, daemon=True).start()

    def _write(self):
        value = b"v" * VALUE_BYTES
        with contextlib.suppress(OSError):
            for number in range(self.count):
                self.sock.sendall(encode_command(b"SET", b"%d-%d" % (self.name, number), value))

    def _read(self):
        reader = RespReader()
        with contextlib.suppress(OSError):
            while data := self.sock.recv(READ_BYTES):
                reader.feed(data)
                while reader.read_item() is not None:
                    self.replies += 1


@pytest.mark.parametrize(
    ("clients", "count", "memory_mb"), [(30, 1_000, SCORED_DAYS_MB), (20, 500, MEMORY_MB)]
)
def test_commands_that_wait_do_not_take_the_process_over_its_memory(clients, count, memory_mb):
    """They were bounded by their number and their replies, not by their own size: 540 MB."""
    server = SlotServer()
    server.work_s = 0.0
    with RespBalancerProcess(server, memory_mb) as balancer:
        flooding = [FloodingClient(balancer, name, count) for name in range(clients)]
        server.serial_work_s = SERVER_WORK_S
        for client in flooding:
            client.start()
        time.sleep(SECONDS)
        peak_mb = balancer.peak_memory_mb()
        assert balancer.process.poll() is None, balancer.log()
        for client in flooding:
            client.sock.close()
    assert min(client.replies for client in flooding) > 0
    assert peak_mb < memory_mb
