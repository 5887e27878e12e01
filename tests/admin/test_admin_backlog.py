"""Tests what happens to operators' commands that wait in the admin listener's accept queue."""

import errno
import signal
import subprocess
import sys

import pytest
from backlog_harness import QueuedClient, ScriptedListener, free_address, write_config
from node_harness import NodeHarness, received_text

from orchidgap.admin.protocol import encode_command
from orchidgap.admin.server import AdminServer
from orchidgap.net.addresses import format_address

# A balancer that prints a line before `Node.stop`, and then waits for a line on standard input.
PROGRAM = """
import sys
from orchidgap.__main__ import main
from orchidgap.net.node import Node
stop = Node.stop
def stop_after_input(node):
    print("about to stop", flush=True)
    sys.stdin.readline()
    stop(node)
Node.stop = stop_after_input
sys.argv = ["orchidgap", "serve", f"--config={sys.argv[1]}"]
main()
"""


def start_admin_server(net, failure=lambda: None):
    """Return an admin server that listens on a loopback port, and its address."""
    server = AdminServer(net.loop, {"health": net.node.health})
    server.listen(("127.0.0.1", 0))
    address = server.listener.getsockname()
    server._listener_watch.listener = ScriptedListener(server.listener, failure)
    return server, address


def test_a_command_that_waits_as_the_process_ends_is_answered(tmp_path):
    """A command in the accept queue when the process stops must be answered.

    Closing the listener without accepting it would reset its connection.
    """
    admin = free_address()
    path = write_config(tmp_path, free_address(), admin_addr=format_address(admin))
    with subprocess.Popen(
        [sys.executable, "-c", PROGRAM, path],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
    ) as process:
        assert any(b'"listening"' in line for line in process.stderr)
        process.send_signal(signal.SIGTERM)
        assert process.stdout.readline() == b"about to stop\n"
        client = QueuedClient(admin, encode_command("health"))
        process.stdin.write(b"go on\n")
        process.stdin.flush()
        assert process.wait(20) == 0
        process.stderr.close()
    client.read_available()
    assert client.text == "FAILURE leaving\n", client.outcome()


def test_an_aborted_connection_closes_no_other():
    """`accept` fails with ECONNABORTED while another command has arrived only in part.

    That is no lack of descriptors, so the other connection must not be closed for it.
    """
    net = NodeHarness()
    failures = iter([None, None, OSError(errno.ECONNABORTED, "")])
    server, address = start_admin_server(net, lambda: next(failures, None))
    slow = QueuedClient(address, b"heal")
    net.turn()
    second = QueuedClient(address, encode_command("health"))
    net.turn()
    assert received_text(second.sock) == "SUCCESS serving\n"
    slow.sock.sendall(b"th\n")
    net.turn()
    assert received_text(slow.sock) == "SUCCESS serving\n"
    assert server.connections


@pytest.mark.parametrize("number", [errno.EMFILE, errno.ENFILE])
def test_a_shortage_of_descriptors_does_not_spin(number):
    """No descriptor is left for a waiting connection, so the listener stays ready.

    The server must pause accepting instead of retrying in every turn, and answer the command once a
    descriptor is available.
    """
    net = NodeHarness()
    short = [True]
    server, address = start_admin_server(net, lambda: OSError(number, "") if short else None)
    client = QueuedClient(address, encode_command("health"))
    net.turn(50)
    accept_calls = server.listener.calls
    short.clear()
    net.advance(100_000)
    assert received_text(client.sock) == "SUCCESS serving\n"
    assert accept_calls < 5, f"{accept_calls} calls of accept in 50 turns"
