"""Requests in progress that another process continues."""

import contextlib
import socket

import pytest
from handover_harness import ProcessPair
from node_harness import received_text
from streaming_scenarios import send_some, shrink_send_buffers

from orchidgap.net.endpoints import decode_list

BODY = bytes(range(256)) * 1_200
HELD_BODY = BODY[:200_000]  # fits into the buffers before a host that reads nothing


def hand_over_all(pair):
    """Shuts the old process down, and waits until everything that can be migrated is."""
    pair.old.node.begin_shutdown()
    pair.advance(15_000)
    pair.turn()


@pytest.mark.parametrize("cut_at", range(0, 220, 11))
@pytest.mark.parametrize(
    "framing",
    [
        b"Content-Length: 9\r\n\r\n123456789",
        b"Transfer-Encoding: chunked\r\n\r\n4;x\r\n1234\r\n5\r\n56789\r\n0\r\nT: y\r\n\r\n",
    ],
)
def test_partial_request_continues_in_the_new_process(cut_at, framing):
    """The old process shuts down when a part of a request has arrived, of various lengths. The new
    one reads the rest and answers.
    """
    text = (
        b"PUT /mark/k1 HTTP/1.1\r\nRequest-Id: r1\r\nIdempotency-Key: m1\r\nTenant: small\r\nRequest-Timeout: 1\r\n"
        + framing
    )
    if cut_at >= len(text):
        return
    pair = ProcessPair(1)
    client = pair.old.client()
    for offset in range(0, cut_at, 50):
        pair.old.send_and_turn(client, text[offset : min(cut_at, offset + 50)])
    hand_over_all(pair)
    assert (
        not pair.old.node.clients.open_clients
        and len(pair.new.node.clients.open_clients) == 1
        and not pair.old.loop.running
    )
    client.sendall(text[cut_at:])
    pair.turn()
    host = pair.old.host_socket()
    assert received_text(host).endswith("\r\n\r\n123456789")
    pair.old.answer_from_host(host)
    pair.turn()
    assert received_text(client).startswith("HTTP/1.1 200") and received_text(client) is None
    pair.end()


@pytest.mark.parametrize("framing", ["length", "chunks", "close"])
@pytest.mark.parametrize("cut_at", [70_000, 90_001, 120_003, 150_002])
@pytest.mark.parametrize("version", ["1.1", "1.0"])
def test_streamed_answer_continues_in_the_new_process(framing, cut_at, version):
    """The old process shuts down in the middle of a large answer. The new one continues it, and
    the client receives every byte exactly once.
    """
    pair = ProcessPair(1)
    client = pair.old.client(
        f"GET /read/k HTTP/{version}\r\nRequest-Id: 1\r\nRequest-Timeout: 1\r\n\r\n".encode()
    )
    host = pair.old.host_socket()
    received_text(host)
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
            for part in (BODY[offset : offset + 10_000] for offset in range(0, len(BODY), 10_000))
        )
        + b"0\r\n\r\n"
    )
    text = b"HTTP/1.1 200 OK\r\n" + head[framing] + b"\r\n\r\n" + text
    received = b""
    for client_connection in pair.old.node.clients.open_clients:
        client_connection.conn.sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, 8_192
        )  # so that a part of the answer is still unwritten
    rest = text[:cut_at]
    for _ in range(40):
        rest = rest[host.send(rest[:9_000]) :] if rest else b""
        pair.turn(1)
        if len(received) < cut_at - 60_000:
            with contextlib.suppress(BlockingIOError):
                received += client.recv(9_000)
    assert not rest
    hand_over_all(pair)
    assert pair.new.node.is_request_open(b"1") and not pair.old.node.clients.open_clients
    rest = text[cut_at:]
    for _ in range(200):
        if rest:
            with contextlib.suppress(BlockingIOError):
                rest = rest[host.send(rest[:20_000]) :]
        pair.turn(1)
        received += received_all(client)
    assert not rest
    if framing == "close":
        host.close()
    pair.turn()
    received += received_all(client)
    head, _, body = received.partition(b"\r\n\r\n")
    if b"chunked" in head:
        plain = b""
        while body:
            size, _, body = body.partition(b"\r\n")
            plain, body = plain + body[: int(size, 16)], body[int(size, 16) + 2 :]
        body = plain
    assert (
        body == BODY
        and not pair.new.node.exchanges
        and not pair.new.node.open_request_ids
        and not pair.new.log.lines.count("fault")
    )
    if version == "1.1":
        client.sendall(b"GET /read/n HTTP/1.1\r\nRequest-Id: 2\r\nRequest-Timeout: 1\r\n\r\n")
        pair.turn()
        assert (len(pair.old.host_sockets()) == 1) == (framing != "close"), (
            "the host connection is reused"
        )
        pair.old.answer_from_host(pair.old.host_socket())
        pair.turn()
        assert received_text(client).startswith("HTTP/1.1 200")
    pair.end()


def received_all(sock):
    received = b""
    try:
        while part := sock.recv(1 << 17):
            received += part
    except OSError:
        pass
    return received


def test_answer_that_breaks_after_the_handover_is_visibly_truncated():
    """The host closes in the middle of an answer that was handed over. The client can detect that
    it is truncated, and the failure counts against the host.
    """
    pair = ProcessPair(1)
    client = pair.old.send_request("k")
    host = pair.old.host_socket()
    pair.old.send_and_turn(host, b"HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\nfirst")
    before = pair.new.node.balancer.hosts["c0"].retry_budget
    hand_over_all(pair)
    host.close()
    pair.turn()
    assert received_all(client).endswith(b"first") and client.recv(1) == b""
    assert pair.new.node.balancer.hosts["c0"].retry_budget < before or before == 0
    assert not pair.new.node.exchanges and not pair.new.node.open_request_ids
    pair.end()


