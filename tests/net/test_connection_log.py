"""The log entry of each connection that the process closes.

Without it a client cannot prove that its request was not read.
"""

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


class LogLines:
    def __init__(self):
        self.events = []

    def __call__(self, event, **facts):
        orjson.dumps(facts)
        self.events.append((event, facts))


@pytest.fixture
def net():
    harness = LoopbackHarness(1)
    harness.lines = LogLines()
    connection_log = ConnectionLog(harness.lines)
    harness.node.clients.on_closing = connection_log.on_closing
    harness.node.clients.on_half_closed_unread = connection_log.on_half_closed_unread
    return harness


def only_client(net):
    (client,) = net.node.clients.open_clients
    return client


def last_line(net):
    event, facts = net.lines.events[-1]
    assert event == CONNECTION_CLOSED
    return facts


def test_a_connection_without_a_request_is_logged_with_nothing_read(net):
    far = net.connect_client()
    net.turn()
    before_us = monotonic_us()
    only_client(net).close(ConnectionEnd.SILENT)
    facts = last_line(net)
    assert facts["peer"] == far.getsockname()
    assert before_us <= facts["closed_us"] <= monotonic_us()
    assert (facts["end"], facts["read"], facts["answered"], facts["unread"]) == ("silent", 0, 0, 0)


def test_a_request_that_was_read_and_not_answered_is_logged(net):
    net.connect_client(request_text("k1"))
    net.turn()
    only_client(net).close(ConnectionEnd.SHUTDOWN)
    assert (last_line(net)["read"], last_line(net)["answered"]) == (1, 0)


def test_a_request_that_was_partly_read_or_pipelined_is_logged(net):
    net.connect_client(request_text("k1") + request_text("k2", id="b2") + b"GET /re")
    net.turn()
    only_client(net).close(ConnectionEnd.SHUTDOWN)
    assert (last_line(net)["read"], last_line(net)["answered"]) == (3, 0)


def test_answered_requests_are_logged_once_when_the_connection_is_closed(net):
    far = net.connect_client(request_text("k1"))
    net.turn()
    net.answer_from_host(net.host_socket())
    assert "200" in received_or_reset(far)
    only_client(net).finish()
    only_client(net).close(ConnectionEnd.FINISHED)
    assert len(net.lines.events) == 1
    facts = last_line(net)
    assert (facts["end"], facts["read"], facts["answered"]) == ("finished", 1, 1)


def test_received_bytes_that_were_not_read_are_logged(net):
    far = net.connect_client()
    net.turn()
    net.send_more(far, request_text())
    only_client(net).close(ConnectionEnd.SILENT)
    assert (last_line(net)["read"], last_line(net)["unread"]) == (0, True)


def test_a_connection_that_its_client_closed_is_not_logged(net):
    far = net.connect_client()
    net.turn()
    net.close_client(far)
    net.turn()
    assert not net.node.clients.open_clients and not net.lines.events


@pytest.mark.parametrize("is_enabled", [False, True])
def test_a_process_logs_connections_only_if_enabled(is_enabled, monkeypatch):
    monkeypatch.delenv(CONNECTION_LOG_VARIABLE, raising=False)
    if is_enabled:
        monkeypatch.setenv(CONNECTION_LOG_VARIABLE, "1")
    listener = LoopbackHarness(1).node.clients
    log_connections_if_enabled(listener, LogLines())
    assert (listener.on_closing is not None) is is_enabled
    assert (listener.on_half_closed_unread is not None) is is_enabled


def test_a_request_that_arrives_as_its_connection_is_evicted_is_answered(net, monkeypatch):
    # The request arrived after the check that found the connection idle, and was reset unread.
    far = net.connect_client()
    net.turn()
    only_client(net).since_us -= RECENT_CONNECTION_US  # recent connections are not evicted
    is_idle = Http1ClientConnection.is_idle

    def send_after_check(client):
        was_idle = is_idle(client)
        if was_idle:
            net.send_more(far, request_text())
        return was_idle

    monkeypatch.setattr(Http1ClientConnection, "is_idle", send_after_check)
    assert not net.node.clients.close_unneeded()
    assert not net.lines.events
    net.answer_from_host(net.host_socket())
    assert "200" in received_or_reset(far)


def test_a_silent_client_whose_request_arrives_at_its_close_is_answered(net):
    far = net.connect_client()
    net.turn()
    net.send_more(far, request_text())
    only_client(net).since_us -= REQUEST_TIMEOUT_US
    net.node.clients.close_stalled()
    net.answer_from_host(net.host_socket())
    assert "200" in received_or_reset(far)


def test_a_close_is_timed_by_the_check_that_it_relies_on(net):
    # A process may not be scheduled between its last check and its close: bytes that arrive in
    # between race the close.
    net.connect_client()
    net.turn()
    before_us = monotonic_us()
    assert only_client(net).close_unless_unread(ConnectionEnd.SHUTDOWN)
    facts = last_line(net)
    assert facts["end"] == "shutdown"
    assert not facts["unread"]
    assert facts["closed_us"] >= before_us - 1_000


# --- a request that arrives while its idle connection is closed


