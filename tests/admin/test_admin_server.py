"""Tests that each command gets one line in answer, and that nothing can block operators."""

import socket

import pytest
from node_harness import NodeHarness, received_text

from orchidgap.admin.protocol import MAX_COMMAND_BYTES
from orchidgap.admin.server import MAX_CONNECTIONS, AdminServer

UP = b"GET /up HTTP/1.1\r\n\r\n"


def admin_server(net):
    return AdminServer(
        net.loop,
        {
            "health": net.node.health,
            "quiesce": net.node.drain,
            "resume": net.node.resume,
            "watch": net.node.shadow_report,
        },
    )


def connect(net, server, text=b""):
    server_end, client_end = socket.socketpair()
    client_end.setblocking(False)
    net.open_sockets.append(client_end)
    client_end.sendall(text)
    server.accept(server_end)
    net.turn()
    return client_end


def send_command(net, server, text):
    return received_text(connect(net, server, text + b"\n"))


def test_a_drain_and_its_end_by_commands():
    net = NodeHarness()
    server = admin_server(net)
    assert send_command(net, server, b"health") == "SUCCESS serving\n"
    assert send_command(net, server, b"watch") == "FAILURE nothing is watched\n"
    assert send_command(net, server, b"quiesce") == "SUCCESS draining\n"
    assert send_command(net, server, b"quiesce") == "SUCCESS draining\n"
    assert send_command(net, server, b"health") == "FAILURE draining\n"
    assert received_text(net.client(UP)).startswith("HTTP/1.1 503")
    net.advance(1_100_000)
    assert send_command(net, server, b"health") == "FAILURE drained\n"
    assert send_command(net, server, b"resume") == "SUCCESS serving\n"
    assert send_command(net, server, b"resume") == "SUCCESS serving\n"
    assert received_text(net.client(UP)).startswith("HTTP/1.1 200")
    net.node.begin_shutdown()
    assert send_command(net, server, b"quiesce") == "SUCCESS leaving\n"
    assert send_command(net, server, b"resume") == "FAILURE leaving\n"
    assert send_command(net, server, b"health") == "FAILURE leaving\n"


@pytest.mark.parametrize(
    ("text", "answer"),
    [
        (b"health\r\n", "SUCCESS serving\n"),
        (b"  health \n", "SUCCESS serving\n"),
        (b"health\nquiesce\n", "SUCCESS serving\n"),
        (b"\n", "FAILURE no such call: ''; known are health, quiesce, resume, watch\n"),
        (b"HEALTH\n", "FAILURE no such call: 'HEALTH'; known are health, quiesce, resume, watch\n"),
        (
            b"\x00\xff\x1b[2J\n",
            "FAILURE no such call: '???[2J'; known are health, quiesce, resume, watch\n",
        ),
        (
            b"x" * MAX_COMMAND_BYTES + b"\n",
            "FAILURE no such call: '" + "x" * 32 + "'; known are health, quiesce, resume, watch\n",
        ),
        (b"x" * (MAX_COMMAND_BYTES + 1), "FAILURE the call is too long\n"),
        (b"x" * 50_000, "FAILURE the call is too long\n"),
    ],
)
def test_every_input_gets_one_line_and_is_closed(text, answer):
    """A client may send anything: control characters must not reach the operator's terminal."""
    net = NodeHarness()
    server = admin_server(net)
    client_end = connect(net, server, text)
    assert received_text(client_end) == answer and received_text(client_end) == "", (
        "one line, and nothing after it"
    )
    client_end.close()
    net.turn()
    assert not server.connections and not server.waiting


def test_a_command_in_pieces():
    """The network may split a command into single bytes."""
    net = NodeHarness()
    client_end = connect(net, server := admin_server(net))
    for piece in "health\n":
        assert received_text(client_end) is None
        net.send_and_turn(client_end, piece)
    assert received_text(client_end) == "SUCCESS serving\n" and not server.waiting


def test_a_hundred_silent_connections_block_no_operator():
    """Connections that send no complete command must not block operators."""
    net = NodeHarness()
    server = admin_server(net)
    silent = [connect(net, server, b"heal" if i % 2 else b"") for i in range(100)]
    assert len(server.connections) == MAX_CONNECTIONS, "descriptors are bounded"
    for _ in range(3):
        assert send_command(net, server, b"health") == "SUCCESS serving\n"
    assert received_text(silent[-1]) is None, "the newest connection is replaced last"
    net.send_and_turn(silent[-1], "th\n")
    assert received_text(silent[-1]) == "SUCCESS serving\n"
    net.advance(10_100_000)
    assert not server.waiting and received_text(silent[-2]) == "FAILURE no whole call came\n"


def test_the_admin_listener_is_served_before_clients():
    """A socket watched with `priority` is called before all others that are ready in a turn."""
    net = NodeHarness()
    order, pairs = [], [socket.socketpair() for _ in range(20)]
    for number, (server_end, client_end) in enumerate(pairs):
        client_end.send(b"x")
        net.loop.watch(
            server_end, 1, lambda mask, number=number: order.append(number), priority=number == 13
        )
    net.loop.run_once(0)
    assert len(order) == 20 and order[0] == 13
    for server_end, client_end in pairs:
        net.loop.unwatch(server_end)
        server_end.close()
        client_end.close()


@pytest.mark.parametrize("waiting", [1, MAX_CONNECTIONS + 3])
def test_a_command_that_waits_as_the_process_ends_is_answered(waiting):
    """Commands that arrived as the listener closed had their connections reset."""
    net = NodeHarness()
    server = admin_server(net)
    server.listen(("127.0.0.1", 0))
    address = server.listener.getsockname()
    clients = [socket.create_connection(address, 10) for _ in range(waiting)]
    for client in clients:
        client.sendall(b"health\n")
    server.close()
    assert [client.recv(100) for client in clients] == [b"SUCCESS serving\n"] * waiting
    with pytest.raises(ConnectionRefusedError):
        socket.create_connection(address, 10)
