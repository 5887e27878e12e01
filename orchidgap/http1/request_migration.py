"""Reqs under way that go over to another process of this balancer: what is sent with their
connections, and how they go on there.
"""

from __future__ import annotations

import socket
from collections.abc import Iterator
from typing import Any, cast

from orchidgap.http1.client import HostConnectionPool, HostConnectionPools
from orchidgap.http1.host_connection import HostConnection
from orchidgap.http1.messages import MAX_BUFFERED_BODY_BYTES, Message
from orchidgap.http1.parser_resume import resume_body, resume_request
from orchidgap.http1.server import Http1ClientConnection
from orchidgap.net.body_stream import Upload
from orchidgap.net.handover import MigratingRequest
from orchidgap.net.loop import READ
from orchidgap.net.node import Exchange, Node
from orchidgap.net.upstream_attempt import UpstreamAttempt

MAX_UNWRITTEN_BYTES = 120_000  # bytes that still wait to be written, with which one goes


def migrating_requests(node: Node) -> Iterator[MigratingRequest]:
    """Those that can go now, each as it stands."""
    for client in list(node.clients.open_clients):
        assert isinstance(client, Http1ClientConnection)
        if (
            not client.conn.is_open
            or client.conn.closing
            or client.reader.pipelined
            or client.reader.has_excess_data
        ):
            continue
        if client.streaming:
            moving = export_streaming_response(node, client)
        elif client.upload:
            moving = export_streaming_upload(node, client)
        elif (
            client.request_begun
            and not client.pending_request
            and client in node.clients.awaiting_request
        ):
            moving = export_partial_request(client)
        else:
            continue
        if moving and len(moving.raw) <= MAX_UNWRITTEN_BYTES:
            yield moving


def export_partial_request(client: Http1ClientConnection) -> MigratingRequest | None:
    """A req that has come in part, and that nobody has been asked for."""
    text = resume_request(client.reader.message)
    return MigratingRequest(["begun"], text, [client.conn.sock], client.close) if text else None


def export_streaming_response(node: Node, client: Http1ClientConnection) -> MigratingRequest | None:
    """An answer that flows to its client."""
    exchange = client.pending_request
    link = (
        exchange.streaming_attempt.carrier
        if isinstance(exchange, Exchange) and exchange.streaming_attempt
        else None
    )
    if (
        not isinstance(exchange, Exchange)
        or not isinstance(link, HostConnection)
        or link.reader.has_excess_data
    ):
        return None
    message = client.reader.message
    rest = resume_body(
        link.reader.message, b"HTTP/%b 200 OK" % link.reader.message.version.encode()
    )
    if (
        rest is None
        or not link.conn.is_open
        or link.conn.write_buffer
        or link.reader.message.body_parts
    ):
        return None
    told = {
        "name": exchange.request_id.decode("latin-1"),
        "version": message.version,
        "lasts": message.keep_alive,
        "last": client.closes_after_stream,
        "chunked": client.chunked,
        "head": rest[0].decode("latin-1"),
        **host_location(exchange, link),
    }

    def let_go() -> None:
        exchange.detach()
        link.detach()
        client.detach()

    return MigratingRequest(
        ["answer", told],
        bytes(client.conn.write_buffer),
        [client.conn.sock, link.conn.sock],
        let_go,
    )


def export_streaming_upload(node: Node, client: Http1ClientConnection) -> MigratingRequest | None:
    """A req whose body flows to a host, and is kept no more."""
    exchange, flow = client.pending_request, client.upload
    if (
        not isinstance(exchange, Exchange)
        or flow is None
        or not flow.discarded
        or flow.complete
        or exchange.closed
    ):
        return None
    link = flow.sink
    if (
        not isinstance(link, HostConnection)
        or not link.conn.is_open
        or link.conn.connecting
        or link.reader.started
    ):
        return None
    message = client.reader.message
    rest = resume_body(message, b"PUT / HTTP/%b" % message.version.encode())
    if (
        rest is None
        or message.body_parts
        or sum(not attempt.settled for attempt in exchange.attempts) != 1
    ):
        return None
    told = {
        "name": exchange.request_id.decode("latin-1"),
        "left": exchange.time_remaining_us,
        "size": message.body_size,
        "length": message.content_length,
        "chunked": link.chunked,
        "head": rest[0].decode("latin-1"),
        "last_word": node.fallback_status(exchange.number),
        **host_location(exchange, link),
    }

    def let_go() -> None:
        exchange.detach()
        link.detach()
        client.detach()
        node.call_decisions(node.balancer.on_client_gone, exchange.number)

    return MigratingRequest(
        ["upload", told], bytes(link.conn.write_buffer), [client.conn.sock, link.conn.sock], let_go
    )


