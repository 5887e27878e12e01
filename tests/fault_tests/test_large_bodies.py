"""Large bodies over slow or fine-grained connections: when the answer comes, and whether whole."""

import contextlib
import socket
import threading
import time

import pytest
from process_harness import (
    CLIENT_TIMEOUT_S,
    LATE_BY_S,
    BalancerProcess,
    StandInHost,
    read_answer,
    request_head,
)

LARGE_BYTES = 8_000_000
SLOW_BYTES_PER_S = 1_000_000
SMALL_CHUNKS = 100_000
HELD_BACK_CLIENTS = 4
WRITING_TIMEOUT_S = 40
HELD_BACK_BYTES = (3_000_000, 6_291_456, 7_340_032, 8_388_608, 10_000_000)  # one after another


@pytest.mark.parametrize(
    "framing",
    [f"Content-Length: {LARGE_BYTES}", "Transfer-Encoding: chunked"],
    ids=["length", "chunked"],
)
def test_a_large_request_for_a_slow_host_is_answered_in_time(framing):
    """The time of a request counted from when it was read, seconds after it had been written."""
    host = StandInHost()
    host.read_bytes_per_s = SLOW_BYTES_PER_S
    is_chunked = "chunked" in framing
    body = b"x" * LARGE_BYTES
    if is_chunked:
        body = b"%x\r\n%b\r\n0\r\n\r\n" % (LARGE_BYTES, body)
    written_at_s = []

    def write(sock):
        with contextlib.suppress(OSError):  # it may be answered before all is written
            sock.sendall(request_head("/write/k", "large", "PUT", more=framing + "\r\n") + body)
            written_at_s.append(time.monotonic())

    with BalancerProcess(host) as balancer, balancer.connect() as sock:
        writer = threading.Thread(target=write, args=(sock,), daemon=True)
        writer.start()
        status = read_answer(sock).split()[1]
        answered_at_s = time.monotonic()
    writer.join(1)
    assert status in {b"200", b"503", b"500"}
    if written_at_s:
        assert answered_at_s - written_at_s[0] <= CLIENT_TIMEOUT_S + LATE_BY_S


class Writer:
    """A client that writes large requests, and notes how long each waited after its last byte."""

    def __init__(self, balancer, name, path, is_chunked):
        self.balancer, self.name, self.path, self.is_chunked = balancer, name, path, is_chunked
        self.waited_s, self.statuses = [], []
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    def _run(self):
        for size in HELD_BACK_BYTES:
            with self.balancer.connect() as sock:
                sock.settimeout(WRITING_TIMEOUT_S)
                self._ask(sock, size)

    def _ask(self, sock, size):
        framing, body = f"Content-Length: {size}", b"x" * size
        if self.is_chunked:
            framing, body = "Transfer-Encoding: chunked", b"%x\r\n%b\r\n0\r\n\r\n" % (size, body)
        head = request_head(self.path, f"{self.name}-{size}", "PUT", more=framing + "\r\n")
        written_at_s = []

        def write():
            with contextlib.suppress(OSError):  # it may be answered before all is written
                sock.sendall(head + body)
                written_at_s.append(time.monotonic())

        writer = threading.Thread(target=write, daemon=True)
        writer.start()
        self.statuses.append(read_answer(sock).split()[1])
        answered_at_s = time.monotonic()
        self.waited_s += [answered_at_s - at_s for at_s in written_at_s]
        with contextlib.suppress(OSError):
            sock.shutdown(socket.SHUT_RDWR)
        writer.join()


@pytest.mark.parametrize("is_chunked", [False, True], ids=["length", "chunked"])
@pytest.mark.parametrize("bytes_per_s", [640_000, 2_000_000])
def test_bodies_that_wait_in_their_clients_kernels_are_answered_in_time(bytes_per_s, is_chunked):
    """While a client's window was shut, each read that left nothing unread began its time anew."""
    host = StandInHost()
    host.read_bytes_per_s = bytes_per_s
    host.receive_buffer_bytes = 0
    with BalancerProcess(host) as balancer:
        writers = [
            Writer(balancer, f"w{number}", "/write/k", is_chunked)
            for number in range(HELD_BACK_CLIENTS)
        ]
        for writer in writers:
            writer.thread.join()
    waited_s = [waited for writer in writers for waited in writer.waited_s]
    statuses = [status for writer in writers for status in writer.statuses]
    assert len(statuses) == HELD_BACK_CLIENTS * len(HELD_BACK_BYTES)
    assert set(statuses) <= {b"200", b"503", b"500"}
    assert waited_s and max(waited_s) <= CLIENT_TIMEOUT_S + LATE_BY_S


@pytest.mark.parametrize("is_chunked", [False, True], ids=["length", "chunked"])
@pytest.mark.parametrize("bytes_per_s", [100_000, 400_000])
def test_a_client_that_writes_steadily_is_not_refused(bytes_per_s, is_chunked):
    """A body that takes longer than its time to write, in pieces with hardly a pause between."""
    size = 3 * bytes_per_s
    piece = b"x" * (bytes_per_s // 200)
    framing = "Transfer-Encoding: chunked" if is_chunked else f"Content-Length: {size}"
    with BalancerProcess() as balancer, balancer.connect() as sock:
        sock.sendall(request_head("/write/k", "steady", "PUT", more=framing + "\r\n"))
        begun_at_s = time.monotonic()
        for number in range(1, size // len(piece) + 1):
            sock.sendall(b"%x\r\n%b\r\n" % (len(piece), piece) if is_chunked else piece)
            time.sleep(max(0, begun_at_s + number / 200 - time.monotonic()))
        sock.sendall(b"0\r\n\r\n" if is_chunked else b"")
        assert read_answer(sock).split()[1] == b"200"


def test_a_long_answer_in_small_chunks_reaches_its_client_whole():
    """An answer whose chunks came faster than they were passed on was cut off."""
    host = StandInHost()
    chunks = b"1\r\nv\r\n" * SMALL_CHUNKS + b"0\r\n\r\n"

    def answer(sock):
        sock.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        for at in range(0, len(chunks), 1 << 15):
            sock.sendall(chunks[at : at + (1 << 15)])

    host.answer = answer
    with BalancerProcess(host) as balancer, balancer.connect() as sock:
        sock.sendall(request_head("/read/k", "long"))
        text = b""
        while not text.endswith(b"\r\n0\r\n\r\n") and (part := sock.recv(1 << 16)):
            text += part
    assert text.startswith(b"HTTP/1.1 200") and text.endswith(b"\r\n0\r\n\r\n")
    assert text.count(b"v") == SMALL_CHUNKS


def test_a_large_request_in_small_chunks_reaches_its_host_whole():
    """A body whose chunks came faster than they were sent on broke the host's connection."""
    host = StandInHost()
    with BalancerProcess(host) as balancer, balancer.connect() as sock:
        more = "Transfer-Encoding: chunked\r\n"
        body = b"1\r\nv\r\n" * SMALL_CHUNKS + b"0\r\n\r\n"
        sock.sendall(request_head("/write/k", "fine", "PUT", more=more) + body)
        status = read_answer(sock).split()[1]
    assert status == b"200"
    assert [execution.body_size for execution in host.executions] == [SMALL_CHUNKS]
