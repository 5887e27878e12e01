"""The client of control's RPC: answers, timeouts and closed connections."""

import socket

import pytest
from rpc_pair import TIMEOUT_US

from orchidgap.control import rpc_client
from orchidgap.control.messages import (
    CHECK,
    REGISTER,
    SETTLE,
    CheckAnswer,
    CheckRequest,
    EmptyMessage,
    MemberRequest,
)
from orchidgap.control.rpc_client import RpcClient


def test_a_call_is_answered_and_its_connection_is_reused(rpc_pair):
    """Two consecutive calls are answered on the same connection."""
    request = MemberRequest(name="b", incarnation="1")
    assert rpc_pair.client.call_and_wait(REGISTER, request) == EmptyMessage()
    assert rpc_pair.client.call_and_wait(REGISTER, request) == EmptyMessage()
    assert len(rpc_pair.client.connections) == 1 and len(rpc_pair.server.connections) == 1


def test_a_process_that_cannot_answer_gives_no_answer(rpc_pair):
    """A control process has lost its register and answers that it cannot handle the call."""
    assert rpc_pair.client.call_and_wait(REGISTER, MemberRequest(name="", incarnation="1")) is None
    assert rpc_pair.client.call_and_wait(SETTLE, EmptyMessage()) is None  # has no handler


def test_a_late_answer_counts_as_none(rpc_pair):
    """A process is stopped during a call. The caller gets no answer at the timeout, and the late answer is
    ignored."""
    answers, rpc_pair.client.timeout_us = [], 50_000
    rpc_pair.client.call(CHECK, CheckRequest(document={}), answers.append)
    rpc_pair.run_until(lambda: answers and rpc_pair.pending)
    assert answers == [None] and not rpc_pair.client.connections
    rpc_pair.pending.pop()(CheckAnswer(reason="late"))
    rpc_pair.loop.run_once(0)
    assert answers == [None]


def test_an_address_without_a_listener_gives_no_answer(rpc_pair):
    """The called process is not running."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        address = listener.getsockname()
    client = RpcClient(rpc_pair.loop, address, TIMEOUT_US)
    assert client.call_and_wait(REGISTER, MemberRequest(name="b", incarnation="1")) is None


def test_concurrent_calls_are_limited(rpc_pair):
    """A slow process is called repeatedly. Calls over the limit fail immediately."""
    answers = []
    for _ in range(rpc_client.MAX_CONNECTIONS + 1):
        rpc_pair.client.call(CHECK, CheckRequest(document={}), answers.append)
    rpc_pair.run_until(lambda: len(rpc_pair.pending) == rpc_client.MAX_CONNECTIONS)
    assert answers == [None]
    for on_answer in rpc_pair.pending:
        on_answer(CheckAnswer(reason="x"))
    rpc_pair.run_until(lambda: len(answers) == rpc_client.MAX_CONNECTIONS + 1)
    assert answers[1:] == [CheckAnswer(reason="x")] * rpc_client.MAX_CONNECTIONS


def test_a_closed_client_calls_no_callbacks(rpc_pair):
    """A process shuts down while its calls are in progress. Their callbacks are not called."""
    answers = []
    rpc_pair.client.call(CHECK, CheckRequest(document={}), answers.append)
    rpc_pair.run_until(lambda: rpc_pair.pending)
    rpc_pair.client.close()
    rpc_pair.run_until(lambda: not rpc_pair.server.connections)
    assert not answers and not rpc_pair.client.connections


@pytest.mark.parametrize(
    "body",
    [b"{", b"[]", b"7", b"{}", b'{"why":', b"null"],
)
def test_an_invalid_answer_counts_as_none(rpc_pair, body):
    """The server is not a control process, or the answer is damaged. It counts as no answer."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        client, answers = RpcClient(rpc_pair.loop, listener.getsockname(), TIMEOUT_US), []
        client.call(CHECK, CheckRequest(document={}), answers.append)
        sock, _ = listener.accept()
        with sock:
            head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
            sock.sendall(head + body)
            rpc_pair.run_until(lambda: answers)
        client.close()
    assert answers == [None]


def test_a_probe_reports_whether_the_status_is_200(rpc_pair):
    """A fault test probes whether a balancer is up; the answer is 200 without a body, or 503."""
    for status, is_up in ((b"200 OK", True), (b"503 Service Unavailable", False)):
        with socket.create_server(("127.0.0.1", 0)) as listener:
            client, answers = RpcClient(rpc_pair.loop, listener.getsockname(), TIMEOUT_US), []
            client.probe("/up", answers.append)
            sock, _ = listener.accept()
            with sock:
                sock.sendall(b"HTTP/1.1 %b\r\nContent-Length: 0\r\n\r\n" % status)
                rpc_pair.run_until(lambda answers=answers: answers)
                assert sock.recv(1 << 10).startswith(b"GET /up HTTP/1.1\r\n")
            client.close()
        assert answers == [is_up]
