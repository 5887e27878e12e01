"""The answering side of control's RPC: what is refused, in which order calls go, who is closed."""

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
def test_a_bad_call_is_refused_with_its_reason(rpc_pair, text, status, reason):
    """Somebody calls control by hand, and wrongly. The answer says what is wrong."""
    answer = rpc_pair.send_and_receive(text)
    assert answer.startswith(b"HTTP/1.1 " + status + b"\r\n")
    assert b'{"why":"' + reason in answer


def test_calls_on_one_connection_are_answered_one_after_another(rpc_pair):
    """A second call comes on a connection before the first is answered. It begins after that."""
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
    """Somebody sends call upon call without waiting. The connection is closed, and nothing piles up."""
    answer = rpc_pair.send_and_receive(
        request(b"/check", b'{"doc":{}}') * (rpc_server.MAX_PIPELINED + 2)
    )
    assert answer == b"<closed>" and not rpc_pair.server.connections


def test_the_connection_that_was_idle_longest_makes_way(rpc_pair, monkeypatch):
    """More connections come than a control process holds. The one that was idle longest is closed."""
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


def test_a_connection_that_asks_nothing_is_closed_after_a_minute(rpc_pair):
    """A client keeps a connection and asks nothing. It is closed after a minute, as time has it here."""
    with socket.create_connection(rpc_pair.server.listener.getsockname()) as sock:
        rpc_pair.run_until(lambda: rpc_pair.server.connections)
        (connection,) = rpc_pair.server.connections
        connection.last_active_us -= rpc_server.IDLE_TIMEOUT_US + 1
        rpc_pair.server._close_idle()
        sock.settimeout(1)
        assert sock.recv(1) == b"" and not rpc_pair.server.connections


def test_a_call_that_nobody_handles_is_an_error_for_who_dispatches(rpc_pair):
    """A process that calls itself is told of an unknown path, like everybody else."""
    with pytest.raises(UnknownCallError) as caught:
        rpc_pair.server.dispatch("/nowhere", {}, lambda answer: None)
    assert (caught.value.status, caught.value.path) == (404, "/nowhere")
