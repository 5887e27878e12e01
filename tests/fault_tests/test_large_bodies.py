"""Large bodies over slow or fine-grained connections: when the answer comes, and whether whole."""

import contextlib
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
