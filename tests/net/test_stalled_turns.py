"""A turn that stalls after the selector returned.

The list, the clock and the client are evaluated at the write, not as they were when the turn
began. Each test forces the stall at one line of the turn.
"""

import pytest
from loopback_harness import (
    LoopbackHarness,
    received_or_reset,
    received_text,
    request_text,
    wait_until_readable,
)
from net_scenarios import discovery_socket, push_host_list
from stalled_turn import (
    BEFORE_CALLBACKS,
    BEFORE_DECISION,
    BEFORE_TIMERS,
    BEFORE_WRITE,
    SELECTOR_ANSWERED,
    STALL_US,
    StalledTurnScenario,
    deliver_list_changes,
    sent_timeout_us,
)

from orchidgap.http1.messages import MAX_BUFFERED_BODY_BYTES
from orchidgap.net.loop import READ_BUFFER_BYTES

CACHE_PORT, ORIGIN_PORT = 100, 109
ORIGIN = 9
LATE_US = 490_000  # time after which a read is overdue at its cache
SLACK_US = 1_000  # timeouts are sent in milliseconds
WAITING = 40  # number of queued requests; more than one cache is sent at the same time
BEFORE_OPENED = (SELECTOR_ANSWERED, BEFORE_CALLBACKS)
BEFORE_SENT = (*BEFORE_OPENED, BEFORE_DECISION, BEFORE_WRITE)


class AttemptScenario(StalledTurnScenario):
    """A node before a turn in which an attempt will begin, at the host with this number."""

    def __init__(self, number):
        self.number = number
        self.port = ORIGIN_PORT if number == ORIGIN else CACHE_PORT + number
        self.net = LoopbackHarness(1)
        net = self.net
        push_host_list(net, 41, True, [net.host_entry(0), net.host_entry(ORIGIN)])
        self.client = net.connect_client()
        self.clients = [self.client]  # clients that wait for an answer
        net.turn()
        self.send_read("warm")
        net.turn()
        _, cache = net.next_host_request()
        net.answer_from_host(cache, 404)
        _, origin = net.next_host_request()
        net.answer_from_host(origin)
        assert "200" in received_or_reset(self.client), "each host has an idle connection"
        received_text(discovery_socket(net))

    def send_read(self, id, left="2.0"):
        self.sent_at_us = self.net.now
        self.net.send_more(self.client, request_text("k1", id=id, left=left))

    def received_reads(self):
        """Return the reads that this host received and that were not returned before."""
        sent = [
            received_text(far)
            for port, far in self.net.dialled
            if port == self.port and far.fileno() >= 0
        ]
        return [text for text in sent if text and "/read/" in text]

    def received_writes(self):
        """Return the text that this host received and that was not returned before."""
        sent = [received_text(far) or "" for port, far in self.net.dialled if port == self.port]
        return "".join(sent)


def request_arrives(left="2.0"):
    """A request has arrived; it will be sent on an idle connection."""
    scenario = AttemptScenario(0)
    scenario.send_read("second", left)
    return scenario


def connection_completes(left="2.0"):
    """The connection to the host is established, and the node has not seen that yet."""
    scenario = AttemptScenario(0)
    for connection in list(scenario.net.node.pools.by_host["c0"].connections):
        connection.close()
    scenario.send_read("second", left)
    scenario.net.turn(1)
    assert not scenario.received_reads() and len(scenario.net.node.exchanges) == 1, (
        "the host is being dialled"
    )
    return scenario


def cache_misses(left="2.0"):
    """The cache has answered that it lacks the value; the origin is next."""
    scenario = AttemptScenario(ORIGIN)
    scenario.send_read("second", left)
    scenario.net.turn()
    _, cache = scenario.net.next_host_request()
    cache.sendall(b"HTTP/1.1 404 X\r\nContent-Length: 0\r\n\r\n")
    wait_until_readable(next(iter(scenario.net.node.pools.by_host["c0"].connections)).conn.sock)
    return scenario


def connection_resets(left="2.0"):
    """The cache has reset a reused connection; the resend will use another idle connection."""
    scenario = AttemptScenario(0)
    net = scenario.net
    scenario.send_read("second", left)
    net.turn()
    _, reset_connection = net.next_host_request()
    net.connect_client(request_text("k1", id="other"))
    net.turn()
    _, idle_connection = net.next_host_request()
    net.answer_from_host(idle_connection)
    near = net.node_socket_of(reset_connection)
    net.reset_host(reset_connection)
    wait_until_readable(near)
    return scenario


def cache_frees_capacity(left="2.0"):
    """Requests are queued for the cache, and it has answered all that it was sent."""
    scenario = AttemptScenario(0)
    net = scenario.net
    for i in range(WAITING):
        scenario.clients.append(net.connect_client(request_text(f"w{i}", left=left)))
    net.turn(8)
    assert 0 < len(scenario.received_reads()) < WAITING
    for port, far in net.dialled:
        if port == CACHE_PORT:
            net.send_host_answer(far)
            wait_until_readable(net.node_socket_of(far))
    return scenario


def attempt_overdue(left="2.0"):
    """The cache is silent; the timer after which the origin is tried instead is due."""
    scenario = AttemptScenario(ORIGIN)
    scenario.send_read("second", left)
    scenario.net.turn()
    scenario.net.now += LATE_US
    return scenario


