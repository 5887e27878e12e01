"""Helpers for bodies that flow: large texts, small buffers, and what the node holds."""

import contextlib
import socket

READ = 1 << 16  # the most that is read at once


SIZE = 2_000_000


BODY = bytes(range(256)) * (SIZE // 256 + 1)


BODY = BODY[:SIZE]


def small_buffers(*socks):
    for sock in socks:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 8192)


def received_bytes(far, most=1 << 17):
    """What has come to this end; None where it was closed."""
    try:
        return far.recv(most) or None
    except BlockingIOError:
        return b""
    except ConnectionError:
        return None


def held_bytes(net):
    """Bytes that the node holds for clients and hosts."""
    conns = [client.conn for client in net.node.clients.open_clients]
    conns += [link.conn for pool in net.node.pools.by_host.values() for link in pool.connections]
    flows = [client.upload for client in net.node.clients.open_clients if client.upload]
    return sum(len(conn.write_buffer) for conn in conns) + sum(
        sum(map(len, flow.parts)) for flow in flows
    )


def push(net, far, text, most=1 << 16):
    """Write what is taken now; what is left."""
    with contextlib.suppress(BlockingIOError):
        return text[far.send(text[:most]) :]
    return text


def unchunked(text):
    body = b""
    while True:
        size, _, text = text.partition(b"\r\n")
        if not int(size, 16):
            assert text == b"\r\n"
            return body
        body, text = body + text[: int(size, 16)], text[int(size, 16) + 2 :]


REQ = b"GET /read/k HTTP/1.1\r\nRequest-Id: 1\r\nRequest-Timeout: 1\r\nX-State: yes\r\n\r\n"
