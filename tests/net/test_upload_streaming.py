"""Large request bodies: slow peers, interruptions, and the bytes held meanwhile."""

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


def put(size=BODY_SIZE, framing=None):
    framing = framing or f"Content-Length: {size}"
    return f"PUT /mark/k1 HTTP/1.1\r\nRequest-Id: r1\r\nIdempotency-Key: m1\r\nTenant: small\r\nRequest-Timeout: 1\r\n{framing}\r\n\r\n".encode()


@pytest.mark.parametrize("framing", [None, "Transfer-Encoding: chunked"])
def test_a_large_request_is_streamed_with_bounded_memory_to_a_slow_host(framing):
    """A client sends a large body faster than its host reads. The balancer reads from the client
    only as fast as the host does.
    """
    net = NodeHarness(1)
    client = net.client()
    rest = put(framing=framing) + (
        BODY
        if framing is None
        else b"".join(b"%x\r\n%b\r\n" % (len(part), part) for part in split_body(BODY, 9_000))
        + b"0\r\n\r\n"
    )
    received, max_held, far = b"", 0, None
    for _ in range(5_000):
        rest = send_some(net, client, rest) if rest else rest
        net.now += 1_000
        net.turn(1)
        max_held = max(max_held, held_bytes(net))
        if net.host_sockets():
            if far is None:
                far = net.host_socket()
                for pool in net.node.pools.by_host.values():
                    for connection in pool.connections:
                        shrink_send_buffers(connection.conn.sock)
            received += received_bytes(far, 4_000) or b""
            if (
                received.endswith(b"0\r\n\r\n" if framing else BODY[-256:])
                and len(received) > BODY_SIZE
            ):
                break
    assert max_held <= 2 * MAX_READ_BYTES + MAX_BUFFERED_BODY_BYTES, "back-pressure"
    head, _, body = received.partition(b"\r\n\r\n")
    assert (b"Content-Length: %d" % BODY_SIZE in head) == (framing is None)
    assert (decode_chunked(body) if framing else body) == BODY
    assert net.node.balancer.hosts["o"].in_flight == 1
    net.answer_from_host(far, body="stored")
    assert (
        received_text(client).endswith("stored")
        and net.outcomes == ["done"]
        and not net.node.exchanges
    )
    assert net.node.balancer.hosts["o"].in_flight == 0
    net.send_and_turn(client, b"GET /up HTTP/1.1\r\n\r\n")
    assert received_text(client).startswith("HTTP/1.1 200"), "the client's connection is kept"


def split_body(body, size):
    return [body[at : at + size] for at in range(0, len(body), size)]


def start_upload(net, sent=100_000):
    """Return a client with a large request in progress, of which `sent` bytes have arrived."""
    client = net.client(put())
    for part in split_body(BODY[:sent], 50_000):
        net.send_and_turn(client, part)
    return client


def test_a_slow_client_affects_neither_the_limit_nor_the_latency_of_the_host():
    """A client sends a large body slowly. That time is not part of the host's latency and does not
    use its concurrency limit.
    """
    net = NodeHarness(1)
    client = start_upload(net)
    far, origin, received = net.host_socket(), net.node.balancer.hosts["o"], b""
    parts = split_body(BODY[100_000:], 20_000)
    for number, part in enumerate(parts, 1):
        net.advance(500_000)  # 40 kB a second
        net.send_and_turn(client, part)
        net.turn(9)
        while more := received_bytes(far):
            received += more
            net.turn()
        assert received_text(client) is None
        assert (
            origin.in_flight == (number == len(parts))
            and not origin.smoothed_latency_us
            and not origin.limit_decreased_at_us
        )
    assert received.endswith(BODY[-500:])
    net.advance(100_000)
    net.answer_from_host(far)
    assert (
        received_text(client).startswith("HTTP/1.1 200")
        and 90_000 < origin.smoothed_latency_us < 110_000
    )


def test_the_time_of_a_large_request_runs_from_its_last_byte():
    """A large body takes longer to arrive than the client waits for an answer. The timeout runs
    from its last byte.
    """
    net = NodeHarness(1)
    client = start_upload(net)
    far = net.host_socket()
    net.advance(2_000_000)
    assert received_text(client) is None
    for part in split_body(BODY[100_000:], 50_000):
        net.send_and_turn(client, part)
        while received_bytes(far):
            pass
    net.turn(30)
    net.advance(970_000)
    assert received_text(client) is None and net.outcomes == []
    net.advance(20_000)
    assert net.outcomes == ["timeout"] and received_text(client).startswith("HTTP/1.1 503"), (
        "the request may have run and is deduplicated by all hosts: denied"
    )