@pytest.mark.parametrize("framing", [f"Content-Length: {len(BODY)}", "Transfer-Encoding: chunked"])
@pytest.mark.parametrize(
    ("key_field", "ending", "status"),
    [
        ("Idempotency-Key: m1\r\n", "done", "200"),
        ("Idempotency-Key: m1\r\n", "reset", "503"),
        ("Idempotency-Key: m1\r\n", "stalls", "408"),
        ("Idempotency-Key: m1\r\n", "late", "503"),
        ("", "done", "200"),
        ("", "reset", "500"),
        ("", "late", "500"),
    ],
)
def test_streamed_upload_continues_in_the_new_process(framing, key_field, ending, status):
    """The old process shuts down in the middle of a large request body. The new one continues it,
    and the host receives every byte exactly once. Without a key no host recognizes a repeat, so the
    client is not told that a retry is harmless.
    """
    pair = ProcessPair(1)
    head = (
        f"PUT /mark/k1 HTTP/1.1\r\nRequest-Id: r1\r\n{key_field}Request-Timeout: 1\r\n{framing}\r\n\r\n"
    ).encode()
    text = (
        BODY
        if "chunked" not in framing
        else b"".join(
            b"%x\r\n%b\r\n" % (len(part), part)
            for part in (BODY[offset : offset + 9_000] for offset in range(0, len(BODY), 9_000))
        )
        + b"0\r\n\r\n"
    )
    client = pair.old.client(head)
    for offset in range(0, 130_000, 26_000):
        pair.old.send_and_turn(client, text[offset : offset + 26_000])
    host = pair.old.host_socket()
    received = received_all(host)
    hand_over_all(pair)
    assert not pair.old.node.clients.open_clients and pair.new.node.is_request_open(b"r1")
    if ending == "stalls":
        pair.advance(3_000_000)
    else:
        for offset in range(130_000, len(text), 26_000):
            client.sendall(text[offset : offset + 26_000])
            pair.turn()
            received += received_all(host)
        body = received.partition(b"\r\n\r\n")[2]
        if "chunked" in framing:
            plain = b""
            while body:
                size, _, body = body.partition(b"\r\n")
                plain, body = plain + body[: int(size, 16)], body[int(size, 16) + 2 :]
            body = plain
        assert body == BODY and received_text(client) is None
        if ending == "done":
            pair.old.answer_from_host(host)
        elif ending == "reset":
            host.close()
        else:
            pair.advance(1_000_000)
        pair.turn()
    assert received_text(client).startswith(f"HTTP/1.1 {status}")
    assert not pair.new.node.exchanges and not pair.new.node.open_request_ids
    pair.end()


@pytest.mark.parametrize(
    "framing", [f"Content-Length: {len(HELD_BODY)}", "Transfer-Encoding: chunked"]
)
def test_the_time_of_a_body_that_is_read_slowly_goes_on_in_the_new_process(framing):
    """It began anew there: the answer came a whole timeout after the handover."""
    pair = ProcessPair(1)
    is_chunked = "chunked" in framing
    client = pair.old.client(
        f"PUT /mark/k1 HTTP/1.1\r\nRequest-Id: r1\r\nRequest-Timeout: 1\r\n{framing}\r\n\r\n".encode()
    )
    text = b"%x\r\n%b\r\n0\r\n\r\n" % (len(HELD_BODY), HELD_BODY) if is_chunked else HELD_BODY
    pair.old.send_and_turn(client, text[:70_000])
    pair.old.host_socket()
    for pool in pair.old.node.pools.by_host.values():
        shrink_send_buffers(*(connection.conn.sock for connection in pool.connections))
    rest = text[70_000:]
    while rest:
        rest = send_some(pair.old, client, rest)
        pair.turn(1)
    pair.advance(600_000)
    assert received_text(client) is None
    hand_over_all(pair)
    assert pair.new.node.is_request_open(b"r1")
    pair.advance(500_000)
    assert received_text(client).startswith("HTTP/1.1 50")
    assert not pair.new.node.exchanges
    pair.end()


@pytest.mark.parametrize(("born", "is_kept"), [(0, True), (5_000, False)])
def test_a_connection_of_a_migrated_request_to_an_older_process_gets_nothing_more(born, is_kept):
    """It rested among those of the newer process once the request was answered."""
    pair = ProcessPair(1)
    client = pair.old.client(
        f"PUT /mark/k1 HTTP/1.1\r\nRequest-Id: r1\r\nRequest-Timeout: 1\r\nContent-Length: {len(BODY)}\r\n\r\n".encode()
    )
    pair.old.send_and_turn(client, BODY[:130_000])
    host = pair.old.host_socket()
    received_all(host)
    hosts = [pair.new.host_entry(0), pair.new.host_entry(9, born=born)]
    _, _, entries, endpoints = decode_list({"seq": 50, "whole": True, "hosts": hosts})
    pair.new.node.on_list(True, entries, endpoints)
    hand_over_all(pair)
    assert pair.new.node.is_request_open(b"r1")
    for offset in range(130_000, len(BODY), 26_000):
        client.sendall(BODY[offset : offset + 26_000])
        pair.turn()
        received_all(host)
    pair.old.answer_from_host(host)
    pair.turn()
    assert received_text(client).startswith("HTTP/1.1 200")
    assert len(pair.new.node.pools.by_host["o"].idle) == is_kept
    pair.end()