def host_location(exchange: Exchange, link: HostConnection) -> dict[str, Any]:
    host = next((attempt.host for attempt in exchange.attempts if attempt.carrier is link), "")
    return {"host": host, "at": cast(HostConnectionPool, link.pool).address}


def accept_migrated(node: Node, words: list[Any], raw: bytes, socks: list[socket.socket]) -> None:
    """One of them, with its connections. Raises ValueError and the like where it makes no sense,
    and closes both then.
    """
    ends: list[Http1ClientConnection | HostConnection] = []
    try:
        client = add_client(node, socks[0])
        ends.append(client)
        if words[0] == "begun":
            node.clients.await_request(client)
            client.received(memoryview(bytearray(raw)))
        else:
            link = add_host_connection(node, words[1]["host"], words[1]["at"], socks[1])
            ends.append(link)
            resume_exchange(node, words, raw, client, link)
            if link.conn.is_open:
                link.conn.on_ready(READ)
        client.conn.on_ready(READ)
    except Exception:
        for end in ends:
            end.close()
        for sock in socks[len(ends) :]:
            sock.close()
        raise


def resume_exchange(
    node: Node, words: list[Any], raw: bytes, client: Http1ClientConnection, link: HostConnection
) -> None:
    """Both as they stood there."""
    told = words[1]
    name, head = (
        told["name"].encode("latin-1"),
        memoryview(bytearray(told["head"].encode("latin-1"))),
    )
    if words[0] == "answer":
        exchange = Exchange(
            node, node.next_request_number(), name, client, b"", b"", 0, None, timed=False
        )
        attempt = link.attempt = make_attempt(exchange, told["host"], link, None)
        link.reader.feed(head)
        link.reader.message.take_body()
        message = client.reader.message = client.reader.incoming = Message()
        message.head_complete = message.complete = True
        message.method, message.version, message.keep_alive = (
            b"GET",
            str(told["version"]),
            bool(told["lasts"]),
        )
        exchange.attach(attempt, giving=True)
        client.attach_response(exchange, link.conn, bool(told["chunked"]), bool(told["last"]), raw)
        link.response_sink = client
        link.pool.add_streaming(link)
    else:
        client.reader.feed(head)
        message = client.reader.message
        message.take_body()
        length = told["length"]
        message.body_size, message.content_length = (
            int(told["size"]),
            None if length is None else int(length),
        )
        flow = Upload(client.conn, message.content_length, MAX_BUFFERED_BODY_BYTES)
        flow.discarded, flow.received_bytes = True, message.body_size
        exchange = Exchange(
            node, node.next_request_number(), name, client, b"", b"", int(told["left"]), flow
        )
        exchange.fallback_status = int(told["last_word"])
        attempt = link.attempt = make_attempt(exchange, told["host"], link, flow)
        exchange.attach(attempt, giving=False)
        client.attach_upload(exchange, flow)
        link.chunked, link.conn.on_drained = bool(told["chunked"]), flow.update_backpressure
        if raw:
            link.conn.send(raw)
        flow.sink = link
        flow.update_backpressure()


def add_client(node: Node, sock: socket.socket) -> Http1ClientConnection:
    client = node.clients.make_client(node.clients, sock)
    assert isinstance(client, Http1ClientConnection)
    node.clients.open_clients[client] = None
    return client


def add_host_connection(node: Node, host: Any, at: Any, sock: socket.socket) -> HostConnection:
    """In the pool of its host; in one that nothing else is sent on, where the list knows no such
    host.
    """
    hosts, address = node.pools, (str(at[0]), int(at[1]))
    assert isinstance(hosts, HostConnectionPools)
    pool = hosts.by_host.get(str(host))
    if pool is None or pool.address != address:
        pool = HostConnectionPool(hosts, address)
        pool.retired = True
    link = HostConnection(pool, sock, None)
    link.bytes_written_at_start = -1  # it has been written on
    link.received_at_us = node.loop.now
    pool.add(link)
    return link


def make_attempt(
    exchange: Exchange, host: Any, link: HostConnection, flow: Upload | None
) -> UpstreamAttempt:
    attempt = UpstreamAttempt(b"", b"", exchange.deadline_us, exchange, 0, str(host))
    attempt.upload, attempt.carrier = flow, link
    return attempt
