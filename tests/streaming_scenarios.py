"""Helpers for streamed bodies: large texts, small socket buffers, and the bytes that the node
buffers.
"""

import contextlib
import socket

MAX_READ_BYTES = 1 << 16  # the most bytes that the node reads at once


BODY_SIZE = 2_000_000


BODY = bytes(range(256)) * (BODY_SIZE // 256 + 1)


BODY = BODY[:BODY_SIZE]


def shrink_send_buffers(*socks):
    for sock in socks:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 8192)


def received_bytes(far, max_bytes=1 << 17):
    """Return the bytes received at this end, b"" if nothing arrived, or None if it was closed."""
    try:
        return far.recv(max_bytes) or None
    except BlockingIOError:
        return b""
    except ConnectionError:
        return None


def held_bytes(net):
    """Return the number of body bytes that the node buffers for clients and hosts."""
    conns = [client.conn for client in net.node.clients.open_clients]
    conns += [
        connection.conn
        for pool in net.node.pools.by_host.values()
        for connection in pool.connections
    ]
    uploads = [client.upload for client in net.node.clients.open_clients if client.upload]
    return sum(len(conn.write_buffer) for conn in conns) + sum(
        sum(map(len, upload.parts)) for upload in uploads
    )


def send_some(net, far, text, max_bytes=1 << 16):
    """Write as much as the socket accepts, up to `max_bytes`, and return the rest."""
    with contextlib.suppress(BlockingIOError):
        return text[far.send(text[:max_bytes]) :]
    return text


def decode_chunked(text):
    body = b""
    while True:
        size, _, text = text.partition(b"\r\n")
        if not int(size, 16):
            assert text == b"\r\n"
            return body
        body, text = body + text[: int(size, 16)], text[int(size, 16) + 2 :]


REQUEST = b"GET /read/k HTTP/1.1\r\nRequest-Id: 1\r\nRequest-Timeout: 1\r\nX-State: yes\r\n\r\n"
