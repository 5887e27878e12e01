"""Large answers: slow readers, interruptions, drains, and the bytes held meanwhile."""

import socket

import pytest
from node_harness import NodeHarness, received_text
from streaming_scenarios import (
    BODY,
    BODY_SIZE,
    MAX_READ_BYTES,
    REQUEST,
    decode_chunked,
    held_bytes,
    received_bytes,
    send_some,
    shrink_send_buffers,
)

from orchidgap.http1.messages import MAX_BUFFERED_BODY_BYTES


@pytest.mark.parametrize("framing", ["length", "chunks", "close"])
@pytest.mark.parametrize("version", ["1.1", "1.0"])
def test_a_large_answer_is_streamed_with_bounded_memory_to_a_slow_reader(framing, version):
    """A host sends a large answer faster than its client reads. The balancer reads from the host
    only as fast as the client does.
    """
    net = NodeHarness(1)
    client = net.client(
        f"GET /read/k HTTP/{version}\r\nRequest-Id: 1\r\nRequest-Timeout: 1\r\n\r\n".encode()
    )
    far = net.host_socket()
    received_text(far)
    for one in net.node.clients.open_clients:
        shrink_send_buffers(one.conn.sock)
    head = {
        "length": f"Content-Length: {BODY_SIZE}",
        "chunks": "Transfer-Encoding: chunked",
        "close": "Connection: close",
    }[framing]
    rest = f"HTTP/1.1 200 OK\r\n{head}\r\n\r\n".encode()
    if framing == "chunks":
        for at in range(0, BODY_SIZE, 30_000):
            part = BODY[at : at + 30_000]
            rest += b"%x;x=y\r\n%b\r\n" % (len(part), part)
        rest += b"0\r\n\r\n"
    else:
        rest += BODY
    received, max_held, outcomes_at_first_byte = b"", 0, None
    for _ in range(5_000):
        rest = send_some(net, far, rest) if rest else rest
        if not rest and framing == "close" and far.fileno() >= 0:
            far.close()
        net.now += 1_000
        net.turn(1)
        max_held = max(max_held, held_bytes(net))
        part = received_bytes(client, 4_000)
        if part and outcomes_at_first_byte is None:
            outcomes_at_first_byte = net.outcomes
        if part is None:
            break
        received += part
        if (
            version == "1.1"
            and len(received) > BODY_SIZE
            and (received.endswith(b"0\r\n\r\n") or framing == "length")
        ):
            break
    assert max_held <= 2 * MAX_READ_BYTES + MAX_BUFFERED_BODY_BYTES, "back-pressure"
    head, _, body = received.partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 200") and (b"chunked" in head) == (
        version == "1.1" and framing != "length"
    )
    if b"chunked" in head:
        body = decode_chunked(body)
    assert (
        body == BODY
        and net.outcomes == ["done"]
        and not net.node.exchanges
        and not net.node.open_request_ids
    )
    assert (b"Connection: close" in head) == (version == "1.0")
    if version == "1.1":
        net.send_and_turn(
            client, b"GET /read/k2 HTTP/1.1\r\nRequest-Id: 2\r\nRequest-Timeout: 1\r\n\r\n"
        )
        assert "GET /read/k2" in received_text(net.host_socket()), "the client's connection is kept"
        assert (len(net.host_sockets()) == 1) == (framing != "close"), (
            "the host's connection is kept where the framing allows it"
        )


def test_the_first_byte_of_a_large_answer_ends_its_deadline_and_further_attempts():
    """A large answer is being streamed when its request's deadline passes. It is not cut off, and
    no other host is tried.
    """
    net = NodeHarness(2)
    client = net.send_request("k", left="0.5")
    far = net.host_socket()
    far.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\nfirst")
    net.turn()
    assert received_text(client).endswith("\r\n\r\nfirst") and net.outcomes == ["done"], (
        "reported at once, although the body is incomplete"
    )
    net.advance(3_000_000)
    assert received_text(client) is None and net.node.exchanges
    assert net.node.is_request_open(b"r-k"), "the id stays open until the answer is complete"
    net.send_and_turn(far, b"x" * 99_995)
    assert (
        received_text(client) == "x" * 99_995
        and not net.node.exchanges
        and not net.node.is_request_open(b"r-k")
    )
    assert len(net.host_sockets()) == 1


