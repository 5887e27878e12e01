"""Valid requests from clients, and the status that invalid ones are answered with."""

import contextlib

import pytest
from net_scenarios import REQUEST_HEAD
from node_harness import NodeHarness, received_text


@pytest.mark.parametrize(
    ("size", "status"), [(65_536, 200), (400_000, 200), (5 << 20, 200), (50 << 20, 503)]
)
def test_large_values_are_forwarded_and_oversized_ones_are_rejected(size, status):
    """Hosts send values of 64 KiB to 50 MB. Those within the limit are forwarded completely, and
    a larger one is answered with 503 instead of being read to its end.
    """
    net = NodeHarness(1)
    client = net.send_request("k")
    sock, received = net.host_socket(), bytearray()
    rest = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size + b"v" * min(size, 6 << 20)
    for _ in range(1_000):
        with contextlib.suppress(OSError):
            rest = rest[sock.send(rest[:50_000]) :] if rest else rest
        net.turn(1)
        received += received_bytes(client)
    head, _, body = bytes(received).partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 %d" % status) and body == (
        b"v" * size if status == 200 else b""
    )


def received_bytes(sock):
    """Returns the bytes that have arrived at this socket."""
    try:
        return sock.recv(1 << 17)
    except OSError:
        return b""


def test_excess_bytes_close_the_connection_and_keep_the_answer():
    """A host sends bytes after its answer. The answer is used, but the connection is closed, as
    those bytes could be read as the next answer.
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
        (REQUEST_HEAD + b"Request-Class: nosuch\r\n\r\n", 404),
        (b"GET /read/k HTTP/1.1\r\nRequest-Id: 1\r\n\r\n", 400),
        (REQUEST_HEAD + b"Request-Timeout: nan\r\n\r\n", 400),
        (b"GET /read/k HTTP/1.1\r\nRequest-Timeout: 1\r\n\r\n", 400),
        (REQUEST_HEAD + b"Content-Length: 50000000\r\n\r\n", 413),
        (REQUEST_HEAD + b"X: " + b"x" * 20_000, 431),
        (REQUEST_HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + b"g\r\n", 400),
        (
            REQUEST_HEAD
            + b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
            + REQUEST_HEAD
            + b"\r\n",
            400,
        ),
        (REQUEST_HEAD + b"Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", 400),
        (REQUEST_HEAD + b"Content-Length: -1\r\n\r\n", 400),
        (REQUEST_HEAD + b"Content-Length: 1\r\nContent-Length: 2\r\n\r\nab", 400),
        (REQUEST_HEAD + b"Request-Id: 2\r\n\r\n", 400),
        (REQUEST_HEAD + b"Content-Length: 99999999999999999999\r\n\r\n", 400),
        (REQUEST_HEAD.replace(b"1.1", b"2.0") + b"\r\n", 505),
        (REQUEST_HEAD.replace(b"Timeout: 1", b"Timeout: 0") + b"\r\n", 400),
        (REQUEST_HEAD.replace(b"Timeout: 1", b"Timeout: 1_0") + b"\r\n", 400),
        (REQUEST_HEAD.replace(b"Timeout: 1", b"Timeout: -1") + b"\r\n", 400),
        (REQUEST_HEAD + b"Content-Length: 60000000\r\n\r\n", 413),
        (REQUEST_HEAD + b"Connection: upgrade\r\nUpgrade: x\r\n\r\n", 400),
        (b"CONNECT h:1 HTTP/1.1\r\n\r\n", 400),
    ],
)
def test_invalid_request_is_answered_and_its_connection_is_closed(text, status):
    """Clients send requests that are malformed, too large or unknown. Each is answered with a
    status and no body, and its connection is closed.
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
        f"HTTP/1.1 {status} {reason_phrase(status)}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
    )
    with contextlib.suppress(OSError):
        net.send_and_turn(client, REQUEST_HEAD + b"\r\n")  # too late
    assert net.node.clients.open_clients, "closing with unread bytes would lose the answer"
    assert received_text(client) == "" and not net.outcomes and not net.node.exchanges
    net.advance(1_100_000)
    assert not net.node.clients.open_clients, (
        "it stays open only until the answer can have been read"
    )


def reason_phrase(status):
    return {
        505: "HTTP Version Not Supported",
        400: "Bad Request",
        404: "Not Found",
        405: "Method Not Allowed",
        413: "Content Too Large",
        431: "Request Header Fields Too Large",
    }[status]


def test_endless_trailers_are_rejected():
    """A client sends endless trailers after a chunked body. It is answered with 413, as the
    trailers would fill the memory otherwise.
    """
    net = NodeHarness()
    client = net.client(REQUEST_HEAD + b"Transfer-Encoding: chunked\r\n\r\n0\r\nX: ")
    for _ in range(600):
        try:
            client.sendall(b"x" * 4096)
        except OSError:
            break
        net.turn(1)
    assert received_text(client).startswith("HTTP/1.1 413")


def test_client_that_expects_100_continue_receives_it():
    """A client waits for "100 Continue" before it sends its body. Without that response both sides
    would wait until their timeouts.
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


def test_pipelined_requests_are_answered_in_order():
    for split in (False, True):
        net = NodeHarness(1)
        texts = [
            REQUEST_HEAD.replace(b"Id: 1", b"Id: %d" % i).replace(b"/k", b"/k%d" % i) + b"\r\n"
            for i in range(5)
        ]
        client = net.client(
            texts[0] + (b"" if split else b"".join(texts[1:]) + b"not HTTP at all\r\n\r\n")
        )
        for text in (*texts[1:], b"not HTTP at all\r\n\r\n") if split else ():
            net.send_and_turn(client, text)
        for i in range(5):
            assert f"GET /read/k{i}" in received_text(net.host_socket()), (
                "only one request is forwarded at a time"
            )
            assert received_text(client) is None
            net.answer_from_host(net.host_socket(), body=f"v{i}")
            received = received_text(client)
            assert received.startswith("HTTP/1.1 200") and f"v{i}" in received
        assert received.split("HTTP/1.1 ")[-1].startswith("400") and received_text(client) == ""
