"""Large request bodies: slow sides, breaks, and what is held meanwhile."""

import pytest
from node_harness import NodeHarness, received_text
from streaming_scenarios import (
    BODY,
    READ,
    REQ,
    SIZE,
    held_bytes,
    push,
    received_bytes,
    small_buffers,
    unchunked,
)

from orchidgap.http1.messages import MAX_BUFFERED_BODY_BYTES


def put(size=SIZE, framing=None):
    framing = framing or f"Content-Length: {size}"
    return f"PUT /mark/k1 HTTP/1.1\r\nRequest-Id: r1\r\nIdempotency-Key: m1\r\nTenant: small\r\nRequest-Timeout: 1\r\n{framing}\r\n\r\n".encode()


@pytest.mark.parametrize("framing", [None, "Transfer-Encoding: chunked"])
def test_a_large_request_flows_bounded_to_a_slow_host(framing):
    """A client sends a large body faster than its host reads. The balancer reads on only as
    the host does.
    """
    net = NodeHarness(1)
    client = net.client()
    rest = put(framing=framing) + (
        BODY
        if framing is None
        else b"".join(b"%x\r\n%b\r\n" % (len(part), part) for part in pieces(BODY, 9_000))
        + b"0\r\n\r\n"
    )
    got, most, far = b"", 0, None
    for _ in range(5_000):
        rest = push(net, client, rest) if rest else rest
        net.now += 1_000
        net.turn(1)
        most = max(most, held_bytes(net))
        if net.host_sockets():
            if far is None:
                far = net.host_socket()
                for pool in net.node.pools.by_host.values():
                    for link in pool.connections:
                        small_buffers(link.conn.sock)
            got += received_bytes(far, 4_000) or b""
            if got.endswith(b"0\r\n\r\n" if framing else BODY[-256:]) and len(got) > SIZE:
                break
    assert most <= 2 * READ + MAX_BUFFERED_BODY_BYTES, "back-pressure"
    head, _, body = got.partition(b"\r\n\r\n")
    assert (b"Content-Length: %d" % SIZE in head) == (framing is None)
    assert (unchunked(body) if framing else body) == BODY
    assert net.node.balancer.hosts["o"].in_flight == 1
    net.answer_from_host(far, body="stored")
    assert (
        received_text(client).endswith("stored")
        and net.verdicts == ["done"]
        and not net.node.exchanges
    )
    assert net.node.balancer.hosts["o"].in_flight == 0
    net.send_and_turn(client, b"GET /up HTTP/1.1\r\n\r\n")
    assert received_text(client).startswith("HTTP/1.1 200"), "the connection goes on"


def pieces(body, size):
    return [body[at : at + size] for at in range(0, len(body), size)]


def flowing(net, sent=100_000):
    """A client with a large req under way, of which so much has come."""
    client = net.client(put())
    for part in pieces(BODY[:sent], 50_000):
        net.send_and_turn(client, part)
    return client


def test_a_slow_client_neither_counts_at_the_host_nor_looks_like_a_slow_one():
    """A client sends a large body slowly. The time it takes is not the host's latency, and
    uses up none of its limit.
    """
    net = NodeHarness(1)
    client = flowing(net)
    far, origin, got = net.host_socket(), net.node.balancer.hosts["o"], b""
    parts = pieces(BODY[100_000:], 20_000)
    for number, part in enumerate(parts, 1):
        net.advance(500_000)  # 40 kB a second
        net.send_and_turn(client, part)
        net.turn(9)
        while more := received_bytes(far):
            got += more
            net.turn()
        assert received_text(client) is None
        assert (
            origin.in_flight == (number == len(parts))
            and not origin.smoothed_latency_us
            and not origin.limit_decreased_at_us
        )
    assert got.endswith(BODY[-500:])
    net.advance(100_000)
    net.answer_from_host(far)
    assert (
        received_text(client).startswith("HTTP/1.1 200")
        and 90_000 < origin.smoothed_latency_us < 110_000
    )


def test_the_time_of_a_large_request_runs_from_its_last_byte():
    """A large body takes longer to come than the client waits for an answer. The time runs
    from its last byte.
    """
    net = NodeHarness(1)
    client = flowing(net)
    far = net.host_socket()
    net.advance(2_000_000)
    assert received_text(client) is None
    for part in pieces(BODY[100_000:], 50_000):
        net.send_and_turn(client, part)
        while received_bytes(far):
            pass
    net.turn(30)
    net.advance(970_000)
    assert received_text(client) is None and net.verdicts == []
    net.advance(20_000)
    assert net.verdicts == ["timeout"] and received_text(client).startswith("HTTP/1.1 503"), (
        "uniqued in a group of all: denied"
    )


