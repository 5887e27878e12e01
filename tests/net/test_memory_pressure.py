"""Memory that connections hold: what is buffered by default, and what while memory is short."""

from node_harness import NodeHarness, received_text
from streaming_scenarios import held_bytes, received_bytes, shrink_send_buffers

from orchidgap.http1.messages import MAX_BUFFERED_BODY_BYTES
from orchidgap.http1.readers import MAX_PIPELINED_BODY_BYTES
from orchidgap.net.loop import READ_BUFFER_BYTES
from orchidgap.net.memory_pressure import BYTES_PER_MB, SHORT_BUFFER_BYTES, resident_bytes

MEDIUM_BYTES = 2 * SHORT_BUFFER_BYTES  # is buffered only while memory is not short


def node_with_memory_in_use(megabytes):
    net = NodeHarness(1, memory=100)
    net.node.memory_pressure.measure = lambda: megabytes * BYTES_PER_MB
    return net


def get(number):
    return (
        f"GET /read/k{number} HTTP/1.1\r\nRequest-Id: r{number}\r\nTenant: small\r\n"
        "Request-Timeout: 9\r\n\r\n"
    )


def put(size):
    return (
        "PUT /mark/k1 HTTP/1.1\r\nRequest-Id: r1\r\nIdempotency-Key: m1\r\nTenant: small\r\n"
        f"Request-Timeout: 9\r\nContent-Length: {size}\r\n\r\n"
    )


def test_half_a_body_is_buffered_and_streamed_while_memory_is_short():
    # Half bodies of hundreds of clients were buffered up to 64 KB each.
    for used_mb, is_streamed in ((60, False), (90, True)):
        net = node_with_memory_in_use(used_mb)
        client = net.client(put(MEDIUM_BYTES).encode())
        net.send_and_turn(client, "v" * (MEDIUM_BYTES // 2))
        assert bool(net.host_sockets()) == is_streamed
        net.send_and_turn(client, "v" * (MEDIUM_BYTES // 2))
        text = received_text(net.host_socket())
        assert text.endswith("v" * MEDIUM_BYTES) and "PUT /mark/k1" in text
        net.answer_from_host(net.host_socket())
        assert received_text(client).startswith("HTTP/1.1 200")


def test_half_an_answer_is_buffered_and_streamed_while_memory_is_short():
    for used_mb, is_streamed in ((60, False), (90, True)):
        net = node_with_memory_in_use(used_mb)
        client = net.send_request()
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {MEDIUM_BYTES}\r\n\r\n"
        net.send_and_turn(net.host_socket(), head + "v" * (MEDIUM_BYTES // 2))
        begun = received_text(client)
        assert (begun is not None) == is_streamed
        net.send_and_turn(net.host_socket(), "v" * (MEDIUM_BYTES // 2))
        text = (begun or "") + received_text(client)
        assert text.startswith("HTTP/1.1 200") and text.endswith("v" * MEDIUM_BYTES)


def test_answers_to_a_client_that_reads_nothing_do_not_pile_up():
    # A client that pipelined requests and read no answer had up to 2 MB of them buffered.
    net = NodeHarness(1)
    client = net.client()
    [connection] = net.node.clients.open_clients
    shrink_send_buffers(connection.conn.sock)
    net.send_and_turn(client, "".join(get(number) for number in range(8)))
    body = "v" * (MAX_BUFFERED_BODY_BYTES - 1_000)
    for _ in range(8):
        for far in net.host_sockets():
            if received_text(far):
                net.answer_from_host(far, body=body)
    assert held_bytes(net) <= MAX_BUFFERED_BODY_BYTES
    received = ""
    while received.count("HTTP/1.1 200") < 8 or not received.endswith(body):
        received += received_text(client) or ""
        net.turn()
        for far in net.host_sockets():
            if received_text(far):
                net.answer_from_host(far, body=body)
        assert held_bytes(net) <= MAX_BUFFERED_BODY_BYTES + READ_BUFFER_BYTES
    assert len(received) > 8 * len(body)


def test_requests_behind_unread_answers_are_answered_as_the_process_ends():
    net = NodeHarness(1)
    client = net.client()
    [connection] = net.node.clients.open_clients
    shrink_send_buffers(connection.conn.sock)
    net.send_and_turn(client, get(0) + get(1) + get(2))
    body = "v" * (MAX_BUFFERED_BODY_BYTES - 1_000)
    received_text(net.host_socket())
    net.answer_from_host(net.host_socket(), body=body)
    assert connection.conn.write_buffer and not connection.pending_request
    net.node.clients.deny_waiting()
    text = ""
    while part := received_text(client):
        text += part
        net.turn()
    assert text.count("HTTP/1.1 200") == 1 and text.count("HTTP/1.1 503") == 2


def test_a_body_behind_a_waiting_request_is_left_unread():
    # A large body behind a request that waits was buffered whole, up to 40 MB.
    net = NodeHarness(1)
    client = net.client(get(0).encode() + put(1_000_000).encode())
    rest = b"v" * 1_000_000
    for _ in range(30):
        rest = send_what_fits(client, rest)
        net.turn()
    [connection] = net.node.clients.open_clients
    assert connection.conn.read_paused
    buffered = sum(message.body_size for message in connection.reader.pipelined)
    assert buffered <= MAX_PIPELINED_BODY_BYTES + READ_BUFFER_BYTES
    net.answer_all()
    stored = 0
    while stored < 1_000_000:
        rest = send_what_fits(client, rest)
        net.turn()
        stored += sum((received_bytes(far) or b"").count(b"v") for far in net.host_sockets())
    assert received_text(client).startswith("HTTP/1.1 200"), "the answer to the first request"


def send_what_fits(client, rest):
    try:
        return rest[client.send(rest) :] if rest else rest
    except BlockingIOError:
        return rest


def test_the_resident_size_is_known():
    assert resident_bytes() > BYTES_PER_MB


def test_short_memory_is_logged_once_and_its_end_too():
    # No log line told that a process was near its limit before it was killed.
    net, used_mb = node_with_memory_in_use(90), [90]
    net.node.memory_pressure.watch(lambda: used_mb[0] * BYTES_PER_MB, net.node.on_memory_pressure)
    net.advance(3_000_000)
    assert [line for line in net.log.lines if "memory" in line] == ["memory short"]
    used_mb[0] = 60
    net.advance(3_000_000)
    assert [line for line in net.log.lines if "memory" in line][1:] == ["memory sufficient"]
