"""Migration of requests in progress to another process of this balancer.

Such a request is sent with its connections, a message that describes it (see `migration_messages`)
and raw bytes: those that have not been written yet or, of a partial request, those received.
"""

from __future__ import annotations

import socket
from collections.abc import Callable, Iterator
from typing import Any, cast

from orchidgap.http1.client import HostConnectionPool, HostConnectionPools
from orchidgap.http1.host_connection import HostConnection
from orchidgap.http1.messages import MAX_BUFFERED_BODY_BYTES, Message
from orchidgap.http1.migration_messages import (
    PARTIAL_REQUEST,
    STREAMING_RESPONSE,
    STREAMING_UPLOAD,
    StreamingResponse,
    StreamingUpload,
)
from orchidgap.http1.parser_resume import resume_body, resume_request
from orchidgap.http1.server import Http1ClientConnection
from orchidgap.net.addresses import Address
from orchidgap.net.body_stream import Upload
from orchidgap.net.exchange import Exchange
from orchidgap.net.handover.ports import MigratingRequest
from orchidgap.net.loop import READ
from orchidgap.net.node import Node
from orchidgap.net.upstream_attempt import UpstreamAttempt

MAX_RAW_BYTES = 120_000  # raw bytes of a migrated request, as the size of a packet is limited


# --- requests that are sent to another process


def migrating_requests(node: Node) -> Iterator[MigratingRequest]:
    """Yields the requests that can be migrated now, each in its current state."""
    for client in list(node.clients.open_clients):
        assert isinstance(client, Http1ClientConnection)
        migrating = export_request(node, client)
        if migrating and len(migrating.raw) <= MAX_RAW_BYTES:
            yield migrating


def export_request(node: Node, client: Http1ClientConnection) -> MigratingRequest | None:
    """Returns the request of a client, None where it has none that can be migrated now."""
    if not client.conn.is_open or client.conn.closing:
        return None
    if client.reader.pipelined or client.reader.has_excess_data:
        return None
    if client.streaming:
        return export_streaming_response(client)
    if client.upload:
        return export_streaming_upload(node, client)
    was_dispatched = client.pending_request is not None
    is_awaited = client in node.clients.awaiting_request
    if client.request_begun and is_awaited and not was_dispatched:
        return export_partial_request(client)
    return None


def export_partial_request(client: Http1ClientConnection) -> MigratingRequest | None:
    """Returns a request of which a part has arrived and nothing has been forwarded."""
    received = resume_request(client.reader.message)
    if not received:
        return None
    return MigratingRequest([PARTIAL_REQUEST], received, [client.conn.sock], client.detach)


def export_streaming_response(client: Http1ClientConnection) -> MigratingRequest | None:
    """Returns a request whose response is being streamed to its client."""
    exchange = client.pending_request
    if not isinstance(exchange, Exchange) or exchange.streaming_attempt is None:
        return None
    connection = exchange.streaming_attempt.carrier
    if not isinstance(connection, HostConnection) or not connection.conn.is_open:
        return None
    response = connection.reader.message
    unread_data = connection.reader.has_excess_data or response.body_parts
    if unread_data or connection.conn.write_buffer:
        return None
    resume_point = resume_body(response, b"HTTP/%b 200 OK" % response.version.encode())
    if resume_point is None:
        return None
    request = client.reader.message
    content = StreamingResponse(
        exchange.request_id,
        request.version,
        request.keep_alive,
        client.closes_after_stream,
        client.chunked,
        resume_point.text,
        host_of(exchange, connection),
        address_of(connection),
    )
    return MigratingRequest(
        [STREAMING_RESPONSE, content.to_wire()],
        bytes(client.conn.write_buffer),
        [client.conn.sock, connection.conn.sock],
        detach_all(exchange, connection, client),
    )


def export_streaming_upload(node: Node, client: Http1ClientConnection) -> MigratingRequest | None:
    """Returns a request whose body is being streamed to a host, and is not kept here any more."""
    exchange = client.pending_request
    upload = client.upload
    if not isinstance(exchange, Exchange) or exchange.closed:
        return None
    if upload is None or not upload.discarded or upload.complete:
        return None
    connection = upload.sink
    if not isinstance(connection, HostConnection) or not connection.conn.is_open:
        return None
    if connection.conn.connecting or connection.reader.started:
        return None
    request = client.reader.message
    open_attempts = sum(not attempt.settled for attempt in exchange.attempts)
    resume_point = resume_body(request, b"PUT / HTTP/%b" % request.version.encode())
    if resume_point is None or request.body_parts or open_attempts != 1:
        return None
    content = StreamingUpload(
        exchange.request_id,
        exchange.upload_timeout_us(),
        request.body_size,
        request.content_length,
        connection.chunked,
        resume_point.text,
        node.fallback_status(exchange.number),
        host_of(exchange, connection),
        address_of(connection),
    )
    detach = detach_all(exchange, connection, client)

    def detach_and_cancel() -> None:
        detach()
        node.call_decisions(node.balancer.on_client_disconnect, exchange.number)

    return MigratingRequest(
        [STREAMING_UPLOAD, content.to_wire()],
        bytes(connection.conn.write_buffer),
        [client.conn.sock, connection.conn.sock],
        detach_and_cancel,
    )


def detach_all(
    exchange: Exchange, connection: HostConnection, client: Http1ClientConnection
) -> Callable[[], None]:
    """Returns the function to call once the request has been sent to the other process."""

    def detach() -> None:
        exchange.detach()
        connection.detach()
        client.detach()

    return detach