def test_a_body_that_has_gone_on_is_sent_no_second_time():
    """A host breaks after a large body has begun to flow there. What was sent is kept no more,
    so no other host is asked.
    """
    net = NodeHarness(1)
    client = flowing(net)
    received_bytes(net.host_socket())
    net.host_socket().close()
    net.turn()
    assert net.verdicts == ["unconnected"], "never whole, so it never ran"
    assert received_text(client).startswith("HTTP/1.1 503") and len(net.host_sockets()) == 1


def test_a_body_that_has_not_gone_on_may_be_sent_again():
    """A host refuses before any of a large body was discarded. Another one gets all of it."""
    net = NodeHarness(1)
    net.refused.add(109)
    client = net.client(
        put(framing="Transfer-Encoding: chunked") + b"8000\r\n" + b"x" * 32_768 + b"\r\n"
    )
    assert net.verdicts == [] and received_text(client) is None and not net.host_sockets(), (
        "small ones are taken when they are whole"
    )
    first = net.node.pools.dial_address
    tries = []
    net.node.pools.dial_address = lambda address: (
        tries.append(address) or (net.refused.clear() if len(tries) > 1 else None) or first(address)
    )
    net.send_and_turn(client, b"ffff\r\n" + b"y" * 65_535 + b"\r\n")
    net.advance(600_000)
    assert net.verdicts[:1] == ["unconnected"] and len(tries) >= 2
    assert "PUT /mark/k1" in received_text(net.host_socket()) and received_text(client) is None


@pytest.mark.parametrize(
    ("how", "status"),
    [
        (lambda net, client: net.advance(2_800_000), "408"),
        (lambda net, client: net.send_and_turn(client, b"\r\nno chunk\r\n"), "400"),
    ],
)
def test_a_large_request_that_stands_still_or_goes_wrong_never_runs(how, status):
    """A client stops, closes or sends nonsense in the middle of a large body. The host never
    gets it whole, so it is never executed.
    """
    net = NodeHarness(1)
    client = net.client(put(framing="Transfer-Encoding: chunked"))
    for _ in range(3):
        net.send_and_turn(client, b"8000\r\n" + b"x" * 32_768 + b"\r\n")
    far = net.host_socket()
    received_bytes(far)
    how(net, client)
    assert received_text(client).startswith(f"HTTP/1.1 {status}") and received_bytes(far) is None
    assert net.verdicts == ["moot"] or net.verdicts == ["cancelled"]
    assert (
        not net.node.exchanges and not net.node.open_request_ids and not net.node.balancer.requests
    )


def test_an_early_answer_to_a_large_request_is_not_cut_off_by_what_still_comes():
    """A host answers before it has the whole body. The client reads the answer although it is
    still sending.
    """
    net = NodeHarness(1)
    client = flowing(net)
    net.answer_from_host(net.host_socket(), 500)
    text = received_text(client)
    assert text.startswith("HTTP/1.1 5") and "Connection: close" in text
    for part in pieces(BODY[100_000:700_000], 50_000):
        net.advance(500_000)
        net.send_and_turn(client, part)
    assert net.node.clients.open_clients, (
        "what still comes is dropped; closing on it would reset the answer away"
    )
    net.advance(9_000_000)
    assert not net.node.clients.open_clients


def test_a_client_held_up_by_its_host_is_not_taken_for_one_that_stands_still():
    """A host does not read, so the client cannot send on. That must not count as the client's
    silence.
    """
    net = NodeHarness(1)
    client = net.client(put())
    rest, far = BODY, None
    for _ in range(200):
        rest = push(net, client, rest)
        net.turn(1)
        if far is None and net.host_sockets():
            far = net.host_socket()
            for pool in net.node.pools.by_host.values():
                for link in pool.connections:
                    small_buffers(link.conn.sock)
    [one] = net.node.clients.open_clients
    assert one.conn.read_paused
    net.advance(6_000_000)
    assert received_text(client) is None and net.node.exchanges
    got = b""
    while len(got) < SIZE:
        got += received_bytes(far) or b""
        rest = push(net, client, rest) if rest else rest
        net.now += 1_000
        net.turn(1)
    assert got.endswith(BODY[-500:])


def test_slow_heads_and_bodies_live():
    """Heads and bodies come a few bytes at a time, but within their times. They are served."""
    net = NodeHarness(1)
    client = net.client()
    for letter in REQ.decode():
        net.send_and_turn(client, letter)
        net.advance(2_000_000 // len(REQ))
    assert "GET /read/k" in received_text(net.host_socket())
    net.answer_from_host(net.host_socket())
    assert received_text(client).startswith("HTTP/1.1 200")
    client = net.client(put(64_000))
    for part in pieces(BODY[:64_000], 6_400):
        net.advance(600_000)
        net.send_and_turn(client, part)
    assert received_text(client) is None and received_bytes(net.host_socket()).startswith(b"PUT")
