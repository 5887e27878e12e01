"""Requests under way that go on in another process."""

import contextlib
import socket

import pytest
from handover_harness import ProcessPair
from node_harness import received_text

BODY = bytes(range(256)) * 1_200


def hand_over_all(two):
    """The old one is told to end, and what can go has gone."""
    two.old.node.begin_shutdown()
    two.advance(15_000)
    two.turn()


@pytest.mark.parametrize("place", range(0, 220, 11))
@pytest.mark.parametrize(
    "framing",
    [
        b"Content-Length: 9\r\n\r\n123456789",
        b"Transfer-Encoding: chunked\r\n\r\n4;x\r\n1234\r\n5\r\n56789\r\n0\r\nT: y\r\n\r\n",
    ],
)
def test_a_request_that_has_come_in_part_goes_on_in_the_new_one(place, framing):
    """The old process leaves when a request has come in part, cut at each place. The new one
    reads the rest and answers.
    """
    text = (
        b"PUT /mark/k1 HTTP/1.1\r\nRequest-Id: r1\r\nIdempotency-Key: m1\r\nTenant: small\r\nRequest-Timeout: 1\r\n"
        + framing
    )
    if place >= len(text):
        return
    two = ProcessPair(1)
    client = two.old.client()
    for at in range(0, place, 50):
        two.old.send_and_turn(client, text[at : min(place, at + 50)])
    hand_over_all(two)
    assert (
        not two.old.node.clients.open_clients
        and len(two.new.node.clients.open_clients) == 1
        and not two.old.loop.running
    )
    client.sendall(text[place:])
    two.turn()
    far = two.old.host_socket()
    assert received_text(far).endswith("\r\n\r\n123456789")
    two.old.answer_from_host(far)
    two.turn()
    assert received_text(client).startswith("HTTP/1.1 200") and received_text(client) is None
    two.end()


@pytest.mark.parametrize("framing", ["length", "chunks", "close"])
@pytest.mark.parametrize("place", [70_000, 90_001, 120_003, 150_002])
@pytest.mark.parametrize("version", ["1.1", "1.0"])
def test_an_answer_that_flows_goes_on_in_the_new_one(framing, place, version):
    """The old process leaves in the middle of a large answer. The client gets every byte of it
    once, by the new one.
    """
    two = ProcessPair(1)
    client = two.old.client(
        f"GET /read/k HTTP/{version}\r\nRequest-Id: 1\r\nRequest-Timeout: 1\r\n\r\n".encode()
    )
    far = two.old.host_socket()
    received_text(far)
    head = {
        "length": b"Content-Length: %d" % len(BODY),
        "chunks": b"Transfer-Encoding: chunked",
        "close": b"Connection: close",
    }
    text = (
        BODY
        if framing != "chunks"
        else b"".join(
            b"%x;e=1\r\n%b\r\n" % (len(part), part)
            for part in (BODY[at : at + 10_000] for at in range(0, len(BODY), 10_000))
        )
        + b"0\r\n\r\n"
    )
    text = b"HTTP/1.1 200 OK\r\n" + head[framing] + b"\r\n\r\n" + text
    got = b""
    for one in two.old.node.clients.open_clients:
        one.conn.sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, 8_192
        )  # some of it waits to be written
    rest = text[:place]
    for _ in range(40):
        rest = rest[far.send(rest[:9_000]) :] if rest else b""
        two.turn(1)
        if len(got) < place - 60_000:
            with contextlib.suppress(BlockingIOError):
                got += client.recv(9_000)
    assert not rest
    hand_over_all(two)
    assert two.new.node.is_request_open(b"1") and not two.old.node.clients.open_clients
    rest = text[place:]
    for _ in range(200):
        if rest:
            with contextlib.suppress(BlockingIOError):
                rest = rest[far.send(rest[:20_000]) :]
        two.turn(1)
        got += received_all(client)
    assert not rest
    if framing == "close":
        far.close()
    two.turn()
    got += received_all(client)
    head, _, body = got.partition(b"\r\n\r\n")
    if b"chunked" in head:
        plain = b""
        while body:
            size, _, body = body.partition(b"\r\n")
            plain, body = plain + body[: int(size, 16)], body[int(size, 16) + 2 :]
        body = plain
    assert (
        body == BODY
        and not two.new.node.exchanges
        and not two.new.node.open_request_ids
        and not two.new.log.lines.count("fault")
    )
    if version == "1.1":
        client.sendall(b"GET /read/n HTTP/1.1\r\nRequest-Id: 2\r\nRequest-Timeout: 1\r\n\r\n")
        two.turn()
        assert (len(two.old.host_sockets()) == 1) == (framing != "close"), (
            "its link is as good as before"
        )
        two.old.answer_from_host(two.old.host_socket())
        two.turn()
        assert received_text(client).startswith("HTTP/1.1 200")
    two.end()


