"""The accept queue of control's RPC: calls that are queued there when `accept` fails."""

import errno

from backlog_harness import QueuedClient, ScriptedListener
from node_harness import NodeHarness, received_text

from orchidgap.control.rpc_server import RpcServer

CALL = b"POST /none HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}"


def listening(net, failure):
    """An RPC server on a loopback port, and its address."""
    server = RpcServer(net.loop)
    server.listen(("127.0.0.1", 0))
    address = server.listener.getsockname()
    server._listener_watch.listener = ScriptedListener(server.listener, failure)
    return server, address


def test_an_aborted_connection_does_not_block_the_queue():
    """`accept` fails with ECONNABORTED for one queued connection. The call behind it is answered."""
    net = NodeHarness()
    failures = iter([OSError(errno.ECONNABORTED, "")])
    _, address = listening(net, lambda: next(failures, None))
    client = QueuedClient(address, CALL)
    net.turn()
    assert received_text(client.sock).startswith("HTTP/1.1 404")


def test_a_shortage_of_descriptors_does_not_cause_a_busy_loop():
    """No file descriptor is available for a caller's connection. The listener pauses instead of calling
    `accept` in every turn, and the call is answered once there is a descriptor.
    """
    net = NodeHarness()
    short = [True]
    server, address = listening(net, lambda: OSError(errno.EMFILE, "") if short else None)
    client = QueuedClient(address, CALL)
    net.turn(50)
    accept_calls = server.listener.calls
    short.clear()
    net.advance(100_000)
    assert received_text(client.sock).startswith("HTTP/1.1 404")
    assert accept_calls < 5, f"accept called {accept_calls} times in 50 turns"