def host_of(exchange: Exchange, connection: HostConnection) -> str:
    """Returns the id of the host on this connection, empty where it is unknown."""
    hosts = (attempt.host for attempt in exchange.attempts if attempt.carrier is connection)
    return next(hosts, "")


def address_of(connection: HostConnection) -> Address:
    """Returns the address of the host on this connection."""
    return cast(HostConnectionPool, connection.pool).address


# --- requests that arrive from another process


def accept_migrated(node: Node, items: list[Any], raw: bytes, socks: list[socket.socket]) -> None:
    """Continues a request from another process.

    Args:
        node: the node that continues the request.
        items: the message: its name and its content.
        raw: the raw bytes that follow the message in its packet.
        socks: the client's connection, and the host's where there is one.

    Raises:
        Exception: the message is invalid (ValueError, TypeError, LookupError or AttributeError);
            all of its connections are closed in that case.
    """
    closers: list[Callable[[], None]] = []  # close the connections that were adopted so far
    try:
        client = add_client(node, socks[0])
        closers.append(client.detach)
        if items[0] == PARTIAL_REQUEST:
            node.clients.await_request(client)
            client.on_data(memoryview(bytearray(raw)))
        elif items[0] == STREAMING_RESPONSE:
            response = StreamingResponse.from_wire(items[1])
            connection = add_host_connection(node, response.host, response.address, socks[1])
            closers.append(connection.close)
            resume_response(node, response, raw, client, connection)
            read_if_open(connection)
        else:
            upload = StreamingUpload.from_wire(items[1])
            connection = add_host_connection(node, upload.host, upload.address, socks[1])
            closers.append(connection.close)
            resume_upload(node, upload, raw, client, connection)
            read_if_open(connection)
        client.conn.on_ready(READ)
    except Exception:
        for close in closers:
            close()
        for sock in socks[len(closers) :]:
            sock.close()
        raise


def read_if_open(connection: HostConnection) -> None:
    """Reads what arrived while the connection was handed over."""
    if connection.conn.is_open:
        connection.conn.on_ready(READ)


def resume_response(
    node: Node,
    response: StreamingResponse,
    unsent: bytes,
    client: Http1ClientConnection,
    connection: HostConnection,
) -> None:
    """Continues a streamed response; `unsent` has not been written to the client yet."""
    exchange = Exchange(
        node,
        node.next_request_number(),
        response.request_id,
        client,
        b"",
        b"",
        0,
        None,
        timed=False,
    )
    attempt = add_attempt(exchange, response.host, connection, None)
    connection.reader.feed(memoryview(bytearray(response.resume_head)))
    connection.reader.message.take_body()
    request = Message()
    request.head_complete = True
    request.complete = True
    request.method = b"GET"
    request.version = response.version
    request.keep_alive = response.keep_alive
    client.reader.message = request
    client.reader.incoming = request
    exchange.attach(attempt, is_streaming=True)
    client.attach_response(
        exchange, connection.conn, response.chunked, response.closes_after_stream, unsent
    )
    connection.response_sink = client
    connection.pool.add_streaming(connection)


def resume_upload(
    node: Node,
    content: StreamingUpload,
    unsent: bytes,
    client: Http1ClientConnection,
    connection: HostConnection,
) -> None:
    """Continues a streamed request body; `unsent` has not been written to the host yet."""
    client.reader.feed(memoryview(bytearray(content.resume_head)))
    request = client.reader.message
    request.take_body()
    request.body_size = content.body_size
    request.content_length = content.content_length
    upload = Upload(client.conn, request.content_length, MAX_BUFFERED_BODY_BYTES)
    upload.discarded = True
    upload.received_bytes = request.body_size
    exchange = Exchange(
        node,
        node.next_request_number(),
        content.request_id,
        client,
        b"",
        b"",
        content.timeout_us,
        upload,
    )
    exchange.fallback_status = content.fallback_status
    attempt = add_attempt(exchange, content.host, connection, upload)
    exchange.attach(attempt, is_streaming=False)
    client.attach_upload(exchange, upload)
    connection.chunked = content.chunked
    connection.conn.on_drained = upload.update_backpressure
    if unsent:
        connection.conn.send(unsent)
    upload.sink = connection
    upload.update_backpressure()


def add_client(node: Node, sock: socket.socket) -> Http1ClientConnection:
    """Adds a client's connection to the node."""
    client = node.clients.make_client(node.clients, sock)
    assert isinstance(client, Http1ClientConnection)
    node.clients.open_clients[client] = None
    node.traffic_counts.connections_adopted += 1
    return client


def add_host_connection(
    node: Node, host: str, address: Address, sock: socket.socket
) -> HostConnection:
    """Adds a host's connection to the pool of its host.

    Uses a new pool that is already retired where the host list does not contain that host, or a
    newer process of it.
    """
    pools = node.pools
    assert isinstance(pools, HostConnectionPools)
    pool = pools.by_host.get(host)
    is_older_process = node.handover.leads_to_older_process(host)
    if pool is None or pool.address != address or is_older_process:
        pool = HostConnectionPool(pools, address)
        pool.retired = True
    connection = HostConnection(pool, sock, None)
    connection.bytes_written_at_start = -1  # so that the attempt counts as written
    connection.received_at_us = node.loop.now
    pool.add(connection)
    return connection


def add_attempt(
    exchange: Exchange, host: str, connection: HostConnection, upload: Upload | None
) -> UpstreamAttempt:
    """Returns a new attempt for the one that was in progress on the connection."""
    attempt = UpstreamAttempt(b"", b"", exchange.deadline_us, exchange, 0, host)
    attempt.upload = upload
    attempt.carrier = connection
    connection.attempt = attempt
    return attempt
