"""The server of control's RPC: rejected calls, order of calls, and closed connections."""

import socket

import pytest

from orchidgap.control import rpc_server
from orchidgap.control.messages import CheckAnswer
from orchidgap.control.rpc_server import UnknownCallError


def request(path, body, verb=b"PUT"):
    return b"%b %b HTTP/1.1\r\nHost: control\r\nContent-Length: %d\r\n\r\n%b" % (
        verb,
        path,
        len(body),
        body,
    )


@pytest.mark.parametrize(
    ("text", "status", "reason"),
    [
        (request(b"/nowhere", b"{}"), b"404 Not Found", b"no such call: /nowhere"),
        (request(b"/join", b"[]"), b"400 Bad Request", b"no such call: /join"),
        (request(b"/join", b'{"name":"b"}'), b"400 Bad Request", b"bad call: KeyError('life')"),
        (request(b"/join", b"{"), b"400 Bad Request", b"bad call: JSONDecodeError("),
        (b"nonsense\r\n\r\n", b"400 Bad Request", b"malformed"),
    ],
)
def test_an_invalid_call_is_rejected_with_the_reason(rpc_pair, text, status, reason):
    """A manual call to control is invalid. The answer contains the reason."""
    answer = rpc_pair.send_and_receive(text)
    assert answer.startswith(b"HTTP/1.1 " + status + b"\r\n")
    assert b'{"why":"' + reason in answer


def test_calls_on_one_connection_are_answered_one_after_another(rpc_pair):
    """A second call arrives on a connection before the first is answered. It starts after that answer."""
    register = request(b"/join", b'{"name":"b","life":"1"}')
    with socket.create_connection(rpc_pair.server.listener.getsockname()) as sock:
        sock.sendall(request(b"/check", b'{"doc":{}}'))
        rpc_pair.run_until(lambda: rpc_pair.pending)
        sock.sendall(register)
        for _ in range(5):
            rpc_pair.loop.run_once(1_000)
        assert len(rpc_pair.pending) == 1
        sock.setblocking(False)
        with pytest.raises(BlockingIOError):
            sock.recv(1 << 16)
        rpc_pair.pending.pop()(CheckAnswer(reason=""))
        for _ in range(5):
            rpc_pair.loop.run_once(1_000)
        answers = sock.recv(1 << 16)
    assert answers.count(b"HTTP/1.1 200 OK") == 2
    assert answers.index(b'{"why":""}') < answers.index(b"{}")


def test_a_connection_that_sends_too_many_calls_at_once_is_closed(rpc_pair):
    """A client sends calls without waiting for answers. The connection is closed, so calls do not accumulate."""
    answer = rpc_pair.send_and_receive(
        request(b"/check", b'{"doc":{}}') * (rpc_server.MAX_PIPELINED + 2)
    )
    assert answer == b"<closed>" and not rpc_pair.server.connections


def test_the_longest_idle_connection_is_evicted(rpc_pair, monkeypatch):
    """More clients connect than a control process allows. The connection that was idle longest is closed."""
    monkeypatch.setattr(rpc_server, "MAX_CONNECTIONS", 2)
    address = rpc_pair.server.listener.getsockname()
    socks = []
    for count in range(1, 4):
        socks.append(socket.create_connection(address))
        rpc_pair.run_until(lambda count=count: len(rpc_pair.server.connections) == min(count, 2))
        rpc_pair.loop.run_once(2_000)
    rpc_pair.run_until(lambda: len(rpc_pair.server.connections) == 2)
    socks[0].settimeout(1)
    assert socks[0].recv(1) == b""
    for sock in socks:
        sock.close()


def test_an_idle_connection_is_closed_after_a_minute(rpc_pair):
    """A client keeps a connection without sending calls. It is closed after a minute; the test moves back its
    last activity instead of waiting."""
    with socket.create_connection(rpc_pair.server.listener.getsockname()) as sock:
        rpc_pair.run_until(lambda: rpc_pair.server.connections)
        (connection,) = rpc_pair.server.connections
        connection.last_active_us -= rpc_server.IDLE_TIMEOUT_US + 1
        rpc_pair.server._close_idle()
        sock.settimeout(1)
        assert sock.recv(1) == b"" and not rpc_pair.server.connections


def test_dispatch_raises_for_an_unknown_path(rpc_pair):
    """A process that calls itself with an unknown path gets an error, as other callers do."""
    with pytest.raises(UnknownCallError) as caught:
        rpc_pair.server.dispatch("/nowhere", {}, lambda answer: None)
    assert (caught.value.status, caught.value.path) == (404, "/nowhere")