class LateRequest:
    """A client with an idle connection that sends another request at a given moment of the close."""

    def __init__(self, net, folder):
        self.net, self.path = net, folder / "b0.log"
        self.far = net.connect_client(request_text("k1"))
        net.turn()
        net.answer_from_host(net.host_socket())
        assert "200" in received_or_reset(self.far)
        assert "/read/k1" in net.next_host_request()[0]
        self.write_began_us, self.written_us, self.was_closed_at_write = 0, 0, False
        offset_us = net.now - monotonic_us()
        # Real time passes between a check and its log entry.
        net.loop.clock = lambda: monotonic_us() + offset_us

    def send_request(self, *_):
        """Send the request; it has reached the balancer's socket when this returns."""
        near = self.net.accepted_socket(self.far)
        self.write_began_us = monotonic_us()
        self.far.sendall(request_text("second"))
        self.written_us = monotonic_us()
        poll = select.poll()
        poll.register(self.far, select.POLLRDHUP)
        self.was_closed_at_write = bool(poll.poll(0))
        if near.fileno() >= 0 and not self.was_closed_at_write:
            wait_until_readable(near)

    def send_before_call(self, owner, name):
        """Send the request right before the next call of this method."""
        method = getattr(owner, name)

        def wrapper(*args, **named):
            if not self.write_began_us:
                self.send_request()
            return method(*args, **named)

        setattr(owner, name, wrapper)

    def finish_turn(self):
        """Return what the client received and how the checker classifies the request's end."""
        self.net.turn()
        received = received_or_reset(self.far)
        with open(self.path, "wb") as file:
            for event, facts in self.net.lines.events:
                file.write(orjson.dumps({"event": event} | facts) + b"\n")
        facts = ConnectionEndFacts(
            ProcessEnd.RUNNING,
            was_written=True,
            write_began_us=self.write_began_us,
            written_at_us=self.written_us,
            earlier_requests=1,
            was_reset=received == RESET,
            was_closed_at_write=self.was_closed_at_write,
            close_record=LoggedCloseRecords(self.path, 0).find(self.far.getsockname()[1], 0),
            was_seen_by_host=bool(self.net.next_host_request()[0]),
        )
        return received, classify_request_end(facts)


@pytest.fixture
def late_request(net, tmp_path):
    return LateRequest(net, tmp_path)


def test_a_request_between_the_check_and_the_log_entry_races_the_close(late_request):
    # A process that stalled after its last check was reported to have lost a request.
    late_request.send_before_call(late_request.net.node.clients, "on_closing")
    late_request.net.node.clients.release_idle()
    assert late_request.finish_turn() == ("", RequestEnd.RACED_CLOSE)


def test_a_request_between_the_log_entry_and_the_shutdown_races_the_close(late_request):
    # The client sees an orderly close, as if the close had preceded its request.
    on_closing = late_request.net.node.clients.on_closing

    def log_and_send(*facts):
        on_closing(*facts)
        late_request.send_request()

    late_request.net.node.clients.on_closing = log_and_send
    late_request.net.node.clients.release_idle()
    assert late_request.finish_turn() == ("", RequestEnd.RACED_CLOSE)


def test_a_request_after_the_shutdown_races_the_close(late_request):
    late_request.net.node.clients.release_idle()
    late_request.send_request()
    assert late_request.was_closed_at_write
    assert late_request.finish_turn() == ("", RequestEnd.RACED_CLOSE)


def test_a_request_between_the_last_check_and_the_close_races_the_close(late_request):
    late_request.send_before_call(late_request.net.node.clients, "on_closing")
    assert only_client(late_request.net).close_unless_unread(ConnectionEnd.EVICTED)
    assert late_request.finish_turn() == (RESET, RequestEnd.RACED_CLOSE)


def test_a_request_being_written_at_the_last_check_races_the_close(late_request):
    # The write had begun 8 us before the check and its bytes arrived after it: the request was
    # classified as lost.
    began_us = monotonic_us()
    late_request.send_before_call(late_request.net.node.clients, "on_closing")
    assert only_client(late_request.net).close_unless_unread(ConnectionEnd.EVICTED)
    late_request.write_began_us = began_us
    assert late_request.finish_turn() == (RESET, RequestEnd.RACED_CLOSE)


def test_a_request_written_before_the_check_that_a_process_claims_is_lost(late_request):
    late_request.send_request()
    only_client(late_request.net).close(ConnectionEnd.EVICTED, late_request.net.loop.clock())
    assert late_request.finish_turn() == (RESET, RequestEnd.LOST)


def test_a_request_before_the_last_check_is_answered(late_request):
    late_request.send_request()
    late_request.net.node.clients.release_idle()
    late_request.net.turn()
    late_request.net.answer_from_host(late_request.net.host_socket())
    assert "200" in received_or_reset(late_request.far)
    assert not late_request.net.lines.events


def test_a_request_that_is_read_and_dropped_before_the_shutdown_is_lost(late_request):
    # A request that the process has read cannot have raced the close, whatever the log entry says.
    on_closing = late_request.net.node.clients.on_closing

    def send_and_discard(*facts):
        on_closing(*facts)
        late_request.send_request()
        assert only_client(late_request.net).conn.sock.recv(1 << 16)

    late_request.net.node.clients.on_closing = send_and_discard
    late_request.net.node.clients.release_idle()
    assert late_request.finish_turn() == ("", RequestEnd.LOST)


def test_an_earlier_request_that_is_left_unread_without_a_check_is_lost(late_request):
    # A process that never checks for unread bytes is not excused.
    late_request.send_request()
    only_client(late_request.net).finish()
    assert late_request.finish_turn() == ("", RequestEnd.LOST)