@pytest.mark.parametrize(
    "break_off",
    [
        lambda far: far.close(),
        lambda far: far.sendall(b"\r\nnot a chunk at all\r\n"),
        lambda far: None,
    ],
)
@pytest.mark.parametrize("version", ["1.1", "1.0"])
def test_a_truncated_answer_is_visible_to_the_client_and_charged_to_its_host(break_off, version):
    """A host breaks off in the middle of a streamed answer. The client can tell that it is
    truncated, and the host is charged for it.
    """
    net = NodeHarness(2)
    with socket.create_server(("127.0.0.1", 0)) as listener:
        client, near = socket.create_connection(listener.getsockname()), listener.accept()[0]
    net.node.clients.admit(near)
    net.send_and_turn(
        client, f"GET /read/k HTTP/{version}\r\nRequest-Id: 1\r\nRequest-Timeout: 1\r\n\r\n"
    )
    client.setblocking(False)
    far = net.host_socket()
    net.send_and_turn(
        far,
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n" % 70_000
        + b"x" * 70_000
        + b"\r\n",
    )
    received = received_bytes(client)
    host = next(host for host in net.node.balancer.hosts.values() if host.retry_budget > 2.1)
    before = host.retry_budget
    break_off(far)
    net.turn()
    net.advance(11_200_000)
    try:
        while part := client.recv(1 << 17):
            received += part
        ended = "closed"
    except ConnectionResetError:
        ended = "reset"
    except BlockingIOError:
        ended = "open"
    client.close()
    assert ended == "reset" and not received.endswith(b"0\r\n\r\n"), (
        "the client can tell that the answer is truncated"
    )
    assert (
        host.retry_budget == before - 1.0
        and not net.node.exchanges
        and not net.node.open_request_ids
        and not net.node.pools.streaming_connections
    )


