"""The memory of RESP replies that their clients read slowly, on real processes."""

import contextlib
import socket
import time

from process_harness import ADDRESS, MEMORY_MB, SMALL_BUFFER_BYTES
from resp_process_harness import RespBalancerProcess, SlotServer

from orchidgap.resp.writers import encode_command

CLIENTS = 320
COMMANDS = 50  # in the pipeline of each client
VALUE_BYTES = 60_000
READ_BYTES = 512
READ_PAUSE_S = 0.05
SECONDS = 6


def connect_slow_reader(balancer):
    """Connect a client with a small receive buffer, and have it write its pipeline."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
    sock.connect((ADDRESS, balancer.port))
    sock.sendall(encode_command(b"GET", b"k") * COMMANDS)
    sock.setblocking(False)
    return sock


def test_replies_to_slow_readers_do_not_take_the_process_over_its_memory():
    """Replies are bounded for each client, and not for all: at this limit the process is killed."""
    with RespBalancerProcess(SlotServer(b"v" * VALUE_BYTES), MEMORY_MB) as balancer:
        clients = [connect_slow_reader(balancer) for _ in range(CLIENTS)]
        end_s = time.monotonic() + SECONDS
        while time.monotonic() < end_s:
            for sock in clients:
                with contextlib.suppress(OSError):  # nothing to read, or refused for lack of places
                    sock.recv(READ_BYTES)
            time.sleep(READ_PAUSE_S)
        peak_mb = balancer.peak_memory_mb()
        assert balancer.process.poll() is None, balancer.log()
        for sock in clients:
            sock.close()
    assert peak_mb < MEMORY_MB
