"""Finished requests are freed at once, as the bytes of a few hundred can exceed the memory limit."""

import pytest
from node_harness import NodeHarness, received_text
from streaming_scenarios import received_bytes
from uncollected import without_collector

BODY = b"v" * 60_000
LARGE_BODY = b"v" * 150_000


def request(method, body=b""):
    return (
        f"{method} /mark/k1 HTTP/1.1\r\nRequest-Id: r1\r\nIdempotency-Key: m1\r\nTenant: small\r\n"
        f"Request-Timeout: 1\r\nContent-Length: {len(body)}\r\n\r\n"
    ).encode() + body


def finish(net, ending):
    """End the request at its host in one of several ways."""
    host = net.host_socket()
    while received_bytes(host):
        net.turn()
    if ending == "done":
        net.answer_from_host(host)
    elif ending == "reset":
        host.close()
    net.advance(4_000_000)


@pytest.mark.parametrize("body", [b"", BODY, LARGE_BODY], ids=["none", "buffered", "streamed"])
@pytest.mark.parametrize("ending", ["done", "reset", "silent", "left"])
def test_finished_requests_leave_no_bytes_to_the_collector(ending, body):
    """A request and its attempts referred to each other, with a body of up to 64 KB each."""
    net = NodeHarness(1)
    with without_collector() as count_left:
        client = net.client()
        text = request("PUT" if body else "GET", body)
        for offset in range(0, len(text), 50_000):
            client.sendall(text[offset : offset + 50_000])
            net.turn()
        if ending == "left":
            client.close()
            net.turn()
        finish(net, ending)
        if ending != "left":
            assert received_text(client)
            client.close()
            net.advance(1_000_000)
        assert not net.node.exchanges
        assert not count_left()