def received_all(far):
    got = b""
    try:
        while part := far.recv(1 << 17):
            got += part
    except OSError:
        pass
    return got


def test_an_answer_that_breaks_after_it_went_over_shows_it():
    """The host closes in the middle of an answer that was handed over. The client sees that it
    is cut off, and the host is charged for it.
    """
    two = ProcessPair(1)
    client = two.old.send_request("k")
    far = two.old.host_socket()
    two.old.send_and_turn(far, b"HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\nfirst")
    before = two.new.node.balancer.hosts["c0"].retry_budget
    hand_over_all(two)
    far.close()
    two.turn()
    assert received_all(client).endswith(b"first") and client.recv(1) == b""
    assert two.new.node.balancer.hosts["c0"].retry_budget < before or before == 0
    assert not two.new.node.exchanges and not two.new.node.open_request_ids
    two.end()


@pytest.mark.parametrize("framing", [f"Content-Length: {len(BODY)}", "Transfer-Encoding: chunked"])
@pytest.mark.parametrize(
    ("ends", "status"), [("done", "200"), ("reset", "503"), ("stalls", "408"), ("late", "503")]
)
def test_a_request_whose_body_flows_goes_on_in_the_new_one(framing, ends, status):
    """The old process leaves in the middle of a large body. The host gets every byte of it
    once, by the new one.
    """
    two = ProcessPair(1)
    head = (
        f"PUT /mark/k1 HTTP/1.1\r\nRequest-Id: r1\r\nIdempotency-Key: m1\r\nRequest-Timeout: 1\r\n{framing}\r\n\r\n"
    ).encode()
    text = (
        BODY
        if "chunked" not in framing
        else b"".join(
            b"%x\r\n%b\r\n" % (len(part), part)
            for part in (BODY[at : at + 9_000] for at in range(0, len(BODY), 9_000))
        )
        + b"0\r\n\r\n"
    )
    client = two.old.client(head)
    for at in range(0, 130_000, 26_000):
        two.old.send_and_turn(client, text[at : at + 26_000])
    far = two.old.host_socket()
    got = received_all(far)
    hand_over_all(two)
    assert not two.old.node.clients.open_clients and two.new.node.is_request_open(b"r1")
    if ends == "stalls":
        two.advance(3_000_000)
    else:
        for at in range(130_000, len(text), 26_000):
            client.sendall(text[at : at + 26_000])
            two.turn()
            got += received_all(far)
        body = got.partition(b"\r\n\r\n")[2]
        if "chunked" in framing:
            plain = b""
            while body:
                size, _, body = body.partition(b"\r\n")
                plain, body = plain + body[: int(size, 16)], body[int(size, 16) + 2 :]
            body = plain
        assert body == BODY and received_text(client) is None
        if ends == "done":
            two.old.answer_from_host(far)
        elif ends == "reset":
            far.close()
        else:
            two.advance(1_000_000)
        two.turn()
    assert received_text(client).startswith(f"HTTP/1.1 {status}")
    assert not two.new.node.exchanges and not two.new.node.open_request_ids
    two.end()
