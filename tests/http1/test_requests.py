"""What a client may send, and the plain answer to what it may not."""

import contextlib

import pytest
from net_scenarios import REQ
from node_harness import NodeHarness, received_text


@pytest.mark.parametrize(
    ("size", "status"), [(65_536, 200), (400_000, 200), (5 << 20, 200), (50 << 20, 503)]
)
def test_large_values_come_through_and_endless_ones_do_not(size, status):
    """Hosts send values of 64 KiB to 50 MB. Those that may be are passed on, and the others
    are not read without end.
    """
    net = NodeHarness(1)
    client = net.send_request("k")
    far, said = net.host_socket(), bytearray()
    rest = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size + b"v" * min(size, 6 << 20)
    for _ in range(1_000):
        with contextlib.suppress(OSError):
            rest = rest[far.send(rest[:50_000]) :] if rest else rest
        net.turn(1)
        said += received_bytes(client)
    head, _, body = bytes(said).partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 %d" % status) and body == (
        b"v" * size if status == 200 else b""
    )


def received_bytes(far):
    """What has come to this end, as bytes."""
    try:
        return far.recv(1 << 17)
    except OSError:
        return b""


def test_an_extra_byte_costs_the_link_and_not_the_answer():
    """A host sends a byte more than its answer. The answer counts; the connection is closed,
    as the byte could be taken for the next one.
    """
    net = NodeHarness(1)
    for number, more in ((0, "HTTP/1.1"), (1, "")):
        client = net.send_request()
        net.send_and_turn(
            net.host_socket(number), "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nv" + more
        )
        assert received_text(client).endswith("v") and len(net.dialled) == 2 + number
    net.send_and_turn(net.host_socket(), "more, unasked")
    assert not net.node.pools.by_host["c0"].idle


@pytest.mark.parametrize(
    ("text", "status"),
    [
        (b"\x16\x03\x01 nonsense\r\n\r\n", 400),
        (b"GET /read/k HTTP/1.1\r\nno colon\r\n\r\n", 400),
        (b"GET  HTTP/1.1\r\n\r\n", 400),
        (b"POST /read/k HTTP/1.1\r\nContent-Length: 0\r\n\r\n", 405),
        (b"GET /nosuch/k HTTP/1.1\r\nRequest-Id: 1\r\nRequest-Timeout: 1\r\n\r\n", 404),
        (b"GET / HTTP/1.1\r\n\r\n", 404),
        (b"GET //[ HTTP/1.1\r\n\r\n", 404),
        (b"GET http://[/ HTTP/1.1\r\n\r\n", 400),
        (REQ + b"Request-Class: nosuch\r\n\r\n", 404),
        (b"GET /read/k HTTP/1.1\r\nRequest-Id: 1\r\n\r\n", 400),
        (REQ + b"Request-Timeout: nan\r\n\r\n", 400),
        (b"GET /read/k HTTP/1.1\r\nRequest-Timeout: 1\r\n\r\n", 400),
        (REQ + b"Content-Length: 50000000\r\n\r\n", 413),
        (REQ + b"X: " + b"x" * 20_000, 431),
        (REQ + b"Transfer-Encoding: chunked\r\n\r\n" + b"g\r\n", 400),
        (
            REQ
            + b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
            + REQ
            + b"\r\n",
            400,
        ),
        (REQ + b"Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", 400),
        (REQ + b"Content-Length: -1\r\n\r\n", 400),
        (REQ + b"Content-Length: 1\r\nContent-Length: 2\r\n\r\nab", 400),
        (REQ + b"Request-Id: 2\r\n\r\n", 400),
        (REQ + b"Content-Length: 99999999999999999999\r\n\r\n", 400),
        (REQ.replace(b"1.1", b"2.0") + b"\r\n", 505),
        (REQ.replace(b"Timeout: 1", b"Timeout: 0") + b"\r\n", 400),
        (REQ.replace(b"Timeout: 1", b"Timeout: 1_0") + b"\r\n", 400),
        (REQ.replace(b"Timeout: 1", b"Timeout: -1") + b"\r\n", 400),
        (REQ + b"Content-Length: 60000000\r\n\r\n", 413),
        (REQ + b"Connection: upgrade\r\nUpgrade: x\r\n\r\n", 400),
        (b"CONNECT h:1 HTTP/1.1\r\n\r\n", 400),
    ],
)
def test_a_bad_request_gets_a_plain_answer_and_its_connection_is_closed(text, status):
    """Clients send requests that are malformed, too large or unknown. Each gets a plain
    status, and its connection is closed.
    """
    net = NodeHarness()
    client = net.client()
    for i in range(0, len(text), 4096):
        try:
            client.sendall(text[i : i + 4096])
        except OSError:
            break
        net.turn()
    assert received_text(client) == (
        f"HTTP/1.1 {status} {start_line(status)}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
    )
    with contextlib.suppress(OSError):
        net.send_and_turn(client, REQ + b"\r\n")  # comes too late
    assert net.node.clients.open_clients, "closed on unread bytes, the answer would be lost"
    assert received_text(client) == "" and not net.verdicts and not net.node.exchanges
    net.advance(1_100_000)
    assert not net.node.clients.open_clients, "it may stay no longer than it takes to read that"


def start_line(status):
    return {
        505: "HTTP Version Not Supported",
        400: "Bad Request",
        404: "Not Found",
        405: "Method Not Allowed",
        413: "Content Too Large",
        431: "Request Header Fields Too Large",
    }[status]


def test_trailers_without_end_are_cut():
    """A client sends trailers without end behind a chunked body. It is cut off, or it would
    fill the memory.
    """
    net = NodeHarness()
    client = net.client(REQ + b"Transfer-Encoding: chunked\r\n\r\n0\r\nX: ")
    for _ in range(600):
        try:
            client.sendall(b"x" * 4096)
        except OSError:
            break
        net.turn(1)
    assert received_text(client).startswith("HTTP/1.1 413")


def test_a_client_that_waits_to_be_let_send_its_body_is():
    """A client waits for "100 Continue" before it sends its body. It gets that, or both would
    wait for ever.
    """
    net = NodeHarness()
    client = net.client(
        b"PUT /mark/k HTTP/1.1\r\nRequest-Id: 1\r\nRequest-Timeout: 1\r\nContent-Length: 1\r\n"
        b"Expect: 100-continue\r\n\r\n"
    )
    assert received_text(client) == "HTTP/1.1 100 Continue\r\n\r\n"
    net.send_and_turn(client, "v")
    net.answer_from_host(net.host_socket())
    assert received_text(client).startswith("HTTP/1.1 200")


def test_requests_sent_before_the_answer_are_answered_in_their_order():
    for split in (False, True):
        net = NodeHarness(1)
        texts = [
            REQ.replace(b"Id: 1", b"Id: %d" % i).replace(b"/k", b"/k%d" % i) + b"\r\n"
            for i in range(5)
        ]
        client = net.client(
            texts[0] + (b"" if split else b"".join(texts[1:]) + b"not HTTP at all\r\n\r\n")
        )
        for text in (*texts[1:], b"not HTTP at all\r\n\r\n") if split else ():
            net.send_and_turn(client, text)
        for i in range(5):
            assert f"GET /read/k{i}" in received_text(net.host_socket()), "one at a time"
            assert received_text(client) is None
            net.answer_from_host(net.host_socket(), body=f"v{i}")
            said = received_text(client)
            assert said.startswith("HTTP/1.1 200") and f"v{i}" in said
        assert said.split("HTTP/1.1 ")[-1].startswith("400") and received_text(client) == ""
