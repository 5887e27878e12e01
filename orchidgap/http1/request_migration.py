"""Reqs under way that go over to another process of this balancer: what is sent with their connections, and
how they go on there."""

from __future__ import annotations

import socket
from collections.abc import Iterator
from typing import Any

from orchidgap.http1.client import Hosts, Link, Pool
from orchidgap.http1.messages import MAX_BUFFERED_BODY_BYTES, Message
from orchidgap.http1.parser_resume import resume_body, resume_request
from orchidgap.http1.server import Client
from orchidgap.net.body_stream import Upload
from orchidgap.net.exchange import Exchange
from orchidgap.net.handover import MigratingRequest
from orchidgap.net.loop import READ
from orchidgap.net.node import Node
from orchidgap.net.upstream_attempt import UpstreamAttempt

MOST = 120_000  # bytes that still wait to be written, with which one goes


def under_way(node: Node) -> Iterator[MigratingRequest]:
    """Those that can go now, each as it stands."""
    for client in list(node.clients.open_clients):
        assert isinstance(client, Client)
        if (
            not client.conn.is_open
            or client.conn.closing
            or client.reader.pipelined
            or client.reader.has_excess_data
        ):
            continue
        if client.giving:
            moving = giving(node, client)
        elif client.flow:
            moving = flowing(node, client)
        elif (
            client.request_begun
            and not client.pending_request
            and client in node.clients.awaiting_request
        ):
            moving = begun(client)
        else:
            continue
        if moving and len(moving.raw) <= MOST:
            yield moving


def begun(client: Client) -> MigratingRequest | None:
    """A req that has come in part, and that nobody has been asked for."""
    text = resume_request(client.reader.message)
    return MigratingRequest(["begun"], text, [client.conn.sock], client.close) if text else None


def giving(node: Node, client: Client) -> MigratingRequest | None:
    """An answer that flows to its client."""
    exchange = client.pending_request
    link = (
        exchange.streaming_attempt.carrier
        if isinstance(exchange, Exchange) and exchange.streaming_attempt
        else None
    )
    if (
        not isinstance(exchange, Exchange)
        or not isinstance(link, Link)
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
        "last": client.last,
        "chunked": client.chunked,
        "head": rest[0].decode("latin-1"),
        **place_of(exchange, link),
    }

    def let_go() -> None:
        exchange.detach()
        link.let_go()
        client.let_go()

    return MigratingRequest(
        ["answer", told],
        bytes(client.conn.write_buffer),
        [client.conn.sock, link.conn.sock],
        let_go,
    )


def flowing(node: Node, client: Client) -> MigratingRequest | None:
    """A req whose body flows to a host, and is kept no more."""
    exchange, flow = client.pending_request, client.flow
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
        not isinstance(link, Link)
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
        **place_of(exchange, link),
    }

    def let_go() -> None:
        exchange.detach()
        link.let_go()
        client.let_go()
        node.call_decisions(node.balancer.on_client_gone, exchange.number)

    return MigratingRequest(
        ["upload", told], bytes(link.conn.write_buffer), [client.conn.sock, link.conn.sock], let_go
    )


def place_of(exchange: Exchange, link: Link) -> dict[str, Any]:
    host = next((attempt.host for attempt in exchange.attempts if attempt.carrier is link), "")
    return {"host": host, "at": link.pool.address}


def arrives(node: Node, words: list[Any], raw: bytes, socks: list[socket.socket]) -> None:
    """One of them, with its connections. Raises ValueError and the like where it makes no sense, and closes
    both then."""
    ends: list[Client | Link] = []
    try:
        client = enter(node, socks[0])
        ends.append(client)
        if words[0] == "begun":
            node.clients.await_request(client)
            client.received(memoryview(bytearray(raw)))
        else:
            link = link_to(node, words[1]["host"], words[1]["at"], socks[1])
            ends.append(link)
            go_on(node, words, raw, client, link)
            if link.conn.is_open:
                link.conn.on_ready(READ)
        client.conn.on_ready(READ)
    except Exception:
        for end in ends:
            end.close()
        for sock in socks[len(ends) :]:
            sock.close()
        raise


def go_on(node: Node, words: list[Any], raw: bytes, client: Client, link: Link) -> None:
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
        attempt = link.attempt = attempt_of(exchange, told["host"], link, None)
        link.reader.feed(head)
        link.reader.message.take_body()
        message = client.reader.message = client.reader.incoming = Message()
        message.head_complete = message.complete = True
        message.method, message.version, message.keep_alive = (
            b"GET",
            str(told["version"]),
            bool(told["lasts"]),
        )
        exchange.attach(attempt, is_streaming=True)
        client.go_on_giving(exchange, link.conn, bool(told["chunked"]), bool(told["last"]), raw)
        link.taker = client
        link.pool.pools.flows[link] = None
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
        attempt = link.attempt = attempt_of(exchange, told["host"], link, flow)
        exchange.attach(attempt, is_streaming=False)
        client.go_on_flowing(exchange, flow)
        link.chunked, link.conn.on_drained = bool(told["chunked"]), flow.update_backpressure
        if raw:
            link.conn.send(raw)
        flow.sink = link
        flow.update_backpressure()


def enter(node: Node, sock: socket.socket) -> Client:
    client = node.clients.make_client(node.clients, sock)
    assert isinstance(client, Client)
    node.clients.open_clients[client] = None
    return client


def link_to(node: Node, host: Any, at: Any, sock: socket.socket) -> Link:
    """In the pool of its host; in one that nothing else is sent on, where the list knows no such host."""
    hosts, address = node.pools, (str(at[0]), int(at[1]))
    assert isinstance(hosts, Hosts)
    pool = hosts.by_host.get(str(host))
    if pool is None or pool.address != address:
        pool = Pool(hosts, address)
        pool.retired = True
    link = Link(pool, sock, None)
    link.start = -1  # it has been written on
    link.heard_at = node.loop.now
    pool.add(link)
    return link


def attempt_of(exchange: Exchange, host: Any, link: Link, flow: Upload | None) -> UpstreamAttempt:
    attempt = UpstreamAttempt(b"", b"", exchange.deadline_us, exchange, 0, str(host))
    attempt.upload, attempt.carrier = flow, link
    return attempt