def test_a_partly_streamed_body_is_not_resent():
    """A host breaks after part of a large body was streamed to it. The sent part is no longer
    buffered, so no other host is tried.
    """
    net = NodeHarness(1)
    client = start_upload(net)
    received_bytes(net.host_socket())
    net.host_socket().close()
    net.turn()
    assert net.outcomes == ["unconnected"], "never complete, so never executed"
    assert received_text(client).startswith("HTTP/1.1 503") and len(net.host_sockets()) == 1


def test_a_body_that_is_still_buffered_may_be_resent():
    """A host refuses the connection before any part of a large body was discarded. Another attempt
    gets the complete body.
    """
    net = NodeHarness(1)
    net.refused.add(109)
    client = net.client(
        put(framing="Transfer-Encoding: chunked") + b"8000\r\n" + b"x" * 32_768 + b"\r\n"
    )
    assert net.outcomes == [] and received_text(client) is None and not net.host_sockets(), (
        "a small body is forwarded only when complete"
    )
    first = net.node.pools.dial_address
    tries = []
    net.node.pools.dial_address = lambda address: (
        tries.append(address) or (net.refused.clear() if len(tries) > 1 else None) or first(address)
    )
    net.send_and_turn(client, b"ffff\r\n" + b"y" * 65_535 + b"\r\n")
    net.advance(600_000)
    assert net.outcomes[:1] == ["unconnected"] and len(tries) >= 2
    assert "PUT /mark/k1" in received_text(net.host_socket()) and received_text(client) is None


@pytest.mark.parametrize(
    ("how", "status"),
    [
        (lambda net, client: net.advance(2_800_000), "408"),
        (lambda net, client: net.send_and_turn(client, b"\r\nno chunk\r\n"), "400"),
    ],
)
def test_a_large_request_that_stalls_or_is_malformed_is_never_executed(how, status):
    """A client stops or sends malformed bytes in the middle of a large body. The host never gets
    the complete body, so the request is never executed.
    """
    net = NodeHarness(1)
    client = net.client(put(framing="Transfer-Encoding: chunked"))
    for _ in range(3):
        net.send_and_turn(client, b"8000\r\n" + b"x" * 32_768 + b"\r\n")
    far = net.host_socket()
    received_bytes(far)
    how(net, client)
    assert received_text(client).startswith(f"HTTP/1.1 {status}") and received_bytes(far) is None
    assert net.outcomes == ["moot"] or net.outcomes == ["cancelled"]
    assert (
        not net.node.exchanges and not net.node.open_request_ids and not net.node.balancer.requests
    )


def test_an_early_answer_to_a_large_request_is_not_lost_to_the_rest_of_the_body():
    """A host answers before it has the complete body. The client can read the answer although it
    is still sending.
    """
    net = NodeHarness(1)
    client = start_upload(net)
    net.answer_from_host(net.host_socket(), 500)
    text = received_text(client)
    assert text.startswith("HTTP/1.1 5") and "Connection: close" in text
    for part in split_body(BODY[100_000:700_000], 50_000):
        net.advance(500_000)
        net.send_and_turn(client, part)
    assert net.node.clients.open_clients, (
        "the rest is discarded; closing with unread bytes would reset the answer"
    )
    net.advance(9_000_000)
    assert not net.node.clients.open_clients


def test_a_client_blocked_by_its_host_does_not_count_as_stalled():
    """A host does not read, so the client cannot continue to send. That must not count as a
    stalled client.
    """
    net = NodeHarness(1)
    client = net.client(put())
    rest, far = BODY, None
    for _ in range(200):
        rest = send_some(net, client, rest)
        net.turn(1)
        if far is None and net.host_sockets():
            far = net.host_socket()
            for pool in net.node.pools.by_host.values():
                for connection in pool.connections:
                    shrink_send_buffers(connection.conn.sock)
    [one] = net.node.clients.open_clients
    assert one.conn.read_paused
    net.advance(6_000_000)
    assert received_text(client) is None and net.node.exchanges
    received = b""
    while len(received) < BODY_SIZE:
        received += received_bytes(far) or b""
        rest = send_some(net, client, rest) if rest else rest
        net.now += 1_000
        net.turn(1)
    assert received.endswith(BODY[-500:])


def test_slow_heads_and_bodies_are_served():
    """Heads and bodies arrive a few bytes at a time, but within their time limits. They are
    served.
    """
    net = NodeHarness(1)
    client = net.client()
    for letter in REQUEST.decode():
        net.send_and_turn(client, letter)
        net.advance(2_000_000 // len(REQUEST))
    assert "GET /read/k" in received_text(net.host_socket())
    net.answer_from_host(net.host_socket())
    assert received_text(client).startswith("HTTP/1.1 200")
    client = net.client(put(64_000))
    for part in split_body(BODY[:64_000], 6_400):
        net.advance(600_000)
        net.send_and_turn(client, part)
    assert received_text(client) is None and received_bytes(net.host_socket()).startswith(b"PUT")
