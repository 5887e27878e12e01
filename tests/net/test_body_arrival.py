"""The time of a large request whose host reads slowly: it counts from the client's last write."""

import pytest
from node_harness import NodeHarness, received_text
from streaming_scenarios import received_bytes, send_some, shrink_send_buffers

TIMEOUT_US = 1_000_000
BODY_BYTES = 300_000  # fits into the buffers before a host that reads nothing
FIRST_BYTES = 70_000  # so many that the body is streamed
CHUNKED = "Transfer-Encoding: chunked"


def start_upload(framing):
    """Return a node with a host that reads nothing, and a client with its head and first bytes."""
    net = NodeHarness(1)
    head = (
        "PUT /mark/k1 HTTP/1.1\r\nRequest-Id: r1\r\nIdempotency-Key: m1\r\nTenant: small\r\n"
        f"Request-Timeout: 1\r\n{framing}\r\n\r\n"
    )
    is_chunked = framing == CHUNKED
    text = head.encode() + (b"%x\r\n" % BODY_BYTES if is_chunked else b"")
    client = net.client(text + b"v" * FIRST_BYTES)
    for pool in net.node.pools.by_host.values():
        for connection in pool.connections:
            shrink_send_buffers(connection.conn.sock)
    return (
        net,
        client,
        b"v" * (BODY_BYTES - FIRST_BYTES) + (b"\r\n0\r\n\r\n" if is_chunked else b""),
    )


def write_all(net, client, rest):
    while rest:
        rest = send_some(net, client, rest)
        net.turn(1)


@pytest.mark.parametrize("framing", [f"Content-Length: {BODY_BYTES}", CHUNKED])
def test_a_body_that_is_written_and_not_read_is_answered_in_its_time(framing):
    # The answer came 3.5 to 4.6 s after the last byte, as the time began when that byte was read.
    net, client, rest = start_upload(framing)
    write_all(net, client, rest)
    [connection] = net.node.clients.open_clients
    assert connection.conn.read_paused and not connection.reader.message.complete
    net.advance(TIMEOUT_US - 150_000)
    assert received_text(client) is None
    net.advance(200_000)
    assert received_text(client).startswith("HTTP/1.1 503")
    assert not net.node.exchanges and net.outcomes != ["done"]


def test_a_client_that_writes_slowly_has_its_whole_time_after_its_last_byte():
    net, client, rest = start_upload(f"Content-Length: {BODY_BYTES}")
    while len(rest) > 20_000:
        client.send(rest[:20_000])
        rest = rest[20_000:]
        net.advance(700_000)
        received_bytes(net.host_socket())
        net.turn(30)
        assert received_text(client) is None
    net.advance(2 * TIMEOUT_US)
    assert received_text(client) is None, "its last byte is not written"
    client.send(rest)
    net.advance(TIMEOUT_US - 50_000)
    while received_bytes(net.host_socket()):
        net.turn()
    assert received_text(client) is None
    net.answer_from_host(net.host_socket())
    assert received_text(client).startswith("HTTP/1.1 200")


def test_the_time_of_a_body_read_late_counts_from_its_write():
    net, client, rest = start_upload(f"Content-Length: {BODY_BYTES}")
    write_all(net, client, rest)
    net.advance(TIMEOUT_US // 2)
    while received_bytes(net.host_socket()):
        net.turn()
    [exchange] = net.node.exchanges.values()
    assert exchange.upload.complete
    net.advance(TIMEOUT_US // 2 + 50_000)
    assert received_text(client).startswith("HTTP/1.1 503")