SCENARIOS = [
    pytest.param(scenario, moment, id=f"{scenario.__name__}, {moment}")
    for scenario, moments in (
        (request_arrives, BEFORE_SENT),
        (connection_completes, BEFORE_OPENED),
        (cache_misses, (*BEFORE_OPENED, BEFORE_WRITE)),
        (connection_resets, (*BEFORE_OPENED, BEFORE_WRITE)),
        (cache_frees_capacity, (*BEFORE_OPENED, BEFORE_WRITE)),
        (attempt_overdue, (SELECTOR_ANSWERED, BEFORE_CALLBACKS, BEFORE_TIMERS, BEFORE_WRITE)),
    )
    for moment in moments
]


@pytest.mark.parametrize(("make_scenario", "moment"), SCENARIOS)
def test_an_attempt_begins_at_the_expected_host_if_nothing_changes(
    make_scenario, moment, monkeypatch
):
    # The tests below would prove nothing if the attempt were sent elsewhere in any case.
    scenario = make_scenario()
    scenario.run_stalled_turn(monkeypatch, moment)
    assert scenario.received_reads()


@pytest.mark.parametrize("health", ["Terminating", "Gone"])
@pytest.mark.parametrize(("make_scenario", "moment"), SCENARIOS)
def test_a_host_that_drains_while_the_turn_is_stalled_is_sent_nothing(
    make_scenario, moment, health, monkeypatch
):
    # In a soak, a balancer that had been stopped sent a request to a host although the list that
    # marked it as draining had arrived.
    scenario = make_scenario()
    entry = scenario.net.host_entry(scenario.number, health)
    scenario.run_stalled_turn(monkeypatch, moment, lambda net: deliver_list_changes(net, entry))
    assert scenario.received_reads() == []


@pytest.mark.parametrize(
    ("make_scenario", "moment"),
    [(request_arrives, BEFORE_WRITE), (connection_completes, BEFORE_CALLBACKS)],
)
def test_a_host_that_drains_in_a_second_stall_is_sent_nothing(make_scenario, moment, monkeypatch):
    # A postponed attempt was sent in the next turn, although that turn stalled as well.
    scenario = make_scenario()
    entry = scenario.net.host_entry(scenario.number, "Terminating")
    scenario.run_two_stalled_turns(
        monkeypatch, moment, lambda net: deliver_list_changes(net, entry)
    )
    assert scenario.received_reads() == []


@pytest.mark.parametrize("moment", BEFORE_SENT)
def test_a_drain_at_the_end_of_a_long_list_is_applied(moment, monkeypatch):
    # One read returned only part of the list, and the request was sent before the rest was read.
    scenario = request_arrives()
    known = scenario.net.host_entry(ORIGIN)
    draining = scenario.net.host_entry(0, "Terminating")
    entries = [known] * (2 * READ_BUFFER_BYTES // len(str(known))) + [draining]
    scenario.run_stalled_turn(monkeypatch, moment, lambda net: deliver_list_changes(net, *entries))
    assert scenario.received_reads() == []


@pytest.mark.parametrize(("make_scenario", "moment"), SCENARIOS)
def test_the_timeout_sent_to_a_host_does_not_exceed_the_time_left_after_the_stall(
    make_scenario, moment, monkeypatch
):
    # The timeout sent to a host exceeded the client's remaining time by the length of the stall.
    scenario = make_scenario("2.0")
    scenario.run_stalled_turn(monkeypatch, moment)
    sent_timeouts_us = [sent_timeout_us(text) for text in scenario.received_reads()]
    assert sent_timeouts_us
    waited_us = scenario.net.now - scenario.sent_at_us
    assert waited_us >= STALL_US
    assert max(sent_timeouts_us) <= 2_000_000 - waited_us + SLACK_US


@pytest.mark.parametrize("left", ["2.000", "0.250"])
@pytest.mark.parametrize("moment", BEFORE_SENT)
def test_the_timeout_sent_with_a_streamed_body_is_the_client_timeout(moment, left, monkeypatch):
    # The stall was subtracted although the client's timeout had not started: as little as nothing
    # was left.
    scenario = AttemptScenario(ORIGIN)
    head = (
        "PUT /mark/k1 HTTP/1.1\r\nRequest-Id: flows\r\nIdempotency-Key: flows\r\n"
        f"Request-Timeout: {left}\r\nContent-Length: {4 * MAX_BUFFERED_BODY_BYTES}\r\n\r\n"
    )
    scenario.net.send_more(scenario.client, head.encode() + bytes(MAX_BUFFERED_BODY_BYTES))
    scenario.run_stalled_turn(monkeypatch, moment)
    assert f"Request-Timeout: {left}" in scenario.received_writes()


@pytest.mark.parametrize(("make_scenario", "moment"), SCENARIOS)
def test_no_attempt_begins_whose_deadline_passed_during_the_stall(
    make_scenario, moment, monkeypatch
):
    # By the clock of the turn, time was left.
    scenario = make_scenario("0.750" if make_scenario is attempt_overdue else "0.250")
    scenario.run_stalled_turn(monkeypatch, moment)
    assert scenario.received_reads() == []


@pytest.mark.parametrize(("make_scenario", "moment"), SCENARIOS)
def test_no_attempt_begins_for_a_client_that_left_while_the_turn_was_stalled(
    make_scenario, moment, monkeypatch
):
    # The kernel has received the client's FIN, but the turn does not know of it.
    scenario = make_scenario()
    scenario.run_stalled_turn(monkeypatch, moment, scenario.disconnect_all_clients())
    assert scenario.received_reads() == []
