"""What a process tells of each connection that it closes: without it a client can't show that its request was not read."""

import select

import orjson
import pytest
from loopback_harness import (
    RESET,
    LoopbackHarness,
    received_or_reset,
    request_text,
    wait_until_readable,
)

from orchidgap.http1.server import Http1ClientConnection
from orchidgap.net.client_table import RECENT_CONNECTION_US, REQUEST_TIMEOUT_US
from orchidgap.net.connection_log import (
    CONNECTION_CLOSED,
    CONNECTION_LOG_VARIABLE,
    ConnectionLog,
    log_connections_if_enabled,
    monotonic_us,
)
from orchidgap.net.traffic_counts import ConnectionEnd
from orchidgap.simulation.close_records import LoggedCloseRecords
from orchidgap.simulation.request_end import (
    ConnectionEndFacts,
    ProcessEnd,
    RequestEnd,
    classify_request_end,
)


class Lines:
    def __init__(self):
        self.told = []

    def __call__(self, event, **facts):
        orjson.dumps(facts)
        self.told.append((event, facts))


@pytest.fixture
def net():
    harness = LoopbackHarness(1)
    harness.lines = Lines()
    connection_log = ConnectionLog(harness.lines)
    harness.node.clients.on_closing = connection_log.on_closing
    harness.node.clients.on_half_closed_unread = connection_log.on_half_closed_unread
    return harness


def only_client(net):
    (client,) = net.node.clients.open_clients
    return client


def last_line(net):
    event, facts = net.lines.told[-1]
    assert event == CONNECTION_CLOSED
    return facts


def test_a_connection_that_asked_nothing_is_told_with_nothing_read(net):
    far = net.connect_client()
    net.turn()
    before_us = monotonic_us()
    only_client(net).close(ConnectionEnd.SILENT)
    facts = last_line(net)
    assert facts["peer"] == far.getsockname()
    assert before_us <= facts["closed_us"] <= monotonic_us()
    assert (facts["end"], facts["read"], facts["answered"], facts["unread"]) == ("silent", 0, 0, 0)


def test_a_request_that_was_read_and_not_answered_is_told(net):
    net.connect_client(request_text("k1"))
    net.turn()
    only_client(net).close(ConnectionEnd.SHUTDOWN)
    assert (last_line(net)["read"], last_line(net)["answered"]) == (1, 0)


def test_a_request_that_was_read_in_part_or_waits_behind_another_is_told(net):
    net.connect_client(request_text("k1") + request_text("k2", id="b2") + b"GET /re")
    net.turn()
    only_client(net).close(ConnectionEnd.SHUTDOWN)
    assert (last_line(net)["read"], last_line(net)["answered"]) == (3, 0)


def test_requests_that_were_answered_are_told_once_as_the_connection_is_shut(net):
    far = net.connect_client(request_text("k1"))
    net.turn()
    net.answer_from_host(net.host_socket())
    assert "200" in received_or_reset(far)
    only_client(net).finish()
    only_client(net).close(ConnectionEnd.FINISHED)
    assert len(net.lines.told) == 1
    facts = last_line(net)
    assert (facts["end"], facts["read"], facts["answered"]) == ("finished", 1, 1)


def test_bytes_that_came_and_were_not_read_are_told(net):
    far = net.connect_client()
    net.turn()
    net.send_more(far, request_text())
    only_client(net).close(ConnectionEnd.SILENT)
    assert (last_line(net)["read"], last_line(net)["unread"]) == (0, True)


def test_a_connection_that_its_client_closed_is_not_told(net):
    far = net.connect_client()
    net.turn()
    net.close_client(far)
    net.turn()
    assert not net.node.clients.open_clients and not net.lines.told


@pytest.mark.parametrize("asked", [False, True])
def test_a_process_tells_of_connections_only_where_it_is_asked_to(asked, monkeypatch):
    monkeypatch.delenv(CONNECTION_LOG_VARIABLE, raising=False)
    if asked:
        monkeypatch.setenv(CONNECTION_LOG_VARIABLE, "1")
    listener = LoopbackHarness(1).node.clients
    log_connections_if_enabled(listener, Lines())
    assert (listener.on_closing is not None) is asked
    assert (listener.on_half_closed_unread is not None) is asked


def test_a_request_that_comes_as_its_connection_is_to_make_way_is_answered(net, monkeypatch):
    # it came behind the look that found the connection quiet, and was reset unread
    far = net.connect_client()
    net.turn()
    only_client(net).since_us -= RECENT_CONNECTION_US  # who came since makes no way
    is_idle = Http1ClientConnection.is_idle

    def ask_behind_look(client):
        was_idle = is_idle(client)
        if was_idle:
            net.send_more(far, request_text())
        return was_idle

    monkeypatch.setattr(Http1ClientConnection, "is_idle", ask_behind_look)
    assert not net.node.clients.close_unneeded()
    assert not net.lines.told
    net.answer_from_host(net.host_socket())
    assert "200" in received_or_reset(far)


def test_a_silent_client_whose_request_comes_in_the_moment_of_its_close_is_answered(net):
    far = net.connect_client()
    net.turn()
    net.send_more(far, request_text())
    only_client(net).since_us -= REQUEST_TIMEOUT_US
    net.node.clients.close_stalled()
    net.answer_from_host(net.host_socket())
    assert "200" in received_or_reset(far)


def test_a_close_counts_from_the_look_that_it_rests_on(net):
    # a process may get no core between its look and its close: what comes then crosses the end
    net.connect_client()
    net.turn()
    before_us = monotonic_us()
    assert only_client(net).close_unless_unread(ConnectionEnd.SHUTDOWN)
    facts = last_line(net)
    assert facts["end"] == "shutdown"
    assert not facts["unread"]
    assert facts["closed_us"] >= before_us - 1_000


