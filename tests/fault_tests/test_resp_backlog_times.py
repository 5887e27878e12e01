"""Commands that a RESP client writes faster than they are served: when each reply comes."""

import contextlib
import threading
import time

import pytest
from process_harness import LATE_BY_S
from resp_process_harness import (
    COMMAND_TIMEOUT_S,
    READ_BYTES,
    RespBalancerProcess,
    RespClient,
    SlotServer,
)

from orchidgap.resp.reader import RespReader
from orchidgap.resp.writers import encode_command

MEMORY_MB = 192
LONGEST_TURN_S = 1.0  # less than the shortest timeout of the operators' classes


class Pipeliner:
    """A client that writes all its commands at once, and notes how long each reply took."""

    def __init__(self, balancer, name, count, value_bytes):
        self.balancer, self.name, self.count = balancer, name, count
        self.value = b"v" * value_bytes
        self.written_at_s, self.waited_s = [], []
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    def _run(self):
        with self.balancer.connect() as sock:
            sock.settimeout(30)
            writer = threading.Thread(target=self._write, args=(sock,), daemon=True)
            writer.start()
            reader = RespReader()
            while len(self.waited_s) < self.count and (data := sock.recv(READ_BYTES)):
                reader.feed(memoryview(data))
                now_s = time.monotonic()
                while reader.read_item() is not None:
                    number = len(self.waited_s)
                    # a reply may be read before the write of its command has returned
                    written = self.written_at_s[number : number + 1] or [now_s]
                    self.waited_s.append(now_s - written[0])
            writer.join()

    def _write(self, sock):
        with contextlib.suppress(OSError):
            for number in range(self.count):
                key = b"%b-%d" % (self.name, number)
                sock.sendall(encode_command(b"SET", key, self.value))
                self.written_at_s.append(time.monotonic())


@pytest.mark.parametrize(
    ("clients", "count", "value_bytes"), [(1, 3_000, 15_000), (4, 1_500, 15_000)]
)
def test_commands_that_wait_to_be_read_are_answered_in_time(clients, count, value_bytes):
    """Their time began as they were read, and some waited behind commands written after them."""
    server = SlotServer()
    server.serial_work_s = 0.01
    with RespBalancerProcess(server, MEMORY_MB) as balancer:
        pipeliners = [
            Pipeliner(balancer, b"c%d" % number, count, value_bytes) for number in range(clients)
        ]
        for pipeliner in pipeliners:
            pipeliner.thread.join()
        assert balancer.process.poll() is None, balancer.log()
    for pipeliner in pipeliners:
        assert len(pipeliner.waited_s) == count
        assert max(pipeliner.waited_s) <= COMMAND_TIMEOUT_S + LATE_BY_S


def test_a_client_that_had_to_wait_is_served_after_a_rest():
    """What it wrote after the rest could count from before it, and was refused."""
    server = SlotServer()
    server.serial_work_s = 0.01
    with RespBalancerProcess(server, MEMORY_MB) as balancer, balancer.connect() as sock:
        sock.settimeout(30)
        client = RespClient(sock)
        texts = [encode_command(b"SET", b"k%d" % number, b"v" * 15_000) for number in range(1_500)]
        threading.Thread(target=sock.sendall, args=(b"".join(texts),), daemon=True).start()
        replies = 0
        while replies < len(texts):
            client.reader.feed(memoryview(sock.recv(READ_BYTES)))
            while client.reader.read_item() is not None:
                replies += 1
        for _ in range(20):  # servers that answered late may refuse the first ones
            time.sleep(COMMAND_TIMEOUT_S / 5)
            last = client.call(b"SET", b"k", b"v")
            if last == b"+OK\r\n":
                break
        assert last == b"+OK\r\n"


@pytest.mark.parametrize(
    "words",
    [[b"MGET", *(b"k%d" % number for number in range(3_000))], [b"GET", b"k"]],
    ids=["split", "short"],
)
def test_a_client_without_end_does_not_keep_others_waiting(words):
    """Its commands took turns of 1.3 to 5.7 s, and another client waited as long."""
    text = encode_command(*words) * (2_000 if len(words) == 2 else 5)
    end_s = time.monotonic() + 6
    waited_s = []
    with (
        RespBalancerProcess(SlotServer(), MEMORY_MB) as balancer,
        balancer.connect() as flooding,
        balancer.connect() as other,
    ):

        def write():
            with contextlib.suppress(OSError):
                while time.monotonic() < end_s:
                    flooding.sendall(text)

        def read():
            with contextlib.suppress(OSError):
                while flooding.recv(READ_BYTES):
                    pass

        for run in (write, read):
            threading.Thread(target=run, daemon=True).start()
        while time.monotonic() < end_s:
            start_s = time.monotonic()
            assert RespClient(other).call(b"PING") == b"+PONG\r\n"
            waited_s.append(time.monotonic() - start_s)
            time.sleep(0.01)
    assert max(waited_s) <= LONGEST_TURN_S
