"""In a stalled turn, events that are ready are handled before timers that are due.

An answer that the kernel has received wins over its timeout, and times sent to peers are computed
from the clock and not from the start of the turn.
"""

import pytest
from loopback_harness import (
    LoopbackHarness,
    received_or_reset,
    received_text,
    request_text,
    wait_until_readable,
)
from net_scenarios import discovery_socket, host_states, push_host_list
from stalled_turn import (
    BEFORE_CALLBACKS,
    BEFORE_TIMERS,
    SELECTOR_ANSWERED,
    STALL_US,
    deliver_list_changes,
    stall_turn,
)

from orchidgap.decisions.lifecycle import SHUTDOWN_ACCEPT_US
from orchidgap.http1.discovery import RESPONSE_GRACE_US, WATCH_TIMEOUT_MS
from orchidgap.net.client_table import REQUEST_TIMEOUT_US, SWEEP_INTERVAL_US
from orchidgap.net.exchange import ANSWER_MARGIN_US

MOMENTS = (SELECTOR_ANSWERED, BEFORE_CALLBACKS, BEFORE_TIMERS)
OVERDUE_READ_US = 490_000  # time after which a read is overdue at its cache
DEDUPLICATION_WINDOW_US = 1_000_000  # how long hosts keep deduplication records
ELAPSED_US = 500_000
ORIGIN_PORT = 109
STEP_US = 20_000  # how late a timer may run


@pytest.fixture
def net():
    net = LoopbackHarness(1)
    push_host_list(net, 41, True, [net.host_entry(0), net.host_entry(9)])
    received_text(discovery_socket(net))
    return net


def turn(net):
    """Run the stalled turn, which may block in its select like any other, and the turns after it."""
    net.loop.run_once()
    net.turn()


@pytest.mark.parametrize("moment", MOMENTS)
def test_an_answer_that_arrived_in_the_stall_wins_over_the_overdue_timer(net, moment, monkeypatch):
    # The origin was sent a request that the cache had already answered.
    client = net.connect_client(request_text("k1"))
    net.turn()
    _, cache = net.next_host_request()
    net.now += OVERDUE_READ_US - STALL_US // 2

    def answer(net):
        net.send_host_answer(cache)
        wait_until_readable(net.node_socket_of(cache))

    stall_turn(net, monkeypatch, moment, STALL_US, answer)
    turn(net)
    assert "200" in (received_or_reset(client) or "")
    assert ORIGIN_PORT not in [port for port, _ in net.dialled]


@pytest.mark.parametrize("moment", MOMENTS)
def test_a_list_that_arrived_in_the_stall_wins_over_the_watch_timeout(net, moment, monkeypatch):
    # The watch timed out although the list had arrived, so its host was sent requests for longer.
    net.now += WATCH_TIMEOUT_MS * 1_000 + RESPONSE_GRACE_US - STALL_US // 2
    entry = net.host_entry(0, "Terminating")
    stall_turn(net, monkeypatch, moment, STALL_US, lambda net: deliver_list_changes(net, entry))
    turn(net)
    assert host_states(net)["c0"] == "draining"
    assert "list lost" not in net.log.lines


@pytest.mark.parametrize("moment", MOMENTS)
def test_a_request_whose_rest_arrived_in_the_stall_is_answered(net, moment, monkeypatch):
    # It was answered 408, although its last byte had arrived before its time limit.
    text = request_text("k1")
    client = net.connect_client(text[:20])
    net.turn()
    net.advance(REQUEST_TIMEOUT_US - SWEEP_INTERVAL_US)
    net.now += SWEEP_INTERVAL_US - STALL_US // 2
    stall_turn(net, monkeypatch, moment, STALL_US, lambda net: net.send_more(client, text[20:]))
    turn(net)
    assert received_or_reset(client) is None
    net.answer_from_host(net.next_host_request()[1])
    assert "200" in received_or_reset(client)