# --- a request that meets the end of a resting connection


class Crossing:
    """A client whose connection rests, and that asks once more at a moment of the end."""

    def __init__(self, net, folder):
        self.net, self.path = net, folder / "b0.log"
        self.far = net.connect_client(request_text("k1"))
        net.turn()
        net.answer_from_host(net.host_socket())
        assert "200" in received_or_reset(self.far)
        assert "/read/k1" in net.next_host_request()[0]
        self.wrote_us, self.written_us, self.was_closed_at_write = 0, 0, False
        offset_us = net.now - monotonic_us()
        net.loop.clock = lambda: monotonic_us() + offset_us  # a look and its line have their times

    def ask(self, *_):
        """The request is with the balancer's machine as this returns."""
        near = self.net.accepted_socket(self.far)
        self.wrote_us = monotonic_us()
        self.far.sendall(request_text("second"))
        self.written_us = monotonic_us()
        poll = select.poll()
        poll.register(self.far, select.POLLRDHUP)
        self.was_closed_at_write = bool(poll.poll(0))
        if near.fileno() >= 0 and not self.was_closed_at_write:
            wait_until_readable(near)

    def ask_before(self, owner, name):
        """It asks before the next call of this method."""
        method = getattr(owner, name)

        def behind(*args, **named):
            if not self.wrote_us:
                self.ask()
            return method(*args, **named)

        setattr(owner, name, behind)

    def end(self):
        """What the client sees in the end, and what the checker calls it."""
        self.net.turn()
        seen = received_or_reset(self.far)
        with open(self.path, "wb") as file:
            for event, facts in self.net.lines.told:
                file.write(orjson.dumps({"event": event} | facts) + b"\n")
        facts = ConnectionEndFacts(
            ProcessEnd.RUNNING,
            was_written=True,
            write_began_us=self.wrote_us,
            written_at_us=self.written_us,
            earlier_requests=1,
            was_reset=seen == RESET,
            was_closed_at_write=self.was_closed_at_write,
            close_record=LoggedCloseRecords(self.path, 0).find(self.far.getsockname()[1], 0),
            was_seen_by_host=bool(self.net.next_host_request()[0]),
        )
        return seen, classify_request_end(facts)


@pytest.fixture
def crossing(net, tmp_path):
    return Crossing(net, tmp_path)


def test_a_request_that_comes_between_the_look_and_the_line_crosses_the_end(crossing):
    # a process that stood still behind its look was told of a lost request
    crossing.ask_before(crossing.net.node.clients, "on_closing")
    crossing.net.node.clients.release_idle()
    assert crossing.end() == ("", RequestEnd.RACED_CLOSE)


def test_a_request_that_comes_between_the_line_and_the_shutdown_crosses_the_end(crossing):
    # its client sees an end in order, as if it had come first
    tell = crossing.net.node.clients.on_closing

    def tell_and_ask(*facts):
        tell(*facts)
        crossing.ask()

    crossing.net.node.clients.on_closing = tell_and_ask
    crossing.net.node.clients.release_idle()
    assert crossing.end() == ("", RequestEnd.RACED_CLOSE)


def test_a_request_that_comes_behind_the_shutdown_crosses_the_end(crossing):
    crossing.net.node.clients.release_idle()
    crossing.ask()
    assert crossing.was_closed_at_write
    assert crossing.end() == ("", RequestEnd.RACED_CLOSE)


def test_a_request_that_comes_between_the_last_look_and_the_close_crosses_the_end(crossing):
    crossing.ask_before(crossing.net.node.clients, "on_closing")
    assert only_client(crossing.net).close_unless_unread(ConnectionEnd.EVICTED)
    assert crossing.end() == (RESET, RequestEnd.RACED_CLOSE)


def test_a_request_that_is_being_written_at_the_last_look_crosses_the_end(crossing):
    # its write had begun 8 us before the look, its bytes came behind that: it was called lost
    began_us = monotonic_us()
    crossing.ask_before(crossing.net.node.clients, "on_closing")
    assert only_client(crossing.net).close_unless_unread(ConnectionEnd.EVICTED)
    crossing.wrote_us = began_us
    assert crossing.end() == (RESET, RequestEnd.RACED_CLOSE)


def test_a_request_that_was_written_before_the_look_that_a_process_claims_is_lost(crossing):
    crossing.ask()
    only_client(crossing.net).close(ConnectionEnd.EVICTED, crossing.net.loop.clock())
    assert crossing.end() == (RESET, RequestEnd.LOST)


def test_a_request_that_comes_before_the_last_look_is_answered(crossing):
    crossing.ask()
    crossing.net.node.clients.release_idle()
    crossing.net.turn()
    crossing.net.answer_from_host(crossing.net.host_socket())
    assert "200" in received_or_reset(crossing.far)
    assert not crossing.net.lines.told


def test_a_request_that_is_read_and_dropped_before_the_shutdown_is_lost(crossing):
    # what the process has read can't have crossed an end, whatever its line says
    tell = crossing.net.node.clients.on_closing

    def ask_and_drop(*facts):
        tell(*facts)
        crossing.ask()
        assert only_client(crossing.net).conn.sock.recv(1 << 16)

    crossing.net.node.clients.on_closing = ask_and_drop
    crossing.net.node.clients.release_idle()
    assert crossing.end() == ("", RequestEnd.LOST)


def test_a_request_that_came_before_the_look_and_is_shut_out_unread_is_lost(crossing):
    # a process that never looks is owed no excuse
    crossing.ask()
    only_client(crossing.net).finish()
    assert crossing.end() == ("", RequestEnd.LOST)