def test_an_answer_of_unknown_length_is_buffered_only_briefly():
    """An answer without a length arrives slowly. It is buffered briefly, so that another host can
    still be tried, and then streamed.
    """
    net = NodeHarness(2)
    client = net.send_request("k")
    far = net.host_socket()
    net.send_and_turn(far, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n")
    net.advance(190_000)
    assert received_text(client) is None, (
        "it may still end small, or break and be retried elsewhere"
    )
    net.advance(20_000)
    assert received_text(client).endswith("chunked\r\n\r\n3\r\nabc\r\n"), (
        "a quarter of the response target has passed"
    )
    net.send_and_turn(far, "1\r\nd\r\n0\r\n\r\n")
    assert received_text(client) == "1\r\nd\r\n0\r\n\r\n"
    second = net.send_request("k2")
    far = net.host_socket()
    net.send_and_turn(far, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n")
    net.send_and_turn(far, "0\r\n\r\n")
    assert received_text(second).endswith("Content-Length: 3\r\n\r\nabc")
    net.advance(1_000_000)


def test_a_client_that_disconnects_ends_the_stream():
    """A client closes in the middle of a large answer. The host's connection is closed, and no
    state of the request is left.
    """
    net = NodeHarness(2)
    client = net.send_request("k")
    far = net.host_socket()
    received_text(far)
    net.send_and_turn(far, b"HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\nfirst")
    client.close()
    net.turn()
    assert (
        received_text(far) == ""
        and not net.node.exchanges
        and not net.node.open_request_ids
        and not net.node.pools.streaming_connections
    )


def test_a_stalled_reader_is_disconnected_and_a_slow_one_is_not():
    """A client reads a large answer slowly, then stops. It is not disconnected while it reads, and
    is after ten seconds without a read.
    """
    net = NodeHarness(1)
    client, far = net.send_request("k"), net.host_socket()
    for one in net.node.clients.open_clients:
        shrink_send_buffers(one.conn.sock)
    rest = send_some(net, far, b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % BODY_SIZE + BODY)
    for _ in range(8):
        net.advance(8_000_000)
        assert received_bytes(client, 50_000), "the client reads a little from time to time"
        rest = send_some(net, far, rest)
        net.turn()
    net.advance(10_100_000)
    assert not net.node.clients.open_clients and not net.node.exchanges, (
        "ten seconds without progress"
    )


def test_fifty_large_answers_at_once_stay_within_their_memory_budget():
    """Fifty clients read large answers slowly at the same time. The bytes held stay within the
    memory budget for each.
    """
    net = NodeHarness(1, sockets=256)
    clients = [net.send_request(f"k{i}") for i in range(50)]
    for one in net.node.clients.open_clients:
        shrink_send_buffers(one.conn.sock)
    net.advance(1_000)
    fars = net.host_sockets()
    unsent_by_host = {
        far: b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % BODY_SIZE + BODY for far in fars
    }
    assert len(fars) >= 4
    max_held = 0
    for _ in range(30):
        for far in fars:
            unsent_by_host[far] = send_some(net, far, unsent_by_host[far])
        net.turn(1)
        max_held = max(max_held, held_bytes(net))
    assert 0 < max_held <= len(fars) * (1 << 17)
    assert clients and net.node.exchanges


def test_a_drain_does_not_cut_off_a_stream():
    """A drain begins while an answer is streamed. It is sent to its end."""
    net = NodeHarness(1)
    client, far = net.send_request("k"), net.host_socket()
    net.send_and_turn(far, b"HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\nfirst")
    net.node.drain()
    net.advance(4_000_000)
    assert net.node.lifecycle.state.value == "draining"
    net.send_and_turn(far, b"x" * 99_995)
    assert len(received_text(client)) > 99_995
    assert received_text(client) == "", (
        "the head, sent before the drain, kept the connection open, but it is closed"
    )
    client.close()
    net.advance(100_000)
    assert net.node.lifecycle.state.value == "drained"


def test_shutdown_waits_for_a_stream_as_long_as_it_takes():
    """SIGTERM arrives while an answer is streamed. The process waits for its end."""
    net = NodeHarness(1)
    client, far = net.send_request("k"), net.host_socket()
    net.send_and_turn(far, b"HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\nfirst")
    net.node.begin_shutdown()
    for _ in range(9):
        net.advance(1_000_000)
        net.send_and_turn(far, b"x" * 10_000)
    assert net.loop.running
    net.send_and_turn(far, b"x" * 9_995)
    assert len(received_text(client)) > 99_995
    client.close()
    net.advance(50_000)
    assert not net.loop.running


def test_head_is_forwarded_and_answered_without_a_body():
    net = NodeHarness(1)
    client = net.client(b"HEAD /read/k HTTP/1.1\r\nRequest-Id: 1\r\nRequest-Timeout: 1\r\n\r\n")
    far = net.host_socket()
    assert received_text(far).startswith("HEAD /read/k")
    net.send_and_turn(far, "HTTP/1.1 200 OK\r\nContent-Length: 70000\r\n\r\n")
    assert received_text(client) == "HTTP/1.1 200 OK\r\nContent-Length: 70000\r\n\r\n"
    net.send_and_turn(client, REQUEST.replace(b"Id: 1", b"Id: 2"))
    assert received_text(far).startswith("GET /read/k") and len(net.host_sockets()) == 1, (
        "the host's connection is reused"
    )


@pytest.mark.parametrize(
    ("status", "outcome"), [(204, "error"), (304, "error"), (500, "error"), (404, "miss")]
)
def test_answers_without_a_body_keep_the_connection(status, outcome):
    net = NodeHarness(1)
    net.send_request("k")
    net.send_and_turn(
        net.host_socket(),
        f"HTTP/1.1 {status} X\r\n"
        + ("" if status in (204, 304) else "Content-Length: 0\r\n")
        + "\r\n",
    )
    assert net.outcomes[0] == outcome and list(net.node.pools.by_host["c0"].idle)


def test_a_large_error_is_reported_at_once_and_not_read_to_its_end():
    """A host answers with an error that has a large body. The outcome is reported at once, and the
    body is not read.
    """
    net = NodeHarness(1)
    net.send_request("k")
    net.send_and_turn(
        net.host_socket(), b"HTTP/1.1 500 No\r\nContent-Length: 30000000\r\n\r\n" + b"x" * 1_000
    )
    assert net.outcomes[:1] == ["error"] and not net.node.pools.by_host["c0"].idle