@pytest.mark.parametrize("moment", [SELECTOR_ANSWERED, BEFORE_CALLBACKS])
def test_a_client_that_is_accepted_after_a_stall_counts_as_new(net, moment, monkeypatch):
    # It was closed in the same turn, before it could send a request, as if it had been silent for
    # long.
    net.listen()
    net.node.begin_shutdown()
    net.advance(SHUTDOWN_ACCEPT_US - STALL_US // 2)
    client = net.connect_client()
    stall_turn(net, monkeypatch, moment, STALL_US, lambda net: None)
    turn(net)
    assert received_or_reset(client) is None
    net.send_more(client, request_text("k1"))
    net.turn()
    net.answer_from_host(net.next_host_request()[1])
    assert "200" in received_or_reset(client)


@pytest.mark.parametrize("moment", [SELECTOR_ANSWERED, BEFORE_CALLBACKS])
def test_retry_after_ends_within_the_deduplication_window_by_the_clock(moment, monkeypatch):
    # Computed from the start of the turn, Retry-After led to a repeat after the hosts had dropped
    # the deduplication record.
    net = LoopbackHarness(
        0,
        **{
            "rule-sets__1__repeat-window": str(DEDUPLICATION_WINDOW_US),
            "rule-sets__1__group": "all",
            "ceilings__most-dispatches": "1",
        },
    )
    client = net.connect_client(
        b"PUT /mark/k HTTP/1.1\r\nRequest-Id: 1\r\nIdempotency-Key: m\r\nRequest-Timeout: 2\r\n"
        b"Content-Length: 1\r\n\r\nv"
    )
    net.turn()
    text, origin = net.next_host_request()
    assert text.startswith("PUT")
    net.now += ELAPSED_US
    origin.sendall(b"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n")
    wait_until_readable(net.node_socket_of(origin))
    stall_turn(net, monkeypatch, moment, STALL_US, lambda net: None)
    turn(net)
    answer = received_or_reset(client)
    assert "503" in answer
    retry_after = next(line for line in answer.split("\r\n") if line.startswith("Retry-After"))
    retry_after_us = round(float(retry_after.split(": ")[1]) * 1e6)
    assert retry_after_us <= DEDUPLICATION_WINDOW_US - ELAPSED_US - STALL_US


def write_text(id, left="2.0"):
    return (
        f"PUT /mark/{id} HTTP/1.1\r\nRequest-Id: {id}\r\nIdempotency-Key: {id}\r\n"
        f"Request-Timeout: {left}\r\nContent-Length: 1\r\n\r\nv"
    )


@pytest.mark.parametrize(
    ("left", "denied_after_us"), [("2.0", 800_000), ("0.7", 700_000 - ANSWER_MARGIN_US)]
)
@pytest.mark.parametrize("is_split", [False, True], ids=["read whole", "split in two"])
@pytest.mark.parametrize("moment", [SELECTOR_ANSWERED, BEFORE_CALLBACKS])
def test_a_queued_request_is_denied_in_time_after_its_arrival(
    moment, is_split, left, denied_after_us, monkeypatch
):
    # The stall delayed its objective and its deadline: it was denied late, or failed.
    net = LoopbackHarness(0)
    net.node.balancer.hosts["o"].concurrency_limit = 1.0
    net.connect_client(write_text("1").encode())
    net.turn()
    text = write_text("2", left).encode()
    client = net.connect_client(text[:-1] if is_split else text)
    if is_split:
        net.turn()
        net.send_more(client, text[-1:])
    arrived_at_us = net.now
    stall_turn(net, monkeypatch, moment, STALL_US, lambda net: None)
    turn(net)
    assert received_or_reset(client) is None
    net.advance(arrived_at_us + denied_after_us + STEP_US - net.now)
    assert "503" in (received_or_reset(client) or "")
    assert "unanswered" not in net.log.lines


def test_a_request_is_read_once_more_before_it_is_answered_408(net):
    # The sweep would have ended a request whose rest had arrived but was not read yet.
    text = request_text("k1")
    client = net.connect_client(text[:20])
    net.turn()
    net.now += REQUEST_TIMEOUT_US
    net.send_more(client, text[20:])
    net.loop.now = net.now
    net.node.clients.close_stalled()
    assert received_or_reset(client) is None
    net.turn()
    net.answer_from_host(net.next_host_request()[1])
    assert "200" in received_or_reset(client)
